//! What routers tell one another about who lives.

use serde::Serialize;

use crate::{
    ids::{DataHall, Incarnation, Revision, VmId},
    peer::Message,
    settings::VmInfo,
};

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(i8)]
pub enum MemberState {
    /// It answers, or nobody said otherwise.
    Alive = 0,
    /// It is stopping and takes no new work.
    Draining = 1,
    /// It does not answer.
    Dead = 2,
}

impl MemberState {
    /// The state with this number; an unknown one counts as dead.
    pub fn from_number(n: i8) -> Self {
        match n {
            0 => Self::Alive,
            1 => Self::Draining,
            _ => Self::Dead,
        }
    }
}

/// A belief that travels. Of two about one router the later incarnation counts, then the worse
/// state; only the router itself can refute one, by a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// About whom.
    pub vm: VmId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// What is believed.
    pub state: MemberState,
}

/// A heartbeat, or the answer to one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// Who sends it.
    pub from: VmId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Counts heartbeats; an answer repeats it.
    pub sequence: u64,
    /// The configuration in force at the sender.
    pub revision: Revision,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// What else the sender passes on.
    pub news: Vec<News>,
}

/// A datagram to send.
pub type Outgoing = (VmInfo, Message);

/// Another router, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHall,
    /// What is believed.
    pub state: MemberState,
    /// Whether its last heartbeat was not answered.
    pub suspected: bool,
    /// The configuration last heard to be in force there.
    pub revision: Revision,
}

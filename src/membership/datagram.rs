//! What routers tell one another some times a second.

use serde::{Deserialize, Serialize};

use crate::{
    admission::account_rates::RateReport,
    ids::{ClientAccountId, DataHall, Incarnation, TargetId, VmId},
    limits::{Demand, Grant},
    outages::OutageNotice,
    prompt_cache::PartId,
    quarantine::{EndingNotice, HeldNotice},
    target_counts::{TargetCounts, TargetHash},
    units::{ConfigVersion, StoreRevision, Tokens},
};

use super::{heartbeats::HallRoll, records::Exchange};

/// A moment of one router's clock, as it is sent and echoed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The life of the router whose clock it is.
    pub life: Incarnation,
    /// Microseconds since that life began.
    pub micros: u64,
}

/// What a router's VM can bear, in steps of two; the stronger ones do what is done for all.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Strength(u8);

impl Strength {
    /// Of a VM with this link and this share of a core; the scarcer of the two decides, where ten
    /// megabits a second stand beside a tenth of a core.
    pub fn new(link_mbps: f64, cpu_share: f64) -> Self {
        let steps = (link_mbps / 10.0).min(cpu_share * 10.0).max(1.0).log2();
        Self(steps.floor() as u8)
    }

    /// Half of it.
    pub fn half(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// What all routers of one data hall have in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSum {
    /// The data hall.
    pub hall: DataHall,
    /// How long before it was sent its calls were counted, on average, in milliseconds.
    pub age_ms: u16,
    /// The calls.
    pub counts: TargetCounts,
}

/// What all routers of each data hall have in progress.
pub type HallSums = Vec<HallSum>;

/// What travels between routers in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<State = Box<Datagram>> {
    /// What the sender has in progress and knows.
    State(State),
    /// What the sender needs of an account's limits, to the router that keeps the account.
    ShareAsk {
        /// The sender.
        from: VmId,
        /// The account.
        account: ClientAccountId,
        /// What it needs.
        demand: Demand,
    },
    /// What the receiver may use of an account's limits.
    ShareGrant {
        /// The account.
        account: ClientAccountId,
        /// The share.
        grant: Grant,
    },
}

/// What one router tells another, some times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who tells.
    pub vm: VmId,
    /// Where it stands.
    pub hall: DataHall,
    /// What its link and processor can bear.
    pub strength: Strength,
    /// Counts the datagrams of one life.
    pub number: u64,
    /// When it was sent.
    pub sent: Stamp,
    /// The youngest stamp that the sender had from the receiver.
    pub echo: Option<Stamp>,
    /// The configuration that the sender applies, and the age of its proof in milliseconds.
    pub config: Option<(ConfigVersion, u32)>,
    /// How long ago routers that read the store heard from it, in milliseconds.
    pub readers: Vec<(VmId, u32)>,
    /// The revision of the store up to which the sender knows all.
    pub mirror: StoreRevision,
    /// How long ago the store answered the sender again after it had not, in milliseconds.
    pub store_back: Option<u32>,
    /// Calls that the sender took in the last seconds, to share the retry budget by.
    pub calls: u32,
    /// The sender stops and has no part in anything any more.
    pub stopping: bool,
    /// What the sender has in progress, where that concerns the receiver.
    pub load: Option<TargetCounts>,
    /// What all routers of some data halls have in progress, as [`HallSums`] that are encoded
    /// once for all receivers; empty where the sender does not add up.
    pub halls: Vec<u8>,
    /// Of whom hubs hear, by data hall; empty where the sender is no hub.
    pub rolls: Vec<HallRoll>,
    /// What the sender knows of who there is.
    pub exchange: Option<Exchange>,
    /// Rates of accounts; empty most times.
    pub rates: Vec<RateReport>,
    /// Targets that just broke off a call at once, at the sender or as it was told.
    pub outages: Vec<OutageNotice>,
    /// Targets that ended under requests, found here or heard of.
    pub endings: Vec<EndingNotice>,
    /// Requests that are held back and not known to be entered in the store; empty most times.
    pub held: Vec<HeldNotice>,
    /// Targets that give the sender no answers.
    pub suspected: Vec<TargetHash>,
    /// Shared parts of prompts that were sent to a target first.
    pub parts: Vec<(PartId, Tokens, TargetId)>,
}

//! One other router, as this one knows it.

use std::net::SocketAddr;

use super::{
    datagram::{Datagram, Stamp, Strength},
    heartbeats::VmHash,
    records::MemberRecord,
};
use crate::{
    ids::{DataHall, Incarnation, VmId},
    units::{Instant, StoreRevision},
};

use std::time::Duration;

/// Silence of a router's known life after which one that is numbered lower counts: twice what a
/// router lets pass between two datagrams, also in a fleet of some hundred.
const LIFE_SILENT: Duration = Duration::from_secs(1);

/// How long a router may be silent in a fleet of some size.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    /// To those that have to hear of it.
    pub(super) silent_after: Duration,
    /// Where nobody reports it gone.
    pub(super) counts_for: Duration,
}

/// One other router.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) hall: DataHall,
    pub(super) strength: Strength,
    pub(super) hash: VmHash,
    /// Its last datagram; before the first, when others had heard of it.
    pub(super) heard: Instant,
    /// The youngest heartbeat that others reported.
    pub(super) reported_heard: Option<Instant>,
    /// Since when it is silent to those that have to hear of it, or stops.
    pub(super) gone_at: Option<Instant>,
    /// When this router came to know of it, or of a change of whether it lives.
    pub(super) changed_at: Instant,
    /// Since when this router has to hear of it.
    pub(super) watched_since: Option<Instant>,
    /// When a call to it last brought no answer, since it was last heard itself.
    pub(super) unreachable_at: Option<Instant>,
    /// Its life, and the moment of it in its last datagram; zero before the first.
    pub(super) stamp: Stamp,
    /// The life before this one, of which datagrams may still be on their way.
    pub(super) former_life: Option<Incarnation>,
    /// Of its last datagram; 0 before the first.
    pub(super) number: u64,
    pub(super) calls: u32,
    pub(super) stopping: bool,
    pub(super) mirror: StoreRevision,
    /// When the peer last heard from the store, if it reads it.
    pub(super) store_heard: Option<Instant>,
}

impl Peer {
    /// By its own datagram; `before` is what was known of it.
    pub(super) fn heard(
        now: Instant,
        from: SocketAddr,
        told: &Datagram,
        before: Option<&Self>,
    ) -> Self {
        let same_life = before.filter(|p| p.life() == told.sent.life);
        let former_life = match same_life {
            Some(p) => p.former_life,
            None => before.map(Self::life),
        };
        Self {
            address: from,
            hall: told.hall.clone(),
            strength: told.strength,
            hash: VmHash::from(&told.vm),
            heard: now,
            reported_heard: None,
            gone_at: told.stopping.then(|| {
                let since = same_life.and_then(|p| p.gone_at);
                since.unwrap_or(now)
            }),
            changed_at: same_life.map_or(now, |p| p.changed_at),
            watched_since: same_life.and_then(|p| p.watched_since),
            unreachable_at: None,
            stamp: told.sent,
            former_life,
            number: told.number,
            calls: told.calls,
            stopping: told.stopping,
            mirror: told.mirror,
            store_heard: before.and_then(|p| p.store_heard),
        }
    }

    /// By a record of a peer, which last heard of it at `heard`.
    pub(super) fn from_record(
        told: &MemberRecord,
        now: Instant,
        heard: Instant,
        gone_at: Option<Instant>,
    ) -> Self {
        Self {
            address: told.address,
            hall: told.hall.clone(),
            strength: told.strength,
            hash: VmHash::from(&told.vm),
            heard,
            reported_heard: None,
            gone_at,
            changed_at: now,
            watched_since: None,
            unreachable_at: None,
            stamp: Stamp {
                life: told.life,
                micros: 0,
            },
            former_life: None,
            number: 0,
            calls: 0,
            stopping: false,
            mirror: StoreRevision::default(),
            store_heard: None,
        }
    }

    /// Which start of it is known.
    pub(super) fn life(&self) -> Incarnation {
        self.stamp.life
    }

    /// Whether it was heard itself.
    pub(super) fn is_direct(&self) -> bool {
        self.number > 0
    }

    /// Whether a life is over that is not this one. Lives are numbered by the time of day, which
    /// may have been set back: an earlier number counts once the known life is silent.
    pub(super) fn is_of_the_past(&self, now: Instant, life: Incarnation) -> bool {
        let speaks = now.since(self.heard) < LIFE_SILENT;
        self.former_life == Some(life) || (self.life() > life && speaks)
    }

    /// Whether another life that others report may have begun after this one. One that is numbered lower has to speak
    /// for itself.
    pub(super) fn may_be_followed_by(&self, life: Incarnation) -> bool {
        self.former_life != Some(life) && life > self.life()
    }

    /// Its last heartbeat.
    pub(super) fn last_heartbeat(&self) -> Instant {
        self.reported_heard
            .map_or(self.heard, |at| at.max(self.heard))
    }

    /// Whether it lives, if one that is silent counts for so long. One that did not answer a call is back once others
    /// heard of it since; what they report is older than it says by `silent_after` at the most.
    pub(super) fn lives(&self, now: Instant, limits: Silence) -> bool {
        let heartbeat = self.last_heartbeat();
        let back = |at: Instant| heartbeat > at + limits.silent_after;
        let is_reached = self.unreachable_at.is_none_or(back);
        let is_out = self.stopping || self.gone_at.is_some();
        !is_out && is_reached && now.since(heartbeat) < limits.counts_for
    }
}

/// A peer to send to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receiver {
    /// Its name, once it was heard of.
    pub vm: Option<VmId>,
    /// Its data hall, once it was heard of.
    pub hall: Option<DataHall>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The youngest stamp that was heard from it.
    pub echo: Option<Stamp>,
}

impl Receiver {
    /// A router of which only the address is known.
    pub(super) fn at(address: SocketAddr) -> Self {
        Self {
            vm: None,
            hall: None,
            address,
            echo: None,
        }
    }

    /// A known peer.
    pub(super) fn of((vm, peer): (&VmId, &Peer)) -> Self {
        Self {
            vm: Some(vm.clone()),
            hall: Some(peer.hall.clone()),
            address: peer.address,
            echo: peer.is_direct().then_some(peer.stamp),
        }
    }
}

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was heard of a moment ago.
    Alive,
    /// It said that it stops.
    Stopping,
    /// It is silent.
    Dead,
}

impl MemberState {
    /// Whether it counts.
    pub fn is_alive(self) -> bool {
        self == Self::Alive
    }
}

/// Another router, for operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_hall: DataHall,
    /// What is believed of it.
    pub state: MemberState,
    /// How long ago it was last heard of, in milliseconds.
    pub silent_ms: u64,
}

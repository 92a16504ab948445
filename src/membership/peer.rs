//! State that this router holds about one other router.

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

/// Silence of a router's known incarnation after which one with a lower number is accepted.
///
/// Twice the longest interval between two datagrams of a router, also in a fleet of several
/// hundred.
const INCARNATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on the silence of a router, which depend on the size of the fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct SilenceLimits {
    /// Limit towards the routers that monitor it.
    pub(super) failure_timeout: Duration,
    /// Limit if no router reports it as down.
    pub(super) unreported_timeout: Duration,
}

/// One other router.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) hall: DataHall,
    pub(super) capacity: Strength,
    pub(super) hash: VmHash,
    /// When its last datagram arrived; before the first one, when others last received a heartbeat
    /// of it.
    pub(super) last_datagram_at: Instant,
    /// Latest heartbeat that other routers reported.
    pub(super) last_reported_heartbeat: Option<Instant>,
    /// Since when it is silent to the routers that monitor it, or stops.
    pub(super) down_since: Option<Instant>,
    /// When this router learned of it, or of the last change of whether it is alive.
    pub(super) changed_at: Instant,
    /// Since when this router monitors its heartbeats.
    pub(super) monitored_since: Option<Instant>,
    /// When a call to it last got no answer; cleared by its next datagram.
    pub(super) unreachable_at: Option<Instant>,
    /// Its incarnation, and its clock in its last datagram; the clock is zero before the first one.
    pub(super) stamp: Stamp,
    /// Previous incarnation, whose datagrams may still arrive.
    pub(super) former_incarnation: Option<Incarnation>,
    /// Sequence number of its last datagram; 0 before the first one.
    pub(super) number: u64,
    pub(super) calls: u32,
    pub(super) stopping: bool,
    pub(super) mirror_revision: StoreRevision,
    /// When the peer last received an answer from the store, if it reads it.
    pub(super) store_answered_at: Option<Instant>,
}

impl Peer {
    /// Builds the state from the router's own datagram; `before` is the previous state.
    pub(super) fn from_datagram(
        now: Instant,
        from: SocketAddr,
        datagram: &Datagram,
        before: Option<&Self>,
    ) -> Self {
        let same_incarnation = before.filter(|p| p.incarnation() == datagram.sent.incarnation);
        let former_incarnation = match same_incarnation {
            Some(p) => p.former_incarnation,
            None => before.map(Self::incarnation),
        };
        Self {
            address: from,
            hall: datagram.hall.clone(),
            capacity: datagram.capacity,
            hash: VmHash::from(&datagram.vm),
            last_datagram_at: now,
            last_reported_heartbeat: None,
            down_since: datagram.stopping.then(|| {
                let since = same_incarnation.and_then(|p| p.down_since);
                since.unwrap_or(now)
            }),
            changed_at: same_incarnation.map_or(now, |p| p.changed_at),
            monitored_since: same_incarnation.and_then(|p| p.monitored_since),
            unreachable_at: None,
            stamp: datagram.sent,
            former_incarnation,
            number: datagram.number,
            calls: datagram.calls,
            stopping: datagram.stopping,
            mirror_revision: datagram.mirror_revision,
            store_answered_at: before.and_then(|p| p.store_answered_at),
        }
    }

    /// Builds the state from a record that a peer sent; `heartbeat` is the time of the last
    /// heartbeat in it.
    pub(super) fn from_record(
        record: &MemberRecord,
        now: Instant,
        heartbeat: Instant,
        down_since: Option<Instant>,
    ) -> Self {
        Self {
            address: record.address,
            hall: record.hall.clone(),
            capacity: record.capacity,
            hash: VmHash::from(&record.vm),
            last_datagram_at: heartbeat,
            last_reported_heartbeat: None,
            down_since,
            changed_at: now,
            monitored_since: None,
            unreachable_at: None,
            stamp: Stamp {
                incarnation: record.incarnation,
                micros: 0,
            },
            former_incarnation: None,
            number: 0,
            calls: 0,
            stopping: false,
            mirror_revision: StoreRevision::default(),
            store_answered_at: None,
        }
    }

    /// Returns the known incarnation.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.stamp.incarnation
    }

    /// Whether the router itself has sent a datagram.
    pub(super) fn has_sent(&self) -> bool {
        self.number > 0
    }

    /// Whether `other`, an incarnation other than the known one, is over.
    ///
    /// Incarnations are numbered by the time of day, which may have been set back: a lower number
    /// is accepted once the known incarnation is silent.
    pub(super) fn is_outdated(&self, now: Instant, other: Incarnation) -> bool {
        let is_active = now.since(self.last_datagram_at) < INCARNATION_TIMEOUT;
        self.former_incarnation == Some(other) || (self.incarnation() > other && is_active)
    }

    /// Whether `other`, an incarnation that others report, may be a later one than the known one.
    ///
    /// One with a lower number is accepted only from the router's own datagrams.
    pub(super) fn may_be_succeeded_by(&self, other: Incarnation) -> bool {
        self.former_incarnation != Some(other) && other > self.incarnation()
    }

    /// Returns the time of its last heartbeat, received directly or reported.
    pub(super) fn last_heartbeat(&self) -> Instant {
        self.last_reported_heartbeat
            .map_or(self.last_datagram_at, |at| at.max(self.last_datagram_at))
    }

    /// Whether the router is alive, given the limits on its silence.
    ///
    /// A router that did not answer a call is alive again once others report a later heartbeat. The
    /// true time of a reported heartbeat is earlier than the reported one by `failure_timeout` at
    /// the most.
    pub(super) fn is_alive(&self, now: Instant, limits: SilenceLimits) -> bool {
        let heartbeat = self.last_heartbeat();
        let is_back = |at: Instant| heartbeat > at + limits.failure_timeout;
        let is_reachable = self.unreachable_at.is_none_or(is_back);
        let is_down = self.stopping || self.down_since.is_some();
        !is_down && is_reachable && now.since(heartbeat) < limits.unreported_timeout
    }
}

/// A peer to send datagrams to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receiver {
    /// Its VM, if known.
    pub vm: Option<VmId>,
    /// Its data hall, if known.
    pub hall: Option<DataHall>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Latest stamp received from it.
    pub echo: Option<Stamp>,
}

impl Receiver {
    /// Returns a receiver of which only the address is known.
    pub(super) fn at(address: SocketAddr) -> Self {
        Self {
            vm: None,
            hall: None,
            address,
            echo: None,
        }
    }

    /// Returns the receiver for a known peer.
    pub(super) fn of((vm, peer): (&VmId, &Peer)) -> Self {
        Self {
            vm: Some(vm.clone()),
            hall: Some(peer.hall.clone()),
            address: peer.address,
            echo: peer.has_sent().then_some(peer.stamp),
        }
    }
}

/// State of a router as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It sent a heartbeat recently.
    Alive,
    /// It announced that it stops.
    Stopping,
    /// It is silent.
    Dead,
}

impl MemberState {
    /// Whether the router counts as a live member.
    pub fn is_alive(self) -> bool {
        self == Self::Alive
    }
}

/// Another router as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHall,
    /// Its state as this router sees it.
    pub state: MemberState,
    /// Time since its last known heartbeat, in milliseconds.
    pub silent_ms: u64,
}

//! Which routers read the store on behalf of the fleet, and which router the others ask.

use std::{net::SocketAddr, time::Duration};

use super::{feeders::MIN_FLEET_WITH_FEEDERS, peer::Peer, peers::Peers};
use crate::{
    ids::VmId,
    placement::owner,
    units::{Instant, StoreRevision},
};

/// Number of routers that read the store on behalf of the fleet.
///
/// If a third of the routers are cut off from the store, one of three nearly always still reaches
/// it. If none does, as many of the routers that reach it replace them.
pub(super) const READER_COUNT: usize = 3;

/// Key by which readers are selected with rendezvous hashing.
pub(super) const READERS_KEY: &str = "store readers";

/// Maximum time since a reader's last answer from the store for others to rely on that reader: one
/// watch, its pause and a datagram.
///
/// All routers have to know a change after two seconds, even if it is made right after all readers
/// were cut off.
const READER_TTL: Duration = Duration::from_millis(1_500);

/// How long after its start a router waits for a reader before it reads the store itself.
///
/// Routers that start together do not know one another yet.
const START_WAIT: Duration = Duration::from_millis(700);

/// Addition to that wait per live router: before all routers go to the store at once, the readers
/// of a fleet that starts together must have listed all targets and passed them on to some of the
/// others.
const START_WAIT_PER_ROUTER: Duration = Duration::from_millis(8);

/// How long the routers of a fleet that starts for the first time only discover one another.
///
/// Processes start within some tenths of a second, and discovery takes several rounds of datagrams
/// from the few known addresses.
const DISCOVERY_TIME: Duration = Duration::from_millis(800);

/// How long after its start a non-reader of such a fleet waits for a reader.
///
/// No router serves calls yet, and the readers of up to a hundred routers have fed them all by
/// then.
const FIRST_START_WAIT: Duration = Duration::from_millis(2_500);

/// Minimum interval between a non-reader's own calls to a store that does not answer.
///
/// Each call has a cost, and the readers notice first that the store is back. In the meantime it
/// asks any reader that appears.
const MIN_NON_READER_BACKOFF: Duration = Duration::from_millis(1_500);

/// Addition to that interval per live router, so that a fleet of hundreds does not call a store
/// that is down 200 times a second. Many routers that call rarely notice its return as soon as a
/// few that call often.
const NON_READER_BACKOFF_PER_ROUTER: Duration = Duration::from_millis(50);

/// Maximum of that interval: a router that does not know that its peers are gone recovers by
/// itself.
const MAX_NON_READER_BACKOFF: Duration = Duration::from_secs(5);

/// How long a router that starts later than the first time waits for a datagram of any other: a
/// live router at one of the known addresses answers within this time.
const FIRST_CONTACT_WAIT: Duration = Duration::from_millis(250);

/// Fleet size from which a router of a fleet that starts for the first time waits until it knows the others; a
/// router that starts later does so in a fleet with feeders.
///
/// Otherwise each router of a fleet that starts together lists all targets by itself, which takes
/// the store longer than the routers take to discover one another.
const MIN_FLEET_TO_SETTLE: usize = 32;

/// Maximum of that wait while no router serves calls yet.
const MAX_SETTLE_FIRST_START: Duration = Duration::from_secs(4);

/// Maximum of that wait while clients wait: a few dozen routers that take themselves for readers
/// cost less than a longer wait.
const MAX_SETTLE_LATER_START: Duration = Duration::from_millis(1_500);

/// Fraction of the reported fleet that a router must know to end that wait early: one that the others answer
/// late has not changed for a while either, and would take itself for a reader.
const SETTLED_FRACTION: f64 = 0.75;

/// Whether the whole fleet starts for the first time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FleetStart {
    /// No router serves calls yet: routers discover one another before a few of them read the
    /// store.
    First,
    /// Others may serve calls already, or clients are waiting: the store is read at once.
    #[default]
    Later,
}

/// Whether a router has had the store's content since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FirstRead {
    /// It has had none yet.
    #[default]
    Pending,
    /// It has had it, and may have to list it again.
    Done,
}

/// State of this router's access to the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadState {
    /// Whether it has listed the store's entries once, or received them from a peer.
    pub listed: bool,
    /// Whether it has had the store's content since its start.
    pub first_read: FirstRead,
    /// Whether the store failed to answer its last call.
    pub store_lost: bool,
    /// Whether it recently received an answer from the store itself.
    pub reads_store: bool,
    /// Store revision up to which it has every change.
    pub revision: StoreRevision,
    /// Whether the whole fleet starts for the first time.
    pub start: FleetStart,
    /// Earliest time of its next call to the store.
    pub retry_at: Instant,
}

/// Source that a router asks next for changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The peer at this address.
    Ask(SocketAddr),
    /// The store itself.
    Store,
    /// None yet; a reader may appear at any moment.
    Wait,
}

impl Peers {
    /// Returns the source to ask next.
    pub fn next_read(&self, now: Instant, state: &ReadState) -> NextRead {
        if self.is_discovering(now, state.start) {
            return NextRead::Wait;
        }
        if self.uses_feeders(now) {
            return self.next_read_via_feeders(now, state);
        }
        if self.is_first_read(state) {
            return self.first_read(now, state);
        }
        let is_reader = self.is_active_reader(now, state);
        let first_wait = match state.start {
            FleetStart::First => FIRST_START_WAIT,
            FleetStart::Later => START_WAIT + START_WAIT_PER_ROUTER * self.live_count(now) as u32,
        };
        // While the store does not answer, what any peer still knows is better than nothing.
        let ahead = self.peer_ahead_of(now, state.revision);
        let ahead = ahead.filter(|_| state.listed || state.store_lost);
        match ahead.or_else(|| self.choose_reader(now)) {
            Some(reader) if !is_reader || state.store_lost => NextRead::Ask(reader),
            None if !is_reader && now.0 < first_wait => NextRead::Wait,
            _ if now < state.retry_at => NextRead::Wait,
            _ => NextRead::Store,
        }
    }

    /// Whether this router has just started and is still discovering the others.
    fn is_discovering(&self, now: Instant, start: FleetStart) -> bool {
        let knows_none = self.by_vm.is_empty();
        let size = self.fleet_size();
        match start {
            FleetStart::First => {
                let is_learning = size >= MIN_FLEET_TO_SETTLE && !self.is_settled(now);
                now.0 < DISCOVERY_TIME || (is_learning && now.0 < MAX_SETTLE_FIRST_START)
            }
            FleetStart::Later => {
                let waits = knows_none && !self.unconfirmed_addresses.is_empty();
                let knows_most = self.live_count(now) as f64 >= size as f64 * SETTLED_FRACTION;
                let is_learning =
                    size >= MIN_FLEET_WITH_FEEDERS && !(knows_most && self.is_settled(now));
                (waits && now.0 < FIRST_CONTACT_WAIT)
                    || (is_learning && now.0 < MAX_SETTLE_LATER_START)
            }
        }
    }

    /// Whether this router reads the store on behalf of the fleet, as a designated reader or as a
    /// substitute.
    fn is_active_reader(&self, now: Instant, state: &ReadState) -> bool {
        self.is_reader(now) || (state.reads_store && self.is_substitute_reader(now))
    }

    /// Returns the interval between a non-reader's own calls to a store that does not answer.
    pub fn non_reader_backoff(&self, now: Instant) -> Duration {
        let interval = NON_READER_BACKOFF_PER_ROUTER * self.live_count(now) as u32;
        interval.clamp(MIN_NON_READER_BACKOFF, MAX_NON_READER_BACKOFF)
    }

    /// Whether this router is one of the designated readers.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.designated_readers(now).contains(&&self.me)
    }

    /// Whether this router, which read the store recently, continues to read it on behalf of the
    /// fleet.
    ///
    /// If it stopped at once, all substitutes would ask one another and none would ask the store.
    pub fn is_substitute_reader(&self, now: Instant) -> bool {
        self.acting_readers(now, Some(&self.me)).contains(&&self.me)
    }

    /// Returns a peer that recently received an answer from the store; the choice spreads the
    /// routers over these peers.
    pub fn choose_reader(&self, now: Instant) -> Option<SocketAddr> {
        let acting = self.acting_readers(now, None);
        let chosen = owner(self.me.as_str(), acting.into_iter())?;
        self.by_vm.get(chosen).map(|p| p.address)
    }

    /// Returns a peer that reads the store, also where routers learn of changes from feeders and do not hear which
    /// readers it answered.
    pub fn any_reader(&self, now: Instant) -> Option<SocketAddr> {
        let designated = || {
            let mut readers = self.designated_readers(now).into_iter();
            readers.find_map(|vm| self.by_vm.get(vm))
        };
        self.choose_reader(now)
            .or_else(|| designated().map(|p| p.address))
    }

    /// Returns the acting readers, each with the time since its last answer from the store, in
    /// milliseconds.
    pub fn readers(&self, now: Instant) -> Vec<(VmId, u32)> {
        // Routers behind feeders learn of changes from their feeder.
        if self.uses_feeders(now) {
            return Vec::new();
        }
        let age = |p: &Peer| {
            let answered_at = p.store_answered_at.unwrap_or_default();
            now.since(answered_at).as_millis() as u32
        };
        let acting = self.acting_readers(now, None).into_iter();
        let ages = acting.filter_map(|vm| self.by_vm.get(vm).map(|p| (vm.clone(), age(p))));
        ages.collect()
    }

    /// Returns the peer with the highest store revision, if it is beyond `revision`.
    pub fn peer_ahead_of(&self, now: Instant, revision: StoreRevision) -> Option<SocketAddr> {
        let ahead = self
            .live_peers(now)
            .filter(|p| p.mirror_revision > revision);
        ahead.max_by_key(|p| p.mirror_revision).map(|p| p.address)
    }

    /// Returns the store revision that a peer announced: it has every change up to it.
    pub fn mirror_revision_of(&self, address: SocketAddr) -> Option<StoreRevision> {
        let peer = self.by_vm.values().find(|p| p.address == address);
        peer.map(|p| p.mirror_revision)
    }

    /// Applies a peer's report of when readers last received an answer from the store.
    pub(super) fn on_store_readers(&mut self, now: Instant, ages: &[(VmId, u32)]) {
        for (reader, age_ms) in ages {
            let age = Duration::from_millis(u64::from(*age_ms));
            let answered_at = Instant(now.0.saturating_sub(age));
            if let Some(peer) = self.by_vm.get_mut(reader) {
                peer.store_answered_at = peer.store_answered_at.max(Some(answered_at));
            }
        }
    }

    pub(super) fn designated_readers(&self, now: Instant) -> Vec<&VmId> {
        Self::owners_by_capacity(READERS_KEY, self.live_capacities(now), READER_COUNT)
    }

    /// Returns the designated readers that recently received an answer from the store, `me`
    /// included if given; if there are none, a few other routers that did.
    pub(super) fn acting_readers<'a>(
        &'a self,
        now: Instant,
        me: Option<&'a VmId>,
    ) -> Vec<&'a VmId> {
        let fresh = |(_, p): &(&VmId, &Peer)| self.is_fresh_reader(now, p);
        let fresh = self.by_vm.iter().filter(fresh);
        let fresh = fresh.map(|(vm, p)| (vm, p.capacity));
        let fresh: Vec<_> = fresh.chain(me.map(|me| (me, self.capacity))).collect();
        let mut acting = self.designated_readers(now);
        acting.retain(|vm| fresh.iter().any(|(f, _)| f == vm));
        match acting.is_empty() {
            true => Self::owners_by_capacity(READERS_KEY, fresh.into_iter(), READER_COUNT),
            false => acting,
        }
    }

    fn is_fresh_reader(&self, now: Instant, peer: &Peer) -> bool {
        let fresh = |at| now.since(at) < READER_TTL;
        self.is_alive(now, peer) && peer.store_answered_at.is_some_and(fresh)
    }
}

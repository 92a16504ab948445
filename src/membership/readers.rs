//! Who reads the store for all, and whom the others ask.

use std::{net::SocketAddr, time::Duration};

use super::{peer::Peer, peers::Peers};
use crate::{
    ids::VmId,
    placement::keeper,
    units::{Instant, StoreRevision},
};

/// Routers that read the store for all: with a third of the routers cut off from it, one of three
/// still reaches it nearly always. Where none does, as many of those that do stand in.
const READERS: usize = 3;

/// What readers are chosen by.
const READERS_KEY: &str = "store readers";

/// How long ago a reader may have heard from the store for others to rely on that reader: a watch, its
/// pause and a datagram. Two seconds after a change all have to know it, also where it came right
/// after all readers were cut off.
const READER_FRESH: Duration = Duration::from_millis(1_500);

/// How long after its start a router still waits to hear from a reader before it goes to the
/// store itself. Routers that start together do not know one another yet.
const FIRST_WAIT: Duration = Duration::from_millis(700);

/// What each router that it has heard of adds to that wait: the readers of a fleet that starts
/// together must have listed all targets, and told some of the others, before all go there at once.
const FIRST_WAIT_PER_ROUTER: Duration = Duration::from_millis(8);

/// How long routers of a fleet that starts for the first time let one another be found: processes
/// start within some tenths of a second, and it takes some rounds of datagrams from the few addresses
/// that are known.
const FIND_ONE_ANOTHER: Duration = Duration::from_millis(800);

/// How long those that are no readers then wait for one: nobody serves yet, and readers
/// of up to a hundred routers have fed them all by then.
const FIRST_START_WAIT: Duration = Duration::from_millis(2_500);

/// The pause of a router that is no reader between its own calls to a store that does not answer: each
/// call has its price, and the readers will know first. Meanwhile it asks any reader that turns up.
const BYSTANDER_LEAST: Duration = Duration::from_millis(1_500);

/// What each router that lives adds to that pause, so that a fleet of hundreds does not call a store that
/// is down 200 times a second: some of them find its return as soon as few that call often.
const BYSTANDER_PER_ROUTER: Duration = Duration::from_millis(50);

/// The longest such pause: a router whose peers are gone without its knowledge comes back by itself.
const BYSTANDER_LONGEST: Duration = Duration::from_secs(5);

/// How long a router that starts later than the first time waits to hear of any other: one of those whose addresses it
/// knows answers within this, if it lives.
const LOOK_AROUND: Duration = Duration::from_millis(250);

/// Routers from which on one that starts waits until it knows the others: else each of a fleet that starts together lists
/// all targets by itself, which takes the store longer than it takes the routers to find one another.
const MANY: usize = 32;

/// The longest wait for that where nobody serves yet.
const SETTLE_LONGEST: Duration = Duration::from_secs(4);

/// The longest such wait where callers wait: some dozens of routers that take themselves for readers cost less than that.
const SETTLE_LATER: Duration = Duration::from_millis(1_500);

/// Whether the whole fleet starts for the first time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FleetStart {
    /// Nobody serves yet: routers find one another before a few of them read the store.
    First,
    /// Others may serve, or callers wait: the store is read at once.
    #[default]
    Later,
}

/// How a router stands to the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadState {
    /// It has listed the store's entries once, or was told them.
    pub listed: bool,
    /// The store did not answer its last call.
    pub store_lost: bool,
    /// It heard from the store itself a moment ago.
    pub reads_store: bool,
    /// The revision up to which it knows all.
    pub revision: StoreRevision,
    /// Whether the whole fleet starts for the first time.
    pub start: FleetStart,
    /// When it may call the store again.
    pub retry_at: Instant,
}

/// Whom a router asks next for what is new in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// A peer.
    Ask(SocketAddr),
    /// The store itself.
    Store,
    /// Nobody yet; a reader may turn up any moment.
    Wait,
}

impl Peers {
    /// Whom to ask next.
    pub fn next_read(&self, now: Instant, state: &ReadState) -> NextRead {
        if self.looks_around(now, state.start) {
            return NextRead::Wait;
        }
        if self.is_fed(now) {
            return self.next_of_fed(now, state);
        }
        let is_reader = self.reads_for_all(now, state);
        let first_wait = match state.start {
            FleetStart::First => FIRST_START_WAIT,
            FleetStart::Later => FIRST_WAIT + FIRST_WAIT_PER_ROUTER * self.alive(now) as u32,
        };
        // Without the store, what any peer still knows is better than nothing.
        let ahead = self.ahead(now, state.revision);
        let ahead = ahead.filter(|_| state.listed || state.store_lost);
        match ahead.or_else(|| self.reader(now)) {
            Some(reader) if !is_reader || state.store_lost => NextRead::Ask(reader),
            None if !is_reader && now.0 < first_wait => NextRead::Wait,
            _ if now < state.retry_at => NextRead::Wait,
            _ => NextRead::Store,
        }
    }

    /// Whether this router has just started and does not know yet who else there is.
    fn looks_around(&self, now: Instant, start: FleetStart) -> bool {
        let alone = self.heard.is_empty();
        let (finds_others, longest) = match start {
            FleetStart::First => (now.0 < FIND_ONE_ANOTHER, SETTLE_LONGEST),
            FleetStart::Later => {
                let waits = alone && !self.unheard.is_empty();
                (now.0 < LOOK_AROUND && waits, SETTLE_LATER)
            }
        };
        let learns = self.size() >= MANY && !self.is_settled(now) && now.0 < longest;
        finds_others || learns
    }

    /// Whether this router reads the store for all, named or as a stand-in.
    fn reads_for_all(&self, now: Instant, state: &ReadState) -> bool {
        self.is_reader(now) || (state.reads_store && self.stands_in(now))
    }

    /// The pause of a router that is no reader between its own calls to a store that does not answer.
    pub fn bystander_backoff(&self, now: Instant) -> Duration {
        let paced = BYSTANDER_PER_ROUTER * self.alive(now) as u32;
        paced.clamp(BYSTANDER_LEAST, BYSTANDER_LONGEST)
    }

    /// Whether this router is one of those that are named to read the store for all.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.named(now).contains(&&self.me)
    }

    /// Whether this router, which has read the store a moment ago, goes on to read it for all. Had
    /// it stopped at once, all that stand in would ask one another and none the store.
    pub fn stands_in(&self, now: Instant) -> bool {
        self.acting(now, Some(&self.me)).contains(&&self.me)
    }

    /// A peer that reads the store and heard from it a moment ago; routers spread over them.
    pub fn reader(&self, now: Instant) -> Option<SocketAddr> {
        let acting = self.acting(now, None);
        let chosen = keeper(self.me.as_str(), acting.into_iter())?;
        self.heard.get(chosen).map(|p| p.address)
    }

    /// How long ago the peers that read the store heard from it, in milliseconds.
    pub fn readers(&self, now: Instant) -> Vec<(VmId, u32)> {
        // Those that are fed hear of it from whoever feeds them.
        if self.is_fed(now) {
            return Vec::new();
        }
        let age = |p: &Peer| {
            let heard = p.store_heard.unwrap_or_default();
            now.since(heard).as_millis() as u32
        };
        let acting = self.acting(now, None).into_iter();
        let told = acting.filter_map(|vm| self.heard.get(vm).map(|p| (vm.clone(), age(p))));
        told.collect()
    }

    /// A peer that knows more of the store than up to a revision.
    pub fn ahead(&self, now: Instant, revision: StoreRevision) -> Option<SocketAddr> {
        let ahead = self.living(now).filter(|p| p.mirror > revision);
        ahead.max_by_key(|p| p.mirror).map(|p| p.address)
    }

    /// The revision of the store up to which a peer said that it knows all.
    pub fn mirror_of(&self, address: SocketAddr) -> Option<StoreRevision> {
        let peer = self.heard.values().find(|p| p.address == address);
        peer.map(|p| p.mirror)
    }

    /// A peer announced when readers last heard from the store.
    pub(super) fn on_store_readers(&mut self, now: Instant, told: &[(VmId, u32)]) {
        for (reader, age_ms) in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            let heard = Instant(now.0.saturating_sub(age));
            if let Some(peer) = self.heard.get_mut(reader) {
                peer.store_heard = peer.store_heard.max(Some(heard));
            }
        }
    }

    pub(super) fn named(&self, now: Instant) -> Vec<&VmId> {
        Self::strong_keepers(READERS_KEY, self.strengths(now), READERS)
    }

    /// Of the routers that heard from the store a moment ago, `me` included if given: those that are named,
    /// or where none of these is among them, a few.
    fn acting<'a>(&'a self, now: Instant, me: Option<&'a VmId>) -> Vec<&'a VmId> {
        let fresh = |(_, p): &(&VmId, &Peer)| self.is_fresh_reader(now, p);
        let fresh = self.heard.iter().filter(fresh);
        let fresh = fresh.map(|(vm, p)| (vm, p.strength));
        let fresh: Vec<_> = fresh.chain(me.map(|me| (me, self.strength))).collect();
        let mut acting = self.named(now);
        acting.retain(|vm| fresh.iter().any(|(f, _)| f == vm));
        match acting.is_empty() {
            true => Self::strong_keepers(READERS_KEY, fresh.into_iter(), READERS),
            false => acting,
        }
    }

    fn is_fresh_reader(&self, now: Instant, peer: &Peer) -> bool {
        let fresh = |at| now.since(at) < READER_FRESH;
        self.is_alive(now, peer) && peer.store_heard.is_some_and(fresh)
    }
}

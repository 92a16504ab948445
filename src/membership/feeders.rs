//! From whom a router of a large fleet hears what is new in the store.
//!
//! A few routers read the store; each data hall has feeders that ask these, and all others ask a feeder of their hall. So
//! nobody feeds more than some dozens, whatever the size of the fleet, and what is new, or that nothing is, passes two
//! routers on its way to the last one.
//!
//! The load pattern that this answers: hundreds of routers before thousands of targets. Three readers that fed all of
//! them would send each list some hundred times over one link, and the proof of the configuration would come by
//! datagrams through hubs, each of which adds its pace twice.

use std::{net::SocketAddr, time::Duration};

use super::{
    peers::Peers,
    readers::{NextRead, ReadState},
};
use crate::{
    ids::{DataHall, VmId},
    placement::keepers,
    units::Instant,
};

/// Routers from which on feeders stand between readers and the others.
const FED_FLEET: usize = 128;

/// Routers that one feeds, on average.
const FED: usize = 24;

/// What feeders are chosen by.
const FEEDERS_KEY: &str = "store feeders";

/// How long a router that had nothing recent is not asked again, if another one is left.
const PARENT_REST: Duration = Duration::from_secs(1);

/// How long feeders that have listed nothing yet wait for a reader before they go to the store themselves.
const FEEDER_WAIT: Duration = Duration::from_secs(5);

/// How long the others wait for a feeder: so long that feeders which went to the store have listed it.
const FED_WAIT: Duration = Duration::from_secs(9);

impl Peers {
    /// Whether feeders stand between readers and the others.
    pub fn is_fed(&self, now: Instant) -> bool {
        self.alive(now) >= FED_FLEET
    }

    /// Whether this router feeds others of its data hall.
    pub fn is_feeder(&self, now: Instant) -> bool {
        self.feeders_of(now, &self.hall).contains(&&self.me)
    }

    /// A router that was asked had nothing recent, or did not answer.
    pub fn on_had_nothing(&mut self, now: Instant, asked: SocketAddr) {
        self.had_nothing
            .retain(|_, at| now.since(*at) < PARENT_REST);
        self.had_nothing.insert(asked, now);
    }

    /// What a router of a large fleet asks next.
    pub(super) fn next_of_fed(&self, now: Instant, state: &ReadState) -> NextRead {
        let reads = self.is_reader(now) && !state.store_lost;
        let parent = self.parent(now).filter(|_| !reads);
        let waits_for = match self.is_feeder(now) {
            true => FEEDER_WAIT,
            false => FED_WAIT,
        };
        match parent {
            Some(parent) => NextRead::Ask(parent),
            None if !reads && !state.listed && now.0 < waits_for => NextRead::Wait,
            None if now < state.retry_at => NextRead::Wait,
            None => NextRead::Store,
        }
    }

    /// Whom this router asks: a feeder of its hall, or as a feeder a reader; others while these have nothing.
    fn parent(&self, now: Instant) -> Option<SocketAddr> {
        let me = self.me.as_str();
        let readers = keepers(me, self.named(now).into_iter(), usize::MAX);
        let feeders = self.feeders_of(now, &self.hall);
        let feeders = keepers(me, feeders.into_iter(), usize::MAX);
        let asked = match feeders.contains(&&self.me) || readers.contains(&&self.me) {
            true => readers.into_iter().chain(feeders),
            false => feeders.into_iter().chain(readers),
        };
        let rests = |address: &SocketAddr| {
            let at = self.had_nothing.get(address);
            at.is_some_and(|at| now.since(*at) < PARENT_REST)
        };
        let addresses = asked.filter_map(|vm| self.heard.get(vm).map(|p| p.address));
        addresses.into_iter().find(|address| !rests(address))
    }

    /// The feeders of a data hall: its stronger routers, and others where these are too few.
    fn feeders_of(&self, now: Instant, hall: &DataHall) -> Vec<&VmId> {
        let others = self.living_named(now).filter(|(_, p)| p.hall == *hall);
        let others = others.map(|(vm, p)| (vm, p.strength));
        let me = (*hall == self.hall).then_some((&self.me, self.strength));
        let here: Vec<_> = others.chain(me).collect();
        let wanted = here.len().div_ceil(FED);
        let strongest = here.iter().map(|(_, strength)| *strength).max();
        let least = strongest.unwrap_or_default().half();
        let (strong, weak): (Vec<_>, Vec<_>) = here.into_iter().partition(|r| r.1 >= least);
        let named = |routers: Vec<(_, _)>, n| {
            let names = routers.into_iter().map(|(vm, _)| vm);
            keepers(FEEDERS_KEY, names, n)
        };
        let mut feeders = named(strong, wanted);
        feeders.extend(named(weak, wanted - feeders.len()));
        feeders
    }
}

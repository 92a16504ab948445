//! Distribution of store changes in a large fleet.
//!
//! A few routers read the store. Each data hall has feeders that ask these readers, and all other
//! routers ask a feeder of their hall. So no router feeds more than a few dozen others, whatever
//! the size of the fleet, and a change, or the confirmation that there is none, passes through two
//! routers before it reaches the last one.
//!
//! The load pattern behind this design is hundreds of routers in front of thousands of targets. If
//! three readers fed all of them, each reader would send every list several hundred times over one
//! link. The confirmation of the configuration would have to travel in datagrams through hubs, each
//! of which adds its send interval twice.

use std::{net::SocketAddr, time::Duration};

use super::{
    peers::Peers,
    readers::{NextRead, ReadState},
};
use crate::{
    ids::{DataHall, VmId},
    placement::owners,
    units::Instant,
};

/// Fleet size from which feeders stand between the readers and the other routers.
pub(super) const MIN_FLEET_WITH_FEEDERS: usize = 128;

/// Average number of routers per feeder.
const ROUTERS_PER_FEEDER: usize = 24;

/// Key by which feeders are selected with rendezvous hashing.
const FEEDERS_KEY: &str = "store feeders";

/// Interval during which a router that had nothing recent is not asked again, if another one is
/// left to ask.
const PARENT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long a feeder that has not listed the store yet waits for a reader before it reads the store
/// itself.
const MAX_WAIT_AS_FEEDER: Duration = Duration::from_secs(5);

/// How long the other routers wait for a feeder before they read the store themselves.
///
/// Long enough for feeders that had to read the store themselves to have listed it.
const MAX_WAIT_FOR_FEEDER: Duration = Duration::from_secs(9);

impl Peers {
    /// Whether feeders stand between the readers and the other routers.
    pub fn uses_feeders(&self, now: Instant) -> bool {
        self.live_count(now) >= MIN_FLEET_WITH_FEEDERS
    }

    /// Whether this router feeds others of its data hall.
    pub fn is_feeder(&self, now: Instant) -> bool {
        self.feeders_of(now, &self.hall).contains(&&self.me)
    }

    /// Records that the router at `asked` had nothing recent or did not answer.
    pub fn on_nothing_recent(&mut self, now: Instant, asked: SocketAddr) {
        self.failed_sources
            .retain(|_, at| now.since(*at) < PARENT_RETRY_INTERVAL);
        self.failed_sources.insert(asked, now);
    }

    /// Returns where a router of a large fleet reads next.
    pub(super) fn next_read_via_feeders(&self, now: Instant, state: &ReadState) -> NextRead {
        let reads_store = self.is_reader(now) && !state.store_lost;
        let parent = self.parent(now).filter(|_| !reads_store);
        let max_wait = match self.is_feeder(now) {
            true => MAX_WAIT_AS_FEEDER,
            false => MAX_WAIT_FOR_FEEDER,
        };
        match parent {
            Some(parent) => NextRead::Ask(parent),
            None if !reads_store && !state.listed && now.0 < max_wait => NextRead::Wait,
            None if now < state.retry_at => NextRead::Wait,
            None => NextRead::Store,
        }
    }

    /// Returns the router to ask for store changes.
    ///
    /// This is a feeder of the own data hall, or a reader if this router is itself a feeder or a
    /// reader. The other group is the fallback while these have nothing recent.
    fn parent(&self, now: Instant) -> Option<SocketAddr> {
        let me = self.me.as_str();
        let readers = owners(me, self.designated_readers(now).into_iter(), usize::MAX);
        let feeders = self.feeders_of(now, &self.hall);
        let feeders = owners(me, feeders.into_iter(), usize::MAX);
        let candidates = match feeders.contains(&&self.me) || readers.contains(&&self.me) {
            true => readers.into_iter().chain(feeders),
            false => feeders.into_iter().chain(readers),
        };
        let addresses = candidates.filter_map(|vm| self.by_vm.get(vm).map(|p| p.address));
        addresses
            .into_iter()
            .find(|address| !self.is_paused_source(now, *address))
    }

    /// Whether the router at this address had nothing recent or did not answer a moment ago.
    pub(super) fn is_paused_source(&self, now: Instant, address: SocketAddr) -> bool {
        let at = self.failed_sources.get(&address);
        at.is_some_and(|at| now.since(*at) < PARENT_RETRY_INTERVAL)
    }

    /// Returns the feeders of a data hall: its routers of higher capacity, and others if these are
    /// too few.
    fn feeders_of(&self, now: Instant, hall: &DataHall) -> Vec<&VmId> {
        let others = self.live_members(now).filter(|(_, p)| p.hall == *hall);
        let others = others.map(|(vm, p)| (vm, p.capacity));
        let me = (*hall == self.hall).then_some((&self.me, self.capacity));
        let here: Vec<_> = others.chain(me).collect();
        let wanted = here.len().div_ceil(ROUTERS_PER_FEEDER);
        let strongest = here.iter().map(|(_, capacity)| *capacity).max();
        let minimum = strongest.unwrap_or_default().halved();
        let (strong, weak): (Vec<_>, Vec<_>) = here.into_iter().partition(|r| r.1 >= minimum);
        let select = |routers: Vec<(_, _)>, n| {
            let names = routers.into_iter().map(|(vm, _)| vm);
            owners(FEEDERS_KEY, names, n)
        };
        let mut feeders = select(strong, wanted);
        feeders.extend(select(weak, wanted - feeders.len()));
        feeders
    }
}

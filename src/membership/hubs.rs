//! Hubs of a large fleet: which routers aggregate the counts of calls in progress in a data hall,
//! and to which routers they send them.

use std::{collections::BTreeMap, time::Duration};

use super::{
    datagram::Strength,
    peers::{Peers, Receiver},
    timing,
};
use crate::{
    ids::{DataHall, VmId},
    placement::owners,
    units::Instant,
};

/// Fleet size from which counts go through hubs; below it, every router sends to every other at 1
/// kB/s each.
pub(super) const MIN_LARGE_FLEET: usize = 16;

/// Number of hubs of one data hall; the second replaces the first when that fails.
const HUBS_PER_HALL: usize = 2;

/// How long the list of hubs is cached while no router joins or leaves: computing it visits all
/// routers.
const HUB_TABLE_TTL: Duration = Duration::from_millis(400);

/// Cached list of the hubs of each data hall.
#[derive(Debug, Default)]
pub(super) struct HubTable {
    at: Option<Instant>,
    hubs: BTreeMap<DataHall, Vec<VmId>>,
}

impl HubTable {
    /// Invalidates the list, since a router joined or left.
    pub(super) fn invalidate(&mut self) {
        self.at = None;
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.at
            .is_some_and(|at| at <= now && now.since(at) < HUB_TABLE_TTL)
    }
}

impl Peers {
    /// Whether counts go through hubs.
    pub fn is_large(&self, now: Instant) -> bool {
        self.live_count(now) >= MIN_LARGE_FLEET
    }

    /// Returns the peers that receive counts as they change.
    ///
    /// These are the hubs of the own data hall; for the router that aggregates, they are the
    /// routers of its data hall and the aggregating hubs of the others.
    pub fn frequent_receivers(&self, now: Instant) -> Vec<Receiver> {
        if !self.is_aggregator(now) {
            let hubs = self.hubs_of(now, &self.hall).into_iter();
            return hubs.filter_map(|vm| self.receiver(&vm)).collect();
        }
        let near = self.live_members(now).filter(|(_, p)| p.hall == self.hall);
        let near = near.map(Receiver::of);
        let far = self.remote_aggregators(now).into_iter();
        near.chain(far.filter_map(|vm| self.receiver(&vm)))
            .collect()
    }

    /// Whether this router aggregates the counts of its data hall: the first hub does, or the
    /// second one while the first is silent.
    pub fn is_aggregator(&self, now: Instant) -> bool {
        match self.hubs_of(now, &self.hall).as_slice() {
            [first, ..] if *first == self.me => true,
            [first, second, ..] if *second == self.me => self.is_hub_silent(now, first),
            _ => false,
        }
    }

    fn receiver(&self, vm: &VmId) -> Option<Receiver> {
        self.by_vm.get_key_value(vm).map(Receiver::of)
    }

    pub(super) fn is_hub_silent(&self, now: Instant, hub: &VmId) -> bool {
        let timeout = timing::hub_timeout(self.fleet_size());
        let peer = self.by_vm.get(hub);
        peer.is_none_or(|p| now.since(p.last_datagram_at) >= timeout)
    }

    /// Returns the `n` routers that own `key` together, selected among those of higher capacity.
    ///
    /// Candidates have at least half the capacity of the strongest router, unless fewer than `n`
    /// have.
    pub(super) fn owners_by_capacity<'a>(
        key: &str,
        routers: impl Iterator<Item = (&'a VmId, Strength)>,
        n: usize,
    ) -> Vec<&'a VmId> {
        let mut all: Vec<(&VmId, Strength)> = routers.collect();
        let mut capacities: Vec<Strength> = all.iter().map(|(_, capacity)| *capacity).collect();
        capacities.sort_unstable_by(|a, b| b.cmp(a));
        let strongest = capacities.first().copied().unwrap_or_default();
        let nth = capacities.get(n.saturating_sub(1)).copied();
        let minimum = strongest.halved().min(nth.unwrap_or_default());
        all.retain(|(_, capacity)| *capacity >= minimum);
        owners(key, all.into_iter().map(|(vm, _)| vm), n)
    }

    /// Returns all live routers with their capacity class, this one included.
    pub(super) fn live_capacities(&self, now: Instant) -> impl Iterator<Item = (&VmId, Strength)> {
        let others = self.live_members(now).map(|(vm, p)| (vm, p.capacity));
        others.chain(std::iter::once((&self.me, self.capacity)))
    }

    /// Returns the hubs that aggregate for the other data halls: the first one of each, and the
    /// second one as well while the first is silent.
    pub(super) fn remote_aggregators(&self, now: Instant) -> Vec<VmId> {
        self.refresh_hub_table(now);
        let table = self.hubs.borrow();
        let others = table.hubs.iter().filter(|(hall, _)| **hall != self.hall);
        let aggregators = |(_, hubs): (_, &Vec<VmId>)| {
            let first_is_up = hubs
                .first()
                .is_some_and(|hub| !self.is_hub_silent(now, hub));
            let aggregators = hubs
                .iter()
                .take(if first_is_up { 1 } else { HUBS_PER_HALL });
            aggregators.cloned().collect::<Vec<_>>()
        };
        others.flat_map(aggregators).collect()
    }

    /// Returns the first hub of each other data hall.
    pub(super) fn remote_first_hubs(&self, now: Instant) -> Vec<VmId> {
        self.refresh_hub_table(now);
        let table = self.hubs.borrow();
        let others = table.hubs.iter().filter(|(hall, _)| **hall != self.hall);
        others
            .filter_map(|(_, hubs)| hubs.first().cloned())
            .collect()
    }

    pub(super) fn hubs_of(&self, now: Instant, hall: &DataHall) -> Vec<VmId> {
        self.refresh_hub_table(now);
        let table = self.hubs.borrow();
        table.hubs.get(hall).cloned().unwrap_or_default()
    }

    /// Recomputes the list of hubs unless the cached one is recent.
    fn refresh_hub_table(&self, now: Instant) {
        let mut table = self.hubs.borrow_mut();
        if table.is_fresh(now) {
            return;
        }
        let mut halls: BTreeMap<&DataHall, Vec<(&VmId, Strength)>> = BTreeMap::new();
        for (vm, peer) in self.live_members(now) {
            halls
                .entry(&peer.hall)
                .or_default()
                .push((vm, peer.capacity));
        }
        halls
            .entry(&self.hall)
            .or_default()
            .push((&self.me, self.capacity));
        let hubs = |(hall, routers): (&DataHall, Vec<(&VmId, Strength)>)| {
            let hubs = Self::owners_by_capacity("hub", routers.into_iter(), HUBS_PER_HALL);
            (hall.clone(), hubs.into_iter().cloned().collect())
        };
        table.hubs = halls.into_iter().map(hubs).collect();
        table.at = Some(now);
    }
}

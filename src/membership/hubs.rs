//! Hubs of a large fleet: who adds up what a data hall's routers have in progress, and whom they
//! tell.

use std::{collections::BTreeMap, time::Duration};

use super::{
    datagram::Strength,
    pace,
    peers::{Peers, Receiver},
};
use crate::{
    ids::{DataHall, VmId},
    placement::keepers,
    units::Instant,
};

/// Routers from which on counts go through hubs: below, all tell all at a kilobyte a second each.
pub(super) const LARGE_FLEET: usize = 16;

/// Hubs of one data hall; the second stands in for the first.
const HUBS: usize = 2;

/// How long it is remembered who the hubs are, if nothing is news of who lives: to name them takes a look at all routers.
const HUBS_REMEMBERED: Duration = Duration::from_millis(400);

/// Who the hubs of each data hall are, as it was last worked out.
#[derive(Debug, Default)]
pub(super) struct HubTable {
    at: Option<Instant>,
    hubs: BTreeMap<DataHall, Vec<VmId>>,
}

impl HubTable {
    /// Something is news of who lives.
    pub(super) fn forget(&mut self) {
        self.at = None;
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.at
            .is_some_and(|at| at <= now && now.since(at) < HUBS_REMEMBERED)
    }
}

impl Peers {
    /// Whether counts go through hubs.
    pub fn is_large(&self, now: Instant) -> bool {
        self.alive(now) >= LARGE_FLEET
    }

    /// The peers that are told counts as they change: hubs, and for the one that adds up for its
    /// data hall that hall's routers.
    pub fn close_ones(&self, now: Instant) -> Vec<Receiver> {
        if !self.adds_up(now) {
            let hubs = self.hubs_of(now, &self.hall).into_iter();
            return hubs.filter_map(|vm| self.receiver(&vm)).collect();
        }
        let near = self.living_named(now).filter(|(_, p)| p.hall == self.hall);
        let near = near.map(Receiver::of);
        let far = self.far_hubs(now).into_iter();
        near.chain(far.filter_map(|vm| self.receiver(&vm)))
            .collect()
    }

    /// Whether this router adds up the counts of its data hall: its first hub does, or the second
    /// while the first one is silent.
    pub fn adds_up(&self, now: Instant) -> bool {
        match self.hubs_of(now, &self.hall).as_slice() {
            [first, ..] if *first == self.me => true,
            [first, second, ..] if *second == self.me => self.is_silent(now, first),
            _ => false,
        }
    }

    fn receiver(&self, vm: &VmId) -> Option<Receiver> {
        self.heard.get_key_value(vm).map(Receiver::of)
    }

    pub(super) fn is_silent(&self, now: Instant, hub: &VmId) -> bool {
        let silent_after = pace::hub_silent_after(self.size());
        let peer = self.heard.get(hub);
        peer.is_none_or(|p| now.since(p.heard) >= silent_after)
    }

    /// The routers that keep a thing together, of the stronger ones: those that bear at least half
    /// of what the strongest bears, unless they are too few.
    pub(super) fn strong_keepers<'a>(
        thing: &str,
        routers: impl Iterator<Item = (&'a VmId, Strength)>,
        n: usize,
    ) -> Vec<&'a VmId> {
        let mut all: Vec<(&VmId, Strength)> = routers.collect();
        let mut strengths: Vec<Strength> = all.iter().map(|(_, strength)| *strength).collect();
        strengths.sort_unstable_by(|a, b| b.cmp(a));
        let strongest = strengths.first().copied().unwrap_or_default();
        let nth = strengths.get(n.saturating_sub(1)).copied();
        let least = strongest.half().min(nth.unwrap_or_default());
        all.retain(|(_, strength)| *strength >= least);
        keepers(thing, all.into_iter().map(|(vm, _)| vm), n)
    }

    /// All that live with what they bear, this router included.
    pub(super) fn strengths(&self, now: Instant) -> impl Iterator<Item = (&VmId, Strength)> {
        let others = self.living_named(now).map(|(vm, p)| (vm, p.strength));
        others.chain(std::iter::once((&self.me, self.strength)))
    }

    /// The hubs that add up for the other data halls: the first one of each, and the second as well
    /// while that is silent.
    pub(super) fn far_hubs(&self, now: Instant) -> Vec<VmId> {
        self.name_hubs(now);
        let table = self.hubs.borrow();
        let others = table.hubs.iter().filter(|(hall, _)| **hall != self.hall);
        let adding = |(_, hubs): (_, &Vec<VmId>)| {
            let first_speaks = hubs.first().is_some_and(|hub| !self.is_silent(now, hub));
            let adding = hubs.iter().take(if first_speaks { 1 } else { HUBS });
            adding.cloned().collect::<Vec<_>>()
        };
        others.flat_map(adding).collect()
    }

    /// The first hub of each other data hall.
    pub(super) fn first_far_hubs(&self, now: Instant) -> Vec<VmId> {
        self.name_hubs(now);
        let table = self.hubs.borrow();
        let others = table.hubs.iter().filter(|(hall, _)| **hall != self.hall);
        others
            .filter_map(|(_, hubs)| hubs.first().cloned())
            .collect()
    }

    pub(super) fn hubs_of(&self, now: Instant, hall: &DataHall) -> Vec<VmId> {
        self.name_hubs(now);
        let table = self.hubs.borrow();
        table.hubs.get(hall).cloned().unwrap_or_default()
    }

    /// Works out who the hubs are, unless that was done a moment ago.
    fn name_hubs(&self, now: Instant) {
        let mut table = self.hubs.borrow_mut();
        if table.is_fresh(now) {
            return;
        }
        let mut halls: BTreeMap<&DataHall, Vec<(&VmId, Strength)>> = BTreeMap::new();
        for (vm, peer) in self.living_named(now) {
            halls
                .entry(&peer.hall)
                .or_default()
                .push((vm, peer.strength));
        }
        halls
            .entry(&self.hall)
            .or_default()
            .push((&self.me, self.strength));
        let hubs = |(hall, routers): (&DataHall, Vec<(&VmId, Strength)>)| {
            let hubs = Self::strong_keepers("hub", routers.into_iter(), HUBS);
            (hall.clone(), hubs.into_iter().cloned().collect())
        };
        table.hubs = halls.into_iter().map(hubs).collect();
        table.at = Some(now);
    }
}

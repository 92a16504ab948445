//! Hubs of a large fleet: who adds up what a data hall's routers have in progress, and whom they
//! tell.

use std::{collections::HashSet, time::Duration};

use super::{
    datagram::Strength,
    peers::{Peer, Peers, Receiver, receiver},
};
use crate::{
    ids::{DataHall, VmId},
    placement::keepers,
    units::Instant,
};

/// Routers from which on counts go through hubs: below, all tell all at a kilobyte a second each.
const LARGE_FLEET: usize = 16;

/// Hubs of one data hall; the second stands in for the first.
const HUBS: usize = 2;

/// Silence after which the second hub takes the first one's place.
const HUB_SILENT: Duration = Duration::from_millis(700);

/// How often all tell all at the most, and what each router adds to that time.
const MESH_LEAST: Duration = Duration::from_millis(500);
const MESH_PER_ROUTER: Duration = Duration::from_millis(48);

impl Peers {
    /// Whether counts go through hubs.
    pub fn is_large(&self, now: Instant) -> bool {
        self.alive(now) >= LARGE_FLEET
    }

    /// The peers that are told counts as they change: hubs, and for the one that adds up for its
    /// data hall that hall's routers.
    pub fn close_ones(&self, now: Instant) -> Vec<Receiver> {
        let adds_up = self.adds_up(now);
        let own_hubs = self.hubs_of(now, &self.hall);
        let far_hubs: HashSet<&VmId> = match adds_up {
            true => self.far_hubs(now).into_iter().collect(),
            false => HashSet::new(),
        };
        let is_close = |vm: &VmId, p: &Peer| match p.hall == self.hall {
            true => adds_up || own_hubs.contains(&vm),
            false => far_hubs.contains(vm),
        };
        let living = self.heard.iter().filter(|(_, p)| self.is_alive(now, p));
        living
            .filter(|(vm, p)| is_close(vm, p))
            .map(receiver)
            .collect()
    }

    /// Whether this router adds up the counts of its data hall: its first hub does, or the second
    /// while the first one is silent.
    pub fn adds_up(&self, now: Instant) -> bool {
        let hubs = self.hubs_of(now, &self.hall);
        match hubs.as_slice() {
            [first, ..] if *first == &self.me => true,
            [first, second, ..] if *second == &self.me => self.is_silent(now, first),
            _ => false,
        }
    }

    fn is_silent(&self, now: Instant, hub: &VmId) -> bool {
        let peer = self.heard.get(hub);
        peer.is_none_or(|p| now.since(p.heard) >= HUB_SILENT)
    }

    /// The routers that keep a thing together, of the stronger ones: those that bear at least half
    /// of what the strongest bears, unless they are too few.
    pub(super) fn strong_keepers<'a>(
        &'a self,
        thing: &str,
        names: impl Iterator<Item = &'a VmId>,
        n: usize,
    ) -> Vec<&'a VmId> {
        let strength = |vm: &VmId| self.heard.get(vm).map_or(self.strength, |p| p.strength);
        let mut all: Vec<&VmId> = names.collect();
        let mut strengths: Vec<Strength> = all.iter().map(|vm| strength(vm)).collect();
        strengths.sort_unstable_by(|a, b| b.cmp(a));
        let strongest = strengths.first().copied().unwrap_or_default();
        let nth = strengths.get(n.saturating_sub(1)).copied();
        let least = strongest.half().min(nth.unwrap_or_default());
        all.retain(|vm| strength(vm) >= least);
        keepers(thing, all.into_iter(), n)
    }

    /// The hubs that add up for the other data halls: the first one of each, and the second as well
    /// while that is silent.
    fn far_hubs(&self, now: Instant) -> Vec<&VmId> {
        let living = self.heard.values().filter(|p| self.is_alive(now, p));
        let mut halls: Vec<&DataHall> = living.map(|p| &p.hall).collect();
        halls.sort();
        halls.dedup();
        halls.retain(|hall| **hall != self.hall);
        let adding = |hall| {
            let hubs = self.hubs_of(now, hall);
            let first_speaks = hubs.first().is_some_and(|hub| !self.is_silent(now, hub));
            hubs.into_iter().take(if first_speaks { 1 } else { HUBS })
        };
        halls.into_iter().flat_map(adding).collect()
    }

    fn hubs_of(&self, now: Instant, hall: &DataHall) -> Vec<&VmId> {
        let of_hall = |vm: &&VmId| match self.heard.get(*vm) {
            Some(peer) => peer.hall == *hall,
            None => self.hall == *hall,
        };
        self.strong_keepers("hub", self.names(now).filter(of_hall), HUBS)
    }

    /// How often all tell all: what a router sends must not grow with the fleet.
    pub fn mesh_interval(&self) -> Duration {
        let routers = self.heard.len() as u32 + 1;
        MESH_LEAST.max(MESH_PER_ROUTER * routers)
    }
}

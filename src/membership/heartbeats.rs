//! Who is gone, in a fleet where not all send heartbeats to all.
//!
//! Routers send heartbeats to the hubs of their data hall some times a second. A hub that has heard nothing of one for
//! [`pace::silent_after`] reports it gone, and that goes to all in the next datagrams. Every hub also sends a
//! roll: a digest of those that live in its data hall. A router that comes to the same digest has a heartbeat of all of
//! them by that, in some bytes; one that does not compares its records with the hub's. So neither what is sent nor how
//! long a dead router is used grows with the fleet.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{pace, peer::Peer, peers::Peers, records::life_hash};
use crate::{
    ids::{DataHall, VmId},
    units::Instant,
};

/// The pause between two ticks from which on this router stood still: ten times the usual one.
const ABSENT: Duration = Duration::from_secs(1);

/// How many times as long as others a router may be silent that this one learned of a moment ago: it may know no hub yet.
const NEVER_HEARD: f64 = 4.0;

/// How many times as long one may be silent that this router has not heard since it became its hub: it finds out by the
/// same silence of the one before.
const JUST_WATCHED: f64 = 1.5;

/// How many times as long as it takes to call a router gone it counts where no roll of its data hall agrees.
const UNCONFIRMED: u32 = 4;

/// A router's name as a short hash. Of two that share one, a dead one counts while the other lives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmHash(u32);

impl From<&VmId> for VmHash {
    fn from(vm: &VmId) -> Self {
        Self(xxh3_64(vm.as_str().as_bytes()) as u32)
    }
}

impl VmHash {
    /// A number that differs from router to router.
    pub(crate) fn spread(self) -> usize {
        self.0 as usize
    }
}

/// The routers of one data hall that its hub hears of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallRoll {
    hall: DataHall,
    /// How long ago the hub made it, in milliseconds.
    age_ms: u16,
    /// The digest of their lives.
    digest: u64,
    /// Calls that they took in the last seconds, to share the retry budget by.
    calls: u32,
}

/// What a hub sends.
#[derive(Debug, Default)]
pub struct HubRolls {
    /// To the routers of its own data hall: of all halls.
    pub near: Vec<HallRoll>,
    /// To the hubs of the others: of its own.
    pub far: Vec<HallRoll>,
}

/// The last roll of a data hall.
#[derive(Debug)]
pub(super) struct KnownRoll {
    at: Instant,
    digest: u64,
    calls: u32,
}

impl Peers {
    /// How long a silent router still counts where hubs report who is gone, if none reports anything.
    pub(super) fn unconfirmed_after(&self) -> Duration {
        pace::silent_after(self.size()) * UNCONFIRMED
    }

    /// What this router sends as a hub, with its own calls of the last seconds.
    pub fn hub_rolls(&mut self, now: Instant, own_calls: u32) -> HubRolls {
        let near = self.heard.values().filter(|p| p.hall == self.hall);
        let calls = near.map(|p| p.calls).sum::<u32>() + own_calls;
        let own = KnownRoll {
            at: now,
            digest: self.hall_digest(&self.hall),
            calls,
        };
        self.rolls.insert(self.hall.clone(), own);
        let fresh = self.rolls.iter().filter(|(_, r)| self.is_fresh(now, r));
        let roll = |(hall, roll): (&DataHall, &KnownRoll)| HallRoll {
            hall: hall.clone(),
            age_ms: now
                .since(roll.at)
                .as_millis()
                .try_into()
                .unwrap_or(u16::MAX),
            digest: roll.digest,
            calls: roll.calls,
        };
        let near: Vec<HallRoll> = fresh.map(roll).collect();
        let far = near.iter().filter(|r| r.hall == self.hall);
        HubRolls {
            far: far.cloned().collect(),
            near,
        }
    }

    /// Rolls came from a hub, its own or others'.
    pub(super) fn on_rolls(&mut self, now: Instant, from: &VmId, rolls: &[HallRoll]) {
        for told in rolls {
            let at = now.before(Duration::from_millis(u64::from(told.age_ms)));
            if self.rolls.get(&told.hall).is_some_and(|r| r.at >= at) {
                continue;
            }
            let (digest, calls) = (told.digest, told.calls);
            let roll = KnownRoll { at, digest, calls };
            self.rolls.insert(told.hall.clone(), roll);
            match self.hall_digest(&told.hall) == told.digest {
                true => self.confirm(&told.hall, at),
                false => {
                    let from = self.heard.get(from).map(|p| p.address);
                    from.into_iter()
                        .for_each(|a| self.comparing.on_difference(a));
                }
            }
        }
    }

    /// All that are taken to live in a data hall were heard of.
    fn confirm(&mut self, hall: &DataHall, at: Instant) {
        let here = self.heard.values_mut().filter(|p| p.hall == *hall);
        for peer in here.filter(|p| p.gone_at.is_none()) {
            peer.reported_heard = peer.reported_heard.max(Some(at));
        }
    }

    fn hall_digest(&self, hall: &DataHall) -> u64 {
        let is_here = |vm: &VmId| self.heard.get(vm).map_or(&self.hall, |p| &p.hall) == hall;
        let here = self.counted().filter(|(vm, _)| is_here(vm));
        here.fold(0, |all, (vm, life)| all ^ life_hash(vm, life))
    }

    fn is_fresh(&self, now: Instant, roll: &KnownRoll) -> bool {
        now.since(roll.at) < self.unconfirmed_after()
    }

    /// Calls that other routers took in the last seconds.
    pub(super) fn others_calls(&self, now: Instant, own_calls: u32) -> u32 {
        let is_told = |hall: &DataHall| self.rolls.get(hall).is_some_and(|r| self.is_fresh(now, r));
        let told = self.rolls.values().filter(|r| self.is_fresh(now, r));
        let told: u32 = told.map(|r| r.calls).sum();
        let own_part = if is_told(&self.hall) { own_calls } else { 0 };
        let unreported = self.living(now).filter(|p| !is_told(&p.hall));
        told.saturating_sub(own_part) + unreported.map(|p| p.calls).sum::<u32>()
    }

    /// Reports routers gone that this one has to hear of, once they are silent for long.
    pub(super) fn observe(&mut self, now: Instant) {
        if !self.is_large(now) {
            self.observing_since = None;
            return;
        }
        let since = *self.observing_since.get_or_insert(now);
        let silent_after = pace::silent_after(self.size());
        let watched: Vec<VmId> = {
            let mut watched = self.watched(now);
            watched.retain(|vm| {
                self.heard.get(vm).is_some_and(|p| {
                    let heard = p.heard.max(since).max(p.watched_since.unwrap_or(now));
                    now.since(heard) >= silent_after.mul_f64(self.patience(now, p))
                })
            });
            watched
        };
        for vm in watched {
            if let Some(peer) = self.heard.get_mut(&vm) {
                peer.gone_at = Some(now);
            }
            self.on_change(now, &vm);
        }
        self.note_watched(now);
    }

    /// How many times as long as others a router may be silent to this one, which has to hear of it.
    fn patience(&self, now: Instant, peer: &Peer) -> f64 {
        let is_new = now.since(peer.changed_at) < self.unconfirmed_after();
        match () {
            () if is_new && !peer.is_direct() => NEVER_HEARD,
            () if Some(peer.heard) < peer.watched_since => JUST_WATCHED,
            () => 1.0,
        }
    }

    /// Notes since when this router has to hear of which others.
    fn note_watched(&mut self, now: Instant) {
        let watched = self.watched(now);
        for (vm, peer) in &mut self.heard {
            peer.watched_since = match watched.binary_search(vm) {
                Ok(_) => peer.watched_since.or(Some(now)),
                Err(_) => None,
            };
        }
    }

    /// Those of which this router has to hear, in order: the hub that sends it sums; for a hub its data hall's routers, and
    /// the hubs of others that send it theirs. A second hub sends to other hubs only while the first one speaks.
    fn watched(&self, now: Instant) -> Vec<VmId> {
        let own_hubs = self.hubs_of(now, &self.hall);
        let mut watched: Vec<VmId> = match own_hubs.contains(&self.me) {
            true => {
                let near = self.heard.iter().filter(|(_, p)| p.hall == self.hall);
                near.map(|(vm, _)| vm.clone()).collect()
            }
            false => {
                let first_speaks = own_hubs
                    .first()
                    .is_some_and(|hub| !self.is_silent(now, hub));
                let speaking = if first_speaks { 1 } else { own_hubs.len() };
                own_hubs.into_iter().take(speaking).collect()
            }
        };
        if self.adds_up(now) {
            watched.extend(self.first_far_hubs(now));
        }
        // Also those that are dead to this router alone: its roll counts all that no hub reported gone.
        let is_counted = |vm: &VmId| self.heard.get(vm).is_some_and(|p| p.gone_at.is_none());
        watched.retain(is_counted);
        watched.sort_unstable();
        watched.dedup();
        watched
    }

    /// If this router stood still from one tick to the next, who lived before has as long as ever to be heard of. Else it would take the whole fleet's
    /// budget of repeats until the next datagrams (1 of 7 routers alive, `tests/peers.rs`).
    pub(super) fn excuse_silence(&mut self, before: Instant, now: Instant) {
        if now.since(before) < ABSENT {
            return;
        }
        let lived: Vec<VmId> = self.names(before).cloned().collect();
        for vm in lived {
            if let Some(peer) = self.heard.get_mut(&vm) {
                peer.heard = now.before(before.since(peer.last_heartbeat()));
            }
        }
        self.observing_since = Some(now);
    }
}

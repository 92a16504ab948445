//! Signs of life that hubs pass on: which routers of a data hall its hub hears of.
//!
//! In a large fleet all tell all so seldom that a router which is gone would count for long, and
//! some lost datagrams in a row would make a living one count as gone. Routers tell their hub a few
//! times a second; the hub tells whom it hears of, once a second.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::peers::Peers;
use crate::{
    ids::{DataHall, VmId},
    units::Instant,
};

/// How often a hub tells whom it hears of at the most, and what each router adds to that time, so
/// that what a router is told grows slowly with the fleet.
const SIGNS_LEAST: Duration = Duration::from_secs(1);
const SIGNS_PER_ROUTER: Duration = Duration::from_millis(8);

/// How recently a hub heard of a router to name it: routers tell their hubs twice a second or more
/// often, and one of these datagrams may be lost.
const NAMED_FOR: Duration = Duration::from_millis(1_200);

/// How many of these times a hub's word may be old for a data hall's routers to be judged by it:
/// through two hubs it takes up to two, and two datagrams may be lost.
const WORD_FRESH: u32 = 4;

/// Silence beyond that after which a router counts as gone where hubs tell of its data hall: more
/// than the oldest sign that a hub names.
const SILENT_MORE: Duration = Duration::from_millis(1_500);

/// A router's name as a short hash. Of two that share one, a dead one counts while the other lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct VmHash(u32);

impl From<&VmId> for VmHash {
    fn from(vm: &VmId) -> Self {
        Self(xxh3_64(vm.as_str().as_bytes()) as u32)
    }
}

impl VmHash {
    /// A number that differs from router to router.
    pub(super) fn spread(self) -> usize {
        self.0 as usize
    }
}

/// The routers of one data hall that its hub heard of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSigns {
    hall: DataHall,
    /// How long ago the hub said so, in milliseconds.
    age_ms: u16,
    /// Each router with how long before that it was heard of, in milliseconds, in order.
    routers: Vec<(VmHash, u16)>,
}

/// What a hub tells of.
#[derive(Debug, Default)]
pub struct ToldSigns {
    /// To the routers of its own data hall.
    pub near: Vec<HallSigns>,
    /// To the hubs of the others.
    pub far: Vec<HallSigns>,
}

/// What a hub said last of a data hall.
#[derive(Debug)]
pub(super) struct HallWord {
    at: Instant,
    routers: Vec<(VmHash, u16)>,
}

impl Peers {
    /// How often a hub tells whom it hears of.
    pub fn signs_every(&self) -> Duration {
        let routers = self.heard.len() as u32 + 1;
        SIGNS_LEAST.max(SIGNS_PER_ROUTER * routers)
    }

    fn is_fresh(&self, now: Instant, word: &HallWord) -> bool {
        now.since(word.at) < self.signs_every() * WORD_FRESH
    }

    /// What this router tells as a hub: to its own data hall of all whose hubs told a moment ago,
    /// and to the other halls' hubs of its own.
    pub fn tell_signs(&mut self, now: Instant) -> ToldSigns {
        let own = self.own_signs(now);
        let (hall, routers) = (own.hall.clone(), own.routers.clone());
        self.words.insert(hall, HallWord { at: now, routers });
        let words = self.words.iter();
        let words = words.filter(|(_, word)| self.is_fresh(now, word));
        let signs = |(hall, word): (&DataHall, &HallWord)| HallSigns {
            hall: hall.clone(),
            age_ms: now.since(word.at).as_millis() as u16,
            routers: word.routers.clone(),
        };
        ToldSigns {
            near: words.map(signs).collect(),
            far: vec![own],
        }
    }

    fn own_signs(&self, now: Instant) -> HallSigns {
        let near = self.heard.values().filter(|p| p.hall == self.hall);
        let age = |at| now.since(at).as_millis() as u16;
        let named = near.filter(|p| now.since(p.heard) < NAMED_FOR && !p.stopping);
        let mut routers: Vec<_> = named.map(|p| (p.hash, age(p.heard))).collect();
        routers.push((VmHash::from(&self.me), 0));
        routers.sort_unstable();
        HallSigns {
            hall: self.hall.clone(),
            age_ms: 0,
            routers,
        }
    }

    /// A hub told whom it hears of, or passed on what another one told.
    pub(super) fn on_signs(&mut self, now: Instant, signs: &[HallSigns]) {
        for HallSigns {
            hall,
            age_ms,
            routers,
        } in signs
        {
            let at = before(now, *age_ms);
            if self.words.get(hall).is_some_and(|word| word.at >= at) {
                continue;
            }
            for peer in self.heard.values_mut().filter(|p| p.hall == *hall) {
                if let Ok(i) = routers.binary_search_by_key(&peer.hash, |(hash, _)| *hash) {
                    let sign = before(at, routers[i].1);
                    peer.told_of = peer.told_of.max(Some(sign));
                }
            }
            let routers = routers.clone();
            self.words.insert(hall.clone(), HallWord { at, routers });
        }
    }

    /// How long a silent router of a data hall still counts.
    pub(super) fn alive_for(&self, now: Instant, hall: &DataHall) -> Duration {
        let by_mesh = self.alive_by_mesh();
        let word = self.words.get(hall);
        match word.is_some_and(|word| self.is_fresh(now, word)) {
            true => by_mesh.min(self.signs_every() * WORD_FRESH + SILENT_MORE),
            false => by_mesh,
        }
    }
}

fn before(at: Instant, ms: u16) -> Instant {
    at.before(Duration::from_millis(u64::from(ms)))
}

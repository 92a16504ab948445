//! Heartbeats that hubs pass on: which routers of a data hall its hub hears of.
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

/// The pause between two ticks from which on this router stood still: ten times the usual one.
const ABSENT: Duration = Duration::from_secs(1);

/// How often a hub tells whom it hears of at the most, and what each router adds to that time, so
/// that what a router is told grows slowly with the fleet.
const HEARTBEATS_LEAST: Duration = Duration::from_secs(1);
const HEARTBEATS_PER_ROUTER: Duration = Duration::from_millis(8);

/// How recently a hub heard of a router to name it: routers tell their hubs twice a second or more
/// often, and one of these datagrams may be lost.
const NAMED_FOR: Duration = Duration::from_millis(1_200);

/// How many of these times a hub's snapshot may be old for a data hall's routers to be judged by it:
/// through two hubs it takes up to two, and two datagrams may be lost.
const SNAPSHOT_FRESH: u32 = 4;

/// Silence beyond that after which a router counts as gone where hubs tell of its data hall: more
/// than the oldest heartbeat that a hub names.
const SILENT_MORE: Duration = Duration::from_millis(1_500);

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

/// The routers of one data hall that its hub heard of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallHeartbeats {
    hall: DataHall,
    /// How long ago the hub said so, in milliseconds.
    age_ms: u16,
    /// Each router with how long before that it was heard of, in milliseconds, in order.
    routers: Vec<(VmHash, u16)>,
}

/// What a hub tells of.
#[derive(Debug, Default)]
pub struct HubHeartbeats {
    /// To the routers of its own data hall.
    pub near: Vec<HallHeartbeats>,
    /// To the hubs of the others.
    pub far: Vec<HallHeartbeats>,
}

/// What a hub said last of a data hall.
#[derive(Debug)]
pub(super) struct HallSnapshot {
    at: Instant,
    routers: Vec<(VmHash, u16)>,
}

impl Peers {
    /// How often a hub tells whom it hears of.
    pub fn heartbeats_every(&self) -> Duration {
        let routers = self.heard.len() as u32 + 1;
        HEARTBEATS_LEAST.max(HEARTBEATS_PER_ROUTER * routers)
    }

    fn is_fresh(&self, now: Instant, snapshot: &HallSnapshot) -> bool {
        now.since(snapshot.at) < self.heartbeats_every() * SNAPSHOT_FRESH
    }

    /// What this router tells as a hub: to its own data hall of all whose hubs told a moment ago,
    /// and to the other halls' hubs of its own.
    pub fn hub_heartbeats(&mut self, now: Instant) -> HubHeartbeats {
        let own = self.own_heartbeats(now);
        let (hall, routers) = (own.hall.clone(), own.routers.clone());
        self.snapshots
            .insert(hall, HallSnapshot { at: now, routers });
        let snapshots = self.snapshots.iter();
        let snapshots = snapshots.filter(|(_, snapshot)| self.is_fresh(now, snapshot));
        let heartbeats = |(hall, snapshot): (&DataHall, &HallSnapshot)| HallHeartbeats {
            hall: hall.clone(),
            age_ms: now.since(snapshot.at).as_millis() as u16,
            routers: snapshot.routers.clone(),
        };
        HubHeartbeats {
            near: snapshots.map(heartbeats).collect(),
            far: vec![own],
        }
    }

    fn own_heartbeats(&self, now: Instant) -> HallHeartbeats {
        let near = self.heard.values().filter(|p| p.hall == self.hall);
        let age = |at| now.since(at).as_millis() as u16;
        let named = near.filter(|p| now.since(p.heard) < NAMED_FOR && !p.stopping);
        let mut routers: Vec<_> = named.map(|p| (p.hash, age(p.heard))).collect();
        routers.push((VmHash::from(&self.me), 0));
        routers.sort_unstable();
        HallHeartbeats {
            hall: self.hall.clone(),
            age_ms: 0,
            routers,
        }
    }

    /// A hub told whom it hears of, or passed on what another one told.
    pub(super) fn on_heartbeats(&mut self, now: Instant, heartbeats: &[HallHeartbeats]) {
        for HallHeartbeats {
            hall,
            age_ms,
            routers,
        } in heartbeats
        {
            let at = before(now, *age_ms);
            if self
                .snapshots
                .get(hall)
                .is_some_and(|snapshot| snapshot.at >= at)
            {
                continue;
            }
            for peer in self.heard.values_mut().filter(|p| p.hall == *hall) {
                if let Ok(i) = routers.binary_search_by_key(&peer.hash, |(hash, _)| *hash) {
                    let heartbeat = before(at, routers[i].1);
                    peer.hub_heard = peer.hub_heard.max(Some(heartbeat));
                }
            }
            let routers = routers.clone();
            self.snapshots
                .insert(hall.clone(), HallSnapshot { at, routers });
        }
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
    }

    /// How long a silent router of a data hall still counts.
    pub(super) fn alive_for(&self, now: Instant, hall: &DataHall) -> Duration {
        let by_mesh = self.alive_by_mesh();
        let snapshot = self.snapshots.get(hall);
        match snapshot.is_some_and(|snapshot| self.is_fresh(now, snapshot)) {
            true => by_mesh.min(self.heartbeats_every() * SNAPSHOT_FRESH + SILENT_MORE),
            false => by_mesh,
        }
    }
}

fn before(at: Instant, ms: u16) -> Instant {
    at.before(Duration::from_millis(u64::from(ms)))
}

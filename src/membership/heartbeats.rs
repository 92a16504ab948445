//! Failure detection in a fleet where not every router sends heartbeats to every other.
//!
//! Routers send heartbeats to the hubs of their data hall several times a second. A hub that has
//! received nothing from a router for [`timing::failure_timeout`] reports it as down, and the next
//! datagrams carry that report to all routers. Every hub also sends a member digest, which covers
//! the live routers in its data hall. For a router that computes the same digest, it is a heartbeat
//! of all of them in a few bytes; a router that computes another one compares its records with the
//! hub's. So neither the traffic nor the time for which a dead router is still used grows with the
//! size of the fleet.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{peer::Peer, peers::Peers, records::incarnation_hash, timing};
use crate::{
    ids::{DataHall, VmId},
    units::Instant,
};

/// Interval between two ticks from which this router is taken to have stalled: ten times the usual
/// interval.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Factor on the failure timeout for a router that this one learned of recently and has no datagram
/// from: it may not know any hub yet.
const NEW_PEER_FACTOR: f64 = 4.0;

/// Factor on the failure timeout for a router that has sent nothing since this one became its hub.
///
/// Such a router notices that the previous hub is down only after the same silence.
const NEWLY_MONITORED_FACTOR: f64 = 1.5;

/// Multiple of the failure timeout for which a router counts as alive while no digest of its data
/// hall matches.
const UNCONFIRMED_FACTOR: u32 = 4;

/// Short hash of a router's name.
///
/// If two routers have the same hash, a dead one counts as alive while the other one lives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmHash(u32);

impl From<&VmId> for VmHash {
    fn from(vm: &VmId) -> Self {
        Self(xxh3_64(vm.as_str().as_bytes()) as u32)
    }
}

impl VmHash {
    /// Returns a number that differs from router to router, to spread them over choices.
    pub(crate) fn spread(self) -> usize {
        self.0 as usize
    }
}

/// Digest of the routers of one data hall from which its hub receives heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    hall: DataHall,
    /// Time since the hub computed the digest, in milliseconds.
    age_ms: u16,
    /// Combined hash of the incarnations of these routers.
    digest: u64,
    /// Number of calls that they accepted in the last seconds; the retry budget is divided by it.
    calls: u32,
}

/// Member digests that a hub sends.
#[derive(Debug, Default)]
pub struct HubDigests {
    /// Digests of all data halls, for the routers of the hub's own data hall.
    pub for_own_hall: Vec<MemberDigest>,
    /// Digest of the hub's own data hall, for the hubs of the others.
    pub for_other_halls: Vec<MemberDigest>,
}

/// Latest member digest of a data hall.
#[derive(Debug)]
pub(super) struct KnownDigest {
    at: Instant,
    digest: u64,
    calls: u32,
}

impl Peers {
    /// Returns how long a silent router counts as alive where hubs report failures, if there is no
    /// report about it.
    pub(super) fn unconfirmed_timeout(&self) -> Duration {
        timing::failure_timeout(self.fleet_size()) * UNCONFIRMED_FACTOR
    }

    /// Returns the member digests that this router sends as a hub; `own_calls` are its own calls of
    /// the last seconds.
    pub fn hub_digests(&mut self, now: Instant, own_calls: u32) -> HubDigests {
        let near = self.by_vm.values().filter(|p| p.hall == self.hall);
        let calls = near.map(|p| p.calls).fold(own_calls, u32::saturating_add);
        let own = KnownDigest {
            at: now,
            digest: self.hall_digest(&self.hall),
            calls,
        };
        self.digests.insert(self.hall.clone(), own);
        let fresh = self.digests.iter().filter(|(_, r)| self.is_fresh(now, r));
        let to_member_digest = |(hall, known): (&DataHall, &KnownDigest)| MemberDigest {
            hall: hall.clone(),
            age_ms: now
                .since(known.at)
                .as_millis()
                .try_into()
                .unwrap_or(u16::MAX),
            digest: known.digest,
            calls: known.calls,
        };
        let near: Vec<MemberDigest> = fresh.map(to_member_digest).collect();
        let far = near.iter().filter(|r| r.hall == self.hall);
        HubDigests {
            for_other_halls: far.cloned().collect(),
            for_own_hall: near,
        }
    }

    /// Applies member digests from a hub, of its own data hall or of others.
    pub(super) fn on_member_digests(
        &mut self,
        now: Instant,
        from: &VmId,
        digests: &[MemberDigest],
    ) {
        for received in digests {
            let at = now.before(Duration::from_millis(u64::from(received.age_ms)));
            if self.digests.get(&received.hall).is_some_and(|r| r.at >= at) {
                continue;
            }
            let (digest, calls) = (received.digest, received.calls);
            let known = KnownDigest { at, digest, calls };
            self.digests.insert(received.hall.clone(), known);
            match self.hall_digest(&received.hall) == received.digest {
                true => self.confirm_alive(&received.hall, at),
                false => {
                    let from = self.by_vm.get(from).map(|p| p.address);
                    from.into_iter()
                        .for_each(|a| self.comparison.on_difference(a));
                }
            }
        }
    }

    /// Records that all routers that count as alive in a data hall sent a heartbeat.
    fn confirm_alive(&mut self, hall: &DataHall, at: Instant) {
        let here = self.by_vm.values_mut().filter(|p| p.hall == *hall);
        for peer in here.filter(|p| p.down_since.is_none()) {
            peer.last_reported_heartbeat = peer.last_reported_heartbeat.max(Some(at));
        }
    }

    fn hall_digest(&self, hall: &DataHall) -> u64 {
        let is_here = |vm: &VmId| self.by_vm.get(vm).map_or(&self.hall, |p| &p.hall) == hall;
        let here = self.digest_members().filter(|(vm, _)| is_here(vm));
        here.fold(0, |all, (vm, incarnation)| {
            all ^ incarnation_hash(vm, incarnation)
        })
    }

    fn is_fresh(&self, now: Instant, known: &KnownDigest) -> bool {
        now.since(known.at) < self.unconfirmed_timeout()
    }

    /// Returns the number of calls that other routers accepted in the last seconds.
    pub(super) fn others_calls(&self, now: Instant, own_calls: u32) -> u32 {
        let has_fresh_digest = |hall: &DataHall| {
            self.digests
                .get(hall)
                .is_some_and(|r| self.is_fresh(now, r))
        };
        let reported = self.digests.values().filter(|r| self.is_fresh(now, r));
        let reported = reported.map(|r| r.calls).fold(0, u32::saturating_add);
        let own_reported = if has_fresh_digest(&self.hall) {
            own_calls
        } else {
            0
        };
        let unreported = self.live_peers(now).filter(|p| !has_fresh_digest(&p.hall));
        let reported = reported.saturating_sub(own_reported);
        unreported
            .map(|p| p.calls)
            .fold(reported, u32::saturating_add)
    }

    /// Reports monitored routers as down once they have been silent for too long.
    pub(super) fn detect_failures(&mut self, now: Instant) {
        if !self.is_large(now) {
            self.monitoring_since = None;
            return;
        }
        let since = *self.monitoring_since.get_or_insert(now);
        let timeout = timing::failure_timeout(self.fleet_size());
        let monitored: Vec<VmId> = {
            let mut monitored = self.monitored(now);
            monitored.retain(|vm| {
                self.by_vm.get(vm).is_some_and(|p| {
                    let last_heartbeat = p
                        .last_datagram_at
                        .max(since)
                        .max(p.monitored_since.unwrap_or(now));
                    now.since(last_heartbeat) >= timeout.mul_f64(self.silence_factor(now, p))
                })
            });
            monitored
        };
        for vm in monitored {
            if let Some(peer) = self.by_vm.get_mut(&vm) {
                peer.down_since = Some(now);
            }
            self.on_change(now, &vm);
        }
        self.update_monitored(now);
    }

    /// Returns the factor on the failure timeout of a router that this one monitors.
    fn silence_factor(&self, now: Instant, peer: &Peer) -> f64 {
        let is_new = now.since(peer.changed_at) < self.unconfirmed_timeout();
        match () {
            () if is_new && !peer.has_sent() => NEW_PEER_FACTOR,
            () if Some(peer.last_datagram_at) < peer.monitored_since => NEWLY_MONITORED_FACTOR,
            () => 1.0,
        }
    }

    /// Records since when this router monitors each other one.
    fn update_monitored(&mut self, now: Instant) {
        let monitored = self.monitored(now);
        for (vm, peer) in &mut self.by_vm {
            peer.monitored_since = match monitored.binary_search(vm) {
                Ok(_) => peer.monitored_since.or(Some(now)),
                Err(_) => None,
            };
        }
    }

    /// Returns the routers whose heartbeats this one monitors, in order.
    ///
    /// A hub monitors the routers of its data hall; any other router monitors the hub that sends it
    /// sums. A router that aggregates also monitors the first hub of each other data hall, which
    /// sends it that hall's sums. A second hub sends to other hubs only while the first one is
    /// silent.
    fn monitored(&self, now: Instant) -> Vec<VmId> {
        let own_hubs = self.hubs_of(now, &self.hall);
        let mut monitored: Vec<VmId> = match own_hubs.contains(&self.me) {
            true => {
                let near = self.by_vm.iter().filter(|(_, p)| p.hall == self.hall);
                near.map(|(vm, _)| vm.clone()).collect()
            }
            false => {
                let first_is_up = own_hubs
                    .first()
                    .is_some_and(|hub| !self.is_hub_silent(now, hub));
                let senders = if first_is_up { 1 } else { own_hubs.len() };
                own_hubs.into_iter().take(senders).collect()
            }
        };
        if self.is_aggregator(now) {
            monitored.extend(self.remote_first_hubs(now));
        }
        // Includes routers that only this one takes for dead: its digest covers all that no hub
        // reported as down.
        let is_counted = |vm: &VmId| self.by_vm.get(vm).is_some_and(|p| p.down_since.is_none());
        monitored.retain(is_counted);
        monitored.sort_unstable();
        monitored.dedup();
        monitored
    }

    /// Restarts the failure timeouts of all routers that were alive if this router stalled between
    /// two ticks.
    ///
    /// Otherwise it would take the whole fleet's retry budget for itself until the next datagrams
    /// arrive (1 of 7 routers alive, `tests/peers.rs`).
    pub(super) fn reset_after_stall(&mut self, before: Instant, now: Instant) {
        if now.since(before) < MIN_STALL {
            return;
        }
        let were_alive: Vec<VmId> = self.live_names(before).cloned().collect();
        for vm in were_alive {
            if let Some(peer) = self.by_vm.get_mut(&vm) {
                peer.last_datagram_at = now.before(before.since(peer.last_heartbeat()));
            }
        }
        self.monitoring_since = Some(now);
    }
}

//! Targets that give some routers no answers, as these report them.
//!
//! The load pattern that this answers: hundreds of peers, nearly all of which suspect nothing, and thousands of
//! targets, of each of which a call asks whether it is suspected. Reports are kept by target, so that a target
//! that nobody suspects costs one look-up: a choice among 3,000 targets beside 300 peers takes 0.9 to 1.6 ms in
//! place of 6.0 to 6.2 (`slopes`).

use std::{collections::HashMap, time::Duration};

use rustc_hash::FxHashMap;

use crate::{ids::VmId, target_counts::TargetHash, units::Instant};

/// Peers that have to suspect a target for it to be suspected here: one may have a bad link itself.
const SUSPECTING_PEERS: usize = 2;

/// How long a peer's suspicion counts after it was reported.
const SUSPICION_EXPIRES: Duration = Duration::from_millis(1_200);

/// The last report of a peer that suspects any target.
#[derive(Debug)]
struct Report {
    at: Instant,
    targets: Vec<TargetHash>,
}

/// What peers reported last.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    reports: HashMap<VmId, Report>,
    by_target: FxHashMap<TargetHash, Vec<VmId>>,
}

impl Suspicions {
    /// A peer reported all targets that it suspects now.
    pub(crate) fn on_report(&mut self, now: Instant, peer: VmId, mut targets: Vec<TargetHash>) {
        self.withdraw(&peer);
        if targets.is_empty() {
            return;
        }
        targets.sort_unstable();
        targets.dedup();
        for target in &targets {
            let peers = self.by_target.entry(*target).or_default();
            peers.push(peer.clone());
        }
        self.reports.insert(peer, Report { at: now, targets });
    }

    /// Whether enough peers suspect a target.
    pub(crate) fn is_suspected(&self, now: Instant, target: TargetHash) -> bool {
        let Some(peers) = self.by_target.get(&target) else {
            return false;
        };
        let is_recent = |report: &Report| now.since(report.at) < SUSPICION_EXPIRES;
        let suspects = |peer: &&VmId| self.reports.get(*peer).is_some_and(is_recent);
        peers.iter().filter(suspects).count() >= SUSPECTING_PEERS
    }

    /// Forgets what a peer reported before.
    fn withdraw(&mut self, peer: &VmId) {
        let Some(before) = self.reports.remove(peer) else {
            return;
        };
        for target in &before.targets {
            if let Some(peers) = self.by_target.get_mut(target) {
                peers.retain(|p| p != peer);
            }
        }
        self.by_target.retain(|_, peers| !peers.is_empty());
    }
}

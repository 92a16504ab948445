//! Targets that are added, lost, cut off or turn cold during a run.

use std::{ops::Range, time::Duration};

use scaleford::{discovery::TargetRecord, health::Outcome, units::StoreRevision};

use super::{Model, Sent, new_target, record};

/// Time after the change at which lost targets leave the list of targets.
pub(super) const DELISTING_DELAY: Duration = Duration::from_secs(3);

impl Model {
    pub(super) fn on_targets_change(&mut self) {
        let change = self.load.change.expect("a change is due");
        for n in 0..change.lost {
            let runs = self.targets[n].on_loss();
            for run in runs {
                if let Some(sent) = self.sent.remove(&run) {
                    let Sent {
                        call,
                        router,
                        ticket,
                        plan,
                        ..
                    } = sent;
                    // Events of the lost run are still scheduled under its number, so the retry gets a new
                    // one.
                    self.count += 1;
                    let n = self.count;
                    self.send_elsewhere(n, call, router, &ticket, plan, Outcome::Broken);
                }
            }
        }
        let first = self.targets.len();
        for target in &mut self.targets[..change.cut_off] {
            target.is_cut_off = true;
        }
        let cold_until = self.now + self.cold_for();
        for target in &mut self.targets[change.lost..change.lost + change.cooled] {
            target.cold_until = cold_until;
        }
        let added = (0..change.added).map(|_| new_target(&self.load));
        self.targets.extend(added);
        for target in &mut self.targets[first..] {
            target.cold_until = cold_until;
        }
        self.send_list(0..first + change.added, 2);
    }

    pub(super) fn on_targets_delisted(&mut self) {
        let lost = self.load.change.map_or(0, |c| c.lost);
        self.send_list(lost..self.targets.len(), 3);
    }

    fn cold_for(&self) -> Duration {
        self.load.warm_up.map_or(Duration::ZERO, |w| w.duration)
    }

    fn send_list(&mut self, targets: Range<usize>, revision: u64) {
        let revision = StoreRevision::first_era(revision);
        let record = |n: usize| TargetRecord {
            cold_for: self.targets[n].cold_until.since(self.now),
            ..record(n, self.load.slots)
        };
        let records: Vec<_> = targets.map(|n| (record(n), revision)).collect();
        for router in &mut self.routers {
            let discovery = &mut router.discovery;
            discovery.on_list(self.now, records.clone(), revision);
        }
    }
}

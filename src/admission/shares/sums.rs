//! Reports of other routers on contended pools, and their sums over the fleet.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{
    observations::{largest_claims, largest_targets},
    report::{Claim, PoolReport, ServiceHash, ShareReport, TargetRates, TenthsPerSecond},
};
use crate::{
    ids::{DataHall, VmId},
    target_counts::TargetHash,
    units::Instant,
};

/// Maximum number of claims in the report of a data hall, about 500 bytes.
const MAX_HALL_CLAIMS: usize = 48;

/// Maximum number of targets in the report of a data hall.
const MAX_HALL_TARGETS: usize = 64;

/// Maximum number of pools in a report.
pub(super) const MAX_POOLS: usize = 8;

/// Maximum age of a report that a sender may state; a longer one is not used anyway.
const MAX_AGE: Duration = Duration::from_secs(10);

/// A received report.
#[derive(Debug)]
struct Received {
    at: Instant,
    /// Mean time at which the figures were observed.
    observed_at: Instant,
    hall: DataHall,
    pools: Vec<PoolReport>,
}

/// Rates at one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TargetSum {
    /// Answers per second.
    pub(super) answered: f64,
    /// Rejections per second.
    pub(super) turned_away: f64,
    /// Seconds that answered calls took, per second: the mean number of calls in progress.
    pub(super) busy: f64,
}

/// Sum of several reports on one pool.
#[derive(Debug, Default)]
pub(super) struct PoolSum {
    pub(super) demand: HashMap<Claim, f64>,
    pub(super) targets: HashMap<TargetHash, TargetSum>,
    /// Refusals for lack of room per second.
    pub(super) refused: f64,
    /// Sum of the times at which reports were observed, in seconds, and number of reports.
    observed: (f64, u32),
}

impl PoolSum {
    pub(super) fn add(&mut self, report: &PoolReport, observed_at: Instant) {
        for (claim, rate) in &report.demand {
            *self.demand.entry(*claim).or_default() += rate.per_s();
        }
        for t in &report.targets {
            let sum = self.targets.entry(t.target).or_default();
            sum.answered += t.answered.per_s();
            sum.turned_away += t.turned_away.per_s();
            sum.busy += t.answered.per_s() * t.mean_time_s();
        }
        self.refused += report.refused.per_s();
        self.observed.0 += observed_at.0.as_secs_f64();
        self.observed.1 += 1;
    }

    /// Returns the mean time at which the figures were observed.
    pub(super) fn observed_at(&self) -> Instant {
        let (sum, n) = self.observed;
        Instant(Duration::from_secs_f64(sum / f64::from(n.max(1))))
    }

    /// Returns whether a router refused a call for lack of room or a target turned one away.
    pub(super) fn is_contended(&self) -> bool {
        self.refused > 0.0 || self.targets.values().any(|t| t.turned_away > 0.0)
    }

    /// Returns the sum as a report of a data hall.
    fn report(&self, service: ServiceHash) -> PoolReport {
        let demand = self.demand.iter().map(|(claim, rate)| (*claim, *rate));
        let rates = |(target, t): (&TargetHash, &TargetSum)| TargetRates {
            target: *target,
            answered: TenthsPerSecond::new(t.answered),
            turned_away: TenthsPerSecond::new(t.turned_away),
            mean_time_ms: (t.busy / t.answered.max(f64::EPSILON) * 1_000.0).round() as u32,
        };
        PoolReport {
            service,
            demand: largest_claims(demand.collect(), MAX_HALL_CLAIMS),
            targets: largest_targets(self.targets.iter().map(rates).collect(), MAX_HALL_TARGETS),
            refused: TenthsPerSecond::new(self.refused),
        }
    }
}

/// Sums by pool.
pub(super) type PoolSums = BTreeMap<ServiceHash, PoolSum>;

fn add_all(sums: &mut PoolSums, pools: &[PoolReport], observed_at: Instant) {
    for report in pools {
        let sum = sums.entry(report.service).or_default();
        sum.add(report, observed_at);
    }
}

/// Reports of other routers and data halls.
#[derive(Debug, Default)]
pub(super) struct PeerReports {
    routers: BTreeMap<VmId, Received>,
    halls: BTreeMap<DataHall, Received>,
}

impl PeerReports {
    /// Stores a report that a router of `hall` sent.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        vm: &VmId,
        hall: &DataHall,
        report: ShareReport,
    ) {
        let received = |hall, age, mut pools: Vec<PoolReport>| {
            pools.truncate(MAX_POOLS);
            for pool in &mut pools {
                pool.demand.truncate(MAX_HALL_CLAIMS);
                pool.targets.truncate(MAX_HALL_TARGETS);
            }
            Received {
                at: now,
                observed_at: now.before(age),
                hall,
                pools,
            }
        };
        match report {
            ShareReport::Router(pools) => {
                let report = received(hall.clone(), Duration::ZERO, pools);
                self.routers.insert(vm.clone(), report);
            }
            ShareReport::Hall {
                hall,
                age_ms,
                pools,
            } => {
                let age = Duration::from_millis(u64::from(age_ms)).min(MAX_AGE);
                self.halls.insert(hall.clone(), received(hall, age, pools));
            }
        }
    }

    /// Drops reports received at least `ttl` ago, or observed at least `ttl` ago.
    pub(super) fn on_tick(&mut self, now: Instant, ttl: Duration) {
        let is_valid = |r: &Received| now.since(r.at) < ttl && now.since(r.observed_at) < ttl;
        self.routers.retain(|_, r| is_valid(r));
        self.halls.retain(|_, r| is_valid(r));
    }

    /// Returns whether any report is valid.
    pub(super) fn is_empty(&self) -> bool {
        self.routers.is_empty() && self.halls.is_empty()
    }

    /// Returns the sums over the fleet, with this router's own report.
    ///
    /// Uses the report of a data hall where there is one, and those of single routers elsewhere.
    pub(super) fn fleet_sums(
        &self,
        now: Instant,
        own_hall: &DataHall,
        own: &[PoolReport],
    ) -> PoolSums {
        let mut sums = PoolSums::default();
        for r in self.halls.values() {
            add_all(&mut sums, &r.pools, r.observed_at);
        }
        let is_summed = |hall: &DataHall| self.halls.contains_key(hall);
        for r in self.routers.values().filter(|r| !is_summed(&r.hall)) {
            add_all(&mut sums, &r.pools, r.observed_at);
        }
        if !is_summed(own_hall) {
            add_all(&mut sums, own, now);
        }
        sums
    }

    /// Returns the report of this data hall, with this router's own report.
    pub(super) fn own_hall_report(
        &self,
        now: Instant,
        hall: &DataHall,
        own: &[PoolReport],
    ) -> Option<ShareReport> {
        let mut sums = PoolSums::default();
        add_all(&mut sums, own, now);
        for r in self.routers.values().filter(|r| r.hall == *hall) {
            add_all(&mut sums, &r.pools, r.observed_at);
        }
        let observed = sums.values().map(|s| s.observed).fold((0.0, 0), sum_pairs);
        let mean = observed.0 / f64::from(observed.1.max(1));
        let age = now.since(Instant(Duration::from_secs_f64(mean)));
        let pools: Vec<_> = sums.iter().map(|(s, sum)| sum.report(*s)).collect();
        hall_report(hall, age, pools)
    }

    /// Returns the reports of the other data halls, as last received.
    pub(super) fn other_hall_reports(&self, now: Instant, own: &DataHall) -> Vec<ShareReport> {
        let others = self.halls.iter().filter(|(hall, _)| *hall != own);
        let report = |(hall, r): (&DataHall, &Received)| {
            hall_report(hall, now.since(r.observed_at), r.pools.clone())
        };
        others.filter_map(report).collect()
    }
}

fn sum_pairs(a: (f64, u32), b: (f64, u32)) -> (f64, u32) {
    (a.0 + b.0, a.1 + b.1)
}

fn hall_report(hall: &DataHall, age: Duration, mut pools: Vec<PoolReport>) -> Option<ShareReport> {
    let rate = |p: &PoolReport| p.demand.iter().map(|(_, rate)| rate.per_s()).sum::<f64>();
    pools.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
    pools.truncate(MAX_POOLS);
    (!pools.is_empty()).then(|| ShareReport::Hall {
        hall: hall.clone(),
        age_ms: age.as_millis().min(u128::from(u16::MAX)) as u16,
        pools,
    })
}

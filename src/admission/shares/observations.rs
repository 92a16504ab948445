//! What this router observes of a pool: arriving calls by claim, refusals, and how targets answer.

use std::{collections::HashMap, time::Duration};

use super::{
    AttemptResult,
    rate::Rate,
    report::{Claim, PoolReport, ServiceHash, TargetRates, TenthsPerSecond},
};
use crate::{target_counts::TargetHash, units::Instant};

/// Rate over half a second: a surge lasts 3 to 7 s, and half a second of the calls of a pool that is
/// worth dividing holds some hundred calls across the fleet.
type HalfSecondRate = Rate<500>;

/// Time after the last refusal for which a pool is contended.
pub(super) const CONTENTION_TTL: Duration = Duration::from_secs(2);

/// Maximum number of claims in a router's report, about 150 bytes. The claims with the highest rates
/// are reported, and their rates are raised so that the total is right.
const MAX_OWN_CLAIMS: usize = 16;

/// Maximum number of targets in a router's report.
const MAX_OWN_TARGETS: usize = 32;

/// Maximum number of claims that are tracked for a pool; further claims are counted as none.
const MAX_TRACKED_CLAIMS: usize = 1_024;

/// Maximum number of targets that are tracked for a pool.
const MAX_TRACKED_TARGETS: usize = 4_096;

/// Rate in calls per second below which a claim or a target is dropped.
const NEGLIGIBLE_RATE: f64 = 0.01;

#[derive(Debug, Default)]
struct TargetObservation {
    answered: HalfSecondRate,
    turned_away: HalfSecondRate,
    /// Seconds that answered calls took, per second.
    time: HalfSecondRate,
}

/// Observations of one pool.
#[derive(Debug, Default)]
pub(super) struct Observations {
    demand: HashMap<Claim, HalfSecondRate>,
    targets: HashMap<TargetHash, TargetObservation>,
    refused: HalfSecondRate,
    /// Last time that a call was refused or turned away.
    contended_at: Option<Instant>,
    called_at: Instant,
}

impl Observations {
    pub(super) fn on_call(&mut self, now: Instant, claim: Claim) {
        self.called_at = now;
        let is_tracked = self.demand.len() < MAX_TRACKED_CLAIMS || self.demand.contains_key(&claim);
        if is_tracked {
            let rate = self.demand.entry(claim).or_default();
            rate.add(now, 1.0);
        }
    }

    pub(super) fn on_no_room(&mut self, now: Instant) {
        self.contended_at = Some(now);
        self.refused.add(now, 1.0);
    }

    pub(super) fn on_attempt_end(
        &mut self,
        now: Instant,
        target: TargetHash,
        took: Duration,
        result: AttemptResult,
    ) {
        let is_tracked =
            self.targets.len() < MAX_TRACKED_TARGETS || self.targets.contains_key(&target);
        if !is_tracked || result == AttemptResult::Failed {
            return;
        }
        let observed = self.targets.entry(target).or_default();
        match result {
            AttemptResult::Answered => {
                observed.answered.add(now, 1.0);
                let took = took.as_secs_f64();
                observed.time.add(now, took);
            }
            AttemptResult::TurnedAway | AttemptResult::Failed => {
                self.contended_at = Some(now);
                observed.turned_away.add(now, 1.0);
            }
        }
    }

    /// Returns whether this router has seen a refusal within [`CONTENTION_TTL`].
    pub(super) fn is_contended(&self, now: Instant) -> bool {
        self.contended_at
            .is_some_and(|at| now.since(at) < CONTENTION_TTL)
    }

    /// Returns the time of the last call.
    pub(super) fn called_at(&self) -> Instant {
        self.called_at
    }

    /// Drops claims and targets whose rates are negligible.
    pub(super) fn on_tick(&mut self, now: Instant) {
        self.demand
            .retain(|_, rate| rate.get(now) > NEGLIGIBLE_RATE);
        self.targets.retain(|_, t| {
            let arrivals = t.answered.get(now) + t.turned_away.get(now);
            arrivals > NEGLIGIBLE_RATE
        });
    }

    /// Returns the report of these observations.
    pub(super) fn report(&self, now: Instant, service: ServiceHash) -> PoolReport {
        let demand = self.demand.iter();
        let demand = demand.map(|(claim, rate)| (*claim, rate.get(now)));
        let targets = self
            .targets
            .iter()
            .filter_map(|(id, t)| t.rates(now, *id))
            .collect();
        PoolReport {
            service,
            demand: largest_claims(demand.collect(), MAX_OWN_CLAIMS),
            targets: largest_targets(targets, MAX_OWN_TARGETS),
            refused: TenthsPerSecond::new(self.refused.get(now)),
        }
    }
}

impl TargetObservation {
    /// Returns the rates to report; `None` if they round to zero.
    fn rates(&self, now: Instant, target: TargetHash) -> Option<TargetRates> {
        let answered = self.answered.get(now);
        let time_s = self.time.get(now) / answered.max(f64::EPSILON);
        let rates = TargetRates {
            target,
            answered: TenthsPerSecond::new(answered),
            turned_away: TenthsPerSecond::new(self.turned_away.get(now)),
            mean_time_ms: (time_s * 1_000.0).round() as u32,
        };
        let is_zero = rates.answered.0 == 0 && rates.turned_away.0 == 0;
        (!is_zero).then_some(rates)
    }
}

/// Returns the `n` claims with the highest rates, raised so that the sum of all rates remains.
pub(super) fn largest_claims(
    mut demand: Vec<(Claim, f64)>,
    n: usize,
) -> Vec<(Claim, TenthsPerSecond)> {
    let total = |demand: &[(Claim, f64)]| demand.iter().map(|(_, rate)| rate).sum::<f64>();
    let all = total(&demand);
    demand.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    demand.truncate(n);
    let factor = all / total(&demand).max(f64::EPSILON);
    let reported = demand.into_iter();
    let reported = reported.map(|(claim, rate)| (claim, TenthsPerSecond::new(rate * factor)));
    reported.filter(|(_, rate)| rate.0 > 0).collect()
}

/// Returns the `n` targets with the most arrivals.
pub(super) fn largest_targets(mut targets: Vec<TargetRates>, n: usize) -> Vec<TargetRates> {
    let arrivals = |t: &TargetRates| t.answered.0.saturating_add(t.turned_away.0);
    targets.sort_unstable_by_key(|t| (std::cmp::Reverse(arrivals(t)), t.target));
    targets.truncate(n);
    targets
}

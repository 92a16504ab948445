//! Spreads calls over targets when the counts of calls in progress are out of date.
//!
//! This handles fleets of hundreds of routers that learn of each other's calls a few times a second. If
//! each router sends to the target with the lowest count, all send to the same target until the next counts
//! arrive: five targets of a plain service at two thirds of their capacity then turn 0.72 of the arrivals
//! away, and less than 0.01 with this module (295 routers, `tests/load/stale_counts.rs`).
//!
//! Some of the calls that other routers counted have ended since, and about as many new ones were sent;
//! routers that run the same algorithm sent them where there was room. So a target is drawn at random, with
//! a probability that grows with the room that it had below the level to which other routers have probably
//! filled the targets up since (load interpretation: Dahlin, "Interpreting Stale Load Information", 2000).
//! With fresh counts this selects the least loaded target, with old counts any target. There is nothing to
//! configure: the age is sent with the counts, and the duration of calls is learned.

use std::time::Duration;

use crate::target_counts::CallCounts;

/// Expected room at a target whose count is exactly at the level, in standard deviations of its count: the
/// mean of the positive part of a normal distribution, 1 / sqrt(2 pi).
const ROOM_AT_LEVEL: f64 = 0.4;

/// Minimum standard deviation, in calls. Exact counts have a deviation of zero; with this minimum the
/// cheapest target is chosen then.
const MIN_DEVIATION: f64 = 1e-6;

/// Multiple of the median load of its service's targets above which a target's calls count as hung. It is
/// more than the load bound allows any target to have.
const HUNG_FACTOR: f64 = 2.0;

/// Fraction of the calls counted by other routers that is still in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Survival(f64);

impl Survival {
    /// Computes the fraction for counts of age `age` if calls hold a slot for `slot_time`. While
    /// `slot_time` is unknown, it is zero for old counts, so that routers that have just started spread
    /// their calls.
    pub fn new(age: Duration, slot_time: Option<Duration>) -> Self {
        match slot_time {
            _ if age.is_zero() => Self(1.0),
            None => Self(0.0),
            Some(slot_time) => {
                let slot_time = slot_time.as_secs_f64().max(f64::EPSILON);
                Self((-age.as_secs_f64() / slot_time).exp())
            }
        }
    }

    /// Returns the part of `counted` that probably remains.
    pub fn of(self, counted: f64) -> f64 {
        counted * self.0
    }
}

/// Number of calls and size of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) counts: CallCounts,
    pub(super) slots: u32,
    /// Maximum number of calls at the target.
    pub(super) max_calls: u32,
    /// Factor on the usual time of work that the target needs at the moment.
    pub(super) time_factor: f64,
}

/// Sums the calls of targets without the hung calls at a target: those that exceed both its limit and
/// [`HUNG_FACTOR`] times the median. Hung calls say nothing about the load that other targets get, and if
/// they are included all targets seem full: with one of three targets cut off, 0.4 of the calls for which
/// the other two had room were refused (295 routers, `tests/load/lock_out.rs`).
fn sum_without_hung(loads: &[Load], calls: impl Fn(&Load) -> f64) -> f64 {
    let is_beyond = |l: &Load| calls(l) > f64::from(l.max_calls);
    if !loads.iter().any(is_beyond) {
        return loads.iter().map(calls).sum();
    }
    let median_calls = median(loads.iter().map(&calls).collect());
    let cap = |l: &Load| f64::from(l.max_calls).max(median_calls * HUNG_FACTOR);
    loads.iter().map(|l| calls(l).min(cap(l))).sum()
}

/// Returns the median, or zero if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        n => f64::midpoint(values[(n - 1) / 2], values[n / 2]),
    }
}

/// Estimates the current number of calls at targets from counts of some age.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    survival: Survival,
    /// Average number of calls per slot that other routers have at the service's targets.
    mean_others: f64,
    /// Standard deviation of a target's number of calls, in calls.
    deviation: f64,
}

impl Estimate {
    /// Computes the estimate from the counts of all targets of a service.
    pub(super) fn new(loads: &[Load], survival: Survival) -> Self {
        let others = sum_without_hung(loads, |l| f64::from(l.counts.others));
        let mean_sum = sum_without_hung(loads, |l| l.counts.mean_others);
        let slots: f64 = loads.iter().map(|l| f64::from(l.slots)).sum();
        // The calls that remain of those counted follow a binomial distribution, the new calls a Poisson
        // distribution.
        let mean = others / loads.len().max(1) as f64;
        let variance = mean * (1.0 - survival.0 * survival.0);
        Self {
            survival,
            mean_others: mean_sum / slots.max(1.0),
            deviation: variance.sqrt(),
        }
    }

    /// Estimates the calls at a target if routers keep sending as before: the counted calls that remain,
    /// and in place of those that ended the target's own average.
    pub(super) fn calls(&self, load: Load) -> f64 {
        self.remaining_calls(load) + self.new_calls(load.counts.mean_others)
    }

    /// Estimates the calls at a target if routers send to all targets alike: the counted calls that remain,
    /// and in place of those that ended the average of the service's targets.
    pub(super) fn calls_if_spread(&self, load: Load) -> f64 {
        self.remaining_calls(load) + self.new_calls(self.mean_others * f64::from(load.slots))
    }

    fn remaining_calls(&self, load: Load) -> f64 {
        let counts = load.counts;
        f64::from(counts.own) + self.survival.of(f64::from(counts.others))
    }

    fn new_calls(&self, mean: f64) -> f64 {
        mean - self.survival.of(mean)
    }

    /// Returns the standard deviation of the estimate, in calls.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Estimates the calls at a target before other routers send new ones: the counted calls that remain,
    /// and the amount by which the target's average exceeds its service's mean, because it is slow or holds
    /// what many calls ask for.
    fn calls_before_new(&self, load: Load) -> f64 {
        let beyond = load.counts.mean_others - self.mean_others * f64::from(load.slots);
        self.remaining_calls(load) + self.new_calls(beyond.max(0.0))
    }
}

/// Estimates which calls other routers have sent since they were counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    estimate: Estimate,
    /// Calls per slot to which targets have probably been filled by now.
    level: f64,
}

impl Spread {
    /// Computes the level from the targets that may be chosen.
    pub(super) fn new(loads: &[Load], estimate: Estimate) -> Self {
        let others: f64 = loads.iter().map(|l| f64::from(l.counts.others)).sum();
        let new_calls = others - estimate.survival.of(others);
        let left = loads
            .iter()
            .map(|l| (estimate.calls_before_new(*l), l.slots));
        Self {
            estimate,
            level: level(left.collect(), new_calls),
        }
    }

    /// Returns the number of calls above the level, which is added to the target's cost.
    pub(super) fn calls_above_level(&self, load: Load) -> f64 {
        -self.room_below_level(load).min(0.0)
    }

    /// Returns the logarithm of a target's selection weight. `excess` is its cost above the cheapest
    /// target, in calls.
    pub(super) fn log_weight(&self, load: Load, excess: f64) -> f64 {
        let deviation = self.estimate.deviation.max(MIN_DEVIATION);
        let room = self.room_below_level(load).max(0.0) + ROOM_AT_LEVEL * deviation;
        (room / load.time_factor).ln() - excess / deviation
    }

    fn room_below_level(&self, load: Load) -> f64 {
        self.level * f64::from(load.slots) - self.estimate.calls_before_new(load)
    }
}

/// Computes the level in calls per slot that targets reach when `calls` more calls fill up the least loaded
/// ones. Each target is given by its calls and slots.
fn level(mut targets: Vec<(f64, u32)>, calls: f64) -> f64 {
    let a_slot = |(calls, slots): &(f64, u32)| calls / f64::from((*slots).max(1));
    targets.sort_unstable_by(|a, b| a_slot(a).total_cmp(&a_slot(b)));
    let (mut all_calls, mut all_slots, mut level) = (calls, 0.0, 0.0);
    for target in &targets {
        if all_slots > 0.0 && level <= a_slot(target) {
            return level;
        }
        all_calls += target.0;
        all_slots += f64::from(target.1.max(1));
        level = all_calls / all_slots;
    }
    level
}

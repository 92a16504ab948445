//! Rate of calls that each target of a pool is offered.

use std::{collections::HashMap, time::Duration};

use super::sums::{PoolSum, TargetSum};
use crate::target_counts::TargetHash;

/// Fraction of the goal that a call may take on average. Calls vary around the mean, so half of
/// the goal is left for those that wait longer.
const TIME_FRACTION: f64 = 0.4;

/// Fraction of the goal above which a target whose calls do not wait counts as slow.
const SLOW_FRACTION: f64 = 0.4;

/// Range of the factor on a target's capacity by which its queue is filled or drained.
const MIN_QUEUE_FACTOR: f64 = 0.6;
const MAX_QUEUE_FACTOR: f64 = 1.04;

/// Factor on the rate at which a queue is drained that is longer than the goal allows: calls are late as long
/// as it lasts.
const DRAIN_GAIN: f64 = 1.5;

/// Fraction of arrivals that a target may reject before it is offered no more than it answers.
/// With random arrivals, a target with a short queue rejects about this part of them when it is
/// busy for 0.95 of the time.
const MAX_TURNED_AWAY: f64 = 0.08;

/// Fraction of the slots below which a target has free slots. If it rejects calls nevertheless, it has
/// no queue, and random arrivals leave slots free.
const BUSY_FRACTION: f64 = 0.95;

/// Factor on the capacity that is offered to a target without a queue: with six slots it then answers
/// 0.85 of its capacity, and 0.74 if it is offered just its capacity (Erlang's loss formula).
const NO_QUEUE_FACTOR: f64 = 1.25;

/// Maximum rate that is offered to a target, in calls per second; guards against invalid reports.
const MAX_TARGET_RATE: f64 = 10_000.0;

/// Rate that a target of which nothing is known is offered per slot, in calls per second, if nothing
/// is known of the other targets either: calls of half a second.
const DEFAULT_RATE_PER_SLOT: f64 = 2.0;

/// Computes the rate that each of `targets`, given with its slots, is offered.
///
/// `hold` is the time for which the result is in force until its effect is seen.
pub(super) fn target_rates(
    sum: &PoolSum,
    targets: &[(TargetHash, u32)],
    goal: Duration,
    hold: Duration,
) -> HashMap<TargetHash, f64> {
    let observed = |(hash, slots): &(TargetHash, u32)| {
        let t = sum.targets.get(hash).filter(|t| t.answered > 0.0)?;
        Some(offered_rate(t, f64::from((*slots).max(1)), goal, hold))
    };
    let rates: Vec<Option<f64>> = targets.iter().map(observed).collect();
    let known = targets.iter().zip(&rates);
    let known = known.filter_map(|((_, slots), rate)| Some((f64::from(*slots), (*rate)?)));
    let (slots, total) = known.fold((0.0, 0.0), |(s, t), (slots, rate)| (s + slots, t + rate));
    let per_slot = match slots > 0.0 {
        true => total / slots,
        false => DEFAULT_RATE_PER_SLOT,
    };
    let rate = |((hash, slots), rate): (&(TargetHash, u32), &Option<f64>)| {
        (*hash, rate.unwrap_or(per_slot * f64::from(*slots)))
    };
    targets.iter().zip(&rates).map(rate).collect()
}

/// Computes the rate that a target with `slots` slots is offered.
fn offered_rate(t: &TargetSum, slots: f64, goal: Duration, hold: Duration) -> f64 {
    let goal = goal.as_secs_f64();
    let time = t.busy / t.answered;
    let is_busy = t.busy > slots * BUSY_FRACTION;
    let rejects = t.turned_away > (t.answered + t.turned_away) * MAX_TURNED_AWAY;
    // A target that few routers reach answers few calls without being slow. If its rate followed its answers, it
    // would stay idle for seconds after an outage.
    let capacity = t.answered / utilization(t.busy, slots);
    // Time of a call that does not wait.
    let unqueued = slots / capacity;
    let excess = time - (goal * TIME_FRACTION).max(unqueued);
    // A queue that makes calls late is drained within half of that time.
    let gain = if excess > 0.0 { DRAIN_GAIN } else { 1.0 };
    let by_queue =
        (1.0 - gain * excess / hold.as_secs_f64()).clamp(MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR);
    let factor = match rejects {
        true if is_busy => by_queue.min(1.0),
        true => NO_QUEUE_FACTOR,
        false => by_queue,
    };
    let by_speed = (goal * SLOW_FRACTION / unqueued).min(1.0);
    (capacity * factor * by_speed).min(MAX_TARGET_RATE)
}

/// Returns the fraction of the time for which the slots of a target are taken that has `calls` calls in
/// progress on average, if calls arrive at random and take about equally long.
///
/// The rate of answers divided by it is the target's capacity, whether or not the target is busy. Solves
/// Sakasegawa's approximation of the queue (1977) for the utilization.
fn utilization(calls: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt();
    let calls_at = |u: f64| slots * u + 0.5 * u.powf(exponent) / (1.0 - u);
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        match calls_at(middle) < calls {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

/// Halvings of the interval of utilizations: to a ten-thousandth.
const BISECTIONS: u32 = 14;

//! Times of the calls of one service at all its targets, as a function of the work that the calls found.

use std::time::Duration;

use super::DEADBAND;
use crate::units::Instant;

/// Weight of a call in the moving averages, which cover about the last fifty calls: several of each target
/// in pools of ten, and the calls of a second or two.
const CALL_WEIGHT: f64 = 0.02;

/// How long the averages are used after the last call. The mix of calls changes from hour to hour, and the
/// averages must outlast the pauses between the calls of a router with little to do.
const TTL: Duration = Duration::from_secs(30);

/// Minimum standard deviation of the work, relative to its mean, from which the time of a call is taken to
/// depend on its work. Below that, chance decides about the slope.
const MIN_WORK_DEVIATION: f64 = 0.1;

/// Maximum ratio between the expected time of a call and the mean time, in either direction. The line is
/// unreliable far outside of the calls that it was fitted to.
const MAX_EXTRAPOLATION: f64 = 4.0;

/// Moving least-squares line through the times of calls.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallTimes {
    at: Instant,
    weight: f64,
    work: f64,
    time: f64,
    work_squared: f64,
    work_by_time: f64,
    /// Variance of the ratios of calls at one and the same target.
    variance: f64,
    /// Ratio of the middle target, unless it counts as 1.
    middle_ratio: Option<f64>,
}

impl CallTimes {
    /// Returns whether the last call is too long ago for the averages to be used.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.since(self.at) >= TTL
    }

    /// Adds a call, and returns the ratio of its time to the time expected from the calls before it; `None`
    /// if there were none.
    pub(super) fn on_call(&mut self, now: Instant, work: f64, took: Duration) -> Option<f64> {
        if self.is_expired(now) {
            *self = Self::default();
        }
        self.at = now;
        let time = took.as_secs_f64();
        let expected = self.expected(work);
        let keep = 1.0 - CALL_WEIGHT;
        self.weight = self.weight * keep + 1.0;
        self.work = self.work * keep + work;
        self.time = self.time * keep + time;
        self.work_squared = self.work_squared * keep + work * work;
        self.work_by_time = self.work_by_time * keep + work * time;
        expected.map(|expected| time / expected)
    }

    /// Adds the difference between the ratio of a call and the mean ratio of its target.
    pub(super) fn on_difference(&mut self, difference: f64) {
        self.variance += (difference * difference - self.variance) * CALL_WEIGHT;
    }

    /// Returns the standard error of the difference between a target's mean ratio over `calls` calls and the
    /// mean of all calls.
    pub(super) fn standard_error(&self, calls: f64) -> f64 {
        (self.variance * (1.0 / calls + 1.0 / self.weight.max(1.0))).sqrt()
    }

    /// Sets the ratio of the middle target from the mean ratios of all. The mean time of all calls includes
    /// the slow targets: with a third of the targets at a third of the speed, the others take 0.6 to 0.8 of
    /// it and would count as fast.
    pub(super) fn set_middle_ratio(&mut self, mut ratios: Vec<f64>) {
        ratios.sort_unstable_by(f64::total_cmp);
        let middle = ratios.get(ratios.len().saturating_sub(1) / 2).copied();
        self.middle_ratio = middle.filter(|ratio| !DEADBAND.contains(ratio));
    }

    /// Returns the ratio of the middle target.
    pub(super) fn middle_ratio(&self) -> f64 {
        self.middle_ratio.unwrap_or(1.0)
    }

    /// Returns the time in seconds that a call with this work takes on average over the service's targets.
    fn expected(&self, work: f64) -> Option<f64> {
        if self.time <= 0.0 {
            return None;
        }
        let mean_work = self.work / self.weight;
        let mean_time = self.time / self.weight;
        let variance = self.work_squared / self.weight - mean_work * mean_work;
        let covariance = self.work_by_time / self.weight - mean_work * mean_time;
        let slope = match variance.sqrt() > mean_work * MIN_WORK_DEVIATION {
            true => (covariance / variance).max(0.0),
            false => 0.0,
        };
        let expected = mean_time + slope * (work - mean_work);
        Some(expected.clamp(mean_time / MAX_EXTRAPOLATION, mean_time * MAX_EXTRAPOLATION))
    }
}

//! Targets that share their machines with other work, so that their speed changes.

use std::{ops::Range, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use scaleford::units::Instant;

use super::{Model, record};

/// Number of instants per second at which the capacity of targets is computed.
const SAMPLES_PER_S: u64 = 20;

/// Schedule of the targets that are slow.
#[derive(Debug, Clone, Copy)]
pub struct UnevenSchedule {
    /// Fraction of the time in which a target is slow: half of it at half of its usual speed, the rest at a
    /// third.
    pub slow_part: f64,
    /// Time for which a target keeps a speed.
    pub period: Duration,
    /// Figures that targets report in their answers.
    pub figures: ReportedFigures,
}

/// Which figures targets report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedFigures {
    /// No target reports a figure.
    None,
    /// All targets report their speed.
    True,
    /// Every third target always reports this percentage, and the others their speed.
    False(u32),
}

/// Calls sent to slow targets, and those that their speed allows.
#[derive(Debug, Default)]
pub struct UnevenResults {
    sent: f64,
    share: f64,
}

impl Model {
    /// Returns the factor on the usual time of work that a target needs now.
    pub(super) fn time_factor(&self, target: usize) -> f64 {
        let Some(schedule) = self.load.uneven else {
            return 1.0;
        };
        // Targets change at different times.
        let shift = schedule.period.mul_f64(target as f64 * 0.37);
        let n = (self.now.0 + shift).as_nanos() / schedule.period.as_nanos();
        let seed = self.load.seed << 40 | (target as u64) << 20 | n as u64;
        let draw: f64 = Pcg64::seed_from_u64(seed).random();
        match draw / schedule.slow_part {
            ..0.5 => 2.0,
            0.5..1.0 => 3.0,
            _ => 1.0,
        }
    }

    /// Lets a target report its figure to a router in an answer.
    pub(super) fn on_figure(&mut self, router: usize, target: usize) {
        let Some(schedule) = self.load.uneven else {
            return;
        };
        let true_percent = (self.time_factor(target) * 100.0) as u32;
        let percent = match schedule.figures {
            ReportedFigures::None => return,
            ReportedFigures::False(percent) if target.is_multiple_of(3) => percent,
            ReportedFigures::False(_) | ReportedFigures::True => true_percent,
        };
        let slowdown = percent.to_string().parse().ok();
        let id = record(target, self.load.slots).id;
        self.routers[router]
            .speeds
            .on_report(self.now, &id, slowdown);
    }

    /// Counts a call that is sent to a target.
    pub(super) fn record_send_by_speed(&mut self, target: usize) {
        if self.load.uneven.is_none() {
            return;
        }
        let speeds: Vec<f64> = (0..self.targets.len())
            .map(|t| 1.0 / self.time_factor(t))
            .collect();
        let slow = speeds.iter().filter(|s| **s < 1.0).sum::<f64>();
        self.uneven_results.share += slow / speeds.iter().sum::<f64>();
        self.uneven_results.sent += f64::from(speeds[target] < 1.0);
    }

    /// Returns the fraction of the calls sent within these seconds that the targets' slots can answer at their
    /// speeds at the time, if a call occupies a slot for `slot_time` at the usual speed.
    pub fn answerable(&mut self, seconds: Range<usize>, slot_time: Duration) -> f64 {
        let usual = f64::from(self.load.slots) / slot_time.as_secs_f64();
        let ends = self.now;
        let samples = seconds.start as u64 * SAMPLES_PER_S..seconds.end as u64 * SAMPLES_PER_S;
        let n = samples.end - samples.start;
        let mut sum = 0.0;
        for sample in samples {
            self.now = Instant::from_millis(sample * 1_000 / SAMPLES_PER_S);
            let speeds = (0..self.targets.len()).map(|t| 1.0 / self.time_factor(t));
            sum += (usual * speeds.sum::<f64>() / self.load.calls_per_s).min(1.0);
        }
        self.now = ends;
        sum / n as f64
    }

    /// Returns the calls sent to slow targets, relative to their share of the speed of all targets.
    pub fn part_of_slow_targets(&self) -> f64 {
        self.uneven_results.sent / self.uneven_results.share
    }
}

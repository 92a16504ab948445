//! How long a call holds its slot at a target.

use std::time::Duration;

/// The weight of one call in the moving mean: about the last fifty count, a second of one router's
/// share of a service.
const CALL_WEIGHT: f64 = 0.02;

/// A moving mean over the calls of one service, all kinds together as they come.
#[derive(Debug, Default)]
pub(super) struct Occupancy {
    mean_s: Option<f64>,
}

impl Occupancy {
    /// A call held a slot for so long, without the time in which it waited for one.
    pub(super) fn on_held(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let mean = self.mean_s.unwrap_or(held);
        self.mean_s = Some(mean + (held - mean) * CALL_WEIGHT);
    }

    /// What the mean was in an earlier life; what was learned in this one goes first.
    pub(super) fn on_recalled(&mut self, held: Duration) {
        self.mean_s.get_or_insert(held.as_secs_f64());
    }

    /// The mean; `None` before the first call.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean_s.map(Duration::from_secs_f64)
    }
}

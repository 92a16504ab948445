//! Mean time for which a call occupies a slot at a target.

use std::time::Duration;

/// Weight of one call in the exponential moving average: about the last fifty calls count, which
/// one router's share of a service's calls reaches in a second.
const EWMA_WEIGHT: f64 = 0.02;

/// Maximum mean that is taken from a saved state; guards against invalid figures.
const MAX_RESTORED_MEAN: Duration = Duration::from_hours(1);

/// Exponential moving average over the calls of one service, of all kinds in the order of their
/// arrival.
#[derive(Debug, Default)]
pub(super) struct MeanSlotTime {
    mean_s: Option<f64>,
}

impl MeanSlotTime {
    /// Adds the time for which a call occupied a slot, without its time in the target's queue.
    pub(super) fn on_slot_time(&mut self, slot_time: Duration) {
        let slot_time = slot_time.as_secs_f64();
        let mean = self.mean_s.unwrap_or(slot_time);
        self.mean_s = Some(mean + (slot_time - mean) * EWMA_WEIGHT);
    }

    /// Restores the mean from before a restart, unless calls have been observed since or it is no plausible one.
    pub(super) fn on_restored_slot_time(&mut self, slot_time: Duration) {
        if slot_time <= MAX_RESTORED_MEAN {
            self.mean_s.get_or_insert(slot_time.as_secs_f64());
        }
    }

    /// Returns the mean; `None` before the first call.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean_s.map(Duration::from_secs_f64)
    }
}

//! Rates over a sliding window.

use std::time::Duration;

use crate::units::Instant;

/// Rate of events over a sliding window of length `WINDOW_MS`.
///
/// Unlike an exponential average, it forgets a surge completely one window after its end, so that no
/// call is refused for the sake of calls that no longer arrive. The part of the window before the
/// current period is estimated from the previous period's total.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate<const WINDOW_MS: u64> {
    /// Start of the current period, a multiple of the window's length.
    since: Instant,
    current: f64,
    previous: f64,
}

impl<const WINDOW_MS: u64> Rate<WINDOW_MS> {
    /// Adds an event of size `amount`.
    pub(super) fn add(&mut self, now: Instant, amount: f64) {
        *self = self.at(now);
        self.current += amount;
    }

    /// Returns the events per second.
    pub(super) fn get(&self, now: Instant) -> f64 {
        let window = Duration::from_millis(WINDOW_MS);
        let at = self.at(now);
        let passed = now.since(at.since).div_duration_f64(window);
        (at.previous * (1.0 - passed) + at.current) / window.as_secs_f64()
    }

    /// Returns the totals of the current and the previous period at `now`.
    fn at(&self, now: Instant) -> Self {
        let period = |at: Instant| at.0.as_millis() as u64 / WINDOW_MS;
        let previous = match period(now).saturating_sub(period(self.since)) {
            0 => return *self,
            1 => self.current,
            _ => 0.0,
        };
        Self {
            since: Instant::from_millis(period(now) * WINDOW_MS),
            current: 0.0,
            previous,
        }
    }
}

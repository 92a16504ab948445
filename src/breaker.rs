//! When a target that fails gets no more requests for a while.
//!
//! A target that fails at once looks idle, so without this it would draw ever more requests.

use std::time::Duration;

use crate::units::Instant;

/// Failures in a row after which a target gets nothing.
pub const FAILURES: u32 = 3;

/// The first pause; each further failure doubles it.
pub const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// The recent failures of one target.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    until: Instant,
    trying: bool,
}

impl Breaker {
    /// Whether a request may be sent now. After a pause one may, until it is known how it went.
    pub fn allows(&self, now: Instant) -> bool {
        self.failures < FAILURES || (now >= self.until && !self.trying)
    }

    /// Whether the target gets nothing now.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.allows(now)
    }

    /// A request is sent.
    pub fn on_send(&mut self) {
        self.trying = self.failures >= FAILURES;
    }

    /// The target's answer began, or it refused by itself.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// The target was not reached, or ended without an answer.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.trying = false;
        if let Some(times) = self.failures.checked_sub(FAILURES) {
            let pause = FIRST_PAUSE * 2u32.saturating_pow(times.min(10));
            self.until = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// A request that was sent ended before it was known how it went.
    pub fn on_abandon(&mut self) {
        self.trying = false;
    }
}

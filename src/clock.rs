//! The time that a router's rules hang on: it goes on while the VM is suspended, as it does for everyone else.
//!
//! The system's steady clock, by which timers fire, stands still while a VM is suspended. Ages, proofs, leases and deadlines
//! taken from it would be too young by that time when the VM goes on.

use std::{cell::Cell, time::Duration};

use nix::time::{ClockId, clock_gettime};
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::units::Instant;

/// How long the VM was suspended since it began; grows only.
pub type Suspended = Box<dyn Fn() -> Duration>;

/// A router's clock.
pub struct Clock {
    epoch: tokio::time::Instant,
    suspended: Suspended,
    suspended_at_epoch: Duration,
    /// The longest that was read: time does not go back where two readings lie apart.
    seen: Cell<Duration>,
    /// What was known when waiters were last woken.
    waiters_know: Cell<Duration>,
    woken: Notify,
}

impl Clock {
    /// The system's clock; where it does not tell suspensions, there are none.
    pub fn system(log: &Logger) -> Self {
        if let Err(e) = system_suspended() {
            warn!(log, "suspensions are not known"; "why" => %e);
        }
        Self::new(Box::new(|| system_suspended().unwrap_or_default()))
    }

    /// A clock that counts these suspensions beside the steady clock.
    pub fn new(suspended: Suspended) -> Self {
        Self {
            epoch: tokio::time::Instant::now(),
            suspended_at_epoch: suspended(),
            suspended,
            seen: Cell::default(),
            waiters_know: Cell::default(),
            woken: Notify::new(),
        }
    }

    /// The time since the clock began.
    pub fn now(&self) -> Instant {
        Instant(self.epoch.elapsed())
    }

    /// The moment of tokio's clock that [`Self::now`] gives as `at`, unless the VM is suspended before.
    pub(crate) fn tokio_time(&self, at: Instant) -> tokio::time::Instant {
        self.epoch + at.0
    }
}

/// What the clock that counts suspensions is ahead of the one that does not.
fn system_suspended() -> nix::Result<Duration> {
    // In this order a pause between the readings makes it less, which is passed over.
    let counts_all = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME)?);
    let steady = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC)?);
    Ok(counts_all.saturating_sub(steady))
}

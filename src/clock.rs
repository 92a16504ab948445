//! The clock for a router's ages, leases and deadlines, which includes the time that the VM was suspended.
//!
//! The system's monotonic clock, which drives the timers, stops while a VM is suspended. Ages, confirmations,
//! leases and deadlines measured with it would be too young by the duration of the suspension after the VM
//! resumes.

use std::{cell::Cell, future::Future, time::Duration};

use nix::time::{ClockId, clock_gettime};
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::units::Instant;

/// Returns the total time that the VM was suspended since it booted, which only grows apart from small
/// variations between readings.
pub type Suspended = Box<dyn Fn() -> Duration>;

/// Minimum suspension that wakes sleeping tasks. Timers can be late by as much without a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// A monotonic clock that includes suspensions of the VM.
pub struct Clock {
    epoch: tokio::time::Instant,
    suspended: Suspended,
    suspended_at_epoch: Duration,
    /// Largest suspended time returned so far, so that the clock never goes backwards when readings vary.
    max_suspended: Cell<Duration>,
    /// Suspended time at the last call of `on_tick`.
    suspended_at_last_tick: Cell<Duration>,
    wake: Notify,
}

impl Clock {
    /// Creates the system's clock. If the system does not report suspensions, they are not counted.
    pub fn system(log: &Logger) -> Self {
        if let Err(e) = system_suspended() {
            warn!(log, "cannot read the suspended time of the VM, suspensions are not counted"; "why" => %e);
        }
        Self::new(Box::new(|| system_suspended().unwrap_or_default()))
    }

    /// Creates a clock that adds the time returned by `suspended` to the monotonic clock.
    pub fn new(suspended: Suspended) -> Self {
        Self {
            epoch: tokio::time::Instant::now(),
            suspended_at_epoch: suspended(),
            suspended,
            max_suspended: Cell::default(),
            suspended_at_last_tick: Cell::default(),
            wake: Notify::new(),
        }
    }

    /// Returns the time since the clock was created, including suspensions.
    pub fn now(&self) -> Instant {
        Instant(self.epoch.elapsed() + self.suspended())
    }

    /// Sleeps until an instant, and wakes in time even if the VM is suspended in the meantime.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let woken = self.wake.notified();
            let now = self.now();
            if now >= at {
                return;
            }
            let timer = tokio::time::sleep(at.since(now));
            // The loop checks the time again if the timer fired early or a suspension ended the wait.
            tokio::select! {
                () = timer => {}
                () = woken => {}
            }
        }
    }

    /// Returns the future's output, or `None` if it is not ready by the instant `at`.
    pub async fn timeout_at<F: Future>(&self, at: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }

    /// Wakes sleeping tasks if the VM was suspended since the last call, and returns for how long it was.
    pub fn on_tick(&self) -> Option<Duration> {
        let suspended = self.suspended();
        let newly_suspended =
            suspended.saturating_sub(self.suspended_at_last_tick.replace(suspended));
        if newly_suspended < MIN_SUSPENSION {
            return None;
        }
        self.wake.notify_waiters();
        Some(newly_suspended)
    }

    fn suspended(&self) -> Duration {
        let reading = (self.suspended)().saturating_sub(self.suspended_at_epoch);
        let largest = self.max_suspended.get().max(reading);
        self.max_suspended.set(largest);
        largest
    }
}

/// Computes the suspended time as the difference of the clocks with and without suspensions.
fn system_suspended() -> nix::Result<Duration> {
    // With this order a pause between the readings makes the result smaller, which `suspended` ignores.
    let boottime = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME)?);
    let monotonic = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC)?);
    Ok(boottime.saturating_sub(monotonic))
}

//! The time that a router's rules hang on: it goes on while the VM is suspended, as it does for everyone else.
//!
//! The system's steady clock, by which timers fire, stands still while a VM is suspended. Ages, proofs, leases and deadlines
//! taken from it would be too young by that time when the VM goes on.

use std::{cell::Cell, future::Future, time::Duration};

use nix::time::{ClockId, clock_gettime};
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::units::Instant;

/// How long the VM was suspended since it began; grows only.
pub type Suspended = Box<dyn Fn() -> Duration>;

/// The shortest suspension that sleepers are woken for: timers are late by as much anyhow.
const NOTICED: Duration = Duration::from_millis(20);

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
        Instant(self.epoch.elapsed() + self.suspended())
    }

    /// Ends at a moment, also where the VM is suspended until then.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let woken = self.woken.notified();
            let now = self.now();
            if now >= at {
                return;
            }
            let timer = tokio::time::sleep(at.since(now));
            // A timer that fires a little early, or a suspension before its end, leads to another look.
            tokio::select! {
                () = timer => {}
                () = woken => {}
            }
        }
    }

    /// What a future comes to, or `None` if that takes until a moment.
    pub async fn timeout_at<F: Future>(&self, at: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }

    /// Wakes who sleeps if the VM was suspended since the last call; returns for how long it was.
    pub fn on_tick(&self) -> Option<Duration> {
        let suspended = self.suspended();
        let lately = suspended.saturating_sub(self.waiters_know.replace(suspended));
        if lately < NOTICED {
            return None;
        }
        self.woken.notify_waiters();
        Some(lately)
    }

    fn suspended(&self) -> Duration {
        let lately = (self.suspended)().saturating_sub(self.suspended_at_epoch);
        let longest = self.seen.get().max(lately);
        self.seen.set(longest);
        longest
    }
}

/// What the clock that counts suspensions is ahead of the one that does not.
fn system_suspended() -> nix::Result<Duration> {
    // In this order a pause between the readings makes it less, which is passed over.
    let counts_all = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME)?);
    let steady = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC)?);
    Ok(counts_all.saturating_sub(steady))
}

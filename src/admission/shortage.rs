//! Duration of a service's capacity shortage, and the delay after which refused callers should
//! retry.
//!
//! Guards against a surge of some seconds whose callers retry only once. A caller that retries
//! within the surge is refused again and lost: 0.8 of the callers that are told to retry after 0.14
//! s, and fewer than 0.6 of those with the delays computed here (`tests/load/overload.rs`, three
//! seeds).

use std::time::Duration;

use crate::units::Instant;

/// Time without refusals after which the next refusal begins a new shortage.
const SHORTAGE_GAP: Duration = Duration::from_secs(1);

/// Expected duration of a shortage that has just begun: that of the shortest surges in the
/// workloads that this fleet is designed for.
const MIN_SHORTAGE: Duration = Duration::from_secs(3);

/// Maximum retry delay as a fraction of the time for which a caller waits. A caller that retries
/// then still has most of its time, and clients do not honour longer delays.
pub(super) const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of the delay over which callers that were refused together are spread.
const JITTER_FRACTION: f64 = 0.4;

/// Tracks the current run of refusals.
#[derive(Debug, Default)]
pub(super) struct Shortage {
    run: Option<RefusalRun>,
}

#[derive(Debug)]
struct RefusalRun {
    since: Instant,
    last: Instant,
}

impl Shortage {
    /// Records that a call was refused for lack of capacity.
    pub(super) fn on_refused(&mut self, now: Instant) {
        match &mut self.run {
            Some(run) if now.since(run.last) < SHORTAGE_GAP => run.last = now,
            run => {
                *run = Some(RefusalRun {
                    since: now,
                    last: now,
                });
            }
        }
    }

    /// Returns the time for which calls have been refused; `None` if the last refusal is at least
    /// [`SHORTAGE_GAP`] ago.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        let run = self.run.as_ref()?;
        (now.since(run.last) < SHORTAGE_GAP).then(|| now.since(run.since))
    }
}

/// Returns the expected remaining duration of a shortage of this age.
///
/// Only the age of a surge is known, and the longer a surge has lasted, the longer it is likely to
/// continue (the mean residual life of a Lomax distribution of shape 2).
pub(super) fn expected_remaining(age: Duration) -> Duration {
    MIN_SHORTAGE + age
}

/// Computes the retry delay of a caller that waits for `left` in total, when capacity is expected
/// after `remaining`.
pub(super) fn retry_after(remaining: Duration, left: Duration, draw: f64) -> Duration {
    let pause = remaining.min(left.mul_f64(MAX_RETRY_AFTER_FRACTION));
    pause.mul_f64(1.0 - JITTER_FRACTION * draw.clamp(0.0, 1.0))
}

//! How long a service has had no room, and what to say to callers meanwhile.
//!
//! The load pattern that this answers: a surge of some seconds before callers that try once more only.
//! One that comes back within the surge is refused again and lost: 0.8 of the callers that are asked back
//! after 0.14 s, fewer than 0.6 of those that are asked back as here (`tests/load/overload.rs`, three seeds).

use std::time::Duration;

use crate::units::Instant;

/// A refusal that comes so long after the one before begins a new shortage.
const CALM: Duration = Duration::from_secs(1);

/// What a shortage that has just begun is expected to last: the shortest surges of the users' sheets.
const SHORTEST: Duration = Duration::from_secs(3);

/// The part of a caller's time that it may be asked to stay away: a call that comes back then still has
/// most of its time, and the users' callers heed no more (PROTOCOL).
const HEEDED_PART: f64 = 1.0 / 3.0;

/// The part of the pause over which callers are spread that were refused together.
const SPREAD: f64 = 0.4;

/// A run of refusals.
#[derive(Debug, Default)]
pub(super) struct Shortage {
    run: Option<Run>,
}

#[derive(Debug)]
struct Run {
    since: Instant,
    last: Instant,
}

impl Shortage {
    /// A call found no room.
    pub(super) fn on_refused(&mut self, now: Instant) {
        match &mut self.run {
            Some(run) if now.since(run.last) < CALM => run.last = now,
            run => {
                *run = Some(Run {
                    since: now,
                    last: now,
                });
            }
        }
    }

    /// For how long calls have been refused; `None` where none was within [`CALM`].
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        let run = self.run.as_ref()?;
        (now.since(run.last) < CALM).then(|| now.since(run.since))
    }
}

/// How much longer a shortage of this age is expected to last. Of a surge nothing is known but its age,
/// and the longer one has lasted the longer it is likely to go on (the mean residual life of a Lomax
/// distribution of shape 2).
pub(super) fn expected_at(age: Duration) -> Duration {
    SHORTEST + age
}

/// The pause for a caller that waits for `left` in all, where room is expected after `lasts`.
pub(super) fn come_back(lasts: Duration, left: Duration, draw: f64) -> Duration {
    let pause = lasts.min(left.mul_f64(HEEDED_PART));
    pause.mul_f64(1.0 - SPREAD * draw.clamp(0.0, 1.0))
}

//! How many calls one target may have in progress.
//!
//! The load pattern that this answers: callers together want more than all targets can do. Without a
//! limit each target queues calls that it then answers late, and engines read prompts again that
//! others hold.

use std::time::Duration;

/// The part of the shortest goal that a call may wait at its target for a slot. The rest is for its
/// own prompt and for counts of other routers that are a tenth of a second old. Of 0.1, 0.25 and 0.5 the
/// calls of five overloads earned 0.695, 0.681 and 0.666 of their worth (mean of three seeds each).
const QUEUE_PART: f64 = 0.1;

/// Calls for each slot that are never exceeded, however fast slots come free.
const MOST_A_SLOT: f64 = 3.0;

/// The part of a target's slots that calls do not take whose prompt is in another target's memory: it
/// is kept for calls whose prompt is there. When all targets are full, each place that comes free would
/// otherwise go to whichever call comes next, with its prompt moved from elsewhere: 200 to 250 tokens a call
/// in place of fewer than 100 (`tests/load/overload.rs`, three seeds).
const HOME_PART: f64 = 0.25;

/// The part of a target's slots that calls of an account that surges do not take: all others find it
/// free, as few of them come at once. Without it 0.26 of their calls are in time, with it more than 0.7
/// (`tests/load/overload.rs`, three seeds).
const OTHERS_PART: f64 = 0.15;

/// What a call is, as far as it decides how full a target may be that takes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallTraits {
    /// Its prompt is at the target or nowhere else.
    pub at_home: bool,
    /// Its account sends many times its usual.
    pub surges: bool,
}

/// A limit on calls in progress, by a target's slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallLimit {
    calls_a_slot: f64,
}

impl CallLimit {
    /// The limit for a shortest goal, where calls hold a slot for `held`; only the slots themselves
    /// count before that is known.
    pub(super) fn new(goal: Duration, held: Option<Duration>) -> Self {
        let queued = |held: Duration| {
            let held = held.as_secs_f64().max(f64::EPSILON);
            goal.as_secs_f64() * QUEUE_PART / held
        };
        Self {
            calls_a_slot: (1.0 + held.map_or(0.0, queued)).min(MOST_A_SLOT),
        }
    }

    /// The most calls of a target with so many slots when such a call comes.
    pub fn most_calls(self, slots: u32, call: CallTraits) -> u32 {
        let for_home = match call.at_home {
            true => self.calls_a_slot,
            false => 1.0 - HOME_PART,
        };
        let for_others = if call.surges { OTHERS_PART } else { 0.0 };
        let calls_a_slot = for_home - for_others;
        let most = f64::from(slots) * calls_a_slot;
        // One call may always run.
        (most.round() as u32).max(1)
    }
}

//! Limit on the number of calls in progress at one target.
//!
//! Guards against overload, when callers together send more than all targets can serve. Without a
//! limit each target queues calls that it then answers too late, and engines process prompts again
//! that other engines have cached.

use std::time::Duration;

use crate::target_speed::TimeFactor;

/// Fraction of the shortest goal that a call may wait at its target for a slot.
///
/// The rest of the goal covers processing the call's own prompt, and counts of other routers that
/// are a tenth of a second old. With 0.1, 0.25 and 0.5 the calls of five overloads earned 0.695,
/// 0.681 and 0.666 of their value (mean of three seeds each).
const QUEUE_WAIT_FRACTION: f64 = 0.1;

/// Maximum number of calls in progress per slot, however fast slots become free.
const MAX_CALLS_PER_SLOT: f64 = 3.0;

/// Fraction of a target's slots reserved for calls whose prompt the target has cached; calls whose
/// prompt is cached at another target do not use it.
///
/// When all targets are full, each free slot would otherwise go to whichever call comes next, and
/// its prompt would be transferred from another target: 200 to 250 tokens per call instead of fewer
/// than 100 (`tests/load/overload.rs`, three seeds).
const CACHE_AFFINITY_RESERVE: f64 = 0.25;

/// Fraction of a target's slots that calls of a surging account do not use.
///
/// Calls of all other accounts find these slots free, because few of them arrive at once. Without
/// the reserve 0.26 of their calls are answered in time, with it more than 0.7
/// (`tests/load/overload.rs`, three seeds).
const NON_SURGING_RESERVE: f64 = 0.15;

/// Properties of a call that determine how full a target that accepts it may be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallTraits {
    /// Whether the target has cached the call's prompt, or no other target has cached more of it.
    pub has_cache_affinity: bool,
    /// Whether the call's account sends many times its usual rate.
    pub is_surging: bool,
}

/// Limit on the calls in progress at a target, relative to its number of slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallLimit {
    calls_per_slot: f64,
    /// Factor on the number of slots from which the limit of a target is computed.
    slots_factor: f64,
}

impl CallLimit {
    /// Computes the limit from the shortest goal and from `slot_time`, the mean time for which a
    /// call occupies a slot.
    ///
    /// Until that time is known, the limit is one call per slot.
    pub(super) fn new(goal: Duration, slot_time: Option<Duration>) -> Self {
        let queued = |slot_time: Duration| {
            let slot_time = slot_time.as_secs_f64().max(f64::EPSILON);
            goal.as_secs_f64() * QUEUE_WAIT_FRACTION / slot_time
        };
        Self {
            calls_per_slot: (1.0 + slot_time.map_or(0.0, queued)).min(MAX_CALLS_PER_SLOT),
            slots_factor: 1.0,
        }
    }

    /// Returns the limit of a target that takes `time_factor` times as long as usual: a slow target frees its
    /// slots less often, so its number of slots is divided by the factor. A fast target has no more slots
    /// than usual.
    pub fn at_speed(self, time_factor: TimeFactor) -> Self {
        Self {
            slots_factor: 1.0 / time_factor.get().max(1.0),
            ..self
        }
    }

    /// Returns the maximum number of calls in progress at a target with `slots` slots at which it
    /// still accepts `call`.
    pub fn max_calls(self, slots: u32, call: CallTraits) -> u32 {
        let cached = match call.has_cache_affinity {
            true => self.calls_per_slot,
            false => 1.0 - CACHE_AFFINITY_RESERVE,
        };
        let reserved = if call.is_surging {
            NON_SURGING_RESERVE
        } else {
            0.0
        };
        let per_slot = cached - reserved;
        let max = f64::from(slots) * self.slots_factor * per_slot;
        // A target may always run one call.
        (max.round() as u32).max(1)
    }
}

//! How many calls a target may have, by its own limit and beside the other targets.

use super::{
    choice::{PlacementRequest, TargetView},
    spread::Estimate,
};
use crate::units::Tokens;

/// Fraction of the distance between the load bound and the mean that is used. The rest allows for counts of
/// other routers that are slightly out of date.
const BOUND_FRACTION: f64 = 0.4;

/// Calls above the bound that are always allowed: a relative bound is meaningless for few calls.
const BOUND_SLACK_CALLS: f64 = 2.5;

/// Load bound of a target: its own limit, and the limit relative to the other targets.
pub(super) struct Bound {
    max_calls_per_slot: f64,
    /// Maximum load of a target as a multiple of the mean.
    factor: f64,
    estimate: Estimate,
    /// Number of calls added to a target's load for this call; may be negative.
    shift: f64,
    /// Mean number of calls accepted beyond a target's limit.
    limit_excess: f64,
}

impl Bound {
    pub(super) fn new(
        options: &[TargetView],
        request: &PlacementRequest,
        estimate: Estimate,
    ) -> Self {
        let calls: f64 = options.iter().map(|o| f64::from(o.calls())).sum();
        let slots: f64 = options.iter().map(|o| f64::from(o.slots)).sum();
        let factor = 1.0 + (request.cap_factor - 1.0) * BOUND_FRACTION;
        let mean = request.calls_per_slot.unwrap_or(calls / slots.max(1.0));
        Self {
            max_calls_per_slot: mean * factor,
            factor,
            estimate,
            shift: request.shift() * estimate.deviation(),
            limit_excess: request.limit_slack() * estimate.deviation(),
        }
    }

    /// Returns the bound computed from the estimated current loads instead of the last counts. It is used
    /// when no target has room by the last counts, because not all targets can be far above their mean.
    /// Without it, 0.16 to 0.85 of the calls in the second after a peak are refused while targets are idle
    /// (`tests/load/lock_out.rs`, 7 to 380 routers).
    pub(super) fn with_estimates(&self, options: &[TargetView]) -> Self {
        let calls: f64 = options.iter().map(|o| self.estimate.calls(o.load())).sum();
        let slots: f64 = options.iter().map(|o| f64::from(o.slots)).sum();
        Self {
            max_calls_per_slot: calls / slots.max(1.0) * self.factor,
            ..*self
        }
    }

    /// Removes targets that have as many calls as they answer in time at their present speed, unless all have:
    /// then the slots of slow targets are better than a refusal.
    pub(super) fn filter_at_speed<'a>(
        &self,
        with_room: Vec<(usize, &'a TargetView)>,
    ) -> Vec<(usize, &'a TargetView)> {
        let is_within = |o: &TargetView| {
            o.max_calls_at_speed == o.max_calls || self.is_below(o, o.max_calls_at_speed)
        };
        match with_room.iter().any(|o| is_within(o.1)) {
            true => with_room.into_iter().filter(|o| is_within(o.1)).collect(),
            false => with_room,
        }
    }

    /// Returns whether a target probably has fewer than `max_calls` calls, or none.
    fn is_below(&self, o: &TargetView, max_calls: u32) -> bool {
        let own_load = self.estimate.calls_if_spread(o.load()) + self.shift - self.limit_excess;
        own_load < f64::from(max_calls) || o.calls() == 0
    }

    pub(super) fn has_room(&self, o: &TargetView) -> bool {
        let max_calls = self.max_calls_per_slot * f64::from(o.slots) + BOUND_SLACK_CALLS;
        let work = Tokens(o.backlog.0 + o.missing.0);
        let relative_load = self.estimate.calls(o.load()) + self.shift;
        relative_load < max_calls
            && self.is_below(o, o.max_calls)
            // A target without calls always accepts one.
            && (o.calls() == 0 || o.max_tokens.is_none_or(|max_tokens| work <= max_tokens))
    }
}

//! Lifecycle of a router: serving, leaving, refusing, ending, gone.

use std::time::Duration;

use statig::prelude::*;

use crate::{config::serving::CallKind, units::Instant};

/// Fraction of the stop's maximum duration after which remaining calls are answered or cut off.
const CUT_OFF_FRACTION: f64 = 0.95;

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// Instant from which new calls are refused.
    pub(crate) refuse_at: Instant,
    /// Instant at which the remaining calls end.
    pub(crate) cut_off_at: Instant,
}

impl StopTimes {
    /// Computes the times of a stop that was requested at `began`, accepts calls for `serve_on`, and takes at most
    /// `limit`.
    pub(crate) fn new(began: Instant, serve_on: Duration, limit: Duration) -> Self {
        Self {
            refuse_at: began + serve_on,
            cut_off_at: began + limit.mul_f64(CUT_OFF_FRACTION),
        }
    }

    /// Returns whether a call of a route with this goal may be sent to a target. One that may not be sent twice is
    /// rather refused while that is true, unless it can be expected to end in time.
    pub(crate) fn may_send(self, now: Instant, kind: CallKind, goal: Duration) -> bool {
        now < self.refuse_at || kind.is_repeatable() || now + goal <= self.cut_off_at
    }
}

/// An event in the lifecycle of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouterEvent {
    /// A planned stop was requested.
    Stop,
    /// The load balancer has had time to detect the stop.
    BalancerNotified,
    /// The time limit of the stop is reached, and calls are still in progress.
    TimeIsUp,
    /// No calls are in progress any more, or they have been answered or cut off.
    Finished,
}

/// Phase of a router's lifecycle, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No stop was requested.
    Serving,
    /// The router reports that it is not ready. Calls are still accepted, and connections closed
    /// after each.
    Leaving,
    /// New calls are rejected, with a result code that says that they did not run.
    Refusing,
    /// Calls that are still in progress are given up, with answers that say whether they can have run.
    Ending,
    /// The stop is complete.
    Gone,
}

impl Phase {
    /// Returns the name of the phase for operators.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving | Self::Refusing | Self::Ending => "draining",
            Self::Gone => "gone",
        }
    }
}

/// State machine behind [`RouterLifecycle`].
#[derive(Debug, Default)]
struct LifecycleMachine;

#[state_machine(
    initial = "State::serving()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl LifecycleMachine {
    #[state]
    fn serving(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::Stop => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::BalancerNotified => Transition(State::refusing()),
            RouterEvent::TimeIsUp => Transition(State::ending()),
            RouterEvent::Finished => Transition(State::gone()),
            RouterEvent::Stop => Handled,
        }
    }

    #[state]
    fn refusing(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::TimeIsUp => Transition(State::ending()),
            RouterEvent::Finished => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state]
    fn ending(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::Finished => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state]
    fn gone(event: &RouterEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

/// Lifecycle of a router.
pub(crate) struct RouterLifecycle {
    machine: statig::blocking::StateMachine<LifecycleMachine>,
}

impl Default for RouterLifecycle {
    fn default() -> Self {
        Self {
            machine: LifecycleMachine.state_machine(),
        }
    }
}

impl RouterLifecycle {
    /// Handles an event.
    pub(crate) fn handle(&mut self, event: RouterEvent) {
        self.machine.handle(&event);
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Serving {} => Phase::Serving,
            State::Leaving {} => Phase::Leaving,
            State::Refusing {} => Phase::Refusing,
            State::Ending {} => Phase::Ending,
            State::Gone {} => Phase::Gone,
        }
    }
}

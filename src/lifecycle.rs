//! Lifecycle of a router: serving, leaving, refusing, gone.

use statig::prelude::*;

/// An event in the lifecycle of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouterEvent {
    /// A planned stop was requested.
    Stop,
    /// The load balancer has had time to detect the stop.
    BalancerNotified,
    /// No calls are in progress any more, or the time limit of the stop is reached.
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
    /// The stop is complete.
    Gone,
}

impl Phase {
    /// Returns the name of the phase for operators.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving | Self::Refusing => "draining",
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
            RouterEvent::Finished => Transition(State::gone()),
            RouterEvent::Stop => Handled,
        }
    }

    #[state]
    fn refusing(event: &RouterEvent) -> Outcome<State> {
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
            State::Gone {} => Phase::Gone,
        }
    }
}

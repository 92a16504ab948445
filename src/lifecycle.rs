//! The life of a router: serving, leaving, refusing, gone.

use statig::prelude::*;

/// What happens to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouterEvent {
    /// A planned stop was asked for.
    Stop,
    /// The balancer has had time to learn of it.
    BalancerKnows,
    /// Nothing is in progress any more, or the time is up.
    Finished,
}

/// Where a router has come to, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No stop was asked for.
    Serving,
    /// Not ready any more; calls are still taken, and connections closed after each.
    Leaving,
    /// New calls are refused as not run.
    Refusing,
    /// Its stop is complete.
    Gone,
}

impl Phase {
    /// The phase's name for operators.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving | Self::Refusing => "draining",
            Self::Gone => "gone",
        }
    }
}

/// The machine behind [`RouterLife`].
#[derive(Debug, Default)]
struct LifeMachine;

#[state_machine(
    initial = "State::serving()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl LifeMachine {
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
            RouterEvent::BalancerKnows => Transition(State::refusing()),
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

/// A router's life.
pub(crate) struct RouterLife {
    machine: statig::blocking::StateMachine<LifeMachine>,
}

impl Default for RouterLife {
    fn default() -> Self {
        Self {
            machine: LifeMachine.state_machine(),
        }
    }
}

impl RouterLife {
    /// Takes an event.
    pub(crate) fn on(&mut self, event: RouterEvent) {
        self.machine.handle(&event);
    }

    /// Where it has come to.
    pub(crate) fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Serving {} => Phase::Serving,
            State::Leaving {} => Phase::Leaving,
            State::Refusing {} => Phase::Refusing,
            State::Gone {} => Phase::Gone,
        }
    }
}

//! The life of a router: starting, serving, draining, gone.

use statig::prelude::*;

/// What happens to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterEvent {
    /// It has a configuration that is not older than any peer's it can reach.
    Configured,
    /// A planned stop was asked for.
    Stop,
    /// Nothing is in progress any more, or the limit passed.
    Finished,
}

/// The machine behind [`RouterLife`].
#[derive(Debug, Default)]
pub struct LifeMachine;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl LifeMachine {
    #[state]
    fn starting(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::Configured => Transition(State::serving()),
            RouterEvent::Stop => Transition(State::draining()),
            RouterEvent::Finished => Handled,
        }
    }

    #[state]
    fn serving(event: &RouterEvent) -> Outcome<State> {
        match event {
            RouterEvent::Stop => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &RouterEvent) -> Outcome<State> {
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

/// A router's life; only `serving` is ready for the balancer.
pub struct RouterLife {
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
    pub fn on(&mut self, event: RouterEvent) {
        self.machine.handle(&event);
    }

    /// Whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        *self.machine.state() == State::serving()
    }

    /// The state's name.
    pub fn name(&self) -> &'static str {
        match self.machine.state() {
            State::Starting {} => "starting",
            State::Serving {} => "serving",
            State::Draining {} => "draining",
            State::Gone {} => "gone",
        }
    }
}

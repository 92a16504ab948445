//! Check that a request that a router has read on a kept connection ends in a whole answer or a refusal.
//!
//! It holds beside planned work: changes of the configuration, reloads, graceful stops, and silences of sound
//! targets. A call does not count if its target broke it off, if any router was killed, paused, resumed or cut off
//! meanwhile (the call may pass through it), if the link to any target had a fault (it may have been tried there), or
//! if it lasted until its deadline or almost until the end of the time for a stop.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    link::Link,
    promises::CallOutcome,
    stops::{LatestAttempts, ProcessState},
    vm::GRACE_MS,
};

/// Time after which a router counts as having read a request that did not reach a target. An earlier close of
/// the connection may have crossed the request.
const READ_TIME: Duration = Duration::from_millis(200);

/// Time before a call is sent from which planned work is named as having been beside it.
const WORK_BEFORE: Duration = Duration::from_secs(3);

/// Time after a request to stop from which a router may end calls whose targets are still at work: five sixths of
/// `graceS`.
const STOP_TIME: Duration = Duration::from_millis(GRACE_MS * 5 / 6);

/// Time after a request to stop within which a call was sent that a router may end then.
const SENT_BEFORE_STOP: Duration = Duration::from_secs(3);

/// When each kind of planned work was last done.
#[derive(Default)]
pub struct PlannedWork {
    config_changed_at: Cell<Option<Instant>>,
    silent_at: Cell<Option<Instant>>,
    /// When a router was last killed, paused, resumed or cut off.
    router_disrupted_at: Cell<Option<Instant>>,
    /// Links to the targets.
    links: RefCell<Vec<Rc<Link>>>,
}

impl PlannedWork {
    /// Adds the link to a target.
    pub fn add_link(&self, link: &Rc<Link>) {
        self.links.borrow_mut().push(Rc::clone(link));
    }

    /// Records that the configuration changes.
    pub fn on_config_change(&self) {
        self.config_changed_at.set(Some(Instant::now()));
    }

    /// Records that a router is killed, paused, resumed or cut off.
    pub fn on_router_disrupted(&self) {
        self.router_disrupted_at.set(Some(Instant::now()));
    }

    /// Returns whether a router was disrupted at or after `since`: a call may pass through another router than
    /// its own.
    fn was_router_disrupted(&self, since: Instant) -> bool {
        self.router_disrupted_at.get().is_some_and(|at| at >= since)
    }

    /// Records that targets fall silent.
    pub fn on_silence(&self) {
        self.silent_at.set(Some(Instant::now()));
    }

    /// Returns the planned work beside a call that was sent to the process at this instant.
    fn beside(&self, process: &ProcessState, sent_at: Instant) -> Vec<&'static str> {
        let is_near = |at: Option<Instant>| at.is_some_and(|at| at + WORK_BEFORE >= sent_at);
        let kinds = [
            ("stop", process.stop_requested_at().is_some()),
            ("reload", is_near(process.reloaded_at())),
            ("config", is_near(self.config_changed_at.get())),
            ("silence", is_near(self.silent_at.get())),
        ];
        let near = kinds.iter().filter(|(_, is_near)| *is_near);
        near.map(|(name, _)| *name).collect()
    }

    /// Returns a description of the loss if a call on a connection that was kept from an earlier call was lost: it
    /// ended without a whole answer, or with a failure of the router's own although it reached a target.
    pub fn describe_loss(
        &self,
        call: &str,
        outcome: &CallOutcome,
        process: &ProcessState,
        sent_at: Instant,
        deadline: Duration,
        attempts: &LatestAttempts,
    ) -> Option<String> {
        let (lasted, has_arrived) = (sent_at.elapsed(), attempts.has_arrived(call));
        let got = match outcome {
            CallOutcome::NoResponse => "no answer".to_owned(),
            CallOutcome::Response(status, body, false) => {
                format!("{status} with only {} bytes", body.len())
            }
            CallOutcome::Response(502 | 504, _, true) if has_arrived => "a failure".to_owned(),
            CallOutcome::Response(_, _, true) => return None,
        };
        let is_excused = process.was_disrupted(sent_at)
            || self.was_router_disrupted(sent_at)
            || attempts.was_broken_off(call)
            || self
                .links
                .borrow()
                .iter()
                .any(|link| !link.is_healthy_for(lasted))
            || lasted >= deadline
            || outlasted_stop(process, sent_at)
            || !(has_arrived || lasted > READ_TIME);
        let beside = self.beside(process, sent_at);
        (!is_excused && !beside.is_empty()).then(|| {
            let target = if has_arrived { "a target" } else { "no target" };
            let (ms, beside) = (lasted.as_millis(), beside.join(", "));
            format!("{call}: {got} after {ms} ms, reached {target}, beside {beside}")
        })
    }
}

/// Returns whether a call has lasted so long beside a stop of its router that this may end it.
fn outlasted_stop(process: &ProcessState, sent_at: Instant) -> bool {
    let requested_at = process.stop_requested_at();
    requested_at.is_some_and(|at| at.elapsed() >= STOP_TIME && sent_at <= at + SENT_BEFORE_STOP)
}

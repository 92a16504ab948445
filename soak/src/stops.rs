//! Check that a planned stop of a router cuts off no answer.
//!
//! Targets and links report the answers that they broke off themselves. Every other answer that ends early at a
//! router that was asked to stop counts as cut off by the stop.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::{callers::CALL_DEADLINE, link::Link, promises::CallOutcome};

/// What the run did to one router process.
#[derive(Debug)]
pub struct ProcessState {
    started_at: Instant,
    /// When the process was first asked to stop gracefully.
    stop_requested_at: Cell<Option<Instant>>,
    /// Whether the run killed the process, which may take calls until it is gone.
    is_killed: Cell<bool>,
    /// When the run last killed, paused or resumed the process.
    disrupted_at: Cell<Option<Instant>>,
    /// When the process was last told to reload its settings.
    reloaded_at: Cell<Option<Instant>>,
}

impl Default for ProcessState {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            stop_requested_at: Cell::default(),
            is_killed: Cell::default(),
            disrupted_at: Cell::default(),
            reloaded_at: Cell::default(),
        }
    }
}

impl ProcessState {
    /// Returns whether the process has run for this time without being killed, paused, resumed or asked to stop.
    pub fn has_run_for(&self, duration: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < duration;
        let is_disturbed = self.disrupted_at.get().is_some_and(is_recent);
        !is_recent(self.started_at) && !is_disturbed && self.stop_requested_at.get().is_none()
    }

    /// Records that the process is asked to stop gracefully.
    pub fn on_stop_requested(&self) {
        let at = self.stop_requested_at.get().unwrap_or_else(Instant::now);
        self.stop_requested_at.set(Some(at));
    }

    /// Records that the process is killed, paused or resumed, which may break off calls that are in progress.
    pub fn on_disruption(&self) {
        self.disrupted_at.set(Some(Instant::now()));
    }

    /// Records that the process is killed.
    pub fn on_killed(&self) {
        self.is_killed.set(true);
    }

    /// Records that the process is told to reload its settings.
    pub fn on_reload(&self) {
        self.reloaded_at.set(Some(Instant::now()));
    }

    /// Returns when the process was asked to stop gracefully.
    pub fn stop_requested_at(&self) -> Option<Instant> {
        self.stop_requested_at.get()
    }

    /// Returns when the process was last told to reload its settings.
    pub fn reloaded_at(&self) -> Option<Instant> {
        self.reloaded_at.get()
    }

    /// Returns whether the process was killed before now, or paused or resumed at or after `since`.
    pub fn was_disrupted(&self, since: Instant) -> bool {
        self.is_killed.get() || self.disrupted_at.get().is_some_and(|at| at >= since)
    }
}

/// An attempt of a call that reached a target.
struct Attempt {
    /// Id of the target.
    target: String,
    arrived_at: Instant,
    /// Link through which it arrived, and the connection as seen by the target.
    path: Option<(Rc<Link>, SocketAddr)>,
    /// Whether the target gave no whole answer: it refused, failed, hung or truncated it.
    failed_by_target: Arc<AtomicBool>,
}

impl Attempt {
    /// Returns whether it was broken off by its target or by the link to it.
    fn was_broken_off(&self) -> bool {
        let is_link_cause = self
            .path
            .as_ref()
            .is_some_and(|(link, connection)| link.has_interrupted(*connection, self.arrived_at));
        self.failed_by_target.load(Ordering::Relaxed) || is_link_cause
    }
}

/// Latest attempt of each call, and those before that had not been broken off when it arrived, by the call's id.
#[derive(Default)]
pub struct LatestAttempts(RefCell<HashMap<String, Vec<Attempt>>>);

impl LatestAttempts {
    /// Records that an attempt arrives at a target, through its link and a connection of that link.
    pub fn on_arrival(&self, call: &str, target: &str, path: Option<(Rc<Link>, SocketAddr)>) {
        let attempt = Attempt {
            target: target.to_owned(),
            arrived_at: Instant::now(),
            path,
            failed_by_target: Arc::default(),
        };
        let mut attempts = self.0.borrow_mut();
        let attempts = attempts.entry(call.to_owned()).or_default();
        // What was broken off before is not what ends the call.
        attempts.retain(|a| !a.was_broken_off());
        attempts.push(attempt);
    }

    /// Records that the target refuses, fails, hangs or truncates its latest attempt at this moment.
    pub fn on_failed_by_target(&self, call: &str, target: &str) {
        self.failure_flag(call, target)
            .store(true, Ordering::Relaxed);
    }

    /// Returns the flag to be set when the target truncates the answer to its latest attempt.
    pub fn failure_flag(&self, call: &str, target: &str) -> Arc<AtomicBool> {
        let attempts = self.0.borrow();
        let mut attempts = attempts.get(call).into_iter().flatten().rev();
        let of_target = attempts.find(|a| a.target == target);
        let flag = of_target.map(|a| Arc::clone(&a.failed_by_target));
        flag.unwrap_or_default()
    }

    /// Returns whether an attempt of the call has arrived at a target.
    pub fn has_arrived(&self, call: &str) -> bool {
        self.0.borrow().contains_key(call)
    }

    /// Returns whether the latest attempt was broken off by its target or by the link to it, or one before that
    /// since the latest arrived: a router may keep a silent attempt beside the next.
    pub fn was_broken_off(&self, call: &str) -> bool {
        let attempts = self.0.borrow();
        let mut attempts = attempts.get(call).into_iter().flatten();
        attempts.any(Attempt::was_broken_off)
    }

    fn was_latest_broken_off(&self, call: &str) -> bool {
        let attempts = self.0.borrow();
        let latest = attempts.get(call).and_then(|all| all.last());
        latest.is_some_and(Attempt::was_broken_off)
    }

    /// Returns whether the answer to a call that was sent at `sent_at` was cut off by a planned stop of the
    /// process.
    ///
    /// A call that lasts until its deadline is ended by that, not by the stop. Only the latest attempt counts.
    pub fn was_cut_by_stop(
        &self,
        call: &str,
        outcome: &CallOutcome,
        process: &ProcessState,
        sent_at: Instant,
    ) -> bool {
        matches!(outcome, CallOutcome::Response(200, _, false))
            && process.stop_requested_at().is_some()
            && !process.was_disrupted(sent_at)
            && sent_at.elapsed() < CALL_DEADLINE
            && !self.was_latest_broken_off(call)
    }
}

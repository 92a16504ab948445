//! The retry budget, counted as the user documentation defines it.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Number of retries that are allowed for each call of a window.
const RETRIES_PER_CALL: f64 = 0.2;

/// Number of retries that are allowed in a window in addition to those per call.
const EXTRA_RETRIES: f64 = 54.0;

/// Length of the window in which calls and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Checks the retry budget of all routers together.
///
/// A call counts when its caller sends it, whether it arrives at a target or not. Each arrival of a call at a
/// target after the first one counts as a retry.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// When recent calls were counted.
    calls: RefCell<VecDeque<Instant>>,
    /// When recent retries arrived at targets.
    retries: RefCell<VecDeque<Instant>>,
}

/// Returns whether a call uses a route that every configuration has.
///
/// A call on the route of a single version counts at its first arrival at a target instead of when it is
/// sent.
fn is_on_permanent_route(call: &str) -> bool {
    !call.starts_with("only")
}

impl RetryBudget {
    /// Records that a caller sends a call.
    pub fn on_sent(&self, call: &str) {
        if is_on_permanent_route(call) {
            self.calls.borrow_mut().push_back(Instant::now());
        }
    }

    /// Records that a call arrives at a target, for the first time or as a retry.
    ///
    /// Returns a description of the violation if the retry exceeds the budget.
    pub fn on_arrival(&self, call: &str, is_first: bool) -> Option<String> {
        let now = Instant::now();
        match is_first {
            true if is_on_permanent_route(call) => return None,
            true => {
                self.calls.borrow_mut().push_back(now);
                return None;
            }
            false => self.retries.borrow_mut().push_back(now),
        }
        drop_older_than(&mut self.calls.borrow_mut(), now, WINDOW * 2);
        drop_older_than(&mut self.retries.borrow_mut(), now, WINDOW);
        let allowed = RETRIES_PER_CALL * self.max_window_calls(now) as f64 + EXTRA_RETRIES;
        let retries = self.retries.borrow().len();
        let is_within_budget = retries as f64 <= allowed;
        (!is_within_budget).then(|| format!("{retries} retries where {allowed:.0} are allowed"))
    }

    /// Returns the largest number of calls in a window that ends now, half a window ago or one window ago.
    fn max_window_calls(&self, now: Instant) -> usize {
        let calls = self.calls.borrow();
        let count = |ago: Duration| {
            let is_within = |at: &&Instant| {
                let age = now.duration_since(**at);
                (ago..ago + WINDOW).contains(&age)
            };
            calls.iter().filter(is_within).count()
        };
        let window_ends = [Duration::ZERO, WINDOW / 2, WINDOW];
        window_ends.map(count).into_iter().max().unwrap_or_default()
    }
}

/// Removes the instants that are older than `age`.
fn drop_older_than(times: &mut VecDeque<Instant>, now: Instant, age: Duration) {
    while times
        .front()
        .is_some_and(|at| now.duration_since(*at) > age)
    {
        times.pop_front();
    }
}

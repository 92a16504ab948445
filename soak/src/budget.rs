//! The budget of repeats, as the users' pages count it.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Repeats that are allowed for each call of a window, and beyond that.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Calls as their callers sent them, whether they arrived or not, and arrivals at targets beyond the first of each.
#[derive(Debug, Default)]
pub struct Budget {
    calls: RefCell<VecDeque<Instant>>,
    repeats: RefCell<VecDeque<Instant>>,
}

/// Whether a call is on a route that each configuration has. One on a route of a single version counts where it arrives.
fn is_on_lasting_route(call: &str) -> bool {
    !call.starts_with("only")
}

impl Budget {
    /// A caller sends a call.
    pub fn on_sent(&self, call: &str) {
        if is_on_lasting_route(call) {
            self.calls.borrow_mut().push_back(Instant::now());
        }
    }

    /// A call arrives at a target, first or again; returns what that breaks.
    pub fn on_arrival(&self, call: &str, is_first: bool) -> Option<String> {
        let now = Instant::now();
        match is_first {
            true if is_on_lasting_route(call) => return None,
            true => {
                self.calls.borrow_mut().push_back(now);
                return None;
            }
            false => self.repeats.borrow_mut().push_back(now),
        }
        forget_before(&mut self.calls.borrow_mut(), now, WINDOW * 2);
        forget_before(&mut self.repeats.borrow_mut(), now, WINDOW);
        let allowed = RATIO * self.most_calls(now) as f64 + EXTRA;
        let repeats = self.repeats.borrow().len();
        let is_kept = repeats as f64 <= allowed;
        (!is_kept).then(|| format!("{repeats} repeats where {allowed:.0} were allowed"))
    }

    /// Calls of the window that ends now, of the one before it, or of that half a window ago, whichever has the most.
    fn most_calls(&self, now: Instant) -> usize {
        let calls = self.calls.borrow();
        let ended = |ago: Duration| {
            let within = |at: &&Instant| {
                let age = now.duration_since(**at);
                (ago..ago + WINDOW).contains(&age)
            };
            calls.iter().filter(within).count()
        };
        let ends = [Duration::ZERO, WINDOW / 2, WINDOW];
        ends.map(ended).into_iter().max().unwrap_or_default()
    }
}

fn forget_before(times: &mut VecDeque<Instant>, now: Instant, age: Duration) {
    while times
        .front()
        .is_some_and(|at| now.duration_since(*at) > age)
    {
        times.pop_front();
    }
}

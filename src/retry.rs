//! Rules for repeating a failed attempt, and the fleet's retry budget.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{config::serving::CallKind, ids::ServiceName, units::Instant};

/// Whether a target ran a call that was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The target did not run the call and never will: the connection never opened, or the target
    /// said so.
    NotRun,
    /// The target ran the call: an answer arrived.
    Ran,
    /// It is unknown whether the target ran the call.
    MayHaveRun,
}

/// Proof that no target ran a call, nor ever will.
#[derive(Debug, Clone, Copy)]
pub struct NotRun(());

/// State of a call's attempts that determines whether it may be repeated and what the caller may be
/// told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    /// Number of attempts that reached a target.
    sent: u32,
    /// Number of those that have not ended.
    in_progress: u32,
    /// Whether any attempt ran or may have run.
    may_have_run: bool,
    /// Whether the caller has received a part of the answer.
    response_started: bool,
}

impl Attempts {
    /// Records that an attempt reached a target.
    pub fn on_sent(&mut self) {
        self.sent += 1;
        self.in_progress += 1;
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(&mut self, fate: Execution) {
        self.may_have_run |= fate != Execution::NotRun;
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Records that the attempts in progress are given up.
    pub fn on_given_up(&mut self) {
        self.may_have_run |= self.in_progress > 0;
        self.in_progress = 0;
    }

    /// Records that the caller has received a part of the answer.
    pub fn on_response_started(&mut self) {
        self.response_started = true;
    }

    /// Returns the number of targets that the call was sent to.
    pub fn sent(self) -> u32 {
        self.sent
    }

    /// Returns the proof that is required to tell the caller that the call has not run.
    pub fn not_run(self) -> Option<NotRun> {
        (!self.may_have_run).then_some(NotRun(()))
    }

    /// Returns whether another target may be tried.
    pub fn may_retry(self, kind: CallKind, max_attempts: u32) -> bool {
        self.sent < max_attempts.max(1) && (!self.may_have_run || self.is_repeatable(kind))
    }

    /// Returns whether another target may be tried while an attempt is in progress.
    pub fn may_overlap(self, kind: CallKind, max_attempts: u32) -> bool {
        self.sent < max_attempts.max(1) && self.is_repeatable(kind)
    }

    fn is_repeatable(self, kind: CallKind) -> bool {
        match self.response_started {
            true => kind.is_resumable(),
            false => kind.is_repeatable(),
        }
    }
}

/// Maximum fraction of the budget that is used, because other routers' counts are slightly out of
/// date.
const USABLE_FRACTION: f64 = 0.8;

/// Fraction of its share that a router may use within its first window, because it does not know
/// what it used before a restart. Two restarts of all routers within one window thus take a tenth
/// of the budget each, which is the fifth of the budget that is left unused.
const STARTUP_FRACTION: f64 = 0.1;

/// Size of the fleet's retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRule {
    /// Repeats allowed per call of the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed in addition to the ratio, for the whole fleet.
    pub extra: f64,
}

/// This router's share of the repeats of the whole fleet: the smallest share that it had within the
/// window, so that all shares used within one window add up to no more than the whole.
///
/// A router that stops, dies or restarts leaves repeats behind that still count. If its share
/// passed to other routers at once, the shares used within one window would add up to 2.1 (three of
/// four routers stopped or killed within 2.6 s; shares in the log lines of repeats). An increase of
/// a router's share therefore counts one window later and a decrease at once, and a router that has
/// started or was suspended may use a tenth of its share for one window.
#[derive(Debug, Default)]
pub struct FleetShare {
    /// Start of the observations without a gap of a window or more.
    since: Option<Instant>,
    /// Time of the last observation.
    last: Instant,
    /// Observed shares, each smaller than all later ones.
    window_minima: VecDeque<(Instant, f64)>,
}

impl FleetShare {
    /// Adds an observation of this router's current share, computed from the routers that it knows
    /// to be alive. `window` is the window of the budget.
    pub fn on_share(&mut self, now: Instant, share: f64, window: Duration) {
        if now.since(self.last) >= window {
            self.window_minima.clear();
            self.since = None;
        }
        self.since = self.since.or(Some(now));
        self.last = now;
        let is_old = |at: Instant| now.since(at) >= window;
        // The last expired observation was in force when the window began.
        while self.window_minima.get(1).is_some_and(|(at, _)| is_old(*at)) {
            self.window_minima.pop_front();
        }
        while self.window_minima.back().is_some_and(|(_, s)| *s > share) {
            self.window_minima.pop_back();
        }
        // An equal share has been in force since the earlier observation.
        if self.window_minima.back().is_none_or(|(_, s)| *s < share) {
            self.window_minima.push_back((now, share));
        }
    }

    /// Returns the share that may be used.
    pub fn usable(&self, now: Instant, window: Duration) -> f64 {
        let observed = self.since.is_some_and(|at| now.since(at) >= window);
        let least = self.window_minima.front().map_or(0.0, |(_, s)| *s);
        if observed {
            least
        } else {
            least * STARTUP_FRACTION
        }
    }
}

#[derive(Debug, Default)]
struct Window {
    calls: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// This router's share of the retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    services: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// Creates a budget with this rule.
    pub fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Replaces the rule; earlier calls and repeats still count.
    pub fn set_rule(&mut self, rule: BudgetRule) {
        self.rule = rule;
    }

    /// Records the arrival of a caller's call for a service.
    pub fn on_call(&mut self, now: Instant, service: &ServiceName) {
        let window = self.window(now, service);
        window.calls.push_back(now);
    }

    /// Takes one repeat from the budget if the share allows it; returns whether it does. `share` is
    /// this router's share of the fleet.
    pub fn take(&mut self, now: Instant, service: &ServiceName, share: f64) -> bool {
        let fits = self.has_left(now, service, share);
        if fits {
            self.window(now, service).repeats.push_back(now);
        }
        fits
    }

    /// Returns whether a repeat could be taken from the budget now.
    pub fn has_left(&mut self, now: Instant, service: &ServiceName, share: f64) -> bool {
        let rule = self.rule;
        let window = self.window(now, service);
        let by_calls = rule.ratio * window.calls.len() as f64;
        let allowed = (by_calls + rule.extra * share) * USABLE_FRACTION;
        (window.repeats.len() as f64) + 1.0 <= allowed
    }

    /// Returns the window of a service, without expired calls and repeats.
    fn window(&mut self, now: Instant, service: &ServiceName) -> &mut Window {
        let length = self.rule.window;
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.calls, &mut window.repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= length) {
                times.pop_front();
            }
        }
        window
    }
}

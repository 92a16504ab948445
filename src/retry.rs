//! What may follow a failed attempt, and the fleet's budget of repeats.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{config::serving::CallKind, ids::ServiceName, units::Instant};

/// Whether a target ran a call that was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It did not, and never will: the connection never opened, or the target said so.
    NotRun,
    /// It did: an answer came.
    Ran,
    /// Nobody can tell.
    MayHaveRun,
}

/// Proof that no target ran a call, nor ever will.
#[derive(Debug, Clone, Copy)]
pub struct NotRun(());

/// All attempts of one call, as far as they bind what may be done and said.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    sent: u32,
    may_have_run: bool,
    begun: bool,
}

impl Attempts {
    /// An attempt reached a target.
    pub fn on_sent(&mut self) {
        self.sent += 1;
    }

    /// An attempt ended.
    pub fn on_fate(&mut self, fate: Fate) {
        self.may_have_run |= fate != Fate::NotRun;
    }

    /// The caller has a part of the answer.
    pub fn on_begun(&mut self) {
        self.begun = true;
    }

    /// Targets that the call was sent to.
    pub fn sent(self) -> u32 {
        self.sent
    }

    /// What is needed to tell the caller that the call has not run.
    pub fn not_run(self) -> Option<NotRun> {
        (!self.may_have_run).then_some(NotRun(()))
    }

    /// Whether another target may be tried.
    pub fn may_go_on(self, kind: CallKind, max_attempts: u32) -> bool {
        let again = match self.begun {
            true => kind.is_resumable(),
            false => kind.is_repeatable(),
        };
        self.sent < max_attempts.max(1) && (!self.may_have_run || again)
    }
}

/// The part of the budget that is used at most: other routers' counts are a little old.
const USED_PART: f64 = 0.8;

/// What a router may use of its share within the first window of its life, of which it does not know what the life before used: of the
/// fifth of the budget that is left unused, two restarts of all routers within one window take this each.
const STARTING_PART: f64 = 0.1;

/// How the fleet's budget is set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRule {
    /// Repeats allowed for each call of the window.
    pub ratio: f64,
    /// The sliding window.
    pub window: Duration,
    /// Repeats allowed beyond the ratio, for the whole fleet.
    pub extra: f64,
}

/// This router's part of what the whole fleet may repeat, such that all parts of one window add up to no more than the
/// whole: the least one that it had within the window.
///
/// A router that stops, dies or starts again leaves repeats behind that still count. Where its part passes on at once, the parts of one window
/// add up to 2.1 (three of four routers stopped or killed within 2.6 s; shares in the log lines of repeats). So
/// what a router gains counts a window later, what it loses at once, and one that starts or stood still has a tenth of it for a window.
#[derive(Debug, Default)]
pub struct FleetShare {
    /// Since when there are observations without a gap of a window.
    since: Option<Instant>,
    last: Instant,
    /// Observations, each smaller than all after it.
    rising: VecDeque<(Instant, f64)>,
}

impl FleetShare {
    /// This router's part is so large now, by the routers that it hears of. `window` is the budget's.
    pub fn on_share(&mut self, now: Instant, share: f64, window: Duration) {
        if now.since(self.last) >= window {
            self.rising.clear();
            self.since = None;
        }
        self.since = self.since.or(Some(now));
        self.last = now;
        let is_old = |at: Instant| now.since(at) >= window;
        // The last one that is older was in force when the window began.
        while self.rising.get(1).is_some_and(|(at, _)| is_old(*at)) {
            self.rising.pop_front();
        }
        while self.rising.back().is_some_and(|(_, s)| *s > share) {
            self.rising.pop_back();
        }
        // One that is the same has been in force since the earlier observation.
        if self.rising.back().is_none_or(|(_, s)| *s < share) {
            self.rising.push_back((now, share));
        }
    }

    /// The part that may be used.
    pub fn usable(&self, now: Instant, window: Duration) -> f64 {
        let observed = self.since.is_some_and(|at| now.since(at) >= window);
        let least = self.rising.front().map_or(0.0, |(_, s)| *s);
        if observed {
            least
        } else {
            least * STARTING_PART
        }
    }
}

#[derive(Debug, Default)]
struct Window {
    calls: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// This router's share of the repeats at each service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    services: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// A budget by this rule.
    pub fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Puts another rule in force; what was counted stays.
    pub fn set_rule(&mut self, rule: BudgetRule) {
        self.rule = rule;
    }

    /// A caller's call for a service arrived.
    pub fn on_call(&mut self, now: Instant, service: &ServiceName) {
        let window = self.window(now, service);
        window.calls.push_back(now);
    }

    /// Takes one repeat if the share allows it. `share` is this router's part of the fleet.
    pub fn take(&mut self, now: Instant, service: &ServiceName, share: f64) -> bool {
        let rule = self.rule;
        let window = self.window(now, service);
        let by_calls = rule.ratio * window.calls.len() as f64;
        let allowed = (by_calls + rule.extra * share) * USED_PART;
        let fits = (window.repeats.len() as f64) + 1.0 <= allowed;
        if fits {
            window.repeats.push_back(now);
        }
        fits
    }

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

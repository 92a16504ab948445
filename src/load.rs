//! The mean load of a pool, as one home router knows it.
//!
//! The homes of a pool tell one another the tokens in progress at their targets: once a second,
//! and at once where a request waits for want of room, since then the mean they know may be
//! older than a rise of the load. Between two reports a peer's sum that fell last is taken to
//! fall on as fast, so that the mean errs low: a low mean makes a request wait a moment, a high
//! one would carry an engine above the bound.

use std::{collections::HashMap, ops::Add, time::Duration};

use crate::{
    ids::VmId,
    units::{Instant, Tokens, Weight},
};

/// How often the homes of a pool report to one another.
pub const REPORT_EVERY: Duration = Duration::from_secs(1);

/// A report that is older than this counts as no load at all.
pub const REPORT_EXPIRES: Duration = Duration::from_secs(5);

/// The shortest time between two reports that are asked for.
pub const ASK_EVERY: Duration = Duration::from_millis(50);

/// The tokens in progress at some targets of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Those that are known.
    pub tokens: Tokens,
    /// Those that another router may have admitted that also believes to be home.
    pub doubtful: Tokens,
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            doubtful: self.doubtful + other.doubtful,
        }
    }
}

impl std::iter::Sum for Load {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), Add::add)
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Instant,
    load: Load,
    fall_per_s: f64,
}

/// What the other homes of a pool last reported.
#[derive(Debug, Clone, Default)]
pub struct PoolLoad {
    others: HashMap<VmId, Report>,
}

/// A pool's load as admission uses it, and as it is shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Tokens in progress over the pool.
    pub load: Load,
    /// The capacity weights of the pool's targets, added up.
    pub weight: u32,
}

impl PoolView {
    /// The mean for a target of this weight, in tokens, if `more` were admitted.
    pub fn mean_with(self, weight: Weight, more: Tokens) -> f64 {
        self.share(weight, self.load.tokens + more)
    }

    /// The same, if all that is doubtful is there. Only a target whose own load is counted with
    /// its doubt may be held against it.
    pub fn doubtful_mean_with(self, weight: Weight, more: Tokens) -> f64 {
        self.share(weight, self.load.tokens + self.load.doubtful + more)
    }

    fn share(self, weight: Weight, all: Tokens) -> f64 {
        match self.weight {
            0 => 0.0,
            w => all.0 as f64 * f64::from(weight.get()) / f64::from(w),
        }
    }
}

impl PoolLoad {
    /// Takes a report of another home.
    pub fn on_report(&mut self, now: Instant, from: VmId, load: Load) {
        let fall_per_s = match self.others.get(&from) {
            Some(last) => fall(last, now, load.tokens),
            None => 0.0,
        };
        self.others.insert(
            from,
            Report {
                at: now,
                load,
                fall_per_s,
            },
        );
    }

    /// Forgets homes that are not among the pool's any more, and reports that expired.
    pub fn retain(&mut self, now: Instant, live: impl Fn(&VmId) -> bool) {
        self.others
            .retain(|vm, r| live(vm) && now.since(r.at) < REPORT_EXPIRES);
    }

    /// What the other homes are taken to have in progress.
    pub fn others(&self, now: Instant) -> Load {
        self.others.values().map(|r| remaining(now, r)).sum()
    }
}

fn fall(last: &Report, now: Instant, tokens: Tokens) -> f64 {
    let seconds = now.since(last.at).as_secs_f64().max(0.01);
    last.load.tokens.less(tokens).0 as f64 / seconds
}

fn remaining(now: Instant, report: &Report) -> Load {
    match now.since(report.at) {
        age if age >= REPORT_EXPIRES => Load::default(),
        age => {
            let fallen = report.fall_per_s * age.as_secs_f64();
            Load {
                tokens: report.load.tokens.less(Tokens(fallen as u64)),
                doubtful: report.load.doubtful,
            }
        }
    }
}

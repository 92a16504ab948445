//! The mean load of a pool, as one home router knows it.
//!
//! The homes of a pool tell one another the tokens in progress at their targets: once a second,
//! and at once where a request waits for want of room, since then the mean they know may be
//! older than a rise of the load.

use std::{collections::HashMap, ops::Add, time::Duration};

use crate::{
    ids::{ConversationKey, TargetId, VmId},
    units::{Instant, Tokens, Weight},
};

/// How often the homes of a pool report to one another.
pub const REPORT_EVERY: Duration = Duration::from_secs(1);

/// A report that is older than this begins to count for less: its sender may be gone, and the
/// load that it sent with it.
pub const REPORT_FADES: Duration = Duration::from_millis(1_200);

/// A report that is older than this counts as no load at all.
pub const REPORT_EXPIRES: Duration = Duration::from_millis(2_400);

/// The part by which a home's load moves before it reports ahead of time.
pub const SHIFT: f64 = 0.2;

/// The shortest time between a report and one ahead of time.
pub const SHIFT_EVERY: Duration = Duration::from_millis(150);

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

/// The least loaded target that a home keeps of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Least {
    /// The target.
    pub target: TargetId,
    /// Its tokens in progress, scaled to the usual capacity.
    pub tokens: Tokens,
}

#[derive(Debug, Clone)]
struct Report {
    at: Instant,
    load: Load,
    least: Option<Least>,
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
    pub fn on_report(&mut self, now: Instant, from: VmId, load: Load, least: Option<Least>) {
        let at = now;
        let report = Report { at, load, least };
        self.others.insert(from, report);
    }

    /// Forgets homes that are not among the pool's any more, and reports that expired.
    pub fn retain(&mut self, now: Instant, live: impl Fn(&VmId) -> bool) {
        self.others
            .retain(|vm, r| live(vm) && now.since(r.at) < REPORT_EXPIRES);
    }

    /// The lighter of two of the other homes' least loaded targets, so that homes that know the
    /// same do not all choose the same; counts the cost on it until the next report.
    pub fn find_room(&mut self, key: ConversationKey, cost: Tokens) -> Option<TargetId> {
        let others = self.others.values_mut().filter_map(|r| r.least.as_mut());
        let mut light: Vec<&mut Least> = others.collect();
        // Two homes may name one target; the order must not depend on who is asked first.
        light.sort_by(|a, b| (&a.target, a.tokens).cmp(&(&b.target, b.tokens)));
        let n = light.len() as u64;
        let (one, two) = (key.0.checked_rem(n)?, (key.0 >> 32).checked_rem(n)?);
        let lighter = match light[one as usize].tokens <= light[two as usize].tokens {
            true => one,
            false => two,
        };
        let chosen = light.get_mut(lighter as usize)?;
        chosen.tokens += cost;
        Some(chosen.target.clone())
    }

    /// What the other homes are taken to have in progress.
    pub fn others(&self, now: Instant) -> Load {
        self.others.values().map(|r| remaining(now, r)).sum()
    }
}

fn remaining(now: Instant, report: &Report) -> Load {
    let age = now.since(report.at);
    let left = REPORT_EXPIRES.saturating_sub(age).as_secs_f64();
    let whole = REPORT_EXPIRES.saturating_sub(REPORT_FADES).as_secs_f64();
    let part = (left / whole).min(1.0);
    let scale = |t: Tokens| Tokens((t.0 as f64 * part) as u64);
    Load {
        tokens: scale(report.load.tokens),
        doubtful: scale(report.load.doubtful),
    }
}

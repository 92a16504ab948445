//! Which of several targets gets a call where the counts of calls in progress are old.
//!
//! The load pattern that this answers: hundreds of routers that hear of one another's calls some times
//! a second. If each sends to the target with the least calls counted, all send to the same one until
//! they hear of it: five targets of a plain service with two thirds of their capacity asked for turn
//! 0.72 of the arrivals away, and less than 0.01 with what is decided here (295 routers,
//! `tests/load/stale_counts.rs`).
//!
//! Of the calls that others counted, a part has ended since; about as many were sent, and a router
//! that decides as this one does sent them where there was room. So each target is drawn with a chance
//! that follows the room it had below the level to which others have probably filled the targets up
//! since (load interpretation: Dahlin, "Interpreting Stale Load Information", 2000). With fresh counts
//! that is the least loaded one, with old ones any. Nothing is to be set: the age travels with the
//! counts, and how long calls last is learned.

use std::time::Duration;

use crate::target_counts::CallCounts;

/// The room expected at a target that is counted just at the level, in standard deviations of its
/// count: the mean of the positive part of a normal distribution, 1 / sqrt(2 pi).
const ROOM_AT_LEVEL: f64 = 0.4;

/// The least deviation that decides between targets, in calls; counts that are exact have none, and then
/// the cheapest target is chosen.
const LEAST_DEVIATION: f64 = 1e-6;

/// How many times the middle one of its service's targets a target has to have for its calls to hang there:
/// more than the bound beside others lets any have.
const HUNG_FACTOR: f64 = 2.0;

/// The part of the calls counted by others that is still in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Survival(f64);

impl Survival {
    /// Of counts of this age, where calls last for `held`. Before that is known nothing is left of old
    /// counts, so that routers that have just started spread their calls.
    pub fn new(age: Duration, held: Option<Duration>) -> Self {
        match held {
            _ if age.is_zero() => Self(1.0),
            None => Self(0.0),
            Some(held) => {
                let held = held.as_secs_f64().max(f64::EPSILON);
                Self((-age.as_secs_f64() / held).exp())
            }
        }
    }

    /// What is probably left of so much.
    pub fn of(self, counted: f64) -> f64 {
        counted * self.0
    }
}

/// A target's calls and size.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) counts: CallCounts,
    pub(super) slots: u32,
    /// Calls that it may have.
    pub(super) most_calls: u32,
}

/// The sum of what targets have, without calls that hang at one: those that it has beyond its limit while
/// others have much less. They say nothing of what the others get, and with them all seem full: with one of
/// three targets cut off, 0.4 of the calls were refused that the other two had room for (295 routers,
/// `tests/load/lock_out.rs`).
fn sum_without_hung(loads: &[Load], calls: impl Fn(&Load) -> f64) -> f64 {
    let is_beyond = |l: &Load| calls(l) > f64::from(l.most_calls);
    if !loads.iter().any(is_beyond) {
        return loads.iter().map(calls).sum();
    }
    let middle = median(loads.iter().map(&calls).collect());
    let most = |l: &Load| f64::from(l.most_calls).max(middle * HUNG_FACTOR);
    loads.iter().map(|l| calls(l).min(most(l))).sum()
}

/// The middle one of some values, or the mean of the two in the middle; zero of none.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        n => f64::midpoint(values[(n - 1) / 2], values[n / 2]),
    }
}

/// What targets probably have by now, by what was counted some time ago.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    survival: Survival,
    /// Calls of others that targets of the service usually have, a slot.
    usual: f64,
    /// The standard deviation of a target's calls, in calls.
    deviation: f64,
}

impl Estimate {
    /// Of counts of all targets of a service.
    pub(super) fn new(loads: &[Load], survival: Survival) -> Self {
        let others = sum_without_hung(loads, |l| f64::from(l.counts.others));
        let usual = sum_without_hung(loads, |l| l.counts.usual);
        let slots: f64 = loads.iter().map(|l| f64::from(l.slots)).sum();
        // Of the calls counted a binomial part is left, and a Poisson number came since.
        let mean = others / loads.len().max(1) as f64;
        let variance = mean * (1.0 - survival.0 * survival.0);
        Self {
            survival,
            usual: usual / slots.max(1.0),
            deviation: variance.sqrt(),
        }
    }

    /// The calls that a target probably has where calls go on to be sent as they were: what is left of
    /// those counted, and in place of the others as many as it usually has.
    pub(super) fn calls(&self, load: Load) -> f64 {
        self.kept(load) + self.came(load.counts.usual)
    }

    /// The same where calls are sent to any target alike: in place of those that ended as many as the
    /// service's targets usually have.
    pub(super) fn calls_spread(&self, load: Load) -> f64 {
        self.kept(load) + self.came(self.usual * f64::from(load.slots))
    }

    fn kept(&self, load: Load) -> f64 {
        let counts = load.counts;
        f64::from(counts.own) + self.survival.of(f64::from(counts.others))
    }

    fn came(&self, usual: f64) -> f64 {
        usual - self.survival.of(usual)
    }

    /// The standard deviation of that, in calls.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }

    /// The calls that a target has before others send to it: what is left of those counted, and what it
    /// usually has beyond its service's mean, as it is slow, or has what many ask for.
    fn left(&self, load: Load) -> f64 {
        let beyond = load.counts.usual - self.usual * f64::from(load.slots);
        self.kept(load) + self.came(beyond.max(0.0))
    }
}

/// What others have probably done since they counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    estimate: Estimate,
    /// Calls a slot up to which targets are probably filled by now.
    level: f64,
}

impl Spread {
    /// Of targets that may be chosen.
    pub(super) fn new(loads: &[Load], estimate: Estimate) -> Self {
        let others: f64 = loads.iter().map(|l| f64::from(l.counts.others)).sum();
        let came = others - estimate.survival.of(others);
        let left = loads.iter().map(|l| (estimate.left(*l), l.slots));
        Self {
            estimate,
            level: level(left.collect(), came),
        }
    }

    /// Calls beyond the level: what a target costs more than those that were filled up.
    pub(super) fn above(&self, load: Load) -> f64 {
        -self.below(load).min(0.0)
    }

    /// The logarithm of a target's chance, where it costs `excess` calls more than the cheapest.
    pub(super) fn chance(&self, load: Load, excess: f64) -> f64 {
        let deviation = self.estimate.deviation.max(LEAST_DEVIATION);
        let room = self.below(load).max(0.0) + ROOM_AT_LEVEL * deviation;
        room.ln() - excess / deviation
    }

    fn below(&self, load: Load) -> f64 {
        self.level * f64::from(load.slots) - self.estimate.left(load)
    }
}

/// Calls a slot to which targets, each with its calls and slots, rise when so many calls more fill those
/// that have the least.
fn level(mut targets: Vec<(f64, u32)>, calls: f64) -> f64 {
    let a_slot = |(calls, slots): &(f64, u32)| calls / f64::from((*slots).max(1));
    targets.sort_unstable_by(|a, b| a_slot(a).total_cmp(&a_slot(b)));
    let (mut all_calls, mut all_slots, mut level) = (calls, 0.0, 0.0);
    for target in &targets {
        if all_slots > 0.0 && level <= a_slot(target) {
            return level;
        }
        all_calls += target.0;
        all_slots += f64::from(target.1.max(1));
        level = all_calls / all_slots;
    }
    level
}

//! Which targets to avoid for a while, learned from the outcomes of calls.
//!
//! A health check costs as much as a call, and says less: a target may be well by its own word and
//! fail calls, or the other way round. So no check is sent; a suspect target gets single calls
//! that may be repeated elsewhere, at growing pauses.

use std::{collections::HashMap, time::Duration};

use crate::{ids::TargetId, units::Instant};

/// The weight of one outcome in the moving share of failures: about the last eight count.
const OUTCOME_WEIGHT: f64 = 0.12;

/// The share of failures above which a target is suspect. Services answer some calls with errors
/// of their own even when well (one in seven on one sheet), which must stay below.
const SUSPECT_SHARE: f64 = 0.45;

/// Failures in a row after which a target is suspect whatever its share.
const SUSPECT_RUN: u32 = 3;

/// The first pause of a suspect target; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause: a target that is well again waits no longer for its first call.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// How a call at a target ended, as far as it tells the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, or the first event of a stream.
    Good,
    /// It refused the call as it was full; no sign of ill health.
    Full,
    /// It answered with an error of its own.
    Error,
    /// It could not be reached, was silent, or broke off.
    Broken,
}

impl Outcome {
    /// The outcome's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Full => "full",
            Self::Error => "error",
            Self::Broken => "broken",
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    failing: f64,
    run: u32,
    pauses: u32,
    paused_until: Option<Instant>,
    trial: bool,
    /// Pushed back by a full target; a short while in which others are tried first.
    full_until: Option<Instant>,
}

/// How long a target that refused a call as full is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// What is believed of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It gets calls.
    #[default]
    Well,
    /// It refused a call a moment ago.
    Full,
    /// One call may be tried there, if it can be repeated elsewhere.
    OnTrial,
    /// It gets none.
    Paused,
}

/// The health of all targets.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetId, Record>,
}

impl Health {
    /// What is believed of a target now.
    pub fn standing(&self, now: Instant, target: &TargetId) -> Standing {
        let Some(record) = self.records.get(target) else {
            return Standing::Well;
        };
        match record.paused_until {
            Some(until) if now < until || record.trial => Standing::Paused,
            Some(_) => Standing::OnTrial,
            None if record.full_until.is_some_and(|t| now < t) => Standing::Full,
            None => Standing::Well,
        }
    }

    /// A call is sent to a target.
    pub fn on_send(&mut self, now: Instant, target: &TargetId) {
        if self.standing(now, target) == Standing::OnTrial
            && let Some(record) = self.records.get_mut(target)
        {
            record.trial = true;
        }
    }

    /// A call was given up before its outcome was known.
    pub fn on_abandon(&mut self, target: &TargetId) {
        if let Some(record) = self.records.get_mut(target) {
            record.trial = false;
        }
    }

    /// A call ended; returns the new standing where it changed.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        target: &TargetId,
        outcome: Outcome,
    ) -> Option<Standing> {
        let before = self.standing(now, target);
        let record = self.records.entry(target.clone()).or_default();
        record.trial = false;
        match outcome {
            Outcome::Good => record.on_good(),
            Outcome::Full => record.full_until = Some(now + FULL_PAUSE),
            Outcome::Error | Outcome::Broken => record.on_failure(now),
        }
        let after = self.standing(now, target);
        (before != after).then_some(after)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.records.retain(|id, _| listed(id));
    }

    /// Targets that get no calls now.
    pub fn paused(&self, now: Instant) -> Vec<TargetId> {
        let paused = |id: &&TargetId| self.standing(now, id) == Standing::Paused;
        self.records.keys().filter(paused).cloned().collect()
    }
}

impl Record {
    fn on_good(&mut self) {
        self.run = 0;
        self.failing *= 1.0 - OUTCOME_WEIGHT;
        if self.paused_until.take().is_some() {
            // The trial went well: trusted again, but a relapse is noticed at once.
            self.failing = SUSPECT_SHARE * 0.8;
        }
        if self.failing < SUSPECT_SHARE / 4.0 {
            self.pauses = 0;
        }
    }

    fn on_failure(&mut self, now: Instant) {
        self.run += 1;
        self.failing = self.failing * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        let again = self.paused_until.is_some();
        if again || self.run >= SUSPECT_RUN || self.failing > SUSPECT_SHARE {
            let pause = FIRST_PAUSE * 2u32.saturating_pow(self.pauses.min(8));
            self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
            self.pauses += 1;
        }
    }
}

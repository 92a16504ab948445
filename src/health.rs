//! Which targets to avoid for a while, learned from the outcomes of calls.
//!
//! A health check costs as much as a call, and says less: a target may be well by its own report and
//! fail calls, or the other way round. So no check is sent; a suspect target gets single calls
//! that may be repeated elsewhere, at growing pauses.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{TargetId, VmId},
    outages::Outages,
    suspicions::Suspicions,
    target_counts::TargetHash,
    units::Instant,
};

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
    /// It refused the call as it was full; that says nothing of its health.
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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It gets calls.
    #[default]
    Well,
    /// It refused a call a moment ago.
    Full,
    /// Several peers get no answers from it, or it broke off a call at once.
    Suspected,
    /// One call may be tried there, if it can be repeated elsewhere.
    OnTrial,
    /// It has calls of ours and sends nothing.
    Stalled,
    /// It gets none.
    Paused,
}

/// How long a plain service's target may send nothing while it has calls of ours: its work
/// takes 15 ms and seldom 110 (users' sheets).
const PLAIN_STALLS: Duration = Duration::from_millis(220);

/// The same for a model engine, which may have to read some long prompts first.
const ENGINE_STALLS: Duration = Duration::from_millis(900);

/// Calls of ours at one target.
#[derive(Debug)]
struct Waiting {
    calls: u32,
    last_activity: Instant,
    stalls: Duration,
}

/// The health of all targets.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetId, Record>,
    waiting: HashMap<TargetId, Waiting>,
    suspicions: Suspicions,
    /// Which broke off a call at once.
    pub outages: Outages,
}

impl Health {
    /// What is believed of a target now.
    pub fn standing(&self, now: Instant, target: &TargetId) -> Standing {
        let record = self.records.get(target);
        let paused = record.and_then(|r| r.paused_until.map(|until| now < until || r.trial));
        let is_full = record.is_some_and(|r| r.full_until.is_some_and(|t| now < t));
        match paused {
            Some(true) => Standing::Paused,
            _ if self.is_stalled(now, target) => Standing::Stalled,
            Some(false) => Standing::OnTrial,
            None if self.is_suspected(now, target) => Standing::Suspected,
            None if is_full => Standing::Full,
            None => Standing::Well,
        }
    }

    fn is_stalled(&self, now: Instant, target: &TargetId) -> bool {
        let waiting = self.waiting.get(target).filter(|w| w.calls > 0);
        waiting.is_some_and(|w| now.since(w.last_activity) >= w.stalls)
    }

    fn is_suspected(&self, now: Instant, target: &TargetId) -> bool {
        let hash = TargetHash::from(target);
        self.outages.is_out(now, hash) || self.suspicions.is_suspected(now, hash)
    }

    /// A target sent a part of an answer.
    pub fn on_activity(&mut self, now: Instant, target: &TargetId) {
        if let Some(waiting) = self.waiting.get_mut(target) {
            waiting.last_activity = now;
        }
    }

    /// A peer told which targets give it no answers.
    pub fn on_suspicions(&mut self, now: Instant, peer: VmId, targets: Vec<TargetHash>) {
        self.suspicions.on_report(now, peer, targets);
    }

    /// Targets that give no answers here, to tell the peers.
    pub fn suspected_here(&self, now: Instant) -> Vec<TargetHash> {
        let silent = |t: &&TargetId| self.standing(now, t) >= Standing::Stalled;
        let known = self.records.keys().chain(self.waiting.keys());
        let mut all: Vec<TargetHash> = known.filter(silent).map(TargetHash::from).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn on_gone(&mut self, target: &TargetId) {
        if let Some(waiting) = self.waiting.get_mut(target) {
            waiting.calls = waiting.calls.saturating_sub(1);
        }
    }

    /// A call is sent to a target; engines may take longer than plain services to send anything.
    pub fn on_send(&mut self, now: Instant, target: &TargetId, is_engine: bool) {
        let waiting = self.waiting.entry(target.clone()).or_insert(Waiting {
            calls: 0,
            last_activity: now,
            stalls: if is_engine {
                ENGINE_STALLS
            } else {
                PLAIN_STALLS
            },
        });
        if waiting.calls == 0 {
            waiting.last_activity = now;
        }
        waiting.calls += 1;
        if self.standing(now, target) == Standing::OnTrial
            && let Some(record) = self.records.get_mut(target)
        {
            record.trial = true;
        }
    }

    /// A call was given up before its outcome was known.
    pub fn on_abandon(&mut self, target: &TargetId) {
        self.on_gone(target);
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
        self.on_gone(target);
        if matches!(outcome, Outcome::Good | Outcome::Full | Outcome::Error) {
            self.on_activity(now, target);
        }
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
        self.waiting.retain(|id, w| w.calls > 0 || listed(id));
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

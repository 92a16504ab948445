//! Health of targets, learned from the outcomes of calls.
//!
//! A health check costs as much as a call and is less reliable: a target may report itself healthy
//! and fail calls, or the other way round. No health checks are sent. A suspect target instead gets
//! single calls that may be repeated elsewhere, with increasing pauses between them.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{TargetId, VmId},
    outages::Outages,
    suspicions::Suspicions,
    target_counts::TargetHash,
    units::Instant,
};

/// Weight of one outcome in the exponential moving average of the failure rate: about the last
/// eight outcomes count.
const OUTCOME_WEIGHT: f64 = 0.12;

/// Failure rate above which a target is suspect. Services answer some calls with errors of their
/// own even when healthy (one in seven in one of the workloads that this fleet is designed for), and
/// that rate must stay below.
const SUSPECT_FAILURE_RATE: f64 = 0.45;

/// Number of consecutive failures after which a target is suspect regardless of its failure rate.
const SUSPECT_CONSECUTIVE_FAILURES: u32 = 3;

/// First pause of a suspect target; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Maximum pause, and thus the longest time for which a recovered target waits for its first call.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Outcome of a call at a target, as far as it indicates the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target sent a complete answer, or the first event of a stream.
    Good,
    /// The target refused the call because it was full, which does not indicate its health.
    Full,
    /// The target answered with an error of its own.
    Error,
    /// The target could not be reached, sent nothing, or closed the connection early.
    Broken,
}

impl Outcome {
    /// Returns the outcome's name in logs.
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
struct TargetHealth {
    /// Exponential moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Number of consecutive failures.
    consecutive_failures: u32,
    /// Number of pauses so far, which determines the length of the next one.
    pauses: u32,
    /// End of the current or last pause; `None` if the target is not suspect.
    paused_until: Option<Instant>,
    /// Whether a trial call is in progress.
    trial_in_progress: bool,
    /// End of the short time after a refusal in which other targets are tried first.
    full_until: Option<Instant>,
}

/// Time for which other targets are preferred to a target that refused a call because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Health of a target as this router sees it, from best to worst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// The target gets calls.
    #[default]
    Well,
    /// The target refused a call a moment ago because it was full.
    Full,
    /// Several peers report that the target is unresponsive, or it was just found to be down.
    Suspected,
    /// One call may be tried at the target if the call can be repeated elsewhere.
    OnTrial,
    /// The target has calls of this router in progress but sends nothing.
    Stalled,
    /// The target gets no calls: it is in a pause, or a trial call is in progress.
    Paused,
}

/// Time after which a plain service's target that has calls in progress but sends nothing is
/// stalled: its work takes 15 ms and rarely 110 ms in the workloads that this fleet is designed for.
const PLAIN_STALL_TIMEOUT: Duration = Duration::from_millis(220);

/// Time after which a model engine that has calls in progress but sends nothing is stalled; it may
/// have to process several long prompts first.
const ENGINE_STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Calls of this router in progress at one target.
#[derive(Debug)]
struct CallsInProgress {
    calls: u32,
    /// Time of the last data from the target, or of the first call sent to it while it was idle.
    last_activity: Instant,
    /// Time without data after which the target is stalled.
    stall_timeout: Duration,
}

/// Health of all targets.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetId, TargetHealth>,
    in_progress: HashMap<TargetId, CallsInProgress>,
    suspicions: Suspicions,
    /// Targets that were recently found to be down.
    pub outages: Outages,
}

impl Health {
    /// Returns the health of a target at `now`.
    pub fn status(&self, now: Instant, target: &TargetId) -> HealthStatus {
        let record = self.records.get(target);
        let paused = record.and_then(|r| {
            r.paused_until
                .map(|until| now < until || r.trial_in_progress)
        });
        let is_full = record.is_some_and(|r| r.full_until.is_some_and(|t| now < t));
        match paused {
            Some(true) => HealthStatus::Paused,
            _ if self.is_stalled(now, target) => HealthStatus::Stalled,
            Some(false) => HealthStatus::OnTrial,
            None if self.is_suspected(now, target) => HealthStatus::Suspected,
            None if is_full => HealthStatus::Full,
            None => HealthStatus::Well,
        }
    }

    fn is_stalled(&self, now: Instant, target: &TargetId) -> bool {
        let waiting = self.in_progress.get(target).filter(|w| w.calls > 0);
        waiting.is_some_and(|w| now.since(w.last_activity) >= w.stall_timeout)
    }

    fn is_suspected(&self, now: Instant, target: &TargetId) -> bool {
        let hash = TargetHash::from(target);
        self.outages.is_out(now, hash) || self.suspicions.is_suspected(now, hash)
    }

    /// Records that a target sent a part of an answer.
    pub fn on_activity(&mut self, now: Instant, target: &TargetId) {
        if let Some(waiting) = self.in_progress.get_mut(target) {
            waiting.last_activity = now;
        }
    }

    /// Replaces the list of targets that a peer reports as unresponsive.
    pub fn on_suspicions(&mut self, now: Instant, peer: VmId, targets: Vec<TargetHash>) {
        self.suspicions.on_report(now, peer, targets);
    }

    /// Returns the targets that are stalled or paused at this router and pass `filter`, to be reported to
    /// peers.
    pub fn unresponsive_targets(
        &self,
        now: Instant,
        filter: impl Fn(&TargetId) -> bool,
    ) -> Vec<TargetHash> {
        let is_unresponsive =
            |t: &&TargetId| self.status(now, t) >= HealthStatus::Stalled && filter(t);
        let known = self.records.keys().chain(self.in_progress.keys());
        let mut all: Vec<TargetHash> = known
            .filter(is_unresponsive)
            .map(TargetHash::from)
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn on_call_end(&mut self, target: &TargetId) {
        if let Some(waiting) = self.in_progress.get_mut(target) {
            waiting.calls = waiting.calls.saturating_sub(1);
        }
    }

    /// Records that a call is sent to a target. Engines may take longer than plain services until
    /// they send anything.
    pub fn on_send(&mut self, now: Instant, target: &TargetId, is_engine: bool) {
        let waiting = self
            .in_progress
            .entry(target.clone())
            .or_insert(CallsInProgress {
                calls: 0,
                last_activity: now,
                stall_timeout: if is_engine {
                    ENGINE_STALL_TIMEOUT
                } else {
                    PLAIN_STALL_TIMEOUT
                },
            });
        if waiting.calls == 0 {
            waiting.last_activity = now;
        }
        waiting.calls += 1;
        if self.status(now, target) == HealthStatus::OnTrial
            && let Some(record) = self.records.get_mut(target)
        {
            record.trial_in_progress = true;
        }
    }

    /// Forgets failures of a target to which this router has lost its path.
    pub fn on_path_lost(&mut self, now: Instant, target: &TargetId) {
        self.records.remove(target);
        self.on_activity(now, target);
    }

    /// Returns the targets that have calls in progress but send nothing.
    pub fn stalled_targets(&self, now: Instant) -> Vec<TargetId> {
        let known = self.in_progress.keys();
        known
            .filter(|id| self.is_stalled(now, id))
            .cloned()
            .collect()
    }

    /// Records that a call was abandoned before its outcome was known.
    pub fn on_abandon(&mut self, target: &TargetId) {
        self.on_call_end(target);
        if let Some(record) = self.records.get_mut(target) {
            record.trial_in_progress = false;
        }
    }

    /// Records the outcome of a call; returns the target's new health if it changed.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        target: &TargetId,
        outcome: Outcome,
    ) -> Option<HealthStatus> {
        let before = self.status(now, target);
        self.on_call_end(target);
        if matches!(outcome, Outcome::Good | Outcome::Full | Outcome::Error) {
            self.on_activity(now, target);
        }
        let record = self.records.entry(target.clone()).or_default();
        record.trial_in_progress = false;
        match outcome {
            Outcome::Good => record.on_good(),
            Outcome::Full => record.full_until = Some(now + FULL_PAUSE),
            Outcome::Error | Outcome::Broken => record.on_failure(now),
        }
        let after = self.status(now, target);
        (before != after).then_some(after)
    }

    /// Drops the state of targets that are not listed, except counts of calls still in progress.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.records.retain(|id, _| listed(id));
        self.in_progress.retain(|id, w| w.calls > 0 || listed(id));
    }
}

impl TargetHealth {
    fn on_good(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        if self.paused_until.take().is_some() {
            // After a successful trial the target is used again, but its failure rate stays high
            // enough that a relapse is detected at once.
            self.failure_rate = SUSPECT_FAILURE_RATE * 0.8;
        }
        if self.failure_rate < SUSPECT_FAILURE_RATE / 4.0 {
            self.pauses = 0;
        }
    }

    fn on_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failure_rate = self.failure_rate * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        let was_paused = self.paused_until.is_some();
        if was_paused
            || self.consecutive_failures >= SUSPECT_CONSECUTIVE_FAILURES
            || self.failure_rate > SUSPECT_FAILURE_RATE
        {
            let pause = FIRST_PAUSE * 2u32.saturating_pow(self.pauses.min(8));
            self.paused_until = Some(now + pause.min(MAX_PAUSE));
            self.pauses += 1;
        }
    }
}

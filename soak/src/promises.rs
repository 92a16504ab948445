//! Guarantees of the router fleet, checked by what callers and targets observe.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use hyper::HeaderMap;
use tokio::time::Instant;

use crate::{
    budget::RetryBudget,
    crashes,
    lost_calls::PlannedWork,
    stops::{LatestAttempts, ProcessState},
    surge,
    target::{LAST_EVENT, Target, event, expected_body},
    verdict::Verdict,
    versions, withdrawals,
};

/// Time for which a target may still get calls after its entry says that it is leaving: the two seconds that
/// the rule allows, and one second because the machine may be busy.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Time for which a key may still work after it was revoked.
const REVOCATION_GRACE: Duration = Duration::from_secs(5);

/// A guarantee that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A caller gets the complete response to its own call, or a failure.
    OwnWholeAnswer,
    /// A call that must not be retried runs at most once.
    AtMostOnce,
    /// A call that was reported as not run did not run.
    NotRunIsTrue,
    /// A target whose entry says that it is leaving gets no calls after a grace period.
    LeavingGetsNothing,
    /// A revoked key stops working after a grace period.
    RevokedKeys,
    /// Targets receive the body that the caller sent, under the name of the caller's account.
    Unchanged,
    /// A graceful shutdown cuts off no call.
    StopCutsNothing,
    /// A request that was read on a kept connection ends in a whole answer or a refusal.
    Answered,
    /// A router that has applied a configuration does not serve by an older one.
    ConfigNeverBack,
    /// A configuration that is written after the store was reverted takes effect at all routers.
    ConfigInForce,
    /// All routers together send no more retries than the budget allows.
    RetryBudget,
    /// A request that crashed three targets is quarantined by all routers that can know of the crashes.
    HeldBack,
    /// A target that announced in a response that it accepts no calls gets none from the router that received
    /// the announcement, or that forwarded it to the caller.
    WithdrawnGetsNothing,
    /// While a small service is overloaded, calls to it go on being answered.
    SurgeAnswered,
    /// Brittle targets do not crash more often than two times in the surge after the faults.
    BrittleKept,
    /// Not more than two streams have events of targets of two software versions.
    OneVersion,
    /// Of the streams that are taken up at routers in touch while targets of their version serve, at least half as
    /// large a share goes on as of new streams begins.
    TakenUp,
    /// Calls are served again after the faults.
    Recovery,
}

/// Number of targets that may crash under one request before routers have to quarantine it.
const MAX_CRASHES: u32 = 3;

/// Time within which routers have to know of a crash.
const CRASH_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of times that the request may still reach a target after that time.
const MAX_LATE_ARRIVALS: u32 = 3;

/// Outcome of a call for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response: its status, its body, and whether the body is complete.
    Response(u16, Vec<u8>, bool),
    /// No response.
    NoResponse,
}

/// What is known of a call.
#[derive(Debug, Default)]
struct Call {
    /// Number of times that it arrived at a target.
    arrivals: u32,
    /// Number of times that a target started to run it.
    runs: u32,
    /// Whether its caller got a status that says that it was not run.
    reported_not_run: bool,
}

/// Records all calls and checks the guarantees.
#[derive(Default)]
pub struct PromiseChecker {
    /// All calls by id.
    calls: RefCell<HashMap<String, Call>>,
    /// Number of times that brittle targets crashed.
    brittle_crashes: Cell<usize>,
    /// Number of streams that have events of two versions.
    joined_streams: Cell<usize>,
    /// Violations, each with a description.
    broken: RefCell<Vec<(Promise, String)>>,
    /// Targets whose entries say that they are leaving, each with the instant since when.
    leaving_since: RefCell<HashMap<String, Instant>>,
    /// When the second key was revoked.
    revoked_at: Cell<Option<Instant>>,
    /// Since when routers can receive all updates of the store, if they can.
    stable_since: Cell<Option<Instant>>,
    /// Number of calls that have ended.
    asked: Cell<u64>,
    /// Number of calls that got status 200.
    served: Cell<u64>,
    /// Retry budget of the main service.
    budget: RetryBudget,
    /// Retry budget of the service that surges overload.
    surge_budget: RetryBudget,
    crashes: crashes::CrashCounts,
    pub withdrawals: withdrawals::WithdrawalChecker,
    pub attempts: LatestAttempts,
    pub planned: PlannedWork,
}

impl PromiseChecker {
    /// Records a violation of a guarantee.
    pub fn record_violation(&self, promise: Promise, description: String) {
        self.broken.borrow_mut().push((promise, description));
    }

    /// Records that a target's entry says that it is leaving, or no longer does.
    pub fn on_leaving(&self, target: &str, is_leaving: bool) {
        let mut leaving = self.leaving_since.borrow_mut();
        match is_leaving {
            true => leaving.insert(target.to_owned(), Instant::now()),
            false => leaving.remove(target),
        };
    }

    /// Returns whether a target's entry says that it is leaving.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.leaving_since.borrow().contains_key(target)
    }

    /// Records whether all routers can reach the store and none is paused. While that is not so, routers need
    /// not know that a target is leaving.
    pub fn on_stability_change(&self, is_stable: bool) {
        let at = self.stable_since.get().unwrap_or_else(Instant::now);
        self.stable_since.set(is_stable.then_some(at));
    }

    /// Returns whether all routers have been able to reach the store, with none paused, for more than this
    /// time.
    pub fn is_stable_for(&self, duration: Duration) -> bool {
        let since = self.stable_since.get();
        since.is_some_and(|at| at.elapsed() > duration)
    }

    /// Records that the second key was revoked.
    pub fn on_revoked(&self) {
        let at = self.revoked_at.get().unwrap_or_else(Instant::now);
        self.revoked_at.set(Some(at));
    }

    /// Returns whether the second key was revoked.
    pub fn is_key_revoked(&self) -> bool {
        self.revoked_at.get().is_some()
    }

    /// Records that a brittle target crashed.
    pub fn on_brittle_crash(&self, target: &str) {
        println!("brittle target {target} crashed");
        self.brittle_crashes.set(self.brittle_crashes.get() + 1);
    }

    /// Returns how many times brittle targets crashed.
    pub fn brittle_crashes(&self) -> usize {
        self.brittle_crashes.get()
    }

    /// Records that the crashing request crashed the target that it reached.
    ///
    /// Routers can know of the third crash if the store could be reached and no router was paused for long
    /// enough.
    pub fn on_crash(&self) {
        let counts = &self.crashes;
        counts.crashed.set(counts.crashed.get() + 1);
        let can_know =
            counts.crashed.get() > MAX_CRASHES && self.is_stable_for(CRASH_PROPAGATION_TIME);
        if !can_know {
            return;
        }
        counts.late_arrivals.set(counts.late_arrivals.get() + 1);
        if counts.late_arrivals.get() > MAX_LATE_ARRIVALS {
            let description = format!(
                "{} targets crashed, {} after routers had to know",
                counts.crashed.get(),
                counts.late_arrivals.get()
            );
            self.record_violation(Promise::HeldBack, description);
        }
    }

    /// Records that a call arrives at a target, which may still refuse it.
    pub fn on_arrival(&self, call: &str, target: &Target) {
        if let Some(description) = self.withdrawals.on_arrival(call, target) {
            self.record_violation(Promise::WithdrawnGetsNothing, description);
        }
        let mut calls = self.calls.borrow_mut();
        let record = calls.entry(call.to_owned()).or_default();
        record.arrivals += 1;
        let is_first = record.arrivals == 1;
        if let Some(description) = self.budget_of(call).on_arrival(call, is_first) {
            self.record_violation(Promise::RetryBudget, description);
        }
    }

    /// Returns the retry budget of a call's service.
    fn budget_of(&self, call: &str) -> &RetryBudget {
        match surge::is_surge_call(call) {
            true => &self.surge_budget,
            false => &self.budget,
        }
    }

    /// Records that a caller sends a call.
    pub fn on_sent(&self, call: &str, at: Instant) {
        self.withdrawals.on_sent(call, at);
        self.budget_of(call).on_sent(call);
    }

    /// Records that a target starts to run a call.
    pub fn on_run(&self, target: &str, call: &str, headers: &HeaderMap, body: &[u8]) {
        let mut calls = self.calls.borrow_mut();
        let record = calls.entry(call.to_owned()).or_default();
        record.runs += 1;
        if call.starts_with("once") && record.runs > 1 {
            self.record_violation(Promise::AtMostOnce, format!("{call} ran again at {target}"));
        }
        if record.reported_not_run {
            self.record_violation(
                Promise::NotRunIsTrue,
                format!("{call} ran later at {target}"),
            );
        }
        let account = headers.get("x-tenant").map(|v| v.as_bytes());
        if account != Some(b"farm") || body != call.as_bytes() {
            self.record_violation(Promise::Unchanged, format!("{call} at {target}"));
        }
        let since = self.leaving_since.borrow().get(target).copied();
        let is_overdue = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() > LEAVING_GRACE);
        if is_overdue(since) && self.is_stable_for(LEAVING_GRACE) {
            self.record_violation(Promise::LeavingGetsNothing, format!("{call} at {target}"));
        }
    }

    /// Records the software versions of a stream's events, in order.
    pub fn on_stream_versions(&self, stream: &str, versions: &[&str]) {
        if versions.iter().any(|v| *v != versions[0]) {
            self.joined_streams.set(self.joined_streams.get() + 1);
            if self.joined_streams.get() > versions::MAX_JOINED {
                let description = format!("{stream}: {}", versions.join(" "));
                self.record_violation(Promise::OneVersion, description);
            }
        }
    }

    /// Records the outcome of a call.
    ///
    /// `sent_at` is when it was sent, `uses_second_key` whether it was sent with the second key.
    pub fn on_end(
        &self,
        call: &str,
        outcome: &CallOutcome,
        sent_at: Instant,
        uses_second_key: bool,
    ) {
        self.asked.set(self.asked.get() + 1);
        let arrivals = self.calls.borrow().get(call).map_or(0, |c| c.arrivals);
        if arrivals == 1 && matches!(outcome, CallOutcome::Response(200 | 500, ..)) {
            self.withdrawals.on_response_forwarded(call);
        }
        let (status, body, complete) = match outcome {
            CallOutcome::Response(status, body, complete) => (*status, body.as_slice(), *complete),
            CallOutcome::NoResponse => return,
        };
        let ran = self.calls.borrow().get(call).map_or(0, |c| c.runs) > 0;
        match status {
            200 => self.on_success(call, body, complete),
            503 | 429 | 421 | 408 => {
                let mut calls = self.calls.borrow_mut();
                calls.entry(call.to_owned()).or_default().reported_not_run = true;
                // A call that may be retried may have run at one target before another refused it. Only a
                // call that must not be retried is guaranteed not to have run.
                if ran && call.starts_with("once") {
                    self.record_violation(Promise::NotRunIsTrue, format!("{call} had run earlier"));
                }
            }
            _ => {}
        }
        let revoked = self.revoked_at.get();
        let is_too_late = revoked.is_some_and(|at| sent_at > at + REVOCATION_GRACE);
        if uses_second_key && is_too_late && ran {
            self.record_violation(Promise::RevokedKeys, format!("{call} ran after revocation"));
        }
    }

    /// Records a violation if the answer to a call was cut off by a planned stop of the process to which it was
    /// sent at `sent_at`.
    pub fn check_stop(
        &self,
        call: &str,
        outcome: &CallOutcome,
        process: &ProcessState,
        sent_at: Instant,
    ) {
        if (self.attempts).was_cut_by_stop(call, outcome, process, sent_at) {
            self.record_violation(Promise::StopCutsNothing, call.to_owned());
        }
    }

    /// Records a violation if a call on a kept connection was lost; see [`lost_calls`](crate::lost_calls).
    pub fn check_loss(
        &self,
        call: &str,
        outcome: &CallOutcome,
        process: &ProcessState,
        sent_at: Instant,
        deadline: Duration,
    ) {
        let (planned, attempts) = (&self.planned, &self.attempts);
        if let Some(description) =
            planned.describe_loss(call, outcome, process, sent_at, deadline, attempts)
        {
            self.record_violation(Promise::Answered, description);
        }
    }

    /// Checks the body of a response with status 200.
    fn on_success(&self, call: &str, body: &[u8], is_complete: bool) {
        self.served.set(self.served.get() + 1);
        let expected = match call.starts_with("stream") {
            true => (1..=LAST_EVENT).map(|n| event(call, n)).collect::<String>(),
            false => expected_body(call),
        };
        let is_prefix = expected.as_bytes().starts_with(body);
        let is_equal = expected.as_bytes() == body;
        if !is_prefix || (is_complete && !is_equal) {
            let got = String::from_utf8_lossy(body).into_owned();
            self.record_violation(Promise::OwnWholeAnswer, format!("{call} got {got:?}"));
        }
    }

    /// Returns the number of calls that were served so far.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Returns the verdict on the run so far.
    pub fn verdict(&self) -> Verdict {
        Verdict {
            asked: self.asked.get(),
            served: self.served.get(),
            ended: self.crashes.crashed.get(),
            broken: self.broken.borrow().clone(),
        }
    }
}

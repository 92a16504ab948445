//! What must hold, checked from what callers and targets see.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use hyper::HeaderMap;
use tokio::time::Instant;

use crate::{
    Plan,
    budget::Budget,
    crashes,
    target::{LAST_EVENT, Target, answer_to, event},
    withdrawals,
};

/// How long after its entry says that it leaves a target may still get calls: the rule's two seconds,
/// and one for this machine being busy.
const LEAVES_WITHIN: Duration = Duration::from_secs(3);

/// How long after it was taken away a key may work.
const REVOKED_WITHIN: Duration = Duration::from_secs(5);

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A caller gets the whole answer to its own call, or a failure.
    OwnWholeAnswer,
    /// A call that must not be repeated runs at most once.
    AtMostOnce,
    /// A call that was told "not run" did not run.
    NotRunIsTrue,
    /// A target that leaves gets no calls after a while.
    LeavingGetsNothing,
    /// A key that was taken away stops to work.
    RevokedKeys,
    /// The targets get what the caller sent, in the account's name.
    Unchanged,
    /// A planned stop cuts off no call.
    StopCutsNothing,
    /// A router that had a configuration in force serves by no older one.
    ConfigNeverBack,
    /// A configuration that was written after the store was set back is in force at all routers.
    ConfigInForce,
    /// All routers together repeat no more than the budget allows.
    RetryBudget,
    /// A request under which three targets ended is held back by all gateways that can know.
    HeldBack,
    /// A target that said in an answer that it wants no calls gets none from the gateway that passed it on, or that
    /// it was said to.
    WithdrawnGetsNothing,
    /// After the faults, calls are served again.
    Recovery,
}

/// Targets that may end under one request, how long gateways have then to know of it, and how often it may be
/// sent later.
const ENDED: u32 = 3;
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const SENT_LATER: u32 = 3;

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// An answer with a status, its body, and whether that came to its proper end.
    Answer(u16, Vec<u8>, bool),
    /// No answer.
    Nothing,
}

#[derive(Debug, Default)]
struct Call {
    arrivals: u32,
    runs: u32,
    not_run: bool,
}

/// The book of all calls.
#[derive(Default)]
pub struct Promises {
    calls: RefCell<HashMap<String, Call>>,
    broken: RefCell<Vec<(Promise, String)>>,
    leaving: RefCell<HashMap<String, Instant>>,
    revoked_at: Cell<Option<Instant>>,
    settled_at: Cell<Option<Instant>>,
    asked: Cell<u64>,
    served: Cell<u64>,
    budget: Budget,
    crashes: crashes::Seen,
    pub withdrawals: withdrawals::Book,
}

impl Promises {
    /// A promise was broken.
    pub fn break_(&self, promise: Promise, how: String) {
        self.broken.borrow_mut().push((promise, how));
    }

    /// A target's entry says that it leaves, or no longer does.
    pub fn on_leaving(&self, target: &str, leaves: bool) {
        let mut leaving = self.leaving.borrow_mut();
        match leaves {
            true => leaving.insert(target.to_owned(), Instant::now()),
            false => leaving.remove(target),
        };
    }

    /// Whether the store can be reached and no gateway is paused: else nobody need know of a
    /// target that leaves.
    pub fn on_settled(&self, settled: bool) {
        let at = self.settled_at.get().unwrap_or_else(Instant::now);
        self.settled_at.set(settled.then_some(at));
    }

    /// Whether that has been so for so long.
    pub fn is_settled(&self, for_: Duration) -> bool {
        let since = self.settled_at.get();
        since.is_some_and(|at| at.elapsed() > for_)
    }

    /// The second key was taken away.
    pub fn on_revoked(&self) {
        self.revoked_at.set(Some(Instant::now()));
    }

    /// A request ends the target that it reached. Gateways can know of the third ending where the store can be reached and
    /// none is paused for long enough.
    pub fn on_crash(&self) {
        let seen = &self.crashes;
        seen.ended.set(seen.ended.get() + 1);
        let can_know = seen.ended.get() > ENDED && self.is_settled(KNOWN_WITHIN);
        if !can_know {
            return;
        }
        seen.late.set(seen.late.get() + 1);
        if seen.late.get() > SENT_LATER {
            let how = format!(
                "{} targets ended, {} late",
                seen.ended.get(),
                seen.late.get()
            );
            self.break_(Promise::HeldBack, how);
        }
    }

    /// A call arrives at some target, which may refuse it.
    pub fn on_arrival(&self, call: &str, target: &Target) {
        if let Some(how) = self.withdrawals.on_arrival(call, target) {
            self.break_(Promise::WithdrawnGetsNothing, how);
        }
        let mut calls = self.calls.borrow_mut();
        let book = calls.entry(call.to_owned()).or_default();
        book.arrivals += 1;
        let is_first = book.arrivals == 1;
        if let Some(how) = self.budget.on_arrival(call, is_first) {
            self.break_(Promise::RetryBudget, how);
        }
    }

    /// A caller sends a call.
    pub fn on_sent(&self, call: &str, at: Instant) {
        self.withdrawals.on_sent(call, at);
        self.budget.on_sent(call);
    }

    /// A target begins to run a call.
    pub fn on_run(&self, target: &str, call: &str, headers: &HeaderMap, body: &[u8]) {
        let mut calls = self.calls.borrow_mut();
        let book = calls.entry(call.to_owned()).or_default();
        book.runs += 1;
        if call.starts_with("once") && book.runs > 1 {
            self.break_(Promise::AtMostOnce, format!("{call} at {target}"));
        }
        if book.not_run {
            self.break_(
                Promise::NotRunIsTrue,
                format!("{call} ran later at {target}"),
            );
        }
        let account = headers.get("x-tenant").map(|v| v.as_bytes());
        if account != Some(b"farm") || body != call.as_bytes() {
            self.break_(Promise::Unchanged, format!("{call} at {target}"));
        }
        let since = self.leaving.borrow().get(target).copied();
        let long = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() > LEAVES_WITHIN);
        if long(since) && self.is_settled(LEAVES_WITHIN) {
            self.break_(Promise::LeavingGetsNothing, format!("{call} at {target}"));
        }
    }

    /// A caller's call ended; `sent` is when it was sent, `old_key` whether with the second key.
    pub fn on_end(&self, call: &str, end: &End, sent: Instant, old_key: bool) {
        self.asked.set(self.asked.get() + 1);
        let arrivals = self.calls.borrow().get(call).map_or(0, |c| c.arrivals);
        if arrivals == 1 && matches!(end, End::Answer(200 | 500, ..)) {
            self.withdrawals.on_passed_on(call);
        }
        let (status, body, complete) = match end {
            End::Answer(status, body, complete) => (*status, body.as_slice(), *complete),
            End::Nothing => return,
        };
        let ran = self.calls.borrow().get(call).map_or(0, |c| c.runs) > 0;
        match status {
            200 => self.on_success(call, body, complete),
            503 | 429 | 421 | 408 => {
                let mut calls = self.calls.borrow_mut();
                calls.entry(call.to_owned()).or_default().not_run = true;
                // What may be repeated may have run at a target before another refused it; only
                // the rest is a promise.
                if ran && call.starts_with("once") {
                    self.break_(Promise::NotRunIsTrue, format!("{call} had run"));
                }
            }
            _ => {}
        }
        let revoked = self.revoked_at.get();
        let too_late = revoked.is_some_and(|at| sent > at + REVOKED_WITHIN);
        if old_key && too_late && ran {
            self.break_(Promise::RevokedKeys, format!("{call} ran"));
        }
    }

    fn on_success(&self, call: &str, body: &[u8], complete: bool) {
        self.served.set(self.served.get() + 1);
        let right = match call.starts_with("stream") {
            true => (1..=LAST_EVENT).map(|n| event(call, n)).collect::<String>(),
            false => answer_to(call),
        };
        let is_start = right.as_bytes().starts_with(body);
        let is_whole = right.as_bytes() == body;
        if !is_start || (complete && !is_whole) {
            let got = String::from_utf8_lossy(body).into_owned();
            self.break_(Promise::OwnWholeAnswer, format!("{call} got {got:?}"));
        }
    }

    /// Calls that were served so far.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// What came of the run.
    pub fn verdict(&self) -> Verdict {
        Verdict {
            asked: self.asked.get(),
            served: self.served.get(),
            ended: self.crashes.ended.get(),
            broken: self.broken.borrow().clone(),
        }
    }
}

/// What came of a run.
#[derive(Debug)]
pub struct Verdict {
    asked: u64,
    served: u64,
    /// Targets that ended under a request.
    ended: u32,
    broken: Vec<(Promise, String)>,
}

impl Verdict {
    /// Whether all promises were kept.
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }

    /// For a person.
    pub fn text(&self, plan: &Plan) -> String {
        let Plan { seed, vms, .. } = plan;
        let mut lines = vec![format!(
            "seed {seed}, {vms} vms: {} calls, {} served, {} targets ended, {} promises broken",
            self.asked,
            self.served,
            self.ended,
            self.broken.len()
        )];
        let broken = self.broken.iter().map(|(p, how)| format!("  {p:?}: {how}"));
        lines.extend(broken);
        lines.join("\n")
    }

    /// For a program.
    pub fn json(&self, plan: &Plan) -> String {
        let broken: Vec<String> = self
            .broken
            .iter()
            .map(|(p, h)| format!("{p:?}: {h}"))
            .collect();
        serde_json::json!({"seed": plan.seed, "vms": plan.vms, "asked": self.asked,
            "served": self.served, "ended": self.ended, "broken": broken})
        .to_string()
    }
}

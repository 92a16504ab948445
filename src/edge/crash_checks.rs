//! Checks whether the target of a broken attempt has crashed, and writes quarantined requests to the store,
//! from which routers that start read them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use slog::info;
use tokio::sync::Notify;

use super::{
    conn::{Conn, ConnectError},
    gateway::Gateway,
    target_conn,
};
use crate::{
    discovery::{TargetRecord, TargetState},
    fingerprint::Fingerprint,
    ids::TargetId,
    prompt_cache::PartId,
    quarantine::{CrashNotice, QUARANTINE_DURATION, QuarantineChange, QuarantineNotice},
    store::own,
    units::Instant,
};

/// Interval between tries to write an entry that the store did not accept.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of parts of a prompt that a log line names.
const MAX_PARTS_LOGGED: usize = 16;

/// An attempt whose connection or answer broke off.
pub(super) struct BrokenAttempt {
    /// Caller's id of the call.
    pub(super) call: String,
    pub(super) request: Fingerprint,
    /// Parts of the prompt, except for the last one, which no other request has.
    pub(super) parts: Rc<[PartId]>,
    /// Number of events that the target had sent.
    pub(super) events: u32,
}

/// Broken attempts, by target, while it is being checked whether the target crashed.
#[derive(Default)]
pub(crate) struct CrashChecks {
    broken_attempts: RefCell<FxHashMap<TargetId, Vec<BrokenAttempt>>>,
    /// Wakes the task that writes quarantined requests to the store.
    wake_writer: Notify,
}

/// Handles an attempt that broke off. To find out whether the target crashed, one connection is opened to it
/// for all attempts that broke off there: a target that is still running accepts it, and it is used for the
/// next call.
pub(super) fn on_attempt_broke(cx: &Rc<Gateway>, target: &Rc<TargetRecord>, broken: BrokenAttempt) {
    let now = cx.now();
    // A target that is leaving stops anyway, so the break is no sign of a crash.
    let is_irrelevant = target.state == TargetState::Leaving
        || !(cx.dispatcher.borrow().quarantine).may_suspect(now, broken.request);
    if is_irrelevant {
        return;
    }
    let mut broken_attempts = cx.crash_checks.broken_attempts.borrow_mut();
    let at_target = broken_attempts.entry(target.id.clone()).or_default();
    at_target.push(broken);
    if at_target.len() == 1 {
        tokio::task::spawn_local(check_target(Rc::clone(cx), Rc::clone(target)));
    }
}

async fn check_target(cx: Rc<Gateway>, target: Rc<TargetRecord>) {
    let opened = target_conn::open(&cx, &target, usize::MAX).await;
    let broken_attempts = cx
        .crash_checks
        .broken_attempts
        .borrow_mut()
        .remove(&target.id);
    let broken_attempts = broken_attempts.unwrap_or_default();
    match opened {
        Ok(conn) => return_to_pool(&cx, conn),
        Err(ConnectError::Refused) => on_crash(&cx, &target.id, &broken_attempts),
        Err(ConnectError::Unreachable | ConnectError::NoPath | ConnectError::AtLimit) => {
            info!(cx.log, "not known whether a target crashed"; "target" => %target.id,
                "calls" => broken_attempts.len());
        }
    }
}

fn return_to_pool(cx: &Gateway, conn: Conn) {
    cx.conns.put_idle(cx.now(), conn, None);
}

fn on_crash(cx: &Gateway, target: &TargetId, broken_attempts: &[BrokenAttempt]) {
    let now = cx.now();
    cx.dispatcher
        .borrow_mut()
        .health
        .outages
        .on_refused(now, target.into());
    for attempt in broken_attempts {
        let BrokenAttempt { call, request, .. } = attempt;
        let change = {
            let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
            quarantine.on_crash(now, *request, target.into())
        };
        info!(cx.log, "target crashed during a call"; "id" => call, "fingerprint" => %request, "target" => %target,
            "calls" => broken_attempts.len(), "parts" => named(&attempt.parts), "events" => attempt.events);
        log_change(cx, *request, change, "targets crashed here");
        if change.is_some() {
            cx.crash_checks.wake_writer.notify_one();
        }
    }
}

/// Returns the parts of a prompt for the log, in hexadecimal as callers name them.
fn named(parts: &[PartId]) -> String {
    let names = parts.iter().take(MAX_PARTS_LOGGED);
    let names: Vec<String> = names.map(|part| format!("{:x}", part.0)).collect();
    names.join(" ")
}

/// Handles a target's answer to a call. If its request was quarantined, the answer ends the quarantine.
pub(super) fn on_answered(cx: &Rc<Gateway>, request: Fingerprint) {
    let now = cx.now();
    let change = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        quarantine.on_answered(now, request)
    };
    if change.is_none() {
        return;
    }
    log_change(cx, request, change, "a target answered");
    let cx = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        cx.metrics.on_store_call("held");
        if let Err(e) = cx.store.remove(&own::quarantine_key(request)).await {
            info!(cx.log, "entry of a quarantined request not removed"; "fingerprint" => %request, "why" => %e);
        }
    });
}

/// Handles a peer's notices of targets that crashed under requests, and of requests that it quarantined.
pub(super) fn on_notices(
    cx: &Gateway,
    now: Instant,
    crashes: &[CrashNotice],
    quarantined: &[QuarantineNotice],
) {
    let (by_crashes, by_peer) = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        let by_crashes = quarantine.on_crash_notices(now, crashes);
        (
            by_crashes,
            quarantine.on_quarantine_notices(now, quarantined),
        )
    };
    let change = Some(QuarantineChange::Quarantined);
    for request in by_crashes {
        log_change(cx, request, change, "crashes announced by peers");
    }
    for request in by_peer {
        log_change(cx, request, change, "a peer quarantined it");
    }
}

/// Releases requests whose quarantine is over, and has the entries written that this router owns.
pub(super) fn on_tick(cx: &Gateway) {
    let now = cx.now();
    let released = cx.dispatcher.borrow_mut().quarantine.on_tick(now);
    for request in released {
        log_change(
            cx,
            request,
            Some(QuarantineChange::Released),
            "its quarantine is over",
        );
    }
    let is_owner = |request: Fingerprint| {
        let peers = cx.peers.borrow();
        peers.is_owner_of(now, &request.to_string())
    };
    if (cx.dispatcher.borrow_mut().quarantine).mark_unsaved(is_owner) {
        cx.crash_checks.wake_writer.notify_one();
    }
}

/// Returns the time left of the quarantine of a call's request; `None` if it is not quarantined. The
/// call counts as refused, which may renew the request's entry in the store.
pub(super) fn quarantine_time_left(cx: &Gateway, request: Fingerprint) -> Option<Duration> {
    let now = cx.now();
    let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
    let time_left = quarantine.time_left(now, request)?;
    quarantine.on_refused(now, request);
    if !quarantine.unsaved().is_empty() {
        cx.crash_checks.wake_writer.notify_one();
    }
    Some(time_left)
}

/// Logs that a request was quarantined or released, and updates the metric of quarantined requests.
pub(super) fn log_change(
    cx: &Gateway,
    request: Fingerprint,
    change: Option<QuarantineChange>,
    why: &str,
) {
    let outcome = match change {
        None => return,
        Some(QuarantineChange::Quarantined) => "held back",
        Some(QuarantineChange::Released) => "let through",
    };
    let dispatcher = cx.dispatcher.borrow();
    let quarantined = dispatcher.quarantine.quarantined(cx.now()).count();
    cx.metrics.quarantined_requests.set(quarantined as i64);
    info!(cx.log, "request"; "fingerprint" => %request, "verdict" => outcome, "why" => why,
        "held_back" => quarantined, "suspects" => dispatcher.quarantine.suspect_count());
}

/// Writes quarantined requests to the store, under leases as long as the quarantine.
pub(super) async fn write_quarantined(cx: Rc<Gateway>) {
    loop {
        let unsaved = cx.dispatcher.borrow().quarantine.unsaved();
        if unsaved.is_empty() {
            cx.crash_checks.wake_writer.notified().await;
            continue;
        }
        for request in unsaved {
            cx.metrics.on_store_call("held");
            let key = own::quarantine_key(request);
            let vm = cx.cfg.vm.to_string().into_bytes();
            match cx.store.put_with_ttl(&key, vm, QUARANTINE_DURATION).await {
                Ok(()) => {
                    let now = cx.now();
                    let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
                    quarantine.on_saved(now, request);
                }
                Err(e) => {
                    info!(cx.log, "held request not entered"; "fingerprint" => %request, "why" => %e);
                    tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

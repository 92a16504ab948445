//! Checks whether the target of a broken attempt has crashed, and writes quarantined requests to the store,
//! from which routers that start read them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use slog::info;
use tokio::sync::Notify;

use super::{
    attempt::Call,
    call_end::QUARANTINE_TEXT,
    conn::{Conn, ConnectError},
    gateway::Gateway,
    target_conn,
};
use crate::{
    ResultCode,
    dialect::Refusal,
    discovery::{TargetRecord, TargetState},
    fingerprint::Fingerprint,
    ids::TargetId,
    membership::datagram::Datagram,
    quarantine::{CrashedCall, PartKey, QUARANTINE_DURATION, QuarantineChange, QuarantineKey},
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
    pub(super) parts: Rc<[PartKey]>,
    /// Number of events that the target had sent.
    pub(super) events: u32,
}

impl BrokenAttempt {
    /// Returns the parts that may have crashed the target: none if it had begun to answer.
    fn suspected_parts(&self) -> &[PartKey] {
        match self.events < EVENTS_OF_SOUND_CALL {
            true => &self.parts,
            false => &[],
        }
    }
}

/// Number of events from which on no part of the prompt crashes the target: it would have crashed as it began
/// to answer.
pub(super) const EVENTS_OF_SOUND_CALL: u32 = 2;

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
    let may_suspect = (cx.dispatcher.borrow().quarantine).may_suspect(now, broken.request);
    let is_evidence = may_suspect || !broken.suspected_parts().is_empty();
    if target.state == TargetState::Leaving || !is_evidence {
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
        .on_connection_refused(now, target);
    let calls: Vec<CrashedCall<'_>> = broken_attempts
        .iter()
        .map(|attempt| CrashedCall {
            request: attempt.request,
            parts: attempt.suspected_parts(),
        })
        .collect();
    let quarantined = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        quarantine.on_crashed_calls(now, target.into(), &calls)
    };
    for attempt in broken_attempts {
        info!(cx.log, "target crashed during a call"; "id" => &attempt.call, "fingerprint" => %attempt.request,
            "target" => %target, "calls" => broken_attempts.len(), "parts" => named(&attempt.parts),
            "events" => attempt.events);
    }
    let change = Some(QuarantineChange::Quarantined);
    for key in &quarantined {
        log_change(cx, *key, change, "targets crashed here");
    }
    if !quarantined.is_empty() {
        cx.crash_checks.wake_writer.notify_one();
    }
}

/// Returns the parts of a prompt for the log, in hexadecimal as callers name them.
fn named(parts: &[PartKey]) -> String {
    let names = parts.iter().take(MAX_PARTS_LOGGED);
    let names: Vec<String> = names.map(|key| format!("{:x}", key.part.0)).collect();
    names.join(" ")
}

/// Handles a target's answer to a call. If its request was quarantined, the answer ends the quarantine.
pub(super) fn on_answered(cx: &Rc<Gateway>, request: Fingerprint) {
    let now = cx.now();
    let change = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        quarantine.on_answered(now, request)
    };
    if change.is_some() {
        log_change(cx, request.into(), change, "a target answered");
        remove_entry(cx, request.into());
    }
}

/// Handles a target's answer to a call whose prompt has these parts: none of them crashes targets.
pub(super) fn on_parts_answered(cx: &Rc<Gateway>, parts: &[PartKey]) {
    let now = cx.now();
    let released = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        quarantine.on_parts_answered(now, parts)
    };
    let change = Some(QuarantineChange::Released);
    for part in released {
        log_change(cx, part.into(), change, "a target answered");
        remove_entry(cx, part.into());
    }
}

/// Removes the entry of what is no longer quarantined from the store.
fn remove_entry(cx: &Rc<Gateway>, key: QuarantineKey) {
    let cx = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        cx.metrics.on_store_call("held");
        if let Err(e) = cx.store.remove(&own::quarantine_key(key)).await {
            info!(cx.log, "entry of a quarantined request not removed"; "fingerprint" => %key, "why" => %e);
        }
    });
}

/// Handles a peer's notices of targets that crashed, of parts that targets answered, and of what the peer
/// quarantined.
pub(super) fn on_notices(cx: &Gateway, now: Instant, received: &Datagram) {
    let (by_crashes, released, by_peer) = {
        let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
        let by_crashes = quarantine.on_crash_notices(now, &received.crashes);
        let released = quarantine.on_clear_notices(now, &received.cleared);
        let by_peer = quarantine.on_quarantine_notices(now, &received.quarantined);
        (by_crashes, released, by_peer)
    };
    let change = Some(QuarantineChange::Quarantined);
    for key in by_crashes {
        log_change(cx, key, change, "crashes announced by peers");
    }
    for key in by_peer {
        log_change(cx, key, change, "a peer quarantined it");
    }
    let change = Some(QuarantineChange::Released);
    for part in released {
        log_change(cx, part.into(), change, "a target answered a peer");
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
    let is_owner = |key: QuarantineKey| {
        let peers = cx.peers.borrow();
        peers.is_owner_of(now, &key.to_string())
    };
    if (cx.dispatcher.borrow_mut().quarantine).mark_unsaved(is_owner) {
        cx.crash_checks.wake_writer.notify_one();
    }
}

/// Checks whether a call's request or a part of its prompt is quarantined. Returns whether the call is the trial
/// of a part, or its refusal.
pub(super) fn check_quarantine(
    cx: &Gateway,
    request: Fingerprint,
    parts: &[PartKey],
) -> Result<bool, Refusal> {
    let refusal = |time_left| Refusal {
        retry_after: Some(time_left),
        ..Refusal::new(ResultCode::HeldBack, QUARANTINE_TEXT)
    };
    if let Some(time_left) = time_left(cx, request.into()) {
        return Err(refusal(time_left));
    }
    let held = parts
        .iter()
        .filter_map(|part| Some((part, time_left(cx, (*part).into())?)));
    let held: Vec<(&PartKey, Duration)> = held.collect();
    match held.as_slice() {
        [] => Ok(false),
        [(part, _)] if is_trial(cx, **part) => Ok(true),
        [(_, time_left), ..] => Err(refusal(*time_left)),
    }
}

/// Takes the trial of a part if this router owns it and one is due.
fn is_trial(cx: &Gateway, part: PartKey) -> bool {
    let now = cx.now();
    let key = QuarantineKey::from(part);
    let is_owner = cx.peers.borrow().is_owner_of(now, &key.to_string());
    let is_trial = is_owner && (cx.dispatcher.borrow_mut().quarantine).take_trial(now, part);
    if is_trial {
        info!(cx.log, "trial of a quarantined part"; "part" => %part);
    }
    is_trial
}

/// Returns the time left of the quarantine of an admitted call; `None` if it may be sent.
pub(super) fn quarantine_time_left(cx: &Gateway, call: &Call) -> Option<Duration> {
    let of_request = time_left(cx, call.fingerprint.into());
    let parts = call.parts.iter().filter(|_| !call.is_trial);
    let of_parts = parts.filter_map(|part| time_left(cx, (*part).into()));
    of_request.into_iter().chain(of_parts).max()
}

/// Returns the time left of a quarantine. A call counts as refused, which may renew the entry in the store.
fn time_left(cx: &Gateway, key: QuarantineKey) -> Option<Duration> {
    let now = cx.now();
    let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
    let time_left = quarantine.time_left(now, key)?;
    quarantine.on_refused(now, key);
    if !quarantine.unsaved().is_empty() {
        cx.crash_checks.wake_writer.notify_one();
    }
    Some(time_left)
}

/// Logs that a request or a part was quarantined or released, and updates the metric of quarantined requests.
pub(super) fn log_change(
    cx: &Gateway,
    key: QuarantineKey,
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
    let kind = match key {
        QuarantineKey::Request(_) => "request",
        QuarantineKey::Part(_) => "part",
    };
    info!(cx.log, "request"; "fingerprint" => %key, "kind" => kind, "verdict" => outcome, "why" => why,
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

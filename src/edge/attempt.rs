//! One attempt of a call: chooses a target, gets a connection and sends the call.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Uri, http::request};

use super::{
    attempt_end::AttemptEnd,
    attempt_guard::{AttemptGuard, EndIfDropped},
    conn::{Conn, ConnectError},
    contended, crash_checks,
    flow::AnswerAccount,
    gateway::Gateway,
    sent_call::{self, InformationalHeads, SentCall},
    slot_lease, target_conn,
    unanswered::{CallProgress, CallStage},
    withdrawals,
};
use crate::{
    config::serving::{KeyOwner, Route},
    dialect::{CallInfo, ForwardInfo},
    dispatcher::{CallPlan, Ticket},
    explain::Decision,
    fingerprint::Fingerprint,
    placement::choice::PlacementError,
    quarantine::PartKey,
    retry::{Attempts, Execution},
    spans::HopSpan,
    units::{Instant, Rank},
};

/// An admitted call with its complete body and everything that its attempts need.
pub(crate) struct Call {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) id: Option<String>,
    /// Hash of the request; it is the same each time that the caller sends the same request.
    pub(crate) fingerprint: Fingerprint,
    /// Parts of the prompt, except for the last one, which no other request has.
    pub(crate) parts: Rc<[PartKey]>,
    /// Whether it is the trial of a quarantined part.
    pub(crate) is_trial: bool,
    pub(crate) facts: CallInfo,
    pub(crate) route: Rc<Route>,
    pub(crate) key_owner: Option<KeyOwner>,
    pub(crate) plan: CallPlan,
    /// Maximum number of connections of all routers to one target of the service.
    pub(crate) max_conns: u32,
    /// Instant at which the head of the request was read.
    pub(crate) received: Instant,
    /// Instant at which the call ends: the caller's deadline or the route's timeout, whichever is
    /// earlier.
    pub(crate) deadline: Instant,
    pub(crate) attempts: Attempts,
    /// Urgency of the call.
    pub(crate) rank: Rank,
    /// Account of the bytes that are held of the answer.
    pub(crate) answer: AnswerAccount,
    /// How its attempts end that are dropped.
    pub(crate) end_if_dropped: EndIfDropped,
    pub(crate) progress: CallProgress,
}

impl Call {
    /// Returns the caller's id of the call, or `-` if it has none; for logs.
    pub(crate) fn id(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }

    /// Returns the URI that is sent to the target: the caller's URI without the route's stripped
    /// prefix.
    fn target_uri(&self) -> Uri {
        let uri = &self.head.uri;
        let prefix = self.route.stripped_prefix.as_str();
        let stripped = uri
            .path_and_query()
            .and_then(|p| p.as_str().strip_prefix(prefix));
        let stripped = stripped.filter(|_| !prefix.is_empty());
        stripped
            .and_then(|path| path.parse().ok())
            .unwrap_or_else(|| uri.clone())
    }
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptFailure {
    /// Whether the target ran the call.
    pub(crate) execution: Execution,
    /// How the attempt ended.
    pub(crate) end: AttemptEnd,
    /// Whether no further attempt can follow: the attempt was not sent as no target or no time was
    /// left or the request is quarantined, or another target's stream does not continue the first.
    pub(crate) is_final: bool,
}

impl AttemptFailure {
    /// Returns the failure to report for the call: the earlier attempt's failure `previous`, if this
    /// attempt ended with no further attempt possible, and this one otherwise.
    pub(crate) fn or_previous(self, previous: Option<Self>) -> Self {
        match previous {
            Some(previous) if self.is_final => previous,
            _ => self,
        }
    }

    pub(super) fn not_sent(end: AttemptEnd) -> Self {
        Self {
            execution: Execution::NotRun,
            end,
            is_final: true,
        }
    }

    pub(super) fn not_run(end: AttemptEnd) -> Self {
        Self {
            execution: Execution::NotRun,
            end,
            is_final: false,
        }
    }

    /// Failure of an attempt whose target answered with an error of its own.
    pub(super) fn target_error() -> Self {
        Self {
            execution: Execution::Ran,
            end: AttemptEnd::TargetError,
            is_final: false,
        }
    }

    pub(super) fn may_have_run(end: AttemptEnd) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            end,
            is_final: false,
        }
    }
}

/// Chooses a target and sends the call to it.
pub(crate) async fn send(cx: &Rc<Gateway>, call: &mut Call) -> Result<SentCall, AttemptFailure> {
    call.progress.reach(CallStage::Placing);
    let (guard, mut conn) = connect(cx, call).await?;
    call.progress.reach(CallStage::Sent);
    let now = cx.now();
    let mut req = build_request(cx, call, now, &guard.ticket, &guard.span);
    let informational = InformationalHeads::of(&mut req);
    call.attempts.on_sent();
    Ok(SentCall {
        id: call.id.clone(),
        sent_at: now,
        deadline: call.deadline,
        received: call.received,
        account: call.answer.clone(),
        response: Box::pin(conn.sender.try_send_request(req)),
        informational,
        conn,
        guard,
    })
}

/// Chooses a target and gets a connection to it. Targets that cannot be reached are skipped.
async fn connect(
    cx: &Rc<Gateway>,
    call: &mut Call,
) -> Result<(AttemptGuard, Conn), AttemptFailure> {
    let (mut lacks_path, mut lacks_slot) = (false, false);
    loop {
        let now = cx.now();
        if now >= call.deadline {
            return Err(AttemptFailure::not_sent(AttemptEnd::NoTimeLeft));
        }
        // Checked again before each choice: if a caller sends a request again at once and many times,
        // some of these calls are already waiting here when the request is quarantined.
        if crash_checks::quarantine_time_left(cx, call).is_some() {
            return Err(AttemptFailure::not_sent(AttemptEnd::Quarantined));
        }
        if is_too_late(cx, call) {
            return Err(AttemptFailure::not_sent(AttemptEnd::Stopping));
        }
        let chosen = cx.dispatcher.borrow_mut().choose(now, &call.plan);
        if call.plan.tried.is_empty() {
            contended::record_admission(cx, call, now);
        }
        let ticket = chosen.map_err(|e| match e {
            PlacementError::NoTarget if lacks_slot => AttemptFailure::not_sent(AttemptEnd::AllFull),
            PlacementError::NoTarget if lacks_path => AttemptFailure::not_sent(AttemptEnd::NoPath),
            e => AttemptFailure::not_sent(e.into()),
        })?;
        let target = Rc::clone(&ticket.target);
        cx.metrics.prompt_tokens_missing.inc_by(ticket.missing.0);
        cx.metrics.on_choice(ticket.counted_ago, ticket.time_factor);
        call.plan.tried.push(target.id.clone());
        let mut guard = AttemptGuard::new(cx, call, now, ticket);
        cx.record_decision(call.id(), || Decision::Tried {
            target: target.id.clone(),
            calls: guard.ticket.calls,
            missing: guard.ticket.missing.0,
        });
        if !hold_slot(cx, &mut guard).await {
            lacks_slot = true;
            guard.end(AttemptEnd::NoSlot);
            continue;
        }
        let repeatable = call.route.kind.is_repeatable();
        let direct = (cx.dispatcher.borrow().paths).is_idle_conn_trusted(&target);
        if let Some(conn) = cx.conns.take(now, &target.id, repeatable, direct) {
            return Ok((guard, conn));
        }
        let conn_limit = cx.conn_share(call.max_conns, &target.id);
        let opening = target_conn::open(cx, &target, conn_limit);
        let Some(opened) = cx.clock.timeout_at(call.deadline, opening).await else {
            guard.end(AttemptEnd::NoTimeLeft);
            return Err(AttemptFailure::not_sent(AttemptEnd::NoTimeLeft));
        };
        match opened {
            Ok(_) if withdrawals::is_withdrawn(cx, &target.id) => guard.end(AttemptEnd::Withdrawn),
            Ok(_) if is_too_late(cx, call) => guard.end(AttemptEnd::Stopping),
            Ok(conn) => return Ok((guard, conn)),
            Err(ConnectError::AtLimit) => guard.end(AttemptEnd::ConnectionsAtLimit),
            Err(ConnectError::Refused) => {
                sent_call::on_connection_refused(cx, call.id(), &target.id);
                guard.end(AttemptEnd::ConnectionRefused);
            }
            Err(ConnectError::Unreachable) => guard.end(AttemptEnd::Unreachable),
            Err(ConnectError::NoPath) => {
                lacks_path = true;
                guard.end(AttemptEnd::NoPath);
            }
        }
    }
}

/// Returns whether this router stops and has too little time left for the call.
fn is_too_late(cx: &Gateway, call: &Call) -> bool {
    let times = cx.stop_times.get();
    times.is_some_and(|t| !t.may_send(cx.now(), call.route.kind, call.route.goal))
}

/// Gets a slot for the attempt if its target is brittle; returns whether the call may be sent.
async fn hold_slot(cx: &Rc<Gateway>, guard: &mut AttemptGuard) -> bool {
    let target = Rc::clone(&guard.ticket.target);
    let limit = {
        let brittle = &cx.dispatcher.borrow().brittle;
        brittle.limit(cx.now(), (&target.id).into())
    };
    if limit.is_none() {
        return true;
    }
    let slot = slot_lease::acquire(cx, &target).await;
    let is_held = slot.is_some();
    guard.slot = slot;
    is_held
}

fn build_request(
    cx: &Gateway,
    call: &Call,
    now: Instant,
    ticket: &Ticket,
    span: &HopSpan,
) -> Request<Full<Bytes>> {
    let handover = ForwardInfo {
        target: &ticket.target.id,
        id: call.id.as_deref(),
        attempt: call.attempts.sent() + 1,
        fetch_from: ticket.fetch_from.as_ref().map(|t| t.address),
        time_left: call.deadline.since(now),
        account: call.key_owner.as_ref().map(|h| &h.account),
        last_event_id: call.plan.progress.last_event(),
        rank: (!call.plan.prompt.is_empty()).then_some(call.rank),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.target_uri();
    let mut headers = call.head.headers.clone();
    cx.dialect.write_forward_headers(&mut headers, &handover);
    span.inject(&mut headers);
    *req.headers_mut() = headers;
    req
}

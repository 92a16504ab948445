//! One attempt of a call: a target, a connection, the head of its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Uri,
    body::Incoming,
    http::{request, response},
};
use slog::info;

use super::{
    attempt_end::AttemptEnd,
    conn::{Conn, NoConn},
    endings,
    gateway::Gateway,
    place::Place,
    withdrawals,
};
use crate::{
    config::serving::{KeyOwner, Route},
    dialect::{AnswerFacts, CallFacts, Handover, Refused},
    dispatcher::{CallPlan, Ticket},
    explain::Decision,
    fingerprint::Fingerprint,
    ids::TargetId,
    placement::choice::PlacementError,
    retry::{Attempts, Execution},
    spans::HopSpan,
    units::{Instant, Rank},
};

/// A caller's call, whole, with all that its attempts need.
pub(crate) struct Call {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) id: Option<String>,
    /// The same at each return of the caller with the same request.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) facts: CallFacts,
    pub(crate) route: Rc<Route>,
    pub(crate) holder: Option<KeyOwner>,
    pub(crate) plan: CallPlan,
    pub(crate) conn_limit: usize,
    pub(crate) received: Instant,
    /// When an answer is of no use any more, or the operator wants the call ended.
    pub(crate) hold_until: Instant,
    pub(crate) attempts: Attempts,
    /// How urgent it is.
    pub(crate) rank: Rank,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

impl Call {
    /// The caller's id of the call, for logs.
    pub(crate) fn id(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }

    /// The path as the target sees it; the caller's own where nothing is hidden.
    fn handed_uri(&self) -> Uri {
        let uri = &self.head.uri;
        let hidden = self.route.stripped_prefix.as_str();
        let shown = uri
            .path_and_query()
            .and_then(|p| p.as_str().strip_prefix(hidden));
        let shown = shown.filter(|_| !hidden.is_empty());
        shown
            .and_then(|path| path.parse().ok())
            .unwrap_or_else(|| uri.clone())
    }
}

/// An answer that has begun: its head is sound, its body is yet to come.
pub(crate) struct Begun {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) facts: AnswerFacts,
    pub(crate) conn: Conn,
    pub(crate) place: Place,
}

/// An attempt that brought no answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failed {
    /// Whether the target ran the call.
    pub(crate) fate: Execution,
    /// How it ended.
    pub(crate) end: AttemptEnd,
    /// Nothing was sent, and no other target is left to try.
    pub(crate) nowhere: bool,
}

impl Failed {
    /// What the call failed for: where no other target was left to try, what happened before.
    pub(crate) fn after(self, before: Option<Self>) -> Self {
        match before {
            Some(before) if self.nowhere => before,
            _ => self,
        }
    }

    fn nowhere(end: AttemptEnd) -> Self {
        Self {
            fate: Execution::NotRun,
            end,
            nowhere: true,
        }
    }

    fn not_run(end: AttemptEnd) -> Self {
        Self {
            fate: Execution::NotRun,
            end,
            nowhere: false,
        }
    }

    fn may_have_run(end: AttemptEnd) -> Self {
        Self {
            fate: Execution::MayHaveRun,
            end,
            nowhere: false,
        }
    }
}

/// Makes one attempt: waits at most `patience` for the head of the answer.
pub(crate) async fn attempt(
    cx: &Rc<Gateway>,
    call: &mut Call,
    patience: Duration,
) -> Result<Begun, Failed> {
    let (place, conn) = connect(cx, call).await?;
    let failed_fate = send(cx, call, place, conn, patience).await;
    if let Err(failed) = &failed_fate {
        call.attempts.on_attempt_end(failed.fate);
    }
    failed_fate
}

/// A place at a target and a connection there; targets that can't be reached are passed over.
async fn connect(cx: &Rc<Gateway>, call: &mut Call) -> Result<(Place, Conn), Failed> {
    loop {
        let now = cx.now();
        if now >= call.hold_until {
            return Err(Failed::nowhere(AttemptEnd::NoTimeLeft));
        }
        // Of what comes back at once and in numbers some calls wait here already.
        if endings::held_back(cx, call.fingerprint).is_some() {
            return Err(Failed::nowhere(AttemptEnd::HeldBack));
        }
        let chosen = cx.dispatcher.borrow_mut().choose(now, &call.plan);
        let ticket = chosen.map_err(|no| match no {
            PlacementError::NoTarget => Failed::nowhere(AttemptEnd::NoTarget),
            PlacementError::AllFull => Failed::nowhere(AttemptEnd::AllFull),
            PlacementError::AllCold => Failed::nowhere(AttemptEnd::AllCold),
            PlacementError::AllEvacuated => Failed::nowhere(AttemptEnd::AllEvacuated),
            PlacementError::AllLeaving => Failed::nowhere(AttemptEnd::AllLeaving),
            PlacementError::AllBackedOff { .. } => Failed::nowhere(AttemptEnd::AllBackedOff),
        })?;
        let target = Rc::clone(&ticket.target);
        cx.metrics.prompt_tokens_missing.inc_by(ticket.missing.0);
        cx.metrics.on_choice(ticket.counted_ago);
        call.plan.tried.push(target.id.clone());
        let place = Place::new(cx, call, now, ticket);
        cx.note(call.id(), || Decision::Tried {
            target: target.id.clone(),
            calls: place.ticket.calls,
            missing: place.ticket.missing.0,
        });
        let repeatable = call.route.kind.is_repeatable();
        if let Some(conn) = cx.conns.take(now, &target.id, repeatable) {
            return Ok((place, conn));
        }
        let opened = cx.conns.open(&target.id, target.address, call.conn_limit);
        match opened.await {
            Ok(_) if withdrawals::is_withdrawn(cx, &target.id) => place.end(AttemptEnd::Withdrawn),
            Ok(conn) => {
                cx.metrics.connections_opened.inc();
                return Ok((place, conn));
            }
            Err(NoConn::AtLimit) => place.end(AttemptEnd::ConnectionsAtLimit),
            Err(NoConn::Refused) => {
                on_refused(cx, call, &target.id);
                place.end(AttemptEnd::ConnectionRefused);
            }
            Err(NoConn::Unreachable) => place.end(AttemptEnd::Unreachable),
        }
    }
}

async fn send(
    cx: &Rc<Gateway>,
    call: &mut Call,
    mut place: Place,
    mut conn: Conn,
    patience: Duration,
) -> Result<Begun, Failed> {
    let now = cx.now();
    let req = request(cx, call, now, &place.ticket, &place.span);
    let until = (now + patience).min(call.hold_until);
    call.attempts.on_sent();
    let sent = conn.sender.try_send_request(req);
    let answer = cx.clock.timeout_at(until, sent).await;
    let res = match answer {
        Some(Ok(res)) => res,
        Some(Err(mut e)) => {
            // A request that comes back was never written.
            let unsent = e.take_message().is_some();
            if let Some(rested) = conn.rested() {
                cx.conns.on_broke_after(cx.now(), rested);
            }
            on_broke(cx, call, place.target(), now);
            let failed = match unsent {
                true => Failed::not_run(AttemptEnd::ClosedBefore),
                false => Failed::may_have_run(AttemptEnd::ConnectionBroke),
            };
            place.end(failed.end);
            return Err(failed);
        }
        None if until >= call.hold_until => {
            place.end(AttemptEnd::TimeUp);
            return Err(Failed::may_have_run(AttemptEnd::TimeUp));
        }
        None => {
            place.end(AttemptEnd::Silent);
            return Err(Failed::may_have_run(AttemptEnd::Silent));
        }
    };
    let (head, body) = res.into_parts();
    let facts = cx.dialect.read_answer(head.status, &head.headers);
    if let Some(load) = facts.load {
        let mut dispatcher = cx.dispatcher.borrow_mut();
        dispatcher.load.on_report(cx.now(), place.target(), load);
    }
    place.on_head(&facts);
    withdrawals::on_head(cx, call, place.target(), head.status, &facts);
    let begun = Begun {
        head,
        body,
        facts,
        conn,
        place,
    };
    judge(cx, call, begun)
}

/// Nothing listens where a target was, or another one has its address.
fn on_refused(cx: &Gateway, call: &Call, target: &TargetId) {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher.borrow_mut();
    dispatcher.health.outages.on_refused(now, target.into());
    info!(cx.log, "outage"; "id" => call.id(), "target" => %target, "refused" => true);
}

/// A connection broke without an answer to a call that was sent on it at `sent`.
fn on_broke(cx: &Gateway, call: &Call, target: &TargetId, sent: Instant) {
    let now = cx.now();
    let after = now.since(sent);
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let outages = &mut dispatcher.health.outages;
    if outages.on_broke(now, target.into(), after) {
        info!(cx.log, "outage"; "id" => call.id(), "target" => %target,
            "broke_after_ms" => after.as_millis() as u64);
    }
}

/// Whether the head is that of an answer to this very call.
fn judge(cx: &Gateway, call: &Call, begun: Begun) -> Result<Begun, Failed> {
    let facts = &begun.facts;
    let status = begun.head.status;
    let other = facts.id.is_some() && facts.id != call.id;
    match () {
        () if other => {
            begun.place.end(AttemptEnd::AnotherAnswer);
            Err(Failed::may_have_run(AttemptEnd::AnotherAnswer))
        }
        () if facts.refused == Some(Refused::ByAnother) => {
            on_refused(cx, call, begun.place.target());
            begun.place.end(AttemptEnd::AnotherTarget);
            Err(Failed::not_run(AttemptEnd::AnotherTarget))
        }
        () if facts.refused.is_some() => {
            begun.place.end(AttemptEnd::Refused);
            Err(Failed::not_run(AttemptEnd::Refused))
        }
        () if !facts.is_targets(status) => {
            begun.place.end(AttemptEnd::NotTargetsAnswer);
            Err(Failed::may_have_run(AttemptEnd::NotTargetsAnswer))
        }
        () => Ok(begun),
    }
}

fn request(
    cx: &Gateway,
    call: &Call,
    now: Instant,
    ticket: &Ticket,
    span: &HopSpan,
) -> Request<Full<Bytes>> {
    let handover = Handover {
        target: &ticket.target.id,
        id: call.id.as_deref(),
        attempt: call.attempts.sent() + 1,
        fetch_from: ticket.fetch_from.as_ref().map(|t| t.address),
        time_left: call.hold_until.since(now),
        account: call.holder.as_ref().map(|h| &h.account),
        last_event: call.last_event,
        rank: (!call.plan.prompt.is_empty()).then_some(call.rank),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.handed_uri();
    let mut headers = call.head.headers.clone();
    cx.dialect.write_handover(&mut headers, &handover);
    span.inject(&mut headers);
    *req.headers_mut() = headers;
    req
}

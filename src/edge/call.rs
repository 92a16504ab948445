//! One call of a caller, from its head to its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    header,
    http::{request, response},
};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    attempt::{Begun, Call, Failed, attempt},
    body::AnswerBody,
    ending::{Ending, give_up, pass_on, refuse},
    gateway::{Gateway, Phase},
    stream,
};
use crate::{
    ResultCode,
    config::serving::Denied,
    dialect::CallFacts,
    dispatcher::Plan,
    health::Outcome,
    retry::{Attempts, Fate},
    units::Instant,
};

/// The largest plain answer that is read whole before it is passed on, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// How long a call waits where the caller names no deadline.
const DEADLINE_UNTOLD: Duration = Duration::from_secs(30);

/// How many times the goal a plain call that may be repeated waits for its answer before another
/// target is asked; a target's own tail is well within.
const PATIENCE: f64 = 1.5;

/// The least that any attempt waits.
const LEAST_PATIENCE: Duration = Duration::from_millis(120);

/// An answer cannot be given: the connection is closed instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller's request ended early")]
pub(crate) struct Cut;

/// Answers one call.
pub(crate) async fn on_call(
    cx: &Rc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Cut> {
    let received = cx.now();
    let (head, incoming) = req.into_parts();
    let facts = cx.dialect.read_call(&head.headers);
    let mut ending = Ending::new(cx, facts.id.as_deref());
    let limits = cx.serving().map(|c| c.limits).unwrap_or_default();
    let body = read_body(&head.headers, incoming, limits.body_bytes).await?;
    let arrived = Arrived {
        head,
        facts,
        received,
    };
    match admit(cx, arrived, body) {
        Err(refusal) => Ok(refuse(cx, &ending, refusal)),
        Ok(call) => {
            ending.route.clone_from(&call.route.name);
            match call.route.kind.is_stream() {
                true => Ok(stream::serve(cx, call, ending).await),
                false => Ok(serve(cx, call, ending).await),
            }
        }
    }
}

/// A call's head, and when it was read.
struct Arrived {
    head: request::Parts,
    facts: CallFacts,
    received: Instant,
}

/// Why a call is refused before anything is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    pub(crate) why: &'static str,
}

/// What a call needs to be served, or why it is not; `None` for a body above the limit.
fn admit(cx: &Gateway, arrived: Arrived, body: Option<Bytes>) -> Result<Call, Refusal> {
    let refusal = |code, why| Refusal { code, why };
    let Arrived {
        head,
        facts,
        received,
    } = arrived;
    let config = cx.serving();
    let config = config.ok_or(refusal(ResultCode::NoConfig, "no configuration yet"))?;
    let body = body.ok_or(refusal(ResultCode::BodyTooLarge, "body above the limit"))?;
    let host = host_of(&head).unwrap_or_default();
    let admitted = config.admit(host, head.uri.path(), facts.key.as_deref());
    let (route, holder) = admitted.map_err(|denied| match denied {
        Denied::NoRoute => refusal(ResultCode::UnknownPath, "no route fits"),
        Denied::WrongKey => refusal(ResultCode::WrongKey, "no account holds the key"),
    })?;
    if cx.phase.get() == Phase::Refusing {
        return Err(refusal(ResultCode::Draining, "stopping"));
    }
    let needs_key = config.keyed && !route.public;
    if needs_key && !cx.may_use_keys(received) {
        let why = "configuration too old to trust keys";
        return Err(refusal(ResultCode::ConfigTooOld, why));
    }
    let hash = xxh3_64(facts.id.as_deref().unwrap_or_default().as_bytes());
    let service = route.service_for(hash).cloned();
    let service = service.ok_or(refusal(ResultCode::NoTarget, "no service on the route"))?;
    let deadline = facts.deadline.unwrap_or(DEADLINE_UNTOLD);
    let spec = config.service(&service);
    let conn_limit = spec.map_or(usize::MAX, |s| cx.conn_share(s.max_conns));
    cx.count_call(received, &service);
    Ok(Call {
        plan: Plan {
            service,
            kind: route.kind,
            prompt: facts.prompt.clone(),
            hash,
            engine: spec.and_then(|s| s.engine),
            tried: Vec::new(),
        },
        hold_until: received + deadline.min(route.timeout),
        last_event: facts.last_event,
        attempts: Attempts::default(),
        head,
        body,
        facts,
        route,
        holder,
        conn_limit,
        received,
    })
}

/// A call's host, from its target or its `Host` header.
fn host_of(head: &request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|h| h.to_str().ok());
    head.uri.host().or(named)
}

/// The whole body; `None` if it is above the limit.
async fn read_body(
    headers: &hyper::HeaderMap,
    incoming: Incoming,
    limit: usize,
) -> Result<Option<Bytes>, Cut> {
    let told = headers.get(header::CONTENT_LENGTH);
    let told = told.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if told.is_some_and(|n| n > limit) {
        return Ok(None);
    }
    match Limited::new(incoming, limit).collect().await {
        Ok(body) => Ok(Some(body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Ok(None),
        Err(_) => Err(Cut),
    }
}

/// Serves a call whose answer comes whole.
async fn serve(cx: &Rc<Gateway>, mut call: Call, ending: Ending) -> Response<AnswerBody> {
    let mut last_answer = None;
    loop {
        let patience = patience(cx, &call, PATIENCE, LEAST_PATIENCE);
        let failed = match attempt(cx, &mut call, patience).await {
            Ok(begun) => match read_answer(cx, &mut call, begun).await {
                Ok(answer) if answer.0.status.is_server_error() => {
                    last_answer = Some(answer);
                    Failed {
                        fate: Fate::Ran,
                        why: "target's error",
                        nowhere: false,
                    }
                }
                Ok(answer) => return pass_on(cx, &ending, &call, answer),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        if !may_repeat(cx, &call, failed) {
            return match last_answer {
                Some(answer) => pass_on(cx, &ending, &call, answer),
                None => give_up(cx, &ending, &call, failed),
            };
        }
    }
}

/// Whether another attempt follows; takes it from the budget if it counts there.
pub(crate) fn may_repeat(cx: &Gateway, call: &Call, failed: Failed) -> bool {
    let now = cx.now();
    if failed.nowhere || now >= call.hold_until {
        return false;
    }
    if !call
        .attempts
        .may_go_on(call.route.kind, call.route.max_attempts)
    {
        return false;
    }
    let share = cx.peers.borrow().share(now, cx.recent_calls.get());
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let taken = dispatcher.budget.take(now, &call.plan.service, share);
    info!(cx.log, "repeat"; "id" => call.id(), "why" => failed.why, "allowed" => taken,
        "share" => share);
    taken
}

/// How long an attempt waits for its answer to begin: some times the goal where another target may
/// be asked after it, and else as long as there is.
pub(crate) fn patience(cx: &Gateway, call: &Call, goals: f64, least: Duration) -> Duration {
    let left = call.hold_until.since(cx.now());
    let more = call.attempts.sent() + 1 < call.route.max_attempts;
    match call.route.kind.is_repeatable() && more {
        true => call.route.goal.mul_f64(goals).max(least).min(left),
        false => left,
    }
}

/// A target's whole answer.
pub(crate) type Whole = (response::Parts, Bytes);

async fn read_answer(cx: &Gateway, call: &mut Call, begun: Begun) -> Result<Whole, Failed> {
    let Begun {
        mut head,
        body,
        facts,
        conn,
        place,
    } = begun;
    let reading = Limited::new(body, ANSWER_LIMIT).collect();
    let until = cx.tokio_time(call.hold_until);
    let read = tokio::time::timeout_at(until, reading).await;
    let (outcome, why) = match &read {
        Ok(Ok(_)) if head.status.is_server_error() => (Outcome::Error, "error"),
        Ok(Ok(_)) => (Outcome::Good, "answered"),
        Ok(Err(_)) => (Outcome::Broken, "answer broke off"),
        Err(_) => (Outcome::Broken, "time is up"),
    };
    place.end(outcome, why);
    call.attempts.on_fate(Fate::Ran);
    let Ok(Ok(collected)) = read else {
        return Err(Failed {
            fate: Fate::Ran,
            why,
            nowhere: false,
        });
    };
    keep(cx, conn, &facts).await;
    strip_connection_headers(&mut head.headers);
    Ok((head, collected.to_bytes()))
}

/// Keeps a connection for the next call if it is still sound.
pub(crate) async fn keep(
    cx: &Gateway,
    mut conn: super::conn::Conn,
    facts: &crate::dialect::AnswerFacts,
) {
    if facts.closing {
        return;
    }
    if conn.sender.ready().await.is_ok() {
        cx.conns.rest(cx.now(), conn, facts.keep_alive);
    }
}

/// Headers that concern one connection only.
pub(crate) fn strip_connection_headers(headers: &mut hyper::HeaderMap) {
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TRAILER,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

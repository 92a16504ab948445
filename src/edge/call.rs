//! One call of a caller, from its head to its answer.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, header, http::response};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    attempt::{Begun, Call, Failed, attempt},
    body::AnswerBody,
    gateway::{Gateway, Phase},
    stream,
};
use crate::{
    ResultCode,
    config::serving::Denied,
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

/// When a caller that was refused may come back; by then another router gets it.
const COME_BACK: Duration = Duration::from_millis(100);

/// An answer cannot be given: the connection is closed instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller's request ended early")]
pub(crate) struct Cut;

/// Counts a call as in progress.
pub(crate) struct InProgressGuard(Rc<Gateway>);

impl InProgressGuard {
    fn new(cx: &Rc<Gateway>) -> Self {
        cx.in_progress.set(cx.in_progress.get() + 1);
        Self(Rc::clone(cx))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// How a call ended, for the log; a call that is dropped before its end is logged as abandoned.
pub(crate) struct Ending {
    cx: Rc<Gateway>,
    id: String,
    route: String,
    received: Instant,
    told: Cell<bool>,
    _guard: InProgressGuard,
}

impl Ending {
    fn new(cx: &Rc<Gateway>, id: Option<&str>) -> Self {
        Self {
            cx: Rc::clone(cx),
            id: id.unwrap_or("-").to_owned(),
            route: String::new(),
            received: cx.now(),
            told: Cell::new(false),
            _guard: InProgressGuard::new(cx),
        }
    }

    /// Logs the end.
    pub(crate) fn tell(&self, code: &'static str, status: u16, why: &str, attempts: Attempts) {
        self.told.set(true);
        let now = self.cx.now();
        let took = now.since(self.received);
        self.cx.metrics.on_call(code, took);
        let freshness = self.cx.freshness.borrow();
        let age = freshness.age(now);
        info!(self.cx.log, "call"; "id" => &self.id, "route" => &self.route, "code" => code,
            "status" => status, "why" => why, "attempts" => attempts.sent(),
            "took_ms" => took.as_millis() as u64, "config_revision" => freshness.revision().0,
            "config_age_ms" => age.map(|a| a.as_millis() as u64));
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if !self.told.get() {
            self.tell(
                ResultCode::CallerGone.name(),
                0,
                "caller left",
                Attempts::default(),
            );
        }
    }
}

/// Answers one call.
pub(crate) async fn on_call(
    cx: &Rc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Cut> {
    let received = cx.now();
    let (head, incoming) = req.into_parts();
    let facts = cx.dialect.read_call(&head.headers);
    let mut ending = Ending::new(cx, facts.id.as_deref());
    let config = cx.serving();
    let body_limit = config.as_ref().map_or(0, |c| c.limits.body_bytes);
    let body = read_body(&head.headers, incoming, body_limit.max(64 << 10)).await?;
    let Some(config) = config else {
        return Ok(refuse(
            cx,
            &ending,
            ResultCode::NoConfig,
            "no configuration yet",
        ));
    };
    let Some(body) = body else {
        return Ok(refuse(
            cx,
            &ending,
            ResultCode::BodyTooLarge,
            "body above the limit",
        ));
    };
    let host = host_of(&head).unwrap_or_default().to_owned();
    let admitted = config.admit(&host, head.uri.path(), facts.key.as_deref());
    let (route, holder) = match admitted {
        Ok(admitted) => admitted,
        Err(Denied::NoRoute) => {
            return Ok(refuse(
                cx,
                &ending,
                ResultCode::UnknownPath,
                "no route fits",
            ));
        }
        Err(Denied::WrongKey) => {
            return Ok(refuse(
                cx,
                &ending,
                ResultCode::WrongKey,
                "no account holds the key",
            ));
        }
    };
    ending.route.clone_from(&route.name);
    if cx.phase.get() == Phase::Refusing {
        return Ok(refuse(cx, &ending, ResultCode::Draining, "stopping"));
    }
    let needs_key = config.keyed && !route.public;
    let trusted = || {
        let freshness = cx.freshness.borrow();
        freshness.may_use_keys(received, cx.rules.get().revoke_bound)
    };
    if needs_key && !trusted() {
        let why = "configuration too old to trust keys";
        return Ok(refuse(cx, &ending, ResultCode::ConfigTooOld, why));
    }
    let hash = xxh3_64(facts.id.as_deref().unwrap_or_default().as_bytes());
    let Some(service) = route.service_for(hash).cloned() else {
        return Ok(refuse(
            cx,
            &ending,
            ResultCode::NoTarget,
            "no service on the route",
        ));
    };
    let deadline = facts.deadline.unwrap_or(DEADLINE_UNTOLD);
    let spec = config.service(&service);
    let conn_limit = spec.map_or(usize::MAX, |s| cx.conn_share(s.max_conns));
    cx.recent_calls.set(cx.recent_calls.get().saturating_add(1));
    cx.dispatcher
        .borrow_mut()
        .budget
        .on_call(received, &service);
    let call = Call {
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
    };
    match call.route.kind.is_stream() {
        true => Ok(stream::serve(cx, call, ending).await),
        false => Ok(serve(cx, call, ending).await),
    }
}

/// A call's host, from its target or its `Host` header.
fn host_of(head: &hyper::http::request::Parts) -> Option<&str> {
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
        let patience = patience(cx, &call);
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

/// How long an attempt waits for the head of its answer.
fn patience(cx: &Gateway, call: &Call) -> Duration {
    let left = call.hold_until.since(cx.now());
    let more = call.attempts.sent() + 1 < call.route.max_attempts;
    match call.route.kind.is_repeatable() && more {
        true => call
            .route
            .goal
            .mul_f64(PATIENCE)
            .max(LEAST_PATIENCE)
            .min(left),
        false => left,
    }
}

type Whole = (response::Parts, Bytes);

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

fn pass_on(cx: &Gateway, ending: &Ending, call: &Call, answer: Whole) -> Response<AnswerBody> {
    let (head, body) = answer;
    let code = match head.status {
        s if s.is_success() => "ok",
        _ => "target_error",
    };
    ending.tell(code, head.status.as_u16(), "", call.attempts);
    let mut res = Response::from_parts(head, AnswerBody::whole(body));
    close_if_stopping(cx, &mut res);
    res
}

/// Closes the caller's connection after this answer if a stop was asked for.
pub(crate) fn close_if_stopping(cx: &Gateway, res: &mut Response<AnswerBody>) {
    if cx.phase.get() != Phase::Serving {
        let close = header::HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
}

/// The answer to a call that was not served, by whether it may have run.
pub(crate) fn give_up(
    cx: &Gateway,
    ending: &Ending,
    call: &Call,
    failed: Failed,
) -> Response<AnswerBody> {
    let code = match call.attempts.is_not_run() {
        true if failed.why == "all targets full" => ResultCode::Overloaded,
        true => ResultCode::NoTarget,
        false if cx.now() >= call.hold_until => ResultCode::TargetTimeout,
        false => ResultCode::OutcomeUnknown,
    };
    ending.tell(code.name(), code.status(), failed.why, call.attempts);
    answer(cx, code)
}

fn refuse(cx: &Gateway, ending: &Ending, code: ResultCode, why: &str) -> Response<AnswerBody> {
    ending.tell(code.name(), code.status(), why, Attempts::default());
    answer(cx, code)
}

/// An answer of our own.
fn answer(cx: &Gateway, code: ResultCode) -> Response<AnswerBody> {
    let mut res = Response::new(AnswerBody::whole(format!("{code}\n")));
    let status = StatusCode::from_u16(code.status());
    *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if matches!(code.status(), 503 | 429) {
        let jitter = rand::random_range(0.5..1.5);
        let pause = format!("{:.3}", COME_BACK.as_secs_f64() * jitter);
        if let Ok(pause) = header::HeaderValue::from_str(&pause) {
            res.headers_mut().insert(header::RETRY_AFTER, pause);
        }
    }
    close_if_stopping(cx, &mut res);
    res
}

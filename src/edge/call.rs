//! Handling of one call, from its request head to its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::Incoming,
    header,
    http::{request, response},
};
use serde::Serialize;
use slog::info;

use super::{
    admission::{IncomingCall, admit, await_config},
    attempt::{AttemptFailure, Call, send},
    attempt_end::AttemptEnd,
    body::{AnswerBody, CollectedBody},
    call_end::{CallGuard, give_up, pass_on, refuse},
    claimed_calls,
    flow::CallerConn,
    gateway::Gateway,
    overlap::{self, Beginning, Start},
    read_body::{self, BodyError},
    sent_call::StartedAnswer,
    stream,
    stream_origins::{self, Origin},
    unanswered::CallStage,
    view,
};
use crate::{
    ResultCode,
    dialect::{BuiltInPage, Refusal, ResponseInfo},
    ids::ModelName,
    reply,
    retry::Execution,
};

/// Multiple of the route's latency goal that a repeatable plain call waits for its answer before another target is
/// tried as well. The tail of a target's own latencies is well within it.
const GOAL_TIMEOUT_FACTOR: f64 = 1.5;

/// Minimum time that an attempt of a plain call waits for the head of its answer before another target is tried as
/// well.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(120);

/// The caller's request ended early, so that no answer can be sent and the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller's request ended early")]
pub(crate) struct RequestAborted;

/// Handles one request of a caller: a page of the router itself, or a call to a target.
pub(crate) async fn on_call(
    cx: &Rc<Gateway>,
    conn: &Rc<CallerConn>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, RequestAborted> {
    let received = cx.now();
    let (head, body_stream) = req.into_parts();
    let id = cx.dialect.call_id(&head.headers);
    if let Some(page) = cx.dialect.page(&head) {
        let mut res = serve_page(cx, page, &head);
        cx.dialect
            .write_call_id(res.headers_mut(), id.as_deref().unwrap_or_default());
        return Ok(res);
    }
    let mut call_guard = CallGuard::new(cx, conn, id.as_deref());
    let read = tokio::select! {
        biased;
        read = read_body::read_request(cx, &head.headers, body_stream) => read,
        () = cx.until_time_is_up() => Err(BodyError::Stopping),
    };
    if !matches!(read, Ok((Some(_), _))) {
        conn.on_body_refused();
    }
    let body = match read {
        Ok((body, count)) => {
            call_guard.set_request_count(count);
            body
        }
        Err(BodyError::Aborted) => {
            conn.on_caller_left();
            return Err(RequestAborted);
        }
        Err(BodyError::TimedOut) => {
            let refusal = Refusal::new(ResultCode::SlowSender, "the body did not arrive in time");
            return Ok(refuse(cx, &call_guard, refusal));
        }
        Err(BodyError::Stopping) => {
            let refusal = Refusal::new(ResultCode::Draining, "stopping");
            return Ok(refuse(cx, &call_guard, refusal));
        }
        Err(BodyError::NoRoom) => {
            let why = "the maximum number of bytes of request bodies is held";
            let refusal = Refusal::new(ResultCode::RouterFull, why);
            return Ok(refuse(cx, &call_guard, refusal));
        }
    };
    call_guard.progress.reach(CallStage::Waiting);
    let mut incoming_call = IncomingCall {
        head,
        body,
        id,
        received,
        conn: Rc::clone(conn),
        origin: Origin::New,
    };
    await_config(cx, &incoming_call).await;
    incoming_call.origin = stream_origins::find(cx, &incoming_call).await;
    let (call, account_place) = match admit(cx, incoming_call, &mut call_guard) {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refuse(cx, &call_guard, refusal)),
    };
    call_guard.route.clone_from(&call.route.name);
    call_guard.set_account_place(account_place);
    call_guard.set_answer(call.answer.clone());
    Ok(match () {
        () if call.route.claimed => claimed_calls::serve_claimed(cx, call, call_guard).await,
        () if call.route.kind.is_stream() => stream::serve(cx, call, call_guard).await,
        () => serve_plain(cx, call, call_guard).await,
    })
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// Answers a request for one of the router's own pages. The list of models requires a valid key.
fn serve_page(cx: &Gateway, page: BuiltInPage, head: &request::Parts) -> Response<AnswerBody> {
    match page {
        BuiltInPage::Alive => reply::with_body(200, "text/plain", "ok\n"),
        BuiltInPage::Ready if cx.is_ready() => reply::with_body(200, "text/plain", "ready\n"),
        BuiltInPage::Ready => reply::with_body(503, "text/plain", format!("{}\n", view::state(cx))),
        BuiltInPage::Models => {
            let facts = cx.dialect.parse_call(head, &Bytes::new(), None);
            let key = facts.ok().and_then(|f| f.key);
            let config = cx.serving();
            let is_known = |key: &str| config.as_ref().is_some_and(|c| c.key_owner(key).is_some());
            match key.as_deref().is_some_and(is_known) {
                true => list_models(cx),
                false => reply::error(ResultCode::WrongKey, "no such key"),
            }
        }
    }
}

fn list_models(cx: &Gateway) -> Response<AnswerBody> {
    cx.accepted_changes.with_log(|log| {
        let entry = |name| ModelEntry {
            id: name,
            object: "model",
            created: 0,
            owned_by: "scaleford",
        };
        let names = log.config().models.keys().map(ModelName::as_str);
        let list = ModelList {
            object: "list",
            data: names.map(entry).collect(),
        };
        reply::json(200, &list)
    })
}

/// Result of a call whose answer is read completely before it is passed on.
pub(crate) enum CallResult {
    /// A target answered.
    Answer(CompleteAnswer),
    /// No target answered, and no further attempt is made.
    GaveUp(AttemptFailure),
}

async fn serve_plain(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: CallGuard,
) -> Response<AnswerBody> {
    let served = run_attempts(cx, &mut call).await;
    respond(cx, &call_guard, &call, served)
}

/// Builds the response to a call that was served or given up.
pub(crate) fn respond(
    cx: &Gateway,
    call_guard: &CallGuard,
    call: &Call,
    served: CallResult,
) -> Response<AnswerBody> {
    match served {
        CallResult::Answer(answer) => pass_on(cx, call_guard, call, answer),
        CallResult::GaveUp(failed) => give_up(cx, call_guard, call, failed),
    }
}

/// Makes attempts until a target answers, no further attempt is allowed or a stop has no time left. If the last
/// attempt fails, an error response that a target sent earlier is returned.
pub(crate) async fn run_attempts(cx: &Rc<Gateway>, call: &mut Call) -> CallResult {
    let mut last_answer = None;
    let ended = tokio::select! {
        biased;
        ended = attempt_until_answered(cx, call, &mut last_answer) => ended,
        () = cx.until_time_is_up() => Err(AttemptFailure::not_sent(AttemptEnd::Stopping)),
    };
    match (ended, last_answer) {
        (Ok(answer), _) | (Err(_), Some(answer)) => CallResult::Answer(answer),
        (Err(failed), None) => {
            call.attempts.on_given_up();
            CallResult::GaveUp(failed)
        }
    }
}

/// Makes attempts until a target answers or no further attempt is allowed. The last error response of a target is
/// left in `last_answer`.
async fn attempt_until_answered(
    cx: &Rc<Gateway>,
    call: &mut Call,
    last_answer: &mut Option<CompleteAnswer>,
) -> Result<CompleteAnswer, AttemptFailure> {
    let mut previous = None;
    loop {
        let failed = match begin(cx, call).await {
            Ok(started_answer) => match read_answer(cx, call, started_answer).await {
                Ok(answer) if answer.0.status.is_server_error() => {
                    *last_answer = Some(answer);
                    AttemptFailure::target_error()
                }
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        if !take_retry(cx, call, failed) {
            return Err(failed.or_previous(previous));
        }
        previous = Some(failed);
    }
}

/// Returns whether another attempt may be made. If the call's deadline and route allow one, it is also taken
/// from the retry budget.
pub(crate) fn take_retry(cx: &Gateway, call: &Call, failed: AttemptFailure) -> bool {
    let now = cx.now();
    if failed.is_final || now >= call.deadline {
        return false;
    }
    if !call
        .attempts
        .may_retry(call.route.kind, call.route.max_attempts)
    {
        return false;
    }
    let share = cx.usable_retry_share(now);
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let taken = dispatcher.budget.take(now, &call.plan.service, share);
    info!(cx.log, "repeat"; "id" => call.id(), "why" => failed.end.name(), "allowed" => taken,
        "share" => share);
    taken
}

/// Returns whether the retry budget has a repeat left for a call.
pub(crate) fn has_retry_budget(cx: &Gateway, call: &Call) -> bool {
    let now = cx.now();
    let share = cx.usable_retry_share(now);
    let budget = &mut cx.dispatcher.borrow_mut().budget;
    budget.has_left(now, &call.plan.service, share)
}

/// Computes how long a target may be silent before another one is tried as well: a multiple of the route's goal,
/// but at least `minimum`.
pub(crate) fn silence_timeout(call: &Call, goal_factor: f64, minimum: Duration) -> Duration {
    call.route.goal.mul_f64(goal_factor).max(minimum)
}

/// Makes one attempt and waits for the head of its answer. If the target is silent, others are tried beside it.
fn begin<'a>(cx: &'a Rc<Gateway>, call: &'a mut Call) -> Beginning<'a, StartedAnswer> {
    Box::pin(async move {
        let sent = send(cx, call).await?;
        let silent_at = cx.now() + silence_timeout(call, GOAL_TIMEOUT_FACTOR, MIN_ATTEMPT_TIMEOUT);
        let first = Box::pin(sent.head(Rc::clone(cx)));
        overlap::first_start(cx, call, first, silent_at, begin).await
    })
}

impl Start for StartedAnswer {
    fn is_error(&self) -> bool {
        self.head.status.is_server_error()
    }
}

/// Head and complete body of a target's answer.
pub(crate) type CompleteAnswer = (response::Parts, CollectedBody);

async fn read_answer(
    cx: &Gateway,
    call: &mut Call,
    started_answer: StartedAnswer,
) -> Result<CompleteAnswer, AttemptFailure> {
    let StartedAnswer {
        mut head,
        body,
        is_cut_if_empty,
        facts,
        conn,
        guard,
    } = started_answer;
    let reading = read_body::read_answer(body, is_cut_if_empty, &call.answer);
    let read = cx.clock.timeout_at(call.deadline, reading).await;
    let end = match &read {
        Some(Ok(_)) if head.status.is_server_error() => AttemptEnd::TargetError,
        Some(Ok(_)) => AttemptEnd::Answered,
        Some(Err(end)) => *end,
        None => AttemptEnd::DeadlineExceeded,
    };
    guard.end(end);
    call.attempts.on_attempt_end(Execution::Ran);
    let Some(Ok(body)) = read else {
        return Err(AttemptFailure {
            execution: Execution::Ran,
            end,
            // What was refused for want of room would find none at another target either.
            is_final: end == AttemptEnd::NoRoomForAnswer,
        });
    };
    return_to_pool(cx, conn, &facts).await;
    strip_connection_headers(&mut head.headers);
    Ok((head, body))
}

/// Returns a connection to the pool for the next call, unless it is closed or the target will close it.
pub(crate) async fn return_to_pool(
    cx: &Gateway,
    mut conn: super::conn::Conn,
    facts: &ResponseInfo,
) {
    if facts.closes_connection {
        return;
    }
    if conn.sender.ready().await.is_ok() {
        cx.conns.put_idle(cx.now(), conn, facts.keep_alive);
    }
}

/// Removes the headers that apply to one connection only (hop-by-hop headers).
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

//! Ends of calls: the response that the caller gets, and the log line, metrics and trace of the call.

use std::{borrow::Cow, cell::Cell, rc::Rc, time::Duration};

use hyper::{
    Response,
    header::{self, HeaderValue},
};
use slog::info;

use super::{
    accounts::AccountPermit,
    attempt::{AttemptFailure, Call},
    attempt_end::AttemptEnd,
    body::AnswerBody,
    call::CompleteAnswer,
    contended, crash_checks,
    flow::{AnswerAccount, CallerConn, RequestCount},
    gateway::Gateway,
    unanswered::{CallProgress, CallStage, EndedBy},
};
use crate::{
    ResultCode,
    dialect::Refusal,
    explain::Decision,
    fingerprint::Fingerprint,
    lifecycle::Phase,
    reply,
    retry::{Attempts, NotRun},
    units::Instant,
};

/// Mean delay after which a refused caller should retry, unless a better one is known. By then, the
/// retry reaches another router.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Error text for a call whose request is quarantined.
pub(super) const QUARANTINE_TEXT: &str =
    "targets crashed while they ran this request or others with a part of its prompt";

/// Error text for a stream that no target can continue.
const VERSION_GONE_TEXT: &str = "no target of the version that began the stream is left";

/// Delay after which a caller should retry whose stream no target can continue. Targets of a version that
/// was taken out of service seldom return, so that earlier retries would be in vain.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Counts a call as in progress until it is dropped.
struct InProgressGuard(Rc<Gateway>);

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

/// A call that is in progress. Its end is logged once; if it is dropped before that, the call was not
/// answered, and is logged with what ended it.
pub(crate) struct CallGuard {
    cx: Rc<Gateway>,
    id: String,
    pub(crate) route: String,
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Id of the call whose stream this one takes up.
    pub(crate) resumes: Option<String>,
    received: Instant,
    conn: Rc<CallerConn>,
    pub(crate) progress: CallProgress,
    is_logged: Cell<bool>,
    account_place: Option<AccountPermit>,
    request_count: Option<RequestCount>,
    answer: Option<AnswerAccount>,
    _guard: InProgressGuard,
}

/// How a call ended, for the log and the metrics.
pub(crate) struct CallEnd<'a> {
    /// Name of the result code; `ok` or `target_error` if a target answered.
    pub(crate) name: &'static str,
    /// Number of the result code; 0 if a target answered.
    pub(crate) number: u16,
    /// HTTP status that the caller got; 0 if it got none.
    pub(crate) status: u16,
    /// Reason why the call was not served; empty if it was.
    pub(crate) why: &'a str,
    /// What ended the call, if the caller got neither a complete answer nor a refusal.
    pub(crate) ended_by: Option<EndedBy>,
}

impl<'a> CallEnd<'a> {
    /// Creates the end of a call that failed with a result code of the router.
    pub(crate) fn failed(code: ResultCode, why: &'a str) -> Self {
        Self {
            name: code.name(),
            number: code.number(),
            status: code.status(),
            why,
            ended_by: None,
        }
    }

    /// Creates the end of a call to which a target's answer was passed on.
    pub(crate) fn answered(status: hyper::StatusCode) -> Self {
        let name = match status {
            s if s.is_success() => "ok",
            _ => "target_error",
        };
        Self {
            name,
            number: 0,
            status: status.as_u16(),
            why: "",
            ended_by: None,
        }
    }
}

impl CallGuard {
    /// Starts tracking a call that has just arrived.
    pub(crate) fn new(cx: &Rc<Gateway>, conn: &Rc<CallerConn>, id: Option<&str>) -> Self {
        Self {
            cx: Rc::clone(cx),
            id: id.unwrap_or("-").to_owned(),
            route: String::new(),
            fingerprint: None,
            resumes: None,
            received: cx.now(),
            conn: Rc::clone(conn),
            progress: CallProgress::default(),
            is_logged: Cell::new(false),
            account_place: None,
            request_count: None,
            answer: None,
            _guard: InProgressGuard::new(cx),
        }
    }

    /// Keeps the call's share of its account's concurrency limit until the call ends.
    pub(crate) fn set_account_place(&mut self, account_place: Option<AccountPermit>) {
        self.account_place = account_place;
    }

    /// Keeps the count of the request's body until the call ends.
    pub(crate) fn set_request_count(&mut self, count: RequestCount) {
        self.request_count = Some(count);
    }

    /// Sets the account of the call's answer, which tells whether the caller was given up.
    pub(crate) fn set_answer(&mut self, answer: AnswerAccount) {
        self.answer = Some(answer);
    }

    /// Records the end of the call in the log, the metrics and the trace.
    pub(crate) fn record_end(&self, end: CallEnd<'_>, attempts: Attempts) {
        self.is_logged.set(true);
        if let Some(answer) = &self.answer {
            answer.on_call_end(end.ended_by.is_none());
        }
        let now = self.cx.now();
        let took = now.since(self.received);
        self.cx.metrics.on_call(end.name, end.number, took);
        let unanswered = end.ended_by.map(|by| (self.progress.stage(), by));
        if let Some((stage, by)) = unanswered {
            self.cx.metrics.unanswered.on_end(stage, by);
        }
        self.cx.record_decision(&self.id, || Decision::Ended {
            code: end.number,
            why: end.why.to_owned(),
        });
        let age = self.cx.freshness.borrow().age(now);
        let revision = self.cx.serving().map(|c| c.revision);
        info!(self.cx.log, "call"; "id" => &self.id, "fingerprint" => self.fingerprint.map(|f| f.to_string()), "resumes" => &self.resumes, "route" => &self.route, "code" => end.name,
            "status" => end.status, "why" => end.why, "attempts" => attempts.sent(),
            "stage" => unanswered.map(|(stage, _)| stage.name()), "ended_by" => unanswered.map(|(_, by)| by.name()),
            "took_ms" => took.as_millis() as u64, "config_revision" => revision.map(|r| r.number),
            "config_age_ms" => age.map(|a| a.as_millis() as u64));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.is_logged.get() {
            let given_up = self.answer.as_ref().and_then(AnswerAccount::given_up);
            let ended_by = self.conn.ended_by();
            let (code, why) = match (given_up, ended_by) {
                (_, EndedBy::Panic) => (ResultCode::Internal, "a task of the call panicked"),
                (Some(reason), _) => (ResultCode::AnswerNotRead, reason.text()),
                (None, EndedBy::Caller) => (ResultCode::CallerGone, "caller left"),
                (None, _) => (ResultCode::Internal, "router closed the connection"),
            };
            let end = CallEnd {
                status: 0,
                ended_by: Some(ended_by),
                ..CallEnd::failed(code, why)
            };
            self.record_end(end, Attempts::default());
        }
    }
}

/// Passes a target's complete answer on to the caller.
pub(crate) fn pass_on(
    cx: &Gateway,
    call_guard: &CallGuard,
    call: &Call,
    answer: CompleteAnswer,
) -> Response<AnswerBody> {
    let (head, body) = answer;
    call.progress.reach(CallStage::Answering);
    call_guard.record_end(CallEnd::answered(head.status), call.attempts);
    call.answer.on_complete();
    finish_response(
        cx,
        call_guard,
        Response::from_parts(head, AnswerBody::collected(body)),
    )
}

/// Writes the call's id to the response's headers, and has the caller's connection closed after the
/// response if the router is stopping or the request's body was not read.
pub(crate) fn finish_response(
    cx: &Gateway,
    call_guard: &CallGuard,
    mut res: Response<AnswerBody>,
) -> Response<AnswerBody> {
    cx.dialect.write_call_id(res.headers_mut(), &call_guard.id);
    if cx.phase() != Phase::Serving || call_guard.conn.has_unread_body() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// Builds the response to a call that was not served; it depends on whether the call may have run.
pub(crate) fn give_up(
    cx: &Gateway,
    call_guard: &CallGuard,
    call: &Call,
    failed: AttemptFailure,
) -> Response<AnswerBody> {
    match call.attempts.not_run() {
        Some(proof) => respond_not_run(cx, call_guard, call, failed, proof),
        None => {
            let code = match cx.now() >= call.deadline {
                true => ResultCode::TargetTimeout,
                false => ResultCode::OutcomeUnknown,
            };
            call_guard.record_end(CallEnd::failed(code, failed.end.name()), call.attempts);
            finish_response(cx, call_guard, reply::error(code, failed.end.name()))
        }
    }
}

fn respond_not_run(
    cx: &Gateway,
    call_guard: &CallGuard,
    call: &Call,
    failed: AttemptFailure,
    _proof: NotRun,
) -> Response<AnswerBody> {
    let (code, text) = match failed.end {
        AttemptEnd::AllFull => (ResultCode::Overloaded, "all targets are full"),
        AttemptEnd::Quarantined => (ResultCode::HeldBack, QUARANTINE_TEXT),
        AttemptEnd::Stopping => (ResultCode::Draining, "stopping"),
        AttemptEnd::VersionGone => (ResultCode::StreamNotContinued, VERSION_GONE_TEXT),
        AttemptEnd::AllCold => (ResultCode::Overloaded, "all targets are cold"),
        AttemptEnd::AllBackedOff => (ResultCode::Overloaded, "all targets back off"),
        _ if call.attempts.sent() > 0 => (ResultCode::TargetRefused, "no target took the request"),
        end => (ResultCode::NoTarget, end.name()),
    };
    call_guard.record_end(CallEnd::failed(code, failed.end.name()), call.attempts);
    if failed.end == AttemptEnd::Refused {
        contended::count_full_target(cx, call);
    }
    let no_capacity = matches!(code, ResultCode::Overloaded | ResultCode::TargetRefused);
    let none_left = matches!(
        failed.end,
        AttemptEnd::AllEvacuated | AttemptEnd::AllLeaving
    );
    let is_shortage = no_capacity || none_left;
    let retry_delay = match failed.end {
        AttemptEnd::Quarantined => crash_checks::quarantine_time_left(cx, call),
        AttemptEnd::VersionGone => Some(VERSION_GONE_RETRY_AFTER),
        _ => is_shortage.then(|| retry_after(cx, call)),
    };
    respond_error(cx, call_guard, code, text, retry_delay)
}

/// Computes after which delay a caller should retry whose call found no free capacity, and logs it.
fn retry_after(cx: &Gateway, call: &Call) -> Duration {
    let now = cx.now();
    let (service, time_left) = (&call.plan.service, call.deadline.since(now));
    let dispatcher = cx.dispatcher.borrow();
    let retry_after = dispatcher.retry_after(now, service, time_left, rand::random());
    cx.metrics.on_capacity_refused(retry_after);
    let capacity = dispatcher.admission.capacity_estimate(now, service);
    let backoff = dispatcher.backoff_remaining(now, service);
    let ms = |d: Duration| d.as_millis() as u64;
    info!(cx.log, "no room"; "id" => call.id(), "service" => %service,
        "short_for_ms" => capacity.shortage_age.map(ms), "slot_held_ms" => capacity.slot_time.map(ms), "backoff_ms" => backoff.map(ms),
        "account_surges" => call.plan.surge.is_surging(), "left_ms" => ms(time_left), "come_back_ms" => ms(retry_after));
    retry_after
}

/// Refuses a call of which nothing was sent to a target.
pub(crate) fn refuse(
    cx: &Gateway,
    call_guard: &CallGuard,
    refusal: Refusal,
) -> Response<AnswerBody> {
    let Refusal {
        code,
        why,
        retry_after,
    } = refusal;
    let why: Cow<'static, str> = why;
    call_guard.record_end(CallEnd::failed(code, &why), Attempts::default());
    respond_error(cx, call_guard, code, &why, retry_after)
}

/// Builds an error response of the router. A 429 or 503 always has a `Retry-After`; without one given,
/// it is spread over 0.5 to 1.5 times the default.
fn respond_error(
    cx: &Gateway,
    call_guard: &CallGuard,
    code: ResultCode,
    why: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut res = reply::error(code, why);
    let default_delay = || DEFAULT_RETRY_AFTER.mul_f64(rand::random_range(0.5..1.5));
    let header_value = match code.status() {
        429 | 503 => Some(retry_after.unwrap_or_else(default_delay)),
        _ => retry_after,
    };
    let header_value = header_value.map(|p| HeaderValue::from_str(&cx.dialect.retry_after(p)));
    if let Some(Ok(header_value)) = header_value {
        res.headers_mut().insert(header::RETRY_AFTER, header_value);
    }
    finish_response(cx, call_guard, res)
}

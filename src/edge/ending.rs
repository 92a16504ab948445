//! How calls end: the answer that the caller gets, and the line that the log keeps of it.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::{Response, StatusCode, header};
use slog::info;

use super::{
    attempt::{Call, Failed},
    body::AnswerBody,
    call::{Refusal, Whole},
    gateway::{Gateway, Phase},
};
use crate::{ResultCode, reply, retry::Attempts, units::Instant};

/// When a caller that was refused may come back; by then another router gets it.
const COME_BACK: Duration = Duration::from_millis(100);

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
    pub(crate) route: String,
    received: Instant,
    told: Cell<bool>,
    _guard: InProgressGuard,
}

impl Ending {
    /// A call that has just come in.
    pub(crate) fn new(cx: &Rc<Gateway>, id: Option<&str>) -> Self {
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

/// Passes a target's whole answer on.
pub(crate) fn pass_on(
    cx: &Gateway,
    ending: &Ending,
    call: &Call,
    answer: Whole,
) -> Response<AnswerBody> {
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

/// Refuses a call before anything was sent.
pub(crate) fn refuse(cx: &Gateway, ending: &Ending, refusal: Refusal) -> Response<AnswerBody> {
    let Refusal { code, why } = refusal;
    ending.tell(code.name(), code.status(), why, Attempts::default());
    answer(cx, code)
}

/// An answer of our own.
fn answer(cx: &Gateway, code: ResultCode) -> Response<AnswerBody> {
    let mut res = Response::new(AnswerBody::whole(format!("{code}\n")));
    let status = StatusCode::from_u16(code.status());
    *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let number = header::HeaderValue::from(code.number());
    res.headers_mut().insert(reply::CODE_HEADER, number);
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

//! A call that was sent to a target: waits for the head of its answer and checks it.

use std::{
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, Version,
    body::{Body, Incoming},
    client::conn::TrySendError,
    header::{self, HeaderValue},
    http::response,
};
use slog::info;
use tokio::sync::Notify;

use super::{
    attempt::AttemptFailure, attempt_end::AttemptEnd, attempt_guard::AttemptGuard, conn::Conn,
    flow::AnswerAccount, gateway::Gateway, withdrawals,
};
use crate::{
    dialect::{RejectedBy, ResponseInfo},
    ids::TargetId,
    units::Instant,
};

/// Maximum number of informational heads (1xx) before the head of an answer.
const MAX_INFORMATIONAL_HEADS: usize = 32;

/// Counts the informational heads of one answer. The HTTP library reads them for as long as they come.
#[derive(Debug, Default)]
pub(crate) struct InformationalHeads {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InformationalHeads {
    /// Counts those of the answer to a request.
    pub(super) fn of<B>(req: &mut Request<B>) -> Arc<Self> {
        let heads: Arc<Self> = Arc::default();
        let counter = Arc::clone(&heads);
        hyper::ext::on_informational(req, move |_| counter.on_head());
        heads
    }

    fn on_head(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL_HEADS {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are too many.
    async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

/// Response of a target, as a future.
pub(super) type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>>>>;

/// A call that was sent to a target, with all that reading its answer takes. Dropping it closes the connection.
pub(crate) struct SentCall {
    /// Caller's id of the call.
    pub(super) id: Option<String>,
    pub(super) sent_at: Instant,
    /// Instant at which the call ends.
    pub(super) deadline: Instant,
    /// Instant at which the head of the request was read.
    pub(super) received: Instant,
    /// Account of the bytes that are held of the answer.
    pub(super) account: AnswerAccount,
    pub(super) response: ResponseFuture,
    pub(super) informational: Arc<InformationalHeads>,
    pub(super) conn: Conn,
    pub(super) guard: AttemptGuard,
}

/// An answer of which the head has arrived and is valid, and the body has not been read yet.
pub(crate) struct StartedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    /// Whether an empty body is taken for one that was cut off: a target that crashes after the head of a success ends
    /// the connection, too, which ends a body that has neither a length nor chunks.
    pub(crate) is_cut_if_empty: bool,
    pub(crate) facts: ResponseInfo,
    pub(crate) conn: Conn,
    pub(crate) guard: AttemptGuard,
}

impl SentCall {
    /// Waits for the head of the answer until the call's deadline.
    pub(crate) async fn head(mut self, cx: Rc<Gateway>) -> Result<StartedAnswer, AttemptFailure> {
        let response = cx.clock.timeout_at(self.deadline, &mut self.response);
        let end = tokio::select! {
            biased;
            () = self.informational.exceeded() => AttemptEnd::NoFinalHead,
            response = response => match response {
                Some(Ok(res)) => return self.on_response(&cx, res),
                Some(Err(e)) => return Err(self.on_broke(&cx, e)),
                None => AttemptEnd::DeadlineExceeded,
            },
        };
        self.guard.end(end);
        Err(AttemptFailure::may_have_run(end))
    }

    fn on_broke(self, cx: &Gateway, mut e: TrySendError<Request<Full<Bytes>>>) -> AttemptFailure {
        // The client hands a request back only if it was never written to the connection.
        let unsent = e.take_message().is_some();
        if let Some(idle_time) = self.conn.idle_time() {
            cx.conns.on_idle_conn_broke(cx.now(), idle_time);
        }
        on_connection_broke(cx, self.log_id(), self.guard.target(), self.sent_at);
        let failed = match unsent {
            true => AttemptFailure::not_run(AttemptEnd::ClosedBeforeSend),
            false => {
                let end = AttemptEnd::of_error(e.error(), AttemptEnd::ConnectionBroke);
                AttemptFailure::may_have_run(end)
            }
        };
        self.guard.end(failed.end);
        failed
    }

    fn on_response(
        mut self,
        cx: &Rc<Gateway>,
        res: Response<Incoming>,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let (mut head, body) = res.into_parts();
        // The version concerns the target's connection only. An answer to the caller in an earlier one would have
        // no chunks, so that it looked complete where it breaks off.
        head.version = Version::HTTP_11;
        // The same holds for the length: a body in chunks may come with another one, or a valid one be repeated. An
        // answer without a body keeps it, as it is that of the answer to a `GET`.
        if !body.is_end_stream() {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        if !self.conn.is_tunnel() {
            let paths = &mut cx.dispatcher.borrow_mut().paths;
            paths.on_heard(cx.now(), &self.guard.ticket.target);
        }
        let facts = cx.dialect.parse_response(head.status, &head.headers);
        if let Some(load) = facts.load {
            let mut dispatcher = cx.dispatcher.borrow_mut();
            dispatcher.on_load_report(cx.now(), self.guard.target(), load);
        }
        self.guard.on_head(&facts);
        let (id, target) = (self.log_id(), self.guard.target());
        if facts.rejected_by != Some(RejectedBy::OtherTarget) && facts.is_authentic(head.status) {
            on_brittle_statement(cx, id, target, &facts);
        }
        withdrawals::on_response_head(cx, id, target, head.status, &facts);
        if let Some(failed) = self.check_head(cx, &head, &facts) {
            self.guard.end(failed.end);
            return Err(failed);
        }
        let has_end = head.headers.contains_key(header::TRANSFER_ENCODING)
            || body.size_hint().exact().is_some();
        Ok(StartedAnswer {
            is_cut_if_empty: head.status.is_success() && !has_end,
            head,
            body,
            facts,
            conn: self.conn,
            guard: self.guard,
        })
    }

    /// Returns why the head does not belong to the target's answer to this call, if it does not.
    fn check_head(
        &self,
        cx: &Rc<Gateway>,
        head: &response::Parts,
        facts: &ResponseInfo,
    ) -> Option<AttemptFailure> {
        let is_other_call = facts.id.is_some() && facts.id != self.id;
        match () {
            () if is_other_call => Some(AttemptFailure::may_have_run(
                AttemptEnd::AnswerToAnotherCall,
            )),
            () if facts.rejected_by == Some(RejectedBy::OtherTarget) => {
                on_connection_refused(cx, self.log_id(), self.guard.target());
                Some(AttemptFailure::not_run(AttemptEnd::AnotherTarget))
            }
            () if facts.rejected_by.is_some() => {
                if let Some(slot) = &self.guard.slot {
                    slot.on_rejected(cx);
                }
                Some(AttemptFailure::not_run(AttemptEnd::Refused))
            }
            () if !facts.is_authentic(head.status) => {
                Some(AttemptFailure::may_have_run(AttemptEnd::UnverifiedAnswer))
            }
            () if !has_plain_framing(&head.headers) => {
                Some(AttemptFailure::may_have_run(AttemptEnd::AnswerMalformed))
            }
            () => None,
        }
    }

    fn log_id(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }
}

/// Returns whether the body of an answer is framed by chunks or without a transfer encoding. No other one was asked for:
/// its bytes would not be the target's body.
fn has_plain_framing(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let is_chunked = |c: &HeaderValue| c.as_bytes().eq_ignore_ascii_case(b"chunked");
    codings.next().is_none_or(is_chunked) && codings.next().is_none()
}

/// Records what a target states of how many calls it can reject.
fn on_brittle_statement(cx: &Gateway, id: &str, target: &TargetId, facts: &ResponseInfo) {
    let brittle = &mut cx.dispatcher.borrow_mut().brittle;
    if brittle.on_statement(cx.now(), target.into(), facts.rejection_limit) {
        info!(cx.log, "brittle"; "id" => id, "target" => %target,
            "rejections_per_s" => facts.rejection_limit.map(|l| l.to_string()));
    }
}

/// Records that a target is down: nothing listens at its address, or another target has the address.
pub(super) fn on_connection_refused(cx: &Gateway, id: &str, target: &TargetId) {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher.borrow_mut();
    dispatcher.on_connection_refused(now, target);
    info!(cx.log, "outage"; "id" => id, "target" => %target, "refused" => true);
}

/// Records that a connection broke before the answer to a call that was sent on it at `sent`.
fn on_connection_broke(cx: &Gateway, id: &str, target: &TargetId, sent: Instant) {
    let now = cx.now();
    let after = now.since(sent);
    let mut dispatcher = cx.dispatcher.borrow_mut();
    dispatcher.withdrawals.on_broke(now, target);
    let outages = &mut dispatcher.health.outages;
    if outages.on_broke(now, target.into(), after) {
        info!(cx.log, "outage"; "id" => id, "target" => %target,
            "broke_after_ms" => after.as_millis() as u64);
    }
}

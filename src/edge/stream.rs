//! Calls whose answer is a stream of events. Each event is passed on once, as it arrives. If the stream
//! breaks off, it is resumed at another target if the route allows it.

use std::{rc::Rc, time::Duration};

use hyper::{Response, StatusCode, header::CONTENT_LENGTH, http::response};

use super::{
    attempt::{AttemptFailure, Call, send},
    attempt_end::AttemptEnd,
    body::{AnswerBody, CollectedBody},
    call::{silence_timeout, strip_connection_headers, take_retry},
    call_end::{CallEnd, CallGuard, finish_response, give_up, pass_on},
    event_queue::EventSender,
    event_source::{Comments, Event, EventSource, Next},
    gateway::Gateway,
    overlap::{self, Beginning, Start},
    read_body,
    sent_call::{SentCall, StartedAnswer},
    stream_origins, task,
    unanswered::{CallStage, EndedBy},
};
use crate::{ResultCode, retry::Execution, units::Instant};

/// Multiple of the route's latency goal that a stream waits for its first event before another target is
/// tried as well. Waiting a little costs less than reading the prompt again there.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 1.2;

/// Multiple of the route's goal for the pause between events that a target may be silent before another one
/// is asked to resume the stream.
const GAP_TIMEOUT_FACTOR: f64 = 2.0;

/// Minimum time that a target may be silent, before the first event and between events.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Serves a call whose answer is a stream. If the last attempt fails or a stop has no time left, an error response that a
/// target sent earlier is returned.
pub(super) async fn serve(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: CallGuard,
) -> Response<AnswerBody> {
    let mut last_error = None;
    let mut previous = None;
    loop {
        let begun = tokio::select! {
            biased;
            begun = begin(cx, &mut call) => begun,
            () = cx.until_time_is_up() => Err(AttemptFailure::not_sent(AttemptEnd::Stopping)),
        };
        if matches!(&begun, Err(failed) if failed.end == AttemptEnd::Stopping) {
            call.attempts.on_given_up();
        }
        let failed = match begun {
            Ok(AnswerStart::Stream(head, source, first)) => {
                return relay(cx, call, call_guard, head, source, first);
            }
            Ok(AnswerStart::Whole(head, body)) if may_replace(&call, &head) => {
                last_error = Some((head, body));
                AttemptFailure::target_error()
            }
            Ok(AnswerStart::Whole(head, body)) => {
                return pass_on(cx, &call_guard, &call, (head, body));
            }
            Err(failed) => failed,
        };
        if !take_retry(cx, &call, failed) {
            return match last_error {
                Some(answer) => pass_on(cx, &call_guard, &call, answer),
                None => give_up(cx, &call_guard, &call, failed.or_previous(previous)),
            };
        }
        previous = Some(failed);
    }
}

/// Start of a target's answer.
enum AnswerStart {
    /// The first event has arrived, and more follow.
    Stream(response::Parts, Box<EventSource>, Event),
    /// The answer is complete: an error response of the target, or a stream without events.
    Whole(response::Parts, CollectedBody),
}

impl Start for AnswerStart {
    fn is_error(&self) -> bool {
        matches!(self, Self::Whole(head, _) if head.status.is_server_error())
    }
}

/// Returns whether another target may be tried instead of an error response of a target.
fn may_replace(call: &Call, head: &response::Parts) -> bool {
    let may_retry = (call.attempts).may_retry(call.route.kind, call.route.max_attempts);
    head.status.is_server_error() && may_retry
}

/// Makes one attempt and waits for its first event. If the target is silent, others are tried beside it.
fn begin<'a>(cx: &'a Rc<Gateway>, call: &'a mut Call) -> Beginning<'a, AnswerStart> {
    Box::pin(async move {
        let sent = send(cx, call).await?;
        let silent_at =
            cx.now() + silence_timeout(call, FIRST_EVENT_TIMEOUT_FACTOR, MIN_EVENT_TIMEOUT);
        let last = call.plan.progress.last_event();
        let first = Box::pin(read_start(Rc::clone(cx), sent, last));
        let start = overlap::first_start(cx, call, first, silent_at, begin).await?;
        if matches!(start, AnswerStart::Whole(..)) {
            call.attempts.on_attempt_end(Execution::Ran);
        }
        Ok(start)
    })
}

/// Reads the start of an answer up to the first event after `last`.
async fn read_start(
    cx: Rc<Gateway>,
    sent: SentCall,
    last: Option<u64>,
) -> Result<AnswerStart, AttemptFailure> {
    let (received, deadline) = (sent.received, sent.deadline);
    let account = sent.account.clone();
    let StartedAnswer {
        mut head,
        body,
        is_cut_if_empty,
        facts,
        conn,
        guard,
    } = sent.head(Rc::clone(&cx)).await?;
    strip_connection_headers(&mut head.headers);
    if !head.status.is_success() {
        let reading = read_body::read_answer(body, is_cut_if_empty, &account);
        let read = cx.clock.timeout_at(deadline, reading).await;
        guard.end(match head.status.is_server_error() {
            true => AttemptEnd::TargetError,
            false => AttemptEnd::Answered,
        });
        return match read {
            Some(Ok(body)) => Ok(AnswerStart::Whole(head, body)),
            _ => Err(AttemptFailure::target_error()),
        };
    }
    head.headers.remove(CONTENT_LENGTH);
    let mut source = Box::new(EventSource::new(body, account.clone(), conn, guard, facts));
    // Comments do not begin the answer: until its first event, another target may still take the call.
    let first = source.next_after(&cx, last, deadline, Comments::Drop);
    match first.await {
        Next::Event(event) => {
            source.guard.on_first_event();
            cx.metrics.on_first_event(cx.now().since(received));
            Ok(AnswerStart::Stream(head, source, event))
        }
        Next::End if is_cut_if_empty => Err(source.on_broken(AttemptEnd::AnswerTruncated)),
        Next::End => {
            source.on_complete(&cx).await;
            let nothing = account.hold_nothing();
            Ok(AnswerStart::Whole(head, CollectedBody::empty(nothing)))
        }
        Next::Broken(end) => Err(source.on_broken(end)),
    }
}

/// Returns the response with its head, and passes events on in a separate task.
fn relay(
    cx: &Rc<Gateway>,
    call: Call,
    call_guard: CallGuard,
    head: response::Parts,
    source: Box<EventSource>,
    first: Event,
) -> Response<AnswerBody> {
    let (tx, body) = AnswerBody::events();
    let res = finish_response(cx, &call_guard, Response::from_parts(head, body));
    let cx_task = Rc::clone(cx);
    call.progress.reach(CallStage::Answering);
    task::spawn(cx, "answer", async move {
        tokio::select! {
            biased;
            () = tx.closed() => {}
            () = forward_events(&cx_task, call, &call_guard, source, first, tx) => {}
        }
    });
    res
}

async fn forward_events(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: &CallGuard,
    mut source: Box<EventSource>,
    first: Event,
    tx: EventSender,
) {
    let mut event = first;
    let mut heard_at = cx.now();
    call.attempts.on_response_started();
    let origin = stream_origins::on_begun(cx, &call, &source.guard.ticket.target);
    loop {
        if let Some(id) = event.id {
            call.plan.progress.on_event(id, origin);
        }
        // A caller that still has events to read needs no comment to keep its connection open.
        match event.is_comment && !tx.is_empty() {
            true => event.bytes.discard(),
            false if tx.send(event.bytes).is_err() => return,
            false => {}
        }
        if !event.is_comment {
            heard_at = cx.now();
        }
        let step = match next_step(cx, &mut call, source, heard_at).await {
            Err(failed) => resume(cx, &mut call, failed).await,
            step => step,
        };
        match step {
            Ok(Step::Event(from, next)) => (source, event) = (from, next),
            Ok(Step::End(source)) => {
                call.answer.on_complete();
                // A planned stop cuts off no answer that is still being read, so the call ends with it.
                let delivery = async {
                    call.answer.drained().await;
                    call_guard.record_end(CallEnd::answered(StatusCode::OK), call.attempts);
                    tx.end();
                };
                futures::join!(source.on_complete(cx), delivery);
                return;
            }
            Err(failed) => {
                let end = CallEnd {
                    status: 200,
                    ended_by: Some(EndedBy::Answer),
                    ..CallEnd::failed(ResultCode::Incomplete, failed.end.name())
                };
                call_guard.record_end(end, call.attempts);
                return;
            }
        }
    }
}

/// How a stream that has begun goes on.
enum Step {
    /// Its next event, and the target that sends it.
    Event(Box<EventSource>, Event),
    /// The answer is complete.
    End(Box<EventSource>),
}

impl Start for Step {
    fn is_error(&self) -> bool {
        false
    }
}

/// Waits for the next event. If the target has sent none since `heard_at` for too long, others are tried beside it.
/// Comments are returned until then.
async fn next_step(
    cx: &Rc<Gateway>,
    call: &mut Call,
    mut source: Box<EventSource>,
    heard_at: Instant,
) -> Result<Step, AttemptFailure> {
    let last = call.plan.progress.last_event();
    let until = (heard_at + call.route.max_silence).min(call.deadline);
    let silent_at = call.route.gap_goal.map_or(until, |gap| {
        let timeout = gap.mul_f64(GAP_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT);
        until.min(heard_at + timeout)
    });
    let next = source.next_after(cx, last, silent_at, Comments::Return);
    let next = next.await;
    if !matches!(next, Next::Broken(AttemptEnd::Silent)) || silent_at >= until {
        return to_step(source, next);
    }
    let cx_first = Rc::clone(cx);
    let first = Box::pin(async move {
        let next = source.next_after(&cx_first, last, until, Comments::Drop);
        let next = next.await;
        to_step(source, next)
    });
    overlap::first_start(cx, call, first, silent_at, continue_elsewhere).await
}

fn to_step(mut source: Box<EventSource>, next: Next) -> Result<Step, AttemptFailure> {
    match next {
        Next::Event(event) => {
            if !event.is_comment {
                source.guard.on_event();
            }
            Ok(Step::Event(source, event))
        }
        Next::End => Ok(Step::End(source)),
        Next::Broken(end) => Err(source.on_broken(end)),
    }
}

/// Resumes a stream that broke off at another target.
async fn resume(
    cx: &Rc<Gateway>,
    call: &mut Call,
    mut failed: AttemptFailure,
) -> Result<Step, AttemptFailure> {
    call.attempts.on_attempt_end(failed.execution);
    while take_retry(cx, call, failed) {
        failed = match continue_elsewhere(cx, call).await {
            Err(failed) => failed,
            step => return step,
        };
    }
    Err(failed)
}

/// Makes one attempt to continue a stream after the last event that the caller has.
fn continue_elsewhere<'a>(cx: &'a Rc<Gateway>, call: &'a mut Call) -> Beginning<'a, Step> {
    Box::pin(async move {
        let last = call.plan.progress.last_event();
        match begin(cx, call).await? {
            AnswerStart::Stream(_, source, event) if event.may_follow(last) => {
                cx.metrics.streams.resumed.inc();
                Ok(Step::Event(source, event))
            }
            AnswerStart::Whole(head, _) if may_replace(call, &head) => {
                Err(AttemptFailure::target_error())
            }
            _ => Err(AttemptFailure {
                execution: Execution::Ran,
                end: AttemptEnd::NotContinued,
                is_final: true,
            }),
        }
    })
}

//! Calls whose answer is a stream of events. Each event is passed on once, as it arrives. If the stream
//! breaks off, it is resumed at another target if the route allows it.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, http::response};

use super::{
    attempt::{AttemptFailure, Call, StartedAnswer, attempt},
    attempt_end::AttemptEnd,
    attempt_guard::AttemptGuard,
    body::{AnswerBody, CollectedBody, EventSender, StreamPart},
    call::{
        attempt_timeout, has_retry_budget, return_to_pool, strip_connection_headers, take_retry,
    },
    call_end::{CallEnd, CallGuard, finish_response, give_up, pass_on},
    flow::{AnswerAccount, HeldCount, OfferedBytes},
    gateway::Gateway,
    read_body, stream_origins, task,
    unanswered::{CallStage, EndedBy},
};
use crate::{ResultCode, event_stream::EventSplitter, retry::Execution, units::Instant};

/// Multiple of the route's latency goal that a resumable stream waits for its first event before the
/// call is sent to another target. Waiting a little costs less than reading the prompt again there.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 1.2;

/// Multiple of the route's goal for the pause between events that a target may be silent before the
/// stream is resumed at another target.
const GAP_TIMEOUT_FACTOR: f64 = 2.0;

/// Minimum time that a target may be silent, before the first event and between events.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads one target's stream, as complete events in order.
struct EventSource {
    body: Incoming,
    splitter: EventSplitter,
    answer: AnswerAccount,
    /// Count of the bytes in `splitter`.
    count: HeldCount,
    conn: super::conn::Conn,
    guard: AttemptGuard,
    facts: crate::dialect::ResponseInfo,
}

/// A complete event that the caller can read.
struct Event {
    id: Option<u64>,
    bytes: OfferedBytes,
}

/// Next item of a target's stream.
enum Next {
    Event(Event),
    /// The answer is complete.
    End,
    /// The stream broke off, or the target was silent for too long.
    Broken(AttemptEnd),
}

impl EventSource {
    async fn next(&mut self, cx: &Gateway, until: Instant) -> Next {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    let bytes = self.count.offer(event.bytes);
                    return Next::Event(Event {
                        id: event.id,
                        bytes,
                    });
                }
                Ok(None) => {}
                Err(_) => return Next::Broken(AttemptEnd::EventTooLarge),
            }
            let frame = self.body.frame();
            match cx.clock.timeout_at(until, frame).await {
                None => return Next::Broken(AttemptEnd::Silent),
                Some(Some(Err(_))) => return Next::Broken(AttemptEnd::AnswerTruncated),
                Some(Some(Ok(frame))) => {
                    let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
                    self.count.add(self.answer.hold(data.len()).await);
                    self.splitter.push(data);
                }
                Some(None) if self.splitter.has_incomplete_event() => {
                    return Next::Broken(AttemptEnd::EventTruncated);
                }
                Some(None) => return Next::End,
            }
        }
    }
}

/// Serves a call whose answer is a stream.
pub(super) async fn serve(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: CallGuard,
) -> Response<AnswerBody> {
    let mut previous = None;
    loop {
        let failed = match begin(cx, &mut call).await {
            Ok(AnswerStart::Stream(head, source, first)) => {
                return relay(cx, call, call_guard, head, source, first);
            }
            Ok(AnswerStart::Whole(head, body)) => {
                return pass_on(cx, &call_guard, &call, (head, body));
            }
            Err(failed) => failed,
        };
        if !take_retry(cx, &call, failed) {
            return give_up(cx, &call_guard, &call, failed.or_previous(previous));
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

/// Makes one attempt and waits for its first event.
async fn begin(cx: &Rc<Gateway>, call: &mut Call) -> Result<AnswerStart, AttemptFailure> {
    let timeout = attempt_timeout(cx, call, FIRST_EVENT_TIMEOUT_FACTOR, MIN_EVENT_TIMEOUT);
    let until = (cx.now() + timeout).min(call.deadline);
    let started_answer = attempt(cx, call, timeout).await?;
    let StartedAnswer {
        mut head,
        body,
        facts,
        conn,
        guard,
    } = started_answer;
    strip_connection_headers(&mut head.headers);
    if !head.status.is_success() {
        return read_failure(cx, call, head, body, guard).await;
    }
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let mut source = Box::new(EventSource {
        body,
        splitter: EventSplitter::default(),
        answer: call.answer.clone(),
        count: call.answer.hold_nothing(),
        conn,
        guard,
        facts,
    });
    match next_unsent(cx, &mut source, call.plan.progress.last_event(), until).await {
        Next::Event(event) => {
            source.guard.on_first_event();
            cx.metrics.on_first_event(cx.now().since(call.received));
            Ok(AnswerStart::Stream(head, source, event))
        }
        Next::End => {
            let EventSource {
                conn, guard, facts, ..
            } = *source;
            guard.end(AttemptEnd::Answered);
            return_to_pool(cx, conn, &facts).await;
            call.attempts.on_attempt_end(Execution::Ran);
            let nothing = call.answer.hold_nothing();
            Ok(AnswerStart::Whole(head, CollectedBody::empty(nothing)))
        }
        Next::Broken(end) => {
            source.guard.end(end);
            call.attempts.on_attempt_end(Execution::MayHaveRun);
            Err(AttemptFailure {
                execution: Execution::MayHaveRun,
                end,
                is_final: false,
            })
        }
    }
}

/// Reads the body of a response that is not a success. A server error fails the attempt if the call may
/// be sent to another target.
async fn read_failure(
    cx: &Gateway,
    call: &mut Call,
    head: response::Parts,
    body: Incoming,
    place: AttemptGuard,
) -> Result<AnswerStart, AttemptFailure> {
    call.attempts.on_attempt_end(Execution::Ran);
    let reading = read_body::read_answer(body, &call.answer);
    let read = cx.clock.timeout_at(call.deadline, reading).await;
    let is_error = head.status.is_server_error();
    place.end(match is_error {
        true => AttemptEnd::TargetError,
        false => AttemptEnd::Answered,
    });
    let may_retry = is_error
        && call
            .attempts
            .may_retry(call.route.kind, call.route.max_attempts);
    match read {
        Some(Ok(body)) if !may_retry => Ok(AnswerStart::Whole(head, body)),
        _ => Err(AttemptFailure {
            execution: Execution::Ran,
            end: AttemptEnd::TargetError,
            is_final: false,
        }),
    }
}

fn gap_timeout(cx: &Gateway, call: &Call) -> Duration {
    let may_follow = call.attempts.sent() < call.route.max_attempts && has_retry_budget(cx, call);
    match call.route.gap_goal {
        Some(gap) if call.route.kind.is_resumable() && may_follow => {
            gap.mul_f64(GAP_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT)
        }
        _ => call.route.max_silence,
    }
}

/// Returns the next event that the caller does not have yet.
async fn next_unsent(
    cx: &Gateway,
    source: &mut EventSource,
    last: Option<u64>,
    until: Instant,
) -> Next {
    loop {
        match source.next(cx, until).await {
            Next::Event(event) if event.id.is_some() && event.id <= last => {}
            next => return next,
        }
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
        let events_tx = tx.clone();
        tokio::select! {
            biased;
            () = events_tx.closed() => {}
            () = forward_events(&cx_task, call, &call_guard, *source, first, tx) => {}
        }
    });
    res
}

async fn forward_events(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: &CallGuard,
    mut source: EventSource,
    first: Event,
    tx: EventSender,
) {
    let mut event = first;
    call.attempts.on_response_started();
    if !call.plan.progress.is_begun() {
        stream_origins::on_begun(cx, &call, &source.guard.ticket.target);
    }
    loop {
        if let Some(id) = event.id {
            call.plan.progress.on_event(id, &source.guard.ticket.target);
        }
        if tx.send(StreamPart::Events(event.bytes)).is_err() {
            return;
        }
        let until = (cx.now() + gap_timeout(cx, &call)).min(call.deadline);
        event = match next_unsent(cx, &mut source, call.plan.progress.last_event(), until).await {
            Next::Event(event) => {
                source.guard.on_event();
                event
            }
            Next::End => {
                let EventSource {
                    conn, guard, facts, ..
                } = source;
                guard.end(AttemptEnd::Answered);
                call.answer.on_complete();
                // A planned stop cuts off no answer that is still being read, so the call ends with it.
                let delivery = async {
                    call.answer.drained().await;
                    call_guard.record_end(CallEnd::answered(StatusCode::OK), call.attempts);
                    // If the caller has left, nothing more has to be done.
                    let _ = tx.send(StreamPart::End);
                };
                futures::join!(return_to_pool(cx, conn, &facts), delivery);
                return;
            }
            Next::Broken(end) => match resume(cx, &mut call, source, end).await {
                Ok((next, event)) => {
                    cx.metrics.streams.resumed.inc();
                    source = next;
                    event
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
            },
        };
    }
}

/// Resumes the stream at another target after the last event that the caller has.
async fn resume(
    cx: &Rc<Gateway>,
    call: &mut Call,
    broken: EventSource,
    end: AttemptEnd,
) -> Result<(EventSource, Event), AttemptFailure> {
    broken.guard.end(end);
    // The connection is closed before the next attempt, so that the first target stops its run.
    drop(broken.conn);
    call.attempts.on_attempt_end(Execution::MayHaveRun);
    let mut failed = AttemptFailure {
        execution: Execution::MayHaveRun,
        end,
        is_final: false,
    };
    while take_retry(cx, call, failed) {
        failed = match begin(cx, call).await {
            Ok(AnswerStart::Stream(_, source, event))
                if may_follow(call.plan.progress.last_event(), &event) =>
            {
                return Ok((*source, event));
            }
            Ok(_) => AttemptFailure {
                execution: Execution::Ran,
                end: AttemptEnd::NotContinued,
                is_final: true,
            },
            Err(failed) => failed,
        };
    }
    Err(failed)
}

/// Returns whether an event of another run may directly follow the last one.
fn may_follow(last: Option<u64>, event: &Event) -> bool {
    match (last, event.id) {
        (Some(last), Some(id)) => id > last,
        _ => false,
    }
}

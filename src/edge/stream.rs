//! A call whose answer comes as events: passed on as they come, gone on with elsewhere where the
//! route allows it, each event exactly once.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, http::response};

use super::{
    attempt::{Begun, Call, Failed, attempt},
    attempt_end::AttemptEnd,
    body::{AnswerBody, BrokeOff, EventSender},
    call::{keep, may_repeat, patience, strip_connection_headers},
    ending::{End, Ending, finish, give_up, pass_on},
    gateway::Gateway,
    place::Place,
};
use crate::{
    ResultCode,
    event_stream::{Event, EventSplitter},
    retry::Execution,
    units::Instant,
};

/// How many times the goal a stream that may be resumed waits for its first event before another
/// target is asked: reading the prompt again there costs more than waiting a little.
const FIRST_PATIENCE: f64 = 1.2;

/// How many times the longest pause that is in time a target may be silent between events before
/// the stream is gone on with elsewhere.
const GAP_PATIENCE: f64 = 2.0;

/// The least time that a silent target gets.
const LEAST_PATIENCE: Duration = Duration::from_millis(600);

/// Events of one target, in order and whole.
struct Source {
    body: Incoming,
    splitter: EventSplitter,
    conn: super::conn::Conn,
    place: Place,
    facts: crate::dialect::AnswerFacts,
}

/// What comes next from a target.
enum Next {
    Event(Event),
    /// The answer is complete.
    End,
    /// It broke off, or was silent for too long.
    Broken(AttemptEnd),
}

impl Source {
    async fn next(&mut self, cx: &Gateway, until: Instant) -> Next {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => return Next::Event(event),
                Ok(None) => {}
                Err(_) => return Next::Broken(AttemptEnd::EventTooLarge),
            }
            let frame = self.body.frame();
            match cx.clock.timeout_at(until, frame).await {
                None => return Next::Broken(AttemptEnd::Silent),
                Some(Some(Err(_))) => return Next::Broken(AttemptEnd::AnswerBrokeOff),
                Some(Some(Ok(frame))) => {
                    let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
                    self.splitter.push(data);
                }
                Some(None) if self.splitter.has_rest() => {
                    return Next::Broken(AttemptEnd::EventCutOff);
                }
                Some(None) => return Next::End,
            }
        }
    }
}

/// Serves a call for a stream.
pub(super) async fn serve(
    cx: &Rc<Gateway>,
    mut call: Call,
    ending: Ending,
) -> Response<AnswerBody> {
    let mut before = None;
    loop {
        let failed = match begin(cx, &mut call).await {
            Ok(Beginning::Stream(head, source, first)) => {
                return relay(cx, call, ending, head, source, first);
            }
            Ok(Beginning::Whole(head, bytes)) => {
                return pass_on(cx, &ending, &call, (head, bytes));
            }
            Err(failed) => failed,
        };
        if !may_repeat(cx, &call, failed) {
            return give_up(cx, &ending, &call, failed.after(before));
        }
        before = Some(failed);
    }
}

/// How a target's answer began.
enum Beginning {
    /// With an event; more follow.
    Stream(response::Parts, Box<Source>, Event),
    /// It is complete: a failure of the target's own, or a stream without events.
    Whole(response::Parts, bytes::Bytes),
}

/// Makes attempts until one brings its first event.
async fn begin(cx: &Rc<Gateway>, call: &mut Call) -> Result<Beginning, Failed> {
    let patience = patience(cx, call, FIRST_PATIENCE, LEAST_PATIENCE);
    let until = (cx.now() + patience).min(call.hold_until);
    let begun = attempt(cx, call, patience).await?;
    let Begun {
        mut head,
        body,
        facts,
        conn,
        place,
    } = begun;
    strip_connection_headers(&mut head.headers);
    if !head.status.is_success() {
        return whole_failure(cx, call, head, body, place).await;
    }
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let mut source = Box::new(Source {
        body,
        splitter: EventSplitter::default(),
        conn,
        place,
        facts,
    });
    match next_new(cx, &mut source, call.last_event, until).await {
        Next::Event(event) => {
            source.place.on_first_event();
            cx.metrics.on_first_event(cx.now().since(call.received));
            Ok(Beginning::Stream(head, source, event))
        }
        Next::End => {
            let Source {
                conn, place, facts, ..
            } = *source;
            place.end(AttemptEnd::Answered);
            keep(cx, conn, &facts).await;
            call.attempts.on_attempt_end(Execution::Ran);
            Ok(Beginning::Whole(head, bytes::Bytes::new()))
        }
        Next::Broken(end) => {
            source.place.end(end);
            call.attempts.on_attempt_end(Execution::MayHaveRun);
            Err(Failed {
                fate: Execution::MayHaveRun,
                end,
                nowhere: false,
            })
        }
    }
}

/// A target's own failure, read whole; repeated elsewhere where that is allowed.
async fn whole_failure(
    cx: &Gateway,
    call: &mut Call,
    head: response::Parts,
    body: Incoming,
    place: Place,
) -> Result<Beginning, Failed> {
    call.attempts.on_attempt_end(Execution::Ran);
    let read = cx.clock.timeout_at(call.hold_until, body.collect()).await;
    let is_error = head.status.is_server_error();
    place.end(match is_error {
        true => AttemptEnd::TargetError,
        false => AttemptEnd::Answered,
    });
    let again = is_error
        && call
            .attempts
            .may_retry(call.route.kind, call.route.max_attempts);
    match read {
        Some(Ok(bytes)) if !again => Ok(Beginning::Whole(head, bytes.to_bytes())),
        _ => Err(Failed {
            fate: Execution::Ran,
            end: AttemptEnd::TargetError,
            nowhere: false,
        }),
    }
}

fn gap_patience(call: &Call) -> Duration {
    let more = call.attempts.sent() < call.route.max_attempts;
    match call.route.gap_goal {
        Some(gap) if call.route.kind.is_resumable() && more => {
            gap.mul_f64(GAP_PATIENCE).max(LEAST_PATIENCE)
        }
        _ => call.route.max_silence,
    }
}

/// The next event that the caller does not have.
async fn next_new(cx: &Gateway, source: &mut Source, last: Option<u64>, until: Instant) -> Next {
    loop {
        match source.next(cx, until).await {
            Next::Event(event) if event.id.is_some() && event.id <= last => {}
            next => return next,
        }
    }
}

/// Sends the head, and goes on passing events in a task of its own.
fn relay(
    cx: &Rc<Gateway>,
    call: Call,
    ending: Ending,
    head: response::Parts,
    source: Box<Source>,
    first: Event,
) -> Response<AnswerBody> {
    let (tx, body) = AnswerBody::events();
    let res = finish(cx, &ending, Response::from_parts(head, body));
    let cx_task = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        let gone = tx.clone();
        tokio::select! {
            biased;
            () = gone.closed() => {}
            () = pass_events(&cx_task, call, &ending, *source, first, tx) => {}
        }
    });
    res
}

async fn pass_events(
    cx: &Rc<Gateway>,
    mut call: Call,
    ending: &Ending,
    mut source: Source,
    first: Event,
    tx: EventSender,
) {
    let mut event = first;
    call.attempts.on_response_started();
    loop {
        call.last_event = event.id.or(call.last_event);
        if tx.send(Ok(event.bytes)).await.is_err() {
            return;
        }
        let until = (cx.now() + gap_patience(&call)).min(call.hold_until);
        event = match next_new(cx, &mut source, call.last_event, until).await {
            Next::Event(event) => {
                source.place.on_event();
                event
            }
            Next::End => {
                let Source {
                    conn, place, facts, ..
                } = source;
                place.end(AttemptEnd::Answered);
                ending.tell(End::answered(StatusCode::OK), call.attempts);
                drop(tx);
                keep(cx, conn, &facts).await;
                return;
            }
            Next::Broken(end) => match go_on(cx, &mut call, source, end).await {
                Ok((next, event)) => {
                    source = next;
                    event
                }
                Err(failed) => {
                    let end = End {
                        status: 200,
                        ..End::coded(ResultCode::Incomplete, failed.end.name())
                    };
                    ending.tell(end, call.attempts);
                    // The caller may be gone as well; then nobody needs the end.
                    let _ = tx.send(Err(BrokeOff)).await;
                    return;
                }
            },
        };
    }
}

/// Goes on at another target after the last event that the caller has.
async fn go_on(
    cx: &Rc<Gateway>,
    call: &mut Call,
    broken: Source,
    end: AttemptEnd,
) -> Result<(Source, Event), Failed> {
    broken.place.end(end);
    // The connection is closed before the next attempt, so that the first target stops.
    drop(broken.conn);
    call.attempts.on_attempt_end(Execution::MayHaveRun);
    let mut failed = Failed {
        fate: Execution::MayHaveRun,
        end,
        nowhere: false,
    };
    while may_repeat(cx, call, failed) {
        failed = match begin(cx, call).await {
            Ok(Beginning::Stream(_, source, event)) if follows(call.last_event, &event) => {
                return Ok((*source, event));
            }
            Ok(_) => Failed {
                fate: Execution::Ran,
                end: AttemptEnd::DoesNotFollow,
                nowhere: true,
            },
            Err(failed) => failed,
        };
    }
    Err(failed)
}

/// Whether an event of another run may come right after the last one.
fn follows(last: Option<u64>, event: &Event) -> bool {
    match (last, event.id) {
        (Some(last), Some(id)) => id > last,
        _ => false,
    }
}

//! Reads a target's stream.

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    attempt::AttemptFailure,
    attempt_end::AttemptEnd,
    attempt_guard::AttemptGuard,
    call::return_to_pool,
    conn::Conn,
    flow::{AnswerAccount, HeldCount, OfferedBytes},
    gateway::Gateway,
};
use crate::{dialect::ResponseInfo, event_stream::EventSplitter, units::Instant};

/// Reads one target's stream, as complete events in order.
pub(super) struct EventSource {
    body: Incoming,
    splitter: EventSplitter,
    answer: AnswerAccount,
    /// Count of the bytes in `splitter`.
    count: HeldCount,
    conn: Conn,
    pub(super) guard: AttemptGuard,
    facts: ResponseInfo,
}

/// A complete event that the caller can read.
pub(super) struct Event {
    pub(super) id: Option<u64>,
    /// Whether callers ignore it.
    pub(super) is_comment: bool,
    pub(super) bytes: OfferedBytes,
}

/// What becomes of comments between events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Comments {
    /// They are returned as events are.
    Return,
    /// They are dropped.
    Drop,
}

impl Event {
    /// Returns whether the event may directly follow the last one if another run made that.
    pub(super) fn may_follow(&self, last: Option<u64>) -> bool {
        match (last, self.id) {
            (Some(last), Some(id)) => id > last,
            _ => false,
        }
    }
}

/// Next item of a target's stream.
pub(super) enum Next {
    Event(Event),
    /// The answer is complete.
    End,
    /// The stream broke off, or the target was silent for too long.
    Broken(AttemptEnd),
}

impl EventSource {
    /// Creates the reader of the body of an answer.
    pub(super) fn new(
        body: Incoming,
        answer: AnswerAccount,
        conn: Conn,
        guard: AttemptGuard,
        facts: ResponseInfo,
    ) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            count: answer.hold_nothing(),
            answer,
            conn,
            guard,
            facts,
        }
    }

    /// Returns the next event after `last`, which the caller has. It may be called again if the target was silent
    /// until `until`, or sent only what the caller ignores or has.
    pub(super) async fn next_after(
        &mut self,
        cx: &Gateway,
        last: Option<u64>,
        until: Instant,
        comments: Comments,
    ) -> Next {
        let answer = self.answer.clone();
        let next = async {
            loop {
                match self.next(cx, until).await {
                    Next::Event(event) if event.is_comment => match comments {
                        _ if cx.now() >= until => {
                            event.bytes.discard();
                            return Next::Broken(AttemptEnd::Silent);
                        }
                        Comments::Return => return Next::Event(event),
                        Comments::Drop => event.bytes.discard(),
                    },
                    Next::Event(event) if event.id.is_some() && event.id <= last => {
                        event.bytes.discard();
                        if cx.now() >= until {
                            return Next::Broken(AttemptEnd::Silent);
                        }
                    }
                    next => return next,
                }
            }
        };
        tokio::select! {
            biased;
            () = answer.refused() => Next::Broken(AttemptEnd::NoRoomForAnswer),
            next = next => next,
        }
    }

    /// Ends the attempt whose answer is complete, and returns its connection to the pool.
    pub(super) async fn on_complete(self, cx: &Gateway) {
        self.guard.end(AttemptEnd::Answered);
        return_to_pool(cx, self.conn, &self.facts).await;
    }

    /// Ends the attempt, and closes the connection so that the target stops its run.
    pub(super) fn on_broken(self, end: AttemptEnd) -> AttemptFailure {
        self.guard.end(end);
        AttemptFailure {
            // What was refused for want of room would find none at another target either.
            is_final: end == AttemptEnd::NoRoomForAnswer,
            ..AttemptFailure::may_have_run(end)
        }
    }

    async fn next(&mut self, cx: &Gateway, until: Instant) -> Next {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    let bytes = self.count.offer(event.bytes);
                    return Next::Event(Event {
                        id: event.id,
                        is_comment: event.is_comment,
                        bytes,
                    });
                }
                Ok(None) => {}
                Err(_) => return Next::Broken(AttemptEnd::EventTooLarge),
            }
            let frame = self.body.frame();
            match cx.clock.timeout_at(until, frame).await {
                None => return Next::Broken(AttemptEnd::Silent),
                Some(Some(Err(e))) => {
                    let end = AttemptEnd::of_error(&e, AttemptEnd::AnswerTruncated);
                    return Next::Broken(end);
                }
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

//! Counts the bytes that are held for callers in [`crate::flow`], and closes the connections of callers that
//! are given up.
//!
//! Every count is released when its guard is dropped: with the bytes that were written, with the queue of a
//! connection that closed, or with the call.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    mem,
    rc::{Rc, Weak},
};

use bytes::{Buf, Bytes};
use slog::info;
use tokio::sync::Notify;

use super::{
    gateway::Gateway,
    unanswered::{CallStage, EndedBy},
};
use crate::{
    ResultCode,
    explain::Decision,
    flow::{AnswerId, Flow, FlowBounds, GiveUpReason, GivenUp, HoldVerdict},
    ids::ClientAccountId,
};

/// Connection of a caller, as far as a call may close it.
#[derive(Default)]
pub(crate) struct CallerConn {
    close: Notify,
    /// The latest answer on the connection.
    answer: Cell<Option<AnswerId>>,
    has_caller_left: Cell<bool>,
    has_unread_body: Cell<bool>,
}

impl CallerConn {
    /// Waits until the caller is given up.
    pub(crate) async fn given_up(&self) {
        self.close.notified().await;
    }

    /// Records that the caller closed the connection, or that it broke.
    pub(crate) fn on_caller_left(&self) {
        self.has_caller_left.set(true);
    }

    /// Returns whether the caller closed the connection, or it broke.
    pub(crate) fn has_left(&self) -> bool {
        self.has_caller_left.get()
    }

    /// Records that a request was refused before its body was read, so that the connection can't be kept.
    pub(crate) fn on_body_refused(&self) {
        self.has_unread_body.set(true);
    }

    /// Returns whether the connection ends with a request whose body was not read.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Returns what ends the call on the connection if it is dropped now.
    pub(crate) fn ended_by(&self) -> EndedBy {
        match () {
            () if std::thread::panicking() => EndedBy::Panic,
            () if self.has_caller_left.get() => EndedBy::Caller,
            () => EndedBy::Router,
        }
    }
}

/// What a router holds for its callers.
pub(crate) struct FlowControl {
    flow: RefCell<Flow>,
    answers: RefCell<HashMap<AnswerId, Weak<AnswerState>>>,
    /// Wakes answers that wait until bytes are released.
    released: Notify,
}

impl FlowControl {
    /// Creates the control of a router that holds nothing.
    pub(crate) fn new(bounds: FlowBounds) -> Self {
        Self {
            flow: RefCell::new(Flow::new(bounds)),
            answers: RefCell::default(),
            released: Notify::new(),
        }
    }

    /// Returns a view of what is held.
    pub(crate) fn with_flow<T>(&self, view: impl FnOnce(&Flow) -> T) -> T {
        view(&self.flow.borrow())
    }

    fn release(&self, id: AnswerId, n: usize, offered: usize) {
        self.flow.borrow_mut().release(id, n, offered);
        self.released.notify_waiters();
    }
}

/// State of one answer, shared by everything that holds a part of it.
struct AnswerState {
    cx: Rc<Gateway>,
    id: AnswerId,
    call: String,
    conn: Rc<CallerConn>,
    given_up: Cell<Option<GiveUpReason>>,
    /// Whether the answer is refused for want of room.
    is_refused: Cell<bool>,
    /// Wakes the attempts of a call whose answer is refused.
    refused: Notify,
    /// Whether the end of the call is recorded: a plain call ends before its caller has read the answer.
    is_call_ended: Cell<bool>,
    /// Whether the call ended with a complete answer.
    is_answered: Cell<bool>,
    /// Whether bytes were dropped before the caller's socket took them.
    is_cut: Cell<bool>,
    /// Wakes the call that waits until nothing of its answer is held any more.
    drained: Notify,
}

impl Drop for AnswerState {
    fn drop(&mut self) {
        let flow = &self.cx.flow;
        flow.flow.borrow_mut().close(self.id);
        flow.answers.borrow_mut().remove(&self.id);
        if self.is_answered.get() && self.is_cut.get() {
            let (stage, by) = (CallStage::Answering, self.conn.ended_by());
            self.cx.metrics.unanswered.on_end(stage, by);
            info!(self.cx.log, "answer cut off"; "id" => &self.call, "stage" => stage.name(), "ended_by" => by.name());
        }
    }
}

/// Account of the bytes that are held for the answer to one call.
#[derive(Clone)]
pub(crate) struct AnswerAccount(Rc<AnswerState>);

impl AnswerAccount {
    /// Opens the account of a call's answer: a stream, or an answer that is read completely before it is
    /// passed on.
    pub(crate) fn open(
        cx: &Rc<Gateway>,
        call: &str,
        conn: &Rc<CallerConn>,
        account: Option<&ClientAccountId>,
        is_stream: bool,
    ) -> Self {
        let id = cx.flow.flow.borrow_mut().open(account, is_stream);
        conn.answer.set(Some(id));
        let state = Rc::new(AnswerState {
            cx: Rc::clone(cx),
            id,
            call: call.to_owned(),
            conn: Rc::clone(conn),
            given_up: Cell::new(None),
            is_refused: Cell::new(false),
            refused: Notify::new(),
            is_call_ended: Cell::new(false),
            is_answered: Cell::new(false),
            is_cut: Cell::new(false),
            drained: Notify::new(),
        });
        let mut answers = cx.flow.answers.borrow_mut();
        answers.insert(id, Rc::downgrade(&state));
        Self(state)
    }

    /// Returns why the caller was given up, if it was.
    pub(crate) fn given_up(&self) -> Option<GiveUpReason> {
        self.0.given_up.get()
    }

    /// Handles the recorded end of the call: whether its answer is complete.
    pub(crate) fn on_call_end(&self, is_answered: bool) {
        self.0.is_call_ended.set(true);
        self.0.is_answered.set(is_answered);
    }

    /// Counts `n` bytes that have arrived from a target, and gives up the callers that the bounds require.
    ///
    /// Waits while the bytes of callers that were given up are released. If this caller is itself given up,
    /// it does not return; its connection is being closed, which ends the call. If its answer has not begun, it
    /// waits until [`refused`](Self::refused) ends the attempt.
    pub(crate) async fn hold(&self, n: usize) -> HeldCount {
        let control = &self.0.cx.flow;
        loop {
            let released = control.released.notified();
            let verdict = control.flow.borrow_mut().hold(self.0.id, n);
            match verdict {
                HoldVerdict::Held => {
                    return HeldCount {
                        answer: self.clone(),
                        n,
                    };
                }
                HoldVerdict::Wait => {}
                HoldVerdict::GiveUp(callers) => give_up(&self.0.cx, &callers),
            }
            released.await;
        }
    }

    /// Waits until the answer is refused for want of room, of which its caller has got nothing.
    pub(crate) async fn refused(&self) {
        let refused = self.0.refused.notified();
        if !self.0.is_refused.get() {
            refused.await;
        }
    }

    /// Returns a count of no bytes.
    pub(crate) fn hold_nothing(&self) -> HeldCount {
        HeldCount {
            answer: self.clone(),
            n: 0,
        }
    }

    /// Records that the target has sent the complete answer.
    pub(crate) fn on_complete(&self) {
        let mut flow = self.0.cx.flow.flow.borrow_mut();
        flow.on_complete(self.0.id);
    }

    /// Waits until nothing of the answer is held: the caller's socket has taken all of it.
    pub(crate) async fn drained(&self) {
        loop {
            let drained = self.0.drained.notified();
            if self.0.cx.flow.with_flow(|f| f.held_of(self.0.id)) == 0 {
                return;
            }
            drained.await;
        }
    }

    fn release(&self, n: usize, offered: usize) {
        self.0.cx.flow.release(self.0.id, n, offered);
        self.0.drained.notify_waiters();
    }
}

/// Bytes of an answer that have arrived, and that the caller can't read yet.
pub(crate) struct HeldCount {
    answer: AnswerAccount,
    n: usize,
}

impl HeldCount {
    /// Adds another count of the same answer to this one.
    pub(crate) fn add(&mut self, mut other: Self) {
        self.n += std::mem::take(&mut other.n);
    }

    /// Makes bytes readable for the caller. They must be part of this count.
    pub(crate) fn offer(&mut self, bytes: Bytes) -> OfferedBytes {
        let n = bytes.len().min(self.n);
        self.n -= n;
        let state = &self.answer.0;
        state.cx.flow.flow.borrow_mut().offer(state.id, n);
        OfferedBytes {
            bytes,
            count: OfferedCount(Some((self.answer.clone(), n))),
        }
    }
}

impl Drop for HeldCount {
    fn drop(&mut self) {
        if self.n > 0 {
            self.answer.release(self.n, 0);
        }
    }
}

/// Count of bytes that the caller can read, with the answer that they belong to; `None` for a response of the router
/// itself.
#[derive(Default)]
pub(crate) struct OfferedCount(Option<(AnswerAccount, usize)>);

impl OfferedCount {
    /// Adds another count of the same answer to this one.
    pub(crate) fn add(&mut self, mut other: Self) {
        match (&mut self.0, other.0.take()) {
            (Some((_, n)), Some((_, added))) => *n += added,
            (count, Some(added)) => *count = Some(added),
            (_, None) => {}
        }
    }

    /// Removes the count of `n` bytes, and returns it.
    pub(crate) fn split(&mut self, n: usize) -> Self {
        Self(self.0.as_mut().map(|(answer, rest)| {
            let n = n.min(*rest);
            *rest -= n;
            (answer.clone(), n)
        }))
    }
}

impl Drop for OfferedCount {
    fn drop(&mut self) {
        if let Some((answer, n)) = self.0.take().filter(|(_, n)| *n > 0) {
            answer.release(n, n);
        }
    }
}

/// Bytes of a response body, held until they are written to the caller's socket.
pub(crate) struct OfferedBytes {
    bytes: Bytes,
    count: OfferedCount,
}

impl OfferedBytes {
    /// Creates bytes with their count.
    pub(crate) fn new(bytes: Bytes, count: OfferedCount) -> Self {
        Self { bytes, count }
    }

    /// Creates bytes of a response of the router itself, which are not counted.
    pub(crate) fn uncounted(bytes: Bytes) -> Self {
        Self::new(bytes, OfferedCount::default())
    }

    /// Drops bytes that are not owed to the caller. Dropping others cuts their answer off.
    pub(crate) fn discard(self) {
        let _ = self.into_parts();
    }

    /// Separates the bytes from their count.
    pub(crate) fn into_parts(mut self) -> (Bytes, OfferedCount) {
        (mem::take(&mut self.bytes), mem::take(&mut self.count))
    }

    /// Returns their number.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl Buf for OfferedBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, n: usize) {
        self.bytes.advance(n);
        if let Some((AnswerAccount(state), _)) = &self.count.0 {
            state.cx.flow.flow.borrow_mut().on_progress(state.id);
        }
    }
}

impl Drop for OfferedBytes {
    fn drop(&mut self) {
        if let Some((AnswerAccount(state), _)) = &self.count.0 {
            state
                .is_cut
                .set(state.is_cut.get() || self.bytes.has_remaining());
        }
    }
}

/// Bytes of a request body that are held until the call ends.
pub(crate) struct RequestCount {
    cx: Rc<Gateway>,
    n: usize,
}

/// Request bodies have reached their bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoomForRequest;

impl RequestCount {
    /// Starts the count of a request body of which `announced` bytes are announced, if they fit into the
    /// bound.
    pub(crate) fn start(cx: &Rc<Gateway>, announced: usize) -> Result<Self, NoRoomForRequest> {
        match cx.flow.with_flow(|f| f.has_room_for_request(announced)) {
            true => Ok(Self {
                cx: Rc::clone(cx),
                n: 0,
            }),
            false => Err(NoRoomForRequest),
        }
    }

    /// Counts `n` bytes that have arrived, if they fit into the bound.
    pub(crate) fn grow(&mut self, n: usize) -> Result<(), NoRoomForRequest> {
        match self.cx.flow.flow.borrow_mut().hold_request(n) {
            true => {
                self.n += n;
                Ok(())
            }
            false => Err(NoRoomForRequest),
        }
    }
}

impl Drop for RequestCount {
    fn drop(&mut self) {
        self.cx.flow.flow.borrow_mut().release_request(self.n);
    }
}

/// Gives up the callers that have read nothing for too long, and updates the metrics.
pub(super) fn on_tick(cx: &Gateway) {
    let now = cx.now();
    let callers = cx.flow.flow.borrow_mut().on_tick(now);
    give_up(cx, &callers);
    let (answers, requests) = cx.flow.with_flow(|f| (f.held(), f.request_bytes()));
    cx.metrics.on_held(answers, requests);
}

/// Handles a caller's connection that the operating system closed because nothing was acknowledged. Returns whether an
/// answer was in progress on it, whose caller counts as given up.
pub(super) fn on_timed_out(cx: &Gateway, conn: &CallerConn) -> bool {
    let given_up = conn
        .answer
        .get()
        .and_then(|id| cx.flow.flow.borrow_mut().on_timed_out(id));
    give_up(cx, given_up.as_slice());
    given_up.is_some()
}

/// Closes the connections of callers, which also ends their runs at targets.
fn give_up(cx: &Gateway, callers: &[GivenUp]) {
    for caller in callers {
        let answers = cx.flow.answers.borrow();
        let Some(answer) = answers.get(&caller.answer).and_then(Weak::upgrade) else {
            continue;
        };
        drop(answers);
        if !caller.has_begun {
            answer.is_refused.set(true);
            answer.refused.notify_waiters();
            info!(cx.log, "answer refused"; "id" => &answer.call, "reason" => caller.reason.name(), "held_bytes" => caller.held);
            continue;
        }
        answer.given_up.set(Some(caller.reason));
        answer.conn.close.notify_one();
        cx.metrics.on_caller_given_up(caller.reason);
        let code = ResultCode::AnswerNotRead;
        info!(cx.log, "caller given up"; "id" => &answer.call, "code" => code.name(), "reason" => caller.reason.name(),
            "held_bytes" => caller.held, "stalled_ms" => caller.stalled.as_millis() as u64);
        if answer.is_call_ended.get() {
            cx.record_decision(&answer.call, || Decision::Ended {
                code: code.number(),
                why: caller.reason.text().to_owned(),
            });
        }
    }
}

//! A request's life in types: "not run" can be said only while nothing was sent.
//!
//! `Request<Received> -> Request<Placed> -> Request<Sent>`; only the first two can be turned
//! into a [`NotRun`], and a sent one only by a target's own refusal. A request that is repeated
//! after an attempt that may have run carries that in its type and can never be "not run" again.

use std::marker::PhantomData;

use crate::{
    ids::{AttemptId, RequestId},
    result_code::{Ran, ResultCode},
    units::Instant,
};

/// Read and checked; no target chosen.
#[derive(Debug)]
pub struct Received;

/// A home was asked; nothing has reached the target.
#[derive(Debug)]
pub struct Placed;

/// The target may have got it.
#[derive(Debug)]
pub struct Sent;

/// No attempt has run.
#[derive(Debug)]
pub struct Never;

/// An earlier attempt may have run.
#[derive(Debug)]
pub struct Perhaps;

/// A state in which this attempt was not sent to a target.
pub trait Unsent: sealed::Sealed {}
impl Unsent for Received {}
impl Unsent for Placed {}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Placed {}
}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<State, Ran = Never> {
    id: RequestId,
    attempts: u32,
    deadline: Instant,
    state: PhantomData<(State, Ran)>,
}

/// Proof that a request did not run, with the code to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRun {
    code: ResultCode,
    detail: String,
}

impl NotRun {
    /// The code to tell.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// What happened, in a sentence.
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

/// The statement of a target, or of its home, that a request did not run.
#[derive(Debug)]
pub struct Refusal(());

impl Refusal {
    /// The header by which a target says so.
    pub const HEADER: &'static str = "x-not-run";

    /// Reads the statement off an answer's status and the header's presence.
    pub fn from_answer(status: u16, says_not_run: bool) -> Option<Self> {
        (status >= 400 && says_not_run).then_some(Self(()))
    }

    /// Reads the statement off the code with which a home ended a request.
    pub fn from_home(code: ResultCode) -> Option<Self> {
        (code.ran() == Ran::No).then_some(Self(()))
    }
}

impl Request<Received> {
    /// A request that was read and checked.
    pub fn new(id: RequestId, deadline: Instant) -> Self {
        Self {
            id,
            attempts: 0,
            deadline,
            state: PhantomData,
        }
    }
}

impl<R> Request<Received, R> {
    /// Begins an attempt at a target that was chosen.
    pub fn place(mut self) -> Request<Placed, R> {
        self.attempts += 1;
        self.into_state()
    }
}

impl<R> Request<Placed, R> {
    /// The target did not take it; another may be chosen.
    pub fn declined(self) -> Request<Received, R> {
        self.into_state()
    }

    /// From here on the target may have got it.
    pub fn send(self) -> Request<Sent, R> {
        self.into_state()
    }
}

impl<R> Request<Sent, R> {
    /// The target or its home said that this attempt did not run.
    pub fn refused(self, _: &Refusal) -> Request<Received, R> {
        self.into_state()
    }

    /// Repeats a request whose call may be repeated and whose answer has not begun.
    pub fn repeat(self, _: Repeatable) -> Request<Received, Perhaps> {
        self.into_state()
    }
}

/// Proof that a call may be repeated.
#[derive(Debug, Clone, Copy)]
pub struct Repeatable(());

impl Repeatable {
    /// Proof, if the call is of a kind that may be repeated.
    pub fn check(unrepeatable: bool) -> Option<Self> {
        (!unrepeatable).then_some(Self(()))
    }
}

impl<S: Unsent> Request<S, Never> {
    /// Ends the request before anything was sent.
    ///
    /// A code that does not stand for "did not run" is replaced by `NoTarget`.
    pub fn not_run(self, code: ResultCode, detail: impl Into<String>) -> NotRun {
        let code = match code.ran() {
            Ran::No => code,
            _ => ResultCode::NoTarget,
        };
        NotRun {
            code,
            detail: detail.into(),
        }
    }
}

impl<S, R> Request<S, R> {
    fn into_state<T, Q>(self) -> Request<T, Q> {
        Request {
            id: self.id,
            attempts: self.attempts,
            deadline: self.deadline,
            state: PhantomData,
        }
    }

    /// The request's id.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The attempt that is being made.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            number: self.attempts,
        }
    }

    /// When an answer is of no use any more.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

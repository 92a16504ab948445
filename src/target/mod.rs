//! The targets' edge: sending a call, reading its answer, asking for the load.

mod http;

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::BoxStream};

use crate::{
    home::TargetReport,
    ids::{AttemptId, TargetId},
    result_code::ResultCode,
    units::{Priority, Tokens},
};

pub use http::HttpTargets;

/// A header of a call or of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in small letters.
    pub name: String,
    /// Its value.
    pub value: Bytes,
}

/// What is to be sent to a target.
#[derive(Debug, Clone)]
pub struct Call {
    /// The attempt that this is.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the target.
    pub path: String,
    /// The headers that go along.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// The time left until the answer is of no use.
    pub remaining: Duration,
    /// How urgent it is.
    pub priority: Priority,
    /// The tokens that it will hold at the target.
    pub cost: Tokens,
}

/// The bytes of an answer; an error says that it was cut off. Dropping it cancels the call.
pub type AnswerBody = BoxStream<'static, Result<Bytes, ResultCode>>;

/// The most pieces of an answer that are passed on as one.
const MERGE: usize = 32;

/// Joins pieces that have come already, so that a fast answer takes few writes; waits for none.
pub fn merge_ready(body: AnswerBody) -> AnswerBody {
    let merged = body.ready_chunks(MERGE).flat_map(|items| {
        let mut out: Vec<Result<BytesMut, ResultCode>> = Vec::with_capacity(1);
        for item in items {
            match (out.last_mut(), item) {
                (Some(Ok(last)), Ok(bytes)) => last.extend_from_slice(&bytes),
                (_, Ok(bytes)) => out.push(Ok(BytesMut::from(&bytes[..]))),
                (_, Err(code)) => out.push(Err(code)),
            }
        }
        futures::stream::iter(out.into_iter().map(|r| r.map(BytesMut::freeze)))
    });
    merged.boxed()
}

/// An answer whose head has come.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: AnswerBody,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing reached the target.
    NotSent(String),
    /// It may have run.
    Unknown(ResultCode, String),
}

/// What a target says when it is asked for its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadAnswer {
    /// Its load.
    Told(TargetReport),
    /// It answers, but does not tell.
    NotTold,
    /// It does not answer.
    Silent,
}

/// Sends calls to targets.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Sends a call and waits for its answer's head.
    async fn send(&self, address: SocketAddr, call: Call) -> Result<Answer, SendError>;

    /// Asks a target for its load.
    async fn load(&self, address: SocketAddr) -> LoadAnswer;
}

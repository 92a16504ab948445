//! What an adapter tells the gateway of the headers on both sides.
//!
//! The gateway works on these types; only the adapter knows what the headers are called.

use std::{net::SocketAddr, time::Duration};

use hyper::{HeaderMap, StatusCode};

use crate::{
    ids::{ClientAccountId, TargetId},
    load_account::ToldLoad,
    prompt_cache::PromptPart,
    units::Rank,
};

/// What a caller's head says of its call.
#[derive(Debug, Clone, Default)]
pub struct CallFacts {
    /// The caller's own id of this attempt, as it was sent.
    pub id: Option<String>,
    /// How long the caller waits from when it sent the call.
    pub deadline: Option<Duration>,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// The last event that the caller has of an answer that broke off.
    pub last_event: Option<u64>,
    /// The prompt, where the call is for a model engine.
    pub prompt: Vec<PromptPart>,
}

/// What a target is told beside what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct Handover<'a> {
    /// The target that is meant; any other refuses the call.
    pub target: &'a TargetId,
    /// How long the target may work on it.
    pub time_left: Duration,
    /// Whose call it is.
    pub account: Option<&'a ClientAccountId>,
    /// The last event that the caller already has.
    pub last_event: Option<u64>,
    /// How urgent it is.
    pub rank: Option<Rank>,
    /// Another target from whose memory the prompt is taken in place of being read again.
    pub fetch_from: Option<SocketAddr>,
}

/// Who says that a call has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The target that was meant.
    ByTarget,
    /// Another one that has its address now.
    ByAnother,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, Default)]
pub struct AnswerFacts {
    /// The id of the call that is answered.
    pub id: Option<String>,
    /// Whether the target vouches for the answer as its own.
    pub sealed: bool,
    /// The call was refused: it has not run and will not.
    pub refused: Option<Refused>,
    /// The body is encoded, which no target does by itself.
    pub encoded: bool,
    /// The target's load by its own word.
    pub load: Option<ToldLoad>,
    /// How long the target keeps the connection at rest.
    pub keep_alive: Option<Duration>,
    /// The target closes the connection after this answer.
    pub closing: bool,
}

/// How callers and targets are spoken to.
pub trait Dialect {
    /// Reads a caller's head.
    fn read_call(&self, headers: &HeaderMap) -> CallFacts;
    /// Turns a caller's headers into those for a target.
    fn write_handover(&self, headers: &mut HeaderMap, handover: &Handover<'_>);
    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
}

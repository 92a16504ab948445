//! What is told of the messages on both sides, whatever they are called there.
//!
//! The gateway works on these types. The product's own way to speak is [`crate::openai`]; an
//! adapter brings that of a platform.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, http::request};

use crate::{
    ResultCode,
    config::serving::RoutingKey,
    ids::{ClientAccountId, ConversationKey, TargetId},
    load_account::ReportedLoad,
    prompt_cache::PromptPart,
    units::{Rank, Tokens},
    withdrawals::Withdrawal,
};

/// What a caller says of its call.
#[derive(Debug, Clone)]
pub struct CallFacts {
    /// What it asks for.
    pub asked: RoutingKey,
    /// What it is told if there is no such thing.
    pub unknown: Refusal,
    /// How long the caller waits from when it sent the call.
    pub deadline: Option<Duration>,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// The last event that the caller has of an answer that broke off.
    pub last_event: Option<u64>,
    /// The prompt, where the call is for a model engine.
    pub prompt: Vec<PromptPart>,
    /// How many of the prompt's parts calls of other chats begin with as well.
    pub shared_parts: usize,
    /// The chat that it belongs to, where that is known.
    pub chat: Option<ConversationKey>,
    /// The most tokens that the answer may have, where the caller says.
    pub answer: Option<Tokens>,
    /// How urgent the caller wants it to be; never more urgent than its account's calls are.
    pub rank: Option<Rank>,
    /// The caller's own name for a call that must not run twice.
    pub claim: Option<String>,
}

impl Default for CallFacts {
    fn default() -> Self {
        Self {
            asked: RoutingKey::default(),
            unknown: Refusal::new(ResultCode::UnknownPath, "no such path"),
            deadline: None,
            key: None,
            last_event: None,
            prompt: Vec::new(),
            shared_parts: 0,
            chat: None,
            answer: None,
            rank: None,
            claim: None,
        }
    }
}

/// Why a call is refused before anything is sent.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// What the caller is told.
    pub code: ResultCode,
    /// Why, in a sentence for caller and log.
    pub why: Cow<'static, str>,
    /// When the caller may come back, where that is later than usual.
    pub come_back: Option<Duration>,
}

impl Refusal {
    /// A refusal for a reason that is the same each time.
    pub fn new(code: ResultCode, why: &'static str) -> Self {
        Self {
            code,
            why: Cow::Borrowed(why),
            come_back: None,
        }
    }
}

/// What a target is told beside what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct Handover<'a> {
    /// The target that is meant; any other refuses the call.
    pub target: &'a TargetId,
    /// The call's id.
    pub id: Option<&'a str>,
    /// Which attempt of the call it is, from 1.
    pub attempt: u32,
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
    /// The target's load by its own report.
    pub load: Option<ReportedLoad>,
    /// How long the target keeps the connection at rest.
    pub keep_alive: Option<Duration>,
    /// The target closes the connection after this answer.
    pub closing: bool,
    /// The target wants no calls, for good or for a while.
    pub withdrawal: Option<Withdrawal>,
}

impl AnswerFacts {
    /// Whether an answer with this status may be passed on as the target's own: of a success it has to vouch for
    /// the very bytes.
    pub fn is_targets(&self, status: StatusCode) -> bool {
        !status.is_success() || (self.sealed && !self.encoded)
    }
}

/// What a router tells of itself on the callers' port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Page {
    /// That it runs.
    Alive,
    /// Whether it is ready for callers.
    Ready,
    /// The models that are served.
    Models,
}

/// How callers and targets are spoken to.
pub trait Dialect {
    /// Which page of the router's own is asked for, if any.
    fn page(&self, _head: &request::Parts) -> Option<Page> {
        None
    }
    /// The call's id: the caller's own, or one that is made up here.
    fn call_id(&self, headers: &HeaderMap) -> Option<String>;
    /// Reads a whole call.
    fn read_call(
        &self,
        head: &request::Parts,
        body: &Bytes,
        id: Option<&str>,
    ) -> Result<CallFacts, Refusal>;
    /// Turns a caller's headers into those for a target.
    fn write_handover(&self, headers: &mut HeaderMap, handover: &Handover<'_>);
    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
    /// Names the call on its answer, where callers expect that.
    fn name_answer(&self, _headers: &mut HeaderMap, _id: &str) {}
    /// How a pause is told in `Retry-After`.
    fn retry_after(&self, pause: Duration) -> String;
}

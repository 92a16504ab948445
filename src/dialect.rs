//! Protocol-independent view of requests and responses, and the conversion to and from headers.
//!
//! The gateway works on these types. The product's own dialect is [`crate::openai`]; an adapter provides the
//! dialect of a platform.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, http::request};

use crate::{
    ResultCode,
    brittle::RejectionLimit,
    config::serving::RoutingKey,
    ids::{ClientAccountId, ConversationKey, TargetId},
    load_account::ReportedLoad,
    prompt_cache::PromptPart,
    units::{Rank, Tokens},
    withdrawals::Withdrawal,
};

/// Information about a call, from the caller's request.
#[derive(Debug, Clone)]
pub struct CallInfo {
    /// Host, method and path that routes match.
    pub routing_key: RoutingKey,
    /// Refusal sent if no route matches.
    pub no_route_refusal: Refusal,
    /// Time for which the caller waits, from when it sent the call.
    pub deadline: Option<Duration>,
    /// Key by which the caller authenticates.
    pub key: Option<String>,
    /// Id of the last event that the caller received of an interrupted response.
    pub last_event_id: Option<u64>,
    /// Id of the caller's earlier call whose stream this one takes up.
    pub resumes: Option<String>,
    /// Parts of the prompt of a call to a model engine; empty for others.
    pub prompt: Vec<PromptPart>,
    /// Number of leading prompt parts that calls of other chats may begin with as well.
    pub shared_parts: usize,
    /// Chat that the call belongs to, if known.
    pub conversation: Option<ConversationKey>,
    /// Maximum number of tokens of the response, if the caller sets one.
    pub max_response_tokens: Option<Tokens>,
    /// Priority that the caller requests; it can't exceed the priority of the account's calls.
    pub rank: Option<Rank>,
    /// Key by which the caller identifies a call that must not run twice.
    pub idempotency_key: Option<String>,
}

impl Default for CallInfo {
    fn default() -> Self {
        Self {
            routing_key: RoutingKey::default(),
            no_route_refusal: Refusal::new(ResultCode::UnknownPath, "no such path"),
            deadline: None,
            key: None,
            last_event_id: None,
            resumes: None,
            prompt: Vec::new(),
            shared_parts: 0,
            conversation: None,
            max_response_tokens: None,
            rank: None,
            idempotency_key: None,
        }
    }
}

/// Refusal of a call before anything was sent to a target.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Reason, as a sentence for the caller and the log.
    pub why: Cow<'static, str>,
    /// Delay after which the caller should retry; `None` for the default.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with a fixed reason.
    pub fn new(code: ResultCode, why: &'static str) -> Self {
        Self {
            code,
            why: Cow::Borrowed(why),
            retry_after: None,
        }
    }
}

/// Information sent to a target in addition to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardInfo<'a> {
    /// Target that the call is for; any other rejects it.
    pub target: &'a TargetId,
    /// Id of the call.
    pub id: Option<&'a str>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Time that the target has left for the call.
    pub time_left: Duration,
    /// Client account that the call is made for.
    pub account: Option<&'a ClientAccountId>,
    /// Id of the last event that the caller already received.
    pub last_event_id: Option<u64>,
    /// Priority of the call.
    pub rank: Option<Rank>,
    /// Another target, from whose cache the prompt is fetched instead of being read again.
    pub fetch_from: Option<SocketAddr>,
}

/// The target that rejected a call without running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectedBy {
    /// The target that the call was for.
    IntendedTarget,
    /// Another target that has its address now.
    OtherTarget,
}

/// Information from the head of a target's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseInfo {
    /// Id of the call that the response belongs to.
    pub id: Option<String>,
    /// Whether the target signed the response as its own.
    pub signed: bool,
    /// Target that rejected the call, which has not run and will not run; `None` if it was not rejected.
    pub rejected_by: Option<RejectedBy>,
    /// Whether the body has a content encoding, which no target applies itself.
    pub has_content_encoding: bool,
    /// Load that the target reports.
    pub load: Option<ReportedLoad>,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub closes_connection: bool,
    /// Number of calls that the target can reject within a second without crashing, if it is brittle.
    pub rejection_limit: Option<RejectionLimit>,
    /// Withdrawal of the target, if it accepts no further calls for good or for a while.
    pub withdrawal: Option<Withdrawal>,
}

impl ResponseInfo {
    /// Returns whether a response with this status may be passed on as the target's own. A success must be
    /// signed, and its bytes unchanged by an encoding.
    pub fn is_authentic(&self, status: StatusCode) -> bool {
        !status.is_success() || (self.signed && !self.has_content_encoding)
    }
}

/// A page that the router itself serves on the callers' port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BuiltInPage {
    /// Liveness check.
    Alive,
    /// Readiness check: whether the router accepts callers.
    Ready,
    /// List of the models that are served.
    Models,
}

/// Conversion between the headers of callers and targets and the library's types.
pub trait Dialect {
    /// Returns the router's own page that is requested, if any.
    fn page(&self, _head: &request::Parts) -> Option<BuiltInPage> {
        None
    }
    /// Returns the id of a call: the caller's own, or a generated one.
    fn call_id(&self, headers: &HeaderMap) -> Option<String>;
    /// Returns whether a request may take up a stream that broke off.
    fn may_take_up_stream(&self, _headers: &HeaderMap) -> bool {
        false
    }
    /// Parses a whole request.
    fn parse_call(
        &self,
        head: &request::Parts,
        body: &Bytes,
        id: Option<&str>,
    ) -> Result<CallInfo, Refusal>;
    /// Converts a caller's headers into the headers for a target.
    fn write_forward_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>);
    /// Parses the head of a target's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;
    /// Adds the call's id to its response, if callers expect it.
    fn write_call_id(&self, _headers: &mut HeaderMap, _id: &str) {}
    /// Formats a delay for the `Retry-After` header.
    fn retry_after(&self, pause: Duration) -> String;
}

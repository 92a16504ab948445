//! The product's own dialect: OpenAI-compatible chats and model list, plain services below `/services/`, and
//! health checks.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName, HeaderValue},
    http::request,
};
use serde::Deserialize;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    ResultCode,
    config::{
        routes::{SERVICE_PREFIX, chat_path},
        serving::RoutingKey,
    },
    dialect::{BuiltInPage, CallInfo, Dialect, ForwardInfo, Refusal, RejectedBy, ResponseInfo},
    ids::{AttemptId, ConversationKey, ModelName, RequestId},
    prompt_cache::{PartId, PromptPart},
    reply,
    units::{Priority, Rank, Tokens},
    withdrawals::Withdrawal,
};

/// Approximate number of bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Name of a chat, as given by the caller.
const CONVERSATION_ID: HeaderName = HeaderName::from_static("x-conversation-id");
/// Priority of a call: requested by a caller, binding for a target.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Key by which the caller identifies a call that must not run twice.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the attempt, sent to a target.
const REQUEST_ATTEMPT: HeaderName = HeaderName::from_static("x-request-attempt");
/// Set by a target that did not run the call.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Set to `1` in any response of a target that is leaving.
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Headers of callers that are not forwarded to targets.
const NOT_FORWARDED: [HeaderName; 3] = [
    header::AUTHORIZATION,
    header::COOKIE,
    header::PROXY_AUTHORIZATION,
];

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "te",
    "trailer",
];

/// The product's own dialect, compatible with OpenAI's chat API.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenAiDialect;

/// Fields that are read of a chat's body, which is forwarded to the target unchanged.
#[derive(Deserialize)]
struct WireChat {
    model: Option<String>,
    #[serde(default)]
    messages: Vec<WireMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    prompt_cache_key: Option<String>,
}

#[derive(Deserialize)]
struct WireMessage {
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

impl Dialect for OpenAiDialect {
    fn page(&self, head: &request::Parts) -> Option<BuiltInPage> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => Some(BuiltInPage::Alive),
            (&Method::GET, "/readyz") => Some(BuiltInPage::Ready),
            (&Method::GET, "/v1/models") => Some(BuiltInPage::Models),
            _ => None,
        }
    }

    fn call_id(&self, _headers: &HeaderMap) -> Option<String> {
        Some(RequestId::random().to_string())
    }

    fn parse_call(
        &self,
        head: &request::Parts,
        body: &Bytes,
        id: Option<&str>,
    ) -> Result<CallInfo, Refusal> {
        let path = head.uri.path();
        let facts = CallInfo {
            routing_key: RoutingKey {
                host: String::new(),
                method: head.method.clone(),
                path: path.to_owned(),
            },
            key: key(&head.headers).map(str::to_owned),
            rank: requested_rank(&head.headers),
            idempotency_key: text(&head.headers, &IDEMPOTENCY_KEY).map(str::to_owned),
            ..CallInfo::default()
        };
        match (&head.method, path) {
            (&Method::POST, CHAT_PATH) => {
                let chat = parse_chat(body)?;
                add_chat(facts, chat, &head.headers, id)
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => Ok(CallInfo {
                no_route_refusal: Refusal::new(ResultCode::UnknownService, "no such service"),
                ..facts
            }),
            _ => Ok(facts),
        }
    }

    fn write_forward_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>) {
        for name in HOP_BY_HOP {
            headers.remove(name);
        }
        for name in NOT_FORWARDED {
            headers.remove(name);
        }
        let request = info.id.and_then(|id| id.parse().ok());
        let attempt = request.map(|request| AttemptId {
            request,
            number: info.attempt,
        });
        if let Some(attempt) = attempt {
            set(headers, REQUEST_ATTEMPT, &attempt.to_string());
        }
        if let Some(rank) = info.rank {
            set(headers, PRIORITY, &Priority::from_rank(rank).to_string());
        }
    }

    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo {
        let not_run = status.as_u16() >= 400 && headers.contains_key(&NOT_RUN);
        let closing = headers.get(header::CONNECTION);
        // `Retry-After` counts only with status 503, because a 429 may concern the caller.
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = headers.get(header::RETRY_AFTER);
        let leaving = headers.get(LEAVING).is_some_and(|v| v == "1");
        let backoff = retry_after.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        ResponseInfo {
            signed: true,
            rejected_by: not_run.then_some(RejectedBy::IntendedTarget),
            withdrawal: Withdrawal::from_headers(leaving, backoff.filter(|_| is_unavailable)),
            closes_connection: closing.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close")),
            ..ResponseInfo::default()
        }
    }

    fn write_call_id(&self, headers: &mut HeaderMap, id: &str) {
        set(
            headers,
            HeaderName::from_static(reply::REQUEST_ID_HEADER),
            id,
        );
    }

    /// Returns whole seconds, at least 1, which all kinds of callers accept.
    fn retry_after(&self, pause: Duration) -> String {
        let seconds = pause.as_secs_f64().ceil().max(1.0);
        format!("{seconds:.0}")
    }
}

fn parse_chat(body: &[u8]) -> Result<WireChat, Refusal> {
    serde_json::from_slice(body).map_err(|e| Refusal {
        why: e.to_string().into(),
        ..Refusal::new(ResultCode::BadJson, "")
    })
}

fn add_chat(
    facts: CallInfo,
    chat: WireChat,
    headers: &HeaderMap,
    id: Option<&str>,
) -> Result<CallInfo, Refusal> {
    let name = chat.model.as_deref().filter(|m| !m.is_empty());
    let missing = Refusal::new(ResultCode::MissingModel, "the request names no model");
    let name = name.ok_or(missing)?;
    let unknown = Refusal {
        why: format!("no model {name:?}").into(),
        ..Refusal::new(ResultCode::UnknownModel, "")
    };
    let model: ModelName = name.parse().map_err(|_| unknown.clone())?;
    let max_tokens = chat.max_completion_tokens.or(chat.max_tokens).map(Tokens);
    let explicit_name = chat.prompt_cache_key.as_deref();
    let explicit_name = explicit_name.or_else(|| text(headers, &CONVERSATION_ID));
    Ok(CallInfo {
        routing_key: RoutingKey {
            path: chat_path(&model, chat.stream),
            ..facts.routing_key
        },
        no_route_refusal: unknown,
        prompt: prompt_parts(&chat.messages, id),
        shared_parts: chat
            .messages
            .iter()
            .take_while(|m| m.role != "user")
            .count(),
        conversation: Some(conversation_key(explicit_name, &chat.messages)),
        max_response_tokens: max_tokens,
        ..facts
    })
}

/// Returns a prompt part for each message together with the assistant's answer to it, because the target that
/// read the message also generated the answer; and an empty part that only this request has.
fn prompt_parts(messages: &[WireMessage], id: Option<&str>) -> Vec<PromptPart> {
    let mut hash = Xxh3::new();
    let mut parts: Vec<PromptPart> = Vec::with_capacity(messages.len() + 1);
    for m in messages {
        let content = m.content.to_string();
        hash.update(m.role.as_bytes());
        hash.update(content.as_bytes());
        let tokens = Tokens((content.len() / BYTES_PER_TOKEN) as u64 + 1);
        match parts.last_mut() {
            Some(question) if m.role == "assistant" => question.tokens += tokens,
            _ => parts.push(PromptPart {
                id: PartId(hash.digest()),
                tokens,
            }),
        }
    }
    parts.push(PromptPart {
        id: PartId(xxh3_64(id.unwrap_or_default().as_bytes())),
        tokens: Tokens(0),
    });
    parts
}

/// Returns the hash of an explicit name, or else of the messages up to the user's first one, which stay the
/// same in later requests of the chat.
fn conversation_key(explicit_name: Option<&str>, messages: &[WireMessage]) -> ConversationKey {
    if let Some(name) = explicit_name {
        return ConversationKey(xxh3_64(name.as_bytes()));
    }
    let mut hash = Xxh3::new();
    for m in messages {
        hash.update(m.role.as_bytes());
        hash.update(m.content.to_string().as_bytes());
        if m.role == "user" {
            break;
        }
    }
    ConversationKey(hash.digest())
}

fn key(headers: &HeaderMap) -> Option<&str> {
    text(headers, &header::AUTHORIZATION)?.strip_prefix("Bearer ")
}

fn requested_rank(headers: &HeaderMap) -> Option<Rank> {
    let requested: Priority = text(headers, &PRIORITY)?.parse().ok()?;
    Some(requested.rank())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a header, unless the value is not valid in a header.
fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

//! What a router reads of a chat request: the model, the chat it belongs to, and its cost.

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    config::{FleetConfig, Serves},
    directory::Place,
    ids::{ClientAccountId, ConversationKey, ModelName, PrefixKey},
    result_code::ResultCode,
    target::Header,
    units::{Priority, Tokens},
};

/// Characters that make a token, about.
const CHARS_PER_TOKEN: u64 = 4;

/// Tokens of an answer where neither the caller nor the model says.
const USUAL_ANSWER: u64 = 256;

/// The header by which a caller names its chat.
const CHAT_HEADER: &str = "x-conversation-id";

/// The header by which a caller asks for a lower priority than its account's.
const PRIORITY_HEADER: &str = "x-priority";

/// What a router needs to know of a chat request; the rest goes to the target untouched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Chat {
    pub(crate) pool: Serves,
    pub(crate) place: Place,
    pub(crate) cost: Tokens,
}

#[derive(Deserialize)]
struct WireChat {
    model: Option<String>,
    #[serde(default)]
    messages: Vec<WireMessage>,
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

/// Reads a chat request; the error is the code and a sentence for the caller.
pub(crate) fn read(
    account: &ClientAccountId,
    headers: &[Header],
    body: &[u8],
    cfg: &FleetConfig,
) -> Result<Chat, (ResultCode, String)> {
    let chat: WireChat =
        serde_json::from_slice(body).map_err(|e| (ResultCode::BadJson, e.to_string()))?;
    let name = chat.model.as_deref().filter(|m| !m.is_empty());
    let name = name.ok_or((
        ResultCode::MissingModel,
        "the request names no model".to_owned(),
    ))?;
    let unknown = || (ResultCode::UnknownModel, format!("no model {name:?}"));
    let model: ModelName = name.parse().map_err(|_| unknown())?;
    let usual = cfg
        .models
        .get(&model)
        .ok_or_else(unknown)?
        .usual_answer_tokens;
    let usual = if usual == 0 {
        USUAL_ANSWER
    } else {
        usual.into()
    };
    let answer = chat
        .max_completion_tokens
        .or(chat.max_tokens)
        .unwrap_or(usual);
    let prompt = body.len() as u64 / CHARS_PER_TOKEN;
    Ok(Chat {
        place: Place {
            account: account.clone(),
            prefix: prefix(account, &chat),
            conversation: conversation(account, headers, &chat),
        },
        pool: Serves::Model(model),
        cost: Tokens((prompt + answer).max(1)),
    })
}

/// The priority of a request: its account's, or a lower one that it asks for.
pub(crate) fn priority(account: Priority, headers: &[Header]) -> Priority {
    let asked = headers.iter().find(|h| h.name == PRIORITY_HEADER);
    let asked = asked.and_then(|h| {
        Priority::ALL
            .into_iter()
            .find(|p| *h.value == *p.to_string().as_bytes())
    });
    asked.map_or(account, |p| p.max(account))
}

/// The messages before the user's first one, which chats of an account share.
fn prefix(account: &ClientAccountId, chat: &WireChat) -> PrefixKey {
    let mut hash = Xxh3::new();
    hash.update(account.as_str().as_bytes());
    for m in chat.messages.iter().take_while(|m| m.role != "user") {
        hash.update(m.content.to_string().as_bytes());
    }
    PrefixKey(hash.digest())
}

/// An explicit name, or else the messages up to the first one of the user, which stay the same
/// when the chat returns.
fn conversation(account: &ClientAccountId, headers: &[Header], chat: &WireChat) -> ConversationKey {
    let header = headers.iter().find(|h| h.name == CHAT_HEADER);
    let header = header.and_then(|h| std::str::from_utf8(&h.value).ok());
    match chat.prompt_cache_key.as_deref().or(header) {
        Some(name) => ConversationKey::named(account, name),
        None => {
            let mut hash = Xxh3::new();
            hash.update(account.as_str().as_bytes());
            for m in &chat.messages {
                hash.update(m.role.as_bytes());
                hash.update(m.content.to_string().as_bytes());
                if m.role == "user" {
                    break;
                }
            }
            ConversationKey(hash.digest())
        }
    }
}

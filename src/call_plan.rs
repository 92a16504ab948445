//! One call as far as it decides which target gets it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    admission::{surge::Surge, warm_up::WarmUp},
    config::serving::{CallKind, EngineSpec},
    ids::{ConversationKey, ServiceName, TargetId},
    prompt_cache::PromptPart,
    units::Tokens,
};

/// One call that looks for a target.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The service that answers it.
    pub service: ServiceName,
    /// Whether and how it repeats.
    pub kind: CallKind,
    /// Its prompt; empty for plain services.
    pub prompt: Vec<PromptPart>,
    /// How many of the prompt's parts other calls begin with as well.
    pub shared_parts: usize,
    /// The chat that it belongs to, where that is known: chats have a target of first choice.
    pub chat: Option<ConversationKey>,
    /// Tokens that its answer is expected to have, where that counts as work.
    pub answer: Tokens,
    /// A hash of the caller's id, to spread calls without a prompt.
    pub hash: u64,
    /// What is known of the service's engines, where it has such.
    pub engine: Option<EngineSpec>,
    /// The shortest time in which any kind of call at the service should be answered, or its first
    /// event sent.
    pub goal: Duration,
    /// What the service's targets bear from their start on, where that is less than later.
    pub warm_up: Option<WarmUp>,
    /// Whether its account sends many times its usual.
    pub surge: Surge,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
}

impl Plan {
    /// The parts of the prompt that other calls begin with as well.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let n = self.shared_parts.min(self.prompt.len());
        &self.prompt[..n]
    }

    /// What targets are drawn by: the chat, else the prompt's deepest shared part, else the call.
    pub(crate) fn key(&self) -> u64 {
        let part = self.shared_parts().last();
        match (self.chat, part) {
            (Some(chat), _) => chat.0,
            (None, Some(part)) => xxh3_64(&part.id.0.to_le_bytes()),
            (None, None) => self.hash,
        }
    }

    /// A number from 0 to 1 that is the call's own.
    pub(crate) fn draw(&self) -> f64 {
        xxh3_64(&self.hash.to_be_bytes()) as f64 / u64::MAX as f64
    }

    /// Tokens of the prompt that nobody has read before: the last message, and what is the
    /// request's own.
    pub(crate) fn new_tokens(&self) -> Tokens {
        self.prompt
            .iter()
            .skip(self.said_parts())
            .map(|p| p.tokens)
            .sum()
    }

    /// How many parts of the prompt were sent before, in the chat or in others.
    pub(crate) fn said_parts(&self) -> usize {
        self.prompt.len().saturating_sub(2).max(self.shared_parts)
    }

    pub(crate) fn has_history(&self) -> bool {
        self.said_parts() > self.shared_parts
    }
}

//! Properties of a call that decide which target it gets.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    admission::{shares::Claim, surge::Surge, warm_up::WarmUp},
    config::serving::{CallKind, EngineSpec},
    ids::{ConversationKey, ServiceName, TargetId},
    prompt_cache::PromptPart,
    stream_origin::StreamProgress,
    units::Tokens,
};

/// A call that needs a target.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The service that answers the call.
    pub service: ServiceName,
    /// Kind of the call: whether and how it may be retried.
    pub kind: CallKind,
    /// Parts of the prompt; empty for plain services.
    pub prompt: Vec<PromptPart>,
    /// Number of leading parts of the prompt that other calls share.
    pub shared_parts: usize,
    /// Chat to which the call belongs, if known. Each chat has a target of first choice.
    pub chat: Option<ConversationKey>,
    /// Expected number of tokens in the answer, if they count as work.
    pub answer: Tokens,
    /// Hash of the caller's id, which spreads calls without a prompt.
    pub hash: u64,
    /// Properties of the service's model engines, if it has any.
    pub engine: Option<EngineSpec>,
    /// Shortest time, over all kinds of calls at the service, within which the answer should arrive or its
    /// first event should be sent.
    pub goal: Duration,
    /// Load that the service's targets bear right after their start, if it is less than later.
    pub warm_up: Option<WarmUp>,
    /// Whether the call's account sends many times its usual rate.
    pub surge: Surge,
    /// Calls with which it competes for room at a pool that is divided by demand.
    pub claim: Claim,
    /// How far the caller has the stream that answers the call. It decides which targets may continue it.
    pub progress: StreamProgress,
    /// Targets to which the call was already sent.
    pub tried: Vec<TargetId>,
    /// Whether another attempt of the call is in progress, so that the next one may be ended before its target
    /// has read the prompt.
    pub is_overlapping: bool,
}

impl CallPlan {
    /// Returns the leading parts of the prompt that other calls share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let n = self.shared_parts.min(self.prompt.len());
        &self.prompt[..n]
    }

    /// Returns the key for rendezvous hashing: the chat, else the deepest shared part of the prompt, else
    /// the call.
    pub(crate) fn key(&self) -> u64 {
        let part = self.shared_parts().last();
        match (self.chat, part) {
            (Some(chat), _) => chat.0,
            (None, Some(part)) => xxh3_64(&part.id.0.to_le_bytes()),
            (None, None) => self.hash,
        }
    }

    /// Returns a number from 0 to 1 derived from the call's hash.
    pub(crate) fn draw(&self) -> f64 {
        xxh3_64(&self.hash.to_be_bytes()) as f64 / u64::MAX as f64
    }

    /// Returns the claim with which the call competes: if its account surges, a part of the account's calls
    /// counts as beyond its usual rate. Their choice is independent of [`Self::draw`], which selects among
    /// the calls of a claim.
    pub(crate) fn current_claim(&self) -> Claim {
        let draw = || xxh3_64_with_seed(&self.hash.to_be_bytes(), 1) as f64 / u64::MAX as f64;
        match self.surge {
            Surge::AdmitFraction(part) if draw() >= part => self.claim.beyond_usual(),
            _ => self.claim,
        }
    }

    /// Counts the tokens of the prompt that no target has read before: the last message, and the part that
    /// belongs to this request only.
    pub(crate) fn new_tokens(&self) -> Tokens {
        self.prompt
            .iter()
            .skip(self.sent_parts())
            .map(|p| p.tokens)
            .sum()
    }

    /// Returns how many parts of the prompt were sent before, in this chat or in others.
    pub(crate) fn sent_parts(&self) -> usize {
        self.prompt.len().saturating_sub(2).max(self.shared_parts)
    }

    pub(crate) fn has_history(&self) -> bool {
        self.sent_parts() > self.shared_parts
    }
}

//! Which target has read which part of which prompt, as far as the fleet remembers.
//!
//! Each router notes where it sent prompts and tells its peers of parts that are new at a target.
//! An engine drops what is unused longest, so each target's parts are kept within its memory.

use std::collections::{HashMap, HashSet, VecDeque};

use lru::LruCache;

use crate::{ids::TargetId, units::Tokens};

/// A part of a prompt: a hash of its text and of all that stands before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

/// A part with its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What it is.
    pub id: PartId,
    /// How long it is.
    pub tokens: Tokens,
}

/// The share of a target's memory that prompts are taken to keep; the rest is for running calls.
const KEPT_SHARE: f64 = 0.8;

/// The most parts that are remembered of one target: sessions' own parts come and go.
const PARTS_LIMIT: usize = 4_096;

/// Parts that may wait to be told; beyond it the oldest are left untold, and are read again where
/// nobody knows of them. Some seconds of what a busy router tells.
const NEWS_LIMIT: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: Tokens,
    shared: bool,
}

#[derive(Debug)]
struct Memory {
    parts: LruCache<PartId, Held>,
    tokens: Tokens,
}

/// A part of a prompt that was sent to a target first.
pub type News = (PartId, Tokens, TargetId);

/// What all targets are taken to keep.
#[derive(Debug, Default)]
pub struct PromptCache {
    targets: HashMap<TargetId, Memory>,
    /// The targets that have read each part.
    holders: HashMap<PartId, Vec<TargetId>>,
    news: VecDeque<News>,
    /// What was told while this router was young, to be told once more.
    told: Vec<News>,
    unsaved: bool,
    unlisted: HashSet<TargetId>,
}

impl PromptCache {
    /// The tokens of a prompt that a target has yet to read: all from the first missing part on.
    pub fn missing(&self, target: &TargetId, prompt: &[PromptPart]) -> Tokens {
        let Some(memory) = self.targets.get(target) else {
            return prompt.iter().map(|p| p.tokens).sum();
        };
        prompt
            .iter()
            .skip_while(|p| memory.parts.contains(&p.id))
            .map(|p| p.tokens)
            .sum()
    }

    /// Whether a target has read a part.
    pub fn holds(&self, target: &TargetId, part: PartId) -> bool {
        let memory = self.targets.get(target);
        memory.is_some_and(|m| m.parts.contains(&part))
    }

    /// The targets that have read a part.
    pub fn holders(&self, part: PartId) -> &[TargetId] {
        self.holders.get(&part).map_or(&[], Vec::as_slice)
    }

    /// A prompt was sent to a target; the first `told` of its parts are worth telling the peers.
    pub fn on_send(
        &mut self,
        target: &TargetId,
        prompt: &[PromptPart],
        told: usize,
        memory_tokens: u64,
    ) {
        let memory = self.targets.entry(target.clone()).or_default();
        for (i, part) in prompt.iter().enumerate() {
            let is_told = i < told;
            let is_new = memory.hold(*part, is_told);
            if is_new {
                let holders = self.holders.entry(part.id).or_default();
                holders.push(target.clone());
            }
            if is_new && is_told {
                self.news.push_back((part.id, part.tokens, target.clone()));
                self.unsaved = true;
            }
        }
        let dropped = memory.trim(memory_tokens);
        for part in dropped {
            drop_holder(&mut self.holders, part, target);
        }
        while self.news.len() > NEWS_LIMIT {
            self.news.pop_front();
        }
    }

    /// A peer sent a part to a target; `passed_on` where other peers have to be told by us.
    pub fn on_peer(&mut self, target: &TargetId, part: PromptPart, passed_on: bool) {
        let memory = self.targets.entry(target.clone()).or_default();
        let is_new = memory.hold(part, true);
        self.unsaved |= is_new;
        if is_new {
            let holders = self.holders.entry(part.id).or_default();
            holders.push(target.clone());
        }
        if is_new && passed_on {
            self.news.push_back((part.id, part.tokens, target.clone()));
        }
    }

    /// A target lost its memory or refused what was counted as read.
    pub fn forget(&mut self, target: &TargetId) {
        let memory = self.targets.remove(target);
        let parts = memory.iter().flat_map(|m| m.parts.iter());
        for (part, _) in parts {
            drop_holder(&mut self.holders, *part, target);
        }
    }

    /// Forgets targets that are gone: those that were not listed at the sweep before either, as
    /// live ones may be missing from the list for a moment.
    pub fn sweep(&mut self, listed: impl Fn(&TargetId) -> bool) {
        let unlisted: HashSet<TargetId> = self
            .targets
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.unlisted, unlisted);
        let gone: Vec<TargetId> = self.unlisted.intersection(&before).cloned().collect();
        gone.iter().for_each(|id| self.forget(id));
    }

    /// The store was set back, and may have lost what was saved.
    pub fn on_set_back(&mut self) {
        self.unsaved |= !self.holders.is_empty();
    }

    /// Whether shared parts came to be known since the last call, or what was saved of them may be lost.
    pub fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.unsaved)
    }

    /// What is new since the last call, to tell the peers; at most `most` parts at a time. A router
    /// that is `young` keeps what it tells for [`Self::tell_again`].
    pub fn take_news(&mut self, most: usize, young: bool) -> Vec<News> {
        let n = self.news.len().min(most);
        let news: Vec<News> = self.news.drain(..n).collect();
        if young && self.told.len() < NEWS_LIMIT {
            self.told.extend_from_slice(&news);
        }
        news
    }

    /// What was told so far is news once more: routers that started together did not know one
    /// another yet.
    pub fn tell_again(&mut self) {
        self.news.extend(std::mem::take(&mut self.told));
    }

    /// All shared parts, those unused longest first, for a peer that has just started.
    pub fn shared_parts(&self) -> Vec<News> {
        let of_target = |(target, memory): (&TargetId, &Memory)| {
            let shared = memory.parts.iter().rev().filter(|(_, held)| held.shared);
            let told = shared.map(|(id, held)| (*id, held.tokens, target.clone()));
            told.collect::<Vec<_>>()
        };
        self.targets.iter().flat_map(of_target).collect()
    }

    /// The tokens that a target is taken to keep.
    pub fn kept(&self, target: &TargetId) -> Tokens {
        self.targets.get(target).map_or(Tokens(0), |m| m.tokens)
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: Tokens(0),
        }
    }
}

impl Memory {
    /// Notes a use; returns whether the part was not there.
    fn hold(&mut self, part: PromptPart, shared: bool) -> bool {
        let tokens = part.tokens;
        let before = self.parts.put(part.id, Held { tokens, shared });
        if before.is_none() {
            self.tokens += part.tokens;
        }
        before.is_none()
    }

    /// Drops what is beyond a target's memory; returns those parts.
    fn trim(&mut self, memory_tokens: u64) -> Vec<PartId> {
        let limit = Tokens((memory_tokens as f64 * KEPT_SHARE) as u64);
        let mut dropped = Vec::new();
        while self.tokens > limit || self.parts.len() > PARTS_LIMIT {
            let Some((part, held)) = self.parts.pop_lru() else {
                break;
            };
            self.tokens = self.tokens.less(held.tokens);
            dropped.push(part);
        }
        dropped
    }
}

fn drop_holder(holders: &mut HashMap<PartId, Vec<TargetId>>, part: PartId, target: &TargetId) {
    if let Some(of_part) = holders.get_mut(&part) {
        of_part.retain(|holder| holder != target);
        if of_part.is_empty() {
            holders.remove(&part);
        }
    }
}

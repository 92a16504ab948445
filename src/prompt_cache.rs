//! Tracks which target has read which part of which prompt, as far as the fleet remembers.
//!
//! Each router records where it sent prompts and notifies its peers of parts that are new at a target. An
//! engine evicts the least recently used parts, so each target's parts are kept within its memory size.

use std::collections::{HashMap, HashSet, VecDeque};

use lru::LruCache;

use crate::{ids::TargetId, units::Tokens};

/// Id of a prompt part: a hash of its text and of everything before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

/// A prompt part with its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// Fraction of a target's memory that is assumed to cache prompts; the rest is for running calls.
const CACHE_FRACTION: f64 = 0.8;

/// Maximum number of parts remembered per target: parts that belong to a single session come and go.
const MAX_PARTS_PER_TARGET: usize = 4_096;

/// Maximum number of parts queued to be sent to peers: as many as a busy router announces in some seconds.
/// When the queue is full, the oldest are dropped, and are read again by targets that no router knows to
/// hold them.
const MAX_ANNOUNCEMENTS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: Tokens,
    shared: bool,
}

#[derive(Debug)]
struct TargetCache {
    parts: LruCache<PartId, CachedPart>,
    tokens: Tokens,
}

/// Id and length of a prompt part, and a target that has read it.
pub type PartLocation = (PartId, Tokens, TargetId);

/// Prompt parts that all targets are assumed to have cached.
#[derive(Debug, Default)]
pub struct PromptCache {
    targets: HashMap<TargetId, TargetCache>,
    /// Targets that have read each part.
    holders: HashMap<PartId, Vec<TargetId>>,
    announcements: VecDeque<PartLocation>,
    /// Parts announced to peers while this router had just started, to be announced once more.
    announced: Vec<PartLocation>,
    unsaved: bool,
    unlisted: HashSet<TargetId>,
}

impl PromptCache {
    /// Returns the tokens of a prompt that a target still has to read: all from the first missing part on.
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

    /// Returns whether a target has read a part.
    pub fn has_read(&self, target: &TargetId, part: PartId) -> bool {
        let memory = self.targets.get(target);
        memory.is_some_and(|m| m.parts.contains(&part))
    }

    /// Returns the targets that have read a part.
    pub fn holders(&self, part: PartId) -> &[TargetId] {
        self.holders.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Records that a prompt was sent to a target. `announced` is the number of leading parts that are
    /// announced to peers if they are new.
    pub fn on_send(
        &mut self,
        target: &TargetId,
        prompt: &[PromptPart],
        announced: usize,
        memory_tokens: u64,
    ) {
        let memory = self.targets.entry(target.clone()).or_default();
        for (i, part) in prompt.iter().enumerate() {
            let is_announced = i < announced;
            let is_new = memory.insert(*part, is_announced);
            if is_new {
                let holders = self.holders.entry(part.id).or_default();
                holders.push(target.clone());
            }
            if is_new && is_announced {
                self.announcements
                    .push_back((part.id, part.tokens, target.clone()));
                self.unsaved = true;
            }
        }
        let dropped = memory.evict(memory_tokens);
        for part in dropped {
            drop_holder(&mut self.holders, part, target);
        }
        while self.announcements.len() > MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
    }

    /// Records that a peer sent a part to a target. `forward` tells whether this router has to announce
    /// it to other peers.
    pub fn on_peer(&mut self, target: &TargetId, part: PromptPart, forward: bool) {
        let memory = self.targets.entry(target.clone()).or_default();
        let is_new = memory.insert(part, true);
        self.unsaved |= is_new;
        if is_new {
            let holders = self.holders.entry(part.id).or_default();
            holders.push(target.clone());
        }
        if is_new && forward {
            self.announcements
                .push_back((part.id, part.tokens, target.clone()));
        }
    }

    /// Drops all parts of a target that lost its memory or rejected what was assumed to be cached.
    pub fn forget(&mut self, target: &TargetId) {
        let memory = self.targets.remove(target);
        let parts = memory.iter().flat_map(|m| m.parts.iter());
        for (part, _) in parts {
            drop_holder(&mut self.holders, *part, target);
        }
    }

    /// Drops the parts of targets that are gone: those that were unlisted at the previous sweep too, as
    /// live targets may be missing from the list for a moment.
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

    /// Marks known parts as unsaved after the store was reverted, which may have lost saved parts.
    pub fn on_store_reverted(&mut self) {
        self.unsaved |= !self.holders.is_empty();
    }

    /// Returns whether shared parts became known since the last call, or may be lost from the store.
    pub fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.unsaved)
    }

    /// Takes up to `limit` new parts from the queue, to announce them to peers. If `young`, the router has
    /// just started, and remembers them for [`Self::announce_again`].
    pub fn take_announcements(&mut self, limit: usize, young: bool) -> Vec<PartLocation> {
        let n = self.announcements.len().min(limit);
        let announcements: Vec<PartLocation> = self.announcements.drain(..n).collect();
        if young && self.announced.len() < MAX_ANNOUNCEMENTS {
            self.announced.extend_from_slice(&announcements);
        }
        announcements
    }

    /// Queues the parts announced so far once more: routers that started together did not know each other
    /// yet.
    pub fn announce_again(&mut self) {
        self.announcements
            .extend(std::mem::take(&mut self.announced));
    }

    /// Returns all shared parts, least recently used first, for a peer that has just started.
    pub fn shared_parts(&self) -> Vec<PartLocation> {
        let of_target = |(target, memory): (&TargetId, &TargetCache)| {
            let shared = memory.parts.iter().rev().filter(|(_, held)| held.shared);
            let announced = shared.map(|(id, held)| (*id, held.tokens, target.clone()));
            announced.collect::<Vec<_>>()
        };
        self.targets.iter().flat_map(of_target).collect()
    }

    /// Returns the number of tokens that a target is assumed to have cached.
    pub fn cached_tokens(&self, target: &TargetId) -> Tokens {
        self.targets.get(target).map_or(Tokens(0), |m| m.tokens)
    }
}

impl Default for TargetCache {
    fn default() -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: Tokens(0),
        }
    }
}

impl TargetCache {
    /// Records a use of a part; returns whether the part is new.
    fn insert(&mut self, part: PromptPart, shared: bool) -> bool {
        let tokens = part.tokens;
        let before = self.parts.put(part.id, CachedPart { tokens, shared });
        if before.is_none() {
            self.tokens += part.tokens;
        }
        before.is_none()
    }

    /// Evicts the parts that exceed the target's memory; returns them.
    fn evict(&mut self, memory_tokens: u64) -> Vec<PartId> {
        let limit = Tokens((memory_tokens as f64 * CACHE_FRACTION) as u64);
        let mut dropped = Vec::new();
        while self.tokens > limit || self.parts.len() > MAX_PARTS_PER_TARGET {
            let Some((part, held)) = self.parts.pop_lru() else {
                break;
            };
            self.tokens = self.tokens.saturating_sub(held.tokens);
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

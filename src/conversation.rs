//! The conversations that were placed off their first choice, kept at that choice's home.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::ids::{ConversationKey, TargetId};

/// Conversations that one home remembers; beyond it the one used longest ago is forgotten,
/// and goes back to its first choice.
pub const CAPACITY: usize = 16_384;

/// Where the conversations went that their first choice did not take.
#[derive(Debug)]
pub struct ConversationTable {
    placed: LruCache<ConversationKey, TargetId>,
}

impl Default for ConversationTable {
    fn default() -> Self {
        Self::with_capacity(CAPACITY)
    }
}

impl ConversationTable {
    /// A table that keeps at most `n` conversations (at least one).
    pub fn with_capacity(n: usize) -> Self {
        Self {
            placed: LruCache::new(NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)),
        }
    }

    /// Remembers where a conversation's cached work lies.
    pub fn on_placed(&mut self, key: ConversationKey, target: TargetId) {
        self.placed.put(key, target);
    }

    /// Where the conversation's cached work lies, if not at its first choice.
    pub fn find(&mut self, key: ConversationKey) -> Option<&TargetId> {
        self.placed.get(&key)
    }

    /// Forgets the conversations of a target that lost its cache or left.
    pub fn forget_target(&mut self, target: &TargetId) {
        let gone: Vec<_> = self
            .placed
            .iter()
            .filter(|(_, t)| *t == target)
            .map(|(k, _)| *k)
            .collect();
        for key in gone {
            self.placed.pop(&key);
        }
    }

    /// All entries, the one used last first.
    pub fn iter(&self) -> impl Iterator<Item = (&ConversationKey, &TargetId)> {
        self.placed.iter()
    }

    /// How many conversations are remembered.
    pub fn len(&self) -> usize {
        self.placed.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }
}

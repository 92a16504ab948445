//! Where conversations went that their first choice did not take, kept at that choice's home.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::ids::{ConversationKey, TargetId};

/// Conversations that one home remembers; beyond it the one used longest ago is forgotten,
/// and goes back to its first choice.
pub const CAPACITY: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// Targets that one conversation is remembered at. One that many callers share at once needs
/// several; its prefix is warm on these and on no more.
pub const PLACES: usize = 24;

/// How many places a caller is told at once.
const TOLD: usize = 3;

/// A conversation at this many places or fewer is taken to move from one to the next; at more
/// it is shared, and its requests take turns.
pub const SHARED_ABOVE: usize = 2;

/// The places of conversations that are not only at their first choice.
#[derive(Debug)]
pub struct ConversationTable {
    places: LruCache<ConversationKey, Vec<TargetId>>,
}

impl Default for ConversationTable {
    fn default() -> Self {
        Self {
            places: LruCache::new(CAPACITY),
        }
    }
}

impl ConversationTable {
    /// Remembers that a conversation was placed at a target just now.
    pub fn on_placed(&mut self, key: ConversationKey, target: TargetId) {
        let places = self.places.get_or_insert_mut(key, Vec::new);
        places.retain(|t| *t != target);
        places.insert(0, target);
        places.truncate(PLACES);
    }

    /// The places to try next, best first; the last placed one, unless the conversation is
    /// shared.
    pub fn find(&mut self, key: ConversationKey) -> Vec<TargetId> {
        match self.places.get_mut(&key) {
            None => Vec::new(),
            Some(places) => {
                if places.len() > SHARED_ABOVE {
                    places.rotate_left(1);
                }
                places.iter().take(TOLD).cloned().collect()
            }
        }
    }

    /// Whether the conversation has been placed elsewhere.
    pub fn contains(&self, key: ConversationKey) -> bool {
        self.places.contains(&key)
    }

    /// Forgets the places at a target that lost its cache or left.
    pub fn forget_target(&mut self, target: &TargetId) {
        for (_, places) in &mut self.places {
            places.retain(|t| t != target);
        }
    }

    /// All entries, the one used last first.
    pub fn iter(&self) -> impl Iterator<Item = (&ConversationKey, &Vec<TargetId>)> {
        self.places.iter()
    }

    /// How many conversations are remembered.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

//! A copy of the store's entries from which a router serves its peers, so that they need not read the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{StoreItem, StoreUpdate, own::PROMPTS_KEY};
use crate::units::StoreRevision;

/// Number of removed keys that a mirror keeps for peers that lag behind, in addition to the largest number of
/// entries that it has held, because all entries may expire and be listed again at once. A peer that lags
/// behind the oldest kept removal receives the complete list.
const EXTRA_REMOVED_KEYS: usize = 1_024;

/// Maximum number of gaps between successive lists that a mirror keeps.
const MAX_GAPS: usize = 16;

/// The store's entries at one revision, and the keys that were removed before.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, StoreItem>,
    removed: BTreeMap<String, StoreRevision>,
    /// All removals after this revision are known, except within gaps; some up to it may have been
    /// dropped.
    removals_complete_after: StoreRevision,
    /// Ranges between successive lists, within which entries may have been written and removed unseen.
    gaps: Vec<Gap>,
    revision: StoreRevision,
    /// Largest number of entries that it has held at once.
    peak_items: usize,
}

/// A range of revisions of which only the state at the end is known.
#[derive(Debug)]
struct Gap {
    from: StoreRevision,
    to: StoreRevision,
}

impl Gap {
    /// Returns whether a peer at `revision` may hold an entry that the mirror never saw.
    fn contains(&self, revision: StoreRevision) -> bool {
        self.from < revision && revision < self.to
    }
}

impl StoreMirror {
    /// Returns the revision up to which the mirror is complete; 0 before the first list.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the last key that begins with a prefix.
    pub fn last_key(&self, prefix: &str) -> Option<&str> {
        let following = self.items.range(prefix.to_owned()..);
        let keys = following.map(|(key, _)| key.as_str());
        keys.take_while(|key| key.starts_with(prefix)).last()
    }

    /// Replaces all entries by a complete list. A list that is older than the mirror is ignored.
    pub fn on_list(&mut self, news: &StoreUpdate) {
        if news.revision < self.revision {
            return;
        }
        if news.revision.era != self.revision.era {
            // Removals of another era do not apply to this one.
            self.clear();
        }
        let by_key = |item: &StoreItem| (item.key.clone(), item.clone());
        let before = std::mem::take(&mut self.items);
        self.items = news.items.iter().map(by_key).collect();
        match before.is_empty() {
            true => self.removals_complete_after = news.revision,
            false => self.record_gap(news.revision),
        }
        for key in before.into_keys() {
            if !self.items.contains_key(&key) {
                self.removed.insert(key, news.revision);
            }
        }
        self.removed.retain(|key, _| !self.items.contains_key(key));
        self.trim();
        self.revision = news.revision;
    }

    /// Removes everything, after the store was reverted to an older state.
    pub fn clear(&mut self) {
        *self = Self {
            peak_items: self.peak_items,
            ..Self::default()
        };
    }

    /// Returns all entries.
    pub fn list(&self) -> StoreUpdate {
        StoreUpdate {
            items: self.items.values().cloned().collect(),
            revision: self.revision,
        }
    }

    /// Applies changes that follow the mirror's revision.
    pub fn on_changes(&mut self, news: &StoreUpdate) {
        for item in &news.items {
            let before = self.items.get(&item.key).map(|b| b.revision);
            let before = before.max(self.removed.get(&item.key).copied());
            if before.is_some_and(|b| b >= item.revision) {
                continue;
            }
            match item.value {
                Some(_) => {
                    self.removed.remove(&item.key);
                    self.items.insert(item.key.clone(), item.clone());
                }
                None => {
                    self.items.remove(&item.key);
                    self.removed.insert(item.key.clone(), item.revision);
                }
            }
        }
        self.trim();
        self.revision = self.revision.max(news.revision);
    }

    /// Returns what a peer at a revision is missing, or `None` if the mirror has no newer revision.
    pub fn since(&self, after: StoreRevision) -> Option<MirrorReply> {
        let revision = self.revision;
        match after {
            after if after >= revision => None,
            after if after.era == revision.era && self.has_removals_since(after) => {
                Some(MirrorReply::Changes(StoreUpdate {
                    items: self.changes_after(after),
                    revision,
                }))
            }
            _ => Some(MirrorReply::List(self.list())),
        }
    }

    /// Returns whether all removals since a revision are known.
    fn has_removals_since(&self, after: StoreRevision) -> bool {
        after >= self.removals_complete_after && !self.gaps.iter().any(|gap| gap.contains(after))
    }

    /// Returns the last change of each key since a revision, in order of revisions.
    fn changes_after(&self, after: StoreRevision) -> Vec<StoreItem> {
        // Only starting routers need the saved state, which is large; running ones receive what it says by
        // datagram. The log of origins is passed on, as a router that starts may list from any other.
        let is_newer = |item: &&StoreItem| item.revision > after && item.key != PROMPTS_KEY;
        let put = self.items.values().filter(is_newer).cloned();
        let removed = self.removed.iter().filter(|(_, at)| **at > after);
        let removed = removed.map(|(key, at)| StoreItem {
            key: key.clone(),
            value: None,
            revision: *at,
        });
        let mut items: Vec<StoreItem> = put.chain(removed).collect();
        items.sort_unstable_by_key(|item| item.revision);
        items
    }

    fn record_gap(&mut self, to: StoreRevision) {
        let from = self.revision;
        if from < to {
            self.gaps.push(Gap { from, to });
        }
        while self.gaps.len() > MAX_GAPS {
            self.removals_complete_after = self.removals_complete_after.max(self.gaps.remove(0).to);
        }
    }

    fn trim(&mut self) {
        self.peak_items = self.peak_items.max(self.items.len());
        let limit = EXTRA_REMOVED_KEYS + self.peak_items;
        let excess = self.removed.len().saturating_sub(limit);
        if excess == 0 {
            return;
        }
        let mut revisions: Vec<StoreRevision> = self.removed.values().copied().collect();
        let (_, newest_dropped, _) = revisions.select_nth_unstable(excess - 1);
        let dropped = *newest_dropped;
        self.removed.retain(|_, at| *at > dropped);
        self.removals_complete_after = self.removals_complete_after.max(dropped);
    }
}

/// A router's response to a peer that asks for the store's changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorReply {
    /// The changes since the peer's revision.
    Changes(StoreUpdate),
    /// All entries, because the changes since the peer's revision are no longer known.
    List(StoreUpdate),
    /// No newer revision.
    Nothing,
}

//! What the store held, kept so that peers need not ask the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{StoreItem, StoreNews, own::PROMPTS_KEY};
use crate::units::StoreRevision;

/// Removed keys that a mirror remembers for peers that lag behind, beside as many as it ever held: all may lapse and be
/// listed anew at once, and a peer that asks for older ones than these is sent all entries.
const REMOVED_KEPT: usize = 1_024;

/// Lists that were taken after others, of which is remembered what they left open.
const GAPS_KEPT: usize = 16;

/// What the store held at one revision, and what was removed before.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, StoreItem>,
    removed: BTreeMap<String, StoreRevision>,
    /// Removals up to this one are not all remembered.
    oldest: StoreRevision,
    /// From one list to the next entries may have come and gone that the mirror never had.
    gaps: Vec<Gap>,
    revision: StoreRevision,
    /// The most entries that it held at once.
    most: usize,
}

/// Revisions of which only what was left at the end is known.
#[derive(Debug)]
struct Gap {
    from: StoreRevision,
    to: StoreRevision,
}

impl Gap {
    /// Whether a peer at a revision may hold an entry that the mirror never had.
    fn is_around(&self, revision: StoreRevision) -> bool {
        self.from < revision && revision < self.to
    }
}

impl StoreMirror {
    /// The revision up to which the mirror is complete; 0 before the first list.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// The last of the keys that begin with a prefix.
    pub fn last_key(&self, prefix: &str) -> Option<&str> {
        let below = self.items.range(prefix.to_owned()..);
        let below = below.map(|(key, _)| key.as_str());
        below.take_while(|key| key.starts_with(prefix)).last()
    }

    /// Takes a whole list in place of what was there; one older than the mirror is passed over.
    pub fn on_list(&mut self, news: &StoreNews) {
        if news.revision < self.revision {
            return;
        }
        if news.revision.era != self.revision.era {
            // What was removed in another era says nothing of this one.
            self.clear();
        }
        let by_key = |item: &StoreItem| (item.key.clone(), item.clone());
        let before = std::mem::take(&mut self.items);
        self.items = news.items.iter().map(by_key).collect();
        match before.is_empty() {
            true => self.oldest = news.revision,
            false => self.note_gap(news.revision),
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

    /// Forgets everything: the store was set back to an older state.
    pub fn clear(&mut self) {
        *self = Self {
            most: self.most,
            ..Self::default()
        };
    }

    /// All that the store held.
    pub fn list(&self) -> StoreNews {
        StoreNews {
            items: self.items.values().cloned().collect(),
            revision: self.revision,
        }
    }

    /// Takes changes that follow the mirror's revision.
    pub fn on_changes(&mut self, news: &StoreNews) {
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

    /// What a peer at a revision lacks; `None` if the mirror has no newer revision.
    pub fn since(&self, after: StoreRevision) -> Option<Mirrored> {
        let revision = self.revision;
        match after {
            after if after >= revision => None,
            after if after.era == revision.era && self.knows_removals(after) => {
                Some(Mirrored::Changes(StoreNews {
                    items: self.newer(after),
                    revision,
                }))
            }
            _ => Some(Mirrored::List(self.list())),
        }
    }

    /// Whether all removals since a revision are remembered.
    fn knows_removals(&self, after: StoreRevision) -> bool {
        after >= self.oldest && !self.gaps.iter().any(|gap| gap.is_around(after))
    }

    /// The last change of each key since a revision, in order.
    fn newer(&self, after: StoreRevision) -> Vec<StoreItem> {
        // Saved prompts are for routers that start; the others hear of each prompt by datagram.
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

    fn note_gap(&mut self, to: StoreRevision) {
        let from = self.revision;
        if from < to {
            self.gaps.push(Gap { from, to });
        }
        while self.gaps.len() > GAPS_KEPT {
            self.oldest = self.oldest.max(self.gaps.remove(0).to);
        }
    }

    fn trim(&mut self) {
        self.most = self.most.max(self.items.len());
        let kept = REMOVED_KEPT + self.most;
        let more = self.removed.len().saturating_sub(kept);
        if more == 0 {
            return;
        }
        let mut revisions: Vec<StoreRevision> = self.removed.values().copied().collect();
        let (_, last, _) = revisions.select_nth_unstable(more - 1);
        let forgotten = *last;
        self.removed.retain(|_, at| *at > forgotten);
        self.oldest = self.oldest.max(forgotten);
    }
}

/// What one router tells another of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mirrored {
    /// What changed.
    Changes(StoreNews),
    /// Everything, as the changes are no longer known.
    List(StoreNews),
    /// Nothing is newer.
    Nothing,
}

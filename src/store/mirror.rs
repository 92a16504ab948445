//! What the store held, kept so that peers need not ask the store.

use std::collections::{BTreeMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{StoreItem, StoreNews, own::PROMPTS_KEY};
use crate::units::StoreRevision;

/// Changes that a mirror keeps for peers that lag behind.
const HISTORY: usize = 512;

/// What the store held at one revision, and the last changes that led there.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, StoreItem>,
    history: VecDeque<StoreItem>,
    /// Changes up to this one are no longer in the history.
    oldest: StoreRevision,
    revision: StoreRevision,
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
        let by_key = |item: &StoreItem| (item.key.clone(), item.clone());
        self.items = news.items.iter().map(by_key).collect();
        self.history.clear();
        self.oldest = news.revision;
        self.revision = news.revision;
    }

    /// Forgets everything: the store was set back to an older state.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes changes that follow the mirror's revision.
    pub fn on_changes(&mut self, news: &StoreNews) {
        for item in &news.items {
            let before = self.items.get(&item.key);
            if before.is_some_and(|b| b.revision >= item.revision) {
                continue;
            }
            match item.value {
                Some(_) => self.items.insert(item.key.clone(), item.clone()),
                None => self.items.remove(&item.key),
            };
            self.history.push_back(item.clone());
        }
        while self.history.len() > HISTORY {
            let dropped = self.history.pop_front();
            self.oldest = dropped.map_or(self.oldest, |d| d.revision);
        }
        self.revision = self.revision.max(news.revision);
    }

    /// What a peer at a revision lacks; `None` if the mirror has no newer revision.
    pub fn since(&self, after: StoreRevision) -> Option<Mirrored> {
        let revision = self.revision;
        // Saved prompts are for routers that start; the others hear of each prompt by datagram.
        let newer = |item: &&StoreItem| item.revision > after && item.key != PROMPTS_KEY;
        match after {
            after if after >= revision => None,
            after if after >= self.oldest => Some(Mirrored::Changes(StoreNews {
                items: newest(self.history.iter().filter(newer)),
                revision,
            })),
            _ => Some(Mirrored::List(StoreNews {
                items: self.items.values().cloned().collect(),
                revision,
            })),
        }
    }
}

/// The last change of each key, in order.
fn newest<'a>(changes: impl DoubleEndedIterator<Item = &'a StoreItem>) -> Vec<StoreItem> {
    let mut seen = HashSet::new();
    let last = changes.rev().filter(|item| seen.insert(item.key.as_str()));
    let mut items: Vec<StoreItem> = last.cloned().collect();
    items.reverse();
    items
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

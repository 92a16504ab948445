//! The platform's metadata store as the gateway uses it, and a mirror of it that peers may ask.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    future::Future,
    pin::Pin,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    config::serving::ServingConfig, discovery::TargetRecord, ids::TargetId, units::StoreRevision,
};

/// Why a call to the store did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Not reached, no answer in time, or a connection that broke: the call may have been done.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The store turned the call away; nothing was done.
    #[error("turned away with status {0}")]
    TurnedAway(u16),
    /// The revision to go on from is no longer in the store's history.
    #[error("history is gone")]
    HistoryGone,
    /// The answer is not understood.
    #[error("not understood: {0}")]
    Garbled(String),
}

/// One entry as it was written, or its end. What it means only the adapter knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// What was written; `None` where the entry was removed.
    pub value: Option<PackedValue>,
    /// The write or removal.
    pub revision: StoreRevision,
}

/// A value as it is kept and passed on between routers: compressed, as a configuration of some
/// hundred routes is told to many routers at once and some of them have thin links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue(Vec<u8>);

/// How hard values are compressed, from 0 to 10: a tenth of the size in few milliseconds.
const PACK_LEVEL: u8 = 4;

/// The largest value that is unpacked, in bytes; a store's values are a megabyte at the most.
const UNPACK_LIMIT: usize = 16 << 20;

impl PackedValue {
    /// Compresses a value.
    pub fn pack(value: &[u8]) -> Self {
        Self(miniz_oxide::deflate::compress_to_vec(value, PACK_LEVEL))
    }

    /// The value as it was written; the error says what is wrong with the packing.
    pub fn unpack(&self) -> Result<Vec<u8>, String> {
        let unpacked = miniz_oxide::inflate::decompress_to_vec_with_limit(&self.0, UNPACK_LIMIT);
        unpacked.map_err(|e| format!("value not unpacked: {e}"))
    }

    /// Bytes that it takes.
    pub fn packed_len(&self) -> usize {
        self.0.len()
    }
}

/// What an entry means.
#[derive(Debug)]
pub enum StoreChange {
    /// The operators' configuration was written.
    Config(Box<ServingConfig>),
    /// A target wrote its entry.
    Target(TargetRecord),
    /// A target's entry went.
    TargetGone(TargetId),
    /// A router wrote where its peers reach it.
    Peer(std::net::SocketAddr),
    /// Which prompts are read where, as some router saved it.
    Prompts(Vec<u8>),
    /// Nothing that concerns the gateway.
    Other,
}

/// Everything that the store holds, or what changed in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// The entries, in order.
    pub items: Vec<StoreItem>,
    /// The revision that they lead to.
    pub revision: StoreRevision,
}

/// A call in progress.
pub type StoreCall<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;

/// The store, as an adapter reaches it.
pub trait MetaStore {
    /// All that concerns the gateway, by consistent reads.
    fn list(&self) -> StoreCall<'_, StoreNews>;
    /// Waits for changes after a revision, at most so long; empty if there are none.
    fn watch(&self, after: StoreRevision, wait: Duration) -> StoreCall<'_, StoreNews>;
    /// What an entry means; the error says what is wrong with it.
    fn decode(&self, item: &StoreItem) -> Result<StoreChange, String>;
    /// Saves which prompts are read where, for routers that start when no other is left to tell.
    fn save_prompts(&self, prompts: Vec<u8>) -> StoreCall<'_, ()>;
    /// Writes where this router's peers reach it; the entry goes by itself some time after the
    /// router does. Called again, keeps the entry alive.
    fn announce(&self, address: std::net::SocketAddr) -> StoreCall<'_, ()>;
}

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
        let newer = |item: &&StoreItem| item.revision > after;
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

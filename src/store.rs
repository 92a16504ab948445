//! The platform's metadata store as the gateway uses it.

use std::{future::Future, pin::Pin, time::Duration};

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

/// One change in the store, decoded.
#[derive(Debug)]
pub enum StoreChange {
    /// The operators' configuration was written.
    Config(Box<ServingConfig>, String),
    /// A target wrote its entry.
    Target(TargetRecord, StoreRevision),
    /// A target's entry went.
    TargetGone(TargetId, StoreRevision),
    /// A router wrote where its peers reach it.
    Peer(std::net::SocketAddr),
    /// Which prompts are read where, as some router saved it.
    Prompts(Vec<u8>),
    /// Something that concerns nobody here, or that could not be decoded, with the reason.
    Other(Option<String>),
}

/// Everything that the store holds, or what changed in it.
#[derive(Debug, Default)]
pub struct StoreNews {
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
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
    /// Saves which prompts are read where, for routers that start when no other is left to tell.
    fn save_prompts(&self, prompts: Vec<u8>) -> StoreCall<'_, ()>;
    /// Writes where this router's peers reach it; the entry goes by itself some time after the
    /// router does. Called again, keeps the entry alive.
    fn announce(&self, address: std::net::SocketAddr) -> StoreCall<'_, ()>;
}

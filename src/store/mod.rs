//! The platform's metadata store as the gateway uses it.

mod mirror;
pub mod own;

use std::{borrow::Cow, future::Future, pin::Pin, time::Duration};

use serde::{Deserialize, Serialize};

pub use mirror::{Mirrored, StoreMirror};

use crate::{
    config::serving::ServingConfig,
    discovery::TargetRecord,
    ids::{DataHall, TargetName},
    units::StoreRevision,
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
    /// The store came back from an older copy between what the call builds on and its answer.
    #[error("the store was set back meanwhile")]
    SetBack,
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

/// A value as it is kept and passed on between routers: a large one compressed, as a configuration of some
/// hundred routes is told to many routers at once and some of them have thin links. A small one gains little by that, and to
/// compress each of thousands takes a thin processor seconds; lists of them are compressed as a whole on their way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedValue {
    /// As it was written.
    Plain(Vec<u8>),
    /// Compressed.
    Packed(Vec<u8>),
}

/// Bytes from which on a value is compressed.
const PACKED_FROM: usize = 512;

/// How hard values are compressed, from 0 to 10: a tenth of the size in few milliseconds.
const PACK_LEVEL: u8 = 4;

/// The largest value that is unpacked, in bytes; a store's values are a megabyte at the most.
const UNPACK_LIMIT: usize = 16 << 20;

impl PackedValue {
    /// Compresses a value, if it is large.
    pub fn pack(value: &[u8]) -> Self {
        match value.len() < PACKED_FROM {
            true => Self::Plain(value.to_vec()),
            false => Self::Packed(miniz_oxide::deflate::compress_to_vec(value, PACK_LEVEL)),
        }
    }

    /// A value whose bytes can't be read; it does not unpack.
    pub fn unreadable() -> Self {
        Self::Packed(Vec::new())
    }

    /// The value as it was written; the error says what is wrong with the packing.
    pub fn unpack(&self) -> Result<Cow<'_, [u8]>, String> {
        let packed = match self {
            Self::Plain(value) => return Ok(Cow::Borrowed(value)),
            // The inflater never returns from empty input.
            Self::Packed(packed) if packed.is_empty() => {
                return Err("the value's bytes can't be read".to_owned());
            }
            Self::Packed(packed) => packed,
        };
        let unpacked = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, UNPACK_LIMIT);
        let unpacked = unpacked.map_err(|e| format!("value not unpacked: {e}"))?;
        Ok(Cow::Owned(unpacked))
    }

    /// Bytes that it takes.
    pub fn packed_len(&self) -> usize {
        match self {
            Self::Plain(bytes) | Self::Packed(bytes) => bytes.len(),
        }
    }
}

/// What an entry that others wrote means.
#[derive(Debug)]
pub enum StoreChange {
    /// The operators' configuration was written.
    Config(Box<ServingConfig>),
    /// A target wrote its entry.
    Target(TargetRecord),
    /// A target's entry went.
    TargetGone(TargetName),
    /// An entry of a target was written that names none to use.
    TargetUnusable {
        /// Whose entry it is.
        name: TargetName,
        /// What is wrong with it.
        why: String,
    },
    /// A data hall is evacuated: its targets are to get nothing.
    HallEvacuated(DataHall),
    /// A data hall is taken back, if it was evacuated.
    HallTakenBack(DataHall),
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

/// A key's value and the write that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The value as it was written.
    pub value: Vec<u8>,
    /// The write.
    pub revision: StoreRevision,
}

/// What a compare-and-swap came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect, as this revision.
    Done(StoreRevision),
    /// The key was not as expected; nothing was written.
    Conflict,
}

/// The store, as an adapter reaches it.
///
/// An error of a call that writes leaves open whether it took effect: the caller settles that by
/// reading, or writes what may be written twice.
pub trait MetaStore {
    /// All that concerns the gateway, by consistent reads.
    fn list(&self) -> StoreCall<'_, StoreNews>;
    /// Waits for changes after a revision, at most so long; empty if there are none.
    fn watch(&self, after: StoreRevision, wait: Duration) -> StoreCall<'_, StoreNews>;
    /// What an entry that others wrote means; the error says what is wrong with it.
    fn decode(&self, item: &StoreItem) -> Result<StoreChange, String>;
    /// The value of a key, by a consistent read.
    fn get(&self, key: &str) -> StoreCall<'_, Option<StoredValue>>;
    /// All keys that begin with a prefix, in order, by consistent reads.
    fn range(&self, prefix: &str) -> StoreCall<'_, Vec<StoredValue>>;
    /// Writes a key if it is still as of `expected`; `None` expects it absent.
    fn swap(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> StoreCall<'_, Swap>;
    /// Writes a key whatever it held before.
    fn put(&self, key: &str, value: Vec<u8>) -> StoreCall<'_, ()>;
    /// Writes a key that goes after so long, whatever it held before; a call that is repeated begins anew.
    fn put_for(&self, key: &str, value: Vec<u8>, lasts: Duration) -> StoreCall<'_, ()>;
    /// Writes a key under a lease of this router's own, or renews the lease; the key goes some
    /// time after the router does.
    fn keep(&self, key: &str, value: Vec<u8>) -> StoreCall<'_, ()>;
    /// Removes a key.
    fn remove(&self, key: &str) -> StoreCall<'_, ()>;
}

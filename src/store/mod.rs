//! Interface to the platform's metadata store.

mod mirror;
pub mod own;

use std::{borrow::Cow, future::Future, pin::Pin, time::Duration};

use serde::{Deserialize, Serialize};

pub use mirror::{MirrorReply, StoreMirror};

use crate::{
    config::serving::ServingConfig,
    discovery::TargetRecord,
    ids::{DataHall, TargetName},
    units::StoreRevision,
};

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store was unreachable, timed out or closed the connection. The call may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The store rejected the call, which had no effect.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// The revision after which changes were requested is no longer in the store's history.
    #[error("the requested revision is no longer in the store's history")]
    HistoryGone,
    /// The store was reverted to an older copy between the read that the call builds on and the response.
    #[error("the store was reverted during the call")]
    Reverted,
    /// The response could not be decoded.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
}

/// One entry of the store as it was written, or its removal. Only the adapter interprets the value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The written value; `None` if the entry was removed.
    pub value: Option<PackedValue>,
    /// Revision of the write or removal.
    pub revision: StoreRevision,
}

/// A value as it is stored and sent between routers; large values are compressed.
///
/// A configuration of several hundred routes is sent to many routers at once, some of which have slow links.
/// A small value gains little from compression, and compressing each of thousands takes seconds on a slow
/// CPU. Lists of small values are compressed as a whole when they are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedValue {
    /// The value as it was written.
    Plain(Vec<u8>),
    /// The compressed value.
    Packed(Vec<u8>),
}

/// Minimum size of a value that is compressed, in bytes.
const MIN_BYTES_TO_COMPRESS: usize = 512;

/// Compression level from 0 to 10. Level 4 reduces a value to a tenth of its size within a few milliseconds.
const COMPRESSION_LEVEL: u8 = 4;

/// Maximum size of a decompressed value, in bytes. The store's values have at most 1 MB.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

impl PackedValue {
    /// Compresses a value if it is large.
    pub fn pack(value: &[u8]) -> Self {
        match value.len() < MIN_BYTES_TO_COMPRESS {
            true => Self::Plain(value.to_vec()),
            false => Self::Packed(miniz_oxide::deflate::compress_to_vec(
                value,
                COMPRESSION_LEVEL,
            )),
        }
    }

    /// Returns a placeholder for a value that could not be read. `unpack` fails for it.
    pub fn unreadable() -> Self {
        Self::Packed(Vec::new())
    }

    /// Returns the value as it was written, or a description of why it can't be decompressed.
    pub fn unpack(&self) -> Result<Cow<'_, [u8]>, String> {
        let packed = match self {
            Self::Plain(value) => return Ok(Cow::Borrowed(value)),
            // The decompressor loops forever on empty input.
            Self::Packed(packed) if packed.is_empty() => {
                return Err("the value's bytes could not be read".to_owned());
            }
            Self::Packed(packed) => packed,
        };
        let unpacked =
            miniz_oxide::inflate::decompress_to_vec_with_limit(packed, MAX_UNPACKED_BYTES);
        let unpacked = unpacked.map_err(|e| format!("value could not be decompressed: {e}"))?;
        Ok(Cow::Owned(unpacked))
    }

    /// Returns the size in bytes as stored.
    pub fn packed_len(&self) -> usize {
        match self {
            Self::Plain(bytes) | Self::Packed(bytes) => bytes.len(),
        }
    }
}

/// A decoded entry that the platform's other components wrote.
#[derive(Debug)]
pub enum StoreChange {
    /// The operators' configuration was written.
    Config(Box<ServingConfig>),
    /// The operators' configuration was written, and can't be decoded.
    ConfigUnusable {
        /// Description of what is wrong with it.
        why: String,
    },
    /// A target wrote its entry.
    Target(TargetRecord),
    /// A target's entry was removed.
    TargetRemoved(TargetName),
    /// A target's entry was written that does not describe a usable target.
    TargetUnusable {
        /// Name of the target.
        name: TargetName,
        /// Description of what is wrong with the entry.
        why: String,
    },
    /// A data hall is evacuated: its targets receive no requests.
    HallEvacuated(DataHall),
    /// A data hall is no longer evacuated.
    HallEvacuationEnded(DataHall),
    /// An entry without effect on the gateway.
    Other,
}

/// All entries of the store, or its changes since a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The entries, in the order of the list or of the changes.
    pub items: Vec<StoreItem>,
    /// Revision of the store after these entries.
    pub revision: StoreRevision,
}

/// The future of a call to the store.
pub type StoreCall<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;

/// A key's value, with the revision of the write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The value as it was written.
    pub value: Vec<u8>,
    /// Revision of the write.
    pub revision: StoreRevision,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect at this revision.
    Done(StoreRevision),
    /// The key's revision was not the expected one; nothing was written.
    Conflict,
}

/// Access to the metadata store, implemented by an adapter.
///
/// If a write fails, it may have taken effect nonetheless. The caller finds out by reading, or makes writes
/// that can safely be repeated.
pub trait MetaStore {
    /// Returns all entries that the gateway uses, by consistent reads.
    fn list(&self) -> StoreCall<'_, StoreUpdate>;
    /// Returns the revision of the store, by a consistent read.
    fn revision(&self) -> StoreCall<'_, StoreRevision>;
    /// Waits at most `wait` for changes after a revision; returns no entries if there are none.
    fn watch(&self, after: StoreRevision, wait: Duration) -> StoreCall<'_, StoreUpdate>;
    /// Decodes an entry that the platform's other components wrote; the error says what is wrong with it.
    fn decode(&self, item: &StoreItem) -> Result<StoreChange, String>;
    /// Returns the value of a key, by a consistent read.
    fn get(&self, key: &str) -> StoreCall<'_, Option<StoredValue>>;
    /// Returns all keys that begin with a prefix, in order, by consistent reads.
    fn range(&self, prefix: &str) -> StoreCall<'_, Vec<StoredValue>>;
    /// Writes a key if its revision is still `expected`; `None` requires the key to be absent.
    fn swap(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> StoreCall<'_, SwapResult>;
    /// Writes a key unconditionally.
    fn put(&self, key: &str, value: Vec<u8>) -> StoreCall<'_, ()>;
    /// Writes a key unconditionally and lets it expire after `lasts`. A repeated call restarts the time.
    fn put_with_ttl(&self, key: &str, value: Vec<u8>, lasts: Duration) -> StoreCall<'_, ()>;
    /// Writes a key under a lease of this router, or renews the lease. The key expires some time after the
    /// router stops.
    fn put_with_lease(&self, key: &str, value: Vec<u8>) -> StoreCall<'_, ()>;
    /// Removes a key.
    fn remove(&self, key: &str) -> StoreCall<'_, ()>;
}

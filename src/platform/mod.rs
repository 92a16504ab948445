//! The platform's edge: its key-value service and its list of VMs.

mod http;

use std::time::Duration;

use async_trait::async_trait;

use crate::{Result, settings::VmInfo};

pub use http::HttpPlatform;

pub use crate::units::StoreRevision;

/// A key's value and the write that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The write that made it.
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

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Writes after the asked revision, in order, and the revision to go on from.
    Events(Vec<Entry>, StoreRevision),
    /// The asked revision is no longer in the store's history: list anew.
    TooOld,
}

/// The platform's key-value service.
///
/// An error from `swap` leaves open whether the write took effect; the caller settles it by
/// reading.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// The value of a key.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;
    /// All keys that begin with a prefix, in order, and the store's revision.
    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, StoreRevision)>;
    /// Writes a key if it is still as of `expected`; `None` expects it absent.
    async fn swap(&self, key: &str, expected: Option<StoreRevision>, value: &str) -> Result<Swap>;
    /// Removes a key.
    async fn remove(&self, key: &str) -> Result<()>;
    /// Waits for writes below a prefix after a revision; empty events after `wait`.
    async fn watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> Result<Watched>;
}

/// The platform's lagging list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// The VMs that are believed to live.
    async fn vms(&self) -> Result<Vec<VmInfo>>;
}

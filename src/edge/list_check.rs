//! Checks that this router's copy of the store has each change that was made before a call arrived.
//!
//! The age of the copy can't tell: a target may join, begin a stream and lose it within any age. A read of the
//! store's revision that begins after the call arrived can, once the copy has reached that revision.

use std::{net::SocketAddr, time::Duration};

use slog::info;
use tokio::sync::Mutex;

use super::{gateway::Gateway, peer_calls};
use crate::{
    store::StoreError,
    units::{Instant, StoreRevision},
};

/// Maximum time for one read of the store's revision. A store that is under load takes some 200 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time until the copy has a revision that the store had: changes are read together every 300 ms.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// The latest read of the store's revision. Calls that wait for it begin the next one together.
#[derive(Debug, Default)]
pub(crate) struct RevisionReads(Mutex<Option<RevisionRead>>);

/// A read of the store's revision.
#[derive(Debug, Clone, Copy)]
struct RevisionRead {
    /// When the read began: the store had the revision then, or reached it later.
    began: Instant,
    /// The revision; `None` if the store did not answer.
    revision: Option<StoreRevision>,
}

/// Returns whether the copy of the store has each change that was made before this call, and waits for changes that
/// it lacks.
pub(super) async fn is_current(cx: &Gateway) -> bool {
    let revision = match read_revision(cx).await {
        Some(revision) => Some(revision),
        None => ask_reader(cx).await,
    };
    let Some(revision) = revision else {
        return false;
    };
    let caught_up = tokio::time::timeout(CATCH_UP_TIMEOUT, catch_up(cx, revision)).await;
    // Entries that were lost with the store are about to be written again.
    let may_lack_entries = (cx.dispatcher.borrow().discovery).may_lack_entries(cx.now());
    caught_up.is_ok() && !may_lack_entries
}

/// Returns a revision that the store reached after this call, if the store answers in time.
pub(super) async fn read_revision(cx: &Gateway) -> Option<StoreRevision> {
    let arrived = cx.now();
    let mut latest = cx.revision_reads.0.lock().await;
    if let Some(read) = latest.filter(|read| read.began >= arrived) {
        return read.revision;
    }
    let began = cx.now();
    cx.metrics.on_store_call("revision");
    let read = tokio::time::timeout(READ_TIMEOUT, cx.store.revision()).await;
    let read = read.unwrap_or_else(|e| Err(StoreError::NoAnswer(e.to_string())));
    let revision = read
        .inspect_err(|e| info!(cx.log, "revision not read"; "why" => %e))
        .ok();
    *latest = Some(RevisionRead { began, revision });
    revision
}

/// Asks a router that the store answers, where it does not answer this one.
async fn ask_reader(cx: &Gateway) -> Option<StoreRevision> {
    let reader: SocketAddr = cx.peers.borrow().choose_reader(cx.now())?;
    let answer = tokio::time::timeout(READ_TIMEOUT * 2, peer_calls::fetch_revision(reader)).await;
    answer.ok()?.ok().flatten()
}

/// Waits until the copy of the store has this revision.
async fn catch_up(cx: &Gateway, revision: StoreRevision) {
    loop {
        let changed = cx.mirror_changed.notified();
        if cx.mirror.borrow().revision() >= revision {
            return;
        }
        changed.await;
    }
}

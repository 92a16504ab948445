//! Checks that this router's copy of the store has each change that was made before a call arrived.
//!
//! The age of the copy can't tell: a target may join, begin a stream and lose it within any age. A read of the
//! store's revision that begins after the call arrived can, once the copy has reached that revision.

use std::time::Duration;

use slog::info;
use tokio::sync::Mutex;

use super::{gateway::Gateway, peer_calls};
use crate::{
    store::StoreError,
    units::{Instant, StoreRevision},
};

/// Maximum time for one read of the store's revision: what any other call to the store may take.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time for another router to read it.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum time for all of it, if calls wait for one another's reads.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time until the copy has a revision that the store had. Changes are read together every 300 ms, and passed
/// on by two routers in a large fleet.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads of the store's revision, each of which serves all calls that arrived before it began.
#[derive(Debug, Default)]
pub(crate) struct RevisionReads {
    /// Reads by this router.
    own: SharedRead,
    /// Reads by this router or, where the store does not answer it, by another one.
    any: SharedRead,
}

/// The latest of a sequence of reads.
#[derive(Debug, Default)]
struct SharedRead(Mutex<Option<RevisionRead>>);

/// A read of the store's revision.
#[derive(Debug, Clone, Copy)]
struct RevisionRead {
    /// When the read began: the store had the revision then, or reached it later.
    began: Instant,
    /// The revision; `None` if the store did not answer.
    revision: Option<StoreRevision>,
}

impl SharedRead {
    /// Returns the result of a read that begins after this call, which is `read` or that of another call.
    async fn get(
        &self,
        cx: &Gateway,
        read: impl Future<Output = Option<StoreRevision>>,
    ) -> Option<StoreRevision> {
        let arrived = cx.now();
        let mut latest = self.0.lock().await;
        if let Some(latest) = latest.filter(|latest| latest.began >= arrived) {
            return latest.revision;
        }
        let began = cx.now();
        let revision = read.await;
        *latest = Some(RevisionRead { began, revision });
        revision
    }
}

/// Returns whether the copy of the store has each change that was made before this call, and waits for changes that
/// it lacks.
pub(super) async fn is_current(cx: &Gateway) -> bool {
    let checked = tokio::time::timeout(CHECK_TIMEOUT, check(cx)).await;
    checked.unwrap_or(false)
}

async fn check(cx: &Gateway) -> bool {
    let read = async {
        let own = match cx.store_unavailable_since.get() {
            None => own_read(cx).await,
            Some(_) => None,
        };
        match own {
            Some(revision) => Some(revision),
            None => ask_reader(cx).await,
        }
    };
    let Some(revision) = cx.revision_reads.any.get(cx, read).await else {
        return false;
    };
    let caught_up = tokio::time::timeout(CATCH_UP_TIMEOUT, catch_up(cx, revision)).await;
    // After the store was reverted, entries are about to be written again.
    caught_up.is_ok() && !cx.dispatcher.borrow().discovery.is_settling()
}

/// Returns a revision that the store reached after this call, if the store answers this router in time.
pub(super) async fn own_read(cx: &Gateway) -> Option<StoreRevision> {
    let read = async {
        cx.metrics.on_store_call("revision");
        let read = tokio::time::timeout(READ_TIMEOUT, cx.store.revision()).await;
        let read = read.unwrap_or_else(|e| Err(StoreError::NoAnswer(e.to_string())));
        read.inspect_err(|e| info!(cx.log, "revision not read"; "why" => %e))
            .ok()
    };
    cx.revision_reads.own.get(cx, read).await
}

/// Asks a router that the store answered a moment ago.
async fn ask_reader(cx: &Gateway) -> Option<StoreRevision> {
    let reader = cx.peers.borrow().any_reader(cx.now())?;
    let answer = tokio::time::timeout(PEER_TIMEOUT, peer_calls::fetch_revision(reader)).await;
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

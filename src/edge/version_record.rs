//! The record of software versions in the store, by which routers that start know whether streams of several
//! versions may be in progress.
//!
//! The list of targets alone can't tell them: a version may have left it before they read it. The record is
//! written as soon as other versions count, again after the store was reverted, and only by routers that know
//! all versions.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::{gateway::Gateway, saved_state};
use crate::{
    config::rerouting::RoutesHash,
    membership::readers::FleetStart,
    service_versions::VersionNotice,
    store::{StoreError, SwapResult, own},
    units::{StoreEra, StoreRevision},
};

/// Interval at which a change of the versions is noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Status with which the store rejects a write whose condition does not hold.
const CONFLICT_STATUS: u16 = 412;

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What the store has for routers that start. They rely on it only if nothing can have changed unseen since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// Era of the store in which it was written: a store that was reverted has an older one.
    era: StoreEra,
    /// Which services the streams' routes have: they may change while no router runs.
    routes: RoutesHash,
    versions: Vec<VersionNotice>,
}

/// Writes the record when versions change, if this router is one of those that write the fleet's state.
pub(super) async fn write(cx: Rc<Gateway>) {
    let mut written = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if saved_state::writer_rank(&cx).is_none() {
            written = None;
            continue;
        }
        let (changes, record) = {
            let discovery = &cx.dispatcher.borrow().discovery;
            let now = cx.now();
            if !discovery.is_loaded() || !discovery.knows_versions(now) {
                continue;
            }
            let record = VersionRecord {
                era: cx.mirror.borrow().revision().era,
                routes: cx.routes_hash(),
                versions: discovery.version_record(now),
            };
            (discovery.version_changes(), record)
        };
        let state = (record.era, record.routes, changes);
        if written == Some(state) {
            continue;
        }
        match write_record(&cx, &record).await {
            Ok(()) => {
                info!(cx.log, "versions recorded"; "versions" => record.versions.len());
                written = Some(state);
            }
            Err(e) => {
                info!(cx.log, "versions not recorded"; "versions" => record.versions.len(), "why" => %e);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes the record in place of the one that the store has now. Without this condition, a write that was not
/// answered could replace a later one.
async fn write_record(cx: &Gateway, record: &VersionRecord) -> Result<(), StoreError> {
    let invalid = |e: postcard::Error| StoreError::InvalidResponse(e.to_string());
    let bytes = postcard::to_stdvec(record).map_err(invalid)?;
    cx.metrics.on_store_call("versions");
    let current = cx.store.get(own::VERSIONS_KEY).await?;
    let revision = current.map(|current| current.revision);
    match cx.store.swap(own::VERSIONS_KEY, revision, bytes).await? {
        SwapResult::Done(_) => Ok(()),
        SwapResult::Conflict => Err(StoreError::Rejected(CONFLICT_STATUS)),
    }
}

/// Applies a record that was read from the store, once. A router that follows the list needs it, too: a version may
/// have joined and left between two lists.
pub(super) fn apply(cx: &Gateway, record: &[u8], revision: StoreRevision) {
    if cx.version_record_revision.replace(revision) == revision {
        return;
    }
    let record: VersionRecord = match postcard::from_bytes(record) {
        Ok(record) => record,
        Err(e) => return warn!(cx.log, "cannot decode the record of versions"; "why" => %e),
    };
    let is_complete = record.era == revision.era && record.routes == cx.routes_hash();
    info!(cx.log, "restored versions"; "versions" => record.versions.len(), "stored" => true,
        "complete" => is_complete);
    let discovery = &mut cx.dispatcher.borrow_mut().discovery;
    match is_complete {
        true => discovery.on_version_record(cx.now(), &record.versions),
        false => discovery.on_version_notices(cx.now(), &record.versions),
    }
}

/// Handles a list of the store without a record. There were no versions if the whole fleet starts for the first time;
/// otherwise they are not known.
pub(super) fn on_missing(cx: &Gateway) {
    let knows_versions = cx.dispatcher.borrow().discovery.knows_versions(cx.now());
    match cx.cfg.start {
        _ if knows_versions => {}
        FleetStart::First => {
            info!(cx.log, "restored versions"; "versions" => 0, "stored" => false);
            let discovery = &mut cx.dispatcher.borrow_mut().discovery;
            discovery.on_version_record(cx.now(), &[]);
        }
        FleetStart::Later => warn!(cx.log, "no record of versions"),
    }
}

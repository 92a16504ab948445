//! The operators' own configuration at this router: accepted changes in their single order, and the
//! configuration that they result in.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use bytes::Bytes;
use slog::{error, info, warn};

use super::{gateway::Gateway, peer_calls};
use crate::{
    ResultCode,
    config::{Change, ChangeOutcome, ConfigLog, Snapshot, routes},
    ids::{ChangeId, Revision},
    store::{PackedValue, StoreItem, own},
    units::StoreRevision,
};

/// Log of accepted changes, and the number of diverged or older histories that were refused.
#[derive(Default)]
pub(crate) struct AcceptedChanges {
    log: RefCell<ConfigLog>,
    reverts_refused: std::cell::Cell<u64>,
}

impl AcceptedChanges {
    /// Returns the revision of the last change in force.
    pub(crate) fn revision(&self) -> Revision {
        self.log.borrow().revision()
    }

    /// Returns the number of diverged or older histories that were refused.
    pub(crate) fn reverts_refused(&self) -> u64 {
        self.reverts_refused.get()
    }

    /// Calls `f` with the log of changes.
    pub(crate) fn with_log<T>(&self, f: impl FnOnce(&ConfigLog) -> T) -> T {
        f(&self.log.borrow())
    }

    /// Returns the revision of a recent change, or `None` if it is not among the recent ones.
    pub(crate) fn revision_of(&self, id: &ChangeId) -> Option<Revision> {
        let log = self.log.borrow();
        log.recent().find(|c| c.id == *id).map(|c| c.revision)
    }

    fn count_refused_revert(&self) {
        self.reverts_refused.set(self.reverts_refused.get() + 1);
    }
}

/// Applies a change from any source; returns the outcome.
pub(crate) fn apply_change(cx: &Gateway, change: Change) -> ChangeOutcome {
    let revision = change.revision;
    let outcome = cx.accepted_changes.log.borrow_mut().on_change(change);
    handle_outcome(cx, outcome, revision);
    outcome
}

/// Applies a whole configuration from any source.
pub(crate) fn apply_snapshot(cx: &Gateway, snapshot: Snapshot) {
    let revision = snapshot.revision;
    let outcome = cx.accepted_changes.log.borrow_mut().on_snapshot(snapshot);
    handle_outcome(cx, outcome, revision);
}

fn handle_outcome(cx: &Gateway, outcome: ChangeOutcome, revision: Revision) {
    match outcome {
        ChangeOutcome::Applied => apply_accepted_config(cx),
        ChangeOutcome::Conflict => {
            cx.accepted_changes.count_refused_revert();
            error!(cx.log, "refused a change of a diverged history";
                "code" => ResultCode::StoreReverted.number(), "revision" => revision.0);
        }
        ChangeOutcome::Old | ChangeOutcome::Gap => {}
    }
}

fn apply_accepted_config(cx: &Gateway) {
    let (revision, config) = {
        let log = cx.accepted_changes.log.borrow();
        (log.revision(), Arc::clone(log.config()))
    };
    let serving = routes::serving_config(&config, revision, &cx.cfg.callers_rules);
    let at = serving.revision;
    let applied = cx.apply(serving);
    let targets = routes::target_records(&config);
    let now = cx.now();
    let evacuated = config.evacuated.iter().map(|hall| (hall.clone(), at));
    let (halls, changes) = {
        let discovery = &mut cx.dispatcher.borrow_mut().discovery;
        let halls = discovery.on_hall_list(now, evacuated.collect(), at);
        (halls, discovery.on_configured_list(now, targets, at))
    };
    for hall in halls {
        super::store_updates::log_hall(cx, &hall, at);
    }
    for (id, change) in changes {
        super::store_updates::log_target(cx, &id, change, at);
    }
    info!(cx.log, "config"; "revision" => revision.0, "applied" => applied);
}

/// Sends a change that was accepted here to the other routers, as the store may become unavailable
/// before they read it there. A router that is not reached reads it from the store or from a peer.
pub(crate) fn broadcast_change(cx: &Rc<Gateway>, change: &Change) {
    let body = match serde_json::to_vec(change) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            warn!(cx.log, "cannot encode change"; "revision" => change.revision.0, "why" => %e);
            return;
        }
    };
    for peer in cx.peers.borrow().addresses(cx.now()) {
        let (cx, body) = (Rc::clone(cx), body.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = peer_calls::send_change(peer, body).await {
                info!(cx.log, "cannot send change to peer"; "peer" => %peer, "why" => %e);
            }
        });
    }
}

/// Returns the revision of the last change that the store is known to hold.
pub(crate) fn newest_stored_revision(cx: &Gateway) -> Revision {
    let mirror = cx.mirror.borrow();
    let newest = mirror.last_key(own::CHANGE_PREFIX);
    newest.and_then(own::change_revision).unwrap_or_default()
}

/// Returns the recent changes in force here that the store is not known to hold.
pub(crate) fn unstored_changes(cx: &Gateway) -> Vec<Arc<Change>> {
    let stored = newest_stored_revision(cx);
    cx.accepted_changes.with_log(|log| {
        let unstored = log.recent().filter(|c| c.revision > stored);
        unstored.cloned().collect()
    })
}

/// Returns those changes as store entries, for a peer that is sent the store's content as of `at`.
pub(crate) fn unstored_entries(cx: &Gateway, at: StoreRevision) -> Vec<StoreItem> {
    let entry = |change: Arc<Change>| {
        // An accepted change was encoded before, so encoding does not fail.
        let value = serde_json::to_vec(&*change).ok()?;
        Some(StoreItem {
            key: own::change_key(change.revision),
            value: Some(PackedValue::pack(&value)),
            revision: at,
        })
    };
    unstored_changes(cx).into_iter().filter_map(entry).collect()
}

/// Logs an error if the store lacks changes that are in force, and writes them to it again.
pub(crate) async fn restore_lost_changes(cx: &Rc<Gateway>, lost: Vec<Arc<Change>>) {
    let Some(first) = lost.first() else {
        return;
    };
    cx.accepted_changes.count_refused_revert();
    error!(cx.log, "the store holds an older configuration than the one in force";
        "code" => ResultCode::StoreReverted.number(), "first_lost" => first.revision.0,
        "lost" => lost.len());
    for change in lost {
        let key = own::change_key(change.revision);
        let written = match serde_json::to_vec(&*change) {
            // Several routers may create the key, but with the same content. Other content is detected as
            // a conflict when it is read.
            Ok(value) => cx.store.swap(&key, None, value).await.map(|_| ()),
            Err(e) => Err(crate::store::StoreError::InvalidResponse(e.to_string())),
        };
        if let Err(e) = written {
            warn!(cx.log, "cannot restore change in the store"; "revision" => change.revision.0, "why" => %e);
            return;
        }
    }
}

//! Confirms an operator's plan by one compare-and-swap in the store. If its response is lost, the
//! outcome is determined by reading the key.

use std::{rc::Rc, time::Duration};

use serde::Serialize;
use slog::{info, warn};

use super::{
    accepted_changes::{self, apply_change},
    gateway::Gateway,
    store_sync::reload_changes,
};
use crate::{
    config::{Change, ChangeOutcome},
    ids::{ChangeId, Revision},
    intent::{self, IntentError, Plan},
    result_code::ResultCode,
    store::{
        StoreError, SwapResult,
        own::{SNAPSHOT_KEY, change_key},
    },
};

/// Maximum number of revisions that a confirmation tries to take, if other changes take them first.
const MAX_REVISION_ATTEMPTS: u32 = 16;

/// Pause before a write with an unknown outcome is tried again.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of attempts at a write with an unknown outcome before the operator gets "unknown".
const MAX_WRITE_ATTEMPTS: u32 = 10;

/// Number of changes after which the whole configuration is stored.
const CHANGES_PER_SNAPSHOT: u64 = 128;

/// Number of changes before a stored snapshot that remain in the store individually.
const RETAINED_CHANGES: u64 = 256;

/// Response to an operator whose change was accepted.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Accepted {
    id: ChangeId,
    revision: Revision,
}

/// Outcome of one write.
enum WriteOutcome {
    Accepted(Change),
    RevisionTaken,
    Unknown,
}

/// Makes a plan's change the next accepted change, exactly once.
pub(super) async fn confirm(cx: &Rc<Gateway>, plan: &Plan) -> Result<Accepted, IntentError> {
    for _ in 0..MAX_REVISION_ATTEMPTS {
        if let Some(accepted) = accepted_before(cx, &plan.id) {
            return Ok(accepted);
        }
        let change = cx
            .accepted_changes
            .with_log(|log| intent::change(log, plan))?;
        match write(cx, change).await? {
            WriteOutcome::Accepted(change) => return Ok(accept(cx, change)),
            // Another change has this revision: apply it and try the next revision.
            WriteOutcome::RevisionTaken => {
                if let Err(e) = reload_changes(cx).await {
                    info!(cx.log, "cannot read changes"; "why" => %e);
                }
            }
            WriteOutcome::Unknown => {
                let detail = format!("outcome not known yet: scaleford intent show {}", plan.id);
                return Err(IntentError::new(ResultCode::ChangeUnknown, detail));
            }
        }
    }
    let detail = "too many concurrent changes; confirm again";
    Err(IntentError::new(ResultCode::PlanOutdated, detail))
}

fn accepted_before(cx: &Gateway, id: &ChangeId) -> Option<Accepted> {
    let revision = cx.accepted_changes.revision_of(id)?;
    Some(Accepted {
        id: id.clone(),
        revision,
    })
}

async fn write(cx: &Rc<Gateway>, change: Change) -> Result<WriteOutcome, IntentError> {
    let internal_error =
        |e: serde_json::Error| IntentError::new(ResultCode::Internal, e.to_string());
    let value = serde_json::to_vec(&change).map_err(internal_error)?;
    let key = change_key(change.revision);
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(WRITE_RETRY_PAUSE).await;
        }
        cx.metrics.on_store_call("confirm");
        match cx.store.swap(&key, None, value.clone()).await {
            Ok(SwapResult::Done(_)) => return Ok(WriteOutcome::Accepted(change)),
            Ok(SwapResult::Conflict) => match is_same_change(cx, &key, &change).await {
                Some(true) => return Ok(WriteOutcome::Accepted(change)),
                Some(false) => return Ok(WriteOutcome::RevisionTaken),
                None => {}
            },
            Err(e) => {
                warn!(cx.log, "write not confirmed by the store"; "key" => &key, "error" => %e);
            }
        }
    }
    Ok(WriteOutcome::Unknown)
}

/// Returns whether the change at a key is this one; `None` if it cannot be read.
async fn is_same_change(cx: &Gateway, key: &str, change: &Change) -> Option<bool> {
    cx.metrics.on_store_call("confirm");
    let entry = cx.store.get(key).await.ok()??;
    let found: Change = serde_json::from_slice(&entry.value).ok()?;
    Some(found.id == change.id)
}

fn accept(cx: &Rc<Gateway>, change: Change) -> Accepted {
    let accepted = Accepted {
        id: change.id.clone(),
        revision: change.revision,
    };
    info!(cx.log, "change accepted"; "id" => %change.id, "revision" => change.revision.0,
        "author" => &change.author, "reason" => &change.reason);
    accepted_changes::broadcast_change(cx, &change);
    let revision = change.revision.0;
    if apply_change(cx, change) == ChangeOutcome::Applied
        && revision.is_multiple_of(CHANGES_PER_SNAPSHOT)
    {
        let cx = Rc::clone(cx);
        tokio::task::spawn_local(async move {
            if let Err(e) = store_snapshot(&cx).await {
                warn!(cx.log, "cannot store snapshot"; "error" => %e);
            }
        });
    }
    accepted
}

/// Stores the whole configuration and removes older changes that are no longer needed.
async fn store_snapshot(cx: &Rc<Gateway>) -> Result<(), StoreError> {
    let snapshot = cx
        .accepted_changes
        .with_log(crate::config::ConfigLog::snapshot);
    let value =
        serde_json::to_vec(&snapshot).map_err(|e| StoreError::InvalidResponse(e.to_string()))?;
    let existing = cx.store.get(SNAPSHOT_KEY).await?;
    cx.store
        .swap(SNAPSHOT_KEY, existing.map(|e| e.revision), value)
        .await?;
    let last = snapshot.revision.0.saturating_sub(RETAINED_CHANGES);
    for n in last.saturating_sub(CHANGES_PER_SNAPSHOT) + 1..=last {
        cx.store.remove(&change_key(Revision(n))).await?;
    }
    Ok(())
}

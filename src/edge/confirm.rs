//! Confirming a plan: one compare-and-swap decides, and a lost answer is settled by reading.

use std::{rc::Rc, time::Duration};

use serde::Serialize;
use slog::{info, warn};

use super::{
    fleet::{self, take_change},
    follow::read_changes,
    gateway::Gateway,
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

/// How often a confirmation that loses the race for a place tries the next one.
const TRIES: u32 = 16;

/// How long to wait before an unsettled write is looked at again.
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// How often an unsettled write is looked at before the operator is told "unknown".
const SETTLE_TRIES: u32 = 10;

/// A whole configuration is stored after so many changes.
const SNAPSHOT_EVERY: u64 = 128;

/// Changes before a stored snapshot that are still kept one by one.
const KEEP_CHANGES: u64 = 256;

/// What an operator is told of an accepted change.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Accepted {
    id: ChangeId,
    revision: Revision,
}

/// What became of one write.
enum Written {
    Accepted(Change),
    Lost,
    Unknown,
}

/// Makes a plan's change the next accepted one, exactly once.
pub(super) async fn confirm(cx: &Rc<Gateway>, plan: &Plan) -> Result<Accepted, IntentError> {
    for _ in 0..TRIES {
        if let Some(accepted) = accepted_before(cx, &plan.id) {
            return Ok(accepted);
        }
        let change = cx.fleet.with_log(|log| intent::change(log, plan))?;
        match write(cx, change).await? {
            Written::Accepted(change) => return Ok(accept(cx, change)),
            // Somebody else's change has the place: take it and try the next one.
            Written::Lost => {
                if let Err(e) = read_changes(cx).await {
                    info!(cx.log, "changes not read"; "why" => %e);
                }
            }
            Written::Unknown => {
                let detail = format!("not known yet: scaleford intent show {}", plan.id);
                return Err(IntentError::new(ResultCode::ChangeUnknown, detail));
            }
        }
    }
    let detail = "too many other changes at once; confirm again";
    Err(IntentError::new(ResultCode::PlanOutdated, detail))
}

fn accepted_before(cx: &Gateway, id: &ChangeId) -> Option<Accepted> {
    let revision = cx.fleet.revision_of(id)?;
    Some(Accepted {
        id: id.clone(),
        revision,
    })
}

async fn write(cx: &Rc<Gateway>, change: Change) -> Result<Written, IntentError> {
    let fault = |e: serde_json::Error| IntentError::new(ResultCode::Internal, e.to_string());
    let value = serde_json::to_vec(&change).map_err(fault)?;
    let key = change_key(change.revision);
    for n in 0..SETTLE_TRIES {
        if n > 0 {
            tokio::time::sleep(SETTLE_WAIT).await;
        }
        cx.metrics.on_store_call("confirm");
        match cx.store.swap(&key, None, value.clone()).await {
            Ok(SwapResult::Done(_)) => return Ok(Written::Accepted(change)),
            Ok(SwapResult::Conflict) => match whose(cx, &key, &change).await {
                Some(true) => return Ok(Written::Accepted(change)),
                Some(false) => return Ok(Written::Lost),
                None => {}
            },
            Err(e) => {
                warn!(cx.log, "write without an answer"; "key" => &key, "error" => %e);
            }
        }
    }
    Ok(Written::Unknown)
}

/// Whether the change at a key is this one; `None` where the store does not answer.
async fn whose(cx: &Gateway, key: &str, change: &Change) -> Option<bool> {
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
    fleet::spread(cx, &change);
    let revision = change.revision.0;
    if take_change(cx, change) == ChangeOutcome::Applied && revision.is_multiple_of(SNAPSHOT_EVERY)
    {
        let cx = Rc::clone(cx);
        tokio::task::spawn_local(async move {
            if let Err(e) = store_snapshot(&cx).await {
                warn!(cx.log, "snapshot not stored"; "error" => %e);
            }
        });
    }
    accepted
}

/// Stores the whole configuration and removes changes that it makes needless.
async fn store_snapshot(cx: &Rc<Gateway>) -> Result<(), StoreError> {
    let snapshot = cx.fleet.with_log(crate::config::ConfigLog::snapshot);
    let value =
        serde_json::to_vec(&snapshot).map_err(|e| StoreError::InvalidResponse(e.to_string()))?;
    let known = cx.store.get(SNAPSHOT_KEY).await?;
    cx.store
        .swap(SNAPSHOT_KEY, known.map(|e| e.revision), value)
        .await?;
    let last = snapshot.revision.0.saturating_sub(KEEP_CHANGES);
    for n in last.saturating_sub(SNAPSHOT_EVERY) + 1..=last {
        cx.store.remove(&change_key(Revision(n))).await?;
    }
    Ok(())
}

//! Turns an operator's intent into a plan, and a confirmed plan into a change.

use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, ConfigLog, Digest, Edit, FleetConfig, TargetIntent, Update},
    ids::{ChangeId, Revision},
    result_code::ResultCode,
};

/// Maximum number of edits in one intent.
pub const MAX_EDITS: usize = 2_000;

/// A change of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The operator's reason, as free text.
    pub reason: String,
    /// Requested edits, in order.
    pub edits: Vec<Edit>,
}

/// The change that confirming an intent would make.
///
/// It is self-contained, so that any router can accept the confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id of the change to be made.
    pub id: ChangeId,
    /// Revision of the configuration on which the plan is based.
    pub base: Revision,
    /// Digest of the history up to that revision.
    pub base_digest: Digest,
    /// Name of the operator.
    pub author: String,
    /// The operator's reason, as free text.
    pub reason: String,
    /// Edits, in order.
    pub edits: Vec<Edit>,
    /// Description of each edit in a sentence.
    pub effects: Vec<String>,
    /// Effects that the operator may not have intended.
    pub warnings: Vec<String>,
}

/// Why an intent or a plan was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {detail}")]
pub struct IntentError {
    /// Result code of the response.
    pub code: ResultCode,
    /// Description of the error, with the path of the field or the conflicting change.
    pub detail: String,
}

impl IntentError {
    /// Creates an error with a result code.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

/// Parses an intent from JSON and rejects unknown fields. An error names the position in the text.
pub fn read(text: &[u8]) -> Result<Intent, IntentError> {
    let bad = |e: serde_json::Error| IntentError::new(ResultCode::BadIntent, e.to_string());
    let intent: Intent = serde_json::from_slice(text).map_err(bad)?;
    match intent.edits.len() {
        1..=MAX_EDITS => Ok(intent),
        n => Err(IntentError::new(
            ResultCode::BadIntent,
            format!("edits: got {n}, expected 1 to {MAX_EDITS}"),
        )),
    }
}

/// Computes the plan of an intent. The nonce gives two plans with equal content different ids.
pub fn plan(
    log: &ConfigLog,
    author: &str,
    intent: Intent,
    nonce: u64,
) -> Result<Plan, IntentError> {
    let after = apply(log.config(), &intent.edits)?;
    let mut plan = Plan {
        id: "unset".parse().map_err(|_| id_error())?,
        base: log.revision(),
        base_digest: log.digest(),
        author: author.to_owned(),
        reason: intent.reason,
        effects: intent
            .edits
            .iter()
            .map(|e| effect(log.config(), e))
            .collect(),
        warnings: warnings(log.config(), &after),
        edits: intent.edits,
    };
    plan.id = change_id(&plan, nonce)?;
    Ok(plan)
}

/// Computes the change that a plan makes to the current configuration.
///
/// Changes accepted since the plan was made are no conflict as long as they edit other objects.
pub fn change(log: &ConfigLog, plan: &Plan) -> Result<Change, IntentError> {
    let newer_changes = match log.update_since(plan.base, plan.base_digest) {
        Update::Current => Vec::new(),
        Update::Changes(changes) => changes,
        Update::Snapshot(_) => {
            let detail = "the plan is based on a configuration that is too old";
            return Err(IntentError::new(ResultCode::PlanOutdated, detail));
        }
    };
    let subjects: Vec<String> = plan.edits.iter().map(Edit::subject).collect();
    let conflict = newer_changes.iter().find_map(|c| {
        let subject = c
            .edits
            .iter()
            .map(Edit::subject)
            .find(|s| subjects.contains(s))?;
        Some(format!(
            "{} by {} changed {subject}: {}",
            c.id, c.author, c.reason
        ))
    });
    if let Some(detail) = conflict {
        return Err(IntentError::new(ResultCode::PlanOutdated, detail));
    }
    apply(log.config(), &plan.edits)?;
    Ok(Change {
        revision: Revision(log.revision().0 + 1),
        id: plan.id.clone(),
        author: plan.author.clone(),
        reason: plan.reason.clone(),
        previous: log.digest(),
        edits: plan.edits.clone(),
    })
}

fn apply(config: &FleetConfig, edits: &[Edit]) -> Result<FleetConfig, IntentError> {
    let mut after = config.clone();
    edits.iter().for_each(|e| after.apply(e));
    let faults = after.validation_errors();
    match faults.is_empty() {
        true => Ok(after),
        false => Err(IntentError::new(ResultCode::BadIntent, faults.join("; "))),
    }
}

fn change_id(plan: &Plan, nonce: u64) -> Result<ChangeId, IntentError> {
    let mut h = blake3::Hasher::new();
    h.update(&nonce.to_le_bytes());
    h.update(&serde_json::to_vec(plan).map_err(|_| id_error())?);
    let id = format!("chg-{}", &h.finalize().to_hex()[..16]);
    id.parse().map_err(|_| id_error())
}

fn id_error() -> IntentError {
    IntentError::new(ResultCode::Internal, "cannot generate a change id")
}

fn effect(config: &FleetConfig, edit: &Edit) -> String {
    let subject = edit.subject();
    let verb = |known: bool| if known { "changes" } else { "is added" };
    match edit {
        Edit::PutAccount { id, .. } => {
            format!("{subject} {}", verb(config.accounts.contains_key(id)))
        }
        Edit::PutModel { id, .. } => format!("{subject} {}", verb(config.models.contains_key(id))),
        Edit::PutService { id, .. } => {
            format!("{subject} {}", verb(config.services.contains_key(id)))
        }
        Edit::PutTarget { id, target } if target.intent == TargetIntent::Leave => {
            let _ = id;
            format!(
                "{subject} leaves {}: no new requests, its chats move to other targets",
                target.serves
            )
        }
        Edit::PutTarget { id, target } => {
            let verb = verb(config.targets.contains_key(id));
            format!("{subject} {verb}, serving {}", target.serves)
        }
        _ => format!("{subject} is removed"),
    }
}

fn warnings(before: &FleetConfig, after: &FleetConfig) -> Vec<String> {
    let pools = before.targets.values().map(|t| &t.serves);
    let mut pools: Vec<_> = pools.collect();
    pools.sort();
    pools.dedup();
    let mut warnings = Vec::new();
    for pool in pools {
        let (count_before, count_after) = (
            before.serving_targets(pool).count(),
            after.serving_targets(pool).count(),
        );
        match count_after {
            0 if count_before > 0 => warnings.push(format!("no target serves {pool} any more")),
            n if n * 2 < count_before => {
                warnings.push(format!("{pool} falls from {count_before} targets to {n}"));
            }
            _ => {}
        }
    }
    warnings
}

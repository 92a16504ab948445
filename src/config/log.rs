//! One router's copy of the log of accepted changes. Its revision only increases.

use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Edit, FleetConfig};
use crate::ids::{ChangeId, Revision};

/// Maximum number of recent changes that a router keeps for peers that lag behind.
pub const MAX_RECENT_CHANGES: usize = 512;

/// Hash of a configuration's history of changes.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..8]))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(s: String) -> Result<Self, String> {
        let mut d = [0; 32];
        hex::decode_to_slice(&s, &mut d).map_err(|e| format!("digest: {e}"))?;
        Ok(Self(d))
    }
}

impl From<Digest> for String {
    fn from(d: Digest) -> String {
        hex::encode(d.0)
    }
}

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Position in the log, starting at 1.
    pub revision: Revision,
    /// Unique id, by which an operator whose response was lost finds out whether the change was accepted.
    pub id: ChangeId,
    /// Name of the operator who made the change.
    pub author: String,
    /// The operator's reason, as free text.
    pub reason: String,
    /// Digest of the history before this change.
    pub previous: Digest,
    /// Edits that the change makes, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Computes the digest of the history that ends with this change.
    pub fn digest(&self) -> Digest {
        let mut h = blake3::Hasher::new();
        h.update(&self.previous.0);
        h.update(&serde_json::to_vec(self).unwrap_or_default());
        Digest(h.finalize().into())
    }
}

/// A complete configuration with its position in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Last change that it includes.
    pub revision: Revision,
    /// Digest of the history up to and including that change.
    pub digest: Digest,
    /// The configuration.
    pub config: FleetConfig,
}

/// Result of adding a change or a snapshot to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was applied.
    Applied,
    /// It was already applied, or is older than the current configuration.
    Old,
    /// Changes that precede it are missing.
    Gap,
    /// Its content differs from the known change of the same revision, or it follows a different history.
    Conflict,
}

/// What a router with an older revision is missing.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// Nothing: the router is up to date.
    Current,
    /// The missing changes, in order.
    Changes(Vec<Arc<Change>>),
    /// The complete configuration: the router lags by more changes than are kept, or has a different history.
    Snapshot(Box<Snapshot>),
}

/// The configuration in force at one router, with its recent changes.
#[derive(Debug, Clone, Default)]
pub struct ConfigLog {
    revision: Revision,
    digest: Digest,
    config: Arc<FleetConfig>,
    recent: VecDeque<Arc<Change>>,
}

impl ConfigLog {
    /// Returns the revision of the last applied change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the history up to the last applied change.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Returns the kept changes, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.recent.iter()
    }

    /// Applies a change if it directly follows the current history. Its source does not matter.
    pub fn on_change(&mut self, change: Change) -> ChangeOutcome {
        match change.revision {
            r if r <= self.revision => self.classify_known_change(&change),
            r if r.0 > self.revision.0 + 1 => ChangeOutcome::Gap,
            _ if change.previous != self.digest => ChangeOutcome::Conflict,
            _ => {
                self.append(change);
                ChangeOutcome::Applied
            }
        }
    }

    /// Replaces the configuration by a snapshot if the snapshot is newer.
    pub fn on_snapshot(&mut self, snapshot: Snapshot) -> ChangeOutcome {
        match snapshot.revision {
            r if r == self.revision && snapshot.digest != self.digest => ChangeOutcome::Conflict,
            r if r <= self.revision => ChangeOutcome::Old,
            _ => {
                self.revision = snapshot.revision;
                self.digest = snapshot.digest;
                self.config = Arc::new(snapshot.config);
                self.recent.clear();
                ChangeOutcome::Applied
            }
        }
    }

    /// Returns what a router is missing whose history ends at `since` with this digest.
    pub fn update_since(&self, since: Revision, digest: Digest) -> Update {
        let follows = |c: &&Arc<Change>| c.revision.0 == since.0 + 1 && c.previous == digest;
        match self.recent.iter().position(|c| follows(&c)) {
            _ if since >= self.revision => Update::Current,
            Some(at) => Update::Changes(self.recent.iter().skip(at).cloned().collect()),
            None => Update::Snapshot(Box::new(self.snapshot())),
        }
    }

    /// Returns the configuration in force as a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            digest: self.digest,
            config: (*self.config).clone(),
        }
    }

    fn classify_known_change(&self, change: &Change) -> ChangeOutcome {
        let known = self.recent.iter().find(|c| c.revision == change.revision);
        match known {
            Some(c) if **c != *change => ChangeOutcome::Conflict,
            _ => ChangeOutcome::Old,
        }
    }

    fn append(&mut self, change: Change) {
        let config = Arc::make_mut(&mut self.config);
        change.edits.iter().for_each(|e| config.apply(e));
        self.revision = change.revision;
        self.digest = change.digest();
        self.recent.push_back(Arc::new(change));
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
    }
}

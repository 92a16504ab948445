//! The log of accepted changes as one router knows it: it only ever moves forward.

use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Edit, FleetConfig};
use crate::ids::{ChangeId, Revision};

/// How many recent changes a router keeps to answer a neighbour that lags.
pub const RING: usize = 512;

/// What a configuration's history hashes to.
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

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Its place in the order, from 1.
    pub revision: Revision,
    /// Its own id, by which a lost answer is settled.
    pub id: ChangeId,
    /// The operator.
    pub author: String,
    /// Why, in the operator's words.
    pub reason: String,
    /// The digest of the history before it.
    pub previous: Digest,
    /// What it does, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The digest of the history that ends with this change.
    pub fn digest(&self) -> Digest {
        let mut h = blake3::Hasher::new();
        h.update(&self.previous.0);
        h.update(&serde_json::to_vec(self).unwrap_or_default());
        Digest(h.finalize().into())
    }
}

/// A whole configuration with its place in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The last change it holds.
    pub revision: Revision,
    /// The digest of the history up to it.
    pub digest: Digest,
    /// The configuration.
    pub config: FleetConfig,
}

/// What became of a change that was offered to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force now.
    Applied,
    /// It was in force already, or is older than what is.
    Old,
    /// Changes before it are missing.
    Gap,
    /// It stands at a known place with another content, or follows another history.
    Conflict,
}

/// What a router that has `since` lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// Nothing.
    Current,
    /// These changes, in order.
    Changes(Vec<Arc<Change>>),
    /// Too far behind for the ring, or of another history: the whole.
    Whole(Box<Snapshot>),
}

/// The configuration in force at one router, and its recent history.
#[derive(Debug, Clone, Default)]
pub struct ConfigLog {
    revision: Revision,
    digest: Digest,
    config: Arc<FleetConfig>,
    recent: VecDeque<Arc<Change>>,
}

impl ConfigLog {
    /// The last change in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The digest of the history in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// The kept changes, the oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.recent.iter()
    }

    /// Offers a change, whoever it comes from.
    pub fn on_change(&mut self, change: Change) -> ChangeOutcome {
        match change.revision {
            r if r <= self.revision => self.judge_old(&change),
            r if r.0 > self.revision.0 + 1 => ChangeOutcome::Gap,
            _ if change.previous != self.digest => ChangeOutcome::Conflict,
            _ => {
                self.append(change);
                ChangeOutcome::Applied
            }
        }
    }

    /// Offers a whole configuration; one that is not newer changes nothing.
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

    /// What a router lacks that has the history up to `since` with this digest.
    pub fn update_since(&self, since: Revision, digest: Digest) -> Update {
        let follows = |c: &&Arc<Change>| c.revision.0 == since.0 + 1 && c.previous == digest;
        match self.recent.iter().position(|c| follows(&c)) {
            _ if since >= self.revision => Update::Current,
            Some(at) => Update::Changes(self.recent.iter().skip(at).cloned().collect()),
            None => Update::Whole(Box::new(self.snapshot())),
        }
    }

    /// The whole configuration in force.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            digest: self.digest,
            config: (*self.config).clone(),
        }
    }

    fn judge_old(&self, change: &Change) -> ChangeOutcome {
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
        if self.recent.len() > RING {
            self.recent.pop_front();
        }
    }
}

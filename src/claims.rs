//! At-most-once execution: the key of an unrepeatable call is claimed in the platform's store
//! before anything is sent to a target.
//!
//! Keys are spread over [`SHARDS`] shards. A shard is a chain of small values in the store, under
//! the keys `SHARD/NUMBER` below [`CLAIMS_PREFIX`]. Records are appended to the last value by
//! compare-and-swap, many in one write. The write that fills a value also seals it, and the next
//! value is created on the condition that it is absent. So all records of a shard pass one point of
//! order, whichever routers believe that they are its owner: of two owners that write at once,
//! one gets "conflict", reads the shard again and decides again.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClientAccountId, RequestId},
    result_code::ResultCode,
};

/// Prefix of the keys of claims in the store. It is apart from the keys that routers watch there,
/// as claims are written some hundred times as often.
pub const CLAIMS_PREFIX: &str = "scaleford-claims/";

/// Number of shards that keys are spread over; each can be written about ten times a second.
pub const SHARDS: u64 = 8;

/// Number of records from which on a value is sealed.
pub const SEAL_AT_RECORDS: usize = 64;

/// Time for which a key is remembered, in seconds.
pub const RETENTION_S: u64 = 24 * 3600;

/// Time for which a claim without an outcome counts as still running, in seconds. After that, the
/// outcome is unknown.
pub const RUNNING_TIMEOUT_S: u64 = 3600;

/// Maximum age, in seconds, of the copy that the store is restored from. A record older than that
/// is in the copy, or another owner recorded something else in its place.
pub const MAX_COPY_AGE_S: u64 = 60;

/// Maximum number of keys that one shard remembers; beyond it, new calls are not run.
pub const MAX_SHARD_KEYS: usize = 100_000;

/// Hash of an account, a service and the idempotency key of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// Computes the key of an account's call to a service.
    pub fn new(account: &ClientAccountId, service: &str, key: &str) -> Self {
        let mut h = blake3::Hasher::new();
        for part in [account.as_str(), service, key] {
            h.update(&(part.len() as u64).to_le_bytes());
            h.update(part.as_bytes());
        }
        let mut out = [0; 16];
        out.copy_from_slice(&h.finalize().as_bytes()[..16]);
        Self(out)
    }

    /// Returns the shard that the key belongs to.
    pub fn shard(self) -> u64 {
        u64::from(self.0[0]) % SHARDS
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = String;

    fn try_from(s: String) -> Result<Self, String> {
        let mut k = [0; 16];
        hex::decode_to_slice(&s, &mut k).map_err(|e| format!("claim key: {e}"))?;
        Ok(Self(k))
    }
}

impl From<ClaimKey> for String {
    fn from(k: ClaimKey) -> String {
        hex::encode(k.0)
    }
}

/// Kind of a step on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimKind {
    /// Claims the key, so that this request alone sends the call.
    Claim,
    /// Records how the call ended.
    Done,
    /// Releases the claim, as nothing was sent.
    Release,
}

/// A step of an unrepeatable call on its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStep {
    /// The call's key.
    pub key: ClaimKey,
    /// The request that takes the step.
    #[serde(with = "crate::ids::request_text")]
    pub request: RequestId,
    /// Kind of the step.
    pub kind: ClaimKind,
    /// HTTP status of the answer where the kind is `Done`; 0 if unknown.
    pub outcome: u16,
}

/// Answer of the shard's owner to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The step is in the store.
    Recorded,
    /// Another request claimed the key, and has not ended.
    Running,
    /// The call ran, and was answered with this HTTP status.
    Ran(u16),
    /// The call was sent, and its outcome is unknown.
    Unknown,
    /// The step could not be recorded in the store; if it was a claim, the call must not be sent.
    NotRecorded,
}

impl ClaimVerdict {
    /// Returns the result code for a caller whose claim got this verdict; `None` if the call may be
    /// sent.
    pub fn refusal(self) -> Option<ResultCode> {
        match self {
            Self::Recorded => None,
            Self::Running => Some(ResultCode::StillRunning),
            Self::Ran(_) => Some(ResultCode::AlreadyRan),
            Self::Unknown => Some(ResultCode::EarlierUnknown),
            Self::NotRecorded => Some(ResultCode::ClaimStoreDown),
        }
    }
}

/// A step as it is recorded in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The step.
    #[serde(flatten)]
    pub step: ClaimStep,
    /// Wall-clock time of the step, as Unix time in seconds. Only the retention of keys, the end of
    /// a claim without an outcome and the recovery of lost records depend on it.
    pub at_s: u64,
}

/// One value of a shard's chain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Records, in the order in which they were written.
    pub records: Vec<Record>,
    /// Whether the chunk is full, so that further records go to the next one.
    pub sealed: bool,
}

/// Latest step recorded on a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyState {
    request: RequestId,
    kind: ClaimKind,
    outcome: u16,
    at_s: u64,
}

/// A shard as its owner knows it: the latest step on each key, and the chunk to append to.
#[derive(Debug, Clone, Default)]
pub struct ClaimShard {
    key_states: HashMap<ClaimKey, KeyState>,
    last: Chunk,
    /// Number of `last` in the chain.
    number: u64,
    /// Records that the store has lost; the next write contains them.
    lost: Vec<Record>,
}

/// A write to attempt, and the verdicts to return if it takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number of the chunk to write.
    pub number: u64,
    /// Whole content of the chunk.
    pub chunk: Chunk,
    /// Verdict on each step, in the order of the steps.
    pub verdicts: Vec<ClaimVerdict>,
}

impl ClaimShard {
    /// Returns the key of a chunk in the store.
    pub fn store_key(shard: u64, number: u64) -> String {
        format!("{}{number:08}", Self::store_prefix(shard))
    }

    /// Returns the prefix of the keys of a shard's chunks.
    pub fn store_prefix(shard: u64) -> String {
        format!("{CLAIMS_PREFIX}{shard}/")
    }

    /// Applies the next chunk as it was read from the store. Chunks are loaded in order.
    pub fn load(&mut self, number: u64, chunk: Chunk) {
        chunk.records.iter().for_each(|r| self.apply(r));
        self.number = number;
        self.last = chunk;
    }

    /// Restores the records that were lost when the store was reverted to an older copy. `before`
    /// is this shard as it was known until then. Its records count as lost if they are at most
    /// [`MAX_COPY_AGE_S`] old, and this shard has no record of their key, or only the claim of the
    /// same request.
    pub fn recover(&mut self, before: &Self, now_s: u64) {
        let is_lost = |(key, known): &(&ClaimKey, &KeyState)| match self.key_states.get(*key) {
            _ if known.at_s.saturating_add(MAX_COPY_AGE_S) < now_s => false,
            None => true,
            Some(now) => now.request == known.request && now.kind == ClaimKind::Claim,
        };
        let lost = before.key_states.iter().filter(is_lost);
        let lost: Vec<Record> = lost.map(|(key, known)| known.record(*key)).collect();
        lost.iter().for_each(|r| self.apply(r));
        self.lost = lost;
    }

    /// Whether records that the store has lost are still to be written again.
    pub fn is_recovering(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether a chunk is sealed and all of its records are past their retention time.
    pub fn is_expired(chunk: &Chunk, now_s: u64) -> bool {
        let is_past_retention = |r: &Record| r.at_s.saturating_add(RETENTION_S) < now_s;
        chunk.sealed && chunk.records.iter().all(is_past_retention)
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.key_states.len()
    }

    /// Whether no keys are remembered.
    pub fn is_empty(&self) -> bool {
        self.key_states.is_empty()
    }

    /// Decides on steps in order, and returns the one write that records them all.
    ///
    /// No verdict may be returned before the write has taken effect.
    pub fn decide(&self, steps: &[ClaimStep], at_s: u64) -> Batch {
        let (number, mut chunk) = match self.last.sealed {
            true => (self.number + 1, Chunk::default()),
            false => (self.number, self.last.clone()),
        };
        chunk.records.extend(&self.lost);
        let mut batched = HashMap::new();
        let mut verdicts = Vec::with_capacity(steps.len());
        for step in steps {
            let known = batched
                .get(&step.key)
                .or_else(|| self.key_states.get(&step.key));
            let record = Record { step: *step, at_s };
            let verdict = decide_step(
                known.copied(),
                &record,
                self.key_states.len() + batched.len(),
            );
            if verdict == ClaimVerdict::Recorded && !is_recorded(known.copied(), step) {
                chunk.records.push(record);
                batched.insert(step.key, key_state(&record));
            }
            verdicts.push(verdict);
        }
        chunk.sealed = chunk.records.len() >= SEAL_AT_RECORDS;
        Batch {
            number,
            chunk,
            verdicts,
        }
    }

    /// Returns the last chunk of the chain; records are appended to it unless it is sealed.
    pub fn last(&self) -> &Chunk {
        &self.last
    }

    /// Returns the number of the last chunk of the chain.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Applies a batch whose write took effect.
    pub fn commit(&mut self, batch: Batch) {
        self.lost.clear();
        self.load(batch.number, batch.chunk);
    }

    fn apply(&mut self, record: &Record) {
        let key = record.step.key;
        match record.step.kind {
            ClaimKind::Release => self.key_states.remove(&key),
            _ => self.key_states.insert(key, key_state(record)),
        };
    }
}

impl KeyState {
    fn record(&self, key: ClaimKey) -> Record {
        let step = ClaimStep {
            key,
            request: self.request,
            kind: self.kind,
            outcome: self.outcome,
        };
        Record {
            step,
            at_s: self.at_s,
        }
    }
}

fn key_state(record: &Record) -> KeyState {
    let ClaimStep {
        request,
        kind,
        outcome,
        ..
    } = record.step;
    let at_s = record.at_s;
    KeyState {
        request,
        kind,
        outcome,
        at_s,
    }
}

/// Decides on a step by the latest step known on its key; `remembered` is the number of keys that
/// the shard remembers.
fn decide_step(known: Option<KeyState>, record: &Record, remembered: usize) -> ClaimVerdict {
    use ClaimKind::{Claim, Done, Release};
    let step = &record.step;
    let age_s = |s: &KeyState| record.at_s.saturating_sub(s.at_s);
    match (step.kind, known) {
        (Claim, None) if remembered >= MAX_SHARD_KEYS => ClaimVerdict::NotRecorded,
        (Claim, None) => ClaimVerdict::Recorded,
        (Claim, Some(s)) if s.kind == Release => ClaimVerdict::Recorded,
        (Done, Some(s)) if s.request == step.request => ClaimVerdict::Recorded,
        (Release, Some(s)) if s.request == step.request && s.kind != Done => ClaimVerdict::Recorded,
        (Claim, Some(s)) if s.request == step.request && s.kind == Claim => ClaimVerdict::Recorded,
        (_, Some(s)) if s.kind == Done && s.outcome == 0 => ClaimVerdict::Unknown,
        (_, Some(s)) if s.kind == Done => ClaimVerdict::Ran(s.outcome),
        (_, Some(s)) if age_s(&s) >= RUNNING_TIMEOUT_S => ClaimVerdict::Unknown,
        (_, Some(_)) => ClaimVerdict::Running,
        (_, None) => ClaimVerdict::NotRecorded,
    }
}

/// Whether a step is recorded already, as when it is repeated because its answer was lost.
fn is_recorded(known: Option<KeyState>, step: &ClaimStep) -> bool {
    let is_same =
        |s: KeyState| (s.request, s.kind, s.outcome) == (step.request, step.kind, step.outcome);
    known.is_some_and(is_same)
}

//! At most once: an unrepeatable call's key is claimed in the platform's store before anything
//! reaches a target.
//!
//! Keys are spread over [`SHARDS`] shards. A shard is a chain of small values in the store,
//! `SHARD/NUMBER` below [`CLAIMS_PREFIX`]: records are appended to the last one by compare-and-swap, many at
//! once; a full one is sealed in the same write and the next is created as "absent". So every
//! record passes one point of order, whoever believes to keep the shard: of two keepers one
//! gets "conflict", reads anew, and decides again.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClientAccountId, RequestId},
    result_code::ResultCode,
};

/// What the keys of claims begin with in the store; apart from what routers follow there, as claims
/// are written some hundred times as often.
pub const CLAIMS_PREFIX: &str = "scaleford-claims/";

/// Into how many shards keys are spread; each can be written about ten times a second.
pub const SHARDS: u64 = 8;

/// Records in one value before it is sealed.
pub const SEAL_AT: usize = 64;

/// How long a key is remembered, in seconds.
pub const RETENTION_S: u64 = 24 * 3600;

/// A claim without an outcome counts as still running for this long, in seconds; then nobody
/// knows how it ended.
pub const RUNNING_S: u64 = 3600;

/// How old the copy is at the most from which the store comes back, in seconds. What was recorded before is in it, or was
/// recorded by another keeper otherwise.
pub const COPY_AGE_S: u64 = 60;

/// Keys that one shard remembers at the most; beyond it calls are not run.
pub const SHARD_LIMIT: usize = 100_000;

/// The hash of an account and its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// The key of an account's call to a service.
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

    /// The shard that the key belongs to.
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

/// What a router wants of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimKind {
    /// To be the one that sends the call.
    Claim,
    /// To record how it ended.
    Done,
    /// To give it back: nothing was sent.
    Release,
}

/// One step of an unrepeatable call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStep {
    /// The call's key.
    pub key: ClaimKey,
    /// The request that takes the step.
    #[serde(with = "crate::ids::request_text")]
    pub request: RequestId,
    /// The step.
    pub kind: ClaimKind,
    /// With `Done`: the answer's HTTP status, 0 if unknown.
    pub outcome: u16,
}

/// What the shard's keeper says to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The step is in the store.
    Recorded,
    /// Another request claimed the key and has not ended.
    Running,
    /// The call ran; this was its HTTP status.
    Ran(u16),
    /// The call was sent and nobody knows how it ended.
    Unknown,
    /// The store does not take the step; for a claim that means the call must not be sent.
    NotRecorded,
}

impl ClaimVerdict {
    /// What a caller is told whose claim came to this; `None` if it goes on.
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

/// A record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The step.
    #[serde(flatten)]
    pub step: ClaimStep,
    /// When, in seconds of the wall clock; only retention depends on it.
    pub at_s: u64,
}

/// One value of a shard's chain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The records, in order.
    pub records: Vec<Record>,
    /// Whether the next chunk follows.
    pub sealed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standing {
    request: RequestId,
    kind: ClaimKind,
    outcome: u16,
    at_s: u64,
}

/// A shard as its keeper knows it: all chunks, and the place in the store to append at.
#[derive(Debug, Clone, Default)]
pub struct ClaimShard {
    standing: HashMap<ClaimKey, Standing>,
    last: Chunk,
    number: u64,
    /// Records that the store has lost; the next write has them.
    lost: Vec<Record>,
}

/// A write to try, and what to answer if it takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The number of the chunk to write.
    pub number: u64,
    /// Its whole content.
    pub chunk: Chunk,
    /// The verdict on each step, in the order they were given.
    pub verdicts: Vec<ClaimVerdict>,
}

impl ClaimShard {
    /// The key of a chunk in the store.
    pub fn store_key(shard: u64, number: u64) -> String {
        format!("{}{number:08}", Self::store_prefix(shard))
    }

    /// What the keys of a shard's chunks begin with.
    pub fn store_prefix(shard: u64) -> String {
        format!("{CLAIMS_PREFIX}{shard}/")
    }

    /// Takes the next chunk as read from the store, in order.
    pub fn load(&mut self, number: u64, chunk: Chunk) {
        chunk.records.iter().for_each(|r| self.stand(r));
        self.number = number;
        self.last = chunk;
    }

    /// Takes over what a store that was set back has lost: recent records of this shard as it was known before, on keys that it
    /// does not have now, or has an earlier step of the same request on.
    pub fn recover(&mut self, before: &Self, now_s: u64) {
        let is_lost = |(key, known): &(&ClaimKey, &Standing)| match self.standing.get(*key) {
            _ if known.at_s + COPY_AGE_S < now_s => false,
            None => true,
            Some(now) => now.request == known.request && now.kind == ClaimKind::Claim,
        };
        let lost = before.standing.iter().filter(is_lost);
        let lost: Vec<Record> = lost.map(|(key, known)| known.record(*key)).collect();
        lost.iter().for_each(|r| self.stand(r));
        self.lost = lost;
    }

    /// Whether records that the store has lost are not written yet.
    pub fn is_recovering(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether a chunk holds nothing that must still be remembered.
    pub fn is_expired(chunk: &Chunk, now_s: u64) -> bool {
        let old = |r: &Record| r.at_s + RETENTION_S < now_s;
        chunk.sealed && chunk.records.iter().all(old)
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.standing.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.standing.is_empty()
    }

    /// Decides on steps in order, and makes the one write that records them all.
    ///
    /// Nothing is to be answered before the write took effect.
    pub fn decide(&self, steps: &[ClaimStep], at_s: u64) -> Batch {
        let (number, mut chunk) = match self.last.sealed {
            true => (self.number + 1, Chunk::default()),
            false => (self.number, self.last.clone()),
        };
        chunk.records.extend(&self.lost);
        let mut after = HashMap::new();
        let mut verdicts = Vec::with_capacity(steps.len());
        for step in steps {
            let known = after
                .get(&step.key)
                .or_else(|| self.standing.get(&step.key));
            let record = Record { step: *step, at_s };
            let verdict = judge(known.copied(), &record, self.standing.len() + after.len());
            if verdict == ClaimVerdict::Recorded && !repeats(known.copied(), step) {
                chunk.records.push(record);
                after.insert(step.key, standing(&record));
            }
            verdicts.push(verdict);
        }
        chunk.sealed = chunk.records.len() >= SEAL_AT;
        Batch {
            number,
            chunk,
            verdicts,
        }
    }

    /// The chunk that is appended to, or that was sealed last.
    pub fn last(&self) -> &Chunk {
        &self.last
    }

    /// The number of the chunk that is appended to, or that was sealed last.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Takes a batch that took effect.
    pub fn commit(&mut self, batch: Batch) {
        self.lost.clear();
        self.load(batch.number, batch.chunk);
    }

    fn stand(&mut self, record: &Record) {
        let key = record.step.key;
        match record.step.kind {
            ClaimKind::Release => self.standing.remove(&key),
            _ => self.standing.insert(key, standing(record)),
        };
    }
}

impl Standing {
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

fn standing(record: &Record) -> Standing {
    let ClaimStep {
        request,
        kind,
        outcome,
        ..
    } = record.step;
    let at_s = record.at_s;
    Standing {
        request,
        kind,
        outcome,
        at_s,
    }
}

fn judge(known: Option<Standing>, record: &Record, remembered: usize) -> ClaimVerdict {
    use ClaimKind::{Claim, Done, Release};
    let step = &record.step;
    let open_for = |s: &Standing| record.at_s.saturating_sub(s.at_s);
    match (step.kind, known) {
        (Claim, None) if remembered >= SHARD_LIMIT => ClaimVerdict::NotRecorded,
        (Claim, None) => ClaimVerdict::Recorded,
        (Claim, Some(s)) if s.kind == Release => ClaimVerdict::Recorded,
        (Done, Some(s)) if s.request == step.request => ClaimVerdict::Recorded,
        (Release, Some(s)) if s.request == step.request && s.kind != Done => ClaimVerdict::Recorded,
        (Claim, Some(s)) if s.request == step.request && s.kind == Claim => ClaimVerdict::Recorded,
        (_, Some(s)) if s.kind == Done && s.outcome == 0 => ClaimVerdict::Unknown,
        (_, Some(s)) if s.kind == Done => ClaimVerdict::Ran(s.outcome),
        (_, Some(s)) if open_for(&s) >= RUNNING_S => ClaimVerdict::Unknown,
        (_, Some(_)) => ClaimVerdict::Running,
        (_, None) => ClaimVerdict::NotRecorded,
    }
}

/// Whether a step is in the record already, as after an answer that was lost.
fn repeats(known: Option<Standing>, step: &ClaimStep) -> bool {
    let same =
        |s: Standing| (s.request, s.kind, s.outcome) == (step.request, step.kind, step.outcome);
    known.is_some_and(same)
}

//! Work in progress by target, as it is counted and as it is sent between routers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ids::TargetId, units::Tokens};

/// Short hash of a target's id. Among some thousand targets, two share a hash in less than one of a
/// thousand fleets; the calls of each then count for both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl From<&TargetId> for TargetHash {
    fn from(id: &TargetId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Work in progress by target, as routers send it to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<PackedCount>", into = "Vec<PackedCount>")]
pub struct TargetCounts(Vec<(TargetHash, InProgress)>);

/// Wire format of one count: small numbers, which the codec encodes in few bytes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PackedCount {
    /// Difference between the target's hash and the previous one in ascending order.
    hash_delta: u32,
    calls: u32,
    /// Number of blocks of [`TOKENS_PER_BLOCK`] tokens.
    blocks: u32,
}

/// Tokens per block, the unit in which tokens are sent: only differences of thousands of tokens affect
/// decisions.
const TOKENS_PER_BLOCK: u64 = 64;

impl From<TargetCounts> for Vec<PackedCount> {
    fn from(counts: TargetCounts) -> Self {
        let mut sorted = counts.0;
        sorted.sort_unstable_by_key(|(target, _)| *target);
        let mut before = 0;
        let pack = |(target, work): (TargetHash, InProgress)| {
            let step = target.0 - before;
            before = target.0;
            let blocks = work.tokens.0.div_ceil(TOKENS_PER_BLOCK);
            PackedCount {
                hash_delta: step,
                calls: work.calls,
                blocks: blocks.try_into().unwrap_or(u32::MAX),
            }
        };
        sorted.into_iter().map(pack).collect()
    }
}

impl From<Vec<PackedCount>> for TargetCounts {
    fn from(packed: Vec<PackedCount>) -> Self {
        let mut target = 0_u32;
        let unpack = |p: PackedCount| {
            // A sum that wraps around is the hash of no known target.
            target = target.wrapping_add(p.hash_delta);
            let work = InProgress {
                calls: p.calls,
                tokens: Tokens(u64::from(p.blocks) * TOKENS_PER_BLOCK),
            };
            (TargetHash(target), work)
        };
        Self(packed.into_iter().map(unpack).collect())
    }
}

impl FromIterator<(TargetHash, InProgress)> for TargetCounts {
    fn from_iter<I: IntoIterator<Item = (TargetHash, InProgress)>>(counts: I) -> Self {
        Self(counts.into_iter().collect())
    }
}

impl TargetCounts {
    /// Iterates over the targets with their work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(TargetHash, InProgress)> {
        self.0.iter()
    }

    /// Returns the number of calls at all targets.
    pub fn calls(&self) -> u32 {
        let calls = self.0.iter().map(|(_, work)| work.calls);
        calls.fold(0, u32::saturating_add)
    }
}

/// Work in progress at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InProgress {
    /// Number of calls.
    pub calls: u32,
    /// Prompt tokens that the target still has to read for these calls, plus answer tokens that it still
    /// has to write.
    pub tokens: Tokens,
}

impl InProgress {
    /// Creates the work of one call with `tokens` tokens.
    pub fn one(tokens: Tokens) -> Self {
        Self { calls: 1, tokens }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.tokens += other.tokens;
    }

    pub(crate) fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.saturating_sub(other.tokens);
    }
}

/// Number of calls at one target, by who counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallCounts {
    /// Calls of this router, an exact count.
    pub own: u32,
    /// Calls of other routers, as counted some time ago.
    pub others: u32,
    /// Calls of other routers, averaged over the last seconds.
    pub mean_others: f64,
}

impl CallCounts {
    /// Returns the calls of all routers.
    pub fn all(self) -> u32 {
        self.own.saturating_add(self.others)
    }
}

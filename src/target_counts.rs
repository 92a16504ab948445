//! Work in progress by target, as it is counted and as it travels between routers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ids::TargetId, units::Tokens};

/// A target's name as a short hash: two of some thousand targets share one less than once in a
/// thousand fleets, and then each counts for both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl From<&TargetId> for TargetHash {
    fn from(id: &TargetId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Work in progress by target, as it is told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<PackedCount>", into = "Vec<PackedCount>")]
pub struct TargetCounts(Vec<(TargetHash, InProgress)>);

/// One count as it travels: small numbers, which the codec writes in few bytes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PackedCount {
    /// How far the target's hash is from the one before it, in order.
    step: u32,
    calls: u32,
    /// Tokens, in blocks.
    blocks: u32,
}

/// Tokens that are told as one: what decides is thousands of them.
const TOKENS_A_BLOCK: u64 = 64;

impl From<TargetCounts> for Vec<PackedCount> {
    fn from(counts: TargetCounts) -> Self {
        let mut sorted = counts.0;
        sorted.sort_unstable_by_key(|(target, _)| *target);
        let mut before = 0;
        let pack = |(target, work): (TargetHash, InProgress)| {
            let step = target.0 - before;
            before = target.0;
            PackedCount {
                step,
                calls: work.calls,
                blocks: work.tokens.0.div_ceil(TOKENS_A_BLOCK) as u32,
            }
        };
        sorted.into_iter().map(pack).collect()
    }
}

impl From<Vec<PackedCount>> for TargetCounts {
    fn from(packed: Vec<PackedCount>) -> Self {
        let mut target = 0_u32;
        let unpack = |p: PackedCount| {
            // A sum beyond the last hash is of no target that we know.
            target = target.wrapping_add(p.step);
            let work = InProgress {
                calls: p.calls,
                tokens: Tokens(u64::from(p.blocks) * TOKENS_A_BLOCK),
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
    /// Each target with its work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(TargetHash, InProgress)> {
        self.0.iter()
    }

    /// Calls at all targets.
    pub fn calls(&self) -> u32 {
        self.0.iter().map(|(_, work)| work.calls).sum()
    }
}

/// Work in progress at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InProgress {
    /// Calls.
    pub calls: u32,
    /// Prompt tokens that the target has yet to read for them, with those it has yet to write.
    pub tokens: Tokens,
}

impl InProgress {
    /// One call of so many tokens.
    pub fn one(tokens: Tokens) -> Self {
        Self { calls: 1, tokens }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
    }

    pub(crate) fn take(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.less(other.tokens);
    }
}

/// Calls at one target, by who counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallCounts {
    /// This router's own, which are exact.
    pub own: u32,
    /// Those of others, as they were counted some time ago.
    pub others: u32,
    /// Those of others in the last seconds, on average.
    pub usual: f64,
}

impl CallCounts {
    /// All of them.
    pub fn all(self) -> u32 {
        self.own + self.others
    }
}

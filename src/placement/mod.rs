//! Which targets a chat goes to, best first.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; the logarithm form of the weights
//! is Schindelhauer and Schomaker 2005): each (conversation, target) pair has a score that no
//! other target influences, so a joining or leaving target moves only its own chats.

pub mod choice;

use std::cmp::Ordering;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{ConversationKey, PrefixKey, TargetId, VmId},
    units::Weight,
};

/// A target as placement sees it; its name is hashed once, not once a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Its capacity beside the others.
    pub weight: Weight,
    seed: u64,
}

impl Candidate {
    /// A candidate.
    pub fn new(target: TargetId, weight: Weight) -> Self {
        let seed = xxh3_64(target.as_str().as_bytes());
        Self {
            target,
            weight,
            seed,
        }
    }

    fn score(&self, key: ConversationKey) -> f64 {
        score(key.0, self.seed, self.weight)
    }
}

/// The indices of the best `n` candidates for a conversation, best first.
pub fn rank(candidates: &[Candidate], key: ConversationKey, n: usize) -> Vec<usize> {
    let mut scored: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| (c.score(key), i))
        .collect();
    let better = |a: &(f64, usize), b: &(f64, usize)| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
    if n < scored.len() {
        scored.select_nth_unstable_by(n, better);
        scored.truncate(n);
    }
    scored.sort_unstable_by(better);
    scored.into_iter().map(|(_, i)| i).collect()
}

/// How many times its share of the targets a shared prefix is spread over.
const SPREAD: f64 = 10.0;

/// The fewest targets that a shared prefix is spread over.
const SPREAD_LEAST: usize = 48;

/// The candidates that chats with a shared prefix have as first choices, as indices.
///
/// Chats that begin with the same long prompt need it cached on as many targets as their share
/// of the traffic takes, and on no more. `share` is that part, from 0 to 1.
pub fn prefix_targets(candidates: &[Candidate], prefix: PrefixKey, share: f64) -> Vec<usize> {
    let wanted = (candidates.len() as f64 * share * SPREAD).ceil() as usize;
    let n = wanted.max(SPREAD_LEAST);
    rank(candidates, ConversationKey(prefix.0), n)
}

/// The router among `vms` that keeps `thing`; `None` only if there is none.
pub fn keeper<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let key = xxh3_64(thing.as_bytes());
    vms.max_by(|a, b| compare(key, a, b))
}

/// The `n` routers among `vms` that keep `thing` together, the first one first.
pub fn keepers<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>, n: usize) -> Vec<&'a VmId> {
    let key = xxh3_64(thing.as_bytes());
    let mut all: Vec<_> = vms.collect();
    all.sort_unstable_by(|a, b| compare(key, b, a));
    all.truncate(n);
    all
}

fn compare(key: u64, a: &VmId, b: &VmId) -> Ordering {
    let of = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), key);
    of(a).cmp(&of(b)).then_with(|| a.cmp(b))
}

fn score(key: u64, seed: u64, weight: Weight) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&seed.to_le_bytes());
    // The upper 53 bits make a float strictly between 0 and 1.
    let unit = ((xxh3_64(&bytes) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight.get()) / unit.ln()
}

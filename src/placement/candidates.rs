//! Preselects the targets that are scored for a call when a service has very many of them.
//!
//! This handles calls to services with ten thousand targets. Scoring every target for each call takes a
//! router that has a tenth of a core about 40 ms, and twice as long with twice as many targets. So only
//! three groups are scored: targets known to hold most of the prompt; targets that the prompt's key
//! selects, which are the same on all routers; and targets sampled per call. The sampled ones represent the
//! rest: the load of a target that holds the prompt is compared with theirs. If none of these has room or
//! none is healthy, all targets are scored.

use std::rc::Rc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    call_plan::CallPlan, discovery::TargetRecord, ids::TargetId, prompt_cache::PromptCache,
};

/// Number of targets of a service from which only a preselection of them is scored.
pub(crate) const PRESELECTION_THRESHOLD: usize = 1_024;

/// Maximum number of targets considered because they hold parts of the prompt.
const MAX_HOLDERS: usize = 32;

/// Number of targets that the prompt's key selects: twice the number from which the first reader of a
/// prompt is chosen.
const TARGETS_PER_KEY: usize = 8;

/// Number of targets sampled per call: the mean of their loads is off by at most a fifth when targets have
/// a few calls each.
const SAMPLE_SIZE: usize = 24;

/// Targets of a service ordered by a hash of their ids. A key selects the same few targets even when other
/// targets join or leave.
#[derive(Debug, Default)]
pub(crate) struct HashRing(Vec<(u64, Rc<TargetRecord>)>);

impl HashRing {
    /// Builds the ring from a list of targets.
    pub(crate) fn new(targets: &[Rc<TargetRecord>]) -> Self {
        let mut ring: Vec<_> = targets
            .iter()
            .map(|t| (hash(&t.id), Rc::clone(t)))
            .collect();
        ring.sort_unstable_by_key(|(hash, _)| *hash);
        Self(ring)
    }

    /// Adds a target, or replaces its record with the current one.
    pub(crate) fn add(&mut self, target: &Rc<TargetRecord>) {
        self.remove(&target.id);
        let at = hash(&target.id);
        let index = self.0.partition_point(|(hash, _)| *hash < at);
        self.0.insert(index, (at, Rc::clone(target)));
    }

    /// Removes a target.
    pub(crate) fn remove(&mut self, id: &TargetId) {
        let at = hash(id);
        let first = self.0.partition_point(|(hash, _)| *hash < at);
        let same = self.0[first..].iter().take_while(|(hash, _)| *hash == at);
        let index = same.into_iter().position(|(_, t)| t.id == *id);
        index.map(|i| self.0.remove(first + i));
    }

    /// Returns the `n`-th target that a key selects.
    fn nth_for_key(&self, key: u64, n: u64) -> Option<&Rc<TargetRecord>> {
        let at = xxh3_64_with_seed(&key.to_le_bytes(), n);
        let next = self.0.partition_point(|(hash, _)| *hash < at);
        let next = self.0.get(next).or_else(|| self.0.first());
        next.map(|(_, target)| target)
    }
}

fn hash(id: &TargetId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The few targets out of very many that are scored for a call.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Targets that hold parts of the prompt.
    pub(crate) holders: Vec<Rc<TargetRecord>>,
    /// Other targets, a sample that represents all targets of the service.
    pub(crate) sample: Vec<Rc<TargetRecord>>,
}

impl Candidates {
    /// Selects the candidates of a service. `targets` are sorted by id.
    pub(crate) fn new(
        targets: &[Rc<TargetRecord>],
        ring: &HashRing,
        plan: &CallPlan,
        cache: &PromptCache,
    ) -> Self {
        // If no target holds the deepest shared part, only the targets selected by the key are used,
        // without holders of the prompt's beginning and without samples. So routers that do not know of
        // each other's choices send an unread prompt to the same few targets.
        let deepest = plan.shared_parts().last();
        let is_unread = deepest.is_some_and(|part| cache.holders(part.id).is_empty());
        let (holding, sample_size) = match is_unread {
            true => (Vec::new(), 0),
            false => (holders(targets, plan, cache), SAMPLE_SIZE),
        };
        let named = (0..TARGETS_PER_KEY as u64).filter_map(|n| ring.nth_for_key(plan.key(), n));
        let sampled = (0..sample_size as u64).filter_map(|n| ring.nth_for_key(plan.hash, n));
        let mut others: Vec<Rc<TargetRecord>> = named.chain(sampled).cloned().collect();
        others.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        others.dedup_by(|a, b| a.id == b.id);
        others.retain(|t| !holding.iter().any(|held| held.id == t.id));
        Self {
            holders: holding,
            sample: others,
        }
    }
}

/// Returns up to [`MAX_HOLDERS`] targets that hold parts of the prompt, holders of the deepest part first.
/// If a part has more holders than are left to take, the call's hash selects among them.
fn holders(
    targets: &[Rc<TargetRecord>],
    plan: &CallPlan,
    cache: &PromptCache,
) -> Vec<Rc<TargetRecord>> {
    let mut found: Vec<Rc<TargetRecord>> = Vec::new();
    for part in plan.prompt.iter().rev() {
        let holders = cache.holders(part.id);
        let remaining = MAX_HOLDERS - found.len();
        let first = match holders.len() > remaining {
            true => plan.hash as usize % holders.len(),
            false => 0,
        };
        let selected = holders.iter().cycle().skip(first);
        for id in selected.take(remaining.min(holders.len())) {
            let index = targets.binary_search_by(|t| t.id.cmp(id));
            let is_found = found.iter().any(|t| t.id == *id);
            if let (Ok(i), false) = (index, is_found) {
                found.push(Rc::clone(&targets[i]));
            }
        }
        if found.len() >= MAX_HOLDERS {
            break;
        }
    }
    found
}

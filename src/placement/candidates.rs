//! Which of very many targets are weighed for a call.
//!
//! The load pattern that this answers: calls before ten thousand targets. To weigh all of them for each call takes a router
//! on a tenth of a core some 40 ms, and twice as long before twice as many. Weighed are those that are known to hold
//! most of the prompt, those that the prompt's own key names, which are the same at all routers, and some that the call
//! draws, which stand for the others: their load is what a holder's is held against. Where none of them has room, or none
//! is sound, all are weighed.

use std::rc::Rc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{call_plan::Plan, discovery::TargetRecord, ids::TargetId, prompt_cache::PromptCache};

/// Targets of a service from which on not all are weighed.
pub(crate) const MANY_TARGETS: usize = 1_024;

/// The most that hold parts of the prompt.
const HOLDERS: usize = 32;

/// Those that the prompt's key names: twice as many as one of which reads a prompt first.
const NAMED: usize = 8;

/// Those that the call draws: the mean of their loads is off by a fifth at the most where targets have some calls each.
const DRAWN: usize = 24;

/// Targets of a service in the order of a hash of their names, so that a key names the same few whoever else comes or
/// goes.
#[derive(Debug, Default)]
pub(crate) struct Ring(Vec<(u64, Rc<TargetRecord>)>);

impl Ring {
    /// Of targets.
    pub(crate) fn new(targets: &[Rc<TargetRecord>]) -> Self {
        let mut ring: Vec<_> = targets
            .iter()
            .map(|t| (hash(&t.id), Rc::clone(t)))
            .collect();
        ring.sort_unstable_by_key(|(hash, _)| *hash);
        Self(ring)
    }

    /// Adds a target, or what it says of itself now.
    pub(crate) fn add(&mut self, target: &Rc<TargetRecord>) {
        self.take(&target.id);
        let at = hash(&target.id);
        let place = self.0.partition_point(|(hash, _)| *hash < at);
        self.0.insert(place, (at, Rc::clone(target)));
    }

    /// Takes a target away.
    pub(crate) fn take(&mut self, id: &TargetId) {
        let at = hash(id);
        let first = self.0.partition_point(|(hash, _)| *hash < at);
        let same = self.0[first..].iter().take_while(|(hash, _)| *hash == at);
        let place = same.into_iter().position(|(_, t)| t.id == *id);
        place.map(|i| self.0.remove(first + i));
    }

    /// The target that a key names as its `turn`-th.
    fn named(&self, key: u64, turn: u64) -> Option<&Rc<TargetRecord>> {
        let at = xxh3_64_with_seed(&key.to_le_bytes(), turn);
        let next = self.0.partition_point(|(hash, _)| *hash < at);
        let next = self.0.get(next).or_else(|| self.0.first());
        next.map(|(_, target)| target)
    }
}

fn hash(id: &TargetId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The few targets of very many that are weighed for a call.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Those that hold parts of the prompt.
    pub(crate) holding: Vec<Rc<TargetRecord>>,
    /// Others, which stand for all.
    pub(crate) others: Vec<Rc<TargetRecord>>,
}

impl Candidates {
    /// Of a service's targets, in the order of their ids.
    pub(crate) fn new(
        targets: &[Rc<TargetRecord>],
        ring: &Ring,
        plan: &Plan,
        cache: &PromptCache,
    ) -> Self {
        // Routers that can't know of one another let the same few read a prompt that nobody has read: neither those that hold
        // its beginning nor those that the call draws are among them.
        let deepest = plan.shared_parts().last();
        let is_unread = deepest.is_some_and(|part| cache.holders(part.id).is_empty());
        let (holding, drawn) = match is_unread {
            true => (Vec::new(), 0),
            false => (holders(targets, plan, cache), DRAWN),
        };
        let named = (0..NAMED as u64).filter_map(|turn| ring.named(plan.key(), turn));
        let drawn = (0..drawn as u64).filter_map(|turn| ring.named(plan.hash, turn));
        let mut others: Vec<Rc<TargetRecord>> = named.chain(drawn).cloned().collect();
        others.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        others.dedup_by(|a, b| a.id == b.id);
        others.retain(|t| !holding.iter().any(|held| held.id == t.id));
        Self { holding, others }
    }
}

/// Those that hold the deepest part of the prompt that any holds; of parts that very many hold, some that the call draws.
fn holders(
    targets: &[Rc<TargetRecord>],
    plan: &Plan,
    cache: &PromptCache,
) -> Vec<Rc<TargetRecord>> {
    let mut found: Vec<Rc<TargetRecord>> = Vec::new();
    for part in plan.prompt.iter().rev() {
        let holders = cache.holders(part.id);
        let left = HOLDERS - found.len();
        let first = match holders.len() > left {
            true => plan.hash as usize % holders.len(),
            false => 0,
        };
        let drawn = holders.iter().cycle().skip(first);
        for id in drawn.take(left.min(holders.len())) {
            let place = targets.binary_search_by(|t| t.id.cmp(id));
            let is_found = found.iter().any(|t| t.id == *id);
            if let (Ok(i), false) = (place, is_found) {
                found.push(Rc::clone(&targets[i]));
            }
        }
        if found.len() >= HOLDERS {
            break;
        }
    }
    found
}

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
pub(crate) struct Ring(Vec<(u64, u32)>);

impl Ring {
    /// Of targets, by their place in the list.
    pub(crate) fn new(targets: &[Rc<TargetRecord>]) -> Self {
        if targets.len() < MANY_TARGETS {
            return Self::default();
        }
        let place =
            |(i, t): (usize, &Rc<TargetRecord>)| (xxh3_64(t.id.as_str().as_bytes()), i as u32);
        let mut places: Vec<(u64, u32)> = targets.iter().enumerate().map(place).collect();
        places.sort_unstable();
        Self(places)
    }

    /// The place in the list that a key names as its `turn`-th.
    fn place(&self, key: u64, turn: u64) -> Option<usize> {
        let at = xxh3_64_with_seed(&key.to_le_bytes(), turn);
        let next = self.0.partition_point(|(hash, _)| *hash < at);
        let next = self.0.get(next).or_else(|| self.0.first());
        next.map(|(_, i)| *i as usize)
    }
}

/// The few targets of very many that are weighed for a call.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Places in the list of the service's targets, each once.
    pub(crate) places: Vec<usize>,
    /// How many of these, the last ones, stand for all.
    pub(crate) sample: usize,
}

impl Candidates {
    /// Of a service's targets, in the order of their ids; `None` where all are to be weighed.
    pub(crate) fn new(
        targets: &[Rc<TargetRecord>],
        ring: &Ring,
        plan: &Plan,
        cache: &PromptCache,
    ) -> Option<Self> {
        // What a chat's targets of first choice have read is not told to peers: that is found among all.
        if targets.len() < MANY_TARGETS || plan.chat.is_some() {
            return None;
        }
        // Routers that can't know of one another let the same few read a prompt that nobody has read: neither those that hold
        // its beginning nor those that the call draws are among them.
        let deepest = plan.shared_parts().last();
        let is_unread = deepest.is_some_and(|part| cache.holders(part.id).is_empty());
        let (mut places, drawn) = match is_unread {
            true => (Vec::new(), 0),
            false => (holders(targets, plan, cache), DRAWN),
        };
        let held = places.len();
        let key = plan.key();
        places.extend((0..NAMED as u64).filter_map(|turn| ring.place(key, turn)));
        places.extend((0..drawn as u64).filter_map(|turn| ring.place(plan.hash, turn)));
        let (mut holding, mut others) = (places, Vec::new());
        others.extend(holding.drain(held..));
        others.sort_unstable();
        others.dedup();
        others.retain(|place| !holding.contains(place));
        let sample = others.len();
        holding.extend(others);
        Some(Self {
            places: holding,
            sample,
        })
    }
}

/// Those that hold the deepest part of the prompt that any holds; of parts that very many hold, some that the call draws.
fn holders(targets: &[Rc<TargetRecord>], plan: &Plan, cache: &PromptCache) -> Vec<usize> {
    let place = |id: &TargetId| targets.binary_search_by(|t| t.id.cmp(id)).ok();
    let mut found = Vec::new();
    for part in plan.prompt.iter().rev() {
        let holders = cache.holders(part.id);
        let left = HOLDERS - found.len();
        let first = match holders.len() > left {
            true => plan.hash as usize % holders.len(),
            false => 0,
        };
        let drawn = holders.iter().cycle().skip(first);
        let drawn = drawn.take(left.min(holders.len()));
        for place in drawn.filter_map(place) {
            if !found.contains(&place) {
                found.push(place);
            }
        }
        if found.len() >= HOLDERS {
            break;
        }
    }
    found
}

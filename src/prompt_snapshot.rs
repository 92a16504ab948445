//! Stores which targets have read which prompts, for routers that start.
//!
//! This handles the case that all routers are lost and start together, and each lists the store before it
//! serves. Prompts are the largest part of that list: when each copy was stored with a part's id and length
//! and a target's name, 295 routers had their configuration only 1.7 s after they started, because the
//! store's link was full. Here each part is stored once, with a number for each target that holds it. This
//! takes 0.2 of the bytes with four copies of each part (`tests/decisions/prompts.rs`).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetId,
    prompt_cache::{PartId, PartLocation},
    units::Tokens,
};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Part {
    /// Id as a fixed-size integer: the variable-length encoding, which saves bytes for small numbers, takes
    /// more for a hash.
    #[serde(with = "postcard::fixint::le")]
    id: u64,
    tokens: Tokens,
}

/// Prompt parts with the targets that have read them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PromptSnapshot {
    parts: Vec<Part>,
    /// Each target with the indexes of its parts in `parts`, least recently used first.
    targets: Vec<(TargetId, Vec<u32>)>,
}

impl PromptSnapshot {
    /// Builds a snapshot from the parts held by targets; the order of each target's parts is kept.
    pub fn new(entries: &[PartLocation]) -> Self {
        let mut snapshot = Self::default();
        let mut indexes: HashMap<PartId, u32> = HashMap::new();
        let mut targets: HashMap<&TargetId, usize> = HashMap::new();
        for (id, tokens, target) in entries {
            let index = *indexes.entry(*id).or_insert_with(|| {
                let tokens = *tokens;
                snapshot.parts.push(Part { id: id.0, tokens });
                snapshot.parts.len() as u32 - 1
            });
            let i = *targets.entry(target).or_insert_with(|| {
                snapshot.targets.push((target.clone(), Vec::new()));
                snapshot.targets.len() - 1
            });
            snapshot.targets[i].1.push(index);
        }
        snapshot
    }

    /// Iterates over all parts at all targets; indexes without a part are skipped.
    pub fn part_locations(&self) -> impl Iterator<Item = PartLocation> + '_ {
        self.targets.iter().flat_map(move |(target, indexes)| {
            let parts = indexes.iter().filter_map(|n| self.parts.get(*n as usize));
            parts.map(move |p| (PartId(p.id), p.tokens, target.clone()))
        })
    }

    /// Returns the number of parts, each counted once however many targets hold it.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether the snapshot has no parts.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

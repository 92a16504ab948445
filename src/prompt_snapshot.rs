//! Which prompts are read where, as it is kept in the store for routers that start.
//!
//! The load pattern that this answers: all routers are lost and start together, and each lists the store
//! before it serves. What they read then is the largest part of the list: with a part's id and length and
//! a target's name for each copy, 295 routers had their configuration 1.7 s after they started, as the
//! store's link was full. Here a part stands once, with a number for each target that has it: 0.2 of the
//! bytes with four copies of each part (`tests/decisions/prompts.rs`).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetId,
    prompt_cache::{News, PartId},
    units::Tokens,
};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Part {
    /// A hash, which takes more bytes where small numbers take fewer.
    #[serde(with = "postcard::fixint::le")]
    id: u64,
    tokens: Tokens,
}

/// Parts of prompts with the targets that have read them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PromptSnapshot {
    parts: Vec<Part>,
    /// Each target with the places of its parts, those unused longest first.
    targets: Vec<(TargetId, Vec<u32>)>,
}

impl PromptSnapshot {
    /// Of parts at targets; the order of each target's parts is kept.
    pub fn new(held: &[News]) -> Self {
        let mut snapshot = Self::default();
        let mut places: HashMap<PartId, u32> = HashMap::new();
        let mut targets: HashMap<&TargetId, usize> = HashMap::new();
        for (id, tokens, target) in held {
            let place = *places.entry(*id).or_insert_with(|| {
                let tokens = *tokens;
                snapshot.parts.push(Part { id: id.0, tokens });
                snapshot.parts.len() as u32 - 1
            });
            let i = *targets.entry(target).or_insert_with(|| {
                snapshot.targets.push((target.clone(), Vec::new()));
                snapshot.targets.len() - 1
            });
            snapshot.targets[i].1.push(place);
        }
        snapshot
    }

    /// All parts at all targets; places that are of no part are passed over.
    pub fn held(&self) -> impl Iterator<Item = News> + '_ {
        self.targets.iter().flat_map(move |(target, places)| {
            let parts = places.iter().filter_map(|n| self.parts.get(*n as usize));
            parts.map(move |p| (PartId(p.id), p.tokens, target.clone()))
        })
    }

    /// Parts, each counted once however many targets have it.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

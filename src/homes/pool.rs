//! What a home knows of the pools that its targets belong to.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::Serves,
    ids::VmId,
    load::{Least, Load, PoolLoad},
};

/// A pool's number, between homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u64);

impl PoolId {
    /// The number of the pool that serves this.
    pub fn of(serves: &Serves) -> Self {
        Self(xxh3_64(serves.to_string().as_bytes()))
    }
}

/// What a home reports of one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSum {
    /// The pool.
    pub pool: PoolId,
    /// What is in progress at its targets that the home keeps.
    pub load: Load,
    /// The least loaded of them.
    pub least: Option<Least>,
}

/// A pool: its capacity, its homes, and what they last reported.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The capacity weights of its targets, added up.
    pub(super) weight: u32,
    /// Its home routers.
    pub(super) homes: HashSet<VmId>,
    /// What the other homes last reported.
    pub(super) load: PoolLoad,
}

impl Pool {
    /// Forgets its targets and homes before they are counted anew; keeps the reports.
    pub(super) fn begin_view(&mut self) {
        self.weight = 0;
        self.homes.clear();
    }
}

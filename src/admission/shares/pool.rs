//! State of one pool, and how its calls are divided.

use std::collections::HashMap;

use super::{
    fractions::Fractions,
    observations::{CONTENTION_TTL, Observations},
    report::Claim,
    sums::PoolSum,
};
use crate::{target_counts::TargetHash, units::Instant};

/// How the calls to one pool are divided.
#[derive(Debug)]
pub(super) struct Division {
    /// Mean time at which the figures were observed.
    pub(super) observed_at: Instant,
    /// Calls per second that the pool is offered.
    pub(super) capacity: f64,
    pub(super) fractions: Fractions,
    pub(super) targets: HashMap<TargetHash, f64>,
    pub(super) demand: HashMap<Claim, f64>,
}

/// State of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) observed: Observations,
    /// Sum over the fleet that has not been used for a division yet.
    pub(super) sum: Option<PoolSum>,
    pub(super) division: Option<Division>,
    /// Whether the scope covers the pool; only then it is reported.
    pub(super) is_in_scope: bool,
    /// When a sum over the fleet first showed that the pool is contended.
    pub(super) heard_at: Option<Instant>,
    /// When a report of the fleet last showed that calls are refused.
    pub(super) contended_at: Option<Instant>,
}

impl Pool {
    /// Returns whether a refusal is known that was within [`CONTENTION_TTL`].
    pub(super) fn is_contended(&self, now: Instant) -> bool {
        let by_reports = self.contended_at;
        self.observed.is_contended(now)
            || by_reports.is_some_and(|at| now.since(at) < CONTENTION_TTL)
    }
}

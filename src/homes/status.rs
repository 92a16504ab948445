//! What operators are shown of a home's targets.

use serde::Serialize;

use crate::ids::TargetId;

/// One target, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HomeStatus {
    /// The target.
    pub target: TargetId,
    /// Its pool.
    pub pool: String,
    /// Tokens in progress.
    pub tokens: u64,
    /// Tokens in progress relative to the pool's mean.
    pub load: f64,
    /// Requests in progress that were admitted here.
    pub running: usize,
    /// Requests that wait here.
    pub waiting: usize,
    /// Whether another router may believe that it is home.
    pub in_doubt: bool,
    /// Whether it fails and gets nothing now.
    pub circuit_open: bool,
}

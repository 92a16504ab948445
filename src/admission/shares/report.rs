//! What routers report to one another of a contended pool.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    admission::account_rates::AccountHash,
    ids::{DataHall, ServiceName},
    target_counts::TargetHash,
    units::Rank,
};

/// Short hash of a service's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceHash(u32);

impl From<&ServiceName> for ServiceHash {
    fn from(service: &ServiceName) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// Who asks for room at a pool: calls that are admitted in the same proportion.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Claim {
    /// Urgency of the calls.
    pub rank: Rank,
    /// Whether their callers were refused before and have returned.
    pub returning: bool,
    /// Account that sends them; `None` for calls without a key.
    pub account: Option<AccountHash>,
}

/// A rate of calls, in tenths of a call per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenthsPerSecond(pub u32);

/// Rates that were observed at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRates {
    /// The target.
    pub target: TargetHash,
    /// Calls that it answered.
    pub answered: TenthsPerSecond,
    /// Calls that it turned away because it was full.
    pub turned_away: TenthsPerSecond,
    /// Mean time from the send of a call to the end of its answer, in milliseconds.
    pub mean_time_ms: u32,
}

/// What one router, or all routers of a data hall, observe of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Service that the pool's targets run.
    pub service: ServiceHash,
    /// Calls that arrive, by claim.
    pub demand: Vec<(Claim, TenthsPerSecond)>,
    /// What its targets do.
    pub targets: Vec<TargetRates>,
}

/// Reports as they are sent to other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareReport {
    /// What the sender observes of its own calls.
    Router(Vec<PoolReport>),
    /// What all routers of a data hall observe, and the mean age of that in milliseconds.
    Hall {
        /// The data hall.
        hall: DataHall,
        /// Mean age of the observations when the report was sent, in milliseconds.
        age_ms: u16,
        /// Sums of its routers' reports.
        pools: Vec<PoolReport>,
    },
}

/// Reports of a router that is the hub of its data hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HallShareReports {
    /// Reports to the routers of its own data hall: of all data halls.
    pub for_own_hall: Vec<ShareReport>,
    /// Reports to the hubs of the other data halls: of its own.
    pub for_other_halls: Vec<ShareReport>,
}

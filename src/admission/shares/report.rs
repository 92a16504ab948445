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

impl Claim {
    /// Returns the claim of calls of a rank without an account.
    pub fn with_rank(rank: Rank) -> Self {
        Self {
            rank,
            ..Self::default()
        }
    }

    /// Returns the claim of calls that an account sends beyond a multiple of its usual rate. They are
    /// admitted after all others, whatever their rank.
    pub fn beyond_usual(self) -> Self {
        Self {
            rank: BEYOND_USUAL_RANK,
            returning: false,
            ..self
        }
    }

    /// Returns whether the calls are sent beyond a multiple of their account's usual rate.
    pub fn is_beyond_usual(self) -> bool {
        self.rank == BEYOND_USUAL_RANK
    }
}

/// Rank that stands for calls beyond a multiple of the usual rate: the least urgent one, which is not
/// used for other calls.
const BEYOND_USUAL_RANK: Rank = Rank(u8::MAX);

/// A rate of calls, in tenths of a call per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenthsPerSecond(pub u32);

/// Highest rate that is taken from a report, in calls per second; guards against invalid figures.
const MAX_REPORTED_RATE: f64 = 20_000.0;

/// Highest mean time that is taken from a report, in milliseconds; guards against invalid figures.
const MAX_REPORTED_TIME_MS: u32 = 60_000;

impl TenthsPerSecond {
    /// Converts a rate in calls per second.
    pub fn new(per_s: f64) -> Self {
        Self((per_s * 10.0).round() as u32)
    }

    /// Returns the rate in calls per second, limited to a plausible one.
    pub fn per_s(self) -> f64 {
        (f64::from(self.0) / 10.0).min(MAX_REPORTED_RATE)
    }
}

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

impl TargetRates {
    /// Returns the mean time in seconds, limited to a plausible one.
    pub fn mean_time_s(&self) -> f64 {
        f64::from(self.mean_time_ms.clamp(1, MAX_REPORTED_TIME_MS)) / 1_000.0
    }
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
    /// Calls that were refused for lack of room: other routers report on the pool as well while this
    /// is not zero.
    pub refused: TenthsPerSecond,
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

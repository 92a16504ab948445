//! Divides a pool that is too small for its callers among them, by demand.
//!
//! Answers a load in which callers want more than a pool can do, and counts of calls in progress are
//! older than a call lasts. All routers sum up what they observe of the pool, and each admits the
//! same fraction of a claim's calls; see `docs/design/overload.md`.

mod report;

use std::{fmt, str::FromStr, time::Duration};

pub use report::{
    Claim, HallShareReports, PoolReport, ServiceHash, ShareReport, TargetRates, TenthsPerSecond,
};

use crate::{
    ids::{DataHall, ServiceName, TargetId, VmId},
    units::Instant,
};

/// Pools that are divided by demand while they are contended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShareScope {
    /// None.
    Off,
    /// Pools without model engines that have fewer slots than the fleet has routers.
    #[default]
    SmallPools,
    /// All pools.
    AllPools,
}

impl fmt::Display for ShareScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Off => "off",
            Self::SmallPools => "small-pools",
            Self::AllPools => "all-pools",
        })
    }
}

/// A text that names no scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("neither off, small-pools nor all-pools")]
pub struct UnknownScope;

impl FromStr for ShareScope {
    type Err = UnknownScope;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "off" => Ok(Self::Off),
            "small-pools" => Ok(Self::SmallPools),
            "all-pools" => Ok(Self::AllPools),
            _ => Err(UnknownScope),
        }
    }
}

/// How an attempt at a target ended, as far as it tells what the target can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The target turned the call away because it was full; the call did not run.
    TurnedAway,
    /// Anything else.
    Failed,
}

/// What a router knows of a pool when it decides on a call.
#[derive(Debug, Clone, Copy)]
pub struct PoolFacts<'a> {
    /// Service that the pool's targets run.
    pub service: &'a ServiceName,
    /// Whether the targets are model engines.
    pub has_engines: bool,
    /// Number of slots of all targets that accept calls.
    pub slots: u32,
    /// Shortest goal of the service's routes.
    pub goal: Duration,
}

/// State of one contended pool, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolStatus {
    /// Hash of the service's name.
    pub service: ServiceHash,
    /// Calls per second that the pool is offered at the most.
    pub capacity: f64,
    /// Calls per second that arrive, and the fraction that is admitted, by claim.
    pub claims: Vec<(Claim, f64, f64)>,
    /// Calls per second that each target is offered at the most.
    pub targets: Vec<(crate::target_counts::TargetHash, f64)>,
}

/// Demand for pools and what their targets do, at this router and across the fleet.
#[derive(Debug)]
pub struct PoolShares {
    #[expect(dead_code, reason = "sums of a data hall need it")]
    hall: DataHall,
    scope: ShareScope,
    routers: usize,
}

impl PoolShares {
    /// Creates the state of a router in `hall`, without any observations.
    pub fn new(hall: DataHall, scope: ShareScope) -> Self {
        Self {
            hall,
            scope,
            routers: 1,
        }
    }

    /// Changes which pools are divided; observations are kept.
    pub fn set_scope(&mut self, scope: ShareScope) {
        self.scope = scope;
    }

    /// Sets the number of routers in the fleet.
    pub fn set_fleet_size(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// Counts a call that arrives.
    pub fn on_call(&mut self, _now: Instant, _service: &ServiceName, _claim: Claim) {}

    /// Records that a call was refused because no target had room.
    pub fn on_no_room(&mut self, _now: Instant, _service: &ServiceName) {}

    /// Records how an attempt ended, `took` after it was sent.
    pub fn on_attempt_end(
        &mut self,
        _now: Instant,
        _service: &ServiceName,
        _target: &TargetId,
        _took: Duration,
        _result: AttemptResult,
    ) {
    }

    /// Returns whether a call is admitted; `draw`, from 0 to 1, selects among the calls of a claim.
    pub fn admits(&self, _now: Instant, _pool: PoolFacts<'_>, _claim: Claim, _draw: f64) -> bool {
        true
    }

    /// Returns how many calls per second a target is offered, by which targets of a divided pool are
    /// drawn; `None` if the pool is placed by counts.
    pub fn weight(&self, _now: Instant, _pool: PoolFacts<'_>, _target: &TargetId) -> Option<f64> {
        None
    }

    /// Drops what has expired, and computes capacities and fractions anew.
    pub fn on_tick(&mut self, _now: Instant) {}

    /// Returns this router's report on the contended pools; `None` if there are none.
    pub fn own_report(&self, _now: Instant) -> Option<ShareReport> {
        None
    }

    /// Returns what this router reports as the hub of its data hall.
    pub fn hall_reports(&self, _now: Instant) -> HallShareReports {
        HallShareReports::default()
    }

    /// Stores reports that a router of `hall` sent.
    pub fn on_reports(
        &mut self,
        _now: Instant,
        _vm: &VmId,
        _hall: &DataHall,
        _reports: Vec<ShareReport>,
    ) {
    }

    /// Returns the contended pools.
    pub fn status(&self, _now: Instant) -> Vec<PoolStatus> {
        Vec::new()
    }
}

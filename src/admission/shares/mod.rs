//! Divides a pool that is too small for its callers among them, by demand.
//!
//! Answers a load in which callers want more than a pool can do, and counts of calls in progress are
//! older than a call lasts. All routers sum up what they observe of the pool, and each admits the
//! same fraction of a claim's calls; see `docs/design/overload.md`.

mod capacity;
mod fractions;
mod observations;
mod pool;
mod rate;
mod report;
mod returning;
mod sums;

use std::{collections::HashMap, fmt, str::FromStr, time::Duration};

use fractions::{CallOrder, Fractions};
use pool::{Division, Pool};
use sums::{PeerReports, PoolSums};

pub use report::{
    Claim, HallShareReports, PoolReport, ServiceHash, ShareReport, TargetRates, TenthsPerSecond,
};

use crate::{
    ids::{DataHall, ServiceName, TargetId, VmId},
    membership::timing,
    target_counts::TargetHash,
    units::Instant,
};
pub use returning::UsualTimeLeft;

/// Pools that are divided by demand while they are contended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShareScope {
    /// None.
    Off,
    /// Pools without model engines that have at most one slot for every two routers.
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
    pub targets: Vec<(TargetHash, f64)>,
}

/// Maximum number of pools with observations; calls of further ones are not counted.
const MAX_OBSERVED_POOLS: usize = 1_024;

/// Number of routers per slot from which a pool is small: most routers then have no call in progress
/// there, so that their counts tell nothing.
const ROUTERS_PER_SLOT: usize = 2;

/// Time without calls after which a pool is dropped.
const POOL_TTL: Duration = Duration::from_mins(1);

/// Time from the start of a contention until the rate of callers that return is known. They come some tenths
/// of a second after the first refusals, all at once; if all of the few that were measured before were
/// admitted, three times the capacity would be sent.
const RETURNS_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time until the effect of a division is seen, in addition to the age of sums and the interval between
/// them: half of the window over which rates are measured.
const OBSERVATION_DELAY: Duration = Duration::from_millis(250);

/// Demand for pools and what their targets do, at this router and across the fleet.
#[derive(Debug)]
pub struct PoolShares {
    hall: DataHall,
    scope: ShareScope,
    routers: usize,
    pools: HashMap<ServiceHash, Pool>,
    peers: PeerReports,
    /// Time that callers usually have when their calls arrive.
    pub usual_time_left: UsualTimeLeft,
}

impl PoolShares {
    /// Creates the state of a router in `hall`, without any observations.
    pub fn new(hall: DataHall, scope: ShareScope) -> Self {
        Self {
            hall,
            scope,
            routers: 1,
            pools: HashMap::new(),
            peers: PeerReports::default(),
            usual_time_left: UsualTimeLeft::default(),
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
    pub fn on_call(&mut self, now: Instant, service: &ServiceName, claim: Claim) {
        if let Some(pool) = self.pool_mut(service) {
            pool.observed.on_call(now, claim);
        }
    }

    /// Records that a call was refused because no target had room.
    pub fn on_no_room(&mut self, now: Instant, service: &ServiceName) {
        if let Some(pool) = self.pool_mut(service) {
            pool.observed.on_no_room(now);
        }
    }

    /// Records how an attempt ended, `took` after it was sent.
    pub fn on_attempt_end(
        &mut self,
        now: Instant,
        service: &ServiceName,
        target: &TargetId,
        took: Duration,
        result: AttemptResult,
    ) {
        if let Some(pool) = self.pool_mut(service) {
            let target = target.into();
            pool.observed.on_attempt_end(now, target, took, result);
        }
    }

    /// Returns whether a pool is divided by demand now: it is in scope and contended, and the sum over
    /// the fleet is young enough.
    pub fn is_divided(&self, now: Instant, pool: PoolFacts<'_>) -> bool {
        self.division(now, pool).is_some()
    }

    /// Divides a contended pool anew if there are new sums since the last division. `targets` are those
    /// that accept calls and are healthy, with their slots.
    pub fn divide(
        &mut self,
        now: Instant,
        facts: PoolFacts<'_>,
        targets: impl FnOnce() -> Vec<(TargetHash, u32)>,
    ) {
        let is_in_scope = self.is_in_scope(facts);
        let interval = timing::send_interval(self.routers);
        let Some(pool) = self.pools.get_mut(&facts.service.into()) else {
            return;
        };
        pool.is_in_scope = is_in_scope;
        let Some(sum) = pool.sum.take().filter(|_| is_in_scope) else {
            return;
        };
        let observed_at = sum.observed_at();
        // Routers report once they have heard of the contention. Sums of the few that noticed it first
        // hide that targets are busy: a third of the pool was unused in the second second of a surge
        // (`tests/load/pool_shares.rs`, 985 routers).
        let complete_at = pool.heard_at.map(|at| at + interval / 2);
        if complete_at.is_none_or(|at| observed_at < at) {
            return;
        }
        let hold = now.since(observed_at) + interval + OBSERVATION_DELAY;
        let is_settled =
            now.since(pool.heard_at.unwrap_or(now)) >= RETURNS_SETTLE_TIME.max(hold * 2);
        let order = match is_settled {
            true => CallOrder::ReturningFirst,
            false => CallOrder::Alike,
        };
        let rates = capacity::target_rates(&sum, &targets(), facts.goal, hold);
        let capacity: f64 = rates.values().sum();
        if capacity <= 0.0 {
            // No target may be used: placement by counts decides what to do.
            pool.division = None;
            return;
        }
        pool.division = Some(Division {
            observed_at,
            capacity,
            fractions: Fractions::new(&sum.demand, capacity, order),
            targets: rates,
            demand: sum.demand,
        });
    }

    /// Returns whether a call is admitted; `draw`, from 0 to 1, selects among the calls of a claim.
    pub fn admits(&self, now: Instant, pool: PoolFacts<'_>, claim: Claim, draw: f64) -> bool {
        let division = self.division(now, pool);
        division.is_none_or(|d| draw < d.fractions.get(claim))
    }

    /// Returns the fraction of a claim's calls that a pool admits; `None` if it is not divided now.
    pub fn fraction(&self, now: Instant, service: &ServiceName, claim: Claim) -> Option<f64> {
        let pool = self.pools.get(&service.into())?;
        let division = pool.division.as_ref().filter(|_| pool.is_in_scope)?;
        let is_valid = now.since(division.observed_at) < timing::sum_ttl(self.routers);
        is_valid.then(|| division.fractions.get(claim))
    }

    /// Returns how many calls per second a target is offered, by which targets of a divided pool are
    /// drawn; `None` if the pool is placed by counts.
    pub fn weight(&self, now: Instant, pool: PoolFacts<'_>, target: &TargetId) -> Option<f64> {
        let division = self.division(now, pool)?;
        division.targets.get(&target.into()).copied()
    }

    /// Drops what has expired, and computes the sums from which pools are divided.
    pub fn on_tick(&mut self, now: Instant) {
        let ttl = timing::sum_ttl(self.routers);
        self.peers.on_tick(now, ttl);
        let own = self.own_pools(now);
        // Without reports, the calls of the other routers are unknown.
        let sums = match self.peers.is_empty() && self.routers > 1 {
            true => PoolSums::default(),
            false => self.peers.fleet_sums(now, &self.hall, &own),
        };
        for (service, sum) in sums {
            // Reports on a pool that has had no calls here are not needed.
            if let Some(pool) = self.pools.get_mut(&service) {
                if sum.is_contended() {
                    pool.contended_at = Some(now);
                    pool.heard_at.get_or_insert(now);
                }
                pool.sum = Some(sum);
            }
        }
        for pool in self.pools.values_mut() {
            pool.observed.on_tick(now);
            if !pool.is_contended(now) {
                pool.sum = None;
                pool.division = None;
                pool.heard_at = None;
            }
        }
        self.pools
            .retain(|_, pool| now.since(pool.observed.called_at()) < POOL_TTL);
    }

    /// Returns this router's report on the contended pools; `None` if there are none.
    pub fn own_report(&self, now: Instant) -> Option<ShareReport> {
        let pools = self.own_pools(now);
        (!pools.is_empty()).then_some(ShareReport::Router(pools))
    }

    /// Returns what this router reports as the hub of its data hall.
    pub fn hall_reports(&self, now: Instant) -> HallShareReports {
        let own_pools = self.own_pools(now);
        let own = self.peers.own_hall_report(now, &self.hall, &own_pools);
        let others = self.peers.other_hall_reports(now, &self.hall);
        HallShareReports {
            for_own_hall: own.iter().cloned().chain(others).collect(),
            for_other_halls: own.into_iter().collect(),
        }
    }

    /// Stores reports that a router of `hall` sent.
    pub fn on_reports(
        &mut self,
        now: Instant,
        vm: &VmId,
        hall: &DataHall,
        reports: Vec<ShareReport>,
    ) {
        for report in reports {
            self.peers.on_report(now, vm, hall, report);
        }
    }

    /// Returns the contended pools.
    pub fn status(&self, now: Instant) -> Vec<PoolStatus> {
        let divided = self.pools.iter().filter(|(_, pool)| pool.is_contended(now));
        let divided =
            divided.filter_map(|(service, pool)| Some((service, pool.division.as_ref()?)));
        let status = |(service, d): (&ServiceHash, &Division)| {
            let claims = d.demand.iter();
            let claims = claims.map(|(claim, rate)| (*claim, *rate, d.fractions.get(*claim)));
            let mut claims: Vec<_> = claims.collect();
            claims.sort_by_key(|(claim, ..)| *claim);
            let mut targets: Vec<_> = d.targets.iter().map(|(t, rate)| (*t, *rate)).collect();
            targets.sort_by_key(|(target, _)| *target);
            PoolStatus {
                service: *service,
                capacity: d.capacity,
                claims,
                targets,
            }
        };
        let mut all: Vec<_> = divided.map(status).collect();
        all.sort_by_key(|pool| pool.service);
        all
    }

    fn pool_mut(&mut self, service: &ServiceName) -> Option<&mut Pool> {
        let hash = ServiceHash::from(service);
        let has_room = self.pools.len() < MAX_OBSERVED_POOLS || self.pools.contains_key(&hash);
        (has_room && self.scope != ShareScope::Off).then(|| self.pools.entry(hash).or_default())
    }

    fn division(&self, now: Instant, facts: PoolFacts<'_>) -> Option<&Division> {
        let division = self.pools.get(&facts.service.into())?.division.as_ref()?;
        let age = now.since(division.observed_at);
        let is_valid = self.is_in_scope(facts) && age < timing::sum_ttl(self.routers);
        is_valid.then_some(division)
    }

    /// Returns whether the scope covers a pool. Pools of engines are placed by counts, which are
    /// accurate enough for calls of a second.
    fn is_in_scope(&self, pool: PoolFacts<'_>) -> bool {
        match self.scope {
            ShareScope::Off => false,
            ShareScope::SmallPools => {
                !pool.has_engines && pool.slots as usize * ROUTERS_PER_SLOT <= self.routers
            }
            ShareScope::AllPools => !pool.has_engines,
        }
    }

    /// Returns the report on the pools that are contended, those with the most refusals first.
    fn own_pools(&self, now: Instant) -> Vec<PoolReport> {
        let contended = self.pools.iter();
        let contended = contended.filter(|(_, pool)| pool.is_in_scope && pool.is_contended(now));
        let report = |(service, pool): (&ServiceHash, &Pool)| pool.observed.report(now, *service);
        let mut pools: Vec<_> = contended.map(report).collect();
        pools.sort_by_key(|pool| (std::cmp::Reverse(pool.refused), pool.service));
        pools.truncate(sums::MAX_POOLS);
        pools
    }
}

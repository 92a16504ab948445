//! Admission control: how many calls each target may have in progress, and when a caller that is
//! refused for lack of capacity should retry.
//!
//! Decisions are synchronous: time and events are arguments, and [`crate::edge`] does the input and
//! output. The capacity of targets is never configured; it is learned from the calls that they
//! answered.

pub mod account_rates;
mod limit;
mod occupancy;
mod shortage;
mod start;
pub mod surge;
pub mod warm_up;

use std::{collections::HashMap, time::Duration};

use account_rates::{AccountRates, RateReport, RatesOfOthers};
pub use limit::{CallLimit, CallTraits};
use occupancy::Occupancy;
use shortage::Shortage;
pub use start::wait_for_config;
use surge::{Surge, Surges};

use crate::{
    ids::{ClientAccountId, DataHall, ServiceName, VmId},
    units::Instant,
};

/// Observations of one service's targets.
#[derive(Debug, Default)]
struct Pool {
    occupancy: Occupancy,
    shortage: Shortage,
}

/// Estimate of a service's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Mean time for which a call occupies a slot; `None` before the first call.
    pub held: Option<Duration>,
    /// Time for which calls have been refused for lack of capacity; `None` if there is no shortage.
    pub short_for: Option<Duration>,
}

/// Rates of accounts that a hub reports.
#[derive(Debug, Default)]
pub struct HallRates {
    /// Reports to the routers of its own data hall.
    pub near: Vec<RateReport>,
    /// Reports to the hubs of the other data halls.
    pub far: Vec<RateReport>,
}

/// Admission state of all services.
#[derive(Debug)]
pub struct Admission {
    pools: HashMap<ServiceName, Pool>,
    surges: Surges,
    others: RatesOfOthers,
}

impl Admission {
    /// Creates the state of a router in `hall`, without any observations.
    pub fn new(hall: DataHall) -> Self {
        Self {
            pools: HashMap::new(),
            surges: Surges::default(),
            others: RatesOfOthers::new(hall),
        }
    }

    /// Returns the rates of accounts that this router reports to the hubs, or to all peers of a
    /// small fleet.
    pub fn own_rates(&self, now: Instant) -> RateReport {
        RateReport::Router(self.surges.own_rates(now))
    }

    /// Returns the rates of accounts that this router reports as a hub: to all receivers the rates
    /// of its data hall, and to routers of its data hall also the rates of the other data halls.
    pub fn hall_rates(&self, now: Instant, hall: &DataHall) -> HallRates {
        let own: AccountRates = self.others.of_own_hall(&self.surges.own_rates(now));
        let own = RateReport::Hall(hall.clone(), own);
        let other_halls = self.others.of_other_halls();
        let other_halls =
            other_halls.map(|(hall, rates)| RateReport::Hall(hall.clone(), rates.clone()));
        HallRates {
            near: std::iter::once(own.clone()).chain(other_halls).collect(),
            far: vec![own],
        }
    }

    /// Stores the rates of accounts that another router reported.
    pub fn on_rates(&mut self, now: Instant, vm: &VmId, hall: &DataHall, reports: Vec<RateReport>) {
        for report in reports {
            self.others.on_report(now, vm.clone(), hall, report);
        }
    }

    /// Drops expired reports and updates the rates of accounts across the fleet.
    pub fn on_tick(&mut self, now: Instant) {
        self.others.on_tick(now);
        let sum = self.others.of_fleet(&self.surges.own_rates(now));
        self.surges.on_fleet(now, &sum);
    }

    /// Returns the limit on calls in progress at each target of the service.
    ///
    /// `goal` is the shortest time within which any kind of call of the service should be answered.
    pub fn limit(&self, service: &ServiceName, goal: Duration) -> CallLimit {
        let mean = self.pools.get(service).and_then(|p| p.occupancy.mean());
        CallLimit::new(goal, mean)
    }

    /// Counts a call of an account; returns whether the account sends many times its usual rate
    /// while others do not.
    pub fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> Surge {
        self.surges.on_call(now, account)
    }

    /// Returns whether a call may be placed at a target.
    ///
    /// In a shortage, a surging account gets its usual rate multiplied by a small factor, because
    /// slots reserved for other accounts are taken before the counts of these calls arrive. `draw`,
    /// from 0 to 1, selects among the account's calls. When one account in ten sent 30 times its
    /// usual rate to 295 routers, 0.15 of the other accounts' calls were answered in time without
    /// this rule and more than half of them with it (`tests/load/stale_counts.rs`).
    pub fn lets_in(&self, now: Instant, service: &ServiceName, surge: Surge, draw: f64) -> bool {
        let is_short = self.room(now, service).short_for.is_some();
        match surge {
            Surge::LetIn(part) if is_short => draw < part,
            _ => true,
        }
    }

    /// Records the time for which a call occupied a slot at its target, without time in the
    /// target's queue.
    pub fn on_held(&mut self, service: &ServiceName, slot_time: Duration) {
        self.pool(service).occupancy.on_held(slot_time);
    }

    /// Restores the mean time for which calls occupied a slot, as known before this router
    /// restarted.
    ///
    /// Only calls that did not queue contribute to the mean at once. A router that starts while all
    /// targets are flooded therefore learns nothing for seconds, and treats targets as full that
    /// are not.
    pub fn on_recalled(&mut self, service: &ServiceName, slot_time: Duration) {
        self.pool(service).occupancy.on_recalled(slot_time);
    }

    /// Records that a call was refused because no target had capacity.
    pub fn on_refused(&mut self, now: Instant, service: &ServiceName) {
        self.pool(service).shortage.on_refused(now);
    }

    /// Returns the estimate of a service's capacity.
    pub fn room(&self, now: Instant, service: &ServiceName) -> Room {
        let pool = self.pools.get(service);
        Room {
            held: pool.and_then(|p| p.occupancy.mean()),
            short_for: pool.and_then(|p| p.shortage.age(now)),
        }
    }

    /// Iterates over the services and the mean time for which their calls occupy a slot, where it
    /// is known.
    pub fn learned(&self) -> impl Iterator<Item = (&ServiceName, Duration)> {
        let mean = |(service, pool): (_, &Pool)| Some((service, pool.occupancy.mean()?));
        self.pools.iter().filter_map(mean)
    }

    /// Returns the delay after which a refused caller should retry.
    ///
    /// `left` is the total time for which the caller waits. `draw`, from 0 to 1, spreads callers
    /// that were refused together.
    pub fn come_back(
        &self,
        now: Instant,
        service: &ServiceName,
        left: Duration,
        draw: f64,
    ) -> Duration {
        let room = self.room(now, service);
        let remaining = room.short_for.map_or(Duration::ZERO, shortage::expected_at);
        shortage::come_back(remaining.max(room.held.unwrap_or_default()), left, draw)
    }

    /// Returns the delay after which a caller should retry that reached a router without a
    /// configuration.
    ///
    /// The router started `age` ago.
    pub fn come_back_to_start(&self, age: Duration, left: Duration, draw: f64) -> Duration {
        shortage::come_back(start::expected_at(age), left, draw)
    }

    fn pool(&mut self, service: &ServiceName) -> &mut Pool {
        if !self.pools.contains_key(service) {
            self.pools.insert(service.clone(), Pool::default());
        }
        self.pools.entry(service.clone()).or_default()
    }
}

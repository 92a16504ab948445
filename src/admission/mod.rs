//! How many calls each target may have in progress, and when a caller that finds no room should come
//! back.
//!
//! Synchronous decisions: time and events come as arguments, the input and output around them are in
//! [`crate::edge`]. What a target can take is learned from calls that it answered, never configured.

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

/// What was learned of one service's targets.
#[derive(Debug, Default)]
struct Pool {
    occupancy: Occupancy,
    shortage: Shortage,
}

/// What is believed of a service's room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// How long a call holds a slot; `None` before any did.
    pub held: Option<Duration>,
    /// For how long calls have found no room; `None` where they do.
    pub short_for: Option<Duration>,
}

/// Rates of accounts as a hub reports them.
#[derive(Debug, Default)]
pub struct HallRates {
    /// To routers of its own data hall.
    pub near: Vec<RateReport>,
    /// To hubs of the others.
    pub far: Vec<RateReport>,
}

/// What was learned of all services.
#[derive(Debug)]
pub struct Admission {
    pools: HashMap<ServiceName, Pool>,
    surges: Surges,
    others: RatesOfOthers,
}

impl Admission {
    /// Of a router in this data hall, which knows nothing yet.
    pub fn new(hall: DataHall) -> Self {
        Self {
            pools: HashMap::new(),
            surges: Surges::default(),
            others: RatesOfOthers::new(hall),
        }
    }

    /// Rates of accounts to report to the hubs, or to all peers of a small fleet.
    pub fn own_rates(&self, now: Instant) -> RateReport {
        RateReport::Router(self.surges.own_rates(now))
    }

    /// Rates of accounts to report as a hub: of its data hall, and for routers of that one also of the others.
    pub fn hall_rates(&self, now: Instant, hall: &DataHall) -> HallRates {
        let own: AccountRates = self.others.of_own_hall(&self.surges.own_rates(now));
        let own = RateReport::Hall(hall.clone(), own);
        let others = self.others.of_other_halls();
        let others = others.map(|(hall, rates)| RateReport::Hall(hall.clone(), rates.clone()));
        HallRates {
            near: std::iter::once(own.clone()).chain(others).collect(),
            far: vec![own],
        }
    }

    /// Another router reported rates of accounts.
    pub fn on_rates(&mut self, now: Instant, vm: &VmId, hall: &DataHall, reports: Vec<RateReport>) {
        for report in reports {
            self.others.on_report(now, vm.clone(), hall, report);
        }
    }

    /// Takes in what all routers reported of accounts.
    pub fn on_tick(&mut self, now: Instant) {
        self.others.on_tick(now);
        let sum = self.others.of_fleet(&self.surges.own_rates(now));
        self.surges.on_fleet(now, &sum);
    }

    /// How many calls a target of the service may have in progress, where `goal` is the shortest
    /// time in which any kind of call at the service should be answered.
    pub fn limit(&self, service: &ServiceName, goal: Duration) -> CallLimit {
        let mean = self.pools.get(service).and_then(|p| p.occupancy.mean());
        CallLimit::new(goal, mean)
    }

    /// An account sent a call; returns whether it sends many times its usual, while others do not.
    pub fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> Surge {
        self.surges.on_call(now, account)
    }

    /// Whether a call may look for room: in a shortage an account that surges gets what it may usually have
    /// and some times more, as slots that are left to others are taken before counts of them arrive. `draw`
    /// from 0 to 1 decides between its calls. With 30 times the usual of one account in ten before 295 routers
    /// 0.15 of the others' calls were in time, and more than half of them with it (`tests/load/stale_counts.rs`).
    pub fn lets_in(&self, now: Instant, service: &ServiceName, surge: Surge, draw: f64) -> bool {
        let is_short = self.room(now, service).short_for.is_some();
        match surge {
            Surge::LetIn(part) if is_short => draw < part,
            _ => true,
        }
    }

    /// A call that did not queue at its target held a slot there for so long.
    pub fn on_held(&mut self, service: &ServiceName, held: Duration) {
        self.pool(service).occupancy.on_held(held);
    }

    /// Calls held a slot for so long before this router's life. One that starts while all targets are flooded
    /// learns nothing for seconds, as only calls that did not queue tell, and takes targets for full that are
    /// not.
    pub fn on_recalled(&mut self, service: &ServiceName, held: Duration) {
        self.pool(service).occupancy.on_recalled(held);
    }

    /// A call found no target with room.
    pub fn on_refused(&mut self, now: Instant, service: &ServiceName) {
        self.pool(service).shortage.on_refused(now);
    }

    /// What is believed of a service's room.
    pub fn room(&self, now: Instant, service: &ServiceName) -> Room {
        let pool = self.pools.get(service);
        Room {
            held: pool.and_then(|p| p.occupancy.mean()),
            short_for: pool.and_then(|p| p.shortage.age(now)),
        }
    }

    /// How long calls hold a slot, by service, as far as that is learned.
    pub fn learned(&self) -> impl Iterator<Item = (&ServiceName, Duration)> {
        let learned = |(service, pool): (_, &Pool)| Some((service, pool.occupancy.mean()?));
        self.pools.iter().filter_map(learned)
    }

    /// When a refused caller should come back that waits for `left` in all; `draw` from 0 to 1 spreads
    /// callers that were refused together.
    pub fn come_back(
        &self,
        now: Instant,
        service: &ServiceName,
        left: Duration,
        draw: f64,
    ) -> Duration {
        let room = self.room(now, service);
        let lasts = room.short_for.map_or(Duration::ZERO, shortage::expected_at);
        shortage::come_back(lasts.max(room.held.unwrap_or_default()), left, draw)
    }

    /// When a caller should come back that found a router without a configuration, which started `age`
    /// ago.
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

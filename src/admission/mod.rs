//! How many calls each target may have in progress, and when a caller that finds no room should come
//! back.
//!
//! Synchronous decisions: time and events come as arguments, the input and output around them are in
//! [`crate::edge`]. What a target can take is learned from calls that it answered, never configured.

mod limit;
mod occupancy;
mod shortage;
mod start;
mod surge;
pub mod warm_up;

use std::{collections::HashMap, time::Duration};

pub use limit::{CallLimit, CallTraits};
use occupancy::Occupancy;
use shortage::Shortage;
pub use start::wait_for_config;
use surge::Surges;

use crate::{
    ids::{ClientAccountId, ServiceName},
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

/// What was learned of all services.
#[derive(Debug, Default)]
pub struct Admission {
    pools: HashMap<ServiceName, Pool>,
    surges: Surges,
}

impl Admission {
    /// How many calls a target of the service may have in progress, where `goal` is the shortest
    /// time in which any kind of call at the service should be answered.
    pub fn limit(&self, service: &ServiceName, goal: Duration) -> CallLimit {
        let mean = self.pools.get(service).and_then(|p| p.occupancy.mean());
        CallLimit::new(goal, mean)
    }

    /// An account sent a call; returns whether it sends many times its usual, while others do not.
    pub fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> bool {
        self.surges.on_call(now, account)
    }

    /// A call that did not queue at its target held a slot there for so long.
    pub fn on_held(&mut self, service: &ServiceName, held: Duration) {
        self.pool(service).occupancy.on_held(held);
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

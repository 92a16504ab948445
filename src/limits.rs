//! Rates and concurrency of client accounts, over the whole fleet.
//!
//! The router that keeps an account grants shares of its limits for a few seconds, by the
//! demand that the others tell. Nine tenths are granted; the last tenth is split evenly as a
//! floor that every router may use without a grant, so that a router that is cut off, or has
//! just started, still serves and the total stays under the limit.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::VmId, units::Instant};

/// How often demand is told and shares are granted.
pub const SHARE_EVERY: Duration = Duration::from_secs(1);

/// How long a grant holds.
pub const GRANT_VALID: Duration = Duration::from_secs(3);

/// The part of a limit that is split evenly without grants.
const FLOOR_PART: f64 = 0.1;

/// How much of a second's rate may be used at once.
const BURST_SECONDS: f64 = 1.0;

/// What a router needs of an account's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests that came in a second, in thousandths.
    pub rate_milli: u64,
    /// Requests in progress, and refused for concurrency in the last second.
    pub in_flight: u32,
    /// The rate that an earlier grant still allows.
    pub held_rate_milli: u64,
    /// The concurrency that an earlier grant still allows.
    pub held_concurrency: u32,
}

impl Demand {
    /// A grant of just what is held.
    fn held(&self) -> Grant {
        Grant {
            rate_milli: self.held_rate_milli,
            concurrency: self.held_concurrency,
            valid: GRANT_VALID,
        }
    }
}

/// What a router may use of an account's limits, beyond its floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Requests a second, in thousandths.
    pub rate_milli: u64,
    /// Requests in progress.
    pub concurrency: u32,
    /// How long it holds.
    pub valid: Duration,
}

/// An account's limits over the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimits {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests in progress.
    pub concurrency: u32,
}

/// The limiter of one account at one router.
#[derive(Debug, Clone)]
pub struct Limiter {
    grant: Option<(Instant, Grant)>,
    level: f64,
    filled: Instant,
    in_flight: u32,
    arrived: u32,
    turned_away: u32,
    told: Instant,
}

impl Limiter {
    /// A limiter without a grant.
    pub fn new(now: Instant) -> Self {
        Self {
            grant: None,
            level: f64::MAX,
            filled: now,
            in_flight: 0,
            arrived: 0,
            turned_away: 0,
            told: now,
        }
    }

    /// Takes a request in, or says how long to wait before asking again.
    pub fn admit(
        &mut self,
        now: Instant,
        limits: AccountLimits,
        routers: usize,
    ) -> Result<(), Duration> {
        self.arrived += 1;
        let (rate, concurrency) = self.share(now, limits, routers);
        self.fill(now, rate);
        match () {
            () if self.in_flight >= concurrency => {
                self.turned_away += 1;
                Err(SHARE_EVERY)
            }
            () if self.level < 1.0 => {
                let wait = (1.0 - self.level) / rate.max(0.001);
                Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
            }
            () => {
                self.level -= 1.0;
                self.in_flight += 1;
                Ok(())
            }
        }
    }

    /// A request ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests in progress here.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes a grant.
    pub fn on_grant(&mut self, now: Instant, grant: Grant) {
        self.grant = Some((now, grant));
    }

    /// What to tell the account's keeper; `None` while there is nothing to tell.
    pub fn take_demand(&mut self, now: Instant) -> Option<Demand> {
        let seconds = now.since(self.told).as_secs_f64().max(0.001);
        let held = self.live_grant(now).unwrap_or_default();
        let demand = Demand {
            rate_milli: (f64::from(self.arrived) * 1000.0 / seconds) as u64,
            in_flight: self.in_flight + self.turned_away,
            held_rate_milli: held.rate_milli,
            held_concurrency: held.concurrency,
        };
        self.told = now;
        self.arrived = 0;
        self.turned_away = 0;
        (demand != Demand::default()).then_some(demand)
    }

    fn share(&self, now: Instant, limits: AccountLimits, routers: usize) -> (f64, u32) {
        let floor = floor(limits, routers);
        match self.live_grant(now) {
            Some(g) => (
                floor.0 + g.rate_milli as f64 / 1000.0,
                floor.1.saturating_add(g.concurrency),
            ),
            None => floor,
        }
    }

    fn live_grant(&self, now: Instant) -> Option<Grant> {
        let (at, grant) = self.grant?;
        (now.since(at) < grant.valid).then_some(grant)
    }

    fn fill(&mut self, now: Instant, rate: f64) {
        let gained = now.since(self.filled).as_secs_f64() * rate;
        // A share below one a second still lets one through in its time.
        let most = (rate * BURST_SECONDS).max(1.0);
        self.level = (self.level + gained).min(most);
        self.filled = now;
    }
}

/// The shares of one account, at the router that keeps it.
///
/// What is granted never exceeds what is not still held by others. A router that has just
/// become the keeper knows nothing of grants before its time; until those have lapsed it
/// renews to each router just what that one holds.
#[derive(Debug, Clone)]
pub struct ShareKeeper {
    since: Instant,
    demands: HashMap<VmId, (Instant, Demand)>,
    granted: HashMap<VmId, (Instant, Grant)>,
}

impl ShareKeeper {
    /// A keeper that knows of no grants, from `now` on.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            demands: HashMap::new(),
            granted: HashMap::new(),
        }
    }

    /// Whether nobody has asked for so long that all grants have lapsed.
    pub fn is_idle(&self, now: Instant) -> bool {
        let lapsed = |at: &Instant| now.since(*at) >= GRANT_VALID;
        self.demands.values().all(|(at, _)| lapsed(at)) && lapsed(&self.since)
    }

    /// Takes a router's demand and answers with its share.
    pub fn on_demand(
        &mut self,
        now: Instant,
        from: VmId,
        demand: Demand,
        limits: AccountLimits,
    ) -> Grant {
        let fresh = |at: Instant| now.since(at) < GRANT_VALID;
        self.demands.retain(|_, (at, _)| fresh(*at));
        self.granted.retain(|_, (at, _)| fresh(*at));
        self.demands.insert(from.clone(), (now, demand));
        let grant = match fresh(self.since) {
            true => demand.held(),
            false => self.fair_grant(&from, limits),
        };
        self.granted.insert(from, (now, grant));
        grant
    }

    fn fair_grant(&self, from: &VmId, limits: AccountLimits) -> Grant {
        let rates = self.demands.iter().map(|(vm, (_, d))| (vm, d.rate_milli));
        let flights = self
            .demands
            .iter()
            .map(|(vm, (_, d))| (vm, u64::from(d.in_flight)));
        let others = self.granted.iter().filter(|(vm, _)| *vm != from);
        let held = others.fold((0, 0), |(rate, concurrency), (_, (_, g))| {
            (rate + g.rate_milli, concurrency + u64::from(g.concurrency))
        });
        let part = 1.0 - FLOOR_PART;
        let rate = (f64::from(limits.requests_per_s) * 1000.0 * part) as u64;
        let concurrency = (f64::from(limits.concurrency) * part) as u64;
        let rate_milli = fair_share(rate, rates, from).min(rate.saturating_sub(held.0));
        let flights = fair_share(concurrency, flights, from);
        Grant {
            rate_milli,
            concurrency: flights.min(concurrency.saturating_sub(held.1)) as u32,
            valid: GRANT_VALID,
        }
    }
}

/// What every router may use without a grant.
fn floor(limits: AccountLimits, routers: usize) -> (f64, u32) {
    let n = routers.max(1) as f64;
    let rate = f64::from(limits.requests_per_s) * FLOOR_PART / n;
    let concurrency = f64::from(limits.concurrency) * FLOOR_PART / n;
    (rate, concurrency.floor() as u32)
}

/// Max-min fair: no one gets more than asked until all have; what is left is split evenly.
fn fair_share<'a>(total: u64, demands: impl Iterator<Item = (&'a VmId, u64)>, whose: &VmId) -> u64 {
    let mut sorted: Vec<_> = demands.collect();
    sorted.sort_by_key(|(vm, d)| (*d, (*vm).clone()));
    let mut left = total;
    let mut share = 0;
    for (i, (vm, demand)) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - i) as u64;
        let got = even.min(*demand);
        left -= got;
        if *vm == whose {
            share = got;
        }
    }
    // What nobody asked for is split evenly, so that a rise finds room at once.
    share + left / sorted.len().max(1) as u64
}

//! Limits on the request rate and concurrency of client accounts across the fleet.
//!
//! The router that owns an account grants shares of the account's limits for a few seconds, based
//! on the demand that the other routers report. Nine tenths of a limit are granted. The last tenth
//! is divided evenly among all routers as a floor that needs no grant: a router that is
//! disconnected or has just started still serves, and the total stays below the limit.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::VmId, units::Instant};

/// Interval at which routers report demand and receive shares.
pub const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a grant is valid.
pub const GRANT_TTL: Duration = Duration::from_secs(3);

/// Fraction of a limit that is divided evenly among routers without grants.
const FLOOR_FRACTION: f64 = 0.1;

/// Maximum burst, in seconds of the granted rate.
const MAX_BURST_SECONDS: f64 = 1.0;

/// A router's demand for an account's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Arrival rate, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Requests in progress plus requests rejected for concurrency since the last report.
    pub in_flight: u32,
    /// Rate that an earlier grant still allows, in thousandths of a request per second.
    pub granted_rate_milli: u64,
    /// Number of requests in progress that an earlier grant still allows.
    pub granted_concurrency: u32,
}

impl Demand {
    /// Returns a grant that renews exactly what the router still holds.
    fn renewal(&self) -> Grant {
        Grant {
            rate_milli: self.granted_rate_milli,
            concurrency: self.granted_concurrency,
            valid: GRANT_TTL,
        }
    }
}

/// Share of an account's limits that a router may use beyond its floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request rate, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Maximum number of requests in progress.
    pub concurrency: u32,
    /// Time for which the grant is valid after its receipt.
    pub valid: Duration,
}

/// Limits of an account across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimits {
    /// Maximum number of requests per second.
    pub requests_per_s: u32,
    /// Maximum number of requests in progress.
    pub concurrency: u32,
}

/// Enforces one account's limits at one router by a token bucket and a count of requests in
/// progress.
#[derive(Debug, Clone)]
pub struct Limiter {
    /// Last grant, with the time of its receipt.
    grant: Option<(Instant, Grant)>,
    /// Tokens in the bucket; each admitted request takes one.
    tokens: f64,
    /// Time of the last refill.
    refilled: Instant,
    in_flight: u32,
    /// Requests that arrived since the last report.
    arrivals: u32,
    /// Requests rejected for concurrency since the last report.
    rejected: u32,
    /// Time of the last report.
    reported: Instant,
}

impl Limiter {
    /// Creates a limiter without a grant.
    pub fn new(now: Instant) -> Self {
        Self {
            grant: None,
            tokens: f64::MAX,
            refilled: now,
            in_flight: 0,
            arrivals: 0,
            rejected: 0,
            reported: now,
        }
    }

    /// Admits a request, or returns the delay after which the caller should retry.
    pub fn admit(
        &mut self,
        now: Instant,
        limits: AccountLimits,
        routers: usize,
    ) -> Result<(), Duration> {
        self.arrivals += 1;
        let (rate, concurrency) = self.share(now, limits, routers);
        self.refill(now, rate);
        match () {
            () if self.in_flight >= concurrency => {
                self.rejected += 1;
                Err(SHARE_INTERVAL)
            }
            () if self.tokens < 1.0 => {
                let wait = (1.0 - self.tokens) / rate.max(0.001);
                Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
            }
            () => {
                self.tokens -= 1.0;
                self.in_flight += 1;
                Ok(())
            }
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in progress at this router.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Stores a grant of the account's owner.
    pub fn on_grant(&mut self, now: Instant, grant: Grant) {
        self.grant = Some((now, grant));
    }

    /// Returns the demand to report to the account's owner, and begins the next reporting interval;
    /// `None` if there is nothing to report.
    pub fn take_demand(&mut self, now: Instant) -> Option<Demand> {
        let seconds = now.since(self.reported).as_secs_f64().max(0.001);
        let granted = self.live_grant(now).unwrap_or_default();
        let demand = Demand {
            rate_milli: (f64::from(self.arrivals) * 1000.0 / seconds) as u64,
            in_flight: self.in_flight + self.rejected,
            granted_rate_milli: granted.rate_milli,
            granted_concurrency: granted.concurrency,
        };
        self.reported = now;
        self.arrivals = 0;
        self.rejected = 0;
        (demand != Demand::default()).then_some(demand)
    }

    /// Returns the rate and the concurrency that this router may use now.
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

    fn refill(&mut self, now: Instant, rate: f64) {
        let gained = now.since(self.refilled).as_secs_f64() * rate;
        // A rate below one request per second still admits one request once enough time has passed.
        let capacity = (rate * MAX_BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled = now;
    }
}

/// Allocates the shares of one account at the router that owns it.
///
/// A grant never exceeds what is not currently granted to other routers. A router that has just
/// become the owner does not know earlier grants; until these have expired, it renews to each
/// router exactly what that router reports to hold.
#[derive(Debug, Clone)]
pub struct ShareAllocator {
    since: Instant,
    demands: HashMap<VmId, (Instant, Demand)>,
    granted: HashMap<VmId, (Instant, Grant)>,
}

impl ShareAllocator {
    /// Creates the state of a router that owns the account from `now` on and knows of no grants.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            demands: HashMap::new(),
            granted: HashMap::new(),
        }
    }

    /// Returns whether no router has reported demand for so long that all grants have expired.
    pub fn is_idle(&self, now: Instant) -> bool {
        let lapsed = |at: &Instant| now.since(*at) >= GRANT_TTL;
        self.demands.values().all(|(at, _)| lapsed(at)) && lapsed(&self.since)
    }

    /// Stores a router's demand and returns the share granted to it.
    pub fn on_demand(
        &mut self,
        now: Instant,
        from: VmId,
        demand: Demand,
        limits: AccountLimits,
    ) -> Grant {
        let fresh = |at: Instant| now.since(at) < GRANT_TTL;
        self.demands.retain(|_, (at, _)| fresh(*at));
        self.granted.retain(|_, (at, _)| fresh(*at));
        self.demands.insert(from.clone(), (now, demand));
        let grant = match fresh(self.since) {
            true => demand.renewal(),
            false => self.fair_grant(&from, limits),
        };
        self.granted.insert(from, (now, grant));
        grant
    }

    /// Computes a router's max-min fair share of the limits, capped by what is not granted to other
    /// routers.
    fn fair_grant(&self, from: &VmId, limits: AccountLimits) -> Grant {
        let rates = self.demands.iter().map(|(vm, (_, d))| (vm, d.rate_milli));
        let in_flight = self
            .demands
            .iter()
            .map(|(vm, (_, d))| (vm, u64::from(d.in_flight)));
        let others = self.granted.iter().filter(|(vm, _)| *vm != from);
        let granted = others.fold((0_u64, 0_u64), |(rate, concurrency), (_, (_, g))| {
            (
                rate.saturating_add(g.rate_milli),
                concurrency.saturating_add(u64::from(g.concurrency)),
            )
        });
        let fraction = 1.0 - FLOOR_FRACTION;
        let rate = (f64::from(limits.requests_per_s) * 1000.0 * fraction) as u64;
        let concurrency = (f64::from(limits.concurrency) * fraction) as u64;
        let rate_milli = fair_share(rate, rates, from).min(rate.saturating_sub(granted.0));
        let in_flight = fair_share(concurrency, in_flight, from);
        Grant {
            rate_milli,
            concurrency: in_flight.min(concurrency.saturating_sub(granted.1)) as u32,
            valid: GRANT_TTL,
        }
    }
}

/// Returns the rate and the concurrency that every router may use without a grant.
fn floor(limits: AccountLimits, routers: usize) -> (f64, u32) {
    let n = routers.max(1) as f64;
    let rate = f64::from(limits.requests_per_s) * FLOOR_FRACTION / n;
    let concurrency = f64::from(limits.concurrency) * FLOOR_FRACTION / n;
    (rate, concurrency.floor() as u32)
}

/// Computes the max-min fair share of one router: no router gets more than it demands until all
/// demands are met, and the remainder is divided evenly.
fn fair_share<'a>(
    total: u64,
    demands: impl Iterator<Item = (&'a VmId, u64)>,
    router: &VmId,
) -> u64 {
    let mut sorted: Vec<_> = demands.collect();
    sorted.sort_by_key(|(vm, d)| (*d, (*vm).clone()));
    let mut left = total;
    let mut share = 0;
    for (i, (vm, demand)) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - i) as u64;
        let allotted = even.min(*demand);
        left -= allotted;
        if *vm == router {
            share = allotted;
        }
    }
    // The remainder is divided evenly, so that an increase in demand can be served at once.
    share + left / sorted.len().max(1) as u64
}

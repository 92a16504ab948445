//! Detects client accounts that send many times their usual rate.
//!
//! Guards against one account that floods a service, whereupon calls of all other accounts would be
//! refused as often as its own. When all accounts send more than usual, none of them surges.

use std::{collections::HashMap, time::Duration};

use super::account_rates::{AccountHash, AccountRates, RateSum};
use crate::{ids::ClientAccountId, units::Instant};

/// Time constant of the current rate: long enough for several calls of a small account at one
/// router.
const CURRENT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time constant of the usual rate.
const USUAL_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Minimum time in which the usual rate may double. A surge in the workloads that this fleet is
/// designed for (3 to 7 s) hardly changes the usual rate before it ends; permanent growth of an
/// account counts as usual after half a minute.
const USUAL_DOUBLING_TIME: Duration = Duration::from_secs(10);

/// Minimum time for which an account is observed before its rate counts as usual.
const MIN_OBSERVATION: Duration = Duration::from_secs(5);

/// Factor by which an account's growth over its usual rate must exceed that of all other accounts
/// together for it to surge.
const SURGE_FACTOR: f64 = 3.0;

/// Minimum fraction of an account's calls that is admitted, so that no account is served less than
/// a quarter as often as all accounts.
///
/// With 0.25 instead of 0.1, a surge of 30 times the usual rate leaves 0.39 of the other accounts'
/// calls answered in time, with 0.1 it leaves 0.47 (`tests/load/stale_counts.rs`, 295 routers,
/// before calls of surging accounts stayed below the limit).
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// Minimum number of calls within [`CURRENT_TIME_CONSTANT`] for an account to surge; fewer calls
/// may be chance.
const MIN_SURGE_CALLS: f64 = 8.0;

/// Rate, in calls per second, below which an account's usual rate is negligible.
const NEGLIGIBLE_RATE: f64 = 0.01;

/// Maximum number of accounts tracked; the account that has been idle longest is evicted.
const MAX_ACCOUNTS: usize = 4_096;

/// Current and usual rate, in calls per second.
#[derive(Debug, Clone, Copy)]
struct RateEstimate {
    /// Time of the first observation.
    since: Instant,
    /// Time of the last update.
    at: Instant,
    /// Number of calls since the first observation.
    calls: f64,
    /// Current rate, decaying with [`CURRENT_TIME_CONSTANT`].
    current: f64,
    /// Usual rate: the mean until [`MIN_OBSERVATION`] has passed, then a moving average.
    usual: f64,
}

impl RateEstimate {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            at: now,
            calls: 0.0,
            current: 0.0,
            usual: 0.0,
        }
    }

    fn has_usual_rate(&self, now: Instant) -> bool {
        now.since(self.since) >= MIN_OBSERVATION
    }

    fn on_call(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.calls += 1.0;
        let time_constant_s = CURRENT_TIME_CONSTANT.as_secs_f64();
        self.current = self.current * (-passed / time_constant_s).exp() + 1.0 / time_constant_s;
        self.usual = match self.has_usual_rate(now) {
            true => self.usual_after(passed),
            // The mean so far.
            false => {
                self.calls
                    / now
                        .since(self.since)
                        .max(CURRENT_TIME_CONSTANT)
                        .as_secs_f64()
            }
        };
    }

    /// Updates the estimate with a reported rate.
    fn on_report(&mut self, now: Instant, current: f64) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.calls += current * passed;
        self.current = current;
        self.usual = match self.has_usual_rate(now) {
            true => self.usual_after(passed),
            // The mean so far.
            false => {
                self.calls
                    / now
                        .since(self.since)
                        .max(CURRENT_TIME_CONSTANT)
                        .as_secs_f64()
            }
        };
    }

    /// Returns the current rate at `now`, decayed since the last update.
    fn current_at(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.current * (-passed / CURRENT_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the usual rate after `passed` seconds. Its growth is limited by
    /// [`USUAL_DOUBLING_TIME`].
    fn usual_after(&self, passed: f64) -> f64 {
        let weight = 1.0 - (-passed / USUAL_TIME_CONSTANT.as_secs_f64()).exp();
        let max = self.usual * (passed / USUAL_DOUBLING_TIME.as_secs_f64()).exp2();
        (self.usual + (self.current - self.usual) * weight).min(max)
    }
}

/// Whether an account sends many times its usual rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Surge {
    /// The account does not, or all other accounts do too.
    #[default]
    None,
    /// The account does; in a shortage this fraction of its calls is admitted.
    AdmitFraction(f64),
}

impl Surge {
    /// Returns whether the account surges.
    pub fn is_surging(self) -> bool {
        self != Self::None
    }
}

/// Rates of all accounts at this router, and across the fleet as reported by other routers.
#[derive(Debug, Default)]
pub(super) struct SurgeDetector {
    all: Option<RateEstimate>,
    accounts: HashMap<ClientAccountId, RateEstimate>,
    fleet_all: Option<RateEstimate>,
    fleet: HashMap<AccountHash, RateEstimate>,
}

impl SurgeDetector {
    /// Counts a call of an account; returns whether the account surges.
    pub(super) fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> Surge {
        let all = self.all.get_or_insert_with(|| RateEstimate::new(now));
        all.on_call(now);
        let all = *all;
        if !self.accounts.contains_key(account) {
            self.evict_if_full();
            self.accounts
                .insert(account.clone(), RateEstimate::new(now));
        }
        let Some(own) = self.accounts.get_mut(account) else {
            return Surge::None;
        };
        own.on_call(now);
        match surge(now, own, &all) {
            Surge::None => self.fleet_surge(now, account),
            surge @ Surge::AdmitFraction(_) => surge,
        }
    }

    /// Returns the rates of the calls that this router received, to be reported to other routers.
    pub(super) fn own_rates(&self, now: Instant) -> AccountRates {
        let rate = |(account, rates): (&ClientAccountId, &RateEstimate)| {
            (AccountHash::from(account), rates.current_at(now))
        };
        AccountRates::new(&self.accounts.iter().map(rate).collect())
    }

    /// Updates the rates across the fleet with the sum of the current reports.
    pub(super) fn on_fleet_rates(&mut self, now: Instant, sum: &RateSum) {
        let all = self.fleet_all.get_or_insert_with(|| RateEstimate::new(now));
        all.on_report(now, sum.all);
        for account in sum.accounts.keys() {
            self.fleet
                .entry(*account)
                .or_insert_with(|| RateEstimate::new(now));
        }
        for (account, rates) in &mut self.fleet {
            let current = sum.accounts.get(account).copied();
            rates.on_report(now, current.unwrap_or_default());
        }
        let is_silent = |r: &RateEstimate| r.current <= 0.0 && r.usual < NEGLIGIBLE_RATE;
        self.fleet
            .retain(|_, r| !r.has_usual_rate(now) || !is_silent(r));
    }

    /// Returns whether the account surges by its rate across the fleet.
    fn fleet_surge(&self, now: Instant, account: &ClientAccountId) -> Surge {
        let own = self.fleet.get(&AccountHash::from(account));
        let both = own.zip(self.fleet_all.as_ref());
        both.map_or(Surge::None, |(own, all)| surge(now, own, all))
    }

    /// Evicts the account that has been idle longest if the maximum number of accounts is reached.
    fn evict_if_full(&mut self) {
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let oldest = self.accounts.iter().min_by_key(|(_, rates)| rates.at);
        let oldest = oldest.map(|(account, _)| account.clone());
        oldest.map(|account| self.accounts.remove(&account));
    }
}

/// Compares an account's growth over its usual rate with that of all other accounts together.
fn surge(now: Instant, account: &RateEstimate, all: &RateEstimate) -> Surge {
    if !account.has_usual_rate(now)
        || account.current * CURRENT_TIME_CONSTANT.as_secs_f64() < MIN_SURGE_CALLS
    {
        return Surge::None;
    }
    let others_current = all.current - account.current;
    let others_usual = all.usual - account.usual;
    // If no other account has a usual rate, the account is compared with its own usual rate alone.
    let others_growth = match others_usual > 0.0 {
        true => (others_current / others_usual).max(1.0),
        false => 1.0,
    };
    let threshold = account.usual * others_growth * SURGE_FACTOR;
    match account.current > threshold {
        true => Surge::AdmitFraction((threshold / account.current).max(MIN_ADMITTED_FRACTION)),
        false => Surge::None,
    }
}

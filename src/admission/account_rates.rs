//! Call rates of client accounts across all routers, in calls per second, as routers report them to
//! one another.
//!
//! Guards against one account that floods a service through hundreds of routers: each router sees
//! four or five of its calls per second and cannot distinguish them from chance. Each router
//! therefore reports the rates that it sees to the hubs, a hub reports the sum of its data hall,
//! and every router knows the rate of each account across the fleet.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{ClientAccountId, DataHall, VmId},
    units::Instant,
};

/// Interval between rate reports: a quarter of the time constant of a rate, because reports pass
/// through two hubs.
pub const RATE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the last report of a router or a data hall expires; covers two lost reports and
/// some delay.
const RATE_REPORT_TTL: Duration = Duration::from_millis(3_500);

/// Maximum number of accounts in one report. The accounts with the highest rates are reported, so
/// that an account that surges is among them.
const MAX_REPORTED_ACCOUNTS: usize = 32;

/// Units of a reported rate per call per second; rates below a tenth of a call per second are
/// negligible.
const RATE_UNITS_PER_CALL: f64 = 10.0;

/// Short hash of an account's name.
///
/// Among some hundred accounts, two have the same hash in fewer than one in ten thousand fleets;
/// they are then counted as one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountHash(u32);

impl From<&ClientAccountId> for AccountHash {
    fn from(id: &ClientAccountId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Rates of accounts, in tenths of a call per second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRates {
    /// Total rate of all accounts.
    all: u32,
    /// Rates of the accounts that send the most, highest first.
    most: Vec<(AccountHash, u32)>,
}

impl AccountRates {
    /// Creates the report from the calls per second of each account.
    pub fn new(rates: &HashMap<AccountHash, f64>) -> Self {
        let tenths = |rate: f64| (rate * RATE_UNITS_PER_CALL).round() as u32;
        let steps = rates
            .iter()
            .map(|(account, rate)| (*account, tenths(*rate)));
        let mut most: Vec<_> = steps.filter(|(_, rate)| *rate > 0).collect();
        most.sort_unstable_by_key(|(account, rate)| (std::cmp::Reverse(*rate), *account));
        most.truncate(MAX_REPORTED_ACCOUNTS);
        Self {
            all: tenths(rates.values().sum()),
            most,
        }
    }

    /// Returns the total rate of all accounts, in calls per second.
    pub fn all(&self) -> f64 {
        f64::from(self.all) / RATE_UNITS_PER_CALL
    }

    /// Iterates over the reported accounts and their rates in calls per second.
    pub fn iter(&self) -> impl Iterator<Item = (AccountHash, f64)> {
        let rate = |(account, tenths): &(AccountHash, u32)| {
            (*account, f64::from(*tenths) / RATE_UNITS_PER_CALL)
        };
        self.most.iter().map(rate)
    }
}

/// Rates of accounts as they are sent to other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateReport {
    /// Rates of the calls that the sender received.
    Router(AccountRates),
    /// Rates of the calls that all routers of a data hall received.
    Hall(DataHall, AccountRates),
}

/// Rates of accounts as reported by other routers.
#[derive(Debug)]
pub(super) struct PeerRates {
    hall: DataHall,
    routers: BTreeMap<VmId, (Instant, DataHall, AccountRates)>,
    halls: BTreeMap<DataHall, (Instant, AccountRates)>,
}

/// Sum of several reports, in calls per second.
#[derive(Debug, Default)]
pub(super) struct RateSum {
    pub(super) all: f64,
    pub(super) accounts: HashMap<AccountHash, f64>,
}

impl RateSum {
    fn add(&mut self, rates: &AccountRates) {
        self.all += rates.all();
        for (account, rate) in rates.iter() {
            *self.accounts.entry(account).or_default() += rate;
        }
    }
}

impl PeerRates {
    pub(super) fn new(hall: DataHall) -> Self {
        Self {
            hall,
            routers: BTreeMap::new(),
            halls: BTreeMap::new(),
        }
    }

    /// Stores a report that a router sent.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        vm: VmId,
        hall: &DataHall,
        report: RateReport,
    ) {
        match report {
            RateReport::Router(rates) => {
                self.routers.insert(vm, (now, hall.clone(), rates));
            }
            RateReport::Hall(hall, rates) => {
                self.halls.insert(hall, (now, rates));
            }
        }
    }

    /// Drops the reports of routers and data halls that have expired.
    pub(super) fn on_tick(&mut self, now: Instant) {
        self.routers
            .retain(|_, (at, ..)| now.since(*at) < RATE_REPORT_TTL);
        self.halls
            .retain(|_, (at, _)| now.since(*at) < RATE_REPORT_TTL);
    }

    /// Returns the rates of the whole fleet, including this router's own rates.
    ///
    /// Uses the sum of a data hall where a hub has reported it, and the reports of single routers
    /// elsewhere.
    pub(super) fn fleet_rates(&self, own: &AccountRates) -> RateSum {
        let mut sum = RateSum::default();
        for (_, rates) in self.halls.values() {
            sum.add(rates);
        }
        let is_summed = |hall: &DataHall| self.halls.contains_key(hall);
        for (_, hall, rates) in self.routers.values() {
            if !is_summed(hall) {
                sum.add(rates);
            }
        }
        if !is_summed(&self.hall) {
            sum.add(own);
        }
        sum
    }

    /// Returns the rates of all routers of this data hall, which this router reports as a hub.
    pub(super) fn own_hall_rates(&self, own: &AccountRates) -> AccountRates {
        let mut sum = RateSum::default();
        sum.add(own);
        for (_, hall, rates) in self.routers.values() {
            if *hall == self.hall {
                sum.add(rates);
            }
        }
        AccountRates::new(&sum.accounts)
    }

    /// Iterates over the rates reported for the other data halls.
    pub(super) fn other_hall_rates(&self) -> impl Iterator<Item = (&DataHall, &AccountRates)> {
        let others = self.halls.iter().filter(|(hall, _)| **hall != self.hall);
        others.map(|(hall, (_, rates))| (hall, rates))
    }
}

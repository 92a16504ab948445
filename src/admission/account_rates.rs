//! What client accounts send over all routers, in calls a second, as routers report it to one another.
//!
//! The load pattern that this answers: one account floods a service through hundreds of routers, each of
//! which sees four or five of its calls a second and can't tell them from chance. Each router reports
//! what it sees to the hubs, a hub reports the sum of its data hall, and all know what each account sends.

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

/// How often rates are reported: a quarter of the time over which a rate is taken, as they go through two hubs.
pub const REPORT_RATES_EVERY: Duration = Duration::from_millis(500);

/// How long a router or a data hall counts after its last report: two that were lost and some delay.
const EXPIRES: Duration = Duration::from_millis(3_500);

/// The accounts that one router or hub reports, those that send most: one that surges is among them.
const ACCOUNTS_REPORTED: usize = 32;

/// Steps of a call a second in which rates are reported: a rate below a tenth is as good as none.
const UNITS_A_CALL: f64 = 10.0;

/// An account's name as a short hash: of some hundred accounts two share one less than once in ten thousand
/// fleets, and then count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountHash(u32);

impl From<&ClientAccountId> for AccountHash {
    fn from(id: &ClientAccountId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Rates of accounts, in tenths of calls a second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRates {
    /// Of all accounts together.
    all: u32,
    /// Of those that send most.
    most: Vec<(AccountHash, u32)>,
}

impl AccountRates {
    /// Of calls a second by account.
    pub fn new(rates: &HashMap<AccountHash, f64>) -> Self {
        let tenths = |rate: f64| (rate * UNITS_A_CALL).round() as u32;
        let steps = rates
            .iter()
            .map(|(account, rate)| (*account, tenths(*rate)));
        let mut most: Vec<_> = steps.filter(|(_, rate)| *rate > 0).collect();
        most.sort_unstable_by_key(|(account, rate)| (std::cmp::Reverse(*rate), *account));
        most.truncate(ACCOUNTS_REPORTED);
        Self {
            all: tenths(rates.values().sum()),
            most,
        }
    }

    /// Calls a second of all accounts together.
    pub fn all(&self) -> f64 {
        f64::from(self.all) / UNITS_A_CALL
    }

    /// Each account with its calls a second.
    pub fn iter(&self) -> impl Iterator<Item = (AccountHash, f64)> {
        let rate =
            |(account, tenths): &(AccountHash, u32)| (*account, f64::from(*tenths) / UNITS_A_CALL);
        self.most.iter().map(rate)
    }
}

/// A report of rates as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateReport {
    /// Of the calls that the sender took.
    Router(AccountRates),
    /// Of the calls that all routers of a data hall took.
    Hall(DataHall, AccountRates),
}

/// What other routers reported of accounts.
#[derive(Debug)]
pub(super) struct RatesOfOthers {
    hall: DataHall,
    routers: BTreeMap<VmId, (Instant, DataHall, AccountRates)>,
    halls: BTreeMap<DataHall, (Instant, AccountRates)>,
}

/// A sum of rates, in calls a second.
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

impl RatesOfOthers {
    pub(super) fn new(hall: DataHall) -> Self {
        Self {
            hall,
            routers: BTreeMap::new(),
            halls: BTreeMap::new(),
        }
    }

    /// A report came from a router.
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

    /// Forgets whoever is silent.
    pub(super) fn on_tick(&mut self, now: Instant) {
        self.routers.retain(|_, (at, ..)| now.since(*at) < EXPIRES);
        self.halls.retain(|_, (at, _)| now.since(*at) < EXPIRES);
    }

    /// What all routers took, with this router's own.
    pub(super) fn of_fleet(&self, own: &AccountRates) -> RateSum {
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

    /// What all routers of this data hall took, to be reported as a hub.
    pub(super) fn of_own_hall(&self, own: &AccountRates) -> AccountRates {
        let mut sum = RateSum::default();
        sum.add(own);
        for (_, hall, rates) in self.routers.values() {
            if *hall == self.hall {
                sum.add(rates);
            }
        }
        AccountRates::new(&sum.accounts)
    }

    /// What was reported of the other data halls.
    pub(super) fn of_other_halls(&self) -> impl Iterator<Item = (&DataHall, &AccountRates)> {
        let others = self.halls.iter().filter(|(hall, _)| **hall != self.hall);
        others.map(|(hall, (_, rates))| (hall, rates))
    }
}

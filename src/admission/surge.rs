//! Which client accounts send many times their usual.
//!
//! The load pattern that this answers: one account floods a service, and all others would be refused
//! as often as it is. Where everybody sends more than usual, nobody surges.

use std::{collections::HashMap, time::Duration};

use super::account_rates::{AccountHash, AccountRates, RateSum};
use crate::{ids::ClientAccountId, units::Instant};

/// The time constant of the present rate: long enough for some calls of a small account at one router.
const PRESENT: Duration = Duration::from_secs(2);

/// The time constant of the usual rate.
const USUAL: Duration = Duration::from_secs(30);

/// The time in which the usual rate may double at most: a surge of the users' sheets (3 to 7 s) hardly
/// counts as usual before it ends, and an account that has grown for good does after half a minute.
const USUAL_DOUBLES: Duration = Duration::from_secs(10);

/// How long an account has to be known before its rate counts as usual.
const KNOWN_FOR: Duration = Duration::from_secs(5);

/// How many times as much more than usual as all others together an account has to send.
const MANY_TIMES: f64 = 3.0;

/// The least part of an account's calls that is let in, so that none is served less than a quarter as often as
/// all. With 0.25 in place of 0.1 a surge of 30 times the usual leaves 0.39 of the others' calls in time, with
/// 0.1 0.47 (`tests/load/stale_counts.rs`, 295 routers, before calls of such accounts kept below the limit).
const LEAST_LET_IN: f64 = 0.1;

/// Calls within [`PRESENT`] below which no account surges: fewer may be chance.
const FEWEST: f64 = 8.0;

/// A rate in calls a second that is as good as none.
const NEXT_TO_NONE: f64 = 0.01;

/// The most accounts that are followed; the one unused longest gives way.
const ACCOUNTS_LIMIT: usize = 4_096;

/// A rate as it is and as it usually is, in calls a second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    since: Instant,
    at: Instant,
    calls: f64,
    present: f64,
    usual: f64,
}

impl Rates {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            at: now,
            calls: 0.0,
            present: 0.0,
            usual: 0.0,
        }
    }

    fn is_known(&self, now: Instant) -> bool {
        now.since(self.since) >= KNOWN_FOR
    }

    fn on_call(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.calls += 1.0;
        let present_s = PRESENT.as_secs_f64();
        self.present = self.present * (-passed / present_s).exp() + 1.0 / present_s;
        self.usual = match self.is_known(now) {
            true => self.usual_after(passed),
            // The mean so far.
            false => self.calls / now.since(self.since).max(PRESENT).as_secs_f64(),
        };
    }

    /// The rate is `present` now, as it was reported.
    fn on_report(&mut self, now: Instant, present: f64) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.calls += present * passed;
        self.present = present;
        self.usual = match self.is_known(now) {
            true => self.usual_after(passed),
            // The mean so far.
            false => self.calls / now.since(self.since).max(PRESENT).as_secs_f64(),
        };
    }

    /// The present rate where no call came since.
    fn present_at(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.present * (-passed / PRESENT.as_secs_f64()).exp()
    }

    fn usual_after(&self, passed: f64) -> f64 {
        let moved = 1.0 - (-passed / USUAL.as_secs_f64()).exp();
        let most = self.usual * (passed / USUAL_DOUBLES.as_secs_f64()).exp2();
        (self.usual + (self.present - self.usual) * moved).min(most)
    }
}

/// Whether an account sends many times its usual.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Surge {
    /// It does not, or all others do too.
    #[default]
    None,
    /// It does; where there is a shortage this part of its calls is let in.
    LetIn(f64),
}

impl Surge {
    /// Whether it does.
    pub fn is_on(self) -> bool {
        self != Self::None
    }
}

/// The rates of all accounts at one router, and over the fleet as far as others reported it.
#[derive(Debug, Default)]
pub(super) struct Surges {
    all: Option<Rates>,
    accounts: HashMap<ClientAccountId, Rates>,
    fleet_all: Option<Rates>,
    fleet: HashMap<AccountHash, Rates>,
}

impl Surges {
    /// An account sent a call; returns whether it surges.
    pub(super) fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> Surge {
        let all = self.all.get_or_insert_with(|| Rates::new(now));
        all.on_call(now);
        let all = *all;
        if !self.accounts.contains_key(account) {
            self.make_room();
            self.accounts.insert(account.clone(), Rates::new(now));
        }
        let Some(own) = self.accounts.get_mut(account) else {
            return Surge::None;
        };
        own.on_call(now);
        match surge(now, own, &all) {
            Surge::None => self.surge_over_fleet(now, account),
            surge @ Surge::LetIn(_) => surge,
        }
    }

    /// What this router took, to be reported to the others.
    pub(super) fn own_rates(&self, now: Instant) -> AccountRates {
        let rate = |(account, rates): (&ClientAccountId, &Rates)| {
            (AccountHash::from(account), rates.present_at(now))
        };
        AccountRates::new(&self.accounts.iter().map(rate).collect())
    }

    /// What all routers take now.
    pub(super) fn on_fleet(&mut self, now: Instant, sum: &RateSum) {
        let all = self.fleet_all.get_or_insert_with(|| Rates::new(now));
        all.on_report(now, sum.all);
        for account in sum.accounts.keys() {
            self.fleet
                .entry(*account)
                .or_insert_with(|| Rates::new(now));
        }
        for (account, rates) in &mut self.fleet {
            let present = sum.accounts.get(account).copied();
            rates.on_report(now, present.unwrap_or_default());
        }
        let is_silent = |r: &Rates| r.present <= 0.0 && r.usual < NEXT_TO_NONE;
        self.fleet.retain(|_, r| !r.is_known(now) || !is_silent(r));
    }

    fn surge_over_fleet(&self, now: Instant, account: &ClientAccountId) -> Surge {
        let own = self.fleet.get(&AccountHash::from(account));
        let both = own.zip(self.fleet_all.as_ref());
        both.map_or(Surge::None, |(own, all)| surge(now, own, all))
    }

    fn make_room(&mut self) {
        if self.accounts.len() < ACCOUNTS_LIMIT {
            return;
        }
        let oldest = self.accounts.iter().min_by_key(|(_, rates)| rates.at);
        let oldest = oldest.map(|(account, _)| account.clone());
        oldest.map(|account| self.accounts.remove(&account));
    }
}

fn surge(now: Instant, own: &Rates, all: &Rates) -> Surge {
    if !own.is_known(now) || own.present * PRESENT.as_secs_f64() < FEWEST {
        return Surge::None;
    }
    let others_present = all.present - own.present;
    let others_usual = all.usual - own.usual;
    // Where nobody else is known to send anything, the account is compared with itself alone.
    let others_more = match others_usual > 0.0 {
        true => (others_present / others_usual).max(1.0),
        false => 1.0,
    };
    let most = own.usual * others_more * MANY_TIMES;
    match own.present > most {
        true => Surge::LetIn((most / own.present).max(LEAST_LET_IN)),
        false => Surge::None,
    }
}

//! Fraction of each claim's calls that is admitted to a pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::report::Claim;
use crate::{admission::account_rates::AccountHash, units::Rank};

/// Part of the capacity/demand ratio of the whole pool that every claim gets.
const FLOOR_FRACTION: f64 = 0.5;

/// Multiple of the capacity up to which all calls are admitted. Demand that was measured over half a second
/// is off by a tenth, and while it falls it is already lower; what is too much waits in the queues of
/// targets for the next sums.
const DEMAND_SLACK: f64 = 1.15;

/// Fractions of the calls that are admitted, by claim.
#[derive(Debug, Default)]
pub(super) struct Fractions {
    claims: HashMap<Claim, f64>,
    /// Fraction of a claim that no router has reported, by rank. Such claims ask for little, so they
    /// get what the smallest account of their rank gets.
    others: BTreeMap<Rank, f64>,
    /// Fraction of all calls of an account that surges.
    surging: BTreeMap<Option<AccountHash>, f64>,
    /// Fraction of calls of which not even the rank was reported.
    floor: f64,
}

/// Order of an account's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallOrder {
    /// Calls of callers that have returned come first.
    ReturningFirst,
    /// All calls are admitted in the same proportion.
    Alike,
}

/// Demand of one account within one rank, in calls per second.
#[derive(Debug, Default)]
struct AccountDemand {
    /// Calls of callers that have returned.
    returning: f64,
    /// Other calls.
    new: f64,
}

impl AccountDemand {
    fn total(&self) -> f64 {
        self.returning + self.new
    }
}

type Accounts = BTreeMap<Option<AccountHash>, AccountDemand>;

impl Fractions {
    /// Divides `capacity` calls per second among the claims. `order` tells which calls of an account come
    /// first.
    pub(super) fn new(demand: &HashMap<Claim, f64>, capacity: f64, order: CallOrder) -> Self {
        let total: f64 = demand.values().sum();
        if total <= capacity * DEMAND_SLACK {
            return Self {
                floor: 1.0,
                ..Self::default()
            };
        }
        let regular = demand.iter().filter(|(c, _)| !c.is_beyond_usual());
        let regular: f64 = regular.map(|(_, rate)| rate).sum();
        let floor = FLOOR_FRACTION * (capacity / regular.max(f64::EPSILON)).min(1.0);
        let mut left = capacity - floor * regular;
        let mut result = Self {
            floor,
            ..Self::default()
        };
        for (rank, accounts) in by_rank(demand) {
            let is_beyond_usual = Claim::with_rank(rank).is_beyond_usual();
            let floor = if is_beyond_usual { 0.0 } else { floor };
            let admitted = result.divide_rank(rank, &accounts, floor, left, order);
            left = (left - admitted).max(0.0);
        }
        result.merge_surging(demand);
        result
    }

    /// Gives all calls of an account that surges the same fraction, without a change of what the account
    /// gets.
    ///
    /// Which of its calls count as beyond its usual rate changes within a second as the surge is
    /// recognized, while demand is measured some tenths of a second earlier. With a fraction for each
    /// part, a quarter of the pool was unused for two seconds (`tests/load/pool_shares.rs`, 380 routers).
    fn merge_surging(&mut self, demand: &HashMap<Claim, f64>) {
        let surging = demand.keys().filter(|c| c.is_beyond_usual());
        let surging: BTreeSet<_> = surging.map(|c| c.account).collect();
        for account in surging {
            let claims = demand.iter().filter(|(c, _)| c.account == account);
            let (total, admitted) = claims.fold((0.0, 0.0), |(total, admitted), (claim, rate)| {
                (total + rate, admitted + rate * self.get(*claim))
            });
            let fraction = admitted / f64::max(total, f64::EPSILON);
            self.surging.insert(account, fraction);
        }
    }

    /// Divides among the accounts of one rank what is left beyond the floor; returns what they get of
    /// that.
    ///
    /// Fairness among accounts comes before callers that return: they come first within their account,
    /// so that the returning callers of an account that surges take nothing from others.
    fn divide_rank(
        &mut self,
        rank: Rank,
        accounts: &Accounts,
        floor: f64,
        left: f64,
        order: CallOrder,
    ) -> f64 {
        let rates: Vec<f64> = accounts.values().map(AccountDemand::total).collect();
        let level = fair_level(&rates, floor, left);
        let mut admitted = 0.0;
        for (account, demand) in accounts {
            let share = demand.total().min(level.max(demand.total() * floor));
            admitted += share - demand.total() * floor;
            let returning = match order {
                CallOrder::ReturningFirst => (share - demand.new * floor).min(demand.returning),
                CallOrder::Alike => share / demand.total() * demand.returning,
            };
            let claim = Claim {
                account: *account,
                ..Claim::with_rank(rank)
            };
            let returns = Claim {
                returning: true,
                ..claim
            };
            let fraction = |admitted: f64, rate: f64| (admitted / rate.max(f64::EPSILON)).min(1.0);
            (self.claims).insert(returns, fraction(returning, demand.returning));
            let new = share - returning;
            self.claims.insert(claim, fraction(new, demand.new));
        }
        let smallest = rates.iter().copied().fold(f64::INFINITY, f64::min);
        (self.others).insert(rank, (level / smallest).clamp(floor, 1.0));
        admitted
    }

    /// Returns the fraction of a claim's calls that is admitted.
    pub(super) fn get(&self, claim: Claim) -> f64 {
        let surging = self.surging.get(&claim.account);
        let known = surging.or_else(|| self.claims.get(&claim));
        let known = known.or_else(|| self.others.get(&claim.rank));
        known.copied().unwrap_or(self.floor)
    }
}

/// Groups claims by rank, most urgent first, and by account.
fn by_rank(demand: &HashMap<Claim, f64>) -> BTreeMap<Rank, Accounts> {
    let mut ranks = BTreeMap::<_, Accounts>::new();
    for (claim, rate) in demand.iter().filter(|(_, rate)| **rate > 0.0) {
        let accounts = ranks.entry(claim.rank).or_default();
        let demand = accounts.entry(claim.account).or_default();
        match claim.returning {
            true => demand.returning += rate,
            false => demand.new += rate,
        }
    }
    ranks
}

/// Returns the rate up to which each account is admitted, beyond `floor` of its calls, so that `left`
/// more calls per second are admitted than by the floor (max-min fairness).
fn fair_level(rates: &[f64], floor: f64, left: f64) -> f64 {
    let total: f64 = rates.iter().sum();
    if total * (1.0 - floor) <= left {
        return f64::INFINITY;
    }
    // An account is admitted up to its rate or up to the level, but at least by the floor. The admitted
    // sum grows with the level, so the level is found by bisection.
    let budget = total * floor + left;
    let admitted = |level: f64| {
        let admitted = rates.iter().map(|r| r.min(level.max(r * floor)));
        admitted.sum::<f64>()
    };
    let (mut low, mut high) = (0.0, rates.iter().copied().fold(0.0, f64::max));
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        match admitted(middle) < budget {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Halvings of the interval in which the level lies: to a millionth of the largest account's rate.
const BISECTIONS: u32 = 20;

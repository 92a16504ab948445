//! Shows operators which pools are contended: who asks for a pool, what is admitted, and when the
//! contention begins and ends.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::Serialize;

use crate::{
    admission::{
        account_rates::AccountHash,
        shares::{Claim, PoolStatus, ServiceHash},
    },
    ids::{ClientAccountId, ServiceName, TargetId},
    target_counts::TargetHash,
    units::{Instant, Rank},
};

/// Time without contention after which it counts as over. Shorter gaps, between two surges or two
/// sums, do not begin another one, so a pool has at most one log line per second.
const END_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of pools whose contention is logged at a time.
const MAX_LOGGED_POOLS: usize = 64;

/// Maximum number of claims shown of a pool.
const MAX_SHOWN_CLAIMS: usize = 32;

/// Names of the services, accounts and targets that reports name by their hashes.
#[derive(Debug, Default)]
pub struct HashedNames {
    services: HashMap<ServiceHash, String>,
    accounts: HashMap<AccountHash, String>,
    targets: HashMap<TargetHash, String>,
}

impl HashedNames {
    /// Adds the name of a service.
    pub fn add_service(&mut self, name: &ServiceName) {
        let entry = self.services.entry(name.into());
        entry.or_insert_with(|| name.to_string());
    }

    /// Adds the id of an account.
    pub fn add_account(&mut self, id: &ClientAccountId) {
        self.accounts.insert(id.into(), id.to_string());
    }

    /// Adds the id of a target.
    pub fn add_target(&mut self, id: &TargetId) {
        self.targets.insert(id.into(), id.to_string());
    }

    /// Returns the name of a service, or its hash if this router does not know it.
    pub fn service(&self, hash: ServiceHash) -> String {
        name_of(&self.services, hash)
    }
}

fn name_of<H: Copy + Eq + std::hash::Hash + Serialize>(
    names: &HashMap<H, String>,
    hash: H,
) -> String {
    let number = || serde_json::json!(hash).to_string();
    names.get(&hash).cloned().unwrap_or_else(number)
}

/// A contended pool, as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolView {
    /// Service that the pool's targets run.
    pub service: String,
    /// Calls per second that the pool is offered at most.
    pub capacity_per_s: f64,
    /// Calls per second that arrive.
    pub demand_per_s: f64,
    /// Fraction of these calls that is admitted.
    pub admitted: f64,
    /// Who asks for the pool, most urgent rank first; of many claims those with the most calls.
    pub claims: Vec<ClaimView>,
    /// Targets of the pool, in the order of their ids.
    pub targets: Vec<OfferedView>,
}

/// Calls of a pool that are admitted in the same proportion.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClaimView {
    /// Urgency of the calls.
    pub rank: Rank,
    /// Whether their callers were refused before and have returned.
    pub returning: bool,
    /// Account that sends them; `None` for calls without a key, and for the sum of the accounts
    /// with the fewest calls.
    pub account: Option<String>,
    /// Calls per second that arrive.
    pub demand_per_s: f64,
    /// Fraction of these calls that is admitted.
    pub admitted: f64,
}

/// A target of a contended pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OfferedView {
    /// Id of the target.
    pub target: String,
    /// Calls per second that it is offered at most.
    pub offered_per_s: f64,
}

/// Returns the calls per second that arrive for a pool, and the fraction that is admitted.
pub fn demand_and_admitted(pool: &PoolStatus) -> (f64, f64) {
    let demand: f64 = pool.claims.iter().map(|(_, rate, _)| rate).sum();
    let admitted = pool.claims.iter().map(|(_, rate, part)| rate * part);
    match demand > 0.0 {
        true => (demand, admitted.sum::<f64>() / demand),
        false => (0.0, 1.0),
    }
}

impl PoolView {
    /// Creates the view of a pool.
    pub fn new(pool: &PoolStatus, names: &HashedNames) -> Self {
        let (demand_per_s, admitted) = demand_and_admitted(pool);
        let mut claims = pool.claims.clone();
        claims.sort_by(|(a, a_rate, _), (b, b_rate, _)| b_rate.total_cmp(a_rate).then(a.cmp(b)));
        claims.truncate(MAX_SHOWN_CLAIMS);
        // Stable, so that claims of a rank stay ordered by demand.
        claims.sort_by_key(|(claim, ..)| (claim.rank, Reverse(claim.returning)));
        let claim_view = |(claim, demand_per_s, admitted): (Claim, f64, f64)| ClaimView {
            rank: claim.rank,
            returning: claim.returning,
            account: claim.account.map(|a| name_of(&names.accounts, a)),
            demand_per_s,
            admitted,
        };
        let offered = |(target, offered_per_s): &(TargetHash, f64)| OfferedView {
            target: name_of(&names.targets, *target),
            offered_per_s: *offered_per_s,
        };
        let mut targets: Vec<_> = pool.targets.iter().map(offered).collect();
        targets.sort_by(|a, b| a.target.cmp(&b.target));
        Self {
            service: names.service(pool.service),
            capacity_per_s: pool.capacity,
            demand_per_s,
            admitted,
            claims: claims.into_iter().map(claim_view).collect(),
            targets,
        }
    }
}

/// Beginning or end of a pool's contention.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ContentionChange {
    /// Service that the pool's targets run.
    pub service: ServiceHash,
    /// Calls per second that the pool is offered at most, when it was last contended.
    pub capacity: f64,
    /// Calls per second that arrived then.
    pub demand: f64,
    /// For how long the pool was contended; `None` at the beginning.
    pub ended_after: Option<Duration>,
}

#[derive(Debug)]
struct Contention {
    since: Instant,
    last: Instant,
    capacity: f64,
    demand: f64,
}

/// Finds the moments at which pools become contended and cease to be.
#[derive(Debug, Default)]
pub struct ContentionWatch(BTreeMap<ServiceHash, Contention>);

impl ContentionWatch {
    /// Compares the contended pools with those known before, and returns what changed.
    pub fn on_status(&mut self, now: Instant, pools: &[PoolStatus]) -> Vec<ContentionChange> {
        let mut changes = Vec::new();
        for pool in pools {
            let (demand, _) = demand_and_admitted(pool);
            let is_known = self.0.contains_key(&pool.service);
            if !is_known && self.0.len() >= MAX_LOGGED_POOLS {
                continue;
            }
            let since = self.0.get(&pool.service).map_or(now, |known| known.since);
            let contention = Contention {
                since,
                last: now,
                capacity: pool.capacity,
                demand,
            };
            if !is_known {
                changes.push(contention.change(pool.service, None));
            }
            self.0.insert(pool.service, contention);
        }
        self.0.retain(|service, known| {
            let is_over = now.since(known.last) >= END_DELAY;
            if is_over {
                let lasted = known.last.since(known.since);
                changes.push(known.change(*service, Some(lasted)));
            }
            !is_over
        });
        changes
    }
}

impl Contention {
    fn change(&self, service: ServiceHash, ended_after: Option<Duration>) -> ContentionChange {
        ContentionChange {
            service,
            capacity: self.capacity,
            demand: self.demand,
            ended_after,
        }
    }
}

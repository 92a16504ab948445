//! Reports of contended pools as datagrams carry them: their sizes, who receives which, and the
//! encoding of sums.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{datagram::Datagram, packed_sums::PackedSums};
use crate::admission::shares::{
    Claim, HallShareReports, PoolReport, ShareReport, TargetRates, TenthsPerSecond,
};

/// Bounds on the number of entries of one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportBounds {
    /// Maximum number of pools.
    pub pools: usize,
    /// Maximum number of claims of all pools together.
    pub claims: usize,
    /// Maximum number of targets of all pools together.
    pub targets: usize,
}

impl ReportBounds {
    /// Bounds on a router's own report.
    ///
    /// A router has 1 to 12 calls per second of a contended pool, so rates over one or two seconds
    /// name this many claims and targets at most in the usual case. With one pool of three targets
    /// that is about 200 bytes.
    pub const ROUTER: Self = Self {
        pools: 4,
        claims: 16,
        targets: 24,
    };

    /// Bounds on the sums of a data hall, which the fractions of all claims are computed from.
    ///
    /// They hold as many claims as rate reports hold accounts, and the targets of a pool of the
    /// largest fleets. A hub sends them to every router of its data hall.
    pub const HALL: Self = Self {
        pools: 8,
        claims: 32,
        targets: 64,
    };

    fn halved(self) -> Self {
        Self {
            pools: self.pools.div_ceil(2),
            claims: self.claims / 2,
            targets: self.targets / 2,
        }
    }
}

/// Maximum size in bytes of the encoded sums in a datagram: a fifth of the largest datagram that is
/// read, which has to hold the counts of calls and membership records as well.
const MAX_SUM_BYTES: usize = 12 << 10;

/// Returns a report that keeps within `bounds`.
///
/// Keeps the pools, claims and targets with the highest rates. The demand of the other claims
/// counts as demand without an account, so that the sum over a rank stays the same: a pool must not
/// look less contended because many accounts share it.
pub fn bounded(report: ShareReport, bounds: ReportBounds) -> ShareReport {
    match report {
        ShareReport::Router(pools) => ShareReport::Router(bounded_pools(pools, bounds)),
        ShareReport::Hall {
            hall,
            age_ms,
            pools,
        } => ShareReport::Hall {
            hall,
            age_ms,
            pools: bounded_pools(pools, bounds),
        },
    }
}

fn bounded_pools(mut pools: Vec<PoolReport>, bounds: ReportBounds) -> Vec<PoolReport> {
    pools.sort_by_key(|p| (Reverse(total(&p.demand)), p.service));
    pools.truncate(bounds.pools);
    let claims = pools.iter().flat_map(|p| p.demand.iter().map(|d| d.1));
    let min_demand = min_kept(claims, bounds.claims);
    let targets = pools.iter().flat_map(|p| p.targets.iter().map(offered));
    let min_offered = min_kept(targets, bounds.targets);
    let (mut claims, mut targets) = (bounds.claims, bounds.targets);
    for pool in &mut pools {
        bound_claims(&mut pool.demand, min_demand, &mut claims);
        bound_targets(&mut pool.targets, min_offered, &mut targets);
    }
    pools
}

/// Returns the smallest rate among the `n` highest ones.
fn min_kept(rates: impl Iterator<Item = TenthsPerSecond>, n: usize) -> TenthsPerSecond {
    let mut rates: Vec<_> = rates.collect();
    rates.sort_unstable_by_key(|rate| Reverse(*rate));
    match n {
        0 => TenthsPerSecond(u32::MAX),
        n => rates.get(n - 1).copied().unwrap_or_default(),
    }
}

/// Keeps the claims that ask for at least `min`, up to `left` of them, and adds up the others by
/// rank.
fn bound_claims(
    demand: &mut Vec<(Claim, TenthsPerSecond)>,
    min: TenthsPerSecond,
    left: &mut usize,
) {
    demand.sort_by_key(|(claim, rate)| (Reverse(*rate), *claim));
    let kept = demand.iter().take_while(|(_, rate)| *rate >= min).count();
    let kept = kept.min(*left);
    *left -= kept;
    let mut merged: BTreeMap<Claim, u32> = BTreeMap::new();
    for (claim, rate) in demand.split_off(kept) {
        let claim = Claim {
            account: None,
            ..claim
        };
        let sum = merged.entry(claim).or_default();
        *sum = sum.saturating_add(rate.0);
    }
    for (claim, rate) in merged.into_iter().take(MAX_MERGED_CLAIMS) {
        match demand.iter_mut().find(|(kept, _)| *kept == claim) {
            Some((_, sum)) => sum.0 = sum.0.saturating_add(rate),
            None => demand.push((claim, TenthsPerSecond(rate))),
        }
    }
}

/// Maximum number of claims of a pool that result from merging others: more ranks than
/// configurations use. The most urgent ones are kept.
const MAX_MERGED_CLAIMS: usize = 8;

fn bound_targets(targets: &mut Vec<TargetRates>, min: TenthsPerSecond, left: &mut usize) {
    targets.sort_by_key(|t| (Reverse(offered(t)), t.target));
    targets.retain(|t| offered(t) >= min);
    targets.truncate(*left);
    *left -= targets.len();
}

/// Returns the rate of the calls that a target answered or rejected.
fn offered(target: &TargetRates) -> TenthsPerSecond {
    TenthsPerSecond(target.answered.0.saturating_add(target.turned_away.0))
}

fn total(demand: &[(Claim, TenthsPerSecond)]) -> u64 {
    demand.iter().map(|(_, rate)| u64::from(rate.0)).sum()
}

/// Reports that one round of datagrams carries.
#[derive(Debug, Default)]
pub struct ShareSends {
    own: Option<ShareReport>,
    for_own_hall: Vec<u8>,
    for_other_halls: Vec<u8>,
}

impl ShareSends {
    /// Creates the sends of a router that does not aggregate: its own report, if any.
    pub fn own(own: Option<ShareReport>) -> Self {
        Self {
            own: own
                .filter(has_pools)
                .map(|report| bounded(report, ReportBounds::ROUTER)),
            ..Self::default()
        }
    }

    /// Creates the sends of a hub. The sums contain the hub's own report.
    ///
    /// Fails if the sums can't be encoded.
    pub fn sums(reports: HallShareReports) -> postcard::Result<Self> {
        Ok(Self {
            own: None,
            for_own_hall: encode(reports.for_own_hall)?,
            for_other_halls: encode(reports.for_other_halls)?,
        })
    }

    /// Puts the reports for a receiver into its datagram.
    pub fn write(&self, datagram: &mut Datagram, is_own_hall: bool) {
        datagram.shares = self.own.iter().cloned().collect();
        datagram.share_sums.clone_from(match is_own_hall {
            true => &self.for_own_hall,
            false => &self.for_other_halls,
        });
    }
}

/// Returns whether a report states anything. Datagrams carry none where no pool is contended.
fn has_pools(report: &ShareReport) -> bool {
    match report {
        ShareReport::Router(pools) | ShareReport::Hall { pools, .. } => !pools.is_empty(),
    }
}

/// Encodes the sums of data halls in at most [`MAX_SUM_BYTES`], with fewer entries if necessary.
fn encode(mut reports: Vec<ShareReport>) -> postcard::Result<Vec<u8>> {
    reports.retain(has_pools);
    if reports.is_empty() {
        return Ok(Vec::new());
    }
    let mut bounds = ReportBounds::HALL;
    loop {
        reports = reports.into_iter().map(|r| bounded(r, bounds)).collect();
        let bytes = postcard::to_stdvec(&PackedSums::from(reports.as_slice()))?;
        if bytes.len() <= MAX_SUM_BYTES {
            return Ok(bytes);
        }
        match bounds.claims {
            // So many data halls that not even their totals fit.
            0 => reports.truncate(reports.len() / 2),
            _ => bounds = bounds.halved(),
        }
    }
}

/// Returns all reports that a datagram carries.
///
/// Fails if the sums can't be decoded.
pub fn take(datagram: &mut Datagram) -> postcard::Result<Vec<ShareReport>> {
    let mut reports = std::mem::take(&mut datagram.shares);
    if !datagram.share_sums.is_empty() {
        let sums: PackedSums = postcard::from_bytes(&datagram.share_sums)?;
        reports.extend(sums.into_reports());
    }
    Ok(reports)
}

//! Wire format of several data halls' reports on contended pools.
//!
//! The data halls of a fleet mostly report the same claims and targets, whose hashes take more bytes
//! than their rates. Each is therefore sent once, with one rate per data hall: the sums of three
//! data halls take about half of the bytes of three reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    admission::shares::{
        Claim, PoolReport, ServiceHash, ShareReport, TargetRates, TenthsPerSecond,
    },
    ids::DataHall,
    target_counts::TargetHash,
};

/// Calls that a target answered and rejected, and its mean time, as in [`TargetRates`].
type PackedRates = (TenthsPerSecond, TenthsPerSecond, u32);

/// Reports of several data halls.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct PackedSums {
    /// The data halls and the ages of their reports in milliseconds.
    halls: Vec<(DataHall, u16)>,
    pools: BTreeMap<ServiceHash, PackedPool>,
}

/// One pool, with one rate per data hall. Data halls at the end that report nothing are left out;
/// others that report nothing have the rate 0.
#[derive(Debug, Default, Serialize, Deserialize)]
struct PackedPool {
    demand: BTreeMap<Claim, Vec<TenthsPerSecond>>,
    targets: BTreeMap<TargetHash, Vec<PackedRates>>,
    refused: Vec<TenthsPerSecond>,
}

impl From<&[ShareReport]> for PackedSums {
    /// Packs the reports of data halls; those of single routers are left out.
    fn from(reports: &[ShareReport]) -> Self {
        let mut packed = Self::default();
        for report in reports {
            let ShareReport::Hall {
                hall,
                age_ms,
                pools,
            } = report
            else {
                continue;
            };
            let i = packed.halls.len();
            packed.halls.push((hall.clone(), *age_ms));
            for pool in pools {
                let entry = packed.pools.entry(pool.service).or_default();
                for (claim, rate) in &pool.demand {
                    set(entry.demand.entry(*claim).or_default(), i, *rate);
                }
                set(&mut entry.refused, i, pool.refused);
                for rates in &pool.targets {
                    let values = (rates.answered, rates.turned_away, rates.mean_time_ms);
                    set(entry.targets.entry(rates.target).or_default(), i, values);
                }
            }
        }
        packed
    }
}

/// Sets the value of the `i`th data hall, with default values for those before it.
fn set<T: Copy + Default>(values: &mut Vec<T>, i: usize, value: T) {
    values.resize(i, T::default());
    values.push(value);
}

impl PackedSums {
    /// Returns the reports of the data halls, without pools that a data hall does not report.
    pub(super) fn into_reports(self) -> Vec<ShareReport> {
        let pools = &self.pools;
        let report = |(i, (hall, age_ms)): (usize, (DataHall, u16))| ShareReport::Hall {
            hall,
            age_ms,
            pools: pools.iter().filter_map(|(s, p)| p.report(*s, i)).collect(),
        };
        self.halls.into_iter().enumerate().map(report).collect()
    }
}

impl PackedPool {
    /// Returns the report of the `i`th data hall, or `None` if it reports nothing.
    fn report(&self, service: ServiceHash, i: usize) -> Option<PoolReport> {
        let rate = |rates: &[TenthsPerSecond]| rates.get(i).copied().filter(|r| r.0 > 0);
        let demand = self.demand.iter();
        let targets = self.targets.iter().filter_map(|(target, rates)| {
            let values = rates.get(i).filter(|v| **v != PackedRates::default());
            values.map(|(answered, turned_away, mean_time_ms)| TargetRates {
                target: *target,
                answered: *answered,
                turned_away: *turned_away,
                mean_time_ms: *mean_time_ms,
            })
        });
        let report = PoolReport {
            service,
            demand: demand
                .filter_map(|(claim, rates)| Some((*claim, rate(rates)?)))
                .collect(),
            targets: targets.collect(),
            refused: rate(&self.refused).unwrap_or_default(),
        };
        let is_silent = report.refused == TenthsPerSecond::default();
        let is_empty = is_silent && report.demand.is_empty() && report.targets.is_empty();
        (!is_empty).then_some(report)
    }
}

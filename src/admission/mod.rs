//! Admission control: how many calls each target may have in progress, and when a caller that is
//! refused for lack of capacity should retry.
//!
//! Decisions are synchronous: time and events are arguments, and [`crate::edge`] does the input and
//! output. The capacity of targets is never configured; it is learned from the calls that they
//! answered.

pub mod account_rates;
mod limit;
pub mod shares;
mod shortage;
mod slot_time;
mod startup;
pub mod surge;
pub mod warm_up;

use std::{collections::HashMap, time::Duration};

use account_rates::{AccountRates, PeerRates, RateReport};
pub use limit::{CallLimit, CallTraits};
use shortage::Shortage;
use slot_time::MeanSlotTime;
pub use startup::{MAX_WAITING_CALLS, wait_for_config};
use surge::{Surge, SurgeDetector};

use crate::{
    ids::{ClientAccountId, DataHall, ServiceName, VmId},
    units::Instant,
};

/// Observations of one service's targets.
#[derive(Debug, Default)]
struct ServiceState {
    slot_time: MeanSlotTime,
    shortage: Shortage,
}

/// Estimate of a service's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityEstimate {
    /// Mean time for which a call occupies a slot; `None` before the first call.
    pub slot_time: Option<Duration>,
    /// Time for which calls have been refused for lack of capacity; `None` if there is no shortage.
    pub shortage_age: Option<Duration>,
}

/// Rates of accounts that a hub reports.
#[derive(Debug, Default)]
pub struct HallRates {
    /// Reports to the routers of its own data hall.
    pub for_own_hall: Vec<RateReport>,
    /// Reports to the hubs of the other data halls.
    pub for_other_halls: Vec<RateReport>,
}

/// Admission state of all services.
#[derive(Debug)]
pub struct Admission {
    services: HashMap<ServiceName, ServiceState>,
    surge_detector: SurgeDetector,
    peer_rates: PeerRates,
}

impl Admission {
    /// Creates the state of a router in `hall`, without any observations.
    pub fn new(hall: DataHall) -> Self {
        Self {
            services: HashMap::new(),
            surge_detector: SurgeDetector::default(),
            peer_rates: PeerRates::new(hall),
        }
    }

    /// Returns the rates of accounts that this router reports to the hubs, or to all peers of a
    /// small fleet.
    pub fn own_rates(&self, now: Instant) -> RateReport {
        RateReport::Router(self.surge_detector.own_rates(now))
    }

    /// Returns the rates of accounts that this router reports as a hub: to all receivers the rates
    /// of its data hall, and to routers of its data hall also the rates of the other data halls.
    pub fn hall_rates(&self, now: Instant, hall: &DataHall) -> HallRates {
        let own: AccountRates = self
            .peer_rates
            .own_hall_rates(&self.surge_detector.own_rates(now));
        let own = RateReport::Hall(hall.clone(), own);
        let other_halls = self.peer_rates.other_hall_rates();
        let other_halls =
            other_halls.map(|(hall, rates)| RateReport::Hall(hall.clone(), rates.clone()));
        HallRates {
            for_own_hall: std::iter::once(own.clone()).chain(other_halls).collect(),
            for_other_halls: vec![own],
        }
    }

    /// Stores the rates of accounts that another router reported.
    pub fn on_rate_reports(
        &mut self,
        now: Instant,
        vm: &VmId,
        hall: &DataHall,
        reports: Vec<RateReport>,
    ) {
        for report in reports {
            self.peer_rates.on_report(now, vm.clone(), hall, report);
        }
    }

    /// Drops expired reports and updates the rates of accounts across the fleet.
    pub fn on_tick(&mut self, now: Instant) {
        self.peer_rates.on_tick(now);
        let sum = self
            .peer_rates
            .fleet_rates(&self.surge_detector.own_rates(now));
        self.surge_detector.on_fleet_rates(now, &sum);
    }

    /// Returns the limit on calls in progress at each target of the service.
    ///
    /// `goal` is the shortest time within which any kind of call of the service should be answered.
    pub fn limit(&self, service: &ServiceName, goal: Duration) -> CallLimit {
        let mean = self.services.get(service).and_then(|s| s.slot_time.mean());
        CallLimit::new(goal, mean)
    }

    /// Counts a call of an account; returns whether the account sends many times its usual rate
    /// while others do not.
    pub fn on_call(&mut self, now: Instant, account: &ClientAccountId) -> Surge {
        self.surge_detector.on_call(now, account)
    }

    /// Returns whether a call may be placed at a target.
    ///
    /// In a shortage, a surging account gets its usual rate multiplied by a small factor, because
    /// slots reserved for other accounts are taken before the counts of these calls arrive. `draw`,
    /// from 0 to 1, selects among the account's calls. When one account in ten sent 30 times its
    /// usual rate to 295 routers, 0.15 of the other accounts' calls were answered in time without
    /// this rule and more than half of them with it (`tests/load/stale_counts.rs`).
    pub fn admits(&self, now: Instant, service: &ServiceName, surge: Surge, draw: f64) -> bool {
        let is_short = self.capacity_estimate(now, service).shortage_age.is_some();
        match surge {
            Surge::AdmitFraction(part) if is_short => draw < part,
            _ => true,
        }
    }

    /// Records the time for which a call occupied a slot at its target, without time in the
    /// target's queue.
    pub fn on_slot_time(&mut self, service: &ServiceName, slot_time: Duration) {
        self.service_state(service)
            .slot_time
            .on_slot_time(slot_time);
    }

    /// Restores the mean time for which calls occupied a slot, as known before this router
    /// restarted.
    ///
    /// Only calls that did not queue contribute to the mean at once. A router that starts while all
    /// targets are flooded therefore learns nothing for seconds, and treats targets as full that
    /// are not.
    pub fn on_restored_slot_time(&mut self, service: &ServiceName, slot_time: Duration) {
        self.service_state(service)
            .slot_time
            .on_restored_slot_time(slot_time);
    }

    /// Records that a call was refused because no target had capacity.
    pub fn on_refused(&mut self, now: Instant, service: &ServiceName) {
        self.service_state(service).shortage.on_refused(now);
    }

    /// Returns the estimate of a service's capacity.
    pub fn capacity_estimate(&self, now: Instant, service: &ServiceName) -> CapacityEstimate {
        let state = self.services.get(service);
        CapacityEstimate {
            slot_time: state.and_then(|s| s.slot_time.mean()),
            shortage_age: state.and_then(|s| s.shortage.age(now)),
        }
    }

    /// Iterates over the services and the mean time for which their calls occupy a slot, where it
    /// is known.
    pub fn mean_slot_times(&self) -> impl Iterator<Item = (&ServiceName, Duration)> {
        let mean = |(service, state): (_, &ServiceState)| Some((service, state.slot_time.mean()?));
        self.services.iter().filter_map(mean)
    }

    /// Returns the delay after which a refused caller should retry.
    ///
    /// `left` is the total time for which the caller waits. `draw`, from 0 to 1, spreads callers
    /// that were refused together.
    pub fn retry_after(
        &self,
        now: Instant,
        service: &ServiceName,
        left: Duration,
        draw: f64,
    ) -> Duration {
        let estimate = self.capacity_estimate(now, service);
        let remaining = estimate
            .shortage_age
            .map_or(Duration::ZERO, shortage::expected_remaining);
        shortage::retry_after(
            remaining.max(estimate.slot_time.unwrap_or_default()),
            left,
            draw,
        )
    }

    /// Returns the delay after which a caller should retry that reached a router without a
    /// configuration.
    ///
    /// The router started `age` ago.
    pub fn retry_after_startup(&self, age: Duration, left: Duration, draw: f64) -> Duration {
        shortage::retry_after(startup::expected_config_wait(age), left, draw)
    }

    fn service_state(&mut self, service: &ServiceName) -> &mut ServiceState {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceState::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}

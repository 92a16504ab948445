//! Updates that routers send one another.

use std::time::Duration;

use scaleford::{
    admission::{HallRates, account_rates::RATE_REPORT_INTERVAL, shares::ShareReport},
    dispatcher::Dispatcher,
    membership::datagram::HallSums,
    prompt_cache::PromptPart,
    target_counts::TargetCounts,
};

use super::{Event, Model, Sent, hall, rules};

/// Minimum interval between updates that routers send one another, as in `membership::timing`.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between updates per router of the fleet, used with hubs where it comes to more than the minimum.
const SEND_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(1_200);

/// Maximum interval between updates.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(500);

impl Model {
    pub(super) fn send_interval(&self) -> Duration {
        let interval = SEND_INTERVAL_PER_ROUTER * self.load.routers as u32;
        let interval = interval.min(MAX_SEND_INTERVAL);
        if self.load.hubs {
            MIN_SEND_INTERVAL.max(interval)
        } else {
            MIN_SEND_INTERVAL
        }
    }

    /// Gives each router the counts of all calls in progress, as through a hub, the crash and outage notices,
    /// and the announcements of prompts that were first sent to a target.
    pub(super) fn on_send_updates(&mut self) {
        self.after(self.send_interval(), Event::SendUpdates);
        let now = self.now;
        let targets = &self.targets;
        let is_reachable = |sent: &&Sent| !targets[sent.target].is_cut_off;
        for sent in self.sent.values().filter(is_reachable) {
            // Answers in progress produce events all the time.
            let health = &mut self.routers[sent.router].health;
            health.on_activity(now, &sent.ticket.target.id);
        }
        let own_counts: Vec<TargetCounts> = self
            .routers
            .iter_mut()
            .map(|d| d.load.own_counts())
            .collect();
        let mut hub = Dispatcher::new(hall(), &rules(self.load.shares));
        for (n, counts) in own_counts.into_iter().enumerate() {
            let vm = format!("vm-{n}").parse().unwrap();
            hub.load.on_peer(now, vm, hall(), counts);
        }
        let rates = self.hub_rates(&mut hub);
        let shares = self.hub_shares(&mut hub);
        let sums = self.hub_sums(vec![hub.load.own_hall_sum(now)]);
        let notices = self.routers.iter().map(|d| d.health.outages.notices(now));
        let notices: Vec<_> = notices.flatten().collect();
        let announcements = self
            .routers
            .iter_mut()
            .map(|d| d.cache.take_announcements(60, false));
        let announcements: Vec<_> = announcements.flatten().collect();
        self.exchange_crash_notices();
        self.exchange_brittle_notices();
        let is_silent = self.hubs_are_silent();
        for router in &mut self.routers {
            if !is_silent {
                router.load.on_hall_sums(now, sums.clone());
                let vm = "hub".parse().unwrap();
                (router.shares).on_reports(now, &vm, &hall(), shares.clone());
            }
            router.health.outages.on_notices(now, &notices);
            for (id, tokens, target) in &announcements {
                let (id, tokens) = (*id, *tokens);
                router
                    .cache
                    .on_peer(target, PromptPart { id, tokens }, false);
            }
            if let Some(rates) = &rates {
                let vm = "hub".parse().unwrap();
                router
                    .admission
                    .on_rate_reports(now, &vm, &hall(), rates.for_own_hall.clone());
            }
            router.on_tick(now);
        }
    }

    /// Returns the account rates that hubs report now, if a report is due: those from one report before.
    fn hub_rates(&mut self, hub: &mut Dispatcher) -> Option<HallRates> {
        let now = self.now;
        if now.since(self.rates_reported_at) < RATE_REPORT_INTERVAL {
            return None;
        }
        self.rates_reported_at = now;
        for (n, router) in self.routers.iter().enumerate() {
            let vm = format!("vm-{n}").parse().unwrap();
            let own = vec![router.admission.own_rates(now)];
            hub.admission.on_rate_reports(now, &vm, &hall(), own);
        }
        let received = hub.admission.hall_rates(now, &hall());
        self.rates_at_hubs.replace(received)
    }

    fn hubs_are_silent(&self) -> bool {
        let silent = self.load.hubs_silent;
        silent.is_some_and(|(from, until)| (from..until).contains(&self.now.0))
    }

    /// Returns the share reports that routers receive now: with hubs, the sums of the round before.
    fn hub_shares(&mut self, hub: &mut Dispatcher) -> Vec<ShareReport> {
        let now = self.now;
        for (n, router) in self.routers.iter().enumerate() {
            let vm = format!("vm-{n}").parse().unwrap();
            let own = router.shares.own_report(now).into_iter().collect();
            hub.shares.on_reports(now, &vm, &hall(), own);
        }
        let received = hub.shares.hall_reports(now).for_own_hall;
        if !self.load.hubs {
            return received;
        }
        let interval = self.send_interval();
        let mut reports = std::mem::replace(&mut self.shares_at_hubs, received);
        for report in &mut reports {
            if let ShareReport::Hall { age_ms, .. } = report {
                *age_ms += interval.as_millis() as u16;
            }
        }
        reports
    }

    /// Returns the sums that routers receive now, given those that hubs receive now.
    ///
    /// With hubs, which send at an interval of their own, these are the sums of the round before, whose age
    /// is one interval.
    fn hub_sums(&mut self, received: HallSums) -> HallSums {
        if !self.load.hubs {
            return received;
        }
        let mut sums = self.sums_at_hubs.replace(received).unwrap_or_default();
        for sum in &mut sums {
            sum.age_ms = self.send_interval().as_millis() as u16;
        }
        sums
    }
}

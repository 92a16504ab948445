//! A repeated request that crashes each target that runs it, and routers whose VM is suspended.

use std::{collections::BTreeSet, ops::Range, time::Duration};

use scaleford::{
    fingerprint::Fingerprint, health::Outcome, target_counts::TargetHash, units::Instant,
    units::StoreRevision,
};

use super::{Call, Event, Model, Sent, new_target, record};

/// Fingerprint of the request that crashes targets; every other call has a fingerprint of its own.
pub(super) const CRASHING_REQUEST: u64 = 0;

/// Time between a target's crash and the start of its replacement.
const RESTART_TIME: Duration = Duration::from_millis(2_500);

/// Delay after which all readers see a write to the store.
const STORE_DELAY: Duration = Duration::from_millis(400);

/// Schedule of the crashing request and of the suspended routers.
#[derive(Debug, Clone, Copy)]
pub struct CrashSchedule {
    /// When the request is sent first, counted from the start of the run.
    pub from: Duration,
    /// Interval between two arrivals of the request, each at a random router.
    pub interval: Duration,
    /// Number of routers, from the first, that are suspended.
    pub suspended: usize,
    /// When the suspension starts, counted from the start of the run.
    pub suspended_from: Duration,
    /// How long the suspension lasts.
    pub suspended_for: Duration,
}

/// Results of a run with a crashing request.
#[derive(Debug, Default)]
pub struct CrashResults {
    /// When targets crashed.
    pub crashed_at: Vec<Instant>,
    /// When calls with the crashing request were sent to targets.
    pub sent: Vec<Instant>,
    /// Number of calls with the crashing request that were rejected as quarantined.
    pub refused: u64,
    /// Number of other calls that were rejected as quarantined.
    pub others_refused: u64,
    /// Number of other calls that broke off when their target crashed.
    pub broken_off: u64,
    /// Requests that the store lists as quarantined, each with the instant from which all readers see it.
    stored: Vec<(Instant, Fingerprint)>,
}

impl CrashResults {
    /// Returns how often the request was sent later than `after` after the third crash.
    pub fn sent_later_than(&self, after: Duration) -> usize {
        let Some(third) = self.crashed_at.get(2) else {
            return 0;
        };
        let later = |at: &&Instant| at.since(*third) > after;
        self.sent.iter().filter(later).count()
    }
}

impl Model {
    pub(super) fn on_crashing_request(&mut self) {
        let crashes = self.load.crashes.expect("it comes");
        self.after(crashes.interval, Event::CrashingRequestArrives);
        let call = Call {
            at: self.now,
            tried_at: self.now,
            account: 0,
            prompt: 0,
            tries: 0,
            request: CRASHING_REQUEST,
        };
        self.on_call(call);
    }

    /// Returns the routers that are not suspended now: they take calls and exchange crash notices.
    pub(super) fn active_routers(&self) -> Range<usize> {
        let suspended = self.load.crashes.map_or(0, |c| {
            let since = self.now.0.checked_sub(c.suspended_from);
            let is_on = since.is_some_and(|since| since < c.suspended_for);
            if is_on { c.suspended } else { 0 }
        });
        suspended..self.routers.len()
    }

    /// Returns whether a router has a call's request in quarantine, and counts the rejection.
    pub(super) fn is_quarantined(&mut self, router: usize, call: &Call) -> bool {
        let request = Fingerprint(call.request);
        let quarantine = &self.routers[router].quarantine;
        let is_quarantined = quarantine.time_left(self.now, request).is_some();
        self.crash_results.refused += u64::from(is_quarantined && call.request == CRASHING_REQUEST);
        self.crash_results.others_refused +=
            u64::from(is_quarantined && call.request != CRASHING_REQUEST);
        is_quarantined
    }

    /// Handles the crash of a target: all its calls break off and their routers record the crash.
    pub(super) fn on_target_crash(&mut self, target: usize) {
        self.crash_results.crashed_at.push(self.now);
        let hash = TargetHash::from(&record(target, self.load.slots).id);
        for run in self.targets[target].on_loss() {
            let Some(sent) = self.sent.remove(&run) else {
                continue;
            };
            let Sent {
                call,
                router,
                ticket,
                ..
            } = sent;
            self.crash_results.broken_off += u64::from(call.request != CRASHING_REQUEST);
            let router = &mut self.routers[router];
            router.on_end(self.now, &ticket, Some(Outcome::Broken));
            let request = Fingerprint(call.request);
            if router
                .quarantine
                .on_crash(self.now, request, hash)
                .is_some()
            {
                let known = self.now + STORE_DELAY;
                self.crash_results.stored.push((known, request));
            }
        }
        self.after(RESTART_TIME, Event::TargetRestarts);
    }

    /// Starts a target with a new name, and sends all routers the current list of targets.
    pub(super) fn on_target_restart(&mut self) {
        self.targets.push(new_target(&self.load));
        self.restarts += 1;
        let revision = StoreRevision::first_era(1 + self.restarts);
        let live = (0..self.targets.len()).filter(|n| !self.targets[*n].is_lost);
        let records: Vec<_> = live
            .map(|n| (record(n, self.load.slots), revision))
            .collect();
        for router in &mut self.routers {
            let discovery = &mut router.discovery;
            discovery.on_list(self.now, records.clone(), revision);
        }
    }

    /// Sends crash notices among the routers that are not suspended, and passes them the stored quarantines.
    pub(super) fn exchange_crash_notices(&mut self) {
        let (now, active_routers) = (self.now, self.active_routers());
        let notices = self.routers[active_routers.clone()]
            .iter()
            .flat_map(|d| d.quarantine.crash_notices(now));
        let notices: Vec<_> = notices.collect();
        let stored = self.crash_results.stored.iter();
        let stored: BTreeSet<Fingerprint> = stored
            .filter(|(known, _)| *known <= now)
            .map(|(_, request)| *request)
            .collect();
        for router in &mut self.routers[active_routers] {
            router.quarantine.on_crash_notices(now, &notices);
            for request in &stored {
                router.quarantine.on_stored(now, *request);
            }
        }
    }

    /// Returns the results for the crashing request.
    pub fn crash_results(&self) -> &CrashResults {
        &self.crash_results
    }

    /// Returns the maximum number of suspected requests that any router tracks.
    pub fn most_suspects(&self) -> usize {
        let suspects = self.routers.iter().map(|r| r.quarantine.suspect_count());
        suspects.max().unwrap_or_default()
    }
}

//! A request that ends each target that begins to run it and comes again, and routers whose VM is suspended.

use std::{collections::BTreeSet, ops::Range, time::Duration};

use scaleford::{
    fingerprint::Fingerprint, health::Outcome, target_counts::TargetHash, units::Instant,
    units::StoreRevision,
};

use super::{Call, Event, Model, Sent, new_target, record};

/// The request's fingerprint; other calls have their own.
pub(super) const CRASHER: u64 = 0;

/// How long a target that ended is away.
const AWAY: Duration = Duration::from_millis(2_500);

/// How long the store takes to show all readers what was written.
const STORED_AFTER: Duration = Duration::from_millis(400);

/// What is played of it.
#[derive(Debug, Clone, Copy)]
pub struct Crashes {
    pub from: Duration,
    /// The pause between two returns, each through any router.
    pub every: Duration,
    /// Routers, from the first, that are suspended from then on for so long.
    pub suspended: usize,
    pub suspended_from: Duration,
    pub suspended_for: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Crashed {
    /// When targets ended.
    pub ended: Vec<Instant>,
    /// When its calls were sent to targets.
    pub sent: Vec<Instant>,
    /// Its calls that were refused.
    pub refused: u64,
    /// Calls beside it that were refused as held back.
    pub others_refused: u64,
    /// Calls beside it that broke off with a target.
    pub broken_off: u64,
    /// What the store holds back, and from when on all readers know.
    stored: Vec<(Instant, Fingerprint)>,
}

impl Crashed {
    /// How often it was sent so long after the third target had ended.
    pub fn sent_later_than(&self, after: Duration) -> usize {
        let Some(third) = self.ended.get(2) else {
            return 0;
        };
        let later = |at: &&Instant| at.since(*third) > after;
        self.sent.iter().filter(later).count()
    }
}

impl Model {
    pub(super) fn on_crasher(&mut self) {
        let crashes = self.load.crashes.expect("it comes");
        self.after(crashes.every, Event::CrasherComes);
        let call = Call {
            at: self.now,
            account: 0,
            prompt: 0,
            tries: 0,
            request: CRASHER,
        };
        self.on_call(call);
    }

    /// Routers that take calls and hear of others now.
    pub(super) fn awake(&self) -> Range<usize> {
        let suspended = self.load.crashes.map_or(0, |c| {
            let since = self.now.0.checked_sub(c.suspended_from);
            let is_on = since.is_some_and(|since| since < c.suspended_for);
            if is_on { c.suspended } else { 0 }
        });
        suspended..self.routers.len()
    }

    /// Whether a router holds a call back.
    pub(super) fn holds_back(&mut self, router: usize, call: &Call) -> bool {
        let request = Fingerprint(call.request);
        let quarantine = &self.routers[router].quarantine;
        let holds = quarantine.time_left(self.now, request).is_some();
        self.crashed.refused += u64::from(holds && call.request == CRASHER);
        self.crashed.others_refused += u64::from(holds && call.request != CRASHER);
        holds
    }

    /// A target ends, with all that it runs.
    pub(super) fn on_target_ends(&mut self, target: usize) {
        self.crashed.ended.push(self.now);
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
            self.crashed.broken_off += u64::from(call.request != CRASHER);
            let router = &mut self.routers[router];
            router.on_end(self.now, &ticket, Some(Outcome::Broken));
            let request = Fingerprint(call.request);
            if router
                .quarantine
                .on_crash(self.now, request, hash)
                .is_some()
            {
                let known = self.now + STORED_AFTER;
                self.crashed.stored.push((known, request));
            }
        }
        self.after(AWAY, Event::TargetReturns);
    }

    /// A target starts, under a name of its own; the list is as it is now.
    pub(super) fn on_target_returns(&mut self) {
        self.targets.push(new_target(&self.load));
        self.starts += 1;
        let revision = StoreRevision::first_era(1 + self.starts);
        let live = (0..self.targets.len()).filter(|n| !self.targets[*n].is_lost);
        let records: Vec<_> = live
            .map(|n| (record(n, self.load.slots), revision))
            .collect();
        for router in &mut self.routers {
            let discovery = &mut router.discovery;
            discovery.on_list(self.now, records.clone(), revision);
        }
    }

    /// Routers that are awake hear of endings at the others, and of what the store holds.
    pub(super) fn tell_endings(&mut self) {
        let (now, awake) = (self.now, self.awake());
        let notices = self.routers[awake.clone()]
            .iter()
            .flat_map(|d| d.quarantine.crash_notices(now));
        let notices: Vec<_> = notices.collect();
        let stored = self.crashed.stored.iter();
        let stored: BTreeSet<Fingerprint> = stored
            .filter(|(known, _)| *known <= now)
            .map(|(_, request)| *request)
            .collect();
        for router in &mut self.routers[awake] {
            router.quarantine.on_crash_notices(now, &notices);
            for request in &stored {
                router.quarantine.on_stored(now, *request);
            }
        }
    }

    /// What came of the request that ends targets.
    pub fn crashed(&self) -> &Crashed {
        &self.crashed
    }

    /// The most suspects that any router remembers.
    pub fn most_suspects(&self) -> usize {
        let suspects = self.routers.iter().map(|r| r.quarantine.suspect_count());
        suspects.max().unwrap_or_default()
    }
}

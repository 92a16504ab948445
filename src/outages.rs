//! Targets that just broke off a call at once, refused a connection or asked for time, as routers announce them to
//! one another.
//!
//! The load pattern that this answers: targets go down together, and hundreds of routers, of which each
//! has few calls for each of them. Where each router has to find out by itself, 0.29 to 0.32 of what is sent
//! in the seconds until the entries of a quarter of the targets lapse meets one of them, and 0.04 to 0.05
//! with notices (`tests/load/stale_counts.rs`, 87 to 380 routers).

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{target_counts::TargetHash, units::Instant};

/// How soon after a call was sent its connection breaks if the target is down: some round trips of
/// a few milliseconds. One that runs the call and loses its answer takes longer (15 ms of work on
/// the users' sheets).
const AT_ONCE: Duration = Duration::from_millis(15);

/// How long a target is left alone for it where others have room: one that flaps is down for about a second.
const LEFT_ALONE: Duration = Duration::from_millis(800);

/// How many times that doubles where the target is still down when it is tried again: until its entry
/// lapses, which takes three heartbeats of more than a second.
const DOUBLED: u32 = 2;

/// How soon after it was left alone a target has to be down again for it to be the same outage that goes
/// on: time for a few of hundreds of routers to have a call for it.
const GOES_ON: Duration = Duration::from_secs(1);

/// An outage that was found so shortly before or after another one is the same.
const SAME_OUTAGE: Duration = Duration::from_millis(200);

/// An outage as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageNotice {
    target: TargetHash,
    /// How long ago it was found.
    age_ms: u16,
}

/// An outage that was found.
#[derive(Debug, Clone, Copy)]
struct Outage {
    at: Instant,
    /// How many times the target was down again when it was tried.
    repeats: u32,
}

impl Outage {
    fn left_alone(self) -> Duration {
        LEFT_ALONE * 2_u32.pow(self.repeats.min(DOUBLED))
    }

    fn age(self, now: Instant) -> Duration {
        now.since(self.at)
    }

    fn is_on(self, now: Instant) -> bool {
        self.age(now) < self.left_alone()
    }

    fn may_go_on(self, now: Instant) -> bool {
        self.age(now) < self.left_alone() + GOES_ON
    }
}

/// When each target was last found to be down.
#[derive(Debug, Default)]
pub struct Outages {
    found: HashMap<TargetHash, Outage>,
    unannounced: bool,
}

impl Outages {
    /// A connection broke without an answer, so long after a call was sent on it. Returns whether
    /// the target is out for it.
    pub fn on_broke(&mut self, now: Instant, target: TargetHash, after: Duration) -> bool {
        let is_out = after <= AT_ONCE;
        if is_out {
            self.find(now, target);
        }
        is_out
    }

    /// A target refused a connection, another one has its address, or it asked for time.
    pub fn on_refused(&mut self, now: Instant, target: TargetHash) {
        self.find(now, target);
    }

    /// A peer announced outages, its own ones or others'. Returns how many are new here.
    pub fn on_notices(&mut self, now: Instant, notices: &[OutageNotice]) -> usize {
        let mut new = 0;
        for OutageNotice { target, age_ms } in notices {
            let at = now.before(Duration::from_millis(u64::from(*age_ms)));
            new += usize::from(self.find(at, *target));
        }
        new
    }

    /// Whether a target is left alone.
    pub fn is_out(&self, now: Instant, target: TargetHash) -> bool {
        self.found.get(&target).is_some_and(|o| o.is_on(now))
    }

    /// What to announce to the peers.
    pub fn notices(&self, now: Instant) -> Vec<OutageNotice> {
        let on = self.found.iter().filter(|(_, outage)| outage.is_on(now));
        let notice = |(target, outage): (&TargetHash, &Outage)| OutageNotice {
            target: *target,
            age_ms: outage.age(now).as_millis() as u16,
        };
        on.map(notice).collect()
    }

    /// Whether outages were found or heard of since the last call.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Forgets what is over.
    pub fn on_tick(&mut self, now: Instant) {
        self.found.retain(|_, outage| outage.may_go_on(now));
    }

    /// Notes an outage that was found at `at`; returns whether it is a new one.
    fn find(&mut self, at: Instant, target: TargetHash) -> bool {
        let repeats = match self.found.get(&target) {
            Some(known) if at.since(known.at) <= SAME_OUTAGE => return false,
            Some(known) if known.may_go_on(at) => known.repeats + 1,
            _ => 0,
        };
        self.found.insert(target, Outage { at, repeats });
        self.unannounced = true;
        true
    }
}

//! Targets that just broke off a call at once, as routers tell one another.
//!
//! A target that went down may still be connected to, and a call that was sent there may not be
//! sent again where it could have run. Each of many routers has few calls for it: had each to find
//! out by itself, each would lose some.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{load_account::TargetHash, units::Instant};

/// How soon after a call was sent its connection breaks if the target is down: some round trips of
/// a few milliseconds. One that runs the call and loses its answer takes longer (15 ms of work on
/// the users' sheets).
const AT_ONCE: Duration = Duration::from_millis(15);

/// How long a target is left alone for it where others have room. On a day of flaps (grown puente)
/// targets are down for about a second.
const LEFT_ALONE: Duration = Duration::from_millis(800);

/// An outage that was found so shortly before or after another one is the same.
const SAME_OUTAGE: Duration = Duration::from_millis(200);

/// An outage as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageNotice {
    target: TargetHash,
    /// How long ago it was found.
    age_ms: u16,
}

/// When each target last broke off a call at once.
#[derive(Debug, Default)]
pub struct Outages {
    found: HashMap<TargetHash, Instant>,
}

impl Outages {
    /// A connection broke without an answer, so long after a call was sent on it. Returns whether
    /// the target is out for it.
    pub fn on_broke(&mut self, now: Instant, target: TargetHash, after: Duration) -> bool {
        let is_out = after <= AT_ONCE;
        if is_out {
            self.found.insert(target, now);
        }
        is_out
    }

    /// A peer announced outages, its own ones or others'. Returns how many are new here.
    pub fn on_notices(&mut self, now: Instant, notices: &[OutageNotice]) -> usize {
        let mut new = 0;
        for OutageNotice { target, age_ms } in notices {
            let age = Duration::from_millis(u64::from(*age_ms));
            let at = Instant(now.0.saturating_sub(age));
            let known = self.found.get(target);
            if known.is_none_or(|before| at.since(*before) > SAME_OUTAGE) {
                self.found.insert(*target, at);
                new += 1;
            }
        }
        new
    }

    /// Whether a target is left alone.
    pub fn is_out(&self, now: Instant, target: TargetHash) -> bool {
        let found = self.found.get(&target);
        found.is_some_and(|at| now.since(*at) < LEFT_ALONE)
    }

    /// What to tell the peers.
    pub fn notices(&self, now: Instant) -> Vec<OutageNotice> {
        let ages = self.found.iter().map(|(t, at)| (*t, now.since(*at)));
        let fresh = ages.filter(|(_, age)| *age < LEFT_ALONE);
        let notices = fresh.map(|(target, age)| OutageNotice {
            target,
            age_ms: age.as_millis() as u16,
        });
        notices.collect()
    }

    /// Forgets what is over.
    pub fn on_tick(&mut self, now: Instant) {
        self.found.retain(|_, at| now.since(*at) < LEFT_ALONE);
    }
}

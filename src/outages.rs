//! Targets that were just found to be down, as routers announce them to one another: they closed a
//! connection right after a call was sent, refused a connection, or asked callers to back off.
//!
//! Guards against several targets that go down together, with hundreds of routers of which each has
//! few calls for each target. If each router has to detect an outage itself, 0.29 to 0.32 of the
//! calls sent until the entries of a quarter of the targets expire some seconds later reach one of
//! these targets; with notices 0.04 to 0.05 do (`tests/load/stale_counts.rs`, 87 to 380 routers).

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{target_counts::TargetHash, units::Instant};

/// Maximum time between sending a call and the close of its connection for the target to be
/// regarded as down: some round trips of a few milliseconds. A target that runs the call and loses
/// its answer takes longer (15 ms of work in the workloads that this fleet is designed for).
const IMMEDIATE_CLOSE: Duration = Duration::from_millis(15);

/// Time for which a target that is down is avoided if others have capacity; a target that flaps is
/// down for about a second.
const AVOIDANCE_TIME: Duration = Duration::from_millis(800);

/// Maximum number of times that [`AVOIDANCE_TIME`] doubles while the target is still down when it
/// is tried again. The target is then avoided until its entry expires, which takes three heartbeats
/// of more than a second.
const MAX_DOUBLINGS: u32 = 2;

/// Time after the end of an avoidance within which a further failure continues the same outage:
/// enough for a few of hundreds of routers to have a call for the target.
const CONTINUATION_WINDOW: Duration = Duration::from_secs(1);

/// Time between two reports of an outage within which both concern the same failure.
const DUPLICATE_WINDOW: Duration = Duration::from_millis(200);

/// An outage as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageNotice {
    target: TargetHash,
    /// Time since the outage was found, in milliseconds.
    age_ms: u16,
}

/// An outage that this router or a peer found.
#[derive(Debug, Clone, Copy)]
struct Outage {
    /// Time at which the outage was last found.
    at: Instant,
    /// Number of times that the target was still down when it was tried again.
    repeats: u32,
    /// Whether the target has answered a call since.
    is_over: bool,
}

impl Outage {
    /// Returns the time for which the target is avoided.
    fn avoidance_time(self) -> Duration {
        AVOIDANCE_TIME * 2_u32.pow(self.repeats.min(MAX_DOUBLINGS))
    }

    fn age(self, now: Instant) -> Duration {
        now.since(self.at)
    }

    /// Returns whether the target is still avoided.
    fn is_active(self, now: Instant) -> bool {
        !self.is_over && self.age(now) < self.avoidance_time()
    }

    /// Returns whether a further failure continues this outage.
    fn may_continue(self, now: Instant) -> bool {
        self.age(now) < self.avoidance_time() + CONTINUATION_WINDOW
    }
}

/// Outages by target, each with the time when it was last found.
#[derive(Debug, Default)]
pub struct Outages {
    by_target: HashMap<TargetHash, Outage>,
    /// Whether outages were found since [`Outages::take_unannounced`] was last called.
    unannounced: bool,
}

impl Outages {
    /// Records that a connection closed without an answer, `after` a call was sent on it. Returns
    /// whether the target is therefore regarded as down.
    pub fn on_broke(&mut self, now: Instant, target: TargetHash, after: Duration) -> bool {
        let is_out = after <= IMMEDIATE_CLOSE;
        if is_out {
            self.record(now, target);
        }
        is_out
    }

    /// Records that a target refused a connection, that another target has its address, or that it
    /// asked callers to back off.
    pub fn on_refused(&mut self, now: Instant, target: TargetHash) {
        self.record(now, target);
    }

    /// Stores outages that a peer announced, whether found by the peer itself or by others. Returns
    /// how many are new to this router.
    pub fn on_notices(&mut self, now: Instant, notices: &[OutageNotice]) -> usize {
        let mut new = 0;
        for OutageNotice { target, age_ms } in notices {
            let at = now.before(Duration::from_millis(u64::from(*age_ms)));
            new += usize::from(self.record(at, *target));
        }
        new
    }

    /// Records that a target answered a call that was sent at `sent`, which ends an outage found before.
    pub fn on_answered(&mut self, sent: Instant, target: TargetHash) {
        if let Some(outage) = self.by_target.get_mut(&target) {
            outage.is_over |= outage.at < sent;
        }
    }

    /// Returns whether a target is avoided.
    pub fn is_out(&self, now: Instant, target: TargetHash) -> bool {
        self.by_target
            .get(&target)
            .is_some_and(|o| o.is_active(now))
    }

    /// Returns the outages to announce to peers.
    pub fn notices(&self, now: Instant) -> Vec<OutageNotice> {
        let on = self
            .by_target
            .iter()
            .filter(|(_, outage)| outage.is_active(now));
        let notice = |(target, outage): (&TargetHash, &Outage)| OutageNotice {
            target: *target,
            age_ms: outage.age(now).as_millis() as u16,
        };
        on.map(notice).collect()
    }

    /// Returns whether outages were found or reported by peers since the last call, and resets this
    /// state.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Drops outages that are over.
    pub fn on_tick(&mut self, now: Instant) {
        self.by_target.retain(|_, outage| outage.may_continue(now));
    }

    /// Records an outage that was found at `at`; returns whether it is new.
    fn record(&mut self, at: Instant, target: TargetHash) -> bool {
        let repeats = match self.by_target.get(&target) {
            Some(known) if at.since(known.at) <= DUPLICATE_WINDOW => return false,
            Some(known) if known.may_continue(at) => known.repeats + 1,
            _ => 0,
        };
        let outage = Outage {
            at,
            repeats,
            is_over: false,
        };
        self.by_target.insert(target, outage);
        self.unannounced = true;
        true
    }
}

//! Target instances that have ended, or may have, though their entries are still in the list.
//!
//! A target that restarts under its own name is listed as its former instance until its new entry arrives, which
//! takes long where the store is unavailable. Neither its address nor the name that it confirms with each answer
//! tells the two apart, so that its software version is not known meanwhile. A refused connection shows that an
//! instance ended: nothing listened at its address. A connection that breaks shows nothing, as long as another
//! one opens.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::TargetId, target_counts::TargetHash, units::Instant};

/// Maximum time from the start of a target until routers have its entry, while the store is available.
const ENTRY_DELAY: Duration = Duration::from_millis(2_500);

/// Maximum time for which the store keeps the entry of a target that ended, in several heartbeats, with
/// [`ENTRY_DELAY`] for the next instance.
const STALE_ENTRY_TIME: Duration = Duration::from_secs(10);

/// Time after which a doubt is dropped in any case.
const DOUBT_TTL: Duration = Duration::from_mins(10);

/// Time between two refusals within which both concern the same end: more than the ages of notices differ by.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of notices that are passed on at once, in less than a kilobyte.
const MAX_NOTICES: usize = 64;

/// A doubtful instance, as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtNotice {
    target: TargetHash,
    /// Time since the target refused a connection, in milliseconds.
    age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// When the target last refused a connection.
    refused_at: Instant,
    /// When it first answered a call after that.
    answered_at: Option<Instant>,
    /// Whether the listed instance was found to run still.
    is_over: bool,
}

impl Doubt {
    /// Returns whether an entry that the store held at `confirmed_at`, and has held since it returned at
    /// `returned_at`, is that of the instance which runs now.
    fn is_settled(self, confirmed_at: Instant, returned_at: Instant) -> bool {
        let shown_after = |since: Instant, delay| confirmed_at >= since.max(returned_at) + delay;
        self.answered_at
            .is_some_and(|at| shown_after(at, ENTRY_DELAY))
            || shown_after(self.refused_at, STALE_ENTRY_TIME)
    }
}

/// Instances in doubt, by target instance.
#[derive(Debug, Default)]
pub struct DoubtfulInstances {
    by_target: HashMap<TargetHash, Doubt>,
    /// When the store last returned after an outage: entries may be missing from then on for a moment.
    store_returned_at: Instant,
}

impl DoubtfulInstances {
    /// Records that a target refused a connection. Targets whose ids differ after each start are left out, as the
    /// next instance rejects their calls.
    pub fn on_refused(&mut self, now: Instant, target: &TargetId) {
        if target.has_start_time() {
            let doubt = Doubt {
                refused_at: now,
                answered_at: None,
                is_over: false,
            };
            self.by_target.insert(target.into(), doubt);
        }
    }

    /// Records that the address of a target answered a call that was sent at `sent`.
    pub fn on_answered(&mut self, now: Instant, sent: Instant, target: &TargetId) {
        if let Some(doubt) = self.by_target.get_mut(&target.into())
            && doubt.refused_at < sent
        {
            doubt.answered_at.get_or_insert(now);
        }
    }

    /// Records that the store returned after an outage at `at`.
    pub fn on_store_available(&mut self, at: Instant) {
        self.store_returned_at = self.store_returned_at.max(at);
    }

    /// Records that the list was current at `confirmed_at`, according to the store. A target that still has the
    /// same entry so long after it answered did not restart.
    pub fn on_list_confirmed(&mut self, confirmed_at: Instant) {
        let returned_at = self.store_returned_at;
        for doubt in self.by_target.values_mut() {
            doubt.is_over |= doubt.is_settled(confirmed_at, returned_at);
        }
    }

    /// Records doubts that a peer announced, its own and those of others.
    pub fn on_notices(&mut self, now: Instant, notices: &[DoubtNotice]) {
        for DoubtNotice { target, age_ms } in notices {
            let refused_at = now.before(Duration::from_millis(u64::from(*age_ms)));
            let known = self.by_target.get(target);
            if known.is_none_or(|k| refused_at > k.refused_at + DUPLICATE_WINDOW) {
                let doubt = Doubt {
                    refused_at,
                    answered_at: None,
                    is_over: false,
                };
                self.by_target.insert(*target, doubt);
            }
        }
    }

    /// Returns the doubts to announce to peers, latest first.
    pub fn notices(&self, now: Instant) -> Vec<DoubtNotice> {
        let open = self.by_target.iter().filter(|(_, d)| !d.is_over);
        let notice = |(target, doubt): (&TargetHash, &Doubt)| DoubtNotice {
            target: *target,
            age_ms: now.since(doubt.refused_at).as_millis() as u32,
        };
        let mut notices: Vec<DoubtNotice> = open.map(notice).collect();
        notices.sort_unstable_by_key(|n| n.age_ms);
        notices.truncate(MAX_NOTICES);
        notices
    }

    /// Returns since when an instance is in doubt; `None` if it is the listed one.
    pub fn since(&self, target: &TargetId) -> Option<Instant> {
        let doubt = self.by_target.get(&target.into());
        doubt.filter(|d| !d.is_over).map(|d| d.refused_at)
    }

    /// Drops old doubts.
    pub fn on_tick(&mut self, now: Instant) {
        self.by_target
            .retain(|_, d| now.since(d.refused_at) < DOUBT_TTL);
    }
}

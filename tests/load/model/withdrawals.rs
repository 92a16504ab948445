//! Targets that announce in their responses that they leave, or that they accept no calls for a while.

use std::{collections::HashMap, time::Duration};

use scaleford::{units::Instant, withdrawals::Withdrawal};

use super::{Model, record};

/// Schedule of the targets that accept no calls.
#[derive(Debug, Clone, Copy)]
pub struct Withdrawing {
    /// When targets start to accept no calls, counted from the start of the run.
    pub from: Duration,
    /// When they accept calls again, counted from the start of the run.
    pub until: Duration,
    /// Number of targets, from the first, that reject all calls and ask for a backoff.
    pub shedding: usize,
    /// Backoff that these targets ask for, in seconds.
    pub backoff_s: u8,
    /// Number of targets after these that leave in that time, and announce it in their responses alone.
    pub leaving: usize,
}

/// Time that the users' rules give a router to apply a backoff that a target asked for.
const BACKOFF_HEARD: Duration = Duration::from_millis(500);
/// Time that the users' rules give a router to stop sending calls to a target that leaves.
const LEAVING_HEARD: Duration = Duration::from_secs(2);

/// Withdrawals that targets announced to routers, and the calls that these routers sent them afterwards.
#[derive(Debug, Default)]
pub struct Withdrawn {
    /// Latest withdrawal by router and target.
    said: HashMap<(usize, usize), Said>,
    /// Maximum number of calls that one router sent to one target within one backoff, after `BACKOFF_HEARD`.
    pub most_within_backoff: usize,
    /// Number of calls sent to leaving targets by routers that had learned of it more than `LEAVING_HEARD`
    /// ago.
    pub sent_to_leaving: usize,
    /// Number of calls that shedding targets rejected.
    pub shed: usize,
}

/// A withdrawal that a router received from a target.
#[derive(Debug)]
struct Said {
    /// When the router received it first.
    at: Instant,
    /// When the backoff ends; `None` for a target that leaves.
    until: Option<Instant>,
    /// Number of calls that the router sent to the target within the backoff.
    sent: usize,
}

impl Model {
    /// Returns the schedule if targets withdraw now.
    fn withdrawing(&self) -> Option<Withdrawing> {
        let played = self.load.withdrawing?;
        (played.from..played.until)
            .contains(&self.now.0)
            .then_some(played)
    }

    /// Returns whether a target rejects all calls now.
    pub(super) fn sheds(&self, target: usize) -> bool {
        self.withdrawing().is_some_and(|w| target < w.shedding)
    }

    /// Returns whether a target announces now that it leaves.
    pub(super) fn leaves(&self, target: usize) -> bool {
        let leaves = |w: Withdrawing| (w.shedding..w.shedding + w.leaving).contains(&target);
        self.withdrawing().is_some_and(leaves)
    }

    /// Counts a call that a router sends to a target, if the target has withdrawn for this router.
    pub(super) fn note_withdrawn(&mut self, router: usize, target: usize) {
        let now = self.now;
        let seen = &mut self.withdrawn;
        let Some(said) = seen.said.get_mut(&(router, target)) else {
            return;
        };
        let after = now.since(said.at);
        match said.until {
            None => seen.sent_to_leaving += usize::from(after > LEAVING_HEARD),
            Some(until) if now < until && after > BACKOFF_HEARD => {
                said.sent += 1;
                seen.most_within_backoff = seen.most_within_backoff.max(said.sent);
            }
            Some(_) => {}
        }
    }

    /// Handles a response in which a target announces to a router that it accepts no calls.
    pub(super) fn hear_of_withdrawal(&mut self, router: usize, target: usize) {
        let now = self.now;
        let played = self.load.withdrawing.expect("it is played");
        let withdrawal = match target < played.shedding {
            true => Withdrawal::Backoff(played.backoff_s.to_string().parse().unwrap()),
            false => Withdrawal::Leaving,
        };
        self.withdrawn.shed += usize::from(target < played.shedding);
        let until = withdrawal.backoff().map(|b| now + b);
        let said = Said {
            at: now,
            until,
            sent: 0,
        };
        let is_over = |s: &Said| s.until.is_some_and(|until| now >= until);
        let known = self.withdrawn.said.entry((router, target)).or_insert(said);
        if is_over(known) {
            *known = Said {
                at: now,
                until,
                sent: 0,
            };
        }
        let id = record(target, self.load.slots).id;
        self.routers[router].on_withdrawal(now, &id, withdrawal);
    }

    /// Returns the results for targets that accept no calls.
    pub fn withdrawn(&self) -> &Withdrawn {
        &self.withdrawn
    }
}

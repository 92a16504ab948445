//! Targets that say in their answers that they leave, or that they want no calls for a while.

use std::{collections::HashMap, time::Duration};

use scaleford::{units::Instant, withdrawals::Withdrawal};

use super::{Model, record};

/// What is played of it.
#[derive(Debug, Clone, Copy)]
pub struct Withdrawing {
    pub from: Duration,
    pub until: Duration,
    /// Targets, from the first, that turn all calls away and want none for so many seconds.
    pub shedding: usize,
    pub backoff_s: u8,
    /// Targets after these that leave from then on, and say so in their answers alone.
    pub leaving: usize,
}

/// How long a router has to hear of a time that is asked for, and of a target that leaves: the users' rules.
const BACKOFF_HEARD: Duration = Duration::from_millis(500);
const LEAVING_HEARD: Duration = Duration::from_secs(2);

/// What targets said to routers, and what these sent them after it.
#[derive(Debug, Default)]
pub struct Withdrawn {
    /// When it was said first, until when it holds, and what was sent meanwhile, by router and target.
    said: HashMap<(usize, usize), Said>,
    /// The most that one router sent to one target within one time that it had asked for.
    pub most_within_backoff: usize,
    /// What was sent to targets by routers that had passed on that they leave.
    pub sent_to_leaving: usize,
    /// What targets turned away that wanted no calls.
    pub shed: usize,
}

#[derive(Debug)]
struct Said {
    at: Instant,
    until: Option<Instant>,
    sent: usize,
}

impl Model {
    /// What is played of it now.
    fn withdrawing(&self) -> Option<Withdrawing> {
        let played = self.load.withdrawing?;
        (played.from..played.until)
            .contains(&self.now.0)
            .then_some(played)
    }

    /// Whether a target turns all calls away.
    pub(super) fn sheds(&self, target: usize) -> bool {
        self.withdrawing().is_some_and(|w| target < w.shedding)
    }

    /// Whether a target says that it leaves.
    pub(super) fn leaves(&self, target: usize) -> bool {
        let leaves = |w: Withdrawing| (w.shedding..w.shedding + w.leaving).contains(&target);
        self.withdrawing().is_some_and(leaves)
    }

    /// A call is sent to a target that may have said something to this router.
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

    /// A router gets an answer of a target that wants no calls.
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

    /// What came of it.
    pub fn withdrawn(&self) -> &Withdrawn {
        &self.withdrawn
    }
}

//! Targets that announce in their responses that they leave, or that they accept no calls for a while.

use std::{collections::HashMap, time::Duration};

use scaleford::{units::Instant, withdrawals::Withdrawal};

use super::{Model, record};

/// Schedule of the targets that accept no calls.
#[derive(Debug, Clone, Copy)]
pub struct WithdrawalSchedule {
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
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Time that the users' rules give a router to stop sending calls to a target that leaves.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Withdrawals that targets announced to routers, and the calls that these routers sent them afterwards.
#[derive(Debug, Default)]
pub struct WithdrawalResults {
    /// Latest withdrawal by router and target.
    received: HashMap<(usize, usize), ReceivedWithdrawal>,
    /// Maximum number of calls that one router sent to one target within one backoff, after `BACKOFF_GRACE`.
    pub most_within_backoff: usize,
    /// Number of calls sent to leaving targets by routers that had learned of it more than `LEAVING_GRACE`
    /// ago.
    pub sent_to_leaving: usize,
    /// Number of calls that shedding targets rejected.
    pub shed: usize,
}

/// A withdrawal that a router received from a target.
#[derive(Debug)]
struct ReceivedWithdrawal {
    /// When the router received it first.
    at: Instant,
    /// When the backoff ends; `None` for a target that leaves.
    until: Option<Instant>,
    /// Number of calls that the router sent to the target within the backoff, after `BACKOFF_GRACE`.
    sent: usize,
}

impl Model {
    /// Returns the schedule if targets withdraw now.
    fn current_withdrawals(&self) -> Option<WithdrawalSchedule> {
        let schedule = self.load.withdrawing?;
        (schedule.from..schedule.until)
            .contains(&self.now.0)
            .then_some(schedule)
    }

    /// Returns whether a target rejects all calls now.
    pub(super) fn rejects_all_calls(&self, target: usize) -> bool {
        self.current_withdrawals()
            .is_some_and(|w| target < w.shedding)
    }

    /// Returns whether a target announces now that it leaves.
    pub(super) fn is_leaving(&self, target: usize) -> bool {
        let is_leaving =
            |w: WithdrawalSchedule| (w.shedding..w.shedding + w.leaving).contains(&target);
        self.current_withdrawals().is_some_and(is_leaving)
    }

    /// Counts a call that a router sends to a target, if the target has withdrawn for this router.
    pub(super) fn record_send_after_withdrawal(&mut self, router: usize, target: usize) {
        let now = self.now;
        let results = &mut self.withdrawal_results;
        let Some(withdrawal) = results.received.get_mut(&(router, target)) else {
            return;
        };
        let after = now.since(withdrawal.at);
        match withdrawal.until {
            None => results.sent_to_leaving += usize::from(after > LEAVING_GRACE),
            Some(until) if now < until && after > BACKOFF_GRACE => {
                withdrawal.sent += 1;
                results.most_within_backoff = results.most_within_backoff.max(withdrawal.sent);
            }
            Some(_) => {}
        }
    }

    /// Handles a response in which a target announces to a router that it accepts no calls.
    pub(super) fn on_withdrawal_response(&mut self, router: usize, target: usize) {
        let now = self.now;
        let schedule = self.load.withdrawing.expect("it is played");
        let withdrawal = match target < schedule.shedding {
            true => Withdrawal::Backoff(schedule.backoff_s.to_string().parse().unwrap()),
            false => Withdrawal::Leaving,
        };
        self.withdrawal_results.shed += usize::from(target < schedule.shedding);
        let until = withdrawal.backoff().map(|b| now + b);
        let received = ReceivedWithdrawal {
            at: now,
            until,
            sent: 0,
        };
        let is_over = |s: &ReceivedWithdrawal| s.until.is_some_and(|until| now >= until);
        let known = self
            .withdrawal_results
            .received
            .entry((router, target))
            .or_insert(received);
        if is_over(known) {
            *known = ReceivedWithdrawal {
                at: now,
                until,
                sent: 0,
            };
        }
        let id = record(target, self.load.slots).id;
        self.routers[router].on_withdrawal(now, &id, withdrawal);
    }

    /// Returns the results for targets that accept no calls.
    pub fn withdrawal_results(&self) -> &WithdrawalResults {
        &self.withdrawal_results
    }
}

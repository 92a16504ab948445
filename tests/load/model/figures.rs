//! Results of calls for each second of a run.

use std::ops::Range;

use scaleford::units::Instant;

use super::{ACCOUNTS, Call, Model, target::Target};

/// Whether a call's first event arrived within the goal, counted from the call's first try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
}

/// Counts for one second of a run.
///
/// Calls and their results count in the second of the call's first try, arrivals at targets in the second
/// in which they were sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Figures {
    pub(super) calls: u64,
    pub(super) in_time: u64,
    pub(super) late: u64,
    /// Calls of each account, and those of them in time.
    pub(super) by_account: [AccountFigures; ACCOUNTS],
    /// Number of answers that began within the goal after the try that they belong to, by the second in
    /// which they began.
    pub(super) answers_in_time: u64,
    /// Number of calls that were refused at their first try.
    pub(super) refused_first: u64,
    /// Number of calls that were refused at their retry.
    pub(super) refused_again: u64,
    /// Number of prompt tokens that targets fetched from other targets.
    pub(super) moved_tokens: u64,
    /// Number of arrivals at targets.
    pub(super) sent: u64,
    /// Number of arrivals at targets that had more than twice the mean number of calls plus three.
    pub(super) sent_above: u64,
    /// Number of arrivals that a full target rejected.
    pub(super) turned_away: u64,
    /// Number of arrivals at targets that were lost and still listed.
    pub(super) sent_to_lost: u64,
}

/// Counts of one account for one second of a run. A call is in time here if its first event arrived within the
/// goal after the try that was answered, because callers that were refused return later than the goal.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AccountFigures {
    pub(super) calls: u64,
    pub(super) in_time: u64,
}

impl Figures {
    fn account_sum(&self, accounts: &Range<usize>, of: impl Fn(&AccountFigures) -> u64) -> u64 {
        self.by_account[accounts.clone()].iter().map(of).sum()
    }
}

impl Model {
    pub(super) fn figures_of(&mut self, call: &Call) -> &mut Figures {
        self.figures_at(call.at)
    }

    pub(super) fn figures_now(&mut self) -> &mut Figures {
        self.figures_at(self.now)
    }

    pub(super) fn figures_at(&mut self, at: Instant) -> &mut Figures {
        let second = at.0.as_secs() as usize;
        if self.figures.len() <= second {
            self.figures.resize(second + 1, Figures::default());
        }
        &mut self.figures[second]
    }

    /// Returns the fraction of the calls first tried within these seconds that had the given outcome.
    pub fn share(&self, seconds: Range<usize>, outcome: Outcome) -> f64 {
        let of = |f: &Figures| match outcome {
            Outcome::InTime => f.in_time,
            Outcome::Late => f.late,
        };
        self.ratio(seconds, of, |f| f.calls)
    }

    /// Returns the fraction of the calls of all accounts except the first one that were answered in time.
    pub fn others_in_time(&self, seconds: Range<usize>) -> f64 {
        self.accounts_in_time(seconds, 1..ACCOUNTS)
    }

    /// Returns the fraction of the calls of these accounts that were answered in time.
    pub fn accounts_in_time(&self, seconds: Range<usize>, accounts: Range<usize>) -> f64 {
        self.ratio(
            seconds,
            |f| f.account_sum(&accounts, |a| a.in_time),
            |f| f.account_sum(&accounts, |a| a.calls),
        )
    }

    /// Returns the number of answers that targets gave within the goal in each of these seconds.
    pub fn answers_in_time(&self, seconds: Range<usize>) -> Vec<u64> {
        let answers = self.figures[seconds].iter().map(|f| f.answers_in_time);
        answers.collect()
    }

    /// Returns the maximum number of calls that arrived at one cold target within a second.
    pub fn most_while_cold(&self) -> usize {
        let most = self.targets.iter().map(Target::most_while_cold);
        most.max().unwrap_or_default()
    }

    /// Returns the mean number of tokens moved between targets per call first tried within these seconds.
    pub fn moved_per_call(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.moved_tokens, |f| f.calls)
    }

    /// Returns the fraction of the arrivals at targets that were not lost which a full target rejected.
    pub fn turned_away(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.turned_away, |f| f.sent - f.sent_to_lost)
    }

    /// Returns the fraction of the arrivals that were at lost targets.
    pub fn sent_to_lost(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.sent_to_lost, |f| f.sent)
    }

    /// Returns the fraction of the arrivals at targets with more calls than twice the service's mean plus
    /// three.
    pub fn sent_above(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.sent_above, |f| f.sent)
    }

    /// Returns the fraction of the callers refused once that were refused again.
    pub fn refused_again(&self) -> f64 {
        self.refused_again_of(0..self.figures.len())
    }

    /// Returns the same fraction for callers whose first try was within these seconds.
    pub fn refused_again_of(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.refused_again, |f| f.refused_first)
    }

    /// Returns the fraction of first tries that were refused in each of these seconds.
    pub fn refused_by_second(&self, seconds: Range<usize>) -> Vec<f64> {
        let share = |f: &Figures| f.refused_first as f64 / f.calls as f64;
        self.figures[seconds].iter().map(share).collect()
    }

    fn ratio(
        &self,
        seconds: Range<usize>,
        part: impl Fn(&Figures) -> u64,
        whole: impl Fn(&Figures) -> u64,
    ) -> f64 {
        let all = &self.figures[seconds];
        all.iter().map(part).sum::<u64>() as f64 / all.iter().map(whole).sum::<u64>() as f64
    }
}

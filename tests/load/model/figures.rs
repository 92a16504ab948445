//! What came of calls, second by second.

use std::ops::Range;

use scaleford::units::Instant;

use super::{Call, Model, target::Target};

/// What came of a call, counted from its first try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
}

/// What happened in one second, by when calls were first tried; what was sent, by when it was.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Figures {
    pub(super) calls: u64,
    pub(super) in_time: u64,
    pub(super) late: u64,
    /// Of all accounts but the first one.
    pub(super) others: u64,
    pub(super) others_in_time: u64,
    pub(super) refused_first: u64,
    pub(super) refused_again: u64,
    pub(super) moved_tokens: u64,
    /// Arrivals at targets.
    pub(super) sent: u64,
    /// Of these, at targets that had more than they may beside the others.
    pub(super) sent_above: u64,
    /// Of these, turned away for want of room.
    pub(super) turned_away: u64,
    /// Of these, at targets that were lost and still listed.
    pub(super) sent_to_lost: u64,
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

    /// The part of the calls first tried within these seconds that came to an outcome.
    pub fn share(&self, seconds: Range<usize>, outcome: Outcome) -> f64 {
        let of = |f: &Figures| match outcome {
            Outcome::InTime => f.in_time,
            Outcome::Late => f.late,
        };
        self.ratio(seconds, of, |f| f.calls)
    }

    /// The part of the calls of all accounts but the first one that were answered in time.
    pub fn others_in_time(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.others_in_time, |f| f.others)
    }

    /// The most calls that arrived at one cold target within a second.
    pub fn most_while_cold(&self) -> usize {
        let most = self.targets.iter().map(Target::most_while_cold);
        most.max().unwrap_or_default()
    }

    /// Tokens that were moved between targets for each call first tried within these seconds.
    pub fn moved_per_call(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.moved_tokens, |f| f.calls)
    }

    /// The part of what arrived at targets that were not lost that they turned away for want of room.
    pub fn turned_away(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.turned_away, |f| f.sent - f.sent_to_lost)
    }

    /// The part of what was sent that met targets which were lost.
    pub fn sent_to_lost(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.sent_to_lost, |f| f.sent)
    }

    /// The part of what arrived at targets that met twice the mean of their service and three calls.
    pub fn sent_above(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.sent_above, |f| f.sent)
    }

    /// The part of the callers that were refused once that were refused twice.
    pub fn refused_again(&self) -> f64 {
        self.refused_again_of(0..self.figures.len())
    }

    /// The same of callers that came first within these seconds.
    pub fn refused_again_of(&self, seconds: Range<usize>) -> f64 {
        self.ratio(seconds, |f| f.refused_again, |f| f.refused_first)
    }

    /// The part of first tries that were refused, in each of these seconds.
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

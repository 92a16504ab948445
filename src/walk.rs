//! In which order a request's targets are tried.
//!
//! First the chat's first choice, whose home knows where else the chat has been. Where that home
//! is not reached, or its target is gone, the next of the rank. Where all known places are full,
//! the first choice's home finds a lightly loaded target, and the request waits there if it must.

use std::collections::VecDeque;

use crate::{conversation::SHARED_ABOVE, ids::TargetId, result_code::ResultCode};

/// How many targets of the rank may be tried.
pub const WALK: usize = 4;

/// What a request may wait for at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Wait {
    /// Nothing.
    #[default]
    Never,
    /// A moment, if its cached work is there.
    ForCache,
    /// Until there is room.
    ForRoom,
}

impl Wait {
    /// The number on the wire.
    pub fn number(self) -> i8 {
        self as i8
    }

    /// What a number on the wire stands for.
    pub fn from_number(n: i8) -> Self {
        match n {
            2 => Self::ForRoom,
            1 => Self::ForCache,
            _ => Self::Never,
        }
    }
}

/// A target to try, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The target.
    pub target: TargetId,
    /// Its place in the chat's rank, from 1; 0 where a home named it.
    pub place: usize,
    /// What the request may wait for there.
    pub wait: Wait,
}

impl Step {
    /// Whether the target's home knows where the chat went, or finds it a place.
    pub fn is_anchor(&self) -> bool {
        self.place == 1
    }
}

/// The way of one request along its targets.
#[derive(Debug, Clone, Default)]
pub struct Walk {
    first: Option<TargetId>,
    plan: VecDeque<Step>,
    tried: Vec<TargetId>,
    full: Option<TargetId>,
}

impl Walk {
    /// A way along these targets, best first.
    pub fn new(ranked: Vec<TargetId>) -> Self {
        let first = ranked.first().cloned();
        let step = |(i, target)| Step {
            target,
            place: i + 1,
            wait: Wait::ForCache,
        };
        Self {
            first,
            plan: ranked.into_iter().enumerate().map(step).collect(),
            ..Self::default()
        }
    }

    /// The next target to try; `None` at the end of the way.
    pub fn next_step(&mut self) -> Option<Step> {
        while let Some(step) = self.plan.pop_front() {
            if step.wait == Wait::ForRoom || !self.tried.contains(&step.target) {
                self.tried.push(step.target.clone());
                return Some(step);
            }
        }
        self.full.take().map(|target| Step {
            target,
            place: 1,
            wait: Wait::ForRoom,
        })
    }

    /// A target did not take the request; its home may have named others to try.
    pub fn on_declined(&mut self, step: &Step, code: ResultCode, redirect: Vec<TargetId>) {
        if code == ResultCode::OverBound && step.place > 0 && step.wait != Wait::ForRoom {
            self.full = Some(step.target.clone());
            self.plan.clear();
        }
        // A chat that moved has its newest prefix at the first; one that is shared, at each.
        let worth = if redirect.len() > SHARED_ABOVE {
            redirect.len() - 1
        } else {
            0
        };
        for (i, target) in redirect.into_iter().enumerate().rev() {
            let wait = match step.wait {
                Wait::ForRoom => Wait::ForRoom,
                _ if i == worth => Wait::ForCache,
                _ => Wait::Never,
            };
            let place = 0;
            self.plan.push_front(Step {
                target,
                place,
                wait,
            });
        }
    }

    /// The first choice, if its home should be told that the request went elsewhere.
    pub fn note_for_first(&self, taken: &Step) -> Option<&TargetId> {
        let first = self.first.as_ref();
        first.filter(|t| taken.place > 0 && **t != taken.target)
    }
}

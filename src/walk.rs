//! In which order a request's targets are tried: along the chat's rank, to where a home says the
//! chat's cached work lies, and at last a wait at the best one that was full.

use std::collections::VecDeque;

use crate::{ids::TargetId, result_code::ResultCode};

/// How many targets are tried before the request waits at one.
pub const WALK: usize = 8;

/// A target to try, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The target.
    pub target: TargetId,
    /// Its place in the chat's rank, from 1; 0 where a home named it.
    pub place: usize,
    /// Whether the request may wait there.
    pub may_queue: bool,
}

impl Step {
    /// Whether the target is the chat's first choice, whose home knows where the chat went.
    pub fn is_anchor(&self) -> bool {
        self.place == 1 && !self.may_queue
    }
}

/// The way of one request along its targets.
#[derive(Debug, Clone)]
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
            may_queue: false,
        };
        Self {
            first,
            plan: ranked.into_iter().enumerate().map(step).collect(),
            tried: Vec::new(),
            full: None,
        }
    }

    /// The next target to try; `None` at the end of the way.
    pub fn next_step(&mut self) -> Option<Step> {
        while let Some(step) = self.plan.pop_front() {
            if !self.tried.contains(&step.target) {
                self.tried.push(step.target.clone());
                return Some(step);
            }
        }
        self.full.take().map(|target| Step {
            target,
            place: 1,
            may_queue: true,
        })
    }

    /// A target did not take the request.
    pub fn on_declined(&mut self, step: &Step, code: ResultCode, redirect: Option<TargetId>) {
        if code == ResultCode::OverBound && step.place > 0 && self.full.is_none() {
            self.full = Some(step.target.clone());
        }
        if let Some(target) = redirect {
            let (place, may_queue) = (0, false);
            self.plan.push_front(Step { target, place, may_queue });
        }
    }

    /// The first choice, if its home should be told that the request went elsewhere.
    pub fn note_for_first(&self, taken: &Step) -> Option<&TargetId> {
        let first = self.first.as_ref();
        first.filter(|t| taken.place > 0 && **t != taken.target)
    }
}

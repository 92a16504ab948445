//! Why a call went where it did: a bounded ring of small records.

use std::{cell::RefCell, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{TargetId, VmId},
    result_code::ResultCode,
};

/// One decision on a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Decision {
    /// It came in.
    Received {
        /// The account that sent it.
        account: String,
        /// What it asks for.
        pool: String,
    },
    /// It was sent to a target.
    Tried {
        /// The target.
        target: TargetId,
        /// Calls there before it.
        calls: u32,
        /// Tokens of its prompt that the target had yet to read.
        missing: u64,
    },
    /// The target did not answer it.
    Failed {
        /// The target.
        target: TargetId,
        /// Why.
        why: String,
    },
    /// The target answered.
    Answered {
        /// The target.
        target: TargetId,
    },
    /// It ended.
    Ended {
        /// With which code; 0 with a target's answer.
        code: u16,
        /// Why, where it was not served.
        why: String,
    },
}

impl Decision {
    /// The decision as a sentence.
    pub fn sentence(&self) -> String {
        match self {
            Self::Received { account, pool } => format!("{account} asked for {pool}."),
            Self::Tried {
                target,
                calls,
                missing,
            } => format!(
                "{target} was chosen, with {calls} calls and {missing} prompt tokens to read."
            ),
            Self::Failed { target, why } => format!("{target} did not answer: {why}."),
            Self::Answered { target } => format!("{target} answered."),
            Self::Ended { code: 0, .. } => "The answer was passed on.".to_owned(),
            Self::Ended { code, why } => {
                let name = ResultCode::from_number((*code).into());
                let name = name.map_or_else(|| "an unknown code".to_owned(), |c| c.to_string());
                format!("It ended with {name}: {why}.")
            }
        }
    }
}

/// A decision with its time and call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Milliseconds of the time of day, which orders records of several routers about.
    pub at_ms: u64,
    /// The router that decided.
    pub vm: VmId,
    /// The call.
    pub request: String,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
    /// The same as a sentence.
    pub sentence: String,
}

/// A router's recent decisions.
#[derive(Debug)]
pub struct ExplainRing {
    kept: usize,
    records: RefCell<VecDeque<(u64, String, Decision)>>,
}

impl ExplainRing {
    /// A ring of so many decisions; of none, it keeps nothing.
    pub fn new(kept: usize) -> Self {
        Self {
            kept,
            records: RefCell::default(),
        }
    }

    /// Keeps a decision; the oldest goes where the ring is full.
    pub fn record(&self, at_ms: u64, call: &str, decision: impl FnOnce() -> Decision) {
        if self.kept == 0 {
            return;
        }
        let mut records = self.records.borrow_mut();
        if records.len() == self.kept {
            records.pop_front();
        }
        records.push_back((at_ms, call.to_owned(), decision()));
    }

    /// All that is kept of a call, in order.
    pub fn of(&self, vm: &VmId, call: &str) -> Vec<DecisionRecord> {
        let records = self.records.borrow();
        let of_call = records.iter().filter(|(_, id, _)| id == call);
        let record = |(at_ms, request, decision): &(u64, String, Decision)| DecisionRecord {
            at_ms: *at_ms,
            vm: vm.clone(),
            request: request.clone(),
            sentence: decision.sentence(),
            decision: decision.clone(),
        };
        of_call.map(record).collect()
    }
}

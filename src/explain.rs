//! Explains how calls were routed: a bounded ring buffer of small records.

use std::{cell::RefCell, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{TargetId, VmId},
    result_code::ResultCode,
    units::Rank,
};

/// One decision on a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Decision {
    /// The call was received.
    Received {
        /// Account that sent the call.
        account: String,
        /// Service that the call is routed to.
        pool: String,
    },
    /// The call's pool was contended, and a fraction of the calls of its claim was admitted.
    Divided {
        /// Account that sent the call; empty if it had no key.
        account: String,
        /// Urgency of the call.
        rank: Rank,
        /// Whether its caller was refused before and has returned.
        returning: bool,
        /// Fraction of the claim's calls that was admitted.
        fraction: f64,
        /// The call's draw, from 0 to 1; a call is admitted if it is below the fraction.
        draw: f64,
        /// Whether the call was admitted.
        admitted: bool,
    },
    /// A target was chosen for the call.
    Tried {
        /// The target.
        target: TargetId,
        /// Number of calls in progress at the target before this one.
        calls: u32,
        /// Number of prompt tokens that the target had yet to read.
        missing: u64,
    },
    /// The target did not answer the call.
    Failed {
        /// The target.
        target: TargetId,
        /// Reason of the failure.
        why: String,
    },
    /// The target answered.
    Answered {
        /// The target.
        target: TargetId,
    },
    /// The call ended.
    Ended {
        /// Number of the result code; 0 if a target's answer was passed on.
        code: u16,
        /// Reason why the call was not served, if so.
        why: String,
    },
}

impl Decision {
    /// Returns the decision as a sentence.
    pub fn sentence(&self) -> String {
        match self {
            Self::Received { account, pool } => format!("{account} asked for {pool}."),
            Self::Divided {
                account,
                rank,
                returning,
                fraction,
                draw,
                admitted,
            } => {
                let calls = if *returning {
                    "returning calls"
                } else {
                    "calls"
                };
                let account = match account.as_str() {
                    "" => "without an account",
                    account => &format!("of {account}"),
                };
                let verdict = if *admitted {
                    "was admitted"
                } else {
                    "was refused"
                };
                format!(
                    "The pool was contended: of the {calls} {account} with rank {rank}, a fraction of {fraction:.3} was admitted; this one drew {draw:.3} and {verdict}."
                )
            }
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

/// A decision with its time, router and call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Unix time in milliseconds, which orders the records of several routers approximately.
    pub at_ms: u64,
    /// Router that made the decision.
    pub vm: VmId,
    /// Id of the call.
    pub request: String,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
    /// The decision as a sentence.
    pub sentence: String,
}

/// Recent decisions of one router.
#[derive(Debug)]
pub struct ExplainRing {
    /// Maximum number of decisions that are kept.
    capacity: usize,
    records: RefCell<VecDeque<(u64, String, Decision)>>,
}

impl ExplainRing {
    /// Creates a ring of at most `capacity` decisions; with 0, nothing is recorded.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            records: RefCell::default(),
        }
    }

    /// Records a decision, and removes the oldest one if the ring is full.
    pub fn record(&self, at_ms: u64, call: &str, decision: impl FnOnce() -> Decision) {
        if self.capacity == 0 {
            return;
        }
        let mut records = self.records.borrow_mut();
        if records.len() == self.capacity {
            records.pop_front();
        }
        records.push_back((at_ms, call.to_owned(), decision()));
    }

    /// Returns the recorded decisions on a call, in order.
    pub fn decisions_on(&self, vm: &VmId, call: &str) -> Vec<DecisionRecord> {
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

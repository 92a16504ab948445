//! Why a request went where it did: a bounded ring of small records.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{RequestId, TargetId, VmId},
    result_code::ResultCode,
};

/// Records that a router keeps.
const RING: usize = 16_384;

/// One decision on a request.
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
    /// A target was tried.
    Tried {
        /// The target.
        target: TargetId,
        /// Its home router.
        home: VmId,
        /// Its place in the chat's rank, from 1; 0 where a home named it.
        place: usize,
    },
    /// The home did not take it.
    Declined {
        /// The target.
        target: TargetId,
        /// Why.
        code: u16,
        /// What happened.
        detail: String,
    },
    /// The home admitted it.
    Admitted {
        /// The target.
        target: TargetId,
        /// Whether it had to wait.
        waited_ms: u64,
    },
    /// The target's answer began.
    Answered {
        /// The target.
        target: TargetId,
        /// The HTTP status.
        status: u16,
    },
    /// It ended without an answer.
    Ended {
        /// Why.
        code: u16,
        /// What happened.
        detail: String,
    },
}

impl Decision {
    /// The decision as a sentence.
    pub fn sentence(&self) -> String {
        let name = |code: &u16| {
            let code = ResultCode::from_number((*code).into());
            code.map_or_else(|| "an unknown code".to_owned(), |c| c.to_string())
        };
        match self {
            Self::Received { account, pool } => format!("{account} asked for {pool}."),
            Self::Tried {
                target,
                home,
                place: 0,
            } => {
                format!("A home named {target}, kept by {home}, as holding the chat's cache.")
            }
            Self::Tried {
                target,
                home,
                place,
            } => {
                format!("{target}, kept by {home}, was tried as choice {place}.")
            }
            Self::Declined {
                target,
                code,
                detail,
            } => {
                format!("{target} did not take it: {} {detail}", name(code))
            }
            Self::Admitted {
                target,
                waited_ms: 0,
            } => format!("{target} took it at once."),
            Self::Admitted { target, waited_ms } => {
                format!("{target} took it after {waited_ms} ms in its queue.")
            }
            Self::Answered { target, status } => format!("{target} answered with {status}."),
            Self::Ended { code, detail } => format!("It ended with {}. {detail}", name(code)),
        }
    }
}

/// A decision with its time and request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Milliseconds of the wall clock.
    pub at_ms: u64,
    /// The router that decided.
    pub vm: VmId,
    /// The request.
    #[serde(with = "crate::ids::request_text")]
    pub request: RequestId,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
    /// The same as a sentence.
    pub sentence: String,
}

/// A router's recent decisions.
#[derive(Debug, Default)]
pub struct ExplainRing {
    records: Mutex<VecDeque<(u64, RequestId, Decision)>>,
}

impl ExplainRing {
    /// Keeps a decision; the oldest goes where the ring is full.
    pub fn record(&self, at_ms: u64, request: RequestId, decision: Decision) {
        let mut records = self.records.lock();
        if records.len() == RING {
            records.pop_front();
        }
        records.push_back((at_ms, request, decision));
    }

    /// All that is kept of a request, in order.
    pub fn of(&self, vm: &VmId, request: RequestId) -> Vec<DecisionRecord> {
        let records = self.records.lock();
        records
            .iter()
            .filter(|(_, r, _)| *r == request)
            .map(|(at_ms, request, decision)| DecisionRecord {
                at_ms: *at_ms,
                vm: vm.clone(),
                request: *request,
                sentence: decision.sentence(),
                decision: decision.clone(),
            })
            .collect()
    }
}

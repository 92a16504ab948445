//! What a home is asked, and what it answers.

use std::time::Duration;

use crate::{
    ids::{ConversationKey, TargetId},
    result_code::ResultCode,
    units::{Instant, Priority, Tokens},
    walk::Wait,
};

/// A request's place in a home's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks to run at a target.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Its place in the account.
    pub ticket: Ticket,
    /// The tokens that it will hold.
    pub cost: Tokens,
    /// How urgent it is.
    pub priority: Priority,
    /// When it is of no use any more.
    pub deadline: Instant,
    /// The chat it belongs to.
    pub conversation: ConversationKey,
    /// Whether this target is the chat's first choice, whose home knows where the chat went.
    pub anchor: bool,
    /// What it may wait for here.
    pub wait: Wait,
}

/// The answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Admitted,
    /// It waits; a [`Wake`] will say what became of it.
    Queued,
    /// It does not run here.
    Declined {
        /// Why.
        code: ResultCode,
        /// Where to try next: where the chat's cached work lies, or where there is room.
        redirect: Vec<TargetId>,
    },
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// It runs now.
    Admitted(Ticket),
    /// It does not run: its deadline passed, or more urgent ones filled the queue.
    Refused(Ticket, ResultCode),
}

/// What a target says of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// Tokens in progress, whoever sent them.
    pub tokens: Tokens,
    /// How old the figure is at the least.
    pub lag: Duration,
}

//! What a call has got at a target.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::warm_up::Warmth,
    discovery::TargetRecord,
    health::Standing,
    ids::ServiceName,
    target_counts::InProgress,
    units::{Instant, Tokens},
};

/// A call's place at a target, and what decided it.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The target.
    pub target: Rc<TargetRecord>,
    /// What the call adds to the target's load.
    pub work: InProgress,
    /// Tokens of the answer, which stay work once the prompt is read.
    pub answer: Tokens,
    /// Calls at the target before this one.
    pub calls: u32,
    /// Targets that were weighed.
    pub weighed: usize,
    /// How old the counts of others' calls were, on average.
    pub counted_ago: Duration,
    /// Tokens of the prompt that the target has yet to read.
    pub missing: Tokens,
    /// Whether the target was taken to have read the deepest shared part of the prompt.
    pub holds: bool,
    /// The target from whose memory the prompt is taken, where that saves reading.
    pub fetch_from: Option<Rc<TargetRecord>>,
    /// What was believed of the target's health.
    pub standing: Standing,
    /// Whether the target was cold.
    pub warmth: Warmth,
    /// The service that was asked for.
    pub(crate) service: ServiceName,
    /// Since when it holds a slot, as far as that is known; `None` where it waits for one first.
    pub(crate) slot_since: Option<Instant>,
}

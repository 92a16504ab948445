//! The place that a call was assigned at a target.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::warm_up::Warmth,
    discovery::TargetRecord,
    health::HealthStatus,
    ids::ServiceName,
    placement::choice::{RUNNING_CALL_TOKENS, TargetView, UNREAD_TOKEN_WEIGHT},
    prompt_cache::PromptPart,
    target_counts::InProgress,
    target_speed::TimeFactor,
    units::{Instant, Tokens},
};

/// A call's place at a target, and what decided the choice.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The chosen target.
    pub target: Rc<TargetRecord>,
    /// Work that the call adds to the target's load.
    pub work: InProgress,
    /// Tokens of the answer, which still count as work once the prompt is read.
    pub answer: Tokens,
    /// Number of calls at the target before this one.
    pub calls: u32,
    /// Number of targets that were scored.
    pub scored_targets: usize,
    /// Average age of the counts of other routers' calls.
    pub counted_ago: Duration,
    /// Tokens of the prompt that the target still has to read.
    pub missing: Tokens,
    /// Whether the target was assumed to have read the deepest shared part of the prompt.
    pub has_read: bool,
    /// Target from whose memory the prompt is copied, if that saves reading.
    pub fetch_from: Option<Rc<TargetRecord>>,
    /// Health of the target as estimated when it was chosen.
    pub health_status: HealthStatus,
    /// How far the target had warmed up.
    pub warmth: Warmth,
    /// Factor on the usual time of work that the target was expected to need.
    pub time_factor: TimeFactor,
    /// The service that was requested.
    pub(crate) service: ServiceName,
    /// When the call was sent.
    pub(crate) sent_at: Instant,
    /// Time since which the call holds a slot; `None` while it may still wait for one.
    pub(crate) slot_since: Option<Instant>,
    /// What the target's speed is measured by; `None` if the call does not count or was counted.
    pub(crate) timing: Option<CallTiming>,
    /// Prompt that the target counts as having read once the answer begins; `None` if it does already.
    pub(crate) unread: Option<SentPrompt>,
}

/// Prompt that was sent to a target.
#[derive(Debug, Clone)]
pub(crate) struct SentPrompt {
    pub(crate) parts: Vec<PromptPart>,
    /// Number of leading parts that peers are told of.
    pub(crate) announced: usize,
    /// Size of the target's memory in tokens.
    pub(crate) memory: u64,
}

/// Start of a call whose time to the first event, or to its answer, tells the speed of its target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallTiming {
    /// When the call was sent.
    pub(crate) since: Instant,
    /// Work before the first event, by the weights that placement uses.
    pub(crate) work: f64,
}

impl CallTiming {
    /// Returns the start of a call that finds a slot free and copies no part of its prompt; `None` for other
    /// calls, because they wait for the target's queue or for another target.
    pub(crate) fn new(now: Instant, view: &TargetView) -> Option<Self> {
        let calls = view.counts.all();
        let work =
            view.missing.0 as f64 * UNREAD_TOKEN_WEIGHT + f64::from(calls) * RUNNING_CALL_TOKENS;
        let is_measured = calls < view.slots && view.fetchable == Tokens(0);
        is_measured.then_some(Self { since: now, work })
    }
}

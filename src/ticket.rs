//! The place that a call was assigned at a target.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::warm_up::Warmth,
    discovery::TargetRecord,
    health::HealthStatus,
    ids::ServiceName,
    target_counts::InProgress,
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
    /// The service that was requested.
    pub(crate) service: ServiceName,
    /// When the call was sent.
    pub(crate) sent_at: Instant,
    /// Time since which the call holds a slot; `None` while it may still wait for one.
    pub(crate) slot_since: Option<Instant>,
}

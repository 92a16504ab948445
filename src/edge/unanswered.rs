//! Calls that end with neither a complete answer nor a refusal: the stage that they had reached, and who
//! ended them.

use std::{cell::Cell, rc::Rc};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Stage of a call, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallStage {
    /// The body of the request is being read.
    #[default]
    Reading,
    /// The request is complete; a configuration, the origin of a stream or a claim is waited for.
    Waiting,
    /// A target is being chosen and connected to.
    Placing,
    /// The request was sent to a target.
    Sent,
    /// The answer to the caller has begun.
    Answering,
}

impl CallStage {
    /// Returns the name for the log and the metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Placing => "placing",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// The furthest stage that a call has reached, shared by everything that moves it on.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallProgress(Rc<Cell<CallStage>>);

impl CallProgress {
    /// Records that the call has reached a stage.
    pub(crate) fn reach(&self, stage: CallStage) {
        self.0.set(self.0.get().max(stage));
    }

    /// Returns the furthest stage so far.
    pub(crate) fn stage(&self) -> CallStage {
        self.0.get()
    }
}

/// What ended a call that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndedBy {
    /// The caller closed its connection, or it broke.
    Caller,
    /// This router closed the caller's connection.
    Router,
    /// The answer broke off at the target, and nothing continued it.
    Answer,
    /// A task of the call panicked.
    Panic,
}

impl EndedBy {
    /// Returns the name for the log and the metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Router => "router",
            Self::Answer => "answer",
            Self::Panic => "panic",
        }
    }
}

/// Label for calls that were not answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnansweredLabel {
    stage: &'static str,
    ended_by: &'static str,
}

/// Metrics of calls that were not answered.
#[derive(Debug, Default)]
pub(crate) struct UnansweredMetrics {
    calls: Family<UnansweredLabel, Counter>,
    pub(super) task_panics: Counter,
}

impl UnansweredMetrics {
    pub(super) fn register(&self, r: &mut Registry) {
        r.register(
            "calls_unanswered",
            "Calls that ended with neither a complete answer nor a refusal, by stage and by what ended them",
            self.calls.clone(),
        );
        r.register(
            "task_panics",
            "Tasks of callers' connections and answers that panicked",
            self.task_panics.clone(),
        );
    }

    /// Counts a call that was not answered.
    pub(super) fn on_end(&self, stage: CallStage, ended_by: EndedBy) {
        let label = UnansweredLabel {
            stage: stage.name(),
            ended_by: ended_by.name(),
        };
        self.calls.get_or_create(&label).inc();
    }
}

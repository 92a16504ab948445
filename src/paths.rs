//! Network paths from this router to targets.
//!
//! A target that does not answer one router may be down, or that router may be cut off from it. What
//! tells the two apart is when this router last reached the target, and whether it reaches any other.

use rustc_hash::FxHashMap;

use crate::{ids::TargetId, units::Instant};

/// What this router knows of its path to one target.
#[derive(Debug, Clone, Copy, Default)]
struct Path {
    /// When a connection last opened, or bytes last arrived.
    reached_at: Option<Instant>,
    /// When a connection could last not be opened.
    failed_at: Option<Instant>,
}

impl Path {
    /// Returns whether no connection could be opened since the target was last reached.
    fn is_failing(self) -> bool {
        self.failed_at > self.reached_at
    }
}

/// Paths to all targets that calls were sent to.
#[derive(Debug, Default)]
pub struct TargetPaths {
    by_target: FxHashMap<TargetId, Path>,
    reached_at: Option<Instant>,
}

impl TargetPaths {
    /// Records that a connection to a target opened, or that bytes arrived from it.
    pub fn on_reached(&mut self, now: Instant, target: &TargetId) {
        self.reached_at = Some(now);
        self.by_target.entry(target.clone()).or_default().reached_at = Some(now);
    }

    /// Records that no connection to a target could be opened.
    pub fn on_not_reached(&mut self, now: Instant, target: &TargetId) {
        self.by_target.entry(target.clone()).or_default().failed_at = Some(now);
    }

    /// Returns when this router last reached a target.
    pub fn reached_at(&self, target: &TargetId) -> Option<Instant> {
        self.by_target.get(target)?.reached_at
    }

    /// Returns when this router last reached any target.
    pub fn any_reached_at(&self) -> Option<Instant> {
        self.reached_at
    }

    /// Returns the number of targets that could not be reached since they last were.
    pub fn failing_count(&self) -> usize {
        self.by_target.values().filter(|p| p.is_failing()).count()
    }

    /// Drops what is known of targets that are not listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|id, _| listed(id));
    }
}

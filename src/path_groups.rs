//! Targets whose network paths are likely to fail together, so that what happens to some of them tells
//! something of the others ([`crate::paths`]).

use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::{
    discovery::TargetRecord,
    ids::{DataHall, ServiceName, TargetId},
    units::Instant,
};

/// Number of targets of a group that can't be reached, one after the other, at which the others are not trusted
/// either.
pub(crate) const MIN_FAILING_TARGETS: usize = 2;

/// Time for which calls prefer other targets to one that neither this router nor a peer reached.
pub(crate) const OUT_OF_REACH_FOR: Duration = Duration::from_secs(1);

/// A group of targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PathGroup {
    All,
    Hall(DataHall),
    Service(ServiceName),
}

impl PathGroup {
    /// Returns the groups of a target.
    pub(crate) fn of(target: &TargetRecord) -> [Self; 3] {
        [
            Self::All,
            Self::Hall(target.data_hall.clone()),
            Self::Service(target.service.clone()),
        ]
    }
}

/// What is known of the paths to the targets of a group.
#[derive(Debug, Default)]
pub(crate) struct GroupState {
    /// When a target of the group was last reached.
    pub(crate) reached_at: Option<Instant>,
    /// Targets whose paths fail.
    failing: FxHashSet<TargetId>,
    /// Targets whose paths began to fail since one of the group was last reached.
    failing_in_row: FxHashSet<TargetId>,
    /// Since when paths of the group are not trusted unless they were seen to work later.
    pub(crate) doubted_since: Option<Instant>,
    /// Targets that peers did not reach either.
    out_of_reach: OutOfReach,
}

impl GroupState {
    /// Records that a target of the group was reached.
    pub(crate) fn on_reached(&mut self, now: Instant) {
        self.reached_at = Some(now);
        self.failing_in_row.clear();
        self.doubted_since = None;
        self.out_of_reach = OutOfReach::default();
    }

    /// Records that the path to a target began to fail.
    pub(crate) fn on_failing(&mut self, now: Instant, target: &TargetId) {
        self.failing.insert(target.clone());
        self.failing_in_row.insert(target.clone());
        if self.failing_in_row.len() >= MIN_FAILING_TARGETS {
            self.doubted_since.get_or_insert(now);
        }
    }

    /// Drops a target whose path works, or that fails for a reason of its own.
    pub(crate) fn remove(&mut self, target: &TargetId) {
        self.failing.remove(target);
        self.failing_in_row.remove(target);
        self.end_doubt_if_unfounded();
    }

    /// Records that neither this router nor a peer reached a target.
    pub(crate) fn on_out_of_reach(&mut self, now: Instant, target: &TargetId) {
        let unreached = &mut self.out_of_reach;
        unreached.targets.insert(target.clone());
        unreached.since.get_or_insert(now);
        if unreached.targets.len() >= MIN_FAILING_TARGETS {
            unreached.until = Some(now + OUT_OF_REACH_FOR);
        }
    }

    /// Records that a peer reached a target of the group.
    pub(crate) fn on_relayed(&mut self) {
        self.out_of_reach = OutOfReach::default();
    }

    /// Returns whether the path to a target that was last reached at `reached_at` is not trusted.
    pub(crate) fn doubts(&self, reached_at: Option<Instant>) -> bool {
        (self.doubted_since).is_some_and(|since| reached_at < Some(since))
    }

    /// Returns whether a target that was last reached at `reached_at` is expected to be out of reach.
    pub(crate) fn is_out_of_reach(&self, now: Instant, reached_at: Option<Instant>) -> bool {
        let unreached = &self.out_of_reach;
        unreached.until.is_some_and(|until| now < until) && reached_at < unreached.since
    }

    /// Returns the number of targets whose paths fail.
    pub(crate) fn failing_count(&self) -> usize {
        self.failing.len()
    }

    /// Drops targets that are not listed.
    pub(crate) fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.failing.retain(&listed);
        self.failing_in_row.retain(&listed);
        self.out_of_reach.targets.retain(&listed);
        self.end_doubt_if_unfounded();
    }

    fn end_doubt_if_unfounded(&mut self) {
        if self.failing_in_row.len() < MIN_FAILING_TARGETS {
            self.doubted_since = None;
        }
    }
}

/// Targets of a group that neither this router nor a peer reached since one of the group was last reached.
#[derive(Debug, Default)]
struct OutOfReach {
    targets: FxHashSet<TargetId>,
    since: Option<Instant>,
    /// End of the time in which no other target of the group is expected to be reached.
    until: Option<Instant>,
}

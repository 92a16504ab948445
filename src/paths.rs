//! Network paths from this router to targets.
//!
//! A target that does not answer one router may be down, or that router may be cut off from it. A
//! router alone can't tell, so a failure counts against the target only once a peer that reaches other
//! targets fails there too. Until then calls for the target pass through a peer ([`crate::relays`]),
//! and the path is checked again and again by opening a connection.
//!
//! A router that is cut off from one target is often cut off from others. After two targets of a data
//! hall, of a service or of all could not be reached and nothing was heard from the rest, their paths
//! are not trusted either until they were checked.

use std::time::Duration;

use rand::Rng;
use rustc_hash::FxHashMap;

use crate::{
    discovery::TargetRecord,
    ids::TargetId,
    path_groups::{GroupState, MIN_FAILING_TARGETS, OUT_OF_REACH_FOR, PathGroup},
    units::Instant,
};

/// Mean interval between two checks of a path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a path is checked after a call last needed it.
const WANTED_FOR: Duration = Duration::from_secs(5);

/// Silence of all targets after which a failure at one has others checked.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Maximum number of paths that are checked at the same time.
const MAX_CHECKS: usize = 8;

/// Maximum age of a sign that this router reaches targets, for its word that another target is down.
const SOUND_FOR: Duration = Duration::from_secs(1);

/// Time after the start of a doubt by when checks of other paths have succeeded, if any of them works.
const CHECKED_AFTER: Duration = Duration::from_millis(300);

/// Whether a router reaches targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Soundness {
    /// It reached one a moment ago.
    Sound,
    /// It reaches none.
    CutOff,
    /// It has to check.
    Unknown,
}

/// How a connection to a target is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through a peer.
    ThroughPeer,
}

/// What is known of the path to one target.
#[derive(Debug, Clone, Copy, Default)]
struct Path {
    /// When a connection last opened.
    opened_at: Option<Instant>,
    /// When bytes last arrived.
    heard_at: Option<Instant>,
    /// When a connection could last not be opened.
    failed_at: Option<Instant>,
    /// Whether peers could not reach the target either, and no router is known to have reached it since.
    is_target_down: bool,
    /// End of the time in which peers are not expected to reach the target either.
    out_of_reach_until: Option<Instant>,
}

impl Path {
    fn reached_at(self) -> Option<Instant> {
        self.opened_at.max(self.heard_at)
    }

    /// Returns whether connections can't be opened, and that is not known to be the target's fault.
    fn is_failing(self) -> bool {
        self.failed_at > self.opened_at && !self.is_target_down
    }
}

/// Schedule of the checks of one path.
#[derive(Debug, Clone, Copy)]
struct Check {
    due: Instant,
    wanted_at: Instant,
    is_running: bool,
}

/// Paths to all targets that calls were sent to.
#[derive(Debug, Default)]
pub struct TargetPaths {
    by_target: FxHashMap<TargetId, Path>,
    groups: FxHashMap<PathGroup, GroupState>,
    /// End of the time in which some target is out of reach.
    some_out_of_reach_until: Option<Instant>,
    checks: FxHashMap<TargetId, Check>,
}

impl TargetPaths {
    /// Records that a connection to a target opened. Returns whether its path failed until now.
    pub fn on_opened(&mut self, now: Instant, target: &TargetRecord) -> bool {
        let path = self.by_target.entry(target.id.clone()).or_default();
        let was_failing = path.is_failing();
        path.opened_at = Some(now);
        path.is_target_down = false;
        path.out_of_reach_until = None;
        self.checks.remove(&target.id);
        self.on_sign_of_life(now, target);
        for group in PathGroup::of(target) {
            if let Some(state) = self.groups.get_mut(&group) {
                state.remove(&target.id);
            }
        }
        was_failing
    }

    /// Records that bytes arrived from a target over a direct connection.
    pub fn on_heard(&mut self, now: Instant, target: &TargetRecord) {
        self.by_target
            .entry(target.id.clone())
            .or_default()
            .heard_at = Some(now);
        self.on_sign_of_life(now, target);
    }

    fn on_sign_of_life(&mut self, now: Instant, target: &TargetRecord) {
        for group in PathGroup::of(target) {
            let state = self.groups.entry(group).or_default();
            state.on_reached(now);
        }
    }

    /// Records that no connection to a target could be opened. Returns whether its path worked until
    /// now. A target that is down stays so.
    pub fn on_not_reached(&mut self, now: Instant, target: &TargetRecord) -> bool {
        let path = self.by_target.entry(target.id.clone()).or_default();
        let was_failing = path.is_failing();
        path.failed_at = Some(now);
        if path.is_target_down {
            return false;
        }
        self.repeat_check(now, &target.id);
        // A path that still fails is no reason to doubt others that were seen to work meanwhile.
        if was_failing {
            return false;
        }
        self.add_failing(now, target);
        if self.is_quiet(now) {
            self.check_others(now, &target.id);
        }
        true
    }

    fn add_failing(&mut self, now: Instant, target: &TargetRecord) {
        for group in PathGroup::of(target) {
            let state = self.groups.entry(group).or_default();
            state.on_failing(now, &target.id);
        }
    }

    /// Records that peers that reach other targets could not reach this one either. Returns whether that is
    /// new.
    pub fn on_peer_failed(&mut self, target: &TargetRecord) -> bool {
        let path = self.by_target.entry(target.id.clone()).or_default();
        let is_new = !std::mem::replace(&mut path.is_target_down, true);
        self.checks.remove(&target.id);
        for group in PathGroup::of(target) {
            if let Some(state) = self.groups.get_mut(&group) {
                state.remove(&target.id);
            }
        }
        is_new
    }

    /// Records that a peer reached a target, so that it is not the target that fails.
    pub fn on_relayed(&mut self, now: Instant, target: &TargetRecord) {
        let path = self.by_target.entry(target.id.clone()).or_default();
        path.out_of_reach_until = None;
        if std::mem::take(&mut path.is_target_down) && path.is_failing() {
            self.add_failing(now, target);
        }
        for group in PathGroup::of(target) {
            if let Some(state) = self.groups.get_mut(&group) {
                state.on_relayed();
            }
        }
    }

    /// Records that neither this router nor a peer that it asked reached a target. After two of a group, others
    /// of it that were not reached since are not expected to be reached either. Returns whether this is new.
    pub fn on_out_of_reach(&mut self, now: Instant, target: &TargetRecord) -> bool {
        let is_new = !self.is_out_of_reach(now, target);
        let until = Some(now + OUT_OF_REACH_FOR);
        self.some_out_of_reach_until = until;
        let path = self.by_target.entry(target.id.clone()).or_default();
        path.out_of_reach_until = until;
        for group in PathGroup::of(target) {
            let state = self.groups.entry(group).or_default();
            state.on_out_of_reach(now, &target.id);
        }
        is_new
    }

    /// Returns whether calls had better go to other targets, as neither this router nor a peer is expected to
    /// reach this one.
    pub fn is_out_of_reach(&self, now: Instant, target: &TargetRecord) -> bool {
        if (self.some_out_of_reach_until).is_none_or(|until| now >= until) {
            return false;
        }
        let path = self.by_target.get(&target.id).copied().unwrap_or_default();
        let groups = PathGroup::of(target);
        let mut states = groups.iter().filter_map(|g| self.groups.get(g));
        path.out_of_reach_until.is_some_and(|until| now < until)
            || states.any(|s| s.is_out_of_reach(now, path.reached_at()))
    }

    /// Has the path to a target that owes answers checked.
    pub fn on_stall(&mut self, now: Instant, target: &TargetId) {
        self.want_check(now, target, now);
    }

    /// Returns how a call's connection to a target is to be opened. A path that is not trusted is
    /// checked from now on.
    pub fn route(&mut self, now: Instant, target: &TargetRecord) -> Route {
        if self.is_trusted(target) {
            return Route::Direct;
        }
        let is_scheduled = self.is_failing(&target.id) && self.checks.contains_key(&target.id);
        let due = if is_scheduled {
            now + CHECK_INTERVAL
        } else {
            now
        };
        self.want_check(now, &target.id, due);
        Route::ThroughPeer
    }

    /// Returns whether connections to the target are expected to open.
    pub fn is_trusted(&self, target: &TargetRecord) -> bool {
        let path = self.by_target.get(&target.id).copied().unwrap_or_default();
        !path.is_failing() && !self.is_presumed_lost(target, path.reached_at())
    }

    /// Returns whether a direct connection that is open and idle may carry a call: the path is trusted,
    /// or bytes arrived from the target after connections could no longer be opened.
    pub fn is_idle_conn_trusted(&self, target: &TargetRecord) -> bool {
        let path = self.by_target.get(&target.id).copied().unwrap_or_default();
        self.is_trusted(target) || (path.is_failing() && path.heard_at > path.failed_at)
    }

    fn is_presumed_lost(&self, target: &TargetRecord, reached_at: Option<Instant>) -> bool {
        let groups = PathGroup::of(target);
        let mut states = groups.iter().filter_map(|g| self.groups.get(g));
        states.any(|s| s.doubts(reached_at))
    }

    /// Returns whether this router may be cut off from all targets.
    pub fn is_cut_off(&self) -> bool {
        let all = self.groups.get(&PathGroup::All);
        all.is_some_and(|state| state.doubted_since.is_some())
    }

    /// Returns whether this router reaches targets, as far as that is known without a check.
    pub fn soundness(&self, now: Instant) -> Soundness {
        let doubted_since = self
            .groups
            .get(&PathGroup::All)
            .and_then(|g| g.doubted_since);
        let reached = self.any_reached_at();
        match doubted_since {
            Some(since) if now.since(since) >= CHECKED_AFTER => Soundness::CutOff,
            None if reached.is_some_and(|at| now.since(at) < SOUND_FOR) => Soundness::Sound,
            _ => Soundness::Unknown,
        }
    }

    /// Returns whether the path to a target fails, for a reason that is not known to be the target's.
    pub fn is_failing(&self, target: &TargetId) -> bool {
        self.by_target.get(target).is_some_and(|p| p.is_failing())
    }

    /// Returns the targets whose paths are to be checked now. Each check ends with
    /// [`Self::on_opened`] or [`Self::on_not_reached`].
    pub fn take_due_checks(&mut self, now: Instant) -> Vec<TargetId> {
        let by_target = &self.by_target;
        self.checks.retain(|id, check| {
            let is_failing = by_target.get(id).is_some_and(|p| p.is_failing());
            now.since(check.wanted_at) < WANTED_FOR && (is_failing || check.due <= now)
        });
        let running = self.checks.values().filter(|c| c.is_running).count();
        let due = self.checks.iter_mut();
        let due = due.filter(|(_, c)| c.due <= now && !c.is_running);
        let due = due.take(MAX_CHECKS.saturating_sub(running));
        let start = |(id, check): (&TargetId, &mut Check)| {
            check.is_running = true;
            id.clone()
        };
        due.map(start).collect()
    }

    /// Has a path checked at `due` at the latest, unless a check is running.
    fn want_check(&mut self, now: Instant, target: &TargetId, due: Instant) {
        let check = self.checks.entry(target.clone()).or_insert(Check {
            due,
            wanted_at: now,
            is_running: false,
        });
        check.wanted_at = now;
        check.due = check.due.min(due);
    }

    /// Schedules the next check of a path that failed.
    fn repeat_check(&mut self, now: Instant, target: &TargetId) {
        let wanted_at = self.checks.get(target).map_or(now, |c| c.wanted_at);
        let check = Check {
            due: now + jittered(CHECK_INTERVAL),
            wanted_at,
            is_running: false,
        };
        self.checks.insert(target.clone(), check);
    }

    /// Has some other targets checked, so that it soon shows whether this router is cut off.
    fn check_others(&mut self, now: Instant, failed: &TargetId) {
        let others = self.by_target.iter();
        let others = others.filter(|(id, p)| *id != failed && !p.is_failing() && !p.is_target_down);
        let others: Vec<TargetId> = others.map(|(id, _)| id.clone()).collect();
        let start = rand::rng().random_range(0..others.len().max(1));
        let others = others.iter().cycle().skip(start);
        for other in others.take(MIN_FAILING_TARGETS.min(self.by_target.len() - 1)) {
            self.want_check(now, other, now);
        }
    }

    fn is_quiet(&self, now: Instant) -> bool {
        let reached = self.any_reached_at();
        reached.is_none_or(|at| now.since(at) >= QUIET_TIME)
    }

    /// Returns when this router last reached a target.
    pub fn reached_at(&self, target: &TargetId) -> Option<Instant> {
        self.by_target.get(target)?.reached_at()
    }

    /// Returns when this router last reached any target.
    pub fn any_reached_at(&self) -> Option<Instant> {
        self.groups.get(&PathGroup::All)?.reached_at
    }

    /// Returns the number of targets to which no connection opens, for a reason that is not known to be
    /// theirs.
    pub fn failing_count(&self) -> usize {
        let all = self.groups.get(&PathGroup::All);
        all.map_or(0, GroupState::failing_count)
    }

    /// Drops what is known of targets that are not listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|id, _| listed(id));
        self.checks.retain(|id, _| listed(id));
        for state in self.groups.values_mut() {
            state.retain(&listed);
        }
    }
}

/// Spreads an interval over 0.75 to 1.25 of its length, so that routers do not check together.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}

//! Limit on the calls that this router sends to cold targets.
//!
//! Guards against overload of targets that have just started or were idle for long: for some
//! seconds they sustain only a few calls per second, and fail above that. The number of calls that
//! all routers together send within one second matters, and each router learns of the others' calls
//! up to half a second late. By all counts a cold engine is idle, so that all routers send calls to
//! it. Without this limit, 19 calls from 73 routers reached one engine within a second that
//! sustains 8.9.
//!
//! The limit therefore needs no shared count. Each cold target is assigned to as many routers as it
//! may get calls within a second, by rendezvous hashing among the routers that are alive, and each
//! of them may send it one call; all other routers send it none. The sum of these calls is at most
//! half of the bound (but one call where the bound allows one), so that the bound also holds while
//! routers disagree on which routers are alive.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::TargetId, membership::heartbeats::VmHash, units::Instant};

/// Window within which calls to a cold target are counted: a second, and a margin for packets that
/// overtake one another.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_050);

/// Fraction of the bound that is used: while a change of the fleet spreads, two sets of routers may
/// regard a target as assigned to them.
const BOUND_FRACTION: f64 = 0.5;

/// Maximum number of cached ranks, so that targets that no longer exist do not accumulate; enough
/// for several fleets of targets.
const MAX_CACHED_RANKS: usize = 4_096;

/// Load that a service's targets sustain while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which a target stays cold.
    pub duration: Duration,
    /// Calls per second that a cold target sustains.
    pub calls_per_s: f64,
}

/// Upper bound on the calls to a cold target, relative to the load that it sustains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Factor by which the calls that reach a target within a second may exceed the load that it
    /// sustains.
    pub excess: f64,
    /// Number of calls allowed in addition to that.
    pub extra: f64,
}

impl Default for ColdRule {
    /// Returns a rule that allows no more calls than a target sustains.
    fn default() -> Self {
        Self {
            excess: 1.0,
            extra: 0.0,
        }
    }
}

impl ColdRule {
    /// Returns the number of calls that all routers together send to a cold target within a second.
    fn calls(self, warm_up: WarmUp) -> u32 {
        let bound = warm_up.calls_per_s * self.excess + self.extra;
        let used = warm_up.calls_per_s.min(bound * BOUND_FRACTION).floor();
        // One call may always run if the bound allows one.
        let min = if bound >= 1.0 { 1.0 } else { 0.0 };
        used.max(min) as u32
    }
}

/// Whether a target may get a call from this router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Warmth {
    /// The target is not cold; only its slots limit its calls.
    #[default]
    Warm,
    /// The target is cold, and this router has an unused share of the calls that it may get.
    Shared,
    /// The target is cold, and this router has no share of its calls or has used it.
    Closed,
}

/// This router's shares of the calls to cold targets.
#[derive(Debug, Default)]
pub struct ColdShares {
    rule: ColdRule,
    /// Routers that are alive, this router first.
    routers: Vec<VmHash>,
    /// Cached rank of this router among the candidates for each target; cleared when the routers
    /// change.
    ranks: HashMap<TargetId, usize>,
    /// Times of this router's calls to each cold target within [`COUNTING_WINDOW`].
    sent: HashMap<TargetId, VecDeque<Instant>>,
}

impl ColdShares {
    /// Creates the shares for a rule.
    pub fn new(rule: ColdRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Replaces the rule.
    pub fn set_rule(&mut self, rule: ColdRule) {
        self.rule = rule;
    }

    /// Sets the routers that are alive, this router first.
    pub fn set_routers(&mut self, routers: Vec<VmHash>) {
        if routers != self.routers {
            self.routers = routers;
            self.ranks.clear();
        }
    }

    /// Returns whether this router may send a call to a cold target.
    pub fn warmth(&mut self, now: Instant, target: &TargetId, warm_up: WarmUp) -> Warmth {
        let calls = self.rule.calls(warm_up) as usize;
        // If there are fewer routers than calls, each router has several of them.
        let owners = self.routers.len().clamp(1, calls.max(1));
        let share = calls / owners;
        let is_owner = self.rank(target) < owners;
        match is_owner && self.sent_within(now, target) < share {
            true => Warmth::Shared,
            false => Warmth::Closed,
        }
    }

    /// Records that a call was sent to a cold target.
    pub fn on_send(&mut self, now: Instant, target: &TargetId) {
        let sent = self.sent.entry(target.clone()).or_default();
        sent.retain(|at| now.since(*at) < COUNTING_WINDOW);
        sent.push_back(now);
    }

    /// Drops targets that got no call within the counting window.
    pub fn on_tick(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.since(*at) < COUNTING_WINDOW;
        self.sent
            .retain(|_, sent| sent.back().is_some_and(is_recent));
        if self.ranks.len() > MAX_CACHED_RANKS {
            self.ranks.clear();
        }
    }

    fn sent_within(&self, now: Instant, target: &TargetId) -> usize {
        let sent = self.sent.get(target);
        let recent = |at: &&Instant| now.since(**at) < COUNTING_WINDOW;
        sent.map_or(0, |sent| sent.iter().filter(recent).count())
    }

    /// Returns the number of other routers that rank before this router for a target.
    fn rank(&mut self, target: &TargetId) -> usize {
        if let Some(rank) = self.ranks.get(target) {
            return *rank;
        }
        let ranked_before = |(me, others): (&VmHash, &[VmHash])| {
            let own = rendezvous_hash(*me, target);
            others
                .iter()
                .filter(|vm| rendezvous_hash(**vm, target) > own)
                .count()
        };
        let rank = self.routers.split_first().map_or(0, ranked_before);
        self.ranks.insert(target.clone(), rank);
        rank
    }
}

/// Returns the rendezvous hash of a router and a target; the highest one ranks first.
fn rendezvous_hash(vm: VmHash, target: &TargetId) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), vm.spread() as u64)
}

//! How many calls a cold target gets from this router.
//!
//! The load pattern that this answers: targets that have just started, or were idle for long, bear few calls
//! a second for some seconds and fall over above that. What counts is what all routers together send within
//! one second, and each hears of the others' calls up to half a second late: a cold engine has nothing to do
//! by all counts, so all send to it. Of 73 routers without this 19 calls met one engine in a second that
//! bears 8.9.
//!
//! So nothing is counted together. A cold target belongs to as many routers as it may get calls within a
//! second, drawn by rendezvous among those that live, and each of them may send it one; all others leave it
//! alone. Their sum is at most half of the bound, so that it also holds while routers disagree on who lives.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::TargetId, membership::heartbeats::VmHash, units::Instant};

/// The span within which calls at a cold target are counted, and some more for packets that overtake one
/// another.
const WINDOW: Duration = Duration::from_millis(1_050);

/// The part of the bound that is used: two sets of routers may take a target for theirs while a change of the
/// fleet is heard of.
const BOUND_PART: f64 = 0.5;

/// Places that are remembered, so that targets which are gone do not add up: those of some fleets of targets.
const RANKS_KEPT: usize = 4_096;

/// What a service's targets bear from their start on.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long a target stays cold.
    pub lasts: Duration,
    /// Calls a second that a cold target bears.
    pub calls_per_s: f64,
}

/// What cold targets may get at the most, as a factor and a number beyond what they bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// How many times the calls that it bears may reach a target within a second.
    pub excess: f64,
    /// Calls beyond that.
    pub extra: f64,
}

impl Default for ColdRule {
    /// No more than it bears.
    fn default() -> Self {
        Self {
            excess: 1.0,
            extra: 0.0,
        }
    }
}

impl ColdRule {
    /// Calls that all routers together send to a cold target within a second.
    fn calls(self, warm_up: WarmUp) -> u32 {
        let bound = warm_up.calls_per_s * self.excess + self.extra;
        let used = warm_up.calls_per_s.min(bound * BOUND_PART).floor();
        // One call may always run where the bound allows one.
        let least = if bound >= 1.0 { 1.0 } else { 0.0 };
        used.max(least) as u32
    }
}

/// Whether a target may get a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Warmth {
    /// It bears what its slots say.
    #[default]
    Warm,
    /// It is cold, and this router has a part of what it bears.
    Shared,
    /// It is cold, and this router has no part of it, or has used it.
    Closed,
}

/// This router's part of cold targets.
#[derive(Debug, Default)]
pub struct ColdShares {
    rule: ColdRule,
    /// Those that live, this one first.
    routers: Vec<VmHash>,
    /// The place of this router among those that a target may belong to; forgotten when routers change.
    ranks: HashMap<TargetId, usize>,
    sent: HashMap<TargetId, VecDeque<Instant>>,
}

impl ColdShares {
    /// Shares under a rule.
    pub fn new(rule: ColdRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Puts a changed rule in force.
    pub fn set_rule(&mut self, rule: ColdRule) {
        self.rule = rule;
    }

    /// The routers that live are these, this one first.
    pub fn set_routers(&mut self, routers: Vec<VmHash>) {
        if routers != self.routers {
            self.routers = routers;
            self.ranks.clear();
        }
    }

    /// Whether this router may send a call to a cold target.
    pub fn warmth(&mut self, now: Instant, target: &TargetId, warm_up: WarmUp) -> Warmth {
        let calls = self.rule.calls(warm_up) as usize;
        // Where there are fewer routers than calls, each has several.
        let keepers = self.routers.len().clamp(1, calls.max(1));
        let part = calls / keepers;
        let is_mine = self.rank(target) < keepers;
        match is_mine && self.sent_within(now, target) < part {
            true => Warmth::Shared,
            false => Warmth::Closed,
        }
    }

    /// A call was sent to a cold target.
    pub fn on_send(&mut self, now: Instant, target: &TargetId) {
        let sent = self.sent.entry(target.clone()).or_default();
        sent.retain(|at| now.since(*at) < WINDOW);
        sent.push_back(now);
    }

    /// Forgets targets that got nothing lately.
    pub fn on_tick(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.since(*at) < WINDOW;
        self.sent
            .retain(|_, sent| sent.back().is_some_and(is_recent));
        if self.ranks.len() > RANKS_KEPT {
            self.ranks.clear();
        }
    }

    fn sent_within(&self, now: Instant, target: &TargetId) -> usize {
        let sent = self.sent.get(target);
        let recent = |at: &&Instant| now.since(**at) < WINDOW;
        sent.map_or(0, |sent| sent.iter().filter(recent).count())
    }

    /// How many other routers come before this one for a target.
    fn rank(&mut self, target: &TargetId) -> usize {
        if let Some(rank) = self.ranks.get(target) {
            return *rank;
        }
        let before = |(me, others): (&VmHash, &[VmHash])| {
            let own = draw(*me, target);
            others.iter().filter(|vm| draw(**vm, target) > own).count()
        };
        let rank = self.routers.split_first().map_or(0, before);
        self.ranks.insert(target.clone(), rank);
        rank
    }
}

fn draw(vm: VmHash, target: &TargetId) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), vm.spread() as u64)
}

//! How much each target has in progress, as far as one router can know it.
//!
//! Three sources are added up or held against one another: what this router has in progress,
//! which is exact; what its peers told, which is as old as their last datagram; and what a target
//! said of itself in an answer, which counts all callers but ages quickly.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{TargetId, VmId},
    units::{Instant, Tokens},
};

/// How long a peer's counts are believed after its last datagram. A peer that is silent longer is
/// gone or cut off, and its calls have ended or soon will: three of its slowest heartbeats.
pub const PEER_EXPIRES: Duration = Duration::from_millis(3_000);

/// How long a target's own word is held against the counts: answers of engines come about this
/// often under load.
const TOLD_EXPIRES: Duration = Duration::from_millis(400);

/// Work in progress at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InProgress {
    /// Calls.
    pub calls: u32,
    /// Prompt tokens that the target has yet to read for them, with those it has yet to write.
    pub tokens: Tokens,
}

impl InProgress {
    /// One call of so many tokens.
    pub fn one(tokens: Tokens) -> Self {
        Self { calls: 1, tokens }
    }

    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
    }

    fn take(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.less(other.tokens);
    }
}

/// What a target said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// The account of all targets.
#[derive(Debug, Default)]
pub struct LoadAccount {
    own: HashMap<TargetId, InProgress>,
    peers: HashMap<VmId, PeerCounts>,
    others: HashMap<TargetId, InProgress>,
    told: HashMap<TargetId, (Instant, ToldLoad)>,
    changed: bool,
}

#[derive(Debug)]
struct PeerCounts {
    at: Instant,
    counts: Vec<(TargetId, InProgress)>,
}

impl LoadAccount {
    /// A call was sent to a target.
    pub fn on_send(&mut self, target: &TargetId, work: InProgress) {
        self.own.entry(target.clone()).or_default().add(work);
        self.changed = true;
    }

    /// A call that was sent has ended, however it did.
    pub fn on_end(&mut self, target: &TargetId, work: InProgress) {
        if let Some(own) = self.own.get_mut(target) {
            own.take(work);
        }
        self.own.retain(|_, w| w.calls > 0);
        self.changed = true;
    }

    /// A peer told all of its counts.
    pub fn on_peer(&mut self, now: Instant, peer: VmId, counts: Vec<(TargetId, InProgress)>) {
        let at = now;
        self.peers.insert(peer, PeerCounts { at, counts });
        self.sum_others();
    }

    /// Forgets peers that are silent.
    pub fn on_tick(&mut self, now: Instant) {
        let before = self.peers.len();
        self.peers.retain(|_, p| now.since(p.at) < PEER_EXPIRES);
        if self.peers.len() != before {
            self.sum_others();
        }
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD_EXPIRES);
    }

    /// A target told its load in an answer.
    pub fn on_told(&mut self, now: Instant, target: &TargetId, load: ToldLoad) {
        self.told.insert(target.clone(), (now, load));
    }

    /// What all routers together have in progress at a target.
    pub fn total(&self, target: &TargetId) -> InProgress {
        let mut total = self.own(target);
        total.add(self.others.get(target).copied().unwrap_or_default());
        total
    }

    /// The calls at a target, by the larger of the counts and of its own recent word.
    pub fn calls(&self, now: Instant, target: &TargetId) -> u32 {
        let counted = self.total(target).calls;
        let told = self.told.get(target);
        let told = told.filter(|(at, _)| now.since(*at) < TOLD_EXPIRES);
        told.map_or(counted, |(_, t)| counted.max(t.running + t.waiting))
    }

    /// What this router has in progress at a target.
    pub fn own(&self, target: &TargetId) -> InProgress {
        self.own.get(target).copied().unwrap_or_default()
    }

    /// All own counts, to tell the peers.
    pub fn own_counts(&self) -> Vec<(TargetId, InProgress)> {
        self.own.iter().map(|(t, w)| (t.clone(), *w)).collect()
    }

    /// Whether own counts changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The age of the oldest peer's counts that are still believed.
    pub fn oldest_peer(&self, now: Instant) -> Option<Duration> {
        self.peers.values().map(|p| now.since(p.at)).max()
    }

    fn sum_others(&mut self) {
        self.others.clear();
        for (target, work) in self.peers.values().flat_map(|p| &p.counts) {
            self.others.entry(target.clone()).or_default().add(*work);
        }
    }
}

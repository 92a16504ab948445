//! How much each target has in progress, as far as one router can know it.
//!
//! Sums over a data hall come from one router of that hall that adds them up, where the fleet is
//! large; without such a sum the peers' own counts are used.
//!
//! Three sources are added up or held against one another: what this router has in progress,
//! which is exact; what its peers told, which is as old as their last datagram; and what a target
//! said of itself in an answer, which counts all callers but ages quickly.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{DataHall, TargetId, VmId},
    membership::datagram::HallSums,
    units::{Instant, Tokens},
};

/// How long a peer's counts are believed after its last datagram. A peer that is silent longer is
/// gone or cut off, and its calls have ended or soon will: three of its slowest heartbeats.
pub const PEER_EXPIRES: Duration = Duration::from_secs(3);

/// How long a target's own word is held against the counts: answers of engines come about this
/// often under load.
const TOLD_EXPIRES: Duration = Duration::from_millis(400);

/// How long a data hall's sum is believed: until the second hub has taken the first one's place,
/// and a sum or two of it may be lost.
const HALL_EXPIRES: Duration = Duration::from_millis(1_500);

/// A target's name as a short hash: two of some thousand targets share one less than once in a
/// thousand fleets, and then each counts for both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl From<&TargetId> for TargetHash {
    fn from(id: &TargetId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Work in progress by target, as it is told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<PackedCount>", into = "Vec<PackedCount>")]
pub struct TargetCounts(Vec<(TargetHash, InProgress)>);

/// One count as it travels: small numbers, which the codec writes in few bytes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PackedCount {
    /// How far the target's hash is from the one before it, in order.
    step: u32,
    calls: u32,
    /// Tokens, in blocks.
    blocks: u32,
}

/// Tokens that are told as one: what decides is thousands of them.
const TOKENS_A_BLOCK: u64 = 64;

impl From<TargetCounts> for Vec<PackedCount> {
    fn from(counts: TargetCounts) -> Self {
        let mut sorted = counts.0;
        sorted.sort_unstable_by_key(|(target, _)| *target);
        let mut before = 0;
        let pack = |(target, work): (TargetHash, InProgress)| {
            let step = target.0 - before;
            before = target.0;
            PackedCount {
                step,
                calls: work.calls,
                blocks: work.tokens.0.div_ceil(TOKENS_A_BLOCK) as u32,
            }
        };
        sorted.into_iter().map(pack).collect()
    }
}

impl From<Vec<PackedCount>> for TargetCounts {
    fn from(packed: Vec<PackedCount>) -> Self {
        let mut target = 0_u32;
        let unpack = |p: PackedCount| {
            // A sum beyond the last hash is of no target that we know.
            target = target.wrapping_add(p.step);
            let work = InProgress {
                calls: p.calls,
                tokens: Tokens(u64::from(p.blocks) * TOKENS_A_BLOCK),
            };
            (TargetHash(target), work)
        };
        Self(packed.into_iter().map(unpack).collect())
    }
}

impl TargetCounts {
    /// Calls at all targets.
    pub fn calls(&self) -> u32 {
        self.0.iter().map(|(_, work)| work.calls).sum()
    }
}

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

type Counts = HashMap<TargetHash, InProgress>;

/// The account of all targets.
#[derive(Debug)]
pub struct LoadAccount {
    hall: DataHall,
    own: Counts,
    /// Own counts as they were last told to whoever adds up.
    own_told: Counts,
    peers: HashMap<VmId, PeerCounts>,
    halls: HashMap<DataHall, HallCounts>,
    others: Counts,
    told: HashMap<TargetId, (Instant, ToldLoad)>,
    changed: bool,
}

#[derive(Debug)]
struct PeerCounts {
    at: Instant,
    hall: DataHall,
    counts: TargetCounts,
}

#[derive(Debug)]
struct HallCounts {
    at: Instant,
    counts: TargetCounts,
}

impl LoadAccount {
    /// An empty account of a router in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            own: HashMap::new(),
            own_told: HashMap::new(),
            peers: HashMap::new(),
            halls: HashMap::new(),
            others: HashMap::new(),
            told: HashMap::new(),
            changed: false,
        }
    }

    /// A call was sent to a target.
    pub fn on_send(&mut self, target: &TargetId, work: InProgress) {
        self.own.entry(target.into()).or_default().add(work);
        self.changed = true;
    }

    /// A call that was sent has ended, however it did.
    pub fn on_end(&mut self, target: &TargetId, work: InProgress) {
        if let Some(own) = self.own.get_mut(&target.into()) {
            own.take(work);
        }
        self.own.retain(|_, w| w.calls > 0);
        self.changed = true;
    }

    /// A peer told all of its counts.
    pub fn on_peer(&mut self, now: Instant, peer: VmId, hall: DataHall, counts: TargetCounts) {
        let is_summed = self.is_summed(now, &hall);
        let at = now;
        self.peers.insert(peer, PeerCounts { at, hall, counts });
        if !is_summed {
            self.sum_others(now);
        }
    }

    /// Some router told what all routers of data halls have in progress, this one included.
    pub fn on_halls(&mut self, now: Instant, sums: HallSums) {
        for (hall, counts) in sums {
            self.halls.insert(hall, HallCounts { at: now, counts });
        }
        self.sum_others(now);
    }

    /// Forgets peers and data halls that are silent.
    pub fn on_tick(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.since(p.at) < PEER_EXPIRES);
        self.halls.retain(|_, h| now.since(h.at) < HALL_EXPIRES);
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD_EXPIRES);
        self.sum_others(now);
    }

    /// A target told its load in an answer.
    pub fn on_told(&mut self, now: Instant, target: &TargetId, load: ToldLoad) {
        self.told.insert(target.clone(), (now, load));
    }

    /// What all routers together have in progress at a target.
    pub fn total(&self, target: &TargetId) -> InProgress {
        let hash = TargetHash::from(target);
        let mut total = self.own.get(&hash).copied().unwrap_or_default();
        total.add(self.others.get(&hash).copied().unwrap_or_default());
        total
    }

    /// The calls at a target, by the larger of the counts and of its own recent word.
    pub fn calls(&self, now: Instant, target: &TargetId) -> u32 {
        let counted = self.total(target).calls;
        let told = self.told.get(target);
        let told = told.filter(|(at, _)| now.since(*at) < TOLD_EXPIRES);
        told.map_or(counted, |(_, t)| counted.max(t.running + t.waiting))
    }

    /// All own counts, to tell the peers.
    pub fn own_counts(&mut self) -> TargetCounts {
        self.own_told.clone_from(&self.own);
        listed(&self.own)
    }

    /// What all routers of this data hall have in progress, this one included, and what those of
    /// others have, as it was told a moment ago.
    pub fn all_halls(&self) -> HallSums {
        let others = self.halls.iter().filter(|(hall, _)| **hall != self.hall);
        let others = others.map(|(hall, h)| (hall.clone(), h.counts.clone()));
        others.chain([self.own_hall()]).collect()
    }

    /// What all routers of this data hall have in progress, this one included.
    pub fn own_hall(&self) -> (DataHall, TargetCounts) {
        let mut sum = self.own.clone();
        for peer in self.peers.values().filter(|p| p.hall == self.hall) {
            add_counts(&mut sum, &peer.counts);
        }
        (self.hall.clone(), listed(&sum))
    }

    /// Whether own counts changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn is_summed(&self, now: Instant, hall: &DataHall) -> bool {
        let sum = self.halls.get(hall);
        sum.is_some_and(|h| now.since(h.at) < HALL_EXPIRES)
    }

    fn sum_others(&mut self, now: Instant) {
        let mut others = std::mem::take(&mut self.others);
        others.clear();
        for peer in self
            .peers
            .values()
            .filter(|p| !self.is_summed(now, &p.hall))
        {
            add_counts(&mut others, &peer.counts);
        }
        for hall in self.halls.keys().filter(|hall| self.is_summed(now, hall)) {
            add_counts(&mut others, &self.halls[hall].counts);
        }
        if self.is_summed(now, &self.hall) {
            // The sum holds what this router told.
            for (target, work) in &self.own_told {
                others.entry(*target).or_default().take(*work);
            }
        }
        self.others = others;
    }
}

fn add_counts(sum: &mut Counts, counts: &TargetCounts) {
    for (target, work) in &counts.0 {
        sum.entry(*target).or_default().add(*work);
    }
}

fn listed(counts: &Counts) -> TargetCounts {
    let in_progress = counts.iter().filter(|(_, w)| w.calls > 0);
    TargetCounts(in_progress.map(|(t, w)| (*t, *w)).collect())
}

//! How much each target has in progress, as far as one router can know it.
//!
//! Sums over a data hall come from one router of that hall that adds them up, where the fleet is
//! large; without such a sum the peers' own counts are used.
//!
//! Three sources are added up or held against one another: what this router has in progress,
//! which is exact; what its peers told, which is as old as their last datagram; and what a target
//! said of itself in an answer, which counts all callers but ages quickly. The age of the second
//! travels with it, as decisions weigh it ([`crate::placement::spread`]).

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{DataHall, TargetId, VmId},
    membership::{
        datagram::{HallSum, HallSums},
        pace,
    },
    placement::spread::Survival,
    target_counts::{CallCounts, InProgress, TargetCounts, TargetHash},
    units::{Instant, Tokens},
};

/// How long a peer's counts are believed after its last datagram. A peer that is silent longer is
/// gone or cut off, and its calls have ended or soon will: three of its slowest heartbeats.
pub const PEER_EXPIRES: Duration = Duration::from_secs(3);

/// How long a target's own report is held against the counts: answers of engines come about this
/// often under load.
const REPORT_EXPIRES: Duration = Duration::from_millis(400);

/// Peers from whose counts on sums are made anew only so often, not with each datagram: a hub of some hundred routers
/// hears as many of them a second, and adds up all of their counts each time.
const MANY_PEERS: usize = 64;

/// How often that is.
const SUM_EVERY: Duration = Duration::from_millis(50);

/// What a target said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// How long the usual number of calls is averaged over: some of the counts that fleets of some hundred
/// routers tell. Calls of plain services last a tenth of the time between two of these; one of them
/// says next to nothing, and where all routers heed it, all refuse at once and all send at once: with
/// two thirds of their capacity asked for, targets turned 0.57 to 0.72 of the arrivals away
/// (`tests/load/stale_counts.rs`, 7 to 380 routers).
const USUAL_OVER: Duration = Duration::from_secs(2);

/// A usual number of calls that is as good as none.
const NEXT_TO_NONE: f64 = 0.01;

type Counts = HashMap<TargetHash, InProgress>;

/// The account of all targets.
#[derive(Debug)]
pub struct LoadAccount {
    hall: DataHall,
    own: Counts,
    /// Own counts as they were last told to whoever adds up.
    own_told: Counts,
    peers: BTreeMap<VmId, PeerCounts>,
    halls: BTreeMap<DataHall, HallCounts>,
    /// How long a data hall's sum is believed.
    hall_expires: Duration,
    summed_at: Instant,
    others: Counts,
    /// When the calls in `others` were counted, on average.
    others_counted: Instant,
    usual: HashMap<TargetHash, f64>,
    usual_at: Instant,
    reports: HashMap<TargetId, (Instant, ReportedLoad)>,
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
    /// When its routers counted, on average.
    counted: Instant,
    counts: TargetCounts,
}

/// The mean moment at which calls were counted.
#[derive(Debug, Default)]
struct MeanMoment {
    calls: f64,
    call_seconds: f64,
}

impl MeanMoment {
    fn add(&mut self, calls: u32, counted: Instant) {
        self.calls += f64::from(calls);
        self.call_seconds += f64::from(calls) * counted.0.as_secs_f64();
    }

    /// `None` where there are no calls.
    fn get(&self) -> Option<Instant> {
        let mean = || Duration::from_secs_f64(self.call_seconds / self.calls);
        (self.calls > 0.0).then(|| Instant(mean()))
    }
}

impl LoadAccount {
    /// An empty account of a router in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            own: HashMap::new(),
            own_told: HashMap::new(),
            peers: BTreeMap::new(),
            halls: BTreeMap::new(),
            hall_expires: pace::sum_expires(1),
            summed_at: Instant::default(),
            others: HashMap::new(),
            others_counted: Instant::default(),
            usual: HashMap::new(),
            usual_at: Instant::default(),
            reports: HashMap::new(),
            changed: false,
        }
    }

    /// The fleet has so many routers, whose pace says how long a sum is believed.
    pub fn set_fleet(&mut self, routers: usize) {
        self.hall_expires = pace::sum_expires(routers);
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
        let is_due = self.peers.len() < MANY_PEERS || now.since(self.summed_at) >= SUM_EVERY;
        if !is_summed && is_due {
            self.sum_others(now);
        }
    }

    /// Some router told what all routers of data halls have in progress, this one included.
    pub fn on_halls(&mut self, now: Instant, sums: HallSums) {
        for HallSum {
            hall,
            age_ms,
            counts,
        } in sums
        {
            let counted = now.before(Duration::from_millis(u64::from(age_ms)));
            let at = now;
            let sum = HallCounts {
                at,
                counted,
                counts,
            };
            self.halls.insert(hall, sum);
        }
        self.sum_others(now);
    }

    /// Forgets peers and data halls that are silent.
    pub fn on_tick(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.since(p.at) < PEER_EXPIRES);
        let expires = self.hall_expires;
        self.halls.retain(|_, h| now.since(h.at) < expires);
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_EXPIRES);
        self.sum_others(now);
    }

    /// A target told its load in an answer.
    pub fn on_report(&mut self, now: Instant, target: &TargetId, load: ReportedLoad) {
        self.reports.insert(target.clone(), (now, load));
    }

    /// What all routers together have in progress at a target.
    pub fn total(&self, target: &TargetId) -> InProgress {
        let hash = TargetHash::from(target);
        let mut total = self.own.get(&hash).copied().unwrap_or_default();
        total.add(self.others.get(&hash).copied().unwrap_or_default());
        total
    }

    /// Calls that all routers together have in progress at some targets.
    pub(crate) fn calls_at(&self, is_meant: impl Fn(&TargetHash) -> bool) -> u32 {
        let counted = self.own.iter().chain(&self.others);
        let meant = counted.filter(|(target, _)| is_meant(target));
        meant.map(|(_, work)| work.calls).sum()
    }

    /// The calls at a target, by the larger of the counts and of its own recent report.
    pub fn calls(&self, now: Instant, target: &TargetId) -> u32 {
        self.call_counts(now, target).all()
    }

    /// The same, by who counted them; what the target said beyond the counts is counted to others.
    pub fn call_counts(&self, now: Instant, target: &TargetId) -> CallCounts {
        let hash = TargetHash::from(target);
        let own = self.own.get(&hash).map_or(0, |w| w.calls);
        let counted = self.total(target).calls;
        let report = self.reports.get(target);
        let report = report.filter(|(at, _)| now.since(*at) < REPORT_EXPIRES);
        let all = report.map_or(counted, |(_, t)| counted.max(t.running + t.waiting));
        CallCounts {
            own,
            others: all.saturating_sub(own),
            usual: self.usual.get(&hash).copied().unwrap_or_default(),
        }
    }

    /// Tokens that a target has yet to read, where so much is left of what others counted.
    pub fn backlog(&self, target: &TargetId, survival: Survival) -> Tokens {
        let hash = target.into();
        let tokens = |counts: &Counts| counts.get(&hash).map_or(0, |w| w.tokens.0);
        let left = survival.of(tokens(&self.others) as f64);
        Tokens(tokens(&self.own) + left.round() as u64)
    }

    /// How long ago the calls of others were counted, on average; zero where others have none.
    pub fn age(&self, now: Instant) -> Duration {
        match self.others.is_empty() {
            true => Duration::ZERO,
            false => now.since(self.others_counted),
        }
    }

    /// All own counts, to tell the peers.
    pub fn own_counts(&mut self) -> TargetCounts {
        self.own_told.clone_from(&self.own);
        listed(&self.own)
    }

    /// What all routers of this data hall have in progress, this one included, and what those of
    /// others have, as it was told a moment ago.
    pub fn all_halls(&self, now: Instant) -> HallSums {
        let others = self.halls.iter().filter(|(hall, _)| **hall != self.hall);
        let others = others.map(|(hall, h)| HallSum {
            hall: hall.clone(),
            age_ms: age_ms(now, h.counted),
            counts: h.counts.clone(),
        });
        others.chain([self.own_hall(now)]).collect()
    }

    /// What all routers of this data hall have in progress, this one included.
    pub fn own_hall(&self, now: Instant) -> HallSum {
        let mut sum = self.own.clone();
        let mut counted = MeanMoment::default();
        counted.add(self.own.values().map(|w| w.calls).sum(), now);
        for peer in self.peers.values().filter(|p| p.hall == self.hall) {
            add_counts(&mut sum, &peer.counts);
            counted.add(peer.counts.calls(), peer.at);
        }
        HallSum {
            hall: self.hall.clone(),
            age_ms: counted.get().map_or(0, |at| age_ms(now, at)),
            counts: listed(&sum),
        }
    }

    /// Whether own counts changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn is_summed(&self, now: Instant, hall: &DataHall) -> bool {
        let sum = self.halls.get(hall);
        sum.is_some_and(|h| now.since(h.at) < self.hall_expires)
    }

    fn sum_others(&mut self, now: Instant) {
        self.summed_at = now;
        let mut others = std::mem::take(&mut self.others);
        let mut counted = MeanMoment::default();
        others.clear();
        for peer in self
            .peers
            .values()
            .filter(|p| !self.is_summed(now, &p.hall))
        {
            add_counts(&mut others, &peer.counts);
            counted.add(peer.counts.calls(), peer.at);
        }
        for (_, sum) in self.halls.iter().filter(|(h, _)| self.is_summed(now, h)) {
            add_counts(&mut others, &sum.counts);
            counted.add(sum.counts.calls(), sum.counted);
        }
        if self.is_summed(now, &self.hall) {
            // The sum holds what this router told.
            for (target, work) in &self.own_told {
                others.entry(*target).or_default().take(*work);
            }
        }
        self.others = others;
        self.others_counted = counted.get().unwrap_or(now);
        self.average(now);
    }

    /// Takes the counts of others into the usual number of calls.
    fn average(&mut self, now: Instant) {
        let passed = now.since(self.usual_at).as_secs_f64() / USUAL_OVER.as_secs_f64();
        self.usual_at = now;
        let kept = (-passed).exp();
        for (target, usual) in &mut self.usual {
            let calls = self.others.get(target).map_or(0, |w| w.calls);
            *usual = f64::from(calls) * (1.0 - kept) + *usual * kept;
        }
        for (target, work) in &self.others {
            let calls = f64::from(work.calls);
            self.usual.entry(*target).or_insert(calls);
        }
        self.usual.retain(|_, usual| *usual > NEXT_TO_NONE);
    }
}

fn age_ms(now: Instant, at: Instant) -> u16 {
    now.since(at).as_millis().min(u128::from(u16::MAX)) as u16
}

fn add_counts(sum: &mut Counts, counts: &TargetCounts) {
    for (target, work) in counts.iter() {
        sum.entry(*target).or_default().add(*work);
    }
}

fn listed(counts: &Counts) -> TargetCounts {
    let in_progress = counts.iter().filter(|(_, w)| w.calls > 0);
    in_progress.map(|(t, w)| (*t, *w)).collect()
}

//! Counts the work in progress at each target, as far as one router can know it.
//!
//! In a large fleet, one router of each data hall aggregates the counts of that hall; without such a sum the
//! peers' own counts are used.
//!
//! There are three sources: this router's own calls, which are exact; the counts that peers sent, which are
//! as old as their last datagram; and the load that a target reported in an answer, which includes all
//! callers but soon becomes outdated. The first two are added up, and the larger of the sum and the report
//! is used. The age of the peers' counts is kept with them, because decisions depend on it
//! ([`crate::placement::spread`]).

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{DataHall, TargetId, VmId},
    membership::{
        datagram::{HallSum, HallSums},
        timing,
    },
    placement::spread::Survival,
    target_counts::{CallCounts, InProgress, TargetCounts, TargetHash},
    target_speed::Slowdown,
    units::{Instant, Tokens},
};

/// How long a peer's counts are used after its last datagram: three of its slowest heartbeats. A peer that
/// is silent for longer is gone or cut off, and its calls have ended or will end soon.
pub const PEER_TTL: Duration = Duration::from_secs(3);

/// How long a target's own report is compared with the counts: under load, engines answer about this often.
const REPORT_TTL: Duration = Duration::from_millis(400);

/// Number of peers from which sums are recomputed at most every [`SUM_INTERVAL`] instead of on each datagram:
/// a hub for some hundred routers receives as many datagrams a second, and aggregates all counts each time.
const SUM_THROTTLE_PEERS: usize = 64;

/// Minimum interval between recomputed sums in large fleets.
const SUM_INTERVAL: Duration = Duration::from_millis(50);

/// Load that a target reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls.
    pub waiting: u32,
    /// How long work takes there at the moment, if the target reports it.
    pub slowdown: Option<Slowdown>,
}

/// Time constant of the average number of calls. It covers several of the counts that routers in fleets of
/// some hundred routers send. Calls of plain services last a tenth of the interval between two counts, so a
/// single count says almost nothing. When all routers relied on a single count, all refused at once and all
/// sent at once: at two thirds of their capacity, targets turned 0.57 to 0.72 of the arrivals away
/// (`tests/load/stale_counts.rs`, 7 to 380 routers).
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Average number of calls below which a target's average is dropped.
const MIN_MEAN_CALLS: f64 = 0.01;

type Counts = HashMap<TargetHash, InProgress>;

/// Work in progress at all targets.
#[derive(Debug)]
pub struct LoadAccount {
    hall: DataHall,
    own: Counts,
    /// Own counts as last sent to the router that adds them up.
    own_sent: Counts,
    peers: BTreeMap<VmId, PeerCounts>,
    halls: BTreeMap<DataHall, HallCounts>,
    /// How long a data hall's sum is used after it was received.
    hall_ttl: Duration,
    summed_at: Instant,
    others: Counts,
    /// Mean time at which the calls in `others` were counted.
    others_counted: Instant,
    mean_others: HashMap<TargetHash, f64>,
    mean_updated_at: Instant,
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
    /// Mean time at which the data hall's routers counted their calls.
    counted_at: Instant,
    counts: TargetCounts,
}

/// Accumulates the mean time at which calls were counted, weighted by calls.
#[derive(Debug, Default)]
struct MeanTime {
    calls: f64,
    call_seconds: f64,
}

impl MeanTime {
    fn add(&mut self, calls: u32, counted: Instant) {
        self.calls += f64::from(calls);
        self.call_seconds += f64::from(calls) * counted.0.as_secs_f64();
    }

    /// Returns the mean time; `None` if there are no calls.
    fn get(&self) -> Option<Instant> {
        let mean = || Duration::from_secs_f64(self.call_seconds / self.calls);
        (self.calls > 0.0).then(|| Instant(mean()))
    }
}

impl LoadAccount {
    /// Creates an empty account for a router in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            own: HashMap::new(),
            own_sent: HashMap::new(),
            peers: BTreeMap::new(),
            halls: BTreeMap::new(),
            hall_ttl: timing::sum_ttl(1),
            summed_at: Instant::default(),
            others: HashMap::new(),
            others_counted: Instant::default(),
            mean_others: HashMap::new(),
            mean_updated_at: Instant::default(),
            reports: HashMap::new(),
            changed: false,
        }
    }

    /// Sets the number of routers in the fleet, which determines how long a sum is used.
    pub fn set_fleet_size(&mut self, routers: usize) {
        self.hall_ttl = timing::sum_ttl(routers);
    }

    /// Records that a call was sent to a target.
    pub fn on_send(&mut self, target: &TargetId, work: InProgress) {
        self.own.entry(target.into()).or_default().add(work);
        self.changed = true;
    }

    /// Records that a call ended, whatever the outcome.
    pub fn on_end(&mut self, target: &TargetId, work: InProgress) {
        if let Some(own) = self.own.get_mut(&target.into()) {
            own.subtract(work);
        }
        self.own.retain(|_, w| w.calls > 0);
        self.changed = true;
    }

    /// Replaces the counts of a peer with the ones that it sent.
    pub fn on_peer(&mut self, now: Instant, peer: VmId, hall: DataHall, counts: TargetCounts) {
        let is_summed = self.is_summed(now, &hall);
        let at = now;
        self.peers.insert(peer, PeerCounts { at, hall, counts });
        let is_due =
            self.peers.len() < SUM_THROTTLE_PEERS || now.since(self.summed_at) >= SUM_INTERVAL;
        if !is_summed && is_due {
            self.sum_others(now);
        }
    }

    /// Takes over the sums for data halls that a router sent; they include this router's calls.
    pub fn on_hall_sums(&mut self, now: Instant, sums: HallSums) {
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
                counted_at: counted,
                counts,
            };
            self.halls.insert(hall, sum);
        }
        self.sum_others(now);
    }

    /// Drops peers, data halls and reports that have expired.
    pub fn on_tick(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.since(p.at) < PEER_TTL);
        let expires = self.hall_ttl;
        self.halls.retain(|_, h| now.since(h.at) < expires);
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        self.sum_others(now);
    }

    /// Records the load that a target reported in an answer.
    pub fn on_report(&mut self, now: Instant, target: &TargetId, load: ReportedLoad) {
        self.reports.insert(target.clone(), (now, load));
    }

    /// Returns the work that all routers together have in progress at a target.
    pub fn total(&self, target: &TargetId) -> InProgress {
        let hash = TargetHash::from(target);
        let mut total = self.own.get(&hash).copied().unwrap_or_default();
        total.add(self.others.get(&hash).copied().unwrap_or_default());
        total
    }

    /// Counts the calls that all routers together have in progress at the selected targets.
    pub(crate) fn calls_at(&self, is_selected: impl Fn(&TargetHash) -> bool) -> u32 {
        let counted = self.own.iter().chain(&self.others);
        let selected = counted.filter(|(target, _)| is_selected(target));
        let calls = selected.map(|(_, work)| work.calls);
        calls.fold(0, u32::saturating_add)
    }

    /// Returns the calls at a target: the larger of the counts and the target's own recent report.
    pub fn calls(&self, now: Instant, target: &TargetId) -> u32 {
        self.call_counts(now, target).all()
    }

    /// Returns the calls at a target, split by who counted them. Calls that the target reported beyond the
    /// counts are attributed to other routers.
    pub fn call_counts(&self, now: Instant, target: &TargetId) -> CallCounts {
        let hash = TargetHash::from(target);
        let own = self.own.get(&hash).map_or(0, |w| w.calls);
        let counted = self.total(target).calls;
        let report = self.reports.get(target);
        let report = report.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        let all = report.map_or(counted, |(_, t)| {
            counted.max(t.running.saturating_add(t.waiting))
        });
        CallCounts {
            own,
            others: all.saturating_sub(own),
            mean_others: self.mean_others.get(&hash).copied().unwrap_or_default(),
        }
    }

    /// Returns the tokens that a target still has to read, with `survival` applied to the counts of other
    /// routers.
    pub fn backlog(&self, target: &TargetId, survival: Survival) -> Tokens {
        let hash = target.into();
        let tokens = |counts: &Counts| counts.get(&hash).map_or(0, |w| w.tokens.0);
        let left = survival.of(tokens(&self.others) as f64);
        Tokens(tokens(&self.own)) + Tokens(left.round() as u64)
    }

    /// Returns the mean age of the counts of other routers; zero if they have no calls.
    pub fn age(&self, now: Instant) -> Duration {
        match self.others.is_empty() {
            true => Duration::ZERO,
            false => now.since(self.others_counted),
        }
    }

    /// Returns all own counts to send to peers, and remembers them as sent.
    pub fn own_counts(&mut self) -> TargetCounts {
        self.own_sent.clone_from(&self.own);
        to_target_counts(&self.own)
    }

    /// Returns the work in progress by data hall: this one's sum, including this router, and the sums last
    /// received for the others.
    pub fn all_hall_sums(&self, now: Instant) -> HallSums {
        let others = self.halls.iter().filter(|(hall, _)| **hall != self.hall);
        let others = others.map(|(hall, h)| HallSum {
            hall: hall.clone(),
            age_ms: age_ms(now, h.counted_at),
            counts: h.counts.clone(),
        });
        others.chain([self.own_hall_sum(now)]).collect()
    }

    /// Returns the work that all routers of this data hall have in progress, including this one.
    pub fn own_hall_sum(&self, now: Instant) -> HallSum {
        let mut sum = self.own.clone();
        let mut counted = MeanTime::default();
        counted.add(self.own.values().map(|w| w.calls).sum(), now);
        for peer in self.peers.values().filter(|p| p.hall == self.hall) {
            add_counts(&mut sum, &peer.counts);
            counted.add(peer.counts.calls(), peer.at);
        }
        HallSum {
            hall: self.hall.clone(),
            age_ms: counted.get().map_or(0, |at| age_ms(now, at)),
            counts: to_target_counts(&sum),
        }
    }

    /// Returns whether own counts changed since the last call of this method.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn is_summed(&self, now: Instant, hall: &DataHall) -> bool {
        let sum = self.halls.get(hall);
        sum.is_some_and(|h| now.since(h.at) < self.hall_ttl)
    }

    fn sum_others(&mut self, now: Instant) {
        self.summed_at = now;
        let mut others = std::mem::take(&mut self.others);
        let mut counted = MeanTime::default();
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
            counted.add(sum.counts.calls(), sum.counted_at);
        }
        if self.is_summed(now, &self.hall) {
            // The sum includes the counts that this router last sent.
            for (target, work) in &self.own_sent {
                others.entry(*target).or_default().subtract(*work);
            }
        }
        self.others = others;
        self.others_counted = counted.get().unwrap_or(now);
        self.update_mean(now);
    }

    /// Updates the average number of calls with the counts of other routers.
    fn update_mean(&mut self, now: Instant) {
        let elapsed =
            now.since(self.mean_updated_at).as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64();
        self.mean_updated_at = now;
        let decay = (-elapsed).exp();
        for (target, mean) in &mut self.mean_others {
            let calls = self.others.get(target).map_or(0, |w| w.calls);
            *mean = f64::from(calls) * (1.0 - decay) + *mean * decay;
        }
        for (target, work) in &self.others {
            let calls = f64::from(work.calls);
            self.mean_others.entry(*target).or_insert(calls);
        }
        self.mean_others.retain(|_, mean| *mean > MIN_MEAN_CALLS);
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

fn to_target_counts(counts: &Counts) -> TargetCounts {
    let in_progress = counts.iter().filter(|(_, w)| w.calls > 0);
    in_progress.map(|(t, w)| (*t, *w)).collect()
}

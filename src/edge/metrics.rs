//! Counters and histograms of a gateway, in the text format that scrapers read.

use std::{cell::Cell, fmt::Write, sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use super::{
    path_metrics::PathMetrics, stream_metrics::StreamMetrics, unanswered::UnansweredMetrics,
};
use crate::{
    admission::shares::PoolStatus,
    contention::{self, HashedNames},
    flow::GiveUpReason,
    ids::ServiceName,
    target_speed::TimeFactor,
    units::Rank,
};

/// Upper bounds of the histogram buckets in seconds, from the typical duration of a plain call to the
/// longest deadline.
const BUCKET_BOUNDS_SECONDS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Upper bounds of the histogram buckets for the time that work takes at a target, as a factor on the usual
/// time: the range of the factor, and 1 for targets that count as usual.
const SLOWDOWN_BUCKET_BOUNDS: [f64; 7] = [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0];

/// Label for the result of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    code: &'static str,
}

/// Label for the result of an attempt, or for a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub(super) reason: &'static str,
}

/// Label for a value that is measured per service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    service: String,
}

/// Label for refusals of calls to a contended pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabel {
    service: String,
    rank: u32,
    reason: &'static str,
}

/// Gauges of the pools that are contended at the moment.
#[derive(Debug, Default)]
struct ContendedPools {
    capacity: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    demand: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    admitted: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    count: Cell<usize>,
}

impl ContendedPools {
    fn register(&self, r: &mut Registry) {
        let gauges = [
            (
                "contended_capacity",
                "Calls per second that a contended pool is offered at most",
                &self.capacity,
            ),
            (
                "contended_demand",
                "Calls per second that arrive for a contended pool",
                &self.demand,
            ),
            (
                "contended_admitted",
                "Fraction of the calls to a contended pool that is admitted",
                &self.admitted,
            ),
        ];
        for (name, help, gauge) in gauges {
            r.register(name, help, gauge.clone());
        }
    }

    fn set(&self, pools: &[PoolStatus], names: &HashedNames) {
        self.count.set(pools.len());
        for family in [&self.capacity, &self.demand, &self.admitted] {
            family.clear();
        }
        for pool in pools {
            let label = ServiceLabel {
                service: names.service(pool.service),
            };
            let (demand, admitted) = contention::demand_and_admitted(pool);
            self.capacity.get_or_create(&label).set(pool.capacity);
            self.demand.get_or_create(&label).set(demand);
            self.admitted.get_or_create(&label).set(admitted);
        }
    }
}

/// All metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    calls: Family<CodeLabel, Counter>,
    attempts: Family<ReasonLabel, Counter>,
    store_calls: Family<ReasonLabel, Counter>,
    withdrawn: Family<ReasonLabel, Gauge>,
    callers_given_up: Family<ReasonLabel, Counter>,
    answer_bytes: Gauge,
    request_bytes: Gauge,
    slot_time_ms: Family<ServiceLabel, Gauge>,
    contended: ContendedPools,
    contended_refusals: Family<RefusalLabel, Counter>,
    retry_after: Histogram,
    counts_age: Histogram,
    slowdown: Histogram,
    call_time: Histogram,
    first_event_time: Histogram,
    pub(crate) paths: PathMetrics,
    pub(crate) streams: StreamMetrics,
    pub(super) unanswered: UnansweredMetrics,
    pub(crate) entries_unusable: Counter,
    pub(crate) halls_evacuated: Gauge,
    pub(crate) quarantined_requests: Gauge,
    pub(crate) datagrams_sent: Counter,
    pub(crate) datagram_bytes: Counter,
    pub(crate) claim_bytes: Counter,
    pub(crate) prompt_tokens_missing: Counter,
    pub(crate) in_progress: Gauge,
    pub(crate) peers_alive: Gauge,
    pub(crate) config_age_ms: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) store_revision: Gauge,
    answered: Cell<u64>,
    refused: Cell<u64>,
    store_call_count: Cell<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("scaleford"),
            calls: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            withdrawn: Family::default(),
            callers_given_up: Family::default(),
            answer_bytes: Gauge::default(),
            request_bytes: Gauge::default(),
            slot_time_ms: Family::default(),
            contended: ContendedPools::default(),
            contended_refusals: Family::default(),
            retry_after: Histogram::new(BUCKET_BOUNDS_SECONDS),
            counts_age: Histogram::new(BUCKET_BOUNDS_SECONDS),
            slowdown: Histogram::new(SLOWDOWN_BUCKET_BOUNDS),
            call_time: Histogram::new(BUCKET_BOUNDS_SECONDS),
            first_event_time: Histogram::new(BUCKET_BOUNDS_SECONDS),
            paths: PathMetrics::default(),
            streams: StreamMetrics::default(),
            unanswered: UnansweredMetrics::default(),
            entries_unusable: Counter::default(),
            halls_evacuated: Gauge::default(),
            quarantined_requests: Gauge::default(),
            datagrams_sent: Counter::default(),
            datagram_bytes: Counter::default(),
            claim_bytes: Counter::default(),
            answered: Cell::new(0),
            refused: Cell::new(0),
            store_call_count: Cell::new(0),
            prompt_tokens_missing: Counter::default(),
            in_progress: Gauge::default(),
            peers_alive: Gauge::default(),
            config_age_ms: Gauge::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            store_revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        self.register_flow();
        self.register_contended();
        self.register_parts();
        let r = &mut self.registry;
        r.register("calls", "Calls by how they ended", self.calls.clone());
        r.register(
            "attempts",
            "Attempts by how they ended",
            self.attempts.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register(
            "call_seconds",
            "Time to the end of a call",
            self.call_time.clone(),
        );
        r.register(
            "targets_withdrawn",
            "Targets that said in an answer that they want no calls, by why",
            self.withdrawn.clone(),
        );
        r.register(
            "slot_held_ms",
            "How long a call holds a slot of a target, by service",
            self.slot_time_ms.clone(),
        );
        r.register(
            "come_back_seconds",
            "When callers that found no room were asked back",
            self.retry_after.clone(),
        );
        r.register(
            "counts_age_seconds",
            "How old the counts of others' calls were where a target was chosen",
            self.counts_age.clone(),
        );
        r.register(
            "target_slowdown",
            "How long work takes at the targets that were chosen, as a factor on the usual time",
            self.slowdown.clone(),
        );
        let first = self.first_event_time.clone();
        r.register(
            "first_event_seconds",
            "Time to a stream's first event",
            first,
        );
        let evacuated = self.halls_evacuated.clone();
        r.register(
            "halls_evacuated",
            "Data halls whose targets get nothing",
            evacuated,
        );
        r.register(
            "held_requests",
            "Requests that are held back, as targets ended under them",
            self.quarantined_requests.clone(),
        );
        let unusable = self.entries_unusable.clone();
        r.register(
            "entries_unusable",
            "Entries of targets that name none to use, and entries of the configuration that can't be decoded",
            unusable,
        );
        r.register(
            "datagrams_sent",
            "Datagrams to peers",
            self.datagrams_sent.clone(),
        );
        r.register("datagram_bytes", "Their bytes", self.datagram_bytes.clone());
        r.register(
            "claim_bytes",
            "Bytes of claims to other routers",
            self.claim_bytes.clone(),
        );
        let missing = self.prompt_tokens_missing.clone();
        r.register(
            "prompt_tokens_missing",
            "Prompt tokens sent unread",
            missing,
        );
        r.register("in_progress", "Calls in progress", self.in_progress.clone());
        r.register("peers_alive", "Routers that live", self.peers_alive.clone());
        let age = self.config_age_ms.clone();
        r.register("config_age_ms", "Age of the configuration's proof", age);
        let version = self.config_version.clone();
        r.register("config_version", "The configuration in force", version);
        let era = self.store_era.clone();
        r.register("store_era", "The store's life that last answered here", era);
        let revision = self.store_revision.clone();
        r.register(
            "store_revision",
            "The store's revision known here",
            revision,
        );
    }

    /// Registers the metrics that have modules of their own.
    fn register_parts(&mut self) {
        let r = &mut self.registry;
        self.paths.register(r);
        self.streams.register(r);
        self.unanswered.register(r);
    }

    /// Registers what is known of contended pools.
    fn register_contended(&mut self) {
        let r = &mut self.registry;
        self.contended.register(r);
        r.register(
            "contended_refusals",
            "Calls to contended pools that were refused, by rank and why",
            self.contended_refusals.clone(),
        );
    }

    /// Registers what is held for callers and targets.
    fn register_flow(&mut self) {
        let r = &mut self.registry;
        r.register(
            "callers_given_up",
            "Callers that were given up, by why",
            self.callers_given_up.clone(),
        );
        r.register(
            "answer_bytes_held",
            "Bytes of answers that are held",
            self.answer_bytes.clone(),
        );
        r.register(
            "request_bytes_held",
            "Bytes of request bodies that are held",
            self.request_bytes.clone(),
        );
    }

    /// Records the end of a call by the name and number of its result code; the number is 0 if a target
    /// answered.
    pub(crate) fn on_call(&self, name: &'static str, number: u16, took: Duration) {
        self.calls.get_or_create(&CodeLabel { code: name }).inc();
        self.call_time.observe(took.as_secs_f64());
        let count = match number {
            0 => &self.answered,
            _ => &self.refused,
        };
        count.set(count.get() + 1);
    }

    /// Returns the number of calls that a target answered.
    pub(crate) fn answered(&self) -> u64 {
        self.answered.get()
    }

    /// Returns the number of calls that ended in any other way.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Returns the number of calls to the store.
    pub(crate) fn store_calls(&self) -> u64 {
        self.store_call_count.get()
    }

    /// Sets the time for which a call occupies a slot of the service's targets.
    pub(crate) fn on_slot_time(&self, service: &ServiceName, slot_time: Duration) {
        let label = ServiceLabel {
            service: service.to_string(),
        };
        let gauge = self.slot_time_ms.get_or_create(&label);
        gauge.set(slot_time.as_millis() as i64);
    }

    /// Sets the metrics of the pools that are contended, and drops those of all others.
    pub(crate) fn on_contended_pools(&self, pools: &[PoolStatus], names: &HashedNames) {
        self.contended.set(pools, names);
    }

    /// Returns whether there are metrics of contended pools.
    pub(crate) fn has_contended_pools(&self) -> bool {
        self.contended.count.get() > 0
    }

    /// Counts a refusal of a call to a contended pool.
    pub(crate) fn on_contended_refusal(
        &self,
        service: &ServiceName,
        rank: Rank,
        reason: &'static str,
    ) {
        let label = RefusalLabel {
            service: service.to_string(),
            rank: u32::from(rank.0),
            reason,
        };
        self.contended_refusals.get_or_create(&label).inc();
    }

    /// Sets the number of targets that are leaving, and of those that accept no calls for a while.
    pub(crate) fn on_withdrawn(&self, leaving: usize, backed_off: usize) {
        for (reason, n) in [("leaving", leaving), ("backoff", backed_off)] {
            let gauge = self.withdrawn.get_or_create(&ReasonLabel { reason });
            gauge.set(n as i64);
        }
    }

    /// Counts a caller that was given up.
    pub(crate) fn on_caller_given_up(&self, reason: GiveUpReason) {
        let label = ReasonLabel {
            reason: reason.name(),
        };
        self.callers_given_up.get_or_create(&label).inc();
    }

    /// Returns the number of callers that were given up for a reason.
    pub(crate) fn callers_given_up(&self, reason: GiveUpReason) -> u64 {
        let label = ReasonLabel {
            reason: reason.name(),
        };
        self.callers_given_up.get(&label).map_or(0, |n| n.get())
    }

    /// Sets the bytes that are held of answers and of request bodies.
    pub(crate) fn on_held(&self, answers: usize, requests: usize) {
        self.answer_bytes.set(answers as i64);
        self.request_bytes.set(requests as i64);
    }

    /// Records the delay after which a caller that was refused for lack of capacity should retry.
    pub(crate) fn on_capacity_refused(&self, retry_after: Duration) {
        self.retry_after.observe(retry_after.as_secs_f64());
    }

    /// Records the choice of a target: the mean age of the other routers' call counts by which it was chosen,
    /// and the factor on the usual time that work takes there.
    pub(crate) fn on_choice(&self, counts_age: Duration, time_factor: TimeFactor) {
        self.counts_age.observe(counts_age.as_secs_f64());
        self.slowdown.observe(time_factor.get());
    }

    pub(crate) fn on_first_event(&self, took: Duration) {
        self.first_event_time.observe(took.as_secs_f64());
    }

    pub(crate) fn on_attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn on_store_call(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.store_calls.get_or_create(&label).inc();
        self.store_call_count.set(self.store_call_count.get() + 1);
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut out = String::new();
        if let Err(e) = encode(&mut out, &self.registry) {
            // Writing into a string does not fail. If it did, the text would say so.
            let _ = writeln!(out, "# encoding failed: {e}");
        }
        out
    }
}

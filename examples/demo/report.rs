//! The counts of the demo, and the check of them against what the targets executed.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Mutex as SyncMutex,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::sync::Mutex;

use crate::support::{caller::Outcome, engine::Engine, fleet::Fleet};

/// Interval between two samples of loads and revisions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of all attempts of a call that must not be repeated.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptSummary {
    tries: u32,
    not_run: u32,
    succeeded: bool,
}

impl AttemptSummary {
    pub fn add(&mut self, outcome: &Outcome) {
        self.tries += 1;
        self.not_run += u32::from(outcome.ran == "no");
        self.succeeded |= outcome.status == 200 && !outcome.cut;
    }
}

/// The fleet of the running demo, and what was counted so far.
pub struct TestEnv {
    pub fleet: Mutex<Fleet>,
    /// Addresses of the routers that the load balancer sends calls to.
    pub ready: SyncMutex<Vec<SocketAddr>>,
    started_at: Instant,
    counts: SyncMutex<Counts>,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    answered: u64,
    wrong_answers: u64,
    cut_off: u64,
    unknown: u64,
    not_run: u64,
    not_run_ids: HashSet<String>,
    confirms: HashMap<String, AttemptSummary>,
    executed: HashSet<String>,
    prompt_tokens: u64,
    cached_tokens: u64,
    faults: BTreeMap<&'static str, u64>,
    codes: BTreeMap<u16, u64>,
    cut_off_by_stop: u64,
    requests_to_left_targets: u64,
    reverts: u64,
    revisions: HashMap<String, u64>,
    max_skew: f64,
    samples: u64,
    samples_above_bound: u64,
    times: Option<Histogram<u64>>,
}

/// Results of the demo.
#[derive(Serialize)]
pub struct Report {
    requests: u64,
    answered: u64,
    wrong_answers: u64,
    cut_off: u64,
    cut_off_by_planned_stop: u64,
    not_run: u64,
    not_run_but_ran: u64,
    unknown: u64,
    unrepeatable_calls: usize,
    ran_twice: usize,
    confirmed_but_not_run: usize,
    config_reverts: u64,
    new_work_to_left_targets: u64,
    skew: f64,
    samples_above_bound: f64,
    reuse: f64,
    control_bytes_per_router_s: f64,
    claim_bytes_per_call: f64,
    answer_ms: Times,
    hop_spans: u64,
    faults: BTreeMap<&'static str, u64>,
    codes: BTreeMap<u16, u64>,
    store_reads: u64,
    store_writes: u64,
    seconds: f64,
}

#[derive(Serialize)]
struct Times {
    p50: f64,
    p95: f64,
}

impl TestEnv {
    pub fn new(fleet: Mutex<Fleet>) -> Self {
        let all = fleet.try_lock().expect("no one else has it yet");
        let ready = all.live().map(|r| r.addresses().callers).collect();
        drop(all);
        Self {
            fleet,
            ready: SyncMutex::new(ready),
            started_at: Instant::now(),
            counts: SyncMutex::default(),
        }
    }

    /// Removes a router from the load balancer's list.
    pub fn remove_ready(&self, at: SocketAddr) {
        self.ready.lock().expect("list").retain(|a| *a != at);
    }

    pub fn record_fault(&self, name: &'static str) {
        *self.counts().faults.entry(name).or_default() += 1;
    }

    pub fn record_stop(&self, cut_off: u64) {
        self.counts().cut_off_by_stop += cut_off;
    }

    pub fn record_left(&self, requests: u64) {
        self.counts().requests_to_left_targets += requests;
    }

    pub fn record_time(&self, time: Duration) {
        let mut counts = self.counts();
        let new = || Histogram::new_with_max(600_000_000, 3).expect("histogram");
        let times = counts.times.get_or_insert_with(new);
        times.saturating_record(time.as_micros() as u64);
    }

    pub fn record_chat(&self, outcome: &Outcome, right: &str, returning: bool) {
        let mut counts = self.counts();
        counts.requests += 1;
        if outcome.code > 0 {
            *counts.codes.entry(outcome.code).or_default() += 1;
        }
        match outcome {
            o if o.status == 200 && o.finished && !o.cut => {
                counts.answered += 1;
                counts.wrong_answers += u64::from(o.text != right);
                if returning {
                    counts.prompt_tokens += o.prompt_tokens;
                    counts.cached_tokens += o.cached_tokens;
                }
            }
            o if o.ran == "no" => {
                counts.not_run += 1;
                counts.not_run_ids.insert(o.request.clone());
            }
            o if o.cut => {
                counts.cut_off += 1;
                // The part that arrived before the cut must be a prefix of the right answer.
                counts.wrong_answers += u64::from(!right.starts_with(&o.text));
            }
            _ => counts.unknown += 1,
        }
    }

    pub fn record_confirm(&self, key: &str, summary: AttemptSummary) {
        self.counts().confirms.insert(key.to_owned(), summary);
    }

    /// Adds the requests that an engine executed to the counts.
    pub fn record_executed(&self, engine: &Engine) {
        let state = engine.state.lock().expect("engine");
        self.counts()
            .executed
            .extend(state.executed.keys().cloned());
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("counts")
    }
}

/// Samples the ready routers, loads and revisions at a fixed interval, and prints the progress.
pub async fn watch(env: std::sync::Arc<TestEnv>) {
    let mut printed_at = Instant::now();
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let fleet = env.fleet.lock().await;
        let ready = fleet.live().filter(|r| r.is_ready());
        *env.ready.lock().expect("list") = ready.map(|r| r.addresses().callers).collect();
        sample(&env, &fleet);
        drop(fleet);
        if printed_at.elapsed() > Duration::from_secs(2) {
            printed_at = Instant::now();
            let counts = env.counts();
            eprintln!(
                "{:>4} s  {} requests, {} answered, {} not run, {} unknown, {} cut, faults {:?}",
                env.started_at.elapsed().as_secs(),
                counts.requests,
                counts.answered,
                counts.not_run,
                counts.unknown,
                counts.cut_off,
                counts.faults.values().sum::<u64>(),
            );
        }
    }
}

fn sample(env: &TestEnv, fleet: &Fleet) {
    let loads = fleet
        .engines
        .iter()
        .map(|e| e.state.lock().expect("engine").tokens as f64);
    let loads: Vec<f64> = loads.collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let worst = loads.iter().copied().fold(0.0, f64::max);
    let running = fleet
        .engines
        .iter()
        .map(|e| e.state.lock().expect("engine").running);
    let mut counts = env.counts();
    // With fewer than a few requests per engine the bound is meaningless, as an engine may always
    // run one.
    if running.sum::<u32>() as usize >= fleet.engines.len() * 4 {
        counts.samples += 1;
        counts.max_skew = counts.max_skew.max(worst / mean);
        counts.samples_above_bound += u64::from(worst / mean > 1.25);
    }
    for router in fleet.live() {
        let vm = router.vm.to_string();
        let revision = router.revision().0;
        let known = counts.revisions.entry(vm).or_default();
        let reverted = revision < *known;
        *known = revision;
        counts.reverts += u64::from(reverted);
    }
}

/// Collects what all targets executed, and computes the report.
pub async fn finish(env: &TestEnv) -> Report {
    let fleet = env.fleet.lock().await;
    for engine in &fleet.engines {
        env.record_executed(engine);
    }
    let seconds = env.started_at.elapsed().as_secs_f64();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for service in &fleet.services {
        for (key, n) in service.executed.lock().expect("service").iter() {
            *runs.entry(key.clone()).or_default() += n;
        }
    }
    let control: u64 = fleet.live().map(|r| r.control_bytes()).sum();
    let claims: u64 = fleet.live().map(|r| r.claim_bytes()).sum();
    let hop_spans = fleet.live().map(|r| r.hop_spans()).sum();
    let (store_reads, store_writes) = fleet.store.calls();
    let counts = env.counts();
    let ran = |id: &String| counts.executed.iter().any(|a| a.starts_with(id.as_str()));
    let ran_despite_not_run = |(key, summary): &(&String, &AttemptSummary)| {
        summary.tries == summary.not_run && runs.get(*key).is_some_and(|n| *n > 0)
    };
    let lost =
        |(key, summary): &(&String, &AttemptSummary)| summary.succeeded && !runs.contains_key(*key);
    let chats_that_ran = counts.not_run_ids.iter().filter(|id| ran(id)).count();
    let calls_that_ran = counts.confirms.iter().filter(ran_despite_not_run).count();
    let time = |q| {
        let times = counts.times.as_ref();
        times.map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1000.0)
    };
    Report {
        requests: counts.requests,
        answered: counts.answered,
        wrong_answers: counts.wrong_answers,
        cut_off: counts.cut_off,
        cut_off_by_planned_stop: counts.cut_off_by_stop,
        not_run: counts.not_run,
        not_run_but_ran: (chats_that_ran + calls_that_ran) as u64,
        unknown: counts.unknown,
        unrepeatable_calls: counts.confirms.len(),
        ran_twice: runs.values().filter(|n| **n > 1).count(),
        confirmed_but_not_run: counts.confirms.iter().filter(lost).count(),
        config_reverts: counts.reverts,
        new_work_to_left_targets: counts.requests_to_left_targets,
        skew: counts.max_skew,
        samples_above_bound: counts.samples_above_bound as f64 / counts.samples.max(1) as f64,
        reuse: counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64,
        control_bytes_per_router_s: control as f64 / seconds / fleet.live().count().max(1) as f64,
        claim_bytes_per_call: claims as f64 / counts.confirms.len().max(1) as f64,
        answer_ms: Times {
            p50: time(0.5),
            p95: time(0.95),
        },
        hop_spans,
        faults: counts.faults.clone(),
        codes: counts.codes.clone(),
        store_reads,
        store_writes,
        seconds,
    }
}

impl Report {
    /// Returns whether all guarantees held.
    pub fn guarantees_held(&self) -> bool {
        self.wrong_answers == 0
            && self.cut_off_by_planned_stop == 0
            && self.not_run_but_ran == 0
            && self.ran_twice == 0
            && self.confirmed_but_not_run == 0
            && self.config_reverts == 0
            && self.new_work_to_left_targets == 0
    }

    /// Returns the report as a table of text.
    pub fn table(&self) -> String {
        let rows = [
            ("requests", self.requests.to_string()),
            ("answered", self.answered.to_string()),
            (
                "not run / unknown / cut off",
                format!("{} / {} / {}", self.not_run, self.unknown, self.cut_off),
            ),
            ("wrong answers", self.wrong_answers.to_string()),
            ("marked not run, but ran", self.not_run_but_ran.to_string()),
            ("unrepeatable calls", self.unrepeatable_calls.to_string()),
            ("ran twice", self.ran_twice.to_string()),
            (
                "cut off by a planned stop",
                self.cut_off_by_planned_stop.to_string(),
            ),
            ("configuration went back", self.config_reverts.to_string()),
            (
                "new work to left targets",
                self.new_work_to_left_targets.to_string(),
            ),
            ("skew, worst max/mean", format!("{:.2}", self.skew)),
            (
                "reuse of returning chats",
                format!("{:.1} %", self.reuse * 100.0),
            ),
            (
                "control, bytes/router/s",
                format!("{:.0}", self.control_bytes_per_router_s),
            ),
            (
                "answer ms, p50 / p95",
                format!("{:.1} / {:.1}", self.answer_ms.p50, self.answer_ms.p95),
            ),
        ];
        let lines = rows.map(|(name, value)| format!("{name:<30} {value:>14}"));
        lines.join("\n")
    }
}

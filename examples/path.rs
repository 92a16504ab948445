//! Measures the cost of the path through a router: calls to an engine directly, and through a
//! router.
//!
//! `cargo run --release --locked --example path`
//!
//! A router works on one thread. Everything runs in one process, so the figures include the cost of
//! the simulated engine and of the caller; the ratios show what a hop adds.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::Value;
use support::{
    caller::{Caller, chat_body},
    fleet::{Fleet, MODEL, Plan},
};

/// Number of calls before the measurement.
const WARM_UP_CALLS: usize = 500;
/// Number of short calls that are measured.
const MEASURED_CALLS: usize = 4_000;
/// Number of streamed calls that are measured.
const MEASURED_STREAMS: usize = 200;
/// Number of chunks of a streamed call.
const CHUNKS_PER_STREAM: u64 = 500;
/// Number of concurrent callers while the rate is measured.
const CONCURRENT_CALLERS: usize = 32;
/// Number of streams that are open at once while memory is measured.
const OPEN_STREAMS: usize = 1_000;

#[tokio::main]
async fn main() {
    let plan = Plan {
        routers: 1,
        engines: 1,
        services: 0,
        halls: 1,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let paths = [
        ("direct", fleet.engines[0].server.address),
        ("a router", fleet.callers_at(0)),
    ];
    println!(
        "{:<12} {:>8} {:>8} {:>9} {:>10}",
        "way", "p50 us", "p99 us", "calls/s", "chunks/s"
    );
    let small = chat_body(MODEL, &[("user", "short".to_owned())], 1, false);
    let long = chat_body(
        MODEL,
        &[("user", "long".to_owned())],
        CHUNKS_PER_STREAM,
        true,
    );
    for (name, at) in paths {
        let (p50, p99) = measure_latency(at, &small).await;
        let calls = measure_rate(at, &small, MEASURED_CALLS).await;
        let chunks = measure_rate(at, &long, MEASURED_STREAMS).await * CHUNKS_PER_STREAM as f64;
        println!("{name:<12} {p50:>8} {p99:>8} {calls:>9.0} {chunks:>10.0}");
    }
    println!("rss after the calls: {} KB", rss_kb());
    measure_open_streams(&fleet).await;
}

async fn measure_latency(at: SocketAddr, body: &Value) -> (u64, u64) {
    let caller = Caller::default();
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("histogram");
    for i in 0..WARM_UP_CALLS + MEASURED_CALLS {
        let began = Instant::now();
        let outcome = caller.chat(at, body).await;
        assert!(outcome.finished, "{outcome:?}");
        if i >= WARM_UP_CALLS {
            times.saturating_record(began.elapsed().as_micros() as u64);
        }
    }
    (times.value_at_quantile(0.5), times.value_at_quantile(0.99))
}

async fn measure_rate(at: SocketAddr, body: &Value, calls: usize) -> f64 {
    let began = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENT_CALLERS {
        let body = body.clone();
        tasks.spawn(async move {
            let caller = Caller::default();
            for _ in 0..calls / CONCURRENT_CALLERS {
                assert!(caller.chat(at, &body).await.finished);
            }
        });
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("calls end");
    }
    calls as f64 / began.elapsed().as_secs_f64()
}

/// Measures the memory of an open stream. It includes the engine's and the caller's ends, which are
/// in the same process.
async fn measure_open_streams(fleet: &Fleet) {
    fleet.engines[0].set_gate(false);
    let before = rss_kb();
    let body = chat_body(MODEL, &[("user", "open".to_owned())], 50, true).to_string();
    let mut open = Vec::new();
    for _ in 0..OPEN_STREAMS {
        let caller = Caller::default();
        let path = "/v1/chat/completions";
        let res = caller
            .send(fleet.callers_at(0), Method::POST, path, &[], body.clone())
            .await;
        open.push((res.expect("a stream"), caller));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let per_stream = (rss_kb() - before) as f64 / OPEN_STREAMS as f64;
    println!("{OPEN_STREAMS} open streams: {per_stream:.1} KB each, all ends counted");
    fleet.engines[0].set_gate(true);
}

fn rss_kb() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
    number.unwrap_or(0)
}

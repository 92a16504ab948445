//! A small fleet in one process, with chats of several turns, calls that must not be repeated, and
//! faults.
//!
//! `cargo run --release --locked --example demo`

#[path = "../../tests/support/mod.rs"]
mod support;

mod chats;
mod faults;
mod report;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{
    caller::{KEY, TOKEN},
    engine::EngineConfig,
    fleet::{Fleet, MODEL, Plan},
};
use tokio::sync::Mutex;

mod flags {
    xflags::xflags! {
        /// Runs a small fleet on loopback and prints a report.
        cmd demo {
            /// Number of routers [4].
            optional --routers n: usize
            /// Number of model engines [6].
            optional --engines n: usize
            /// Number of runners of a plain service [2].
            optional --services n: usize
            /// Number of concurrent chats [200].
            optional --chats n: usize
            /// Seed of the random choices [1].
            optional --seed n: u64
            /// How often faults are injected: none, some or many [none].
            optional --faults kind: String
            /// Minimum time for which chats run, in seconds [15; 30 with faults].
            optional --seconds n: u64
            /// Prints the report as one line of JSON at the end, too.
            optional --json
            /// Prints the addresses of the fleet as JSON, and runs it until SIGTERM.
            optional --serve
        }
    }
}

#[tokio::main]
async fn main() {
    let flags = flags::Demo::from_env_or_exit();
    let fleet = Fleet::start(plan(&flags)).await;
    match flags.serve {
        true => serve(fleet).await,
        false => run(fleet, &flags).await,
    }
}

fn plan(flags: &flags::Demo) -> Plan {
    Plan {
        routers: flags.routers.unwrap_or(4),
        engines: flags.engines.unwrap_or(6),
        services: flags.services.unwrap_or(2),
        halls: 3,
        engine: EngineConfig {
            seed: 7,
            cache_tokens: 200_000,
            token_time: Duration::from_millis(5),
            prefill_time: Duration::from_micros(20),
        },
        settings: Vec::new(),
    }
}

/// Keeps the fleet running until SIGTERM or Ctrl-C.
async fn serve(mut fleet: Fleet) {
    let callers: Vec<_> = fleet
        .live()
        .map(|r| r.addresses().callers.to_string())
        .collect();
    let operators: Vec<_> = fleet
        .live()
        .map(|r| r.addresses().operators.to_string())
        .collect();
    println!(
        "{}",
        serde_json::json!({"callers": callers, "key": KEY, "operators": operators,
            "token": TOKEN, "model": MODEL, "service": support::fleet::SERVICE})
    );
    let mut term =
        tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).expect("signal");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    for router in fleet.routers.iter_mut().filter_map(Option::take) {
        router.stop().await;
    }
}

async fn run(fleet: Fleet, flags: &flags::Demo) {
    let faults = flags.faults.as_deref().unwrap_or("none").to_owned();
    let rate = faults.parse().unwrap_or_else(|e: String| {
        eprintln!("demo: --faults: {e}");
        std::process::exit(2);
    });
    let default_seconds = if rate == faults::FaultRate::None {
        15
    } else {
        30
    };
    let seconds = flags.seconds.unwrap_or(default_seconds);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let seed = flags.seed.unwrap_or(1);
    let env = Arc::new(report::TestEnv::new(Mutex::new(fleet)));
    let mut tasks = tokio::task::JoinSet::new();
    let mut rng = Pcg64::seed_from_u64(seed);
    for i in 0..flags.chats.unwrap_or(200) {
        let rng = Pcg64::seed_from_u64(rng.random());
        tasks.spawn(chats::run(Arc::clone(&env), i, rng, deadline));
    }
    let watcher = tokio::spawn(report::watch(Arc::clone(&env)));
    let injector = tokio::spawn(faults::run(Arc::clone(&env), rate, rng, deadline));
    while tasks.join_next().await.is_some() {}
    injector.await.expect("faults end");
    watcher.abort();
    let report = report::finish(&env).await;
    eprintln!("{}", report.table());
    if flags.json {
        println!("{}", serde_json::to_string(&report).expect("report"));
    }
    if !report.guarantees_held() {
        std::process::exit(1);
    }
}

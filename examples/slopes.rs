//! Measures on this machine the costs per unit, such as per target or per daemon, that
//! docs/CAPACITY.md uses.
//!
//! `cargo build --release --locked && cargo run --release --locked --example slopes`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    hint::black_box,
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::{Duration, Instant as Clock},
};

use scaleford::{
    admission::{
        shares::{Claim, ShareScope},
        surge::Surge,
        warm_up::ColdRule,
    },
    config::{
        ClientAccount, ConfigLog, FleetConfig, KeyHash, Model, Serves, Snapshot, Target,
        TargetIntent, routes,
        serving::{CallKind, CallerLimits},
    },
    discovery::{Discovery, ListChange, TargetRecord, TargetState},
    dispatcher::{CallPlan, Dispatcher},
    ids::{ConversationKey, Revision, SoftwareVersion},
    prompt_cache::{PartId, PromptCache, PromptPart},
    retry::BudgetRule,
    store::PackedValue,
    stream_origin::StreamProgress,
    units::{Instant, Priority, StoreRevision, Tokens, Weight},
};
use support::{
    caller::TOKEN,
    fleet::{change_at, status},
    store::Store,
};

const TARGETS: usize = 1_200;
const ACCOUNTS: usize = 470;
const MODELS: usize = 11;
const CHANGES: usize = 20;

#[tokio::main]
async fn main() {
    measure_configuration();
    measure_placement();
    measure_entries();
    measure_prompts();
    for n in [3, 12, 24] {
        measure_daemons(n).await;
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("a name")
}

fn model(i: usize) -> Serves {
    Serves::Model(name(&format!("model-{}", i % MODELS)))
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::default();
    for i in 0..ACCOUNTS {
        let account = ClientAccount {
            key_hashes: vec![KeyHash::of(&format!("key-{i}"))],
            priority: Priority::Live,
            requests_per_s: 20,
            concurrency: 200,
        };
        cfg.accounts.insert(name(&format!("account-{i}")), account);
    }
    for i in 0..MODELS {
        cfg.models
            .insert(name(&format!("model-{i}")), Model::default());
    }
    for i in 0..TARGETS {
        let target = Target {
            address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 8000).into(),
            region: name(&format!("region-{}", i % 2)),
            data_hall: name(&format!("hall-{}", i % 6)),
            serves: model(i),
            weight: Weight::DEFAULT,
            capacity_tokens: None,
            intent: TargetIntent::Serve,
        };
        cfg.targets.insert(name(&format!("runner-{i}")), target);
    }
    cfg
}

fn measure_configuration() {
    let before = rss_kb();
    let cfg = fleet_config();
    println!(
        "configuration: {ACCOUNTS} accounts, {TARGETS} targets: {} KB in memory",
        rss_kb() - before
    );
    let snapshot = Snapshot {
        revision: Revision(1),
        digest: ConfigLog::default().digest(),
        config: cfg.clone(),
    };
    println!(
        "configuration: snapshot {} bytes",
        serde_json::to_vec(&snapshot).expect("json").len()
    );
    let rules = routes::CallerRules {
        limits: CallerLimits::default(),
        chat_timeout: Duration::from_secs(300),
        longest_silence: Duration::from_secs(60),
    };
    let serving = || routes::serving_config(&cfg, Revision(1), &rules);
    let took = mean_time_ns(50, || drop(black_box(serving())));
    println!("configuration: put in force in {took:.0} ns, targets apart");
    let in_force = serving();
    let took = mean_time_ns(20_000, || {
        drop(black_box(in_force.key_owner("key-469").cloned()));
    });
    println!("accounts: finding a key among {ACCOUNTS}: {took:.0} ns");
}

/// Measures the time of a placement decision by the number of targets of a model.
fn measure_placement() {
    let rules = scaleford::edge::Rules {
        revoke_bound: None,
        cap_factor: 1.25,
        leaving_use_time: Duration::from_millis(800),
        budget: BudgetRule {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 50.0,
        },
        cold: ColdRule::default(),
        shares: ShareScope::default(),
        serve_on: Duration::ZERO,
        stop_time: Duration::ZERO,
    };
    for (n, peers) in [
        (9, 6),
        (60, 60),
        (140, 140),
        (600, 300),
        (3_000, 300),
        (9_695, 985),
        (19_400, 1_970),
    ] {
        let mut d = Dispatcher::new(name("hall-1"), &rules);
        let mut cfg = fleet_config();
        let all: Vec<Target> = cfg.targets.values().cloned().collect();
        let named = all.iter().cycle().enumerate();
        let named = named.map(|(i, t)| (name(&format!("runner-{i}")), t.clone()));
        cfg.targets = named.take(n).collect();
        for target in cfg.targets.values_mut() {
            target.serves = model(0);
        }
        let targets = routes::target_records(&cfg);
        d.discovery
            .on_configured_list(Instant::default(), targets, StoreRevision::first_era(1));
        for peer in 0..peers {
            let vm = name(&format!("vm-{peer}"));
            d.health.on_suspicions(Instant::default(), vm, Vec::new());
        }
        for (kind, is_chat) in [("chat's turn", true), ("prompt", false)] {
            let mut chat = 0;
            let took = mean_time_ns(500, || {
                chat += 1;
                let now = Instant::from_millis(chat);
                let mut call = third_turn(chat);
                call.chat = call.chat.filter(|_| is_chat);
                call.hash = chat;
                if let Ok(ticket) = d.choose(now, &call) {
                    black_box(d.on_end(now, &ticket, None));
                }
            });
            println!(
                "placement: a {kind}, one of {n} targets beside {peers} peers in {took:.0} ns, with its end"
            );
        }
    }
}

/// Measures the time in which a router applies a list of targets' entries, and a batch of changes.
fn measure_entries() {
    let targets = 3_000;
    let record = |n: usize, slots: u32| TargetRecord {
        id: name(&format!("runner-{n:010x}")),
        service: name("writer"),
        address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000).into(),
        data_hall: name(&format!("hall-{}", n % 6)),
        slots,
        max_tokens: None,
        state: TargetState::Ready,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
    };
    let now = Instant::default();
    let all = || (0..targets).map(|n| (record(n, 64), StoreRevision::first_era(1)));
    let list = mean_time_ns(20, || {
        let mut discovery = Discovery::default();
        discovery.on_list(now, all().collect(), StoreRevision::first_era(1));
    });
    println!("entries: a list of {targets} in {list:.0} ns");
    let mut discovery = Discovery::default();
    discovery.on_list(now, all().collect(), StoreRevision::first_era(1));
    let mut revision = 1;
    let together = mean_time_ns(20, || {
        revision += 1;
        let slots = 64 + revision as u32;
        let put = |n| {
            (
                ListChange::Put(record(n, slots)),
                StoreRevision::first_era(revision),
            )
        };
        discovery.on_changes(now, (0..512).map(put).collect());
    });
    println!("entries: 512 changes of {targets} together in {together:.0} ns");
    let entry = serde_json::to_vec(&record(0, 64)).expect("json");
    let pack = mean_time_ns(2_000, || drop(PackedValue::pack(&entry)));
    let packed = PackedValue::pack(&entry);
    let unpack = mean_time_ns(2_000, || drop(packed.unpack()));
    println!(
        "entries: {} bytes packed to {} in {pack:.0} ns, unpacked in {unpack:.0} ns",
        entry.len(),
        packed.packed_len()
    );
}

/// Returns the plan of the third turn of a chat.
fn third_turn(chat: u64) -> CallPlan {
    let part = |id, tokens| PromptPart {
        id: PartId(id),
        tokens: Tokens(tokens),
    };
    let own = (0..5).map(|n| part(chat * 100 + n, 120));
    CallPlan {
        service: model(0).pool(),
        kind: CallKind::Safe,
        prompt: std::iter::once(part(1, 400)).chain(own).collect(),
        shared_parts: 1,
        chat: Some(ConversationKey(chat)),
        answer: Tokens(200),
        hash: chat,
        engine: None,
        goal: Duration::from_secs(1),
        surge: Surge::None,
        claim: Claim::default(),
        warm_up: None,
        progress: StreamProgress::NotBegun,
        tried: Vec::new(),
        is_overlapping: false,
    }
}

/// Measures the memory of a router's record of cached prompt parts.
fn measure_prompts() {
    let before = rss_kb();
    let mut cache = PromptCache::default();
    let (targets, parts) = (100, 2_000_u64);
    for t in 0..targets {
        let target = name(&format!("runner-{t}"));
        for id in 0..parts {
            let part = PromptPart {
                id: PartId(id),
                tokens: Tokens(100),
            };
            cache.on_peer(&target, part, false);
        }
    }
    let bytes = (rss_kb() - before) as f64 * 1024.0 / (targets as f64 * parts as f64);
    println!("prompts: {bytes:.0} bytes a part at a target");
}

struct Daemon {
    child: Child,
    operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Measures memory, CPU time and control traffic of idle daemons that run as processes.
async fn measure_daemons(n: usize) {
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port")
    };
    let exe = std::env::current_exe().expect("path");
    let program = exe
        .parent()
        .and_then(|p| p.parent())
        .expect("folder")
        .join("scalefordd");
    let store = Store::start("127.0.0.1:0").await;
    let mut all = Vec::new();
    for i in 0..n {
        let (callers, peers, operators) = (free(), free(), free());
        let child = Command::new(&program)
            .args([
                "--vm",
                &format!("vm-{i}"),
                "--data-hall",
                &format!("hall-{}", i % 6),
            ])
            .args([
                "--listen",
                &callers.to_string(),
                "--peer-listen",
                &peers.to_string(),
            ])
            .args(["--operator-listen", &operators.to_string()])
            .args(["--platform", &store.server.address.to_string()])
            .env("SCALEFORD_OPERATOR_TOKENS", format!("night-watch:{TOKEN}"))
            .stdout(Stdio::null())
            .spawn()
            .expect("build the daemon first: cargo build --release");
        all.push(Daemon { child, operators });
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let (bytes, cpu, calls) = (control_bytes(&all).await, cpu_ticks(&all), store.calls());
    let time = Duration::from_secs(10);
    tokio::time::sleep(time).await;
    let seconds = time.as_secs_f64();
    let sent = (control_bytes(&all).await - bytes) / seconds / n as f64;
    let core = (cpu_ticks(&all) - cpu) as f64 / seconds / n as f64;
    let rss: i64 = all.iter().map(|d| rss_of(&d.child.id().to_string())).sum();
    let (reads, _) = store.calls();
    println!(
        "daemons: {n} idle: {} KB each, {core:.2}% of a core, {sent:.0} control bytes/s sent, {:.2} store reads/s in all",
        rss / n as i64,
        (reads - calls.0) as f64 / seconds,
    );
    measure_propagation(&all).await;
}

/// Measures the time from the acceptance of a change until it is in force at every daemon.
async fn measure_propagation(all: &[Daemon]) {
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let edit = serde_json::json!({"put_model": {"id": format!("model-{i}"), "model": {}}});
        let (code, accepted) = change_at(all[i % all.len()].operators, "spread", vec![edit]).await;
        assert_eq!(code, 200, "{accepted}");
        let began = Clock::now();
        let in_force = async |d: &Daemon| {
            status(d.operators).await["revision"].as_u64() >= accepted["revision"].as_u64()
        };
        for d in all {
            while !in_force(d).await {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        times.push(began.elapsed().as_millis());
    }
    times.sort_unstable();
    println!(
        "daemons: {} changes in force at all {}: median {} ms, longest {} ms",
        CHANGES,
        all.len(),
        times[CHANGES / 2],
        times[CHANGES - 1],
    );
}

async fn control_bytes(all: &[Daemon]) -> f64 {
    let mut sum = 0.0;
    for d in all {
        sum += status(d.operators).await["control_bytes"]
            .as_f64()
            .unwrap_or(0.0);
    }
    sum
}

/// Returns the CPU time of all daemons, in hundredths of a second.
fn cpu_ticks(all: &[Daemon]) -> u64 {
    let of = |d: &Daemon| -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", d.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.split(' ').collect();
        let number = |i: usize| {
            fields
                .get(i)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        number(13) + number(14)
    };
    all.iter().map(of).sum()
}

/// Returns the mean time of a call of `f`, in nanoseconds.
fn mean_time_ns(n: u32, mut f: impl FnMut()) -> f64 {
    let began = Clock::now();
    (0..n).for_each(|_| f());
    began.elapsed().as_nanos() as f64 / f64::from(n)
}

fn rss_kb() -> i64 {
    rss_of("self")
}

fn rss_of(pid: &str) -> i64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

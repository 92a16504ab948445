//! The slopes behind docs/CAPACITY.md, measured on this machine.
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
    config::{
        ClientAccount, ConfigLog, FleetConfig, KeyHash, Serves, Snapshot, Target, TargetIntent,
    },
    conversation::ConversationTable,
    homes::HomeMap,
    ids::{ConversationKey, Incarnation, PrefixKey, Revision, TargetId, VmId},
    membership::Membership,
    peer::encode_datagram,
    placement::{Candidate, prefix_targets, rank},
    settings::VmInfo,
    units::{Instant, Priority, Weight},
};
use support::{
    caller::TOKEN,
    fleet::{change_at, status},
    platform::Platform,
};

const ROUTERS: usize = 380;
const TARGETS: usize = 1_200;
const ACCOUNTS: usize = 470;
const MODELS: usize = 11;
const CHANGES: usize = 20;

#[tokio::main]
async fn main() {
    configuration();
    placement();
    conversations();
    membership();
    for n in [3, 12, 24] {
        daemons(n).await;
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
    for i in 0..TARGETS {
        let target = Target {
            address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 8000).into(),
            region: name(&format!("region-{}", i % 2)),
            data_hall: name(&format!("hall-{}", i % 6)),
            serves: model(i),
            weight: Weight::USUAL,
            capacity_tokens: None,
            intent: TargetIntent::Serve,
        };
        cfg.targets.insert(name(&format!("runner-{i}")), target);
    }
    cfg
}

fn vms(n: usize) -> Vec<VmId> {
    (0..n).map(|i| name(&format!("vm-{i}"))).collect()
}

fn configuration() {
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
    for n in [7, 95, ROUTERS] {
        let live = vms(n);
        let took = time(20, || drop(black_box(HomeMap::new(&cfg, &live))));
        println!("homes: map of {TARGETS} targets over {n} routers: {took:.0} ns");
    }
    let took = time(200, || {
        drop(black_box(cfg.account_of("key-469").map(|a| a.0.clone())))
    });
    println!("accounts: finding a key among {ACCOUNTS}: {took:.0} ns");
}

fn placement() {
    for n in [50, 300, TARGETS] {
        let all: Vec<_> = (0..n)
            .map(|i| Candidate::new(name::<TargetId>(&format!("runner-{i}")), Weight::USUAL))
            .collect();
        let whole = time(2_000, || drop(black_box(rank(&all, ConversationKey(7), 4))));
        let near = prefix_targets(&all, PrefixKey(9), 1.0 / ACCOUNTS as f64);
        let near: Vec<_> = near.into_iter().map(|i| all[i].clone()).collect();
        let short = time(2_000, || {
            drop(black_box(rank(&near, ConversationKey(7), 4)))
        });
        println!(
            "placement: rank of {n} targets {whole:.0} ns; of a prefix's {} {short:.0} ns",
            near.len()
        );
    }
}

fn conversations() {
    let before = rss_kb();
    let mut tables: Vec<ConversationTable> = (0..8).map(|_| ConversationTable::default()).collect();
    let n = 16_384;
    for table in &mut tables {
        (0..n).for_each(|k| table.on_placed(ConversationKey(k), name("runner-12")));
    }
    let bytes = (rss_kb() - before) as f64 * 1024.0 / (8.0 * n as f64);
    println!("conversations: {bytes:.0} bytes each off its first choice");
}

fn membership() {
    let info =
        |i: usize| -> VmInfo { name(&format!("vm-{i}/region-1/hall-{}/10.0.0.1:7000", i % 6)) };
    for n in [7, 95, ROUTERS] {
        let mut view = Membership::new(info(0), Incarnation(1), 1);
        view.on_vm_list(Instant::default(), (0..n).map(info).collect());
        let mut bytes = 0;
        let beats = 12;
        for i in 0..beats {
            let out = view.on_tick(Instant::from_millis(i));
            bytes += out
                .iter()
                .map(|(_, m)| encode_datagram(m).map_or(0, |b| b.len()) + 28)
                .sum::<usize>();
        }
        let took = time(200, || {
            drop(black_box(view.on_tick(Instant::from_millis(20))))
        });
        // Two beats a second, each answered by as much.
        let per_s = bytes as f64 / beats as f64 * 2.0;
        println!(
            "membership: {n} routers: {per_s:.0} bytes/s of heartbeats sent, as many answers; a beat {took:.0} ns"
        );
    }
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

/// Idle daemons as processes: memory, processor time, control traffic.
async fn daemons(n: usize) {
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
    let platform = Platform::start("127.0.0.1:0").await;
    let (mut all, mut vms) = (Vec::new(), Vec::new());
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
            .args(["--platform", &platform.server.address.to_string()])
            .env("SCALEFORD_OPERATOR_TOKENS", format!("night-watch:{TOKEN}"))
            .stderr(Stdio::null())
            .spawn()
            .expect("build the daemon first: cargo build --release");
        vms.push(format!("vm-{i}/region-1/hall-{}/{peers}", i % 6));
        all.push(Daemon { child, operators });
    }
    platform.set_vms(vms);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let (bytes, cpu, calls) = (control(&all).await, ticks(&all), platform.calls());
    let time = Duration::from_secs(10);
    tokio::time::sleep(time).await;
    let seconds = time.as_secs_f64();
    let sent = (control(&all).await - bytes) / seconds / n as f64;
    let core = (ticks(&all) - cpu) as f64 / seconds / n as f64;
    let rss: i64 = all.iter().map(|d| rss_of(&d.child.id().to_string())).sum();
    let (reads, _) = platform.calls();
    println!(
        "daemons: {n} idle: {} KB each, {core:.2}% of a core, {sent:.0} control bytes/s sent, {:.2} store reads/s in all",
        rss / n as i64,
        (reads - calls.0) as f64 / seconds,
    );
    spread(&all).await;
}

/// The time from a change's acceptance until it is in force at every daemon.
async fn spread(all: &[Daemon]) {
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

async fn control(all: &[Daemon]) -> f64 {
    let mut sum = 0.0;
    for d in all {
        sum += status(d.operators).await["control_bytes"]
            .as_f64()
            .unwrap_or(0.0);
    }
    sum
}

/// Processor time of all daemons, in hundredths of a second.
fn ticks(all: &[Daemon]) -> u64 {
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

/// The mean time of a call, in nanoseconds.
fn time(n: u32, mut f: impl FnMut()) -> f64 {
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

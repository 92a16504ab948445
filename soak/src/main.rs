//! A randomized soak: gateways as processes, targets and the store as stand-ins, links that fail.
//!
//! Everything is drawn from a seed. What must hold is checked from what callers and targets see;
//! the exit status is 1 if anything did not.

mod budget;
mod callers;
mod crashes;
mod entries;
mod faults;
#[allow(dead_code)]
#[path = "../../tests/support/http.rs"]
mod http;
mod link;
mod promises;
#[path = "../../platform/tests/support/serve.rs"]
mod serve;
mod set_backs;
#[allow(dead_code)]
#[path = "../../platform/tests/support/store.rs"]
mod store;
mod target;
mod vm;
mod withdrawals;

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateways as processes on loopback under faults, and checks what was promised.
        cmd soak {
            /// What everything is drawn from; 1 if not given.
            optional --seed seed: u64
            /// How long faults go on, in seconds; 10 if not given.
            optional --seconds seconds: u64
            /// How many gateways; 4 if not given, 200 at the most.
            optional --vms vms: usize
            /// The gateway's program, if it is not beside this one.
            optional --program program: PathBuf
            /// Restarts under the same name, entries of other writers and evacuations come as well.
            optional --entries
            /// A request comes that ends each target that begins to run it.
            optional --crashes
            /// Targets say in answers that they leave, or want no calls for a while.
            optional --withdrawals
            /// The store comes back from older copies.
            optional --set-backs
            /// Print the verdict as JSON.
            optional --json
        }
    }
}

/// What a run is made of.
#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    faults_for: Duration,
    vms: usize,
    program: PathBuf,
    entries: bool,
    crashes: bool,
    withdrawals: bool,
    set_backs: bool,
}

/// Gateways at the most: each takes some 10 MB, and an address of one network of 250.
const MOST_VMS: usize = 200;

fn main() -> ExitCode {
    let flags = match flags::Soak::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let beside = std::env::current_exe().ok();
    let beside = beside.map(|p| p.with_file_name("scalefordd"));
    let plan = Plan {
        seed: flags.seed.unwrap_or(1),
        faults_for: Duration::from_secs(flags.seconds.unwrap_or(10)),
        vms: flags.vms.unwrap_or(4).clamp(1, MOST_VMS),
        entries: flags.entries,
        crashes: flags.crashes,
        withdrawals: flags.withdrawals,
        set_backs: flags.set_backs,
        program: flags.program.or(beside).unwrap_or_default(),
    };
    if !plan.program.is_file() {
        eprintln!("no program {}: build it first", plan.program.display());
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let verdict = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run(&plan)),
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    match flags.json {
        true => println!("{}", verdict.json(&plan)),
        false => println!("{}", verdict.text(&plan)),
    }
    match verdict.is_kept() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// How long a request that ends targets comes on after the faults: beyond the time in which gateways have to know.
const CRASHES_ON: Duration = Duration::from_secs(6);

async fn run(plan: &Plan) -> promises::Verdict {
    let mut rng = Pcg64::seed_from_u64(plan.seed);
    let world = Rc::new(vm::World::start(plan).await);
    let promises = Rc::clone(&world.promises);
    world.until_ready().await;
    let calling = callers::start(&world, plan.seed);
    let crashing = plan.crashes.then(|| crashes::start(&world, plan.seed));
    let entries = async {
        if plan.entries {
            entries::inject(&world, plan.seed, plan.faults_for).await;
        }
    };
    let withdrawals = async {
        if plan.withdrawals {
            withdrawals::inject(&world, plan.seed, plan.faults_for).await;
        }
    };
    let set_backs = async {
        if plan.set_backs {
            set_backs::inject(&world, plan.seed, plan.faults_for).await;
        }
    };
    let faults = faults::inject(&world, &mut rng, plan.faults_for);
    tokio::join!(faults, entries, withdrawals, set_backs);
    world.heal().await;
    calling.until_served_again().await;
    if plan.set_backs {
        set_backs::check(&world).await;
    }
    if let Some(crashing) = crashing {
        promises.on_settled(true);
        tokio::time::sleep(CRASHES_ON).await;
        crashing.stop();
    }
    calling.stop().await;
    world.stop().await;
    promises.verdict()
}

//! Randomized soak test: real router processes, simulated targets and a simulated store, and links that fail.
//!
//! All random choices derive from one seed. The guarantees are checked by what callers and targets observe;
//! the exit status is 1 if any of them was violated.

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
mod slow_readers;
#[allow(dead_code)]
#[path = "../../platform/tests/support/store.rs"]
mod store;
mod store_reverts;
mod target;
mod vm;
mod withdrawals;

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs router processes on loopback, injects faults, and checks the guarantees.
        cmd soak {
            /// Seed of all random choices; 1 by default.
            optional --seed seed: u64
            /// Duration of the faults, in seconds; 10 by default.
            optional --seconds seconds: u64
            /// Number of routers; 4 by default, at most 200.
            optional --vms vms: usize
            /// Path of the router program; by default `scalefordd` in the directory of this program.
            optional --program program: PathBuf
            /// Also restart targets under the same name, and write entries of other writers and evacuations.
            optional --entries
            /// Also send a request that crashes each target that starts to run it.
            optional --crashes
            /// Also let targets announce in responses that they are leaving or accept no calls for a while.
            optional --withdrawals
            /// Also revert the store to older copies.
            optional --set-backs
            /// Also let callers read large streams slowly or not at all, at routers with little memory.
            optional --slow-readers
            /// Print the verdict as JSON.
            optional --json
        }
    }
}

/// Options of a run.
#[derive(Debug, Clone)]
struct RunOptions {
    /// Seed of all random choices.
    seed: u64,
    /// Time for which faults are injected.
    fault_duration: Duration,
    /// Number of routers.
    vms: usize,
    /// Path of the router program.
    program: PathBuf,
    /// Whether to inject writes of store entries; see `entries`.
    entries: bool,
    /// Whether to send a request that crashes targets; see `crashes`.
    crashes: bool,
    /// Whether to let targets withdraw; see `withdrawals`.
    withdrawals: bool,
    /// Whether to revert the store; see `store_reverts`.
    set_backs: bool,
    /// Whether to start callers that read slowly; see `slow_readers`.
    slow_readers: bool,
}

/// Maximum number of routers. Each takes about 10 MB of memory and one of the 250 addresses of a network.
const MAX_VMS: usize = 200;

fn main() -> ExitCode {
    let flags = match flags::Soak::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let default_program = std::env::current_exe().ok();
    let default_program = default_program.map(|p| p.with_file_name("scalefordd"));
    let options = RunOptions {
        seed: flags.seed.unwrap_or(1),
        fault_duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        vms: flags.vms.unwrap_or(4).clamp(1, MAX_VMS),
        entries: flags.entries,
        crashes: flags.crashes,
        withdrawals: flags.withdrawals,
        set_backs: flags.set_backs,
        slow_readers: flags.slow_readers,
        program: flags.program.or(default_program).unwrap_or_default(),
    };
    if !options.program.is_file() {
        eprintln!("no router at {}: build it first", options.program.display());
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let verdict = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run(&options)),
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    match flags.json {
        true => println!("{}", verdict.json(&options)),
        false => println!("{}", verdict.text(&options)),
    }
    match verdict.all_kept() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Time for which the request that crashes targets is still sent after the faults have ended. It is longer
/// than the time within which routers have to know about the crashes.
const CRASHES_AFTER_FAULTS: Duration = Duration::from_secs(6);

/// Runs the soak test and returns its verdict.
async fn run(options: &RunOptions) -> promises::Verdict {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let env = Rc::new(vm::TestEnv::start(options).await);
    let promises = Rc::clone(&env.promises);
    env.until_ready().await;
    let caller_tasks = callers::start(&env, options.seed);
    let crash_tasks = options.crashes.then(|| crashes::start(&env, options.seed));
    let slow_readers = options
        .slow_readers
        .then(|| slow_readers::start(&env, options.seed));
    let entries = async {
        if options.entries {
            entries::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let withdrawals = async {
        if options.withdrawals {
            withdrawals::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let reverts = async {
        if options.set_backs {
            store_reverts::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let faults = faults::inject(&env, &mut rng, options.fault_duration);
    tokio::join!(faults, entries, withdrawals, reverts);
    env.clear_faults().await;
    caller_tasks.until_recovered().await;
    if options.set_backs {
        store_reverts::check_config_after_revert(&env).await;
    }
    if let Some(crash_tasks) = crash_tasks {
        promises.on_stability_change(true);
        tokio::time::sleep(CRASHES_AFTER_FAULTS).await;
        crash_tasks.stop();
    }
    if let Some(slow_readers) = slow_readers {
        slow_readers.stop();
    }
    caller_tasks.stop().await;
    env.stop().await;
    promises.verdict()
}

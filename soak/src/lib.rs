//! Randomized soak test: real router processes, simulated targets and a simulated store, and links that fail.
//!
//! All random choices derive from one seed. The guarantees are checked by what callers and targets observe.

mod brittle;
mod budget;
pub mod callers;
mod config_changes;
mod crashes;
mod cuts;
mod entries;
mod faults;
#[allow(dead_code)]
#[path = "../../tests/support/http.rs"]
mod http;
pub mod link;
pub mod lost_calls;
mod power_losses;
pub mod promises;
mod restarts;
#[path = "../../platform/tests/support/serve.rs"]
mod serve;
pub mod silences;
mod slow_readers;
pub mod stops;
#[allow(dead_code)]
#[path = "../../platform/tests/support/store.rs"]
mod store;
mod store_reverts;
mod surge;
pub mod target;
pub mod verdict;
mod versions;
mod vm;
mod withdrawals;

use std::{path::PathBuf, rc::Rc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time for which faults are injected.
    pub fault_duration: Duration,
    /// Number of routers.
    pub vms: usize,
    /// Path of the router program.
    pub program: PathBuf,
    /// Whether to inject writes of store entries; see `entries`.
    pub entries: bool,
    /// Whether to send a request that crashes targets; see `crashes`.
    pub crashes: bool,
    /// Whether to let targets withdraw; see `withdrawals`.
    pub withdrawals: bool,
    /// Whether to revert the store; see `store_reverts`.
    pub set_backs: bool,
    /// Whether to overload a small plain service; see `surge`.
    pub surge: bool,
    /// Whether to cut routers off from all targets; see `cuts`.
    pub cuts: bool,
    /// Whether the targets of the small plain service are brittle; see `brittle`.
    pub brittle: bool,
    /// Whether to send requests that share a part which crashes targets; see `crashes`.
    pub parts: bool,
    /// Whether targets run several software versions; see `versions`.
    pub versions: bool,
    /// Whether targets fall silent for a moment; see `silences`.
    pub silences: bool,
    /// Whether to change the configuration in quick succession; see `config_changes`.
    pub changes: bool,
    /// Whether power is lost; see `power_losses`.
    pub power: bool,
    /// Whether all routers are restarted at the same moment; see `restarts`.
    pub restarts: bool,
    /// Whether the faults are only planned work.
    pub planned: bool,
    /// Whether to keep the routers' logs also if all guarantees were kept.
    pub keep_logs: bool,
    /// Whether to start callers that read slowly; see `slow_readers`.
    pub slow_readers: bool,
}

/// Maximum number of routers. Each takes about 10 MB of memory and one of the 250 addresses of a network.
pub const MAX_VMS: usize = 200;

/// Time for which the request that crashes targets is still sent after the faults have ended. It is longer
/// than the time within which routers have to know about the crashes.
const CRASHES_AFTER_FAULTS: Duration = Duration::from_secs(6);

/// Runs the soak test and returns its verdict.
pub async fn run(options: &RunOptions) -> verdict::Verdict {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let env = Rc::new(vm::TestEnv::start(options).await);
    let promises = Rc::clone(&env.promises);
    env.until_ready().await;
    let caller_tasks = callers::start(&env, options.seed);
    let crash_tasks = (options.crashes || options.parts)
        .then(|| crashes::start(&env, options.seed, options.parts));
    let slow_readers = options
        .slow_readers
        .then(|| slow_readers::start(&env, options.seed));
    let stream_callers = options
        .versions
        .then(|| versions::start(&env, options.seed));
    let long_streams =
        (options.silences || options.changes).then(|| silences::start(&env, options.seed));
    let restart_callers = options
        .restarts
        .then(|| restarts::start(&env, options.seed));
    let silences = async {
        if options.silences {
            silences::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let changes = async {
        if options.changes {
            config_changes::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let replacements = async {
        if options.versions {
            versions::inject(&env, options.seed, options.fault_duration).await;
        }
    };
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
    let power_losses = async {
        if options.power {
            power_losses::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let restarts = async {
        if options.restarts {
            restarts::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let cuts = async {
        if options.cuts {
            cuts::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let surges = async {
        if options.surge {
            surge::inject(&env, options.seed, options.fault_duration).await;
        }
    };
    let faults = faults::inject(&env, &mut rng, options.fault_duration);
    tokio::join!(
        faults,
        entries,
        withdrawals,
        reverts,
        cuts,
        surges,
        replacements,
        silences,
        changes,
        power_losses,
        restarts
    );
    env.clear_faults().await;
    caller_tasks.until_recovered().await;
    if options.set_backs {
        store_reverts::check_config_after_revert(&env).await;
    }
    if options.power {
        power_losses::check_after_faults(&env, options.seed).await;
        caller_tasks.until_recovered().await;
    }
    if options.restarts {
        restarts::check_after_faults(&env, options.seed).await;
        caller_tasks.until_recovered().await;
    }
    if options.surge {
        surge::check_after_faults(&env, options.seed).await;
    }
    if let Some(crash_tasks) = crash_tasks {
        promises.on_stability_change(true);
        tokio::time::sleep(CRASHES_AFTER_FAULTS).await;
        crash_tasks.stop();
    }
    if let Some(stream_callers) = stream_callers {
        stream_callers.stop().await;
    }
    if let Some(restart_callers) = restart_callers {
        restart_callers.stop(&env).await;
    }
    if let Some(long_streams) = long_streams {
        long_streams.stop().await;
    }
    if let Some(slow_readers) = slow_readers {
        slow_readers.stop();
    }
    caller_tasks.stop().await;
    env.stop().await;
    promises.verdict()
}

//! Surges that overload a small plain service, derived from the seed.
//!
//! The service has two targets of two slots, and surges ask for several times what these can do. Its
//! calls must not be retried, so that a refusal means that the call did not run; [`PromiseChecker`]
//! checks that. Its targets have no faults of their own, so that calls have to be answered as long as
//! a router that runs and reaches the store can be asked, and in a last surge after the faults.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    brittle::MAX_CRASHES,
    callers::Caller,
    link::LinkFault,
    promises::{CallOutcome, Promise, PromiseChecker},
    store::StoreFault,
    target::Target,
    vm::{API_KEYS, TestEnv, Vm},
};

/// Name of the service, and path prefix of its route.
pub const SERVICE: &str = "small";

/// Number of its targets.
pub const TARGET_COUNT: usize = 2;

/// Number of calls that each of its targets runs at once; it rejects others.
pub const SLOTS: usize = 2;

/// Time that a call occupies a slot.
pub const CALL_TIME: Duration = Duration::from_millis(40);

/// Number of surging callers of each router. Those of a single router ask for twice what the targets
/// can do.
const CALLERS_PER_VM: usize = 8;

/// Pause of a caller after each call.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Range of the duration of a surge, in milliseconds.
const SURGE_MS: std::ops::Range<u64> = 3_000..7_000;

/// Range of the pause between two surges, in milliseconds: shorter and longer than the time for which
/// a pool counts as contended.
const PAUSE_MS: std::ops::Range<u64> = 500..4_000;

/// Time within which some calls of a surge have to be answered, while a router is steady.
const WINDOW: Duration = Duration::from_secs(2);

/// Part of what the targets can do that has to be answered in a window. It is far below what a steady
/// fleet answers, as faults take routers out in the middle of their calls and the machine may be busy.
const MIN_ANSWERED_PART: f64 = 0.1;

/// Interval at which routers are observed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a router must have run and reached the store to count as steady: it starts, and
/// gets a configuration that is confirmed.
const STEADY_TIME: Duration = Duration::from_secs(2);

/// Duration of the surge after the faults.
const LAST_SURGE: Duration = Duration::from_secs(6);

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x7375_7267_6573;

/// Returns whether a call with this id belongs to a surge.
pub fn is_surge_call(id: &str) -> bool {
    id.starts_with("once-small-")
}

/// Starts the targets that surges overload, and writes their entries.
pub async fn start_targets(env: &TestEnv) {
    for n in 0..TARGET_COUNT {
        let id = format!("s-{n}");
        let slots = Some(SLOTS);
        let started = Target::start_limited(&id, slots, CALL_TIME, &env.promises);
        let (target, address) = started.await;
        target.brittle.set(env.brittle);
        let entry = json!({"service": SERVICE, "address": address.to_string(),
            "zone": "yard", "version": "v1", "slots": SLOTS, "state": "ready",
            "coldLeftMs": 0, "callSeq": 0, "born": 1_764_720_000_000_u64});
        env.store
            .put(&format!("servers/{id}"), entry.to_string().as_bytes());
    }
}

/// Overloads the service over and over for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    let mut steady = SteadyRouters::new(env);
    let mut surge = 0;
    while Instant::now() < end {
        surge += 1;
        let lasts = Duration::from_millis(rng.random_range(SURGE_MS));
        let until = end.min(Instant::now() + lasts);
        run_surge(env, &mut steady, surge, until, rng.random()).await;
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        let until = end.min(Instant::now() + pause);
        while Instant::now() < until {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            steady.observe(env);
        }
    }
}

/// Overloads the service once more after all faults have ended and all routers are ready.
pub async fn check_after_faults(env: &TestEnv, seed: u64) {
    let mut steady = SteadyRouters::new(env);
    tokio::time::sleep(STEADY_TIME).await;
    let before = env.promises.brittle_crashes();
    run_surge(env, &mut steady, 0, Instant::now() + LAST_SURGE, seed).await;
    let crashes = env.promises.brittle_crashes() - before;
    if crashes > MAX_CRASHES {
        let description = format!("{crashes} crashes in {LAST_SURGE:?}");
        env.promises
            .record_violation(Promise::BrittleKept, description);
    }
}

/// Runs one surge, and checks that calls are answered in each of its windows.
async fn run_surge(
    env: &TestEnv,
    steady: &mut SteadyRouters,
    surge: u64,
    until: Instant,
    seed: u64,
) {
    let answered = Rc::new(Cell::new(0_u32));
    let tasks = env.vms.iter().enumerate().flat_map(|(vm_index, vm)| {
        let answered = &answered;
        (0..CALLERS_PER_VM).map(move |caller_index| {
            let name = format!("{vm_index}-{surge}x{caller_index}");
            let caller_seed = seed ^ (vm_index * CALLERS_PER_VM + caller_index) as u64;
            let rng = Pcg64::seed_from_u64(caller_seed);
            let (vm, promises) = (Rc::clone(vm), Rc::clone(&env.promises));
            let answered = Rc::clone(answered);
            tokio::task::spawn_local(run_caller(vm, promises, answered, name, until, rng))
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut window = (Instant::now(), answered.get());
    while Instant::now() < until {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        steady.observe(env);
        let lasted = window.0.elapsed();
        if lasted < WINDOW {
            continue;
        }
        let n = answered.get() - window.1;
        let possible = (TARGET_COUNT * SLOTS) as f64 * lasted.div_duration_f64(CALL_TIME);
        if f64::from(n) < MIN_ANSWERED_PART * possible && steady.covers(lasted) {
            let description = format!("{n} answered of {possible:.0} possible in {lasted:?}");
            env.promises
                .record_violation(Promise::SurgeAnswered, description);
        }
        window = (Instant::now(), answered.get());
    }
    for task in tasks {
        // A panic of a caller has been printed already.
        let _ = task.await;
    }
}

/// Sends calls to one router until the surge ends.
async fn run_caller(
    vm: Rc<Vm>,
    promises: Rc<PromiseChecker>,
    answered: Rc<Cell<u32>>,
    name: String,
    until: Instant,
    mut rng: Pcg64,
) {
    let mut idle_caller: Option<Caller> = None;
    let mut n = 0_u64;
    while Instant::now() < until {
        tokio::time::sleep(CALLER_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        let mut caller = match idle_caller.take() {
            Some(caller) => caller,
            None => match Caller::connect(vm.caller_address).await {
                Some(caller) => caller,
                None => continue,
            },
        };
        n += 1;
        let id = format!("once-small-{name}-{n}");
        let sent_at = Instant::now();
        promises.on_sent(&id, sent_at);
        let outcome = caller.call(SERVICE, &id, API_KEYS[0]).await;
        promises.on_end(&id, &outcome, sent_at, false);
        if matches!(outcome, CallOutcome::Response(200, _, true)) {
            answered.set(answered.get() + 1);
        }
        if outcome != CallOutcome::NoResponse {
            idle_caller = Some(caller);
        }
    }
}

/// Since when each router runs and reaches the store, if it does.
struct SteadyRouters(Vec<Option<Instant>>);

impl SteadyRouters {
    fn new(env: &TestEnv) -> Self {
        Self(vec![Some(Instant::now()); env.vms.len()])
    }

    /// Observes the state of all routers.
    fn observe(&mut self, env: &TestEnv) {
        let is_store_healthy = env.store.fault() == StoreFault::default();
        for (since, vm) in self.0.iter_mut().zip(&env.vms) {
            let is_up = vm.is_running() && !vm.paused.get() && !vm.terminating.get();
            let reaches_store = is_store_healthy && vm.store_link.fault() == LinkFault::None;
            let steady_since = since.unwrap_or_else(Instant::now);
            *since = (is_up && reaches_store).then_some(steady_since);
        }
    }

    /// Returns whether at least one router was steady for the last `lasted`.
    fn covers(&self, lasted: Duration) -> bool {
        let steady = |since: &Instant| since.elapsed() >= lasted + STEADY_TIME;
        self.0.iter().flatten().any(steady)
    }
}

//! Short outages of the store after which it is restored from an older copy, derived from the seed.
//!
//! What operators and targets had written since the copy is written again soon after.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::{
    callers::Caller,
    promises::{CallOutcome, Promise},
    store::{Kv, StoreFault},
    vm::{API_KEYS, TestEnv, Vm},
};

/// Range of the copy's age when the store becomes unavailable, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 300..5_000;

/// Range of the outage of the store, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 0..3_000;

/// Range of the time after which lost writes are written again, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..400;

/// Prefix of the keys of the routers' own entries.
const ROUTER_KEY_PREFIX: &str = "scaleford";

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x7365_7420_6261_636b;

/// Reverts the store repeatedly for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let copy = env.store.backup();
        sleep_random_ms(&mut rng, COPY_AGE_MS).await;
        env.store.set_fault(StoreFault {
            down: true,
            ..StoreFault::default()
        });
        sleep_random_ms(&mut rng, OUTAGE_MS).await;
        let lost = env.store.backup();
        env.store.set_back(copy.clone());
        env.store.set_fault(StoreFault::default());
        env.promises.on_stability_change(false);
        sleep_random_ms(&mut rng, REWRITE_DELAY_MS).await;
        rewrite_lost_entries(env, &lost, &copy);
    }
}

/// Time after its write within which a configuration has to be in force at all routers: the two seconds that
/// the rule allows, and one second because the machine may be busy.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of irrelevant writes that are lost. It is larger than the number of writes that follow the revert.
const LOST_WRITES: usize = 50;

/// Reverts the store once more after all faults have ended. A configuration that is written after that has to
/// be in force at all routers.
pub async fn check_config_after_revert(env: &TestEnv) {
    let copy = env.store.backup();
    for n in 0..LOST_WRITES {
        env.store.put(&format!("other/{n}"), b"lost");
    }
    write_and_check_config(env).await;
    env.store.set_back(copy);
    write_and_check_config(env).await;
}

/// Writes a new configuration and checks that it is in force at all routers in time.
async fn write_and_check_config(env: &TestEnv) {
    env.write_config(&API_KEYS[..1]);
    check_config_in_force(env, CONFIG_PROPAGATION_TIME).await;
}

/// Checks that the configuration that was written last is in force at all routers within this time.
pub async fn check_config_in_force(env: &TestEnv, within: Duration) {
    let version = env.version().get();
    let deadline = Instant::now() + within;
    for (vm_index, vm) in env.vms.iter().enumerate() {
        if tokio::time::timeout_at(deadline, until_served(vm, vm_index, version))
            .await
            .is_err()
        {
            let description = format!("version {version} is not in force at {}", vm.caller_address);
            env.promises
                .record_violation(Promise::ConfigInForce, description);
        }
    }
}

/// Calls the route that only this version of the configuration has, until a call is served.
async fn until_served(vm: &Vm, vm_index: usize, version: u64) {
    let kind = format!("only-{version}");
    let mut attempt = 0;
    loop {
        attempt += 1;
        let id = format!("{kind}-check-{vm_index}-{attempt}");
        if let Some(mut caller) = Caller::connect(vm.caller_address).await
            && matches!(
                caller.call(&kind, &id, API_KEYS[0]).await,
                CallOutcome::Response(200, ..)
            )
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Sleeps for a random number of milliseconds from the range.
pub async fn sleep_random_ms(rng: &mut Pcg64, ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}

/// Restores the entries that others than the routers had written or removed since the copy, except those that
/// have been changed again since the revert.
pub fn rewrite_lost_entries(env: &TestEnv, lost: &Kv, copy: &Kv) {
    let value = |kv: &Kv, key: &String| kv.items.get(key).map(|i| i.value.clone());
    let current = env.store.backup();
    let keys = lost.items.keys().chain(copy.items.keys());
    for key in keys.filter(|key| !key.starts_with(ROUTER_KEY_PREFIX)) {
        let has_changed = value(&current, key) != value(copy, key);
        match value(lost, key) {
            _ if has_changed => {}
            lost if lost == value(copy, key) => {}
            Some(lost) => {
                env.store.put(key, &lost);
            }
            None => env.store.remove(key),
        }
    }
}

//! Losses of power, derived from the seed: the store becomes unavailable and comes back from an older copy, and
//! all routers are killed at the same moment, often with all targets.
//!
//! What operators and targets had written since the copy is written again soon after. After the faults, power is
//! lost right after a configuration was written, with and without the store's content. That configuration has to
//! come into force, and the key that it takes away must stay away.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep};

use crate::{
    store::{Kv, StoreFault},
    store_reverts::{check_config_in_force, rewrite_lost_entries, sleep_random_ms},
    vm::{API_KEYS, TestEnv},
};

/// Range of the age of the copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 500..4_000;

/// Range of the outage of the store, and of the time after which each router starts again, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 0..2_000;

/// Range of the time after which lost writes are written again, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..400;

/// Range of the time between the last write and the loss of power, in milliseconds.
const LAST_WRITE_MS: std::ops::Range<u64> = 0..50;

/// Time within which all routers have to serve again after all are started and the store is back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time for which callers still use the key that was taken away.
const REVOKED_KEY_TIME: Duration = Duration::from_secs(7);

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x706f_7765_7200;

/// Lets power be lost over and over for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let copy = env.store.backup();
        sleep_random_ms(&mut rng, COPY_AGE_MS).await;
        lose_power(env, &mut rng, Some(copy)).await;
    }
}

/// Lets power be lost after all faults have ended, right after a configuration was written that takes a key away.
pub async fn check_after_faults(env: &TestEnv, seed: u64) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM + 1);
    let first_copy = env.store.backup();
    for copy in [None, Some(first_copy)] {
        env.write_config(&API_KEYS[..1]);
        env.promises.on_revoked();
        sleep_random_ms(&mut rng, LAST_WRITE_MS).await;
        lose_power(env, &mut rng, copy).await;
        check_config_in_force(env, RECOVERY_TIME).await;
    }
    sleep(REVOKED_KEY_TIME).await;
}

/// Kills all routers, takes the store and often the targets away, and brings all of them back. Without a copy,
/// the store keeps its content.
async fn lose_power(env: &TestEnv, rng: &mut Pcg64, copy: Option<Kv>) {
    // No other fault starts a router meanwhile.
    let mut restarts = Vec::new();
    for vm in &env.vms {
        restarts.push(vm.restart.lock().await);
    }
    let are_targets_gone = rng.random_bool(0.5);
    env.promises.on_stability_change(false);
    env.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    env.vms.iter().for_each(|vm| vm.kill());
    if are_targets_gone {
        env.targets.iter().for_each(|(_, link)| link.close());
    }
    let store_is_back = Duration::from_millis(rng.random_range(OUTAGE_MS));
    let starts: Vec<_> = (env.vms.iter())
        .map(|_| Duration::from_millis(rng.random_range(OUTAGE_MS)))
        .collect();
    let rewrite_after = Duration::from_millis(rng.random_range(REWRITE_DELAY_MS));
    let store = async {
        sleep(store_is_back).await;
        let lost = env.store.backup();
        if let Some(copy) = &copy {
            env.store.set_back(copy.clone());
        }
        env.store.set_fault(StoreFault::default());
        sleep(rewrite_after).await;
        if let Some(copy) = &copy {
            rewrite_lost_entries(env, &lost, copy);
        }
        if are_targets_gone {
            for (target, link) in &env.targets {
                // A link that another fault has opened already stays open.
                let _ = link.reopen().await;
                env.on_restart(&target.id);
            }
        }
    };
    let routers =
        futures::future::join_all(env.vms.iter().zip(starts).map(|(vm, start)| async move {
            sleep(start).await;
            vm.until_exited().await;
            vm.start();
        }));
    tokio::join!(store, routers);
}

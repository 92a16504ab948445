//! A store that is away for a moment and comes back from an older copy, drawn from the seed. What operators and targets
//! wrote is written again soon after.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::{
    callers::Caller,
    promises::{End, Promise},
    store::{Kv, StoreFault},
    vm::{KEYS, Vm, World},
};

/// How old the copy is when the store goes away, how long it is away, and how soon what was lost is written again.
const COPY_AGE_MS: std::ops::Range<u64> = 300..5_000;
const AWAY_MS: std::ops::Range<u64> = 0..3_000;
const WRITTEN_AGAIN_MS: std::ops::Range<u64> = 0..400;

/// What the keys of the gateways' own entries begin with.
const OWN: &str = "scaleford";

/// Draws of their own, so that a seed's other faults stay as they are.
const STREAM: u128 = 0x7365_7420_6261_636b;

/// Sets the store back over and over for a while.
pub async fn inject(world: &World, seed: u64, for_: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), STREAM);
    let until = Instant::now() + for_;
    while Instant::now() < until {
        let copy = world.store.backup();
        pause(&mut rng, COPY_AGE_MS).await;
        world.store.set_fault(StoreFault {
            down: true,
            ..StoreFault::default()
        });
        pause(&mut rng, AWAY_MS).await;
        let lost = world.store.backup();
        world.store.set_back(copy.clone());
        world.store.set_fault(StoreFault::default());
        world.promises.on_settled(false);
        pause(&mut rng, WRITTEN_AGAIN_MS).await;
        write_again(world, &lost, &copy);
    }
}

/// How long after it was written a configuration may be in force nowhere yet: the rule's two seconds, and one for this
/// machine being busy.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// Writes of no concern that are lost: more than are made afterwards.
const LOST: usize = 50;

/// Sets the store back once more when all faults are over; what is written then has to be in force at all gateways.
pub async fn check(world: &World) {
    let copy = world.store.backup();
    for n in 0..LOST {
        world.store.put(&format!("other/{n}"), b"lost");
    }
    write_and_expect(world).await;
    world.store.set_back(copy);
    write_and_expect(world).await;
}

async fn write_and_expect(world: &World) {
    world.write_config(&KEYS[..1]);
    let version = world.version().get();
    let until = Instant::now() + IN_FORCE_WITHIN;
    for (n, vm) in world.vms.iter().enumerate() {
        if tokio::time::timeout_at(until, until_served(vm, n, version))
            .await
            .is_err()
        {
            let how = format!("version {version} at {}", vm.callers);
            world.promises.break_(Promise::ConfigInForce, how);
        }
    }
}

/// Calls the route that only this version of the configuration has until it is served.
async fn until_served(vm: &Vm, n: usize, version: u64) {
    let kind = format!("only-{version}");
    let mut tries = 0;
    loop {
        tries += 1;
        let id = format!("{kind}-check-{n}-{tries}");
        if let Some(mut caller) = Caller::connect(vm.callers).await
            && matches!(caller.call(&kind, &id, KEYS[0]).await, End::Answer(200, ..))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

async fn pause(rng: &mut Pcg64, ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}

/// Writes what others than the gateways had written since the copy, unless they have written something newer meanwhile.
fn write_again(world: &World, lost: &Kv, copy: &Kv) {
    let value = |kv: &Kv, key: &String| kv.items.get(key).map(|i| i.value.clone());
    let now = world.store.backup();
    let keys = lost.items.keys().chain(copy.items.keys());
    for key in keys.filter(|key| !key.starts_with(OWN)) {
        let is_newer = value(&now, key) != value(copy, key);
        match value(lost, key) {
            _ if is_newer => {}
            lost if lost == value(copy, key) => {}
            Some(lost) => {
                world.store.put(key, &lost);
            }
            None => world.store.remove(key),
        }
    }
}

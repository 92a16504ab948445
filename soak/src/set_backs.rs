//! A store that is away for a moment and comes back from an older copy, drawn from the seed. What operators and targets
//! wrote is written again soon after.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::{
    store::{Kv, StoreFault},
    vm::World,
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

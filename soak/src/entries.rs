//! Random store writes of restarted targets, other writers and operators, derived from the seed.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::vm::TestEnv;

/// Range of the pause between two writes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..400;

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x0065_6e74_7269_6573;

/// Key that evacuates a data hall without targets; it is written and removed.
const EVACUATION_KEY: &str = "op/evacuate/barn";

/// Entries that describe no usable target.
const UNUSABLE_ENTRIES: [&str; 5] = [
    r#"{"service":"desk","address":"127.0.0.1:9","zone":"yard"}"#,
    r#"{"service":"desk","address":"127.0.0.1:9","zone":"yard","version":"v1","slots":64,
        "state":"resting","coldLeftMs":0,"callSeq":0}"#,
    r#"{"service":7,"address":"127.0.0.1:9","zone":"yard","version":"v1","slots":64,
        "state":"ready","coldLeftMs":0,"callSeq":0}"#,
    "",
    "not even JSON",
];

/// Writes random entries for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        write_random_entry(env, &mut rng);
    }
    env.store.remove(EVACUATION_KEY);
}

/// Restarts a target, or writes or removes a random entry.
fn write_random_entry(env: &TestEnv, rng: &mut Pcg64) {
    let invalid_entry = UNUSABLE_ENTRIES.choose(rng).copied().unwrap_or_default();
    match rng.random_range(0..6) {
        0 | 1 => {
            if let Some((target, _)) = env.targets.choose(rng) {
                env.on_restart(&target.id);
            }
        }
        2 => drop(env.store.put("servers/i-foreign", invalid_entry.as_bytes())),
        3 => env.store.put_garbled("servers/i-garbled"),
        4 => drop(env.store.put(EVACUATION_KEY, b"{}")),
        _ => env.store.remove(EVACUATION_KEY),
    }
}

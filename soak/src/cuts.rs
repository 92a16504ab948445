//! Routers that are cut off from all targets, derived from the seed: often most of them at once, and again
//! soon after a cut has healed. Callers, the store and the other routers still reach them.
//!
//! Connections are reset, and new ones are reset too. The other promises have to hold through the
//! connections that peers open for these routers.

use std::{net::IpAddr, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::vm::TestEnv;

/// Range of the duration of a cut, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 200..3_000;

/// Range of the pause after a cut, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..2_000;

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x6375_7473;

/// Cuts routers off over and over for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let count = rng.random_range(1..=env.vms.len());
        let vms = env.vms.choose_multiple(&mut rng, count);
        let cut = vms.map(|vm| {
            // A stop during a cut may end streams whose connections the cut resets.
            vm.on_disruption();
            vm.caller_address.ip()
        });
        let cut: Vec<IpAddr> = cut.collect();
        set(env, &cut);
        tokio::time::sleep(Duration::from_millis(rng.random_range(CUT_MS))).await;
        set(env, &[]);
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// Cuts the routers with these addresses off from all targets, and no others.
fn set(env: &TestEnv, cut: &[IpAddr]) {
    for (_, link) in &env.targets {
        link.cut_off(cut);
    }
}

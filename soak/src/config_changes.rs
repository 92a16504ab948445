//! Changes of the configuration in quick succession, derived from the seed.
//!
//! Timeouts and goals change, a route is removed and added again, many routes and keys are added, two changes
//! follow each other within the time that routers need to apply one, and changes are taken back.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep};

use crate::vm::TestEnv;

/// Range of the pause between two changes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_000;

/// Range of the pause between two changes that follow each other at once, in milliseconds.
const SHORT_PAUSE_MS: std::ops::Range<u64> = 0..20;

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x636f_6e66_6967;

/// What of the configuration changes.
#[derive(Debug, Clone, Copy)]
pub struct Variation {
    /// Timeout of plain routes and short streams in milliseconds, not below the deadline of their calls.
    pub timeout_ms: u64,
    /// Goal of all routes, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events, in milliseconds.
    pub gap_ms: u64,
    pub max_attempts: u32,
    /// Number of connections of the service.
    pub max_conns: u32,
    /// Whether there is the route of long streams.
    pub has_long_route: bool,
    /// Number of further routes and of further accounts.
    pub extra: usize,
}

impl Default for Variation {
    fn default() -> Self {
        Self {
            timeout_ms: 4_000,
            goal_ms: 200,
            gap_ms: 200,
            max_attempts: 2,
            max_conns: 400,
            has_long_route: true,
            extra: 0,
        }
    }
}

impl Variation {
    fn random(rng: &mut Pcg64) -> Self {
        Self {
            timeout_ms: rng.random_range(3_200..8_000),
            goal_ms: rng.random_range(100..1_000),
            gap_ms: rng.random_range(200..500),
            max_attempts: rng.random_range(1..4),
            max_conns: rng.random_range(100..400),
            has_long_route: rng.random_bool(0.8),
            extra: if rng.random_bool(0.2) { 300 } else { 0 },
        }
    }
}

/// Changes the configuration over and over for the given time; at the end it is as before.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let before = env.variation.get();
        env.change_config(Variation::random(&mut rng));
        let is_next_at_once = rng.random_bool(0.3);
        let next = match rng.random_bool(0.5) {
            true => before,
            false => Variation::random(&mut rng),
        };
        if is_next_at_once {
            sleep(Duration::from_millis(rng.random_range(SHORT_PAUSE_MS))).await;
            env.change_config(next);
        }
    }
    env.change_config(Variation::default());
}

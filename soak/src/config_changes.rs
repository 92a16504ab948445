//! Changes of the configuration in quick succession, derived from the seed.
//!
//! Timeouts, goals and limits change, a route is removed and added again, many routes and keys are added, two changes
//! follow each other within the time that routers need to apply one, and changes are taken back.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    silences, surge,
    vm::{API_KEYS, TestEnv},
};

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
    /// Time for which a caller's connection may be idle in milliseconds, if it is limited.
    pub idle_ms: Option<u64>,
    /// Maximum size of a request's head and body in bytes, far above that of all requests.
    pub max_bytes: Option<usize>,
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
            idle_ms: None,
            max_bytes: None,
            extra: 0,
        }
    }
}

impl Variation {
    /// Returns the configuration of this version, in which the account of the callers has these keys. The flags
    /// tell whether it has the route of long streams, and the service that surges overload.
    pub fn config(
        &self,
        version: u64,
        keys: &[&str],
        (has_long_streams, has_surges): (bool, bool),
    ) -> Value {
        let route = |kind: &str, resumable: bool, prefix: &str| {
            json!({"name": prefix, "host": "desk.example", "pathPrefix": format!("/{prefix}/"),
                "type": kind, "timeoutMs": self.timeout_ms, "goalMs": self.goal_ms, "service": "desk",
                "maxAttempts": self.max_attempts, "resumable": resumable, "gapTargetMs": self.gap_ms})
        };
        let mut routes = vec![
            route("safe", false, "safe"),
            route("unsafe", false, "once"),
            route("streaming", true, "stream"),
            route("safe", false, &format!("only-{version}")),
        ];
        let mut services = vec![json!({"name": "desk", "maxConns": self.max_conns})];
        let mut accounts = vec![json!({"name": "farm", "apiKeys": keys})];
        if has_long_streams && self.has_long_route {
            let mut long = route("streaming", true, silences::ROUTE);
            long["timeoutMs"] = (self.timeout_ms * 4).into();
            routes.push(long);
        }
        for name in (0..self.extra).map(|n| format!("extra-{n}")) {
            routes.push(route("safe", false, &name));
            accounts.push(json!({"name": name, "apiKeys": [format!("{name}-key")]}));
        }
        if has_surges {
            let mut small = route("unsafe", false, surge::SERVICE);
            small["service"] = surge::SERVICE.into();
            routes.push(small);
            services.push(json!({"name": surge::SERVICE, "maxConns": 400}));
        }
        json!({"version": version, "routes": routes, "services": services, "tenants": accounts,
            "limits": self.limits()})
    }

    /// Returns the limits of requests as the configuration holds them.
    fn limits(&self) -> Value {
        let limits = [
            ("maxHeaderBytes", self.max_bytes.map(Value::from)),
            ("maxBodyBytes", self.max_bytes.map(Value::from)),
            ("idleTimeoutMs", self.idle_ms.map(Value::from)),
        ];
        let set = limits
            .into_iter()
            .filter_map(|(name, value)| Some((name.to_owned(), value?)));
        Value::Object(set.collect())
    }

    fn random(rng: &mut Pcg64) -> Self {
        Self {
            timeout_ms: rng.random_range(3_200..8_000),
            goal_ms: rng.random_range(100..1_000),
            gap_ms: rng.random_range(200..500),
            max_attempts: rng.random_range(1..4),
            max_conns: rng.random_range(100..400),
            has_long_route: rng.random_bool(0.8),
            idle_ms: rng.random_bool(0.8).then(|| rng.random_range(500..3_000)),
            max_bytes: rng
                .random_bool(0.8)
                .then(|| rng.random_range(8_000..1_000_000)),
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
        change(env, Variation::random(&mut rng));
        let is_next_at_once = rng.random_bool(0.3);
        let next = match rng.random_bool(0.5) {
            true => before,
            false => Variation::random(&mut rng),
        };
        if is_next_at_once {
            sleep(Duration::from_millis(rng.random_range(SHORT_PAUSE_MS))).await;
            change(env, next);
        }
    }
    change(env, Variation::default());
}

/// Writes a new version of the configuration that varies in this way, with the keys that were not revoked.
fn change(env: &TestEnv, variation: Variation) {
    env.variation.set(variation);
    match env.promises.is_key_revoked() {
        true => env.write_config(&API_KEYS[..1]),
        false => env.write_config(&API_KEYS),
    }
}

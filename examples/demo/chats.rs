//! Chats of several turns, and the calls that must not be repeated that some of them make.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;

use crate::{
    report::{AttemptSummary, TestEnv},
    support::{
        caller::{Caller, KEY, Outcome, chat_body},
        engine::expected,
        fleet::{MODEL, SERVICE},
    },
};

/// Number of turns after which a new chat begins.
const TURNS_PER_CHAT: usize = 8;

/// Maximum number of attempts of a call that did not run.
const MAX_ATTEMPTS: u32 = 6;

/// Runs one chat after another until a deadline.
pub async fn run(env: Arc<TestEnv>, n: usize, mut rng: Pcg64, deadline: Instant) {
    let key = if n.is_multiple_of(2) {
        KEY
    } else {
        "key-of-puente"
    };
    let caller = Caller::new(key);
    for round in 0.. {
        let mut messages = vec![(
            "system",
            "You help bidders and families with care and in plain words. ".repeat(4),
        )];
        for turn in 0..TURNS_PER_CHAT {
            if Instant::now() >= deadline {
                return;
            }
            let pause = rng.random_range(50..400);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let detail = format!("chat {n} life {round} turn {turn}: ");
            messages.push((
                "user",
                detail + &"what of the gearbox? ".repeat(rng.random_range(3..20)),
            ));
            let length = rng.random_range(8..40);
            let body = chat_body(MODEL, &messages, length, rng.random_bool(0.7));
            let outcome = chat(&env, &caller, &mut rng, &body).await;
            let right = expected(7, &body).concat();
            env.record_chat(&outcome, &right, turn > 0);
            messages.push(("assistant", right));
            if rng.random_bool(0.15) {
                confirm(&env, &caller, &mut rng, &format!("bid-{n}-{round}-{turn}")).await;
            }
        }
    }
}

async fn chat(
    env: &TestEnv,
    caller: &Caller,
    rng: &mut Pcg64,
    body: &serde_json::Value,
) -> Outcome {
    let Some(at) = random_ready_router(env, rng).await else {
        return Outcome::default();
    };
    let began = Instant::now();
    let outcome = caller.chat(at, body).await;
    env.record_time(began.elapsed());
    outcome
}

/// Sends a bid confirmation until it ran, until a response says that its outcome is unknown, or
/// until all attempts are used up.
async fn confirm(env: &TestEnv, caller: &Caller, rng: &mut Pcg64, key: &str) {
    let path = format!("/services/{SERVICE}/confirm");
    let mut summary = AttemptSummary::default();
    for _ in 0..MAX_ATTEMPTS {
        let Some(at) = random_ready_router(env, rng).await else {
            continue;
        };
        let headers = [("idempotency-key", key)];
        let outcome = caller
            .call(at, Method::POST, &path, &headers, "one harvester")
            .await;
        summary.add(&outcome);
        match outcome {
            Outcome {
                status: 200,
                cut: false,
                ..
            } => break,
            Outcome {
                code: 5003 | 5004, ..
            } => break,
            _ => tokio::time::sleep(Duration::from_millis(rng.random_range(50..300))).await,
        }
    }
    env.record_confirm(key, summary);
}

/// Returns the address of a random ready router, as a load balancer would choose it.
async fn random_ready_router(env: &TestEnv, rng: &mut Pcg64) -> Option<SocketAddr> {
    let ready = env.ready.lock().expect("list").clone();
    ready.choose(rng).copied()
}

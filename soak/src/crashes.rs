//! A request that crashes each target that starts to run it, or requests of which no two are alike that share a
//! part of their prompts under which targets crash.
//!
//! They are sent repeatedly through random routers.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures::FutureExt;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;

use crate::{
    callers::Caller,
    vm::{API_KEYS, TestEnv},
};

/// Body by which targets recognize the crashing request.
pub const CRASH_BODY: &str = "the lot that nobody can describe";

/// Part of prompts that crashes targets, and the part with which all prompts begin.
pub const CRASH_PART: &str = "bad0";
const FIRST_PART: &str = "f0";

/// Range of the pause between two sends of the request, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..600;

/// Time between the crash of a target and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which the caller of the request waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const SEED_MASK: u64 = 0x6372_6173_6865_7300;

/// Tasks that send the crashing request and restart crashed targets.
pub struct CrashTasks {
    caller: JoinHandle<()>,
    restarts: Vec<JoinHandle<()>>,
}

/// Starts to send the request repeatedly, also after the other faults have ended. With `parts`, each request is
/// another one, and they share a part.
pub fn start(env: &Rc<TestEnv>, seed: u64, parts: bool) -> CrashTasks {
    let restarts = (0..env.targets.len()).map(|target_index| {
        let env = Rc::clone(env);
        tokio::task::spawn_local(async move { restart_after_crashes(&env, target_index).await })
    });
    let restarts = restarts.collect();
    let env = Rc::clone(env);
    let caller = tokio::task::spawn_local(async move {
        let mut rng = Pcg64::seed_from_u64(seed ^ SEED_MASK);
        for n in 0_u64.. {
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
            let Some(vm) = env.vms.choose(&mut rng) else {
                return;
            };
            if let Some(mut caller) = Caller::connect(vm.caller_address).await {
                // The outcome is ignored: only what targets observe is checked.
                let id = format!("crash-{n}");
                let prompt = format!("{FIRST_PART}:300,{CRASH_PART}:50,{n:x}:10");
                let call = match parts {
                    true => caller
                        .call_with_prompt(&id, API_KEYS[0], &prompt)
                        .left_future(),
                    false => caller
                        .call_with_body("safe", &id, API_KEYS[0], CRASH_BODY)
                        .right_future(),
                };
                let _ = tokio::time::timeout(RESPONSE_TIMEOUT, call).await;
            }
        }
    });
    CrashTasks { caller, restarts }
}

/// Closes a target's link whenever the request crashes the target, and restarts it under the same name.
async fn restart_after_crashes(env: &TestEnv, target_index: usize) {
    let (target, link) = &env.targets[target_index];
    loop {
        target.crashed.notified().await;
        link.close();
        tokio::time::sleep(RESTART_DELAY).await;
        while link.reopen().await.is_err() {
            tokio::time::sleep(RESTART_DELAY / 10).await;
        }
        env.on_restart(&target.id);
    }
}

impl CrashTasks {
    /// Stops sending the request and restarting targets.
    pub fn stop(self) {
        self.caller.abort();
        self.restarts.iter().for_each(JoinHandle::abort);
    }
}

/// What targets observed of the crashing request.
#[derive(Debug, Default)]
pub struct CrashCounts {
    /// Number of targets that crashed while they ran it.
    pub crashed: Cell<u32>,
    /// Number of times that it reached a target after the time by which all routers have to know of the third
    /// crash.
    pub late_arrivals: Cell<u32>,
}

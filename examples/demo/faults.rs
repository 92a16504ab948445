//! Faults that are injected while the chats run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;
use rand_pcg::Pcg64;

use crate::{
    report::TestEnv,
    support::{
        engine::{Engine, Fault},
        store::StoreFault,
    },
};

/// How often faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultRate {
    None,
    Some,
    Many,
}

impl std::str::FromStr for FaultRate {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "none" => Ok(Self::None),
            "some" => Ok(Self::Some),
            "many" => Ok(Self::Many),
            _ => Err(format!("expected none, some or many, got {s:?}")),
        }
    }
}

/// Injects faults until a deadline, then clears the fault of the store.
pub async fn run(env: Arc<TestEnv>, rate: FaultRate, mut rng: Pcg64, deadline: Instant) {
    let pause = match rate {
        FaultRate::None => return,
        FaultRate::Some => 3_000,
        FaultRate::Many => 700,
    };
    loop {
        let wait = rng.random_range(pause / 2..pause * 2);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        if Instant::now() >= deadline {
            break;
        }
        inject_random_fault(&env, &mut rng).await;
    }
    env.fleet
        .lock()
        .await
        .store
        .set_fault(StoreFault::default());
}

async fn inject_random_fault(env: &Arc<TestEnv>, rng: &mut Pcg64) {
    let n = rng.random_range(0..9);
    let i = rng.random_range(0..64);
    match n {
        0 => kill_router(env, i).await,
        1 => stop_router(env, i).await,
        2 => replace_engine(env, i).await,
        3 => leave_and_return(env, i).await,
        4 => {
            let down = StoreFault {
                down: true,
                ..StoreFault::default()
            };
            inject_store_fault(
                env,
                "store_down",
                down,
                Duration::from_millis(rng.random_range(500..3_000)),
            );
        }
        5 => {
            let lost = StoreFault {
                lose_answers: rng.random_range(1..8),
                ..StoreFault::default()
            };
            inject_store_fault(env, "answers_lost", lost, Duration::from_secs(2));
        }
        6 => inject_engine_fault(env, i, "engine_refuses", Fault::Refuse).await,
        7 => inject_engine_fault(env, i, "engine_dies_early", Fault::DieBefore).await,
        _ => inject_engine_fault(env, i, "engine_dies_late", Fault::DieAfter(3)).await,
    }
}

async fn kill_router(env: &Arc<TestEnv>, i: usize) {
    env.record_fault("router_killed");
    let mut fleet = env.fleet.lock().await;
    let i = i % fleet.routers.len();
    env.remove_ready(fleet.callers_at(i));
    drop(fleet.routers[i].take());
    let router = fleet.start_router(i).await;
    fleet.routers[i] = Some(router);
}

async fn stop_router(env: &Arc<TestEnv>, i: usize) {
    env.record_fault("router_stopped");
    let mut fleet = env.fleet.lock().await;
    let i = i % fleet.routers.len();
    env.remove_ready(fleet.callers_at(i));
    let Some(old) = fleet.routers[i].take() else {
        return;
    };
    let router = fleet.start_router(i).await;
    fleet.routers[i] = Some(router);
    drop(fleet);
    let report = old.stop().await;
    env.record_stop(report.cut_off);
}

async fn replace_engine(env: &Arc<TestEnv>, i: usize) {
    env.record_fault("engine_replaced");
    let mut fleet = env.fleet.lock().await;
    let i = i % fleet.engines.len();
    let cfg = fleet.plan.engine.clone();
    let engine = Engine::start("127.0.0.1:0", cfg).await;
    let old = std::mem::replace(&mut fleet.engines[i], engine);
    env.record_executed(&old);
    drop(old);
    let edit = fleet.engine_edit(i, "serve");
    drop(fleet);
    change(env, "an engine was replaced", edit).await;
}

/// Makes an engine leave, counts new requests to it after a grace time, and lets it serve again.
async fn leave_and_return(env: &Arc<TestEnv>, i: usize) {
    env.record_fault("engine_left");
    let fleet = env.fleet.lock().await;
    let i = i % fleet.engines.len();
    let (leave, serve) = (fleet.engine_edit(i, "leave"), fleet.engine_edit(i, "serve"));
    let state = fleet.engines[i].state.clone();
    drop(fleet);
    if !change(env, "an engine leaves", leave).await {
        return;
    }
    let env = Arc::clone(env);
    tokio::spawn(async move {
        // A leaving target may still get requests for "a few seconds".
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = state.lock().expect("engine").executed.len();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let after = state.lock().expect("engine").executed.len();
        env.record_left(after.saturating_sub(before) as u64);
        change(&env, "an engine returns", serve).await;
    });
}

async fn change(env: &TestEnv, reason: &str, edit: serde_json::Value) -> bool {
    let at = {
        let fleet = env.fleet.lock().await;
        fleet.live().next().map(|r| r.addresses().operators)
    };
    let Some(at) = at else { return false };
    for _ in 0..20 {
        let (status, _) = crate::support::fleet::change_at(at, reason, vec![edit.clone()]).await;
        if status == 200 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    env.record_fault("change_not_accepted");
    false
}

fn inject_store_fault(env: &Arc<TestEnv>, name: &'static str, fault: StoreFault, time: Duration) {
    env.record_fault(name);
    let env = Arc::clone(env);
    tokio::spawn(async move {
        env.fleet.lock().await.store.set_fault(fault);
        tokio::time::sleep(time).await;
        env.fleet
            .lock()
            .await
            .store
            .set_fault(StoreFault::default());
    });
}

async fn inject_engine_fault(env: &Arc<TestEnv>, i: usize, name: &'static str, fault: Fault) {
    env.record_fault(name);
    let fleet = env.fleet.lock().await;
    let i = i % fleet.engines.len();
    fleet.engines[i].set_fault(fault);
    let service = (!fleet.services.is_empty()).then(|| i % fleet.services.len());
    if let Some(s) = service {
        fleet.services[s].set_fault(fault);
    }
    drop(fleet);
    let env = Arc::clone(env);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let fleet = env.fleet.lock().await;
        fleet.engines[i].set_fault(Fault::None);
        if let Some(s) = service {
            fleet.services[s].set_fault(Fault::None);
        }
    });
}

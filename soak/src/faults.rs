//! External faults that overlap in time, derived from the seed.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::{
    link::LinkFault,
    store::StoreFault,
    target::TargetBehavior,
    vm::{API_KEYS, TestEnv},
};

/// Range of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..500;

/// Range of the delays of links and of the store's responses, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..400;

/// Kinds of faults that are planned work: starts, stops, reloads, and changes of entries and the configuration.
const PLANNED_KINDS: [u32; 8] = [START_KIND, START_KIND, START_KIND, 2, 5, 5, 11, 13];

/// The kind that only starts routers.
const START_KIND: u32 = 14;

/// Injects faults for the given time. Faults may still be in force when it returns.
pub async fn inject(env: &TestEnv, rng: &mut Pcg64, duration: Duration) {
    let end = Instant::now() + duration;
    let may_revoke = rng.random_bool(0.5);
    let mut revoked = false;
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        let kind = match env.planned_only {
            true => PLANNED_KINDS.choose(rng).copied().unwrap_or_default(),
            false => rng.random_range(0..14),
        };
        match kind {
            0 | 1 => kill(env, rng).await,
            2 => shut_down(env, rng).await,
            3 => pause_vm(env, rng),
            4 => resume_vms(env),
            5 => reload(env, rng),
            6 | 7 => change_target(env, rng),
            8 | 9 => change_link(env, rng),
            10 => change_store(env, rng),
            11 => change_entry(env, rng),
            12 if may_revoke && !revoked => {
                revoked = true;
                env.write_config(&API_KEYS[..1]);
                env.promises.on_revoked();
            }
            START_KIND => start_all(env).await,
            _ if revoked => env.write_config(&API_KEYS[..1]),
            _ => env.write_config(&API_KEYS),
        }
        env.promises.on_stability_change(is_stable(env));
    }
}

/// Returns whether all links to the store and the store itself are without fault and no router is paused.
fn is_stable(env: &TestEnv) -> bool {
    let is_store_reachable = env
        .vms
        .iter()
        .all(|vm| vm.store_link.fault() == LinkFault::None);
    let is_store_healthy = env.store.fault() == StoreFault::default();
    is_store_reachable && is_store_healthy && !env.vms.iter().any(|vm| vm.paused.get())
}

/// Starts each router that is not running.
async fn start_all(env: &TestEnv) {
    for vm in &env.vms {
        if !vm.is_running() {
            vm.ensure_running().await;
        }
    }
}

/// Starts each router that is not running, then kills a random one.
async fn kill(env: &TestEnv, rng: &mut Pcg64) {
    start_all(env).await;
    if let Some(vm) = env.vms.choose(rng) {
        vm.kill();
    }
}

/// Asks a random router to shut down gracefully. A later fault starts it again.
async fn shut_down(env: &TestEnv, rng: &mut Pcg64) {
    if let Some(vm) = env.vms.choose(rng)
        && vm.is_running()
    {
        vm.process().on_stop_requested();
        vm.terminating.set(true);
        vm.signal(Signal::TERM);
    }
}

/// Pauses a random router.
fn pause_vm(env: &TestEnv, rng: &mut Pcg64) {
    if let Some(vm) = env.vms.choose(rng) {
        vm.on_disruption();
        vm.paused.set(true);
        vm.signal(Signal::STOP);
    }
}

/// Resumes all routers.
fn resume_vms(env: &TestEnv) {
    env.vms.iter().for_each(|vm| vm.resume());
}

/// Makes a random router reload its settings.
fn reload(env: &TestEnv, rng: &mut Pcg64) {
    if let Some(vm) = env.vms.choose(rng) {
        vm.process().on_reload();
        vm.signal(Signal::HUP);
    }
}

/// Changes how a random target handles calls.
fn change_target(env: &TestEnv, rng: &mut Pcg64) {
    let behaviors = [
        TargetBehavior::Healthy,
        TargetBehavior::Healthy,
        TargetBehavior::Refusing,
        TargetBehavior::Failing,
        TargetBehavior::Truncating,
        TargetBehavior::Hanging,
        TargetBehavior::Pausing,
    ];
    if let (Some((target, _)), Some(behavior)) = (env.targets.choose(rng), behaviors.choose(rng)) {
        target.behavior.set(*behavior);
    }
}

/// Sets or ends the fault of a random link.
fn change_link(env: &TestEnv, rng: &mut Pcg64) {
    let to_targets = env.targets.iter().map(|(_, link)| link);
    let to_store = env.vms.iter().map(|vm| &vm.store_link);
    let links: Vec<_> = to_targets.chain(to_store).collect();
    if let Some(link) = links.choose(rng) {
        link.set_fault(random_link_fault(rng));
    }
}

/// Returns a random fault of a link.
fn random_link_fault(rng: &mut Pcg64) -> LinkFault {
    let delay = Duration::from_millis(rng.random_range(DELAY_MS));
    let faults = [
        LinkFault::None,
        LinkFault::None,
        LinkFault::Delay(delay),
        LinkFault::Reset,
        LinkFault::StallRequests,
        LinkFault::StallResponses,
    ];
    faults.choose(rng).copied().unwrap_or_default()
}

/// Makes the store drop its history, reject all calls, break connections, respond slowly or lose the
/// responses to writes, or ends its fault.
fn change_store(env: &TestEnv, rng: &mut Pcg64) {
    let healthy = StoreFault::default();
    let fault = match rng.random_range(0..8) {
        0 => return env.store.compact(),
        1 => StoreFault {
            busy: true,
            ..healthy
        },
        2 => StoreFault {
            down: true,
            ..healthy
        },
        3 => StoreFault {
            slow: Duration::from_millis(rng.random_range(DELAY_MS)),
            ..healthy
        },
        4 => StoreFault {
            lose_answers: rng.random_range(1..6),
            ..healthy
        },
        _ => healthy,
    };
    env.store.set_fault(fault);
}

/// Marks the first target as draining, or as ready again.
fn change_entry(env: &TestEnv, rng: &mut Pcg64) {
    let state = ["ready", "draining"][rng.random_range(0..2)];
    env.write_entry(&env.targets[0].0.id, state);
}

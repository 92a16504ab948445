//! A request that ends each target that begins to run it, and comes again through any gateway.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;

use crate::{
    callers::Caller,
    vm::{KEYS, World},
};

/// Its body, by which targets know it.
pub const BODY: &str = "the lot that nobody can describe";

/// The pause between two returns.
const PAUSE_MS: std::ops::Range<u64> = 100..600;

/// How long a target that ended is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// How long its caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Draws of its own, so that a seed's other faults stay as they are.
const STREAM: u64 = 0x6372_6173_6865_7300;

/// The caller of the request, and what starts targets again.
pub struct Crashing {
    caller: JoinHandle<()>,
    restarts: Vec<JoinHandle<()>>,
}

/// Sends the request over and over, also after the other faults have ended.
pub fn start(world: &Rc<World>, seed: u64) -> Crashing {
    let restarts = (0..world.targets.len()).map(|n| {
        let world = Rc::clone(world);
        tokio::task::spawn_local(async move { restart(&world, n).await })
    });
    let restarts = restarts.collect();
    let world = Rc::clone(world);
    let caller = tokio::task::spawn_local(async move {
        let mut rng = Pcg64::seed_from_u64(seed ^ STREAM);
        for n in 0_u64.. {
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
            let Some(vm) = world.vms.choose(&mut rng) else {
                return;
            };
            if let Some(mut caller) = Caller::connect(vm.callers).await {
                // Nobody waits for what it comes to; what targets saw of it counts.
                let id = format!("crash-{n}");
                let sent = caller.send("safe", &id, KEYS[0], BODY);
                let _ = tokio::time::timeout(PATIENCE, sent).await;
            }
        }
    });
    Crashing { caller, restarts }
}

/// Ends a target's link when the request ends it, and starts it again under its name.
async fn restart(world: &World, n: usize) {
    let (target, link) = &world.targets[n];
    loop {
        target.ending.notified().await;
        link.end();
        tokio::time::sleep(AWAY).await;
        while link.begin_again().await.is_err() {
            tokio::time::sleep(AWAY / 10).await;
        }
        world.on_restart(&target.id);
    }
}

impl Crashing {
    /// Ends the request's returns.
    pub fn stop(self) {
        self.caller.abort();
        self.restarts.iter().for_each(JoinHandle::abort);
    }
}

/// What targets saw of the request.
#[derive(Debug, Default)]
pub struct Seen {
    /// Targets that ended under it.
    pub ended: Cell<u32>,
    /// Sends later than all gateways have to know of the third ending.
    pub late: Cell<u32>,
}

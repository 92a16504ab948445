//! Targets of several software versions: targets are replaced by ones of another version, and callers take up
//! streams that break off, at any router. No stream may have events of two versions.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    callers::{Caller, Continuation},
    promises::CallOutcome,
    vm::{API_KEYS, TestEnv},
};

/// Prefix of the ids of these streams, whose events name the version of their target.
pub const ID_PREFIX: &str = "stream-versions";

/// Number of callers.
const CALLERS: usize = 4;

/// Maximum number of calls with which a caller asks for one stream.
const MAX_TRIES: usize = 3;

/// Pause between two replacements.
const REPLACE_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which a target that leaves serves on before it is replaced.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// Maximum number of joined streams of a run: a target restarts here under its own name, so that a router
/// that is cut off from the store may take it for the former one.
pub const MAX_JOINED: usize = 2;

/// Returns the version of a target's software after some restarts.
pub fn version(target: &str, restarts: u64) -> String {
    let n = target.bytes().map(u64::from).sum::<u64>() + restarts;
    format!("v{}", n % 2 + 1)
}

/// Replaces targets, one after the other, by ones of another version.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x7e15);
    let until = Instant::now() + duration;
    while Instant::now() < until {
        tokio::time::sleep(REPLACE_INTERVAL).await;
        let n = rng.random_range(0..env.targets.len());
        let id = env.targets[n].0.id.clone();
        env.write_entry(&id, "draining");
        tokio::time::sleep(LEAVE_TIME).await;
        env.on_restart(&id);
    }
}

/// Callers that take up their streams.
pub struct StreamCallers {
    tasks: Vec<JoinHandle<()>>,
    stop: Rc<Cell<bool>>,
}

/// Starts the callers.
pub fn start(env: &Rc<TestEnv>, seed: u64) -> StreamCallers {
    let stop = Rc::new(Cell::new(false));
    let run = |n: usize| {
        let rng = Pcg64::seed_from_u64(seed ^ ((n as u64 + 1) << 32));
        tokio::task::spawn_local(run_caller(Rc::clone(env), Rc::clone(&stop), rng, n))
    };
    StreamCallers {
        tasks: (0..CALLERS).map(run).collect(),
        stop,
    }
}

impl StreamCallers {
    /// Stops the callers after their current streams.
    pub async fn stop(self) {
        self.stop.set(true);
        for task in self.tasks {
            // A panic of a caller has been printed already.
            let _ = task.await;
        }
    }
}

async fn run_caller(env: Rc<TestEnv>, stop: Rc<Cell<bool>>, mut rng: Pcg64, caller: usize) {
    let mut n = 0;
    while !stop.get() {
        n += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        let stream = format!("{ID_PREFIX}-{caller}-{n}");
        let events = read_stream(&env, &mut rng, &stream).await;
        env.promises
            .on_stream_versions(&stream, &versions_of(&events));
    }
}

/// Asks for a stream until it is complete or the caller gives up; returns what arrived.
async fn read_stream(env: &TestEnv, rng: &mut Pcg64, stream: &str) -> String {
    let mut text = String::new();
    for n in 0..MAX_TRIES {
        let vm = &env.vms[rng.random_range(0..env.vms.len())];
        let Some(mut caller) = Caller::connect(vm.caller_address).await else {
            continue;
        };
        let id = format!("{stream}-try{n}");
        let first = format!("{stream}-try0");
        let last = last_event(&text);
        let continuation = last.map(|last| Continuation {
            resumes: &first,
            last,
        });
        if n > 0 && last.is_none() {
            // Nothing arrived, so a later try is a stream of its own.
            return text;
        }
        env.promises.on_sent(&id, Instant::now());
        let patience = match rng.random_bool(0.4) {
            true => Some(Duration::from_millis(rng.random_range(20..90))),
            false => None,
        };
        let outcome = (caller.read_stream(&id, API_KEYS[0], continuation, patience)).await;
        let CallOutcome::Response(200, body, is_complete) = outcome else {
            continue;
        };
        let body = String::from_utf8_lossy(&body);
        text += &body[..body.rfind("\n\n").map_or(0, |end| end + 2)];
        if is_complete {
            break;
        }
    }
    text
}

fn last_event(text: &str) -> Option<u64> {
    let mut ids = text.lines().rev().filter_map(|l| l.strip_prefix("id: "));
    ids.next().and_then(|id| id.parse().ok())
}

/// Returns the versions that the events name, in order.
fn versions_of(text: &str) -> Vec<&str> {
    let data = text.lines().filter(|l| l.starts_with("data: "));
    data.filter_map(|l| l.split(' ').next_back()).collect()
}

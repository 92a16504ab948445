//! Sound targets that fall silent for a moment and go on where they were, derived from the seed, and callers of
//! long streams that most silences fall into.
//!
//! Several or all targets may be silent at once. A silence is no fault: no call may end because of it.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    callers::Connection,
    vm::{API_KEYS, TestEnv},
};

/// Range of the duration of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 600..1_600;

/// Range of the pause between two draws, in milliseconds. Silences of different targets overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// Time for which a target goes on after a silence before the next one.
const MIN_AUDIBLE_TIME: Duration = Duration::from_millis(200);

/// Selects separate random sequences, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x7369_6c65_6e63_6500;

/// Prefix of the ids of long streams, and path prefix of their route.
pub const ID_PREFIX: &str = "stream-long";
pub const ROUTE: &str = "long";

/// Pause before each event of a long stream.
pub const EVENT_PAUSE: Duration = Duration::from_millis(150);

/// Deadline of long streams: a few silences may fall into each.
const DEADLINE: Duration = Duration::from_secs(10);

/// Number of callers of long streams of each router.
const CALLERS_PER_VM: usize = 30;

/// Until when a target is silent, or was last.
#[derive(Debug, Clone, Default)]
pub struct Silence(watch::Sender<Option<Instant>>);

impl Silence {
    /// Begins a silence, unless one has only just ended or has not.
    pub fn begin(&self, duration: Duration) {
        let (now, last) = (Instant::now(), *self.0.borrow());
        if last.is_none_or(|until| now >= until + MIN_AUDIBLE_TIME) {
            self.0.send_replace(Some(now + duration));
        }
    }

    /// Waits until there is no silence.
    pub async fn until_over(&self) {
        loop {
            let until = *self.0.borrow();
            match until {
                Some(until) if Instant::now() < until => sleep_until(until).await,
                _ => return,
            }
        }
    }
}

/// Makes random targets silent for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let count = match rng.random_range(0..4) {
            0 | 1 => 1,
            2 => rng.random_range(1..=env.targets.len()),
            _ => env.targets.len(),
        };
        let chosen: Vec<_> = env.targets.choose_multiple(&mut rng, count).collect();
        for (target, _) in chosen {
            let lasts = Duration::from_millis(rng.random_range(SILENCE_MS));
            target.silence.begin(lasts);
        }
        env.promises.planned.on_silence();
    }
}

/// Callers of long streams.
pub struct LongStreams {
    tasks: Vec<JoinHandle<()>>,
    stop: Rc<Cell<bool>>,
}

/// Starts the callers of each router.
pub fn start(env: &Rc<TestEnv>, seed: u64) -> LongStreams {
    let stop = Rc::new(Cell::new(false));
    let places = (0..env.vms.len()).flat_map(|vm| (0..CALLERS_PER_VM).map(move |n| (vm, n)));
    let tasks = places.map(|(vm, n)| {
        let stream = RNG_STREAM + (vm * CALLERS_PER_VM + n + 1) as u128;
        let rng = Pcg64::new(u128::from(seed), stream);
        tokio::task::spawn_local(run_caller(Rc::clone(env), Rc::clone(&stop), rng, vm, n))
    });
    LongStreams {
        tasks: tasks.collect(),
        stop,
    }
}

impl LongStreams {
    /// Stops the callers after their current streams.
    pub async fn stop(self) {
        self.stop.set(true);
        for task in self.tasks {
            // A panic of a caller has been printed already.
            let _ = task.await;
        }
    }
}

/// Returns the pause of a caller before its next call: a short one, or one of up to four fifths of the time for
/// which its connection may be idle.
fn rest(env: &TestEnv, rng: &mut Pcg64) -> Duration {
    let is_long = rng.random_bool(0.2);
    let max_ms = match env.variation.get().idle_ms {
        Some(idle_ms) if is_long => idle_ms * 4 / 5,
        _ => 200,
    };
    Duration::from_millis(rng.random_range(0..max_ms))
}

async fn run_caller(env: Rc<TestEnv>, stop: Rc<Cell<bool>>, mut rng: Pcg64, vm: usize, n: usize) {
    let (vm_index, vm, promises) = (vm, &env.vms[vm], &env.promises);
    let mut kept = None;
    for call in 0_u64.. {
        sleep(rest(&env, &mut rng)).await;
        if stop.get() {
            return;
        }
        let Some(mut connection) = Connection::reuse_or_open(kept.take(), vm).await else {
            continue;
        };
        let id = format!("{ID_PREFIX}-{vm_index}-{n}-{call}");
        connection.caller.deadline = DEADLINE;
        let sent_at = Instant::now();
        promises.on_sent(&id, sent_at);
        let outcome = connection.caller.call(ROUTE, &id, API_KEYS[0]).await;
        promises.on_end(&id, &outcome, sent_at, false);
        kept = connection.on_end(promises, &id, &outcome, sent_at);
    }
}

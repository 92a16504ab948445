//! Restarts of all routers at the same moment, derived from the seed, while targets of the service are replaced by
//! ones of another version, and callers whose streams broke take them up at any router.
//!
//! Each start of a target has a name of its own here, so that a router can tell it from the one before: no stream
//! may have events of two versions.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    callers::{Caller, Continuation},
    promises::{CallOutcome, Promise},
    store_reverts::sleep_random_ms,
    target::{LAST_EVENT, TargetBehavior},
    vm::{API_KEYS, TestEnv, Vm},
};

/// Prefix of the ids of these streams. Their events name the version of their target.
pub const ID_PREFIX: &str = "stream-versions-restarts";

/// Pause before each event of these streams, which last about a second.
pub const EVENT_PAUSE: Duration = Duration::from_millis(90);

/// Number of callers: several dozen streams break at each kill.
const CALLERS: usize = 48;

/// Range of the pause between two kills of all routers, in milliseconds. Some leave time to be in touch again.
const PAUSE_MS: std::ops::Range<u64> = 700..5_000;

/// Range of the time after which each router starts again, in milliseconds.
const START_DELAY_MS: std::ops::Range<u64> = 100..800;

/// Range of the time between a release and the kill that follows it, in milliseconds.
const RELEASE_BEFORE_MS: std::ops::Range<u64> = 0..2_800;

/// Range of the time for which targets that say that they leave serve on, in milliseconds.
const LEAVE_MS: std::ops::Range<u64> = 100..2_500;

/// Range of the pause between two streams of a caller, in milliseconds.
const CALLER_PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Ranges of the time after which a caller tries again, in milliseconds: at once, or when all routers are in touch.
const RETRY_MS: [std::ops::Range<u64>; 2] = [50..500, 3_100..4_000];

/// Time after which a caller gives a stream up.
const PATIENCE: Duration = Duration::from_secs(7);

/// Minimum number of streams that are taken up for their share to be judged.
const MIN_TAKEN_UP: u32 = 12;

/// Minimum number of ready targets of a stream's version for it to count as taken up.
const MIN_TARGETS: usize = 2;

/// Time without disruption after which a router and the store count as in touch: `contactMs`.
const IN_TOUCH_TIME: Duration = Duration::from_secs(3);

/// Selects separate random sequences, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x7265_7374_6172_7400;

/// Kills all routers over and over for the given time, some after a release of another version.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep_random_ms(&mut rng, PAUSE_MS).await;
        release_and_restart(env, &mut rng).await;
    }
}

/// Restarts all routers once more after all faults have ended, and waits until they are in touch and the streams
/// that broke have been taken up.
pub async fn check_after_faults(env: &TestEnv, seed: u64) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM + 1);
    env.promises.on_stability_change(true);
    sleep(IN_TOUCH_TIME).await;
    release_and_restart(env, &mut rng).await;
    sleep(IN_TOUCH_TIME + Duration::from_millis(RETRY_MS[1].end - RETRY_MS[1].start)).await;
}

async fn release_and_restart(env: &TestEnv, rng: &mut Pcg64) {
    if !env.versions {
        return restart_all(env, rng).await;
    }
    let (mut release_rng, before) = (rng.clone(), rng.random_range(RELEASE_BEFORE_MS));
    let restart = async {
        sleep(Duration::from_millis(before)).await;
        restart_all(env, rng).await;
    };
    tokio::join!(release(env, &mut release_rng), restart);
}

/// Replaces all, one, or no targets of a random version, with or without a word.
async fn release(env: &TestEnv, rng: &mut Pcg64) {
    let version = ["v1", "v2"][rng.random_range(0..2)];
    let (max, is_announced) = ([0, 1, usize::MAX][rng.random_range(0..3)], rng.random());
    let of_version = env.targets.iter().filter(|(t, _)| t.version() == version);
    let ids: Vec<_> = of_version.take(max).map(|(t, _)| t.id.clone()).collect();
    if is_announced {
        ids.iter().for_each(|id| env.write_entry(id, "draining"));
        sleep_random_ms(rng, LEAVE_MS).await;
    }
    ids.iter().for_each(|id| env.on_restart(id));
}

/// Kills all routers at the same moment and starts them again.
async fn restart_all(env: &TestEnv, rng: &mut Pcg64) {
    // No other fault starts a router meanwhile.
    let mut restarts = Vec::new();
    for vm in &env.vms {
        restarts.push(vm.restart.lock().await);
    }
    env.vms.iter().for_each(|vm| vm.kill());
    let delays: Vec<_> = (env.vms.iter())
        .map(|_| Duration::from_millis(rng.random_range(START_DELAY_MS)))
        .collect();
    let starts = env.vms.iter().zip(delays).map(|(vm, delay)| async move {
        sleep(delay).await;
        vm.until_exited().await;
        vm.start();
    });
    futures::future::join_all(starts).await;
}

/// What became of streams at routers in touch.
#[derive(Debug, Default)]
pub struct TakeUps {
    asked: Cell<u32>,
    begun: Cell<u32>,
    taken_up: Cell<u32>,
    gone_on: Cell<u32>,
}

impl TakeUps {
    /// Returns a description if far fewer of the streams that were taken up went on than new ones began.
    fn describe_loss(&self) -> Option<String> {
        let [asked, begun, taken_up, gone_on] =
            [&self.asked, &self.begun, &self.taken_up, &self.gone_on].map(Cell::get);
        let is_lost = taken_up >= MIN_TAKEN_UP
            && 2 * u64::from(gone_on) * u64::from(asked) < u64::from(taken_up) * u64::from(begun);
        is_lost.then(|| {
            format!("{gone_on} of {taken_up} streams went on, {begun} of {asked} new ones began")
        })
    }
}

fn increment(count: &Cell<u32>, by: bool) {
    count.set(count.get() + u32::from(by));
}

/// Callers that take up their streams.
pub struct RestartCallers {
    tasks: Vec<JoinHandle<()>>,
    stop: Rc<Cell<bool>>,
    take_ups: Rc<TakeUps>,
}

/// Starts the callers.
pub fn start(env: &Rc<TestEnv>, seed: u64) -> RestartCallers {
    let (stop, take_ups) = (Rc::new(Cell::new(false)), Rc::new(TakeUps::default()));
    let run = |n: usize| {
        let rng = Pcg64::new(u128::from(seed), RNG_STREAM + 2 + n as u128);
        let task = run_caller(
            Rc::clone(env),
            Rc::clone(&stop),
            Rc::clone(&take_ups),
            rng,
            n,
        );
        tokio::task::spawn_local(task)
    };
    let tasks = (0..CALLERS).map(run).collect();
    RestartCallers {
        tasks,
        stop,
        take_ups,
    }
}

impl RestartCallers {
    /// Stops the callers after their current streams, and checks what became of all of them.
    pub async fn stop(self, env: &TestEnv) {
        self.stop.set(true);
        for task in self.tasks {
            // A panic of a caller has been printed already.
            let _ = task.await;
        }
        println!("streams at routers in touch: {:?}", self.take_ups);
        if let Some(description) = self.take_ups.describe_loss() {
            env.promises.record_violation(Promise::TakenUp, description);
        }
    }
}

async fn run_caller(
    env: Rc<TestEnv>,
    stop: Rc<Cell<bool>>,
    take_ups: Rc<TakeUps>,
    mut rng: Pcg64,
    caller: usize,
) {
    let mut n = 0;
    while !stop.get() {
        n += 1;
        sleep_random_ms(&mut rng, CALLER_PAUSE_MS).await;
        let stream = format!("{ID_PREFIX}-{caller}-{n}");
        let events = read_stream(&env, &mut rng, &stream, &take_ups).await;
        check_events(&env, &stream, &events);
    }
}

/// Checks that no event is missing or came twice, and that one version sent all of them.
fn check_events(env: &TestEnv, stream: &str, events: &[Event]) {
    let ids = events.iter().map(|event| event.id);
    if !ids.eq(1..=events.len() as u64) {
        let description = format!("{stream} got {events:?}");
        (env.promises).record_violation(Promise::OwnWholeAnswer, description);
    }
    // Without several versions, all entries name the same one.
    let is_joined = events
        .iter()
        .any(|event| event.version != events[0].version);
    if env.versions && is_joined {
        let description = format!("{stream} got {events:?}");
        (env.promises).record_violation(Promise::OneVersion, description);
    }
}

/// Event of a stream, as its caller gets it.
#[derive(Debug)]
struct Event {
    id: u64,
    version: String,
}

/// Asks for a stream until it is complete or the caller gives up; returns what arrived.
async fn read_stream(
    env: &TestEnv,
    rng: &mut Pcg64,
    stream: &str,
    take_ups: &TakeUps,
) -> Vec<Event> {
    let mut events = Vec::new();
    let (mut first, mut was_counted, mut has_gone_on) = (String::new(), false, false);
    let give_up_at = Instant::now() + PATIENCE;
    for n in 0.. {
        if n > 0 {
            let pause = RETRY_MS[rng.random_range(0..RETRY_MS.len())].clone();
            sleep_random_ms(rng, pause).await;
        }
        if Instant::now() >= give_up_at {
            break;
        }
        let vm = &env.vms[rng.random_range(0..env.vms.len())];
        let Some(mut caller) = Caller::connect(vm.caller_address).await else {
            continue;
        };
        let id = format!("{stream}-try{n}");
        let last = events.last().map(|event: &Event| event.id);
        let continuation = last.map(|last| Continuation {
            resumes: &first,
            last,
        });
        let in_touch = is_in_touch(env, vm);
        let is_servable = match events.first() {
            Some(event) => ready_targets(env, Some(&event.version)) >= MIN_TARGETS,
            None => ready_targets(env, None) >= MIN_TARGETS,
        };
        env.promises.on_sent(&id, Instant::now());
        let outcome = (caller.read_stream(&id, API_KEYS[0], continuation, None)).await;
        let (arrived, is_complete) = match &outcome {
            CallOutcome::Response(200, body, is_complete) => (parse(body), *is_complete),
            _ => (Vec::new(), false),
        };
        // A router or target that fails meanwhile is none of those that the share is about.
        let counts = in_touch && is_servable && (!arrived.is_empty() || is_in_touch(env, vm));
        let goes_on = !arrived.is_empty() || is_complete;
        match last {
            None if counts => {
                increment(&take_ups.asked, true);
                increment(&take_ups.begun, goes_on);
            }
            Some(_) if counts => {
                increment(&take_ups.taken_up, !was_counted);
                increment(&take_ups.gone_on, goes_on && !has_gone_on);
                was_counted = true;
                has_gone_on |= goes_on;
            }
            _ => {}
        }
        if events.is_empty() {
            first = id;
        }
        events.extend(arrived);
        if is_complete && events.last().is_some_and(|e| e.id < LAST_EVENT) {
            let description = format!("{stream} looks complete after {events:?}");
            (env.promises).record_violation(Promise::OwnWholeAnswer, description);
        }
        if is_complete || last_id(&events) >= LAST_EVENT {
            break;
        }
    }
    events
}

fn last_id(events: &[Event]) -> u64 {
    events.last().map_or(0, |event| event.id)
}

/// Returns whether nothing has disturbed the process, the store or the link between them for long enough.
fn is_in_touch(env: &TestEnv, vm: &Vm) -> bool {
    !vm.paused.get()
        && vm.process().has_run_for(IN_TOUCH_TIME)
        && vm.store_link.is_healthy_for(IN_TOUCH_TIME)
        && env.promises.is_stable_for(IN_TOUCH_TIME)
}

/// Returns how many targets, of a version or of any, are listed as ready and can be reached.
fn ready_targets(env: &TestEnv, version: Option<&str>) -> usize {
    let is_ready = |id: &str| !env.promises.is_leaving(id);
    let serving = env.targets.iter().filter(|(target, link)| {
        target.behavior.get() == TargetBehavior::Healthy
            && link.is_healthy_for(IN_TOUCH_TIME)
            && is_ready(&target.id)
            && version.is_none_or(|version| !env.versions || target.version() == version)
    });
    serving.count()
}

/// Returns the complete events of an answer.
fn parse(body: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(body);
    let end = text.rfind("\n\n").map_or(0, |end| end + 2);
    let events = text[..end].split_terminator("\n\n");
    let parse_event = |event: &str| {
        let (id, data) = event.strip_prefix("id: ")?.split_once('\n')?;
        let version = data.rsplit(' ').next()?.to_owned();
        Some(Event {
            id: id.parse().ok()?,
            version,
        })
    };
    events.filter_map(parse_event).collect()
}

//! Streams that their clients take up while all daemons are stopped and started in turn, and servers of two
//! versions serve.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    record::Record,
    router::{self, Fleet},
    server::Server,
    store::Store,
    streams::{self, CONFIG, LONG_PATH, Request, SERVICE, Stream},
};

/// Number of daemons, and the time between two stops.
const ROUTERS: usize = 7;
const GAP_S: f64 = 1.0;
const FIRST_STOP_S: f64 = 3.0;

/// Time after its end at which a daemon is started again.
const RESTART_DELAY_S: f64 = 0.3;

/// Events of a stream, of which one comes in a quarter of a second.
const LAST: u64 = 40;

/// Time between two new streams, and the time at which the last begins.
const INTERVAL: Duration = Duration::from_millis(40);
const LAST_BEGIN_S: f64 = 22.0;

/// Time that a client waits in all.
const DEADLINE_S: f64 = 12.0;

/// Time after a start in which a daemon is not in touch (`contactMs`).
const CONTACT_S: f64 = 3.0;

/// Interval of the platform's questions whether a daemon is ready, and the misses that take it out.
const READY_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

/// Least number of streams taken up for which the rule holds, and the factor on the share of new streams.
const MIN_TAKEN_UP: usize = 12;
const MIN_FACTOR: f64 = 0.5;

/// The platform's address for clients: hands connections to the daemons that are in.
#[derive(Clone)]
struct Entry {
    fronts: Vec<SocketAddr>,
    is_in: Arc<Mutex<Vec<bool>>>,
}

impl Entry {
    fn start(fleet: &Fleet) -> Self {
        let entry = Self {
            fronts: (0..ROUTERS).map(|i| fleet.front(i)).collect(),
            is_in: Arc::new(Mutex::new(vec![true; ROUTERS])),
        };
        for i in 0..ROUTERS {
            let (is_in, ready) = (Arc::clone(&entry.is_in), fleet.ready(i));
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    thread::sleep(READY_INTERVAL);
                    misses = match router::is_ready(ready).unwrap_or(false) {
                        true => 0,
                        false => misses + 1,
                    };
                    if misses == 0 || misses >= MISSES {
                        is_in.lock().unwrap()[i] = misses == 0;
                    }
                }
            });
        }
        entry
    }

    /// Returns the daemon that gets the `n`th connection: one of those that are in, or of all if fewer than half are.
    fn choose(&self, n: usize) -> usize {
        let is_in = self.is_in.lock().unwrap();
        let mut usable: Vec<usize> = (0..ROUTERS).filter(|i| is_in[*i]).collect();
        if usable.len() * 2 < ROUTERS {
            usable = (0..ROUTERS).collect();
        }
        usable[n % usable.len()]
    }
}

/// When a daemon was stopped, and when it was started again.
#[derive(Debug, Clone, Copy, Default)]
struct Restart {
    stopped_at: Option<f64>,
    started_at: Option<f64>,
}

impl Restart {
    /// Returns whether the daemon is in touch. One that stops doesn't count, which is narrower than the rule: that
    /// counts it again from 3 s after its SIGTERM on.
    fn is_in_touch(self, at: f64) -> bool {
        let is_before = self.stopped_at.is_none_or(|stopped| at < stopped);
        is_before
            || self
                .started_at
                .is_some_and(|started| at >= started + CONTACT_S)
    }
}

/// One request for a stream.
struct Attempt {
    at: f64,
    router: usize,
    /// Whether it takes up a stream of which the client has events.
    is_taken_up: bool,
    /// Whether it brought an event.
    has_gone_on: bool,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let handler = streams::handler(record.clone(), LAST);
    let start = |id: &str, version: &str| {
        Server::start(&store, (id, SERVICE, version), 64, Arc::clone(&handler))
    };
    let _servers = [
        start("i-a-1", "v1")?,
        start("i-a-2", "v1")?,
        start("i-a-3", "v1")?,
        start("i-b-1", "v2")?,
        start("i-b-2", "v2")?,
        start("i-b-3", "v2")?,
    ];
    let mut fleet = Fleet::start(&case.root, &case.temporary, &store, ROUTERS)?;
    record.line("all daemons are ready");
    let entry = Entry::start(&fleet);
    let mut restarts = [Restart::default(); ROUTERS];
    let began = record.seconds();
    let clients = {
        let (entry, record) = (entry.clone(), record.clone());
        thread::spawn(move || send_streams(&entry, &record, began))
    };
    let mut stopped = 0;
    let mut ended_at = [None; ROUTERS];
    while !clients.is_finished() {
        thread::sleep(Duration::from_millis(20));
        let now = record.seconds() - began;
        if case.has_trouble && stopped < ROUTERS && now >= FIRST_STOP_S + GAP_S * stopped as f64 {
            fleet.terminate(stopped)?;
            record.line(&format!("SIGTERM to daemon {stopped}"));
            restarts[stopped].stopped_at = Some(record.seconds());
            stopped += 1;
        }
        for (i, ended_at) in ended_at.iter_mut().enumerate().take(stopped) {
            match *ended_at {
                None if fleet.has_ended(i)? => {
                    record.line(&format!("daemon {i} has ended"));
                    *ended_at = Some(now);
                }
                Some(at) if at < f64::MAX && now >= at + RESTART_DELAY_S => {
                    fleet.start_one(i, false)?;
                    record.line(&format!("daemon {i} is started"));
                    restarts[i].started_at = Some(record.seconds());
                    *ended_at = Some(f64::MAX);
                }
                _ => {}
            }
        }
    }
    let attempts = clients
        .join()
        .map_err(|_| io::Error::other("a client failed"))?;
    judge(record, &attempts, &restarts)
}

fn judge(record: &Record, attempts: &[Attempt], restarts: &[Restart]) -> io::Result<Verdict> {
    let is_in_touch = |a: &&Attempt| restarts[a.router].is_in_touch(a.at);
    let in_touch: Vec<&Attempt> = attempts.iter().filter(is_in_touch).collect();
    let count = |is_taken_up: bool| {
        let all = in_touch.iter().filter(|a| a.is_taken_up == is_taken_up);
        (all.clone().count(), all.filter(|a| a.has_gone_on).count())
    };
    let ((new, begun), (taken_up, gone_on)) = (count(false), count(true));
    record.line(&format!(
        "at daemons in touch: {new} new streams, of which {begun} began; {taken_up} taken up, of which {gone_on} went on"
    ));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    match () {
        () if begun < 100 => Err(io::Error::other("too few streams began")),
        () if taken_up >= MIN_TAKEN_UP
            && share(gone_on, taken_up) < MIN_FACTOR * share(begun, new) =>
        {
            Ok(Verdict::Broken)
        }
        () => Ok(Verdict::Held),
    }
}

fn send_streams(entry: &Entry, record: &Record, began: f64) -> Vec<Attempt> {
    let mut clients = Vec::new();
    for n in 0.. {
        if record.seconds() - began > LAST_BEGIN_S {
            break;
        }
        let (entry, record) = (entry.clone(), record.clone());
        clients.push(thread::spawn(move || call(&entry, n, &record)));
        thread::sleep(INTERVAL);
    }
    let results = clients.into_iter().filter_map(|c| c.join().ok());
    results.flatten().collect()
}

/// Reads a stream; takes it up once, at another daemon, if it breaks off.
fn call(entry: &Entry, n: usize, record: &Record) -> Vec<Attempt> {
    let began = record.seconds();
    let mut stream = Stream::default();
    let mut attempts = Vec::new();
    let names = [format!("s{n}-a"), format!("s{n}-b")];
    let mut former = None;
    for (try_number, name) in names.iter().enumerate() {
        let at = record.seconds();
        let left = DEADLINE_S - (at - began);
        if stream.is_complete || left <= 0.0 {
            break;
        }
        let router = (0..ROUTERS)
            .map(|skipped| entry.choose(n + try_number + skipped))
            .find(|router| former != Some(*router))
            .unwrap_or(0);
        former = Some(router);
        let before = stream.ids.len();
        let resumes = stream.ids.last().map(|last| (names[0].as_str(), *last));
        record.line(&format!(
            "sent {name} to daemon {router}, has {before} events"
        ));
        let request = Request {
            path: LONG_PATH,
            attempt: name,
            resumes,
            left,
        };
        let end = streams::read(entry.fronts[router], &request, &mut stream);
        let end = end.map_or_else(|e| format!("broke off: {e}"), |status| status.to_string());
        let has_gone_on = stream.ids.len() > before;
        record.line(&format!(
            "answer to {name}: {end}, {} events",
            stream.ids.len()
        ));
        attempts.push(Attempt {
            at,
            router,
            is_taken_up: before > 0,
            has_gone_on,
        });
        thread::sleep(Duration::from_millis(100));
    }
    attempts
}

//! Streams that break off after servers were restarted in place with another version, while the store is down.

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use crate::{
    Case, Verdict,
    record::Record,
    router::Fleet,
    server::Server,
    store::Store,
    streams::{self, CONFIG, LONG_PATH, Request, SERVICE, Stream},
};

const ROUTERS: usize = 3;

/// Number of servers of each version; two of all eight crash at a time, 0.25 of them.
const SERVERS: usize = 4;

/// Number of streams, of which about half begin at each version.
const STREAMS: usize = 48;

/// Number of events of a stream, of which one comes in a quarter of a second.
const LAST: u64 = 44;

/// Time that a client waits in all, in seconds.
const DEADLINE_S: f64 = 12.0;

/// Time in which a daemon that has started may use a small part of its retry budget only.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Time for which servers that crash are down, and time between two events of the case.
const DOWN_TIME: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(300);

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let handler = streams::handler(record.clone(), LAST);
    let start = |id: &str, version: &str| {
        Server::start(&store, (id, SERVICE, version), 64, Arc::clone(&handler))
    };
    let restart = |server: &Server| {
        let names = (server.id.as_str(), SERVICE, "v2");
        let restarted = Server::start_at(server.address, &store, names, 64, Arc::clone(&handler));
        record.line(&format!("{} starts again under its id, as v2", server.id));
        restarted
    };
    let (mut old, mut new) = (Vec::new(), Vec::new());
    for n in 0..SERVERS {
        old.push(start(&format!("i-a-{n}"), "v1")?);
        new.push(start(&format!("i-b-{n}"), "v2")?);
    }
    let fleet = Fleet::start(&case.root, &case.temporary, &store, ROUTERS)?;
    let fronts: Vec<SocketAddr> = (0..ROUTERS).map(|i| fleet.front(i)).collect();
    record.line("all daemons are ready");
    thread::sleep(BUDGET_WINDOW);
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || call(&fronts, n, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if case.has_trouble {
        record.line("the store is down: it answers nothing");
        store.set_down(true);
    }
    thread::sleep(PAUSE);
    crash(record, &old[..2]);
    thread::sleep(DOWN_TIME);
    let mut restarted = Vec::new();
    for server in &old[..2] {
        restarted.push(restart(server)?);
    }
    thread::sleep(PAUSE);
    crash(record, &old[2..]);
    thread::sleep(DOWN_TIME - PAUSE);
    if case.has_trouble {
        record.line("the store is back");
        store.set_down(false);
    }
    thread::sleep(PAUSE);
    for server in &old[2..] {
        restarted.push(restart(server)?);
    }
    let streams: Vec<Stream> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    judge(record, &streams)
}

fn crash(record: &Record, servers: &[Server]) {
    for server in servers {
        record.line(&format!("{} ({}) crashes", server.id, server.version));
        server.end();
    }
}

fn judge(record: &Record, streams: &[Stream]) -> io::Result<Verdict> {
    let begun = streams.iter().filter(|s| s.versions.contains("v1")).count();
    let joined = streams.iter().filter(|s| s.versions.len() > 1).count();
    record.line(&format!(
        "{begun} streams begun by v1, {joined} with events of both versions, {ALLOWED} allowed"
    ));
    match () {
        () if begun < 10 => Err(io::Error::other("too few streams began")),
        () if joined > ALLOWED => Ok(Verdict::Broken),
        () => Ok(Verdict::Held),
    }
}

/// Reads a stream; takes it up once, at the next daemon, if it breaks off.
fn call(fronts: &[SocketAddr], n: usize, record: &Record) -> Stream {
    let began = record.seconds();
    let mut stream = Stream::default();
    let names = [format!("s{n}-a"), format!("s{n}-b")];
    for (try_number, name) in names.iter().enumerate() {
        let left = DEADLINE_S - (record.seconds() - began);
        if stream.is_complete || left <= 0.0 {
            break;
        }
        let at = (n + try_number) % fronts.len();
        record.line(&format!(
            "sent {name} to daemon {at}, has {} events",
            stream.ids.len()
        ));
        let resumes = stream.ids.last().map(|last| (names[0].as_str(), *last));
        let request = Request {
            path: LONG_PATH,
            attempt: name,
            resumes,
            left,
        };
        let end = streams::read(fronts[at], &request, &mut stream);
        let end = end.map_or_else(|e| format!("broke off: {e}"), |status| status.to_string());
        record.line(&format!(
            "answer to {name}: {end}; versions {:?}, {} events",
            stream.versions,
            stream.ids.len()
        ));
        thread::sleep(Duration::from_millis(100));
    }
    stream
}

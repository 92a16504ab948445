//! Streams that their clients take up at a daemon which was started after the last server of the streams' version
//! had left the list.

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use crate::{
    Case, Verdict,
    record::Record,
    router::Fleet,
    server::Server,
    store::Store,
    streams::{self, CONFIG, LONG_PATH, Request, SERVICE, SHORT_PATH, Stream},
};

/// One daemon of six is killed, 0.167 of them.
const ROUTERS: usize = 6;
const KILLED: usize = 0;

/// Number of long streams, of which about two fifths begin at the first version.
const STREAMS: usize = 120;

/// Time between two steps of the release, which replaces two of five servers, 0.4 of them.
const RELEASE_GAP: Duration = Duration::from_secs(1);

/// Number of events of a long stream, of which one comes in a quarter of a second.
const LAST: u64 = 60;

/// Time that a client waits in all.
const DEADLINE: Duration = Duration::from_secs(12);

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
    let old = [start("i-old-1", "v1")?, start("i-old-2", "v1")?];
    let _others = [
        start("i-other-1", "v2")?,
        start("i-other-2", "v2")?,
        start("i-other-3", "v2")?,
    ];
    let mut fleet = Fleet::start(&case.root, &case.temporary, &store, ROUTERS)?;
    let fronts: Vec<SocketAddr> = (0..ROUTERS).map(|i| fleet.front(i)).collect();
    record.line("all daemons are ready");

    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || call(&fronts, n, &format!("s{n}"), &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut new = Vec::new();
    for (n, server) in old.iter().enumerate() {
        record.line("release: a server of v2 starts");
        new.push(start(&format!("i-new-{n}"), "v2")?);
        thread::sleep(RELEASE_GAP);
        record.line(&format!(
            "release: the entry of {} (v1) goes; it serves on",
            server.id
        ));
        server.delist();
    }
    let background = {
        let (fronts, record) = (fronts.clone(), record.clone());
        thread::spawn(move || send_new_streams(&fronts, &record))
    };
    thread::sleep(Duration::from_secs(3));
    if case.has_trouble {
        record.line("daemon 0 is killed");
        fleet.kill(KILLED)?;
        thread::sleep(Duration::from_millis(500));
        fleet.start_one(KILLED, false)?;
        fleet.wait_until_ready(KILLED)?;
        record.line("daemon 0 is ready again");
    }
    let until_end = 6.0 - 3.0;
    thread::sleep(Duration::from_secs_f64(until_end));
    record.line("release: both servers of v1 end");
    old.iter().for_each(Server::end);

    let streams: Vec<Stream> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let _ = background.join();
    judge(record, &streams)
}

fn judge(record: &Record, streams: &[Stream]) -> io::Result<Verdict> {
    let begun = streams.iter().filter(|s| s.versions.contains("v1")).count();
    let joined = streams.iter().filter(|s| s.versions.len() > 1).count();
    let complete = streams.iter().filter(|s| s.is_complete).count();
    record.line(&format!(
        "{begun} streams begun by v1, {complete} complete, {joined} with events of both versions, {ALLOWED} allowed"
    ));
    match begun {
        n if n < STREAMS / 5 => Err(io::Error::other("too few streams began")),
        _ if joined > ALLOWED => Ok(Verdict::Broken),
        _ => Ok(Verdict::Held),
    }
}

/// Reads a stream; takes it up once at the next daemon if it breaks off.
fn call(fronts: &[SocketAddr], n: usize, name: &str, record: &Record) -> Stream {
    let began = record.seconds();
    let mut stream = Stream::default();
    let first = format!("{name}-a");
    let at = n % fronts.len();
    let path = match name.starts_with('s') {
        true => LONG_PATH,
        false => SHORT_PATH,
    };
    for (attempt, at) in [
        (&first, at),
        (&format!("{name}-b"), (at + 1) % fronts.len()),
    ] {
        let left = DEADLINE.as_secs_f64() - (record.seconds() - began);
        if stream.is_complete || left <= 0.0 {
            break;
        }
        record.line(&format!(
            "sent {attempt} to daemon {at}, has {} events",
            stream.ids.len()
        ));
        let resumes = stream.ids.last().map(|last| (first.as_str(), *last));
        let request = Request {
            path,
            attempt,
            resumes,
            left,
        };
        let end = streams::read(fronts[at], &request, &mut stream);
        let end = end.map_or_else(|e| format!("broke off: {e}"), |status| status.to_string());
        record.line(&format!(
            "answer to {attempt}: {end}; versions {:?}, {} events",
            stream.versions,
            stream.ids.len()
        ));
        thread::sleep(Duration::from_millis(100));
    }
    stream
}

/// Sends short new streams, each with a prompt of its own, until the old servers have ended.
fn send_new_streams(fronts: &[SocketAddr], record: &Record) {
    for n in 0..30 {
        let (fronts, record) = (fronts.to_vec(), record.clone());
        thread::spawn(move || call(&fronts, n, &format!("n{n}"), &record));
        thread::sleep(Duration::from_millis(200));
    }
}

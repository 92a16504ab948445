//! A stream without a length passes through a second router, whose process is killed, and must not look complete.
//!
//! The first router's opening packet to the runner is lost, so that it reaches the runner through the second
//! router. That router is killed by SIGKILL while the runner still sends events. Exits with 1 if the client gets a
//! stream that is ended as complete before its last event.

mod standins;

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    process::exit,
    sync::mpsc,
    thread,
    time::Duration,
};

use standins::*;

/// Number of events of each stream, and the runner's pause before each: two seconds in all.
const EVENTS: u32 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Event after which the second router is killed.
const KILL_AFTER: u32 = 8;

/// Time after the request at which the runner's queue of new connections takes further ones. By then, the first
/// router's opening packet is lost; it would be sent again after a second. The second router connects later.
const QUEUE_FULL_FOR: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"desk.example","pathPrefix":"/chat/","type":"streaming","timeoutMs":10000,"goalMs":500,"gapTargetMs":400,"priority":1,"service":"engine","maxAttempts":1,"public":true,"sticky":true,"resumable":false},{"name":"r-2","host":"desk.example","pathPrefix":"/other/","type":"streaming","timeoutMs":10000,"goalMs":500,"gapTargetMs":400,"priority":1,"service":"other","maxAttempts":1,"public":true,"sticky":true,"resumable":false}],"services":[{"name":"engine","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false},{"name":"other","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

fn run() -> io::Result<i32> {
    let record = Record::create("review/3/record.txt")?;
    let dir = TempDir::create()?;
    let store = Store::start()?;
    let (sent_tx, sent) = mpsc::channel();
    let (runner, address) = standins::listen(ip(100))?;
    let (other, other_address) = standins::listen(ip(101))?;
    serve_runner(other, "i-2", record.clone(), mpsc::channel().0);
    store.put("op/config", CONFIG);
    announce_runner(&store, "i-1", "engine", address);
    announce_runner(&store, "i-2", "other", other_address);

    let ports = Ports::free()?;
    let first = Router::start(&dir.0, 1, 2, ports, store.address)?;
    let second = Router::start(&dir.0, 2, 2, ports, store.address)?;
    first.until_ready()?;
    second.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    for router in [&first, &second] {
        let answer = call(&record, router.front, "/other/1", "warm-up")?;
        if !answer.is_whole() {
            return Err(io::Error::other("a router does not reach the other runner"));
        }
    }

    let queued = match with_trouble() {
        true => fill_queue(&runner, address)?,
        false => Vec::new(),
    };
    let open_record = record.clone();
    let opening = thread::spawn(move || {
        if !queued.is_empty() {
            thread::sleep(QUEUE_FULL_FOR);
            drop(queued);
            open_record.line("the runner's queue of new connections takes further ones");
        }
        serve_runner(runner, "i-1", open_record, sent_tx);
    });
    let (kill_record, relay) = (record.clone(), second.ip);
    let killer = thread::spawn(move || {
        let peer = sent.recv_timeout(Duration::from_secs(5));
        if with_trouble() && peer == Ok(relay) {
            second.signal(Signal::Kill);
            kill_record.line("SIGKILL to router 2");
        }
        (peer, second)
    });
    let answer = call(&record, first.front, "/chat/17", "a1")?;
    let _ = opening.join();
    let (peer, _second) = killer
        .join()
        .map_err(|_| io::Error::other("a thread failed"))?;
    if with_trouble() && peer != Ok(relay) {
        return Err(io::Error::other(
            "the request did not reach the runner through router 2",
        ));
    }
    let is_broken = answer.status == 200 && answer.end == End::Complete && answer.events < EVENTS;
    record.line(match is_broken {
        true => "the stream is ended as complete before its last event",
        false => "the stream is whole, or does not look complete",
    });
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Fills the queue of a listener that does not accept yet, until opening packets are lost.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> io::Result<Vec<TcpStream>> {
    // SAFETY: the descriptor is a socket that listens.
    unsafe { listen(listener.as_raw_fd(), 0) };
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(30)) {
        queued.push(stream);
        if queued.len() > 64 {
            return Err(io::Error::other(
                "the queue of new connections does not get full",
            ));
        }
    }
    Ok(queued)
}

/// Starts a runner, which tells the address of the router of each request once it has sent `KILL_AFTER` events.
fn serve_runner(
    listener: TcpListener,
    id: &'static str,
    record: Record,
    sent: mpsc::Sender<Ipv4Addr>,
) {
    serve(listener, move |stream| {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let Ok(SocketAddr::V4(peer)) = stream.peer_addr() else {
            return;
        };
        let mut from = BufReader::new(stream);
        let Ok(req) = read_request(&mut from) else {
            return;
        };
        let call = req.header("x-attempt-id").unwrap_or_default();
        record.line(&format!("runner {id} runs {call}, from {}", peer.ip()));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {call}\r\nX-Server-Seal: seal-{call}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        if to.write_all(head.as_bytes()).is_err() {
            return;
        }
        for n in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            if let Err(e) = to.write_all(format!("id: {n}\ndata: word {n}\n\n").as_bytes()) {
                record.line(&format!("runner {id} can't send event {n} of {call}: {e}"));
                return;
            }
            if n == KILL_AFTER {
                record.line(&format!("runner {id} has sent {n} events of {call}"));
                let _ = sent.send(*peer.ip());
            }
        }
        record.line(&format!(
            "runner {id} has sent all {EVENTS} events of {call}"
        ));
    });
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    BrokenOff,
}

struct Answer {
    status: u16,
    events: u32,
    end: End,
}

impl Answer {
    fn is_whole(&self) -> bool {
        self.status == 200 && self.end == End::Complete && self.events == EVENTS
    }
}

/// Sends one request on a new connection and reads the answer as a client does.
fn call(record: &Record, front: SocketAddr, path: &str, id: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 10,20\r\nX-Prefix-Hash: 5c1e07a2:10\r\nX-Deadline-Ms: 10000\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(request.as_bytes())?;
    record.line(&format!("the client sends {id} to {front}"));
    let mut from = BufReader::new(stream);
    let head = read_head(&mut from)?;
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let mut body = Vec::new();
    let end = match (
        head.header("transfer-encoding"),
        head.header("content-length"),
    ) {
        (Some("chunked"), _) => read_chunks(&mut from, &mut body),
        (_, Some(length)) => {
            let length = length.parse().map_err(io::Error::other)?;
            from.take(length)
                .read_to_end(&mut body)
                .map(|n| n as u64 == length)
        }
        // An end of the connection could not be told from a break.
        _ => {
            return Err(io::Error::other(
                "an answer with neither chunks nor a length",
            ));
        }
    };
    let end = match end {
        Ok(true) => End::Complete,
        _ => End::BrokenOff,
    };
    let text = String::from_utf8_lossy(&body);
    let ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let events = ids.max().unwrap_or(0);
    record.line(&format!(
        "the client gets {status} for {id}, seal {}, events up to {events} of {EVENTS}, {end:?}",
        head.header("x-server-seal").unwrap_or("none")
    ));
    Ok(Answer {
        status,
        events,
        end,
    })
}

/// Reads a chunked body; returns whether its last chunk arrived.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn main() {
    exit(run().unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        NOT_RUN
    }));
}

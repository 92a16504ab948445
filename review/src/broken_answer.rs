//! A runner's answer without a length breaks off on its way through a second router, and must not look complete.
//!
//! The first router's opening packet to the runner is lost, so that it reaches the runner through the second
//! router. `reset`: the runner resets its connection in the middle of the answer. `kill`: the second router's
//! process is killed by SIGKILL in the middle of the answer. Exits with 1 if the client gets a success with a part
//! of the runner's body that looks complete.

mod standins;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    process::exit,
    sync::mpsc,
    thread,
    time::Duration,
};

use standins::*;

/// Where the answer breaks off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Break {
    Nowhere,
    AtRunner,
    AtRelay,
}

/// Body of the runner's answer; it breaks off after its first half.
const HALVES: [&str; 2] = ["{\"lot\":17,\"bids\":[4100,", "4250,4300],\"sold\":true}"];

/// Time after the request at which the runner's queue of new connections takes further ones. By then, the first
/// router's opening packet is lost; it would be sent again after a second. The second router connects later.
const QUEUE_FULL_FOR: Duration = Duration::from_millis(50);

/// Pause of the runner between the halves.
const PAUSE: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"desk.example","pathPrefix":"/lots/","type":"safe","timeoutMs":4000,"goalMs":2000,"priority":1,"service":"desk","maxAttempts":1,"public":true},{"name":"r-2","host":"desk.example","pathPrefix":"/other/","type":"safe","timeoutMs":4000,"goalMs":2000,"priority":1,"service":"other","maxAttempts":1,"public":true}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false},{"name":"other","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

fn run(folder: &str, break_at: Break) -> io::Result<i32> {
    let record = Record::create(&format!("{folder}/record.txt"))?;
    let dir = TempDir::create()?;
    let store = Store::start()?;
    let (halfway_tx, halfway) = mpsc::channel();
    let (runner, address) = standins::listen(ip(100))?;
    let (other, other_address) = standins::listen(ip(101))?;
    serve_runner(
        other,
        "i-2",
        record.clone(),
        Break::Nowhere,
        mpsc::channel().0,
    );
    store.put("op/config", CONFIG);
    announce_runner(&store, "i-1", "desk", address);
    announce_runner(&store, "i-2", "other", other_address);

    let ports = Ports::free()?;
    let first = Router::start(&dir.0, 1, 2, ports, store.address)?;
    let second = Router::start(&dir.0, 2, 2, ports, store.address)?;
    first.until_ready()?;
    second.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    for router in [&first, &second] {
        let answer = call(&record, router.front, "/other/1", "warm-up")?;
        if answer.end != End::Complete || answer.status != 200 {
            return Err(io::Error::other("a router does not reach the other runner"));
        }
    }

    let queued = match with_trouble() {
        true => fill_queue(&runner, address)?,
        false => Vec::new(),
    };
    let break_at = if with_trouble() {
        break_at
    } else {
        Break::Nowhere
    };
    let open_record = record.clone();
    let opening = thread::spawn(move || {
        if !queued.is_empty() {
            thread::sleep(QUEUE_FULL_FOR);
            drop(queued);
            open_record.line("the runner's queue of new connections takes further ones");
        }
        serve_runner(runner, "i-1", open_record, break_at, halfway_tx);
    });
    let (kill_record, relay) = (record.clone(), second.ip);
    let killer = thread::spawn(move || {
        let peer = halfway.recv_timeout(Duration::from_secs(5));
        if break_at == Break::AtRelay && peer.is_ok() {
            second.signal(Signal::Kill);
            kill_record.line("SIGKILL to router 2");
        }
        (peer, second)
    });
    let answer = call(&record, first.front, "/lots/17", "a1")?;
    let _ = opening.join();
    let (peer, _second) = killer
        .join()
        .map_err(|_| io::Error::other("a thread failed"))?;
    if with_trouble() && peer != Ok(relay) {
        return Err(io::Error::other(
            "the request did not reach the runner through router 2",
        ));
    }
    let whole = HALVES.concat();
    let is_mixed = answer.status == 200 && answer.end == End::Complete && answer.body != whole;
    record.line(match is_mixed {
        true => "the answer looks complete, and is not the runner's whole body",
        false => "the answer is whole, or does not look complete",
    });
    Ok(if is_mixed { BROKEN } else { HELD })
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

/// Starts a runner, which tells the address of the router of each request when the first half is sent.
fn serve_runner(
    listener: TcpListener,
    id: &'static str,
    record: Record,
    break_at: Break,
    halfway: mpsc::Sender<std::net::Ipv4Addr>,
) {
    serve(listener, move |stream| {
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
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {call}\r\nX-Server-Seal: seal-{call}\r\nConnection: close\r\n\r\n"
        );
        let [first, second] = HALVES;
        if to.write_all(format!("{head}{first}").as_bytes()).is_err() {
            return;
        }
        thread::sleep(PAUSE);
        let _ = halfway.send(*peer.ip());
        thread::sleep(PAUSE);
        if break_at == Break::AtRunner {
            let linger = Linger { on: 1, seconds: 0 };
            // SAFETY: the descriptor is open, and the value has the size that is given.
            unsafe { setsockopt(to.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const linger, 8) };
            record.line(&format!(
                "runner {id} resets the connection after half of its answer to {call}"
            ));
            return;
        }
        match to.write_all(second.as_bytes()) {
            Ok(()) => record.line(&format!("runner {id} has sent its whole answer to {call}")),
            Err(e) => record.line(&format!("runner {id} can't send the second half: {e}")),
        }
    });
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    BrokenOff,
}

struct Answer {
    status: u16,
    body: String,
    end: End,
}

/// Sends one request on a new connection and reads the answer as a client does.
fn call(record: &Record, front: SocketAddr, path: &str, id: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\r\n"
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
    // The routers answer plain calls with a length; an answer without one could not be judged.
    let length = head
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    let length = length.ok_or_else(|| io::Error::other("an answer without a length"))?;
    let mut body = Vec::new();
    let read = from.take(length as u64).read_to_end(&mut body);
    let end = match read {
        Ok(n) if n == length => End::Complete,
        _ => End::BrokenOff,
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    record.line(&format!(
        "the client gets {status} for {id}, seal {}, length {length}, {end:?}: {body}",
        head.header("x-server-seal").unwrap_or("none")
    ));
    Ok(Answer { status, body, end })
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (folder, mode) = match args.as_slice() {
        [_, folder, mode] => (folder.as_str(), mode.as_str()),
        _ => exit(NOT_RUN),
    };
    let break_at = match mode {
        "reset" => Break::AtRunner,
        "kill" => Break::AtRelay,
        _ => exit(NOT_RUN),
    };
    exit(run(folder, break_at).unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        NOT_RUN
    }));
}

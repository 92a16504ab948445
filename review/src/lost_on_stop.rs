//! A router is stopped by SIGTERM while clients with slow links read answers that a runner has already sent in
//! full. Exits with 1 if an answer is cut off.

mod standins;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::*;

/// Size of each answer, in bytes.
const ANSWER_BYTES: usize = 256 << 10;

/// Bytes that a client reads at once at most, and the time that it takes for as many: 51 KB a second, so that it has the whole answer
/// after 5.1 s, well within the 8 s of `graceS` and its deadline.
const READ_BYTES: usize = 5_120;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Receive buffer of a client, as a slow link leaves little on its way.
const RECEIVE_BUFFER: i32 = 8 << 10;

const CLIENTS: usize = 6;
const DEADLINE_MS: u64 = 12_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"desk.example","pathPrefix":"/lots/","type":"safe","timeoutMs":12000,"goalMs":1200,"priority":1,"service":"desk","maxAttempts":2,"public":true}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

fn run() -> io::Result<i32> {
    let record = Record::create("review/2/record.txt")?;
    let dir = TempDir::create()?;
    let store = Store::start()?;
    let sent_whole = Arc::new(AtomicUsize::new(0));
    let runner = start_runner(record.clone(), Arc::clone(&sent_whole))?;
    store.put("op/config", CONFIG);
    announce_runner(&store, "i-1", "desk", runner);
    let mut router = Router::start(&dir.0, 1, 1, Ports::free()?, store.address)?;
    router.until_ready()?;
    record.line("the router is ready");

    let reading = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, reading, front) = (record.clone(), Arc::clone(&reading), router.front);
            thread::spawn(move || client(&record, &reading, front, n))
        })
        .collect();
    let started = Instant::now();
    while reading.load(Ordering::SeqCst) < CLIENTS || sent_whole.load(Ordering::SeqCst) < CLIENTS {
        if started.elapsed() > Duration::from_secs(3) {
            return Err(io::Error::other(
                "the clients do not all read an answer after 3 s",
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let stopped_at = Instant::now();
    if with_trouble() {
        record.line("SIGTERM to the router; graceS is 8 s");
        router.signal(Signal::Term);
    }
    let mut exited = false;
    while !clients.iter().all(|c| c.is_finished()) {
        if !exited && router.has_exited() {
            exited = true;
            let after = stopped_at.elapsed().as_secs_f64();
            record.line(&format!(
                "the router's process has ended by itself, {after:.3} s after SIGTERM"
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answers = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(Answer::NotRun));
    let answers: Vec<Answer> = answers.collect();
    if answers.contains(&Answer::NotRun) {
        return Ok(NOT_RUN);
    }
    let cut = answers.iter().filter(|a| **a == Answer::CutOff).count();
    record.line(&format!("{cut} of {CLIENTS} answers were cut off"));
    Ok(if cut > 0 { BROKEN } else { HELD })
}

/// Starts a runner that answers each request at once, with a length.
fn start_runner(record: Record, sent_whole: Arc<AtomicUsize>) -> io::Result<SocketAddr> {
    let (listener, address) = listen(ip(100))?;
    serve(listener, move |stream| {
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(req) = read_request(&mut from) {
            let id = req.header("x-attempt-id").unwrap_or_default().to_owned();
            record.line(&format!("the runner runs {id}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
            );
            let mut answer = head.into_bytes();
            answer.extend(body());
            if to.write_all(&answer).is_err() {
                record.line(&format!("the runner could not send its answer to {id}"));
                return;
            }
            record.line(&format!("the runner has sent its whole answer to {id}"));
            sent_whole.fetch_add(1, Ordering::SeqCst);
        }
    });
    Ok(address)
}

fn body() -> impl Iterator<Item = u8> {
    (0..ANSWER_BYTES).map(|i| b'a' + (i % 23) as u8)
}

#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Whole,
    CutOff,
    NotRun,
}

fn client(record: &Record, reading: &AtomicUsize, front: SocketAddr, n: usize) -> Answer {
    match read_slowly(record, reading, front, n) {
        Ok(answer) => answer,
        Err(e) => {
            record.line(&format!("client {n}: no answer ({e})"));
            Answer::NotRun
        }
    }
}

fn read_slowly(
    record: &Record,
    reading: &AtomicUsize,
    front: SocketAddr,
    n: usize,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    bound_receive_buffer(&stream);
    let started = Instant::now();
    let id = format!("a{n}");
    let request = format!(
        "GET /lots/{n} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    record.line(&format!("client {n} sends {id}"));
    let mut from = BufReader::with_capacity(1_024, stream);
    let head = read_head(&mut from)?;
    record.line(&format!("client {n} gets the head: {}", head.first));
    if !head.first.contains(" 200 ") {
        return Ok(Answer::NotRun);
    }
    reading.fetch_add(1, Ordering::SeqCst);
    let mut got = Vec::new();
    let end = loop {
        if got.len() >= ANSWER_BYTES {
            break "the whole body".to_owned();
        }
        let mut piece = [0; READ_BYTES];
        match from.read(&mut piece) {
            Ok(0) => break "the connection is closed".to_owned(),
            Ok(len) => got.extend_from_slice(&piece[..len]),
            Err(e) => break e.to_string(),
        }
        let due = READ_PAUSE.mul_f64(got.len() as f64 / READ_BYTES as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    };
    let after = started.elapsed().as_secs_f64();
    record.line(&format!(
        "client {n} has {} of {ANSWER_BYTES} bytes {after:.3} s after it sent: {end}",
        got.len()
    ));
    Ok(match got.iter().copied().eq(body()) {
        true => Answer::Whole,
        false => Answer::CutOff,
    })
}

fn bound_receive_buffer(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let size = RECEIVE_BUFFER;
    // SAFETY: the descriptor is open, and the value is an `i32` of the given length.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &raw const size,
            4,
        )
    };
}

fn main() {
    exit(run().unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        NOT_RUN
    }));
}

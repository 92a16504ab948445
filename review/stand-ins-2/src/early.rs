//! Long requests that their servers answer before they have read them.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::{Conn, Head},
    record::Record,
    router::Fleet,
    server::{Handler, Server},
    store::Store,
};

const SERVICE: &str = "desk";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUTERS: usize = 3;

/// Timeout of the route, time after it by which the rule wants an answer, and time that a client waits.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Size of a long request, below the limit of the configuration, and of a usual one.
const LONG_BYTES: usize = 4_000_000;
const USUAL_BYTES: usize = 600;

/// One request in so many is long: 0.02 of them.
const LONG_EVERY: usize = 50;
const REQUESTS: usize = 2_400;
const INTERVAL: Duration = Duration::from_millis(16);

/// Time after an early answer at which a server reads on.
const READS_ON_AFTER: Duration = Duration::from_secs(3);

const WORK: Duration = Duration::from_millis(15);

/// Number and fraction of the requests that outlast the timeout from which the rule is broken.
const MIN_LATE: usize = 8;
const MAX_LATE_FRACTION: f64 = 0.25;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"confirm","host":"desk.example","pathPrefix":"/confirm/","type":"unsafe","timeoutMs":1000,"goalMs":100,
"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// What a client saw.
struct Outcome {
    is_long: bool,
    /// Status, and the time from the last byte of the request to the whole answer; `None` without an answer.
    answer: Option<(u16, Duration)>,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let early = Arc::new(AtomicUsize::new(0));
    let start = |id: &str, is_early: bool| {
        let handler = handler(record.clone(), is_early, Arc::clone(&early));
        Server::start(&store, (id, SERVICE, "v1"), 6, handler)
    };
    // Half of the servers answer long requests early.
    let _servers = [
        start("i-desk-1", case.has_trouble)?,
        start("i-desk-2", false)?,
        start("i-desk-3", case.has_trouble)?,
        start("i-desk-4", false)?,
    ];
    let fleet = Fleet::start(&case.root, &case.temporary, &store, ROUTERS)?;
    let fronts: Vec<SocketAddr> = (0..ROUTERS).map(|i| fleet.front(i)).collect();
    record.line("all daemons are ready");
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        let (at, record) = (fronts[n % ROUTERS], record.clone());
        clients.push(thread::spawn(move || call(at, n, &record)));
        thread::sleep(INTERVAL);
    }
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    judge(record, &outcomes, early.load(Ordering::SeqCst))
}

fn judge(record: &Record, outcomes: &[Outcome], early: usize) -> io::Result<Verdict> {
    let lacks_at = |o: &&Outcome, time: Duration| o.answer.is_none_or(|(_, took)| took > time);
    let outlasting = outcomes
        .iter()
        .filter(|o| lacks_at(o, ROUTE_TIMEOUT))
        .count();
    let late = |o: &&Outcome| lacks_at(o, ROUTE_TIMEOUT + SLACK);
    let without = outcomes.iter().filter(|o| o.answer.is_none()).count();
    let usual_late = outcomes.iter().filter(|o| !o.is_long).filter(late).count();
    let late = outcomes.iter().filter(late).count();
    record.line(&format!(
        "{} requests, {early} answered early by their server; {outlasting} unanswered at the route's timeout, {late} \
        of them 0.5 s later ({usual_late} of usual size), {without} never",
        outcomes.len()
    ));
    let fraction = late as f64 / outlasting.max(1) as f64;
    match () {
        () if outcomes.len() < REQUESTS => Err(io::Error::other("a client failed")),
        () if late >= MIN_LATE && fraction > MAX_LATE_FRACTION => Ok(Verdict::Broken),
        () => Ok(Verdict::Held),
    }
}

/// Answers a request when its body is read, but a long one at once if `is_early` is set.
fn handler(record: Record, is_early: bool, early: Arc<AtomicUsize>) -> Handler {
    Arc::new(move |server: &Server, head: &Head, conn: &mut Conn| {
        let id = head.header("x-attempt-id").unwrap_or("-").to_owned();
        let is_long = head.length() > USUAL_BYTES;
        let headers = server.headers(head);
        if is_early && is_long {
            early.fetch_add(1, Ordering::SeqCst);
            conn.answer("413 Payload Too Large", &headers, b"too long\n")?;
            record.line(&format!(
                "{} answered {id} with 413 before its body",
                server.id
            ));
            thread::sleep(READS_ON_AFTER);
            conn.body(head)?;
            return Ok(true);
        }
        conn.body(head)?;
        thread::sleep(WORK);
        record.line(&format!("{} ran {id}", server.id));
        let status = if is_long {
            "413 Payload Too Large"
        } else {
            "200 OK"
        };
        conn.answer(status, &headers, b"done\n")?;
        Ok(true)
    })
}

fn call(at: SocketAddr, n: usize, record: &Record) -> Outcome {
    let is_long = n % LONG_EVERY == LONG_EVERY - 1;
    let id = format!("a{n}");
    record.line(&format!("sent {id} (long: {is_long})"));
    let result = send(at, &id, is_long);
    let text = match &result {
        Ok((status, took)) => format!("answer to {id}: {status} after {} ms", took.as_millis()),
        Err(e) => format!("no answer to {id}: {e}"),
    };
    record.line(&text);
    Outcome {
        is_long,
        answer: result.ok(),
    }
}

fn send(at: SocketAddr, id: &str, is_long: bool) -> io::Result<(u16, Duration)> {
    let size = if is_long { LONG_BYTES } else { USUAL_BYTES };
    let began = Instant::now();
    let mut conn = Conn::new(TcpStream::connect_timeout(&at, Duration::from_secs(1))?);
    conn.stream.set_read_timeout(Some(DEADLINE))?;
    conn.stream.set_write_timeout(Some(DEADLINE))?;
    let head = format!(
        "POST /confirm/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
        Authorization: Token {KEY}\r\nContent-Length: {size}\r\n\r\n",
        DEADLINE.as_millis()
    );
    conn.stream.write_all(head.as_bytes())?;
    conn.stream.write_all(&vec![b'x'; size])?;
    let sent = Instant::now();
    let left = DEADLINE.saturating_sub(began.elapsed());
    conn.stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let answer = conn.head()?;
    conn.body(&answer)?;
    Ok((answer.status(), sent.elapsed()))
}

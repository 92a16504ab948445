//! Callers that read their answers slowly or not at all, and targets that do not read their requests, on real
//! sockets.

mod support;

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use hyper::Method;
use serde_json::{Value, json};
use support::{
    caller::{Caller, KEY, TOKEN, chat_body},
    engine::{Fault, expected},
    fleet::{Fleet, MODEL, Plan, SERVICE, status},
    flood::{self, EVENT_BYTES, Flood},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

const FLOOD_MODEL: &str = "flood";
const DEAF_SERVICE: &str = "deaf";

/// Size of the receive buffer of a slow caller, in bytes, so that little is kept outside of the router.
const CALLER_BUFFER_BYTES: u32 = 4 << 10;

/// Maximum time that a test waits for a condition before it fails; it only bounds a failing run.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Starts one router, one ordinary engine and service, and engines that stream large events.
async fn start(settings: &[(&'static str, &str)], flooding: usize) -> (Fleet, Flood) {
    let settings = settings
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()));
    let plan = Plan {
        routers: 1,
        engines: 1,
        services: 1,
        halls: 1,
        settings: settings.collect(),
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let flood = Flood::start(flooding).await;
    let serves = json!({"model": FLOOD_MODEL});
    let model = json!({"id": FLOOD_MODEL, "model": {"usual_answer_tokens": 64}});
    let mut edits = vec![json!({"put_model": model})];
    for (i, server) in flood.servers.iter().enumerate() {
        let id = format!("flood-{i}");
        edits.push(fleet.target_edit(&id, server.address, serves.clone(), "serve"));
    }
    fleet
        .change("engines that stream large events", edits)
        .await;
    fleet.wait_ready().await;
    (fleet, flood)
}

/// Waits until a condition holds.
async fn until(condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait)
        .await
        .expect("the condition holds");
}

/// Returns what the router's status shows of the bytes that it holds.
async fn held(fleet: &Fleet) -> Value {
    status(fleet.operators_at(0)).await["held_bytes"].clone()
}

/// Sends a request on a connection with a small receive buffer, and reads nothing.
async fn send_without_reading(
    at: SocketAddr,
    key: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(at).await.unwrap();
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{headers}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Asks the flooding engine for `events` events, after which the answer ends or stays open.
async fn ask_without_reading(at: SocketAddr, key: &str, events: u64, stay: bool) -> TcpStream {
    let mut body = chat_body(FLOOD_MODEL, &[("user", "x".to_owned())], events, true);
    body["stay"] = stay.into();
    let body = body.to_string();
    let length = format!("content-length: {}", body.len());
    send_without_reading(at, key, "/v1/chat/completions", &length, &body).await
}

/// Reads until the connection ends, and returns the text, which is empty after a reset.
async fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

/// Reads until the end of a response, and returns its text.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 1024];
    while !bytes.ends_with(end.as_bytes()) {
        match stream.read(&mut part).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&part[..n]),
            other => panic!("{other:?} after {} bytes", bytes.len()),
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// A router read no more from a target once 16 events waited for a caller that did not read, so the target
/// could not end its run.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_does_not_hold_its_target_up() {
    let (fleet, flood) = start(&[], 1).await;
    let events = (12 << 20) / EVENT_BYTES as u64;
    let _caller = ask_without_reading(fleet.callers_at(0), KEY, events, false).await;
    until(async || flood.written() + flood.cancelled() > 0).await;
    assert_eq!(flood.written(), 1, "written to its end");
}

/// Guards against answers that are lost or incomplete because their callers read late.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_late_gets_its_whole_answer() {
    let (fleet, flood) = start(&[("memory_limit", "160m")], 1).await;
    let events = 200;
    let mut caller = ask_without_reading(fleet.callers_at(0), KEY, events, false).await;
    until(async || flood.written() == 1).await;
    assert!(held(&fleet).await["answers"].as_u64().unwrap() > 0);
    let text = read_until(&mut caller, "\r\n0\r\n\r\n").await;
    let missing = (1..=events).find(|n| !text.contains(&flood::event(*n)));
    assert_eq!(missing, None);
    let path = format!("/services/{SERVICE}/echo");
    let sent = "y".repeat(1 << 20);
    let length = format!("content-length: {}", sent.len());
    let mut caller = send_without_reading(fleet.callers_at(0), KEY, &path, &length, &sent).await;
    until(async || held(&fleet).await["answers"].as_u64() > Some(0)).await;
    let text = read_until(&mut caller, "\"}").await;
    assert!(text.contains(&sent), "the whole plain answer");
    until(async || held(&fleet).await["answers"] == 0).await;
}

/// Guards against callers that hold a run at a target for as long as they like, and against a caller that is
/// given up without a trace of why.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_is_given_up_and_its_run_is_stopped() {
    let (fleet, flood) = start(&[("memory_limit", "160m")], 1).await;
    let mut caller = ask_without_reading(fleet.callers_at(0), KEY, 256, true).await;
    let mut head = [0; 512];
    caller.read_exact(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head).into_owned();
    let request = head
        .lines()
        .find_map(|l| l.strip_prefix("x-scaleford-request: "));
    until(async || flood.cancelled() == 1).await;
    let held = held(&fleet).await;
    assert_eq!(
        (&held["given_up"]["not_reading"], &held["answers"]),
        (&json!(1), &json!(0))
    );
    let path = format!("/v1/explain/{}", request.expect("an id"));
    let operator = Caller::new(TOKEN);
    let explained = operator
        .call(fleet.operators_at(0), Method::GET, &path, &[], "")
        .await;
    assert!(
        explained
            .text
            .contains("4007 answer_not_read: the caller reads nothing")
    );
    assert!(
        !read_all(caller).await.ends_with("0\r\n\r\n"),
        "not complete for the caller"
    );
}

/// Guards against a stream without end whose caller reads too slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_beyond_its_bound_gives_its_caller_up() {
    let (fleet, flood) = start(&[("memory_limit", "160m")], 1).await;
    let _caller = ask_without_reading(fleet.callers_at(0), KEY, u64::MAX, false).await;
    until(async || flood.cancelled() == 1).await;
    assert_eq!(held(&fleet).await["given_up"]["stream_bound"], 1);
}

/// Returns a number of slow callers for which the process has enough descriptors: each needs one for the
/// caller, two for the router and one for the target, which all run in this process.
fn slow_callers() -> usize {
    const WANTED: usize = 4_000;
    const OTHER_DESCRIPTORS: usize = 1_000;
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    let soft = files.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    soft.map_or(WANTED, |n| {
        WANTED.min(n.saturating_sub(OTHER_DESCRIPTORS) / 4)
    })
}

/// Guards against slow callers that use up the memory of a router, or that take it from callers that read.
#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_slow_callers_leave_the_quick_ones_alone() {
    const QUICK_CALLERS: usize = 16;
    const EVENTS: u64 = 24;
    // Each engine has 64 slots, so these have room for half as many callers again.
    const ENGINES: usize = 96;
    let (fleet, flood) = start(&[("memory_limit", "160m")], ENGINES).await;
    let at = fleet.callers_at(0);
    let n = slow_callers();
    let slow = async {
        let mut callers = Vec::with_capacity(n);
        for i in 0..n {
            let key = [KEY, "key-of-puente"][i % 2];
            callers.push(ask_without_reading(at, key, EVENTS, true).await);
        }
        // Each stays open until its caller is given up, which frees its target.
        until(async || flood.cancelled() == n).await;
        callers
    };
    let stopped = tokio::sync::watch::Sender::new(false);
    let quick = (0..QUICK_CALLERS).map(|i| {
        let (caller, stopped) = (fleet.caller.clone(), stopped.subscribe());
        async move {
            let mut answered = 0_usize;
            while !*stopped.borrow() {
                let text = format!("quick {i} {answered}");
                let body = chat_body(MODEL, &[("user", text)], 12, answered.is_multiple_of(2));
                let answer = caller.chat(at, &body).await;
                assert!(answer.finished && !answer.cut, "{answer:?}");
                assert_eq!(answer.text, expected(7, &body).concat());
                answered += 1;
            }
            answered
        }
    });
    let slow = async {
        let callers = slow.await;
        stopped.send_replace(true);
        callers
    };
    let (callers, answered) = tokio::join!(slow, join_all(quick));
    let held = held(&fleet).await;
    println!("{n} slow callers, quick ones got {answered:?} answers: {held}");
    assert!(answered.iter().all(|n| *n > 0));
    assert!(
        held["answers_peak"].as_u64() <= held["answers_bound"].as_u64(),
        "{held}"
    );
    assert_eq!(held["answers_bound"], 40 << 20);
    let reasons = held["given_up"].as_object().unwrap().values();
    assert_eq!(
        reasons.filter_map(Value::as_u64).sum::<u64>(),
        callers.len() as u64
    );
    assert_eq!(held["answers"], 0, "all is released");
}

/// Guards against request bodies that use up the memory of a router, announced or not, and against refusals
/// of calls without one.
#[tokio::test(flavor = "multi_thread")]
async fn beyond_the_bound_of_request_bodies_calls_with_a_body_are_refused() {
    let (fleet, _flood) = start(&[("memory_limit", "16m")], 1).await;
    let at = fleet.callers_at(0);
    let path = format!("/services/{SERVICE}/x");
    fleet.services[0].set_fault(Fault::Hang);
    let free = 10;
    let sent = "y".repeat((4 << 20) - free);
    let length = format!("content-length: {}", sent.len());
    let holder = send_without_reading(at, KEY, &path, &length, &sent).await;
    until(async || held(&fleet).await["requests"] == sent.len()).await;
    // The announced body is not sent: the head decides.
    let announced = ("content-length: 11", "");
    let chunked = (
        "transfer-encoding: chunked",
        "b\r\nhello world\r\n0\r\n\r\n",
    );
    for (headers, body) in [announced, chunked] {
        let mut refused = send_without_reading(at, KEY, &path, headers, body).await;
        let text = read_until(&mut refused, "}}").await;
        assert!(text.contains("x-scaleford-code: 3002"), "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    }
    let models = fleet
        .caller
        .call(at, Method::GET, "/v1/models", &[], "")
        .await;
    assert_eq!(models.status, 200);
    drop(holder);
    until(async || held(&fleet).await["requests"] == 0).await;
}

/// Guards against a target that accepts connections and does not read: the attempt has to end as with a
/// target that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_does_not_read_a_request_fails_the_attempt() {
    let (fleet, _flood) = start(&[], 1).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener: TcpListener = socket.listen(16).unwrap();
    let serves = json!({"service": DEAF_SERVICE});
    let address = listener.local_addr().unwrap();
    let edits = vec![
        json!({"put_service": {"id": DEAF_SERVICE, "service": {"timeout_ms": 400}}}),
        fleet.target_edit("deaf", address, serves, "serve"),
    ];
    fleet.change("a target that does not read", edits).await;
    let accept = async {
        let mut accepted = Vec::new();
        loop {
            accepted.push(listener.accept().await.unwrap());
        }
    };
    let path = format!("/services/{DEAF_SERVICE}/x");
    let body = "y".repeat(3 << 20);
    let call = fleet
        .caller
        .call(fleet.callers_at(0), Method::POST, &path, &[], body);
    let outcome = tokio::select! {
        outcome = call => outcome,
        () = accept => unreachable!(),
    };
    assert_eq!((outcome.status, outcome.code), (504, 4005), "{outcome:?}");
    until(async || held(&fleet).await["requests"] == 0).await;
}

//! Callers that read their answers slowly or not at all, on real sockets.

mod support;

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use support::{
    caller::{KEY, chat_body},
    fleet::{Fleet, Plan},
    flood::{EVENT_BYTES, Flood},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
};

const FLOOD_MODEL: &str = "flood";

/// Size of the receive buffer of a slow caller, in bytes, so that little is kept outside of the router.
const CALLER_BUFFER_BYTES: u32 = 4 << 10;

/// Maximum time that a test waits for a condition before it fails; it only bounds a failing run.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Starts one router, one ordinary engine, and an engine that streams large events.
async fn start(settings: Vec<(&'static str, String)>) -> (Fleet, Flood) {
    let plan = Plan {
        routers: 1,
        engines: 1,
        services: 1,
        halls: 1,
        settings,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let flood = Flood::start().await;
    let serves = json!({"model": FLOOD_MODEL});
    let edits = vec![
        json!({"put_model": {"id": FLOOD_MODEL, "model": {"usual_answer_tokens": 64}}}),
        fleet.target_edit("flood", flood.server.address, serves, "serve"),
    ];
    fleet
        .change("an engine that streams large events", edits)
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

/// Sends a chat of `events` events to the flooding engine, and reads nothing.
async fn ask_without_reading(at: SocketAddr, events: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(at).await.unwrap();
    let body = chat_body(
        FLOOD_MODEL,
        &[("user", "x".to_owned())],
        events as u64,
        true,
    );
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// A router read no more from a target once 16 events waited for a caller that did not read, so the target
/// could not end its run.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_does_not_hold_its_target_up() {
    let (fleet, flood) = start(Vec::new()).await;
    let events = (12 << 20) / EVENT_BYTES;
    let _caller = ask_without_reading(fleet.callers_at(0), events).await;
    until(async || flood.written() + flood.cancelled() > 0).await;
    assert_eq!(flood.written(), 1, "written to its end");
}

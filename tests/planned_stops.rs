//! Planned stops while callers still read their answers, on real sockets.

mod support;

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use rstest::rstest;
use scaleford::edge::StopReport;
use serde_json::json;
use support::{
    caller::{Caller, KEY, TOKEN, chat_body},
    fleet::{Fleet, Plan, SERVICE},
    flood::{self, Flood},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

const FLOOD_MODEL: &str = "flood";

/// Number of pieces in which a slow caller reads its answer, and the pause before each: together far longer
/// than a stop takes without calls.
const PIECES: usize = 40;
const PAUSE: Duration = Duration::from_millis(25);

/// Size of the receive buffer of a slow caller, in bytes, so that its system takes little for it.
const SMALL_BUFFER: u32 = 2 << 10;

/// Starts one router, one service and one engine that streams large events.
async fn start(limit_ms: u32) -> (Fleet, Flood) {
    let plan = Plan {
        routers: 1,
        engines: 1,
        services: 1,
        halls: 1,
        settings: vec![
            ("drain_limit_ms", limit_ms.to_string()),
            ("memory_limit", "160m".to_owned()),
        ],
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let flood = Flood::start(1).await;
    let serves = json!({"model": FLOOD_MODEL});
    let model = json!({"id": FLOOD_MODEL, "model": {"usual_answer_tokens": 64}});
    let address = flood.servers[0].address;
    let target = fleet.target_edit("flood-0", address, serves, "serve");
    let edits = vec![json!({"put_model": model}), target];
    fleet.change("an engine of large events", edits).await;
    fleet.wait_ready().await;
    (fleet, flood)
}

/// A caller that has sent one request.
struct SlowCaller {
    stream: TcpStream,
    text: Vec<u8>,
}

impl SlowCaller {
    async fn send(at: SocketAddr, buffer: u32, head: &str, body: &str) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(buffer).unwrap();
        let mut stream = socket.connect(at).await.unwrap();
        let length = body.len();
        let text = format!("{head}\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).await.unwrap();
        let text = Vec::new();
        Self { stream, text }
    }

    /// Asks the service to send a text of `size` bytes back.
    async fn ask_for_echo(at: SocketAddr, buffer: u32, size: usize) -> Self {
        let head = format!("POST /services/{SERVICE}/echo HTTP/1.1\r\nauthorization: Bearer {KEY}");
        Self::send(at, buffer, &head, &"y".repeat(size)).await
    }

    /// Waits for the first bytes of the answer.
    async fn answer_began(mut self) -> Self {
        let mut part = [0; 16];
        self.stream.read_exact(&mut part).await.unwrap();
        self.text.extend_from_slice(&part);
        self
    }

    /// Reads slowly up to the end of a response, and returns what it got until then or until the connection
    /// ended.
    async fn read_slowly(mut self, size: usize, end: &str) -> String {
        let mut part = vec![0; size / PIECES + 1];
        while !self.text.ends_with(end.as_bytes()) {
            tokio::time::sleep(PAUSE).await;
            let mut got = 0;
            while got < part.len() && !self.text.ends_with(end.as_bytes()) {
                match self.stream.read(&mut part[got..]).await {
                    Ok(n) if n > 0 => {
                        self.text.extend_from_slice(&part[got..got + n]);
                        got += n;
                    }
                    _ => return String::from_utf8(self.text).unwrap(),
                }
            }
        }
        String::from_utf8(self.text).unwrap()
    }
}

/// Gives the router a configuration larger than the callers' buffers, and asks for it as an operator.
async fn ask_for_config(fleet: &Fleet) -> SlowCaller {
    let serves = json!({"service": SERVICE});
    let address = fleet.services[0].server.address;
    let edits = (0..500).map(|i| {
        let id = format!("another-{i}");
        fleet.target_edit(&id, address, serves.clone(), "leave")
    });
    let edits = edits.collect();
    fleet.change("a large configuration", edits).await;
    let head = format!("GET /v1/config HTTP/1.1\r\nauthorization: Bearer {TOKEN}");
    let caller = SlowCaller::send(fleet.operators_at(0), SMALL_BUFFER, &head, "").await;
    caller.answer_began().await
}

/// Stops the router, and returns its report once its process has ended.
async fn stop(fleet: &mut Fleet) -> StopReport {
    let router = fleet.routers[0].take().unwrap();
    router.stop().await
}

/// Guards against a stop that ends the process while callers still read plain answers.
#[rstest]
#[case::kb_5(5 << 10, SMALL_BUFFER)]
#[case::kb_32(32 << 10, SMALL_BUFFER)]
#[case::kb_256(256 << 10, 8 << 10)]
#[case::mb_4(4 << 20, 256 << 10)]
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_that_is_read_slowly_is_whole(#[case] size: usize, #[case] buffer: u32) {
    let (mut fleet, _flood) = start(60_000).await;
    let caller = SlowCaller::ask_for_echo(fleet.callers_at(0), buffer, size).await;
    let caller = caller.answer_began().await;
    let (text, report) = tokio::join!(caller.read_slowly(size, "\"}"), stop(&mut fleet));
    assert!(text.contains(&"y".repeat(size)), "{} bytes", text.len());
    assert_eq!((report.cut_off, report.undelivered), (0, 0));
}

/// Guards against a stop that ends the process once the last chunk of a stream is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_last_chunk_is_read_slowly_is_whole() {
    let (mut fleet, _flood) = start(60_000).await;
    let events = 3;
    let body = chat_body(FLOOD_MODEL, &[("user", "x".to_owned())], events, true).to_string();
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {KEY}");
    let caller = SlowCaller::send(fleet.callers_at(0), SMALL_BUFFER, &head, &body).await;
    let caller = caller.answer_began().await;
    let size = flood::EVENT_BYTES * events as usize;
    let reading = caller.read_slowly(size, "\r\n0\r\n\r\n");
    let (text, report) = tokio::join!(reading, stop(&mut fleet));
    let missing = (1..=events).find(|n| !text.contains(&flood::event(*n)));
    assert_eq!((missing, report.undelivered), (None, 0));
    assert!(text.ends_with("\r\n0\r\n\r\n"), "the end of the stream");
}

/// Guards against an operator's answer that a stop cuts off.
#[tokio::test(flavor = "multi_thread")]
async fn an_operators_answer_that_is_read_slowly_is_whole() {
    let (mut fleet, _flood) = start(60_000).await;
    let caller = ask_for_config(&fleet).await;
    let operator = Caller::new(TOKEN);
    let at = fleet.operators_at(0);
    let whole = operator.call(at, Method::GET, "/v1/config", &[], "").await;
    let whole = whole.text;
    assert!(whole.len() > 32 << 10, "{}", whole.len());
    let reading = caller.read_slowly(whole.len(), &whole);
    let (text, report) = tokio::join!(reading, stop(&mut fleet));
    assert!(text.ends_with(&whole), "{} of {}", text.len(), whole.len());
    assert_eq!(report.undelivered, 0);
}

/// Guards against a stop that waits for callers beyond its time limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_does_not_hold_up_the_end_of_a_stop() {
    let (mut fleet, _flood) = start(400).await;
    let caller = SlowCaller::ask_for_echo(fleet.callers_at(0), SMALL_BUFFER, 1 << 20).await;
    let caller = caller.answer_began().await;
    assert_eq!(stop(&mut fleet).await.undelivered, 1);
    let text = caller.read_slowly(1 << 20, "\"}").await;
    assert!(!text.ends_with("\"}"), "not complete for the caller");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_answer_that_is_not_read_counts_as_such() {
    let (mut fleet, _flood) = start(400).await;
    let _caller = ask_for_config(&fleet).await;
    assert_eq!(stop(&mut fleet).await.undelivered, 1);
}

/// Guards against a stop that takes open connections for answers that are still being read.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_calls_do_not_hold_up_a_stop() {
    let (mut fleet, _flood) = start(3_600_000).await;
    let caller = SlowCaller::ask_for_echo(fleet.callers_at(0), 256 << 10, 100).await;
    let mut caller = caller.answer_began().await;
    while !caller.text.ends_with(b"\"}") {
        caller.stream.read_buf(&mut caller.text).await.unwrap();
    }
    let _silent = TcpStream::connect(fleet.callers_at(0)).await.unwrap();
    assert_eq!(stop(&mut fleet).await.undelivered, 0);
}

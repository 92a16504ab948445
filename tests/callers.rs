//! The interface for callers: every error has its result code, and complete sessions match their
//! snapshot.

mod support;

use std::time::Duration;

use hyper::Method;
use insta::{assert_json_snapshot, assert_snapshot};
use rstest::rstest;
use serde_json::{Value, json};
use support::{
    caller::{Caller, Outcome, chat_body},
    engine::Fault,
    fleet::{Fleet, MODEL, Plan, SERVICE},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CHAT: &str = "/v1/chat/completions";

async fn small_fleet() -> Fleet {
    let settings = vec![
        ("body_limit", "2k".to_owned()),
        ("body_timeout_ms", "300".to_owned()),
    ];
    Fleet::start(Plan {
        routers: 2,
        engines: 2,
        settings,
        ..Plan::default()
    })
    .await
}

/// Returns an outcome without the parts that differ from run to run.
fn redacted(outcome: &Outcome) -> Value {
    let text = outcome.text.replace(&outcome.request, "[request]");
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    json!({"status": outcome.status, "code": outcome.code, "body": body,
        "retry_after": outcome.retry_after, "cut": outcome.cut, "finished": outcome.finished,
        "prompt_tokens": outcome.prompt_tokens, "cached_tokens": outcome.cached_tokens})
}

#[rstest]
#[case::bad_json(Method::POST, CHAT, "{")]
#[case::no_model(Method::POST, CHAT, r#"{"messages":[]}"#)]
#[case::unknown_model(Method::POST, CHAT, r#"{"model":"none","messages":[]}"#)]
#[case::unknown_path(Method::GET, "/v2/else", "")]
#[case::unknown_service(Method::GET, "/services/none/x", "")]
#[case::no_key_for_a_bid(Method::POST, "/services/bid-desk/confirm", "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_fault_of_the_caller_has_its_code(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &'static str,
) {
    let fleet = small_fleet().await;
    let outcome = fleet
        .caller
        .call(fleet.callers_at(0), method.clone(), path, &[], body)
        .await;
    let name = format!("fault {method} {path} {}", body.len());
    assert_json_snapshot!(name, redacted(&outcome));
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_keys_large_bodies_and_broken_senders_have_their_codes() {
    let fleet = small_fleet().await;
    let at = fleet.callers_at(0);
    let wrong = Caller::new("wrong")
        .call(at, Method::GET, "/v1/models", &[], "")
        .await;
    assert_eq!((wrong.status, wrong.code), (401, 2006));
    let large = chat_body(MODEL, &[("user", "x".repeat(4_000))], 4, false);
    let large = fleet.caller.chat(at, &large).await;
    assert_eq!((large.status, large.code), (413, 2007));
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{",
        support::caller::KEY
    );
    let slow = raw(at, &head, false).await;
    assert!(slow.contains("x-scaleford-code: 2008"), "{slow}");
    let half = raw(at, &head, true).await;
    assert!(
        half.is_empty(),
        "a request that is not whole has no answer: {half}"
    );
}

/// Sends `text`, closes the sending side if `close` is set, and reads the answer to its end.
async fn raw(at: std::net::SocketAddr, text: &str, close: bool) -> String {
    let mut socket = TcpStream::connect(at).await.unwrap();
    socket.write_all(text.as_bytes()).await.unwrap();
    if close {
        socket.shutdown().await.unwrap();
    }
    let mut buf = Vec::new();
    let read = async {
        let mut part = [0; 1024];
        while let Ok(n) = socket.read(&mut part).await {
            buf.extend_from_slice(&part[..n]);
            if n == 0 || buf.ends_with(b"}}") {
                break;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(20), read)
        .await
        .expect("an answer");
    String::from_utf8_lossy(&buf).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_match_their_snapshot() {
    let plan = Plan {
        routers: 1,
        engines: 1,
        services: 1,
        halls: 1,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let at = fleet.callers_at(0);
    let mut session = Vec::new();
    let system = ("system", "You help bidders with care. ".repeat(10));
    let mut messages = vec![
        system,
        ("user", "What of the gearbox of lot 12?".to_owned()),
    ];
    let first = fleet
        .caller
        .chat(at, &chat_body(MODEL, &messages, 6, true))
        .await;
    session.push(("a streamed chat", redacted(&first)));
    messages.push(("assistant", first.text.clone()));
    messages.push(("user", "And the tyres?".to_owned()));
    let second = fleet
        .caller
        .chat(at, &chat_body(MODEL, &messages, 6, false))
        .await;
    assert!(second.cached_tokens > 0);
    session.push(("a returning chat", redacted(&second)));
    let path = format!("/services/{SERVICE}/confirm?lot=12");
    for title in ["a bid confirmation", "the same again"] {
        let headers = [("idempotency-key", "bid-12")];
        let mut outcome = fleet
            .caller
            .call(at, Method::POST, &path, &headers, "12")
            .await;
        // The router records the outcome of the first call shortly after it has sent the answer.
        while outcome.code == 5002 {
            outcome = fleet
                .caller
                .call(at, Method::POST, &path, &headers, "12")
                .await;
        }
        session.push((title, redacted(&outcome)));
    }
    fleet.engines[0].set_fault(Fault::Refuse);
    let body =
        json!({"model": MODEL, "max_tokens": 4, "messages": [{"role": "user", "content": "x"}]});
    let headers = [("x-priority", "live")];
    let refused = fleet
        .caller
        .call(at, Method::POST, CHAT, &headers, body.to_string())
        .await;
    session.push(("an engine that refuses", redacted(&refused)));
    fleet.engines[0].set_fault(Fault::DieBefore);
    let died = fleet.caller.chat(at, &body).await;
    session.push(("an engine that dies", redacted(&died)));
    let models = fleet
        .caller
        .call(at, Method::GET, "/v1/models", &[], "")
        .await;
    session.push(("the models", redacted(&models)));
    assert_json_snapshot!("session", session);
}

#[test]
fn the_table_of_codes_is_the_documented_one() {
    let rows = scaleford::ResultCode::ALL.iter().map(|c| {
        format!(
            "| {} | {} | {} | {} |",
            c.number(),
            c.name(),
            c.status(),
            c.ran()
        )
    });
    let table = rows.collect::<Vec<_>>().join("\n");
    let docs = include_str!("../docs/RESULT_CODES.md");
    for row in table.lines() {
        assert!(docs.contains(row), "docs/RESULT_CODES.md lacks: {row}");
    }
    assert_snapshot!(table.lines().count(), @"39");
}

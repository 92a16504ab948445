//! A simulated model engine that streams large events as fast as they are read, and counts how its streams
//! end.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::SeqCst},
};

use bytes::Bytes;
use futures::StreamExt;
use hyper::{Request, Response, body::Incoming};
use serde_json::Value;

use super::http::{self, Body, Server};

/// Size of each event, in bytes.
pub const EVENT_BYTES: usize = 4 << 10;

#[derive(Default)]
pub struct Counts {
    /// Number of streams that were started.
    pub started: AtomicUsize,
    /// Number of streams that were written to their end.
    pub written: AtomicUsize,
    /// Number of streams whose connection closed before their end.
    pub cancelled: AtomicUsize,
}

pub struct Flood {
    pub server: Server,
    pub counts: Arc<Counts>,
}

impl Flood {
    /// Starts an engine that answers each chat with `max_tokens` events.
    pub async fn start() -> Self {
        let counts: Arc<Counts> = Arc::default();
        let shared = Arc::clone(&counts);
        let server = http::serve("127.0.0.1:0", move |req| answer(Arc::clone(&shared), req)).await;
        Self { server, counts }
    }

    pub fn written(&self) -> usize {
        self.counts.written.load(SeqCst)
    }

    pub fn cancelled(&self) -> usize {
        self.counts.cancelled.load(SeqCst)
    }
}

/// Returns the event with a number.
pub fn event(n: u64) -> String {
    let head = format!("id: {n}\ndata: ");
    let fill = "x".repeat(EVENT_BYTES - head.len() - 2);
    format!("{head}{fill}\n\n")
}

/// A stream in progress; it counts as cancelled unless it is written to its end.
struct Running {
    counts: Arc<Counts>,
    is_written: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let count = match self.is_written {
            true => &self.counts.written,
            false => &self.counts.cancelled,
        };
        count.fetch_add(1, SeqCst);
    }
}

async fn answer(
    counts: Arc<Counts>,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let body: Value = serde_json::from_slice(&http::read(req).await).unwrap_or_default();
    let last = body["max_tokens"].as_u64().unwrap_or(1);
    counts.started.fetch_add(1, SeqCst);
    let running = Running {
        counts,
        is_written: false,
    };
    let items = futures::stream::unfold((1, running), move |(n, mut running)| async move {
        if n > last {
            running.is_written = true;
            return None;
        }
        Some((Ok(Bytes::from(event(n))), (n + 1, running)))
    });
    Ok(http::stream("text/event-stream", items.boxed()))
}

//! Simulated model engines that stream large events as fast as they are read, and count how their streams
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
    pub servers: Vec<Server>,
    pub counts: Arc<Counts>,
}

impl Flood {
    /// Starts engines that answer each chat with `max_tokens` events. If `stay` is set in the request, the
    /// answer stays open after the last event.
    pub async fn start(engines: usize) -> Self {
        let counts: Arc<Counts> = Arc::default();
        let mut servers = Vec::with_capacity(engines);
        for _ in 0..engines {
            let counts = Arc::clone(&counts);
            let handler = move |req| answer(Arc::clone(&counts), req);
            servers.push(http::serve("127.0.0.1:0", handler).await);
        }
        Self { servers, counts }
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

impl Running {
    fn finish(mut self) {
        self.is_written = true;
    }
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
    let stays_open = body["stay"] == true;
    counts.started.fetch_add(1, SeqCst);
    let running = Running {
        counts,
        is_written: false,
    };
    let items = futures::stream::unfold((1, running), move |(n, running)| async move {
        if n > last {
            if stays_open {
                std::future::pending::<()>().await;
            }
            running.finish();
            return None;
        }
        Some((Ok(Bytes::from(event(n))), (n + 1, running)))
    });
    Ok(http::stream("text/event-stream", items.boxed()))
}

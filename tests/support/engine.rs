//! A simulated model engine with an OpenAI-compatible API, tokens that depend only on the seed and
//! the request, continuous batching modelled as a rate, and a prefix cache of limited size.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use hyper::{Request, Response, body::Incoming};
use serde_json::{Value, json};
use tokio::{sync::watch, task::AbortHandle};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::http::{self, Body, Server};

/// Size of a block of a prompt that is cached as a unit, in bytes.
const BLOCK_BYTES: usize = 64;

#[derive(Clone)]
pub struct EngineConfig {
    pub seed: u64,
    /// Maximum number of prompt tokens in the cache.
    pub cache_tokens: usize,
    /// Base time per answer token; each running request adds an eighth of it.
    pub token_time: Duration,
    /// Time per prompt token that is not cached.
    pub prefill_time: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            seed: 7,
            cache_tokens: 1 << 20,
            token_time: Duration::ZERO,
            prefill_time: Duration::ZERO,
        }
    }
}

/// Ways in which the engine misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// Refuses requests and states that they did not run.
    Refuse,
    /// Refuses in the same way, with this value of the header `retry-after`.
    RefuseFor(&'static str),
    /// Announces in each answer that it is leaving.
    Leave,
    /// Runs requests, then closes the connection without an answer.
    DieBefore,
    /// Closes the connection after this many events of a streamed answer.
    DieAfter(usize),
    /// Runs requests and never answers.
    Hang,
    /// Stops and closes all connections when it starts to run a request whose messages contain this
    /// text.
    EndOn(&'static str),
}

pub struct EngineState {
    /// Number of executions by attempt id.
    pub executed: HashMap<String, u32>,
    /// Number of attempts that were cancelled before their end.
    pub cancelled: u32,
    pub running: u32,
    pub tokens: u64,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    cache: lru::LruCache<u64, ()>,
    cache_blocks: usize,
}

pub struct Engine {
    pub server: Server,
    pub state: Arc<Mutex<EngineState>>,
    fault: Arc<Mutex<Fault>>,
    gate: watch::Sender<bool>,
    ended: watch::Receiver<bool>,
}

#[derive(Clone)]
struct Cx {
    cfg: EngineConfig,
    state: Arc<Mutex<EngineState>>,
    fault: Arc<Mutex<Fault>>,
    gate: watch::Receiver<bool>,
    ended_tx: watch::Sender<bool>,
    server_task: Arc<OnceLock<AbortHandle>>,
}

impl Engine {
    pub async fn start(listen: &str, cfg: EngineConfig) -> Self {
        let blocks = (cfg.cache_tokens * 4 / BLOCK_BYTES).max(1);
        let state = Arc::new(Mutex::new(EngineState {
            executed: HashMap::new(),
            cancelled: 0,
            running: 0,
            tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            cache: lru::LruCache::unbounded(),
            cache_blocks: blocks,
        }));
        let fault: Arc<Mutex<Fault>> = Arc::default();
        let (gate, open) = watch::channel(true);
        let (ended_tx, ended) = watch::channel(false);
        let server_task: Arc<OnceLock<AbortHandle>> = Arc::default();
        let cx = Cx {
            ended_tx,
            server_task: server_task.clone(),
            cfg,
            state: state.clone(),
            fault: fault.clone(),
            gate: open,
        };
        let server = http::serve(listen, move |req| handle(cx.clone(), req)).await;
        server_task.set(server.abort_handle()).expect("set once");
        Self {
            server,
            state,
            fault,
            gate,
            ended,
        }
    }

    /// Whether a request has crashed the engine.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    /// Opens or closes the gate; while it is closed, streamed answers stop after their first token.
    pub fn set_gate(&self, open: bool) {
        self.gate.send_replace(open);
    }
}

/// Returns the words with which an engine with this seed answers a request's body.
pub fn expected(seed: u64, body: &Value) -> Vec<String> {
    let n = body["max_tokens"].as_u64().unwrap_or(16);
    let hash = xxh3_64_with_seed(body["messages"].to_string().as_bytes(), seed);
    (0..n).map(|i| word(hash, i)).collect()
}

fn word(hash: u64, i: u64) -> String {
    format!(
        "{:04x} ",
        xxh3_64_with_seed(&i.to_le_bytes(), hash) & 0xffff
    )
}

async fn handle(cx: Cx, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
    match req.uri().path() {
        "/load" => {
            let tokens = cx.state.lock().unwrap().tokens;
            Ok(http::json(200, &json!({"tokens": tokens, "lag_ms": 0})))
        }
        "/executed" => {
            let executed = cx.state.lock().unwrap().executed.clone();
            Ok(http::json(200, &json!(executed)))
        }
        "/v1/chat/completions" => {
            let fault = *cx.fault.lock().unwrap();
            let answer = chat(cx, req).await;
            answer.map(|res| with_withdrawal_headers(res, fault))
        }
        _ => Ok(http::whole(404, "")),
    }
}

/// Adds the headers with which the engine announces its withdrawal.
fn with_withdrawal_headers(mut res: Response<Body>, fault: Fault) -> Response<Body> {
    let headers = res.headers_mut();
    match fault {
        Fault::RefuseFor(time) => drop(headers.insert("retry-after", time.parse().unwrap())),
        Fault::Leave => drop(headers.insert("x-leaving", 1.into())),
        _ => {}
    }
    res
}

/// An attempt in progress. Dropping it ends the attempt, which counts as cancelled unless it is
/// done.
struct Running {
    state: Arc<Mutex<EngineState>>,
    tokens: u64,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        state.tokens -= self.tokens;
        state.cancelled += u32::from(!self.done);
    }
}

async fn chat(cx: Cx, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
    let attempt = req.headers().get("x-request-attempt");
    let attempt = attempt
        .map_or("none", |v| v.to_str().unwrap_or("none"))
        .to_owned();
    let body: Value = serde_json::from_slice(&http::read(req).await).unwrap_or_default();
    let fault = *cx.fault.lock().unwrap();
    if matches!(fault, Fault::Refuse | Fault::RefuseFor(_)) {
        let mut res = http::json(503, &json!({"error": {"message": "busy"}}));
        res.headers_mut()
            .insert("x-not-run", "1".parse().expect("header"));
        return Ok(res);
    }
    let words = expected(cx.cfg.seed, &body);
    let prompt = body["messages"].to_string();
    let (prompt_tokens, cached) = record_start(&cx, &attempt, &prompt, words.len());
    let tokens = (prompt_tokens + words.len()) as u64;
    let mut running = Running {
        state: cx.state.clone(),
        tokens,
        done: false,
    };
    let prefill = cx.cfg.prefill_time * (prompt_tokens - cached) as u32;
    if prefill > Duration::ZERO {
        tokio::time::sleep(prefill).await;
    }
    match fault {
        Fault::DieBefore => return Err(http::cut()),
        Fault::Hang => std::future::pending().await,
        Fault::EndOn(text) if prompt.contains(text) => {
            cx.ended_tx.send_replace(true);
            cx.server_task.wait().abort();
            std::future::pending().await
        }
        _ => {}
    }
    let usage = json!({
        "prompt_tokens": prompt_tokens, "completion_tokens": words.len(),
        "total_tokens": tokens, "prompt_tokens_details": {"cached_tokens": cached},
    });
    let model = body["model"].clone();
    if body["stream"] == true {
        let with_usage = body["stream_options"]["include_usage"] == true;
        return Ok(sse(
            cx,
            running,
            words,
            fault,
            model,
            with_usage.then_some(usage),
        ));
    }
    for _ in &words {
        wait_for_token(&cx).await;
    }
    running.done = true;
    Ok(http::json(
        200,
        &json!({
            "id": attempt, "object": "chat.completion", "created": 0, "model": model,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": words.concat()}}],
            "usage": usage,
        }),
    ))
}

/// Records the start of an attempt and returns the number of its prompt tokens and how many of them
/// are cached.
fn record_start(cx: &Cx, attempt: &str, prompt: &str, answer_tokens: usize) -> (usize, usize) {
    let mut state = cx.state.lock().unwrap();
    *state.executed.entry(attempt.to_owned()).or_default() += 1;
    state.running += 1;
    let mut hash = cx.cfg.seed;
    let mut cached = 0;
    let mut prefix = true;
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        prefix &= state.cache.get(&hash).is_some();
        cached += if prefix { BLOCK_BYTES / 4 } else { 0 };
        state.cache.put(hash, ());
    }
    while state.cache.len() > state.cache_blocks {
        state.cache.pop_lru();
    }
    let prompt_tokens = prompt.len() / 4;
    state.tokens += (prompt_tokens + answer_tokens) as u64;
    state.prompt_tokens += prompt_tokens as u64;
    state.cached_tokens += cached as u64;
    (prompt_tokens, cached)
}

/// Waits for the time of one token, which grows with the number of running requests.
async fn wait_for_token(cx: &Cx) {
    if cx.cfg.token_time > Duration::ZERO {
        let running = cx.state.lock().unwrap().running;
        tokio::time::sleep(cx.cfg.token_time * (8 + running) / 8).await;
    }
}

fn sse(
    cx: Cx,
    running: Running,
    words: Vec<String>,
    fault: Fault,
    model: Value,
    usage: Option<Value>,
) -> Response<Body> {
    let mut events: Vec<String> = words
        .iter()
        .map(|w| {
            event(
                &json!({"id": "c", "object": "chat.completion.chunk", "created": 0,
            "model": model, "choices": [{"index": 0, "delta": {"content": w}}]}),
            )
        })
        .collect();
    events.push(event(
        &json!({"id": "c", "object": "chat.completion.chunk", "created": 0,
        "model": model, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}),
    ));
    events.extend(usage.map(|u| {
        event(
            &json!({"id": "c", "object": "chat.completion.chunk", "created": 0,
            "model": model, "choices": [], "usage": u}),
        )
    }));
    events.push("data: [DONE]\n\n".to_owned());
    let state = (cx, running, events.into_iter().enumerate());
    let items = futures::stream::unfold(Some(state), move |state| async move {
        let (mut cx, mut running, mut events) = state?;
        let Some((i, text)) = events.next() else {
            running.done = true;
            return None;
        };
        if i > 0 {
            let _ = cx.gate.wait_for(|open| *open).await;
        }
        wait_for_token(&cx).await;
        match fault {
            Fault::DieAfter(n) if i >= n => Some((Err(http::cut()), None)),
            _ => Some((Ok(Bytes::from(text)), Some((cx, running, events)))),
        }
    });
    http::stream("text/event-stream", items.boxed())
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

//! A caller that reads complete answers and records how they ended.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

pub const KEY: &str = "key-of-green-hammer";
pub const TOKEN: &str = "token-of-the-operator";

#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    pub key: String,
}

/// Outcome of a call, as its caller sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// HTTP status, or 0 if no response head arrived.
    pub status: u16,
    /// Number of the result code, or 0 if there is none.
    pub code: u16,
    /// Whether the request ran, as the router's error states it (`no` if it did not run); empty
    /// without an error.
    pub ran: String,
    pub request: String,
    /// Text of a chat's answer, or the body of any other answer.
    pub text: String,
    pub cut: bool,
    pub finished: bool,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub retry_after: bool,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(KEY)
    }
}

impl Caller {
    pub fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            client,
            key: key.to_owned(),
        }
    }

    pub async fn send(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).expect("request");
        self.client.request(req).await
    }

    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Outcome {
        match self.send(at, method, path, headers, body).await {
            Ok(res) => finish(res).await,
            Err(_) => Outcome {
                cut: true,
                ..Outcome::default()
            },
        }
    }

    pub async fn chat(&self, at: SocketAddr, body: &Value) -> Outcome {
        let text = body.to_string();
        self.call(at, Method::POST, "/v1/chat/completions", &[], text)
            .await
    }

    pub async fn json(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let outcome = self.call(at, method, path, &[], body).await;
        (
            outcome.status,
            serde_json::from_str(&outcome.text).unwrap_or_default(),
        )
    }
}

/// Reads an answer to its end and returns the outcome of its call.
pub async fn finish(res: Response<Incoming>) -> Outcome {
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut outcome = Outcome {
        status: res.status().as_u16(),
        code: header("x-scaleford-code").parse().unwrap_or(0),
        request: header("x-scaleford-request"),
        retry_after: !header("retry-after").is_empty(),
        ..Outcome::default()
    };
    let streamed = header("content-type").starts_with("text/event-stream");
    let mut body = res.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(f) => bytes.extend_from_slice(&f.into_data().unwrap_or_default()),
            Err(_) => outcome.cut = true,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match streamed {
        true => read_events(&mut outcome, &text),
        false => read_whole(&mut outcome, text),
    }
    outcome
}

fn read_events(outcome: &mut Outcome, text: &str) {
    for data in text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let delta = event["choices"][0]["delta"]["content"].as_str();
        outcome.text.push_str(delta.unwrap_or_default());
        outcome.finished |= data == "[DONE]";
        read_usage(outcome, &event["usage"]);
    }
}

fn read_whole(outcome: &mut Outcome, text: String) {
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    outcome.ran = body["error"]["ran"].as_str().unwrap_or_default().to_owned();
    outcome.finished = !outcome.cut;
    read_usage(outcome, &body["usage"]);
    outcome.text = match body["choices"][0]["message"]["content"].as_str() {
        Some(content) => content.to_owned(),
        None => text,
    };
}

fn read_usage(outcome: &mut Outcome, usage: &Value) {
    let cached = &usage["prompt_tokens_details"]["cached_tokens"];
    outcome.prompt_tokens += usage["prompt_tokens"].as_u64().unwrap_or(0);
    outcome.cached_tokens += cached.as_u64().unwrap_or(0);
}

/// Returns the body of a chat request.
pub fn chat_body(model: &str, messages: &[(&str, String)], max_tokens: u64, stream: bool) -> Value {
    let messages: Vec<_> = messages
        .iter()
        .map(|(role, content)| json!({"role": role, "content": content}))
        .collect();
    json!({
        "model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream,
        "stream_options": {"include_usage": stream},
    })
}

//! Targets over HTTP.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Deserialize;

use super::{Answer, Call, Header, LoadAnswer, SendError, TargetClient};
use crate::{home::TargetReport, result_code::ResultCode, units::Tokens};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a target may take to tell its load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest answer about a load, in bytes.
const LOAD_LIMIT: usize = 4096;

/// The headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
];

/// Targets, reached over HTTP with connections that are kept.
#[derive(Debug, Clone)]
pub struct HttpTargets {
    client: Client<HttpConnector, Full<Bytes>>,
    idle: Duration,
}

#[derive(Deserialize)]
struct WireLoad {
    tokens: u64,
    lag_ms: u64,
}

impl HttpTargets {
    /// A client that gives a target up after `idle` without a byte.
    pub fn new(idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            // Only requests of which no byte was written are sent again.
            .retry_canceled_requests(true)
            .build(connector);
        Self { client, idle }
    }
}

#[async_trait]
impl TargetClient for HttpTargets {
    async fn send(&self, address: SocketAddr, call: Call) -> Result<Answer, SendError> {
        let limit = call.remaining;
        let req = to_http(address, call)?;
        let answer = tokio::time::timeout(limit, self.client.request(req)).await;
        match answer {
            Ok(Ok(res)) => Ok(to_answer(res, self.idle)),
            Ok(Err(e)) => Err(to_error(&e)),
            Err(_) => {
                let code = ResultCode::TargetTimeout;
                Err(SendError::Unknown(
                    code,
                    "no answer before the deadline".to_owned(),
                ))
            }
        }
    }

    async fn load(&self, address: SocketAddr) -> LoadAnswer {
        let uri = format!("http://{address}/load");
        let Ok(req) = Request::get(uri).body(Full::default()) else {
            return LoadAnswer::Silent;
        };
        let answer = async {
            let res = self.client.request(req).await.ok()?;
            let body = Limited::new(res.into_body(), LOAD_LIMIT)
                .collect()
                .await
                .ok()?;
            Some(serde_json::from_slice::<WireLoad>(&body.to_bytes()).ok())
        };
        match tokio::time::timeout(LOAD_TIMEOUT, answer).await {
            Ok(Some(Some(load))) => LoadAnswer::Told(TargetReport {
                tokens: Tokens(load.tokens),
                lag: Duration::from_millis(load.lag_ms),
            }),
            Ok(Some(None)) => LoadAnswer::NotTold,
            Ok(None) | Err(_) => LoadAnswer::Silent,
        }
    }
}

fn to_http(address: SocketAddr, call: Call) -> Result<Request<Full<Bytes>>, SendError> {
    let uri = format!("http://{address}{}", call.path);
    let mut req = Request::builder().method(call.method.as_str()).uri(uri);
    for h in call.headers.iter().filter(|h| passes(&h.name)) {
        req = req.header(h.name.as_str(), h.value.as_ref());
    }
    req.header("x-request-attempt", call.attempt.to_string())
        .header("x-priority", call.priority.to_string())
        .body(Full::new(call.body))
        .map_err(|e| SendError::NotSent(e.to_string()))
}

fn to_answer(res: Response<Incoming>, idle: Duration) -> Answer {
    let (head, body) = res.into_parts();
    let headers = head
        .headers
        .iter()
        .filter(|(n, _)| passes(n.as_str()))
        .map(|(n, v)| Header {
            name: n.as_str().to_owned(),
            value: Bytes::copy_from_slice(v.as_bytes()),
        })
        .collect();
    Answer {
        status: head.status.as_u16(),
        headers,
        body: stream(body, idle).boxed(),
    }
}

fn stream(
    body: Incoming,
    idle: Duration,
) -> impl futures::Stream<Item = Result<Bytes, ResultCode>> {
    futures::stream::unfold(Some(body), move |body| async move {
        let mut body = body?;
        match tokio::time::timeout(idle, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                Some((Ok(bytes), Some(body)))
            }
            Ok(None) => None,
            Ok(Some(Err(_))) | Err(_) => Some((Err(ResultCode::Incomplete), None)),
        }
    })
}

fn to_error(e: &ClientError) -> SendError {
    match e {
        e if e.is_connect() => SendError::NotSent(format!("connect: {e}")),
        e => SendError::Unknown(ResultCode::OutcomeUnknown, e.to_string()),
    }
}

fn passes(name: &str) -> bool {
    !HOP_HEADERS.contains(&name) && name != "host" && name != "content-length"
}

//! The platform over HTTP and JSON.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, de::DeserializeOwned};

use super::{Entry, KvStore, StoreRevision, Swap, VmList, Watched};
use crate::{Error, Result, settings::VmInfo};

/// How long a call other than a watch may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer that is read.
const ANSWER_LIMIT: usize = 64 << 20;

/// The platform's service, reached over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct WireEntry {
    key: String,
    value: String,
    revision: StoreRevision,
}

impl From<WireEntry> for Entry {
    fn from(e: WireEntry) -> Self {
        let WireEntry {
            key,
            value,
            revision,
        } = e;
        Self {
            key,
            value,
            revision,
        }
    }
}

#[derive(Deserialize)]
struct WireEntries {
    entries: Vec<WireEntry>,
    revision: StoreRevision,
}

#[derive(Deserialize)]
struct WireRevision {
    revision: StoreRevision,
}

impl HttpPlatform {
    /// The platform at this address; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { address, client }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let uri = format!("http://{}{path}", self.address);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::from(body.to_owned()))
            .map_err(|e| Error::Platform(e.to_string()))?;
        let answer = async {
            let res = self.client.request(req).await;
            let res = res.map_err(|e| Error::Platform(e.to_string()))?;
            let status = res.status();
            let body = Limited::new(res.into_body(), ANSWER_LIMIT).collect().await;
            let body = body.map_err(|e| Error::Platform(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, answer)
            .await
            .map_err(|_| Error::Platform("no answer in time".to_owned()))?
    }
}

#[async_trait]
impl KvStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let path = format!("/kv/{key}");
        let (status, body) = self.call(Method::GET, &path, "", CALL_TIMEOUT).await?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => parse::<WireEntry>(status, &body).map(|e| Some(e.into())),
        }
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, StoreRevision)> {
        let path = format!("/list/{prefix}");
        let (status, body) = self.call(Method::GET, &path, "", CALL_TIMEOUT).await?;
        let all: WireEntries = parse(status, &body)?;
        Ok((
            all.entries.into_iter().map(Into::into).collect(),
            all.revision,
        ))
    }

    async fn swap(&self, key: &str, expected: Option<StoreRevision>, value: &str) -> Result<Swap> {
        let path = format!("/kv/{key}?expect={}", expected.unwrap_or_default());
        let (status, body) = self.call(Method::PUT, &path, value, CALL_TIMEOUT).await?;
        match status {
            StatusCode::CONFLICT => Ok(Swap::Conflict),
            _ => parse::<WireRevision>(status, &body).map(|r| Swap::Done(r.revision)),
        }
    }

    async fn remove(&self, key: &str) -> Result<()> {
        let path = format!("/kv/{key}");
        let (status, body) = self.call(Method::DELETE, &path, "", CALL_TIMEOUT).await?;
        parse::<WireRevision>(status, &body).map(|_| ())
    }

    async fn watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> Result<Watched> {
        let path = format!("/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        let (status, body) = self
            .call(Method::GET, &path, "", wait + CALL_TIMEOUT)
            .await?;
        match status {
            StatusCode::GONE => Ok(Watched::TooOld),
            _ => {
                let all: WireEntries = parse(status, &body)?;
                let entries = all.entries.into_iter().map(Into::into).collect();
                Ok(Watched::Events(entries, all.revision))
            }
        }
    }
}

#[async_trait]
impl VmList for HttpPlatform {
    async fn vms(&self) -> Result<Vec<VmInfo>> {
        let (status, body) = self.call(Method::GET, "/vms", "", CALL_TIMEOUT).await?;
        let names: Vec<String> = parse(status, &body)?;
        let parse = |n: &String| n.parse().map_err(Error::Platform);
        names.iter().map(parse).collect()
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T> {
    match status {
        s if s.is_success() => {
            serde_json::from_slice(body).map_err(|e| Error::Platform(e.to_string()))
        }
        s => Err(Error::Platform(format!("status {s}"))),
    }
}

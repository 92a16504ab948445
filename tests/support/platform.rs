//! A stand-in for the platform: its key-value service with faults, and its list of VMs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{Method, Request, Response, body::Incoming};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::http::{self, Body, Server};

/// Writes that a watch can go back.
const HISTORY: u64 = 1_000;

#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFault {
    /// Calls are not answered and have no effect.
    pub down: bool,
    /// The answers to this many writes are lost after the write took effect.
    pub lose_answers: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Kv {
    pub entries: BTreeMap<String, (u64, String)>,
    pub revision: u64,
    oldest: u64,
    pub reads: u64,
    pub writes: u64,
}

#[derive(Clone)]
struct Cx {
    kv: Arc<Mutex<Kv>>,
    fault: Arc<Mutex<PlatformFault>>,
    vms: Arc<Mutex<Vec<String>>>,
    changed: watch::Sender<u64>,
}

pub struct Platform {
    pub server: Server,
    cx: Cx,
}

impl Platform {
    pub async fn start(listen: &str) -> Self {
        let cx = Cx {
            kv: Arc::default(),
            fault: Arc::default(),
            vms: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let handler_cx = cx.clone();
        let server = http::serve(listen, move |req| handle(handler_cx.clone(), req)).await;
        Self { server, cx }
    }

    pub fn set_fault(&self, fault: PlatformFault) {
        *self.cx.fault.lock().unwrap() = fault;
    }

    pub fn set_vms(&self, vms: Vec<String>) {
        *self.cx.vms.lock().unwrap() = vms;
    }

    /// A copy of the store, to set it back to later.
    pub fn backup(&self) -> Kv {
        self.cx.kv.lock().unwrap().clone()
    }

    /// Sets the store back to an older state.
    pub fn restore(&self, kv: Kv) {
        *self.cx.kv.lock().unwrap() = kv;
        self.cx.changed.send_modify(|n| *n += 1);
    }

    /// Forgets the history that watches need.
    pub fn compact(&self) {
        let mut kv = self.cx.kv.lock().unwrap();
        kv.oldest = kv.revision;
    }

    pub fn calls(&self) -> (u64, u64) {
        let kv = self.cx.kv.lock().unwrap();
        (kv.reads, kv.writes)
    }
}

async fn handle(cx: Cx, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
    if cx.fault.lock().unwrap().down {
        return Err(http::cut());
    }
    let path = req.uri().path().to_owned();
    let part = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
    match req.method().clone() {
        Method::GET if path == "/vms" => {
            let vms = cx.vms.lock().unwrap().clone();
            Ok(http::json(200, &json!(vms)))
        }
        Method::GET if path == "/calls" => {
            let kv = cx.kv.lock().unwrap();
            Ok(http::json(
                200,
                &json!({"reads": kv.reads, "writes": kv.writes}),
            ))
        }
        Method::POST if path == "/vms" => {
            let vms = serde_json::from_slice(&http::read(req).await).unwrap_or_default();
            *cx.vms.lock().unwrap() = vms;
            Ok(http::whole(200, "{}"))
        }
        Method::GET => match (part("/kv/"), part("/list/"), part("/watch/")) {
            (Some(key), ..) => Ok(get(&cx, &key)),
            (_, Some(prefix), _) => Ok(list(&cx, &prefix)),
            (.., Some(prefix)) => watch_prefix(&cx, &prefix, &req).await,
            _ => Ok(http::whole(404, "")),
        },
        Method::PUT => swap(&cx, &part("/kv/").unwrap_or_default(), req).await,
        Method::DELETE => Ok(remove(&cx, &part("/kv/").unwrap_or_default())),
        _ => Ok(http::whole(404, "")),
    }
}

fn entry(key: &str, (revision, value): &(u64, String)) -> Value {
    json!({"key": key, "value": value, "revision": revision})
}

fn get(cx: &Cx, key: &str) -> Response<Body> {
    let mut kv = cx.kv.lock().unwrap();
    kv.reads += 1;
    match kv.entries.get(key) {
        Some(e) => http::json(200, &entry(key, e)),
        None => http::whole(404, "{}"),
    }
}

fn list(cx: &Cx, prefix: &str) -> Response<Body> {
    let mut kv = cx.kv.lock().unwrap();
    kv.reads += 1;
    answer(&kv, prefix, 0)
}

fn answer(kv: &Kv, prefix: &str, after: u64) -> Response<Body> {
    let below = kv.entries.iter().filter(|(k, _)| k.starts_with(prefix));
    let mut entries: Vec<_> = below.filter(|(_, e)| e.0 > after).collect();
    if after > 0 {
        entries.sort_by_key(|(_, e)| e.0);
    }
    let entries: Vec<_> = entries.into_iter().map(|(k, e)| entry(k, e)).collect();
    http::json(200, &json!({"entries": entries, "revision": kv.revision}))
}

async fn watch_prefix(
    cx: &Cx,
    prefix: &str,
    req: &Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let number = |name| http::query(req, name).and_then(|v| v.parse::<u64>().ok());
    let after = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let mut changed = cx.changed.subscribe();
    cx.kv.lock().unwrap().reads += 1;
    let found = async {
        loop {
            {
                let kv = cx.kv.lock().unwrap();
                let fresh =
                    |(k, e): (&String, &(u64, String))| k.starts_with(prefix) && e.0 > after;
                if after < kv.oldest {
                    return http::whole(410, "{}");
                }
                if kv.revision < after || kv.entries.iter().any(fresh) {
                    return answer(&kv, prefix, after);
                }
            }
            let _ = changed.changed().await;
        }
    };
    match tokio::time::timeout(wait, found).await {
        Ok(res) => Ok(res),
        Err(_) => Ok(answer(&cx.kv.lock().unwrap(), prefix, after)),
    }
}

async fn swap(
    cx: &Cx,
    key: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let expect: u64 = http::query(&req, "expect")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let value = String::from_utf8_lossy(&http::read(req).await).into_owned();
    let revision = {
        let mut kv = cx.kv.lock().unwrap();
        kv.writes += 1;
        if kv.entries.get(key).map_or(0, |e| e.0) != expect {
            return Ok(http::whole(409, "{}"));
        }
        kv.revision += 1;
        kv.oldest = kv.oldest.max(kv.revision.saturating_sub(HISTORY));
        let revision = kv.revision;
        kv.entries.insert(key.to_owned(), (revision, value));
        revision
    };
    cx.changed.send_modify(|n| *n += 1);
    let mut fault = cx.fault.lock().unwrap();
    if fault.lose_answers > 0 {
        fault.lose_answers -= 1;
        return Err(http::cut());
    }
    Ok(http::json(200, &json!({"revision": revision})))
}

fn remove(cx: &Cx, key: &str) -> Response<Body> {
    let mut kv = cx.kv.lock().unwrap();
    kv.writes += 1;
    kv.revision += 1;
    kv.entries.remove(key);
    http::json(200, &json!({"revision": kv.revision}))
}

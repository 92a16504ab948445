//! A simulated plain service that counts what it executes.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use hyper::{Request, Response, body::Incoming};
use serde_json::json;

use super::{
    engine::Fault,
    http::{self, Body, Server},
};

pub struct Service {
    pub server: Server,
    /// Number of executions by idempotency key.
    pub executed: Arc<Mutex<HashMap<String, u32>>>,
    fault: Arc<Mutex<Fault>>,
}

impl Service {
    pub async fn start(listen: &str) -> Self {
        let executed: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let fault: Arc<Mutex<Fault>> = Arc::default();
        let (e, f) = (executed.clone(), fault.clone());
        let server = http::serve(listen, move |req| handle(e.clone(), f.clone(), req)).await;
        Self {
            server,
            executed,
            fault,
        }
    }

    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }
}

async fn handle(
    executed: Arc<Mutex<HashMap<String, u32>>>,
    fault: Arc<Mutex<Fault>>,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    if req.uri().path() == "/executed" {
        return Ok(http::json(200, &json!(*executed.lock().unwrap())));
    }
    if req.uri().path() == "/load" {
        return Ok(http::whole(404, ""));
    }
    let key = req.headers().get("idempotency-key");
    let key = key
        .and_then(|k| k.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let echo = format!("{} {}", req.method(), req.uri().path());
    let body = http::read(req).await;
    let fault = *fault.lock().unwrap();
    if fault == Fault::Refuse {
        let mut res = http::whole(503, "busy");
        res.headers_mut()
            .insert("x-not-run", "1".parse().expect("header"));
        return Ok(res);
    }
    *executed.lock().unwrap().entry(key.clone()).or_default() += 1;
    match fault {
        Fault::DieBefore => Err(http::cut()),
        Fault::Hang => std::future::pending().await,
        _ => {
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(http::json(
                200,
                &json!({"call": echo, "key": key, "body": body}),
            ))
        }
    }
}

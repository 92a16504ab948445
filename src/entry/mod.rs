//! The callers' side: HTTP in, one fitting answer out.

mod body;
mod once;
mod walk;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Request, Response, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde::Serialize;
use slog::{info, o};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    chat,
    config::{ClientAccount, Serves, Service},
    directory::{Directory, Place},
    explain::Decision,
    ids::{ClientAccountId, ConversationKey, PrefixKey, RequestId, ServiceName},
    limits_service::AccountPlace,
    reply::{self, Body},
    result_code::ResultCode,
    router::Shared,
    target::Header,
    units::{Priority, Tokens},
};
use walk::{Ending, Job};

/// The path of chats.
const CHAT_PATH: &str = "/v1/chat/completions";

/// What the paths of plain services begin with.
const SERVICE_PREFIX: &str = "/services/";

/// The header of a call that must not be repeated.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Headers of callers that no target needs to see.
const PRIVATE_HEADERS: [&str; 3] = ["authorization", "cookie", "proxy-authorization"];

/// Accepts callers until told to stop; ends when the last connection has.
pub(crate) async fn serve(
    listener: TcpListener,
    cx: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((socket, _)) = accepted else {
            // Out of descriptors, most likely: wait for some to be freed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Without it small answers wait for the caller's acknowledgements.
        let _ = socket.set_nodelay(true);
        let service_cx = Arc::clone(&cx);
        let service = service_fn(move |req| {
            let cx = Arc::clone(&service_cx);
            async move { Ok::<_, std::convert::Infallible>(on_request(&cx, req).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(cx.cfg.header_timeout_ms.duration())
            .max_buf_size(cx.cfg.header_limit.0)
            .serve_connection(TokioIo::new(socket), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that leaves ends its own request; there is nobody to tell.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Counts a request as in progress until its answer has ended.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn begin(cx: &Arc<Shared>) -> Option<Self> {
        let limit = cx.cfg.concurrency_limit as u64;
        let before = cx.counters.in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = Self(Arc::clone(cx));
        (before < limit).then_some(guard)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.counters.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn on_request(cx: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let id = RequestId::random();
    let mut res = match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => reply::whole(200, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => ready(cx),
        _ => on_call(cx, id, req).await,
    };
    reply::name_request(&mut res, id);
    res
}

fn ready(cx: &Shared) -> Response<Body> {
    let life = cx.life.lock();
    match life.is_ready() {
        true => reply::whole(200, "text/plain", "ready\n"),
        false => reply::whole(503, "text/plain", format!("{}\n", life.name())),
    }
}

/// A request whose account is known.
struct Caller {
    id: RequestId,
    account_id: ClientAccountId,
    account: ClientAccount,
    headers: Vec<Header>,
    directory: Arc<Directory>,
}

async fn on_call(cx: &Arc<Shared>, id: RequestId, req: Request<Incoming>) -> Response<Body> {
    let Some(guard) = InProgress::begin(cx) else {
        return refuse(
            cx,
            id,
            ResultCode::RouterFull,
            "",
            Some(Duration::from_secs(1)),
        );
    };
    let directory = cx.directory();
    let Some((account_id, account)) = authenticate(&directory, &req) else {
        return refuse(cx, id, ResultCode::WrongKey, "no such key", None);
    };
    let place = match cx.limits.admit(cx, &account_id, &account) {
        Ok(place) => place,
        Err(pause) => {
            let text = "the account's limit is reached";
            return refuse(cx, id, ResultCode::AccountLimit, text, Some(pause));
        }
    };
    let headers = caller_headers(&req);
    let caller = Caller {
        id,
        account_id,
        account,
        headers,
        directory,
    };
    let path = req.uri().path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/v1/models") => models(&caller.directory),
        (Method::POST, CHAT_PATH) => on_chat(cx, caller, req, (guard, place)).await,
        (_, p) if p.starts_with(SERVICE_PREFIX) => {
            on_service(cx, caller, req, (guard, place)).await
        }
        _ => refuse(cx, id, ResultCode::UnknownPath, "no such path", None),
    }
}

type Guards = (InProgress, AccountPlace);

async fn on_chat(
    cx: &Arc<Shared>,
    caller: Caller,
    req: Request<Incoming>,
    guards: Guards,
) -> Response<Body> {
    let bytes = match body::read(cx, req.into_body()).await {
        Ok(bytes) => bytes,
        Err(code) => return refuse(cx, caller.id, code, "the body was not taken", None),
    };
    let read = chat::read(
        &caller.account_id,
        &caller.headers,
        &bytes,
        &caller.directory.config,
    );
    let chat = match read {
        Ok(chat) => chat,
        Err((code, text)) => return refuse(cx, caller.id, code, &text, None),
    };
    let job = Job {
        pool: chat.pool,
        place: chat.place,
        cost: chat.cost,
        priority: chat::priority(caller.account.priority, &caller.headers),
        timeout: cx.cfg.request_timeout_ms.duration(),
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        claim: None,
        body: bytes,
    };
    run(cx, caller, job, guards).await
}

async fn on_service(
    cx: &Arc<Shared>,
    caller: Caller,
    req: Request<Incoming>,
    guards: Guards,
) -> Response<Body> {
    let target = req
        .uri()
        .path_and_query()
        .map_or("", |p| p.as_str())
        .to_owned();
    let method = req.method().as_str().to_owned();
    let Some((name, service, path)) = find_service(&caller.directory, &target) else {
        return refuse(
            cx,
            caller.id,
            ResultCode::UnknownService,
            "no such service",
            None,
        );
    };
    let rules = &service.unrepeatable;
    let once = rules
        .iter()
        .any(|r| r.method == method && path.starts_with(&r.path_prefix));
    let key = caller.headers.iter().find(|h| h.name == IDEMPOTENCY_HEADER);
    let claim = match (once, key) {
        (false, _) => None,
        (true, Some(h)) => Some(once::claim_key(&caller.account_id, &name, &h.value)),
        (true, None) => {
            let text = "this call must not be repeated: send an Idempotency-Key";
            return refuse(cx, caller.id, ResultCode::MissingIdempotencyKey, text, None);
        }
    };
    let timeout = Duration::from_millis(service.timeout_ms);
    let bytes = match body::read(cx, req.into_body()).await {
        Ok(bytes) => bytes,
        Err(code) => return refuse(cx, caller.id, code, "the body was not taken", None),
    };
    let job = Job {
        pool: Serves::Service(name),
        // Calls of a service share nothing, so each is spread by itself.
        place: Place {
            account: caller.account_id.clone(),
            prefix: PrefixKey(0),
            conversation: ConversationKey(caller.id.0 as u64),
        },
        cost: Tokens(1),
        priority: service_priority(caller.account.priority, once),
        timeout,
        method,
        path,
        claim,
        body: bytes,
    };
    run(cx, caller, job, guards).await
}

async fn run(cx: &Arc<Shared>, caller: Caller, job: Job, guards: Guards) -> Response<Body> {
    let id = caller.id;
    let log = cx.telemetry.log.new(o!("request" => id.to_string()));
    cx.record(
        id,
        Decision::Received {
            account: caller.account_id.to_string(),
            pool: job.pool.to_string(),
        },
    );
    let began = cx.now();
    let span = cx.telemetry.hop("entry", id, &caller.headers);
    match walk::run(cx, &caller, &job, &span).await {
        Ok(answer) => {
            let first = cx.now().since(began).as_millis() as u64;
            cx.telemetry.time("entry.first_byte_ms", first);
            cx.telemetry.count("entry.answered");
            cx.counters.answered.fetch_add(1, Ordering::Relaxed);
            info!(log, "answered"; "status" => answer.status, "first_byte_ms" => first);
            let cut_log = log.clone();
            reply::relay(answer, move |code| {
                let _ = (&guards, &span);
                info!(cut_log, "cut off"; "code" => code.number());
            })
        }
        Err(Ending {
            code,
            detail,
            retry_after,
        }) => refuse(cx, id, code, &detail, retry_after),
    }
}

fn refuse(
    cx: &Shared,
    id: RequestId,
    code: ResultCode,
    text: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    info!(cx.telemetry.log, "refused"; "request" => %id, "code" => code.number(), "detail" => text);
    cx.telemetry.count("entry.refused");
    cx.counters.refused.fetch_add(1, Ordering::Relaxed);
    cx.record(
        id,
        Decision::Ended {
            code: code.number(),
            detail: text.to_owned(),
        },
    );
    reply::error(code, text, retry_after)
}

fn authenticate(
    directory: &Directory,
    req: &Request<Incoming>,
) -> Option<(ClientAccountId, ClientAccount)> {
    let header = req.headers().get(hyper::header::AUTHORIZATION)?;
    let key = header.to_str().ok()?.strip_prefix("Bearer ")?;
    let (id, account) = directory.config.account_of(key)?;
    Some((id.clone(), account.clone()))
}

fn caller_headers(req: &Request<Incoming>) -> Vec<Header> {
    let public = |name: &str| !PRIVATE_HEADERS.contains(&name);
    let headers = req.headers().iter().filter(|(n, _)| public(n.as_str()));
    headers
        .map(|(n, v)| Header {
            name: n.as_str().to_owned(),
            value: Bytes::copy_from_slice(v.as_bytes()),
        })
        .collect()
}

/// The service of a path, and what stands below it, with the query.
fn find_service(directory: &Directory, target: &str) -> Option<(ServiceName, Service, String)> {
    let rest = target.strip_prefix(SERVICE_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let name: ServiceName = name.parse().ok()?;
    let service = directory.config.services.get(&name)?.clone();
    let path = match path.starts_with('/') {
        true => path.to_owned(),
        false => format!("/{path}"),
    };
    Some((name, service, path))
}

/// A call that must not be repeated is what somebody waits for most urgently.
fn service_priority(account: Priority, once: bool) -> Priority {
    match once {
        true => Priority::Urgent,
        false => account,
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

fn models(directory: &Directory) -> Response<Body> {
    let entry = |id: &crate::ids::ModelName| ModelEntry {
        id: id.to_string(),
        object: "model",
        created: 0,
        owned_by: "scaleford",
    };
    let data = directory.config.models.keys().map(entry).collect();
    reply::json(
        200,
        &ModelList {
            object: "list",
            data,
        },
    )
}

//! Calls between routers: what the store holds, a step of a claim, what was decided on a call.
//!
//! HTTP on the peers' port with bodies in postcard or JSON. What the store holds is waited for as
//! it would be at the store, so that few routers read it. It vouches for nothing: how old the
//! configuration may be is told by datagrams.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, client, server, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{body::AnswerBody, conn::CONNECT_TIMEOUT, fleet, gateway::Gateway};
use crate::{
    claims::{ClaimStep, ClaimVerdict},
    explain::DecisionRecord,
    store::{Mirrored, StoreError},
    units::StoreRevision,
};

/// How long an asked router waits for something newer.
const ASK_WAIT: Duration = Duration::from_secs(5);

/// How often an asked router looks for something newer.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// How long the answer may take beyond the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the keeper of a claim may take: a write of its shard waits for the one before, and a
/// store that is slow answers within this.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest body of a call between routers, in bytes: a step of a claim takes some sixty.
const BODY_LIMIT: usize = 4 << 10;

/// What is asked of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ask {
    /// `GET /store/REVISION`: what is newer than the revision.
    Store(StoreRevision),
    /// `POST /claim`: take a step.
    Claim,
    /// `GET /explain/ID`: what was decided on a call.
    Explain(String),
    /// `POST /change`: take an accepted change.
    Change,
}

impl Ask {
    fn read(method: &Method, path: &str) -> Option<Self> {
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        match (method, parts.next()?, parts.next()) {
            (&Method::GET, "store", Some(after)) => {
                Some(Self::Store(StoreRevision(after.parse().ok()?)))
            }
            (&Method::POST, "claim", None) => Some(Self::Claim),
            (&Method::POST, "change", None) => Some(Self::Change),
            (&Method::GET, "explain", Some(id)) => Some(Self::Explain(id.to_owned())),
            _ => None,
        }
    }

    fn method(&self) -> Method {
        match self {
            Self::Claim | Self::Change => Method::POST,
            Self::Store(_) | Self::Explain(_) => Method::GET,
        }
    }

    fn path(&self) -> String {
        match self {
            Self::Store(after) => format!("/store/{after}"),
            Self::Claim => "/claim".to_owned(),
            Self::Change => "/change".to_owned(),
            Self::Explain(id) => format!("/explain/{id}"),
        }
    }
}

/// The largest change that is told, in bytes: as much as an operator may send.
const CHANGE_LIMIT: usize = 4 << 20;

type Sender = client::conn::http1::SendRequest<Full<Bytes>>;

/// A connection to another router.
pub(super) struct PeerConn {
    address: SocketAddr,
    sender: RefCell<Sender>,
}

impl PeerConn {
    /// Connects to a router.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, StoreError> {
        let dial = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, dial).await;
        let stream = stream.map_err(no_answer)?.map_err(no_answer)?;
        let shaken = client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(no_answer)?;
        tokio::task::spawn_local(async move {
            // Its end reaches whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender: RefCell::new(sender),
        })
    }

    /// Whom it asks.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for what is newer than a revision.
    pub(super) async fn newer(&self, after: StoreRevision) -> Result<Mirrored, StoreError> {
        let timeout = ASK_WAIT + ANSWER_TIMEOUT;
        let body = self.call(Ask::Store(after), Bytes::new(), timeout).await?;
        postcard::from_bytes(&body).map_err(garbled)
    }

    async fn call(&self, ask: Ask, body: Bytes, timeout: Duration) -> Result<Bytes, StoreError> {
        let req = Request::builder()
            .method(ask.method())
            .uri(ask.path())
            .header(hyper::header::HOST, "router")
            .body(Full::new(body))
            .map_err(garbled)?;
        let sent = self.sender.borrow_mut().send_request(req);
        let answer = async {
            let res = sent.await.map_err(no_answer)?;
            let status = res.status();
            let body = res.into_body().collect().await.map_err(no_answer)?;
            match status {
                StatusCode::OK => Ok(body.to_bytes()),
                status => Err(StoreError::TurnedAway(status.as_u16())),
            }
        };
        let answer = tokio::time::timeout(timeout, answer).await;
        answer.map_err(no_answer)?
    }
}

/// Lets the keeper of a claim's shard take a step.
pub(super) async fn claim(
    cx: &Gateway,
    keeper: SocketAddr,
    step: ClaimStep,
) -> Result<ClaimVerdict, StoreError> {
    let body = postcard::to_stdvec(&step).map_err(garbled)?;
    let conn = PeerConn::open(keeper).await?;
    cx.metrics.claim_bytes.inc_by(body.len() as u64);
    let answer = conn.call(Ask::Claim, body.into(), CLAIM_TIMEOUT).await?;
    postcard::from_bytes(&answer).map_err(garbled)
}

/// Tells another router of an accepted change, as JSON.
pub(super) async fn change(peer: SocketAddr, body: Bytes) -> Result<(), StoreError> {
    let conn = PeerConn::open(peer).await?;
    let answer = conn.call(Ask::Change, body, ANSWER_TIMEOUT).await;
    answer.map(|_| ())
}

/// What another router remembers of a call.
pub(super) async fn explain(
    address: SocketAddr,
    id: &str,
) -> Result<Vec<DecisionRecord>, StoreError> {
    let conn = PeerConn::open(address).await?;
    let ask = Ask::Explain(id.to_owned());
    let answer = conn.call(ask, Bytes::new(), ANSWER_TIMEOUT).await?;
    serde_json::from_slice(&answer).map_err(garbled)
}

fn no_answer(e: impl std::fmt::Display) -> StoreError {
    StoreError::NoAnswer(e.to_string())
}

fn garbled(e: impl std::fmt::Display) -> StoreError {
    StoreError::Garbled(e.to_string())
}

/// Answers routers that ask.
pub(super) async fn serve(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        };
        let cx = Rc::clone(&cx);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let cx = Rc::clone(&cx);
                async move { Ok::<_, Infallible>(answer(&cx, req).await) }
            });
            // A router that left needs no answer.
            let _ = server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(cx: &Gateway, req: Request<Incoming>) -> Response<AnswerBody> {
    let answer = match Ask::read(req.method(), req.uri().path()) {
        Some(Ask::Store(after)) => postcard::to_stdvec(&newer(cx, after).await).map_err(garbled),
        Some(Ask::Claim) => on_claim(cx, req).await,
        Some(Ask::Change) => on_change(cx, req).await,
        Some(Ask::Explain(id)) => {
            let records = cx.explain.of(&cx.cfg.vm, &id);
            serde_json::to_vec(&records).map_err(garbled)
        }
        None => Err(garbled("no such call")),
    };
    match answer {
        Ok(bytes) => Response::new(AnswerBody::whole(bytes)),
        Err(e) => {
            let mut res = Response::new(AnswerBody::whole(e.to_string()));
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}

async fn newer(cx: &Gateway, after: StoreRevision) -> Mirrored {
    let until = cx.now() + ASK_WAIT;
    loop {
        let told = cx.mirror.borrow().since(after);
        if let Some(told) = told {
            return with_unseen(cx, told);
        }
        // Whoever asks a router that lost the store had better ask another one.
        if cx.now() >= until || !cx.reads_store() {
            return Mirrored::Nothing;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// What a router is told, with changes that were accepted here and are not read back yet.
fn with_unseen(cx: &Gateway, mut told: Mirrored) -> Mirrored {
    if let Mirrored::Changes(news) | Mirrored::List(news) = &mut told {
        news.items.extend(fleet::unseen_entries(cx, news.revision));
    }
    told
}

async fn on_change(cx: &Gateway, req: Request<Incoming>) -> Result<Vec<u8>, StoreError> {
    let body = Limited::new(req.into_body(), CHANGE_LIMIT).collect().await;
    let change = serde_json::from_slice(&body.map_err(garbled)?.to_bytes()).map_err(garbled)?;
    if cx.cfg.own_config {
        fleet::take_change(cx, change);
    }
    Ok(Vec::new())
}

async fn on_claim(cx: &Gateway, req: Request<Incoming>) -> Result<Vec<u8>, StoreError> {
    let body = Limited::new(req.into_body(), BODY_LIMIT).collect().await;
    let step = postcard::from_bytes(&body.map_err(garbled)?.to_bytes()).map_err(garbled)?;
    let verdict = cx.claims.step(step).await;
    postcard::to_stdvec(&verdict).map_err(garbled)
}

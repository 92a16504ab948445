//! Calls between routers: what the store holds, a step of a claim, what was decided on a call.
//!
//! HTTP on the peers' port with bodies in postcard or JSON. What the store holds is waited for as
//! it would be at the store, so that few routers read it. It vouches for nothing: how old the
//! configuration may be is told by datagrams.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, client, header::HeaderValue, server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::AnswerBody,
    conn::CONNECT_TIMEOUT,
    feed::{self, ASK_WAIT, Proof},
    fleet,
    gateway::Gateway,
};
use crate::{
    claims::{ClaimStep, ClaimVerdict},
    explain::DecisionRecord,
    store::{MirrorReply, StoreError},
    units::StoreRevision,
};

/// The pause after a connection that could not be taken.
const ACCEPT_AGAIN: Duration = Duration::from_millis(40);

/// How long the answer may take beyond the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a whole list may take beyond the wait: one of ten thousand entries, over a link that some dozens share.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The header of an answer that says what it proves of the configuration.
const PROOF: &str = "scaleford-proof";

/// How long the keeper of a claim may take: a write of its shard waits for the one before, and a
/// store that is slow answers within this.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest body of a call between routers, in bytes: a step of a claim takes some sixty.
const BODY_LIMIT: usize = 4 << 10;

/// What is asked of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ask {
    /// `GET /store/ERA.NUMBER/MS`: what is newer than the revision, or nothing after so long.
    Store(StoreRevision, Duration),
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
            (&Method::GET, "store", Some(asked)) => {
                let (after, wait) = asked.split_once('/')?;
                let wait = Duration::from_millis(wait.parse().ok()?);
                let after = after.parse().ok()?;
                Some(Self::Store(after, wait.min(ASK_WAIT)))
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
            Self::Store(..) | Self::Explain(_) => Method::GET,
        }
    }

    fn path(&self) -> String {
        match self {
            Self::Store(after, wait) => format!("/store/{after}/{}", wait.as_millis()),
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

    /// Asks for what is newer than a revision, and waits so long for it; with what the answer proves.
    pub(super) async fn newer(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<(MirrorReply, Option<Proof>), StoreError> {
        let is_list = after == StoreRevision::default();
        let timeout = wait
            + if is_list {
                LIST_TIMEOUT
            } else {
                ANSWER_TIMEOUT
            };
        let asked = Ask::Store(after, wait);
        let (body, proof) = self.call_proven(asked, Bytes::new(), timeout).await?;
        Ok((feed::decode(&body)?, proof))
    }

    async fn call(&self, ask: Ask, body: Bytes, timeout: Duration) -> Result<Bytes, StoreError> {
        let answer = self.call_proven(ask, body, timeout).await;
        answer.map(|(body, _)| body)
    }

    async fn call_proven(
        &self,
        ask: Ask,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(Bytes, Option<Proof>), StoreError> {
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
            let proof = res.headers().get(PROOF).map(|p| read_proof(p.as_bytes()));
            let body = res.into_body().collect().await.map_err(no_answer)?;
            match status {
                StatusCode::OK => Ok((body.to_bytes(), proof.transpose()?)),
                status => Err(StoreError::Rejected(status.as_u16())),
            }
        };
        let answer = tokio::time::timeout(timeout, answer).await;
        answer.map_err(no_answer)?
    }
}

fn read_proof(told: &[u8]) -> Result<Proof, StoreError> {
    serde_json::from_slice(told).map_err(garbled)
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
    StoreError::InvalidResponse(e.to_string())
}

/// Answers routers that ask.
pub(super) async fn serve(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
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
    let mut proof = None;
    let answer = match Ask::read(req.method(), req.uri().path()) {
        Some(Ask::Store(after, wait)) => match feed::newer(cx, after, wait).await {
            Ok((body, proven)) => {
                proof = proven;
                Ok(body)
            }
            Err(e) => Err(e),
        },
        Some(Ask::Claim) => on_claim(cx, req).await.map(Bytes::from),
        Some(Ask::Change) => on_change(cx, req).await.map(Bytes::from),
        Some(Ask::Explain(id)) => {
            let records = cx.explain.decisions_on(&cx.cfg.vm, &id);
            serde_json::to_vec(&records)
                .map(Bytes::from)
                .map_err(garbled)
        }
        None => Err(garbled("no such call")),
    };
    match answer {
        Ok(bytes) => proven(Response::new(AnswerBody::whole(bytes)), proof),
        Err(e) => {
            let mut res = Response::new(AnswerBody::whole(e.to_string()));
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}

/// An answer with what it proves; a proof that can't be encoded is none.
fn proven(mut res: Response<AnswerBody>, proof: Option<Proof>) -> Response<AnswerBody> {
    let proof = proof.and_then(|p| serde_json::to_string(&p).ok());
    let proof = proof.and_then(|p| HeaderValue::from_str(&p).ok());
    if let Some(proof) = proof {
        res.headers_mut().insert(PROOF, proof);
    }
    res
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

//! Requests between routers: the store's content, steps of claims, accepted changes, decisions on calls.
//!
//! They use HTTP on the peers' port, with bodies in postcard or JSON. A request for the store's content
//! waits for changes as a watch of the store does, so that only few routers read the store. Datagrams
//! confirm how old the configuration may be; the confirmation in a response counts only in fleets that
//! use feeders, and in the first response that a router gets.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, client, header::HeaderValue, server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::AbortHandle,
};

use super::{
    accepted_changes,
    body::AnswerBody,
    conn::{CONNECT_TIMEOUT, set_socket_options},
    feed::{self, Proof},
    gateway::Gateway,
    list_check,
    peer_request::PeerRequest,
    slot_lease,
    tunnel::{self, TunnelRefusal},
    tunnel_conn::{TunnelConn, TunnelProtocol},
};
use crate::{
    bounded_body::read_whole,
    claims::{ClaimStep, ClaimVerdict},
    explain::DecisionRecord,
    ids::TargetId,
    store::{MirrorReply, StoreError},
    stream_origin::{StreamKey, StreamOrigin},
    units::StoreRevision,
};

/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Maximum time of a response beyond the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time of a response with a whole list beyond the requested wait: one of ten thousand entries,
/// over a link that some dozens of routers share.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Response header with the confirmation of the configuration.
const PROOF_HEADER: &str = "scaleford-proof";

/// Maximum time that the owner of a claim's shard may take to record a step: a write of the shard waits
/// for the previous one, and a slow store answers within this time.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum body size of a claim step, in bytes; a step takes about sixty.
const MAX_CLAIM_BODY_BYTES: usize = 4 << 10;

/// Maximum size of a change, in bytes: as much as an operator may send.
const MAX_CHANGE_BYTES: usize = 4 << 20;

type Sender = client::conn::http1::SendRequest<Full<Bytes>>;

/// A connection to another router.
pub struct PeerConn {
    address: SocketAddr,
    task: AbortHandle,
    sender: RefCell<Sender>,
}

impl PeerConn {
    /// Connects to the router at `address`.
    pub async fn open(address: SocketAddr) -> Result<Self, StoreError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let stream = stream.map_err(no_answer)?.map_err(no_answer)?;
        set_socket_options(&stream);
        let handshake = client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(no_answer)?;
        let task = tokio::task::spawn_local(async move {
            // When the connection ends, pending requests on it fail.
            let _ = connection.with_upgrades().await;
        });
        Ok(Self {
            address,
            task: task.abort_handle(),
            sender: RefCell::new(sender),
        })
    }

    /// Returns the address of the peer.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests changes after a revision and waits up to `wait` for them; also returns the response's
    /// confirmation of the configuration.
    pub(super) async fn request_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<(MirrorReply, Option<Proof>), StoreError> {
        let is_list = after == StoreRevision::default();
        let timeout = wait
            + if is_list {
                LIST_TIMEOUT
            } else {
                RESPONSE_TIMEOUT
            };
        let request = PeerRequest::Store(after, wait);
        let (body, proof) = self.call_with_proof(request, Bytes::new(), timeout).await?;
        Ok((feed::decode(&body)?, proof))
    }

    /// Sends a request, and returns the response's body if it comes within `timeout` and is not too large.
    pub async fn call(
        &self,
        request: PeerRequest,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let response = self.call_with_proof(request, body, timeout).await;
        response.map(|(body, _)| body)
    }

    async fn call_with_proof(
        &self,
        request: PeerRequest,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(Bytes, Option<Proof>), StoreError> {
        let max_bytes = request.max_response_bytes();
        let req = request.with_body(body)?;
        let sent = self.sender.borrow_mut().send_request(req);
        let response = async {
            let res = sent.await.map_err(no_answer)?;
            let status = res.status();
            let proof = res
                .headers()
                .get(PROOF_HEADER)
                .map(|p| parse_proof(p.as_bytes()));
            let body = read_whole(res.into_body(), max_bytes).await;
            let body = body.map_err(no_answer)?;
            match status {
                StatusCode::OK => Ok((body, proof.transpose()?)),
                status => Err(StoreError::Rejected(status.as_u16())),
            }
        };
        let response = tokio::time::timeout(timeout, response).await;
        response.map_err(no_answer)?
    }
}

/// Has the router at `peer` open a connection to a target. Returns the connection, or why the router
/// opens none.
pub(super) async fn open_tunnel(
    peer: SocketAddr,
    target: &TargetId,
) -> Result<Result<TunnelConn, TunnelRefusal>, StoreError> {
    let conn = PeerConn::open(peer).await?;
    let request = PeerRequest::Tunnel(target.clone());
    let req = request.with_body(Bytes::new())?;
    let sent = conn.sender.borrow_mut().send_request(req);
    let res = sent.await.map_err(no_answer)?;
    match res.status() {
        StatusCode::SWITCHING_PROTOCOLS => {
            let protocol = TunnelProtocol::of(res.headers());
            let upgraded = hyper::upgrade::on(res).await.map_err(no_answer)?;
            let stream = tunnel::into_stream(upgraded).map_err(invalid_response)?;
            Ok(Ok(TunnelConn::new(stream, protocol)))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let body = read_whole(res.into_body(), request.max_response_bytes()).await;
            let refusal = serde_json::from_slice(&body.map_err(no_answer)?);
            Ok(Err(refusal.map_err(invalid_response)?))
        }
        status => Err(StoreError::Rejected(status.as_u16())),
    }
}

/// A response that lasts until it is dropped, which closes its connection.
pub(super) struct HeldResponse {
    conn: PeerConn,
    _response: Response<Incoming>,
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.conn.task.abort();
    }
}

/// Asks the router at `owner` for a slot of a brittle target, which is held until the result is dropped.
/// Returns `None` if no slot is free.
pub(super) async fn hold_slot(
    owner: SocketAddr,
    target: &TargetId,
) -> Result<Option<HeldResponse>, StoreError> {
    let conn = PeerConn::open(owner).await?;
    let req = PeerRequest::Slot(target.clone()).with_body(Bytes::new())?;
    let sent = conn.sender.borrow_mut().send_request(req);
    let response = sent.await.map_err(no_answer)?;
    match response.status() {
        StatusCode::OK => Ok(Some(HeldResponse {
            conn,
            _response: response,
        })),
        StatusCode::SERVICE_UNAVAILABLE => Ok(None),
        status => Err(StoreError::Rejected(status.as_u16())),
    }
}

/// Tells the router at `owner` that a target rejected a call that had a slot.
pub(super) async fn report_rejection(
    owner: SocketAddr,
    target: &TargetId,
) -> Result<(), StoreError> {
    let conn = PeerConn::open(owner).await?;
    let request = PeerRequest::SlotRejected(target.clone());
    let response = conn.call(request, Bytes::new(), RESPONSE_TIMEOUT).await;
    response.map(|_| ())
}

fn parse_proof(value: &[u8]) -> Result<Proof, StoreError> {
    serde_json::from_slice(value).map_err(invalid_response)
}

/// Sends a step to the owner of the claim's shard, which records it.
pub(super) async fn send_claim_step(
    cx: &Gateway,
    owner: SocketAddr,
    step: ClaimStep,
) -> Result<ClaimVerdict, StoreError> {
    let body = postcard::to_stdvec(&step).map_err(invalid_response)?;
    let conn = PeerConn::open(owner).await?;
    cx.metrics.claim_bytes.inc_by(body.len() as u64);
    let response = conn
        .call(PeerRequest::Claim, body.into(), CLAIM_TIMEOUT)
        .await?;
    postcard::from_bytes(&response).map_err(invalid_response)
}

/// Sends an accepted change to another router, as JSON.
pub(super) async fn send_change(peer: SocketAddr, body: Bytes) -> Result<(), StoreError> {
    let conn = PeerConn::open(peer).await?;
    let response = conn.call(PeerRequest::Change, body, RESPONSE_TIMEOUT).await;
    response.map(|_| ())
}

/// Requests the decisions on a call that another router has recorded.
pub(super) async fn fetch_decisions(
    address: SocketAddr,
    id: &str,
) -> Result<Vec<DecisionRecord>, StoreError> {
    let conn = PeerConn::open(address).await?;
    let request = PeerRequest::Explain(id.to_owned());
    let response = conn.call(request, Bytes::new(), RESPONSE_TIMEOUT).await?;
    serde_json::from_slice(&response).map_err(invalid_response)
}

/// Asks another router which software version began a stream.
pub(super) async fn fetch_origin(
    address: SocketAddr,
    stream: StreamKey,
) -> Result<Option<StreamOrigin>, StoreError> {
    let conn = PeerConn::open(address).await?;
    let request = PeerRequest::Origin(stream);
    let response = conn.call(request, Bytes::new(), RESPONSE_TIMEOUT).await?;
    serde_json::from_slice(&response).map_err(invalid_response)
}

/// Asks another router for the revision of the store; `None` if the store does not answer it either.
pub(super) async fn fetch_revision(
    address: SocketAddr,
) -> Result<Option<StoreRevision>, StoreError> {
    let conn = PeerConn::open(address).await?;
    let response = conn.call(PeerRequest::Revision, Bytes::new(), RESPONSE_TIMEOUT);
    serde_json::from_slice(&response.await?).map_err(invalid_response)
}

fn no_answer(e: impl std::fmt::Display) -> StoreError {
    StoreError::NoAnswer(e.to_string())
}

fn invalid_response(e: impl std::fmt::Display) -> StoreError {
    StoreError::InvalidResponse(e.to_string())
}

/// Serves requests from other routers.
pub(super) async fn serve(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        set_socket_options(&stream);
        let cx = Rc::clone(&cx);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let cx = Rc::clone(&cx);
                async move { Ok::<_, Infallible>(respond(&cx, req).await) }
            });
            // A router that disconnected needs no response.
            let _ = server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .with_upgrades()
                .await;
        });
    }
}

async fn respond(cx: &Rc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let mut proof = None;
    let result = match PeerRequest::parse(req.method(), req.uri().path()) {
        Some(PeerRequest::Store(after, wait)) => match feed::changes_after(cx, after, wait).await {
            Ok((body, response_proof)) => {
                proof = response_proof;
                Ok(body)
            }
            Err(e) => Err(e),
        },
        Some(PeerRequest::Claim) => on_claim(cx, req).await.map(Bytes::from),
        Some(PeerRequest::Change) => on_change(cx, req).await.map(Bytes::from),
        Some(PeerRequest::Explain(id)) => {
            let records = cx.explain.decisions_on(&cx.cfg.vm, &id);
            serde_json::to_vec(&records)
                .map(Bytes::from)
                .map_err(invalid_response)
        }
        Some(PeerRequest::Origin(stream)) => {
            let origin = cx.stream_origins.borrow().get(cx.now(), stream);
            serde_json::to_vec(&origin)
                .map(Bytes::from)
                .map_err(invalid_response)
        }
        Some(PeerRequest::Revision) => {
            let revision = list_check::own_read(cx).await;
            serde_json::to_vec(&revision)
                .map(Bytes::from)
                .map_err(invalid_response)
        }
        Some(PeerRequest::Tunnel(target)) => return tunnel::serve(cx, req, target).await,
        Some(PeerRequest::Slot(target)) => return slot_lease::serve(cx, &target),
        Some(PeerRequest::SlotRejected(target)) => {
            slot_lease::on_rejected(cx, &target);
            Ok(Bytes::new())
        }
        None => Err(invalid_response("unknown request")),
    };
    match result {
        Ok(bytes) => with_proof(Response::new(AnswerBody::whole(bytes)), proof),
        Err(e) => {
            let mut res = Response::new(AnswerBody::whole(e.to_string()));
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}

/// Adds the confirmation of the configuration to a response; one that cannot be encoded is left out.
fn with_proof(mut res: Response<AnswerBody>, proof: Option<Proof>) -> Response<AnswerBody> {
    let proof = proof.and_then(|p| serde_json::to_string(&p).ok());
    let proof = proof.and_then(|p| HeaderValue::from_str(&p).ok());
    if let Some(proof) = proof {
        res.headers_mut().insert(PROOF_HEADER, proof);
    }
    res
}

async fn on_change(cx: &Gateway, req: Request<Incoming>) -> Result<Vec<u8>, StoreError> {
    let body = read_whole(req.into_body(), MAX_CHANGE_BYTES).await;
    let change =
        serde_json::from_slice(&body.map_err(invalid_response)?).map_err(invalid_response)?;
    if cx.cfg.own_config {
        accepted_changes::apply_change(cx, change);
    }
    Ok(Vec::new())
}

async fn on_claim(cx: &Gateway, req: Request<Incoming>) -> Result<Vec<u8>, StoreError> {
    let body = read_whole(req.into_body(), MAX_CLAIM_BODY_BYTES).await;
    let step = postcard::from_bytes(&body.map_err(invalid_response)?).map_err(invalid_response)?;
    let verdict = cx.claims.step(step).await;
    postcard::to_stdvec(&verdict).map_err(invalid_response)
}

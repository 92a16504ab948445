//! Requests between routers: their paths, and the bounds of their responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};

use super::{feed::MAX_HOLD_TIME, tunnel_conn::TunnelProtocol};
use crate::{ids::TargetId, store::StoreError, stream_origin::StreamKey, units::StoreRevision};

/// Maximum size of a response with changes of the store, in bytes; a list of ten thousand entries takes some megabytes.
const MAX_LIST_BYTES: usize = 32 << 20;

/// Maximum size of a response with the decisions on a call, in bytes; a call may have many attempts.
const MAX_DECISIONS_BYTES: usize = 32 << 20;

/// Maximum size of a claim's verdict, in bytes; it takes four, and the text of an error some hundred.
const MAX_VERDICT_BYTES: usize = 4 << 10;

/// Maximum size of a stream's origin, in bytes; it takes about fifty, and the text of an error some hundred.
const MAX_ORIGIN_BYTES: usize = 4 << 10;

/// Maximum size of a revision of the store, in bytes; it takes about forty, and the text of an error some hundred.
const MAX_REVISION_BYTES: usize = 4 << 10;

/// Maximum size of the reason why there is no tunnel or slot, in bytes; it takes about twenty.
const MAX_REFUSAL_BYTES: usize = 4 << 10;

/// Maximum size of a response that says nothing but why the request failed, in bytes.
const MAX_ERROR_TEXT_BYTES: usize = 4 << 10;

/// A request to another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// `GET /store/ERA.NUMBER/MS`: returns changes after the revision, or nothing after `MS` milliseconds.
    Store(StoreRevision, Duration),
    /// `POST /claim`: records a step of a claim.
    Claim,
    /// `GET /explain/ID`: returns the decisions on a call.
    Explain(String),
    /// `POST /change`: applies an accepted change.
    Change,
    /// `GET /origin/STREAM`: returns the origin of a stream, if the router knows it.
    Origin(StreamKey),
    /// `GET /revision`: reads the revision of the store.
    Revision,
    /// `GET /tunnel/TARGET`: opens a connection to the target and becomes a tunnel to it.
    Tunnel(TargetId),
    /// `GET /slot/TARGET`: holds a slot of a brittle target as long as the connection is open.
    Slot(TargetId),
    /// `POST /slot-rejected/TARGET`: the target rejected a call that had a slot.
    SlotRejected(TargetId),
}

impl PeerRequest {
    /// Parses a request; `None` if there is no such one.
    pub(super) fn parse(method: &Method, path: &str) -> Option<Self> {
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        match (method, parts.next()?, parts.next()) {
            (&Method::GET, "store", Some(query)) => {
                let (after, wait) = query.split_once('/')?;
                let wait = Duration::from_millis(wait.parse().ok()?);
                let after = after.parse().ok()?;
                Some(Self::Store(after, wait.min(MAX_HOLD_TIME)))
            }
            (&Method::POST, "claim", None) => Some(Self::Claim),
            (&Method::POST, "change", None) => Some(Self::Change),
            (&Method::GET, "explain", Some(id)) => Some(Self::Explain(id.to_owned())),
            (&Method::GET, "origin", Some(key)) => Some(Self::Origin(key.parse().ok()?)),
            (&Method::GET, "revision", None) => Some(Self::Revision),
            (&Method::GET, "tunnel", Some(id)) => Some(Self::Tunnel(id.parse().ok()?)),
            (&Method::GET, "slot", Some(id)) => Some(Self::Slot(id.parse().ok()?)),
            (&Method::POST, "slot-rejected", Some(id)) => {
                Some(Self::SlotRejected(id.parse().ok()?))
            }
            _ => None,
        }
    }

    fn method(&self) -> Method {
        match self {
            Self::Claim | Self::Change | Self::SlotRejected(_) => Method::POST,
            Self::Store(..)
            | Self::Explain(_)
            | Self::Origin(_)
            | Self::Revision
            | Self::Tunnel(_)
            | Self::Slot(_) => Method::GET,
        }
    }

    fn path(&self) -> String {
        match self {
            Self::Store(after, wait) => format!("/store/{after}/{}", wait.as_millis()),
            Self::Claim => "/claim".to_owned(),
            Self::Change => "/change".to_owned(),
            Self::Explain(id) => format!("/explain/{id}"),
            Self::Origin(stream) => format!("/origin/{stream}"),
            Self::Revision => "/revision".to_owned(),
            Self::Tunnel(id) => format!("/tunnel/{id}"),
            Self::Slot(id) => format!("/slot/{id}"),
            Self::SlotRejected(id) => format!("/slot-rejected/{id}"),
        }
    }

    /// Returns the maximum size of the response's body, in bytes.
    pub(super) fn max_response_bytes(&self) -> usize {
        match self {
            // Changes after a revision may be a whole list, too.
            Self::Store(..) => MAX_LIST_BYTES,
            Self::Explain(_) => MAX_DECISIONS_BYTES,
            Self::Claim => MAX_VERDICT_BYTES,
            Self::Origin(_) => MAX_ORIGIN_BYTES,
            Self::Revision => MAX_REVISION_BYTES,
            Self::Tunnel(_) | Self::Slot(_) => MAX_REFUSAL_BYTES,
            Self::Change | Self::SlotRejected(_) => MAX_ERROR_TEXT_BYTES,
        }
    }

    /// Creates the HTTP request.
    pub(super) fn with_body(&self, body: Bytes) -> Result<Request<Full<Bytes>>, StoreError> {
        let req = Request::builder()
            .method(self.method())
            .uri(self.path())
            .header(header::HOST, "router");
        let req = match self {
            Self::Tunnel(_) => req
                .header(header::CONNECTION, "upgrade")
                .header(header::UPGRADE, TunnelProtocol::Framed.name()),
            _ => req,
        };
        req.body(Full::new(body))
            .map_err(|e| StoreError::InvalidResponse(e.to_string()))
    }
}

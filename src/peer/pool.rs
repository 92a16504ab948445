//! Connections to peers, dialled when first needed and kept.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::{sync::mpsc::UnboundedReceiver, time::timeout};

use super::{
    WINDOW, codec,
    link::{Greeting, Link, PeerBytes},
    wire,
};
use crate::{
    Error, Result,
    claims::{ClaimStep, ClaimVerdict},
    config::{Change, Digest, Snapshot, Update},
    explain::DecisionRecord,
    ids::{ConversationKey, Incarnation, RequestId, Revision, TargetId, VmId},
    result_code::ResultCode,
    target::{Answer, Call, Header},
    walk::Wait,
};

/// How long a control call may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// The part of a window that is given back at once, so that credits stay few.
const CREDIT_STEP: usize = WINDOW / 4;

/// Why a call through a home has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// The home was not reached, so nothing was sent.
    Unreachable(String),
    /// The home ended the call with a code.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Duration,
        /// Where the chat's cached work lies, if the home knows.
        redirect: Vec<TargetId>,
        /// What happened, in a sentence.
        detail: String,
    },
    /// The connection to the home ended; the target may have run it.
    Lost(String),
}

impl OpenError {
    /// The code, the pause, the better target and the detail, as they travel.
    pub(super) fn into_parts(self) -> (ResultCode, Duration, Vec<TargetId>, String) {
        match self {
            Self::Unreachable(d) => (ResultCode::NoTarget, Duration::ZERO, Vec::new(), d),
            Self::Lost(d) => (ResultCode::OutcomeUnknown, Duration::ZERO, Vec::new(), d),
            Self::Refused {
                code,
                retry_after,
                redirect,
                detail,
            } => (code, retry_after, redirect, detail),
        }
    }
}

/// How a home is to admit a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The chat it belongs to.
    pub conversation: ConversationKey,
    /// Whether the target is the chat's first choice.
    pub anchor: bool,
    /// What it may wait for.
    pub wait: Wait,
}

/// What one router asks of another besides calls.
#[derive(Debug, Clone, PartialEq)]
pub enum Control {
    /// Changes after a revision.
    ConfigPull(Revision, Digest),
    /// A step of an unrepeatable call's claim.
    Claim(ClaimStep),
    /// The decisions on a request.
    Explain(RequestId),
}

/// What comes back.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlReply {
    /// What the asker lacks.
    Config(Update),
    /// What the keeper of the claim's shard says.
    Claim(ClaimVerdict),
    /// The decisions that the router remembers.
    Explain(Vec<DecisionRecord>),
}

/// All connections that this router dialled.
#[derive(Debug)]
pub struct PeerPool {
    greeting: Greeting,
    body_limit: usize,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    bytes: Arc<PeerBytes>,
}

impl PeerPool {
    /// A pool without connections.
    pub fn new(vm: VmId, incarnation: Incarnation, body_limit: usize) -> Self {
        Self {
            greeting: Greeting { vm, incarnation },
            body_limit,
            links: Mutex::default(),
            bytes: Arc::default(),
        }
    }

    /// Bytes of control frames sent and received on dialled connections.
    pub fn control_bytes(&self) -> u64 {
        self.bytes.control.load(Ordering::Relaxed)
    }

    /// Bytes of claims sent and received on dialled connections; they come with unrepeatable
    /// calls alone.
    pub fn claim_bytes(&self) -> u64 {
        self.bytes.claims.load(Ordering::Relaxed)
    }

    /// Sends a call to a target's home and waits for its answer's head.
    pub async fn open(
        &self,
        home: SocketAddr,
        call: Call,
        admission: Admission,
    ) -> Result<Answer, OpenError> {
        let limit = call.remaining;
        let link = self.link(home).await;
        let link = link.map_err(|e| OpenError::Unreachable(e.to_string()))?;
        let (id, rx) = link.stream();
        let guard = StreamGuard {
            link,
            id,
            live: true,
        };
        let sent = guard.link.send(open_frame(id, call, admission)).await;
        sent.map_err(|e| OpenError::Unreachable(e.to_string()))?;
        match timeout(limit, wait_head(guard, rx)).await {
            Ok(answer) => answer,
            Err(_) => Err(OpenError::Lost("no answer before the deadline".to_owned())),
        }
    }

    /// Asks something of a router.
    pub async fn control(&self, peer: SocketAddr, ask: Control) -> Result<ControlReply> {
        let link = self.link(peer).await?;
        let (id, mut rx) = link.stream();
        let _guard = StreamGuard {
            link: Arc::clone(&link),
            id,
            live: false,
        };
        let frame = control_frame(id, ask);
        self.count(&frame);
        link.send(frame).await?;
        let reply = timeout(CONTROL_TIMEOUT, rx.recv())
            .await
            .map_err(|_| Error::Protocol("no reply in time".to_owned()))?;
        to_reply(reply.ok_or_else(|| Error::Protocol("closed".to_owned()))?)
    }

    /// Tells the home of a chat's first choice where the chat went; may be lost.
    pub async fn placed(
        &self,
        home: SocketAddr,
        conversation: ConversationKey,
        first: &TargetId,
        target: &TargetId,
    ) {
        let frame = placed_frame(conversation, first, target);
        self.count(&frame);
        if let Ok(link) = self.link(home).await {
            link.try_send(frame);
        }
    }

    fn count(&self, frame: &wire::Frame) {
        let size = codec::encode(frame).map_or(0, |b| b.len());
        self.bytes.count(frame, size);
    }

    async fn link(&self, address: SocketAddr) -> Result<Arc<Link>> {
        let known = self.links.lock().get(&address).cloned();
        match known {
            Some(link) if link.is_open() => Ok(link),
            _ => {
                let bytes = Arc::clone(&self.bytes);
                let link = Link::dial(address, &self.greeting, self.body_limit, bytes).await?;
                self.links.lock().insert(address, Arc::clone(&link));
                Ok(link)
            }
        }
    }
}

/// Cancels a stream that is dropped before its end.
struct StreamGuard {
    link: Arc<Link>,
    id: i64,
    live: bool,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.link.forget(self.id);
        if self.live {
            let cancel = wire::Frame::Cancel(wire::Cancel { stream: self.id });
            self.link.try_send(cancel);
        }
    }
}

async fn wait_head(
    mut guard: StreamGuard,
    mut rx: UnboundedReceiver<wire::Frame>,
) -> Result<Answer, OpenError> {
    match rx.recv().await {
        Some(wire::Frame::Head(head)) => Ok(Answer {
            status: head.status as u16,
            headers: head.headers.into_iter().map(from_wire_header).collect(),
            body: body(guard, rx).boxed(),
        }),
        Some(wire::Frame::Refuse(refuse)) => {
            guard.live = false;
            Err(to_refused(refuse))
        }
        _ => Err(OpenError::Lost("the home closed the connection".to_owned())),
    }
}

struct BodyState {
    guard: StreamGuard,
    rx: UnboundedReceiver<wire::Frame>,
    taken: usize,
}

fn body(
    guard: StreamGuard,
    rx: UnboundedReceiver<wire::Frame>,
) -> impl futures::Stream<Item = Result<Bytes, ResultCode>> {
    let state = BodyState {
        guard,
        rx,
        taken: 0,
    };
    futures::stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        match state.rx.recv().await {
            Some(wire::Frame::Data(data)) => {
                state.give_credit(data.bytes.len()).await;
                Some((Ok(Bytes::from(data.bytes)), Some(state)))
            }
            Some(wire::Frame::Done(end)) if end.code == 0 => {
                state.guard.live = false;
                None
            }
            Some(wire::Frame::Done(end)) => {
                state.guard.live = false;
                let code = ResultCode::from_number(end.code.into());
                Some((Err(code.unwrap_or(ResultCode::Incomplete)), None))
            }
            _ => Some((Err(ResultCode::Incomplete), None)),
        }
    })
}

impl BodyState {
    async fn give_credit(&mut self, n: usize) {
        self.taken += n;
        if self.taken >= CREDIT_STEP {
            let credit = wire::Credit {
                stream: self.guard.id,
                bytes: std::mem::take(&mut self.taken) as i32,
            };
            // A connection that is gone shows at the next receive.
            let _ = self.guard.link.send(wire::Frame::Credit(credit)).await;
        }
    }
}

fn placed_frame(key: ConversationKey, first: &TargetId, target: &TargetId) -> wire::Frame {
    wire::Frame::Placed(wire::Placed {
        conversation: key.0 as i64,
        first: first.to_string(),
        target: target.to_string(),
    })
}

/// The bytes of the frame that tells a first choice's home where a chat went.
pub fn placed_size(key: ConversationKey, first: &TargetId, target: &TargetId) -> usize {
    codec::encode(&placed_frame(key, first, target)).map_or(0, |b| b.len())
}

fn open_frame(stream: i64, call: Call, admission: Admission) -> wire::Frame {
    wire::Frame::Open(wire::Open {
        stream,
        request: call.attempt.request.to_string(),
        attempt: call.attempt.number as i32,
        target: call.target.to_string(),
        method: call.method,
        path: call.path,
        headers: call.headers.into_iter().map(to_wire_header).collect(),
        body: call.body.into(),
        remaining_ms: call.remaining.as_millis() as i64,
        priority: call.priority.rank(),
        cost_tokens: call.cost.0 as i64,
        conversation: admission.conversation.0 as i64,
        wait: admission.wait.number(),
        anchor: admission.anchor,
    })
}

fn control_frame(call: i64, ask: Control) -> wire::Frame {
    match ask {
        Control::ConfigPull(revision, digest) => wire::Frame::ConfigPull(wire::ConfigPull {
            call,
            revision: revision.0 as i64,
            digest: digest.0.to_vec(),
        }),
        Control::Claim(step) => wire::Frame::ClaimAsk(wire::ClaimAsk {
            call,
            key: step.key.0.to_vec(),
            request: step.request.to_string(),
            step: step.kind.number(),
            outcome: step.outcome.into(),
        }),
        Control::Explain(request) => wire::Frame::ExplainAsk(wire::ExplainAsk {
            call,
            request: request.to_string(),
        }),
    }
}

fn to_reply(frame: wire::Frame) -> Result<ControlReply> {
    let json = |e: serde_json::Error| Error::Protocol(e.to_string());
    match frame {
        wire::Frame::ConfigChanges(f) if f.changes.is_empty() => {
            Ok(ControlReply::Config(Update::Current))
        }
        wire::Frame::ConfigChanges(f) => {
            let parse = |b: &Vec<u8>| serde_json::from_slice::<Change>(b).map(Arc::new);
            let changes = f.changes.iter().map(parse).collect::<Result<_, _>>();
            Ok(ControlReply::Config(Update::Changes(
                changes.map_err(json)?,
            )))
        }
        wire::Frame::ConfigSnapshot(f) => {
            let snapshot: Snapshot = serde_json::from_slice(&f.body).map_err(json)?;
            Ok(ControlReply::Config(Update::Whole(Box::new(snapshot))))
        }
        wire::Frame::ClaimAnswer(f) => {
            let verdict = ClaimVerdict::from_numbers(f.verdict, f.outcome);
            Ok(ControlReply::Claim(verdict))
        }
        wire::Frame::ExplainAnswer(f) => {
            let records = serde_json::from_slice(&f.body).map_err(json)?;
            Ok(ControlReply::Explain(records))
        }
        _ => Err(Error::Protocol("unexpected reply".to_owned())),
    }
}

fn to_refused(refuse: wire::Refuse) -> OpenError {
    let code = ResultCode::from_number(refuse.code.into());
    OpenError::Refused {
        code: code.unwrap_or(ResultCode::OutcomeUnknown),
        retry_after: Duration::from_millis(refuse.retry_after_ms.max(0) as u64),
        redirect: refuse
            .redirect
            .iter()
            .filter_map(|t| t.parse().ok())
            .collect(),
        detail: refuse.detail,
    }
}

pub(super) fn to_wire_header(h: Header) -> wire::WireHeader {
    wire::WireHeader {
        name: h.name,
        value: h.value.into(),
    }
}

pub(super) fn from_wire_header(h: wire::WireHeader) -> Header {
    Header {
        name: h.name,
        value: h.value.into(),
    }
}

//! Connections to targets that pass through this router, for peers that have no path of their own.
//!
//! A tunnel carries bytes, and knows nothing of calls: the router at its other end sends and counts them
//! as on a direct connection. Where one side of a tunnel closes or breaks, the other does the same, so
//! that a target notices a caller that left. That a target ended its connection in order is said in the
//! [frames](crate::tunnel_frames) of the answers, so that an answer that broke off does not look complete.

use std::{cell::Cell, io, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures::SinkExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header, header::HeaderValue, upgrade::Upgraded,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::codec::FramedWrite;

use super::{
    body::AnswerBody, conn::set_socket_options, gateway::Gateway, path_checks,
    tunnel_conn::TunnelProtocol,
};
use crate::{
    discovery::TargetRecord,
    ids::TargetId,
    lifecycle::Phase,
    target_record::TargetState,
    tunnel_frames::{MAX_PIECE_BYTES, TunnelCodec, TunnelFrame},
    units::Instant,
};

/// Silence after which a tunnel's connections are probed, and the interval between probes.
const PROBE_AFTER: Duration = Duration::from_secs(5);
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Silence after an answer's last bytes from which a tunnel counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(1);

/// Reason why a router opens no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub(super) enum TunnelRefusal {
    /// The router reaches other targets, but not this one.
    #[error("target down")]
    TargetDown,
    /// The router has no path to the target either.
    #[error("no path")]
    NoPath,
    /// The router does not send calls to the target.
    #[error("target not listed")]
    NotListed,
    /// The router has its maximum number of tunnels.
    #[error("too many tunnels")]
    TooMany,
    /// The router stops.
    #[error("stopping")]
    Stopping,
}

/// Tunnels of this router for its peers.
#[derive(Debug, Default)]
pub(crate) struct Tunnels {
    open: Cell<usize>,
    busy: Cell<usize>,
}

impl Tunnels {
    /// Returns the number of tunnels that a call may be using.
    pub(crate) fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Returns the number of open tunnels.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }
}

/// Counts a tunnel as open until it is dropped, and as busy while a call may be using it.
struct TunnelGuard {
    cx: Rc<Gateway>,
    is_busy: Cell<bool>,
}

impl TunnelGuard {
    fn new(cx: &Rc<Gateway>) -> Self {
        let tunnels = &cx.tunnels;
        tunnels.open.set(tunnels.open.get() + 1);
        Self {
            cx: Rc::clone(cx),
            is_busy: Cell::new(false),
        }
    }

    fn set_busy(&self, is_busy: bool) {
        let busy = &self.cx.tunnels.busy;
        match (self.is_busy.replace(is_busy), is_busy) {
            (false, true) => busy.set(busy.get() + 1),
            (true, false) => busy.set(busy.get() - 1),
            _ => {}
        }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.set_busy(false);
        let open = &self.cx.tunnels.open;
        open.set(open.get() - 1);
    }
}

/// Answers a peer's request for a tunnel to a target.
pub(super) async fn serve(
    cx: &Rc<Gateway>,
    mut req: Request<Incoming>,
    target: TargetId,
) -> Response<AnswerBody> {
    let opened = open(cx, &target).await;
    let (far, guard) = match opened {
        Ok(opened) => opened,
        Err(refusal) => {
            info!(cx.log, "tunnel refused"; "target" => %target, "why" => %refusal);
            cx.metrics.paths.on_tunnel_served(refusal.name());
            return refused(refusal);
        }
    };
    cx.metrics.paths.on_tunnel_served("opened");
    let protocol = TunnelProtocol::of(req.headers());
    let upgrade = hyper::upgrade::on(&mut req);
    tokio::task::spawn_local(async move {
        // The peer closed its connection before the tunnel was established.
        let Ok(upgraded) = upgrade.await else { return };
        if let Ok(near) = into_stream(upgraded) {
            carry(&guard, near, far, protocol).await;
        }
    });
    let mut res = Response::new(AnswerBody::whole(""));
    *res.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = res.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static(protocol.name()));
    res
}

impl TunnelRefusal {
    fn name(self) -> &'static str {
        match self {
            Self::TargetDown => "target_down",
            Self::NoPath => "no_path",
            Self::NotListed => "not_listed",
            Self::TooMany => "too_many",
            Self::Stopping => "stopping",
        }
    }
}

fn refused(refusal: TunnelRefusal) -> Response<AnswerBody> {
    let body = serde_json::to_vec(&refusal).unwrap_or_default();
    let mut res = Response::new(AnswerBody::whole(body));
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res
}

/// Returns the connection under an upgraded one; fails if bytes were read ahead.
pub(super) fn into_stream(upgraded: Upgraded) -> io::Result<TcpStream> {
    match upgraded.downcast::<TokioIo<TcpStream>>() {
        Ok(parts) if parts.read_buf.is_empty() => Ok(parts.io.into_inner()),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

async fn open(
    cx: &Rc<Gateway>,
    target: &TargetId,
) -> Result<(TcpStream, TunnelGuard), TunnelRefusal> {
    if cx.phase() != Phase::Serving {
        return Err(TunnelRefusal::Stopping);
    }
    if cx.tunnels.open() >= cx.cfg.max_tunnels {
        return Err(TunnelRefusal::TooMany);
    }
    let guard = TunnelGuard::new(cx);
    let target = listed(cx, target).ok_or(TunnelRefusal::NotListed)?;
    // A path that is only presumed to be lost is tried: the peer has none at all.
    let is_failing = cx.dispatcher.borrow().paths.is_failing(&target.id);
    if is_failing {
        cx.dispatcher.borrow_mut().paths.route(cx.now(), &target);
        return Err(not_reached(cx, &target).await);
    }
    match path_checks::dial(cx, &target).await {
        Ok(far) => Ok((far, guard)),
        Err(_) => Err(not_reached(cx, &target).await),
    }
}

/// Returns why this router does not reach a target: it is down, or this router is cut off.
async fn not_reached(cx: &Gateway, target: &TargetRecord) -> TunnelRefusal {
    match path_checks::is_sound(cx, target).await {
        true => TunnelRefusal::TargetDown,
        false => TunnelRefusal::NoPath,
    }
}

/// Returns a target to which this router would send calls itself.
fn listed(cx: &Gateway, target: &TargetId) -> Option<Rc<TargetRecord>> {
    let dispatcher = cx.dispatcher.borrow();
    let record = dispatcher.discovery.get(target)?;
    let is_withdrawn = dispatcher.withdrawals.get(cx.now(), target).is_some();
    (record.state == TargetState::Ready && !is_withdrawn).then(|| Rc::clone(record))
}

/// Passes bytes both ways until either side closes. An answer that the target has sent is still passed on if
/// the target takes no further bytes of its request.
async fn carry(guard: &TunnelGuard, near: TcpStream, far: TcpStream, protocol: TunnelProtocol) {
    set_socket_options(&near);
    keep_alive(&near);
    keep_alive(&far);
    let activity = Activity::new(guard.cx.now());
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let requests = pass_requests(near_read, far_write, || {
        activity.on_request(guard.cx.now());
        guard.set_busy(true);
    });
    let on_answer = || activity.on_answer(guard.cx.now());
    let answers = async {
        match protocol {
            TunnelProtocol::Framed => pass_framed(far_read, near_write, on_answer).await,
            TunnelProtocol::Bare => pass_bare(far_read, near_write, on_answer).await,
        }
    };
    let mut answers = pin!(answers);
    tokio::select! {
        end = requests => match end {
            RequestsEnd::CallerLeft => {}
            RequestsEnd::TargetTakesNoMore => answers.await,
        },
        () = &mut answers => {}
        () = follow_activity(guard, &activity) => {}
    }
}

/// Has the system probe a connection that is silent, so that a tunnel ends whose other end lost power.
///
/// The user timeout that [`set_socket_options`] sets also decides when probes give up, whatever their number.
fn keep_alive(stream: &TcpStream) {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL);
    // A tunnel without probes works as well, but may outlast its router.
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&probes);
}

/// Reason why a tunnel passes no further bytes of requests.
enum RequestsEnd {
    /// The peer closed the tunnel, or its connection broke.
    CallerLeft,
    /// The target closed its connection, or it broke.
    TargetTakesNoMore,
}

async fn pass_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    on_bytes: impl Fn(),
) -> RequestsEnd {
    let mut buf = vec![0; MAX_PIECE_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(0) | Err(_) => return RequestsEnd::CallerLeft,
            Ok(n) => n,
        };
        on_bytes();
        if to.write_all(&buf[..n]).await.is_err() {
            return RequestsEnd::TargetTakesNoMore;
        }
    }
}

/// Passes answers on in frames. Without [`TunnelFrame::End`], the peer takes the end of the tunnel for a break.
async fn pass_framed(mut from: OwnedReadHalf, to: OwnedWriteHalf, on_bytes: impl Fn()) {
    let mut frames = FramedWrite::new(to, TunnelCodec::default());
    let mut buf = vec![0; MAX_PIECE_BYTES];
    loop {
        let frame = match from.read(&mut buf).await {
            Ok(0) => TunnelFrame::End,
            Ok(n) => TunnelFrame::Piece(Bytes::copy_from_slice(&buf[..n])),
            Err(_) => return,
        };
        on_bytes();
        let is_end = frame == TunnelFrame::End;
        if frames.send(frame).await.is_err() || is_end {
            return;
        }
    }
}

/// Passes answers on as bare bytes, for a peer of an earlier version, which takes the end of the tunnel for the target's.
async fn pass_bare(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, on_bytes: impl Fn()) {
    let mut buf = vec![0; MAX_PIECE_BYTES];
    let result: io::Result<()> = loop {
        match from.read(&mut buf).await {
            Ok(0) => break Ok(()),
            Ok(n) => {
                on_bytes();
                if let Err(e) = to.write_all(&buf[..n]).await {
                    break Err(e);
                }
            }
            Err(e) => break Err(e),
        }
    };
    if result.is_err() {
        // An answer without a length ends with its connection, so a break must not look like an end: the
        // connection is reset, without the end that dropping the half would send first.
        let _ = socket2::SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
        to.forget();
    }
}

/// When bytes last passed a tunnel, and in which direction.
struct Activity {
    at: Cell<Instant>,
    is_answer: Cell<bool>,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self {
            at: Cell::new(now),
            is_answer: Cell::new(true),
        }
    }

    fn on_request(&self, now: Instant) {
        self.at.set(now);
        self.is_answer.set(false);
    }

    fn on_answer(&self, now: Instant) {
        self.at.set(now);
        self.is_answer.set(true);
    }

    /// Returns whether no call seems to be using the tunnel.
    fn is_idle(&self, now: Instant) -> bool {
        self.is_answer.get() && now.since(self.at.get()) >= IDLE_AFTER
    }
}

/// Counts the tunnel as idle after each call, until the tunnel ends.
async fn follow_activity(guard: &TunnelGuard, activity: &Activity) {
    loop {
        tokio::time::sleep(IDLE_AFTER).await;
        if activity.is_idle(guard.cx.now()) {
            guard.set_busy(false);
        }
    }
}

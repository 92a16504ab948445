//! Connections of callers and operators, followed until their answers have arrived.
//!
//! A planned stop waits for them, and a connection is closed only when the other side's system has taken what
//! was written: what the operating system holds for a closed connection is lost without notice if the other
//! side reads nothing for a while.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::{
    Response, Version,
    body::{Body, Frame, SizeHint},
};
use slog::{info, warn};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{
    body::{AnswerBody, StreamAborted},
    conn::UNACKED_TIMEOUT,
    flow::OfferedBytes,
    gateway::Gateway,
    send_queue::unacked_bytes,
};
use crate::{
    delivery::{Delivery, DeliveryState},
    units::Instant,
};

/// Interval at which a connection that is about to close is checked.
const LINGER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of bytes that are discarded per check from a connection that is about to close.
const DISCARDED_BYTES: usize = 16 << 10;

/// Maximum time for which the rest of a refused request is read.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Maximum number of bytes of a refused request that are read and dropped.
const MAX_DRAINED_BYTES: u64 = 8 << 20;

/// What a connection does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum ConnState {
    /// It waits for a request.
    #[default]
    Idle,
    /// A request is being served, and its answer has not begun.
    Serving,
    /// An answer is being sent.
    Answering,
}

/// The open connections of a router.
#[derive(Default)]
pub(crate) struct Deliveries {
    conns: RefCell<HashMap<u64, Weak<FollowedConn>>>,
    last_id: Cell<u64>,
    is_failure_logged: Cell<bool>,
}

impl Deliveries {
    /// Returns the number of connections of which an answer, or a part of one, has not arrived.
    pub(super) fn pending(&self) -> usize {
        let conns = self.conns.borrow();
        let conns = conns.values().filter_map(Weak::upgrade);
        conns.filter(|conn| conn.is_pending()).count()
    }

    /// Returns whether all answers have arrived.
    pub(super) fn is_all_delivered(&self) -> bool {
        let conns = self.conns.borrow();
        let mut conns = conns.values().filter_map(Weak::upgrade);
        !conns.any(|conn| conn.is_pending())
    }
}

/// A connection whose answers are followed.
pub(super) struct FollowedConn {
    cx: Rc<Gateway>,
    id: u64,
    socket: RefCell<TcpStream>,
    delivery: RefCell<Delivery>,
    state: Cell<ConnState>,
    /// Whether the latest answer ends with the connection if its length is not known.
    ends_by_close: Cell<bool>,
    /// Whether an answer broke off that an end of the connection would complete.
    is_cut_short: Cell<bool>,
    /// Instant at which the connection became idle, or of the last byte since.
    idle_since: Cell<Instant>,
}

impl Drop for FollowedConn {
    fn drop(&mut self) {
        self.cx.deliveries.conns.borrow_mut().remove(&self.id);
    }
}

impl FollowedConn {
    /// Follows a connection that was just accepted.
    pub(super) fn new(cx: &Rc<Gateway>, socket: TcpStream) -> Rc<Self> {
        let deliveries = &cx.deliveries;
        let id = deliveries.last_id.get() + 1;
        deliveries.last_id.set(id);
        let unacked = unacked_bytes(&socket);
        let delivery = Delivery::new(unacked.as_ref().ok().copied());
        let conn = Rc::new(Self {
            cx: Rc::clone(cx),
            id,
            socket: RefCell::new(socket),
            delivery: RefCell::new(delivery),
            state: Cell::default(),
            ends_by_close: Cell::default(),
            is_cut_short: Cell::default(),
            idle_since: Cell::new(cx.now()),
        });
        if !conn.delivery.borrow().is_measured() {
            conn.log_unknown(&unacked);
        }
        let mut conns = deliveries.conns.borrow_mut();
        conns.insert(id, Rc::downgrade(&conn));
        drop(conns);
        conn
    }

    /// Returns what the connection does.
    pub(super) fn state(&self) -> ConnState {
        self.state.get()
    }

    /// Returns for how long no byte has passed on the connection since it became idle.
    pub(super) fn idle_time(&self) -> Duration {
        self.cx.now().since(self.idle_since.get())
    }

    /// Returns whether bytes have arrived that are not read yet.
    pub(super) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket2::SockRef::from(&*socket).peek(&mut byte);
        // An error is reported when the socket is read.
        peeked.is_ok_and(|n| n > 0)
    }

    /// Returns the connection for reading and writing.
    pub(super) fn io(self: &Rc<Self>) -> FollowedIo {
        FollowedIo(Rc::clone(self))
    }

    /// Handles a request on the connection. A caller that uses HTTP/1.0 knows no chunks.
    pub(super) fn on_request(&self, version: Version) {
        self.delivery.borrow_mut().on_request();
        self.ends_by_close.set(version == Version::HTTP_10);
        self.set_state(ConnState::Serving);
    }

    /// Follows the answer to the latest request.
    pub(super) fn follow(self: &Rc<Self>, answer: Response<AnswerBody>) -> Response<FollowedBody> {
        self.set_state(ConnState::Answering);
        if self.ends_by_close.get() && answer.body().size_hint().exact().is_none() {
            self.set_reset_on_close(true);
        }
        answer.map(|body| FollowedBody {
            body,
            conn: Rc::clone(self),
        })
    }

    /// Has the connection reset when it is closed, so that the operating system discards what the caller has
    /// not read.
    pub(super) fn reset(&self) {
        self.delivery.borrow_mut().on_closed();
        self.set_reset_on_close(true);
    }

    /// Sets whether the operating system resets the connection when it is closed, also if the process is killed.
    fn set_reset_on_close(&self, reset: bool) {
        let socket = self.socket.borrow();
        // Without the option, the system ends the connection in order, and discards the bytes that are not read after
        // `UNACKED_TIMEOUT`.
        let _ = socket2::SockRef::from(&*socket).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Reads and drops the rest of a refused request, up to a bound. A close with unread bytes resets the
    /// connection, and the caller may lose the answer.
    pub(super) async fn drain_request(self: &Rc<Self>) {
        self.shut_down_writing();
        let mut rest = self.io().take(MAX_DRAINED_BYTES);
        let mut sink = tokio::io::sink();
        let reading = tokio::io::copy(&mut rest, &mut sink);
        // Whatever ends it, the connection is closed next.
        let _ = tokio::time::timeout(MAX_DRAIN_TIME, reading).await;
    }

    /// Ends the writing side, and waits until the other side's system has taken everything that was written,
    /// has closed the connection, or takes nothing any more. Returns early if too many connections are open.
    /// An answer that broke off does not end in order where that would complete it.
    pub(super) async fn linger(&self) {
        self.delivery.borrow_mut().on_closed();
        match self.is_cut_short.get() {
            true => {
                self.wait_for_delivery().await;
                self.reset();
            }
            false => {
                self.shut_down_writing();
                self.wait_for_delivery().await;
            }
        }
    }

    /// What arrives meanwhile is discarded: closing a connection with unread bytes would reset it.
    async fn wait_for_delivery(&self) {
        let mut last = (self.unacked().ok(), self.cx.now());
        while self.is_pending() && self.has_room() && self.discard_arrived().is_ok() {
            tokio::time::sleep(LINGER_CHECK_INTERVAL).await;
            let (unacked, now) = (self.unacked().ok(), self.cx.now());
            match last {
                (n, at) if n == unacked && now.since(at) >= UNACKED_TIMEOUT => {
                    info!(self.cx.log, "answer not read"; "unacked_bytes" => unacked);
                    return;
                }
                (n, _) if n != unacked => last = (unacked, now),
                _ => {}
            }
        }
    }

    fn shut_down_writing(&self) {
        // The other side may have closed the connection already.
        let _ = socket2::SockRef::from(&*self.socket.borrow()).shutdown(Shutdown::Write);
    }

    fn set_state(&self, state: ConnState) {
        self.state.set(state);
        self.on_bytes();
    }

    fn on_bytes(&self) {
        self.idle_since.set(self.cx.now());
    }

    fn has_room(&self) -> bool {
        let max = self.cx.cfg.max_connections;
        self.cx.deliveries.conns.borrow().len() <= max
    }

    fn discard_arrived(&self) -> io::Result<()> {
        let mut buf = [0; DISCARDED_BYTES];
        match self.socket.borrow().try_read(&mut buf) {
            Err(e) if e.kind() != io::ErrorKind::WouldBlock => Err(e),
            _ => Ok(()),
        }
    }

    fn unacked(&self) -> io::Result<u64> {
        unacked_bytes(&*self.socket.borrow())
    }

    fn is_pending(&self) -> bool {
        let unacked = self.unacked();
        let state = self
            .delivery
            .borrow_mut()
            .state(unacked.as_ref().ok().copied());
        if state == DeliveryState::Unknown {
            self.log_unknown(&unacked);
        }
        state == DeliveryState::Pending
    }

    fn log_unknown(&self, unacked: &io::Result<u64>) {
        if self.cx.deliveries.is_failure_logged.replace(true) {
            return;
        }
        let error = unacked.as_ref().err().map(ToString::to_string);
        warn!(self.cx.log, "unsent bytes unknown, stops wait only for what the process holds";
            "figure" => unacked.as_ref().ok(), "why" => error);
    }
}

/// Reads and writes a connection, and counts what its socket has taken.
pub(super) struct FollowedIo(Rc<FollowedConn>);

impl FollowedIo {
    fn on_written(&self, written: io::Result<usize>) -> Poll<io::Result<usize>> {
        self.0.on_bytes();
        if let Ok(n) = written {
            self.0.delivery.borrow_mut().on_written(n);
        }
        Poll::Ready(written)
    }
}

impl AsyncRead for FollowedIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut *self.0.socket.borrow_mut()).poll_read(cx, buf);
        if polled.is_ready() {
            self.0.on_bytes();
        }
        polled
    }
}

impl AsyncWrite for FollowedIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.0.socket.borrow_mut()).poll_write(cx, buf));
        self.on_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut socket = self.0.socket.borrow_mut();
        let written = ready!(Pin::new(&mut *socket).poll_write_vectored(cx, bufs));
        drop(socket);
        self.on_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut *self.0.socket.borrow_mut()).poll_flush(cx))?;
        self.0.delivery.borrow_mut().on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.socket.borrow_mut()).poll_shutdown(cx)
    }
}

/// Body of an answer that is followed. The HTTP library drops it when it has taken the last part.
pub(super) struct FollowedBody {
    body: AnswerBody,
    conn: Rc<FollowedConn>,
}

impl Drop for FollowedBody {
    fn drop(&mut self) {
        self.conn.delivery.borrow_mut().on_answer_end();
        self.conn.set_state(ConnState::Idle);
    }
}

impl Body for FollowedBody {
    type Data = OfferedBytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<OfferedBytes>, StreamAborted>>> {
        let body = self.get_mut();
        let polled = Pin::new(&mut body.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Err(StreamAborted))) => {
                body.conn.is_cut_short.set(body.conn.ends_by_close.get());
            }
            Poll::Ready(None) if body.conn.ends_by_close.get() => {
                body.conn.set_reset_on_close(false);
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

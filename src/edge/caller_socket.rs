//! Socket of a caller's connection, and whether the connection is idle.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Response,
    body::{Body, Frame, SizeHint},
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};

use super::{
    body::StreamAborted,
    deliveries::{FollowedBody, FollowedConn, FollowedIo},
    gateway::Gateway,
};
use crate::units::Instant;

/// Maximum time for which the rest of a refused request is read.
const MAX_LINGER: Duration = Duration::from_secs(2);

/// Maximum number of bytes of a refused request that are read and dropped.
const MAX_LINGER_BYTES: u64 = 8 << 20;

/// What a caller's connection does.
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

/// Socket of a caller's connection.
pub(super) struct CallerSocket {
    cx: Rc<Gateway>,
    conn: Rc<FollowedConn>,
    state: Cell<ConnState>,
    /// Instant at which the connection became idle, or of the last byte since.
    idle_since: Cell<Instant>,
}

impl CallerSocket {
    /// Creates the socket of a connection that was just opened.
    pub(super) fn new(cx: &Rc<Gateway>, conn: &Rc<FollowedConn>) -> Rc<Self> {
        Rc::new(Self {
            cx: Rc::clone(cx),
            conn: Rc::clone(conn),
            state: Cell::default(),
            idle_since: Cell::new(cx.now()),
        })
    }

    /// Returns the connection for reading and writing.
    pub(super) fn io(self: &Rc<Self>) -> CallerIo {
        CallerIo {
            io: self.conn.io(),
            socket: Rc::clone(self),
        }
    }

    /// Returns what the connection does.
    pub(super) fn state(&self) -> ConnState {
        self.state.get()
    }

    /// Returns for how long no byte has passed on the connection since it became idle.
    pub(super) fn idle_time(&self) -> Duration {
        self.cx.now().since(self.idle_since.get())
    }

    /// Returns whether bytes of the caller have arrived and are not read yet.
    pub(super) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // An error is reported when the socket is read.
        let peeked = (self.conn).with_socket(|s| socket2::SockRef::from(s).peek(&mut byte));
        peeked.is_ok_and(|n| n > 0)
    }

    /// Reads and drops what the caller still sends, up to a bound. A close with unread bytes resets the
    /// connection, and the caller may lose the answer.
    pub(super) async fn linger(self: &Rc<Self>) {
        // The caller may have closed the connection already.
        let _ = (self.conn).with_socket(|s| socket2::SockRef::from(s).shutdown(Shutdown::Write));
        let mut rest = self.io().take(MAX_LINGER_BYTES);
        let mut sink = tokio::io::sink();
        let reading = tokio::io::copy(&mut rest, &mut sink);
        // Whatever ends it, the connection is closed next.
        let _ = tokio::time::timeout(MAX_LINGER, reading).await;
    }

    fn set_state(&self, state: ConnState) {
        self.state.set(state);
        self.on_bytes();
    }

    fn on_bytes(&self) {
        self.idle_since.set(self.cx.now());
    }
}

/// A request that is being served; the connection is idle again once it is dropped.
pub(super) struct BusyGuard(Rc<CallerSocket>);

impl BusyGuard {
    /// Records that a request has arrived.
    pub(super) fn new(socket: &Rc<CallerSocket>) -> Self {
        socket.set_state(ConnState::Serving);
        Self(Rc::clone(socket))
    }

    /// Keeps the connection busy until the body of the answer is sent or dropped.
    pub(super) fn guard(self, res: Response<FollowedBody>) -> Response<GuardedBody> {
        self.0.set_state(ConnState::Answering);
        res.map(|body| GuardedBody { body, _busy: self })
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set_state(ConnState::Idle);
    }
}

/// Body of an answer, during which the connection is busy.
pub(super) struct GuardedBody {
    body: FollowedBody,
    _busy: BusyGuard,
}

impl Body for GuardedBody {
    type Data = <FollowedBody as Body>::Data;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, StreamAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads and writes a caller's socket, and records when bytes pass.
pub(super) struct CallerIo {
    io: FollowedIo,
    socket: Rc<CallerSocket>,
}

impl CallerIo {
    fn poll<T>(
        &mut self,
        io: impl FnOnce(Pin<&mut FollowedIo>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let polled = io(Pin::new(&mut self.io));
        if polled.is_ready() {
            self.socket.on_bytes();
        }
        polled
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll(|io| io.poll_read(cx, buf))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll(|io| io.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll(|io| io.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

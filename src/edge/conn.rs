//! Pool of connections to targets. They are opened when needed, and reused while the target keeps them open.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::AbortHandle,
};

use crate::{ids::TargetId, units::Instant};

/// Maximum time to open a connection. Within a data hall it takes one millisecond. A lost SYN packet is
/// sent again only after a second, by when another target has answered.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of the read buffer of a target's connection, and so of the head of an answer, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Time for which sent bytes may stay unacknowledged before the operating system closes the connection.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_secs(6);

/// Fraction of a target's `Keep-Alive` timeout for which an idle connection is used again.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Time for which an idle connection is used again if the target states no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);

/// Initial maximum idle time after which a connection may carry a call that must not be sent twice: half of
/// the `Keep-Alive` timeout of the targets at the users' sites.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_secs(5);

/// Minimum to which that idle time is reduced when idle connections turn out to be closed without notice.
const MIN_UNREPEATABLE_IDLE: Duration = Duration::from_millis(250);

/// Interval in which that idle time doubles again after a reduction.
const IDLE_DOUBLING_INTERVAL: Duration = Duration::from_secs(15);

/// One open connection; dropping it closes it.
pub(crate) struct Conn {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    target: TargetId,
    /// Address of the peer through which the connection passes; `None` if it is direct.
    via: Option<SocketAddr>,
    pool: Rc<ConnPool>,
    idle_time: Option<Duration>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
        self.pool.on_close(&self.target);
    }
}

impl Conn {
    /// Returns how long the connection was idle before this call; `None` if it was opened for the call.
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// Returns whether the connection passes through a peer.
    pub(crate) fn is_tunnel(&self) -> bool {
        self.via.is_some()
    }
}

struct IdleConn {
    conn: Conn,
    since: Instant,
    until: Instant,
}

/// Reason why no connection to a target could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// This router has as many connections to the target as its share allows.
    AtLimit,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The target did not accept in time, or the network path to it is broken.
    Unreachable,
    /// Neither this router nor the peers that it asked have a network path to the target.
    NoPath,
}

impl ConnectError {
    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::AtLimit => "connections at limit",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::NoPath => "no path",
        }
    }
}

/// Connections of this router to all targets, idle or in use.
#[derive(Default)]
pub(crate) struct ConnPool {
    idle: RefCell<HashMap<TargetId, Vec<IdleConn>>>,
    open: RefCell<HashMap<TargetId, usize>>,
    reduced_idle: Cell<Option<ReducedIdle>>,
}

/// Reduced maximum idle time for calls that must not be sent twice, and when it was reduced.
#[derive(Debug, Clone, Copy)]
struct ReducedIdle {
    max_idle: Duration,
    since: Instant,
}

impl ConnPool {
    /// Takes an idle connection, the most recently used one first. For a call that must not be sent twice
    /// (`repeatable` is false), only one that has not been idle for long is taken. Direct connections are
    /// taken only if `direct` is set.
    pub(crate) fn take(
        &self,
        now: Instant,
        target: &TargetId,
        repeatable: bool,
        direct: bool,
    ) -> Option<Conn> {
        let max_idle = match repeatable {
            true => Duration::MAX,
            false => self.unrepeatable_idle(now),
        };
        let mut all = self.idle.borrow_mut();
        let conns = all.get_mut(target)?;
        loop {
            let usable = |r: &IdleConn| direct || r.conn.is_tunnel();
            let latest = conns.remove(conns.iter().rposition(usable)?);
            let idle_time = now.since(latest.since);
            match () {
                // The connections below it were idle even longer. All of them can still carry calls that may
                // be repeated.
                () if idle_time > max_idle => {
                    conns.push(latest);
                    return None;
                }
                () if latest.conn.sender.is_ready() && now < latest.until => {
                    let mut conn = latest.conn;
                    conn.idle_time = Some(idle_time);
                    return Some(conn);
                }
                () => {}
            }
        }
    }

    /// Handles a connection that broke under a call after it was idle for `idle_time`. Others may be closed
    /// as well, so the maximum idle time for calls that must not be sent twice is reduced to at most half of
    /// `idle_time`, but not below its minimum.
    pub(crate) fn on_idle_conn_broke(&self, now: Instant, idle_time: Duration) {
        let max_idle = self.unrepeatable_idle(now).min(idle_time / 2);
        self.reduced_idle.set(Some(ReducedIdle {
            max_idle: max_idle.max(MIN_UNREPEATABLE_IDLE),
            since: now,
        }));
    }

    fn unrepeatable_idle(&self, now: Instant) -> Duration {
        let Some(reduced) = self.reduced_idle.get() else {
            return MAX_UNREPEATABLE_IDLE;
        };
        let doublings = now.since(reduced.since).as_secs() / IDLE_DOUBLING_INTERVAL.as_secs();
        let max_idle = reduced.max_idle * 2u32.saturating_pow(doublings.min(16) as u32);
        max_idle.min(MAX_UNREPEATABLE_IDLE)
    }

    /// Counts a connection that is about to be opened, unless `limit` connections to the target are open
    /// or being opened already.
    pub(super) fn begin_open(
        self: &Rc<Self>,
        target: &TargetId,
        limit: usize,
    ) -> Result<OpeningGuard, ConnectError> {
        if self.open_count(target) >= limit {
            return Err(ConnectError::AtLimit);
        }
        *self.open.borrow_mut().entry(target.clone()).or_default() += 1;
        Ok(OpeningGuard {
            pool: Rc::clone(self),
            target: target.clone(),
        })
    }

    /// Puts a connection that was opened without a call into the pool.
    pub(super) async fn adopt_idle(
        self: &Rc<Self>,
        now: Instant,
        target: &TargetId,
        stream: TcpStream,
    ) {
        let Ok(opening) = self.begin_open(target, usize::MAX) else {
            return;
        };
        if let Ok(conn) = opening.finish(stream, None).await {
            self.put_idle(now, conn, None);
        }
    }

    /// Returns whether any idle connection passes through a peer.
    pub(super) fn has_tunnels(&self) -> bool {
        let all = self.idle.borrow();
        all.values().flatten().any(|r| r.conn.via.is_some())
    }

    /// Closes idle connections through the peers that `is_gone` names.
    pub(super) fn close_idle_tunnels(&self, is_gone: impl Fn(SocketAddr) -> bool) {
        self.close_idle_where(|conn| conn.via.is_some_and(&is_gone));
    }

    /// Closes the idle direct connections to a target.
    pub(super) fn close_idle_direct(&self, target: &TargetId) {
        self.close_idle_where(|conn| conn.target == *target && conn.via.is_none());
    }

    fn close_idle_where(&self, is_lost: impl Fn(&Conn) -> bool) {
        let mut lost = Vec::new();
        for conns in self.idle.borrow_mut().values_mut() {
            lost.extend(conns.extract_if(.., |r| is_lost(&r.conn)));
        }
        // Dropping a connection changes the counts of the pool.
        drop(lost);
    }

    /// Puts a connection whose call has ended into the pool. It is used again for a fraction of the target's
    /// `Keep-Alive` timeout.
    pub(crate) fn put_idle(&self, now: Instant, conn: Conn, keep_alive: Option<Duration>) {
        let idle_limit = keep_alive.map_or(DEFAULT_IDLE_TIME, |t| t.mul_f64(KEEP_ALIVE_FRACTION));
        let target = conn.target.clone();
        let idle_conn = IdleConn {
            conn,
            since: now,
            until: now + idle_limit,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(target).or_default().push(idle_conn);
    }

    /// Closes idle connections whose time has run out or that the target has closed.
    pub(crate) fn on_tick(&self, now: Instant) {
        let mut expired = Vec::new();
        let mut all = self.idle.borrow_mut();
        for conns in all.values_mut() {
            let usable = |r: &IdleConn| now < r.until && !r.conn.sender.is_closed();
            expired.extend(conns.extract_if(.., |r| !usable(r)));
        }
        all.retain(|_, conns| !conns.is_empty());
        drop(all);
        drop(expired);
    }

    /// Closes all idle connections to a target that was removed.
    pub(crate) fn close_idle(&self, target: &TargetId) {
        let conns = self.idle.borrow_mut().remove(target);
        drop(conns);
    }

    /// Returns the number of connections to a target that are idle, in use or being opened.
    pub(crate) fn open_count(&self, target: &TargetId) -> usize {
        self.open.borrow().get(target).copied().unwrap_or(0)
    }

    fn on_close(&self, target: &TargetId) {
        let mut open = self.open.borrow_mut();
        if let Some(n) = open.get_mut(target) {
            *n = n.saturating_sub(1);
        }
        open.retain(|_, n| *n > 0);
    }
}

/// Counts a connection that is being opened; if the attempt fails, dropping it takes the count back.
pub(super) struct OpeningGuard {
    pool: Rc<ConnPool>,
    target: TargetId,
}

impl OpeningGuard {
    /// Starts HTTP on a connection to the target, which passes through the peer at `via` if given.
    pub(super) async fn finish<S>(
        self,
        stream: S,
        via: Option<SocketAddr>,
    ) -> Result<Conn, ConnectError>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Unreachable)?;
        let task = tokio::task::spawn_local(async move {
            // An error also reaches the call that waits for an answer on the connection.
            let _ = connection.await;
        });
        let (pool, target) = (Rc::clone(&self.pool), self.target.clone());
        std::mem::forget(self);
        Ok(Conn {
            sender,
            task: task.abort_handle(),
            target,
            via,
            pool,
            idle_time: None,
        })
    }
}

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        self.pool.on_close(&self.target);
    }
}

/// Sets the socket options of each of the gateway's connections.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    // Both options only make things faster; a connection without them still works.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}

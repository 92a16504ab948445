//! Connections to targets: opened when needed, kept while the target keeps them.

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
use tokio::{net::TcpStream, task::AbortHandle};

use crate::{ids::TargetId, units::Instant};

/// How long a connection may take to open. Within a data hall it takes one millisecond; an opening
/// packet that was lost is sent again after a second, by when another target has answered.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The most of a target's answer that is read ahead, in bytes.
const HEAD_LIMIT: usize = 64 << 10;

/// How long bytes may stay unacknowledged before the system gives a connection up.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_secs(6);

/// The part of a target's `Keep-Alive` time for which a resting connection is used again.
const REST_PART: f64 = 0.7;

/// How long a connection rests where the target tells no time.
const REST_UNTOLD: Duration = Duration::from_secs(2);

/// The longest rest at first after which a connection carries a call that must not be sent twice:
/// half of the time that targets of the users' sites tell.
const CAREFUL_REST: Duration = Duration::from_secs(5);

/// The least that it falls to when connections turn out to be closed without a word.
const CAREFUL_REST_LEAST: Duration = Duration::from_millis(250);

/// How long it takes to double again after that.
const CAREFUL_REST_DOUBLES: Duration = Duration::from_secs(15);

/// One open connection; dropping it closes it.
pub(crate) struct Conn {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    target: TargetId,
    pool: Rc<ConnPool>,
    rested: Option<Duration>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
        self.pool.on_close(&self.target);
    }
}

impl Conn {
    /// How long it rested before this call; `None` if it was opened for it.
    pub(crate) fn rested(&self) -> Option<Duration> {
        self.rested
    }
}

struct Resting {
    conn: Conn,
    since: Instant,
    until: Instant,
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoConn {
    /// This router has as many to the target as its share allows.
    AtLimit,
    /// The target refused: nothing listens there.
    Refused,
    /// The target did not accept in time, or the way there is broken.
    Unreachable,
}

/// All connections to targets.
#[derive(Default)]
pub(crate) struct ConnPool {
    resting: RefCell<HashMap<TargetId, Vec<Resting>>>,
    open: RefCell<HashMap<TargetId, usize>>,
    careful: Cell<Option<CarefulRest>>,
}

/// The longest rest for calls that must not be sent twice, since it was cut.
#[derive(Debug, Clone, Copy)]
struct CarefulRest {
    longest: Duration,
    since: Instant,
}

impl ConnPool {
    /// A connection that rested, the one used last first. One for a call that must not be sent
    /// twice has not rested for long.
    pub(crate) fn take(&self, now: Instant, target: &TargetId, repeatable: bool) -> Option<Conn> {
        let longest = match repeatable {
            true => Duration::MAX,
            false => self.careful_rest(now),
        };
        let mut all = self.resting.borrow_mut();
        let conns = all.get_mut(target)?;
        loop {
            let last = conns.pop()?;
            let rested = now.since(last.since);
            match () {
                // Those below it rested even longer, and still serve calls that may be repeated.
                () if rested > longest => {
                    conns.push(last);
                    return None;
                }
                () if last.conn.sender.is_ready() && now < last.until => {
                    let mut conn = last.conn;
                    conn.rested = Some(rested);
                    return Some(conn);
                }
                () => {}
            }
        }
    }

    /// A connection broke under a call after it had rested: others may be closed as well.
    pub(crate) fn on_broke_after(&self, now: Instant, rested: Duration) {
        let longest = self.careful_rest(now).min(rested / 2);
        self.careful.set(Some(CarefulRest {
            longest: longest.max(CAREFUL_REST_LEAST),
            since: now,
        }));
    }

    fn careful_rest(&self, now: Instant) -> Duration {
        let Some(careful) = self.careful.get() else {
            return CAREFUL_REST;
        };
        let doublings = now.since(careful.since).as_secs() / CAREFUL_REST_DOUBLES.as_secs();
        let longest = careful.longest * 2u32.saturating_pow(doublings.min(16) as u32);
        longest.min(CAREFUL_REST)
    }

    /// Opens a connection, unless there are `limit` already.
    pub(crate) async fn open(
        self: &Rc<Self>,
        target: &TargetId,
        address: SocketAddr,
        limit: usize,
    ) -> Result<Conn, NoConn> {
        if self.open_count(target) >= limit {
            return Err(NoConn::AtLimit);
        }
        *self.open.borrow_mut().entry(target.clone()).or_default() += 1;
        let counted = Counted {
            pool: Rc::clone(self),
            target: target.clone(),
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, dial(address)).await;
        let (sender, task) = match opened {
            Ok(Ok(dialled)) => dialled,
            Ok(Err(e)) if e.is_refused() => return Err(NoConn::Refused),
            Ok(Err(_)) | Err(_) => return Err(NoConn::Unreachable),
        };
        std::mem::forget(counted);
        Ok(Conn {
            sender,
            task,
            target: target.clone(),
            pool: Rc::clone(self),
            rested: None,
        })
    }

    /// Keeps a connection whose call has ended, for as long as the target does.
    pub(crate) fn rest(&self, now: Instant, conn: Conn, keep_alive: Option<Duration>) {
        let rest = keep_alive.map_or(REST_UNTOLD, |t| t.mul_f64(REST_PART));
        let target = conn.target.clone();
        let resting = Resting {
            conn,
            since: now,
            until: now + rest,
        };
        let mut all = self.resting.borrow_mut();
        all.entry(target).or_default().push(resting);
    }

    /// Closes connections that rested long enough.
    pub(crate) fn on_tick(&self, now: Instant) {
        let mut over = Vec::new();
        let mut all = self.resting.borrow_mut();
        for conns in all.values_mut() {
            let usable = |r: &Resting| now < r.until && !r.conn.sender.is_closed();
            over.extend(conns.extract_if(.., |r| !usable(r)));
        }
        all.retain(|_, conns| !conns.is_empty());
        drop(all);
        drop(over);
    }

    /// Closes all resting connections to a target that is gone.
    pub(crate) fn forget(&self, target: &TargetId) {
        let conns = self.resting.borrow_mut().remove(target);
        drop(conns);
    }

    /// Connections to a target, at rest or in use.
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

/// Counts an opening connection until it is open or given up.
struct Counted {
    pool: Rc<ConnPool>,
    target: TargetId,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.pool.on_close(&self.target);
    }
}

type Dialled = (SendRequest<Full<Bytes>>, AbortHandle);

async fn dial(address: SocketAddr) -> crate::Result<Dialled> {
    let stream = TcpStream::connect(address).await?;
    prepare(&stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| crate::Error::Protocol(e.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        // Its end reaches whoever waits for an answer on it.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

/// The options that each connection of the gateway has.
pub(crate) fn prepare(stream: &TcpStream) {
    // Both only make things quicker; a connection without them still works.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}

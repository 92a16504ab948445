//! Serves connections of callers, readiness checks of the load balancer, and scrapers of metrics.

use std::{cell::Cell, convert::Infallible, error::Error, io, pin::Pin, rc::Rc, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::AnswerBody,
    call,
    conn::set_socket_options,
    deliveries::{ConnState, FollowedConn},
    flow::{self, CallerConn},
    gateway::Gateway,
    task,
};
use crate::lifecycle::Phase;

/// Pause after a connection could not be accepted, most likely because the process is out of file
/// descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time by which a caller's connection may exceed the idle timeout before it is closed, so that callers
/// that keep to the timeout never encounter the close.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Interval at which a connection is checked for the idle timeout, which may change meanwhile.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum buffer size in bytes that the server side of the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Number of bytes that the operating system takes for a caller beyond those that are on their way, which
/// its congestion control bounds. A usual answer fits, and 1,900 callers take 30 MB. A smaller send buffer
/// (`SO_SNDBUF`) would bound both, but delays answers that are larger than it by 40 ms for each delayed
/// acknowledgement: 1 MB took 540 ms in place of 7 ms on loopback.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Maximum time for a request head to arrive on a connection that was just opened or is idle. The idle
/// time is limited separately.
const MAX_HEADER_TIMEOUT: Duration = Duration::from_mins(2);

/// Accepts connections of callers until the process ends.
pub(super) async fn serve_callers(cx: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            warn!(cx.log, "caller connection not accepted"; "open" => open.get());
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= cx.cfg.max_connections {
            warn!(cx.log, "caller connection rejected, too many open"; "open" => open.get());
            continue;
        }
        let open = OpenConn::new(&open);
        let serving = serve_caller(Rc::clone(&cx), stream);
        task::spawn(&cx, "caller connection", async move {
            let closing = serving.await;
            drop(open);
            if let Some(conn) = closing {
                conn.linger().await;
            }
        });
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConn(Rc<Cell<usize>>);

impl OpenConn {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConn {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a connection to its end, and returns it unless its caller was given up.
async fn serve_caller(cx: Rc<Gateway>, stream: TcpStream) -> Option<Rc<FollowedConn>> {
    set_socket_options(&stream);
    bound_unsent_bytes(&stream);
    let conn = FollowedConn::new(&cx, stream);
    let limits = cx.caller_limits();
    let caller = Rc::new(CallerConn::default());
    let service = {
        let cx = Rc::clone(&cx);
        let (caller, conn) = (Rc::clone(&caller), Rc::clone(&conn));
        service_fn(move |req: Request<Incoming>| {
            conn.on_request(req.version());
            let cx = Rc::clone(&cx);
            let (caller, conn) = (Rc::clone(&caller), Rc::clone(&conn));
            async move {
                let answer = call::on_call(&cx, &caller, req).await;
                answer.map(|res| conn.follow(res))
            }
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_HEADER_TIMEOUT)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(conn.io()), service);
    let ended = async {
        tokio::select! {
            ended = &mut connection => return Some(ended),
            () = caller.given_up() => return None,
            () = wait_for_idle_timeout(&cx, &conn) => {}
        }
        Pin::new(&mut connection).graceful_shutdown();
        tokio::select! {
            ended = &mut connection => Some(ended),
            () = caller.given_up() => None,
        }
    };
    let ended = ended.await;
    let is_malformed = matches!(&ended, Some(Err(e)) if e.is_parse());
    let is_given_up = match &ended {
        None => true,
        Some(ended) if is_timed_out(ended) => flow::on_timed_out(&cx, &caller),
        Some(_) => false,
    };
    if !is_given_up && ended.as_ref().is_some_and(is_left_by_caller) {
        caller.on_caller_left();
    }
    // The call on the connection ends with it, if there is one, and with it the attempt at its target.
    drop(connection);
    if is_given_up {
        conn.reset();
    }
    if is_malformed || (caller.has_unread_body() && !caller.has_left()) {
        conn.drain_request().await;
    }
    (!is_given_up).then_some(conn)
}

/// Returns whether a connection ended because its caller closed it or it broke. An error of the user of the
/// HTTP library is this router's.
fn is_left_by_caller(ended: &hyper::Result<()>) -> bool {
    ended
        .as_ref()
        .is_err_and(|e| !e.is_user() && !e.is_timeout())
}

/// Returns whether the operating system closed a connection because its caller acknowledged nothing.
fn is_timed_out(ended: &hyper::Result<()>) -> bool {
    let source = ended.as_ref().err().and_then(Error::source);
    let error = source.and_then(|e| e.downcast_ref::<io::Error>());
    error.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

/// Bounds what the operating system holds for a caller that does not read. Without the bound, it takes up
/// to several megabytes, which no account shows.
fn bound_unsent_bytes(stream: &TcpStream) {
    // A connection without the bound still works.
    let _ = socket2::SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
}

/// Waits until the connection exceeds the idle timeout, or until a planned stop closes it.
async fn wait_for_idle_timeout(cx: &Gateway, conn: &FollowedConn) {
    loop {
        let pause = match cx.phase() {
            Phase::Serving => IDLE_CHECK_INTERVAL,
            _ => IDLE_CHECK_INTERVAL / 10,
        };
        tokio::time::sleep(pause).await;
        let max_idle = cx.caller_limits().idle_time + IDLE_TIMEOUT_SLACK;
        let is_stopping = cx.phase() >= Phase::Refusing;
        let is_due = match conn.state() {
            ConnState::Idle => is_stopping || conn.idle_time() > max_idle,
            ConnState::Serving => false,
            ConnState::Answering => is_stopping,
        };
        // A request that lies in the socket arrived in time if the timer is late or the timeout is new.
        if is_due && !conn.has_unread() {
            return;
        }
    }
}

/// Serves readiness checks: whether this VM is ready for callers.
pub(super) async fn serve_ready(cx: Rc<Gateway>, listener: TcpListener) {
    serve_text(listener, move || {
        let status = match cx.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics.
pub(super) async fn serve_metrics(cx: Rc<Gateway>, listener: TcpListener) {
    serve_text(listener, move || (StatusCode::OK, cx.metrics.text())).await;
}

/// Answers every request with the status and text that `answer` returns for it.
async fn serve_text(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_req: Request<Incoming>| {
                let (status, text) = answer();
                let mut res = Response::new(AnswerBody::whole(text));
                *res.status_mut() = status;
                async move { Ok::<_, Infallible>(res) }
            });
            // A client that disconnected needs no response.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

//! Listens for callers, for the balancer's question whether this VM is ready, and for scrapers.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{body::AnswerBody, call, conn::prepare, gateway::Gateway};
use crate::lifecycle::Phase;

/// The pause after a connection that could not be accepted, for want of descriptors most likely.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long after its allowed rest a caller's connection is closed; callers that keep to the rest
/// never meet the close.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// How often a resting connection's time is looked at; the allowed rest may change.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// The least buffer that the server side of the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// The longest that a head may take to arrive on a connection that has just opened or rests;
/// resting is bounded apart from it.
const LONGEST_HEAD: Duration = Duration::from_mins(2);

/// Accepts callers until the process ends.
pub(super) async fn serve_callers(cx: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            warn!(cx.log, "caller not accepted"; "open" => open.get());
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= cx.cfg.max_connections {
            warn!(cx.log, "caller turned away"; "open" => open.get());
            continue;
        }
        open.set(open.get() + 1);
        let (cx, open) = (Rc::clone(&cx), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            serve_caller(cx, stream).await;
            open.set(open.get() - 1);
        });
    }
}

/// Whether a connection has a call in progress, and since when it rests.
#[derive(Default)]
struct Rest {
    busy: Cell<bool>,
    since: Cell<crate::units::Instant>,
    ended: Notify,
}

async fn serve_caller(cx: Rc<Gateway>, stream: TcpStream) {
    prepare(&stream);
    let limits = cx.caller_limits();
    let rest = Rc::new(Rest::default());
    rest.since.set(cx.now());
    let service = {
        let (cx, rest) = (Rc::clone(&cx), Rc::clone(&rest));
        service_fn(move |req: Request<Incoming>| {
            let (cx, rest) = (Rc::clone(&cx), Rc::clone(&rest));
            async move {
                rest.busy.set(true);
                let answer = call::on_call(&cx, req).await;
                rest.since.set(cx.now());
                rest.busy.set(false);
                rest.ended.notify_one();
                answer
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(LONGEST_HEAD)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A connection that breaks ends its own call; there is nobody to tell.
        _ = connection.as_mut() => return,
        () = until_rested(&cx, &rest) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Ends when the connection has rested longer than callers may let it, or a stop wants it closed.
async fn until_rested(cx: &Gateway, rest: &Rest) {
    loop {
        let pause = match cx.phase() {
            Phase::Serving => IDLE_CHECK,
            _ => IDLE_CHECK / 10,
        };
        tokio::time::sleep(pause).await;
        let limits = cx.caller_limits();
        let rested = cx.now().since(rest.since.get());
        let longest = limits.idle_timeout + IDLE_SLACK;
        if rest.busy.get() {
            continue;
        }
        if rested > longest || cx.phase() >= Phase::Refusing {
            return;
        }
    }
}

/// Answers whether this VM is ready for callers.
pub(super) async fn serve_ready(cx: Rc<Gateway>, listener: TcpListener) {
    serve_small(listener, move || {
        let status = match cx.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Tells the figures.
pub(super) async fn serve_metrics(cx: Rc<Gateway>, listener: TcpListener) {
    serve_small(listener, move || (StatusCode::OK, cx.metrics.text())).await;
}

/// Answers every request with what a function says at that moment.
async fn serve_small(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
            // Whoever asked and left needs no answer.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

//! A small HTTP server for the simulated targets and store.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Frame, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    task::{AbortHandle, JoinHandle},
};

/// Response body, complete or streamed; an error in it aborts the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A server that stops and closes all its connections when dropped.
pub struct Server {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Returns a handle that stops the server and closes all its connections, as dropping it does.
    pub fn abort_handle(&self) -> AbortHandle {
        self.task.abort_handle()
    }
}

/// Starts a server at an address that answers requests with a handler.
pub async fn serve<H, F>(listen: &str, handler: H) -> Server
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await.expect("stand-in listens");
    let address = listener.local_addr().expect("stand-in address");
    let task = tokio::spawn(async move {
        // The set closes its connections when the server is dropped.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    let _ = socket.set_nodelay(true);
                    let handler = handler.clone();
                    connections.spawn(async move {
                        let service = service_fn(handler);
                        let _ = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(socket), service)
                            .await;
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    });
    Server { address, task }
}

pub fn whole(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let never = |e: Infallible| match e {};
    let body = Full::new(body.into()).map_err(never).boxed_unsync();
    Response::builder()
        .status(status)
        .body(body)
        .expect("response")
}

pub fn json(status: u16, body: &serde_json::Value) -> Response<Body> {
    let mut res = whole(status, body.to_string());
    let value = "application/json".parse().expect("header");
    res.headers_mut().insert("content-type", value);
    res
}

pub fn stream(
    content_type: &str,
    items: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
) -> Response<Body> {
    let body = StreamBody::new(items.map(|i| i.map(Frame::data))).boxed_unsync();
    let builder = Response::builder().header("content-type", content_type);
    builder.body(body).expect("response")
}

pub async fn read(req: Request<Incoming>) -> Bytes {
    let body = req.into_body().collect().await;
    body.map(|b| b.to_bytes()).unwrap_or_default()
}

/// Returns the value of a parameter of the query.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
}

/// Returns an error that aborts the connection.
pub fn cut() -> std::io::Error {
    std::io::Error::other("cut")
}

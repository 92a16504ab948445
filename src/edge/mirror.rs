//! Passes on between routers what the store holds, so that few of them read it.
//!
//! The asking side waits for changes as it would at the store. What it is told vouches for
//! nothing: how old the configuration may be is told by datagrams.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, Response, body::Incoming, client, server, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{body::AnswerBody, conn::CONNECT_TIMEOUT, gateway::Gateway};
use crate::{
    store::{Mirrored, StoreError},
    units::StoreRevision,
};

/// How long an asked router waits for something newer.
const ASK_WAIT: Duration = Duration::from_secs(5);

/// How often an asked router looks for something newer.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// How long the answer may take beyond the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection to the router that reads the store.
pub(super) struct Upstream {
    address: SocketAddr,
    sender: client::conn::http1::SendRequest<Empty<Bytes>>,
}

impl Upstream {
    /// Connects to a router.
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, StoreError> {
        let dial = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, dial).await;
        let stream = stream.map_err(no_answer)?.map_err(no_answer)?;
        let shaken = client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(no_answer)?;
        tokio::task::spawn_local(async move {
            // Its end reaches whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Self { address, sender })
    }

    /// Whom it asks.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for what is newer than a revision.
    pub(super) async fn ask(&mut self, after: StoreRevision) -> Result<Mirrored, StoreError> {
        let req = Request::builder()
            .uri(format!("/{}", after.0))
            .header(hyper::header::HOST, "router")
            .body(Empty::new())
            .map_err(no_answer)?;
        let answer = async {
            let res = self.sender.send_request(req).await.map_err(no_answer)?;
            let body = res.into_body().collect().await.map_err(no_answer)?;
            let told = postcard::from_bytes(&body.to_bytes());
            told.map_err(|e| StoreError::Garbled(e.to_string()))
        };
        let answer = tokio::time::timeout(ASK_WAIT + ANSWER_TIMEOUT, answer).await;
        answer.map_err(no_answer)?
    }
}

fn no_answer(e: impl std::fmt::Display) -> StoreError {
    StoreError::NoAnswer(e.to_string())
}

/// Answers routers that ask.
pub(super) async fn serve(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        };
        let cx = Rc::clone(&cx);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let cx = Rc::clone(&cx);
                async move { Ok::<_, Infallible>(answer(&cx, &req).await) }
            });
            // A router that left needs no answer.
            let _ = server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(cx: &Gateway, req: &Request<Incoming>) -> Response<AnswerBody> {
    let asked = req.uri().path().trim_start_matches('/').parse();
    let after = StoreRevision(asked.unwrap_or(0));
    let until = cx.now() + ASK_WAIT;
    let told = loop {
        if let Some(told) = cx.mirror.borrow().since(after) {
            break told;
        }
        // Whoever asks a router that lost the store had better ask another one.
        if cx.now() >= until || !cx.reads_store() {
            break Mirrored::Nothing;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    };
    let bytes = postcard::to_stdvec(&told).unwrap_or_default();
    Response::new(AnswerBody::whole(bytes))
}

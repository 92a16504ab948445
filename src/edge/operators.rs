//! The operators' API: status, explain, plans and confirmations over HTTP and JSON.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;

use super::{
    body::AnswerBody, confirm, deliveries::FollowedConn, gateway::Gateway,
    ingress::ACCEPT_RETRY_DELAY, view,
};
use crate::{
    bounded_body::read_whole,
    config::ConfigLog,
    intent::{self, IntentError, Plan},
    reply,
    result_code::ResultCode,
    settings::OperatorToken,
};

/// Maximum size in bytes of a request body that an operator may send.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Accepts connections of operators until the router ends.
pub(super) async fn serve(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let conn = FollowedConn::new(&cx, socket);
        let (service_cx, followed) = (Rc::clone(&cx), Rc::clone(&conn));
        let service = service_fn(move |req: Request<Incoming>| {
            let (cx, conn) = (Rc::clone(&service_cx), Rc::clone(&followed));
            async move {
                conn.on_request(req.version());
                let answer = on_request(&cx, req).await;
                Ok::<_, std::convert::Infallible>(conn.follow(answer))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(cx.cfg.callers_rules.limits.header_time)
            .serve_connection(TokioIo::new(conn.io()), service);
        tokio::task::spawn_local(async move {
            // An operator whose connection breaks can repeat the request.
            let _ = connection.await;
            conn.linger().await;
        });
    }
}

async fn on_request(cx: &Rc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let Some(author) = authenticate(cx, &req) else {
        return reply::error(ResultCode::WrongToken, "no such operator's token");
    };
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (req.method().clone(), &parts[..]) {
        (Method::GET, ["v1", "status"]) => reply::json(200, &view::status(cx)),
        (Method::GET, ["v1", "explain", id]) => view::explain(cx, id).await,
        (Method::GET, ["v1", "config"]) => {
            reply::json(200, &cx.accepted_changes.with_log(ConfigLog::snapshot))
        }
        (Method::GET, ["v1", "changes"]) => view::changes(cx),
        (Method::GET, ["v1", "changes", id]) => view::change(cx, id),
        (Method::POST, ["v1", "intents", "plan"]) => match read_body(req).await {
            Ok(text) => plan(cx, &author, &text),
            Err(e) => intent_error(&e),
        },
        (Method::POST, ["v1", "intents", "confirm"]) => match read_body(req).await {
            Ok(text) => confirm_plan(cx, &author, &text).await,
            Err(e) => intent_error(&e),
        },
        _ => reply::error(ResultCode::UnknownPath, "no such path"),
    }
}

/// Returns the name of the operator whose token the request presents.
///
/// The comparison takes constant time, so that its duration does not reveal how much of a token matches.
fn authenticate(cx: &Gateway, req: &Request<Incoming>) -> Option<String> {
    let header = req.headers().get(hyper::header::AUTHORIZATION)?;
    let presented = header.to_str().ok()?.strip_prefix("Bearer ")?;
    let matches =
        |t: &&OperatorToken| bool::from(t.token.reveal().as_bytes().ct_eq(presented.as_bytes()));
    let (_, tokens) = cx.cfg.operators.as_ref()?;
    tokens.iter().find(matches).map(|t| t.name.clone())
}

async fn read_body(req: Request<Incoming>) -> Result<Vec<u8>, IntentError> {
    let error = || IntentError::new(ResultCode::BodyTooLarge, "the body was not taken");
    let body = read_whole(req.into_body(), MAX_BODY_BYTES).await;
    Ok(body.map_err(|_| error())?.to_vec())
}

fn plan(cx: &Gateway, author: &str, text: &[u8]) -> Response<AnswerBody> {
    let planned = intent::read(text).and_then(|i| {
        cx.accepted_changes
            .with_log(|log| intent::plan(log, author, i, rand::random()))
    });
    match planned {
        Ok(plan) => reply::json(200, &plan),
        Err(e) => intent_error(&e),
    }
}

async fn confirm_plan(cx: &Rc<Gateway>, author: &str, text: &[u8]) -> Response<AnswerBody> {
    let error = |e: serde_json::Error| IntentError::new(ResultCode::BadIntent, e.to_string());
    let plan = serde_json::from_slice::<Plan>(text).map_err(error);
    let plan = plan.map(|p| Plan {
        author: author.to_owned(),
        ..p
    });
    let confirmed = match plan {
        Ok(plan) => confirm::confirm(cx, &plan).await,
        Err(e) => Err(e),
    };
    match confirmed {
        Ok(accepted) => reply::json(200, &accepted),
        Err(e) => intent_error(&e),
    }
}

fn intent_error(e: &IntentError) -> Response<AnswerBody> {
    reply::error(e.code, &e.detail)
}

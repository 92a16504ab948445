//! What callers and operators get that does not come from a target.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::Serialize;

use crate::{
    ids::RequestId,
    result_code::ResultCode,
    target::{Answer, merge_ready},
};

/// The header that carries the number of a result code.
pub(crate) const CODE_HEADER: &str = "x-scaleford-code";

/// The header that carries the request's id.
pub(crate) const REQUEST_HEADER: &str = "x-scaleford-request";

/// The body of every answer; an error cuts the connection so that the caller sees a cut.
pub(crate) type Body = UnsyncBoxBody<Bytes, ResultError>;

/// A result code as an error, to end a body early.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct ResultError(ResultCode);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// The shape of OpenAI's errors, with our number.
#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: &'a str,
    number: u16,
    ran: String,
}

/// An answer with a whole body.
pub(crate) fn whole(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let never = |e: std::convert::Infallible| match e {};
    let body = Full::new(body.into()).map_err(never).boxed_unsync();
    let mut res = Response::new(body);
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = content_type.parse() {
        res.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    res
}

/// An answer with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    whole(status, "application/json", text)
}

/// An answer that tells a result code.
pub(crate) fn error(
    code: ResultCode,
    message: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let kind = match code.status() {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let body = ErrorBody {
        error: ErrorDetail {
            message,
            r#type: kind,
            param: None,
            code: code.name(),
            number: code.number(),
            ran: code.ran().to_string(),
        },
    };
    let mut res = json(code.status(), &body);
    res.headers_mut().insert(CODE_HEADER, code.number().into());
    if let Some(pause) = retry_after {
        let seconds = pause.as_secs_f64().ceil().max(1.0) as u64;
        res.headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    res
}

/// A target's answer, handed on as it comes.
pub(crate) fn relay(
    answer: Answer,
    on_cut: impl Fn(ResultCode) + Send + 'static,
) -> Response<Body> {
    let frames = merge_ready(answer.body).map(move |item| match item {
        Ok(bytes) => Ok(Frame::data(bytes)),
        Err(code) => {
            on_cut(code);
            Err(ResultError(code))
        }
    });
    let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for h in &answer.headers {
        let name = header::HeaderName::try_from(h.name.as_str());
        let value = header::HeaderValue::from_bytes(&h.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().append(name, value);
        }
    }
    res
}

/// Names the request on an answer.
pub(crate) fn name_request(res: &mut Response<Body>, id: RequestId) {
    if let Ok(value) = id.to_string().parse() {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
}

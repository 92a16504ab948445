//! What callers and operators get that does not come from a target.

use hyper::{Response, StatusCode, header};
use serde::Serialize;

use crate::{edge::AnswerBody, result_code::ResultCode};

/// The header that carries the number of a result code.
pub(crate) const CODE_HEADER: &str = "x-scaleford-code";

/// The header that carries the request's id.
pub(crate) const REQUEST_HEADER: &str = "x-scaleford-request";

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
pub(crate) fn whole(
    status: u16,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<AnswerBody> {
    let mut res = Response::new(AnswerBody::whole(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let value = header::HeaderValue::from_static(content_type);
    res.headers_mut().insert(header::CONTENT_TYPE, value);
    res
}

/// An answer with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(body) {
        Ok(text) => whole(status, "application/json", text),
        Err(e) => whole(500, "text/plain", format!("not encoded: {e}\n")),
    }
}

/// An answer that tells a result code.
pub(crate) fn error(code: ResultCode, message: &str) -> Response<AnswerBody> {
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
    res
}

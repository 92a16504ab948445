//! Responses to callers and operators that the router itself creates.

use hyper::{Response, StatusCode, header};
use serde::Serialize;

use crate::{edge::AnswerBody, result_code::ResultCode};

/// Header that holds the number of a result code.
pub(crate) const CODE_HEADER: &str = "x-scaleford-code";

/// Header that holds the request's id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-scaleford-request";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// An error in OpenAI's format, extended by the number of the result code and by whether the call ran.
#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: &'a str,
    number: u16,
    ran: String,
}

/// Creates a response with a complete body.
pub(crate) fn with_body(
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

/// Creates a response with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(body) {
        Ok(text) => with_body(status, "application/json", text),
        Err(e) => with_body(500, "text/plain", format!("cannot encode body: {e}\n")),
    }
}

/// Creates an error response with a result code.
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

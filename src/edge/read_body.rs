//! Reads complete bodies: of callers' requests, and of targets' answers that are not streamed.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, body::Incoming, header};

use super::{
    attempt_end::AttemptEnd,
    body::CollectedBody,
    flow::{AnswerAccount, NoRoomForRequest, RequestCount},
    gateway::Gateway,
};
use crate::blocks::Blocks;

/// Maximum size of a plain (not streamed) answer, in bytes; it is read completely before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Reason why the body of a request could not be read.
pub(super) enum BodyError {
    /// The caller closed the connection before the body was complete.
    Aborted,
    /// The body did not arrive within the time limit.
    TimedOut,
    /// The request bodies that the router holds have reached their bound.
    NoRoom,
    /// A planned stop has no time left.
    Stopping,
}

impl From<NoRoomForRequest> for BodyError {
    fn from(_: NoRoomForRequest) -> Self {
        Self::NoRoom
    }
}

/// Body of a request, `None` if it is above the size limit, with the count of its bytes.
pub(super) type RequestBody = (Option<Bytes>, RequestCount);

/// Reads the whole body of a request. Whether the router has room for it is decided by the announced size
/// before it is read, and for a body without one while it arrives.
pub(super) async fn read_request(
    cx: &Rc<Gateway>,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<RequestBody, BodyError> {
    let limits = cx.caller_limits();
    let content_length = headers.get(header::CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    let announced = content_length.unwrap_or(0);
    if announced > limits.body_bytes {
        return Ok((None, RequestCount::start(cx, 0)?));
    }
    let mut count = RequestCount::start(cx, announced)?;
    let reading = read_pieces(body, limits.body_bytes, &mut count);
    let until = cx.now() + limits.body_time;
    let read = cx.clock.timeout_at(until, reading).await;
    let body = read.unwrap_or(Err(BodyError::TimedOut))?;
    Ok((body, count))
}

/// Returns the body, or `None` if it is above the size limit.
async fn read_pieces(
    body: Incoming,
    max_bytes: usize,
    count: &mut RequestCount,
) -> Result<Option<Bytes>, BodyError> {
    let mut body = Limited::new(body, max_bytes);
    let mut blocks = Blocks::default();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let bytes = frame.into_data().unwrap_or_default();
                count.grow(bytes.len())?;
                blocks.push(&bytes);
            }
            Err(e) if e.is::<http_body_util::LengthLimitError>() => return Ok(None),
            Err(_) => return Err(BodyError::Aborted),
        }
    }
    Ok(Some(blocks.into_bytes()))
}

/// Reads the whole body of a target's answer. Fails with the end of the attempt if the answer is not complete.
/// An empty body is not complete if `is_cut_if_empty` is set.
pub(super) async fn read_answer(
    body: Incoming,
    is_cut_if_empty: bool,
    answer: &AnswerAccount,
) -> Result<CollectedBody, AttemptEnd> {
    tokio::select! {
        biased;
        () = answer.refused() => Err(AttemptEnd::NoRoomForAnswer),
        collected = collect_answer(body, answer) => match collected {
            Ok(collected) if is_cut_if_empty && collected.len() == 0 => Err(AttemptEnd::AnswerTruncated),
            collected => collected,
        },
    }
}

async fn collect_answer(
    mut body: Incoming,
    answer: &AnswerAccount,
) -> Result<CollectedBody, AttemptEnd> {
    let mut collected = CollectedBody::empty(answer.hold_nothing());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| AttemptEnd::of_error(&e, AttemptEnd::AnswerTruncated))?;
        let bytes = frame.into_data().unwrap_or_default();
        if collected.len() + bytes.len() > MAX_ANSWER_BYTES {
            return Err(AttemptEnd::AnswerTooLarge);
        }
        let count = answer.hold(bytes.len()).await;
        collected.push(&bytes, count);
    }
    Ok(collected)
}

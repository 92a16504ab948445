//! Body of a response to a caller: complete, or a stream of events.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream ended before its last event; the caller's connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct StreamAborted;

/// Sending half of a stream of events.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, StreamAborted>>;

/// Maximum number of events that wait for a slow caller; beyond it, no more is read from the target, which
/// slows the target down.
const MAX_QUEUED_EVENTS: usize = 16;

/// Body of a response.
pub(crate) enum AnswerBody {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Events as they arrive.
    Events(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl AnswerBody {
    /// Creates a complete body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// Creates a stream, and returns the sender of its events.
    pub(crate) fn events() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        (tx, Self::Events(rx))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map(|frame| frame.map(|f| f.map_err(|never| match never {}))),
            Self::Events(rx) => rx
                .poll_recv(cx)
                .map(|event| event.map(|e| e.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

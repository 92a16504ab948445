//! The body of an answer to a caller: whole, or events as they come.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream that ends before its last event; the caller's connection is closed without the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct BrokeOff;

/// The sending end of a stream of events.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, BrokeOff>>;

/// Events that may wait for a slow caller; beyond it the target is held up.
const EVENT_QUEUE: usize = 16;

/// An answer's body.
pub(crate) enum AnswerBody {
    /// All bytes at once.
    Whole(Full<Bytes>),
    /// Events as they come.
    Events(mpsc::Receiver<Result<Bytes, BrokeOff>>),
}

impl AnswerBody {
    /// A body that is known whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// A stream, and where its events are put in.
    pub(crate) fn events() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE);
        (tx, Self::Events(rx))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokeOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
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

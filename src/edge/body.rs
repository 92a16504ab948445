//! Body of a response to a caller: complete, or a stream of events.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::{
    flow::{HeldCount, OfferedBytes},
    slot_lease::OwnSlot,
};

/// A stream ended before its last event; the caller's connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct StreamAborted;

/// Part of a stream.
pub(crate) enum StreamPart {
    /// Bytes of events.
    Events(OfferedBytes),
    /// End of a complete stream.
    End,
}

/// Sending half of a stream of events. If it is dropped before the end is sent, the stream breaks off. What
/// waits for a slow caller is bounded by [`crate::flow`].
pub(crate) type EventSender = mpsc::UnboundedSender<StreamPart>;

/// Body of a response.
pub(crate) enum AnswerBody {
    /// Complete body: the pieces that are not sent yet, and their total size in bytes.
    Whole(VecDeque<OfferedBytes>, u64),
    /// Events as they arrive.
    Events(mpsc::UnboundedReceiver<StreamPart>),
    /// No bytes until the other side closes the connection, which takes the slot back.
    Held { _slot: OwnSlot },
}

impl AnswerBody {
    /// Creates a complete body of a response of the router itself.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::of_pieces(std::iter::once(OfferedBytes::uncounted(bytes)))
    }

    /// Creates a complete body of a target's answer.
    pub(crate) fn collected(body: CollectedBody) -> Self {
        let CollectedBody { pieces, mut count } = body;
        Self::of_pieces(pieces.into_iter().map(|piece| count.offer(piece)))
    }

    fn of_pieces(pieces: impl Iterator<Item = OfferedBytes>) -> Self {
        let pieces: VecDeque<_> = pieces.filter(|p| p.len() > 0).collect();
        let size = pieces.iter().map(|p| p.len() as u64).sum();
        Self::Whole(pieces, size)
    }

    /// Creates a body that holds a slot until it is dropped.
    pub(super) fn held(slot: OwnSlot) -> Self {
        Self::Held { _slot: slot }
    }

    /// Creates a stream, and returns the sender of its events.
    pub(crate) fn events() -> (EventSender, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        (tx, Self::Events(rx))
    }
}

impl Body for AnswerBody {
    type Data = OfferedBytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<OfferedBytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Whole(pieces, size) => {
                let piece = pieces.pop_front();
                *size -= piece.as_ref().map_or(0, |p| p.len() as u64);
                Poll::Ready(piece.map(|p| Ok(Frame::data(p))))
            }
            Self::Events(rx) => rx.poll_recv(cx).map(|part| match part {
                Some(StreamPart::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPart::End) => None,
                None => Some(Err(StreamAborted)),
            }),
            Self::Held { .. } => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(pieces, _) => pieces.is_empty(),
            Self::Events(_) | Self::Held { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(_, size) => SizeHint::with_exact(*size),
            Self::Events(_) | Self::Held { .. } => SizeHint::default(),
        }
    }
}

/// Complete body of a target's answer, with the count of its bytes.
pub(crate) struct CollectedBody {
    pieces: Vec<Bytes>,
    count: HeldCount,
}

impl CollectedBody {
    /// Creates an empty body; `count` counts what is added to it.
    pub(crate) fn empty(count: HeldCount) -> Self {
        Self {
            pieces: Vec::new(),
            count,
        }
    }

    /// Adds bytes with their count.
    pub(crate) fn push(&mut self, bytes: Bytes, count: HeldCount) {
        self.pieces.push(bytes);
        self.count.add(count);
    }
}

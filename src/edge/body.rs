//! Body of a response to a caller: complete, or a stream of events.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{
    event_queue::{EventReceiver, EventSender, event_queue},
    flow::{HeldCount, OfferedBytes},
    slot_lease::OwnSlot,
};
use crate::blocks::Blocks;

/// A stream ended before its last event; the caller's connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct StreamAborted;

/// Body of a response.
pub(crate) enum AnswerBody {
    /// Complete body: the pieces that are not sent yet, and their total size in bytes.
    Whole(VecDeque<OfferedBytes>, u64),
    /// Events as they arrive.
    Events(EventReceiver),
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
        let CollectedBody {
            mut blocks,
            mut count,
        } = body;
        let blocks = std::iter::from_fn(|| blocks.pop());
        Self::of_pieces(blocks.map(|block| count.offer(block)))
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
        let (tx, rx) = event_queue();
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
            Self::Events(rx) => rx.poll_next(cx).map_ok(Frame::data),
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
    blocks: Blocks,
    count: HeldCount,
}

impl CollectedBody {
    /// Creates an empty body; `count` counts what is added to it.
    pub(crate) fn empty(count: HeldCount) -> Self {
        Self {
            blocks: Blocks::default(),
            count,
        }
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Adds bytes with their count.
    pub(crate) fn push(&mut self, bytes: &[u8], count: HeldCount) {
        self.blocks.push(bytes);
        self.count.add(count);
    }
}

//! Events of a stream that wait for the caller's connection.
//!
//! Events that wait are joined in [`Blocks`], so that what they take up does not depend on their sizes. How many bytes may
//! wait is decided by [`crate::flow`].

use std::{
    cell::RefCell,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use tokio::sync::Notify;

use super::{
    body::StreamAborted,
    flow::{OfferedBytes, OfferedCount},
};
use crate::blocks::Blocks;

/// The caller's connection has dropped the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// How a stream ended at its sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum End {
    /// Further events may follow.
    #[default]
    Open,
    /// The stream is complete.
    Complete,
    /// The sender was dropped before the end of the stream.
    Aborted,
}

#[derive(Default)]
struct Queue {
    events: Blocks,
    /// Count of the bytes in `events`.
    count: OfferedCount,
    end: End,
    is_receiver_dropped: bool,
    /// Wakes the receiver.
    receiver: Option<Waker>,
}

impl Queue {
    fn wake_receiver(&mut self) {
        if let Some(waker) = self.receiver.take() {
            waker.wake();
        }
    }
}

#[derive(Default)]
struct Shared {
    queue: RefCell<Queue>,
    receiver_dropped: Notify,
}

/// Sending half of a stream of events. If it is dropped before the end is sent, the stream breaks off.
pub(crate) struct EventSender(Rc<Shared>);

/// Receiving half of a stream of events.
pub(crate) struct EventReceiver(Rc<Shared>);

/// Creates a stream without events.
pub(super) fn event_queue() -> (EventSender, EventReceiver) {
    let shared = Rc::new(Shared::default());
    (EventSender(Rc::clone(&shared)), EventReceiver(shared))
}

impl EventSender {
    /// Appends an event.
    pub(super) fn send(&self, event: OfferedBytes) -> Result<(), CallerLeft> {
        let mut queue = self.0.queue.borrow_mut();
        if queue.is_receiver_dropped {
            return Err(CallerLeft);
        }
        let (bytes, count) = event.into_parts();
        queue.events.push(&bytes);
        queue.count.add(count);
        queue.wake_receiver();
        Ok(())
    }

    /// Ends the stream, which is complete.
    pub(super) fn end(self) {
        self.0.queue.borrow_mut().end = End::Complete;
    }

    /// Returns whether no event waits.
    pub(super) fn is_empty(&self) -> bool {
        self.0.queue.borrow().events.is_empty()
    }

    /// Waits until the caller's connection has dropped the stream.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let shared = Rc::clone(&self.0);
        async move {
            let dropped = shared.receiver_dropped.notified();
            if !shared.queue.borrow().is_receiver_dropped {
                dropped.await;
            }
        }
    }
}

impl Drop for EventSender {
    fn drop(&mut self) {
        let mut queue = self.0.queue.borrow_mut();
        if queue.end == End::Open {
            queue.end = End::Aborted;
        }
        queue.wake_receiver();
    }
}

impl EventReceiver {
    /// Returns the events that wait, or the first block of them; `None` at the end of the stream.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<OfferedBytes, StreamAborted>>> {
        let mut queue = self.0.queue.borrow_mut();
        if let Some(bytes) = queue.events.pop() {
            let count = queue.count.split(bytes.len());
            return Poll::Ready(Some(Ok(OfferedBytes::new(bytes, count))));
        }
        match queue.end {
            End::Complete => Poll::Ready(None),
            End::Aborted => Poll::Ready(Some(Err(StreamAborted))),
            End::Open => {
                queue.receiver = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.0.queue.borrow_mut().is_receiver_dropped = true;
        self.0.receiver_dropped.notify_waiters();
    }
}

//! Splits a `text/event-stream` into complete events, so that a partial event is never passed on.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event and of the comments before it, in bytes; engines send events of some hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event as received, with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number in the event's `id` field, if it has one.
    pub id: Option<u64>,
    /// Whether it has no known field: comments, with which servers keep connections open, or lines that callers ignore.
    pub is_comment: bool,
    /// Bytes of the event.
    pub bytes: Bytes,
}

/// Error of an event that exceeds the maximum size, with the comments before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched_bytes: usize,
    /// Bytes of the comments since the last other event.
    comment_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLarge> {
        let Some(end) = self.find_end() else {
            return match self.comment_bytes + self.buf.len() {
                n if n > MAX_EVENT_BYTES => Err(EventTooLarge),
                _ => Ok(None),
            };
        };
        self.searched_bytes = 0;
        let bytes = self.buf.split_to(end).freeze();
        let is_comment = !bytes.split(|b| *b == b'\n').any(has_known_field);
        self.comment_bytes = match is_comment {
            true => self.comment_bytes + bytes.len(),
            false => 0,
        };
        if self.comment_bytes > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(Some(Event {
            id: event_id(&bytes),
            is_comment,
            bytes,
        }))
    }

    /// Returns whether bytes are buffered that have not been returned as an event.
    pub fn has_incomplete_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Returns the end of the first event, which is behind the line feed of an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3);
        let buf = &self.buf;
        let end = (from..buf.len()).find_map(|i| match &buf[i..] {
            [b'\n', b'\n', ..] => Some(i + 2),
            [b'\n', b'\r', b'\n', ..] => Some(i + 3),
            _ => None,
        });
        self.searched_bytes = buf.len();
        end
    }
}

/// Returns whether a line sets a field that callers know.
fn has_known_field(line: &[u8]) -> bool {
    let name = line.split(|b| matches!(b, b':' | b'\r')).next();
    matches!(name, Some(b"data" | b"event" | b"id" | b"retry"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}

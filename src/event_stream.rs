//! Cuts a `text/event-stream` into whole events, so that a piece of one is never passed on.

use bytes::{Buf, Bytes, BytesMut};

/// The largest event that is waited for, in bytes; engines send some hundred.
const EVENT_LIMIT: usize = 1 << 20;

/// One whole event as it came, with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// An event is larger than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {EVENT_LIMIT} bytes")]
pub struct TooLarge;

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLarge> {
        let Some(end) = self.find_end() else {
            return match self.buf.len() {
                n if n > EVENT_LIMIT => Err(TooLarge),
                _ => Ok(None),
            };
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { id, bytes }))
    }

    /// Whether bytes wait that are no whole event.
    pub fn has_rest(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Where the first event ends: behind a line feed that follows an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let buf = &self.buf;
        let end = (from..buf.len()).find_map(|i| match &buf[i..] {
            [b'\n', b'\n', ..] => Some(i + 2),
            [b'\n', b'\r', b'\n', ..] => Some(i + 3),
            _ => None,
        });
        self.searched = buf.len();
        end
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}

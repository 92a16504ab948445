//! Which answers on a connection have not reached the caller's system yet: what the process holds of them, and
//! what the operating system holds.

/// Stage of the latest answer on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// No request was received, or its answer is written to the socket.
    #[default]
    Written,
    /// A request was received, and its answer is not complete.
    Answering,
    /// The answer is complete, and a part of it is not written to the socket.
    Writing,
}

/// State of the answers on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryState {
    /// Everything that was written has reached the caller's system.
    Delivered,
    /// The process or the operating system holds a part of an answer.
    Pending,
    /// The process holds nothing, and the operating system's figure can't be used from now on.
    Unknown,
}

/// Progress of the answers on one connection.
#[derive(Debug)]
pub struct Delivery {
    stage: Stage,
    /// Number of bytes written to the socket.
    written: u64,
    /// Whether the operating system's figures agree with what was written so far.
    is_measured: bool,
}

/// Number that the end of a connection counts for in the operating system's figure.
const END_BYTES: u64 = 1;

impl Delivery {
    /// Starts with the operating system's figure for a connection on which nothing was written; `None` if it
    /// has none. It must be 0.
    pub fn new(unacked: Option<u64>) -> Self {
        Self {
            stage: Stage::default(),
            written: 0,
            is_measured: unacked == Some(0),
        }
    }

    /// Returns whether the operating system's figures can be used.
    pub fn is_measured(&self) -> bool {
        self.is_measured
    }

    /// Handles a request on the connection.
    pub fn on_request(&mut self) {
        self.stage = Stage::Answering;
    }

    /// Handles the end of an answer: its last part is about to be written.
    pub fn on_answer_end(&mut self) {
        self.stage = Stage::Writing;
    }

    /// Counts `n` bytes that the socket has taken.
    pub fn on_written(&mut self, n: usize) {
        self.written += n as u64;
    }

    /// Handles that the socket has taken everything there is at present.
    pub fn on_flushed(&mut self) {
        if self.stage == Stage::Writing {
            self.stage = Stage::Written;
        }
    }

    /// Handles the end of the connection: what was not written never will be.
    pub fn on_closed(&mut self) {
        self.stage = Stage::Written;
    }

    /// Returns the state of the answers, given the number of bytes that were written and not acknowledged;
    /// `None` if the operating system reports no such number.
    pub fn state(&mut self, unacked: Option<u64>) -> DeliveryState {
        let max = self.written + END_BYTES;
        match unacked {
            _ if self.stage != Stage::Written => DeliveryState::Pending,
            _ if !self.is_measured => DeliveryState::Delivered,
            Some(0) => DeliveryState::Delivered,
            Some(n) if n <= max => DeliveryState::Pending,
            _ => {
                self.is_measured = false;
                DeliveryState::Unknown
            }
        }
    }
}

//! Bounds on what a router holds, and the reasons why callers are given up.

use crate::units::ByteCount;

/// Bounds in bytes on what a router holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowBounds {
    /// Maximum for all answers.
    pub router: usize,
    /// Maximum for the answers to one account.
    pub account: usize,
    /// Maximum for one stream. An answer that is read completely before it is passed on has its own limit.
    pub stream: usize,
    /// Maximum for all request bodies.
    pub requests: usize,
}

impl FlowBounds {
    /// Minimum memory of a router: below it, the bounds would not hold a few usual calls.
    pub const MIN_MEMORY: ByteCount = ByteCount(16 << 20);

    /// Maximum size of an event of a stream, twice: one that waits and one that arrives.
    const MIN_STREAM_BYTES: usize = 2 << 20;

    /// Derives the bounds from the memory that a router may use.
    ///
    /// A quarter is for answers and a quarter for request bodies; the other half is for the process itself
    /// and the buffers of its sockets. One account may use half of the answers' part, so that the others
    /// always have as much. One stream may use a sixteenth, so that it takes several callers to use up the
    /// part of their account; but at least two events of the maximum size.
    pub fn from_memory(memory: ByteCount) -> Self {
        let router = memory.0 / 4;
        Self {
            router,
            account: router / 2,
            stream: (router / 16).max(Self::MIN_STREAM_BYTES).min(router),
            requests: memory.0 / 4,
        }
    }
}

/// Reason why a caller was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// Its own answer reached the bound of a stream.
    StreamBound,
    /// The answers to its account reached the bound of an account.
    AccountBound,
    /// All answers reached the bound of the router.
    RouterBound,
    /// It read nothing for [`STALL_LIMIT`](super::STALL_LIMIT) while bytes were offered to it, or the operating
    /// system closed its connection because nothing was acknowledged.
    NotReading,
}

impl GiveUpReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [
        Self::StreamBound,
        Self::AccountBound,
        Self::RouterBound,
        Self::NotReading,
    ];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StreamBound => "stream_bound",
            Self::AccountBound => "account_bound",
            Self::RouterBound => "router_bound",
            Self::NotReading => "not_reading",
        }
    }

    /// Returns the reason as text for logs and `explain`.
    pub fn text(self) -> &'static str {
        match self {
            Self::StreamBound => "the caller reads too slowly, its stream reached its bound",
            Self::AccountBound => "the caller's account reached its bound of unread answers",
            Self::RouterBound => "the router reached its bound of unread answers",
            Self::NotReading => "the caller reads nothing",
        }
    }
}

//! Targets that want no calls, as they say in the heads of their answers.

use std::{fmt, str::FromStr, time::Duration};

use crate::ids::IdError;

/// What a target says of itself beside its answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It leaves, and wants no further calls.
    Leaving,
    /// It wants none for a while.
    Backoff(Backoff),
}

impl Withdrawal {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Backoff(_) => "backoff",
        }
    }

    /// For how long it wants none, where that is not for good.
    pub fn backoff(self) -> Option<Duration> {
        match self {
            Self::Leaving => None,
            Self::Backoff(backoff) => Some(backoff.duration()),
        }
    }

    /// What a head says that may say both: who leaves wants no calls after any time.
    pub fn said(leaving: bool, backoff: Option<Backoff>) -> Option<Self> {
        match backoff {
            _ if leaving => Some(Self::Leaving),
            backoff => backoff.map(Self::Backoff),
        }
    }
}

/// How long a target wants no calls from this router, as it says when it turns one away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Backoff(Duration);

/// Longer ones are taken for no time at all: no target lives to see their end, and one garbled digit would shut
/// it out for good.
const LONGEST: Duration = Duration::from_hours(24);

impl Backoff {
    /// How long it is.
    pub fn duration(self) -> Duration {
        self.0
    }
}

/// Reads seconds with or without a fraction; neither signs, exponents nor dates.
impl FromStr for Backoff {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let is_plain = s.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = s.parse::<f64>().ok().filter(|_| is_plain);
        let time = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let time = time.filter(|t| !t.is_zero() && *t <= LONGEST);
        time.map(Self)
            .ok_or_else(|| IdError::new("seconds, more than 0 and at most a day", s))
    }
}

impl fmt::Display for Backoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

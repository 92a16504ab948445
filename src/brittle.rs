//! Targets that crash when they have to reject too many calls within a second, as they state in their
//! responses and as routers tell one another.
//!
//! Counts of other routers' calls are too old to keep such a target from rejecting calls. So each call needs
//! one of its slots, which the router that owns the target hands out ([`crate::slot_gate`]).

use std::{fmt, str::FromStr, time::Duration};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{ids::IdError, target_counts::TargetHash, units::Instant};

/// Number of calls that a target can reject within a second without crashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RejectionLimit(u32);

/// Maximum limit; a target with a higher one is in no danger.
const MAX_LIMIT: u32 = 100_000;

impl FromStr for RejectionLimit {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let is_number = s.bytes().all(|b| b.is_ascii_digit());
        let n = s.parse().ok();
        let n = n.filter(|n| is_number && (1..=MAX_LIMIT).contains(n));
        n.map(Self)
            .ok_or_else(|| IdError::new("a whole number of calls from 1 to 100000", s))
    }
}

impl fmt::Display for RejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Time after which a statement no longer counts, if none has followed: calls that the target could serve
/// would be refused for nothing.
const STATEMENT_TTL: Duration = Duration::from_secs(10);

/// What a target last stated.
#[derive(Debug, Clone, Copy)]
struct Statement {
    at: Instant,
    limit: Option<RejectionLimit>,
}

/// A target's statement as routers tell it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNotice {
    target: TargetHash,
    limit: RejectionLimit,
    /// Time since the target stated it, in milliseconds.
    age_ms: u16,
}

/// Brittle targets, as far as this router knows.
#[derive(Debug, Default)]
pub struct BrittleTargets {
    by_target: FxHashMap<TargetHash, Statement>,
}

impl BrittleTargets {
    /// Records what a target states in a response: its limit, or nothing if it is not brittle. Returns
    /// whether that is a change.
    pub fn on_statement(
        &mut self,
        now: Instant,
        target: TargetHash,
        limit: Option<RejectionLimit>,
    ) -> bool {
        let before = self.limit(now, target);
        if limit.is_some() || before.is_some() {
            self.by_target.insert(target, Statement { at: now, limit });
        }
        before != limit
    }

    /// Stores statements that a peer passed on, unless later ones are known. Returns how many targets they
    /// make brittle that were not.
    pub fn on_notices(&mut self, now: Instant, notices: &[BrittleNotice]) -> usize {
        let mut new = 0;
        for notice in notices {
            let at = now.before(Duration::from_millis(u64::from(notice.age_ms)));
            let known = self.by_target.get(&notice.target);
            if known.is_none_or(|k| k.at < at) {
                new += usize::from(self.limit(now, notice.target).is_none());
                let limit = Some(notice.limit);
                self.by_target
                    .insert(notice.target, Statement { at, limit });
            }
        }
        new
    }

    /// Returns the statements to pass on to peers.
    pub fn notices(&self, now: Instant) -> Vec<BrittleNotice> {
        let current = self.by_target.iter();
        let current = current.filter(|(_, s)| now.since(s.at) < STATEMENT_TTL);
        let notice = |(target, s): (&TargetHash, &Statement)| {
            Some(BrittleNotice {
                target: *target,
                limit: s.limit?,
                age_ms: now.since(s.at).as_millis() as u16,
            })
        };
        current.filter_map(notice).collect()
    }

    /// Returns how many calls a target can reject within a second; `None` if it is not brittle.
    pub fn limit(&self, now: Instant, target: TargetHash) -> Option<RejectionLimit> {
        let statement = self.by_target.get(&target);
        let current = statement.filter(|s| now.since(s.at) < STATEMENT_TTL);
        current.and_then(|s| s.limit)
    }

    /// Returns the number of brittle targets.
    pub fn count(&self, now: Instant) -> usize {
        self.by_target
            .keys()
            .filter(|t| self.limit(now, **t).is_some())
            .count()
    }

    /// Drops statements that no longer count.
    pub fn on_tick(&mut self, now: Instant) {
        self.by_target
            .retain(|_, s| now.since(s.at) < STATEMENT_TTL);
    }
}

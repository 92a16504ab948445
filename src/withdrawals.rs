//! Targets that ask for no calls in the headers of their answers: for good as they are leaving, or
//! for a while as they back off.
//!
//! Decides from these headers alone which targets get no calls from the router that received them.
//! A target's entry in the list also says that it is leaving, but later, and not while the store is
//! unavailable; it never says that a target backs off. A withdrawal applies until the target
//! restarts, whatever happens to its entry; after a restart the target has another [`TargetId`], and a backoff
//! goes over to it only if the new instance must have asked for it.

use std::{fmt, num::NonZeroUsize, rc::Rc, str::FromStr, time::Duration};

use lru::LruCache;
use rustc_hash::FxBuildHasher;

use crate::{
    discovery::TargetRecord,
    ids::{IdError, TargetId},
    placement::choice::PlacementError,
    units::Instant,
};

/// A target's request for no calls, sent with its answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The target is leaving, and accepts no further calls.
    Leaving,
    /// The target accepts no calls for a while.
    Backoff(Backoff),
}

impl Withdrawal {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Backoff(_) => "backoff",
        }
    }

    /// Returns how long the target accepts no calls; `None` where that is for good.
    pub fn backoff(self) -> Option<Duration> {
        match self {
            Self::Leaving => None,
            Self::Backoff(backoff) => Some(backoff.duration()),
        }
    }

    /// Returns the withdrawal that headers state, which may name both kinds: a target that is
    /// leaving accepts no calls after a backoff either.
    pub fn from_headers(leaving: bool, backoff: Option<Backoff>) -> Option<Self> {
        match backoff {
            _ if leaving => Some(Self::Leaving),
            backoff => backoff.map(Self::Backoff),
        }
    }
}

/// Time for which a target accepts no calls from this router, as the target states when it rejects
/// a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Backoff(Duration);

/// Maximum backoff; a longer one is ignored. No target runs until the end of such a backoff, and
/// one garbled digit would exclude the target for good.
const MAX_BACKOFF: Duration = Duration::from_hours(24);

impl Backoff {
    /// Returns the length of the backoff.
    pub fn duration(self) -> Duration {
        self.0
    }
}

/// Parses seconds with or without a fraction; signs, exponents and dates are rejected.
impl FromStr for Backoff {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let is_decimal = s.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = s.parse::<f64>().ok().filter(|_| is_decimal);
        let time = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let time = time.filter(|t| !t.is_zero() && *t <= MAX_BACKOFF);
        time.map(Self)
            .ok_or_else(|| IdError::new("seconds, more than 0 and at most a day", s))
    }
}

impl fmt::Display for Backoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

/// Extra time that a caller is asked to stay away after a backoff, as a fraction of the backoff.
/// Routers were not asked for the backoff at the same moment, and the caller may return through
/// another one. Of the callers that were rejected with the plain backoff, 0.28 to 0.44 are rejected
/// again; with this margin, 0.08 to 0.33 (`tests/load/withdrawals.rs`, all targets, 7 routers).
const BACKOFF_MARGIN: f64 = 0.1;

/// Fraction of a backoff by which callers are spread beyond that margin.
const BACKOFF_SPREAD: f64 = 0.2;

/// Returns the pause for a caller where no target accepts calls before `backoff` is over. It is
/// never shorter, however long the caller is willing to wait, as each earlier retry is rejected
/// again. `draw`, from 0 to 1, spreads the callers.
pub fn retry_after(backoff: Duration, draw: f64) -> Duration {
    backoff.mul_f64(1.0 + BACKOFF_MARGIN + BACKOFF_SPREAD * draw)
}

/// Maximum number of target instances whose withdrawals are remembered, the latest ones: three
/// times the targets of the largest deployment to design for.
const MAX_REMEMBERED_TARGETS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Withdrawal of one target.
#[derive(Debug, Clone, Copy)]
struct WithdrawalEntry {
    /// When the target first asked for no calls.
    at: Instant,
    /// When it last did.
    stated_at: Instant,
    /// End of the withdrawal; `None` where it is for good.
    until: Option<Instant>,
}

impl WithdrawalEntry {
    fn is_active(self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// Merges a withdrawal with the one before: the earlier start and the later end apply.
    fn merged_with(self, before: Option<Self>) -> Self {
        before.map_or(self, |before| Self {
            at: before.at,
            stated_at: self.stated_at,
            until: before.until.zip(self.until).map(|(a, b)| a.max(b)),
        })
    }
}

/// Withdrawal of a target that accepts no calls now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withdrawn {
    /// Time since the target first asked for no calls.
    pub age: Duration,
    /// Time left; `None` where it is for good.
    pub left: Option<Duration>,
}

/// Targets that accept no calls from this router.
#[derive(Debug)]
pub struct Withdrawals {
    by_target: LruCache<TargetId, WithdrawalEntry, FxBuildHasher>,
    /// When a connection to each target last broke or could not be opened.
    broke_at: LruCache<TargetId, Instant, FxBuildHasher>,
}

impl Default for Withdrawals {
    fn default() -> Self {
        Self {
            by_target: LruCache::with_hasher(MAX_REMEMBERED_TARGETS, FxBuildHasher),
            broke_at: LruCache::with_hasher(MAX_REMEMBERED_TARGETS, FxBuildHasher),
        }
    }
}

impl Withdrawals {
    /// Records a withdrawal. Returns whether it is a change: the target accepted calls until now,
    /// or is leaving where it only backed off before.
    pub fn on_withdrawal(
        &mut self,
        now: Instant,
        target: &TargetId,
        withdrawal: Withdrawal,
    ) -> bool {
        let before = self
            .by_target
            .peek(target)
            .copied()
            .filter(|b| b.is_active(now));
        let current = WithdrawalEntry {
            at: now,
            stated_at: now,
            until: withdrawal.backoff().map(|backoff| now + backoff),
        };
        let current = current.merged_with(before);
        self.by_target.put(target.clone(), current);
        before.is_none_or(|b| b.until.is_some() && current.until.is_none())
    }

    /// Records that a connection to a target broke or could not be opened.
    pub fn on_broke(&mut self, now: Instant, target: &TargetId) {
        self.broke_at.put(target.clone(), now);
    }

    /// Handles a restart, of which the router learns later than connections to the new instance open. A backoff
    /// that was asked for after the last break of a connection is the new instance's.
    pub fn on_restarted(&mut self, former: &TargetId, current: &TargetId) {
        let broke_at = self.broke_at.pop(former);
        let stated = self.by_target.peek(former).copied();
        let stated =
            stated.filter(|s| s.until.is_some() && broke_at.is_some_and(|b| b < s.stated_at));
        if let Some(stated) = stated {
            self.by_target.put(current.clone(), stated);
        }
    }

    /// Returns the withdrawal of a target that accepts no calls now.
    pub fn get(&self, now: Instant, target: &TargetId) -> Option<Withdrawn> {
        let withdrawal = self.by_target.peek(target).filter(|s| s.is_active(now))?;
        Some(Withdrawn {
            age: now.since(withdrawal.at),
            left: withdrawal.until.map(|until| until.since(now)),
        })
    }

    /// Returns the targets that accept calls.
    pub fn accepting<'a>(
        &self,
        now: Instant,
        targets: &'a [Rc<TargetRecord>],
    ) -> Vec<&'a Rc<TargetRecord>> {
        let accepting = targets.iter().filter(|t| self.get(now, &t.id).is_none());
        accepting.collect()
    }

    /// Returns why none of these targets accepts calls; `None` where one does.
    pub fn all_withdrawn(
        &self,
        now: Instant,
        targets: &[Rc<TargetRecord>],
    ) -> Option<PlacementError> {
        let all: Option<Vec<Withdrawn>> = targets.iter().map(|t| self.get(now, &t.id)).collect();
        let earliest_end = all?.into_iter().filter_map(|w| w.left).min();
        Some(match earliest_end {
            Some(left) => PlacementError::AllBackedOff { left },
            None => PlacementError::AllLeaving,
        })
    }

    /// Removes backoffs that are over; returns their targets.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        let expired = self.by_target.iter().filter(|(_, s)| !s.is_active(now));
        let expired: Vec<TargetId> = expired.map(|(id, _)| id.clone()).collect();
        for target in &expired {
            self.by_target.pop(target);
        }
        expired
    }

    /// Number of targets that accept no calls: those for good, and those for a while.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let active = self.by_target.iter().filter(|(_, s)| s.is_active(now));
        let for_good = active.clone().filter(|(_, s)| s.until.is_none()).count();
        (for_good, active.count() - for_good)
    }
}

//! Targets that want no calls, as they say in the heads of their answers: for good as they leave, or for a while.
//!
//! Decides from these alone, for the router that got them, which targets get nothing. A target's entry in the list says that it leaves
//! too, but later, and not while the store is away; it never says that a target wants nothing for a while. What was said
//! holds for that life of the target, whatever becomes of its entry; its next life has another [`TargetId`].

use std::{fmt, num::NonZeroUsize, rc::Rc, str::FromStr, time::Duration};

use lru::LruCache;
use rustc_hash::FxBuildHasher;

use crate::{
    discovery::TargetRecord,
    ids::{IdError, TargetId},
    placement::choice::NoChoice,
    units::Instant,
};

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

    /// What a head says that may name both: a target that leaves wants no calls after that time either.
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

/// What a caller is asked to stay away beyond a backoff, in parts of it: routers were not asked at the same moment, and it may return
/// through another one. Of callers that were refused by the plain time 0.28 to 0.44 are refused again, with this 0.08 to 0.33
/// (`tests/load/withdrawals.rs`, all targets, 7 routers).
const BACKOFF_MARGIN: f64 = 0.1;

/// The part of a backoff by which callers are spread beyond that.
const BACKOFF_SPREAD: f64 = 0.2;

/// The pause for a caller where no target wants calls before `backoff` is over: never less, however long it waits in
/// all, as each earlier return is refused again.
pub fn come_back(backoff: Duration, draw: f64) -> Duration {
    backoff.mul_f64(1.0 + BACKOFF_MARGIN + BACKOFF_SPREAD * draw)
}

/// Lives of targets that are remembered, those that said something last: three times the targets of the largest
/// deployment to design for.
const REMEMBERED: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// What is remembered of a target.
#[derive(Debug, Clone, Copy)]
struct Said {
    at: Instant,
    /// Until when it wants no calls; `None` for good.
    until: Option<Instant>,
}

impl Said {
    fn is_on(self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// What it comes to with what was said before: of two times the later end counts.
    fn with(self, before: Option<Self>) -> Self {
        before.map_or(self, |before| Self {
            at: before.at,
            until: before.until.zip(self.until).map(|(a, b)| a.max(b)),
        })
    }
}

/// A target that wants no calls now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withdrawn {
    /// How long ago it said so first.
    pub age: Duration,
    /// For how much longer; `None` for good.
    pub left: Option<Duration>,
}

/// Which targets want no calls from this router.
#[derive(Debug)]
pub struct Withdrawals {
    said: LruCache<TargetId, Said, FxBuildHasher>,
}

impl Default for Withdrawals {
    fn default() -> Self {
        Self {
            said: LruCache::with_hasher(REMEMBERED, FxBuildHasher),
        }
    }
}

impl Withdrawals {
    /// A target said something of itself; returns whether that is news: it got calls until now, or leaves where it only backed off.
    pub fn on_said(&mut self, now: Instant, target: &TargetId, withdrawal: Withdrawal) -> bool {
        let before = self.said.peek(target).copied().filter(|b| b.is_on(now));
        let said = Said {
            at: now,
            until: withdrawal.backoff().map(|backoff| now + backoff),
        };
        let said = said.with(before);
        self.said.put(target.clone(), said);
        before.is_none_or(|b| b.until.is_some() && said.until.is_none())
    }

    /// Whether a target wants no calls, and for how long.
    pub fn of(&self, now: Instant, target: &TargetId) -> Option<Withdrawn> {
        let said = self.said.peek(target).filter(|s| s.is_on(now))?;
        Some(Withdrawn {
            age: now.since(said.at),
            left: said.until.map(|until| until.since(now)),
        })
    }

    /// The targets that want calls.
    pub fn without<'a>(
        &self,
        now: Instant,
        targets: &'a [Rc<TargetRecord>],
    ) -> Vec<&'a Rc<TargetRecord>> {
        let open = targets.iter().filter(|t| self.of(now, &t.id).is_none());
        open.collect()
    }

    /// Why none of these targets gets calls; `None` where one wants some.
    pub fn none_of(&self, now: Instant, targets: &[Rc<TargetRecord>]) -> Option<NoChoice> {
        let all: Option<Vec<Withdrawn>> = targets.iter().map(|t| self.of(now, &t.id)).collect();
        let soonest = all?.into_iter().filter_map(|w| w.left).min();
        Some(match soonest {
            Some(left) => NoChoice::AllBackedOff { left },
            None => NoChoice::AllLeaving,
        })
    }

    /// Forgets times that are over; returns their targets.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        let over = self.said.iter().filter(|(_, s)| !s.is_on(now));
        let over: Vec<TargetId> = over.map(|(id, _)| id.clone()).collect();
        for target in &over {
            self.said.pop(target);
        }
        over
    }

    /// How many targets want no calls, for good and for a while.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let on = self.said.iter().filter(|(_, s)| s.is_on(now));
        let for_good = on.clone().filter(|(_, s)| s.until.is_none()).count();
        (for_good, on.count() - for_good)
    }
}

//! Requests under which targets end, held back by all routers: decides from the attempts that broke off as
//! their target ended, here and at peers, which request ended it.
//!
//! The load pattern that this answers: a caller's request ends each target that begins to run it and comes back as
//! a new call through any router, beside calls that break off with it. Those ran at one target that ended, seldom at
//! two; the request itself at all of them. A request that a target answered is no such request.

use std::{num::NonZeroUsize, time::Duration};

use lru::LruCache;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, target_counts::TargetHash, units::Instant};

/// Targets that have to end under a request for it to be held back: the users' rule allows three. With two, three calls
/// beside such requests would have been held back as well (of the lines of attempts kept of a day with some sixty endings).
const ENDED: usize = 3;

/// How long a request is held back after it was last found to come, and an ending counts. The longest lease of
/// the users' store.
pub const HELD_FOR: Duration = Duration::from_mins(10);

/// An entry in the store is renewed for a request that still comes when so much of that time is left.
const RENEWED_AT: Duration = Duration::from_mins(5);

/// How long an answer shows that targets survive a request, as several that run it at once may end for
/// another reason.
const ANSWER_COUNTS: Duration = Duration::from_mins(1);

/// A target that started again under its name does not end twice within this time.
const SAME_ENDING: Duration = Duration::from_millis(500);

/// How long an ending is announced to peers: some heartbeats, of which one arrives.
const ANNOUNCED_FOR: Duration = Duration::from_millis(1_500);

/// Endings that one datagram names at the most, some 14 bytes each.
const NOTICES: usize = 48;

/// Held requests that one datagram names at the most, some 12 bytes each.
const HELD_NOTICES: usize = 32;

/// Suspects and held requests that are remembered, and answered requests: some hundred kilobytes.
const SUSPECTS: usize = 2_048;
const HELD: usize = 512;
const ANSWERED: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// A target ended while it ran a request.
#[derive(Debug, Clone, Copy)]
struct Ending {
    target: TargetHash,
    at: Instant,
}

/// An ending as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndingNotice {
    fingerprint: Fingerprint,
    target: TargetHash,
    /// How long ago it was found.
    age_ms: u16,
}

/// A request that is held back and is not known to be entered in the store, as routers tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNotice {
    fingerprint: Fingerprint,
    /// For how much longer.
    left_s: u16,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy)]
struct Held {
    until: Instant,
    /// Whether this router is to enter it in the store.
    is_unsaved: bool,
    /// Whether it is entered in the store, from where all routers have it.
    is_stored: bool,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is held back from now on.
    HeldBack,
    /// It is let through again.
    LetThrough,
}

/// What is known of requests under which targets ended.
#[derive(Debug)]
pub struct Quarantine {
    suspects: FxHashMap<Fingerprint, Vec<Ending>>,
    held: FxHashMap<Fingerprint, Held>,
    answered: LruCache<Fingerprint, Instant>,
    unannounced: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: FxHashMap::default(),
            held: FxHashMap::default(),
            answered: LruCache::new(ANSWERED),
            unannounced: false,
        }
    }
}

impl Quarantine {
    /// How long a request is still held back; `None` where it may be sent.
    pub fn held_for(&self, now: Instant, request: Fingerprint) -> Option<Duration> {
        let held = self.held.get(&request).filter(|held| now < held.until)?;
        Some(held.until.since(now))
    }

    /// A held request came: it stays held, and its entry in the store is renewed in time.
    pub fn on_refused(&mut self, now: Instant, request: Fingerprint) {
        let Some(held) = self.held.get_mut(&request) else {
            return;
        };
        held.is_unsaved |= held.until.since(now) <= RENEWED_AT;
    }

    /// A target answered a request, whatever it answered, and goes on.
    pub fn on_answered(&mut self, now: Instant, request: Fingerprint) -> Option<Change> {
        self.answered.put(request, now);
        self.suspects.remove(&request);
        let was_held = self.held.remove(&request).is_some();
        was_held.then_some(Change::LetThrough)
    }

    /// Whether a target that ends under a request says anything of it.
    pub fn may_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        let answered = self.answered.peek(&request);
        answered.is_none_or(|at| now.since(*at) > ANSWER_COUNTS)
    }

    /// A target was found to have ended while it ran a request of this router's.
    pub fn on_ending(
        &mut self,
        now: Instant,
        request: Fingerprint,
        target: TargetHash,
    ) -> Option<Change> {
        let change = self.find(now, now, request, target);
        // Few routers saw an ending themselves, so few write the entry.
        if let Some(held) = self.held.get_mut(&request) {
            held.is_unsaved |= change.is_some();
        }
        change
    }

    /// A peer announced endings, its own ones or others'. Returns the requests that are held back for it.
    pub fn on_notices(&mut self, now: Instant, notices: &[EndingNotice]) -> Vec<Fingerprint> {
        let mut held = Vec::new();
        for notice in notices {
            let at = now.before(Duration::from_millis(u64::from(notice.age_ms)));
            let found = self.find(now, at, notice.fingerprint, notice.target);
            held.extend(found.map(|_| notice.fingerprint));
        }
        held
    }

    /// The store holds a request back for all routers.
    pub fn on_stored(&mut self, now: Instant, request: Fingerprint) -> Option<Change> {
        let before = self.hold(now + HELD_FOR, request);
        if let Some(held) = self.held.get_mut(&request) {
            held.is_stored = true;
        }
        (!before).then_some(Change::HeldBack)
    }

    /// A peer holds requests back that it does not know to be entered. Returns those that are held back for it.
    pub fn on_held_notices(&mut self, now: Instant, notices: &[HeldNotice]) -> Vec<Fingerprint> {
        let mut held = Vec::new();
        for HeldNotice {
            fingerprint,
            left_s,
        } in notices
        {
            let left = Duration::from_secs(u64::from(*left_s)).min(HELD_FOR);
            if self.may_suspect(now, *fingerprint) && !self.hold(now + left, *fingerprint) {
                held.push(*fingerprint);
            }
        }
        held
    }

    /// Requests that are held back and have no entry in the store, as that is away or slow. Without these notices routers that
    /// start meanwhile send such a request on, and targets end under it again.
    pub fn held_notices(&self, now: Instant) -> Vec<HeldNotice> {
        let untold = self.held.iter().filter(|(_, held)| !held.is_stored);
        let notice = |(request, held): (&Fingerprint, &Held)| HeldNotice {
            fingerprint: *request,
            left_s: held.until.since(now).as_secs() as u16,
        };
        let mut notices: Vec<HeldNotice> = untold.map(notice).collect();
        notices.sort_unstable_by_key(|n| u16::MAX - n.left_s);
        notices.truncate(HELD_NOTICES);
        notices
    }

    /// Requests that no entry tells of are this router's to enter, where it is the one that looks after them.
    pub fn on_keeper(&mut self, is_keeper: impl Fn(Fingerprint) -> bool) -> bool {
        let mut any = false;
        for (request, held) in self.held.iter_mut().filter(|(_, held)| !held.is_stored) {
            held.is_unsaved |= is_keeper(*request);
            any |= held.is_unsaved;
        }
        any
    }

    /// Its entry in the store is gone: its time was over, or an operator removed it.
    pub fn on_removed(&mut self, request: Fingerprint) -> Option<Change> {
        self.suspects.remove(&request);
        let was_held = self.held.remove(&request).is_some();
        was_held.then_some(Change::LetThrough)
    }

    /// What to announce to the peers, of what was suspected most often first.
    pub fn notices(&self, now: Instant) -> Vec<EndingNotice> {
        let mut found: Vec<(usize, EndingNotice)> = Vec::new();
        for (fingerprint, endings) in &self.suspects {
            let recent = endings
                .iter()
                .filter(|e| now.since(e.at) < ANNOUNCED_FOR)
                .map(|e| EndingNotice {
                    fingerprint: *fingerprint,
                    target: e.target,
                    age_ms: now.since(e.at).as_millis() as u16,
                });
            found.extend(recent.map(|notice| (endings.len(), notice)));
        }
        found.sort_unstable_by_key(|(endings, n)| (usize::MAX - endings, n.age_ms));
        found.truncate(NOTICES);
        found.into_iter().map(|(_, notice)| notice).collect()
    }

    /// Whether endings were found or heard of since the last call.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Requests that this router is to enter in the store.
    pub fn unsaved(&self) -> Vec<Fingerprint> {
        let unsaved = self.held.iter().filter(|(_, held)| held.is_unsaved);
        unsaved.map(|(request, _)| *request).collect()
    }

    /// A request was entered in the store.
    pub fn on_saved(&mut self, now: Instant, request: Fingerprint) {
        if let Some(held) = self.held.get_mut(&request) {
            held.is_unsaved = false;
            held.is_stored = true;
            held.until = now + HELD_FOR;
        }
    }

    /// The store was set back, and may have lost entries: what is held back is announced to peers and entered anew.
    pub fn on_set_back(&mut self) {
        self.held
            .values_mut()
            .for_each(|held| held.is_stored = false);
    }

    /// Requests that are held back, and for how long still.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let held = self.held.iter();
        held.map(move |(request, held)| (*request, held.until.since(now)))
    }

    /// Suspects that are remembered.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Forgets what is over; returns the requests that are let through again.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.suspects.retain(|_, endings| {
            endings.retain(|e| now.since(e.at) < HELD_FOR);
            !endings.is_empty()
        });
        let over = self.held.extract_if(|_, held| now >= held.until);
        over.map(|(request, _)| request).collect()
    }

    /// Notes an ending that was found at `at`; returns whether its request is held back for it.
    fn find(
        &mut self,
        now: Instant,
        at: Instant,
        request: Fingerprint,
        target: TargetHash,
    ) -> Option<Change> {
        if self.held.contains_key(&request) || !self.may_suspect(now, request) {
            return None;
        }
        self.make_room(request);
        let endings = self.suspects.entry(request).or_default();
        let is_same = |e: &Ending| {
            let apart = e.at.since(at).max(at.since(e.at));
            e.target == target && apart < SAME_ENDING
        };
        if endings.iter().any(is_same) {
            return None;
        }
        endings.push(Ending { target, at });
        self.unannounced = true;
        if endings.len() < ENDED {
            return None;
        }
        self.hold(now + HELD_FOR, request);
        Some(Change::HeldBack)
    }

    /// Holds a request back until then at least; returns whether it was so before.
    fn hold(&mut self, until: Instant, request: Fingerprint) -> bool {
        if let Some(held) = self.held.get_mut(&request) {
            held.until = held.until.max(until);
            return true;
        }
        if self.held.len() >= HELD {
            let first = self.held.iter().min_by_key(|(_, held)| held.until);
            let first = first.map(|(request, _)| *request);
            first.and_then(|request| self.held.remove(&request));
        }
        let held = Held {
            until,
            is_unsaved: false,
            is_stored: false,
        };
        self.held.insert(request, held);
        false
    }

    /// Makes room for one more suspect; the one with the fewest and oldest endings goes.
    fn make_room(&mut self, request: Fingerprint) {
        if self.suspects.len() < SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let last = |endings: &Vec<Ending>| endings.last().map_or(Instant::default(), |e| e.at);
        let weakest = self.suspects.iter();
        let weakest = weakest.min_by_key(|(_, endings)| (endings.len(), last(endings)));
        let weakest = weakest.map(|(request, _)| *request);
        weakest.and_then(|request| self.suspects.remove(&request));
    }
}

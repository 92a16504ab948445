//! Quarantine of requests that crash targets. Decides which request crashed a target from the
//! attempts that broke off as their target crashed, at this router and at its peers. All routers
//! reject a quarantined request.
//!
//! It is made for this load pattern: a caller's request crashes each target that begins to run it,
//! and returns as a new call through any router. Other calls that run at the same target break off
//! with it. These ran at one target that crashed, seldom at two, but the request itself ran at all
//! of them. A request that a target answered is not the cause.

use std::{num::NonZeroUsize, time::Duration};

use lru::LruCache;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, target_counts::TargetHash, units::Instant};

/// Number of crashes under a request from which on it is quarantined; the users' rule allows three.
/// With a threshold of two, three calls that ran beside such requests would have been quarantined
/// as well (by the log lines of attempts of a day with some sixty crashes).
const CRASHES_TO_QUARANTINE: usize = 3;

/// Duration of a quarantine from its start or last renewal, and time for which a crash counts
/// towards one. It is the longest lease of the users' store.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// Time left of a quarantine from which on its entry in the store is renewed if the request still
/// arrives.
const RENEWAL_THRESHOLD: Duration = Duration::from_mins(5);

/// Time after an answer for which crashes are not attributed to the request: its targets survive
/// it, and several that run it at once may crash for another reason.
const ANSWER_TTL: Duration = Duration::from_mins(1);

/// Time within which crashes of one target are the same crash: a target that restarted under its
/// name does not crash again that soon.
const SAME_CRASH_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a crash is announced to peers: several heartbeats, of which one arrives.
const ANNOUNCE_DURATION: Duration = Duration::from_millis(1_500);

/// Maximum number of crashes in one datagram, at some 14 bytes each.
const MAX_CRASH_NOTICES: usize = 48;

/// Maximum number of quarantined requests in one datagram, at some 12 bytes each.
const MAX_QUARANTINE_NOTICES: usize = 32;

/// Maximum number of suspected requests that are remembered. With the two limits below, these take
/// some hundred kilobytes.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of quarantined requests that are remembered.
const MAX_QUARANTINED: usize = 512;
/// Maximum number of answered requests that are remembered.
const MAX_ANSWERED: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// A crash of a target while it ran a request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    target: TargetHash,
    at: Instant,
}

/// A crash as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    fingerprint: Fingerprint,
    target: TargetHash,
    /// Time since the crash was found, in milliseconds.
    age_ms: u16,
}

/// A quarantined request that is not known to be in the store, as routers announce it to one
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    fingerprint: Fingerprint,
    /// Time left of the quarantine, in seconds.
    left_s: u16,
}

/// Quarantine of one request.
#[derive(Debug, Clone, Copy)]
struct QuarantineEntry {
    until: Instant,
    /// Whether this router has to write the request's entry to the store.
    is_unsaved: bool,
    /// Whether the request has an entry in the store, which all routers read.
    is_stored: bool,
}

/// A change in the quarantine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is quarantined from now on.
    Quarantined,
    /// The request is accepted again.
    Released,
}

/// Requests that are suspected of crashing targets, quarantined, or known to be harmless by an
/// answer.
#[derive(Debug)]
pub struct Quarantine {
    suspects: FxHashMap<Fingerprint, Vec<Crash>>,
    quarantined: FxHashMap<Fingerprint, QuarantineEntry>,
    answered: LruCache<Fingerprint, Instant>,
    unannounced: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: FxHashMap::default(),
            quarantined: FxHashMap::default(),
            answered: LruCache::new(MAX_ANSWERED),
            unannounced: false,
        }
    }
}

impl Quarantine {
    /// Returns the time left of a request's quarantine; `None` where the request may be sent.
    pub fn time_left(&self, now: Instant, request: Fingerprint) -> Option<Duration> {
        let entry = self
            .quarantined
            .get(&request)
            .filter(|entry| now < entry.until)?;
        Some(entry.until.since(now))
    }

    /// Handles the rejection of a quarantined request: its entry in the store is renewed if little
    /// time is left.
    pub fn on_refused(&mut self, now: Instant, request: Fingerprint) {
        let Some(entry) = self.quarantined.get_mut(&request) else {
            return;
        };
        entry.is_unsaved |= entry.until.since(now) <= RENEWAL_THRESHOLD;
    }

    /// Handles an answer to a request, whatever its content, from a target that keeps running: the
    /// request is no longer suspected or quarantined.
    pub fn on_answered(&mut self, now: Instant, request: Fingerprint) -> Option<QuarantineChange> {
        self.answered.put(request, now);
        self.suspects.remove(&request);
        let was_quarantined = self.quarantined.remove(&request).is_some();
        was_quarantined.then_some(QuarantineChange::Released)
    }

    /// Whether a crash of a target may be attributed to a request.
    pub fn may_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        let answered = self.answered.peek(&request);
        answered.is_none_or(|at| now.since(*at) > ANSWER_TTL)
    }

    /// Handles a crash of a target while it ran a request that this router sent to it.
    pub fn on_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        target: TargetHash,
    ) -> Option<QuarantineChange> {
        let change = self.record_crash(now, now, request, target);
        // Only the few routers that saw a crash themselves write the entry.
        if let Some(entry) = self.quarantined.get_mut(&request) {
            entry.is_unsaved |= change.is_some();
        }
        change
    }

    /// Handles crashes that a peer announced, whether it saw them itself or not. Returns the
    /// requests that are quarantined as a result.
    pub fn on_crash_notices(&mut self, now: Instant, notices: &[CrashNotice]) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for notice in notices {
            let at = now.before(Duration::from_millis(u64::from(notice.age_ms)));
            let change = self.record_crash(now, at, notice.fingerprint, notice.target);
            quarantined.extend(change.map(|_| notice.fingerprint));
        }
        quarantined
    }

    /// Handles an entry in the store, which quarantines a request at all routers.
    pub fn on_stored(&mut self, now: Instant, request: Fingerprint) -> Option<QuarantineChange> {
        let was_quarantined = self.quarantine_until(now + QUARANTINE_DURATION, request);
        if let Some(entry) = self.quarantined.get_mut(&request) {
            entry.is_stored = true;
        }
        (!was_quarantined).then_some(QuarantineChange::Quarantined)
    }

    /// Handles quarantined requests that a peer does not know to be in the store. Returns those
    /// that are quarantined here as a result.
    pub fn on_quarantine_notices(
        &mut self,
        now: Instant,
        notices: &[QuarantineNotice],
    ) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for QuarantineNotice {
            fingerprint,
            left_s,
        } in notices
        {
            let left = Duration::from_secs(u64::from(*left_s)).min(QUARANTINE_DURATION);
            if self.may_suspect(now, *fingerprint)
                && !self.quarantine_until(now + left, *fingerprint)
            {
                quarantined.push(*fingerprint);
            }
        }
        quarantined
    }

    /// Returns the quarantined requests that have no entry in the store, as the store is
    /// unavailable or slow; those with the most time left come first. Without these notices,
    /// routers that start in the meantime would send such a request on, and targets would crash
    /// under it again.
    pub fn quarantine_notices(&self, now: Instant) -> Vec<QuarantineNotice> {
        let unstored = self
            .quarantined
            .iter()
            .filter(|(_, entry)| !entry.is_stored);
        let notice = |(request, entry): (&Fingerprint, &QuarantineEntry)| QuarantineNotice {
            fingerprint: *request,
            left_s: entry.until.since(now).as_secs() as u16,
        };
        let mut notices: Vec<QuarantineNotice> = unstored.map(notice).collect();
        notices.sort_unstable_by_key(|n| u16::MAX - n.left_s);
        notices.truncate(MAX_QUARANTINE_NOTICES);
        notices
    }

    /// Marks the quarantined requests without an entry in the store whose owner is this router, so
    /// that it writes their entries. Returns whether any entry is to be written.
    pub fn mark_unsaved(&mut self, is_keeper: impl Fn(Fingerprint) -> bool) -> bool {
        let mut any = false;
        for (request, entry) in self
            .quarantined
            .iter_mut()
            .filter(|(_, entry)| !entry.is_stored)
        {
            entry.is_unsaved |= is_keeper(*request);
            any |= entry.is_unsaved;
        }
        any
    }

    /// Handles the removal of a request's entry from the store: its lease expired, an operator
    /// removed it, or a router did after a target answered the request.
    pub fn on_removed(&mut self, request: Fingerprint) -> Option<QuarantineChange> {
        self.suspects.remove(&request);
        let was_quarantined = self.quarantined.remove(&request).is_some();
        was_quarantined.then_some(QuarantineChange::Released)
    }

    /// Returns the recent crashes to announce to peers, beginning with those of the requests with
    /// the most crashes.
    pub fn crash_notices(&self, now: Instant) -> Vec<CrashNotice> {
        let mut ranked: Vec<(usize, CrashNotice)> = Vec::new();
        for (fingerprint, crashes) in &self.suspects {
            let recent = crashes
                .iter()
                .filter(|e| now.since(e.at) < ANNOUNCE_DURATION)
                .map(|e| CrashNotice {
                    fingerprint: *fingerprint,
                    target: e.target,
                    age_ms: now.since(e.at).as_millis() as u16,
                });
            ranked.extend(recent.map(|notice| (crashes.len(), notice)));
        }
        ranked.sort_unstable_by_key(|(crashes, n)| (usize::MAX - crashes, n.age_ms));
        ranked.truncate(MAX_CRASH_NOTICES);
        ranked.into_iter().map(|(_, notice)| notice).collect()
    }

    /// Returns whether crashes were found here or announced by peers since the last call.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Returns the requests whose entries this router has to write to the store.
    pub fn unsaved(&self) -> Vec<Fingerprint> {
        let unsaved = self
            .quarantined
            .iter()
            .filter(|(_, entry)| entry.is_unsaved);
        unsaved.map(|(request, _)| *request).collect()
    }

    /// Handles a completed write of a request's entry to the store.
    pub fn on_saved(&mut self, now: Instant, request: Fingerprint) {
        if let Some(entry) = self.quarantined.get_mut(&request) {
            entry.is_unsaved = false;
            entry.is_stored = true;
            entry.until = now + QUARANTINE_DURATION;
        }
    }

    /// Handles a store that was reverted to an older copy and may have lost entries: quarantined
    /// requests are announced to peers and written to the store again.
    pub fn on_store_reverted(&mut self) {
        self.quarantined
            .values_mut()
            .for_each(|entry| entry.is_stored = false);
    }

    /// Returns the quarantined requests, each with the time left.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let entries = self.quarantined.iter();
        entries.map(move |(request, entry)| (*request, entry.until.since(now)))
    }

    /// Number of suspected requests that are remembered.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Removes crashes and quarantines whose time is over; returns the requests that are accepted
    /// again.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|e| now.since(e.at) < QUARANTINE_DURATION);
            !crashes.is_empty()
        });
        let expired = self.quarantined.extract_if(|_, entry| now >= entry.until);
        expired.map(|(request, _)| request).collect()
    }

    /// Records a crash that was found at `at`; returns the change if its request is quarantined as
    /// a result.
    fn record_crash(
        &mut self,
        now: Instant,
        at: Instant,
        request: Fingerprint,
        target: TargetHash,
    ) -> Option<QuarantineChange> {
        if self.quarantined.contains_key(&request) || !self.may_suspect(now, request) {
            return None;
        }
        self.make_room(request);
        let crashes = self.suspects.entry(request).or_default();
        let is_same_crash = |e: &Crash| {
            let interval = e.at.since(at).max(at.since(e.at));
            e.target == target && interval < SAME_CRASH_INTERVAL
        };
        if crashes.iter().any(is_same_crash) {
            return None;
        }
        crashes.push(Crash { target, at });
        self.unannounced = true;
        if crashes.len() < CRASHES_TO_QUARANTINE {
            return None;
        }
        self.quarantine_until(now + QUARANTINE_DURATION, request);
        Some(QuarantineChange::Quarantined)
    }

    /// Quarantines a request until `until` at least; returns whether it was quarantined before.
    fn quarantine_until(&mut self, until: Instant, request: Fingerprint) -> bool {
        if let Some(entry) = self.quarantined.get_mut(&request) {
            entry.until = entry.until.max(until);
            return true;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let earliest = self.quarantined.iter().min_by_key(|(_, entry)| entry.until);
            let earliest = earliest.map(|(request, _)| *request);
            earliest.and_then(|request| self.quarantined.remove(&request));
        }
        let entry = QuarantineEntry {
            until,
            is_unsaved: false,
            is_stored: false,
        };
        self.quarantined.insert(request, entry);
        false
    }

    /// Makes room for one more suspect, by removing the one with the fewest crashes, and of several
    /// such ones the one whose last crash is the oldest.
    fn make_room(&mut self, request: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let last = |crashes: &Vec<Crash>| crashes.last().map_or(Instant::default(), |e| e.at);
        let weakest = self.suspects.iter();
        let weakest = weakest.min_by_key(|(_, crashes)| (crashes.len(), last(crashes)));
        let weakest = weakest.map(|(request, _)| *request);
        weakest.and_then(|request| self.suspects.remove(&request));
    }
}

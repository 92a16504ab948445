//! Quarantine of requests that crash targets, and of parts of prompts that crash each target which begins to
//! answer a request with them. All routers reject what is quarantined.
//!
//! It is made for this load pattern: a caller's request crashes each target that begins to run it, and returns
//! as a new call through any router; or requests of which no two are alike share a part under which each of them
//! crashes its target. Other calls that run at the same target break off with it. What is the cause is decided by
//! the crashes that routers tell one another of (`crash_evidence`).

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    crash_evidence::CrashEvidence, fingerprint::Fingerprint, target_counts::TargetHash,
    units::Instant,
};
pub use crate::{
    crash_evidence::{ClearNotice, CrashNotice, CrashedCall},
    quarantine_key::{PartKey, QuarantineKey},
};

/// Duration of a quarantine from its start or last renewal. It is the longest lease of the users' store.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// Time left of a quarantine from which on its entry in the store is renewed if the request still
/// arrives.
const RENEWAL_THRESHOLD: Duration = Duration::from_mins(5);

/// Time after which one request with a quarantined part is tried. It doubles with each trial up to the duration
/// of a quarantine.
const FIRST_TRIAL_DELAY: Duration = Duration::from_mins(2);

/// Maximum number of quarantined requests and parts in one datagram, at some 16 bytes each.
const MAX_QUARANTINE_NOTICES: usize = 32;

/// Maximum number of quarantined requests and parts that are remembered.
const MAX_QUARANTINED: usize = 512;

/// A quarantined request or part that is not known to be in the store, as routers announce it to one
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    key: QuarantineKey,
    /// Time left of the quarantine, in seconds.
    left_s: u16,
}

/// Quarantine of one request or part.
#[derive(Debug, Clone, Copy)]
struct QuarantineEntry {
    since: Instant,
    until: Instant,
    /// When a request with the part may be tried, and how long after that the next one.
    trial: (Instant, Duration),
    /// Whether this router has to write the entry to the store.
    is_unsaved: bool,
    /// Whether there is an entry in the store, which all routers read.
    is_stored: bool,
}

/// A change in the quarantine of a request or a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is quarantined from now on.
    Quarantined,
    /// It is accepted again.
    Released,
}

/// Requests and parts that are quarantined, and the evidence against others.
#[derive(Debug, Default)]
pub struct Quarantine {
    quarantined: FxHashMap<QuarantineKey, QuarantineEntry>,
    evidence: CrashEvidence,
}

impl Quarantine {
    /// Returns the time left of a quarantine; `None` where the request, or one with the part, may be sent.
    pub fn time_left(&self, now: Instant, key: impl Into<QuarantineKey>) -> Option<Duration> {
        let entry = self
            .quarantined
            .get(&key.into())
            .filter(|entry| now < entry.until)?;
        Some(entry.until.since(now))
    }

    /// Handles the rejection of a quarantined request: the entry in the store is renewed if little
    /// time is left.
    pub fn on_refused(&mut self, now: Instant, key: impl Into<QuarantineKey>) {
        let Some(entry) = self.quarantined.get_mut(&key.into()) else {
            return;
        };
        entry.is_unsaved |= entry.until.since(now) <= RENEWAL_THRESHOLD;
    }

    /// Takes the trial of a quarantined part, if one is due: one request with it may be sent. Only the owner of
    /// the part calls this, so that the whole fleet makes one trial.
    pub fn take_trial(&mut self, now: Instant, part: PartKey) -> bool {
        let Some(entry) = self.quarantined.get_mut(&part.into()) else {
            return false;
        };
        let (due, delay) = entry.trial;
        if now < due {
            return false;
        }
        let next = (delay * 2).min(QUARANTINE_DURATION);
        entry.trial = (now + next, next);
        true
    }

    /// Handles an answer to a request, whatever its content, from a target that keeps running: the
    /// request is no longer suspected or quarantined.
    pub fn on_answered(&mut self, now: Instant, request: Fingerprint) -> Option<QuarantineChange> {
        self.evidence.on_answered(now, request);
        let was_quarantined = self.quarantined.remove(&request.into()).is_some();
        was_quarantined.then_some(QuarantineChange::Released)
    }

    /// Handles an answer to a request whose prompt has these parts: none of them crashes targets. Returns those
    /// that were quarantined.
    pub fn on_parts_answered(&mut self, now: Instant, parts: &[PartKey]) -> Vec<PartKey> {
        let mut released = Vec::new();
        for part in parts {
            self.evidence.on_part_answered(now, *part);
            if self.quarantined.remove(&(*part).into()).is_some() {
                self.evidence.on_cleared(*part, now);
                released.push(*part);
            }
        }
        released
    }

    /// Handles parts that targets answered by the word of a peer. Returns those that were quarantined.
    pub fn on_clear_notices(&mut self, now: Instant, notices: &[ClearNotice]) -> Vec<PartKey> {
        let mut released = Vec::new();
        for ClearNotice { part, age_ms } in notices {
            let at = now.before(Duration::from_millis(u64::from(*age_ms)));
            self.evidence.on_part_answered(at, *part);
            let entry = self.quarantined.get(&(*part).into());
            if entry.is_some_and(|entry| entry.since < at) {
                self.quarantined.remove(&(*part).into());
                released.push(*part);
            }
        }
        released
    }

    /// Whether a crash of a target may be attributed to a request.
    pub fn may_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        self.evidence.may_suspect(now, request)
    }

    /// Handles a crash of a target while it ran a request that this router sent to it.
    pub fn on_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        target: TargetHash,
    ) -> Option<QuarantineChange> {
        let call = CrashedCall {
            request,
            parts: &[],
        };
        let quarantined = self.on_crashed_calls(now, target, &[call]);
        let is_quarantined = quarantined.iter().any(|key| *key == request);
        is_quarantined.then_some(QuarantineChange::Quarantined)
    }

    /// Handles a crash of a target while it ran calls that this router sent to it. Returns what is quarantined
    /// as a result.
    pub fn on_crashed_calls(
        &mut self,
        now: Instant,
        target: TargetHash,
        calls: &[CrashedCall<'_>],
    ) -> Vec<QuarantineKey> {
        let quarantined = &self.quarantined;
        let is_held = |key| quarantined.contains_key(&key);
        self.evidence.on_crash(now, target, calls, is_held);
        let blamed = self.quarantine_culprits(now);
        // Only the few routers that saw a crash themselves write the entry.
        for key in &blamed {
            if let Some(entry) = self.quarantined.get_mut(key) {
                entry.is_unsaved = true;
            }
        }
        blamed
    }

    /// Handles crashes that a peer announced, whether it saw them itself or not. Returns what is
    /// quarantined as a result.
    pub fn on_crash_notices(
        &mut self,
        now: Instant,
        notices: &[CrashNotice],
    ) -> Vec<QuarantineKey> {
        let quarantined = &self.quarantined;
        let is_held = |key| quarantined.contains_key(&key);
        self.evidence.on_notices(now, notices, is_held);
        self.quarantine_culprits(now)
    }

    /// Handles an entry in the store, which quarantines a request or a part at all routers.
    pub fn on_stored(
        &mut self,
        now: Instant,
        key: impl Into<QuarantineKey>,
    ) -> Option<QuarantineChange> {
        let key = key.into();
        let was_quarantined = self.quarantine_until(now, now + QUARANTINE_DURATION, key);
        if let Some(entry) = self.quarantined.get_mut(&key) {
            entry.is_stored = true;
        }
        (!was_quarantined).then_some(QuarantineChange::Quarantined)
    }

    /// Handles requests and parts that a peer quarantined and does not know to be in the store. Returns those
    /// that are quarantined here as a result.
    pub fn on_quarantine_notices(
        &mut self,
        now: Instant,
        notices: &[QuarantineNotice],
    ) -> Vec<QuarantineKey> {
        let mut quarantined = Vec::new();
        for QuarantineNotice { key, left_s } in notices {
            let left = Duration::from_secs(u64::from(*left_s)).min(QUARANTINE_DURATION);
            let may_hold = match key {
                QuarantineKey::Request(request) => self.may_suspect(now, *request),
                QuarantineKey::Part(_) => true,
            };
            if may_hold && !self.quarantine_until(now, now + left, *key) {
                quarantined.push(*key);
            }
        }
        quarantined
    }

    /// Returns what is quarantined and has no entry in the store, as the store is
    /// unavailable or slow; those with the most time left come first. Without these notices,
    /// routers that start in the meantime would send such a request on, and targets would crash
    /// under it again.
    pub fn quarantine_notices(&self, now: Instant) -> Vec<QuarantineNotice> {
        let unstored = self
            .quarantined
            .iter()
            .filter(|(_, entry)| !entry.is_stored);
        let notice = |(key, entry): (&QuarantineKey, &QuarantineEntry)| QuarantineNotice {
            key: *key,
            left_s: entry.until.since(now).as_secs() as u16,
        };
        let mut notices: Vec<QuarantineNotice> = unstored.map(notice).collect();
        notices.sort_unstable_by_key(|n| u16::MAX - n.left_s);
        notices.truncate(MAX_QUARANTINE_NOTICES);
        notices
    }

    /// Marks what is quarantined without an entry in the store and whose owner is this router, so
    /// that it writes the entries. Returns whether any entry is to be written.
    pub fn mark_unsaved(&mut self, is_keeper: impl Fn(QuarantineKey) -> bool) -> bool {
        let mut any = false;
        for (key, entry) in self
            .quarantined
            .iter_mut()
            .filter(|(_, entry)| !entry.is_stored)
        {
            entry.is_unsaved |= is_keeper(*key);
            any |= entry.is_unsaved;
        }
        any
    }

    /// Handles the removal of an entry from the store: its lease expired, an operator
    /// removed it, or a router did after a target answered the request.
    pub fn on_removed(&mut self, key: impl Into<QuarantineKey>) -> Option<QuarantineChange> {
        let key = key.into();
        self.evidence.forget(key);
        let was_quarantined = self.quarantined.remove(&key).is_some();
        was_quarantined.then_some(QuarantineChange::Released)
    }

    /// Returns the recent crashes to announce to peers, beginning with those of the suspects with
    /// the most crashes.
    pub fn crash_notices(&self, now: Instant) -> Vec<CrashNotice> {
        self.evidence.crash_notices(now)
    }

    /// Returns the suspected parts that targets answered lately, to announce to peers.
    pub fn clear_notices(&self, now: Instant) -> Vec<ClearNotice> {
        self.evidence.clear_notices(now)
    }

    /// Returns whether crashes or answers were found here or announced by peers since the last call.
    pub fn take_unannounced(&mut self) -> bool {
        self.evidence.take_unannounced()
    }

    /// Returns what this router has to write to the store.
    pub fn unsaved(&self) -> Vec<QuarantineKey> {
        let unsaved = self
            .quarantined
            .iter()
            .filter(|(_, entry)| entry.is_unsaved);
        unsaved.map(|(key, _)| *key).collect()
    }

    /// Handles a completed write of an entry to the store.
    pub fn on_saved(&mut self, now: Instant, key: impl Into<QuarantineKey>) {
        if let Some(entry) = self.quarantined.get_mut(&key.into()) {
            entry.is_unsaved = false;
            entry.is_stored = true;
            entry.until = now + QUARANTINE_DURATION;
        }
    }

    /// Handles a store that was reverted to an older copy and may have lost entries: what is quarantined
    /// is announced to peers and written to the store again.
    pub fn on_store_reverted(&mut self) {
        self.quarantined
            .values_mut()
            .for_each(|entry| entry.is_stored = false);
    }

    /// Returns the quarantined requests and parts, each with the time left.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (QuarantineKey, Duration)> {
        let entries = self.quarantined.iter();
        entries.map(move |(key, entry)| (*key, entry.until.since(now)))
    }

    /// Number of suspected requests and parts that are remembered.
    pub fn suspect_count(&self) -> usize {
        self.evidence.suspect_count()
    }

    /// Removes crashes and quarantines whose time is over; returns what is accepted
    /// again.
    pub fn on_tick(&mut self, now: Instant) -> Vec<QuarantineKey> {
        self.evidence.on_tick(now);
        let expired = self.quarantined.extract_if(|_, entry| now >= entry.until);
        expired.map(|(key, _)| key).collect()
    }

    /// Quarantines what the evidence suffices to blame; returns it.
    fn quarantine_culprits(&mut self, now: Instant) -> Vec<QuarantineKey> {
        let mut blamed = Vec::new();
        loop {
            let quarantined = &self.quarantined;
            let is_held = |key| quarantined.contains_key(&key);
            let Some(key) = self.evidence.take_culprit(is_held) else {
                return blamed;
            };
            self.quarantine_until(now, now + QUARANTINE_DURATION, key);
            blamed.push(key);
        }
    }

    /// Quarantines a request or a part until `until` at least; returns whether it was quarantined before.
    fn quarantine_until(&mut self, now: Instant, until: Instant, key: QuarantineKey) -> bool {
        if let Some(entry) = self.quarantined.get_mut(&key) {
            entry.until = entry.until.max(until);
            return true;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let earliest = self.quarantined.iter().min_by_key(|(_, entry)| entry.until);
            let earliest = earliest.map(|(key, _)| *key);
            earliest.and_then(|key| self.quarantined.remove(&key));
        }
        let entry = QuarantineEntry {
            since: now,
            until,
            trial: (now + FIRST_TRIAL_DELAY, FIRST_TRIAL_DELAY),
            is_unsaved: false,
            is_stored: false,
        };
        self.quarantined.insert(key, entry);
        false
    }
}

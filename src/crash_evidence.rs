//! Decides what crashed targets: a request, or a part of prompts that many requests share.
//!
//! Evidence is a crash of a target under calls, as routers tell one another. Of the calls that broke off with a
//! target only one is the cause, so blame falls on what most crashes have in common and no answered call has.
//! Two kinds of calls are told apart by it: a request that comes again and again, and requests of which no two
//! are alike but which share a part. The latter crash a target as it begins to answer, so a call that had events
//! by then is no evidence against its parts.

use std::{num::NonZeroUsize, time::Duration};

use lru::LruCache;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    quarantine_key::{PartKey, QuarantineKey},
    target_counts::TargetHash,
    units::Instant,
};

/// Number of crashes from which on a request or a part is the cause; the users' rule allows three.
/// With a threshold of two, three calls that ran beside such requests would have been quarantined
/// as well (by the log lines of attempts of a day with some sixty crashes).
const CRASHES_TO_BLAME: usize = 3;

/// Minimum number of different requests among the crashes under a part. Where it is always the same request,
/// that one is the cause.
const MIN_REQUESTS_OF_PART: usize = 2;

/// Time within which crashes of several targets count once against a part: they may have a cause in common,
/// such as a loss of power, that takes calls with popular parts along.
const COMMON_CAUSE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time after an answer for which crashes are not attributed to the request: its targets survive
/// it, and several that run it at once may crash for another reason.
const ANSWER_TTL: Duration = Duration::from_mins(1);

/// Time within which crashes of one target are the same crash: a target that restarted under its
/// name does not crash again that soon.
const SAME_CRASH_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a crash or an answer is announced to peers: several heartbeats, of which one arrives.
const ANNOUNCE_DURATION: Duration = Duration::from_millis(1_500);

/// Maximum number of crashes in one datagram, at some 24 bytes each.
const MAX_CRASH_NOTICES: usize = 48;

/// Maximum number of cleared parts in one datagram, at some 16 bytes each.
const MAX_CLEAR_NOTICES: usize = 32;

/// Maximum number of suspects that are remembered. With the limits below, these take some hundred kilobytes.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of answered requests and parts that are remembered, of each.
const MAX_ANSWERED: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Maximum number of crashes that are remembered as explained.
const MAX_EXPLAINED: usize = 64;
/// Maximum number of parts of one prompt that are suspected, counted from the last one.
const MAX_PARTS_OF_PROMPT: usize = 16;

/// A call that broke off as its target crashed.
#[derive(Debug, Clone, Copy)]
pub struct CrashedCall<'a> {
    /// The request.
    pub request: Fingerprint,
    /// Parts of its prompt that may be the cause, in order; none if events had come before.
    pub parts: &'a [PartKey],
}

/// A crash of a target while it ran a request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    target: TargetHash,
    at: Instant,
    /// A few bits of the request's fingerprint.
    request: u16,
    /// Position of the part in the prompt.
    depth: u8,
}

impl Crash {
    fn is_same(&self, target: TargetHash, at: Instant) -> bool {
        let interval = self.at.since(at).max(at.since(self.at));
        self.target == target && interval < SAME_CRASH_INTERVAL
    }
}

/// A crash as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    key: QuarantineKey,
    target: TargetHash,
    /// Time since the crash was found, in milliseconds.
    age_ms: u16,
    request: u16,
    depth: u8,
}

/// A suspected part that a target answered, as routers announce it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearNotice {
    pub(crate) part: PartKey,
    /// Time since the answer, in milliseconds.
    pub(crate) age_ms: u16,
}

/// Suspected requests and parts, and those that targets answered.
#[derive(Debug)]
pub(crate) struct CrashEvidence {
    suspects: FxHashMap<QuarantineKey, Vec<Crash>>,
    answered: LruCache<Fingerprint, Instant>,
    answered_parts: LruCache<PartKey, Instant>,
    /// Parts that were suspected when a target answered, each with the time of the answer.
    cleared: Vec<(PartKey, Instant)>,
    /// Recent crashes whose cause is known.
    explained: Vec<Crash>,
    unannounced: bool,
}

impl Default for CrashEvidence {
    fn default() -> Self {
        Self {
            suspects: FxHashMap::default(),
            answered: LruCache::new(MAX_ANSWERED),
            answered_parts: LruCache::new(MAX_ANSWERED),
            cleared: Vec::new(),
            explained: Vec::new(),
            unannounced: false,
        }
    }
}

impl CrashEvidence {
    /// Whether a crash of a target may be attributed to a request.
    pub(crate) fn may_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        let answered = self.answered.peek(&request);
        answered.is_none_or(|at| now.since(*at) > ANSWER_TTL)
    }

    /// Handles an answer to a request.
    pub(crate) fn on_answered(&mut self, now: Instant, request: Fingerprint) {
        self.answered.put(request, now);
        self.suspects.remove(&request.into());
    }

    /// Handles an answer at `at` to a request with this part: crashes before it have another cause. Returns
    /// whether the part was suspected.
    pub(crate) fn on_part_answered(&mut self, at: Instant, part: PartKey) -> bool {
        let known = self.answered_parts.peek(&part).copied();
        self.answered_parts.put(part, known.unwrap_or(at).max(at));
        let Some(crashes) = self.suspects.get_mut(&part.into()) else {
            return false;
        };
        let before = crashes.len();
        crashes.retain(|crash| crash.at > at);
        let is_cleared = crashes.len() < before;
        if crashes.is_empty() {
            self.suspects.remove(&part.into());
        }
        if is_cleared {
            self.on_cleared(part, at);
        }
        is_cleared
    }

    /// Announces to peers that a target answered a request with this part.
    pub(crate) fn on_cleared(&mut self, part: PartKey, at: Instant) {
        let is_known = |(p, known): &(PartKey, Instant)| *p == part && *known >= at;
        if self.cleared.iter().any(is_known) {
            return;
        }
        self.cleared.retain(|(p, _)| *p != part);
        self.cleared.push((part, at));
        self.unannounced = true;
    }

    /// Forgets the crashes under a request or a part.
    pub(crate) fn forget(&mut self, key: QuarantineKey) {
        self.suspects.remove(&key);
    }

    /// Records a crash that this router saw, and the calls that broke off with it.
    pub(crate) fn on_crash(
        &mut self,
        now: Instant,
        target: TargetHash,
        calls: &[CrashedCall<'_>],
        is_held: impl Fn(QuarantineKey) -> bool,
    ) {
        let mut notices = Vec::new();
        for call in calls {
            let request = call.request.0 as u16;
            let notice = |key, depth| CrashNotice {
                key,
                target,
                age_ms: 0,
                request,
                depth,
            };
            notices.push(notice(call.request.into(), 0));
            let parts = call.parts.iter().enumerate().rev();
            for (depth, part) in parts.take(MAX_PARTS_OF_PROMPT) {
                let depth = u8::try_from(depth).unwrap_or(u8::MAX);
                notices.push(notice((*part).into(), depth));
            }
        }
        self.on_notices(now, &notices, is_held);
    }

    /// Records crashes that were announced. What is held explains a crash, so that nothing else is suspected of
    /// it.
    pub(crate) fn on_notices(
        &mut self,
        now: Instant,
        notices: &[CrashNotice],
        is_held: impl Fn(QuarantineKey) -> bool,
    ) {
        let at = |n: &CrashNotice| now.before(Duration::from_millis(u64::from(n.age_ms)));
        for notice in notices.iter().filter(|n| is_held(n.key)) {
            let crash = Crash {
                target: notice.target,
                at: at(notice),
                request: notice.request,
                depth: notice.depth,
            };
            self.explain(crash, notice.key);
        }
        for notice in notices.iter().filter(|n| !is_held(n.key)) {
            self.record(now, at(notice), notice);
        }
    }

    /// Returns the request or the part that most crashes have in common, if these suffice to blame it. Its
    /// crashes count against nothing else from now on.
    pub(crate) fn take_culprit(
        &mut self,
        is_held: impl Fn(QuarantineKey) -> bool,
    ) -> Option<QuarantineKey> {
        let suspects = self.suspects.iter();
        let candidates = suspects.filter(|(key, crashes)| {
            crashes.len() >= CRASHES_TO_BLAME
                && !is_held(**key)
                && evidence(**key, crashes) >= CRASHES_TO_BLAME
        });
        // Of parts that always come together, the deepest is shared by the fewest sound requests.
        let rank = |(key, crashes): &(&QuarantineKey, &Vec<Crash>)| {
            let depth = crashes.last().map_or(0, |crash| crash.depth);
            let is_part = matches!(key, QuarantineKey::Part(_));
            (crashes.len(), is_part, depth, **key)
        };
        let culprit = candidates.max_by_key(rank).map(|(key, _)| *key)?;
        let crashes = self.suspects.get(&culprit).cloned().unwrap_or_default();
        for crash in &crashes {
            self.explain(*crash, culprit);
        }
        Some(culprit)
    }

    /// Returns the recent crashes to announce to peers, beginning with those of the suspects with the most
    /// crashes.
    pub(crate) fn crash_notices(&self, now: Instant) -> Vec<CrashNotice> {
        let mut ranked: Vec<(usize, CrashNotice)> = Vec::new();
        for (key, crashes) in &self.suspects {
            let recent = crashes
                .iter()
                .filter(|e| now.since(e.at) < ANNOUNCE_DURATION)
                .map(|e| CrashNotice {
                    key: *key,
                    target: e.target,
                    age_ms: now.since(e.at).as_millis() as u16,
                    request: e.request,
                    depth: e.depth,
                });
            ranked.extend(recent.map(|notice| (crashes.len(), notice)));
        }
        ranked.sort_unstable_by_key(|(crashes, n)| (usize::MAX - crashes, n.age_ms));
        ranked.truncate(MAX_CRASH_NOTICES);
        ranked.into_iter().map(|(_, notice)| notice).collect()
    }

    /// Returns the suspected parts that targets answered lately, to announce to peers.
    pub(crate) fn clear_notices(&self, now: Instant) -> Vec<ClearNotice> {
        let recent = self.cleared.iter().rev();
        let recent = recent.filter(|(_, at)| now.since(*at) < ANNOUNCE_DURATION);
        let notice = |(part, at): &(PartKey, Instant)| ClearNotice {
            part: *part,
            age_ms: now.since(*at).as_millis() as u16,
        };
        recent.take(MAX_CLEAR_NOTICES).map(notice).collect()
    }

    /// Returns whether crashes or answers were found here or announced by peers since the last call.
    pub(crate) fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Number of suspects that are remembered.
    pub(crate) fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Forgets crashes and answers whose time is over.
    pub(crate) fn on_tick(&mut self, now: Instant) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|e| now.since(e.at) < CRASH_TTL);
            !crashes.is_empty()
        });
        self.cleared
            .retain(|(_, at)| now.since(*at) < ANNOUNCE_DURATION);
        self.explained.retain(|e| now.since(e.at) < CRASH_TTL);
    }

    /// Records one crash under a request or a part, if it may be the cause.
    fn record(&mut self, now: Instant, at: Instant, notice: &CrashNotice) {
        let is_explained = self.explained.iter().any(|e| e.is_same(notice.target, at));
        let is_sound = match notice.key {
            QuarantineKey::Request(request) => !self.may_suspect(now, request),
            QuarantineKey::Part(part) => {
                let answered = self.answered_parts.peek(&part).copied();
                let answered = answered.filter(|answered| *answered >= at);
                if let Some(answered) = answered.filter(|a| now.since(*a) < ANNOUNCE_DURATION) {
                    self.on_cleared(part, answered);
                }
                answered.is_some()
            }
        };
        if is_explained || is_sound {
            return;
        }
        self.make_room(notice.key);
        let crashes = self.suspects.entry(notice.key).or_default();
        if crashes.iter().any(|e| e.is_same(notice.target, at)) {
            return;
        }
        crashes.push(Crash {
            target: notice.target,
            at,
            request: notice.request,
            depth: notice.depth,
        });
        self.unannounced = true;
    }

    /// Records that the cause of a crash is known, so that it counts against nothing else.
    fn explain(&mut self, crash: Crash, cause: QuarantineKey) {
        self.suspects.retain(|key, crashes| {
            crashes.retain(|e| cause == *key || !e.is_same(crash.target, crash.at));
            !crashes.is_empty()
        });
        let is_known = |e: &Crash| e.is_same(crash.target, crash.at);
        if self.explained.iter().any(is_known) {
            return;
        }
        if self.explained.len() >= MAX_EXPLAINED {
            self.explained.remove(0);
        }
        self.explained.push(crash);
    }

    /// Makes room for one more suspect, by removing the one with the fewest crashes, and of several
    /// such ones the one whose last crash is the oldest.
    fn make_room(&mut self, key: QuarantineKey) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&key) {
            return;
        }
        let last = |crashes: &Vec<Crash>| crashes.last().map_or(Instant::default(), |e| e.at);
        let weakest = self.suspects.iter();
        let weakest = weakest.min_by_key(|(_, crashes)| (crashes.len(), last(crashes)));
        let weakest = weakest.map(|(key, _)| *key);
        weakest.and_then(|key| self.suspects.remove(&key));
    }
}

/// Returns how many crashes count against a request or a part. Against a part, those count that came apart from
/// one another and under different requests.
fn evidence(key: QuarantineKey, crashes: &[Crash]) -> usize {
    match key {
        QuarantineKey::Request(_) => crashes.len(),
        QuarantineKey::Part(_) if requests(crashes) < MIN_REQUESTS_OF_PART => 0,
        QuarantineKey::Part(_) => {
            let mut times: Vec<Instant> = crashes.iter().map(|crash| crash.at).collect();
            times.sort_unstable();
            times.dedup_by(|at, counted| at.since(*counted) < COMMON_CAUSE_INTERVAL);
            times.len()
        }
    }
}

/// Returns the number of different requests under which targets crashed.
fn requests(crashes: &[Crash]) -> usize {
    let mut requests: Vec<u16> = crashes.iter().map(|crash| crash.request).collect();
    requests.sort_unstable();
    requests.dedup();
    requests.len()
}

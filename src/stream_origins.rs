//! Origins of the streams that this router or others began, and which other routers are to be told.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    num::NonZeroUsize,
    time::Duration,
};

use lru::LruCache;
use serde::{Deserialize, Serialize};

use crate::{
    placement::KeyHash,
    replicas::{Holder, Holders, Replicas},
    stream_origin::{ServiceHash, StreamKey, StreamOrigin},
    units::Instant,
};

/// Maximum number of origins that a router remembers, in about two megabytes.
const MAX_ORIGINS: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// Time for which an origin is remembered: longer than a caller takes up its stream again and again.
const ORIGIN_TTL: Duration = Duration::from_mins(10);

/// Maximum number of origins of one service that wait to be sent to others.
const MAX_UNSENT: usize = MAX_ORIGINS.get();

/// Time for which an origin is kept that need not be sent, because its service has one version: in this
/// time another version may appear, and the stream may break off.
const UNSENT_TTL: Duration = Duration::from_mins(1);

/// Maximum number of origins of one service that wait to be saved: those of a minute in a small fleet. A router
/// that begins to save the fleet's origins writes these first.
const MAX_UNSAVED: usize = 4_096;

/// The origin of one stream, as routers tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The stream.
    pub stream: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
    /// Time since it began or was last taken up, in milliseconds.
    pub age_ms: u32,
}

/// What is known of one stream.
#[derive(Debug)]
struct KnownOrigin {
    origin: StreamOrigin,
    expires_at: Instant,
    replicas: Replicas,
    /// Whether the stream is in the queue of origins to be sent.
    is_queued: bool,
}

impl KnownOrigin {
    fn age(&self, now: Instant) -> Duration {
        ORIGIN_TTL.saturating_sub(self.expires_at.since(now))
    }
}

/// Position of a stream in the queue of origins to be sent.
#[derive(Debug, Clone, Copy)]
enum Position {
    /// Before all others: no other router knows its origin.
    First,
    /// After all others.
    Last,
}

/// Origins of streams that this router began, or that others told it.
#[derive(Debug)]
pub struct StreamOrigins {
    known: LruCache<StreamKey, KnownOrigin>,
    /// Streams whose origins are to be sent.
    unsent: HashMap<ServiceHash, VecDeque<StreamKey>>,
    /// Streams whose origins this router has not saved, latest last.
    unsaved: HashMap<ServiceHash, VecDeque<StreamKey>>,
    holders: Holders,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            known: LruCache::new(MAX_ORIGINS),
            unsent: HashMap::default(),
            unsaved: HashMap::default(),
            holders: Holders::default(),
        }
    }
}

impl StreamOrigins {
    /// Records that the first event of a stream is passed on to its caller, or that the stream is taken up here.
    pub fn on_begun(&mut self, now: Instant, stream: StreamKey, origin: StreamOrigin) {
        let replicas = Replicas::of_own(&self.holders, key_hash(stream));
        let known = KnownOrigin {
            origin,
            expires_at: now + ORIGIN_TTL,
            replicas,
            is_queued: false,
        };
        self.known.put(stream, known);
        self.queue(stream, Position::First);
        self.queue_to_save(stream, origin);
    }

    /// Handles origins of streams that other routers know.
    pub fn on_notices(&mut self, now: Instant, notices: &[OriginNotice]) {
        for notice in notices {
            let age = Duration::from_millis(u64::from(notice.age_ms));
            let expires_at = now + ORIGIN_TTL.saturating_sub(age);
            let known = self.known.peek(&notice.stream);
            if known.is_some_and(|k| k.expires_at >= expires_at) || expires_at <= now {
                continue;
            }
            let is_new = known.is_none_or(|k| k.origin != notice.origin);
            let known = KnownOrigin {
                origin: notice.origin,
                expires_at,
                replicas: Replicas::of_received(now, &self.holders, key_hash(notice.stream)),
                is_queued: false,
            };
            let has_unsent = known.replicas.has_unsent();
            self.known.put(notice.stream, known);
            if has_unsent {
                self.queue(notice.stream, Position::Last);
            }
            if is_new {
                self.queue_to_save(notice.stream, notice.origin);
            }
        }
    }

    /// Replaces the routers that may hold replicas. Origins of which other routers become holders are sent to them.
    pub fn on_holders(&mut self, now: Instant, current: Vec<Holder>) {
        let Some(changes) = self.holders.set(now, current) else {
            return;
        };
        let mut unsent = Vec::new();
        for (stream, known) in &mut self.known {
            let key = key_hash(*stream);
            known.replicas.on_change(now, &self.holders, &changes, key);
            if known.replicas.has_unsent() {
                unsent.push(*stream);
            }
        }
        for stream in unsent {
            self.queue(stream, Position::Last);
        }
    }

    /// Returns the origin of a stream, if it is known here.
    pub fn get(&self, now: Instant, stream: StreamKey) -> Option<StreamOrigin> {
        let known = self.known.peek(&stream)?;
        (now < known.expires_at).then_some(known.origin)
    }

    /// Takes about `limit` of the origins to send, each with the address of a router: those of services of which
    /// `is_mixed` says that their targets are, or were a moment ago, of several versions. With one version, a
    /// stream can go on anywhere.
    pub fn take_notices(
        &mut self,
        now: Instant,
        limit: usize,
        is_mixed: impl Fn(ServiceHash) -> bool,
    ) -> Vec<(SocketAddr, OriginNotice)> {
        let mut notices = Vec::new();
        let Self {
            known,
            unsent,
            holders,
            ..
        } = self;
        for (service, streams) in unsent.iter_mut() {
            match is_mixed(*service) {
                true => {
                    for _ in 0..streams.len() {
                        if notices.len() >= limit {
                            break;
                        }
                        notices.extend(take_next(now, streams, known, holders));
                    }
                }
                false => drop_old(now, streams, known),
            }
        }
        unsent.retain(|_, streams| !streams.is_empty());
        notices
    }

    /// Takes at most `limit` of the origins to save, latest first: those of services of which `is_mixed` says
    /// that their targets are, or were a moment ago, of several versions.
    pub fn take_unsaved(
        &mut self,
        now: Instant,
        limit: usize,
        is_mixed: impl Fn(ServiceHash) -> bool,
    ) -> Vec<OriginNotice> {
        let mut notices = Vec::new();
        let Self { known, unsaved, .. } = self;
        for (service, streams) in unsaved.iter_mut() {
            if !is_mixed(*service) {
                continue;
            }
            while notices.len() < limit
                && let Some(stream) = streams.pop_back()
            {
                let origin = known.peek(&stream).filter(|k| k.age(now) < UNSENT_TTL);
                notices.extend(origin.map(|k| to_notice(now, stream, k)));
            }
        }
        unsaved.retain(|_, streams| !streams.is_empty());
        notices
    }

    /// Queues the origins again that a store may have lost which was reverted to an older copy.
    pub fn on_store_reverted(&mut self, now: Instant) {
        let recent = self.known.iter().filter(|(_, k)| k.age(now) < UNSENT_TTL);
        let recent: Vec<_> = recent.map(|(stream, k)| (*stream, k.origin)).collect();
        self.unsaved.clear();
        for (stream, origin) in recent.into_iter().rev() {
            self.queue_to_save(stream, origin);
        }
    }

    /// Queues origins again that could not be saved.
    pub fn on_not_saved(&mut self, notices: &[OriginNotice]) {
        for notice in notices.iter().rev() {
            self.queue_to_save(notice.stream, notice.origin);
        }
    }

    /// Returns the origins that may still be needed after a loss of all routers, latest first: all but those of
    /// which `is_sole` says that their version is the only one that counts.
    pub fn to_save(
        &self,
        now: Instant,
        is_sole: impl Fn(StreamOrigin) -> bool,
    ) -> impl Iterator<Item = OriginNotice> {
        let current = self.known.iter().filter(move |(_, k)| now < k.expires_at);
        let needed = current.filter(move |(_, k)| !is_sole(k.origin));
        needed.map(move |(stream, known)| to_notice(now, *stream, known))
    }

    /// Returns the number of routers that may hold replicas, this one included.
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of origins that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn queue_to_save(&mut self, stream: StreamKey, origin: StreamOrigin) {
        let streams = self.unsaved.entry(origin.service).or_default();
        if streams.len() >= MAX_UNSAVED {
            streams.pop_front();
        }
        streams.push_back(stream);
    }

    /// Queues a stream whose origin is to be sent.
    fn queue(&mut self, stream: StreamKey, position: Position) {
        let Some(known) = self.known.peek_mut(&stream).filter(|k| !k.is_queued) else {
            return;
        };
        known.is_queued = true;
        let streams = self.unsent.entry(known.origin.service).or_default();
        let dropped = match streams.len() >= MAX_UNSENT {
            true => streams.pop_back(),
            false => None,
        };
        match position {
            Position::First => streams.push_front(stream),
            Position::Last => streams.push_back(stream),
        }
        let dropped = dropped.and_then(|stream| self.known.peek_mut(&stream));
        dropped.into_iter().for_each(|k| k.is_queued = false);
    }
}

fn key_hash(stream: StreamKey) -> KeyHash {
    KeyHash::from(stream.to_string().as_str())
}

fn to_notice(now: Instant, stream: StreamKey, known: &KnownOrigin) -> OriginNotice {
    OriginNotice {
        stream,
        origin: known.origin,
        age_ms: known.age(now).as_millis() as u32,
    }
}

/// Takes the first origin from the queue of one service, with the addresses of the routers to send it to now. It
/// is queued again if it has to be sent once more.
fn take_next(
    now: Instant,
    streams: &mut VecDeque<StreamKey>,
    known: &mut LruCache<StreamKey, KnownOrigin>,
    holders: &Holders,
) -> Vec<(SocketAddr, OriginNotice)> {
    let next = streams.pop_front();
    let next = next.and_then(|stream| Some((stream, known.peek_mut(&stream)?)));
    let Some((stream, origin)) = next else {
        return Vec::new();
    };
    let notice = to_notice(now, stream, origin);
    let addresses = origin.replicas.take_unsent(holders);
    let notices = addresses.map(|address| (address, notice)).collect();
    origin.is_queued = origin.replicas.has_unsent();
    if origin.is_queued {
        streams.push_back(stream);
    }
    notices
}

/// Drops origins from the end of the queue of a service with one version that began too long ago.
fn drop_old(
    now: Instant,
    streams: &mut VecDeque<StreamKey>,
    known: &mut LruCache<StreamKey, KnownOrigin>,
) {
    while let Some(stream) = streams.back() {
        match known.peek_mut(stream) {
            Some(origin) if origin.age(now) < UNSENT_TTL => return,
            Some(origin) => origin.is_queued = false,
            None => {}
        }
        streams.pop_back();
    }
}

//! Which software version began a stream, so that it goes on only at targets of the same version.
//!
//! What two versions of a service's software write does not fit together, and targets don't check it. A
//! stream therefore carries its origin from its first event on ([`StreamProgress`]), and each further
//! target is chosen by it, whether the stream broke off within an answer or its caller takes it up with
//! another call. For the latter, routers tell a few others of each origin while a service has several
//! versions ([`StreamOrigins`]): the router that began the stream may be gone by then.

use std::{collections::VecDeque, fmt, num::NonZeroUsize, str::FromStr, time::Duration};

use lru::LruCache;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    ids::{ClientAccountId, IdError, ServiceName, SoftwareVersion},
    target_record::TargetRecord,
    units::Instant,
};

/// Maximum number of origins that a router remembers, in about a megabyte.
const MAX_ORIGINS: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// Time for which an origin is remembered: longer than a caller takes up its stream again and again.
const ORIGIN_TTL: Duration = Duration::from_mins(10);

/// Maximum number of origins of one service that wait to be sent to others.
const MAX_UNSENT: usize = 4_096;

/// Number of times that an origin is sent, as a datagram may be lost.
const SENDS: u8 = 2;

/// Time for which an origin is kept that need not be sent, because its service has one version: in this
/// time another version may appear, and the stream may break off.
const UNSENT_TTL: Duration = Duration::from_mins(1);

/// Hash of a service's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceHash(u32);

impl fmt::Display for ServiceHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for ServiceHash {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        match u32::from_str_radix(s, 16) {
            Ok(n) if s.len() == 8 => Ok(Self(n)),
            _ => Err(IdError::new("8 hexadecimal digits", s)),
        }
    }
}

impl From<&ServiceName> for ServiceHash {
    fn from(service: &ServiceName) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// One software version of one service, by hashes of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceHash,
    version: u32,
}

impl StreamOrigin {
    /// Returns the origin of the streams that targets of this service and version begin.
    pub fn new(service: &ServiceName, version: &SoftwareVersion) -> Self {
        Self {
            service: service.into(),
            version: xxh3_64(version.as_str().as_bytes()) as u32,
        }
    }
}

impl From<&TargetRecord> for StreamOrigin {
    fn from(target: &TargetRecord) -> Self {
        Self::new(&target.service, &target.version)
    }
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.service, self.version)
    }
}

/// How far the caller has the stream that answers its call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamProgress {
    /// The caller has no event, so that any target may begin the stream.
    #[default]
    NotBegun,
    /// The caller has the events up to `last`, which targets of one version sent.
    Begun {
        /// What began the stream.
        origin: StreamOrigin,
        /// Id of the last event that the caller has.
        last: u64,
    },
}

impl StreamProgress {
    /// Returns the id of the last event that the caller has.
    pub fn last_event(self) -> Option<u64> {
        match self {
            Self::NotBegun => None,
            Self::Begun { last, .. } => Some(last),
        }
    }

    /// Returns whether the caller has a part of the stream.
    pub fn is_begun(self) -> bool {
        self != Self::NotBegun
    }

    /// Returns whether a target may send the next event.
    pub fn may_continue_at(self, target: &TargetRecord) -> bool {
        match self {
            Self::NotBegun => true,
            Self::Begun { origin, .. } => origin == target.into(),
        }
    }

    /// Records that an event of `target` is passed on to the caller.
    pub fn on_event(&mut self, id: u64, target: &TargetRecord) {
        match self {
            Self::NotBegun => {
                *self = Self::Begun {
                    origin: target.into(),
                    last: id,
                };
            }
            Self::Begun { last, .. } => *last = id,
        }
    }
}

/// Hash of the call whose answer brought a stream's first event: of its account and its id. An account
/// can't name the streams of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(#[serde(with = "postcard::fixint::le")] u64);

impl StreamKey {
    /// Creates the key of the stream that a call of an account began.
    pub fn new(account: Option<&ClientAccountId>, call: &str) -> Self {
        let account = account.map_or("", ClientAccountId::as_str);
        let mut hasher = Xxh3::new();
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(call.as_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        match u64::from_str_radix(s, 16) {
            Ok(n) if s.len() == 16 => Ok(Self(n)),
            _ => Err(IdError::new("16 hexadecimal digits", s)),
        }
    }
}

/// The origin of one stream, as routers tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The stream.
    pub stream: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
}

/// An origin of this router's that others may have to know.
#[derive(Debug)]
struct UnsentOrigin {
    notice: OriginNotice,
    begun_at: Instant,
    sends_left: u8,
}

/// Origins of streams that this router began, or that others told it.
#[derive(Debug)]
pub struct StreamOrigins {
    known: LruCache<StreamKey, (StreamOrigin, Instant)>,
    /// Origins to be sent, oldest first.
    unsent: FxHashMap<ServiceHash, VecDeque<UnsentOrigin>>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            known: LruCache::new(MAX_ORIGINS),
            unsent: FxHashMap::default(),
        }
    }
}

impl StreamOrigins {
    /// Records that the first event of a stream is passed on to its caller.
    pub fn on_begun(&mut self, now: Instant, stream: StreamKey, origin: StreamOrigin) {
        self.known.put(stream, (origin, now));
        let unsent = self.unsent.entry(origin.service).or_default();
        if unsent.len() >= MAX_UNSENT {
            unsent.pop_front();
        }
        unsent.push_back(UnsentOrigin {
            notice: OriginNotice { stream, origin },
            begun_at: now,
            sends_left: SENDS,
        });
    }

    /// Handles origins of streams that other routers began.
    pub fn on_notices(&mut self, now: Instant, notices: &[OriginNotice]) {
        for OriginNotice { stream, origin } in notices {
            self.known.put(*stream, (*origin, now));
        }
    }

    /// Returns the origin of a stream, if it is known here.
    pub fn get(&self, now: Instant, stream: StreamKey) -> Option<StreamOrigin> {
        let (origin, at) = self.known.peek(&stream)?;
        (now.since(*at) < ORIGIN_TTL).then_some(*origin)
    }

    /// Takes the origins to send now: those of services of which `is_mixed` says that their targets are, or
    /// were a moment ago, of several versions. With one version, a stream can go on anywhere.
    pub fn take_notices(
        &mut self,
        now: Instant,
        is_mixed: impl Fn(ServiceHash) -> bool,
    ) -> Vec<OriginNotice> {
        let mut notices = Vec::new();
        let is_over = |o: &UnsentOrigin| now.since(o.begun_at) >= UNSENT_TTL;
        self.unsent.retain(|service, origins| {
            while origins.front().is_some_and(is_over) {
                origins.pop_front();
            }
            if is_mixed(*service) {
                for origin in origins.iter_mut() {
                    notices.push(origin.notice);
                    origin.sends_left -= 1;
                }
                origins.retain(|origin| origin.sends_left > 0);
            }
            !origins.is_empty()
        });
        notices
    }

    /// Returns the number of origins that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

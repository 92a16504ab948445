//! Which software version began a stream, so that it goes on only at targets of the same version.
//!
//! What two versions of a service's software write does not fit together, and targets don't check it. A
//! stream therefore carries its origin from its first event on ([`StreamProgress`]), and each further
//! target is chosen by it, whether the stream broke off within an answer or its caller takes it up with
//! another call. For the latter, routers tell a few others of each origin while a service has several
//! versions ([`StreamOrigins`]): the router that began the stream may be gone by then.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

pub use crate::stream_origins::{OriginNotice, StreamOrigins};
use crate::{
    ids::{ClientAccountId, IdError, ServiceName, SoftwareVersion},
    target_record::TargetRecord,
    units::Instant,
};

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

    /// Returns what stands for the streams of other services that a service got the requests of.
    pub(crate) fn of_other_service(service: ServiceHash) -> Self {
        Self {
            service,
            version: xxh3_64(b"of another service") as u32,
        }
    }

    /// Returns the origin of streams that begin at a target whose instance is in doubt `since` then: a version
    /// that no target is listed with.
    pub fn of_doubtful(target: &TargetRecord, since: Instant) -> Self {
        let instance = format!("{}?{}", target.id, since.0.as_micros());
        Self {
            service: (&target.service).into(),
            version: xxh3_64(instance.as_bytes()) as u32,
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

    /// Returns whether a target that begins streams of this origin may send the next event.
    pub fn may_continue_as(self, of_target: StreamOrigin) -> bool {
        match self {
            Self::NotBegun => true,
            Self::Begun { origin, .. } => origin == of_target,
        }
    }

    /// Records that an event is passed on to the caller, of a target that begins streams of this origin.
    pub fn on_event(&mut self, id: u64, of_target: impl Into<StreamOrigin>) {
        match self {
            Self::NotBegun => {
                *self = Self::Begun {
                    origin: of_target.into(),
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

//! What routers quarantine: one request, or a part of prompts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{IdError, ServiceName},
    prompt_cache::PartId,
    stream_origin::ServiceHash,
};

/// Prefix of a part's key in text form, which tells it from a request's fingerprint.
const PART_PREFIX: &str = "part-";

/// A part of the prompts of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    service: ServiceHash,
    /// Id of the part, as callers name it.
    pub part: PartId,
}

impl PartKey {
    /// Returns the key of a part of a service's prompts.
    pub fn new(service: &ServiceName, part: PartId) -> Self {
        Self {
            service: service.into(),
            part,
        }
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PART_PREFIX}{}-{:016x}", self.service, self.part.0)
    }
}

/// A request, or a part of prompts, under which targets crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum QuarantineKey {
    /// A request, however often it is repeated.
    Request(Fingerprint),
    /// Any request whose prompt has this part.
    Part(PartKey),
}

impl From<Fingerprint> for QuarantineKey {
    fn from(request: Fingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PartKey> for QuarantineKey {
    fn from(part: PartKey) -> Self {
        Self::Part(part)
    }
}

impl PartialEq<Fingerprint> for QuarantineKey {
    fn eq(&self, request: &Fingerprint) -> bool {
        *self == Self::Request(*request)
    }
}

impl fmt::Display for QuarantineKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}

impl FromStr for QuarantineKey {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let Some(part) = s.strip_prefix(PART_PREFIX) else {
            return s.parse().map(Self::Request);
        };
        let error = || IdError::new("part-SERVICE-ID in hexadecimal digits", s);
        let (service, id) = part.split_once('-').ok_or_else(error)?;
        let id = u64::from_str_radix(id, 16).map_err(|_| error())?;
        Ok(Self::Part(PartKey {
            service: service.parse()?,
            part: PartId(id),
        }))
    }
}

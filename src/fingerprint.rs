//! What tells two calls for the same thing from two other ones, whatever their ids: who asks for what,
//! and with which body.

use std::{fmt, str::FromStr};

use hyper::Method;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{ClientAccountId, IdError};

/// A call's caller, host, method, path, query and body, as a hash; a caller's repeat has the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// What a fingerprint is made of.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Who calls; `None` where anyone may.
    pub account: Option<&'a ClientAccountId>,
    /// The host that is asked for.
    pub host: &'a str,
    /// The method.
    pub method: &'a Method,
    /// The path with its query, as the caller wrote it.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a call.
    pub fn of(identity: &Identity<'_>) -> Self {
        let account = identity.account.map_or("", ClientAccountId::as_str);
        let mut hasher = Xxh3::new();
        for part in [
            account.as_bytes(),
            identity.host.as_bytes(),
            identity.method.as_str().as_bytes(),
            identity.path.as_bytes(),
            identity.body,
        ] {
            // With its length before it no part runs into the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        match u64::from_str_radix(s, 16) {
            Ok(n) if s.len() == 16 => Ok(Self(n)),
            _ => Err(IdError {
                expected: "16 hexadecimal digits",
                got: s.to_owned(),
            }),
        }
    }
}

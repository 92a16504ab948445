//! Computes a fingerprint that is equal for repeats of the same call even if their ids differ. It depends
//! on who sends the request, what is requested, and the body.

use std::{fmt, str::FromStr};

use hyper::Method;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{ClientAccountId, IdError};

/// Hash of a call's caller, host, method, path, query and body. A repeat by the same caller has the same
/// fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Input of a fingerprint.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// The account that calls; `None` if the service is open to anyone.
    pub account: Option<&'a ClientAccountId>,
    /// The requested host.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a Method,
    /// The path with its query, as the caller wrote it.
    pub path: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a call.
    pub fn of(identity: &FingerprintInput<'_>) -> Self {
        let account = identity.account.map_or("", ClientAccountId::as_str);
        let mut hasher = Xxh3::new();
        for part in [
            account.as_bytes(),
            identity.host.as_bytes(),
            identity.method.as_str().as_bytes(),
            identity.path.as_bytes(),
            identity.body,
        ] {
            // The length before each part makes the boundaries between parts unambiguous.
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

//! Identifiers, each with its own type.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// A text that could not be parsed as an identifier or a value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, got {got:?}")]
pub struct IdError {
    /// Description of a valid text.
    pub expected: &'static str,
    /// The invalid text. `IdError::new` truncates it to `MAX_NAME_BYTES` characters.
    pub got: String,
}

impl IdError {
    pub(crate) fn new(expected: &'static str, got: &str) -> Self {
        Self {
            expected,
            got: got.chars().take(MAX_NAME_BYTES).collect(),
        }
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                match s {
                    _ if is_name(s) => Ok(Self(s.into())),
                    _ => Err(IdError::new("1 to 96 of a-z A-Z 0-9 . _ : -", s)),
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(s: String) -> Result<Self, IdError> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    };
}

name_id!(
    /// Name of a VM of the router fleet, and of the router that runs on it.
    VmId
);
name_id!(
    /// Name of a data hall, which is a zone.
    DataHall
);
name_id!(
    /// Name of a region, which is a group of nearby data halls.
    Region
);
name_id!(
    /// Id of a client account, which is a customer or tenant.
    ClientAccountId
);
name_id!(
    /// Name of a target (a model engine or a plain service's runner), which it keeps across restarts.
    TargetName
);
name_id!(
    /// Name of a model, including its adapter and version if it has them.
    ModelName
);
name_id!(
    /// Name of a plain service or of a pool of targets.
    ServiceName
);
name_id!(
    /// Id of an accepted or proposed change of the configuration.
    ChangeId
);

/// One instance of a target, which is one run between two starts: its name and, if the target reports it,
/// its start time.
///
/// A target that restarts under the same name loses all its state, so nothing known about the previous
/// instance applies to the new one. The text form is the name alone, or `NAME~START` with the start time in
/// milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TargetId(std::sync::Arc<str>);

/// Separates a target's name and its start time; names can't contain it.
const START_SEPARATOR: char = '~';

impl TargetId {
    /// Creates the id of the instance that started at `started_at`; `None` if the target does not report it.
    pub fn new(name: &TargetName, started_at: Option<UnixMillis>) -> Self {
        match started_at {
            Some(started_at) => Self(format!("{name}{START_SEPARATOR}{started_at}").into()),
            None => Self(name.as_str().into()),
        }
    }

    /// Returns the text form of the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the target's name, which stays the same after a restart.
    pub fn name(&self) -> &str {
        let split = self.0.split_once(START_SEPARATOR);
        split.map_or(&self.0, |(name, _start)| name)
    }

    /// Returns whether the target reports its start time, so that it may restart under the same name.
    pub fn has_start_time(&self) -> bool {
        self.0.contains(START_SEPARATOR)
    }

    /// Returns the target's name as a `TargetName`.
    pub fn to_name(&self) -> TargetName {
        TargetName(self.name().into())
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for TargetId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let (name, started_at) = match s.split_once(START_SEPARATOR) {
            Some((name, start)) => (name, Some(start.parse()?)),
            None => (s, None),
        };
        Ok(Self::new(&name.parse()?, started_at))
    }
}

impl TryFrom<String> for TargetId {
    type Error = IdError;

    fn try_from(s: String) -> Result<Self, IdError> {
        s.parse()
    }
}

impl From<TargetId> for String {
    fn from(id: TargetId) -> String {
        id.0.to_string()
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                let n = s.parse().map_err(|_| IdError::new("a whole number", s))?;
                Ok(Self(n))
            }
        }
    };
}

pub(crate) use number_id;

/// Version of the software that a target runs, as its operators name it. Targets that state none have the empty
/// version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(std::sync::Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for SoftwareVersion {
    fn default() -> Self {
        Self("".into())
    }
}

impl From<&str> for SoftwareVersion {
    fn from(s: &str) -> Self {
        Self(s.into())
    }
}

impl FromStr for SoftwareVersion {
    type Err = std::convert::Infallible;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Ok(s.into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

number_id!(
    /// Position of a change in the log of accepted changes; 0 is the empty configuration.
    Revision
);
number_id!(
    /// Incarnation number of a router; later starts have larger numbers.
    Incarnation
);
number_id!(
    /// Wall-clock time in milliseconds since the Unix epoch.
    UnixMillis
);
number_id!(
    /// Hash that is equal for all requests of the same chat.
    ConversationKey
);

impl ConversationKey {
    /// Returns the key within an account, so that equal keys of two accounts remain distinct.
    pub fn within(self, account: &ClientAccountId) -> Self {
        Self(xxh3_64_with_seed(account.as_str().as_bytes(), self.0))
    }
}

impl ServiceName {
    /// Returns the name of a pool of targets. The kind distinguishes a model from a plain service of
    /// the same name.
    pub(crate) fn pool_name(kind: &str, name: &str) -> Self {
        Self(format!("{kind}:{name}").into())
    }
}

/// Id of a caller's request, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Creates a random id.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        match u128::from_str_radix(s, 16) {
            Ok(n) if s.len() == 32 => Ok(Self(n)),
            _ => Err(IdError::new("32 hexadecimal digits", s)),
        }
    }
}

/// Serializes a request id as text, for `serde(with)`.
pub(crate) mod request_text {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use super::RequestId;

    pub(crate) fn serialize<S: Serializer>(id: &RequestId, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(id)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<RequestId, D::Error> {
        String::deserialize(d)?.parse().map_err(D::Error::custom)
    }
}

/// Id of one attempt to send a request to a target. A response is delivered only to its own attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, starting at 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

fn is_name(s: &str) -> bool {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&s.len());
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    has_valid_length && s.bytes().all(is_allowed)
}

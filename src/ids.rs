//! Names and numbers that identify things, each a type of its own.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest name that an id may have, in bytes.
pub const MAX_NAME: usize = 96;

/// Why a text is not an id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, got {got:?}")]
pub struct IdError {
    /// What a valid text looks like.
    pub expected: &'static str,
    /// The text as it was given, cut to a readable length.
    pub got: String,
}

impl IdError {
    pub(crate) fn new(expected: &'static str, got: &str) -> Self {
        Self {
            expected,
            got: got.chars().take(MAX_NAME).collect(),
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
            /// The name as text.
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
    /// An entry VM, and the router that runs on it.
    VmId
);
name_id!(
    /// A data hall.
    DataHall
);
name_id!(
    /// A region: data halls that are near one another.
    Region
);
name_id!(
    /// A client account.
    ClientAccountId
);
name_id!(
    /// What a model engine or a plain service's runner calls itself, also after a restart.
    TargetName
);
name_id!(
    /// A model, with its adapter and version where it has them.
    ModelName
);
name_id!(
    /// A plain service.
    ServiceName
);
name_id!(
    /// One accepted or proposed change of configuration.
    ChangeId
);

/// One life of a target: its name and, where it says so, when that life began. A target that starts
/// again under its name holds nothing of its former life, so nothing known of that one applies to it.
///
/// As text the name alone, or `NAME~BIRTH`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TargetId(std::sync::Arc<str>);

/// Stands between a target's name and its birth; no name has it.
const BIRTH_MARK: char = '~';

impl TargetId {
    /// The life of a target that began at `birth`; `None` where the target does not say.
    pub fn new(name: &TargetName, birth: Option<UnixMillis>) -> Self {
        match birth {
            Some(birth) => Self(format!("{name}{BIRTH_MARK}{birth}").into()),
            None => Self(name.as_str().into()),
        }
    }

    /// Name and birth as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The target's name, which its next life may have as well.
    pub fn name(&self) -> &str {
        let split = self.0.split_once(BIRTH_MARK);
        split.map_or(&self.0, |(name, _birth)| name)
    }

    /// The same as a name of its own.
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
        let (name, birth) = match s.split_once(BIRTH_MARK) {
            Some((name, birth)) => (name, Some(birth.parse()?)),
            None => (s, None),
        };
        Ok(Self::new(&name.parse()?, birth))
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

number_id!(
    /// The place of a change in the one order of accepted changes; 0 is the empty configuration.
    Revision
);
number_id!(
    /// Which start of a router this is; larger is later.
    Incarnation
);
number_id!(
    /// A moment of the time of day, in milliseconds since the Unix epoch.
    UnixMillis
);
number_id!(
    /// What makes two requests part of the same chat, as a hash.
    ConversationKey
);

impl ConversationKey {
    /// The same chat's key within an account: what callers of two accounts name alike is kept
    /// apart.
    pub fn within(self, account: &ClientAccountId) -> Self {
        Self(xxh3_64_with_seed(account.as_str().as_bytes(), self.0))
    }
}

impl ServiceName {
    /// The pool of the targets that serve a model or a plain service, which may share a name.
    pub(crate) fn of_pool(kind: &str, name: &str) -> Self {
        Self(format!("{kind}:{name}").into())
    }
}

/// One request of one caller, unique over the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A fresh id.
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

/// A request id as text, for serde.
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

/// One try of a request at one target; an answer is delivered only to its own attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// Which try this is, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

fn is_name(s: &str) -> bool {
    let fits = (1..=MAX_NAME).contains(&s.len());
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    fits && s.bytes().all(plain)
}

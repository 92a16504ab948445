//! Types of setting values, with parsing and formatting.

use std::{fmt, str::FromStr, time::Duration};

/// A secret value, which is masked in all output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl FromStr for Secret {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s.len() {
            8.. => Ok(Self(s.to_owned())),
            _ => Err("expected 8 characters or more".to_owned()),
        }
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}

/// An operator's name and token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// Name under which the operator's changes are recorded.
    pub name: String,
    /// Token that authenticates the operator.
    pub token: Secret,
}

impl FromStr for OperatorToken {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s.split_once(':') {
            Some((name, token)) if !name.is_empty() => Ok(Self {
                name: name.to_owned(),
                token: token.parse()?,
            }),
            _ => Err("expected NAME:TOKEN".to_owned()),
        }
    }
}

impl fmt::Display for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.name, self.token)
    }
}

/// A list of values, separated by commas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T: FromStr<Err: fmt::Display>> FromStr for List<T> {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let items = s.split(',').filter(|i| !i.is_empty());
        let parse = |i: &str| i.parse().map_err(|e| format!("{i}: {e}"));
        items.map(parse).collect::<Result<_, _>>().map(Self)
    }
}

impl<T: fmt::Display> fmt::Display for List<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let items: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&items.join(","))
    }
}

/// A duration in milliseconds, at most one day when parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts it to a `Duration`.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s.parse() {
            Ok(ms @ 0..=86_400_000) => Ok(Self(ms)),
            _ => Err("expected milliseconds, at most one day".to_owned()),
        }
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Maximum time until every router refuses a revoked key.
///
/// With a bound, routers refuse all keys while their configuration is too old to exclude a revocation.
/// Without one, a key is accepted as long as the configuration contains it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RevokeBound(pub Option<Millis>);

/// Minimum revocation bound in milliseconds: the last confirmation of the configuration is up to 0.6 s old
/// even without any failure.
const MIN_REVOKE_BOUND_MS: u64 = 1_000;

impl FromStr for RevokeBound {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "none" => Ok(Self(None)),
            ms => match ms.parse() {
                Ok(ms @ Millis(MIN_REVOKE_BOUND_MS..)) => Ok(Self(Some(ms))),
                _ => Err("expected none, or milliseconds from 1000".to_owned()),
            },
        }
    }
}

impl fmt::Display for RevokeBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(ms) => ms.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// URL of an OTLP endpoint, or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OtlpEndpoint(pub Option<String>);

impl FromStr for OtlpEndpoint {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "" => Ok(Self(None)),
            _ if s.starts_with("http://") => Ok(Self(Some(s.to_owned()))),
            _ => Err("expected a URL that begins with http://".to_owned()),
        }
    }
}

impl fmt::Display for OtlpEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or_default())
    }
}

/// Minimum level of logged messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLevel(pub slog::Level);

impl Default for LogLevel {
    fn default() -> Self {
        Self(slog::Level::Info)
    }
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        s.parse().map(Self).map_err(|()| "unknown level".to_owned())
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.as_str().to_lowercase())
    }
}

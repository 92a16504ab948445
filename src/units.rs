//! Units of time, size, load and priority.

use std::{
    fmt,
    ops::{Add, AddAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::{IdError, number_id};

/// A monotonic instant, as the time since the start of the process or the replay.
///
/// Types that make decisions receive it as an argument and never read a clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub Duration);

impl Instant {
    /// Creates an instant from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `d` earlier, or the clock's epoch if that would precede it.
    pub fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d))
    }
}

/// Number of model tokens that an engine has to read, write or store for a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Subtracts `other`, saturating at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Revision of the platform's store, written as `ERA.NUMBER`.
///
/// The number grows with each write and may be reused in the next era, so a write of a later era is later
/// whatever its number. The default precedes all writes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store. It is the first field because the derived order compares it first.
    pub era: StoreEra,
    /// Number that the store assigned to the write.
    pub number: u64,
}

impl StoreRevision {
    /// Creates the revision of a write in an era.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Creates a revision of a store that was never reverted to an older copy.
    pub const fn first_era(number: u64) -> Self {
        Self::new(StoreEra(0), number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for StoreRevision {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let invalid = || IdError {
            expected: "a store revision as ERA.NUMBER",
            got: s.to_owned(),
        };
        let (era, number) = s.split_once('.').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(Self::new(era.parse()?, number))
    }
}

number_id!(
    /// Operators' version number of a complete configuration; later ones have higher numbers.
    ConfigVersion
);

number_id!(
    /// Era of the platform's store, which increases by one each time the store is reverted to an older
    /// copy; 0 if the store does not report it.
    StoreEra
);

/// Urgency of a request as a number; 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(pub u8);

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Capacity of a target relative to the other targets of its pool; the default is 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// Default weight of a target.
    pub const DEFAULT: Self = Self(100);

    /// Returns the weight as a number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl TryFrom<u32> for Weight {
    type Error = IdError;

    fn try_from(n: u32) -> Result<Self, IdError> {
        match n {
            1..=100_000 => Ok(Self(n)),
            _ => Err(IdError {
                expected: "a weight of 1 to 100000",
                got: n.to_string(),
            }),
        }
    }
}

impl From<Weight> for u32 {
    fn from(w: Weight) -> u32 {
        w.0
    }
}

/// Maximum load of a target as a multiple of the weighted mean of its pool; greater than 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LoadBound(f64);

impl LoadBound {
    /// Returns the bound as a factor.
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl Default for LoadBound {
    fn default() -> Self {
        Self(2.0)
    }
}

impl FromStr for LoadBound {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        match s.parse::<f64>() {
            Ok(f) if (1.01..=10.0).contains(&f) => Ok(Self(f)),
            _ => Err(IdError {
                expected: "a factor from 1.01 to 10",
                got: s.to_owned(),
            }),
        }
    }
}

impl fmt::Display for LoadBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A size in bytes, parsed from text such as `512`, `64k`, `10m` or `1g`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteCount(pub usize);

impl FromStr for ByteCount {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let invalid = || IdError {
            expected: "a number of bytes, optionally with the suffix k, m or g",
            got: s.to_owned(),
        };
        let (digits, unit) = match s.as_bytes().last() {
            Some(b'k') => (&s[..s.len() - 1], 1 << 10),
            Some(b'm') => (&s[..s.len() - 1], 1 << 20),
            Some(b'g') => (&s[..s.len() - 1], 1 << 30),
            _ => (s, 1),
        };
        let n: usize = digits.parse().map_err(|_| invalid())?;
        n.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Urgency class of a request. The variants are in order, the most urgent first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Bid confirmations and hammer notices.
    Urgent,
    /// Interactive requests, for which a person waits.
    #[default]
    Live,
    /// Long texts such as essays and reports, which are not urgent.
    Patient,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Live, Self::Patient];

    /// Returns the rank by which engines order requests of this priority.
    pub fn rank(self) -> Rank {
        Rank(self as u8)
    }

    /// Returns the priority of a rank. Unknown ranks map to the least urgent priority.
    pub fn from_rank(rank: Rank) -> Self {
        match rank.0 {
            0 => Self::Urgent,
            1 => Self::Live,
            _ => Self::Patient,
        }
    }
}

impl FromStr for Priority {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let named = Self::ALL.into_iter().find(|p| p.to_string() == s);
        named.ok_or_else(|| IdError {
            expected: "urgent, live or patient",
            got: s.to_owned(),
        })
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Urgent => "urgent",
            Self::Live => "live",
            Self::Patient => "patient",
        })
    }
}

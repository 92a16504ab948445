//! Sizes, rates and weights.

use std::{
    fmt,
    ops::{Add, AddAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::{IdError, number_id};

/// A monotonic instant, as time since the process (or the replay) began.
///
/// Decision types take it as an argument so that they never read a clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub Duration);

impl Instant {
    /// An instant from whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// The time that passed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The instant that lies `d` back; zero if that is before the clock began.
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

/// Model tokens that an engine has yet to read, write or hold for a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// What is left after taking `other` away; never below zero.
    pub fn less(self, other: Self) -> Self {
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

/// A write of the platform's store. Numbers grow with each write, and are given out again in the next era: a write of a later
/// era is later, whatever its number. The default is before all writes. Reads `ERA.NUMBER`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The life of the store; the first field, as order goes by it first.
    pub era: StoreEra,
    /// The store's own number.
    pub number: u64,
}

impl StoreRevision {
    /// A write of one life of the store.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// A write of a store that never came back from a copy.
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
        let fault = || IdError {
            expected: "a revision of the store as ERA.NUMBER",
            got: s.to_owned(),
        };
        let (era, number) = s.split_once('.').ok_or_else(fault)?;
        let number = number.parse().map_err(|_| fault())?;
        Ok(Self::new(era.parse()?, number))
    }
}

number_id!(
    /// The operators' own number of a whole configuration; a later one has a higher number.
    ConfigVersion
);

number_id!(
    /// A life of the platform's store: it rises by one each time that the store comes back from an older copy. 0 where the store
    /// does not say.
    StoreEra
);

/// How urgent a call is, 0 the most.
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

/// The capacity of a target relative to the others of its pool; 100 is the usual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// The weight of a target that is like the others.
    pub const USUAL: Self = Self(100);

    /// The weight as a number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::USUAL
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

/// How far above the weighted mean of its pool an engine may be loaded, as a factor above 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LoadBound(f64);

impl LoadBound {
    /// The bound as a factor.
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

/// A size in bytes; reads `512`, `64k`, `10m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteCount(pub usize);

impl FromStr for ByteCount {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let fault = || IdError {
            expected: "a number of bytes, with k or m behind it where wanted",
            got: s.to_owned(),
        };
        let (digits, unit) = match s.as_bytes().last() {
            Some(b'k') => (&s[..s.len() - 1], 1 << 10),
            Some(b'm') => (&s[..s.len() - 1], 1 << 20),
            _ => (s, 1),
        };
        let n: usize = digits.parse().map_err(|_| fault())?;
        n.checked_mul(unit).map(Self).ok_or_else(fault)
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How urgent a request is; the most urgent first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Bid confirmations and hammer notices.
    Urgent,
    /// Questions of someone who waits.
    #[default]
    Live,
    /// Essays and reports that are waited for calmly.
    Patient,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Live, Self::Patient];

    /// How urgent that is to an engine.
    pub fn rank(self) -> Rank {
        Rank(self as u8)
    }

    /// The priority of a rank; an unknown one is the least urgent.
    pub fn of_rank(rank: Rank) -> Self {
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

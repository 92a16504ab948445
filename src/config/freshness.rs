//! How old may what this router knows of the configuration be?
//!
//! A proof is a moment of this router's steady clock at which the store is known to have held
//! the configuration that is applied here. It is taken from when a call was *sent*, never from when
//! its answer was read: an answer may have waited in a socket while the process was paused.

use std::time::Duration;

use crate::units::{ConfigVersion, Instant};

/// The part of the revocation bound for which a proof is relied on. A watch may hear nothing for
/// a second while the store's history is dropped, which the rest has to cover: of five seconds
/// 3.85 and that one leave a margin of 0.15.
const TRUSTED_PART: f64 = 0.77;

/// What a peer says of its own knowledge, in answer to a datagram of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vouch {
    /// When we sent the datagram that the peer had seen, by our clock.
    pub echo: Instant,
    /// How old the peer's proof was when it answered.
    pub age: Duration,
    /// The configuration that the peer applies.
    pub version: ConfigVersion,
}

/// A moment of this router's clock, in microseconds, which may lie before the clock began: peers vouch with proofs that are older than
/// this router's life. Counted from its start, each restart would make them younger, and keys that were taken
/// away would work on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProvenAt(i64);

impl ProvenAt {
    fn new(at: Instant) -> Self {
        Self(micros(at.0))
    }

    fn before(at: Instant, age: Duration) -> Self {
        Self(micros(at.0).saturating_sub(micros(age)))
    }

    fn age(self, now: Instant) -> Duration {
        let age = micros(now.0).saturating_sub(self.0);
        Duration::from_micros(age.max(0).cast_unsigned())
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

/// The youngest proof of the applied configuration.
#[derive(Debug, Default)]
pub struct Freshness {
    proven_at: Option<ProvenAt>,
    version: ConfigVersion,
    /// The latest that any peer applies.
    vouched: ConfigVersion,
    /// Until when the store, which was set back, may lack a configuration that nobody here has seen.
    unsettled_until: Option<Instant>,
}

impl Freshness {
    /// A newer configuration was applied. The proof stays: it says that nothing newer than the applied one existed at that
    /// moment, and a newer one holds all that was revoked by then.
    pub fn on_applied(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
    }

    /// The store was set back, and what it lost is written again by then.
    pub fn on_set_back(&mut self, settled_at: Instant) {
        self.unsettled_until = Some(settled_at);
    }

    /// The operators have written their configuration since the store was set back.
    pub fn on_written_again(&mut self) {
        self.unsettled_until = None;
    }

    /// The store answered a consistent call sent at `sent`, and held the configuration `stored`. One that holds an older
    /// configuration than is in force anywhere has lost what came after it, and proves nothing.
    pub fn on_confirmed(&mut self, sent: Instant, stored: Option<ConfigVersion>) {
        let latest = self.version.max(self.vouched);
        let is_settled = self.unsettled_until.is_none_or(|until| sent >= until);
        if is_settled && stored.unwrap_or_default() >= latest {
            self.proven_at = self.proven_at.max(Some(ProvenAt::new(sent)));
        }
    }

    /// A peer vouches for the configuration that it applies. A later one that is applied here holds all
    /// that the peer's held; an earlier one is not vouched for.
    pub fn on_vouch(&mut self, vouch: Vouch) {
        let proof = ProvenAt::before(vouch.echo, vouch.age);
        self.vouched = self.vouched.max(vouch.version);
        if vouch.version <= self.version {
            self.proven_at = self.proven_at.max(Some(proof));
        }
    }

    /// The age of the youngest proof; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven_at.map(|at| at.age(now))
    }

    /// The configuration that is applied.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Whether a key that this configuration holds may still be relied on.
    pub fn may_use_keys(&self, now: Instant, revoke_bound: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age < revoke_bound.mul_f64(TRUSTED_PART))
    }
}

//! Tracks when the applied configuration was last confirmed to be the current one.
//!
//! A confirmation is an instant of this router's monotonic clock at which the store is known to have
//! held the applied configuration. It is the time at which the request was *sent*, never the time at
//! which its response was read: a response may have waited in a socket while the process was paused.

use std::time::Duration;

use crate::units::{ConfigVersion, Instant};

/// Fraction of the revocation bound for which a confirmation is valid. A watch may return nothing for
/// one second while the store drops its history, and the remainder has to cover that: with a bound of
/// 5 s, 3.85 s plus that second leave a margin of 0.15 s.
const TRUSTED_FRACTION: f64 = 0.77;

/// A peer's confirmation of the configuration that it applies, in reply to one of our datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerConfirmation {
    /// When we sent the datagram that the peer replies to, by our clock.
    pub echo: Instant,
    /// Age of the peer's confirmation when it replied.
    pub age: Duration,
    /// Version of the configuration that the peer applies.
    pub version: ConfigVersion,
}

/// An instant of this router's clock in microseconds, negative if it lies before the clock's epoch.
///
/// A peer's confirmation can be older than this process. If such a confirmation were clamped to the
/// process start, each restart would make it younger, and revoked keys would continue to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConfirmedAt(i64);

impl ConfirmedAt {
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

/// The most recent confirmation of the applied configuration.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<ConfirmedAt>,
    version: ConfigVersion,
    /// Latest version that any peer has reported to apply.
    latest_peer_version: ConfigVersion,
    /// End of the period after the store was reverted in which it may lack a configuration that this
    /// router has not seen either.
    revert_grace_until: Option<Instant>,
}

impl Freshness {
    /// Records that a newer configuration was applied.
    ///
    /// The confirmation remains valid: at that instant nothing newer than the applied configuration
    /// existed, and a newer one includes every revocation made until then.
    pub fn on_applied(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
    }

    /// Records that the store was reverted to an older copy; the lost writes are expected to be
    /// restored by `settled_at`.
    pub fn on_store_reverted(&mut self, settled_at: Instant) {
        self.revert_grace_until = Some(settled_at);
    }

    /// Records that the operators have written their configuration since the store was reverted.
    pub fn on_config_rewritten(&mut self) {
        self.revert_grace_until = None;
    }

    /// Records that the store answered a consistent read sent at `sent` and held the configuration `stored`.
    ///
    /// A store whose configuration is older than one in force at any router has lost later writes and
    /// confirms nothing.
    pub fn on_confirmed(&mut self, sent: Instant, stored: Option<ConfigVersion>) {
        let latest = self.version.max(self.latest_peer_version);
        let is_settled = self.revert_grace_until.is_none_or(|until| sent >= until);
        if is_settled && stored.unwrap_or_default() >= latest {
            self.confirmed_at = self.confirmed_at.max(Some(ConfirmedAt::new(sent)));
        }
    }

    /// Records a peer's confirmation of the configuration that it applies.
    ///
    /// It also confirms a later configuration applied here, which includes everything in the peer's, but
    /// not an earlier one.
    pub fn on_peer_confirmation(&mut self, confirmation: PeerConfirmation) {
        let confirmed_at = ConfirmedAt::before(confirmation.echo, confirmation.age);
        self.latest_peer_version = self.latest_peer_version.max(confirmation.version);
        if confirmation.version <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Returns the age of the most recent confirmation, or `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| at.age(now))
    }

    /// Returns the version of the applied configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns whether the confirmation is recent enough to accept keys of the applied configuration.
    pub fn may_use_keys(&self, now: Instant, revoke_bound: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age < revoke_bound.mul_f64(TRUSTED_FRACTION))
    }
}

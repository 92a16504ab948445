//! Peers through which this router reaches targets that it has no path to.
//!
//! Nobody announces which routers have paths. A peer is asked, and one that has none answers so at
//! once; it is then not asked for a moment. This costs nothing while no router is cut off, and a round
//! trip for each peer that is cut off too.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::{ids::DataHall, units::Instant};

/// Time for which a peer is not asked after it said that it can't help.
const REFUSED_FOR: Duration = Duration::from_millis(400);

/// Time for which a peer is not asked after it did not answer.
const SILENT_FOR: Duration = Duration::from_secs(2);

/// A live peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Address at which it accepts requests of peers.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: DataHall,
}

/// Why a peer could not reach a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// It said that it has no path or no capacity.
    Refused,
    /// It did not answer.
    Silent,
}

/// What is known of peers as relays.
#[derive(Debug, Default)]
pub struct Relays {
    avoided_until: FxHashMap<SocketAddr, Instant>,
}

impl Relays {
    /// Chooses a peer at random, except those in `tried`. Peers in this router's data hall or the
    /// target's are asked first, as bytes then cross halls no more often than without a relay; after
    /// one of them failed, peers in other halls than its own.
    ///
    /// `draw` is from 0 to 1.
    pub fn choose<'a>(
        &self,
        now: Instant,
        candidates: &'a [RelayCandidate],
        near: &[&DataHall],
        tried: &[RelayCandidate],
        draw: f64,
    ) -> Option<&'a RelayCandidate> {
        let usable = candidates.iter().filter(|c| self.is_usable(now, c, tried));
        let usable: Vec<&RelayCandidate> = usable.collect();
        let is_preferred = |c: &&RelayCandidate| match tried {
            [] => near.contains(&&c.hall),
            _ => tried.iter().all(|t| t.hall != c.hall),
        };
        let preferred: Vec<&RelayCandidate> = usable.iter().copied().filter(is_preferred).collect();
        let from = if preferred.is_empty() {
            usable
        } else {
            preferred
        };
        let i = (draw * from.len() as f64) as usize;
        from.get(i.min(from.len().saturating_sub(1))).copied()
    }

    fn is_usable(&self, now: Instant, peer: &RelayCandidate, tried: &[RelayCandidate]) -> bool {
        let avoided = self.avoided_until.get(&peer.address);
        avoided.is_none_or(|until| now >= *until) && !tried.contains(peer)
    }

    /// Records that a peer reached a target.
    pub fn on_success(&mut self, peer: SocketAddr) {
        self.avoided_until.remove(&peer);
    }

    /// Records that a peer could not help.
    pub fn on_failure(&mut self, now: Instant, peer: SocketAddr, failure: RelayFailure) {
        let time = match failure {
            RelayFailure::Refused => REFUSED_FOR,
            RelayFailure::Silent => SILENT_FOR,
        };
        self.avoided_until.insert(peer, now + time);
    }

    /// Drops what is over.
    pub fn on_tick(&mut self, now: Instant) {
        self.avoided_until.retain(|_, until| now < *until);
    }
}

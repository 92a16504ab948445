//! Peers through which this router reaches targets that it has no path to.
//!
//! Nobody announces which routers have paths. A peer is asked, and one that has none to the target
//! answers so at once; it is then not asked for this target for a moment. One that had a path is asked
//! first the next time. This costs nothing while no router is cut off, and a round trip for each peer
//! that is cut off too.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    ids::{DataHall, TargetId},
    units::Instant,
};

/// Time for which a peer is not asked for a target that it did not reach.
const NO_PATH_FOR: Duration = Duration::from_secs(1);

/// Time for which a peer is not asked after it said that it can't help.
const REFUSED_FOR: Duration = Duration::from_millis(400);

/// Time for which a peer is not asked after it did not answer.
const SILENT_FOR: Duration = Duration::from_secs(2);

/// Number of peers that must reach other targets, but not this one, for it to count as down.
const MIN_SOUND_PEERS: usize = 2;

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
    /// It reaches other targets, but not this one.
    TargetDown,
    /// It has no path to the target, nor to others.
    NoPath,
    /// It has no capacity, or stops.
    Refused,
    /// It did not answer.
    Silent,
}

/// What peers say of a target that this router could not reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerVerdict {
    /// Peers that reach other targets do not reach this one.
    TargetDown,
    /// Too few peers are known to reach other targets.
    NotKnown,
    /// There is no peer, or none answers.
    NoPeers,
}

/// A peer that is not asked for any target.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    until: Instant,
    /// Whether it did not answer, so that it may be gone.
    is_silent: bool,
}

/// A peer that did not reach a target.
#[derive(Debug, Clone, Copy)]
struct WithoutPath {
    /// Time until which it is not asked.
    until: Instant,
    /// Whether it reached other targets.
    is_sound: bool,
}

/// What is known of peers as relays.
#[derive(Debug, Default)]
pub struct Relays {
    avoided: FxHashMap<SocketAddr, Avoidance>,
    /// Peers that are not asked for a target.
    without_path: FxHashMap<(SocketAddr, TargetId), WithoutPath>,
    /// Peer that last reached each target.
    with_path: FxHashMap<TargetId, SocketAddr>,
}

impl Relays {
    /// Chooses a peer to ask for a target, except those in `tried`: the one that last reached the target,
    /// or else one at random. Peers in this router's data hall or the target's (`near`) are asked first, as
    /// bytes then cross halls no more often than without a relay; after one of them failed, peers in other
    /// halls than its own.
    ///
    /// `draw` is from 0 to 1.
    pub fn choose<'a>(
        &self,
        now: Instant,
        target: &TargetId,
        candidates: &'a [RelayCandidate],
        near: &[&DataHall],
        tried: &[RelayCandidate],
        draw: f64,
    ) -> Option<&'a RelayCandidate> {
        let usable = candidates.iter();
        let usable = usable.filter(|c| self.is_usable(now, target, c) && !tried.contains(c));
        let usable: Vec<&RelayCandidate> = usable.collect();
        let known = self.with_path.get(target);
        let known = known.and_then(|address| usable.iter().find(|c| c.address == *address));
        if let Some(known) = known {
            return Some(known);
        }
        let is_preferred = |c: &&RelayCandidate| match tried {
            [] => near.contains(&&c.hall),
            _ => tried.iter().all(|t| t.hall != c.hall),
        };
        let preferred: Vec<&RelayCandidate> = usable.iter().copied().filter(is_preferred).collect();
        let from = match preferred.is_empty() {
            true => usable,
            false => preferred,
        };
        let i = (draw * from.len() as f64) as usize;
        from.get(i.min(from.len().saturating_sub(1))).copied()
    }

    fn is_usable(&self, now: Instant, target: &TargetId, peer: &RelayCandidate) -> bool {
        self.avoidance(now, peer).is_none() && self.without_path(now, target, peer).is_none()
    }

    fn avoidance(&self, now: Instant, peer: &RelayCandidate) -> Option<Avoidance> {
        let avoided = self.avoided.get(&peer.address).copied();
        avoided.filter(|a| now < a.until)
    }

    fn without_path(
        &self,
        now: Instant,
        target: &TargetId,
        peer: &RelayCandidate,
    ) -> Option<WithoutPath> {
        let pair = (peer.address, target.clone());
        let without_path = self.without_path.get(&pair).copied();
        without_path.filter(|w| now < w.until)
    }

    /// Records that a peer reached a target.
    pub fn on_success(&mut self, peer: SocketAddr, target: &TargetId) {
        self.avoided.remove(&peer);
        self.with_path.insert(target.clone(), peer);
    }

    /// Records that a peer could not help.
    pub fn on_failure(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        target: &TargetId,
        failure: RelayFailure,
    ) {
        if self.with_path.get(target) == Some(&peer) {
            self.with_path.remove(target);
        }
        match failure {
            RelayFailure::TargetDown | RelayFailure::NoPath => {
                let without_path = WithoutPath {
                    until: now + NO_PATH_FOR,
                    is_sound: failure == RelayFailure::TargetDown,
                };
                let pair = (peer, target.clone());
                self.without_path.insert(pair, without_path);
            }
            RelayFailure::Refused => {
                let avoidance = Avoidance {
                    until: now + REFUSED_FOR,
                    is_silent: false,
                };
                self.avoided.insert(peer, avoidance);
            }
            RelayFailure::Silent => {
                let avoidance = Avoidance {
                    until: now + SILENT_FOR,
                    is_silent: true,
                };
                self.avoided.insert(peer, avoidance);
            }
        }
    }

    /// Returns what the peers say of a target that this router could not reach. Two that reach other targets
    /// have to fail at it, as one may be cut off from some targets too, or all that can tell.
    pub fn verdict(
        &self,
        now: Instant,
        target: &TargetId,
        candidates: &[RelayCandidate],
    ) -> PeerVerdict {
        let (mut sound, mut can_tell, mut alive) = (0, 0, 0);
        for peer in candidates {
            let avoidance = self.avoidance(now, peer);
            let without_path = self.without_path(now, target, peer);
            alive += usize::from(avoidance.is_none_or(|a| !a.is_silent));
            match without_path {
                Some(w) if w.is_sound => (sound, can_tell) = (sound + 1, can_tell + 1),
                Some(_) => {}
                None => can_tell += usize::from(avoidance.is_none()),
            }
        }
        match () {
            () if sound > 0 && sound >= MIN_SOUND_PEERS.min(can_tell) => PeerVerdict::TargetDown,
            () if alive == 0 => PeerVerdict::NoPeers,
            () => PeerVerdict::NotKnown,
        }
    }

    /// Drops what is over, and what is known of targets that are not listed.
    pub fn on_tick(&mut self, now: Instant, listed: impl Fn(&TargetId) -> bool) {
        self.avoided.retain(|_, a| now < a.until);
        self.without_path.retain(|_, w| now < w.until);
        self.with_path.retain(|target, _| listed(target));
    }
}

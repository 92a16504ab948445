//! Which routers hold a replica of a key, and which of them have yet to be sent it.
//!
//! Rendezvous hashing selects a few holders for each key. Once another router becomes one of them, because
//! a holder ended, stops or started again, each router that knows the key sends it to the new holder. So a
//! key outlives restarts of all its holders in turn.

use std::{net::SocketAddr, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{Incarnation, VmId},
    placement::{KeyHash, weight},
    units::Instant,
};

/// Number of holders of a key, beside the routers that hold all keys of a small fleet.
pub(crate) const HOLDERS: usize = 3;

/// Number of times that a new key is sent to each holder, as a datagram may be lost.
const FIRST_SENDS: u8 = 2;

/// Number of times that each router which knows a key sends it to a new holder; usually several do.
const REPAIR_SENDS: u8 = 1;

/// Time for which a holder counts as new: the sender of a key may not know yet that it joined. For as long, a
/// router that has started learns of the others, which are not new.
const JOIN_NOTICE_TIME: Duration = Duration::from_secs(1);

/// A router that may hold replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation; a later one has no replicas.
    pub incarnation: Incarnation,
    /// Address at which it is sent keys; `None` for this router.
    pub address: Option<SocketAddr>,
    /// Whether it holds all keys.
    pub holds_all: bool,
}

/// Short hash of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HolderId(u32);

impl From<&Holder> for HolderId {
    fn from(holder: &Holder) -> Self {
        let seed = holder.incarnation.0 << 1 | u64::from(holder.holds_all);
        Self(xxh3_64_with_seed(holder.vm.as_str().as_bytes(), seed) as u32)
    }
}

/// The routers that may hold replicas now.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    by_id: FxHashMap<HolderId, (Holder, Instant)>,
}

/// Difference between two sets of holders.
#[derive(Debug)]
pub(crate) struct HolderChanges {
    joined: Vec<HolderId>,
    left: FxHashSet<HolderId>,
}

impl Holders {
    /// Replaces the set; returns `None` if nothing changed.
    pub(crate) fn set(&mut self, now: Instant, current: Vec<Holder>) -> Option<HolderChanges> {
        let ids: FxHashSet<HolderId> = current.iter().map(HolderId::from).collect();
        let left: FxHashSet<HolderId> = self.by_id.keys().copied().collect();
        let left: FxHashSet<HolderId> = left.difference(&ids).copied().collect();
        self.by_id.retain(|id, _| !left.contains(id));
        let mut joined = Vec::new();
        for holder in current {
            let id = HolderId::from(&holder);
            let before = self.by_id.get(&id).map(|(_, since)| *since);
            if before.is_none() {
                joined.push(id);
            }
            self.by_id.insert(id, (holder, before.unwrap_or(now)));
        }
        let is_changed = !joined.is_empty() || !left.is_empty();
        is_changed.then_some(HolderChanges { joined, left })
    }

    /// Returns the number of routers.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    fn weight(&self, key: KeyHash, id: HolderId) -> u64 {
        match self.by_id.get(&id) {
            Some((holder, _)) if holder.holds_all => u64::MAX,
            Some((holder, _)) => weight(key, &holder.vm),
            None => 0,
        }
    }

    fn is_self(&self, id: HolderId) -> bool {
        let holder = self.by_id.get(&id);
        holder.is_some_and(|(holder, _)| holder.address.is_none())
    }

    /// Returns how often this router has to send a key to a holder that another router has sent it, or sends it
    /// now: not at all, unless the holder is new.
    fn repair_sends(&self, now: Instant, id: HolderId) -> u8 {
        let is_new = |at: Instant| now.since(at) < JOIN_NOTICE_TIME && at.0 > JOIN_NOTICE_TIME;
        match self.by_id.get(&id) {
            Some((_, joined_at)) if is_new(*joined_at) => REPAIR_SENDS,
            _ => 0,
        }
    }

    fn holders_per_key(&self) -> usize {
        let all = self.by_id.values();
        HOLDERS + all.filter(|(holder, _)| holder.holds_all).count()
    }
}

/// One holder of a key.
#[derive(Debug, Clone, Copy)]
struct Replica {
    weight: u64,
    holder: HolderId,
    /// Number of times that the key is still to be sent to the holder.
    sends_left: u8,
}

/// Replicas of one key.
#[derive(Debug)]
pub(crate) struct Replicas {
    /// One for each holder of the key, the one with the highest weight first.
    replicas: Vec<Replica>,
    /// Whether this router is the first to know the key.
    is_own: bool,
}

impl Replicas {
    /// Selects the holders of a key of which this router tells them.
    pub(crate) fn of_own(holders: &Holders, key: KeyHash) -> Self {
        Self::new(holders, key, true, |_| FIRST_SENDS)
    }

    /// Selects the holders of a key of which another router tells them. Those that joined a moment ago are told
    /// by this router as well.
    pub(crate) fn of_received(now: Instant, holders: &Holders, key: KeyHash) -> Self {
        Self::new(holders, key, false, |id| holders.repair_sends(now, id))
    }

    fn new(holders: &Holders, key: KeyHash, is_own: bool, sends: impl Fn(HolderId) -> u8) -> Self {
        let mut replicas = Self {
            replicas: Vec::with_capacity(HOLDERS + 1),
            is_own,
        };
        for id in holders.by_id.keys() {
            replicas.add(holders, key, *id, sends(*id));
        }
        replicas
    }

    /// Selects other holders after a change.
    pub(crate) fn on_change(
        &mut self,
        now: Instant,
        holders: &Holders,
        changes: &HolderChanges,
        key: KeyHash,
    ) {
        let is_own = self.is_own;
        let sends = |id| match is_own {
            true => REPAIR_SENDS,
            false => holders.repair_sends(now, id),
        };
        let has_lost = self
            .replicas
            .iter()
            .any(|r| changes.left.contains(&r.holder));
        if !has_lost {
            for id in &changes.joined {
                self.add(holders, key, *id, sends(*id));
            }
            return;
        }
        let before = std::mem::take(&mut self.replicas);
        for id in holders.by_id.keys() {
            let known = before.iter().find(|r| r.holder == *id);
            let sends_left = known.map_or(REPAIR_SENDS, |r| r.sends_left);
            self.add(holders, key, *id, sends_left);
        }
    }

    /// Returns whether the key is still to be sent to a holder.
    pub(crate) fn has_unsent(&self) -> bool {
        self.replicas.iter().any(|r| r.sends_left > 0)
    }

    /// Returns the addresses of the holders to send the key to now, and counts this as a send to each.
    pub(crate) fn take_unsent<'a>(
        &'a mut self,
        holders: &'a Holders,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let unsent = self.replicas.iter_mut().filter(|r| r.sends_left > 0);
        unsent.filter_map(|replica| {
            replica.sends_left -= 1;
            let (holder, _) = holders.by_id.get(&replica.holder)?;
            holder.address
        })
    }

    /// Adds a holder in place of the one with the lowest weight, if its own is higher.
    fn add(&mut self, holders: &Holders, key: KeyHash, id: HolderId, sends: u8) {
        let weight = holders.weight(key, id);
        let at = (self.replicas).partition_point(|r| (r.weight, r.holder) > (weight, id));
        let max = holders.holders_per_key();
        if at < max {
            self.replicas.truncate(max - 1);
            let replica = Replica {
                weight,
                holder: id,
                sends_left: if holders.is_self(id) { 0 } else { sends },
            };
            self.replicas.insert(at, replica);
        }
    }
}

//! Which routers keep state for the fleet: copies of what others know, and the state that is saved in the store.

use std::{net::SocketAddr, time::Duration};

use super::{hubs::MIN_LARGE_FLEET, peer::Peer, peers::Peers, timing};
use crate::{
    ids::VmId,
    placement::owners,
    replicas::{HOLDERS, Holder},
    units::Instant,
};

/// Key whose owners write the fleet's state to the store.
const SAVED_STATE_KEY: &str = "prompts";

/// Number of routers that write it.
const STATE_WRITERS: usize = 2;

/// Number of routers that are asked for a key, among those that serve and those that did a moment ago. It is
/// larger than the number of holders, as some of these may have joined since the key was sent.
const FORMER_HOLDERS: usize = 2 * HOLDERS;

/// Time after its last heartbeat for which a router may still answer for a key: as long as a planned stop takes.
const FORMER_HOLDER_TTL: Duration = Duration::from_secs(10);

impl Peers {
    /// Returns the routers that keep state for the fleet: those that serve or, if there are none, those that stop
    /// and are still running. `is_stopping` says whether this router stops.
    pub fn state_holders(&self, now: Instant, is_stopping: bool) -> Vec<Holder> {
        let holder = |(vm, p): (&VmId, &Peer)| Holder {
            vm: vm.clone(),
            incarnation: p.incarnation(),
            address: Some(p.address),
            holds_all: false,
        };
        let mut holders: Vec<Holder> = self.live_members(now).map(holder).collect();
        let all_stop = is_stopping && holders.is_empty();
        if all_stop {
            let timeout = timing::failure_timeout(self.fleet_size());
            let is_running = |p: &Peer| p.stopping && now.since(p.last_heartbeat()) < timeout;
            let stopping = self.by_vm.iter().filter(|(_, p)| is_running(p));
            holders.extend(stopping.map(holder));
        }
        if !is_stopping || all_stop {
            holders.push(Holder {
                vm: self.me.clone(),
                incarnation: self.incarnation,
                address: None,
                holds_all: false,
            });
        }
        // The state of a large fleet is more than one router could hold.
        if holders.len() < MIN_LARGE_FLEET {
            let writers: Vec<VmId> = state_writers(&holders).into_iter().cloned().collect();
            for holder in &mut holders {
                holder.holds_all = writers.contains(&holder.vm);
            }
        }
        holders
    }

    /// Returns the position of this router among those that write the fleet's state to the store, if it is one.
    /// `is_stopping` says whether it stops.
    pub fn state_writer_rank(&self, now: Instant, is_stopping: bool) -> Option<usize> {
        let holders = self.state_holders(now, is_stopping);
        let writers = state_writers(&holders);
        writers.iter().position(|vm| **vm == self.me)
    }

    /// Returns the addresses of the other routers that may know what the holders of `key` were sent: its holders
    /// among those that serve, and among all that did a moment ago.
    pub fn former_holders(&self, now: Instant, key: &str) -> Vec<SocketAddr> {
        let is_recent = |p: &Peer| now.since(p.last_heartbeat()) < FORMER_HOLDER_TTL;
        let known = self.by_vm.iter().filter(|(_, p)| is_recent(p));
        let former = owners(key, known.map(|(vm, _)| vm), FORMER_HOLDERS);
        let current = owners(key, self.live_members(now).map(|(vm, _)| vm), HOLDERS);
        let mut all: Vec<&VmId> = former.into_iter().chain(current).collect();
        all.sort_unstable();
        all.dedup();
        let peers = all.into_iter().filter_map(|vm| self.by_vm.get(vm));
        peers.map(|p| p.address).collect()
    }
}

/// Returns the routers that write the fleet's state to the store. The first one writes all of it; the second one
/// writes what must not be lost in the time until the end of the first one is noticed.
fn state_writers(holders: &[Holder]) -> Vec<&VmId> {
    owners(
        SAVED_STATE_KEY,
        holders.iter().map(|h| &h.vm),
        STATE_WRITERS,
    )
}

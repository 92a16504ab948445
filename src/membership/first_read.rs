//! Where a router that has just started gets the store's content for the first time, while callers wait.
//!
//! Guards against the loss of all routers of a fleet: they start together and know one another only by and by.
//! Whoever holds the content passes it on, so a router asks the first holder that it learns of. While it knows
//! none, it asks one of the readers that it would choose, which answers as soon as it has listed the store
//! itself. Only routers that see themselves among these readers list the store.

use std::{net::SocketAddr, time::Duration};

use super::{
    feeders::MIN_FLEET_WITH_FEEDERS,
    peers::Peers,
    readers::{FirstRead, FleetStart, NextRead, READER_COUNT, READERS_KEY, ReadState},
};
use crate::{
    ids::VmId,
    placement::{owner, owners},
    units::{Instant, StoreRevision},
};

/// Time after its first contact with another router from which a router lists the store or asks one without
/// content: by then it has compared its members with those of others and knows how large the fleet is.
///
/// Without this wait, a third of a fleet of 985 takes itself for readers, each with fifty pages to list.
const DISCOVERY_TIME: Duration = Duration::from_millis(100);

/// Time for the first answer to a first request, or its connection: a list of some hundred entries takes
/// hundredths of a second, also on a VM with a tenth of a core.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of times that this timeout is doubled: a longer list needs more time.
const MAX_DOUBLINGS: u32 = 5;

/// Returns how long a router waits for an answer to its first request, after `failures` requests that were not
/// answered in time.
pub fn first_answer_timeout(failures: u32) -> Duration {
    FIRST_ANSWER_TIMEOUT * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS))
}

impl Peers {
    /// Whether this router reads for the first time and as described here: callers wait, and the fleet is too
    /// small for feeders.
    pub fn is_first_read(&self, state: &ReadState) -> bool {
        let is_small = self.fleet_size() < MIN_FLEET_WITH_FEEDERS;
        let is_pending = state.first_read == FirstRead::Pending && !state.listed;
        state.start == FleetStart::Later && is_pending && is_small
    }

    /// Returns where this router reads for the first time.
    pub(super) fn first_read(&self, now: Instant, state: &ReadState) -> NextRead {
        let me = self.me.as_str();
        let holds_content = |vm: &VmId| {
            let peer = self.by_vm.get(vm);
            peer.is_some_and(|p| p.mirror_revision > StoreRevision::default())
        };
        let is_usable = |vm: &&VmId| !self.failed_recently(now, vm);
        let acting = self.acting_readers(now, None).into_iter();
        let live = self.live_members(now).map(|(vm, _)| vm);
        let holders = live.filter(|vm| holds_content(vm));
        // Other holders may have lost the store.
        let holder = owner(me, acting.filter(is_usable));
        if let Some(holder) = holder.or_else(|| owner(me, holders.filter(is_usable))) {
            return self.ask(holder);
        }
        let since_contact = self.time_since_contact(now);
        if since_contact.is_some_and(|time| time < DISCOVERY_TIME) {
            return NextRead::Wait;
        }
        let readers = self.available_readers(now);
        let others = readers.iter().copied().filter(|vm| **vm != self.me);
        match owner(me, others) {
            Some(reader) if state.store_lost || !readers.contains(&&self.me) => self.ask(reader),
            _ if now < state.retry_at => NextRead::Wait,
            _ => NextRead::Store,
        }
    }

    /// Returns the designated readers. In place of those that did not answer, it returns the next routers in
    /// the order by which readers are selected.
    fn available_readers(&self, now: Instant) -> Vec<&VmId> {
        let mut readers = self.designated_readers(now);
        let others = self.live_names(now).filter(|vm| !readers.contains(vm));
        let others = owners(READERS_KEY, others, usize::MAX);
        readers.extend(others);
        readers.retain(|vm| !self.failed_recently(now, vm));
        readers.truncate(READER_COUNT);
        readers
    }

    fn failed_recently(&self, now: Instant, vm: &VmId) -> bool {
        let address = self.by_vm.get(vm).map(|p| p.address);
        address.is_some_and(|address| self.is_paused_source(now, address))
    }

    fn ask(&self, vm: &VmId) -> NextRead {
        let address: Option<SocketAddr> = self.by_vm.get(vm).map(|p| p.address);
        address.map_or(NextRead::Wait, NextRead::Ask)
    }
}

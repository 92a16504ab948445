//! Who reads the store for all, and whom the others ask.

use std::{net::SocketAddr, time::Duration};

use super::peers::{Peer, Peers};
use crate::{
    ids::VmId,
    placement::keeper,
    units::{Instant, StoreRevision},
};

/// Routers that read the store for all: with a third of the routers cut off from it, one of three
/// still reaches it nearly always. Where none does, as many of those that do stand in.
const READERS: usize = 3;

/// What readers are chosen by.
const READERS_KEY: &str = "store readers";

/// How old a reader's word from the store may be for others to rely on that reader: a watch, its
/// pause and a datagram. Two seconds after a change all have to know it, also where it came right
/// after all readers were cut off.
const READER_FRESH: Duration = Duration::from_millis(1_500);

impl Peers {
    /// Whether this router is one of those that are named to read the store for all.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.named(now).contains(&&self.me)
    }

    /// Whether this router, which has read the store a moment ago, goes on to read it for all. Had
    /// it stopped at once, all that stand in would ask one another and none the store.
    pub fn stands_in(&self, now: Instant) -> bool {
        self.acting(now, Some(&self.me)).contains(&&self.me)
    }

    /// A peer that reads the store and heard from it a moment ago; routers spread over them.
    pub fn reader(&self, now: Instant) -> Option<SocketAddr> {
        let acting = self.acting(now, None);
        let chosen = keeper(self.me.as_str(), acting.into_iter())?;
        self.heard.get(chosen).map(|p| p.address)
    }

    /// How old the word from the store is, in milliseconds, of the peers that read it.
    pub fn readers(&self, now: Instant) -> Vec<(VmId, u32)> {
        let age = |p: &Peer| {
            let word = p.store_word.unwrap_or_default();
            now.since(word).as_millis() as u32
        };
        let acting = self.acting(now, None).into_iter();
        let told = acting.filter_map(|vm| self.heard.get(vm).map(|p| (vm.clone(), age(p))));
        told.collect()
    }

    /// A peer that knows more of the store than up to a revision.
    pub fn ahead(&self, now: Instant, revision: StoreRevision) -> Option<SocketAddr> {
        let ahead = self.living(now).filter(|p| p.mirror > revision);
        ahead.max_by_key(|p| p.mirror).map(|p| p.address)
    }

    /// A peer told when readers last had word from the store.
    pub(super) fn on_store_words(&mut self, now: Instant, told: &[(VmId, u32)]) {
        for (reader, age_ms) in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            let word = Instant(now.0.saturating_sub(age));
            if let Some(peer) = self.heard.get_mut(reader) {
                peer.store_word = peer.store_word.max(Some(word));
            }
        }
    }

    fn named(&self, now: Instant) -> Vec<&VmId> {
        self.strong_keepers(READERS_KEY, self.names(now), READERS)
    }

    /// Of the routers with fresh word from the store, `me` included if given: those that are named,
    /// or where none of these is among them, a few.
    fn acting<'a>(&'a self, now: Instant, me: Option<&'a VmId>) -> Vec<&'a VmId> {
        let fresh = |(_, p): &(&VmId, &Peer)| self.is_fresh_reader(now, p);
        let fresh = self.heard.iter().filter(fresh).map(|(vm, _)| vm);
        let fresh: Vec<&VmId> = fresh.chain(me).collect();
        let mut acting = self.named(now);
        acting.retain(|vm| fresh.contains(vm));
        match acting.is_empty() {
            true => self.strong_keepers(READERS_KEY, fresh.into_iter(), READERS),
            false => acting,
        }
    }

    fn is_fresh_reader(&self, now: Instant, peer: &Peer) -> bool {
        let fresh = |at| now.since(at) < READER_FRESH;
        self.is_alive(now, peer) && peer.store_word.is_some_and(fresh)
    }
}

//! The other routers of the fleet and whether they are alive, from the datagrams that they send.
//!
//! In a small fleet each router sends its calls in progress and the age of its information to all
//! others, several times a second; a router that is silent for too long counts as down. In a large
//! fleet it sends this to two hubs of its data hall. One of them aggregates the counts and sends
//! the sums, and reports of routers that are down, to the routers of its data hall and to the hubs
//! of the others ([`super::heartbeats`]). Routers learn from one another which others exist
//! ([`super::records`]).

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

pub use super::peer::{Member, MemberState, Receiver};

use super::{
    datagram::{Datagram, Strength},
    heartbeats::{KnownDigest, VmHash},
    hubs::{HubTable, MIN_LARGE_FLEET},
    peer::{Peer, SilenceLimits},
    records::ComparisonState,
    timing,
};
use crate::{
    config::freshness::PeerConfirmation,
    ids::{DataHall, Incarnation, VmId},
    load_account::PEER_TTL,
    placement::{owner, owners},
    relays::RelayCandidate,
    units::Instant,
};

/// Silence up to which a peer counts as alive in a small fleet.
const SMALL_FLEET_TIMEOUT: Duration = PEER_TTL;

/// How long datagrams still go to the address of a silent peer, which may only be cut off.
pub(super) const ADDRESS_TTL: Duration = Duration::from_mins(1);

/// Number of routers that send a peer that joined what it missed; two, as one may be about to stop.
const SYNC_SENDERS: usize = 2;

/// Interval before a peer that joined is sent the same data again: a peer that only some routers
/// reach joins again and again.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// Result of processing a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramEffect {
    /// The datagram is older than one that was processed before.
    Outdated,
    /// The peer was not alive before, or started a new incarnation.
    Joined,
    /// The peer was known.
    Known,
}

/// All other routers that this one knows.
#[derive(Debug)]
pub struct Peers {
    pub(super) me: VmId,
    pub(super) hall: DataHall,
    pub(super) capacity: Strength,
    pub(super) incarnation: Incarnation,
    pub(super) own_address: SocketAddr,
    pub(super) by_vm: BTreeMap<VmId, Peer>,
    pub(super) unconfirmed_addresses: BTreeMap<SocketAddr, Instant>,
    /// Latest member digest of each data hall.
    pub(super) digests: BTreeMap<DataHall, KnownDigest>,
    pub(super) comparison: ComparisonState,
    /// Since when this router monitors others.
    pub(super) monitoring_since: Option<Instant>,
    pub(super) hubs: RefCell<HubTable>,
    /// Routers that had nothing recent when they were asked, and when that was.
    pub(super) failed_sources: BTreeMap<SocketAddr, Instant>,
    /// Peers that were sent what they had missed: the incarnation of each, and when.
    synced: BTreeMap<VmId, (Incarnation, Instant)>,
    /// Time of the last tick.
    last_tick: Option<Instant>,
}

impl Peers {
    /// Creates a membership view that knows only the seed addresses.
    pub fn new(
        me: VmId,
        hall: DataHall,
        capacity: Strength,
        incarnation: Incarnation,
        own_address: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut peers = Self {
            me,
            hall,
            capacity,
            incarnation,
            own_address,
            by_vm: BTreeMap::new(),
            unconfirmed_addresses: BTreeMap::new(),
            digests: BTreeMap::new(),
            comparison: ComparisonState::default(),
            monitoring_since: None,
            hubs: RefCell::default(),
            failed_sources: BTreeMap::new(),
            synced: BTreeMap::new(),
            last_tick: None,
        };
        for seed in seeds {
            peers.add_address(Instant::default(), *seed);
        }
        peers
    }

    /// Adds an address at which a router may be reached.
    pub fn add_address(&mut self, now: Instant, address: SocketAddr) {
        let known = self.by_vm.values().any(|p| p.address == address);
        if !known && address != self.own_address {
            self.unconfirmed_addresses.entry(address).or_insert(now);
        }
    }

    /// Processes a datagram from a peer.
    pub fn on_datagram(
        &mut self,
        now: Instant,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> DatagramEffect {
        if datagram.vm == self.me {
            return DatagramEffect::Outdated;
        }
        let before = self.by_vm.get(&datagram.vm);
        let was_alive = before.is_some_and(|p| p.is_alive(now, self.silence_limits()));
        let effect = match before {
            Some(p)
                if p.incarnation() == datagram.sent.incarnation && p.number >= datagram.number =>
            {
                return DatagramEffect::Outdated;
            }
            Some(p) if p.is_outdated(now, datagram.sent.incarnation) => {
                return DatagramEffect::Outdated;
            }
            // A peer that stops is still the same incarnation, and needs no data.
            Some(p)
                if p.incarnation() == datagram.sent.incarnation && (was_alive || p.stopping) =>
            {
                DatagramEffect::Known
            }
            _ if datagram.stopping => DatagramEffect::Known,
            _ => DatagramEffect::Joined,
        };
        let peer = Peer::from_datagram(now, from, datagram, before);
        let is_change = was_alive == datagram.stopping || effect == DatagramEffect::Joined;
        self.by_vm.insert(datagram.vm.clone(), peer);
        if is_change {
            self.on_change(now, &datagram.vm);
        }
        self.on_store_readers(now, &datagram.reader_ages);
        self.on_member_digests(now, &datagram.vm, &datagram.member_digests);
        self.unconfirmed_addresses.remove(&from);
        effect
    }

    /// Marks a router that did not answer a call as down until it sends a datagram or others report
    /// a later heartbeat.
    pub fn on_unreachable(&mut self, now: Instant, address: SocketAddr) {
        for peer in self.by_vm.values_mut().filter(|p| p.address == address) {
            peer.unreachable_at = Some(now);
        }
        self.hubs.borrow_mut().invalidate();
    }

    /// Returns the confirmation of the configuration in a datagram, if it answers one of this
    /// incarnation.
    pub fn config_confirmation(&self, datagram: &Datagram) -> Option<PeerConfirmation> {
        let echo = datagram
            .echo
            .filter(|stamp| stamp.incarnation == self.incarnation)?;
        let (version, age_ms) = datagram.config?;
        Some(PeerConfirmation {
            echo: Instant(Duration::from_micros(echo.micros)),
            age: Duration::from_millis(u64::from(age_ms)),
            version,
        })
    }

    /// Returns all known peers and all addresses where one may be.
    pub fn all_receivers(&self) -> Vec<Receiver> {
        let known = self.by_vm.iter().map(Receiver::of);
        let unconfirmed = self
            .unconfirmed_addresses
            .keys()
            .map(|address| Receiver::at(*address));
        known.chain(unconfirmed).collect()
    }

    /// Detects failures, and removes peers and addresses that have been silent for too long.
    pub fn on_tick(&mut self, now: Instant) {
        let before = self.last_tick.replace(now).unwrap_or(now);
        self.reset_after_stall(before, now);
        self.detect_failures(now);
        let keep = |since: Instant| now.since(since) < ADDRESS_TTL;
        self.by_vm.retain(|_, p| keep(p.last_heartbeat()));
        self.unconfirmed_addresses.retain(|_, since| keep(*since));
    }

    /// Whether this router is one of the few that send a peer that joined the state of the fleet.
    pub fn is_sync_sender_for(&self, now: Instant, joined: &VmId) -> bool {
        let others = self.live_names(now).filter(|vm| *vm != joined);
        owners(joined.as_str(), others, SYNC_SENDERS).contains(&&self.me)
    }

    /// Whether this router has to send a peer that joined what it missed; if so, records that it
    /// does.
    pub fn take_sync_duty(&mut self, now: Instant, joined: &VmId) -> bool {
        self.synced
            .retain(|_, (_, at)| now.since(*at) < MIN_SYNC_INTERVAL);
        let Some(incarnation) = self.by_vm.get(joined).map(Peer::incarnation) else {
            return false;
        };
        let was_sent = self
            .synced
            .get(joined)
            .is_some_and(|(l, _)| *l == incarnation);
        let is_due = !was_sent && self.is_sync_sender_for(now, joined);
        if is_due {
            self.synced.insert(joined.clone(), (incarnation, now));
        }
        is_due
    }

    /// Whether this router owns `key` for the fleet.
    pub fn is_owner_of(&self, now: Instant, key: &str) -> bool {
        self.owner_of(now, key).is_none()
    }

    /// Returns the address of the router that owns `key`; `None` if it is this one.
    pub fn owner_of(&self, now: Instant, key: &str) -> Option<SocketAddr> {
        let owner = owner(key, self.live_names(now))?;
        self.by_vm.get(owner).map(|p| p.address)
    }

    /// Returns all other known routers, each with its data hall and state.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let limits = self.silence_limits();
        let member = |(vm, p): (&VmId, &Peer)| Member {
            vm: vm.clone(),
            data_hall: p.hall.clone(),
            state: match () {
                () if p.stopping => MemberState::Stopping,
                () if p.is_alive(now, limits) => MemberState::Alive,
                () => MemberState::Dead,
            },
            silent_ms: now.since(p.last_heartbeat()).as_millis() as u64,
        };
        self.by_vm.iter().map(member).collect()
    }

    /// Returns the addresses of the other live routers.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live_peers(now).map(|p| p.address).collect()
    }

    /// Returns the other live routers that do not stop, as relays.
    pub fn relay_candidates(&self, now: Instant) -> Vec<RelayCandidate> {
        let candidate = |p: &Peer| RelayCandidate {
            address: p.address,
            hall: p.hall.clone(),
        };
        let live = self.live_peers(now).filter(|p| !p.stopping);
        live.map(candidate).collect()
    }

    /// Returns the address of a router.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.by_vm.get(vm).map(|p| p.address)
    }

    /// Returns the names of all live routers, this one included.
    pub(super) fn live_names(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let live = self.live_members(now).map(|(vm, _)| vm);
        live.chain(std::iter::once(&self.me))
    }

    /// Returns the short hashes of all live routers, this one first.
    pub fn live_hashes(&self, now: Instant) -> Vec<VmHash> {
        let others = self.live_peers(now).map(|p| p.hash);
        std::iter::once(VmHash::from(&self.me))
            .chain(others)
            .collect()
    }

    /// Returns the number of live routers, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Returns this router's share of the fleet's calls, from its own number of calls and that of
    /// its peers.
    pub fn call_share(&self, now: Instant, own_calls: u32) -> f64 {
        let others = self.others_calls(now, own_calls);
        let even = 1.0 / self.live_count(now) as f64;
        match own_calls.saturating_add(others) {
            0 => even,
            // Half by calls and half evenly: a router that had few calls so far may need retries
            // now.
            all => f64::midpoint(f64::from(own_calls) / f64::from(all), even),
        }
    }

    /// Returns the limits on the silence of a router. In a small fleet every router receives
    /// heartbeats from every other.
    fn silence_limits(&self) -> SilenceLimits {
        let unreported_timeout = match self.by_vm.len() + 1 < MIN_LARGE_FLEET {
            true => SMALL_FLEET_TIMEOUT,
            false => SMALL_FLEET_TIMEOUT.max(self.unconfirmed_timeout()),
        };
        SilenceLimits {
            failure_timeout: timing::failure_timeout(self.fleet_size()),
            unreported_timeout,
        }
    }

    pub(super) fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        peer.is_alive(now, self.silence_limits())
    }

    pub(super) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live_members(now).map(|(_, p)| p)
    }

    pub(super) fn live_members(&self, now: Instant) -> impl Iterator<Item = (&VmId, &Peer)> {
        let limits = self.silence_limits();
        let all = self.by_vm.iter();
        all.filter(move |(_, p)| p.is_alive(now, limits))
    }
}

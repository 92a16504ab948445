//! Which other routers live, by the datagrams that they send.
//!
//! In a small fleet each router sends to all others, some times a second, what it has in progress and
//! how old its knowledge is; whoever is silent for long counts as gone. In a large one it sends that to two hubs of its
//! data hall; one of them adds up and sends the sums to the hall's routers and the other halls' hubs, also who is gone
//! ([`super::heartbeats`]). Who there is they learn from one another ([`super::records`]).

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

pub use super::peer::{Member, MemberState, Receiver};

use super::{
    datagram::{Datagram, Strength},
    heartbeats::{KnownRoll, VmHash},
    hubs::{HubTable, LARGE_FLEET},
    pace,
    peer::{Peer, Silence},
    records::Comparing,
};
use crate::{
    config::freshness::Vouch,
    ids::{DataHall, Incarnation, VmId},
    load_account::PEER_EXPIRES,
    placement::{keeper, keepers},
    units::Instant,
};

/// How long a silent peer counts as alive in a small fleet.
const ALIVE_FOR: Duration = PEER_EXPIRES;

/// How long the address of a silent peer is still written to: it may only be cut off.
pub(super) const ADDRESS_KEPT: Duration = Duration::from_mins(1);

/// Routers that tell a peer that joined what it missed; two, as one may be about to go.
const TEACHERS: usize = 2;

/// How long a peer that joined is not sent the same again: one that some reach and others don't joins over and over.
const TEACH_AGAIN: Duration = Duration::from_secs(10);

/// What a datagram changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is older than what was heard before.
    Outdated,
    /// The peer was not alive before, or began a new life.
    Joined,
    /// It was known.
    Known,
}

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    pub(super) me: VmId,
    pub(super) hall: DataHall,
    pub(super) strength: Strength,
    pub(super) life: Incarnation,
    pub(super) own_address: SocketAddr,
    pub(super) heard: BTreeMap<VmId, Peer>,
    pub(super) unheard: BTreeMap<SocketAddr, Instant>,
    /// The last roll of each data hall.
    pub(super) rolls: BTreeMap<DataHall, KnownRoll>,
    pub(super) comparing: Comparing,
    /// Since when this router knows that it has to hear of others.
    pub(super) observing_since: Option<Instant>,
    pub(super) hubs: RefCell<HubTable>,
    /// Routers that had nothing recent when they were asked, with when.
    pub(super) had_nothing: BTreeMap<SocketAddr, Instant>,
    /// Peers that were sent what they had missed: which life of each, and when.
    taught: BTreeMap<VmId, (Incarnation, Instant)>,
    /// The last tick.
    ticked: Option<Instant>,
}

impl Peers {
    /// None but the addresses to begin with.
    pub fn new(
        me: VmId,
        hall: DataHall,
        strength: Strength,
        life: Incarnation,
        own_address: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut peers = Self {
            me,
            hall,
            strength,
            life,
            own_address,
            heard: BTreeMap::new(),
            unheard: BTreeMap::new(),
            rolls: BTreeMap::new(),
            comparing: Comparing::default(),
            observing_since: None,
            hubs: RefCell::default(),
            had_nothing: BTreeMap::new(),
            taught: BTreeMap::new(),
            ticked: None,
        };
        for seed in seeds {
            peers.on_address(Instant::default(), *seed);
        }
        peers
    }

    /// A place where a router may be reached.
    pub fn on_address(&mut self, now: Instant, address: SocketAddr) {
        let known = self.heard.values().any(|p| p.address == address);
        if !known && address != self.own_address {
            self.unheard.entry(address).or_insert(now);
        }
    }

    /// A datagram came.
    pub fn on_datagram(&mut self, now: Instant, from: SocketAddr, told: &Datagram) -> Heard {
        if told.vm == self.me {
            return Heard::Outdated;
        }
        let before = self.heard.get(&told.vm);
        let lived = before.is_some_and(|p| p.lives(now, self.silence()));
        let heard = match before {
            Some(p) if p.life() == told.sent.life && p.number >= told.number => {
                return Heard::Outdated;
            }
            Some(p) if p.is_of_the_past(now, told.sent.life) => return Heard::Outdated,
            // One that stops is still the same life, and needs nothing told.
            Some(p) if p.life() == told.sent.life && (lived || p.stopping) => Heard::Known,
            _ if told.stopping => Heard::Known,
            _ => Heard::Joined,
        };
        let peer = Peer::heard(now, from, told, before);
        let is_change = lived == told.stopping || heard == Heard::Joined;
        self.heard.insert(told.vm.clone(), peer);
        if is_change {
            self.on_change(now, &told.vm);
        }
        self.on_store_readers(now, &told.readers);
        self.on_rolls(now, &told.vm, &told.rolls);
        self.unheard.remove(&from);
        heard
    }

    /// A call to a router brought no answer: it counts as gone until it is heard of again.
    pub fn on_unreachable(&mut self, now: Instant, address: SocketAddr) {
        for peer in self.heard.values_mut().filter(|p| p.address == address) {
            peer.unreachable_at = Some(now);
        }
        self.hubs.borrow_mut().forget();
    }

    /// What a datagram vouches for, if it answers one of this life.
    pub fn vouch(&self, told: &Datagram) -> Option<Vouch> {
        let echo = told.echo.filter(|stamp| stamp.life == self.life)?;
        let (version, age_ms) = told.config?;
        Some(Vouch {
            echo: Instant(Duration::from_micros(echo.micros)),
            age: Duration::from_millis(u64::from(age_ms)),
            version,
        })
    }

    /// All peers, and all places where one may be.
    pub fn everyone(&self) -> Vec<Receiver> {
        let heard = self.heard.iter().map(Receiver::of);
        let unheard = self.unheard.keys().map(|address| Receiver::at(*address));
        heard.chain(unheard).collect()
    }

    /// Forgets peers that are silent for long, and those that stopped.
    pub fn on_tick(&mut self, now: Instant) {
        let before = self.ticked.replace(now).unwrap_or(now);
        self.excuse_silence(before, now);
        self.observe(now);
        let keep = |since: Instant| now.since(since) < ADDRESS_KEPT;
        self.heard.retain(|_, p| keep(p.last_heartbeat()));
        self.unheard.retain(|_, since| keep(*since));
    }

    /// Whether this router is one of the few that tell a peer that joined what the fleet knows.
    pub fn is_teacher_of(&self, now: Instant, joined: &VmId) -> bool {
        let all = self.names(now).filter(|vm| *vm != joined);
        keepers(joined.as_str(), all, TEACHERS).contains(&&self.me)
    }

    /// Whether this router is to send a peer that joined what it missed now.
    pub fn take_teaching(&mut self, now: Instant, joined: &VmId) -> bool {
        self.taught
            .retain(|_, (_, at)| now.since(*at) < TEACH_AGAIN);
        let Some(life) = self.heard.get(joined).map(Peer::life) else {
            return false;
        };
        let knows = self.taught.get(joined).is_some_and(|(l, _)| *l == life);
        let is_due = !knows && self.is_teacher_of(now, joined);
        if is_due {
            self.taught.insert(joined.clone(), (life, now));
        }
        is_due
    }

    /// Whether this router is the one that looks after a thing for all.
    pub fn is_keeper_of(&self, now: Instant, thing: &str) -> bool {
        self.keeper_of(now, thing).is_none()
    }

    /// Where the router is that looks after a thing for all; `None` if it is this one.
    pub fn keeper_of(&self, now: Instant, thing: &str) -> Option<SocketAddr> {
        let keeper = keeper(thing, self.names(now))?;
        self.heard.get(keeper).map(|p| p.address)
    }

    /// The other routers that were heard of, each with its data hall and whether it lives.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let silence = self.silence();
        let member = |(vm, p): (&VmId, &Peer)| Member {
            vm: vm.clone(),
            data_hall: p.hall.clone(),
            state: match () {
                () if p.stopping => MemberState::Stopping,
                () if p.lives(now, silence) => MemberState::Alive,
                () => MemberState::Dead,
            },
            silent_ms: now.since(p.last_heartbeat()).as_millis() as u64,
        };
        self.heard.iter().map(member).collect()
    }

    /// Where the other routers are that live.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.living(now).map(|p| p.address).collect()
    }

    /// Where a router is reached.
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.heard.get(vm).map(|p| p.address)
    }

    /// The names of all that live, this router's included.
    pub(super) fn names(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let living = self.living_named(now).map(|(vm, _)| vm);
        living.chain(std::iter::once(&self.me))
    }

    /// The routers that live as short hashes, this one's first.
    pub fn hashes(&self, now: Instant) -> Vec<VmHash> {
        let others = self.living(now).map(|p| p.hash);
        std::iter::once(VmHash::from(&self.me))
            .chain(others)
            .collect()
    }

    /// Routers that live, this one included.
    pub fn alive(&self, now: Instant) -> usize {
        1 + self.living(now).count()
    }

    /// This router's part of the fleet's calls, from its own calls and its peers'.
    pub fn share(&self, now: Instant, own_calls: u32) -> f64 {
        let others = self.others_calls(now, own_calls);
        let even = 1.0 / self.alive(now) as f64;
        match own_calls + others {
            0 => even,
            // Half by calls and half evenly: a router that had few calls may need repeats now.
            all => f64::midpoint(f64::from(own_calls) / f64::from(all), even),
        }
    }

    /// How long a router may be silent. In a small fleet all hear of all.
    fn silence(&self) -> Silence {
        let counts_for = match self.heard.len() + 1 < LARGE_FLEET {
            true => ALIVE_FOR,
            false => ALIVE_FOR.max(self.unconfirmed_after()),
        };
        Silence {
            silent_after: pace::silent_after(self.size()),
            counts_for,
        }
    }

    pub(super) fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        peer.lives(now, self.silence())
    }

    pub(super) fn living(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.living_named(now).map(|(_, p)| p)
    }

    pub(super) fn living_named(&self, now: Instant) -> impl Iterator<Item = (&VmId, &Peer)> {
        let silence = self.silence();
        let all = self.heard.iter();
        all.filter(move |(_, p)| p.lives(now, silence))
    }
}

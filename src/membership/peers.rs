//! Which other routers live, by the datagrams that they send.
//!
//! In a small fleet each router tells all others, some times a second, what it has in progress and
//! how old its knowledge is. In a large one it tells that two hubs of its data hall; one of them
//! adds up and tells the hall's routers and the other halls' hubs, also whom it hears of. All tell
//! all only seldom. Whoever is silent for long counts as gone.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    datagram::{Datagram, Stamp, Strength},
    heartbeats::{HallSnapshot, VmHash},
};
use crate::{
    config::freshness::Vouch,
    ids::{DataHall, Incarnation, VmId},
    load_account::PEER_EXPIRES,
    placement::{keeper, keepers},
    units::{Instant, StoreRevision},
};

/// How long a silent peer counts as alive in a small fleet.
const ALIVE_FOR: Duration = PEER_EXPIRES;

/// How long the address of a silent peer is still written to: it may only be cut off.
const ADDRESS_KEPT: Duration = Duration::from_mins(1);

/// Silence of a router's known life after which one that is numbered lower counts: twice what a
/// router lets pass between two datagrams, also in a fleet of some hundred.
const LIFE_SILENT: Duration = Duration::from_secs(1);

/// Addresses that one datagram names, and in a fleet where most are known.
const KNOWN_TOLD: usize = 16;
const KNOWN_TOLD_LARGE: usize = 4;

/// Peers from which on few addresses are told.
const MOST_ARE_KNOWN: usize = 48;

/// Routers that tell a peer that joined what it missed; two, as one may be about to go.
const TEACHERS: usize = 2;

/// One other router.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) hall: DataHall,
    pub(super) strength: Strength,
    pub(super) hash: VmHash,
    pub(super) heard: Instant,
    /// The youngest heartbeat that a hub passed on.
    pub(super) hub_heard: Option<Instant>,
    /// A call to it brought no answer since it was last heard of.
    unreachable: bool,
    stamp: Stamp,
    /// The life before this one, of which datagrams may still be on their way.
    former_life: Option<Incarnation>,
    number: u64,
    calls: u32,
    pub(super) stopping: bool,
    pub(super) mirror: StoreRevision,
    /// When the peer last heard from the store, if it reads it.
    pub(super) store_heard: Option<Instant>,
}

impl Peer {
    /// Whether a life is over that is not this one. Lives are numbered by the time of day, which
    /// may have been set back: an earlier number counts once the known life is silent.
    fn is_of_the_past(&self, now: Instant, life: Incarnation) -> bool {
        let speaks = now.since(self.heard) < LIFE_SILENT;
        self.former_life == Some(life) || (self.stamp.life > life && speaks)
    }

    /// Its last heartbeat.
    pub(super) fn last_heartbeat(&self) -> Instant {
        self.hub_heard.map_or(self.heard, |at| at.max(self.heard))
    }
}

/// A peer to send to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receiver {
    /// Its name, once it was heard of.
    pub vm: Option<VmId>,
    /// Its data hall, once it was heard of.
    pub hall: Option<DataHall>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The youngest stamp that was heard from it.
    pub echo: Option<Stamp>,
}

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was heard of a moment ago.
    Alive,
    /// It said that it stops.
    Stopping,
    /// It is silent.
    Dead,
}

impl MemberState {
    /// Whether it counts.
    pub fn is_alive(self) -> bool {
        self == Self::Alive
    }
}

/// Another router, for operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_hall: DataHall,
    /// What is believed of it.
    pub state: MemberState,
    /// How long ago it was last heard of, in milliseconds.
    pub silent_ms: u64,
}

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
    life: Incarnation,
    own_address: SocketAddr,
    pub(super) heard: BTreeMap<VmId, Peer>,
    unheard: BTreeMap<SocketAddr, Instant>,
    /// What hubs said last of each data hall's routers.
    pub(super) snapshots: BTreeMap<DataHall, HallSnapshot>,
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
            snapshots: BTreeMap::new(),
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
        let heard = match before {
            Some(p) if p.stamp.life == told.sent.life && p.number >= told.number => {
                return Heard::Outdated;
            }
            Some(p) if p.is_of_the_past(now, told.sent.life) => return Heard::Outdated,
            // One that stops is still the same life, and needs nothing told.
            Some(p) if p.stamp.life == told.sent.life && self.is_heard(now, p) => Heard::Known,
            _ if told.stopping => Heard::Known,
            _ => Heard::Joined,
        };
        let store_heard = before.and_then(|p| p.store_heard);
        let former_life = before.and_then(|p| match p.stamp.life == told.sent.life {
            true => p.former_life,
            false => Some(p.stamp.life),
        });
        let peer = Peer {
            address: from,
            hall: told.hall.clone(),
            strength: told.strength,
            hash: VmHash::from(&told.vm),
            heard: now,
            hub_heard: None,
            unreachable: false,
            stamp: told.sent,
            former_life,
            number: told.number,
            calls: told.calls,
            stopping: told.stopping,
            mirror: told.mirror,
            store_heard,
        };
        self.heard.insert(told.vm.clone(), peer);
        self.on_store_readers(now, &told.readers);
        self.on_heartbeats(now, &told.heartbeats);
        self.unheard.remove(&from);
        for address in &told.known {
            self.on_address(now, *address);
        }
        heard
    }

    /// A call to a router brought no answer: it counts as gone until it is heard of again.
    pub fn on_unreachable(&mut self, address: SocketAddr) {
        for peer in self.heard.values_mut().filter(|p| p.address == address) {
            peer.unreachable = true;
        }
    }

    /// What a datagram vouches for, if it answers one of this life.
    pub fn vouch(&self, told: &Datagram) -> Option<Vouch> {
        let echo = told.echo.filter(|stamp| stamp.life == self.life)?;
        let (revision, age_ms) = told.config?;
        Some(Vouch {
            echo: Instant(Duration::from_micros(echo.micros)),
            age: Duration::from_millis(u64::from(age_ms)),
            revision,
        })
    }

    /// All peers, and all places where one may be.
    pub fn everyone(&self) -> Vec<Receiver> {
        let heard = self.heard.iter().map(receiver);
        let unheard = self.unheard.keys().map(|address| Receiver {
            vm: None,
            hall: None,
            address: *address,
            echo: None,
        });
        heard.chain(unheard).collect()
    }

    /// Addresses to tell, other ones each time, and other ones than the peers tell at the time.
    pub fn known(&self, turn: u64) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.heard.values().map(|p| p.address).collect();
        let told = match all.len() {
            n if n >= MOST_ARE_KNOWN => KNOWN_TOLD_LARGE,
            n => KNOWN_TOLD.min(n),
        };
        let first = VmHash::from(&self.me).spread();
        let skip = (turn as usize * told + first) % all.len().max(1);
        let turned = all.iter().cycle().skip(skip);
        turned.take(told).copied().collect()
    }

    /// Forgets peers that are silent for long, and those that stopped.
    pub fn on_tick(&mut self, now: Instant) {
        let before = self.ticked.replace(now).unwrap_or(now);
        self.excuse_silence(before, now);
        let keep = |since: Instant| now.since(since) < ADDRESS_KEPT;
        let alive_for = self.alive_by_mesh();
        let gone = |p: &Peer| p.stopping && now.since(p.heard) >= alive_for;
        self.heard
            .retain(|_, p| keep(p.last_heartbeat()) && !gone(p));
        self.unheard.retain(|_, since| keep(*since));
    }

    /// Whether this router is one of the few that tell a peer that joined what the fleet knows.
    pub fn is_teacher_of(&self, now: Instant, joined: &VmId) -> bool {
        let all = self.names(now).filter(|vm| *vm != joined);
        keepers(joined.as_str(), all, TEACHERS).contains(&&self.me)
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
        let member = |(vm, p): (&VmId, &Peer)| Member {
            vm: vm.clone(),
            data_hall: p.hall.clone(),
            state: match () {
                () if p.stopping => MemberState::Stopping,
                () if self.is_heard(now, p) => MemberState::Alive,
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

    /// The names of all that live, this router's included.
    pub(super) fn names(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let living = self
            .heard
            .iter()
            .filter(move |(_, p)| self.is_alive(now, p));
        living.map(|(vm, _)| vm).chain(std::iter::once(&self.me))
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
        let others: u32 = self.living(now).map(|p| p.calls).sum();
        let even = 1.0 / self.alive(now) as f64;
        match own_calls + others {
            0 => even,
            // Half by calls and half evenly: a router that had few calls may need repeats now.
            all => f64::midpoint(f64::from(own_calls) / f64::from(all), even),
        }
    }

    /// How long a silent router still counts where no hub tells of it.
    pub(super) fn alive_by_mesh(&self) -> Duration {
        ALIVE_FOR.max(self.mesh_interval() * 7 / 2)
    }

    fn is_heard(&self, now: Instant, peer: &Peer) -> bool {
        let alive_for = self.alive_for(now, &peer.hall);
        !peer.unreachable && now.since(peer.last_heartbeat()) < alive_for
    }

    pub(super) fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        self.is_heard(now, peer) && !peer.stopping
    }

    pub(super) fn living(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.heard.values().filter(move |p| self.is_alive(now, p))
    }
}

/// A peer as a receiver of datagrams.
pub(super) fn receiver((vm, peer): (&VmId, &Peer)) -> Receiver {
    Receiver {
        vm: Some(vm.clone()),
        hall: Some(peer.hall.clone()),
        address: peer.address,
        echo: Some(peer.stamp),
    }
}

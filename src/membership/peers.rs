//! Which other routers live, by the datagrams that they send.
//!
//! Each router tells all others, some times a second, what it has in progress and how old its
//! knowledge is. Whoever is silent for [`ALIVE_FOR`] counts as gone.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    config::freshness::Vouch,
    ids::{Incarnation, TargetId, VmId},
    load_account::PEER_EXPIRES,
    placement::{keeper, keepers},
    prompt_cache::PartId,
    units::{Instant, StoreRevision, Tokens},
};

/// How long a silent peer counts as alive.
pub const ALIVE_FOR: Duration = PEER_EXPIRES;

/// How long the address of a silent peer is still written to: it may only be cut off.
const ADDRESS_KEPT: Duration = Duration::from_secs(60);

/// Addresses that one datagram names.
const KNOWN_TOLD: usize = 16;

/// Routers that tell a peer that joined what it missed; two, as one may be about to go.
const TEACHERS: usize = 2;

/// Routers that read the store for all: with a third of the routers cut off from it, one of three
/// still reaches it nearly always, and then the others read for themselves.
const READERS: usize = 3;

/// What readers are chosen by.
const READERS_KEY: &str = "store readers";

/// How old a reader's word from the store may be for others to rely on that reader: a watch, its
/// pause and a datagram. Two seconds after a change all have to know it, also where it came right
/// after all readers were cut off.
const READER_FRESH: Duration = Duration::from_millis(1_500);

/// A moment of one router's clock, as it is sent and echoed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The life of the router whose clock it is.
    pub life: Incarnation,
    /// Microseconds since that life began.
    pub micros: u64,
}

/// What one router tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who tells.
    pub vm: VmId,
    /// Counts the datagrams of one life.
    pub number: u64,
    /// When it was sent.
    pub sent: Stamp,
    /// The youngest stamp that the sender had from the receiver.
    pub echo: Option<Stamp>,
    /// The revision of the configuration that the sender applies, and the age of its proof in
    /// milliseconds.
    pub config: Option<(StoreRevision, u32)>,
    /// How old the sender's own word from the store is, in milliseconds, where it reads the store
    /// itself.
    pub store_age: Option<u32>,
    /// The revision of the store up to which the sender knows all.
    pub mirror: StoreRevision,
    /// How long ago the store answered the sender again after it had not, in milliseconds.
    pub store_back: Option<u32>,
    /// Calls that the sender took in the last seconds, to share the retry budget by.
    pub calls: u32,
    /// The sender stops and has no part in anything any more.
    pub stopping: bool,
    /// What the sender has in progress: calls and tokens by target.
    pub load: Vec<(TargetId, u32, Tokens)>,
    /// Shared parts of prompts that the sender sent to a target first.
    pub parts: Vec<(PartId, Tokens, TargetId)>,
    /// Where other routers are reached.
    pub known: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Instant,
    stamp: Stamp,
    number: u64,
    calls: u32,
    stopping: bool,
    store_age: Option<Duration>,
    mirror: StoreRevision,
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
    me: VmId,
    life: Incarnation,
    own_address: SocketAddr,
    peers: HashMap<VmId, Peer>,
    unheard: HashMap<SocketAddr, Instant>,
}

impl Peers {
    /// None but the addresses to begin with.
    pub fn new(me: VmId, life: Incarnation, own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            me,
            life,
            own_address,
            peers: HashMap::new(),
            unheard: HashMap::new(),
        };
        for seed in seeds {
            peers.on_address(Instant::default(), *seed);
        }
        peers
    }

    /// A place where a router may be reached.
    pub fn on_address(&mut self, now: Instant, address: SocketAddr) {
        let known = self.peers.values().any(|p| p.address == address);
        if !known && address != self.own_address {
            self.unheard.entry(address).or_insert(now);
        }
    }

    /// A datagram came.
    pub fn on_datagram(&mut self, now: Instant, from: SocketAddr, told: &Datagram) -> Heard {
        if told.vm == self.me {
            return Heard::Outdated;
        }
        let before = self.peers.get(&told.vm);
        let heard = match before {
            Some(p) if p.stamp.life == told.sent.life && p.number >= told.number => {
                return Heard::Outdated;
            }
            Some(p) if p.stamp.life > told.sent.life => return Heard::Outdated,
            // One that stops is still the same life, and needs nothing told.
            Some(p) if p.stamp.life == told.sent.life && is_heard(now, p) => Heard::Known,
            _ if told.stopping => Heard::Known,
            _ => Heard::Joined,
        };
        let peer = Peer {
            address: from,
            heard: now,
            stamp: told.sent,
            number: told.number,
            calls: told.calls,
            stopping: told.stopping,
            mirror: told.mirror,
            store_age: told
                .store_age
                .map(|ms| Duration::from_millis(u64::from(ms))),
        };
        self.peers.insert(told.vm.clone(), peer);
        self.unheard.remove(&from);
        for address in &told.known {
            self.on_address(now, *address);
        }
        heard
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

    /// Where to send, and what to echo there.
    pub fn receivers(&self) -> Vec<(SocketAddr, Option<Stamp>)> {
        let heard = self.peers.values().map(|p| (p.address, Some(p.stamp)));
        let unheard = self.unheard.keys().map(|address| (*address, None));
        heard.chain(unheard).collect()
    }

    /// Addresses to tell, other ones each time.
    pub fn known(&self, turn: u64) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.peers.values().map(|p| p.address).collect();
        let skip = (turn as usize * KNOWN_TOLD) % all.len().max(1);
        let turned = all.iter().cycle().skip(skip);
        turned.take(KNOWN_TOLD.min(all.len())).copied().collect()
    }

    /// Forgets peers that are silent for long; returns those that stopped to count as alive.
    pub fn on_tick(&mut self, now: Instant) {
        let keep = |since: Instant| now.since(since) < ADDRESS_KEPT;
        self.peers.retain(|_, p| keep(p.heard) && !gone(now, p));
        self.unheard.retain(|_, since| keep(*since));
    }

    /// Whether this router is one of the few that tell a peer that joined what the fleet knows.
    pub fn is_teacher_of(&self, now: Instant, joined: &VmId) -> bool {
        let all = self.names(now).filter(|vm| *vm != joined);
        keepers(joined.as_str(), all, TEACHERS).contains(&&self.me)
    }

    /// Whether this router is the one that looks after a thing for all.
    pub fn is_keeper_of(&self, now: Instant, thing: &str) -> bool {
        keeper(thing, self.names(now)) == Some(&self.me)
    }

    /// Whether this router is one of those that read the store for all.
    pub fn is_reader(&self, now: Instant) -> bool {
        keepers(READERS_KEY, self.names(now), READERS).contains(&&self.me)
    }

    /// A peer that reads the store and heard from it a moment ago; routers spread over them.
    pub fn reader(&self, now: Instant) -> Option<SocketAddr> {
        let fresh = |p: &Peer| {
            let age = p.store_age.map(|age| age + now.since(p.heard));
            age.is_some_and(|age| age < READER_FRESH)
        };
        let readers: BTreeMap<&VmId, &Peer> = self
            .peers
            .iter()
            .filter(|(_, p)| is_alive(now, p) && fresh(p))
            .collect();
        let chosen = keeper(self.me.as_str(), readers.keys().copied())?;
        readers.get(chosen).map(|p| p.address)
    }

    /// A peer that knows more of the store than up to a revision.
    pub fn ahead(&self, now: Instant, revision: StoreRevision) -> Option<SocketAddr> {
        let ahead = self.living(now).filter(|p| p.mirror > revision);
        ahead.max_by_key(|p| p.mirror).map(|p| p.address)
    }

    /// The names of all that live, this router's included.
    fn names(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let living = self.peers.iter().filter(move |(_, p)| is_alive(now, p));
        living.map(|(vm, _)| vm).chain(std::iter::once(&self.me))
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
            all => (f64::from(own_calls) / f64::from(all) + even) / 2.0,
        }
    }

    fn living(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| is_alive(now, p))
    }
}

fn is_heard(now: Instant, peer: &Peer) -> bool {
    now.since(peer.heard) < ALIVE_FOR
}

fn is_alive(now: Instant, peer: &Peer) -> bool {
    is_heard(now, peer) && !peer.stopping
}

/// A peer that said it stops, and is silent since.
fn gone(now: Instant, peer: &Peer) -> bool {
    peer.stopping && !is_heard(now, peer)
}

//! A fleet of routers over a network that loses, cuts and delays datagrams, in virtual time.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use scaleford::{
    ids::{DataHall, Incarnation, VmId},
    membership::{
        datagram::{Datagram, Message, Stamp, Strength},
        heartbeats::HubDigests,
        peers::{DatagramEffect, Peers},
        records::Exchange,
        timing::{HEARTBEAT_INTERVAL, send_interval},
    },
    units::{Instant, StoreRevision},
};

/// Default step of virtual time, after which datagrams arrive and heartbeats may be due.
pub const STEP: Duration = Duration::from_millis(50);

/// Size of the IP and UDP headers in bytes.
const HEADERS: usize = 28;

pub struct Router {
    pub peers: Peers,
    pub incarnation: u64,
    pub number: u64,
    pub started: Instant,
    /// Instant at which its own clock began.
    pub epoch: Instant,
    /// Whether it holds the store's content.
    pub has_content: bool,
    /// When it last received an answer from the store, by its own clock.
    pub store_answered_at: Option<Instant>,
    pub last_sent: Instant,
    pub last_compared: Instant,
    pub stopping: bool,
}

pub struct Net {
    pub now: Instant,
    /// Step of virtual time.
    pub step: Duration,
    pub routers: BTreeMap<usize, Router>,
    pub in_flight: Vec<(usize, usize, Datagram)>,
    pub paused: BTreeSet<usize>,
    pub cut: BTreeSet<(usize, usize)>,
    pub halls: usize,
    pub loss: f64,
    pub bytes: usize,
    pub sent: usize,
    pub rng: Pcg64,
}

impl Router {
    /// Returns the time by its own clock.
    pub fn local(&self, now: Instant) -> Instant {
        Instant(now.since(self.epoch))
    }
}

pub fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().unwrap()
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7340))
}

pub fn number_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        panic!("all are of one family");
    };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Net {
    /// Returns a fleet whose routers started with three seed addresses and have all found one another.
    pub fn new(n: usize, loss: f64) -> Self {
        let mut net = Self::starting(n, loss);
        let all = Duration::from_secs(60);
        let began = net.now;
        while net.unknown() > 0 {
            assert!(net.now.since(began) < all, "not all find one another");
            net.run(Duration::from_millis(500));
        }
        net
    }

    /// Returns a fleet whose routers start within 0.3 s and know only three seed addresses.
    pub fn starting(n: usize, loss: f64) -> Self {
        let mut net = Self {
            now: Instant::default(),
            step: STEP,
            routers: BTreeMap::new(),
            in_flight: Vec::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            halls: 3,
            loss,
            bytes: 0,
            sent: 0,
            rng: Pcg64::seed_from_u64(7),
        };
        (0..n).for_each(|i| net.start(i, 1));
        net
    }

    pub fn hall(&self, i: usize) -> DataHall {
        format!("hall-{}", i % self.halls).parse().unwrap()
    }

    pub fn start(&mut self, i: usize, incarnation: u64) {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let capacity = Strength::new(100.0, 0.5);
        let hall = self.hall(i);
        let peers = Peers::new(
            vm(i),
            hall,
            capacity,
            Incarnation(incarnation),
            address(i),
            &seeds,
        );
        let wait = Duration::from_millis(self.rng.random_range(0..300));
        let router = Router {
            peers,
            incarnation,
            number: 0,
            started: self.now + wait,
            epoch: Instant::default(),
            has_content: false,
            store_answered_at: None,
            last_sent: self.now + wait,
            last_compared: self.now + wait,
            stopping: false,
        };
        self.routers.insert(i, router);
    }

    /// Returns the number of ordered pairs of routers of which the first does not consider the second live.
    pub fn unknown(&self) -> usize {
        let n = self.routers.len();
        let unknown = |r: &Router| n - r.peers.live_count(r.local(self.now)).min(n);
        self.routers.values().map(unknown).sum()
    }

    pub fn datagram(&mut self, i: usize) -> Datagram {
        let hall = self.hall(i);
        let router = self.routers.get_mut(&i).unwrap();
        let now = router.local(self.now);
        let own = router
            .store_answered_at
            .map(|at| (vm(i), now.since(at).as_millis() as u32));
        router.number += 1;
        Datagram {
            vm: vm(i),
            hall,
            capacity: Strength::new(100.0, 0.5),
            number: router.number,
            sent: Stamp {
                incarnation: Incarnation(router.incarnation),
                micros: now.0.as_micros() as u64,
            },
            echo: None,
            config: None,
            reader_ages: router.peers.readers(now).into_iter().chain(own).collect(),
            mirror_revision: StoreRevision::first_era(router.has_content.into()),
            store_regained_ms: None,
            calls: 0,
            stopping: router.stopping,
            load: None,
            halls: Vec::new(),
            outages: Vec::new(),
            crashes: Vec::new(),
            quarantined: Vec::new(),
            cleared: Vec::new(),
            versions: Vec::new(),
            doubts: Vec::new(),
            member_digests: Vec::new(),
            exchange: None,
            rates: Vec::new(),
            suspected: Vec::new(),
            parts: Vec::new(),
            shares: Vec::new(),
            share_sums: Vec::new(),
            brittle: Vec::new(),
        }
    }

    pub fn send_to_all(&mut self, i: usize) {
        let outgoing = self.datagram(i);
        let all = self.routers[&i].peers.all_receivers();
        all.into_iter()
            .for_each(|to| self.send(i, to.address, &outgoing));
    }

    /// Sends an update to the hubs, or as a hub to the data hall's routers and the other hubs.
    fn send_to_frequent_receivers(&mut self, i: usize) {
        let now = self.routers[&i].local(self.now);
        let mut outgoing = self.datagram(i);
        let router = self.routers.get_mut(&i).unwrap();
        let mut digests = HubDigests::default();
        if router.peers.is_aggregator(now) {
            digests = router.peers.hub_digests(now, 0);
            let changes = router.peers.recent_changes(now);
            outgoing.exchange = (!changes.is_empty()).then_some(Exchange::Records(changes));
        }
        for to in router.peers.frequent_receivers(now) {
            let is_near = to.hall.as_ref() == Some(&outgoing.hall);
            outgoing.member_digests.clone_from(if is_near {
                &digests.for_own_hall
            } else {
                &digests.for_other_halls
            });
            self.send(i, to.address, &outgoing);
        }
    }

    fn compare(&mut self, i: usize) {
        let now = self.routers[&i].local(self.now);
        let mut outgoing = self.datagram(i);
        let router = self.routers.get_mut(&i).unwrap();
        router.last_compared = self.now;
        outgoing.exchange = Some(router.peers.compare());
        if let Some(to) = router.peers.comparison_peer(now) {
            self.send(i, to.address, &outgoing);
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, outgoing: &Datagram) {
        self.bytes += postcard::to_stdvec(&Message::State(outgoing))
            .unwrap()
            .len()
            + HEADERS;
        self.sent += 1;
        let to = number_of(to);
        let lost = self.rng.random_bool(self.loss) || self.cut.contains(&(i, to));
        if !lost {
            self.in_flight.push((i, to, outgoing.clone()));
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + self.step;
            self.deliver();
            let runs =
                |(i, r): &(&usize, &Router)| !self.paused.contains(i) && self.now >= r.started;
            let running = self.routers.iter().filter(runs);
            let running: Vec<usize> = running.map(|(i, _)| *i).collect();
            for i in running {
                self.step(i);
            }
        }
    }

    fn deliver(&mut self) {
        for (from, to, received) in std::mem::take(&mut self.in_flight) {
            let now = self.now;
            let running = !self.paused.contains(&to);
            let router = self.routers.get_mut(&to);
            let Some(router) = router.filter(|r| running && now >= r.started) else {
                continue;
            };
            let now = router.local(now);
            let effect = router.peers.on_datagram(now, address(from), &received);
            if effect == DatagramEffect::Outdated {
                continue;
            }
            router.peers.on_records(now, &received);
            let answer = router.peers.answer(now, &received);
            // A router that joins gets a response at once.
            if effect == DatagramEffect::Joined || answer.is_some() {
                let mut back = self.datagram(to);
                back.exchange = answer;
                self.send(to, address(from), &back);
            }
        }
    }

    /// Runs one router's periodic work.
    fn step(&mut self, i: usize) {
        let now = self.now;
        let router = self.routers.get_mut(&i).unwrap();
        let local = router.local(now);
        if (now.0.as_millis() as usize / self.step.as_millis() as usize + i).is_multiple_of(2) {
            router.peers.on_tick(local);
        }
        let is_large = router.peers.is_large(local);
        let alive = router.peers.live_count(local);
        let every = match is_large && router.peers.is_aggregator(local) {
            true => send_interval(alive),
            // Routers without changes to send send only heartbeats.
            false => HEARTBEAT_INTERVAL.max(send_interval(alive)),
        };
        let compares = now.since(router.last_compared) >= router.peers.compare_interval(local);
        if now.since(router.last_sent) >= every {
            router.last_sent = now;
            match is_large {
                true => self.send_to_frequent_receivers(i),
                false => self.send_to_all(i),
            }
        }
        if compares {
            self.compare(i);
        }
    }

    /// Returns the number of other routers that consider a router live.
    pub fn believers(&self, subject: usize) -> usize {
        let others = self.routers.iter().filter(|(i, _)| **i != subject);
        let believes = |r: &Router| {
            let members = r.peers.members(r.local(self.now));
            members
                .iter()
                .any(|m| m.vm == vm(subject) && m.state.is_alive())
        };
        others.filter(|(_, r)| believes(r)).count()
    }
}

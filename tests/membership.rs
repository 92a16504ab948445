//! Membership over a network that loses, cuts and delays, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    ids::{Incarnation, VmId},
    membership::{BEAT_EVERY, Membership, Outgoing},
    peer::{Message, encode_datagram},
    settings::VmInfo,
    units::Instant,
};

/// Steps in which messages travel and ticks fall due.
const STEP: Duration = Duration::from_millis(10);

/// IP and UDP headers.
const HEADERS: usize = 28;

struct Net {
    now: Instant,
    members: BTreeMap<VmId, Membership>,
    infos: BTreeMap<VmId, VmInfo>,
    /// Messages on their way.
    flying: Vec<(Instant, VmId, VmId, Message)>,
    next_tick: BTreeMap<VmId, Instant>,
    paused: BTreeSet<VmId>,
    cut: BTreeSet<(VmId, VmId)>,
    loss: f64,
    bytes: usize,
    rng: Pcg64,
}

fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().unwrap()
}

fn info(i: usize) -> VmInfo {
    format!(
        "vm-{i}/region-1/hall-{}/10.0.{}.{}:7000",
        i % 6,
        i / 250,
        i % 250
    )
    .parse()
    .unwrap()
}

impl Net {
    fn new(n: usize, loss: f64) -> Self {
        let infos: BTreeMap<_, _> = (0..n).map(|i| (vm(i), info(i))).collect();
        let mut rng = Pcg64::seed_from_u64(7);
        let mut members = BTreeMap::new();
        let mut next_tick = BTreeMap::new();
        for i in 0..n {
            let mut m = Membership::new(info(i), Incarnation(1), i as u64);
            m.on_vm_list(Instant::default(), infos.values().cloned().collect());
            next_tick.insert(vm(i), Instant(BEAT_EVERY.mul_f64(rng.random())));
            members.insert(vm(i), m);
        }
        Self {
            now: Instant::default(),
            members,
            infos,
            flying: Vec::new(),
            next_tick,
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            bytes: 0,
            rng,
        }
    }

    fn send(&mut self, from: &VmId, out: Vec<Outgoing>) {
        for (to, message) in out {
            self.bytes += encode_datagram(&message).unwrap().len() + HEADERS;
            let lost = self.rng.random_bool(self.loss);
            if !lost && !self.cut.contains(&(from.clone(), to.vm.clone())) {
                self.flying
                    .push((self.now + STEP, from.clone(), to.vm, message));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let due: Vec<_> = self.flying.extract_if(.., |f| f.0 <= self.now).collect();
            for (_, _, to, message) in due {
                if self.paused.contains(&to) {
                    continue;
                }
                let Some(m) = self.members.get_mut(&to) else {
                    continue;
                };
                let out = m.on_message(self.now, &message);
                self.send(&to, out);
            }
            for vm in self.members.keys().cloned().collect::<Vec<_>>() {
                if self.next_tick[&vm] > self.now || self.paused.contains(&vm) {
                    continue;
                }
                self.next_tick.insert(vm.clone(), self.now + BEAT_EVERY);
                let out = self.members.get_mut(&vm).unwrap().on_tick(self.now);
                self.send(&vm, out);
            }
        }
    }

    /// How many of the others believe that a router lives.
    fn believers(&self, subject: &VmId) -> usize {
        let others = self.members.iter().filter(|(vm, _)| *vm != subject);
        others.filter(|(_, m)| m.live().contains(subject)).count()
    }

    fn kill(&mut self, i: usize) {
        self.members.remove(&vm(i));
    }

    fn restart(&mut self, i: usize, incarnation: u64) {
        let mut m = Membership::new(info(i), Incarnation(incarnation), 99);
        m.on_vm_list(self.now, self.infos.values().cloned().collect());
        self.members.insert(vm(i), m);
    }
}

#[rstest]
#[case::today(7)]
#[case::the_size_to_design_for(380)]
fn a_dead_router_is_out_of_use_within_three_seconds(#[case] n: usize) {
    let mut net = Net::new(n, 0.01);
    net.run(Duration::from_secs(3));
    net.kill(3);
    net.run(Duration::from_secs(3));
    assert_eq!(net.believers(&vm(3)), 0);
    // It comes back as a new start and is believed again.
    net.restart(3, 2);
    net.run(Duration::from_secs(3));
    assert_eq!(net.believers(&vm(3)), n - 1);
}

#[test]
fn losing_one_in_a_hundred_kills_nobody() {
    let mut net = Net::new(380, 0.01);
    let mut missing = 0;
    for _ in 0..60 {
        net.run(Duration::from_secs(1));
        missing += net
            .members
            .values()
            .map(|m| 380 - m.live().len())
            .sum::<usize>();
    }
    assert_eq!(missing, 0);
}

#[test]
fn view_traffic_is_under_a_kilobyte_a_second() {
    let mut net = Net::new(380, 0.0);
    net.run(Duration::from_secs(2));
    net.bytes = 0;
    net.run(Duration::from_secs(20));
    let per_router = net.bytes / 20 / 380;
    println!("{per_router} bytes a second a router");
    assert!(per_router < 1_000, "{per_router}");
}

#[test]
fn a_paused_router_is_taken_back_when_it_wakes() {
    let mut net = Net::new(20, 0.0);
    net.run(Duration::from_secs(2));
    net.paused.insert(vm(5));
    net.run(Duration::from_secs(10));
    assert_eq!(net.believers(&vm(5)), 0);
    net.paused.clear();
    net.run(Duration::from_secs(8));
    assert_eq!(net.believers(&vm(5)), 19);
}

#[test]
fn a_cut_between_two_routers_kills_neither() {
    let mut net = Net::new(20, 0.0);
    net.run(Duration::from_secs(2));
    for watched in net.members[&vm(0)].neighbours() {
        net.cut.insert((vm(0), watched.clone()));
        net.cut.insert((watched, vm(0)));
    }
    net.run(Duration::from_secs(20));
    for watched in net.members[&vm(0)].neighbours() {
        assert_eq!(net.believers(&watched), 19);
    }
    assert_eq!(net.believers(&vm(0)), 19);
}

#[test]
fn two_halves_see_themselves_and_then_each_other_again() {
    let mut net = Net::new(40, 0.0);
    net.run(Duration::from_secs(2));
    for a in 0..20 {
        for b in 20..40 {
            net.cut.insert((vm(a), vm(b)));
            net.cut.insert((vm(b), vm(a)));
        }
    }
    net.run(Duration::from_secs(120));
    assert!(net.members.values().all(|m| m.live().len() == 20));
    net.cut.clear();
    net.run(Duration::from_secs(120));
    let views: BTreeSet<_> = net.members.values().map(|m| m.live().len()).collect();
    assert_eq!(views, BTreeSet::from([40]));
}

#[test]
fn a_leaving_router_is_out_of_use_at_once() {
    let mut net = Net::new(380, 0.01);
    net.run(Duration::from_secs(2));
    let out = net.members.get_mut(&vm(9)).unwrap().leave();
    net.send(&vm(9), out);
    net.run(Duration::from_secs(1));
    assert_eq!(net.believers(&vm(9)), 0);
}

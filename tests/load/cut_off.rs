//! Routers of one data hall that are cut off from all targets, on the decisions about paths and relays: how
//! many of their calls get a connection, how many peers are asked for it, and how the peers share the load.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    discovery::{TargetRecord, TargetState},
    ids::{DataHall, SoftwareVersion},
    paths::{Route, Soundness, TargetPaths},
    relays::{RelayCandidate, RelayFailure, Relays},
    units::Instant,
};

const HALLS: usize = 3;
const TARGETS: usize = 12;

/// Maximum number of peers that a router asks for one connection.
const MAX_PEERS_ASKED: usize = 3;

/// Interval between two calls at each router.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which routers know that they are cut off.
const SETTLED: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Router {
    paths: TargetPaths,
    relays: Relays,
    is_cut_off: bool,
    /// Number of connections that it opened for others.
    opened: usize,
}

fn hall(n: usize) -> DataHall {
    format!("hall-{}", n % HALLS).parse().unwrap()
}

fn target(n: usize) -> TargetRecord {
    TargetRecord {
        id: format!("t{n}").parse().unwrap(),
        service: "writer".parse().unwrap(),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_hall: hall(n),
        slots: 8,
        max_tokens: None,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
        state: TargetState::Ready,
    }
}

fn address(n: usize) -> SocketAddr {
    ([10, 1, (n / 250) as u8, (n % 250) as u8], 7_300).into()
}

#[rstest]
fn calls_of_routers_that_are_cut_off_find_a_peer_that_is_not(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(0.1, 0.5, 0.9)] part: f64,
) {
    let mut rng = Pcg64::seed_from_u64(1);
    let targets: Vec<TargetRecord> = (0..TARGETS).map(target).collect();
    let candidate = |n| RelayCandidate {
        address: address(n),
        hall: hall(n),
    };
    let all: Vec<RelayCandidate> = (0..routers).map(candidate).collect();
    let in_hall = routers.div_ceil(HALLS);
    let cut_off = ((in_hall as f64 * part).ceil() as usize).min(in_hall);
    let mut fleet: Vec<Router> = (0..routers).map(|_| Router::default()).collect();
    for router in fleet.iter_mut().step_by(HALLS).take(cut_off) {
        router.is_cut_off = true;
    }
    let (mut calls, mut served, mut asked) = (0, 0, 0);
    for step in 0..40_u32 {
        let now = Instant(CALL_INTERVAL * step);
        for me in 0..routers {
            let target = targets.choose(&mut rng).unwrap();
            if !fleet[me].is_cut_off {
                fleet[me].paths.on_opened(now, target);
                continue;
            }
            if fleet[me].paths.route(now, target) == Route::Direct {
                fleet[me].paths.on_not_reached(now, target);
            }
            let peers: Vec<RelayCandidate> = all
                .iter()
                .filter(|c| c.address != address(me))
                .cloned()
                .collect();
            let mut tried = Vec::new();
            let mut is_served = false;
            while tried.len() < MAX_PEERS_ASKED && !is_served {
                let near = [&hall(me), &target.data_hall];
                let relays = &mut fleet[me].relays;
                let chosen = relays.choose(now, &target.id, &peers, &near, &tried, rng.random());
                let Some(peer) = chosen.cloned() else { break };
                let n = all.iter().position(|c| *c == peer).unwrap();
                is_served = !fleet[n].is_cut_off;
                if is_served {
                    fleet[n].opened += 1;
                    fleet[me].relays.on_success(peer.address, &target.id);
                } else {
                    fleet[n].paths.on_not_reached(now, target);
                    assert_ne!(fleet[n].paths.soundness(now), Soundness::Sound);
                    let relays = &mut fleet[me].relays;
                    relays.on_failure(now, peer.address, &target.id, RelayFailure::NoPath);
                }
                tried.push(peer);
            }
            if now.0 >= SETTLED {
                calls += 1;
                served += usize::from(is_served);
                asked += tried.len();
            }
        }
    }
    let most = fleet.iter().map(|r| r.opened).max().unwrap();
    let sum: usize = fleet.iter().map(|r| r.opened).sum();
    let mean = sum as f64 / (routers - cut_off) as f64;
    println!(
        "{routers} routers, {cut_off} cut off: {served} of {calls}, {asked} asked, {most} at most, {mean:.1} on average"
    );
    assert!(served * 100 >= calls * 99, "{served} of {calls}");
    assert!(asked * 10 <= calls * 15, "{asked} peers asked for {calls}");
    // A peer that has a path is asked again, so load is as uneven as a few draws make it.
    assert!(
        most as f64 <= 12.0 * mean + 40.0,
        "{most} where the mean is {mean:.1}"
    );
}

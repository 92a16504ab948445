//! Which routers are alive, read the store and aggregate counts, in virtual time.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use scaleford::{
    ids::{DataHall, Incarnation, VmId},
    membership::{
        datagram::{Datagram, Stamp, Strength},
        peers::{DatagramEffect, Peers},
        readers::{FleetStart, NextRead, ReadState},
        timing::send_interval,
    },
    units::{ConfigVersion, Instant, StoreRevision},
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().unwrap()
}

fn hall(n: usize) -> DataHall {
    format!("hall-{}", n % 3).parse().unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7340))
}

fn peers(me: usize) -> Peers {
    let capacity = Strength::new(100.0, 0.5);
    Peers::new(vm(me), hall(me), capacity, Incarnation(1), address(me), &[])
}

fn datagram(from: usize, number: u64) -> Datagram {
    Datagram {
        vm: vm(from),
        hall: hall(from),
        capacity: Strength::new(100.0, 0.5),
        number,
        sent: Stamp {
            incarnation: Incarnation(1),
            micros: number,
        },
        echo: None,
        config: None,
        reader_ages: Vec::new(),
        mirror_revision: StoreRevision::first_era(0),
        store_regained_ms: None,
        calls: 0,
        stopping: false,
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

fn receive(peers: &mut Peers, now: Instant, received: &Datagram) -> DatagramEffect {
    let from: usize = received.vm.as_str()[3..].parse().unwrap();
    peers.on_datagram(now, address(from), received)
}

/// Returns the views of `n` routers, each of which received a datagram from all others at `now`.
fn fleet(n: usize, now: Instant) -> Vec<Peers> {
    (0..n)
        .map(|me| {
            let mut peers = peers(me);
            for other in (0..n).filter(|o| *o != me) {
                receive(&mut peers, now, &datagram(other, 1));
            }
            peers
        })
        .collect()
}

/// Each datagram of a router that was stopping counted as a join, so it was sent all prompts each
/// time: 0.1 GB in twelve seconds.
#[test]
fn a_peer_that_stops_does_not_join_again() {
    let mut peers = peers(0);
    assert_eq!(
        receive(&mut peers, at(0), &datagram(1, 1)),
        DatagramEffect::Joined
    );
    for number in 2..20 {
        let received = Datagram {
            stopping: true,
            ..datagram(1, number)
        };
        assert_eq!(
            receive(&mut peers, at(number * 100), &received),
            DatagramEffect::Known
        );
    }
    assert_eq!(peers.live_count(at(2_000)), 1);
}

#[test]
fn a_new_incarnation_joins_and_an_old_one_is_ignored() {
    let mut peers = peers(0);
    receive(&mut peers, at(0), &datagram(1, 9));
    let mut restarted = datagram(1, 1);
    restarted.sent.incarnation = Incarnation(2);
    assert_eq!(
        receive(&mut peers, at(10), &restarted),
        DatagramEffect::Joined
    );
    assert_eq!(
        receive(&mut peers, at(20), &datagram(1, 10)),
        DatagramEffect::Outdated
    );
    assert_eq!(
        receive(&mut peers, at(30), &restarted),
        DatagramEffect::Outdated,
        "twice the same"
    );
}

#[test]
fn an_echo_of_another_incarnation_confirms_no_config() {
    let peers = peers(0);
    let mut received = datagram(1, 1);
    received.config = Some((ConfigVersion(4), 100));
    assert!(
        peers.config_confirmation(&received).is_none(),
        "it answers nothing of ours"
    );
    received.echo = Some(Stamp {
        incarnation: Incarnation(7),
        micros: 5,
    });
    assert!(peers.config_confirmation(&received).is_none());
    received.echo = Some(Stamp {
        incarnation: Incarnation(1),
        micros: 5_000_000,
    });
    assert_eq!(
        peers.config_confirmation(&received).unwrap().echo,
        at(5_000)
    );
}

#[test]
fn routers_that_know_the_same_name_the_same_three_readers() {
    let fleet = fleet(12, at(0));
    let readers = fleet.iter().filter(|p| p.is_reader(at(100))).count();
    assert_eq!(readers, 3);
}

#[test]
fn a_reader_without_a_recent_answer_from_the_store_is_not_asked() {
    let mut peers = peers(0);
    let received = Datagram {
        reader_ages: vec![(vm(1), 200)],
        ..datagram(1, 1)
    };
    receive(&mut peers, at(1_000), &received);
    assert_eq!(peers.choose_reader(at(1_100)), Some(address(1)));
    let silent = datagram(1, 2);
    receive(&mut peers, at(2_500), &silent);
    assert_eq!(
        peers.choose_reader(at(2_500)),
        None,
        "it lives, but tells of no word since"
    );
}

/// When the store rejected all designated readers, each of the other routers read it once, and then
/// they only asked one another for three seconds, while targets left.
#[test]
fn if_no_designated_reader_has_an_answer_a_few_other_routers_continue_to_read() {
    let n = 12;
    let fleet = fleet(n, at(0));
    let others: Vec<usize> = (0..n).filter(|i| !fleet[*i].is_reader(at(0))).collect();
    assert_eq!(others.len(), n - 3);
    let recent_reads: Vec<(VmId, u32)> = others.iter().map(|i| (vm(*i), 100)).collect();
    let mut substitutes = Vec::new();
    let mut asked = Vec::new();
    for (me, mut peers) in fleet.into_iter().enumerate() {
        for other in (0..n).filter(|o| *o != me) {
            let received = Datagram {
                reader_ages: recent_reads.clone(),
                ..datagram(other, 2)
            };
            receive(&mut peers, at(1_000), &received);
        }
        match others.contains(&me) && peers.is_substitute_reader(at(1_000)) {
            true => substitutes.push(address(me)),
            false => asked.push(peers.choose_reader(at(1_000)).unwrap()),
        }
    }
    assert_eq!(substitutes.len(), 3);
    assert!(asked.iter().all(|a| substitutes.contains(a)), "{asked:?}");
}

/// When the store answered again after an outage, the readers got answers at once, but the other
/// routers kept waiting for up to two seconds.
#[test]
fn a_router_that_waits_for_the_store_asks_a_reader_as_soon_as_one_has_an_answer() {
    let n = 12;
    let mut fleet = fleet(n, at(1_000));
    let is_reader = |p: &Peers| p.is_reader(at(1_000));
    let reader = fleet.iter().position(is_reader).unwrap();
    let other = fleet.iter().position(|p| !is_reader(p)).unwrap();
    let state = ReadState {
        listed: true,
        store_lost: true,
        retry_at: at(4_000),
        ..ReadState::default()
    };
    let peers = &mut fleet[other];
    assert_eq!(peers.next_read(at(2_000), &state), NextRead::Wait);
    assert_eq!(peers.next_read(at(4_000), &state), NextRead::Store);
    let received = Datagram {
        reader_ages: vec![(vm(reader), 10)],
        ..datagram(reader, 2)
    };
    receive(peers, at(2_000), &received);
    let next = peers.next_read(at(2_000), &state);
    assert_eq!(next, NextRead::Ask(address(reader)));
}

/// Of the day's 988 calls to the store, 793 were made before its traffic began, by 85 routers that
/// each considered itself a reader before it had received a datagram from the others.
#[test]
fn a_router_of_a_fleet_that_starts_for_the_first_time_finds_the_others_before_it_reads() {
    let alone = peers(0);
    let first = ReadState {
        start: FleetStart::First,
        ..ReadState::default()
    };
    assert_eq!(alone.next_read(at(100), &first), NextRead::Wait);
    assert_eq!(alone.next_read(at(1_000), &first), NextRead::Store);
    // If others may be waiting for it, a router that starts reads the store at once.
    let later = ReadState::default();
    assert_eq!(alone.next_read(at(100), &later), NextRead::Store);
}

#[test]
fn one_router_of_each_hall_aggregates_and_another_replaces_it_when_it_is_silent() {
    let n = 30;
    let mut fleet = fleet(n, at(0));
    let aggregators = |fleet: &[Peers], now| -> Vec<usize> {
        (0..n).filter(|i| fleet[*i].is_aggregator(now)).collect()
    };
    let first = aggregators(&fleet, at(100));
    assert_eq!(first.len(), 3, "one a hall: {first:?}");
    // Every router but the first aggregators sends another datagram.
    for (me, peers) in fleet.iter_mut().enumerate() {
        for other in (0..n).filter(|o| *o != me && !first.contains(o)) {
            receive(peers, at(1_000), &datagram(other, 2));
        }
    }
    let second = aggregators(&fleet, at(1_000));
    let replacements = second.iter().filter(|i| !first.contains(i)).count();
    assert_eq!(replacements, 3, "{second:?}");
}

#[test]
fn what_a_router_sends_does_not_grow_with_the_fleet() {
    let datagrams_per_s = |n: usize| {
        let fleet = fleet(n, at(0));
        let now = at(100);
        let other = fleet.iter().find(|p| !p.is_aggregator(now)).unwrap();
        let datagrams = other.frequent_receivers(now).len() as f64 / send_interval(n).as_secs_f64();
        // A comparison of member records takes at most four datagrams.
        let comparisons = 4.0 / other.compare_interval(at(10_000)).as_secs_f64();
        datagrams + comparisons
    };
    assert!(datagrams_per_s(200) < 45.0);
    assert!(datagrams_per_s(200) < datagrams_per_s(100) * 1.1);
    // Only the aggregator of a data hall sends to many others when counts change.
    let large = fleet(90, at(0));
    let frequent_senders = large
        .iter()
        .filter(|p| p.frequent_receivers(at(100)).len() > 2);
    assert_eq!(frequent_senders.count(), 3);
}

#[test]
fn the_shares_of_the_retry_budget_add_up_to_about_the_whole() {
    let calls = [100, 10, 50, 0];
    let shares: f64 = (0..4)
        .map(|me| {
            let mut peers = peers(me);
            for other in (0..4).filter(|o| *o != me) {
                let received = Datagram {
                    calls: calls[other],
                    ..datagram(other, 1)
                };
                receive(&mut peers, at(0), &received);
            }
            peers.call_share(at(10), calls[me])
        })
        .sum();
    assert!((shares - 1.0).abs() < 0.01, "{shares}");
}

#[test]
fn a_silent_peer_stops_to_count() {
    let mut peers = peers(0);
    receive(&mut peers, at(0), &datagram(1, 1));
    assert_eq!(peers.live_count(at(2_000)), 2);
    assert_eq!(peers.live_count(at(4_000)), 1);
}

/// Readers with slow links took seconds to forward a configuration.
#[test]
fn the_stronger_routers_read_the_store_and_aggregate() {
    let n = 30;
    let capacity = |i: usize| match i % 5 {
        0 => Strength::new(200.0, 0.5),
        _ => Strength::new(10.0, 0.12),
    };
    let fleet: Vec<Peers> = (0..n)
        .map(|me| {
            let peers = Peers::new(
                vm(me),
                hall(me),
                capacity(me),
                Incarnation(1),
                address(me),
                &[],
            );
            let mut peers = peers;
            for other in (0..n).filter(|o| *o != me) {
                let received = Datagram {
                    capacity: capacity(other),
                    ..datagram(other, 1)
                };
                receive(&mut peers, at(0), &received);
            }
            peers
        })
        .collect();
    let chosen =
        |f: &dyn Fn(&Peers) -> bool| -> Vec<usize> { (0..n).filter(|i| f(&fleet[*i])).collect() };
    let readers = chosen(&|p| p.is_reader(at(100)));
    assert_eq!(readers.len(), 3);
    assert!(readers.iter().all(|i| i % 5 == 0), "{readers:?}");
    let aggregators = chosen(&|p| p.is_aggregator(at(100)));
    assert_eq!(aggregators.len(), 3);
    assert!(aggregators.iter().all(|i| i % 5 == 0), "{aggregators:?}");
}

/// While the store was down for 8 s, each of 295 routers called it every 1.5 s: half of the day's
/// calls.
#[rstest]
#[case::small(7, 1_500)]
#[case::grown(85, 4_250)]
#[case::large(200, 5_000)]
fn a_store_that_is_down_is_called_no_faster_by_a_larger_fleet(
    #[case] routers: usize,
    #[case] pause_ms: u64,
) {
    let mut peers = peers(0);
    for other in 1..routers {
        receive(&mut peers, at(0), &datagram(other, 1));
    }
    let pause = peers.non_reader_backoff(at(100));
    assert_eq!(pause, Duration::from_millis(pause_ms));
}

/// The incarnation is derived from the time of day. A VM whose clock was set back therefore started
/// its next incarnation with a lower number, and its peers took it for the old one and ignored it
/// for a minute.
#[test]
fn a_new_incarnation_joins_even_after_its_clock_was_set_back() {
    let mut peers = peers(0);
    let mut old = datagram(1, 9);
    old.sent.incarnation = Incarnation(20_000);
    receive(&mut peers, at(0), &old);
    let mut restarted = datagram(1, 1);
    restarted.sent.incarnation = Incarnation(5_000);
    // Datagrams of the old incarnation may still be in transit, so the new one is accepted after a
    // delay.
    assert_eq!(
        receive(&mut peers, at(100), &restarted),
        DatagramEffect::Outdated
    );
    restarted.number = 2;
    assert_eq!(
        receive(&mut peers, at(1_100), &restarted),
        DatagramEffect::Joined
    );
    // A late datagram of the old incarnation does not undo the join.
    old.number = 10;
    assert_eq!(
        receive(&mut peers, at(1_200), &old),
        DatagramEffect::Outdated
    );
    restarted.number = 3;
    assert_eq!(
        receive(&mut peers, at(1_300), &restarted),
        DatagramEffect::Known
    );
}

/// A router whose VM was suspended for ten seconds had received no datagrams in that time, so it
/// considered all its peers dead when it resumed: 1 of 7 routers was alive to it. Until it
/// received their next datagrams, it used the retry budget of the whole fleet and took over all
/// duties alone.
#[test]
fn a_router_whose_vm_was_suspended_does_not_consider_its_peers_dead() {
    let mut peers = fleet(7, at(0)).swap_remove(0);
    let tick = 100;
    for ms in (0..1_000).step_by(tick) {
        peers.on_tick(at(ms));
    }
    let resumed_at = 11_000;
    peers.on_tick(at(resumed_at));
    assert_eq!(peers.live_count(at(resumed_at)), 7);
    assert!(peers.call_share(at(resumed_at), 10) < 0.6);
    // Peers that stay silent after the suspension are considered dead as usual.
    receive(&mut peers, at(resumed_at + 50), &datagram(1, 2));
    for ms in (resumed_at..resumed_at + 900).step_by(tick) {
        peers.on_tick(at(ms));
    }
    let later = resumed_at + 4_000;
    receive(&mut peers, at(later), &datagram(1, 3));
    for ms in (resumed_at + 900..later).step_by(tick) {
        peers.on_tick(at(ms));
    }
    assert_eq!(peers.live_count(at(later)), 2);
}

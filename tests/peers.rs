//! Which routers are alive, read the store and aggregate counts, in virtual time.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use scaleford::{
    ids::{DataHall, Incarnation, VmId},
    membership::{
        datagram::{CapacityClass, Datagram, Stamp},
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
    let strength = CapacityClass::new(100.0, 0.5);
    Peers::new(vm(me), hall(me), strength, Incarnation(1), address(me), &[])
}

fn datagram(from: usize, number: u64) -> Datagram {
    Datagram {
        vm: vm(from),
        hall: hall(from),
        capacity: CapacityClass::new(100.0, 0.5),
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
        member_digests: Vec::new(),
        exchange: None,
        rates: Vec::new(),
        suspected: Vec::new(),
        parts: Vec::new(),
    }
}

fn hear(peers: &mut Peers, now: Instant, told: &Datagram) -> DatagramEffect {
    let from: usize = told.vm.as_str()[3..].parse().unwrap();
    peers.on_datagram(now, address(from), told)
}

/// Returns the views of `n` routers, each of which received a datagram from all others at `now`.
fn fleet(n: usize, now: Instant) -> Vec<Peers> {
    (0..n)
        .map(|me| {
            let mut seen = peers(me);
            for other in (0..n).filter(|o| *o != me) {
                hear(&mut seen, now, &datagram(other, 1));
            }
            seen
        })
        .collect()
}

/// Each datagram of a router that was stopping counted as a join, so it was sent all prompts each
/// time: 0.1 GB in twelve seconds.
#[test]
fn a_peer_that_stops_does_not_join_again() {
    let mut seen = peers(0);
    assert_eq!(
        hear(&mut seen, at(0), &datagram(1, 1)),
        DatagramEffect::Joined
    );
    for number in 2..20 {
        let told = Datagram {
            stopping: true,
            ..datagram(1, number)
        };
        assert_eq!(
            hear(&mut seen, at(number * 100), &told),
            DatagramEffect::Known
        );
    }
    assert_eq!(seen.live_count(at(2_000)), 1);
}

#[test]
fn a_new_life_joins_and_an_old_one_is_passed_over() {
    let mut seen = peers(0);
    hear(&mut seen, at(0), &datagram(1, 9));
    let mut reborn = datagram(1, 1);
    reborn.sent.incarnation = Incarnation(2);
    assert_eq!(hear(&mut seen, at(10), &reborn), DatagramEffect::Joined);
    assert_eq!(
        hear(&mut seen, at(20), &datagram(1, 10)),
        DatagramEffect::Outdated
    );
    assert_eq!(
        hear(&mut seen, at(30), &reborn),
        DatagramEffect::Outdated,
        "twice the same"
    );
}

#[test]
fn an_echo_of_another_life_vouches_for_nothing() {
    let seen = peers(0);
    let mut told = datagram(1, 1);
    told.config = Some((ConfigVersion(4), 100));
    assert!(
        seen.config_confirmation(&told).is_none(),
        "it answers nothing of ours"
    );
    told.echo = Some(Stamp {
        incarnation: Incarnation(7),
        micros: 5,
    });
    assert!(seen.config_confirmation(&told).is_none());
    told.echo = Some(Stamp {
        incarnation: Incarnation(1),
        micros: 5_000_000,
    });
    assert_eq!(seen.config_confirmation(&told).unwrap().echo, at(5_000));
}

#[test]
fn routers_that_know_the_same_name_the_same_three_readers() {
    let fleet = fleet(12, at(0));
    let readers = fleet.iter().filter(|p| p.is_reader(at(100))).count();
    assert_eq!(readers, 3);
}

#[test]
fn a_reader_without_recent_word_from_the_store_is_not_asked() {
    let mut seen = peers(0);
    let told = Datagram {
        reader_ages: vec![(vm(1), 200)],
        ..datagram(1, 1)
    };
    hear(&mut seen, at(1_000), &told);
    assert_eq!(seen.choose_reader(at(1_100)), Some(address(1)));
    let silent = datagram(1, 2);
    hear(&mut seen, at(2_500), &silent);
    assert_eq!(
        seen.choose_reader(at(2_500)),
        None,
        "it lives, but tells of no word since"
    );
}

/// When the store rejected all designated readers, each of the other routers read it once, and then
/// they only asked one another for three seconds, while targets left.
#[test]
fn where_no_named_reader_has_word_a_few_of_the_others_go_on_reading() {
    let n = 12;
    let fleet = fleet(n, at(0));
    let others: Vec<usize> = (0..n).filter(|i| !fleet[*i].is_reader(at(0))).collect();
    assert_eq!(others.len(), n - 3);
    let words: Vec<(VmId, u32)> = others.iter().map(|i| (vm(*i), 100)).collect();
    let mut standing_in = Vec::new();
    let mut asked = Vec::new();
    for (me, mut seen) in fleet.into_iter().enumerate() {
        for other in (0..n).filter(|o| *o != me) {
            let told = Datagram {
                reader_ages: words.clone(),
                ..datagram(other, 2)
            };
            hear(&mut seen, at(1_000), &told);
        }
        match others.contains(&me) && seen.is_substitute_reader(at(1_000)) {
            true => standing_in.push(address(me)),
            false => asked.push(seen.choose_reader(at(1_000)).unwrap()),
        }
    }
    assert_eq!(standing_in.len(), 3);
    assert!(asked.iter().all(|a| standing_in.contains(a)), "{asked:?}");
}

/// When the store answered again after an outage, the readers got answers at once, but the other
/// routers kept waiting for up to two seconds.
#[test]
fn a_router_that_waits_for_the_store_asks_a_reader_as_soon_as_one_has_word() {
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
    let seen = &mut fleet[other];
    assert_eq!(seen.next_read(at(2_000), &state), NextRead::Wait);
    assert_eq!(seen.next_read(at(4_000), &state), NextRead::Store);
    let told = Datagram {
        reader_ages: vec![(vm(reader), 10)],
        ..datagram(reader, 2)
    };
    hear(seen, at(2_000), &told);
    let next = seen.next_read(at(2_000), &state);
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
fn one_router_of_each_hall_adds_up_and_another_stands_in_when_it_is_silent() {
    let n = 30;
    let mut fleet = fleet(n, at(0));
    let adding = |fleet: &[Peers], now| -> Vec<usize> {
        (0..n).filter(|i| fleet[*i].is_aggregator(now)).collect()
    };
    let first = adding(&fleet, at(100));
    assert_eq!(first.len(), 3, "one a hall: {first:?}");
    // Every router but the first aggregators sends another datagram.
    for (me, seen) in fleet.iter_mut().enumerate() {
        for other in (0..n).filter(|o| *o != me && !first.contains(o)) {
            hear(seen, at(1_000), &datagram(other, 2));
        }
    }
    let second = adding(&fleet, at(1_000));
    let stand_ins = second.iter().filter(|i| !first.contains(i)).count();
    assert_eq!(stand_ins, 3, "{second:?}");
}

#[test]
fn what_a_router_sends_does_not_grow_with_the_fleet() {
    let sent_a_second = |n: usize| {
        let fleet = fleet(n, at(0));
        let now = at(100);
        let other = fleet.iter().find(|p| !p.is_aggregator(now)).unwrap();
        let told = other.frequent_receivers(now).len() as f64 / send_interval(n).as_secs_f64();
        // A comparison of member records takes at most four datagrams.
        let compared = 4.0 / other.compare_interval(at(10_000)).as_secs_f64();
        told + compared
    };
    assert!(sent_a_second(200) < 45.0);
    assert!(sent_a_second(200) < sent_a_second(100) * 1.1);
    // Only the aggregator of a data hall sends to many others when counts change.
    let large = fleet(90, at(0));
    let close = large
        .iter()
        .filter(|p| p.frequent_receivers(at(100)).len() > 2);
    assert_eq!(close.count(), 3);
}

#[test]
fn the_shares_of_the_retry_budget_add_up_to_about_the_whole() {
    let calls = [100, 10, 50, 0];
    let shares: f64 = (0..4)
        .map(|me| {
            let mut seen = peers(me);
            for other in (0..4).filter(|o| *o != me) {
                let told = Datagram {
                    calls: calls[other],
                    ..datagram(other, 1)
                };
                hear(&mut seen, at(0), &told);
            }
            seen.call_share(at(10), calls[me])
        })
        .sum();
    assert!((shares - 1.0).abs() < 0.01, "{shares}");
}

#[test]
fn a_silent_peer_stops_to_count() {
    let mut seen = peers(0);
    hear(&mut seen, at(0), &datagram(1, 1));
    assert_eq!(seen.live_count(at(2_000)), 2);
    assert_eq!(seen.live_count(at(4_000)), 1);
}

/// Readers with slow links took seconds to forward a configuration.
#[test]
fn the_stronger_routers_read_the_store_and_add_up() {
    let n = 30;
    let strength = |i: usize| match i % 5 {
        0 => CapacityClass::new(200.0, 0.5),
        _ => CapacityClass::new(10.0, 0.12),
    };
    let fleet: Vec<Peers> = (0..n)
        .map(|me| {
            let seen = Peers::new(
                vm(me),
                hall(me),
                strength(me),
                Incarnation(1),
                address(me),
                &[],
            );
            let mut seen = seen;
            for other in (0..n).filter(|o| *o != me) {
                let told = Datagram {
                    capacity: strength(other),
                    ..datagram(other, 1)
                };
                hear(&mut seen, at(0), &told);
            }
            seen
        })
        .collect();
    let chosen =
        |f: &dyn Fn(&Peers) -> bool| -> Vec<usize> { (0..n).filter(|i| f(&fleet[*i])).collect() };
    let readers = chosen(&|p| p.is_reader(at(100)));
    assert_eq!(readers.len(), 3);
    assert!(readers.iter().all(|i| i % 5 == 0), "{readers:?}");
    let adding = chosen(&|p| p.is_aggregator(at(100)));
    assert_eq!(adding.len(), 3);
    assert!(adding.iter().all(|i| i % 5 == 0), "{adding:?}");
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
    let mut seen = peers(0);
    for other in 1..routers {
        hear(&mut seen, at(0), &datagram(other, 1));
    }
    let pause = seen.non_reader_backoff(at(100));
    assert_eq!(pause, Duration::from_millis(pause_ms));
}

/// The incarnation is derived from the time of day. A VM whose clock was set back therefore started
/// its next incarnation with a lower number, and its peers took it for the old one and ignored it
/// for a minute.
#[test]
fn a_new_life_joins_also_after_its_clock_was_set_back() {
    let mut seen = peers(0);
    let mut old = datagram(1, 9);
    old.sent.incarnation = Incarnation(20_000);
    hear(&mut seen, at(0), &old);
    let mut reborn = datagram(1, 1);
    reborn.sent.incarnation = Incarnation(5_000);
    // Datagrams of the old incarnation may still be in transit, so the new one is accepted after a
    // delay.
    assert_eq!(hear(&mut seen, at(100), &reborn), DatagramEffect::Outdated);
    reborn.number = 2;
    assert_eq!(hear(&mut seen, at(1_100), &reborn), DatagramEffect::Joined);
    // A late datagram of the old incarnation does not undo the join.
    old.number = 10;
    assert_eq!(hear(&mut seen, at(1_200), &old), DatagramEffect::Outdated);
    reborn.number = 3;
    assert_eq!(hear(&mut seen, at(1_300), &reborn), DatagramEffect::Known);
}

/// A router whose VM was suspended for ten seconds had received no datagrams in that time, so it
/// considered all its peers dead when it resumed: 1 of 7 routers was alive to it. Until it
/// received their next datagrams, it used the retry budget of the whole fleet and took over all
/// duties alone.
#[test]
fn a_router_that_was_absent_does_not_take_its_peers_for_dead() {
    let mut seen = fleet(7, at(0)).swap_remove(0);
    let tick = 100;
    for ms in (0..1_000).step_by(tick) {
        seen.on_tick(at(ms));
    }
    let gone_on = 11_000;
    seen.on_tick(at(gone_on));
    assert_eq!(seen.live_count(at(gone_on)), 7);
    assert!(seen.call_share(at(gone_on), 10) < 0.6);
    // Peers that stay silent after the suspension are considered dead as usual.
    hear(&mut seen, at(gone_on + 50), &datagram(1, 2));
    for ms in (gone_on..gone_on + 900).step_by(tick) {
        seen.on_tick(at(ms));
    }
    let later = gone_on + 4_000;
    hear(&mut seen, at(later), &datagram(1, 3));
    for ms in (gone_on + 900..later).step_by(tick) {
        seen.on_tick(at(ms));
    }
    assert_eq!(seen.live_count(at(later)), 2);
}

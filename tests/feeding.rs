//! Which router asks which other one for changes in the store, in fleets of full size.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use rstest::rstest;
use scaleford::{
    ids::{Incarnation, VmId},
    membership::{
        datagram::{Datagram, Stamp, Strength},
        peers::Peers,
        readers::{FleetStart, NextRead, ReadState},
        records::{Exchange, MemberRecord, RecordState},
    },
    store::{MirrorReply, PackedValue, StoreItem, StoreMirror, StoreUpdate},
    units::{Instant, StoreRevision},
};

/// Instant at which all routers know one another.
const ALL_KNOWN_AT: Instant = Instant(Duration::from_secs(20));

/// Maximum number of routers that one router may feed, as it sends each list once per fed router
/// over its link.
const MAX_FED_ROUTERS: usize = 64;

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().unwrap()
}

fn address(n: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + n as u32);
    SocketAddr::new(IpAddr::V4(ip), 7340)
}

/// Returns the capacity of a VM. One in nineteen is as strong as the users' strong VMs.
fn capacity_of(n: usize) -> Strength {
    match n % 19 {
        0 => Strength::new(200.0, 0.5),
        _ => Strength::new(20.0, 0.12),
    }
}

fn record(n: usize) -> MemberRecord {
    MemberRecord {
        vm: vm(n),
        hall: format!("hall-{}", n % 5).parse().unwrap(),
        capacity: capacity_of(n),
        address: address(n),
        incarnation: Incarnation(1),
        state: RecordState::Alive { heard_ms: 0 },
    }
}

/// Returns a datagram of one router with a step of a comparison of member records.
fn datagram_with(from: usize, routers: usize, exchange: Exchange) -> Datagram {
    let sender = record(from);
    Datagram {
        vm: sender.vm,
        hall: sender.hall,
        capacity: sender.capacity,
        number: routers as u64,
        sent: Stamp::default(),
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
        exchange: Some(exchange),
        rates: Vec::new(),
        suspected: Vec::new(),
        parts: Vec::new(),
        shares: Vec::new(),
        share_sums: Vec::new(),
        brittle: Vec::new(),
    }
}

fn new_peers(me: usize, seeds: &[SocketAddr]) -> Peers {
    let own = record(me);
    let incarnation = Incarnation(1);
    Peers::new(
        own.vm,
        own.hall,
        own.capacity,
        incarnation,
        own.address,
        seeds,
    )
}

/// Returns the routers of a fleet, each of which knows all others.
fn fleet(n: usize) -> Vec<Peers> {
    let all: Vec<MemberRecord> = (0..n).map(record).collect();
    let received = datagram_with(0, n, Exchange::Records(all));
    let knowing_all = |me: usize| {
        let mut peers = new_peers(me, &[]);
        peers.on_records(ALL_KNOWN_AT, &received);
        peers
    };
    (0..n).map(knowing_all).collect()
}

fn listed() -> ReadState {
    ReadState {
        listed: true,
        ..ReadState::default()
    }
}

/// Returns the source that each router of a fleet asks next.
fn next_reads(fleet: &[Peers]) -> Vec<NextRead> {
    let now = ALL_KNOWN_AT + Duration::from_secs(1);
    fleet.iter().map(|p| p.next_read(now, &listed())).collect()
}

/// Three readers fed all other routers: 985 routers with 10,000 targets made 13,900 calls to the
/// store on a calm day, and received a configuration five seconds after its change, or never. The
/// log had the lines `reader does not answer` and, at the routers that refused keys, `call` with
/// `config_too_old`.
#[rstest]
#[case::the_size_to_design_for(380)]
#[case::the_whole_fleet(985)]
#[case::twice_that(2_000)]
fn store_changes_pass_few_routers_and_none_feeds_many(#[case] n: usize) {
    let next_reads = next_reads(&fleet(n));
    let readers = next_reads.iter().filter(|a| **a == NextRead::Store).count();
    assert_eq!(readers, 3);
    let mut fed_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for (me, first) in next_reads.iter().enumerate() {
        let mut next = first;
        let mut hops = 0;
        while let NextRead::Ask(parent) = next {
            let parent_number = (0..n).find(|i| address(*i) == *parent).unwrap();
            next = &next_reads[parent_number];
            hops += 1;
            assert!(hops <= 2, "router {me}");
        }
        assert_eq!(*next, NextRead::Store);
        if let NextRead::Ask(parent) = first {
            *fed_counts.entry(*parent).or_default() += 1;
        }
    }
    let most = fed_counts.values().max().unwrap();
    assert!(*most <= MAX_FED_ROUTERS, "one feeds {most} others");
}

/// If there are enough strong VMs, only they feed other routers.
#[test]
fn weak_vms_feed_no_others_if_there_are_enough_strong_ones() {
    let next_reads = next_reads(&fleet(985));
    for next in next_reads {
        if let NextRead::Ask(parent) = next {
            let parent_number = (0..985).find(|i| address(*i) == parent).unwrap();
            assert_eq!(capacity_of(parent_number), Strength::new(200.0, 0.5));
        }
    }
}

/// If none of the routers that it may ask has anything recent, a router asks each of them once,
/// then the store, and returns to them later.
#[test]
fn a_router_whose_feeders_have_nothing_recent_goes_to_the_store_and_comes_back() {
    let mut fleet = fleet(985);
    let now = ALL_KNOWN_AT + Duration::from_secs(1);
    let reads_from_peer = |p: &Peers| matches!(p.next_read(now, &listed()), NextRead::Ask(_));
    let me = fleet
        .iter()
        .rposition(|p| reads_from_peer(p) && !p.is_feeder(now));
    let peers = &mut fleet[me.unwrap()];
    let first = peers.next_read(now, &listed());
    let mut asked = Vec::new();
    while let NextRead::Ask(parent) = peers.next_read(now, &listed()) {
        assert!(!asked.contains(&parent));
        asked.push(parent);
        peers.on_nothing_recent(now, parent);
    }
    assert!(asked.len() > 3, "{asked:?}");
    assert_eq!(peers.next_read(now, &listed()), NextRead::Store);
    let later = now + Duration::from_secs(2);
    assert_eq!(peers.next_read(later, &listed()), first);
}

/// A router that is started again in a running fleet knows no other router at first. If it listed
/// the store at once, as in a small fleet, 985 routers would request fifty pages each; 300 routers
/// took 30 s until they served again.
#[test]
fn a_router_of_a_large_fleet_that_starts_again_finds_the_others_before_it_reads() {
    let mut peers = new_peers(7, &[address(0)]);
    let state = ReadState {
        start: FleetStart::Later,
        ..ReadState::default()
    };
    let at = |ms| Instant(Duration::from_millis(ms));
    assert_eq!(peers.next_read(at(0), &state), NextRead::Wait);
    let routers = 900;
    let comparison = Exchange::Compare { digest: 1, routers };
    let received = datagram_with(0, 1, comparison);
    peers.on_datagram(at(50), address(0), &received);
    peers.answer(at(50), &received);
    assert_eq!(peers.next_read(at(300), &state), NextRead::Wait);
    let all = (0..985).map(record).collect();
    let received = datagram_with(0, 2, Exchange::Records(all));
    peers.on_records(at(800), &received);
    assert_eq!(peers.next_read(at(900), &state), NextRead::Wait);
    let next = peers.next_read(at(1_400), &state);
    assert!(matches!(next, NextRead::Ask(_)), "{next:?}");
    // A router that gets no answer from its peers reads the store itself.
    let unanswered = new_peers(7, &[address(0)]);
    assert_eq!(unanswered.next_read(at(300), &state), NextRead::Store);
}

/// A mirror remembered 8,192 removals, but a fleet has 10,000 targets: when all of them expired and
/// came back, each router that lagged behind was sent all entries each time.
#[test]
fn a_mirror_remembers_as_many_removals_as_it_had_entries() {
    let targets = 20_000;
    let item = |n: u64, value: Option<PackedValue>, revision| StoreItem {
        key: format!("servers/i-{n}"),
        value,
        revision: StoreRevision::first_era(revision),
    };
    let entry = |n| item(n, Some(PackedValue::pack(b"{}")), n + 1);
    let mut mirror = StoreMirror::default();
    mirror.on_list(&StoreUpdate {
        items: (0..targets).map(entry).collect(),
        revision: StoreRevision::first_era(targets),
    });
    mirror.on_changes(&StoreUpdate {
        items: (0..targets)
            .map(|n| item(n, None, targets + n + 1))
            .collect(),
        revision: StoreRevision::first_era(2 * targets),
    });
    let received = mirror.since(StoreRevision::first_era(targets)).unwrap();
    assert!(
        matches!(received, MirrorReply::Changes(update) if update.items.len() as u64 == targets)
    );
}

//! Streams go on at the version that began them: what placement allows, and what routers know of origins.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    discovery::{ListChange, TargetRecord, TargetState},
    dispatcher::{CallPlan, Dispatcher},
    ids::{Incarnation, VmId},
    placement::{choice::PlacementError, owners},
    replicas::Holder,
    stream_origin::{ServiceHash, StreamKey, StreamOrigin, StreamOrigins, StreamProgress},
    units::StoreRevision,
};

use super::{at, dispatcher, plan, record};

pub(crate) const RESUMABLE: CallKind = CallKind::Stream(StreamRepeats::Resumed);

pub(crate) fn with_version(n: usize, version: &str, state: TargetState) -> TargetRecord {
    TargetRecord {
        version: version.into(),
        state,
        ..record(n)
    }
}

pub(crate) fn put(dispatcher: &mut Dispatcher, ms: u64, revision: u64, record: TargetRecord) {
    let revision = StoreRevision::first_era(revision);
    let change = ListChange::Put(record);
    dispatcher.discovery.on_change(at(ms), change, revision);
}

/// Returns a dispatcher with two targets of v1 (0 and 1) and two of v2 (2 and 3).
fn mixed() -> Dispatcher {
    let mut dispatcher = dispatcher(0);
    for (n, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        put(
            &mut dispatcher,
            0,
            2,
            with_version(n, version, TargetState::Ready),
        );
    }
    dispatcher
}

pub(crate) fn continuing(version: &str, hash: u64) -> CallPlan {
    let mut progress = StreamProgress::NotBegun;
    progress.on_event(4, &with_version(9, version, TargetState::Ready));
    CallPlan {
        progress,
        ..plan(RESUMABLE, Vec::new(), hash)
    }
}

/// Returns this router and three others.
fn holders() -> Vec<Holder> {
    let holder = |n: u16| Holder {
        vm: format!("vm-{n}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: (n > 0).then(|| ([127, 0, 0, 1], n).into()),
        holds_all: false,
    };
    (0..4).map(holder).collect()
}

pub(crate) fn service() -> ServiceHash {
    ServiceHash::from(&record(0).service)
}

#[test]
fn a_stream_that_has_begun_is_placed_at_its_version_only() {
    let mut dispatcher = mixed();
    for hash in 0..50 {
        let ticket = dispatcher.choose(at(10), &continuing("v1", hash)).unwrap();
        assert_eq!(ticket.target.version.as_str(), "v1");
    }
}

#[test]
fn full_targets_take_the_streams_that_only_they_can_continue() {
    let mut dispatcher = mixed();
    for hash in 0..400 {
        let _ = dispatcher.choose(at(10), &continuing("v1", hash));
    }
    let chosen = dispatcher.choose(at(10), &continuing("v1", 1_000));
    assert_eq!(chosen.unwrap().target.version.as_str(), "v1");
    let anew = dispatcher.choose(at(10), &plan(RESUMABLE, Vec::new(), 7));
    assert_eq!(anew.unwrap().target.version.as_str(), "v2");
}

#[test]
fn a_leaving_target_gets_streams_only_while_it_surely_serves_on() {
    let mut dispatcher = mixed();
    for n in 0..2 {
        let leaving = with_version(n, "v1", TargetState::Leaving);
        put(&mut dispatcher, 100, 3, leaving);
    }
    let soon = dispatcher.choose(at(800), &continuing("v1", 1));
    assert_eq!(soon.unwrap().target.version.as_str(), "v1");
    let late = dispatcher.choose(at(950), &continuing("v1", 1));
    assert_eq!(late.unwrap_err(), PlacementError::VersionGone);
}

#[test]
fn a_version_counts_for_two_minutes_after_its_last_target_left() {
    let mut dispatcher = mixed();
    for n in 0..2 {
        let name = record(n).id.to_name();
        let revision = StoreRevision::first_era(3);
        let change = ListChange::Removed(name);
        dispatcher.discovery.on_change(at(100), change, revision);
    }
    let v2 = StreamOrigin::new(&record(0).service, &"v2".into());
    let discovery = &dispatcher.discovery;
    assert!(discovery.has_mixed_versions(at(119_000), service()));
    assert_eq!(discovery.sole_version(at(119_000), service()), None);
    assert_eq!(discovery.sole_version(at(120_200), service()), Some(v2));
}

/// A router that starts has not seen the targets leave whose streams its callers take up.
#[test]
fn saved_targets_tell_a_router_that_starts_of_versions_that_left() {
    let mut dispatcher = dispatcher(0);
    put(
        &mut dispatcher,
        0,
        2,
        with_version(2, "v2", TargetState::Ready),
    );
    let saved = vec![
        with_version(0, "v1", TargetState::Leaving),
        with_version(2, "v2", TargetState::Ready),
    ];
    dispatcher.discovery.on_saved_targets(at(10), saved);
    let sole = dispatcher.discovery.sole_version(at(20), service());
    assert_eq!(sole, None);
}

/// Returns a dispatcher whose list has one target of v2, and had one of v1 until 100 ms.
fn v1_left_at_100_ms() -> Dispatcher {
    let mut dispatcher = dispatcher(0);
    for (n, version) in ["v1", "v2"].into_iter().enumerate() {
        let target = with_version(n, version, TargetState::Ready);
        put(&mut dispatcher, 0, 2, target);
    }
    let removed = ListChange::Removed(record(0).id.to_name());
    let revision = StoreRevision::first_era(3);
    dispatcher.discovery.on_change(at(100), removed, revision);
    dispatcher
}

/// Returns a dispatcher of a router that has just started, whose list has one target of v2.
fn started() -> Dispatcher {
    let mut dispatcher = dispatcher(0);
    let target = with_version(1, "v2", TargetState::Ready);
    put(&mut dispatcher, 0, 4, target);
    dispatcher
}

/// Guards against ORDER where routers restart in turn, faster than a version is forgotten: each learns of it from
/// the one before, and none of them knows it for longer.
#[test]
fn a_version_that_left_is_known_after_restarts_in_turn_and_for_no_longer() {
    let mut notices = v1_left_at_100_ms().discovery.version_notices(at(5_100));
    // Each router runs for five seconds, and its clock begins at its start.
    for restart in 1..=22 {
        let mut next = started();
        next.discovery.on_version_notices(at(10), &notices);
        let is_mixed = |ms| next.discovery.has_mixed_versions(at(ms), service());
        assert!(is_mixed(5_000), "restart {restart}");
        notices = next.discovery.version_notices(at(5_010));
        // The version that left, and the listed one beside it.
        assert_eq!(notices.len(), 2);
    }
    let mut last = started();
    last.discovery.on_version_notices(at(10), &notices);
    assert!(!last.discovery.has_mixed_versions(at(5_100), service()));
    assert!(last.discovery.version_notices(at(5_100)).is_empty());
}

/// Routers that tell each other of a version must not keep it for ever.
#[test]
fn a_version_that_routers_tell_one_another_of_expires() {
    let (mut a, mut b) = (v1_left_at_100_ms(), started());
    for ms in (200..130_000).step_by(100) {
        let (of_a, of_b) = (
            a.discovery.version_notices(at(ms)),
            b.discovery.version_notices(at(ms)),
        );
        // A datagram takes 50 ms.
        b.discovery.on_version_notices(at(ms + 50), &of_a);
        a.discovery.on_version_notices(at(ms + 50), &of_b);
    }
    for router in [&a, &b] {
        assert!(!router.discovery.has_mixed_versions(at(130_000), service()));
    }
}

#[test]
fn origins_are_told_twice_and_only_while_versions_are_mixed() {
    let mut origins = StreamOrigins::default();
    let (v1, stream) = (
        StreamOrigin::new(&record(0).service, &"v1".into()),
        StreamKey::new(None, "a"),
    );
    origins.on_holders(at(0), holders());
    let names: Vec<VmId> = holders().into_iter().map(|h| h.vm).collect();
    let holding = owners(&stream.to_string(), names.iter(), 3);
    let others = holders().into_iter().filter(|h| holding.contains(&&h.vm));
    let others: HashSet<SocketAddr> = others.filter_map(|h| h.address).collect();
    origins.on_begun(at(0), stream, v1);
    assert!(origins.take_notices(at(10), 100, |_| false).is_empty());
    for ms in [20, 120] {
        let notices = origins.take_notices(at(ms), 100, |_| true);
        assert_eq!(notices.len(), others.len());
        let told: HashSet<SocketAddr> = notices.into_iter().map(|(to, _)| to).collect();
        assert_eq!(told, others);
    }
    assert!(origins.take_notices(at(220), 100, |_| true).is_empty());
    assert_eq!(origins.get(at(300), stream), Some(v1));
    let old = at(0) + Duration::from_mins(11);
    assert_eq!(origins.get(old, stream), None);
}

/// Streams that began long before a second version appears need not be told to others any more.
#[test]
fn origins_of_the_last_minute_are_told_once_versions_are_mixed() {
    let mut origins = StreamOrigins::default();
    origins.on_holders(at(0), holders());
    let v1 = StreamOrigin::new(&record(0).service, &"v1".into());
    let streams = ["old", "recent"].map(|id| StreamKey::new(None, id));
    for (stream, ms) in streams.into_iter().zip([0, 50_000]) {
        origins.on_begun(at(ms), stream, v1);
    }
    assert!(origins.take_notices(at(61_000), 100, |_| false).is_empty());
    let told = origins.take_notices(at(61_100), 100, |_| true);
    assert!(!told.is_empty());
    assert!(told.iter().all(|(_, notice)| notice.stream == streams[1]));
}

#[test]
fn an_account_does_not_know_the_streams_of_another() {
    let (farm, mill) = ("farm".parse().unwrap(), "mill".parse().unwrap());
    let of_farm = StreamKey::new(Some(&farm), "a");
    assert_ne!(of_farm, StreamKey::new(Some(&mill), "a"));
    assert_ne!(of_farm, StreamKey::new(None, "a"));
}

/// An attacker that begins streams without end takes no more memory.
#[test]
fn the_number_of_remembered_origins_is_bounded() {
    let mut origins = StreamOrigins::default();
    origins.on_holders(at(0), holders());
    let v1 = StreamOrigin::new(&record(0).service, &"v1".into());
    for n in 0..40_000 {
        origins.on_begun(at(n), StreamKey::new(None, &n.to_string()), v1);
    }
    assert!(origins.len() <= 16_384);
    let unsent = origins.take_notices(at(40_000), usize::MAX, |_| true);
    let unsent: HashSet<StreamKey> = unsent.into_iter().map(|(_, n)| n.stream).collect();
    assert!(unsent.len() <= 16_384);
}

#[test]
fn each_origin_is_saved_once_and_again_only_where_that_failed() {
    let mut origins = StreamOrigins::default();
    let v1 = StreamOrigin::new(&record(0).service, &"v1".into());
    let streams: Vec<StreamKey> = (0..5)
        .map(|n| StreamKey::new(None, &format!("s{n}")))
        .collect();
    for stream in &streams {
        origins.on_begun(at(0), *stream, v1);
    }
    assert!(origins.take_unsaved(at(10), 8, |_| false).is_empty());
    let first = origins.take_unsaved(at(10), 3, |_| true);
    let saved: Vec<StreamKey> = first.iter().map(|n| n.stream).collect();
    assert_eq!(saved, [streams[4], streams[3], streams[2]]);
    origins.on_not_saved(&first);
    assert_eq!(origins.take_unsaved(at(20), 8, |_| true).len(), 5);
    assert!(origins.take_unsaved(at(30), 8, |_| true).is_empty());
}

#[test]
fn one_version_is_known_to_be_the_only_one_by_a_record_or_after_two_minutes() {
    let mut dispatcher = dispatcher(1);
    assert!(!dispatcher.discovery.knows_versions(at(119_900)));
    assert!(dispatcher.discovery.knows_versions(at(120_000)));
    dispatcher.discovery.on_version_record(at(100), &[]);
    assert!(dispatcher.discovery.knows_versions(at(100)));
    assert!(!dispatcher.discovery.has_followed_list(at(100)));
}

/// Guards against ORDER: a router whose list is behind took its only version for the only one in use.
#[test]
fn a_router_whose_list_is_behind_learns_of_a_second_version_from_peers() {
    let (current, mut behind) = (mixed(), dispatcher(0));
    put(&mut behind, 0, 2, with_version(0, "v1", TargetState::Ready));
    assert!(!behind.discovery.has_mixed_versions(at(50), service()));
    let notices = current.discovery.version_notices(at(50));
    behind.discovery.on_version_notices(at(60), &notices);
    assert!(behind.discovery.has_mixed_versions(at(60), service()));
}

/// Guards against ORDER: listed versions, which a peer also learns from its list, crowd out those that left.
#[test]
fn versions_that_left_are_told_where_many_services_have_several() {
    const SERVICES: usize = 60;
    let mut dispatcher = dispatcher(0);
    let service = |n: usize| format!("service-{n}").parse().unwrap();
    for n in 0..SERVICES {
        for (i, version) in ["v1", "v2", "v3"].into_iter().enumerate() {
            let target = TargetRecord {
                service: service(n),
                ..with_version(3 * n + i, version, TargetState::Ready)
            };
            put(&mut dispatcher, 0, 2, target);
        }
    }
    for n in 0..SERVICES {
        let removed = ListChange::Removed(record(3 * n).id.to_name());
        let revision = StoreRevision::first_era(3);
        dispatcher.discovery.on_change(at(100), removed, revision);
    }
    // A router that started since, with the same list but for the versions that left it.
    let mut late = super::dispatcher(0);
    for n in 0..SERVICES {
        let target = TargetRecord {
            service: service(n),
            ..with_version(3 * n + 1, "v2", TargetState::Ready)
        };
        put(&mut late, 0, 4, target);
    }
    let notices = dispatcher.discovery.version_notices(at(200));
    late.discovery.on_version_notices(at(210), &notices);
    let is_mixed = |n: &usize| {
        let hash = ServiceHash::from(&service(*n));
        late.discovery.has_mixed_versions(at(210), hash)
    };
    let unaware: Vec<usize> = (0..SERVICES).filter(|n| !is_mixed(n)).collect();
    assert_eq!(unaware, Vec::<usize>::new());
}

//! Targets that start, stop, restart and leave.

use std::time::Duration;

use rstest::rstest;
use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    discovery::{Discovery, ListChange, RETURN_GRACE, TargetChange, TargetRecord, TargetState},
    health::{HealthStatus, Outcome},
    ids::{TargetId, UnixMillis},
    units::{Instant, StoreRevision, Tokens},
};

use crate::{at, dispatcher, part, plan, record};

#[test]
fn an_entry_that_lapsed_in_an_outage_counts_for_a_moment_after_the_return() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(1), StoreRevision::first_era(1))],
        StoreRevision::first_era(1),
    );
    list.on_store_available(at(10_000), Duration::ZERO);
    let gone = ListChange::Removed("t1".parse().unwrap());
    let changes = list.on_change(at(10_100), gone, StoreRevision::first_era(5));
    assert_eq!(changes, [(record(1).id, TargetChange::Kept)]);
    assert_eq!(list.serving(&"writer".parse().unwrap()).len(), 1);
    let put = ListChange::Put(record(1));
    list.on_change(at(10_900), put, StoreRevision::first_era(9));
    assert!(list.on_tick(at(13_000)).is_empty(), "it is back");
    assert_eq!(list.serving(&"writer".parse().unwrap()).len(), 1);
}

#[test]
fn an_entry_that_stays_away_is_gone_two_seconds_after_the_return() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(1), StoreRevision::first_era(1))],
        StoreRevision::first_era(1),
    );
    list.on_store_available(at(10_000), Duration::ZERO);
    list.on_list(at(10_050), Vec::new(), StoreRevision::first_era(5));
    assert_eq!(list.serving(&"writer".parse().unwrap()).len(), 1);
    assert!(RETURN_GRACE <= Duration::from_secs(2));
    assert_eq!(list.on_tick(at(12_000)).len(), 1);
    assert!(list.serving(&"writer".parse().unwrap()).is_empty());
}

#[test]
fn a_leaving_target_gets_nothing_though_the_store_was_away() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(1), StoreRevision::first_era(1))],
        StoreRevision::first_era(1),
    );
    list.on_store_available(at(1_000), Duration::ZERO);
    let leaving = TargetRecord {
        state: TargetState::Leaving,
        ..record(1)
    };
    let changes = list.on_change(
        at(1_100),
        ListChange::Put(leaving),
        StoreRevision::first_era(4),
    );
    assert_eq!(changes, [(record(1).id, TargetChange::Leaving)]);
    assert!(list.serving(&"writer".parse().unwrap()).is_empty());
}

#[test]
fn news_that_is_older_than_what_is_known_is_passed_over() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(1), StoreRevision::first_era(8))],
        StoreRevision::first_era(8),
    );
    let gone = ListChange::Removed("t1".parse().unwrap());
    assert_eq!(
        list.on_change(at(1), gone.clone(), StoreRevision::first_era(5)),
        []
    );
    assert_eq!(
        list.on_change(at(2), gone, StoreRevision::first_era(9)),
        [(record(1).id, TargetChange::Gone)]
    );
    let old = ListChange::Put(record(1));
    assert_eq!(list.on_change(at(3), old, StoreRevision::first_era(7)), []);
}

/// The store was unavailable, entries expired, and all routers were lost: the first list of a new
/// router lacks targets that are alive.
#[test]
fn targets_whose_entries_expired_before_this_router_started_count_for_a_moment() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(0), StoreRevision::first_era(9))],
        StoreRevision::first_era(9),
    );
    let lapsed = list.on_saved_targets(at(0), (0..4).map(record).collect());
    assert_eq!(lapsed.len(), 3);
    let service = "writer".parse().unwrap();
    assert_eq!(list.serving(&service).len(), 4);
    list.on_change(
        at(900),
        ListChange::Put(record(1)),
        StoreRevision::first_era(12),
    );
    let gone = list.on_tick(at(2_000));
    assert_eq!(gone.len(), 2, "those that are still missing");
    assert_eq!(list.serving(&service).len(), 2);
}

#[test]
fn a_target_that_left_before_this_router_started_is_not_taken_for_one_whose_entry_expired() {
    let mut list = Discovery::default();
    let listed = (0..9)
        .map(|n| (record(n), StoreRevision::first_era(9)))
        .collect();
    list.on_list(at(0), listed, StoreRevision::first_era(9));
    let lapsed = list.on_saved_targets(at(0), (0..10).map(record).collect());
    assert!(lapsed.is_empty(), "{lapsed:?}");
    assert_eq!(list.serving(&"writer".parse().unwrap()).len(), 9);
}

#[test]
fn a_target_that_was_leaving_before_this_router_started_gets_nothing() {
    let mut list = Discovery::default();
    list.on_list(at(0), Vec::new(), StoreRevision::first_era(9));
    let leaving = TargetRecord {
        state: TargetState::Leaving,
        ..record(0)
    };
    list.on_saved_targets(at(0), vec![leaving, record(1)]);
    assert_eq!(list.serving(&"writer".parse().unwrap()).len(), 1);
}

/// Returns a target's entry as written by its instance that started at `started_at`.
fn instance(n: usize, started_at: u64) -> TargetRecord {
    let record = record(n);
    TargetRecord {
        id: TargetId::new(&record.id.to_name(), Some(UnixMillis(started_at))),
        ..record
    }
}

fn ids(list: &Discovery) -> Vec<String> {
    let serving = list.serving(&"writer".parse().unwrap());
    serving.iter().map(|t| t.id.to_string()).collect()
}

#[test]
fn a_target_that_starts_again_under_its_name_is_another_one_at_once() {
    let mut list = Discovery::default();
    let first = vec![(instance(1, 5_000), StoreRevision::first_era(1))];
    list.on_list(at(0), first, StoreRevision::first_era(1));
    let again = ListChange::Put(instance(1, 9_000));
    let changes = list.on_change(at(100), again, StoreRevision::first_era(2));
    let ended = (instance(1, 5_000).id, TargetChange::Restarted);
    assert_eq!(
        changes,
        [ended, (instance(1, 9_000).id, TargetChange::Added)]
    );
    assert_eq!(ids(&list), ["t1~9000"]);
    assert!(list.get(&instance(1, 5_000).id).is_none());
    let late = ListChange::Put(instance(1, 5_000));
    assert_eq!(
        list.on_change(at(200), late, StoreRevision::first_era(1)),
        []
    );
    let gone = ListChange::Removed("t1".parse().unwrap());
    list.on_change(at(300), gone, StoreRevision::first_era(3));
    assert!(ids(&list).is_empty(), "the entry is that of the later life");
}

#[test]
fn a_saved_instance_is_not_taken_for_one_whose_entry_expired_where_the_next_one_is_listed() {
    let mut list = Discovery::default();
    let now = vec![(instance(1, 9_000), StoreRevision::first_era(9))];
    list.on_list(at(0), now, StoreRevision::first_era(9));
    assert!(
        list.on_saved_targets(at(0), vec![instance(1, 5_000)])
            .is_empty()
    );
    assert_eq!(ids(&list), ["t1~9000"]);
}

/// State of one instance of a target must not affect calls to the next one.
#[test]
fn nothing_known_of_a_former_instance_applies_to_the_next_one() {
    let mut d = dispatcher(0);
    let revision = StoreRevision::first_era(1);
    let list = vec![(instance(0, 5_000), revision), (record(1), revision)];
    d.discovery.on_list(at(0), list, revision);
    let prompt = vec![part(1, 4_000), part(2, 100)];
    let stream = CallKind::Stream(StreamRepeats::Resumed);
    let former = instance(0, 5_000).id;
    d.cache.on_peer(&former, prompt[0], false);
    let ticket = d.choose(at(10), &plan(stream, prompt.clone(), 7)).unwrap();
    assert_eq!(ticket.target.id, former, "it has read the prompt");
    let failed = Some(Outcome::Broken);
    for _ in 0..4 {
        d.on_end(at(20), &ticket, failed);
    }
    assert_eq!(d.health.status(at(20), &former), HealthStatus::Paused);
    let again = ListChange::Put(instance(0, 9_000));
    d.discovery
        .on_change(at(30), again, StoreRevision::first_era(2));
    let next = instance(0, 9_000).id;
    assert_eq!(d.health.status(at(30), &next), HealthStatus::Well);
    // A peer that does not know of the restart yet announces the former instance's prompt.
    d.cache.on_peer(&former, prompt[0], false);
    assert_eq!(d.cache.missing(&next, &prompt), Tokens(4_100));
    assert_eq!(d.load.calls(at(30), &next), 0);
    let ticket = d.choose(at(40), &plan(stream, prompt, 7)).unwrap();
    assert!(ticket.fetch_from.is_none(), "no listed target has read it");
}

/// A target is cold until a time given by its entry, by the end of its data hall's evacuation, or
/// by both.
#[test]
fn a_target_is_cold_as_long_as_its_entry_says_and_after_its_hall_was_taken_back() {
    let cold_time = Duration::from_secs(3);
    let mut list = Discovery::default();
    let cold = TargetRecord {
        cold_for: Duration::from_millis(1_500),
        ..record(1)
    };
    let hall = cold.data_hall.clone();
    list.on_list(
        at(0),
        vec![(cold, StoreRevision::first_era(1))],
        StoreRevision::first_era(1),
    );
    assert_eq!(
        list.cold_until(at(100), &record(1), cold_time),
        Some(at(1_500))
    );
    assert_eq!(list.cold_until(at(1_500), &record(1), cold_time), None);
    list.on_change(
        at(600),
        ListChange::Put(record(1)),
        StoreRevision::first_era(2),
    );
    assert_eq!(
        list.cold_until(at(700), &record(1), cold_time),
        None,
        "it says so"
    );
    list.on_hall_change(at(800), hall.clone(), true, StoreRevision::first_era(3));
    list.on_hall_change(at(2_000), hall, false, StoreRevision::first_era(4));
    assert_eq!(
        list.cold_until(at(2_100), &record(1), cold_time),
        Some(at(5_000))
    );
    assert_eq!(list.cold_until(at(5_000), &record(1), cold_time), None);
}

#[rstest]
#[case::calm(None)]
#[case::right_after_the_store_was_away(Some(at(0)))]
fn an_entry_that_names_no_target_takes_the_one_before_out_at_once(
    #[case] store_available_at: Option<Instant>,
) {
    let mut list = Discovery::default();
    let both = vec![
        (record(1), StoreRevision::first_era(1)),
        (record(2), StoreRevision::first_era(1)),
    ];
    list.on_list(at(0), both, StoreRevision::first_era(1));
    store_available_at
        .into_iter()
        .for_each(|at| list.on_store_available(at, Duration::ZERO));
    let unusable = ListChange::Unusable("t1".parse().unwrap());
    let changes = list.on_change(at(10), unusable.clone(), StoreRevision::first_era(4));
    assert_eq!(changes, [(record(1).id, TargetChange::Unusable)]);
    assert_eq!(ids(&list), ["t2"], "the other one holds");
    assert_eq!(
        list.on_change(at(11), unusable, StoreRevision::first_era(5)),
        []
    );
    let own = ListChange::Put(record(1));
    list.on_change(at(20), own, StoreRevision::first_era(6));
    assert_eq!(ids(&list), ["t1", "t2"], "it wrote its entry anew");
}

/// Changes that arrive together have the same effect as those that arrive one after the other.
#[test]
fn changes_that_come_together_are_taken_in_order() {
    let mut list = Discovery::default();
    let both = vec![
        (record(1), StoreRevision::first_era(1)),
        (record(2), StoreRevision::first_era(1)),
    ];
    list.on_list(at(0), both, StoreRevision::first_era(1));
    let leaving = TargetRecord {
        state: TargetState::Leaving,
        ..record(2)
    };
    let changes = vec![
        (
            ListChange::Put(instance(1, 9_000)),
            StoreRevision::first_era(2),
        ),
        (ListChange::Put(leaving), StoreRevision::first_era(3)),
        (ListChange::Put(record(3)), StoreRevision::first_era(4)),
        (
            ListChange::Unusable("t3".parse().unwrap()),
            StoreRevision::first_era(5),
        ),
        (ListChange::Put(record(3)), StoreRevision::first_era(4)),
    ];
    let effects = list.on_changes(at(10), changes);
    let effects: Vec<_> = effects
        .iter()
        .map(|(id, effect)| (id.as_str(), *effect))
        .collect();
    let expected = [
        ("t1", TargetChange::Restarted),
        ("t1~9000", TargetChange::Added),
        ("t2", TargetChange::Leaving),
        ("t3", TargetChange::Added),
        ("t3", TargetChange::Unusable),
    ];
    assert_eq!(effects, expected);
    assert_eq!(ids(&list), ["t1~9000"]);
}

/// A starting router learns that the store became available a minute ago: the grace period is over,
/// and a target whose entry is removed is gone.
#[test]
fn a_return_of_the_store_before_this_routers_start_is_over() {
    let mut list = Discovery::default();
    list.on_list(
        at(0),
        vec![(record(0), StoreRevision::first_era(1))],
        StoreRevision::first_era(1),
    );
    list.on_store_available(at(100), Duration::from_secs(60));
    let removed = ListChange::Removed(record(0).id.to_name());
    let changes = list.on_change(at(200), removed, StoreRevision::first_era(2));
    assert_eq!(changes, [(record(0).id, TargetChange::Gone)]);
}

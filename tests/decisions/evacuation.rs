//! Evacuated data halls, whose targets receive no calls.

use std::time::Duration;

use rstest::rstest;
use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    discovery::{ListChange, TargetRecord},
    dispatcher::Dispatcher,
    evacuation::Evacuations,
    placement::choice::PlacementError,
    units::{StoreRevision, Tokens},
};

use crate::{at, dispatcher, hall, part, plan, record};

const RESUMABLE_STREAM: CallKind = CallKind::Stream(StreamRepeats::Resumed);

/// Returns a dispatcher with two targets in each of two data halls.
fn two_halls() -> Dispatcher {
    let mut d = dispatcher(4);
    for n in 2..4 {
        let put = ListChange::Put(record_in_barn(n));
        d.discovery
            .on_change(at(0), put, StoreRevision::first_era(2));
    }
    d
}

fn record_in_barn(n: usize) -> TargetRecord {
    TargetRecord {
        data_hall: hall("barn"),
        ..record(n)
    }
}

/// Returns the data halls that forty calls reach.
fn reached_halls(d: &mut Dispatcher, from_ms: u64) -> Vec<String> {
    let send = |n: u64| {
        let plan = plan(
            RESUMABLE_STREAM,
            vec![part(from_ms + n, 3_000), part(1, 50)],
            n,
        );
        let ticket = d.choose(at(from_ms + n), &plan).unwrap();
        d.on_end(at(from_ms + n), &ticket, None);
        ticket.target.data_hall.to_string()
    };
    let mut halls: Vec<String> = (0..40).map(send).collect();
    halls.sort();
    halls.dedup();
    halls
}

#[test]
fn nothing_is_sent_to_an_evacuated_hall_until_it_is_taken_back() {
    let mut d = two_halls();
    assert!(
        d.discovery
            .on_hall_change(at(10), hall("barn"), true, StoreRevision::first_era(3))
    );
    assert_eq!(reached_halls(&mut d, 20), ["yard"]);
    // A target that starts there receives no calls either.
    let put = ListChange::Put(record_in_barn(5));
    d.discovery
        .on_change(at(100), put, StoreRevision::first_era(4));
    assert_eq!(reached_halls(&mut d, 110), ["yard"]);
    assert!(
        d.discovery
            .on_hall_change(at(200), hall("barn"), false, StoreRevision::first_era(5))
    );
    assert!(reached_halls(&mut d, 10_000).contains(&"barn".to_owned()));
}

/// Prompts that targets of an evacuated data hall have read are still fetched from them.
#[test]
fn prompts_are_taken_from_an_evacuated_hall() {
    let mut d = two_halls();
    d.cache.on_peer(&record(2).id, part(1, 9_000), false);
    d.discovery
        .on_hall_change(at(10), hall("barn"), true, StoreRevision::first_era(3));
    let plan = plan(RESUMABLE_STREAM, vec![part(1, 9_000), part(2, 50)], 1);
    let ticket = d.choose(at(20), &plan).unwrap();
    assert_eq!(ticket.target.data_hall, hall("yard"));
    assert_eq!(ticket.fetch_from.unwrap().id, record(2).id);
    assert_eq!(ticket.missing, Tokens(9_050));
}

#[test]
fn where_all_halls_are_evacuated_calls_are_refused_and_asked_back_later() {
    let mut d = two_halls();
    for name in ["barn", "yard"] {
        d.discovery
            .on_hall_change(at(10), hall(name), true, StoreRevision::first_era(3));
    }
    let plan = plan(RESUMABLE_STREAM, vec![part(1, 3_000)], 1);
    assert_eq!(
        d.choose(at(20), &plan).unwrap_err(),
        PlacementError::AllEvacuated
    );
    let left = Duration::from_secs(12);
    let pause = d.admission.retry_after(at(20), &plan.service, left, 0.0);
    assert!(pause >= Duration::from_secs(3), "{pause:?}");
    let other = scaleford::dispatcher::CallPlan {
        service: "unknown".parse().unwrap(),
        ..plan
    };
    assert_eq!(
        d.choose(at(20), &other).unwrap_err(),
        PlacementError::NoTarget
    );
}

/// An evacuation or its end may arrive late or twice, in a list or as a change, and after the store
/// lost its history.
#[rstest]
#[case::late_end(&[(true, 5), (false, 3)], true)]
#[case::late_beginning(&[(true, 5), (false, 7), (true, 5)], false)]
#[case::twice(&[(true, 5), (true, 5)], true)]
#[case::stated_anew(&[(true, 5), (false, 7), (true, 9)], true)]
#[case::end_of_what_never_began(&[(false, 4)], false)]
fn the_latest_statement_holds(#[case] changes: &[(bool, u64)], #[case] is_evacuated: bool) {
    let mut halls = Evacuations::default();
    for (i, (evacuated, revision)) in changes.iter().enumerate() {
        let now = at(i as u64);
        halls.on_change(
            now,
            hall("barn"),
            *evacuated,
            StoreRevision::first_era(*revision),
        );
    }
    assert_eq!(halls.is_evacuated(&hall("barn")), is_evacuated);
}

#[test]
fn a_list_states_all_halls_as_of_its_revision() {
    let mut halls = Evacuations::default();
    halls.on_change(at(0), hall("barn"), true, StoreRevision::first_era(5));
    let listed = vec![(hall("yard"), StoreRevision::first_era(6))];
    let changed = halls.on_list(at(10), listed, StoreRevision::first_era(8));
    assert_eq!(changed, [hall("yard"), hall("barn")]);
    assert!(halls.is_evacuated(&hall("yard")) && !halls.is_evacuated(&hall("barn")));
    assert_eq!(halls.taken_back_at(&hall("barn")), Some(at(10)));
    // An older list lacks evacuations that began after it.
    halls.on_change(at(20), hall("shed"), true, StoreRevision::first_era(9));
    assert!(
        halls
            .on_list(at(30), Vec::new(), StoreRevision::first_era(4))
            .is_empty()
    );
    assert!(halls.is_evacuated(&hall("shed")) && halls.is_evacuated(&hall("yard")));
}

/// Operators see the age of an evacuation, which a repeated statement must not reset.
#[test]
fn a_hall_that_is_stated_anew_was_evacuated_since_the_first_time() {
    let mut halls = Evacuations::default();
    halls.on_change(at(100), hall("barn"), true, StoreRevision::first_era(5));
    assert!(!halls.on_change(at(900), hall("barn"), true, StoreRevision::first_era(6)));
    let evacuated: Vec<_> = halls.evacuated().collect();
    assert_eq!(evacuated, [(&hall("barn"), at(100))]);
}

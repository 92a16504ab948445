//! Targets that refused a connection: which streams go on there, and until when they are in doubt.

use std::{collections::HashSet, time::Duration};

use rstest::rstest;
use scaleford::{
    discovery::{TargetRecord, TargetState},
    dispatcher::{CallPlan, Dispatcher},
    stream_origin::StreamProgress,
};

use super::{
    at, dispatcher, plan, record,
    stream_origin::{RESUMABLE, continuing, put, service, with_version},
};

/// Returns the instance of target `n` that started at `start`, of this version.
fn instance(n: usize, start: u64, version: &str) -> TargetRecord {
    TargetRecord {
        id: format!("t{n}~{start}").parse().unwrap(),
        ..with_version(n, version, TargetState::Ready)
    }
}

/// Returns a dispatcher with two instances of v1 (0 and 1), of which 0 refused a connection at 1 s.
fn refused() -> Dispatcher {
    let mut dispatcher = dispatcher(0);
    for n in 0..2 {
        put(&mut dispatcher, 0, 2, instance(n, 1, "v1"));
    }
    dispatcher.on_connection_refused(at(1_000), &instance(0, 1, "v1").id);
    dispatcher
}

/// Returns the targets at which streams of this progress go on, of many.
fn continued_at(dispatcher: &mut Dispatcher, ms: u64, progress: StreamProgress) -> HashSet<String> {
    let chosen = (0..50).filter_map(|hash| {
        let plan = CallPlan {
            progress,
            ..plan(RESUMABLE, Vec::new(), hash)
        };
        dispatcher.choose(at(ms), &plan).ok()
    });
    chosen.map(|t| t.target.id.to_string()).collect()
}

fn names(names: &[&str]) -> HashSet<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

/// Guards against ORDER: while the store was down, targets restarted in place as v2, and all streams of v1 went on
/// there (review/5).
#[test]
fn a_stream_does_not_go_on_at_a_target_that_may_have_restarted_in_place() {
    let mut dispatcher = refused();
    let v1 = continuing("v1", 0).progress;
    assert_eq!(continued_at(&mut dispatcher, 4_000, v1), names(&["t1~1"]));
    put(&mut dispatcher, 5_000, 3, instance(0, 2, "v1"));
    // The other one has the streams from before, and gets none of these.
    assert_eq!(continued_at(&mut dispatcher, 5_000, v1), names(&["t0~2"]));
}

/// Guards against ORDER: a stream that began at a target after it had restarted counted as one of its former version.
#[test]
fn a_stream_that_begins_at_a_target_that_may_have_restarted_has_an_origin_of_its_own() {
    let mut dispatcher = refused();
    let mut progress = StreamProgress::NotBegun;
    let origin = dispatcher.on_stream_begun(at(2_000), &instance(0, 1, "v1"));
    progress.on_event(1, origin);
    assert_eq!(
        continued_at(&mut dispatcher, 2_500, progress),
        names(&["t0~1"])
    );
    put(&mut dispatcher, 5_000, 3, instance(0, 2, "v2"));
    assert_eq!(
        continued_at(&mut dispatcher, 5_000, progress),
        HashSet::new()
    );
    let discovery = &dispatcher.discovery;
    assert!(discovery.has_mixed_versions(at(5_000), service()));
}

/// Guards against LOST: a target that only refused connections for a moment would get no streams of its version
/// until its entry changes.
#[rstest]
#[case::answered_and_listed(Some(1_500), None, 4_000, true)]
#[case::listed_too_soon(Some(1_500), None, 3_900, false)]
#[case::not_answered(None, None, 10_900, false)]
#[case::not_answered_and_long_listed(None, None, 11_000, true)]
#[case::store_returned(Some(1_500), Some(5_000), 7_400, false)]
#[case::listed_since_the_store_returned(Some(1_500), Some(5_000), 7_500, true)]
fn a_target_that_refused_connections_and_kept_its_entry_did_not_restart(
    #[case] answered: Option<u64>,
    #[case] store_returned: Option<u64>,
    #[case] confirmed: u64,
    #[case] is_settled: bool,
) {
    let mut dispatcher = refused();
    let id = instance(0, 1, "v1").id;
    if let Some(ms) = answered {
        dispatcher.doubts.on_answered(at(ms), at(ms - 100), &id);
    }
    if let Some(ms) = store_returned {
        dispatcher.on_store_available(at(ms), Duration::ZERO);
    }
    dispatcher.doubts.on_list_confirmed(at(confirmed));
    assert_eq!(dispatcher.doubts.since(&id).is_none(), is_settled);
}

/// Guards against ORDER at a router that opened no connection while the target was down; a notice that is late
/// does not renew a doubt that is over.
#[test]
fn routers_tell_one_another_of_targets_that_may_have_restarted() {
    let id = instance(0, 1, "v1").id;
    let notices = refused().doubts.notices(at(1_200));
    let mut peer = dispatcher(0);
    peer.doubts.on_notices(at(1_210), &notices);
    assert!(peer.doubts.since(&id).is_some());
    peer.doubts.on_answered(at(1_500), at(1_400), &id);
    peer.doubts.on_list_confirmed(at(4_100));
    peer.doubts
        .on_notices(at(4_200), &refused().doubts.notices(at(4_100)));
    assert_eq!(peer.doubts.since(&id), None);
}

/// Guards against LOST: a target whose ids differ after each start rejects calls to its former instance.
#[test]
fn a_target_with_an_id_for_each_start_is_never_in_doubt() {
    let mut dispatcher = dispatcher(2);
    let id = record(0).id;
    dispatcher.on_connection_refused(at(1_000), &id);
    assert_eq!(dispatcher.doubts.since(&id), None);
}

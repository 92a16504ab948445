//! The check that a planned stop cuts off no answer, with a simulated router in front of a target and its link.

#[path = "support/router.rs"]
mod router;

use std::rc::Rc;

use router::{AfterSecondEvent, run, stream};
use rstest::rstest;
use soak::{
    promises::{CallOutcome, Promise, PromiseChecker},
    stops::ProcessState,
    target::TargetBehavior,
};
use tokio::time::Instant;

/// Sends a stream through the router, whose process may be killed during it; returns whether it counts as cut
/// off by a stop.
async fn is_reported(
    behavior: TargetBehavior,
    after: AfterSecondEvent,
    process: &ProcessState,
    is_killed: bool,
) -> bool {
    let promises = Rc::new(PromiseChecker::default());
    let sent_at = Instant::now();
    let outcome = stream(&promises, behavior, after, "stream-0-0-1").await;
    if is_killed {
        process.on_disruption();
    }
    promises.check_stop("stream-0-0-1", &outcome, process, sent_at);
    has_cut(&promises)
}

fn has_cut(promises: &PromiseChecker) -> bool {
    let violations = promises.verdict().violations();
    violations.contains(&Promise::StopCutsNothing)
}

/// The check missed a cut once the run had taken the child process to wait for its end, and took an answer that
/// its target had truncated for one that the stop had cut.
#[rstest]
#[case::router_cuts(TargetBehavior::Healthy, AfterSecondEvent::RouterCuts, true)]
#[case::target_truncates(TargetBehavior::Truncating, AfterSecondEvent::Nothing, false)]
#[case::link_resets(TargetBehavior::Healthy, AfterSecondEvent::LinkResets, false)]
#[case::whole_answer(TargetBehavior::Healthy, AfterSecondEvent::Nothing, false)]
fn only_answers_that_a_stopping_router_cut_count(
    #[case] behavior: TargetBehavior,
    #[case] after: AfterSecondEvent,
    #[case] reported: bool,
) {
    let process = ProcessState::default();
    process.on_stop_requested();
    let found = run(is_reported(behavior, after, &process, false));
    assert_eq!(found, reported);
}

/// A router that is killed, or that ends without having been asked to stop, cuts streams without breaking the
/// promise on stops.
#[rstest]
#[case::killed_during_its_stop(true, true)]
#[case::not_asked_to_stop(false, false)]
fn other_ends_of_a_router_do_not_count(#[case] stop_requested: bool, #[case] is_killed: bool) {
    let process = ProcessState::default();
    if stop_requested {
        process.on_stop_requested();
    }
    let router_cuts = AfterSecondEvent::RouterCuts;
    let found = run(is_reported(
        TargetBehavior::Healthy,
        router_cuts,
        &process,
        is_killed,
    ));
    assert!(!found);
}

/// Only the latest attempt counts: a stream that another target resumed may be cut like any other.
#[test]
fn a_cut_after_a_resumed_truncation_counts() {
    let promises = PromiseChecker::default();
    let process = ProcessState::default();
    process.on_stop_requested();
    let truncated = CallOutcome::Response(200, Vec::new(), false);
    promises.attempts.on_arrival("stream-0-0-1", "i-1", None);
    promises.attempts.on_failed_by_target("stream-0-0-1", "i-1");
    promises.check_stop("stream-0-0-1", &truncated, &process, Instant::now());
    assert!(!has_cut(&promises));
    promises.attempts.on_arrival("stream-0-0-1", "i-1", None);
    promises.check_stop("stream-0-0-1", &truncated, &process, Instant::now());
    assert!(has_cut(&promises));
}

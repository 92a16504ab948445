//! The check that a request which was read ends in a whole answer or a refusal, with a simulated router in front
//! of a target and its link.

#[path = "support/router.rs"]
mod router;

use std::{rc::Rc, time::Duration};

use router::{AfterSecondEvent, run, stream};
use rstest::rstest;
use soak::{
    promises::{CallOutcome, Promise, PromiseChecker},
    silences::Silence,
    stops::ProcessState,
    target::TargetBehavior,
};
use tokio::time::{Instant, advance};

const CALL: &str = "stream-0-0-1";

const DEADLINE: Duration = Duration::from_secs(3);

/// Planned work beside a call.
#[derive(Debug, Clone, Copy)]
enum Work {
    Nothing,
    Stop,
    Reload,
    ConfigChange,
    Silence,
}

impl Work {
    fn begin(self, promises: &PromiseChecker, process: &ProcessState) {
        match self {
            Self::Nothing => {}
            Self::Stop => process.on_stop_requested(),
            Self::Reload => process.on_reload(),
            Self::ConfigChange => promises.planned.on_config_change(),
            Self::Silence => promises.planned.on_silence(),
        }
    }
}

fn is_reported(promises: &PromiseChecker) -> bool {
    promises.verdict().violations().contains(&Promise::Answered)
}

/// A router that drops a stream beside planned work loses it, whatever the work.
#[rstest]
#[case::stop(Work::Stop, true)]
#[case::reload(Work::Reload, true)]
#[case::config_change(Work::ConfigChange, true)]
#[case::silence(Work::Silence, true)]
#[case::no_work(Work::Nothing, false)]
fn a_stream_that_the_router_drops_is_lost(#[case] work: Work, #[case] reported: bool) {
    let after = AfterSecondEvent::RouterCuts;
    assert_eq!(is_lost(work, TargetBehavior::Healthy, after), reported);
}

/// What a target or a link broke off is no loss of the router's.
#[rstest]
#[case::target_truncates(TargetBehavior::Truncating, AfterSecondEvent::Nothing)]
#[case::link_resets(TargetBehavior::Healthy, AfterSecondEvent::LinkResets)]
#[case::whole_answer(TargetBehavior::Healthy, AfterSecondEvent::Nothing)]
fn what_the_router_did_not_end_is_not_lost(
    #[case] behavior: TargetBehavior,
    #[case] after: AfterSecondEvent,
) {
    assert!(!is_lost(Work::Silence, behavior, after));
}

fn is_lost(work: Work, behavior: TargetBehavior, after: AfterSecondEvent) -> bool {
    run(async {
        let promises = Rc::new(PromiseChecker::default());
        let process = ProcessState::default();
        work.begin(&promises, &process);
        let sent_at = Instant::now();
        let outcome = stream(&promises, behavior, after, CALL).await;
        promises.check_loss(CALL, &outcome, &process, sent_at, DEADLINE);
        is_reported(&promises)
    })
}

/// How a call ended, after how many milliseconds, and whether it had reached a target.
struct Ending(CallOutcome, u64, bool);

fn no_answer(after_ms: u64, has_arrived: bool) -> Ending {
    Ending(CallOutcome::NoResponse, after_ms, has_arrived)
}

fn failure(status: u16) -> Ending {
    Ending(CallOutcome::Response(status, Vec::new(), true), 50, true)
}

/// A close that crosses a request is no loss; one after the request reached a target or must have been read is.
#[rstest]
#[case::crossed(no_answer(50, false), false)]
#[case::read(no_answer(300, false), true)]
#[case::passed_on(no_answer(50, true), true)]
#[case::until_the_deadline(no_answer(3_000, true), false)]
#[case::refused(failure(503), false)]
#[case::failed_by_the_router(failure(502), true)]
#[tokio::test(start_paused = true)]
async fn a_request_that_was_read_and_not_answered_is_lost(
    #[case] ending: Ending,
    #[case] reported: bool,
) {
    let Ending(outcome, after_ms, has_arrived) = ending;
    let (promises, process) = (PromiseChecker::default(), ProcessState::default());
    promises.planned.on_config_change();
    let sent_at = Instant::now();
    if has_arrived {
        promises.attempts.on_arrival(CALL, "i-1", None);
    }
    advance(Duration::from_millis(after_ms)).await;
    promises.check_loss(CALL, &outcome, &process, sent_at, DEADLINE);
    assert_eq!(is_reported(&promises), reported);
}

/// A call may pass through another router than its own, which is killed.
#[tokio::test(start_paused = true)]
async fn a_call_during_which_a_router_is_killed_is_not_lost_by_its_own() {
    let (promises, process) = (PromiseChecker::default(), ProcessState::default());
    promises.planned.on_config_change();
    let sent_at = Instant::now();
    promises.attempts.on_arrival(CALL, "i-1", None);
    advance(Duration::from_millis(50)).await;
    promises.planned.on_router_disrupted();
    promises.check_loss(CALL, &CallOutcome::NoResponse, &process, sent_at, DEADLINE);
    assert!(!is_reported(&promises));
}

/// A process takes requests until it is gone, some time after it was killed.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_sent_to_a_killed_router_is_not_lost_by_it() {
    let (promises, process) = (PromiseChecker::default(), ProcessState::default());
    promises.planned.on_config_change();
    process.on_killed();
    advance(Duration::from_millis(50)).await;
    let sent_at = Instant::now();
    advance(Duration::from_millis(300)).await;
    promises.check_loss(CALL, &CallOutcome::NoResponse, &process, sent_at, DEADLINE);
    assert!(!is_reported(&promises));
}

/// Draws in quick succession would otherwise join to a silence that lasts until deadlines.
#[tokio::test(start_paused = true)]
async fn a_silence_is_not_prolonged() {
    let silence = Silence::default();
    let began = Instant::now();
    silence.begin(Duration::from_millis(1_000));
    advance(Duration::from_millis(900)).await;
    silence.begin(Duration::from_millis(1_000));
    silence.until_over().await;
    assert!(began.elapsed() < Duration::from_millis(1_100));
}

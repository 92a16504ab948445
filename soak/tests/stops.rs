//! The check that a planned stop cuts off no answer, with a simulated router in front of a target and its link.

use std::{future::Future, net::SocketAddr, rc::Rc};

use rstest::rstest;
use soak::{
    callers::Caller,
    link::{Link, LinkFault},
    promises::{CallOutcome, Promise, PromiseChecker},
    stops::ProcessState,
    target::{Target, TargetBehavior},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// Text of the event of a stream after which something happens: the second of twelve.
const SECOND_EVENT: &[u8] = b"id: 2\n";

/// What happens to the router or the link after the second event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterSecondEvent {
    Nothing,
    /// The router closes its connections.
    RouterCuts,
    /// The link to the target resets its connections.
    LinkResets,
}

/// Starts a router that forwards one call to the target and the answer back. It closes the caller's connection
/// when the target's connection ends.
async fn start_router(link: Rc<Link>, after: AfterSecondEvent) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (caller, _) = listener.accept().await.unwrap();
        let target = TcpStream::connect(link.address).await.unwrap();
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_target, mut to_target) = target.into_split();
        let requests = tokio::io::copy(&mut from_caller, &mut to_target);
        let responses = async {
            let (mut answer, mut buf) = (Vec::new(), [0; 64]);
            while let Ok(n @ 1..) = from_target.read(&mut buf).await {
                to_caller.write_all(&buf[..n]).await.unwrap();
                answer.extend_from_slice(&buf[..n]);
                let is_second = answer
                    .windows(SECOND_EVENT.len())
                    .any(|w| w == SECOND_EVENT);
                match after {
                    AfterSecondEvent::RouterCuts if is_second => return,
                    AfterSecondEvent::LinkResets if is_second => link.set_fault(LinkFault::Reset),
                    _ => {}
                }
            }
        };
        tokio::select! {
            _ = requests => {}
            () = responses => {}
        }
    });
    address
}

/// Sends a stream through the router, whose process may be killed during it; returns whether it counts as cut
/// off by a stop.
async fn is_reported(
    behavior: TargetBehavior,
    after: AfterSecondEvent,
    process: &ProcessState,
    is_killed: bool,
) -> bool {
    let promises = Rc::new(PromiseChecker::default());
    // The callers name no target, so the target gets the empty name.
    let (target, address) = Target::start("", &promises).await;
    target.behavior.set(behavior);
    let link = Link::start(address).await.unwrap();
    target.link.get_or_init(|| Rc::clone(&link));
    let router = start_router(link, after).await;
    let mut caller = Caller::connect(router).await.unwrap();
    let sent_at = Instant::now();
    let outcome = caller.call("stream", "stream-0-0-1", "key").await;
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

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
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
    promises.attempts.on_arrival("stream-0-0-1", None);
    promises.attempts.on_failed_by_target("stream-0-0-1");
    promises.check_stop("stream-0-0-1", &truncated, &process, Instant::now());
    assert!(!has_cut(&promises));
    promises.attempts.on_arrival("stream-0-0-1", None);
    promises.check_stop("stream-0-0-1", &truncated, &process, Instant::now());
    assert!(has_cut(&promises));
}

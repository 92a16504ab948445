//! Bounds on what a router holds for callers and targets, and which callers are given up.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    Error, Settings,
    flow::{AnswerId, Flow, FlowBounds, GiveUpReason, HoldVerdict, STALL_LIMIT},
    ids::ClientAccountId,
    settings::Source,
    units::{ByteCount, Instant},
};

/// Interval of the router's ticks, in milliseconds.
const TICK_MS: u64 = 100;

const SMALL: FlowBounds = FlowBounds {
    router: 1_000,
    account: 600,
    stream: 400,
    requests: 500,
};

fn account(name: &str) -> ClientAccountId {
    name.parse().unwrap()
}

/// Opens a stream of an account, and holds and offers `n` bytes of it.
fn stream(flow: &mut Flow, of: &str, n: usize) -> AnswerId {
    let id = flow.open(Some(&account(of)), true);
    fill(flow, id, n);
    id
}

fn fill(flow: &mut Flow, id: AnswerId, n: usize) {
    assert_eq!(flow.hold(id, n), HoldVerdict::Held);
    flow.offer(id, n);
}

/// Returns the answers that are given up, with the reasons.
fn given_up(verdict: HoldVerdict) -> Vec<(AnswerId, GiveUpReason)> {
    match verdict {
        HoldVerdict::GiveUp(callers) => callers.iter().map(|c| (c.answer, c.reason)).collect(),
        other => panic!("{other:?}"),
    }
}

/// Advances the clock from `from` by `time` in ticks, and returns the answers that are given up.
fn pass(flow: &mut Flow, from: Instant, time: Duration) -> Vec<(AnswerId, GiveUpReason)> {
    let ticks = time.as_millis() as u64 / TICK_MS;
    let now = |i| from + Duration::from_millis(i * TICK_MS);
    let callers: Vec<_> = (1..=ticks).flat_map(|i| flow.on_tick(now(i))).collect();
    callers.iter().map(|c| (c.answer, c.reason)).collect()
}

/// Guards against a stream that takes the place of all others.
#[test]
fn a_stream_beyond_its_bound_gives_its_own_caller_up() {
    let mut flow = Flow::new(SMALL);
    let other = stream(&mut flow, "a", 200);
    let id = stream(&mut flow, "b", 400);
    assert_eq!(
        given_up(flow.hold(id, 1)),
        [(id, GiveUpReason::StreamBound)]
    );
    assert_eq!(
        flow.hold(other, 100),
        HoldVerdict::Held,
        "the other goes on"
    );
}

/// Guards against one account that takes the memory of all others: the caller that is given up is its own.
#[test]
fn an_account_beyond_its_bound_gives_up_its_own_slowest_caller() {
    let mut flow = Flow::new(SMALL);
    let of_another = stream(&mut flow, "b", 390);
    let slow = stream(&mut flow, "a", 300);
    let quick = stream(&mut flow, "a", 250);
    assert_eq!(
        pass(&mut flow, Instant::default(), Duration::from_secs(2)),
        []
    );
    flow.on_progress(quick);
    assert_eq!(
        given_up(flow.hold(quick, 60)),
        [(slow, GiveUpReason::AccountBound)]
    );
    assert_eq!(
        flow.hold(quick, 60),
        HoldVerdict::Wait,
        "until the bytes are released"
    );
    flow.close(slow);
    assert_eq!(flow.hold(quick, 60), HoldVerdict::Held);
    assert_eq!(flow.held_of(of_another), 390);
}

/// Guards against giving up whoever comes next when the router's bound is reached: it is the caller that has
/// held most for the longest without reading.
#[test]
fn at_the_bound_of_the_router_the_one_that_holds_most_for_the_longest_is_given_up() {
    let mut flow = Flow::new(SMALL);
    let small = stream(&mut flow, "a", 100);
    let large = stream(&mut flow, "b", 300);
    assert_eq!(
        pass(&mut flow, Instant::default(), Duration::from_secs(2)),
        []
    );
    let reading = stream(&mut flow, "c", 350);
    let newcomer = stream(&mut flow, "d", 200);
    flow.on_progress(reading);
    assert_eq!(
        given_up(flow.hold(newcomer, 100)),
        [(large, GiveUpReason::RouterBound)]
    );
    flow.close(large);
    assert_eq!(flow.hold(newcomer, 100), HoldVerdict::Held);
    assert_eq!(flow.held_of(small), 100);
}

/// Guards against the loss of a ready answer whose caller reads: a stream in progress goes first, and then
/// the answer that there is no room for.
#[test]
fn a_ready_answer_is_not_given_up_while_its_caller_reads() {
    let mut flow = Flow::new(SMALL);
    let ready = flow.open(Some(&account("a")), false);
    fill(&mut flow, ready, 500);
    flow.on_complete(ready);
    let running = stream(&mut flow, "b", 300);
    let growing = flow.open(Some(&account("c")), false);
    assert_eq!(flow.hold(growing, 200), HoldVerdict::Held);
    assert_eq!(
        given_up(flow.hold(growing, 100)),
        [(running, GiveUpReason::RouterBound)]
    );
    flow.close(running);
    assert_eq!(flow.hold(growing, 300), HoldVerdict::Held);
    assert_eq!(
        given_up(flow.hold(growing, 1)),
        [(growing, GiveUpReason::RouterBound)]
    );
    assert_eq!(flow.held_of(ready), 500);
}

/// Guards against callers of streams that are given up one after the other, as a target sends a plain answer without end.
#[rstest]
#[case::of_its_account("a", GiveUpReason::AccountBound)]
#[case::of_another_account("b", GiveUpReason::RouterBound)]
fn a_plain_answer_without_end_is_refused_before_streams_that_are_read(
    #[case] of: &str,
    #[case] reason: GiveUpReason,
) {
    let mut flow = Flow::new(SMALL);
    let streams: Vec<_> = (0..4).map(|_| stream(&mut flow, "a", 50)).collect();
    let others = stream(&mut flow, "c", 250);
    let endless = flow.open(Some(&account(of)), false);
    assert_eq!(flow.hold(endless, 350), HoldVerdict::Held);
    let growing = streams[0];
    let verdict = flow.hold(growing, 201);
    let HoldVerdict::GiveUp(callers) = verdict else {
        panic!("{verdict:?}");
    };
    let given_up: Vec<_> = callers.iter().map(|c| (c.answer, c.reason)).collect();
    assert_eq!(given_up, [(endless, reason)]);
    assert!(!callers[0].has_begun, "so that its call can be refused");
    assert_eq!(flow.held_of(others), 250);
}

/// Guards against a caller that reads nothing and stays below all bounds, and against giving up one that
/// reads a little, or whose target sends nothing.
#[test]
fn a_caller_that_reads_nothing_for_long_is_given_up_below_the_bounds() {
    let mut flow = Flow::new(SMALL);
    let unread = stream(&mut flow, "a", 10);
    let slow = stream(&mut flow, "a", 10);
    let waits_for_target = flow.open(None, true);
    assert_eq!(
        flow.hold(waits_for_target, 10),
        HoldVerdict::Held,
        "and nothing is offered"
    );
    let early = STALL_LIMIT - Duration::from_millis(TICK_MS);
    assert_eq!(pass(&mut flow, Instant::default(), early), []);
    flow.on_progress(slow);
    let last = Duration::from_millis(TICK_MS);
    let given_up = pass(&mut flow, Instant::default() + early, last);
    assert_eq!(given_up, [(unread, GiveUpReason::NotReading)]);
}

/// Guards against callers that are given up because the router itself was suspended.
#[test]
fn a_suspension_of_the_router_is_not_a_pause_of_its_callers() {
    let mut flow = Flow::new(SMALL);
    stream(&mut flow, "a", 10);
    assert_eq!(flow.on_tick(Instant::from_millis(TICK_MS)), []);
    assert_eq!(flow.on_tick(Instant::from_millis(60_000)), []);
}

/// Guards against request bodies that outgrow the router, and against a count that is not taken back.
#[test]
fn request_bodies_are_bounded() {
    let mut flow = Flow::new(SMALL);
    assert!(flow.hold_request(450) && !flow.hold_request(51));
    assert!(!flow.has_room_for_request(usize::MAX), "no overflow");
    flow.release_request(450);
    assert!(flow.has_room_for_request(500));
}

/// Guards against bounds that usual deployments meet: as many calls as a VM has connections, each with a
/// whole stream of the users' sites (136 events of 300 bytes) unread, or a plain answer, or a long prompt.
#[rstest]
#[case::streams(true, 136 * 300)]
#[case::plain_answers(false, 8 << 10)]
fn usual_calls_meet_no_bound(#[case] is_stream: bool, #[case] answer_bytes: usize) {
    // The platform's VMs have 4,100 descriptors, which are enough for 1,900 callers. A router has some tens
    // of calls in progress there; a tenth of its callers with a whole answer unread is far above that.
    const UNREAD_ANSWERS: usize = 190;
    const PROMPT_BYTES: usize = 16 << 10;
    let mut flow = Flow::new(FlowBounds::from_memory(ByteCount(160 << 20)));
    for n in 0..UNREAD_ANSWERS {
        let id = flow.open(Some(&account(&format!("account-{}", n % 2))), is_stream);
        assert_eq!(flow.hold(id, answer_bytes), HoldVerdict::Held);
        flow.offer(id, answer_bytes);
    }
    assert!((0..1_900).all(|_| flow.hold_request(PROMPT_BYTES)));
}

#[rstest]
#[case::smallest(FlowBounds::MIN_MEMORY.0)]
#[case::platform(160 << 20)]
#[case::product(1 << 30)]
fn bounds_follow_from_the_memory(#[case] memory: usize) {
    let bounds = FlowBounds::from_memory(ByteCount(memory));
    assert!(bounds.router + bounds.requests <= memory / 2);
    assert!(bounds.stream <= bounds.account && bounds.account < bounds.router);
    // An event of the maximum size fits, with the one before it.
    assert!(bounds.stream >= 2 << 20);
}

/// Required settings of a router, and a memory limit.
struct WithMemory(&'static str);

impl Source for WithMemory {
    fn value(&self, name: &str) -> Option<String> {
        let value = match name {
            "vm" => "vm-1",
            "listen" | "peer_listen" | "operator_listen" | "platform" => "127.0.0.1:0",
            "operator_tokens" => "watch:long-enough",
            "memory_limit" => self.0,
            _ => return None,
        };
        Some(value.to_owned())
    }
}

/// Guards against a memory limit that is misread, or too small to serve any call.
#[rstest]
#[case::megabytes("160m", Ok(160 << 20))]
#[case::gigabytes("2g", Ok(2 << 30))]
#[case::too_small("15m", Err(r#"got "15728640", expected 16m or more"#))]
#[case::no_size(
    "much",
    Err(r#"got "much", expected bytes from 16m, optionally with the suffix k, m or g"#)
)]
fn the_memory_limit_is_checked(
    #[case] given: &'static str,
    #[case] expected: Result<usize, &'static str>,
) {
    let resolved = Settings::resolve(&WithMemory(given)).and_then(Settings::check);
    let bytes = resolved.map(|s| s.gateway().memory.0);
    let setting = "--memory-limit (SCALEFORD_MEMORY_LIMIT): ";
    match (bytes, expected) {
        (Err(e), Err(expected)) => {
            let Error::Settings(faults) = e else {
                panic!("{e}");
            };
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            assert_eq!(
                faults,
                [format!("error 1001 bad_settings: {setting}{expected}")]
            );
        }
        (bytes, expected) => assert_eq!(bytes.ok(), expected.ok()),
    }
}

proptest! {
    /// Guards against bytes that are counted twice or not released: whatever is held and released in which
    /// order, the bounds are kept, and nothing is held in the end.
    #[test]
    fn bounds_are_kept_and_all_bytes_are_released(
        steps in prop::collection::vec((0_usize..12, 1_usize..200, 0_u8..4), 1..200),
    ) {
        let mut flow = Flow::new(SMALL);
        let names = ["a", "b", "c"];
        let ids: Vec<_> = (0..12).map(|n| flow.open(Some(&account(names[n % 3])), n % 2 == 0)).collect();
        let mut held = vec![0; ids.len()];
        for (i, (n, bytes, what)) in steps.into_iter().enumerate() {
            let id = ids[n];
            match what {
                0 => {
                    flow.release(id, held[n], held[n]);
                    held[n] = 0;
                }
                1 => drop(flow.on_tick(Instant::from_millis(i as u64 * 400))),
                _ => if flow.hold(id, bytes) == HoldVerdict::Held {
                    flow.offer(id, bytes);
                    held[n] += bytes;
                },
            }
            prop_assert_eq!(flow.held(), held.iter().sum::<usize>());
            prop_assert!(flow.held() <= SMALL.router && flow.peak() <= SMALL.router);
            prop_assert!(names.iter().all(|a| flow.held_for(&account(a)) <= SMALL.account));
        }
        ids.into_iter().for_each(|id| flow.close(id));
        prop_assert_eq!((flow.held(), flow.largest_account()), (0, None));
    }
}

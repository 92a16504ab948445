//! Call limits of targets, and retry delays of refused callers.

use std::time::Duration;

use rstest::rstest;
use scaleford::{
    admission::{
        Admission, CallTraits, MAX_WAITING_CALLS, wait_for_config,
        warm_up::{ColdRule, ColdShares, WarmUp, Warmth},
    },
    membership::heartbeats::VmHash,
};

use crate::{at, hall};

const GOAL: Duration = Duration::from_millis(300);

const WITH_CACHE_AFFINITY: CallTraits = CallTraits {
    has_cache_affinity: true,
    is_surging: false,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn with_slot_time(slot_time: Duration) -> Admission {
    let mut admission = Admission::new(hall("yard"));
    for _ in 0..100 {
        admission.on_slot_time(&"writer".parse().unwrap(), slot_time);
    }
    admission
}

/// Short calls may queue at a target, as a slot becomes free at once; long ones may not.
#[rstest]
#[case::plain(ms(15), 6, 18)]
#[case::slow_plain(ms(60), 6, 9)]
#[case::short_streams(ms(300), 64, 70)]
#[case::long_streams(ms(3_000), 64, 65)]
#[case::at_least_one(ms(3_000), 1, 1)]
fn a_target_may_have_its_slots_and_what_comes_free_in_time(
    #[case] slot_time: Duration,
    #[case] slots: u32,
    #[case] max_calls: u32,
) {
    let limit = with_slot_time(slot_time).limit(&"writer".parse().unwrap(), GOAL);
    assert_eq!(limit.max_calls(slots, WITH_CACHE_AFFINITY), max_calls);
}

#[test]
fn only_the_slots_count_before_anything_is_learned() {
    let limit = Admission::new(hall("yard")).limit(&"writer".parse().unwrap(), GOAL);
    assert_eq!(limit.max_calls(16, WITH_CACHE_AFFINITY), 16);
    let without_affinity = CallTraits::default();
    assert_eq!(
        limit.max_calls(16, without_affinity),
        12,
        "a quarter is kept"
    );
    let surging = CallTraits {
        is_surging: true,
        ..WITH_CACHE_AFFINITY
    };
    assert_eq!(limit.max_calls(16, surging), 14, "some are for others");
}

/// The retry delay never exceeds a third of the caller's waiting time, which is what callers heed,
/// and jitter spreads callers that were refused together.
#[test]
fn a_refused_caller_comes_back_when_the_shortage_may_be_over() {
    let mut admission = with_slot_time(ms(500));
    let service = "writer".parse().unwrap();
    let retry_after = |admission: &Admission, now, left, jitter| {
        admission
            .retry_after(at(now), &service, ms(left), jitter)
            .as_millis()
    };
    assert_eq!(
        retry_after(&admission, 0, 60_000, 0.0),
        500,
        "when calls end"
    );
    admission.on_refused(at(1_000), &service);
    assert_eq!(retry_after(&admission, 1_000, 60_000, 0.0), 3_000);
    assert_eq!(retry_after(&admission, 1_000, 60_000, 1.0), 1_800);
    assert_eq!(retry_after(&admission, 1_000, 6_000, 0.0), 2_000);
    for t in 1..8 {
        admission.on_refused(at(1_000 + t * 500), &service);
    }
    assert_eq!(
        retry_after(&admission, 4_500, 60_000, 0.0),
        6_500,
        "older ones last longer"
    );
    admission.on_refused(at(9_000), &service);
    assert_eq!(
        retry_after(&admission, 9_000, 60_000, 0.0),
        3_000,
        "a new one"
    );
}

#[rstest]
#[case::just_started(0, 10_000, 0, Some(1_000))]
#[case::leaves_two_thirds_of_its_time(0, 600, 0, Some(200))]
#[case::soon_over(900, 10_000, 0, Some(100))]
#[case::last_one_with_room(0, 600, MAX_WAITING_CALLS - 1, Some(200))]
#[case::too_many_wait(0, 600, MAX_WAITING_CALLS, None)]
#[case::none_is_expected(1_000, 10_000, 0, None)]
#[case::started_long_ago(60_000, 10_000, 0, None)]
fn calls_wait_for_a_first_configuration_only_where_one_is_expected(
    #[case] age: u64,
    #[case] time_left: u64,
    #[case] waiting: usize,
    #[case] wait: Option<u64>,
) {
    let found = wait_for_config(ms(age), ms(time_left), waiting);
    assert_eq!(found, wait.map(ms));
}

/// A caller that is refused before the first configuration was told to return a second later however long the
/// router had run, up to a second after its configuration had arrived.
#[rstest]
#[case::just_started(0, 1_000)]
#[case::half_of_the_time_is_over(500, 500)]
#[case::overdue(800, 800)]
#[case::store_unavailable(4_000, 4_000)]
fn callers_return_when_the_first_configuration_is_expected(#[case] age: u64, #[case] pause: u64) {
    let admission = Admission::new(hall("yard"));
    let found = admission.retry_after_startup(ms(age), ms(60_000), 0.0);
    assert_eq!(found, ms(pause));
}

/// Sends calls of several accounts, each at its rate in calls per second, from `from_s` to `to_s`.
/// Returns the number of surging calls of each account.
fn count_surging_calls(
    admission: &mut Admission,
    from_s: u64,
    to_s: u64,
    rates: &[u64],
) -> Vec<u64> {
    let mut found = vec![0; rates.len()];
    for t in from_s * 1_000..to_s * 1_000 {
        for (n, rate) in rates.iter().enumerate() {
            let account = format!("a{n}").parse().unwrap();
            let calls = (t + 1) * rate / 1_000 - t * rate / 1_000;
            for _ in 0..calls {
                found[n] += u64::from(admission.on_call(at(t), &account).is_surging());
            }
        }
    }
    found
}

#[test]
fn an_account_that_sends_many_times_its_usual_surges() {
    let mut admission = Admission::new(hall("yard"));
    assert_eq!(
        count_surging_calls(&mut admission, 0, 10, &[2, 2, 10]),
        [0, 0, 0]
    );
    let found = count_surging_calls(&mut admission, 10, 16, &[40, 2, 10]);
    assert!(found[0] > 200, "{found:?} of 240");
    assert_eq!(found[1..], [0, 0]);
    count_surging_calls(&mut admission, 16, 30, &[2, 2, 10]);
    assert_eq!(
        count_surging_calls(&mut admission, 30, 40, &[2, 2, 10]),
        [0, 0, 0]
    );
}

#[test]
fn nobody_surges_where_all_send_more_than_usual() {
    let mut admission = Admission::new(hall("yard"));
    count_surging_calls(&mut admission, 0, 10, &[2, 4, 10]);
    let found = count_surging_calls(&mut admission, 10, 16, &[8, 16, 40]);
    assert_eq!(found, [0, 0, 0]);
}

#[test]
fn an_account_that_has_just_come_does_not_surge() {
    let mut admission = Admission::new(hall("yard"));
    count_surging_calls(&mut admission, 0, 10, &[0, 4, 10]);
    assert_eq!(
        count_surging_calls(&mut admission, 10, 14, &[40, 4, 10]),
        [0, 0, 0]
    );
}

/// Returns the cold shares of each router. Each one lists all routers, itself first.
fn cold_shares(routers: usize, rule: ColdRule) -> Vec<ColdShares> {
    let name = |n: usize| VmHash::from(&format!("vm-{n}").parse().unwrap());
    let of = |me: usize| {
        let mut shares = ColdShares::new(rule);
        let others = (0..routers).filter(|n| *n != me);
        shares.set_routers(std::iter::once(me).chain(others).map(name).collect());
        shares
    };
    (0..routers).map(of).collect()
}

/// However many routers have calls for it, a cold target receives in any second no more than it can
/// serve, and at most half of the bound (but one call where the bound allows one).
#[rstest]
#[case::one_router(1, 8.9, 1.5, 5.0, 8)]
#[case::few_routers(3, 8.9, 1.5, 5.0, 6)]
#[case::some_routers(73, 8.9, 1.5, 5.0, 8)]
#[case::many_routers(380, 8.9, 1.5, 5.0, 8)]
#[case::half_of_the_bound(73, 8.9, 1.0, 0.0, 4)]
#[case::less_than_two(73, 1.2, 1.0, 0.0, 1)]
#[case::nothing_is_borne(73, 0.3, 1.0, 0.0, 0)]
fn a_cold_target_gets_its_part_in_any_second(
    #[case] routers: usize,
    #[case] calls_per_s: f64,
    #[case] excess: f64,
    #[case] extra: f64,
    #[case] max_calls: usize,
) {
    let warm_up = WarmUp {
        duration: Duration::from_secs(3),
        calls_per_s,
    };
    let mut fleet = cold_shares(routers, ColdRule { excess, extra });
    let target = "t1".parse().unwrap();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..4_000).step_by(10) {
        for shares in &mut fleet {
            if shares.warmth(at(ms), &target, warm_up) == Warmth::Shared {
                shares.on_send(at(ms), &target);
                sent.push(ms);
            }
        }
    }
    let within = |from: &u64| {
        sent.iter()
            .filter(|ms| (*from..from + 1_000).contains(ms))
            .count()
    };
    assert_eq!(sent.iter().map(within).max().unwrap_or_default(), max_calls);
}

#[test]
fn slot_times_learned_before_a_router_started_hold_until_it_learns_its_own() {
    let service = "writer".parse().unwrap();
    let mut admission = Admission::new(hall("yard"));
    let max_calls = |a: &Admission| a.limit(&service, GOAL).max_calls(16, WITH_CACHE_AFFINITY);
    assert_eq!(max_calls(&admission), 16);
    admission.on_restored_slot_time(&service, ms(30));
    assert_eq!(max_calls(&admission), 32, "a place comes free every 2 ms");
    (0..500).for_each(|_| admission.on_slot_time(&service, ms(300)));
    assert!((17..20).contains(&max_calls(&admission)));
    admission.on_restored_slot_time(&service, ms(30));
    assert!(
        (17..20).contains(&max_calls(&admission)),
        "its own goes first"
    );
}

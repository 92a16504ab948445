//! Guards against plain pools that stand idle while calls are refused, when callers want more than the pool
//! can serve and counts of calls in progress are older than a call lasts.
//!
//! Each target has six slots and takes 30 ms per call, so it can serve 200 calls a second.

use std::{ops::Range, time::Duration};

use rstest::rstest;
use scaleford::admission::shares::ShareScope;

use crate::model::{Load, Model, Service, Slowdown, WithdrawalSchedule};

/// Calls per second that one target can serve.
const TARGET_CAPACITY: f64 = 200.0;

/// Fraction of what the slots and the duration of calls allow that is to be answered in time.
const REQUIRED: f64 = 0.9;

/// Second in which the surge starts.
const SURGE_FROM_S: u64 = 2;

/// The checked seconds: from the second one of the surge to its end.
const CHECKED_SECONDS: Range<usize> = 3..9;

const POOL: Load = Load {
    slots: 6,
    prompts: 1,
    goal: Duration::from_millis(150),
    deadline: Duration::from_secs(1),
    service: Service::Plain,
    plain_queue: 24,
    bounded_retries: true,
    surge_from_s: SURGE_FROM_S,
    surge_to_s: CHECKED_SECONDS.end as u64,
    shares: ShareScope::AllPools,
    ..Load::CALM
};

/// Returns a load that is half of the pool's capacity and rises to `demand` times the capacity.
fn pool(routers: usize, targets: usize, demand: f64) -> Load {
    Load {
        routers,
        targets,
        hubs: routers > 30,
        calls_per_s: TARGET_CAPACITY * targets as f64 / 2.0,
        surge: demand * 2.0,
        ..POOL
    }
}

fn run(load: Load, seconds: &Range<usize>) -> Model {
    let mut model = Model::new(load);
    model.run(seconds.end as u64);
    model
}

/// Returns the answers in time as a fraction of `capacity` calls per second.
fn utilization(model: &Model, capacity: f64, seconds: Range<usize>) -> f64 {
    let n = seconds.len() as f64;
    let answers: u64 = model.answers_in_time(seconds).into_iter().sum();
    answers as f64 / n / capacity
}

fn assert_busy(load: Load, capacity: f64) {
    let model = run(load, &CHECKED_SECONDS);
    let used = utilization(&model, capacity, CHECKED_SECONDS);
    println!(
        "{} routers, {} targets, x{}: {used:.3}",
        load.routers,
        load.targets,
        load.surge / 2.0
    );
    assert!(used >= REQUIRED, "{used:.3} of the capacity");
}

/// With placement by counts, 7 routers keep the pool busy; 80, 380 and 985 routers use 0.64 to 0.87 of it.
#[rstest]
fn a_pool_that_is_asked_for_too_much_stays_busy(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(2, 3)] targets: usize,
    #[values(1.5, 3.0)] demand: f64,
) {
    let capacity = TARGET_CAPACITY * targets as f64;
    assert_busy(pool(routers, targets, demand), capacity);
}

/// With placement by counts, 80, 380 and 985 routers use 0.80, 0.57 and 0.64 of the pool.
#[rstest]
fn a_pool_of_thirty_targets_stays_busy(
    #[values((7, 1.5), (80, 3.0), (380, 1.5), (985, 3.0))] (routers, demand): (usize, f64),
) {
    assert_busy(pool(routers, 30, demand), TARGET_CAPACITY * 30.0);
}

/// One of three targets leaves when the surge starts. With placement by counts, 80 and 380 routers use 0.70 to
/// 0.84 of the other two. Routers do not send to a target that leaves once it told them, so with more
/// routers it answers more calls, which count as well.
#[rstest]
fn a_pool_of_which_a_target_leaves_stays_busy(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(1.5, 3.0)] demand: f64,
) {
    let leaving = WithdrawalSchedule {
        from: Duration::from_secs(SURGE_FROM_S),
        until: Duration::from_secs(60),
        shedding: 0,
        backoff_s: 1,
        leaving: 1,
    };
    let load = Load {
        withdrawing: Some(leaving),
        ..pool(routers, 3, demand)
    };
    assert_busy(load, TARGET_CAPACITY * 2.0);
}

/// One of three targets takes four times as long per call from the start of the surge. With placement by
/// counts, 7 routers use 0.89 of the pool, and 80, 380 and 985 routers 0.59 to 0.69.
#[rstest]
fn a_pool_of_which_a_target_slows_down_stays_busy(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(1.5, 3.0)] demand: f64,
) {
    let slowdown = Slowdown {
        from: Duration::from_secs(SURGE_FROM_S),
        targets: 1,
        factor: 4,
    };
    let load = Load {
        slowdown: Some(slowdown),
        ..pool(routers, 3, demand)
    };
    assert_busy(load, TARGET_CAPACITY * 2.25);
}

/// A call that finds a target's queue full is answered after 150 ms, so the pool answers in time only where
/// queues are kept short. With placement by counts, 0.28 to 0.39 of the capacity is answered in time.
#[rstest]
fn calls_are_in_time_where_full_queues_take_longer_than_the_goal(
    #[values(7, 80, 380, 985)] routers: usize,
) {
    let load = Load {
        goal: Duration::from_millis(120),
        ..pool(routers, 3, 3.0)
    };
    assert_busy(load, TARGET_CAPACITY * 3.0);
}

/// One account of ten sends thirty times its usual rate. The others ask for 0.45 of the capacity: all of
/// their calls are served, and the account gets what they leave. With placement by counts, 80, 380 and 985
/// routers serve 0.79, 0.63 and 0.69 of the others' calls and use 0.52 to 0.63 of the pool.
#[rstest]
fn a_surging_account_gets_what_others_leave(#[values(7, 80, 380, 985)] routers: usize) {
    let load = Load {
        surge: 1.0,
        account_surge: 30.0,
        surge_from_s: 6,
        surge_to_s: 13,
        ..pool(routers, 3, 0.0)
    };
    let seconds = 7..13;
    let model = run(load, &seconds);
    let others = model.others_in_time(seconds.clone());
    let used = utilization(&model, TARGET_CAPACITY * 3.0, seconds);
    println!("{routers} routers: others {others:.3}, {used:.3} of the capacity");
    assert!(others > 0.9, "{others:.3} of the others' calls");
    let later = model.others_in_time(9..13);
    println!("{later:.3} later");
    assert!(later > 0.95, "{later:.3} of the others' calls");
    assert!(used >= REQUIRED, "{used:.3} of the capacity");
}

/// Half of the accounts have a lower rank than the others, which alone want more than the capacity. With
/// placement by counts, both ranks are served alike (0.22 and 0.28).
#[rstest]
fn calls_of_low_rank_get_half_of_the_ratio(#[values(80, 985)] routers: usize) {
    let load = Load {
        low_rank_accounts: 5,
        ..pool(routers, 3, 3.0)
    };
    let model = run(load, &CHECKED_SECONDS);
    let urgent = model.accounts_in_time(CHECKED_SECONDS, 0..5);
    let low = model.accounts_in_time(CHECKED_SECONDS, 5..10);
    println!("{routers} routers: urgent {urgent:.3}, low {low:.3}");
    // Callers that return make the demand up to half as large again.
    assert!(low >= 0.5 / 3.0 / 1.5, "{low:.3} of low rank");
    assert!(urgent > low * 2.0, "{urgent:.3} of the urgent ones");
}

/// Two seconds after a surge, all routers know of its end and no call is refused. Room stays unused where
/// demand is measured too slowly.
#[rstest]
fn a_surge_that_ends_leaves_no_refusals(#[values(7, 80, 380, 985)] routers: usize) {
    let load = Load {
        surge_to_s: 5,
        ..pool(routers, 3, 3.0)
    };
    let model = run(load, &(0..9));
    let refused = model.refused_by_second(7..9);
    println!("{routers} routers: refused {refused:.3?}");
    assert!(refused.iter().all(|part| *part < 0.02), "{refused:?}");
}

/// The first second of a surge, in which routers know nothing of one another's calls yet.
#[rstest]
fn the_first_second_of_a_surge_is_no_worse_than_placement_by_counts(
    #[values(7, 80, 380, 985)] routers: usize,
) {
    let answers = |shares| {
        let load = Load {
            shares,
            ..pool(routers, 3, 3.0)
        };
        run(load, &(0..3)).answers_in_time(2..3)[0]
    };
    let (before, after) = (answers(ShareScope::Off), answers(ShareScope::AllPools));
    println!("{routers} routers: {before} answers before, {after} after");
    assert!(after as f64 >= before as f64 * 0.95);
}

/// A hub is silent until the second one takes over; sums are used meanwhile, and the pool stays busy.
#[rstest]
fn a_hub_that_dies_costs_nothing_before_sums_expire(#[values(80, 380)] routers: usize) {
    let load = Load {
        hubs_silent: Some((Duration::from_secs(4), Duration::from_millis(5_300))),
        ..pool(routers, 3, 3.0)
    };
    assert_busy(load, TARGET_CAPACITY * 3.0);
}

/// Hubs are silent for the rest of the run: once sums have expired, calls are placed by counts.
#[test]
fn calls_are_placed_by_counts_when_sums_have_expired() {
    let silent = |shares| {
        let load = Load {
            shares,
            surge_to_s: 12,
            hubs_silent: Some((Duration::from_secs(4), Duration::from_secs(60))),
            ..pool(80, 3, 3.0)
        };
        let model = run(load, &(0..12));
        utilization(&model, TARGET_CAPACITY * 3.0, 9..12)
    };
    let (before, after) = (silent(ShareScope::Off), silent(ShareScope::AllPools));
    println!("by counts {before:.3}, after the sums expired {after:.3}");
    assert!((before - after).abs() < 0.1, "{before:.3}, {after:.3}");
}

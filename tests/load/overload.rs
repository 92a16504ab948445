//! Loads beyond the targets' capacity, in virtual time, on the decision types that the daemon runs.
//!
//! Routers learn of one another's calls a tenth of a second late, targets have slots, a queue and a prompt
//! cache, and callers retry only once.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Load, Model, Outcome};

/// A surge to three times the targets' capacity (223 calls a second), from second 10 to second 16.
const SURGE: Load = Load {
    targets: 12,
    slots: 16,
    prompts: 60,
    calls_per_s: 150.0,
    surge: 4.5,
    surge_from_s: 10,
    surge_to_s: 16,
    goal: Duration::from_millis(400),
    deadline: Duration::from_secs(10),
    ..Load::CALM
};

/// The targets can answer a third of this surge and five sixths of a smaller one, counting new calls and
/// retries together. Where up to three calls per slot queue at targets, 0.00 and 0.24 of them are in time.
#[rstest]
#[case::three_times(1, 4.5, 0.17)]
#[case::three_times(2, 4.5, 0.17)]
#[case::three_times(3, 4.5, 0.17)]
#[case::a_fifth_more(1, 1.8, 0.6)]
#[case::a_fifth_more(2, 1.8, 0.6)]
#[case::a_fifth_more(3, 1.8, 0.6)]
fn a_surge_is_served_in_time_as_far_as_the_targets_can(
    #[case] seed: u64,
    #[case] surge: f64,
    #[case] least: f64,
) {
    let mut model = Model::new(Load {
        seed,
        surge,
        ..SURGE
    });
    model.run(20);
    let in_time = model.share(11..16, Outcome::InTime);
    assert!(in_time > least, "{in_time} in time");
    let calm = model.share(2..10, Outcome::InTime);
    assert!(calm > 0.99, "{calm} in time before the surge");
    let late = model.share(11..16, Outcome::Late);
    assert!(late < 0.4, "{late} late");
}

/// Where all targets are full, a slot that becomes free must not go to a call whose prompt has to be moved
/// there from another target. Without slots reserved for calls whose prompt is cached there, 200 to 250
/// tokens are moved per call.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_surge_does_not_scatter_prompts(#[case] seed: u64) {
    let mut model = Model::new(Load { seed, ..SURGE });
    model.run(16);
    let moved = model.moved_per_call(11..16);
    assert!(moved < 100.0, "{moved} tokens a call were moved");
}

/// Callers that were refused in a short surge are served at their one retry. Where they retry after a tenth
/// of a second, 0.8 of them are refused again.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn callers_that_were_refused_are_served_when_they_come_back(#[case] seed: u64) {
    let mut model = Model::new(Load {
        surge_to_s: 13,
        seed,
        ..SURGE
    });
    model.run(24);
    let again = model.refused_again();
    assert!(again < 0.6, "{again} of those refused were refused again");
}

/// One account of ten sends 30 times its usual load, four times as much as all others. The others are served
/// as usual, except for calls before the surge is detected. Where its calls take any free slot, a quarter of
/// the others' calls are in time.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn an_account_that_surges_does_not_take_the_service_of_others(#[case] seed: u64) {
    let mut model = Model::new(Load {
        surge: 1.0,
        account_surge: 30.0,
        seed,
        ..SURGE
    });
    model.run(18);
    let others = model.others_in_time(11..16);
    assert!(others > 0.7, "{others} of the others' calls in time");
}

/// After a step in the load, the fraction of refused calls settles, however many routers decide
/// independently.
#[rstest]
#[case::small(7, 12, 150.0)]
#[case::grown(87, 110, 1_375.0)]
#[case::design_size(380, 120, 1_500.0)]
fn refusals_do_not_swing(#[case] routers: usize, #[case] targets: usize, #[case] rate: f64) {
    let mut model = Model::new(Load {
        routers,
        targets,
        calls_per_s: rate,
        surge: 3.0,
        surge_from_s: 4,
        surge_to_s: 14,
        prompts: targets * 5,
        ..SURGE
    });
    model.run(14);
    // Six seconds after the step, refused callers retry at the rate at which others are refused.
    let shares = model.refused_by_second(10..14);
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let worst = shares.iter().map(|s| (s - mean).abs()).fold(0.0, f64::max);
    assert!(mean > 0.2, "{mean} refused: the load is too small");
    assert!(worst < 0.1, "{worst} beside {mean}: {shares:?}");
}

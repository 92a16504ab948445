//! Loads beyond what the targets can do, in virtual time, on the very decision types that the daemon
//! runs: routers that hear of one another's calls a tenth of a second late, before targets with slots,
//! a queue and a cache of prompts, and callers that try once more only.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Load, Model, Outcome};

/// A surge to three times what the targets can do (223 calls a second), from the tenth second to the
/// sixteenth.
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

/// The targets can answer a third of such a surge and five sixths of a smaller one, new calls and those
/// that come back together. Where calls queue at targets up to three for each slot, 0.00 and 0.24 of
/// them are in time.
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

/// Where all targets are full, a place that comes free is not taken by a call whose prompt has to be
/// moved there from another target: without places that are kept for calls whose prompt is there, 200 to
/// 250 tokens are moved for each call.
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

/// Callers that were refused in a short surge and try once more are served when they do; where they
/// come back after a tenth of a second, 0.8 of them are refused again.
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

/// One account of ten sends 30 times its usual, four times as much as all others: they are served as
/// ever but for what came before it was noticed. Where its calls take any place, a quarter of theirs are
/// in time.
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

/// After a step of load the share of refused calls settles, however many routers decide alone.
#[rstest]
#[case::small(7, 12, 150.0)]
#[case::grown(87, 110, 1_375.0)]
#[case::of_letter_1(380, 120, 1_500.0)]
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
    // Six seconds after the step callers that were refused come back as fast as others are refused.
    let shares = model.refused_by_second(10..14);
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let worst = shares.iter().map(|s| (s - mean).abs()).fold(0.0, f64::max);
    assert!(mean > 0.2, "{mean} refused: the load is too small");
    assert!(worst < 0.1, "{worst} beside {mean}: {shares:?}");
}

//! Targets that reject all calls and ask for a backoff, and targets that leave and announce it in their
//! responses alone, with a few routers and with hundreds.
//!
//! A router may send two calls to a target from half a second after the target asked for a backoff until the
//! backoff is over, and none to a target of which it passed on two seconds ago that it leaves.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Load, Model, Outcome, Service, WithdrawalSchedule};

const ENGINES: Load = Load {
    withdrawing: Some(WithdrawalSchedule {
        from: Duration::from_secs(4),
        until: Duration::from_secs(13),
        shedding: 3,
        backoff_s: 3,
        leaving: 1,
    }),
    ..Load::CALM
};

const PLAIN: Load = Load {
    targets: 3,
    slots: 6,
    calls_per_s: 20.0,
    goal: Duration::from_millis(150),
    deadline: Duration::from_millis(1_000),
    service: Service::Plain,
    withdrawing: Some(WithdrawalSchedule {
        from: Duration::from_secs(4),
        until: Duration::from_secs(13),
        shedding: 1,
        backoff_s: 3,
        leaving: 1,
    }),
    ..ENGINES
};

#[rstest]
#[case::engines(ENGINES)]
#[case::plain(PLAIN)]
#[case::engines_many(Load { routers: 295, targets: 165, calls_per_s: 900.0, hubs: true, withdrawing: many_withdrawals(50), ..ENGINES })]
#[case::engines_design_size(Load { routers: 380, targets: 400, calls_per_s: 1_800.0, hubs: true, withdrawing: many_withdrawals(120), ..ENGINES })]
fn what_targets_say_of_themselves_is_heeded(#[case] load: Load, #[values(1, 2, 3)] seed: u64) {
    let mut model = Model::new(Load { seed, ..load });
    model.run(20);
    let seen = model.withdrawal_results();
    assert!(seen.shed > 0);
    assert_eq!(seen.sent_to_leaving, 0);
    assert!(
        seen.most_within_backoff <= 2,
        "{}",
        seen.most_within_backoff
    );
    // Two thirds of the targets can serve the load, and afterwards all targets do.
    let served = model.share(5..13, Outcome::InTime) + model.share(5..13, Outcome::Late);
    assert!(served > 0.97, "{served} meanwhile");
    let served = model.share(14..18, Outcome::InTime);
    assert!(served > 0.9, "{served} afterwards");
}

fn many_withdrawals(shedding: usize) -> Option<WithdrawalSchedule> {
    Some(WithdrawalSchedule {
        shedding,
        leaving: shedding / 3,
        from: Duration::from_secs(4),
        until: Duration::from_secs(13),
        backoff_s: 3,
    })
}

/// Seconds of the run whose first tries are checked: by then, most targets have asked all routers for a
/// backoff.
const FIRST_TRIES: std::ops::Range<usize> = 5..7;
/// Maximum fraction of refused callers that are refused again: most callers that get the backoff from one of
/// the routers are served at their retry.
const MAX_REFUSED_AGAIN: f64 = 0.5;

/// Where all targets reject calls for a while, callers retry when the first target accepts calls again, and
/// are served then.
#[rstest]
#[case::engines(ENGINES, 9)]
#[case::plain(PLAIN, 3)]
fn callers_return_when_all_targets_want_calls_again(
    #[case] load: Load,
    #[case] targets: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let withdrawing = Some(WithdrawalSchedule {
        from: Duration::from_secs(4),
        until: Duration::from_millis(6_900),
        shedding: targets,
        backoff_s: 3,
        leaving: 0,
    });
    let mut model = Model::new(Load {
        seed,
        withdrawing,
        deadline: Duration::from_secs(10),
        ..load
    });
    model.run(20);
    let seen = model.withdrawal_results();
    assert!(
        seen.most_within_backoff <= 2,
        "{}",
        seen.most_within_backoff
    );
    // Each target asks each router for a backoff once, and some ask once more where calls are in progress.
    let most = load.routers * targets * 2;
    assert!(
        seen.shed <= most,
        "{} turned away, {most} expected",
        seen.shed
    );
    let again = model.refused_again_of(FIRST_TRIES);
    assert!(again < MAX_REFUSED_AGAIN, "{again} refused again");
    let served = model.share(8..18, Outcome::InTime);
    assert!(served > 0.9, "{served} afterwards");
}

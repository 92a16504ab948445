//! Targets that turn all calls away and ask for time, and targets that leave and say so in their answers alone, before few routers and
//! hundreds.
//!
//! What is allowed: two calls of one router to one target from half a second after it was asked for time until that is over; none to one
//! of which it passed on two seconds ago that it leaves.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Load, Model, Outcome, Service, Withdrawing};

const ENGINES: Load = Load {
    withdrawing: Some(Withdrawing {
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
    withdrawing: Some(Withdrawing {
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
#[case::engines_many(Load { routers: 295, targets: 165, calls_per_s: 900.0, hubs: true, withdrawing: many(50), ..ENGINES })]
#[case::engines_design_size(Load { routers: 380, targets: 400, calls_per_s: 1_800.0, hubs: true, withdrawing: many(120), ..ENGINES })]
fn what_targets_say_of_themselves_is_heeded(#[case] load: Load, #[values(1, 2, 3)] seed: u64) {
    let mut model = Model::new(Load { seed, ..load });
    model.run(20);
    let seen = model.withdrawn();
    assert!(seen.shed > 0);
    assert_eq!(seen.sent_to_leaving, 0);
    assert!(
        seen.most_within_backoff <= 2,
        "{}",
        seen.most_within_backoff
    );
    // Two thirds of the targets bear what comes, and afterwards all do.
    let served = model.share(5..13, Outcome::InTime) + model.share(5..13, Outcome::Late);
    assert!(served > 0.97, "{served} meanwhile");
    let served = model.share(14..18, Outcome::InTime);
    assert!(served > 0.9, "{served} afterwards");
}

fn many(shedding: usize) -> Option<Withdrawing> {
    Some(Withdrawing {
        shedding,
        leaving: shedding / 3,
        from: Duration::from_secs(4),
        until: Duration::from_secs(13),
        backoff_s: 3,
    })
}

/// By then all routers have been told by most targets. Most callers that hear the time from one of them are served on their return.
const HEARD: std::ops::Range<usize> = 5..7;
const AGAIN: f64 = 0.5;

/// Where all turn calls away for a while, callers return when the first target wants calls again, and are served then.
#[rstest]
#[case::engines(ENGINES, 9)]
#[case::plain(PLAIN, 3)]
fn callers_return_when_all_targets_want_calls_again(
    #[case] load: Load,
    #[case] targets: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let withdrawing = Some(Withdrawing {
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
    let seen = model.withdrawn();
    assert!(
        seen.most_within_backoff <= 2,
        "{}",
        seen.most_within_backoff
    );
    // Each router is told by each target once, and by some once more where calls are under way.
    let most = load.routers * targets * 2;
    assert!(
        seen.shed <= most,
        "{} turned away, {most} expected",
        seen.shed
    );
    let again = model.refused_again_of(HEARD);
    assert!(again < AGAIN, "{again} refused again");
    let served = model.share(8..18, Outcome::InTime);
    assert!(served > 0.9, "{served} afterwards");
}

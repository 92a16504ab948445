//! Plain targets that have nothing to do, after a peak or beside one that is cut off: what routers refuse then
//! could have been served.
//!
//! Three targets with six slots and work of 30 ms can do 600 calls a second, as on the users' sheets; 180 are
//! asked.

use std::{ops::Range, time::Duration};

use rstest::rstest;

use crate::model::{Change, Load, Model, Outcome, Service};

const DESK: Load = Load {
    routers: 73,
    targets: 3,
    slots: 6,
    prompts: 1,
    calls_per_s: 180.0,
    goal: Duration::from_millis(150),
    deadline: Duration::from_secs(1),
    service: Service::Plain,
    hubs: true,
    ..Load::CALM
};

const CUT_OFF: Change = Change {
    at_s: 4,
    added: 0,
    lost: 0,
    cooled: 0,
    cut_off: 1,
};

/// The part of the calls that were refused at their first try, second by second.
fn refused(load: Load, seconds: Range<usize>) -> (Vec<f64>, f64) {
    let mut model = Model::new(load);
    model.run(seconds.end as u64);
    let in_time = model.share(seconds.clone(), Outcome::InTime);
    (model.refused_by_second(seconds), in_time)
}

/// Four times the usual for two seconds, which is 1.2 times what targets can do. A second after its end
/// targets are idle and counts are new: 0.16 to 0.85 of the calls of that second were refused.
#[rstest]
fn after_a_peak_idle_targets_are_used(
    #[values(7, 73, 295, 380)] routers: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = Load {
        routers,
        seed,
        surge: 4.0,
        surge_from_s: 4,
        surge_to_s: 6,
        ..DESK
    };
    let (refused, in_time) = refused(load, 7..10);
    assert!(refused.iter().all(|part| *part < 0.02), "{refused:?}");
    assert!(in_time > 0.97, "{in_time} in time");
}

/// Calls that hang at a target which is cut off say nothing of the others, which have room for all: 0.22 to
/// 0.48 of the calls of the third second were refused before 295 and 380 routers.
#[rstest]
fn calls_that_hang_at_one_target_keep_none_from_the_others(
    #[values(7, 73, 295, 380)] routers: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = Load {
        routers,
        seed,
        change: Some(CUT_OFF),
        ..DESK
    };
    let (refused, _) = refused(load, 4..10);
    assert!(refused.iter().all(|part| *part < 0.02), "{refused:?}");
}

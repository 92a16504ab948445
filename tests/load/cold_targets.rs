//! Cold engines: the calls that they get within a second from all routers together, and the calls that are
//! served meanwhile.

use std::time::Duration;

use rstest::rstest;
use scaleford::admission::warm_up::WarmUp;

use crate::model::{Change, Fleet, Load, Model, Outcome};

/// Call rate that a cold engine tolerates, and for how long it is cold.
const WARM_UP: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    calls_per_s: 8.9,
};
/// Maximum number of calls that one cold engine may get in any second: 1.5 times the tolerated rate plus
/// five.
const MAX_CALLS_PER_SECOND: usize = 18;

/// Maximum number of calls that all routers together send to a cold engine in any second, where they agree on
/// which routers are live.
const MAX_CALLS_IN_AGREEMENT: usize = 8;

/// Usual number of calls per second and engine.
const USUAL_CALLS_PER_S: f64 = 4.8;

/// Returns a load on a fleet of a size that users run, or of the design size (380 routers) with fewer engines.
fn fleet(routers: usize, targets: usize, change: Change) -> Load {
    Load {
        routers,
        targets,
        prompts: targets * 4,
        calls_per_s: USUAL_CALLS_PER_S * targets as f64,
        goal: Duration::from_millis(600),
        deadline: Duration::from_secs(10),
        hubs: routers > 30,
        change: Some(Change { at_s: 4, ..change }),
        warm_up: Some(WARM_UP),
        ..Load::CALM
    }
}

const NO_CHANGE: Change = Change {
    at_s: 4,
    added: 0,
    lost: 0,
    cooled: 0,
    cut_off: 0,
};

/// A third of the engines turns cold, or as many cold engines are added. Where routers don't divide the
/// tolerated rate among themselves, up to 18 calls reached one cold engine within a second.
#[rstest]
fn no_cold_engine_gets_more_than_it_bears(
    #[values((7, 9), (73, 90), (295, 240), (380, 300))] (routers, targets): (usize, usize),
    #[values(true, false)] are_new: bool,
    #[values(Fleet::Whole, Fleet::Halves)] known: Fleet,
) {
    let third = targets / 3;
    let (added, cooled) = if are_new { (third, 0) } else { (0, third) };
    let mut model = Model::new(Load {
        fleet: known,
        ..fleet(
            routers,
            targets,
            Change {
                added,
                cooled,
                ..NO_CHANGE
            },
        )
    });
    model.run(9);
    let most = model.most_while_cold();
    assert!(most <= MAX_CALLS_IN_AGREEMENT, "{most} within a second");
    let in_time = model.share(4..9, Outcome::InTime);
    assert!(in_time > 0.97, "{in_time} in time");
}

/// Where all engines turn cold at once, they get the calls that they tolerate, and further calls are refused
/// at once. Where routers don't divide the tolerated rate among themselves, 31 calls reached one engine
/// within a second at twice the load.
#[rstest]
#[case::small(7, 9, USUAL_CALLS_PER_S, 0.9)]
#[case::shifted(73, 90, USUAL_CALLS_PER_S, 0.85)]
#[case::large(295, 240, USUAL_CALLS_PER_S, 0.8)]
#[case::design_size(380, 300, USUAL_CALLS_PER_S, 0.8)]
#[case::twice_as_many_calls(73, 90, 16.0, 0.4)]
fn where_all_engines_are_cold_they_get_what_they_bear(
    #[case] routers: usize,
    #[case] targets: usize,
    #[case] each: f64,
    #[case] least: f64,
) {
    let mut model = Model::new(Load {
        calls_per_s: each * targets as f64,
        ..fleet(
            routers,
            targets,
            Change {
                cooled: targets,
                ..NO_CHANGE
            },
        )
    });
    model.run(9);
    let most = model.most_while_cold();
    assert!(most <= MAX_CALLS_PER_SECOND, "{most} within a second");
    let in_time = model.share(4..7, Outcome::InTime);
    assert!(in_time > least, "{in_time} in time");
}

/// Routers that have just started know no other router. They send cold engines no calls while others are
/// warm. If all engines were cold, each router would use the whole limit alone, and they would get all
/// routers' calls.
#[test]
fn routers_that_know_of_no_other_leave_cold_engines_alone_where_others_are_warm() {
    let change = Change {
        cooled: 9,
        ..NO_CHANGE
    };
    let mut model = Model::new(Load {
        fleet: Fleet::Strangers,
        ..fleet(73, 90, change)
    });
    model.run(9);
    assert_eq!(model.most_while_cold(), 0);
}

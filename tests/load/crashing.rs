//! A request that crashes each target that starts to run it, and is repeated through random routers beside
//! harmless calls. Some routers are suspended for a while and then resume with the state they had.
//!
//! The request may be sent three times later than three seconds after the third crash. Without a quarantine,
//! all 30 repetitions that arrive then are sent.

use std::{ops::Range, time::Duration};

use rstest::rstest;

use crate::model::{CrashSchedule, Load, Model, Outcome};

const ENGINES: Load = Load {
    crashes: Some(CrashSchedule {
        from: Duration::from_secs(4),
        interval: Duration::from_millis(400),
        suspended: 2,
        suspended_from: Duration::from_millis(4_200),
        suspended_for: Duration::from_secs(6),
    }),
    ..Load::CALM
};

/// Time in which routers have to learn of the third crash.
const QUARANTINE_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum number of times that the request may be sent after that time.
const MAX_SENT_LATE: usize = 3;

/// Seconds of the run in which the request is repeated.
const DURING_CRASHES: Range<usize> = 4..20;
/// Seconds of the run after the worst of the crashes would be over.
const AFTER_CRASHES: Range<usize> = 10..20;

/// Without a quarantine, each repetition of the request crashed a target, and the other calls there broke
/// off.
#[rstest]
#[case::small(7, 9, 60.0, false)]
#[case::large(295, 165, 900.0, true)]
#[case::design_size(380, 400, 1_800.0, true)]
fn a_request_that_ends_targets_is_held_back_by_all_routers(
    #[case] routers: usize,
    #[case] targets: usize,
    #[case] calls_per_s: f64,
    #[case] hubs: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = Load {
        routers,
        targets,
        calls_per_s,
        hubs,
        seed,
        ..ENGINES
    };
    let mut model = Model::new(load);
    model.run(20);
    let crashed = model.crash_results();
    let late = crashed.sent_later_than(QUARANTINE_DEADLINE);
    assert!(late <= MAX_SENT_LATE, "{late} sent later");
    let ended = crashed.crashed_at.len();
    assert!((3..=8).contains(&ended), "{ended} ended");
    assert!(crashed.refused >= 25, "{crashed:?}");
    assert_eq!(crashed.others_refused, 0);
    let served =
        model.share(DURING_CRASHES, Outcome::InTime) + model.share(DURING_CRASHES, Outcome::Late);
    assert!(served > 0.9, "{served} of the calls beside it");
    let served = model.share(AFTER_CRASHES, Outcome::InTime);
    assert!(served > 0.97, "{served} afterwards");
    assert!(model.most_suspects() <= 400, "{}", model.most_suspects());
}

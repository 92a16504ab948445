//! A request that ends each target that begins to run it, and comes again through any router, beside innocent
//! calls; some routers are suspended meanwhile and go on with what they knew before.
//!
//! What is allowed: three sends later than three seconds after the third target has ended. Where nothing holds it back, all 30 returns that
//! come then are sent.

use std::{ops::Range, time::Duration};

use rstest::rstest;

use crate::model::{Crashes, Load, Model, Outcome};

const ENGINES: Load = Load {
    crashes: Some(Crashes {
        from: Duration::from_secs(4),
        every: Duration::from_millis(400),
        suspended: 2,
        suspended_from: Duration::from_millis(4_200),
        suspended_for: Duration::from_secs(6),
    }),
    ..Load::CALM
};

/// How long routers have to learn of the third ending, and how often the request may be sent after it.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const SENT_AFTER: usize = 3;

/// When the storm would be at its worst, and after it.
const MEANWHILE: Range<usize> = 4..20;
const AFTERWARDS: Range<usize> = 10..20;

/// Before there was anything that held it back, each return ended a target: the calls beside it broke off with them.
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
    let crashed = model.crashed();
    let late = crashed.sent_later_than(KNOWN_AFTER);
    assert!(late <= SENT_AFTER, "{late} sent later");
    let ended = crashed.ended.len();
    assert!((3..=8).contains(&ended), "{ended} ended");
    assert!(crashed.refused >= 25, "{crashed:?}");
    assert_eq!(crashed.others_refused, 0);
    let served = model.share(MEANWHILE, Outcome::InTime) + model.share(MEANWHILE, Outcome::Late);
    assert!(served > 0.9, "{served} of the calls beside it");
    let served = model.share(AFTERWARDS, Outcome::InTime);
    assert!(served > 0.97, "{served} afterwards");
    assert!(model.most_suspects() <= 400, "{}", model.most_suspects());
}

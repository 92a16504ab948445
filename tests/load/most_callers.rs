//! Nine tenths of the callers connect to one router from a moment on; retries meet any router.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Load, Model, Outcome, Service};

/// Second from which on most calls arrive at one router.
const FROM_S: usize = 8;

/// Time in which routers have to be used to it.
const ADAPTED_AFTER_S: usize = 3;

/// Part of the calls served at their first try, compared with before.
const MIN_SERVED: f64 = 0.75;

#[rstest]
fn calls_are_served_as_before_where_most_arrive_at_one_router(
    #[values(7, 80, 295)] routers: usize,
    #[values(Service::Engines, Service::Plain)] service: Service,
    #[values(0.5, 0.8)] of_capacity: f64,
    #[values(1, 2)] seed: u64,
) {
    let targets = 12;
    let (slots, per_target) = match service {
        Service::Engines => (16, 18.0),
        Service::Plain => (6, 200.0),
    };
    let mut model = Model::new(Load {
        routers,
        hubs: routers > 30,
        targets,
        slots,
        service,
        seed,
        calls_per_s: per_target * targets as f64 * of_capacity,
        goal: Duration::from_millis(400),
        one_router_from_s: Some(FROM_S as u64),
        ..Load::CALM
    });
    model.run(18);
    let served = |seconds: std::ops::Range<usize>| {
        model.share(seconds.clone(), Outcome::InTime) + model.share(seconds, Outcome::Late)
    };
    let before = served(3..FROM_S);
    let after = served(FROM_S + ADAPTED_AFTER_S..17);
    println!(
        "{routers} routers, {service:?} at {of_capacity}, seed {seed}: {before:.3}, then {after:.3}"
    );
    assert!(before > 0.9, "{before}");
    assert!(after >= before * MIN_SERVED, "{after} of {before}");
}

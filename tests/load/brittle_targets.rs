//! Targets that crash when they have to reject more than some calls within a second, in the surges of a pool
//! of three with six slots each.

use std::time::Duration;

use rstest::rstest;

use crate::model::{BrittleSchedule, Load, Model, Service};

/// Calls per second that one target can serve.
const TARGET_CAPACITY: f64 = 200.0;

const TARGETS: usize = 3;

/// Maximum number of crashes: two, and a tenth of the targets.
const MAX_CRASHES: usize = 2 + TARGETS / 10;

fn load(routers: usize, demand: f64, limit: u32, queue: usize, seed: u64) -> Load {
    Load {
        routers,
        hubs: routers > 30,
        targets: TARGETS,
        slots: 6,
        prompts: 1,
        goal: Duration::from_millis(150),
        deadline: Duration::from_secs(1),
        service: Service::Plain,
        plain_queue: 24,
        bounded_retries: true,
        calls_per_s: TARGET_CAPACITY * TARGETS as f64 * 0.25,
        surge: demand * 4.0,
        surge_from_s: 6,
        surge_to_s: 14,
        seed,
        brittle: Some(BrittleSchedule {
            from: Duration::from_secs(2),
            limit,
            queue,
        }),
        ..Load::CALM
    }
}

#[rstest]
fn brittle_targets_do_not_crash_because_they_reject_too_many_calls(
    #[values(7, 80, 985)] routers: usize,
    #[values(0.25, 0.7, 3.0)] demand: f64,
    #[values((6, 2), (20, 4))] (limit, queue): (u32, usize),
) {
    for seed in 1..=3 {
        let mut model = Model::new(load(routers, demand, limit, queue, seed));
        model.run(16);
        let results = model.brittle_results();
        let answers: u64 = model.answers_in_time(7..14).into_iter().sum();
        let used = answers as f64 / 7.0 / (TARGET_CAPACITY * TARGETS as f64);
        println!(
            "{routers} routers, x{demand}, {limit} a second, queue {queue}, seed {seed}: {} crashes, {} rejected, {used:.3} of the capacity",
            results.crashes, results.rejected
        );
        assert!(
            results.crashes <= MAX_CRASHES,
            "{} crashes",
            results.crashes
        );
    }
}

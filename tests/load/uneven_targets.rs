//! Guards against placement that ignores how long work takes at a target: of targets that share their machines
//! with other work, a part runs at half or a third of its speed, and changes several times a second or stays so
//! for seconds.
//!
//! The calls are 0.7 of what the targets can answer on average. Each figure is a mean over five runs, because in
//! a few seconds three targets are slow for different parts of the time.

use std::{ops::Range, time::Duration};

use rstest::rstest;

use crate::model::{Load, Model, Outcome, ReportedFigures, Service, UnevenSchedule};

/// Three targets with six slots and 30 ms per call, which serve 600 calls a second at their usual speed.
const PLAIN: Load = Load {
    routers: 80,
    targets: 3,
    slots: 6,
    prompts: 1,
    calls_per_s: 350.0,
    goal: Duration::from_millis(150),
    deadline: Duration::from_secs(1),
    service: Service::Plain,
    hubs: true,
    ..Load::CALM
};

/// Thirty engines with twelve slots, which serve 400 calls a second at their usual speed.
const ENGINES: Load = Load {
    targets: 30,
    slots: 12,
    prompts: 150,
    calls_per_s: 230.0,
    goal: Duration::from_millis(400),
    deadline: Duration::from_secs(10),
    service: Service::Engines,
    ..PLAIN
};

/// Times for which a target keeps its speed, in milliseconds.
const SHORT_MS: u64 = 600;
const LONG_MS: u64 = 4_000;

/// Seconds of the run that the tests check, after the routers have learned the usual times.
const CHECKED_SECONDS: Range<usize> = 2..14;

const SEEDS: Range<u64> = 1..6;

/// Means over the runs.
#[derive(Debug)]
struct Results {
    /// Fraction of the calls answered in time, of those that the targets could answer.
    in_time: f64,
    /// Calls at slow targets relative to the share of their speed.
    part_of_slow: f64,
}

fn run(load: Load, period_ms: u64, figures: ReportedFigures) -> Results {
    let uneven = Some(UnevenSchedule {
        slow_part: 0.3,
        period: Duration::from_millis(period_ms),
        figures,
    });
    let slot_time = match load.service {
        Service::Plain => Duration::from_millis(30),
        Service::Engines => Duration::from_millis(895),
    };
    let runs = SEEDS.map(|seed| {
        let mut model = Model::new(Load {
            seed,
            uneven,
            ..load
        });
        model.run(CHECKED_SECONDS.end as u64);
        let answerable = model.answerable(CHECKED_SECONDS, slot_time);
        let in_time = model.share(CHECKED_SECONDS, Outcome::InTime) / answerable;
        (in_time, model.part_of_slow_targets())
    });
    let (in_time, part): (Vec<f64>, Vec<f64>) = runs.unzip();
    let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
    let results = Results {
        in_time: mean(in_time),
        part_of_slow: mean(part),
    };
    let (routers, targets) = (load.routers, load.targets);
    println!("{routers} routers, {targets} targets, {period_ms} ms, {figures:?}: {results:.3?}");
    results
}

/// Guards against calls that are late or refused while targets could answer them.
#[rstest]
fn nine_tenths_of_the_calls_that_targets_can_answer_are_in_time(
    #[values(PLAIN, ENGINES)] load: Load,
    #[values(7, 80)] routers: usize,
    #[values(SHORT_MS, LONG_MS)] period_ms: u64,
    #[values(ReportedFigures::None, ReportedFigures::True)] figures: ReportedFigures,
) {
    let results = run(Load { routers, ..load }, period_ms, figures);
    assert!(results.in_time >= 0.9, "{results:?}");
}

/// Guards against slow targets that get as many calls as the others, and against some that get none.
#[rstest]
#[case::plain(Load { routers: 7, ..PLAIN }, SHORT_MS)]
#[case::plain(Load { routers: 7, ..PLAIN }, LONG_MS)]
#[case::plain_many_routers(PLAIN, SHORT_MS)]
#[case::plain_many_routers(PLAIN, LONG_MS)]
#[case::engines(Load { routers: 7, ..ENGINES }, LONG_MS)]
fn a_slow_target_gets_the_part_of_its_speed(#[case] load: Load, #[case] period_ms: u64) {
    let results = run(load, period_ms, ReportedFigures::True);
    assert!((0.5..1.5).contains(&results.part_of_slow), "{results:?}");
}

/// The same guard where a router hears from an engine less often than the engine changes its speed.
#[rstest]
#[case::changes_often(Load { routers: 7, ..ENGINES }, SHORT_MS)]
#[case::many_routers(ENGINES, LONG_MS)]
#[case::many_routers_changes_often(ENGINES, SHORT_MS)]
fn a_slow_engine_that_a_router_rarely_hears_from_gets_the_part_of_its_speed(
    #[case] load: Load,
    #[case] period_ms: u64,
) {
    let results = run(load, period_ms, ReportedFigures::True);
    assert!((0.5..1.5).contains(&results.part_of_slow), "{results:?}");
}

/// Guards against a third of the targets that lie: 100 while they are slow, 400 while they are as usual, and 25.
#[rstest]
fn a_false_figure_costs_little_compared_with_no_figure(
    #[values(PLAIN, ENGINES)] load: Load,
    #[values(7, 80)] routers: usize,
    #[values(SHORT_MS, LONG_MS)] period_ms: u64,
) {
    let load = Load { routers, ..load };
    let without = run(load, period_ms, ReportedFigures::None).in_time;
    for percent in [100, 400, 25] {
        let with = run(load, period_ms, ReportedFigures::False(percent)).in_time;
        assert!(
            with > without - 0.05,
            "{with} with {percent}, {without} without"
        );
    }
}

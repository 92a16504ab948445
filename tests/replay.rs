//! Recorded traces against stated outcomes, on the very decision types that the daemon runs.

#[allow(dead_code)]
#[path = "../examples/replay/engine.rs"]
mod engine;
#[allow(dead_code)]
#[path = "../examples/replay/figures.rs"]
mod figures;
#[path = "../examples/replay/policy.rs"]
mod policy;
#[allow(dead_code)]
#[path = "../examples/replay/trace.rs"]
mod trace;
#[allow(dead_code)]
#[path = "../examples/replay/world.rs"]
mod world;

use figures::Report;
use policy::Policy;
use rstest::rstest;
use trace::Line;

const CALM: &str = include_str!("traces/calm.jsonl");
const CHURN: &str = include_str!("traces/churn.jsonl");

fn replay(trace: &str, policy: Policy) -> Report {
    let lines: Vec<Line> = trace
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let setup = world::Setup {
        policy,
        routers: 7,
        seed: 1,
        lag_ms: 1,
        bound: 1.25,
    };
    let figures = world::World::new(&setup, &lines).unwrap().run(&lines);
    let seconds = world::measured_seconds(&lines);
    figures.report(&policy.to_string(), 7, 16, seconds, 1.25, false)
}

/// The part of samples above the bound, and the part of the oracle's reuse, that are stated.
#[rstest]
#[case::calm(CALM, 0.0, 0.95)]
#[case::an_engine_leaves_every_quarter_minute(CHURN, 0.02, 0.90)]
fn a_trace_comes_out_as_stated(#[case] trace: &str, #[case] above: f64, #[case] reuse: f64) {
    let home = replay(trace, Policy::Home);
    let oracle = replay(trace, Policy::Oracle);
    let direct = replay(trace, Policy::Direct);
    assert!(home.above_bound <= above, "{}", home.above_bound);
    assert!(
        home.reuse >= oracle.reuse * reuse,
        "{} of {}",
        home.reuse,
        oracle.reuse
    );
    assert!(home.skew_p99 < direct.skew_p99 && home.reuse > direct.reuse);
    assert!(home.control_bytes_busiest_router_s < 3_000.0);
    assert_eq!(home.refused, 0);
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let text = || serde_json::to_string(&replay(CHURN, Policy::Home)).unwrap();
    assert_eq!(text(), text());
}

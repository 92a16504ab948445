//! Speeds of targets, as reported and as measured, and their use in placement.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    admission::{Admission, CallTraits},
    config::serving::CallKind,
    dispatcher::{Dispatcher, Ticket},
    health::Outcome,
    ids::{ServiceName, TargetId},
    target_speed::{Slowdown, TargetSpeeds, TimeFactor},
    units::Instant,
};

use crate::{RESUMABLE, at, dispatcher, hall, part, plan};

fn target(n: usize) -> TargetId {
    format!("t{n}").parse().unwrap()
}

fn percent(text: &str) -> Option<Slowdown> {
    Some(text.parse().unwrap())
}

/// Records 20 calls at each of three targets within a second, which take 10 ms at the others and 10 ms times
/// `factor` at the first.
fn measured(factor: f64) -> TargetSpeeds {
    let service: ServiceName = "writer".parse().unwrap();
    let mut speeds = TargetSpeeds::default();
    for n in 0..60 {
        let usual = Duration::from_millis(10);
        let took = if n % 3 == 0 {
            usual.mul_f64(factor)
        } else {
            usual
        };
        speeds.on_call_time(at(n * 15), &service, &target(n as usize % 3), 0.0, took);
        speeds.on_tick(at(n * 15), |_| true);
    }
    speeds
}

/// Factor that follows from a measurement and a report at the end of the measurement.
fn factor(measured_factor: f64, reported: &str) -> f64 {
    let mut speeds = measured(measured_factor);
    speeds.on_report(at(900), &target(0), percent(reported));
    speeds.factor(at(900), &target(0)).get()
}

#[rstest]
#[case("0")]
#[case("-100")]
#[case("+100")]
#[case("100001")]
#[case("99999999999999999999")]
#[case("1.5")]
#[case("fast")]
#[case(" 100")]
#[case("")]
fn a_slowdown_is_a_whole_number_within_its_range(#[case] text: &str) {
    assert!(text.parse::<Slowdown>().is_err(), "{text:?}");
}

/// Guards against small differences that move calls, and against figures that move all calls.
#[rstest]
#[case("80", 1.0)]
#[case("125", 1.0)]
#[case("126", 1.26)]
#[case("300", 3.0)]
#[case("100000", 4.0)]
fn a_report_counts_outside_of_the_deadband_and_within_the_range(
    #[case] reported: &str,
    #[case] expected: f64,
) {
    let mut speeds = TargetSpeeds::default();
    speeds.on_report(at(0), &target(0), percent(reported));
    let factor = speeds.factor(at(0), &target(0)).get();
    assert!((factor - expected).abs() < 1e-9, "{factor}");
}

/// Guards against a target that draws calls by claiming to be fast, before or after it was measured.
#[test]
fn a_target_gains_nothing_by_claiming_to_be_fast() {
    let mut speeds = TargetSpeeds::default();
    speeds.on_report(at(0), &target(0), percent("25"));
    assert_eq!(speeds.factor(at(0), &target(0)), TimeFactor::USUAL);
    assert!((factor(1.0, "25") - 1.0).abs() < 1e-9);
    assert!(factor(3.0, "25") > 1.0, "slow, whatever it claims");
    let fast = factor(0.4, "25");
    assert!((0.25..0.8).contains(&fast), "{fast} for a fast one");
}

/// Guards against false reports: they count within a factor of two of what was measured.
#[test]
fn a_report_is_limited_to_within_a_factor_of_two_of_the_measurement() {
    assert!((factor(1.0, "400") - 2.0).abs() < 1e-9);
    let mut speeds = measured(3.0);
    speeds.on_report(at(900), &target(1), percent("100"));
    let slow = speeds.factor(at(900), &target(0)).get();
    assert!(
        (2.0..4.0).contains(&slow),
        "{slow} without a report of its own"
    );
    let claimed = factor(3.0, "100");
    assert!((slow / 2.0 - claimed).abs() < 1e-9, "{claimed} of {slow}");
    assert!((factor(3.0, "250") - 2.5).abs() < 1e-9);
}

/// Guards against changed placement where no target reports figures.
#[test]
fn measurements_alone_change_nothing() {
    assert_eq!(measured(3.0).factor(at(900), &target(0)), TimeFactor::USUAL);
}

/// Guards against a target that is avoided for good because it was slow once, and against state that grows.
#[test]
fn figures_expire_and_are_dropped_with_targets_that_are_gone() {
    let mut speeds = measured(3.0);
    speeds.on_report(at(900), &target(0), percent("300"));
    assert_eq!(speeds.reported(at(1_800), &target(0)), percent("300"));
    assert_eq!(speeds.reported(at(1_900), &target(0)), None);
    assert!(speeds.factor(at(1_900), &target(0)) > TimeFactor::USUAL);
    assert_eq!(speeds.factor(at(3_000), &target(0)), TimeFactor::USUAL);
    speeds.on_tick(at(1_000), |t| *t != target(1));
    assert_eq!(speeds.len(), 2);
    speeds.on_tick(at(9_000), |_| true);
    assert!(speeds.is_empty());
    for n in 0..30_000 {
        speeds.on_report(at(9_000), &target(n), percent("200"));
    }
    assert!(speeds.len() <= 20_000);
}

/// An answer without the figure takes back what the target reported before.
#[test]
fn an_answer_without_a_figure_ends_the_report() {
    let mut speeds = TargetSpeeds::default();
    speeds.on_report(at(0), &target(0), percent("300"));
    speeds.on_report(at(10), &target(0), None);
    assert_eq!(speeds.factor(at(10), &target(0)), TimeFactor::USUAL);
}

/// Guards against long prompts that make a target look slow: the first event takes longer in proportion.
#[test]
fn more_work_is_not_slowness() {
    let service: ServiceName = "writer".parse().unwrap();
    let mut speeds = TargetSpeeds::default();
    for n in 0..200 {
        // The first target gets all long prompts, and some short ones.
        let (of, work) = match n % 4 {
            0 => (0, 300.0),
            1 => (0, 6_000.0),
            2 => (1, 300.0),
            _ => (2, 300.0),
        };
        let took = Duration::from_micros(40_000 + work as u64 * 10);
        speeds.on_call_time(at(n * 10), &service, &target(of), work, took);
    }
    assert_eq!(speeds.factor(at(2_000), &target(0)), TimeFactor::USUAL);
}

/// Sends one call after another, each held for a time with a spread of 0.4 of its mean, and calls `before` on the
/// dispatcher before each choice.
fn chosen(kind: CallKind, before: impl Fn(&mut Dispatcher)) -> Vec<(TargetId, u32)> {
    let mut rng = Pcg64::seed_from_u64(4);
    let mut d = dispatcher(5);
    let mut running: Vec<(Instant, Ticket)> = Vec::new();
    let mut chosen = Vec::new();
    for n in 0..3_000_u64 {
        let now = at(n * 5);
        let prompt = match kind {
            CallKind::Safe => Vec::new(),
            _ => vec![part(n % 40, 5_000), part(1_000_000 + n, 300)],
        };
        if n % 20 == 0 {
            d.on_tick(now);
        }
        before(&mut d);
        let ended: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (end, mut ticket) in ended {
            d.on_first_event(end, &mut ticket);
            d.on_end(end, &ticket, Some(Outcome::Good));
        }
        let Ok(ticket) = d.choose(now, &plan(kind, prompt, n)) else {
            continue;
        };
        chosen.push((ticket.target.id.clone(), ticket.calls));
        let took_ms = rng.random_range(60..140) + ticket.missing.0 / 100;
        running.push((now + Duration::from_millis(took_ms), ticket));
    }
    chosen
}

/// Guards against decisions that change where no target reports a figure and all are alike.
#[rstest]
#[case::plain(CallKind::Safe)]
#[case::streams(RESUMABLE)]
fn with_targets_that_are_alike_decisions_are_those_without_speeds(#[case] kind: CallKind) {
    let without = chosen(kind, |d| d.speeds = TargetSpeeds::default());
    let with = chosen(kind, |_| {});
    let first = with.iter().zip(&without).position(|(a, b)| a != b);
    assert_eq!(first, None, "the first call that differs");
    assert_eq!(with.len(), without.len());
}

/// Guards against a slow target that gets as many calls as the others, by its report and by measurement.
#[test]
fn a_slow_target_gets_fewer_calls() {
    let mut d = dispatcher(3);
    let mut sent = 0;
    for n in 0..300 {
        d.speeds.on_report(at(n), &target(0), percent("400"));
        let ticket = d.choose(at(n), &plan(CallKind::Safe, vec![], n)).unwrap();
        sent += u32::from(ticket.target.id == target(0));
        d.on_end(at(n), &ticket, None);
    }
    assert!((1..80).contains(&sent), "{sent} of 300");
}

/// Guards against a limit of zero, and against a fast target that gets more calls than it has slots for.
#[rstest]
#[case("400", 16, 4)]
#[case("400", 2, 1)]
#[case("100", 16, 16)]
#[case("25", 16, 16)]
fn the_limit_of_a_slow_target_is_computed_from_fewer_slots(
    #[case] reported: &str,
    #[case] slots: u32,
    #[case] max_calls: u32,
) {
    let mut speeds = TargetSpeeds::default();
    speeds.on_report(at(0), &target(0), percent(reported));
    let limit = Admission::new(hall("yard")).limit(&"writer".parse().unwrap(), Duration::ZERO);
    let limit = limit.at_speed(speeds.factor(at(0), &target(0)));
    let call = CallTraits {
        has_cache_affinity: true,
        is_surging: false,
    };
    assert_eq!(limit.max_calls(slots, call), max_calls);
}

/// Guards against calls that are refused while a slow target has free slots.
#[test]
fn all_slots_of_a_slow_target_are_used_where_the_others_are_full() {
    let mut d = dispatcher(3);
    d.speeds.on_report(at(0), &target(0), percent("400"));
    let (mut slow, mut others) = (0, 0);
    for n in 0.. {
        match d.choose(at(0), &plan(CallKind::Safe, vec![], n)) {
            Ok(ticket) if ticket.target.id == target(0) => slow += 1,
            Ok(_) => others += 1,
            Err(_) => break,
        }
        assert!(slow <= 16 || others == 128, "{slow} beside {others}");
    }
    assert_eq!((slow, others), (64, 128));
}

/// Guards against a queue that looks like slowness: calls that found no slot free are not measured.
#[test]
fn calls_that_waited_for_a_slot_are_not_measured() {
    let mut d = dispatcher(1);
    let call = |n| plan(CallKind::Safe, vec![], n);
    let first = d.choose(at(0), &call(0)).unwrap();
    d.on_end(at(10), &first, Some(Outcome::Good));
    let tickets: Vec<_> = (1..70)
        .map_while(|n| d.choose(at(10), &call(n)).ok())
        .collect();
    let (running, waiting) = tickets.split_at(64);
    assert!(!waiting.is_empty());
    for ticket in waiting {
        d.on_end(at(500), ticket, Some(Outcome::Good));
    }
    assert!(d.speeds.is_empty());
    d.on_end(at(500), &running[0], Some(Outcome::Good));
    assert_eq!(d.speeds.len(), 1);
}

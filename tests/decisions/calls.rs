//! Outcomes of attempts, retries and the retry budget.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    retry::{Attempts, Execution, FleetShare, RetryBudget},
};

use crate::{RESUMABLE, at, rules};

#[rstest]
#[case(CallKind::Unsafe, Execution::NotRun, true)]
#[case(CallKind::Unsafe, Execution::MayHaveRun, false)]
#[case(CallKind::Unsafe, Execution::Ran, false)]
#[case(CallKind::Stream(StreamRepeats::Never), Execution::MayHaveRun, false)]
#[case(RESUMABLE, Execution::MayHaveRun, true)]
#[case(CallKind::Safe, Execution::Ran, true)]
fn only_what_may_run_twice_is_sent_again_after_it_may_have_run(
    #[case] kind: CallKind,
    #[case] execution: Execution,
    #[case] may_retry: bool,
) {
    let mut attempts = Attempts::default();
    attempts.on_sent();
    attempts.on_attempt_end(execution);
    assert_eq!(attempts.may_retry(kind, 2), may_retry);
    assert_eq!(attempts.not_run().is_some(), execution == Execution::NotRun);
    attempts.on_sent();
    attempts.on_attempt_end(Execution::NotRun);
    assert!(!attempts.may_retry(kind, 2), "two targets at the most");
    assert_eq!(
        attempts.not_run().is_some(),
        execution == Execution::NotRun,
        "a later refusal undoes nothing"
    );
}

/// Three of four routers stopped or were killed within 2.6 s. The others took over the rest of each
/// one's share of the fleet's retries at once, while the retries that it had sent still counted.
/// The shares added up to 2.1: the last router had `"share":1.0` 30 ms after the third had begun to
/// stop, and 175 retries were sent where 167 were allowed.
#[test]
fn shares_of_routers_that_stop_are_not_used_again_within_a_window() {
    let window = Duration::from_secs(10);
    let mut share = FleetShare::default();
    for ms in (0..20_000).step_by(100) {
        share.on_share(at(ms), 0.25, window);
    }
    for (ms, fleet_share) in [(20_000, 0.33), (21_500, 0.5), (22_600, 1.0)] {
        share.on_share(at(ms), fleet_share, window);
        assert!((share.usable(at(ms), window) - 0.25).abs() < 1e-9);
    }
    for (ms, usable) in [(29_900, 0.25), (30_100, 0.33), (31_600, 0.5), (32_700, 1.0)] {
        share.on_share(at(ms), 1.0, window);
        let now = share.usable(at(ms), window);
        assert!((now - usable).abs() < 1e-9, "{now} at {ms}");
    }
    // A router that joins reduces the share at once.
    share.on_share(at(33_000), 0.5, window);
    assert!((share.usable(at(33_000), window) - 0.5).abs() < 1e-9);
}

/// A router does not know what its previous incarnation retried. While it stands still for a
/// window, other routers may have taken over its share.
#[test]
fn a_router_that_starts_or_stood_still_has_a_tenth_of_its_share_for_a_window() {
    let window = Duration::from_secs(10);
    let mut share = FleetShare::default();
    let mut usable_at = |ms: u64| {
        share.on_share(at(ms), 0.5, window);
        share.usable(at(ms), window)
    };
    let is_tenth = |usable: f64| (usable - 0.05).abs() < 1e-9;
    for ms in (100..10_100).step_by(500) {
        assert!(is_tenth(usable_at(ms)));
    }
    assert!((usable_at(10_100) - 0.5).abs() < 1e-9);
    assert!(
        (usable_at(19_000) - 0.5).abs() < 1e-9,
        "it stood still for less"
    );
    assert!(is_tenth(usable_at(29_000)));
    assert!(is_tenth(usable_at(38_900)));
    assert!((usable_at(39_000) - 0.5).abs() < 1e-9);
}

proptest! {
    /// Routers that start, stop, crash and detect one another late also keep the budget together,
    /// in every window.
    #[test]
    fn routers_that_come_and_go_keep_the_budget(
        changes in prop::collection::vec((0_u64..40_000, 0_usize..5, any::<bool>()), 0..30),
        detection_delay_ms in 0_u64..3_000,
    ) {
        const ROUTERS: usize = 5;
        let rule = rules().budget;
        let service = "desk".parse().unwrap();
        let mut changes = changes;
        changes.sort_unstable();
        let mut routers: Vec<Option<(RetryBudget, FleetShare)>> = (0..ROUTERS)
            .map(|_| Some((RetryBudget::new(rule), FleetShare::default())))
            .collect();
        let mut live_counts: Vec<(u64, usize)> = vec![(0, ROUTERS)];
        let mut retries: Vec<u64> = Vec::new();
        let mut due = changes.into_iter().peekable();
        for ms in (0..40_000).step_by(100) {
            while let Some((_, router, starts)) = due.next_if(|(at, ..)| *at <= ms) {
                routers[router] = match (starts, routers[router].take()) {
                    (true, Some(running)) => Some(running),
                    (true, None) => Some((RetryBudget::new(rule), FleetShare::default())),
                    (false, _) => None,
                };
                live_counts.push((ms, routers.iter().flatten().count()));
            }
            // A stop is detected at once or late; a router that starts is known before it has a share.
            let detected = live_counts.iter().rev().find(|(at, _)| at + detection_delay_ms <= ms);
            let detected = detected.map_or(ROUTERS, |(_, n)| *n);
            let now = live_counts.last().map_or(ROUTERS, |(_, n)| *n);
            let fleet_share = 1.0 / detected.max(now).max(1) as f64;
            for (budget, share) in routers.iter_mut().flatten() {
                share.on_share(at(ms), fleet_share, rule.window);
                while budget.take(at(ms), &service, share.usable(at(ms), rule.window)) {
                    retries.push(ms);
                }
            }
        }
        for end in &retries {
            let in_window = |ms: &&u64| **ms <= *end && **ms + 10_000 > *end;
            let taken = retries.iter().filter(in_window).count() as f64;
            prop_assert!(taken <= rule.extra, "{taken} until {end}");
        }
    }


    /// Routers that share the budget in proportion to their traffic stay within it together, in
    /// every window.
    #[test]
    fn all_routers_together_keep_the_budget(
        calls in prop::collection::vec((0_u64..20_000, 0_usize..4), 1..400),
    ) {
        let mut calls = calls;
        calls.sort_unstable();
        let service = "desk".parse().unwrap();
        let rule = rules().budget;
        let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::new(rule)).collect();
        let mut retries: Vec<u64> = Vec::new();
        for (ms, router) in &calls {
            budgets[*router].on_call(at(*ms), &service);
            if budgets[*router].take(at(*ms), &service, 0.25) {
                retries.push(*ms);
            }
        }
        for end in &retries {
            let in_window = |ms: &u64| *ms <= *end && *ms + 10_000 > *end;
            let taken = retries.iter().filter(|ms| in_window(ms)).count() as f64;
            let call_count = calls.iter().filter(|(ms, _)| in_window(ms)).count() as f64;
            prop_assert!(taken <= call_count * rule.ratio + rule.extra);
        }
    }
}

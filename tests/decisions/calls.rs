//! Outcomes, repeats and their budget.

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    retry::{Attempts, Fate, RetryBudget},
};

use crate::{RESUMABLE, at, rules};

#[rstest]
#[case(CallKind::Unsafe, Fate::NotRun, true)]
#[case(CallKind::Unsafe, Fate::MayHaveRun, false)]
#[case(CallKind::Unsafe, Fate::Ran, false)]
#[case(CallKind::Stream(StreamRepeats::Never), Fate::MayHaveRun, false)]
#[case(RESUMABLE, Fate::MayHaveRun, true)]
#[case(CallKind::Safe, Fate::Ran, true)]
fn only_what_may_run_twice_is_sent_again_after_it_may_have_run(
    #[case] kind: CallKind,
    #[case] fate: Fate,
    #[case] again: bool,
) {
    let mut attempts = Attempts::default();
    attempts.on_sent();
    attempts.on_fate(fate);
    assert_eq!(attempts.may_go_on(kind, 2), again);
    assert_eq!(attempts.not_run().is_some(), fate == Fate::NotRun);
    attempts.on_sent();
    attempts.on_fate(Fate::NotRun);
    assert!(!attempts.may_go_on(kind, 2), "two targets at the most");
    assert_eq!(
        attempts.not_run().is_some(),
        fate == Fate::NotRun,
        "a later refusal undoes nothing"
    );
}

proptest! {
    /// Routers that share the budget by their traffic stay within it together, in every window.
    #[test]
    fn all_routers_together_keep_the_budget(
        calls in prop::collection::vec((0_u64..20_000, 0_usize..4), 1..400),
    ) {
        let mut calls = calls;
        calls.sort_unstable();
        let service = "desk".parse().unwrap();
        let rule = rules().budget;
        let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::new(rule)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for (ms, router) in &calls {
            budgets[*router].on_call(at(*ms), &service);
            if budgets[*router].take(at(*ms), &service, 0.25) {
                repeats.push(*ms);
            }
        }
        for end in &repeats {
            let in_window = |ms: &u64| *ms <= *end && *ms + 10_000 > *end;
            let taken = repeats.iter().filter(|ms| in_window(ms)).count() as f64;
            let asked = calls.iter().filter(|(ms, _)| in_window(ms)).count() as f64;
            prop_assert!(taken <= asked * rule.ratio + rule.extra);
        }
    }
}

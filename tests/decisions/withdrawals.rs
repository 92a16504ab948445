//! Targets that accept no calls, as stated in their responses.

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    config::serving::{CallKind, StreamRepeats},
    discovery::{ListChange, TargetRecord, TargetState},
    dispatcher::Dispatcher,
    health::Outcome,
    placement::choice::PlacementError,
    units::{Instant, StoreRevision},
    withdrawals::{Backoff, Withdrawal, Withdrawals},
};

use crate::{at, dispatcher, part, plan, record};

const NEVER_RETRIED: CallKind = CallKind::Stream(StreamRepeats::Never);

fn backoff(text: &str) -> Withdrawal {
    Withdrawal::Backoff(text.parse().unwrap())
}

fn withdraw(d: &mut Dispatcher, ms: u64, target: usize, withdrawal: Withdrawal) -> bool {
    (d.withdrawals).on_withdrawal(at(ms), &record(target).id, withdrawal)
}

/// Returns the targets that forty calls reach, each of which ends at once.
fn reached_targets(d: &mut Dispatcher, now: Instant) -> Vec<String> {
    let send = |n: u64| {
        // No target has read this prompt yet.
        let own = now.0.as_millis() as u64 * 1_000 + n;
        let prompt = vec![part(own, 3_000), part(own + 500, 50)];
        let ticket = d.choose(now, &plan(NEVER_RETRIED, prompt, n)).unwrap();
        d.on_end(now, &ticket, Some(Outcome::Good));
        ticket.target.id.to_string()
    };
    let mut all: Vec<String> = (0..40).map(send).collect();
    all.sort();
    all.dedup();
    all
}

#[test]
fn a_target_that_leaves_gets_nothing_whatever_its_entry_says_later() {
    let mut d = dispatcher(2);
    assert!(withdraw(&mut d, 10, 0, Withdrawal::Leaving));
    assert!(!withdraw(&mut d, 20, 0, Withdrawal::Leaving), "it is known");
    assert_eq!(reached_targets(&mut d, at(20)), ["t1"]);
    // Its entry expires while the store is unavailable, and returns as ready.
    let name = record(0).id.to_name();
    let removed = ListChange::Removed(name);
    d.discovery
        .on_change(at(1_000), removed, StoreRevision::first_era(2));
    d.on_tick(at(1_000));
    let put = ListChange::Put(TargetRecord {
        slots: 32,
        ..record(0)
    });
    d.discovery
        .on_change(at(9_000), put, StoreRevision::first_era(3));
    d.withdrawals.on_tick(at(600_000));
    assert_eq!(reached_targets(&mut d, at(600_000)), ["t1"]);
}

#[test]
fn the_next_instance_of_a_target_gets_calls() {
    let mut d = dispatcher(1);
    withdraw(&mut d, 10, 0, Withdrawal::Leaving);
    let put = ListChange::Put(TargetRecord {
        id: "t0~7".parse().unwrap(),
        ..record(0)
    });
    d.discovery
        .on_change(at(20), put, StoreRevision::first_era(2));
    assert_eq!(reached_targets(&mut d, at(20)), ["t0~7"]);
}

#[rstest]
#[case::after_the_break(&[100], backoff("2"), true)]
#[case::before_the_break(&[100, 300], backoff("2"), false)]
#[case::nothing_broke(&[], backoff("2"), false)]
#[case::for_good(&[100], Withdrawal::Leaving, false)]
fn a_backoff_of_an_instance_that_is_not_listed_yet_goes_over_to_it(
    #[case] broke_at_ms: &[u64],
    #[case] withdrawal: Withdrawal,
    #[case] goes_over: bool,
) {
    let (former, current) = (record(0).id, record(1).id);
    let mut withdrawals = Withdrawals::default();
    for ms in broke_at_ms.iter().filter(|ms| **ms < 200) {
        withdrawals.on_broke(at(*ms), &former);
    }
    withdrawals.on_withdrawal(at(200), &former, withdrawal);
    for ms in broke_at_ms.iter().filter(|ms| **ms > 200) {
        withdrawals.on_broke(at(*ms), &former);
    }
    withdrawals.on_restarted(&former, &current);
    assert_eq!(withdrawals.get(at(1_000), &current).is_some(), goes_over);
    assert_eq!(withdrawals.get(at(2_300), &current), None);
}

#[test]
fn a_target_that_asked_for_time_gets_calls_when_it_is_over() {
    let mut d = dispatcher(2);
    assert!(withdraw(&mut d, 100, 0, backoff("3")));
    assert_eq!(reached_targets(&mut d, at(3_099)), ["t1"]);
    assert_eq!(reached_targets(&mut d, at(3_100)), ["t0", "t1"]);
    assert_eq!(d.withdrawals.on_tick(at(3_100)), [record(0).id]);
    assert!(withdraw(&mut d, 3_200, 0, backoff("0.5")));
    assert_eq!(reached_targets(&mut d, at(3_699)), ["t1"]);
}

/// Responses to concurrent calls arrive in any order.
#[test]
fn of_times_that_overlap_the_later_end_counts() {
    let mut d = dispatcher(2);
    withdraw(&mut d, 100, 0, backoff("3"));
    assert!(!withdraw(&mut d, 150, 0, backoff("1")));
    assert_eq!(reached_targets(&mut d, at(3_099)), ["t1"]);
    withdraw(&mut d, 200, 0, backoff("4"));
    assert_eq!(reached_targets(&mut d, at(4_199)), ["t1"]);
    assert!(withdraw(&mut d, 300, 0, Withdrawal::Leaving));
    assert!(
        !withdraw(&mut d, 400, 0, backoff("1")),
        "it leaves all the same"
    );
    assert_eq!(reached_targets(&mut d, at(60_000)), ["t1"]);
}

#[rstest]
#[case::all_leave(&[(0, Withdrawal::Leaving), (1, Withdrawal::Leaving)], PlacementError::AllLeaving)]
#[case::soonest_end(&[(0, backoff("9")), (1, backoff("2.5"))], PlacementError::AllBackedOff { left: Duration::from_millis(2_400) })]
#[case::one_leaves(&[(0, backoff("9")), (1, Withdrawal::Leaving)], PlacementError::AllBackedOff { left: Duration::from_millis(8_900) })]
fn where_no_target_wants_calls_none_is_sent(
    #[case] withdrawals: &[(usize, Withdrawal)],
    #[case] expected: PlacementError,
) {
    let mut d = dispatcher(2);
    for (target, withdrawal) in withdrawals {
        withdraw(&mut d, 0, *target, *withdrawal);
    }
    let call = plan(NEVER_RETRIED, vec![part(1, 3_000)], 1);
    assert_eq!(d.choose(at(100), &call).unwrap_err(), expected);
    let left = match expected {
        PlacementError::AllBackedOff { left } => Some(left),
        _ => None,
    };
    assert_eq!(d.backoff_remaining(at(100), &call.service), left);
}

/// The last target that accepts calls is chosen although others are preferred by their prompts.
/// A target that leaves by its entry alone does not count as withdrawn by a response: the error states
/// the soonest end of the others' backoffs.
#[test]
fn entries_and_answers_are_heeded_together() {
    let mut d = dispatcher(3);
    withdraw(&mut d, 0, 0, backoff("60"));
    let put = ListChange::Put(TargetRecord {
        state: TargetState::Leaving,
        ..record(1)
    });
    d.discovery
        .on_change(at(0), put, StoreRevision::first_era(2));
    assert_eq!(reached_targets(&mut d, at(10)), ["t2"]);
    withdraw(&mut d, 20, 2, backoff("30"));
    let call = plan(NEVER_RETRIED, vec![part(1, 3_000)], 1);
    let left = Duration::from_secs(30);
    assert_eq!(
        d.choose(at(20), &call).unwrap_err(),
        PlacementError::AllBackedOff { left }
    );
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut all = Withdrawals::default();
    for n in 0..10_000 {
        all.on_withdrawal(at(0), &record(n).id, Withdrawal::Leaving);
    }
    assert_eq!(all.counts(at(0)), (4_096, 0));
    assert!(all.get(at(0), &record(9_999).id).is_some());
}

#[rstest]
#[case("3", 3_000)]
#[case("0.25", 250)]
#[case(".5", 500)]
#[case("86400", 86_400_000)]
fn seconds_are_read_with_and_without_a_fraction(#[case] text: &str, #[case] ms: u64) {
    let read: Backoff = text.parse().unwrap();
    assert_eq!(read.duration(), Duration::from_millis(ms));
    assert_eq!(read.to_string().parse::<Backoff>().unwrap(), read);
}

proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in ".{0,40}") {
        if let Ok(read) = text.parse::<Backoff>() {
            prop_assert!(read.duration() <= Duration::from_hours(24));
        }
    }

    /// Compares choices with a model that keeps all withdrawals.
    #[test]
    fn nothing_is_sent_before_the_last_end_of_what_was_said(
        withdrawals in prop::collection::vec((0_usize..4, 0_u64..4_000, 0_u64..3_000), 0..40),
    ) {
        let mut d = dispatcher(4);
        let mut ends: HashMap<usize, u64> = HashMap::new();
        let mut withdrawals = withdrawals;
        withdrawals.sort_by_key(|(_, ms, _)| *ms);
        for (n, (target, ms, backoff_ms)) in withdrawals.into_iter().enumerate() {
            let call = plan(NEVER_RETRIED, vec![part(n as u64, 500)], n as u64);
            let is_backed_off = |t: &usize| ends.get(t).is_some_and(|end| ms < *end);
            match d.choose(at(ms), &call) {
                Ok(ticket) => {
                    let t = (0..4).find(|t| record(*t).id == ticket.target.id).unwrap();
                    prop_assert!(!is_backed_off(&t));
                    d.on_end(at(ms), &ticket, Some(Outcome::Good));
                }
                Err(_) => prop_assert!((0..4).all(|t| is_backed_off(&t))),
            }
            if backoff_ms > 0 {
                let time = format!("{:.3}", backoff_ms as f64 / 1_000.0);
                withdraw(&mut d, ms, target, backoff(&time));
                let end = ends.entry(target).or_default();
                *end = (*end).max(ms + backoff_ms);
            }
        }
    }
}

//! Which paths to targets are trusted, and which peers are asked for a path.

use std::time::Duration;

use rstest::rstest;
use scaleford::{
    paths::{Route, TargetPaths},
    relays::{PeerVerdict, RelayCandidate, RelayFailure, Relays},
};

use super::{at, record};

#[test]
fn one_target_that_fails_does_not_make_others_suspect() {
    let (mut paths, [a, b, _]) = (TargetPaths::default(), targets());
    assert!(paths.on_not_reached(at(1_000), &a));
    assert_eq!(paths.route(at(1_000), &a), Route::ThroughPeer);
    assert_eq!(paths.route(at(1_000), &b), Route::Direct);
    assert!(!paths.is_cut_off());
}

#[test]
fn after_two_failures_nothing_is_trusted_that_was_not_heard_from_since() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    paths.on_heard(at(900), &c);
    paths.on_not_reached(at(1_000), &a);
    paths.on_not_reached(at(1_010), &b);
    assert!(paths.is_cut_off());
    assert_eq!(paths.route(at(1_020), &c), Route::ThroughPeer);
    assert!(!paths.is_idle_conn_trusted(&c));
    paths.on_heard(at(1_030), &c);
    assert!(!paths.is_cut_off());
    assert_eq!(paths.route(at(1_040), &c), Route::Direct);
    assert_eq!(paths.route(at(1_040), &a), Route::ThroughPeer);
}

#[test]
fn a_path_that_still_fails_does_not_make_one_suspect_that_was_seen_to_work_since() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    paths.on_not_reached(at(1_000), &a);
    paths.on_not_reached(at(1_010), &b);
    paths.on_opened(at(1_100), &c);
    paths.on_not_reached(at(1_500), &a);
    paths.on_not_reached(at(1_510), &b);
    assert_eq!(paths.route(at(1_600), &c), Route::Direct);
    assert!(!paths.is_cut_off());
}

#[test]
fn failures_at_targets_between_answers_of_others_do_not_make_these_suspect() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    paths.on_heard(at(900), &c);
    paths.on_not_reached(at(1_000), &a);
    paths.on_heard(at(1_010), &c);
    paths.on_not_reached(at(1_020), &b);
    assert_eq!(paths.route(at(1_030), &c), Route::Direct);
    assert!(!paths.is_cut_off());
}

#[test]
fn targets_that_are_down_do_not_make_this_router_suspect_itself() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    for target in [&a, &b] {
        paths.on_not_reached(at(1_000), target);
        paths.on_peer_failed(target);
    }
    assert!(!paths.is_cut_off());
    assert_eq!(paths.route(at(1_010), &c), Route::Direct);
    assert_eq!(paths.failing_count(), 0);
}

#[test]
fn a_target_that_is_down_stays_so_until_a_router_reaches_it() {
    let (mut paths, [a, _, _]) = (TargetPaths::default(), targets());
    paths.on_not_reached(at(1_000), &a);
    paths.on_peer_failed(&a);
    assert!(!paths.on_not_reached(at(1_100), &a));
    assert!(paths.is_trusted(&a));
    assert_eq!(paths.failing_count(), 0);
    paths.on_relayed(at(1_200), &a);
    assert!(!paths.is_trusted(&a));
    assert_eq!(paths.failing_count(), 1);
    paths.on_opened(at(1_300), &a);
    assert!(paths.on_not_reached(at(1_400), &a));
}

#[test]
fn an_open_connection_that_works_is_used_while_new_ones_fail() {
    let (mut paths, [a, ..]) = (TargetPaths::default(), targets());
    paths.on_not_reached(at(1_000), &a);
    assert!(!paths.is_idle_conn_trusted(&a));
    paths.on_heard(at(1_005), &a);
    assert!(paths.is_idle_conn_trusted(&a));
    assert_eq!(paths.route(at(1_010), &a), Route::ThroughPeer);
}

#[test]
fn after_two_targets_that_no_peer_reached_others_are_out_of_reach_too() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    paths.on_not_reached(at(1_000), &a);
    paths.on_out_of_reach(at(1_010), &a);
    assert!(paths.is_out_of_reach(at(1_020), &a));
    assert!(!paths.is_out_of_reach(at(1_020), &c));
    paths.on_not_reached(at(1_030), &b);
    paths.on_out_of_reach(at(1_040), &b);
    assert!(paths.is_out_of_reach(at(1_050), &c));
    assert!(!paths.is_out_of_reach(at(2_050), &c));
    paths.on_out_of_reach(at(2_060), &c);
    assert!(paths.is_out_of_reach(at(2_070), &a));
    paths.on_relayed(at(2_080), &c);
    assert!(!paths.is_out_of_reach(at(2_090), &a));
    paths.on_out_of_reach(at(2_100), &a);
    paths.on_heard(at(2_110), &c);
    assert!(!paths.is_out_of_reach(at(2_120), &c));
}

#[test]
fn a_path_that_fails_is_checked_while_calls_need_it() {
    let (mut paths, [a, ..]) = (TargetPaths::default(), targets());
    paths.on_not_reached(at(0), &a);
    let mut checks = 0;
    for ms in (0..12_000).step_by(100) {
        if ms <= 3_000 {
            paths.route(at(ms), &a);
        }
        for _ in paths.take_due_checks(at(ms)) {
            checks += 1;
            paths.on_not_reached(at(ms), &a);
        }
    }
    assert!((10..=24).contains(&checks), "{checks}");
    assert_eq!(paths.route(at(12_000), &a), Route::ThroughPeer);
    assert_eq!(paths.take_due_checks(at(12_000)), vec![a.id.clone()]);
    assert!(paths.on_opened(at(12_010), &a));
    assert_eq!(paths.route(at(12_010), &a), Route::Direct);
}

#[test]
fn a_failure_in_silence_has_other_paths_checked() {
    let (mut paths, [a, b, c]) = (TargetPaths::default(), targets());
    for target in [&a, &b, &c] {
        paths.on_heard(at(0), target);
    }
    paths.on_not_reached(at(1_000), &a);
    let mut checked = paths.take_due_checks(at(1_000));
    checked.sort();
    assert_eq!(checked, [b.id.clone(), c.id.clone()]);
}

#[test]
fn a_relay_that_failed_is_not_asked_for_a_while() {
    let near = ["east".parse().unwrap()];
    let near: Vec<_> = near.iter().collect();
    let all = [peer(1, "east"), peer(2, "east"), peer(3, "west")];
    let mut relays = Relays::default();
    let id = record(0).id;
    for draw in [0.0, 0.99] {
        let chosen = relays.choose(at(0), &id, &all, &near, &[], draw).unwrap();
        assert_eq!(chosen.hall.as_str(), "east");
    }
    let tried = [all[0].clone()];
    let chosen = relays.choose(at(0), &id, &all, &near, &tried, 0.0).unwrap();
    assert_eq!(chosen.hall.as_str(), "west");
    for peer in &all {
        relays.on_failure(at(0), peer.address, &id, RelayFailure::Refused);
    }
    assert_eq!(relays.choose(at(100), &id, &all, &near, &[], 0.5), None);
    let later = at(0) + Duration::from_secs(1);
    assert!(relays.choose(later, &id, &all, &near, &[], 0.5).is_some());
}

#[test]
fn the_relay_that_has_a_path_to_a_target_is_asked_first_and_one_without_is_left_out_for_it() {
    let (a, b) = (record(0).id, record(1).id);
    let all = [peer(1, "east"), peer(2, "east"), peer(3, "west")];
    let mut relays = Relays::default();
    relays.on_success(all[2].address, &a);
    for draw in [0.0, 0.5, 0.99] {
        let chosen = relays.choose(at(0), &a, &all, &[], &[], draw);
        assert_eq!(chosen, Some(&all[2]));
    }
    relays.on_failure(at(0), all[2].address, &a, RelayFailure::NoPath);
    let chosen = |target| relays.choose(at(100), target, &all, &[], &[], 0.99);
    assert_eq!(chosen(&a), Some(&all[1]));
    assert_eq!(chosen(&b), Some(&all[2]));
}

#[rstest]
#[case::one_is_sound_of_three(&[RelayFailure::TargetDown], PeerVerdict::NotKnown)]
#[case::two_are_sound(&[RelayFailure::TargetDown, RelayFailure::TargetDown], PeerVerdict::TargetDown)]
#[case::the_others_do_not_answer(
    &[RelayFailure::Silent, RelayFailure::TargetDown, RelayFailure::Silent],
    PeerVerdict::TargetDown
)]
#[case::the_others_are_cut_off(
    &[RelayFailure::NoPath, RelayFailure::NoPath, RelayFailure::TargetDown],
    PeerVerdict::TargetDown
)]
#[case::all_are_cut_off(
    &[RelayFailure::NoPath, RelayFailure::NoPath, RelayFailure::Silent],
    PeerVerdict::NotKnown
)]
#[case::none_has_room(&[RelayFailure::Refused; 3], PeerVerdict::NotKnown)]
#[case::none_answers(&[RelayFailure::Silent; 3], PeerVerdict::NoPeers)]
fn a_target_is_not_down_by_the_word_of_peers_that_can_not_know(
    #[case] failures: &[RelayFailure],
    #[case] verdict: PeerVerdict,
) {
    let all = [peer(1, "east"), peer(2, "east"), peer(3, "west")];
    let (mut relays, id) = (Relays::default(), record(0).id);
    for (peer, failure) in all.iter().zip(failures) {
        relays.on_failure(at(0), peer.address, &id, *failure);
    }
    assert_eq!(relays.verdict(at(100), &id, &all), verdict);
}

fn peer(n: u8, hall: &str) -> RelayCandidate {
    RelayCandidate {
        address: ([127, 0, 0, n], 7_300).into(),
        hall: hall.parse().unwrap(),
    }
}

fn targets() -> [scaleford::discovery::TargetRecord; 3] {
    [0, 1, 2].map(record)
}

//! Targets that receive no calls because of failures.

use std::time::Duration;

use scaleford::{
    config::serving::CallKind,
    health::{Health, HealthStatus, Outcome},
    ids::TargetId,
    target_counts::TargetHash,
};

use crate::{RESUMABLE, at, dispatcher, part, plan, record};

#[test]
fn a_target_that_fails_is_left_alone_and_tried_again_with_one_call() {
    let mut health = Health::default();
    let target: TargetId = "t1".parse().unwrap();
    for _ in 0..3 {
        health.on_outcome(at(0), &target, Outcome::Broken);
    }
    assert_eq!(health.status(at(100), &target), HealthStatus::Paused);
    assert_eq!(health.status(at(500), &target), HealthStatus::OnTrial);
    health.on_send(at(500), &target, false);
    assert_eq!(
        health.status(at(501), &target),
        HealthStatus::Paused,
        "one at a time"
    );
    health.on_outcome(at(520), &target, Outcome::Good);
    assert_eq!(health.status(at(521), &target), HealthStatus::Well);
}

#[test]
fn errors_that_a_well_target_answers_now_and_then_do_not_count_against_it() {
    let mut health = Health::default();
    let target: TargetId = "t1".parse().unwrap();
    for i in 0..200 {
        let outcome = if i % 7 == 0 {
            Outcome::Error
        } else {
            Outcome::Good
        };
        health.on_outcome(at(i * 10), &target, outcome);
        assert_eq!(health.status(at(i * 10), &target), HealthStatus::Well);
    }
}

#[test]
fn a_trial_that_nobody_waited_for_does_not_block_the_next_one() {
    let mut health = Health::default();
    let target: TargetId = "t1".parse().unwrap();
    for _ in 0..3 {
        health.on_outcome(at(0), &target, Outcome::Broken);
    }
    health.on_send(at(500), &target, false);
    health.on_abandon(&target);
    assert_eq!(health.status(at(501), &target), HealthStatus::OnTrial);
}

/// In incidents of both sites, each router sent several calls to a target that had become
/// unresponsive before the first one timed out.
#[test]
fn a_target_that_gives_no_sign_of_life_gets_no_further_call() {
    let mut d = dispatcher(3);
    let call = |n| plan(CallKind::Unsafe, Vec::new(), n);
    let unresponsive = d.choose(at(0), &call(1)).unwrap();
    for n in 2..30 {
        let ticket = d.choose(at(300 + n), &call(n)).unwrap();
        assert_ne!(ticket.target.id, unresponsive.target.id);
        d.on_end(at(301 + n), &ticket, Some(Outcome::Good));
    }
    d.on_end(at(600), &unresponsive, Some(Outcome::Good));
    assert_eq!(
        d.health.status(at(600), &unresponsive.target.id),
        HealthStatus::Well
    );
}

#[test]
fn a_target_that_two_peers_doubt_is_the_last_choice_and_one_peer_alone_changes_nothing() {
    let mut d = dispatcher(2);
    let suspected = record(0).id;
    let suspicions = vec![(&suspected).into()];
    d.health
        .on_suspicions(at(0), "vm-1".parse().unwrap(), suspicions.clone());
    assert_eq!(d.health.status(at(1), &suspected), HealthStatus::Well);
    d.health
        .on_suspicions(at(0), "vm-2".parse().unwrap(), suspicions);
    assert_eq!(d.health.status(at(1), &suspected), HealthStatus::Suspected);
    for n in 0..10 {
        let call = plan(CallKind::Unsafe, Vec::new(), n);
        let ticket = d.choose(at(2), &call).unwrap();
        assert_ne!(ticket.target.id, suspected);
        d.on_end(at(3), &ticket, Some(Outcome::Good));
    }
    assert_eq!(d.health.status(at(5_000), &suspected), HealthStatus::Well);
}

/// Each of 85 routers, one after the other, lost calls to a target that went down and up (grown
/// sapporo, incident bc0b).
#[test]
fn a_target_that_breaks_a_call_off_at_once_is_left_alone_by_all_routers() {
    let target: TargetId = "t1".parse().unwrap();
    let hash = TargetHash::from(&target);
    let (mut first, mut hub, mut other) = <(Health, Health, Health)>::default();
    first
        .outages
        .on_broke(at(1_000), hash, Duration::from_millis(4));
    assert_eq!(first.status(at(1_000), &target), HealthStatus::Suspected);
    hub.outages
        .on_notices(at(1_100), &first.outages.notices(at(1_100)));
    other
        .outages
        .on_notices(at(1_200), &hub.outages.notices(at(1_200)));
    assert_eq!(other.status(at(1_200), &target), HealthStatus::Suspected);
    // A notice that returns to the router that sent it does not extend the outage.
    first
        .outages
        .on_notices(at(1_300), &other.outages.notices(at(1_300)));
    for health in [&first, &hub, &other] {
        assert_eq!(health.status(at(1_900), &target), HealthStatus::Well);
    }
    assert!(first.outages.notices(at(1_900)).is_empty());
    // The next time that the target goes down is another outage.
    hub.outages
        .on_broke(at(4_000), hash, Duration::from_millis(4));
    other
        .outages
        .on_notices(at(4_100), &hub.outages.notices(at(4_100)));
    assert_eq!(other.status(at(4_100), &target), HealthStatus::Suspected);
}

/// Of 1,300 calls a second, 550 reached one of 40 targets that were down, as each of 295 routers
/// had to detect each of them, and again after 0.8 s (large sapporo, seconds 15 to 17).
#[test]
fn a_target_that_goes_on_refusing_is_left_alone_for_longer() {
    let target: TargetId = "t1".parse().unwrap();
    let hash = TargetHash::from(&target);
    let mut health = Health::default();
    let is_out = |health: &Health, ms| health.outages.is_out(at(ms), hash);
    health.outages.on_refused(at(1_000), hash);
    assert!(is_out(&health, 1_790));
    assert!(!is_out(&health, 1_800), "one call may try it");
    health.outages.on_refused(at(1_900), hash);
    health.outages.on_refused(at(1_950), hash);
    assert!(is_out(&health, 3_490), "twice as long, counted once");
    assert!(!is_out(&health, 3_500));
    health.outages.on_refused(at(3_600), hash);
    health.outages.on_refused(at(7_000), hash);
    assert!(is_out(&health, 10_190), "no longer than four times");
    assert!(!is_out(&health, 10_200));
    health.outages.on_refused(at(15_000), hash);
    assert!(
        !is_out(&health, 15_800),
        "long after that it is a new outage"
    );
}

/// Prompts were to be fetched from engines that were down, and were read again (large sapporo,
/// second 15).
#[test]
fn a_prompt_is_not_taken_from_a_target_that_is_down() {
    let mut d = dispatcher(3);
    let prompt = vec![part(1, 500), part(2, 10_000), part(3, 100)];
    let call = |own| plan(RESUMABLE, prompt.clone(), own);
    let first = d.choose(at(0), &call(1)).unwrap();
    d.on_end(at(50), &first, Some(Outcome::Good));
    let refused = TargetHash::from(&first.target.id);
    d.health.outages.on_refused(at(100), refused);
    let second = d.choose(at(110), &call(2)).unwrap();
    assert_ne!(second.target.id, first.target.id);
    assert!(second.fetch_from.is_none());
}

/// A response that is lost after the call ran is no outage.
#[test]
fn a_connection_that_breaks_late_is_no_outage() {
    let target: TargetId = "t1".parse().unwrap();
    let mut health = Health::default();
    let late = Duration::from_millis(40);
    health
        .outages
        .on_broke(at(1_000), TargetHash::from(&target), late);
    assert_eq!(health.status(at(1_000), &target), HealthStatus::Well);
}

/// A peer's report replaces its previous one: a target that it no longer names is no longer
/// suspected by that peer, and one that it names twice counts once.
#[test]
fn the_last_report_of_a_peer_counts_once() {
    let mut d = dispatcher(2);
    let (first, second) = (record(0).id, record(1).id);
    let hash = |id| TargetHash::from(id);
    let mut report = |vm: &str, ms, targets: Vec<TargetHash>| {
        d.health.on_suspicions(at(ms), vm.parse().unwrap(), targets);
        let status = |id| d.health.status(at(ms), id);
        (status(&first), status(&second))
    };
    let (well, suspected) = (HealthStatus::Well, HealthStatus::Suspected);
    let both = vec![hash(&first), hash(&second)];
    let twice = vec![hash(&first), hash(&first)];
    assert_eq!(report("vm-1", 0, twice), (well, well));
    assert_eq!(report("vm-2", 10, both.clone()), (suspected, well));
    assert_eq!(report("vm-1", 20, both), (suspected, suspected));
    assert_eq!(report("vm-2", 30, vec![hash(&second)]), (well, suspected));
    assert_eq!(report("vm-1", 40, Vec::new()), (well, well));
    assert_eq!(
        report("vm-3", 1_000, vec![hash(&second)]),
        (well, suspected)
    );
    assert_eq!(
        report("vm-4", 1_300, Vec::new()),
        (well, well),
        "it is too old"
    );
}

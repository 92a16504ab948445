//! What is blamed for crashes of targets: a request, or a part that requests share.

use std::time::Duration;

use rstest::rstest;
use scaleford::{
    fingerprint::Fingerprint,
    prompt_cache::PartId,
    quarantine::{CrashedCall, PartKey, Quarantine, QuarantineKey},
    target_counts::TargetHash,
    units::Instant,
};

use super::at;

fn target(n: u64) -> TargetHash {
    let id: scaleford::ids::TargetId = format!("t{n}").parse().unwrap();
    TargetHash::from(&id)
}

fn part(id: u64) -> PartKey {
    PartKey::new(&"writer".parse().unwrap(), PartId(id))
}

fn parts(ids: &[u64]) -> Vec<PartKey> {
    ids.iter().map(|id| part(*id)).collect()
}

/// Records the crash of target `n` under requests, each with its number and the parts of its prompt.
fn crash(quarantine: &mut Quarantine, ms: u64, n: u64, calls: &[(u64, &[u64])]) {
    let calls: Vec<_> = calls
        .iter()
        .map(|(n, ids)| (Fingerprint(*n), parts(ids)))
        .collect();
    let calls = calls.iter().map(|(request, parts)| CrashedCall {
        request: *request,
        parts,
    });
    let calls: Vec<CrashedCall<'_>> = calls.collect();
    quarantine.on_crashed_calls(at(ms), target(n), &calls);
}

fn held(quarantine: &Quarantine, now: Instant) -> Vec<QuarantineKey> {
    let mut held: Vec<_> = quarantine.quarantined(now).map(|(key, _)| key).collect();
    held.sort_unstable();
    held
}

fn part_key(id: u64) -> QuarantineKey {
    part(id).into()
}

const GUILTY: u64 = 0xbad;

#[test]
fn what_crashed_requests_share_and_answered_ones_do_not_is_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, n * 500, n, &[(n, &[1, GUILTY, 20 + n])]);
        quarantine.on_parts_answered(at(n * 500 + 100), &parts(&[1, 30]));
    }
    assert_eq!(held(&quarantine, at(2_000)), [part_key(GUILTY)]);
}

/// Requests beside the crashing ones broke off as well, some of them again after a retry.
#[test]
fn parts_of_requests_that_ran_beside_are_not_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..20 {
        let beside: [(u64, &[u64]); 3] = [(900, &[1, 7]), (901, &[1, 8]), (n, &[1, GUILTY])];
        crash(&mut quarantine, n * 400, n, &beside);
        quarantine.on_parts_answered(at(n * 400 + 50), &parts(&[1]));
    }
    assert_eq!(held(&quarantine, at(9_000)), [part_key(GUILTY)]);
}

#[test]
fn a_request_that_comes_again_is_held_and_not_its_parts() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, n * 500, n, &[(5, &[1, 2, 3])]);
    }
    let request = Fingerprint(5);
    assert_eq!(held(&quarantine, at(2_000)), [QuarantineKey::from(request)]);
}

/// Targets that lose power together take requests with popular parts along.
#[rstest]
#[case::popular_part(&[1, 2])]
#[case::single_part(&[1])]
fn targets_that_crash_together_are_one_crash_to_a_part(#[case] ids: &[u64]) {
    let mut quarantine = Quarantine::default();
    for n in 0..9 {
        crash(&mut quarantine, n * 8, n, &[(n, ids)]);
    }
    assert!(held(&quarantine, at(100)).is_empty());
    quarantine.on_parts_answered(at(300), &parts(ids));
    for n in 10..19 {
        crash(&mut quarantine, 2_000 + n * 8, n, &[(n, ids)]);
    }
    assert!(held(&quarantine, at(3_000)).is_empty());
}

/// The first part may be shared by sound requests that have not come yet.
#[test]
fn of_parts_that_always_come_together_the_deepest_is_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..4 {
        crash(&mut quarantine, n * 500, n, &[(n, &[1, 2, GUILTY])]);
    }
    assert_eq!(held(&quarantine, at(3_000)), [part_key(GUILTY)]);
}

#[test]
fn two_parts_that_crash_targets_in_turn_are_both_held() {
    let mut quarantine = Quarantine::default();
    for n in 0..6 {
        let guilty = GUILTY + n % 2;
        crash(&mut quarantine, n * 400, n, &[(n, &[1, guilty])]);
        quarantine.on_parts_answered(at(n * 400 + 100), &parts(&[1]));
    }
    let expected = [part_key(GUILTY), part_key(GUILTY + 1)];
    assert_eq!(held(&quarantine, at(3_000)), expected);
}

/// Each of three routers saw one crash, and only a fourth one answers the popular part.
#[test]
fn crashes_and_answers_at_different_routers_are_put_together() {
    let mut routers: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
    for n in 0..3_u64 {
        let ms = n * 400;
        crash(&mut routers[n as usize], ms, n, &[(n, &[1, GUILTY])]);
        routers[3].on_parts_answered(at(ms + 20), &parts(&[1]));
        for later in [100, 200] {
            let now = at(ms + later);
            let crashes: Vec<_> = routers.iter().map(|r| r.crash_notices(now)).collect();
            let cleared: Vec<_> = routers.iter().map(|r| r.clear_notices(now)).collect();
            for router in &mut routers {
                crashes
                    .iter()
                    .for_each(|c| drop(router.on_crash_notices(now, c)));
                cleared
                    .iter()
                    .for_each(|c| drop(router.on_clear_notices(now, c)));
            }
        }
    }
    for router in &routers {
        assert_eq!(held(router, at(1_100)), [part_key(GUILTY)]);
    }
}

#[test]
fn a_part_that_was_held_wrongly_is_released_by_an_answer_wherever_it_came() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for n in 0..3 {
        crash(&mut here, n * 500, n, &[(n, &[1])]);
        there.on_crash_notices(at(n * 500 + 50), &here.crash_notices(at(n * 500 + 40)));
    }
    assert_eq!(held(&there, at(1_100)).len(), 1);
    assert_eq!(here.on_parts_answered(at(1_500), &parts(&[1])), parts(&[1]));
    let released = there.on_clear_notices(at(1_550), &here.clear_notices(at(1_540)));
    assert_eq!(released, parts(&[1]));
    assert!(held(&there, at(1_600)).is_empty());
}

/// An answer that came before the last crash says nothing of it.
#[test]
fn an_answer_from_before_the_quarantine_does_not_end_it() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.on_parts_answered(at(900), &parts(&[GUILTY]));
    for n in 0..3 {
        crash(&mut there, 1_000 + n * 300, n, &[(n, &[GUILTY])]);
        here.on_crash_notices(
            at(1_010 + n * 300),
            &there.crash_notices(at(1_005 + n * 300)),
        );
    }
    there.on_clear_notices(at(1_700), &here.clear_notices(at(1_690)));
    assert_eq!(held(&there, at(1_800)), [part_key(GUILTY)]);
}

/// A part whose targets were fixed would be refused as long as requests with it come.
#[test]
fn a_held_part_is_tried_seldom_and_once_at_a_time() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, n * 500, n, &[(n, &[GUILTY])]);
    }
    let mut trials = Vec::new();
    for s in 1..1_800 {
        let now = at(1_000) + Duration::from_secs(s);
        quarantine.on_stored(now, part(GUILTY));
        if quarantine.take_trial(now, part(GUILTY)) {
            trials.push(s);
        }
    }
    assert_eq!(trials, [120, 360, 840, 1_440]);
}

/// Callers may name parts at will.
#[test]
fn what_is_remembered_of_parts_is_bounded() {
    let mut quarantine = Quarantine::default();
    for n in 0..3_000 {
        let ids: Vec<u64> = (0..200).map(|i| n * 1_000 + i).collect();
        crash(&mut quarantine, n * 10, n, &[(n, &ids)]);
        quarantine.on_parts_answered(at(n * 10 + 5), &parts(&ids[..100]));
    }
    assert!(quarantine.suspect_count() <= 2_048);
    assert!(quarantine.crash_notices(at(30_000)).len() <= 48);
    assert!(quarantine.clear_notices(at(30_000)).len() <= 32);
}

#[test]
fn keys_are_written_and_read_back() {
    for key in [part_key(0xbad0), QuarantineKey::from(Fingerprint(7))] {
        assert_eq!(key.to_string().parse::<QuarantineKey>().unwrap(), key);
    }
    for text in ["part-", "part-zz-1", "part-00000001", "12"] {
        assert!(text.parse::<QuarantineKey>().is_err(), "{text}");
    }
}

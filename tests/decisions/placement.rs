//! Load, prompt caches and placement of calls.

use std::collections::HashMap;

use proptest::prelude::*;
use scaleford::{
    config::serving::CallKind,
    discovery::{ListChange, TargetRecord, TargetState},
    dispatcher::CallPlan,
    health::Outcome,
    ids::{ConversationKey, TargetId, VmId},
    load_account::LoadAccount,
    placement::choice::PlacementError,
    prompt_cache::{PartId, PromptCache},
    target_counts::InProgress,
    units::{StoreRevision, Tokens},
};

use crate::{RESUMABLE, at, dispatcher, hall, part, plan, record};

#[test]
fn counts_of_peers_are_added_up_once_whether_they_come_singly_or_as_a_sum() {
    let target: TargetId = "t1".parse().unwrap();
    let mut own = LoadAccount::new(hall("yard"));
    let mut peer_load = LoadAccount::new(hall("yard"));
    peer_load.on_send(&target, InProgress::one(Tokens(10)));
    peer_load.on_send(&target, InProgress::one(Tokens(5)));
    let me: VmId = "me".parse().unwrap();
    let peer: VmId = "peer".parse().unwrap();
    own.on_send(&target, InProgress::one(Tokens(1)));
    own.on_peer(at(0), peer.clone(), hall("yard"), peer_load.own_counts());
    assert_eq!(own.total(&target).calls, 3);
    // The peer computes the hall's sum, which includes the counts that this router sent to it.
    peer_load.on_peer(at(0), me.clone(), hall("yard"), own.own_counts());
    let sum = peer_load.own_hall_sum(at(0)).counts;
    assert_eq!(sum.calls(), 3);
    own.on_hall_sums(at(10), peer_load.all_hall_sums(at(0)));
    assert_eq!(
        own.total(&target),
        InProgress {
            calls: 3,
            tokens: Tokens(16)
        }
    );
    // When no more sums arrive, the peers' own counts are used again.
    own.on_tick(at(1_600));
    assert_eq!(own.total(&target).calls, 3);
    own.on_tick(at(9_000));
    assert_eq!(own.total(&target).calls, 1);
}

#[test]
fn a_call_returns_to_the_target_that_read_its_prompt() {
    let mut d = dispatcher(9);
    let prompt = |own| vec![part(1, 500), part(2, 10_000), part(own, 100)];
    let first = d.choose(at(0), &plan(RESUMABLE, prompt(100), 1)).unwrap();
    d.on_end(at(50), &first, Some(Outcome::Good));
    for own in 101..120 {
        let ticket = d
            .choose(at(own), &plan(RESUMABLE, prompt(own), own))
            .unwrap();
        assert_eq!(ticket.target.id, first.target.id);
        assert!(ticket.has_read);
        d.on_end(at(own), &ticket, Some(Outcome::Good));
    }
}

/// During releases, prompts of targets that left were read again by others though the first target
/// still had them (puente).
#[test]
fn a_prompt_is_taken_from_the_memory_of_a_target_that_leaves() {
    let mut d = dispatcher(3);
    let prompt = vec![part(1, 500), part(2, 10_000), part(3, 100)];
    let first = d
        .choose(at(0), &plan(RESUMABLE, prompt.clone(), 1))
        .unwrap();
    d.on_end(at(50), &first, Some(Outcome::Good));
    let leaving = TargetRecord {
        state: TargetState::Leaving,
        ..(*first.target).clone()
    };
    let put = ListChange::Put(leaving);
    d.discovery
        .on_change(at(100), put, StoreRevision::first_era(2));
    let second = d.choose(at(200), &plan(RESUMABLE, prompt, 2)).unwrap();
    assert_ne!(second.target.id, first.target.id);
    let source = second.fetch_from.map(|t| t.id.clone());
    assert_eq!(source, Some(first.target.id.clone()));
}

/// 209 of 2,180 calls reached targets with twice the mean load, as all prompts with the same
/// beginning were sent to one target before routers knew of one another (grown puente, seconds 1
/// to 6).
#[test]
fn prompts_with_the_same_beginning_spread_before_anyone_hears_of_them() {
    let mut chosen = HashMap::new();
    for child in 0..60_u64 {
        // Each router knows only its own first call.
        let mut d = dispatcher(20);
        let prompt = vec![part(1, 500), part(1_000 + child, 10_000), part(child, 50)];
        let ticket = d.choose(at(0), &plan(RESUMABLE, prompt, child)).unwrap();
        *chosen.entry(ticket.target.id.clone()).or_insert(0) += 1;
    }
    let most = chosen.values().max().unwrap();
    assert!(*most <= 12, "{most} of 60 met at one of 20 targets");
}

#[test]
fn no_target_gets_far_more_than_the_mean() {
    let mut d = dispatcher(10);
    let prompt = |n| vec![part(1, 500), part(2, 10_000), part(n, 50)];
    let mut full = 0;
    for n in 100..300 {
        match d.choose(at(n), &plan(RESUMABLE, prompt(n), n)) {
            Ok(ticket) => {
                let all: u32 = (0..10).map(|i| d.load.calls(at(n), &record(i).id)).sum();
                let here = f64::from(ticket.calls);
                assert!(here <= 2.0 * f64::from(all) / 10.0 + 3.0);
            }
            Err(error) => {
                assert_eq!(error, PlacementError::AllFull);
                full += 1;
            }
        }
    }
    assert_eq!(full, 0, "there is room elsewhere");
}

/// A single router knows its calls exactly, so that none exceeds the limit by chance.
#[test]
fn a_limit_is_kept_exactly_where_counts_are_exact() {
    let mut d = dispatcher(1);
    for n in 0..64 {
        let call = plan(CallKind::Unsafe, Vec::new(), n);
        assert!(d.choose(at(n), &call).is_ok(), "call {n}");
    }
    for n in 64..164 {
        let call = plan(CallKind::Unsafe, Vec::new(), n);
        assert_eq!(d.choose(at(n), &call).unwrap_err(), PlacementError::AllFull);
    }
}

#[test]
fn a_call_that_was_sent_everywhere_has_nowhere_left() {
    let mut d = dispatcher(2);
    let mut call = plan(CallKind::Safe, Vec::new(), 1);
    call.tried = vec![record(0).id, record(1).id];
    assert_eq!(
        d.choose(at(0), &call).unwrap_err(),
        PlacementError::NoTarget
    );
}

#[test]
fn targets_that_all_fail_still_get_calls() {
    let mut d = dispatcher(2);
    for n in 0..2 {
        for _ in 0..5 {
            d.health.on_outcome(at(0), &record(n).id, Outcome::Broken);
        }
    }
    assert!(
        d.choose(at(10), &plan(CallKind::Unsafe, Vec::new(), 1))
            .is_ok()
    );
}

#[test]
fn a_suspect_target_is_better_than_a_refusal() {
    let mut d = dispatcher(2);
    for _ in 0..3 {
        d.health.on_outcome(at(0), &record(0).id, Outcome::Broken);
    }
    // More calls than one target may run while the other one is paused.
    for n in 0..40 {
        let call = plan(CallKind::Unsafe, Vec::new(), n);
        assert!(d.choose(at(1), &call).is_ok(), "call {n}");
    }
}

#[test]
fn prompts_of_targets_that_are_missing_for_a_moment_are_remembered() {
    let mut cache = PromptCache::default();
    let target: TargetId = "t1".parse().unwrap();
    cache.on_peer(&target, part(1, 100), false);
    cache.sweep(|_| false);
    assert!(cache.has_read(&target, PartId(1)), "missing once");
    cache.sweep(|_| true);
    cache.sweep(|_| false);
    assert!(cache.has_read(&target, PartId(1)), "it was back between");
    cache.sweep(|_| false);
    assert!(!cache.has_read(&target, PartId(1)));
}

#[test]
fn a_prompt_counts_as_read_only_up_to_its_first_missing_part() {
    let mut cache = PromptCache::default();
    let target: TargetId = "t1".parse().unwrap();
    cache.on_peer(&target, part(2, 1_000), false);
    let prompt = [part(1, 10), part(2, 1_000), part(3, 5)];
    assert_eq!(cache.missing(&target, &prompt), Tokens(1_015));
    cache.on_peer(&target, part(1, 10), false);
    assert_eq!(cache.missing(&target, &prompt), Tokens(5));
}

/// Returns a turn of a chat: a system prompt that other chats share, the earlier messages and a new
/// question.
fn chat_turn(chat: u64, turns: u64) -> CallPlan {
    let mut prompt = vec![part(1, 400)];
    prompt.extend((0..=turns).map(|n| part(chat * 1_000 + n, 150)));
    prompt.push(part(chat * 1_000 + 900 + turns, 0));
    CallPlan {
        shared_parts: 1,
        chat: Some(ConversationKey(chat)),
        answer: Tokens(100),
        ..plan(RESUMABLE, prompt, chat)
    }
}

#[test]
fn a_chat_that_returns_through_another_router_finds_its_target_without_announcements() {
    for chat in 2..60 {
        let first = dispatcher(9).choose(at(0), &chat_turn(chat, 0)).unwrap();
        let again = dispatcher(9).choose(at(0), &chat_turn(chat, 5)).unwrap();
        assert_eq!(again.target.id, first.target.id, "chat {chat}");
        // The target has read the earlier messages but not the new question.
        assert_eq!(again.missing, Tokens(150));
    }
}

#[test]
fn a_chat_whose_first_choice_is_busy_goes_elsewhere_and_the_peers_are_told() {
    let mut d = dispatcher(3);
    let chat = chat_turn(7, 3);
    let first = d.choose(at(0), &chat).unwrap();
    while d.load.calls(at(0), &first.target.id) < 20 {
        d.load.on_send(&first.target.id, InProgress::one(Tokens(0)));
    }
    d.cache.take_announcements(1_000, false);
    let moved = d.choose(at(1), &chat).unwrap();
    assert_ne!(moved.target.id, first.target.id);
    let announced = d.cache.take_announcements(1_000, false);
    let at_new_target = announced.iter().filter(|(_, _, t)| *t == moved.target.id);
    assert_eq!(at_new_target.count(), 5, "all parts but the request's own");
    // A peer that received the announcements finds the chat there.
    let mut peer = dispatcher(3);
    for (id, tokens, target) in announced {
        let part = scaleford::prompt_cache::PromptPart { id, tokens };
        peer.cache.on_peer(&target, part, false);
    }
    while peer.load.calls(at(0), &first.target.id) < 20 {
        peer.load
            .on_send(&first.target.id, InProgress::one(Tokens(0)));
    }
    let again = peer.choose(at(2), &chat_turn(7, 4)).unwrap();
    assert_eq!(again.target.id, moved.target.id);
}

proptest! {
    #[test]
    fn only_the_chats_of_a_leaving_target_move(seed in 2_u64..1_000_000, removed in 0_usize..20) {
        for chat in seed..seed + 20 {
            let mut all = dispatcher(20);
            let before = all.choose(at(0), &chat_turn(chat, 0)).unwrap().target.id.clone();
            let mut fewer = dispatcher(20);
            let removal = ListChange::Removed(record(removed).id.to_name());
            fewer.discovery.on_change(at(0), removal, StoreRevision::first_era(2));
            let after = fewer.choose(at(0), &chat_turn(chat, 0)).unwrap().target.id.clone();
            prop_assert!(before == after || before == record(removed).id);
        }
    }
}

#[test]
fn a_target_of_half_the_weight_carries_half_as_much() {
    let mut d = dispatcher(0);
    let list = (0..4).map(|n| TargetRecord {
        slots: if n == 0 { 32 } else { 64 },
        ..record(n)
    });
    let list = list.map(|r| (r, StoreRevision::first_era(2))).collect();
    d.discovery
        .on_list(at(0), list, StoreRevision::first_era(2));
    let mut calls = [0_u32; 4];
    for n in 0..140 {
        let ticket = d.choose(at(0), &chat_turn(n + 2, 0)).unwrap();
        let target = (0..4).find(|i| record(*i).id == ticket.target.id).unwrap();
        calls[target] += 1;
    }
    // The mean is 40 calls per 64 slots, so 20 at this target. The cap factor of 2 and the bound fraction
    // of 0.4 allow 1.4 times the mean, and three calls are added.
    assert!(f64::from(calls[0]) <= 20.0 * 1.4 + 3.0, "{calls:?}");
    assert!(calls[1..].iter().all(|c| *c > calls[0]), "{calls:?}");
}

#[test]
fn a_target_with_little_room_for_tokens_gets_one_call_and_then_only_what_fits() {
    let mut d = dispatcher(0);
    let list = (0..2).map(|n| TargetRecord {
        max_tokens: (n == 0).then_some(Tokens(1_000)),
        ..record(n)
    });
    let list = list.map(|r| (r, StoreRevision::first_era(2))).collect();
    d.discovery
        .on_list(at(0), list, StoreRevision::first_era(2));
    let mut at_small = 0;
    for n in 0..12 {
        let ticket = d.choose(at(0), &chat_turn(n + 2, 0)).unwrap();
        at_small += u32::from(ticket.target.id == record(0).id);
    }
    let work = d.load.total(&record(0).id).tokens;
    assert!(at_small >= 1);
    assert!(at_small == 1 || work <= Tokens(1_000), "{work}");
}

/// Two routers that do not know of each other yet stay within twice the mean together.
#[test]
fn routers_that_do_not_know_of_one_another_stay_near_the_mean() {
    let mut routers = [dispatcher(10), dispatcher(10)];
    let mut calls: HashMap<TargetId, u32> = HashMap::new();
    for n in 0..400_u64 {
        let router = &mut routers[n as usize % 2];
        let ticket = router.choose(at(0), &chat_turn(n + 2, 0)).unwrap();
        *calls.entry(ticket.target.id.clone()).or_default() += 1;
    }
    let most = calls.values().max().unwrap();
    assert!(*most <= 2 * 40 + 3, "{calls:?}");
}

/// After all routers had lost power, announcements that each had sent before it knew its peers were
/// lost, and 0.6 M tokens were read again (grown puente trouble-1).
#[test]
fn a_young_router_repeats_announcements_that_it_made_before_it_knew_its_peers() {
    let mut d = dispatcher(3);
    d.choose(at(0), &chat_turn(7, 3)).unwrap();
    let first = d.cache.take_announcements(1_000, true);
    assert!(!first.is_empty());
    d.cache.announce_again();
    assert_eq!(d.cache.take_announcements(1_000, false), first);
    d.cache.announce_again();
    assert!(
        d.cache.take_announcements(1_000, false).is_empty(),
        "only once"
    );
}

/// Guards against a prompt that counts as read by a target whose attempt was ended while another one went on.
#[test]
fn a_prompt_counts_as_read_by_an_overlapping_attempt_only_once_its_answer_begins() {
    let mut d = dispatcher(1);
    let target = record(0).id;
    let prompt = vec![part(1, 4_000), part(2, 100)];
    let mut overlapping = plan(RESUMABLE, prompt.clone(), 1);
    overlapping.is_overlapping = true;
    let ended = d.choose(at(0), &overlapping).unwrap();
    d.on_end(at(300), &ended, None);
    assert_eq!(d.cache.missing(&target, &prompt), Tokens(4_100));
    let mut begun = d.choose(at(400), &overlapping).unwrap();
    d.on_first_event(at(500), &mut begun);
    assert_eq!(d.cache.missing(&target, &prompt), Tokens(0));
}

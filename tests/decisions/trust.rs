//! Maximum age of a confirmed configuration, and how routers pass on the store's entries.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    config::freshness::{Freshness, PeerConfirmation},
    store::{MirrorReply, PackedValue, StoreItem, StoreMirror, StoreUpdate},
    units::{ConfigVersion, StoreRevision},
};

use crate::{REVOKE_BOUND, at};

/// In outages of the store, calls were refused after 2.3 s, though none may be refused because of
/// an outage before 3 s (sapporo and puente).
#[test]
fn a_proof_is_relied_on_for_three_seconds_and_more_but_never_for_the_whole_bound() {
    let mut fresh = Freshness::default();
    assert!(!fresh.may_use_keys(at(0), REVOKE_BOUND));
    fresh.on_applied(ConfigVersion(7));
    fresh.on_confirmed(at(1_000), Some(ConfigVersion(7)));
    assert!(fresh.may_use_keys(at(4_600), REVOKE_BOUND));
    // A watch may receive nothing for a second; even with that second the bound must be kept.
    assert!(!fresh.may_use_keys(at(1_000 + 4_000), REVOKE_BOUND));
}

/// In DESIGN.md's trial, revoked keys were accepted as a plain heartbeat was taken for a
/// confirmation.
#[test]
fn a_peer_vouches_only_for_what_it_knows_and_only_since_it_was_asked() {
    let mut fresh = Freshness::default();
    fresh.on_applied(ConfigVersion(7));
    let confirmation = |echo, age, version| PeerConfirmation {
        echo: at(echo),
        age: Duration::from_millis(age),
        version: ConfigVersion(version),
    };
    fresh.on_peer_confirmation(confirmation(5_000, 100, 8));
    assert_eq!(fresh.age(at(5_000)), None, "it knows a later revision");
    fresh.on_peer_confirmation(confirmation(5_000, 400, 7));
    assert_eq!(fresh.age(at(6_000)), Some(Duration::from_millis(1_400)));
    fresh.on_peer_confirmation(confirmation(5_000, 2_000, 7));
    assert_eq!(
        fresh.age(at(6_000)),
        Some(Duration::from_millis(1_400)),
        "an older proof"
    );
    fresh.on_applied(ConfigVersion(9));
    fresh.on_peer_confirmation(confirmation(6_000, 0, 8));
    assert_eq!(
        fresh.age(at(6_000)),
        Some(Duration::ZERO),
        "nine holds all of eight"
    );
}

/// The store was unavailable for eight seconds, and routers were killed and restarted one after the
/// other. Each restarted router took a peer's confirmation, which was older than its own start, for
/// one made at its start, as its clock begins there. Soon it confirmed this to others as less than
/// a second old, and so on. A revoked key worked for five seconds longer than allowed. The log
/// lines of calls showed it: with the store lost at 0.6 s, a router that had started 378 ms before
/// logged `"config_age_ms":378` at 6.88 s.
#[test]
fn a_proof_from_before_this_routers_start_is_as_old_as_it_is() {
    let mut fresh = Freshness::default();
    fresh.on_applied(ConfigVersion(7));
    fresh.on_peer_confirmation(PeerConfirmation {
        echo: at(50),
        age: Duration::from_millis(4_800),
        version: ConfigVersion(7),
    });
    assert_eq!(fresh.age(at(100)), Some(Duration::from_millis(4_850)));
    assert!(!fresh.may_use_keys(at(100), REVOKE_BOUND));
}

/// The store was reverted to an older copy that lacks the configuration in which a key was revoked.
#[rstest]
#[case::what_is_applied(Some(7), 0, true)]
#[case::older(Some(6), 0, false)]
#[case::none(None, 0, false)]
#[case::older_than_a_peer_applies(Some(7), 8, false)]
fn a_store_proves_a_configuration_that_it_holds(
    #[case] stored: Option<u64>,
    #[case] at_a_peer: u64,
    #[case] is_confirmed: bool,
) {
    let mut fresh = Freshness::default();
    fresh.on_applied(ConfigVersion(7));
    fresh.on_peer_confirmation(PeerConfirmation {
        echo: at(0),
        age: Duration::from_secs(9),
        version: ConfigVersion(at_a_peer),
    });
    fresh.on_confirmed(at(1_000), stored.map(ConfigVersion));
    assert_eq!(fresh.may_use_keys(at(1_100), REVOKE_BOUND), is_confirmed);
}

/// A key was revoked right before the store became unavailable. The copy holds the configuration
/// before that, which is the one applied here.
#[test]
fn a_store_that_was_set_back_proves_nothing_until_what_it_lost_is_written_again() {
    let mut fresh = Freshness::default();
    let stored = Some(ConfigVersion(7));
    fresh.on_applied(ConfigVersion(7));
    fresh.on_confirmed(at(1_000), stored);
    fresh.on_store_reverted(at(5_000));
    fresh.on_confirmed(at(4_000), stored);
    assert_eq!(fresh.age(at(4_000)), Some(Duration::from_secs(3)));
    fresh.on_confirmed(at(5_000), stored);
    assert_eq!(fresh.age(at(5_000)), Some(Duration::ZERO));
    fresh.on_store_reverted(at(9_000));
    fresh.on_config_rewritten();
    fresh.on_confirmed(at(7_000), stored);
    assert_eq!(fresh.age(at(7_000)), Some(Duration::ZERO));
}

proptest! {
    /// Whatever confirmations arrive in whatever order, keys are never accepted on one as old as
    /// the bound.
    #[test]
    fn no_order_of_proofs_outlives_the_bound(
        steps in prop::collection::vec((0_u64..20_000, 0_u64..8_000, 0_u64..4, any::<bool>()), 1..40),
        now in 0_u64..40_000,
    ) {
        let mut fresh = Freshness::default();
        let mut latest: Option<i64> = None;
        for (echo, age, version, from_peer) in steps {
            let version = ConfigVersion(version);
            if from_peer {
                if version <= fresh.version() {
                    latest = latest.max(Some(echo as i64 - age as i64));
                }
                let confirmation = PeerConfirmation { echo: at(echo), age: Duration::from_millis(age), version };
                fresh.on_peer_confirmation(confirmation);
            } else {
                fresh.on_applied(version);
                fresh.on_confirmed(at(echo), Some(fresh.version()));
                latest = latest.max(Some(echo as i64));
            }
        }
        if fresh.may_use_keys(at(now), REVOKE_BOUND) {
            let latest = latest.unwrap();
            prop_assert!((now as i64) < latest + REVOKE_BOUND.as_millis() as i64);
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: value.map(|v| PackedValue::pack(v.as_bytes())),
        revision: StoreRevision::first_era(revision),
    }
}

fn update(items: Vec<StoreItem>, revision: u64) -> StoreUpdate {
    StoreUpdate {
        items,
        revision: StoreRevision::first_era(revision),
    }
}

proptest! {
    /// A router that queries another one, however seldom, ends with the same entries.
    #[test]
    fn a_mirror_of_a_mirror_is_the_same(
        writes in prop::collection::vec((0_u8..6, any::<bool>(), any::<bool>()), 1..1200),
    ) {
        let mut first = StoreMirror::default();
        let mut second = StoreMirror::default();
        first.on_list(&update(vec![item("a", 1, Some("1"))], 1));
        for (i, (key, removed, syncs)) in writes.iter().enumerate() {
            let revision = i as u64 + 2;
            let value = revision.to_string();
            let value = (!removed).then_some(value.as_str());
            let change = item(&format!("k{key}"), revision, value);
            first.on_changes(&update(vec![change], revision));
            if *syncs {
                sync(&first, &mut second);
            }
        }
        sync(&first, &mut second);
        prop_assert_eq!(first.since(StoreRevision::first_era(0)), second.since(StoreRevision::first_era(0)));
        prop_assert_eq!(first.since(first.revision()), None);
    }
}

fn sync(from: &StoreMirror, to: &mut StoreMirror) {
    match from.since(to.revision()) {
        Some(MirrorReply::List(update)) => to.on_list(&update),
        Some(MirrorReply::Changes(update)) => to.on_changes(&update),
        _ => {}
    }
}

/// Each router was sent each of several configurations in full, 75 KB at a time over links of 10
/// megabits, and received them seconds too late (grown sapporo trouble-1).
#[test]
fn a_router_that_lags_is_told_only_the_last_of_several_configurations_and_that_packed() {
    let routes =
        r#"{"name":"r-1","host":"a.example","pathPrefix":"/x/","type":"safe"},"#.repeat(900);
    let mut mirror = StoreMirror::default();
    mirror.on_list(&update(vec![item("config", 1, Some(&routes))], 1));
    for revision in 2..10 {
        let text = format!("{revision}{routes}");
        mirror.on_changes(&update(
            vec![item("config", revision, Some(&text))],
            revision,
        ));
    }
    let Some(MirrorReply::Changes(sent)) = mirror.since(StoreRevision::first_era(1)) else {
        panic!("the changes are known");
    };
    assert_eq!(sent.items.len(), 1);
    let value = sent.items[0].value.as_ref().unwrap();
    assert!(value.unpack().unwrap().starts_with(b"9"));
    assert!(value.packed_len() * 10 < routes.len());
}

#[test]
fn an_older_list_never_takes_a_mirror_back() {
    let mut mirror = StoreMirror::default();
    mirror.on_list(&update(vec![item("a", 5, Some("new"))], 5));
    mirror.on_list(&update(vec![item("a", 3, Some("old"))], 3));
    assert_eq!(mirror.revision(), StoreRevision::first_era(5));
}

/// Readers sent each saved version of the prompts in full to every router, which has no use for it.
#[test]
fn saved_prompts_are_told_to_routers_that_start_and_not_passed_on_as_they_change() {
    let mut mirror = StoreMirror::default();
    let prompts = |revision| item("scaleford/prompts", revision, Some("parts"));
    mirror.on_list(&update(vec![prompts(1)], 1));
    mirror.on_changes(&update(vec![prompts(2), item("a", 3, Some("a"))], 3));
    let Some(MirrorReply::Changes(sent)) = mirror.since(StoreRevision::first_era(1)) else {
        panic!("the changes are known");
    };
    let keys: Vec<&str> = sent.items.iter().map(|i| i.key.as_str()).collect();
    assert_eq!(keys, ["a"]);
    assert_eq!(sent.revision, StoreRevision::first_era(3));
    let Some(MirrorReply::List(all)) = mirror.since(StoreRevision::first_era(0)) else {
        panic!("a router that starts is told all");
    };
    assert!(all.items.iter().any(|i| i.key == "scaleford/prompts"));
}

/// Guards against LOST: routers that started beside one that had lived on got the log of origins as it was at its start.
#[test]
fn the_log_of_origins_is_passed_on_as_it_changes() {
    let mut mirror = StoreMirror::default();
    let segment = |revision| item("scaleford/origins/0/1", revision, Some("origins"));
    mirror.on_list(&update(vec![segment(1)], 1));
    mirror.on_changes(&update(vec![segment(2)], 2));
    let Some(MirrorReply::Changes(sent)) = mirror.since(StoreRevision::first_era(1)) else {
        panic!("the changes are known");
    };
    assert_eq!(sent.items, [segment(2)]);
}

/// Entries of thousands of targets expire and are listed again while the store is briefly
/// unavailable: a router that was up to date is sent only the changes, and each entry once.
#[test]
fn many_changes_at_once_are_told_as_changes() {
    let mut mirror = StoreMirror::default();
    let key = |n: u64| format!("entry-{n}");
    let all = (0..3_000).map(|n| item(&key(n), 1 + n, Some("a")));
    mirror.on_list(&update(all.collect(), 3_000));
    for n in 0..3_000 {
        let (gone, back) = (3_001 + 2 * n, 3_002 + 2 * n);
        mirror.on_changes(&update(vec![item(&key(n), gone, None)], gone));
        if n >= 1_000 {
            mirror.on_changes(&update(vec![item(&key(n), back, Some("b"))], back));
        }
    }
    let Some(MirrorReply::Changes(sent)) = mirror.since(StoreRevision::first_era(3_000)) else {
        panic!("all changes are known");
    };
    assert_eq!(sent.items.len(), 3_000);
    let removed = sent.items.iter().filter(|i| i.value.is_none()).count();
    assert_eq!(removed, 1_000);
    assert!(sent.items.is_sorted_by_key(|i| i.revision));
}

/// The store has lost its history, so its reader lists it again; the other routers need no list.
#[test]
fn after_a_list_that_followed_another_one_a_peer_is_told_what_changed() {
    let mut mirror = StoreMirror::default();
    let (a, b) = (item("a", 1, Some("1")), item("b", 2, Some("1")));
    mirror.on_list(&update(vec![a.clone(), b], 5));
    let c = item("c", 8, Some("1"));
    mirror.on_list(&update(vec![a, c.clone()], 9));
    let Some(MirrorReply::Changes(sent)) = mirror.since(StoreRevision::first_era(5)) else {
        panic!("the changes are known");
    };
    assert_eq!(sent.items, [c, item("b", 9, None)]);
    // A peer that was ahead of the reader may hold entries that were added and removed between its
    // lists.
    let between = mirror.since(StoreRevision::first_era(7));
    assert!(matches!(between, Some(MirrorReply::List(_))), "{between:?}");
}

proptest! {
    /// Routers that query readers of the store in turn, which list and watch it when they can, end
    /// with its entries.
    #[test]
    fn routers_that_ask_several_readers_end_with_what_the_store_holds(
        steps in prop::collection::vec((0_u8..8, any::<bool>(), 0_u8..6), 1..300),
    ) {
        let mut store: BTreeMap<String, StoreItem> = BTreeMap::new();
        let mut changes: Vec<StoreItem> = Vec::new();
        let mut readers = [StoreMirror::default(), StoreMirror::default()];
        let mut router = StoreMirror::default();
        for (i, (key, removed, action)) in steps.iter().enumerate() {
            let revision = i as u64 + 1;
            let key = format!("k{key}");
            let change = item(&key, revision, (!removed).then_some("value"));
            match removed {
                true => store.remove(&key),
                false => store.insert(key, change.clone()),
            };
            changes.push(change);
            let reader = &mut readers[usize::from(action % 2)];
            match action {
                0 | 1 => reader.on_list(&update(store.values().cloned().collect(), revision)),
                2 | 3 if reader.revision() != StoreRevision::default() => {
                    let seen = reader.revision();
                    let newer = changes.iter().filter(|c| c.revision > seen);
                    reader.on_changes(&update(newer.cloned().collect(), revision));
                }
                _ => sync(reader, &mut router),
            }
        }
        let last = steps.len() as u64;
        for reader in &mut readers {
            reader.on_list(&update(store.values().cloned().collect(), last));
        }
        sync(&readers[0], &mut router);
        let Some(MirrorReply::List(listed)) = router.since(StoreRevision::first_era(0)) else {
            panic!("a router that starts is told all");
        };
        prop_assert_eq!(listed.items, store.into_values().collect::<Vec<_>>());
    }
}

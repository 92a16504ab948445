//! Routers' state when the store is reverted to an older copy.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    discovery::{Discovery, ListChange, RETURN_GRACE, TargetRecord, TargetState},
    ids::{ServiceName, TargetId, TargetName, UnixMillis},
    store::{MirrorReply, PackedValue, StoreItem, StoreMirror, StoreUpdate},
    units::{Instant, StoreEra, StoreRevision},
};

use crate::{at, hall, record};

const ERA_BEFORE: StoreEra = StoreEra(1);
const ERA_AFTER: StoreEra = StoreEra(2);

/// Returns a revision of the store before it was reverted.
fn before_revert(number: u64) -> StoreRevision {
    StoreRevision::new(ERA_BEFORE, number)
}

/// Returns a revision of the store after it was reverted.
fn after_revert(number: u64) -> StoreRevision {
    StoreRevision::new(ERA_AFTER, number)
}

fn leaving(n: usize) -> TargetRecord {
    TargetRecord {
        state: TargetState::Leaving,
        ..record(n)
    }
}

/// Returns the record of an instance of a target, which started at `started_at`.
fn instance(n: usize, started_at: u64) -> TargetRecord {
    let name: TargetName = format!("t{n}").parse().unwrap();
    TargetRecord {
        id: TargetId::new(&name, Some(UnixMillis(started_at))),
        ..record(n)
    }
}

fn list(records: Vec<TargetRecord>, revision: StoreRevision) -> Vec<(TargetRecord, StoreRevision)> {
    records.into_iter().map(|r| (r, revision)).collect()
}

/// Returns the ids of the targets that receive calls.
fn called_targets(discovery: &Discovery) -> Vec<String> {
    let service: ServiceName = "writer".parse().unwrap();
    let targets = discovery.serving(&service).iter();
    let mut names: Vec<String> = targets.map(|t| t.id.to_string()).collect();
    names.sort();
    names
}

/// Instant at which the store is reverted.
const REVERTED_AT: Instant = Instant(Duration::from_secs(10));

/// Returns the instant at which all that the store lost counts as written again.
fn settled_at() -> Instant {
    REVERTED_AT + RETURN_GRACE
}

/// The older copy differs from what routers knew, and nothing is written again.
#[rstest]
#[case::target_that_leaves(vec![record(1)], vec![leaving(1)], vec![record(1)], &[], &["t1"])]
#[case::target_that_left(vec![record(1)], vec![], vec![record(1)], &[], &["t1"])]
#[case::target_that_started_again(vec![instance(1, 5)], vec![instance(1, 7)], vec![instance(1, 5)], &["t1~7"], &["t1~5"])]
#[case::target_that_started(vec![], vec![record(1)], vec![], &["t1"], &[])]
#[case::target_that_left_in_the_copy_too(vec![leaving(1)], vec![leaving(1)], vec![leaving(1)], &[], &[])]
#[case::target_that_nobody_knew(vec![], vec![], vec![record(1)], &["t1"], &["t1"])]
fn an_older_copy_takes_nothing_back_until_what_it_lost_is_written_again(
    #[case] first: Vec<TargetRecord>,
    #[case] known: Vec<TargetRecord>,
    #[case] copy: Vec<TargetRecord>,
    #[case] at_first: &[&str],
    #[case] at_last: &[&str],
) {
    let mut discovery = Discovery::default();
    discovery.on_list(at(0), list(first, before_revert(3)), before_revert(3));
    discovery.on_list(at(1_000), list(known, before_revert(20)), before_revert(20));
    discovery.on_store_reverted(REVERTED_AT);
    discovery.on_list(
        REVERTED_AT,
        list(copy.clone(), after_revert(3)),
        after_revert(4),
    );
    assert_eq!(called_targets(&discovery), at_first);
    assert!(!discovery.take_settled(REVERTED_AT + RETURN_GRACE / 2));
    discovery.on_tick(settled_at());
    assert!(discovery.take_settled(settled_at()));
    discovery.on_list(settled_at(), list(copy, after_revert(3)), after_revert(4));
    assert_eq!(called_targets(&discovery), at_last);
    assert!(!discovery.take_settled(settled_at()), "once");
}

/// A change, other than a list, is written after the store was reverted.
#[rstest]
#[case::leaves(ListChange::Put(leaving(1)), &["t2"])]
#[case::is_back(ListChange::Put(TargetRecord { slots: 9, ..record(3) }), &["t1", "t2", "t3"])]
#[case::starts(ListChange::Put(record(4)), &["t1", "t2", "t4"])]
fn what_is_written_after_a_set_back_holds_at_once(
    #[case] change: ListChange,
    #[case] expected: &[&str],
) {
    let mut discovery = Discovery::default();
    let all = vec![record(1), record(2), record(3)];
    discovery.on_list(at(0), list(all.clone(), before_revert(3)), before_revert(3));
    discovery.on_change(at(1), ListChange::Put(leaving(3)), before_revert(90));
    discovery.on_store_reverted(REVERTED_AT);
    discovery.on_list(REVERTED_AT, list(all, after_revert(3)), after_revert(4));
    discovery.on_change(REVERTED_AT, change, after_revert(5));
    assert_eq!(called_targets(&discovery), expected);
}

#[rstest]
#[case::evacuated_since_the_copy(true, &[], true, false)]
#[case::taken_back_since_the_copy(false, &["yard"], false, true)]
fn an_older_copy_changes_no_evacuation_at_once(
    #[case] known: bool,
    #[case] copy: &[&str],
    #[case] at_first: bool,
    #[case] at_last: bool,
) {
    let mut discovery = Discovery::default();
    let yard = hall("yard");
    discovery.on_hall_change(at(0), yard.clone(), true, before_revert(3));
    discovery.on_hall_change(at(1), yard.clone(), known, before_revert(9));
    let listed = || {
        copy.iter()
            .map(|name| (hall(name), after_revert(3)))
            .collect()
    };
    discovery.on_store_reverted(REVERTED_AT);
    discovery.on_hall_list(REVERTED_AT, listed(), after_revert(4));
    assert_eq!(discovery.evacuations().is_evacuated(&yard), at_first);
    assert!(discovery.take_settled(settled_at()));
    discovery.on_hall_list(settled_at(), listed(), after_revert(4));
    assert_eq!(discovery.evacuations().is_evacuated(&yard), at_last);
}

/// A store that can be written and reverted.
#[derive(Default)]
struct Store {
    items: BTreeMap<String, StoreItem>,
    changes: Vec<StoreItem>,
    revision: StoreRevision,
}

impl Store {
    fn write(&mut self, key: u8, value: Option<&[u8]>) {
        self.revision.number += 1;
        let item = StoreItem {
            key: format!("k{key}"),
            value: value.map(PackedValue::pack),
            revision: self.revision,
        };
        match &item.value {
            Some(_) => self.items.insert(item.key.clone(), item.clone()),
            None => self.items.remove(&item.key),
        };
        self.changes.push(item);
    }

    /// Drops the last `lost` writes. From then on, items are read as of the new era.
    fn revert(&mut self, lost: usize) {
        let kept = self.changes.len().saturating_sub(lost);
        let kept: Vec<StoreItem> = self.changes.drain(..).take(kept).collect();
        let era = StoreEra(self.revision.era.0 + 1);
        *self = Self::default();
        self.revision.era = era;
        for mut item in kept {
            item.revision.era = era;
            self.revision = item.revision;
            match &item.value {
                Some(_) => self.items.insert(item.key.clone(), item.clone()),
                None => self.items.remove(&item.key),
            };
            self.changes.push(item);
        }
    }

    fn list(&self) -> StoreUpdate {
        StoreUpdate {
            items: self.items.values().cloned().collect(),
            revision: self.revision,
        }
    }

    /// Lists the store for a reader, or sends it the changes if it can continue its watch.
    fn read(&self, reader: &mut StoreMirror) {
        let known = reader.revision();
        let can_continue =
            known.era == self.revision.era && known <= self.revision && known.number > 0;
        match can_continue {
            true => {
                let newer = self.changes.iter().filter(|c| c.revision > known);
                reader.on_changes(&StoreUpdate {
                    items: newer.cloned().collect(),
                    revision: self.revision,
                });
            }
            false => reader.on_list(&self.list()),
        }
    }
}

fn sync_from(source: &StoreMirror, router: &mut StoreMirror) {
    match source.since(router.revision()) {
        Some(MirrorReply::Changes(update)) => router.on_changes(&update),
        Some(MirrorReply::List(update)) => router.on_list(&update),
        Some(MirrorReply::Nothing) | None => {}
    }
}

proptest! {
    /// Routers that query readers of a store that is reverted repeatedly end with the store's
    /// entries.
    #[test]
    fn all_routers_end_with_what_a_store_holds_that_was_set_back(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..12), 1..300),
    ) {
        let mut store = Store::default();
        let mut readers = [StoreMirror::default(), StoreMirror::default()];
        let mut router = StoreMirror::default();
        for (key, removed, action) in steps {
            let reader = &mut readers[usize::from(action % 2)];
            match action {
                0 => store.revert(usize::from(key) * 3),
                1..=3 => sync_from(reader, &mut router),
                4..=6 => store.read(reader),
                _ => store.write(key, (!removed).then_some(b"value".as_slice())),
            }
        }
        store.write(0, Some(b"last"));
        store.read(&mut readers[0]);
        sync_from(&readers[0], &mut router);
        prop_assert_eq!(router.list(), store.list());
    }
}

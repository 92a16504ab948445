//! Guarantees for operators' changes while the store fails.

mod support;

use std::{collections::BTreeSet, time::Duration};

use futures::future::join_all;
use hyper::Method;
use rstest::rstest;
use scaleford::store::own::CHANGE_PREFIX;
use serde_json::{Value, json};
use support::{
    caller::{Caller, TOKEN, chat_body},
    engine::expected,
    fleet::{Fleet, MODEL, Plan, change_at, confirm_at, plan_at},
    store::StoreFault,
};

/// Waits until `condition` returns true, without a time limit.
async fn until<F: AsyncFnMut() -> bool>(mut condition: F) {
    while !condition().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn question(text: &str, stream: bool) -> Value {
    chat_body(MODEL, &[("user", text.to_owned())], 24, stream)
}

fn account_edit(id: &str, concurrency: u32) -> Value {
    json!({"put_account": {"id": id, "account": {"key_hashes": ["ab".repeat(32)],
        "requests_per_s": 5, "concurrency": concurrency}}})
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_exactly_one_wins() {
    let fleet = Fleet::start(Plan::default()).await;
    for round in 0..5 {
        let id = format!("racer-{round}");
        let (_, a) = plan_at(fleet.operators_at(0), "a", vec![account_edit(&id, 1)]).await;
        let (_, b) = plan_at(fleet.operators_at(1), "b", vec![account_edit(&id, 2)]).await;
        let (one, two) = tokio::join!(
            confirm_at(fleet.operators_at(0), &a),
            confirm_at(fleet.operators_at(1), &b),
        );
        let codes = BTreeSet::from([one.0, two.0]);
        assert_eq!(codes, BTreeSet::from([200, 409]), "{one:?} {two:?}");
        let lost = if one.0 == 409 { &one.1 } else { &two.1 };
        assert_eq!(lost["error"]["number"], 6003);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_of_different_things_both_win() {
    let fleet = Fleet::start(Plan::default()).await;
    let changes = (0..9).map(|i| {
        let at = fleet.operators_at(i % 3);
        change_at(
            at,
            "at once",
            vec![account_edit(&format!("one-of-many-{i}"), 1)],
        )
    });
    let revisions: BTreeSet<_> = join_all(changes)
        .await
        .into_iter()
        .map(|(status, body)| {
            assert_eq!(status, 200, "{body}");
            body["revision"].as_u64().unwrap()
        })
        .collect();
    assert_eq!(revisions.len(), 9);
    let newest = *revisions.last().unwrap();
    until(async || fleet.live().all(|r| r.revision().0 == newest)).await;
}

#[rstest]
#[case::one(1)]
#[case::several(4)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answers_are_lost_is_accepted_once(#[case] lose_answers: u32) {
    let fleet = Fleet::start(Plan::default()).await;
    let at = fleet.operators_at(0);
    let (_, plan) = plan_at(at, "lost", vec![account_edit("lost", 1)]).await;
    fleet.store.set_fault(StoreFault {
        lose_answers,
        ..StoreFault::default()
    });
    let (status, accepted) = confirm_at(at, &plan).await;
    assert_eq!(status, 200, "{accepted}");
    let (_, again) = confirm_at(fleet.operators_at(1), &plan).await;
    assert_eq!(again["revision"], accepted["revision"]);
    let operator = Caller::new(TOKEN);
    let (_, all) = operator
        .json(at, Method::GET, "/v1/changes", &Value::Null)
        .await;
    let same = |c: &&Value| c["id"] == plan["id"];
    assert_eq!(
        all["changes"]
            .as_array()
            .unwrap()
            .iter()
            .filter(same)
            .count(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_without_the_store_is_unknown_and_then_accepted_once() {
    let fleet = Fleet::start(Plan::default()).await;
    let at = fleet.operators_at(0);
    let (_, plan) = plan_at(at, "outage", vec![account_edit("outage", 1)]).await;
    let before = fleet.live().next().unwrap().revision().0;
    fleet.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let (status, body) = confirm_at(at, &plan).await;
    assert_eq!(
        (status, &body["error"]["number"]),
        (202, &json!(6004)),
        "{body}"
    );
    fleet.store.set_fault(StoreFault::default());
    let (status, accepted) = confirm_at(at, &plan).await;
    assert_eq!(status, 200, "{accepted}");
    assert_eq!(accepted["revision"], before + 1);
    until(async || fleet.live().all(|r| r.revision().0 == before + 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reverted_store_reverts_no_router_and_is_restored() {
    let fleet = Fleet::start(Plan::default()).await;
    let old = fleet.store.backup();
    let newest = fleet.change("newer", vec![account_edit("newer", 1)]).await;
    until(async || fleet.live().all(|r| r.revision().0 == newest)).await;
    fleet.store.set_back(old);
    until(async || fleet.live().any(|r| r.reverts_refused() > 0)).await;
    assert!(fleet.live().all(|r| r.revision().0 == newest));
    // The routers write back what the store lost, and later changes continue from there.
    let next = fleet.change("next", vec![account_edit("next", 1)]).await;
    assert_eq!(next, newest + 1);
    let stored_changes = || fleet.store.keys_below(CHANGE_PREFIX).len() as u64;
    until(async || stored_changes() == next).await;
    until(async || fleet.live().all(|r| r.revision().0 == next)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_though_the_store_was_lost_right_after_it() {
    let fleet = Fleet::start(Plan::default()).await;
    for i in 0..5 {
        let newest = fleet
            .change("last", vec![account_edit("last", i + 1)])
            .await;
        fleet.store.set_fault(StoreFault {
            down: true,
            ..StoreFault::default()
        });
        until(async || fleet.live().all(|r| r.revision().0 == newest)).await;
        fleet.store.set_fault(StoreFault::default());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_without_the_store_takes_its_peers_configuration() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let newest = fleet
        .change("newest", vec![account_edit("newest", 1)])
        .await;
    fleet.plan.settings = vec![(
        "peers",
        fleet
            .live()
            .map(|r| r.addresses().peers.to_string())
            .collect::<Vec<_>>()
            .join(","),
    )];
    fleet.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let router = fleet.start_router(3).await;
    until(async || router.is_ready()).await;
    assert_eq!(router.revision().0, newest);
    let body = question("while the store is down", false);
    let outcome = fleet.caller.chat(router.addresses().callers, &body).await;
    assert_eq!(outcome.text, expected(7, &body).concat(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_compacted_history_is_listed_anew() {
    let fleet = Fleet::start(Plan::default()).await;
    for i in 0..5 {
        fleet.store.compact();
        let newest = fleet
            .change("compacted", vec![account_edit("compacted", i + 1)])
            .await;
        until(async || fleet.live().all(|r| r.revision().0 == newest)).await;
    }
}

//! Guarantees for callers, under the failures that the users name.

mod support;

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::{
    caller::{Caller, Outcome, TOKEN, chat_body, finish},
    engine::{Fault, expected},
    fleet::{Fleet, MODEL, Plan, SERVICE, status},
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

async fn confirm(fleet: &Fleet, router: usize, key: &str) -> Outcome {
    let path = format!("/services/{SERVICE}/confirm");
    let headers = [("idempotency-key", key)];
    let at = fleet.callers_at(router);
    fleet
        .caller
        .call(at, Method::POST, &path, &headers, "one harvester")
        .await
}

fn executions(fleet: &Fleet, key: &str) -> u32 {
    let count = |s: &support::service::Service| s.executed.lock().unwrap().get(key).copied();
    fleet.services.iter().filter_map(count).sum()
}

/// Returns how often engines ran any attempt of a request.
fn runs(fleet: &Fleet, request: &str) -> u32 {
    let of_engine = |e: &support::engine::Engine| -> u32 {
        let state = e.state.lock().unwrap();
        let attempts = state
            .executed
            .iter()
            .filter(|(a, _)| a.starts_with(request));
        attempts.map(|(_, n)| *n).sum()
    };
    fleet.engines.iter().map(of_engine).sum()
}

#[rstest]
#[case::calm(Fault::None)]
#[case::an_engine_refuses(Fault::Refuse)]
#[case::an_engine_dies_before_its_answer(Fault::DieBefore)]
#[case::an_engine_dies_within_its_answer(Fault::DieAfter(3))]
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer_and_not_run_is_true(#[case] fault: Fault) {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.engines[0].set_fault(fault);
    let chats = (0..120).map(|i| {
        let body = question(&format!("lot {i}"), i % 2 == 0);
        let (at, caller) = (fleet.callers_at(i % 3), fleet.caller.clone());
        async move { (caller.chat(at, &body).await, expected(7, &body).concat()) }
    });
    for (outcome, expected_text) in join_all(chats).await {
        match outcome.status {
            200 if !outcome.cut => assert_eq!(outcome.text, expected_text),
            200 => assert!(expected_text.starts_with(&outcome.text), "{outcome:?}"),
            _ if outcome.ran == "no" => assert_eq!(runs(&fleet, &outcome.request), 0),
            // If an engine crashes, the head of its answer may be lost as well.
            _ => {
                assert_eq!(outcome.ran, "unknown", "{outcome:?}");
                assert!(
                    matches!(fault, Fault::DieBefore | Fault::DieAfter(_)),
                    "{outcome:?}"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_through_all_routers_at_once_runs_once() {
    let fleet = Fleet::start(Plan::default()).await;
    let calls = (0..24).map(|i| confirm(&fleet, i % 3, "bid-1"));
    let outcomes = join_all(calls).await;
    assert_eq!(executions(&fleet, "bid-1"), 1);
    assert_eq!(outcomes.iter().filter(|o| o.status == 200).count(), 1);
    let others = outcomes.iter().filter(|o| o.status != 200);
    assert!(
        others.clone().all(|o| [5002, 5003].contains(&o.code)),
        "{outcomes:?}"
    );
    assert!(others.clone().all(|o| o.ran != "no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_a_claim_runs_the_call_once() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.store.set_fault(StoreFault {
        lose_answers: 1,
        ..StoreFault::default()
    });
    let outcome = confirm(&fleet, 0, "bid-2").await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert_eq!(executions(&fleet, "bid-2"), 1);
    let again = confirm(&fleet, 1, "bid-2").await;
    assert!([5002, 5003].contains(&again.code), "{again:?}");
    assert_eq!(executions(&fleet, "bid-2"), 1);
}

/// Claims were lost when the store was reverted, and a call that had already run was run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ran_runs_no_second_time_after_the_store_was_set_back() {
    let fleet = Fleet::start(Plan::default()).await;
    let copy = fleet.store.backup();
    let keys = ["bid-7", "bid-8", "bid-9"];
    for key in keys {
        let outcome = confirm(&fleet, 0, key).await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
    }
    fleet.store.set_back(copy);
    for (i, key) in keys.iter().enumerate() {
        let again = confirm(&fleet, i, key).await;
        assert!([5002, 5003].contains(&again.code), "{again:?}");
        assert_eq!(executions(&fleet, key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_a_call_is_honestly_not_run_and_runs_later() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let outcome = confirm(&fleet, 0, "bid-3").await;
    assert_eq!(
        (outcome.code, outcome.ran.as_str()),
        (5001, "no"),
        "{outcome:?}"
    );
    assert!(outcome.retry_after);
    assert_eq!(executions(&fleet, "bid-3"), 0);
    fleet.store.set_fault(StoreFault::default());
    until(async || confirm(&fleet, 1, "bid-3").await.status == 200).await;
    assert_eq!(executions(&fleet, "bid-3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_answer_was_lost_is_never_run_again() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.services[0].set_fault(Fault::DieBefore);
    let outcome = confirm(&fleet, 0, "bid-4").await;
    assert_eq!(
        (outcome.code, outcome.ran.as_str()),
        (4003, "unknown"),
        "{outcome:?}"
    );
    fleet.services[0].set_fault(Fault::None);
    for router in [1, 2, 0] {
        let again = confirm(&fleet, router, "bid-4").await;
        assert!([5002, 5004].contains(&again.code), "{again:?}");
    }
    assert_eq!(executions(&fleet, "bid-4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_killed_within_a_call_leaves_it_run_once() {
    let mut fleet = Fleet::start(Plan::default()).await;
    fleet.services[0].set_fault(Fault::Hang);
    let (at, caller) = (fleet.callers_at(0), fleet.caller.clone());
    let path = format!("/services/{SERVICE}/confirm");
    let call = tokio::spawn(async move {
        caller
            .call(at, Method::POST, &path, &[("idempotency-key", "bid-5")], "")
            .await
    });
    until(async || executions(&fleet, "bid-5") == 1).await;
    drop(fleet.routers[0].take());
    assert!(call.await.unwrap().cut);
    fleet.services[0].set_fault(Fault::None);
    for router in [1, 2] {
        let again = confirm(&fleet, router, "bid-5").await;
        assert_eq!(again.code, 5002, "{again:?}");
    }
    assert_eq!(executions(&fleet, "bid-5"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_gives_its_claim_back() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.services[0].set_fault(Fault::Refuse);
    let path = format!("/services/{SERVICE}/confirm");
    let call = fleet.caller.call(
        fleet.callers_at(0),
        Method::POST,
        &path,
        &[("idempotency-key", "bid-6")],
        "",
    );
    let outcome = call.await;
    assert_eq!(outcome.ran, "no", "{outcome:?}");
    fleet.services[0].set_fault(Fault::None);
    until(async || confirm(&fleet, 1, "bid-6").await.status == 200).await;
    assert_eq!(executions(&fleet, "bid-6"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.engines.iter().for_each(|e| e.set_gate(false));
    let chats: Vec<_> = (0..12)
        .map(|i| {
            let body = question(&format!("before {i}"), true);
            let (at, caller) = (fleet.callers_at(i % 3), fleet.caller.clone());
            tokio::spawn(async move { (caller.chat(at, &body).await, expected(7, &body).concat()) })
        })
        .collect();
    let started = |i: usize| fleet.engines[i].state.lock().unwrap().executed.len();
    // All gates are closed, so a chat that has ended was refused, and one that started twice was
    // retried. In both cases the wait would never end.
    let all_started = async || {
        let sum = (0..3).map(started).sum::<usize>();
        let ended = chats.iter().filter(|c| c.is_finished()).count();
        assert!(sum <= 12 && ended == 0, "{sum} begun, {ended} ended early");
        sum == 12
    };
    until(all_started).await;
    let revision = fleet
        .change("engine 0 leaves", vec![fleet.engine_edit(0, "leave")])
        .await;
    until(async || fleet.live().all(|r| r.revision().0 >= revision)).await;
    let before = started(0);
    assert!(before > 0);
    fleet.engines[1].set_gate(true);
    fleet.engines[2].set_gate(true);
    for i in 0..60 {
        let body = question(&format!("after {i}"), true);
        let outcome = fleet.caller.chat(fleet.callers_at(i % 3), &body).await;
        assert_eq!(outcome.text, expected(7, &body).concat(), "{outcome:?}");
    }
    assert_eq!(started(0), before);
    fleet.engines[0].set_gate(true);
    for chat in chats {
        let (outcome, expected_text) = chat.await.unwrap();
        assert_eq!((outcome.text, outcome.cut), (expected_text, false));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = Fleet::start(Plan::default()).await;
    fleet.engines.iter().for_each(|e| e.set_gate(false));
    // Chats come through every router, so the stopping one received some of them and may own the
    // account's shares for others.
    let chats: Vec<_> = (0..30)
        .map(|i| {
            let body = question(&format!("stop {i}"), true);
            let (at, caller) = (fleet.callers_at(i % 3), fleet.caller.clone());
            tokio::spawn(async move { (caller.chat(at, &body).await, expected(7, &body).concat()) })
        })
        .collect();
    let started = || {
        fleet
            .engines
            .iter()
            .map(|e| e.state.lock().unwrap().executed.len())
    };
    until(async || started().sum::<usize>() == 30).await;
    let stopping = fleet.routers[0].take().unwrap();
    let at = stopping.addresses().callers;
    let stop = tokio::spawn(stopping.stop());
    let others = [fleet.callers_at(1), fleet.callers_at(2)];
    // The other routers take new calls while the stop waits.
    fleet.engines.iter().for_each(|e| e.set_gate(true));
    for i in 0..20 {
        let body = question(&format!("meanwhile {i}"), true);
        let outcome = fleet.caller.chat(others[i % 2], &body).await;
        assert_eq!(outcome.text, expected(7, &body).concat(), "{outcome:?}");
    }
    for chat in chats {
        let (outcome, expected_text) = chat.await.unwrap();
        assert_eq!((outcome.text, outcome.cut), (expected_text, false));
    }
    let report = stop.await.unwrap();
    assert_eq!(report.cut_off, 0);
    let late = Caller::default().chat(at, &question("late", true)).await;
    assert_eq!((late.status, late.cut), (0, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_answer() {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.engines.iter().for_each(|e| e.set_gate(false));
    for i in 0..3 {
        let body = question("leaves", true).to_string();
        let path = "/v1/chat/completions";
        let caller = Caller::default();
        let res = caller
            .send(fleet.callers_at(i), Method::POST, path, &[], body)
            .await
            .unwrap();
        drop(res);
        drop(caller);
        let cancelled = || {
            fleet
                .engines
                .iter()
                .map(|e| e.state.lock().unwrap().cancelled)
        };
        until(async || cancelled().sum::<u32>() == i as u32 + 1).await;
    }
    let running = |e: &support::engine::Engine| e.state.lock().unwrap().tokens;
    assert_eq!(fleet.engines.iter().map(running).sum::<u64>(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_router_explains_a_call_and_no_status_shows_the_token() {
    let fleet = Arc::new(Fleet::start(Plan::default()).await);
    let body = question("explain me", false);
    let outcome = fleet.caller.chat(fleet.callers_at(0), &body).await;
    let operator = Caller::new(TOKEN);
    for i in 0..3 {
        let path = format!("/v1/explain/{}", outcome.request);
        let (code, explained) = operator
            .json(fleet.operators_at(i), Method::GET, &path, &Value::Null)
            .await;
        assert_eq!(code, 200);
        let events = explained["decisions"]
            .as_array()
            .unwrap()
            .iter()
            .map(|d| d["event"].clone());
        let events: Vec<_> = events.collect();
        for event in ["received", "tried", "answered", "ended"] {
            assert!(events.contains(&json!(event)), "{events:?}");
        }
        let shown = status(fleet.operators_at(i)).await;
        assert_eq!(shown["state"], "serving");
        assert!(!shown.to_string().contains(TOKEN));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_sent_answer_is_never_passed_off_as_whole() {
    let fleet = Fleet::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    fleet.engines[0].set_fault(Fault::DieAfter(3));
    let body = question("cut", true).to_string();
    let path = "/v1/chat/completions";
    for i in 0..3 {
        let res = fleet
            .caller
            .send(fleet.callers_at(i), Method::POST, path, &[], body.clone())
            .await;
        let outcome = finish(res.unwrap()).await;
        // If the head of the engine's answer was lost as well, the router cannot know whether the
        // request ran.
        assert!(outcome.cut || outcome.ran == "unknown", "{outcome:?}");
        assert!(
            !outcome
                .text
                .contains(&expected(7, &question("cut", true)).concat())
        );
    }
}

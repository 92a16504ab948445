//! Requests that end each target that begins to run them.

mod support;

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use support::{
    caller::chat_body,
    engine::{Fault, expected},
    fleet::{Fleet, MODEL, Plan, status},
    store::StoreFault,
};

/// What ends an engine that reads it.
const CRASHES: &str = "the lot that nobody can describe";

/// What the keys of requests that are held back begin with.
const HELD: &str = "scaleford/held/";

/// Targets that one request may end in all: three, and three more before all routers know.
const ENDED_AT_MOST: usize = 6;

fn question(text: &str) -> Value {
    chat_body(MODEL, &[("user", text.to_owned())], 6, true)
}

/// Waits until each router has told the others twice what it knows; one alone has nobody to tell.
async fn until_told(fleet: &Fleet) {
    let rounds = if fleet.live().count() > 1 { 2 } else { 0 };
    for _ in 0..rounds {
        let told = || fleet.live().map(|r| r.control_bytes());
        let before: Vec<u64> = told().collect();
        while told().zip(&before).any(|(now, before)| now <= *before) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Sends a request that ends engines until its entry is in the store.
async fn until_entered(fleet: &Fleet) {
    let fault = Fault::EndOn(CRASHES);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    while fleet.store.keys_below(HELD).is_empty() {
        let at = fleet.callers_at(0);
        fleet.caller.chat(at, &question(CRASHES)).await;
        until_told(fleet).await;
    }
}

/// One request of a caller came back again and again, each time as a new call at any router, and ended
/// each engine that began to run it: 20 engines in 14 seconds, of which up to five of nine were away
/// at once, while calls beside it broke off with them and others found no room. Nothing in the fleet
/// remembered what an engine had been running when it ended, so each return was sent on like a call
/// that nobody had seen. The lines of the attempts settled it: all returns had `"attempts":1` and no line
/// `repeat`, so no budget counted them, and came through all routers:
/// `"outcome":"answer broke off","took_ms":136,"shared_part":17266171159491` at 17 targets in turn.
#[rstest]
#[case::one_router(1)]
#[case::several_routers(3)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_whoever_runs_it_is_held_back(#[case] routers: usize) {
    let plan = Plan {
        routers,
        engines: 14,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let fault = Fault::EndOn(CRASHES);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    let ended = || fleet.engines.iter().filter(|e| e.has_ended()).count();
    for i in 0..8 {
        let at = fleet.callers_at(i % routers);
        fleet.caller.chat(at, &question(CRASHES)).await;
        until_told(&fleet).await;
        for other in 0..routers {
            let body = question(&format!("call {i} beside it"));
            let answer = fleet.caller.chat(fleet.callers_at(other), &body).await;
            assert!(answer.finished, "{answer:?} with {} ended", ended());
            assert_eq!(answer.text, expected(7, &body).concat());
        }
    }
    assert!(
        (1..=ENDED_AT_MOST).contains(&ended()),
        "{} engines ended",
        ended()
    );
    let at = fleet.callers_at(0);
    let held_back = fleet.caller.chat(at, &question(CRASHES)).await;
    assert_eq!((held_back.status, held_back.ran.as_str()), (503, "no"));
    assert!(held_back.retry_after);
}

/// What is held back outlasts all routers, as it stands in the store: without that each start of the fleet would cost three
/// more engines.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_hold_back_what_is_entered_in_the_store() {
    let plan = Plan {
        routers: 2,
        engines: 8,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await;
    until_entered(&fleet).await;
    fleet.routers.clear();
    for i in 0..2 {
        let router = fleet.start_router(i).await;
        fleet.routers.push(Some(router));
    }
    fleet.wait_ready().await;
    let ended = |fleet: &Fleet| fleet.engines.iter().filter(|e| e.has_ended()).count();
    let before = ended(&fleet);
    for i in 0..2 {
        let answer = fleet
            .caller
            .chat(fleet.callers_at(i), &question(CRASHES))
            .await;
        assert_eq!(
            (answer.status, answer.code, answer.ran.as_str()),
            (503, 3010, "no")
        );
        let status = status(fleet.operators_at(i)).await;
        assert_eq!(status["held_back"].as_array().unwrap().len(), 1, "{status}");
        let innocent = question("another one");
        assert!(
            fleet
                .caller
                .chat(fleet.callers_at(i), &innocent)
                .await
                .finished
        );
    }
    assert_eq!(ended(&fleet), before);
    // An operator who has mended what ended them removes the entry.
    fleet.engines.iter().for_each(|e| e.set_fault(Fault::None));
    for key in fleet.store.keys_below(HELD) {
        fleet.store.remove(&key);
    }
    let mut answers = Vec::new();
    while answers.last() != Some(&200) {
        let answer = fleet
            .caller
            .chat(fleet.callers_at(1), &question(CRASHES))
            .await;
        answers.push(answer.status);
    }
    assert!(answers.iter().all(|status| [200, 503].contains(status)));
}

/// A request was held back while the store was away, so that no entry could be written; four of seven routers were killed and started again, got
/// all that the store had held from peers, and sent the request on: four targets more ended in 2.7 s, though three routers that lived
/// held it back all the while. Notices of endings go for 1.5 s, and what is held back had no way but the store. The log lines of those that lived:
/// `"msg":"held request not entered"`, every 0.8 s.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_while_the_store_is_away_hold_back_what_peers_do() {
    let plan = Plan {
        routers: 3,
        engines: 10,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await;
    let fault = Fault::EndOn(CRASHES);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    fleet.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let mut codes = vec![0; 3];
    while codes != [3_010; 3] {
        for (i, code) in codes.iter_mut().enumerate() {
            let at = fleet.callers_at(i);
            *code = fleet.caller.chat(at, &question(CRASHES)).await.code;
        }
        until_told(&fleet).await;
    }
    assert!(fleet.store.keys_below(HELD).is_empty());
    let ended = |fleet: &Fleet| fleet.engines.iter().filter(|e| e.has_ended()).count();
    let before = ended(&fleet);
    // Endings are announced no more: routers that have no news tell one another every 0.4 s.
    for _ in 0..3 {
        until_told(&fleet).await;
    }
    fleet.routers[2] = None;
    let peers: Vec<String> = fleet
        .live()
        .map(|r| r.addresses().peers.to_string())
        .collect();
    fleet.plan.settings.push(("peers", peers.join(",")));
    let router = fleet.start_router(2).await;
    fleet.routers[2] = Some(router);
    while !fleet.live().all(|r| r.is_ready()) {
        tokio::task::yield_now().await;
    }
    until_told(&fleet).await;
    let at = fleet.callers_at(2);
    let answer = fleet.caller.chat(at, &question(CRASHES)).await;
    assert_eq!((answer.status, answer.code), (503, 3_010), "{answer:?}");
    assert_eq!(ended(&fleet), before);
    // Once the store is back, an entry says so to whoever starts later.
    fleet.store.set_fault(StoreFault::default());
    while fleet.store.keys_below(HELD).is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The store came back from a copy in which the entry was not yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_request_stands_in_a_store_that_was_set_back() {
    let plan = Plan {
        routers: 3,
        engines: 8,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let copy = fleet.store.backup();
    until_entered(&fleet).await;
    let entered = || fleet.store.keys_below(HELD);
    let before = entered();
    fleet.store.set_back(copy);
    assert!(entered().is_empty());
    while entered() != before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

//! Requests that crash each target that starts to run them.

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

/// Text that crashes each engine that starts to run a request with it.
const CRASHING_TEXT: &str = "the lot that nobody can describe";

/// Prefix of the store keys of quarantined requests.
const QUARANTINE_PREFIX: &str = "scaleford/held/";

/// Maximum number of engines that one request may crash: three until it is quarantined, and three
/// more until all routers know of the crashes.
const MAX_CRASHED_ENGINES: usize = 6;

fn question(text: &str) -> Value {
    chat_body(MODEL, &[("user", text.to_owned())], 6, true)
}

/// Waits until each router has sent its updates to its peers twice. A single router has no peers,
/// so there is nothing to wait for.
async fn until_updates_sent(fleet: &Fleet) {
    let rounds = if fleet.live().count() > 1 { 2 } else { 0 };
    for _ in 0..rounds {
        let control_bytes = || fleet.live().map(|r| r.control_bytes());
        let before: Vec<u64> = control_bytes().collect();
        while control_bytes()
            .zip(&before)
            .any(|(now, before)| now <= *before)
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Sends a request that crashes engines until its quarantine entry is in the store.
async fn until_entered(fleet: &Fleet) {
    let fault = Fault::EndOn(CRASHING_TEXT);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    while fleet.store.keys_below(QUARANTINE_PREFIX).is_empty() {
        let at = fleet.callers_at(0);
        fleet.caller.chat(at, &question(CRASHING_TEXT)).await;
        until_updates_sent(fleet).await;
    }
}

/// A caller sent one request again and again, each time as a new call through any router, and it
/// crashed each engine that started to run it: 20 engines in 14 seconds, of which up to five of
/// nine were down at once. Other calls broke off with these engines or found no capacity. No router
/// recorded what an engine was running when it crashed, so each new call was forwarded as if it had
/// never been seen. The calls came through all routers, and no retry budget counted them: the log
/// lines of all their attempts had `"attempts":1`, with no line `repeat`. They ended as
/// `"outcome":"answer broke off","took_ms":136,"shared_part":17266171159491` at 17 targets in turn.
#[rstest]
#[case::one_router(1)]
#[case::several_routers(3)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_each_engine_that_runs_it_is_quarantined(#[case] routers: usize) {
    let plan = Plan {
        routers,
        engines: 14,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let fault = Fault::EndOn(CRASHING_TEXT);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    let crashed = || fleet.engines.iter().filter(|e| e.has_ended()).count();
    for i in 0..8 {
        let at = fleet.callers_at(i % routers);
        fleet.caller.chat(at, &question(CRASHING_TEXT)).await;
        until_updates_sent(&fleet).await;
        for other in 0..routers {
            let body = question(&format!("call {i} beside it"));
            let answer = fleet.caller.chat(fleet.callers_at(other), &body).await;
            assert!(answer.finished, "{answer:?} with {} ended", crashed());
            assert_eq!(answer.text, expected(7, &body).concat());
        }
    }
    assert!(
        (1..=MAX_CRASHED_ENGINES).contains(&crashed()),
        "{} engines ended",
        crashed()
    );
    let at = fleet.callers_at(0);
    let refused = fleet.caller.chat(at, &question(CRASHING_TEXT)).await;
    assert_eq!((refused.status, refused.ran.as_str()), (503, "no"));
    assert!(refused.retry_after);
}

/// Quarantined requests are stored and so survive a stop of all routers. Without that, each start
/// of the fleet would crash three more engines.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_quarantine_requests_with_an_entry_in_the_store() {
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
    let crashed = |fleet: &Fleet| fleet.engines.iter().filter(|e| e.has_ended()).count();
    let before = crashed(&fleet);
    for i in 0..2 {
        let answer = fleet
            .caller
            .chat(fleet.callers_at(i), &question(CRASHING_TEXT))
            .await;
        assert_eq!(
            (answer.status, answer.code, answer.ran.as_str()),
            (503, 3010, "no")
        );
        let status = status(fleet.operators_at(i)).await;
        assert_eq!(status["held_back"].as_array().unwrap().len(), 1, "{status}");
        let harmless = question("another one");
        assert!(
            fleet
                .caller
                .chat(fleet.callers_at(i), &harmless)
                .await
                .finished
        );
    }
    assert_eq!(crashed(&fleet), before);
    // An operator who has fixed the cause of the crashes removes the entry.
    fleet.engines.iter().for_each(|e| e.set_fault(Fault::None));
    for key in fleet.store.keys_below(QUARANTINE_PREFIX) {
        fleet.store.remove(&key);
    }
    let mut answers = Vec::new();
    while answers.last() != Some(&200) {
        let answer = fleet
            .caller
            .chat(fleet.callers_at(1), &question(CRASHING_TEXT))
            .await;
        answers.push(answer.status);
    }
    assert!(answers.iter().all(|status| [200, 503].contains(status)));
}

/// A request was quarantined while the store was unavailable, so no entry could be written. Four of
/// seven routers were killed and started again. They got the store's entries from their peers but
/// not the quarantine, and forwarded the request: four more targets crashed in 2.7 s, although the
/// three surviving routers kept it quarantined. Crash notices are sent for 1.5 s only, and the
/// quarantine spread through the store alone. Every 0.8 s, the surviving routers logged
/// `"msg":"held request not entered"`.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_while_the_store_is_unavailable_quarantine_what_peers_do() {
    let plan = Plan {
        routers: 3,
        engines: 10,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await;
    let fault = Fault::EndOn(CRASHING_TEXT);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    fleet.store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let mut codes = vec![0; 3];
    while codes != [3_010; 3] {
        for (i, code) in codes.iter_mut().enumerate() {
            let at = fleet.callers_at(i);
            *code = fleet.caller.chat(at, &question(CRASHING_TEXT)).await.code;
        }
        until_updates_sent(&fleet).await;
    }
    assert!(fleet.store.keys_below(QUARANTINE_PREFIX).is_empty());
    let crashed = |fleet: &Fleet| fleet.engines.iter().filter(|e| e.has_ended()).count();
    let before = crashed(&fleet);
    // Waits until crash notices are no longer sent: routers without updates send a datagram every
    // 0.4 s.
    for _ in 0..3 {
        until_updates_sent(&fleet).await;
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
    until_updates_sent(&fleet).await;
    let at = fleet.callers_at(2);
    let answer = fleet.caller.chat(at, &question(CRASHING_TEXT)).await;
    assert_eq!((answer.status, answer.code), (503, 3_010), "{answer:?}");
    assert_eq!(crashed(&fleet), before);
    // When the store is available again, an entry is written for routers that start later.
    fleet.store.set_fault(StoreFault::default());
    while fleet.store.keys_below(QUARANTINE_PREFIX).is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The store was restored from a copy that was older than the quarantine entry and lacked it.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_request_is_entered_again_in_a_reverted_store() {
    let plan = Plan {
        routers: 3,
        engines: 8,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    let copy = fleet.store.backup();
    until_entered(&fleet).await;
    let entered = || fleet.store.keys_below(QUARANTINE_PREFIX);
    let before = entered();
    fleet.store.set_back(copy);
    assert!(entered().is_empty());
    while entered() != before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

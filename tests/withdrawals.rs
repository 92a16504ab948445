//! Engines that announce in the product's own headers that they leave or accept no calls for a
//! while.

mod support;

use rstest::rstest;
use serde_json::Value;
use support::{
    caller::{Outcome, chat_body},
    engine::Fault,
    fleet::{Fleet, MODEL, Plan, status},
};

/// Number of calls after which each of two engines has almost certainly received one.
const CALLS_TO_REACH_BOTH: usize = 20;

async fn ask(fleet: &Fleet, text: &str) -> Outcome {
    let body = chat_body(MODEL, &[("user", text.to_owned())], 4, true);
    fleet.caller.chat(fleet.callers_at(0), &body).await
}

fn runs(fleet: &Fleet, engine: usize) -> usize {
    fleet.engines[engine].state.lock().unwrap().executed.len()
}

/// Returns the router's status entries of withdrawals, one for each target that accepts no calls.
async fn withdrawn(fleet: &Fleet) -> Vec<Value> {
    let shown = status(fleet.operators_at(0)).await;
    let targets = shown["targets"].as_array().unwrap().clone();
    let withdrawn = targets.into_iter().map(|t| t["withdrawn"].clone());
    withdrawn.filter(|w| !w.is_null()).collect()
}

async fn start() -> Fleet {
    let plan = Plan {
        routers: 1,
        engines: 2,
        ..Plan::default()
    };
    Fleet::start(plan).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_that_it_leaves_gets_no_further_calls() {
    let fleet = start().await;
    fleet.engines[0].set_fault(Fault::Leave);
    let mut n = 0;
    while runs(&fleet, 0) == 0 {
        n += 1;
        assert!(ask(&fleet, &format!("chat {n}")).await.finished);
    }
    for n in 0..CALLS_TO_REACH_BOTH {
        assert!(ask(&fleet, &format!("later chat {n}")).await.finished);
    }
    assert_eq!(runs(&fleet, 0), 1);
    let shown = withdrawn(&fleet).await;
    assert_eq!(shown.len(), 1, "{shown:?}");
    assert!(shown[0]["left_ms"].is_null(), "for good: {shown:?}");
}

#[rstest]
#[case::a_time("60", 503, Some(60))]
#[case::a_long_time("7200", 503, Some(7_200))]
#[case::no_time("Wed, 02 Dec 2026 07:28:00 GMT", 200, None)]
#[tokio::test(flavor = "multi_thread")]
async fn routers_show_how_long_no_engine_accepts_calls(
    #[case] time: &'static str,
    #[case] status: u16,
    #[case] left_s: Option<u64>,
) {
    let fleet = start().await;
    let fault = Fault::RefuseFor(time);
    fleet.engines.iter().for_each(|e| e.set_fault(fault));
    let until_known = |shown: &[Value]| left_s.is_none() || shown.len() == fleet.engines.len();
    loop {
        let refused = ask(&fleet, "first").await;
        assert_eq!((refused.status, refused.ran.as_str()), (503, "no"));
        if until_known(&withdrawn(&fleet).await) {
            break;
        }
    }
    fleet.engines.iter().for_each(|e| e.set_fault(Fault::None));
    // Engines that gave no delay in seconds are avoided briefly, but still used if no other engine
    // is left.
    let later = ask(&fleet, "later").await;
    assert_eq!(later.status, status, "{later:?}");
    for shown in withdrawn(&fleet).await {
        let left = shown["left_ms"].as_u64().unwrap();
        let asked = left_s.unwrap() * 1_000;
        assert!((asked - 30_000..=asked).contains(&left), "{shown}");
    }
}

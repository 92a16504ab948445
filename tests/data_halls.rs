//! Data halls that operators evacuate and put back into service through the product's own
//! interface.

mod support;

use serde_json::json;
use support::{
    caller::{Outcome, chat_body},
    fleet::{Fleet, MODEL, Plan, status},
};

/// Data hall of all engines, which follows from the length of their ids.
const HALL: &str = "hall-2";

async fn ask(fleet: &Fleet, router: usize, text: &str) -> Outcome {
    let body = chat_body(MODEL, &[("user", text.to_owned())], 24, true);
    fleet.caller.chat(fleet.callers_at(router), &body).await
}

async fn apply_hall_edit(fleet: &Fleet, edit: &str) {
    let edits = vec![json!({edit: {"id": HALL}})];
    let revision = fleet.change("work on the power lines", edits).await;
    while !fleet.live().all(|r| r.revision().0 >= revision) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_data_hall_gets_nothing_until_it_is_taken_back() {
    let plan = Plan {
        halls: 3,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await;
    assert_eq!(ask(&fleet, 0, "before").await.status, 200);
    let runs = || {
        let of = |e: &support::engine::Engine| e.state.lock().unwrap().executed.len();
        fleet.engines.iter().map(of).sum::<usize>()
    };
    apply_hall_edit(&fleet, "evacuate_data_hall").await;
    let before = runs();
    for router in 0..3 {
        let refused = ask(&fleet, router, "during").await;
        assert_eq!((refused.status, refused.code), (503, 4001), "{refused:?}");
        assert!(refused.retry_after && refused.ran == "no");
        let shown = status(fleet.operators_at(router)).await;
        assert_eq!(shown["evacuated"][0]["data_hall"], HALL, "{shown}");
    }
    assert_eq!(runs(), before);
    apply_hall_edit(&fleet, "take_data_hall_back").await;
    for router in 0..3 {
        assert_eq!(ask(&fleet, router, "after").await.status, 200);
    }
}

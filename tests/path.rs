//! The whole path: callers, routers, targets and back.

mod support;

use support::{
    caller::chat_body,
    engine::expected,
    fleet::{Fleet, MODEL, Plan},
};

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_is_answered_whole_through_any_router() {
    let fleet = Fleet::start(Plan::default()).await;
    for i in 0..3 {
        for stream in [false, true] {
            let question = format!("question {i} about lot 12");
            let body = chat_body(MODEL, &[("user", question)], 20, stream);
            let outcome = fleet.caller.chat(fleet.callers_at(i), &body).await;
            assert_eq!(outcome.status, 200, "{outcome:?}");
            assert!(outcome.finished && !outcome.cut, "{outcome:?}");
            assert_eq!(outcome.text, expected(7, &body).concat());
        }
    }
}

//! Tasks of callers' connections, whose panics are logged and counted.

use std::{any::Any, panic::AssertUnwindSafe, rc::Rc};

use futures::FutureExt;
use slog::error;

use super::gateway::Gateway;

/// Runs a task on this thread. If it panics, only what it owns ends with it.
pub(super) fn spawn(
    cx: &Rc<Gateway>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let cx = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        // Whatever the task shares is updated as a whole between two of its steps, or not at all.
        if let Err(payload) = AssertUnwindSafe(task).catch_unwind().await {
            cx.metrics.unanswered.task_panics.inc();
            error!(cx.log, "task panicked"; "task" => name, "why" => panic_text(&*payload));
        }
    });
}

fn panic_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied())
        .unwrap_or("no text")
}

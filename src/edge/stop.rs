//! The planned stop of a router.
//!
//! The router reports at once that it is not ready, but continues to serve callers for a while. Then it
//! refuses new calls, and ends when none are in progress and all answers have arrived. Calls that are still in
//! progress when its time is up are answered as far as that is still possible.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{net::UdpSocket, sync::mpsc};

use super::{GatewayConfig, gateway::Gateway, gossip};
use crate::{
    lifecycle::{Phase, RouterEvent, StopTimes},
    units::Instant,
};

/// Interval at which a stop checks whether calls are still in progress.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for idle connections to close before the end, and for calls that arrived late to be refused.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Time for the answers of calls that are given up as the time is up to be sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Time for which a stop waits for the last log lines to be written out.
const LOG_WRITE_DELAY: Duration = Duration::from_millis(50);

/// Signals that the process receives from outside.
pub struct Signals {
    /// Requests for a planned stop.
    pub stop: mpsc::Receiver<()>,
    /// Settings that changed.
    pub reload: mpsc::Receiver<GatewayConfig>,
}

/// Outcome of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct StopReport {
    /// Number of calls in progress when the router began to refuse new ones.
    pub in_progress: u64,
    /// Number of calls that were cut off without an answer because the time limit was reached.
    pub cut_off: u64,
    /// Number of connections of which an answer, or a part of one, had not arrived by then. It includes those
    /// of calls that were cut off.
    pub undelivered: u64,
    /// Duration of the stop in milliseconds.
    pub took_ms: u64,
}

/// Waits for the signal to stop, then runs the planned stop to its end.
pub(super) async fn run_until_stopped(
    cx: &Rc<Gateway>,
    mut signals: Signals,
    udp: &UdpSocket,
) -> StopReport {
    loop {
        tokio::select! {
            Some(()) = signals.stop.recv() => break,
            Some(cfg) = signals.reload.recv() => cx.reload(&cfg),
            // Both channels are closed, so no stop can be requested: continue to serve.
            else => std::future::pending::<()>().await,
        }
    }
    let began = cx.now();
    info!(cx.log, "stop requested"; "in_progress" => cx.in_progress.get());
    let rules = cx.rules.get();
    let times = StopTimes::new(began, rules.serve_on, rules.stop_time);
    cx.stop_times.set(Some(times));
    cx.on_lifecycle_event(RouterEvent::Stop);
    cx.clock.sleep_until(times.refuse_at).await;
    cx.on_lifecycle_event(RouterEvent::BalancerNotified);
    let in_progress = cx.in_progress.get() as u64;
    gossip::send_to_all(cx, udp, &[]);
    await_drained(cx, times.cut_off_at).await;
    let closed_at = (cx.now() + CLOSE_TIME).min(times.cut_off_at);
    cx.clock.sleep_until(closed_at).await;
    await_drained(cx, times.cut_off_at).await;
    if is_busy(cx) {
        info!(cx.log, "time is up"; "in_progress" => cx.in_progress.get());
        cx.on_lifecycle_event(RouterEvent::TimeIsUp);
        tokio::time::sleep(LAST_ANSWERS_TIME).await;
    }
    cx.on_lifecycle_event(RouterEvent::Finished);
    let report = StopReport {
        in_progress,
        cut_off: cx.in_progress.get() as u64,
        undelivered: cx.deliveries.pending() as u64,
        took_ms: cx.now().since(began).as_millis() as u64,
    };
    info!(cx.log, "stopped"; "cut_off" => report.cut_off, "undelivered" => report.undelivered, "took_ms" => report.took_ms);
    if let Err(e) = cx.spans.shut_down() {
        info!(cx.log, "spans not sent"; "why" => %e);
    }
    cx.flusher.flush();
    tokio::time::sleep(LOG_WRITE_DELAY).await;
    report
}

/// Waits until no call is in progress and all answers have arrived, but not beyond the instant `until`.
async fn await_drained(cx: &Gateway, until: Instant) {
    while cx.now() < until && is_busy(cx) {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

fn is_busy(cx: &Gateway) -> bool {
    cx.in_progress.get() + cx.tunnels.busy() > 0 || !cx.deliveries.is_all_delivered()
}

impl Gateway {
    /// Waits until a planned stop has no time left for calls in progress.
    pub(crate) async fn until_time_is_up(&self) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase() >= Phase::Ending {
                return;
            }
            changed.await;
        }
    }
}

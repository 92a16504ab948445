//! The planned stop: not ready at once, callers served on, new calls refused late, an end when
//! nothing is left.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{net::UdpSocket, sync::mpsc};

use super::{GatewayConfig, gateway::Gateway, gossip};
use crate::lifecycle::RouterEvent;

/// The part of the stop's time after which it ends whatever is left.
const LAST_PART: f64 = 0.95;

/// How often a stop looks whether work is left.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// The longest that a stop waits for the last lines to be written out.
const LAST_LINES: Duration = Duration::from_millis(50);

/// What the process is told from outside.
pub struct Signals {
    /// A planned stop is asked for.
    pub stop: mpsc::Receiver<()>,
    /// The settings changed.
    pub reload: mpsc::Receiver<GatewayConfig>,
}

/// What a planned stop came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct StopReport {
    /// Calls that were in progress when the router took no more.
    pub in_progress: u64,
    /// Those that were cut off as the time was up.
    pub cut_off: u64,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

/// Waits for the signal, then for the end of the stop.
pub(super) async fn wait(cx: &Rc<Gateway>, mut signals: Signals, udp: &UdpSocket) -> StopReport {
    loop {
        tokio::select! {
            Some(()) = signals.stop.recv() => break,
            Some(cfg) = signals.reload.recv() => cx.reload(&cfg),
            // Nobody can ask for anything any more: serve on.
            else => std::future::pending::<()>().await,
        }
    }
    let began = cx.now();
    info!(cx.log, "stop asked for"; "in_progress" => cx.in_progress.get());
    cx.on_life(RouterEvent::Stop);
    cx.clock.sleep_until(began + cx.rules.get().serve_on).await;
    cx.on_life(RouterEvent::BalancerNotified);
    let in_progress = cx.in_progress.get() as u64;
    gossip::send_to_all(cx, udp, &[]);
    let limit = cx.rules.get().stop_time.mul_f64(LAST_PART);
    while cx.in_progress.get() > 0 && cx.now().since(began) < limit {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    // Idle connections are closed by now; what is in the sockets is sent by the system.
    tokio::time::sleep(LOOK_EVERY * 10).await;
    cx.on_life(RouterEvent::Finished);
    let report = StopReport {
        in_progress,
        cut_off: cx.in_progress.get() as u64,
        took_ms: cx.now().since(began).as_millis() as u64,
    };
    info!(cx.log, "stopped"; "cut_off" => report.cut_off, "took_ms" => report.took_ms);
    if let Err(e) = cx.spans.flush() {
        info!(cx.log, "spans not sent"; "why" => %e);
    }
    cx.flusher.flush();
    tokio::time::sleep(LAST_LINES).await;
    report
}

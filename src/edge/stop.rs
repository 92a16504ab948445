//! The planned stop: not ready at once, callers served on, new calls refused late, an end when
//! nothing is left.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    GatewayConfig,
    gateway::{Gateway, Phase},
    gossip,
};

/// How long callers are still taken after the stop was asked for. The balancer asks each second
/// and sends nobody any more after two misses; calls sent up to three seconds after the signal
/// still count as cut off if the stop cuts them (RULES).
const SERVE_ON: Duration = Duration::from_secs(3);

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

/// Waits for the signal, then for the end of the stop.
pub(super) async fn wait(cx: &Rc<Gateway>, mut signals: Signals, udp: &UdpSocket) {
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
    cx.phase.set(Phase::Leaving);
    tokio::time::sleep(SERVE_ON).await;
    cx.phase.set(Phase::Refusing);
    gossip::send_to_all(cx, udp);
    let limit = cx.rules.get().stop_time.mul_f64(LAST_PART);
    while cx.in_progress.get() > 0 && cx.now().since(began) < limit {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    // Idle connections are closed by now; what is in the sockets is sent by the system.
    tokio::time::sleep(LOOK_EVERY * 10).await;
    info!(cx.log, "stopped"; "cut_off" => cx.in_progress.get(),
        "took_ms" => cx.now().since(began).as_millis() as u64);
    cx.flusher.flush();
    tokio::time::sleep(LAST_LINES).await;
}

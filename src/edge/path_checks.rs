//! Opens direct connections to targets, and checks paths that failed by opening one.

use std::{rc::Rc, time::Duration};

use rand::seq::IteratorRandom;
use slog::info;
use tokio::net::TcpStream;

use super::{
    conn::{ConnectError, set_socket_options},
    gateway::Gateway,
};
use crate::{discovery::TargetRecord, paths::Soundness};

/// Maximum time to open a direct connection where a peer can open one too. Between data halls it takes
/// some milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of other targets that are tried at the same time to see whether this router is cut off.
const OTHERS_TRIED: usize = 3;

/// Maximum time to open a direct connection where no peer can.
const LONE_DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens a direct connection to a target, and records whether its path works.
pub(super) async fn dial(cx: &Gateway, target: &TargetRecord) -> Result<TcpStream, ConnectError> {
    let has_peers = cx.peers.borrow().live_count(cx.now()) > 1;
    let timeout = match has_peers {
        true => DIAL_TIMEOUT,
        false => LONE_DIAL_TIMEOUT,
    };
    let dialled = tokio::time::timeout(timeout, cx.dialer.dial(target.address)).await;
    let result = match dialled {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(ConnectError::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(ConnectError::Unreachable),
    };
    match &result {
        Ok(stream) => {
            set_socket_options(stream);
            cx.metrics.paths.connections_opened.inc();
            on_opened(cx, target);
        }
        Err(e) => on_not_reached(cx, target, *e),
    }
    result
}

/// Returns whether this router reaches other targets. If that is not known, it tries some.
pub(super) async fn is_sound(cx: &Gateway, failed: &TargetRecord) -> bool {
    match cx.dispatcher.borrow().paths.soundness(cx.now()) {
        Soundness::Sound => return true,
        Soundness::CutOff => return false,
        Soundness::Unknown => {}
    }
    let others = {
        let dispatcher = cx.dispatcher.borrow();
        let others = dispatcher.discovery.all().filter(|t| t.id != failed.id);
        let others = others.choose_multiple(&mut rand::rng(), OTHERS_TRIED);
        others.into_iter().cloned().collect::<Vec<_>>()
    };
    if others.is_empty() {
        // Where there is only one target, two routers that fail to reach it are taken for right.
        return true;
    }
    let dials = others.iter().map(|other| Box::pin(dial(cx, other)));
    futures::future::select_ok(dials).await.is_ok()
}

/// Records that neither this router nor a peer reached a target.
pub(super) fn on_out_of_reach(cx: &Gateway, target: &TargetRecord) {
    let is_new = (cx.dispatcher.borrow_mut().paths).on_out_of_reach(cx.now(), target);
    if is_new {
        info!(cx.log, "path"; "target" => %target.id, "verdict" => "out of reach");
    }
}

/// Records that a peer could not reach a target either, so that the failure is the target's.
pub(super) fn on_target_down(cx: &Gateway, target: &TargetRecord, e: ConnectError) {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let is_new = dispatcher.paths.on_peer_failed(target);
    if e == ConnectError::Refused {
        dispatcher.on_connection_refused(now, &target.id);
    }
    if is_new {
        info!(cx.log, "path"; "target" => %target.id, "verdict" => "target is down", "why" => e.name());
    }
}

fn on_opened(cx: &Gateway, target: &TargetRecord) {
    let was_failing = (cx.dispatcher.borrow_mut().paths).on_opened(cx.now(), target);
    if was_failing {
        info!(cx.log, "path"; "target" => %target.id, "verdict" => "works again");
    }
}

fn on_not_reached(cx: &Gateway, target: &TargetRecord, e: ConnectError) {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let ago = dispatcher
        .paths
        .reached_at(&target.id)
        .map(|at| now.since(at));
    let any_ago = dispatcher.paths.any_reached_at().map(|at| now.since(at));
    dispatcher.withdrawals.on_broke(now, &target.id);
    let is_new = dispatcher.paths.on_not_reached(now, target);
    if !is_new {
        return;
    }
    // What failed so far may have failed on the way.
    dispatcher.health.on_path_lost(now, &target.id);
    let is_cut_off = dispatcher.paths.is_cut_off();
    let failing = dispatcher.paths.failing_count();
    drop(dispatcher);
    cx.conns.close_idle_direct(&target.id);
    let ms = |d: Duration| d.as_millis() as u64;
    info!(cx.log, "path"; "target" => %target.id, "verdict" => "fails", "why" => e.name(),
        "reached_ms_ago" => ago.map(ms), "any_reached_ms_ago" => any_ago.map(ms),
        "targets_failing" => failing, "cut_off" => is_cut_off);
}

/// Starts the checks that are due: of paths that fail, and of those to targets that owe answers.
pub(super) fn on_tick(cx: &Rc<Gateway>) {
    let now = cx.now();
    let due = {
        let mut dispatcher = cx.dispatcher.borrow_mut();
        for target in dispatcher.health.stalled_targets(now) {
            dispatcher.paths.on_stall(now, &target);
        }
        let ids = dispatcher.paths.take_due_checks(now);
        let records = ids
            .iter()
            .filter_map(|id| dispatcher.discovery.get(id).cloned());
        records.collect::<Vec<_>>()
    };
    for target in due {
        let cx = Rc::clone(cx);
        tokio::task::spawn_local(async move {
            cx.metrics.paths.checks.inc();
            if let Ok(stream) = dial(&cx, &target).await {
                cx.conns.adopt_idle(cx.now(), &target.id, stream).await;
            }
        });
    }
    let paths = &cx.dispatcher.borrow().paths;
    let metrics = &cx.metrics.paths;
    metrics
        .targets_not_reached
        .set(paths.failing_count() as i64);
    metrics.cut_off.set(i64::from(paths.is_cut_off()));
    metrics.tunnels_open.set(cx.tunnels.open() as i64);
}

//! Opens a connection to a target, directly or through a peer that has a path to it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use slog::info;

use super::{
    conn::{Conn, ConnectError},
    gateway::Gateway,
    path_checks, peer_calls,
    tunnel::TunnelRefusal,
    tunnel_conn::TunnelConn,
};
use crate::{
    discovery::TargetRecord,
    paths::Route,
    relays::{PeerVerdict, RelayCandidate, RelayFailure},
};

/// Maximum number of peers that are asked for one connection.
const MAX_PEERS_ASKED: usize = 3;

/// Maximum time of a peer's answer: it opens a connection, and may have to check whether it reaches
/// another target.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens a connection, unless `limit` connections to the target are open or being opened already.
pub(super) async fn open(
    cx: &Rc<Gateway>,
    target: &TargetRecord,
    limit: usize,
) -> Result<Conn, ConnectError> {
    let opening = cx.conns.begin_open(&target.id, limit)?;
    let route = (cx.dispatcher.borrow_mut().paths).route(cx.now(), target);
    let direct = match route {
        Route::Direct => path_checks::dial(cx, target).await,
        Route::ThroughPeer => Err(ConnectError::Unreachable),
    };
    let e = match direct {
        Ok(stream) => return opening.finish(stream, None).await,
        Err(e) => e,
    };
    let relayed = open_through_peer(cx, target).await;
    if relayed.is_err() {
        path_checks::on_out_of_reach(cx, target);
    }
    match relayed {
        Ok((stream, peer)) => opening.finish(stream, Some(peer)).await,
        Err(PeerVerdict::TargetDown) => {
            path_checks::on_target_down(cx, target, e);
            Err(e)
        }
        Err(PeerVerdict::NoPeers) if route == Route::ThroughPeer => {
            let stream = path_checks::dial(cx, target).await?;
            opening.finish(stream, None).await
        }
        Err(PeerVerdict::NoPeers) => Err(e),
        Err(PeerVerdict::NotKnown) => Err(ConnectError::NoPath),
    }
}

/// Asks peers one after the other for a connection to a target. Returns it with the peer's address, or what
/// the peers say of the target.
async fn open_through_peer(
    cx: &Rc<Gateway>,
    target: &TargetRecord,
) -> Result<(TunnelConn, SocketAddr), PeerVerdict> {
    let candidates = cx.peers.borrow().relay_candidates(cx.now());
    let mut tried: Vec<RelayCandidate> = Vec::new();
    while tried.len() < MAX_PEERS_ASKED {
        let Some(peer) = choose_peer(cx, target, &candidates, &tried) else {
            break;
        };
        let answer = peer_calls::open_tunnel(peer.address, &target.id);
        let answer = tokio::time::timeout(TUNNEL_TIMEOUT, answer).await;
        let outcome = match &answer {
            Ok(Ok(Ok(_))) => "opened".to_owned(),
            Ok(Ok(Err(refusal))) => refusal.to_string(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        info!(cx.log, "tunnel"; "target" => %target.id, "peer" => %peer.address, "outcome" => outcome);
        let (now, mut relays) = (cx.now(), cx.relays.borrow_mut());
        match answer {
            Ok(Ok(Ok(stream))) => {
                relays.on_success(peer.address, &target.id);
                (cx.dispatcher.borrow_mut().paths).on_relayed(now, target);
                cx.metrics.paths.tunnels_used.inc();
                return Ok((stream, peer.address));
            }
            Ok(Ok(Err(TunnelRefusal::TargetDown))) => {
                relays.on_failure(now, peer.address, &target.id, RelayFailure::TargetDown);
            }
            Ok(Ok(Err(TunnelRefusal::NoPath))) => {
                relays.on_failure(now, peer.address, &target.id, RelayFailure::NoPath);
            }
            // Another peer may still list the target.
            Ok(Ok(Err(TunnelRefusal::NotListed))) => {}
            Ok(Ok(Err(_))) => {
                relays.on_failure(now, peer.address, &target.id, RelayFailure::Refused);
            }
            Ok(Err(_)) | Err(_) => {
                relays.on_failure(now, peer.address, &target.id, RelayFailure::Silent);
            }
        }
        tried.push(peer);
    }
    let verdict = (cx.relays.borrow()).verdict(cx.now(), &target.id, &candidates);
    Err(verdict)
}

fn choose_peer(
    cx: &Gateway,
    target: &TargetRecord,
    candidates: &[RelayCandidate],
    tried: &[RelayCandidate],
) -> Option<RelayCandidate> {
    let near = [&cx.cfg.data_hall, &target.data_hall];
    let relays = cx.relays.borrow();
    let chosen = relays.choose(
        cx.now(),
        &target.id,
        candidates,
        &near,
        tried,
        rand::random(),
    );
    chosen.cloned()
}

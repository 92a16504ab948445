//! Compares the known members of the fleet with other routers, and applies the records that they send.

use std::{net::SocketAddr, rc::Rc};

use slog::info;
use tokio::net::UdpSocket;

use super::{gateway::Gateway, gossip};
use crate::{
    ids::VmId,
    membership::{
        datagram::{Datagram, Stamp},
        records::Exchange,
    },
};

/// Maximum number of peers that one log line names.
const MAX_LOGGED_PEERS: usize = 4;

/// Compares the known members with one other router after the other until the router ends.
pub(super) async fn run_comparisons(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    loop {
        let (to, step) = {
            let mut peers = cx.peers.borrow_mut();
            (peers.comparison_peer(cx.now()), peers.compare())
        };
        if let Some(to) = to {
            send(&cx, &udp, step, to.echo, to.address);
        }
        let pause = cx.peers.borrow().compare_interval(cx.now());
        tokio::time::sleep(pause).await;
    }
}

/// Applies a datagram's records of other routers, and answers its step of a comparison.
///
/// `joined` is the sender of the datagram if this datagram made it a live peer.
pub(super) fn on_datagram(
    cx: &Gateway,
    udp: &UdpSocket,
    from: SocketAddr,
    received: &Datagram,
    joined: Option<VmId>,
) {
    let now = cx.now();
    let mut all_joined = cx.peers.borrow_mut().on_records(now, received);
    all_joined.extend(joined);
    let answer = cx.peers.borrow_mut().answer(now, received);
    if let Some(answer) = answer {
        send(cx, udp, answer, Some(received.sent), from);
    }
    if all_joined.is_empty() {
        return;
    }
    let named: Vec<&str> = all_joined
        .iter()
        .take(MAX_LOGGED_PEERS)
        .map(VmId::as_str)
        .collect();
    info!(cx.log, "peers joined"; "peers" => all_joined.len(), "first" => named.join(" "), "from" => %received.vm,
        "alive" => cx.peers.borrow().live_count(now));
    for vm in &all_joined {
        let address = cx.peers.borrow().address_of(vm);
        address
            .into_iter()
            .for_each(|a| gossip::sync_peer(cx, udp, vm, a));
    }
}

/// Sends one step of a comparison.
fn send(cx: &Gateway, udp: &UdpSocket, step: Exchange, echo: Option<Stamp>, to: SocketAddr) {
    let mut outgoing = gossip::new_datagram(cx, Vec::new());
    outgoing.exchange = Some(step);
    outgoing.echo = echo;
    gossip::send_to(cx, udp, &outgoing, to);
}

//! Datagrams between routers: sends what this one knows, takes in what others tell.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use slog::{debug, info};
use tokio::net::UdpSocket;

use super::gateway::{Gateway, Phase};
use crate::{
    ids::TargetId,
    load_account::InProgress,
    membership::peers::{Datagram, Heard, Stamp},
    prompt_cache::{PartId, PromptPart},
    units::{Instant, Tokens},
};

/// How often counts that changed are told. Ten times a second kept the load bound with 85 routers
/// in a trial (DESIGN.md).
const TELL_EVERY: Duration = Duration::from_millis(100);

/// After so many turns without a change something is told all the same, as a sign of life.
const QUIET_TURNS: u32 = 5;

/// The turns over which calls are counted for the share of the retry budget: ten seconds.
const CALL_TURNS: u64 = 100;

/// The largest datagram that is sent, in bytes, and that is read.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// Parts of prompts that one datagram tells of.
const PARTS_TOLD: usize = 60;

/// Sends counts, news of prompts and the age of the configuration to all peers, over and over.
pub(super) async fn tell(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let mut turn = 0_u64;
    let mut quiet = 0;
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        turn += 1;
        if turn.is_multiple_of(CALL_TURNS) {
            // Half of the last count stays, so that the share does not jump.
            cx.recent_calls.set(cx.recent_calls.get() / 2);
        }
        let changed = cx.dispatcher.borrow_mut().load.take_changed();
        quiet = if changed { 0 } else { quiet + 1 };
        if changed || quiet >= QUIET_TURNS {
            quiet = 0;
            send(&cx, &udp);
        }
    }
}

/// Sends one datagram to each peer.
pub(super) fn send(cx: &Gateway, udp: &UdpSocket) {
    let mut parts = cx.dispatcher.borrow_mut().cache.take_news();
    parts.truncate(PARTS_TOLD);
    let mut told = datagram(cx, parts);
    for (address, echo) in cx.peers.borrow().receivers() {
        told.echo = echo;
        send_to(cx, udp, &told, address);
    }
}

/// Tells a peer that joined all parts of prompts that are known to be read.
fn teach(cx: &Gateway, udp: &UdpSocket, address: SocketAddr) {
    let parts = cx.dispatcher.borrow().cache.shared_parts();
    for some in parts.chunks(PARTS_TOLD) {
        let told = datagram(cx, some.to_vec());
        send_to(cx, udp, &told, address);
    }
}

fn send_to(cx: &Gateway, udp: &UdpSocket, told: &Datagram, address: SocketAddr) {
    let Ok(bytes) = postcard::to_stdvec(told) else {
        debug!(cx.log, "datagram not encoded"; "to" => %address);
        return;
    };
    cx.metrics.datagrams_sent.inc();
    cx.metrics.datagram_bytes.inc_by(bytes.len() as u64);
    // A datagram that is not sent is like one that is lost: the next one tells all again.
    let _ = udp.try_send_to(&bytes, address);
}

fn datagram(cx: &Gateway, parts: Vec<(PartId, Tokens, TargetId)>) -> Datagram {
    let now = cx.now();
    let load = cx.dispatcher.borrow().load.own_counts();
    let freshness = cx.freshness.borrow();
    let age = freshness.age(now);
    let number = cx.datagram_count.get() + 1;
    cx.datagram_count.set(number);
    Datagram {
        vm: cx.cfg.vm.clone(),
        number,
        sent: Stamp {
            life: cx.life(),
            micros: now.0.as_micros() as u64,
        },
        echo: None,
        config: age.map(|a| (freshness.revision(), a.as_millis() as u32)),
        store_age: cx
            .store_age()
            .filter(|_| cx.reads_store())
            .map(|a| a.as_millis() as u32),
        mirror: cx.mirror.borrow().revision(),
        store_back: cx
            .store_back_at
            .get()
            .map(|at| now.since(at).as_millis() as u32),
        calls: cx.recent_calls.get(),
        stopping: cx.phase.get() != Phase::Serving,
        load: load
            .into_iter()
            .map(|(t, w)| (t, w.calls, w.tokens))
            .collect(),
        parts,
        known: cx.peers.borrow().known(number),
    }
}

/// Takes in datagrams for ever.
pub(super) async fn receive(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_LIMIT];
    loop {
        let Ok((len, from)) = udp.recv_from(&mut buf).await else {
            // A peer's port that is closed is told here; it concerns only that peer.
            continue;
        };
        match postcard::from_bytes::<Datagram>(&buf[..len]) {
            Ok(told) => on_datagram(&cx, &udp, from, told),
            Err(e) => debug!(cx.log, "datagram not understood"; "from" => %from, "why" => %e),
        }
    }
}

fn on_datagram(cx: &Gateway, udp: &UdpSocket, from: SocketAddr, told: Datagram) {
    let now = cx.now();
    let heard = cx.peers.borrow_mut().on_datagram(now, from, &told);
    match heard {
        Heard::Outdated => return,
        Heard::Joined => {
            let teach_it = cx.peers.borrow().is_teacher_of(now, &told.vm);
            info!(cx.log, "peer"; "peer" => %told.vm, "verdict" => "joined",
                "address" => %from, "life" => told.sent.life.0, "told_prompts" => teach_it);
            if teach_it {
                teach(cx, udp, from);
            }
        }
        Heard::Known => {}
    }
    if let Some(vouch) = cx.peers.borrow().vouch(&told) {
        cx.freshness.borrow_mut().on_vouch(vouch);
    }
    let mut dispatcher = cx.dispatcher.borrow_mut();
    if let Some(ago) = told.store_back {
        let at = now.0.saturating_sub(Duration::from_millis(u64::from(ago)));
        dispatcher.discovery.on_store_back(Instant(at));
    }
    let work = |(target, calls, tokens): (_, u32, Tokens)| (target, InProgress { calls, tokens });
    let counts = told.load.into_iter().map(work).collect();
    dispatcher.load.on_peer(now, told.vm, counts);
    for (id, tokens, target) in told.parts {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part);
    }
}

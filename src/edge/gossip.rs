//! Datagrams between routers: sends what this one knows, takes in what others tell.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::Serialize;
use slog::{debug, info};
use tokio::net::UdpSocket;

use super::{accounts, gateway::Gateway};
use crate::{
    ids::TargetId,
    lifecycle::Phase,
    limits::SHARE_EVERY,
    membership::{
        datagram::{Datagram, Message, Stamp},
        peers::Heard,
    },
    prompt_cache::{PartId, PromptPart},
    units::{Instant, Tokens},
};

/// How often counts that changed are told. Ten times a second kept the load bound with 85 routers
/// in a trial (DESIGN.md).
const TELL_EVERY: Duration = Duration::from_millis(100);

/// After so long without a change something is told all the same, as a sign of life.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// How often half of the counted calls is forgotten, so that the share of the retry budget follows
/// the last ten seconds or so without jumping.
const CALLS_HALVE: Duration = Duration::from_secs(10);

/// The largest datagram that is sent, in bytes, and that is read.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// Parts of prompts that one datagram tells of.
const PARTS_TOLD: usize = 60;

/// When what was last told.
struct Told {
    close: Instant,
    everyone: Instant,
    calls_halved: Instant,
    shares: Instant,
}

/// Sends counts, news of prompts and the age of the configuration, over and over: as they change
/// to all peers of a small fleet or to the hubs of a large one, and seldom to everyone.
pub(super) async fn tell(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let now = cx.now();
    let mut last = Told {
        close: now,
        everyone: now,
        calls_halved: now,
        shares: now,
    };
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        let now = cx.now();
        if now.since(last.calls_halved) >= CALLS_HALVE {
            last.calls_halved = now;
            cx.recent_calls.set(cx.recent_calls.get() / 2);
        }
        if now.since(last.shares) >= SHARE_EVERY {
            last.shares = now;
            ask_for_shares(&cx, &udp);
        }
        let (is_large, adds_up, mesh) = {
            let peers = cx.peers.borrow();
            (
                peers.is_large(now),
                peers.adds_up(now),
                peers.mesh_interval(),
            )
        };
        let changed = cx.dispatcher.borrow_mut().load.take_changed();
        let due = changed || now.since(last.close) >= QUIET_TIME;
        match is_large {
            false if due => {
                last.close = now;
                last.everyone = now;
                send_to_all(&cx, &udp);
            }
            true if due || adds_up => {
                last.close = now;
                send_to_close_ones(&cx, &udp, adds_up);
            }
            _ => {}
        }
        if is_large && now.since(last.everyone) >= mesh {
            last.everyone = now;
            send_to_all(&cx, &udp);
        }
    }
}

/// Sends one datagram to each peer.
pub(super) fn send_to_all(cx: &Gateway, udp: &UdpSocket) {
    let parts = cx.dispatcher.borrow_mut().cache.take_news(PARTS_TOLD);
    let mut told = datagram(cx, parts);
    for to in cx.peers.borrow().everyone() {
        told.echo = to.echo;
        send_to(cx, udp, &told, to.address);
    }
}

/// Sends to the hubs; if this router adds up for its data hall, sums to all that wait for them.
fn send_to_close_ones(cx: &Gateway, udp: &UdpSocket, adds_up: bool) {
    let parts = cx.dispatcher.borrow_mut().cache.take_news(PARTS_TOLD);
    let mut told = datagram(cx, parts);
    told.known.clear();
    let hall = &cx.cfg.data_hall;
    for to in cx.peers.borrow().close_ones(cx.now()) {
        told.echo = to.echo;
        if adds_up {
            let load = &cx.dispatcher.borrow().load;
            let own = (hall.clone(), load.hall_counts(to.vm.as_ref()));
            let others = match to.hall.as_ref() == Some(hall) {
                true => load.other_halls(),
                false => Vec::new(),
            };
            told.halls = others.into_iter().chain([own]).collect();
        }
        send_to(cx, udp, &told, to.address);
    }
}

/// Tells the keepers of accounts what is needed of their limits here.
fn ask_for_shares(cx: &Gateway, udp: &UdpSocket) {
    for (keeper, ask) in accounts::asks(cx) {
        send_message(cx, udp, &ask, keeper);
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
    send_message(cx, udp, &Message::State(told), address);
}

fn send_message<S: Serialize>(
    cx: &Gateway,
    udp: &UdpSocket,
    message: &Message<S>,
    address: SocketAddr,
) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(e) => {
            debug!(cx.log, "datagram not encoded"; "to" => %address, "why" => %e);
            return;
        }
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
    let own_age = cx.store_age().filter(|_| cx.reads_store());
    let own = own_age.map(|a| (cx.cfg.vm.clone(), a.as_millis() as u32));
    let readers = cx.peers.borrow().readers(now).into_iter().chain(own);
    let readers = readers.collect();
    Datagram {
        vm: cx.cfg.vm.clone(),
        number,
        sent: Stamp {
            life: cx.life_number(),
            micros: now.0.as_micros() as u64,
        },
        echo: None,
        config: age.map(|a| (freshness.revision(), a.as_millis() as u32)),
        hall: cx.cfg.data_hall.clone(),
        strength: cx.cfg.strength,
        readers,
        doubted: cx.dispatcher.borrow().health.doubted_here(now),
        halls: Vec::new(),
        mirror: cx.mirror.borrow().revision(),
        store_back: cx
            .store_back_at
            .get()
            .map(|at| now.since(at).as_millis() as u32),
        calls: cx.recent_calls.get(),
        stopping: cx.phase() != Phase::Serving,
        load,
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
        match postcard::from_bytes::<Message>(&buf[..len]) {
            Ok(Message::State(told)) => on_datagram(&cx, &udp, from, *told),
            Ok(Message::ShareAsk {
                from: vm,
                account,
                demand,
            }) => {
                if let Some(grant) = accounts::on_demand(&cx, &vm, &account, demand) {
                    let grant: Message = Message::ShareGrant { account, grant };
                    send_message(&cx, &udp, &grant, from);
                }
            }
            Ok(Message::ShareGrant { account, grant }) => accounts::on_grant(&cx, &account, grant),
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
    let adds_up = {
        let peers = cx.peers.borrow();
        peers.is_large(now) && peers.adds_up(now)
    };
    let mut dispatcher = cx.dispatcher.borrow_mut();
    if let Some(ago) = told.store_back {
        let at = now.0.saturating_sub(Duration::from_millis(u64::from(ago)));
        dispatcher.discovery.on_store_back(Instant(at));
    }
    let peer = told.vm.clone();
    dispatcher.health.on_doubts(now, peer, told.doubted);
    let hall = told.hall;
    dispatcher.load.on_peer(now, told.vm, hall, told.load);
    for (hall, counts) in told.halls {
        dispatcher.load.on_hall(now, hall, counts);
    }
    for (id, tokens, target) in told.parts {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part, adds_up);
    }
}

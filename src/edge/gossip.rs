//! Datagrams between routers: sends the state of this router, and applies that of its peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::Serialize;
use slog::{debug, info};
use tokio::net::UdpSocket;

use super::{
    accounts, crash_checks, exchange,
    gateway::Gateway,
    stream_origins,
    sums::{self, EncodedSums, RateReportSchedule, RateReports},
};
use crate::{
    admission::account_rates::RateReport,
    ids::VmId,
    lifecycle::Phase,
    limits::SHARE_INTERVAL,
    membership::{
        datagram::{Datagram, HallSums, Message, Stamp},
        heartbeats::HubDigests,
        peers::DatagramEffect,
        records::Exchange,
        share_reports,
        timing::{HEARTBEAT_INTERVAL, SendContent, SendSchedule},
    },
    prompt_cache::{PartLocation, PromptPart},
    units::Instant,
};

/// Interval at which the count of recent calls is halved, so that the share of the retry budget follows
/// approximately the last ten seconds without jumping.
const CALL_COUNT_HALVING_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum size in bytes of a datagram that is read: it fits the sums of some thousand targets, and is
/// below the limit of UDP.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Time after its start during which a router does not send prompt parts to peers that join.
///
/// The router itself has just received what it knows from others, and routers that start together would
/// send all of it to one another. Afterwards, it repeats the announcements that it sent during this time:
/// by then the routers of a fleet that started together have found one another, and their hubs.
const SYNC_START_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of prompt parts in one datagram, which take some kilobytes. A hub forwards the parts
/// that all routers of its data hall announce, thousands in the first seconds of a day.
const MAX_PARTS_PER_DATAGRAM: usize = 240;

/// Progress of the periodic sends to peers.
struct LastSends {
    /// Instant at which counts or a heartbeat were last sent.
    state: Instant,
    /// Schedule of the reports of accounts' rates.
    rates: RateReportSchedule,
    /// Whether [`SYNC_START_DELAY`] has not passed yet.
    in_start_delay: bool,
    /// Instant at which the count of recent calls was last halved.
    calls_halved: Instant,
    /// Instant at which shares of accounts' limits were last requested.
    shares: Instant,
}

/// Sends counts, announcements of prompt parts and the age of the configuration periodically as they
/// change, to all peers of a small fleet or to the hubs of a large one.
pub(super) async fn send_updates(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let now = cx.now();
    let mut last = LastSends {
        state: now,
        rates: RateReportSchedule::new(now),
        in_start_delay: true,
        calls_halved: now,
        shares: now,
    };
    let mut schedule = SendSchedule::default();
    loop {
        let routers = cx.peers.borrow().live_count(cx.now()) as u32;
        let (pause, content) = schedule.next(routers);
        tokio::time::sleep(pause).await;
        let now = cx.now();
        if content == SendContent::Hints {
            send_hints(&cx, &udp);
            continue;
        }
        if now.since(last.calls_halved) >= CALL_COUNT_HALVING_INTERVAL {
            last.calls_halved = now;
            cx.recent_calls.set(cx.recent_calls.get() / 2);
        }
        if last.in_start_delay && now.0 >= SYNC_START_DELAY {
            last.in_start_delay = false;
            cx.dispatcher.borrow_mut().cache.announce_again();
        }
        if now.since(last.shares) >= SHARE_INTERVAL {
            last.shares = now;
            request_shares(&cx, &udp);
        }
        let is_large = {
            let peers = cx.peers.borrow();
            let is_large = peers.is_large(now);
            cx.is_aggregator.set(is_large && peers.is_aggregator(now));
            is_large
        };
        let changed = cx.dispatcher.borrow_mut().load.take_changed();
        let due = changed || now.since(last.state) >= HEARTBEAT_INTERVAL;
        match is_large {
            false if due => {
                last.state = now;
                let rates = last.rates.take(&cx, now);
                send_to_all(&cx, &udp, &rates.own);
            }
            true if due || cx.is_aggregator.get() => {
                last.state = now;
                let rates = last.rates.take(&cx, now);
                send_to_frequent_receivers(&cx, &udp, &rates);
            }
            _ => {}
        }
    }
}

/// Sends one datagram to each peer. In a large fleet it announces only that this router stops, because
/// everything else is sent through hubs.
pub(super) fn send_to_all(cx: &Gateway, udp: &UdpSocket, rates: &[RateReport]) {
    let is_large = cx.peers.borrow().is_large(cx.now());
    let mut outgoing = new_datagram(cx, take_prompt_announcements(cx));
    outgoing.load = (!is_large).then(|| cx.dispatcher.borrow_mut().load.own_counts());
    outgoing.rates = rates.to_vec();
    if !is_large {
        sums::own_shares(cx).write(&mut outgoing, true);
    }
    for to in cx.peers.borrow().all_receivers() {
        outgoing.echo = to.echo;
        send_to(cx, udp, &outgoing, to.address);
    }
}

/// Sends a datagram to the hubs. If this router aggregates for its data hall, sends the sums to all
/// routers that need them, with digests of the live routers, rates of the accounts and reports on
/// contended pools.
fn send_to_frequent_receivers(cx: &Gateway, udp: &UdpSocket, rates: &RateReports) {
    let now = cx.now();
    let mut outgoing = new_datagram(cx, take_prompt_announcements(cx));
    let (counts, digests) = match cx.is_aggregator.get() {
        true => {
            let mut peers = cx.peers.borrow_mut();
            let changes = peers.recent_changes(now);
            outgoing.exchange = (!changes.is_empty()).then_some(Exchange::Records(changes));
            let digests = peers.hub_digests(now, cx.recent_calls.get());
            (EncodedSums::of_halls(cx), digests)
        }
        false => (EncodedSums::default(), HubDigests::default()),
    };
    outgoing.load = Some(cx.dispatcher.borrow_mut().load.own_counts());
    let shares = match cx.is_aggregator.get() {
        true => sums::hall_shares(cx),
        false => sums::own_shares(cx),
    };
    for to in cx.peers.borrow().frequent_receivers(now) {
        outgoing.echo = to.echo;
        let is_own_hall = to.hall.as_ref() == Some(&cx.cfg.data_hall);
        let (halls, digests, of_halls) = match is_own_hall {
            true => (
                &counts.for_own_hall,
                &digests.for_own_hall,
                &rates.halls.for_own_hall,
            ),
            false => (
                &counts.for_other_halls,
                &digests.for_other_halls,
                &rates.halls.for_other_halls,
            ),
        };
        outgoing.rates = of_halls.iter().chain(&rates.own).cloned().collect();
        outgoing.halls.clone_from(halls);
        outgoing.member_digests.clone_from(digests);
        shares.write(&mut outgoing, is_own_hall);
        send_to(cx, udp, &outgoing, to.address);
    }
}

/// Sends hints of prompt parts, outages and requests under which targets crashed ahead of counts, if
/// there are any.
fn send_hints(cx: &Gateway, udp: &UdpSocket) {
    let hints = take_prompt_announcements(cx);
    let outages = (cx.dispatcher.borrow_mut().health.outages).take_unannounced();
    let crashes = (cx.dispatcher.borrow_mut().quarantine).take_unannounced();
    if hints.is_empty() && !outages && !crashes {
        return;
    }
    let mut outgoing = new_datagram(cx, hints);
    for to in cx.peers.borrow().frequent_receivers(cx.now()) {
        outgoing.echo = to.echo;
        send_to(cx, udp, &outgoing, to.address);
    }
}

/// Takes the announcements of prompt parts for the next datagram.
fn take_prompt_announcements(cx: &Gateway) -> Vec<PartLocation> {
    let young = cx.now().0 < SYNC_START_DELAY;
    let mut dispatcher = cx.dispatcher.borrow_mut();
    dispatcher
        .cache
        .take_announcements(MAX_PARTS_PER_DATAGRAM, young)
}

/// Requests shares of the accounts' limits from the owners of the accounts.
fn request_shares(cx: &Gateway, udp: &UdpSocket) {
    for (owner, request) in accounts::share_requests(cx) {
        send_message(cx, udp, &request, owner);
    }
}

/// Sends a peer that joined all known prompt parts, if this router is responsible for that.
pub(super) fn sync_peer(cx: &Gateway, udp: &UdpSocket, joined: &VmId, address: SocketAddr) {
    let now = cx.now();
    if now.0 < SYNC_START_DELAY || !cx.peers.borrow_mut().take_sync_duty(now, joined) {
        return;
    }
    info!(cx.log, "prompts sent to peer"; "peer" => %joined);
    let parts = cx.dispatcher.borrow().cache.shared_parts();
    for chunk in parts.chunks(MAX_PARTS_PER_DATAGRAM) {
        let outgoing = new_datagram(cx, chunk.to_vec());
        send_to(cx, udp, &outgoing, address);
    }
}

pub(super) fn send_to(cx: &Gateway, udp: &UdpSocket, outgoing: &Datagram, address: SocketAddr) {
    send_message(cx, udp, &Message::State(outgoing), address);
}

pub(super) fn send_message<S: Serialize>(
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
    // A datagram that fails to send is treated like a lost one: the next one repeats the state.
    let _ = udp.try_send_to(&bytes, address);
}

/// Creates a datagram with the state of this router and announcements of prompt `parts`.
pub(super) fn new_datagram(cx: &Gateway, parts: Vec<PartLocation>) -> Datagram {
    let now = cx.now();
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
            incarnation: cx.incarnation(),
            micros: now.0.as_micros() as u64,
        },
        echo: None,
        config: age.map(|a| (freshness.version(), a.as_millis() as u32)),
        hall: cx.cfg.data_hall.clone(),
        capacity: cx.cfg.strength,
        reader_ages: readers,
        suspected: cx.dispatcher.borrow().suspected_targets(now),
        halls: Vec::new(),
        outages: cx.dispatcher.borrow().outage_notices(now),
        crashes: cx.dispatcher.borrow().quarantine.crash_notices(now),
        quarantined: cx.dispatcher.borrow().quarantine.quarantine_notices(now),
        member_digests: Vec::new(),
        exchange: None,
        rates: Vec::new(),
        mirror_revision: cx.mirror.borrow().revision(),
        store_regained_ms: cx
            .store_regained_at
            .get()
            .map(|at| now.since(at).as_millis() as u32),
        calls: cx.recent_calls.get(),
        stopping: cx.phase() != Phase::Serving,
        load: None,
        parts,
        shares: Vec::new(),
        share_sums: Vec::new(),
        brittle: cx.dispatcher.borrow().brittle.notices(now),
        cleared: cx.dispatcher.borrow().quarantine.clear_notices(now),
        versions: cx.dispatcher.borrow().discovery.version_notices(now),
        doubts: cx.dispatcher.borrow().doubts.notices(now),
    }
}

/// Receives datagrams until the router ends.
pub(super) async fn receive(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = udp.recv_from(&mut buf).await else {
            // The system reports a peer's closed port as an error here; it concerns only that peer.
            continue;
        };
        match postcard::from_bytes::<Message>(&buf[..len]) {
            Ok(Message::State(received)) => on_datagram(&cx, &udp, from, *received),
            Ok(Message::ShareRequest {
                from: vm,
                account,
                demand,
            }) => {
                if let Some(grant) = accounts::on_demand(&cx, &vm, &account, demand) {
                    let grant: Message = Message::ShareGrant { account, grant };
                    send_message(&cx, &udp, &grant, from);
                }
            }
            Ok(Message::StreamOrigins(notices)) => stream_origins::on_notices(&cx, &notices),
            Ok(Message::ShareGrant { account, grant }) => accounts::on_grant(&cx, &account, grant),
            Err(e) => debug!(cx.log, "datagram not decoded"; "from" => %from, "why" => %e),
        }
    }
}

fn on_datagram(cx: &Gateway, udp: &UdpSocket, from: SocketAddr, mut received: Datagram) {
    let now = cx.now();
    let effect = cx.peers.borrow_mut().on_datagram(now, from, &received);
    let joined = match effect {
        DatagramEffect::Outdated => return,
        DatagramEffect::Joined => Some(received.vm.clone()),
        DatagramEffect::Known => None,
    };
    if joined.is_some() && received.echo.is_none() {
        // The peer may not know this router yet.
        let mut reply = new_datagram(cx, Vec::new());
        reply.echo = Some(received.sent);
        send_to(cx, udp, &reply, from);
    }
    exchange::on_datagram(cx, udp, from, &received, joined);
    if let Some(confirmation) = cx.peers.borrow().config_confirmation(&received) {
        cx.freshness.borrow_mut().on_peer_confirmation(confirmation);
    }
    crash_checks::on_notices(cx, now, &received);
    let shares = share_reports::take(&mut received).unwrap_or_else(|e| {
        debug!(cx.log, "shares not decoded"; "from" => %from, "why" => %e);
        Vec::new()
    });
    let mut dispatcher = cx.dispatcher.borrow_mut();
    if let Some(ago) = received.store_regained_ms {
        let ago = Duration::from_millis(u64::from(ago));
        dispatcher.on_store_available(now, ago);
    }
    let admission = &mut dispatcher.admission;
    admission.on_rate_reports(now, &received.vm, &received.hall, received.rates);
    if !shares.is_empty() {
        (dispatcher.shares).on_reports(now, &received.vm, &received.hall, shares);
    }
    let discovery = &mut dispatcher.discovery;
    discovery.on_version_notices(now, &received.versions);
    let brittle = dispatcher.brittle.on_notices(now, &received.brittle);
    if brittle > 0 {
        info!(cx.log, "brittle"; "peer" => %received.vm, "targets" => brittle);
    }
    dispatcher.doubts.on_notices(now, &received.doubts);
    let peer = received.vm.clone();
    let outages = dispatcher.health.outages.on_notices(now, &received.outages);
    if outages > 0 {
        info!(cx.log, "outage notices"; "peer" => %received.vm, "targets" => outages);
    }
    dispatcher
        .health
        .on_suspicions(now, peer, received.suspected);
    if let Some(load) = received.load {
        dispatcher
            .load
            .on_peer(now, received.vm, received.hall, load);
    }
    match postcard::from_bytes::<HallSums>(&received.halls) {
        Ok(sums) => dispatcher.load.on_hall_sums(now, sums),
        Err(_) if received.halls.is_empty() => {}
        Err(e) => debug!(cx.log, "sums not decoded"; "from" => %from, "why" => %e),
    }
    let forward = cx.is_aggregator.get();
    for (id, tokens, target) in received.parts {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part, forward);
    }
}

//! A router's control traffic: datagrams, ticks, and calls from peers.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_trait::async_trait;
use slog::{info, warn};
use tokio::time::MissedTickBehavior;

use crate::{
    Result, config_feed, home_service,
    ids::{ConversationKey, TargetId, VmId},
    limits::SHARE_EVERY,
    load::REPORT_EVERY,
    membership::{BEAT_EVERY, Outgoing},
    peer::{
        Admission, Control, ControlReply, Message, OpenError, PeerService, decode_datagram,
        encode_datagram,
    },
    router::Shared,
    settings::VmInfo,
    target::{Answer, Call, LoadAnswer},
};

/// How often the platform's VM list is read.
const VM_LIST_EVERY: Duration = Duration::from_secs(5);

/// How often targets are asked for their load.
const TARGETS_EVERY: Duration = Duration::from_secs(2);

/// How often those are asked that another router may believe to keep.
const DOUBTED_EVERY: Duration = Duration::from_millis(200);

/// How often queues are looked at when nothing else wakes them.
const QUEUE_EVERY: Duration = Duration::from_millis(50);

/// The largest datagram that is read.
const DATAGRAM_LIMIT: usize = 8 * 1024;

/// What a datagram costs besides its content: IP and UDP headers.
const DATAGRAM_OVERHEAD: u64 = 28;

/// What a router does for its peers.
pub(crate) struct Peers(pub(crate) Arc<Shared>);

#[async_trait]
impl PeerService for Peers {
    async fn serve_call(&self, call: Call, admission: Admission) -> Result<Answer, OpenError> {
        home_service::serve_call(&self.0, call, admission).await
    }

    async fn serve_control(&self, ask: Control) -> Result<ControlReply> {
        match ask {
            Control::ConfigPull(revision, digest) => {
                let update = self.0.config.lock().update_since(revision, digest);
                Ok(ControlReply::Config(update))
            }
            Control::Explain(request) => {
                let records = self.0.explain.of(&self.0.me.vm, request);
                Ok(ControlReply::Explain(records))
            }
            Control::Claim(step) => {
                let verdict = self.0.claims.step(step).await;
                Ok(ControlReply::Claim(verdict))
            }
        }
    }

    fn note_placed(&self, first: &TargetId, conversation: ConversationKey, target: TargetId) {
        self.0.homes.on_placed(first, conversation, target);
    }
}

/// Reads datagrams until the router ends.
pub(crate) async fn receive(cx: Arc<Shared>) {
    let mut buf = vec![0; DATAGRAM_LIMIT];
    loop {
        match cx.udp.recv_from(&mut buf).await {
            Ok((n, from)) => match decode_datagram(&buf[..n]) {
                Ok(message) => {
                    let answer = cx.membership.lock().answer_unlisted(&message);
                    if let Some(answer) = answer {
                        send_at(&cx, from, &answer);
                    }
                    on_message(&cx, &message);
                }
                Err(_) => cx.telemetry.count("peer.bad_datagram"),
            },
            // On loopback a peer that is gone shows as an error of our own socket.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Does what is due again and again until the router ends.
pub(crate) async fn tick(cx: Arc<Shared>) {
    let mut beat = every(BEAT_EVERY);
    let mut report = every(REPORT_EVERY);
    let mut targets = every(TARGETS_EVERY);
    let mut doubted = every(DOUBTED_EVERY);
    let mut share = every(SHARE_EVERY);
    let mut queue = every(QUEUE_EVERY);
    loop {
        tokio::select! {
            _ = beat.tick() => on_beat(&cx),
            _ = report.tick() => report_loads(&cx, false),
            _ = targets.tick() => ask_targets(&cx, false),
            _ = doubted.tick() => ask_targets(&cx, true),
            _ = share.tick() => cx.limits.on_tick(&cx),
            _ = queue.tick() => {
                cx.homes.on_tick(cx.now());
                cx.ask_loads();
                if cx.homes.take_shift(cx.now()) {
                    report_loads(&cx, false);
                }
            }
        }
    }
}

/// Reads who may exist from the settings, or again and again from the platform.
pub(crate) async fn follow_vm_list(cx: Arc<Shared>) {
    if !cx.cfg.peers.0.is_empty() {
        cx.membership
            .lock()
            .on_vm_list(cx.now(), cx.cfg.peers.0.clone());
        after_view_change(&cx);
        return;
    }
    let mut due = every(VM_LIST_EVERY);
    loop {
        due.tick().await;
        cx.counters.store_calls.fetch_add(1, Ordering::Relaxed);
        match cx.vm_list.vms().await {
            Ok(vms) => {
                cx.membership.lock().on_vm_list(cx.now(), vms);
                after_view_change(&cx);
            }
            Err(e) => warn!(cx.telemetry.log, "no VM list"; "error" => %e),
        }
    }
}

/// Tells the others that this router takes no new work, so that homes move away.
pub(crate) async fn leave(cx: &Arc<Shared>) {
    let out = cx.membership.lock().leave();
    send_all(cx, out);
    cx.refresh_directory();
    // Calls of routers that have not heard yet are still taken for a heartbeat's time.
    tokio::time::sleep(BEAT_EVERY).await;
}

/// Tells a few others at once that the configuration changed here.
pub(crate) fn announce(cx: &Arc<Shared>) {
    let out = {
        let revision = cx.config.lock().revision();
        let mut membership = cx.membership.lock();
        membership.set_revision(revision);
        membership.announce()
    };
    send_all(cx, out);
}

/// Sends a datagram to a router, if it is known.
pub(crate) fn send_to(cx: &Arc<Shared>, vm: &VmId, message: Message) {
    let info = cx.membership.lock().info(vm).cloned();
    match info {
        Some(info) if info.vm == cx.me.vm => on_message(cx, &message),
        Some(info) => send(cx, &info, &message),
        None => {}
    }
}

fn on_message(cx: &Arc<Shared>, message: &Message) {
    match message {
        Message::Load { from, pools, ask } => {
            cx.homes.on_load(cx.now(), from, pools);
            if *ask {
                answer_ask(cx, from);
            }
        }
        Message::ShareAsk {
            from,
            account,
            demand,
        } => {
            cx.limits.on_demand(cx, from, account, *demand);
        }
        Message::ShareGrant { account, grant, .. } => {
            cx.limits.on_grant(cx.now(), account, *grant);
        }
        _ => {
            let out = cx.membership.lock().on_message(cx.now(), message);
            send_all(cx, out);
            after_view_change(cx);
            config_feed::wake(cx);
        }
    }
}

fn on_beat(cx: &Arc<Shared>) {
    let out = {
        let revision = cx.config.lock().revision();
        let mut membership = cx.membership.lock();
        membership.set_revision(revision);
        membership.on_tick(cx.now())
    };
    send_all(cx, out);
    after_view_change(cx);
}

/// Reports loads to the other homes of this router's pools.
pub(crate) fn report_loads(cx: &Shared, ask: bool) {
    for (vm, pools) in cx.homes.reports(cx.now()) {
        let from = cx.me.vm.clone();
        send_if_known(cx, &vm, &Message::Load { from, pools, ask });
    }
}

/// Reports back to a home that wants to know at once.
fn answer_ask(cx: &Shared, to: &VmId) {
    let reports = cx.homes.reports(cx.now());
    for (vm, pools) in reports.into_iter().filter(|(vm, _)| vm == to) {
        let from = cx.me.vm.clone();
        send_if_known(
            cx,
            &vm,
            &Message::Load {
                from,
                pools,
                ask: false,
            },
        );
    }
}

fn send_if_known(cx: &Shared, vm: &VmId, message: &Message) {
    let info = cx.membership.lock().info(vm).cloned();
    if let Some(info) = info {
        send(cx, &info, message);
    }
}

/// Asks targets for their loads.
fn ask_targets(cx: &Arc<Shared>, in_doubt: bool) {
    for target in cx.homes.targets(cx.now(), in_doubt) {
        let cx = Arc::clone(cx);
        tokio::spawn(async move {
            let Some(address) = cx.directory().address(&target) else {
                return;
            };
            let report = match cx.targets.load(address).await {
                LoadAnswer::Told(report) => Some(report),
                LoadAnswer::NotTold => None,
                LoadAnswer::Silent => return,
            };
            cx.homes.on_report(cx.now(), &target, report);
        });
    }
}

fn after_view_change(cx: &Arc<Shared>) {
    let (changed, live) = {
        let mut membership = cx.membership.lock();
        (membership.take_changed(), membership.live().len())
    };
    if changed {
        info!(cx.telemetry.log, "view changed"; "live" => live);
        cx.telemetry.gauge("membership.live", live as u64);
        cx.refresh_directory();
    }
}

fn send_all(cx: &Arc<Shared>, out: Vec<Outgoing>) {
    for (info, message) in out {
        send(cx, &info, &message);
    }
}

fn send(cx: &Shared, to: &VmInfo, message: &Message) {
    send_at(cx, to.address, message);
}

fn send_at(cx: &Shared, to: SocketAddr, message: &Message) {
    let Ok(bytes) = encode_datagram(message) else {
        return;
    };
    // A datagram that the socket has no room for is as good as lost on the way.
    if cx.udp.try_send_to(&bytes, to).is_ok() {
        let size = bytes.len() as u64 + DATAGRAM_OVERHEAD;
        cx.counters
            .datagram_bytes
            .fetch_add(size, Ordering::Relaxed);
    }
}

fn every(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

//! Opens the sockets of a gateway and starts the tasks that serve them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::spawn_local,
};

use super::{
    StopReport, contended, crash_checks, exchange, flow,
    gateway::{Gateway, GatewayParts},
    gossip, ingress, operators, origin_log, path_checks, peer_calls, saved_state, stop,
    stop::Signals,
    store_sync, store_updates, stream_origins, version_record, withdrawals,
};
use crate::{Error, Result, ids::TargetId};

/// A gateway whose sockets are open but not served yet.
pub struct ListeningGateway {
    gateway: Rc<Gateway>,
    callers: TcpListener,
    ready: Option<TcpListener>,
    metrics: Option<TcpListener>,
    operators: Option<TcpListener>,
    peers: TcpListener,
    udp: UdpSocket,
}

impl ListeningGateway {
    /// Returns the gateway. Its settings contain the ports that the system assigned in place of 0.
    pub fn gateway(&self) -> Rc<Gateway> {
        Rc::clone(&self.gateway)
    }

    /// Follows the store and serves until a planned stop is complete. Must run within a `LocalSet`.
    pub async fn serve(self, signals: Signals) -> StopReport {
        let cx = self.gateway;
        let udp = Rc::new(self.udp);
        let cfg = &cx.cfg;
        let operators = cfg.operators.as_ref().map(|(at, _)| at.to_string());
        info!(cx.log, "started"; "vm" => %cfg.vm, "callers" => %cfg.callers, "peers" => %cfg.peers,
            "operators" => operators, "life" => cx.incarnation().0);
        if let Some(metrics) = self.metrics {
            spawn_local(ingress::serve_metrics(Rc::clone(&cx), metrics));
        }
        if let Some(ready) = self.ready {
            spawn_local(ingress::serve_ready(Rc::clone(&cx), ready));
        }
        if let Some(operators) = self.operators {
            spawn_local(operators::serve(Rc::clone(&cx), operators));
        }
        spawn_local(peer_calls::serve(Rc::clone(&cx), self.peers));
        spawn_local(store_sync::sync_store(Rc::clone(&cx)));
        spawn_local(saved_state::announce_address(Rc::clone(&cx)));
        spawn_local(saved_state::save(Rc::clone(&cx)));
        spawn_local(origin_log::write(Rc::clone(&cx)));
        spawn_local(version_record::write(Rc::clone(&cx)));
        spawn_local(crash_checks::write_quarantined(Rc::clone(&cx)));
        spawn_local(gossip::receive(Rc::clone(&cx), Rc::clone(&udp)));
        spawn_local(gossip::send_updates(Rc::clone(&cx), Rc::clone(&udp)));
        spawn_local(stream_origins::send_notices(
            Rc::clone(&cx),
            Rc::clone(&udp),
        ));
        spawn_local(exchange::run_comparisons(Rc::clone(&cx), Rc::clone(&udp)));
        spawn_local(tick(Rc::clone(&cx)));
        spawn_local(ingress::serve_callers(Rc::clone(&cx), self.callers));
        stop::run_until_stopped(&cx, signals, &udp).await
    }
}

impl Gateway {
    /// Opens the sockets that the settings specify.
    ///
    /// Fails if one of the addresses can't be listened on, except for that of the metrics.
    pub async fn listen(mut parts: GatewayParts) -> Result<ListeningGateway> {
        let cfg = &mut parts.cfg;
        let callers = listen(&mut cfg.callers).await?;
        let ready = match &mut cfg.ready {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let operators = match &mut cfg.operators {
            Some((address, _)) => Some(listen(address).await?),
            None => None,
        };
        let metrics = match &mut cfg.metrics {
            Some(address) => listen_for_metrics(address, &parts.log).await,
            None => None,
        };
        let peers = listen(&mut cfg.peers).await?;
        let udp = UdpSocket::bind(cfg.peers).await?;
        Ok(ListeningGateway {
            gateway: Self::new(parts),
            callers,
            ready,
            metrics,
            operators,
            peers,
            udp,
        })
    }
}

/// Interval at which expired state is dropped and buffered log lines are written out.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

async fn tick(cx: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if let Some(suspended_for) = cx.clock.on_tick() {
            warn!(cx.log, "suspended"; "for_ms" => suspended_for.as_millis() as u64);
        }
        let now = cx.now();
        let removed = cx.dispatcher.borrow_mut().on_tick(now);
        stream_origins::on_tick(&cx);
        store_updates::apply_settled_content(&cx);
        crash_checks::on_tick(&cx);
        flow::on_tick(&cx);
        withdrawals::on_tick(&cx);
        contended::on_tick(&cx);
        for target in removed {
            cx.conns.close_idle(&target);
            info!(cx.log, "target"; "target" => %target, "verdict" => "gone", "why" => "still missing after the store became available again");
        }
        for (service, slot_time) in cx.dispatcher.borrow().admission.mean_slot_times() {
            cx.metrics.on_slot_time(service, slot_time);
        }
        path_checks::on_tick(&cx);
        cx.slots.borrow_mut().on_tick(now);
        let slots = cx.slots.borrow().in_use();
        let brittle = cx.dispatcher.borrow().brittle.count(now);
        cx.metrics.paths.on_brittle(brittle, slots);
        {
            let dispatcher = cx.dispatcher.borrow();
            let listed = |id: &TargetId| dispatcher.discovery.get(id).is_some();
            cx.relays.borrow_mut().on_tick(now, listed);
        }
        cx.peers.borrow_mut().on_tick(now);
        cx.usable_retry_share(now);
        let routers = cx.peers.borrow().live_hashes(now);
        cx.dispatcher.borrow_mut().cold.set_routers(routers);
        cx.conns.on_tick(now);
        if cx.conns.has_tunnels() {
            let live = cx.peers.borrow().relay_candidates(now);
            let is_live = |peer: SocketAddr| live.iter().any(|c| c.address == peer);
            cx.conns.close_idle_tunnels(|peer| !is_live(peer));
        }
        let live = cx.peers.borrow().live_count(now);
        let size = cx.peers.borrow().fleet_size();
        {
            let mut dispatcher = cx.dispatcher.borrow_mut();
            dispatcher.load.set_fleet_size(size);
            dispatcher.shares.set_fleet_size(size);
        }
        cx.metrics.peers_alive.set(live as i64);
        let age = cx.freshness.borrow().age(now);
        cx.metrics
            .config_age_ms
            .set(age.map_or(-1, |a| a.as_millis() as i64));
        cx.metrics.in_progress.set(cx.in_progress.get() as i64);
        cx.flusher.flush();
    }
}

/// Opens the listener for metrics. A failure is only logged, because callers are served without metrics
/// as well.
async fn listen_for_metrics(address: &mut SocketAddr, log: &Logger) -> Option<TcpListener> {
    match listen(address).await {
        Ok(listener) => Some(listener),
        Err(e) => {
            warn!(log, "metrics are not served"; "why" => %e);
            None
        }
    }
}

/// Listens at an address, and replaces it by the one that the system assigned.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener> {
    let requested = *address;
    let listen_error = |source| Error::Listen {
        address: requested,
        source,
    };
    let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
    *address = listener.local_addr().map_err(listen_error)?;
    Ok(listener)
}

//! One router: what its parts share, and the builder that starts it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use parking_lot::{Mutex, RwLock};
use slog::{info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinSet,
};

use crate::{
    Error, Result, Settings,
    claim_keeper::ClaimKeeper,
    config::ConfigLog,
    config_feed, control,
    directory::Directory,
    entry,
    explain::{Decision, ExplainRing},
    home_service::HomeService,
    homes::Homes,
    ids::{Incarnation, RequestId},
    lifecycle::{RouterEvent, RouterLife},
    limits_service::LimitsService,
    membership::{Membership, random_seed},
    operator,
    peer::{self, PeerPool},
    platform::{HttpPlatform, KvStore, VmList},
    settings::VmInfo,
    target::{HttpTargets, TargetClient},
    telemetry::{Telemetry, no_log},
    units::Instant,
};

/// How often a planned stop looks whether work is left.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// What the parts of a router share.
pub(crate) struct Shared {
    pub(crate) cfg: Settings,
    pub(crate) me: VmInfo,
    pub(crate) telemetry: Telemetry,
    pub(crate) explain: ExplainRing,
    pub(crate) life: Mutex<RouterLife>,
    pub(crate) config: Mutex<ConfigLog>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) homes: HomeService,
    pub(crate) limits: LimitsService,
    pub(crate) claims: ClaimKeeper,
    pub(crate) peers: PeerPool,
    pub(crate) targets: Arc<dyn TargetClient>,
    pub(crate) store: Arc<dyn KvStore>,
    pub(crate) vm_list: Arc<dyn VmList>,
    pub(crate) udp: UdpSocket,
    pub(crate) counters: Counters,
    pub(crate) feed: config_feed::FeedSignal,
    directory: RwLock<Arc<Directory>>,
    epoch: tokio::time::Instant,
    wall_epoch_ms: u64,
}

/// Figures that a router keeps of itself.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) in_progress: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) datagram_bytes: AtomicU64,
    pub(crate) store_calls: AtomicU64,
    pub(crate) reverts_refused: AtomicU64,
}

impl Shared {
    /// The time since the router's start.
    pub(crate) fn now(&self) -> Instant {
        Instant(self.epoch.elapsed())
    }

    /// What [`Self::now`] counts from.
    pub(crate) fn clock(&self) -> tokio::time::Instant {
        self.epoch
    }

    /// Milliseconds of the wall clock, which no decision depends on but retention.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.wall_epoch_ms + self.epoch.elapsed().as_millis() as u64
    }

    /// The pools, targets and homes as seen now.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read())
    }

    /// Works the view out anew after a change of configuration or membership.
    pub(crate) fn refresh_directory(&self) {
        let config = Arc::clone(self.config.lock().config());
        let directory = {
            let membership = self.membership.lock();
            let info = |vm: &_| membership.info(vm).cloned();
            Arc::new(Directory::new(config, membership.live(), &self.me, info))
        };
        *self.directory.write() = Arc::clone(&directory);
        self.homes.on_view(self.now(), &directory);
    }

    /// Asks the other homes for their loads where something waits here.
    pub(crate) fn ask_loads(&self) {
        if self.homes.take_ask(self.now()) {
            control::report_loads(self, true);
        }
    }

    /// Keeps a decision for `explain`.
    pub(crate) fn record(&self, request: RequestId, decision: Decision) {
        self.explain.record(self.wall_ms(), request, decision);
    }

    /// Bytes of control traffic that this router sent, and those it received on its own
    /// connections.
    pub(crate) fn control_bytes(&self) -> u64 {
        self.counters.datagram_bytes.load(Ordering::Relaxed) + self.peers.control_bytes()
    }
}

/// Puts a router together.
pub struct RouterBuilder {
    cfg: Settings,
    log: slog::Logger,
    targets: Option<Arc<dyn TargetClient>>,
}

impl RouterBuilder {
    /// A router with these settings, that logs nothing.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            log: no_log(),
            targets: None,
        }
    }

    /// Logs to this logger.
    #[must_use]
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Sends calls through this client in place of HTTP.
    #[must_use]
    pub fn targets(mut self, targets: Arc<dyn TargetClient>) -> Self {
        self.targets = Some(targets);
        self
    }

    /// Listens and starts; errors are those of the addresses.
    pub async fn start(self) -> Result<Router> {
        let Self { cfg, log, targets } = self;
        let callers = listen(cfg.listen).await?;
        let peer_tcp = listen(cfg.peer_listen).await?;
        let operators = listen(cfg.operator_listen).await?;
        let peer_address = peer_tcp.local_addr()?;
        let udp = UdpSocket::bind(peer_address)
            .await
            .map_err(|source| Error::Listen {
                address: peer_address,
                source,
            })?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            peers: peer_address,
            operators: operators.local_addr()?,
        };
        let cx = Arc::new(shared(cfg, log, targets, peer_address, udp)?);
        let mut tasks = JoinSet::new();
        let (stop, stopped) = watch::channel(false);
        let service: Arc<dyn peer::PeerService> = Arc::new(control::Peers(Arc::clone(&cx)));
        let incarnation = cx.membership.lock().incarnation();
        let limit = cx.cfg.body_limit.0;
        tasks.spawn(peer::serve(
            peer_tcp,
            cx.me.vm.clone(),
            incarnation,
            limit,
            service,
        ));
        tasks.spawn(control::receive(Arc::clone(&cx)));
        tasks.spawn(control::tick(Arc::clone(&cx)));
        tasks.spawn(control::follow_vm_list(Arc::clone(&cx)));
        tasks.spawn(config_feed::follow_peers(Arc::clone(&cx)));
        tasks.spawn(config_feed::follow_store(Arc::clone(&cx)));
        tasks.spawn(operator::serve(operators, Arc::clone(&cx)));
        let callers = tokio::spawn(entry::serve(callers, Arc::clone(&cx), stopped));
        info!(cx.telemetry.log, "started"; "callers" => %addresses.callers, "peers" => %addresses.peers, "operators" => %addresses.operators);
        Ok(Router {
            cx,
            addresses,
            stop,
            tasks,
            callers,
        })
    }
}

/// Where a router listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers, over TCP and UDP.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// What a planned stop came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct StopReport {
    /// Requests that were in progress when the router took no more.
    pub in_progress: u64,
    /// Those that were cut off at the limit.
    pub cut_off: u64,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

/// A router that runs. Dropping it is like pulling its plug.
pub struct Router {
    cx: Arc<Shared>,
    addresses: Addresses,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    callers: tokio::task::JoinHandle<()>,
}

impl Drop for Router {
    fn drop(&mut self) {
        self.callers.abort();
    }
}

impl Router {
    /// Begins a router with these settings.
    pub fn builder(cfg: Settings) -> RouterBuilder {
        RouterBuilder::new(cfg)
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// How its peers name it.
    pub fn vm_info(&self) -> VmInfo {
        self.cx.me.clone()
    }

    /// Whether it is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.cx.life.lock().is_ready()
    }

    /// The revision that is in force here.
    pub fn revision(&self) -> crate::ids::Revision {
        self.cx.config.lock().revision()
    }

    /// Bytes of control traffic so far.
    pub fn control_bytes(&self) -> u64 {
        self.cx.control_bytes()
    }

    /// Bytes of claims of unrepeatable calls so far.
    pub fn claim_bytes(&self) -> u64 {
        self.cx.peers.claim_bytes()
    }

    /// Spans of hops so far.
    pub fn hop_spans(&self) -> u64 {
        self.cx.telemetry.hop_spans()
    }

    /// Older histories of the store that were not taken.
    pub fn reverts_refused(&self) -> u64 {
        self.cx.counters.reverts_refused.load(Ordering::Relaxed)
    }

    /// The targets that this router keeps, with their loads.
    pub fn homes(&self) -> Vec<crate::homes::HomeStatus> {
        self.cx.homes.status(self.cx.now())
    }

    /// Stops as planned: not ready, a wait for the balancer, no new work, finish, end.
    pub async fn stop(mut self) -> StopReport {
        let began = self.cx.now();
        self.cx.life.lock().on(RouterEvent::Stop);
        info!(self.cx.telemetry.log, "planned stop"; "wait_ms" => self.cx.cfg.drain_wait_ms.0);
        tokio::time::sleep(self.cx.cfg.drain_wait_ms.duration()).await;
        let in_progress = self.in_progress();
        control::leave(&self.cx).await;
        self.stop.send_replace(true);
        let limit = self.cx.cfg.drain_limit_ms.duration();
        let finished = tokio::time::timeout(limit, self.finish()).await;
        let cut_off = if finished.is_ok() {
            0
        } else {
            self.in_progress()
        };
        self.cx.life.lock().on(RouterEvent::Finished);
        let took = self.cx.now().since(began);
        let report = StopReport {
            in_progress,
            cut_off,
            took_ms: took.as_millis() as u64,
        };
        if cut_off > 0 {
            warn!(self.cx.telemetry.log, "stopped at the limit"; "cut_off" => cut_off);
        }
        info!(self.cx.telemetry.log, "stopped"; "in_progress" => in_progress, "cut_off" => cut_off, "took_ms" => report.took_ms);
        self.tasks.abort_all();
        self.cx.telemetry.flush();
        report
    }

    async fn finish(&mut self) {
        // The callers' listener ends when its last connection has.
        let _ = (&mut self.callers).await;
        while self.in_progress() > 0 {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }

    fn in_progress(&self) -> u64 {
        let own = self.cx.counters.in_progress.load(Ordering::Relaxed);
        own + self.cx.homes.relayed()
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

fn shared(
    cfg: Settings,
    log: slog::Logger,
    targets: Option<Arc<dyn TargetClient>>,
    address: SocketAddr,
    udp: UdpSocket,
) -> Result<Shared> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_epoch_ms = wall.map_or(0, |d| d.as_millis() as u64);
    let incarnation = Incarnation(wall_epoch_ms);
    let me = VmInfo {
        vm: cfg.vm.clone(),
        region: cfg.region.clone(),
        data_hall: cfg.data_hall.clone(),
        address,
    };
    let platform = HttpPlatform::new(cfg.platform);
    let idle = cfg.idle_timeout_ms.duration();
    let store: Arc<dyn KvStore> = Arc::new(platform.clone());
    Ok(Shared {
        telemetry: Telemetry::new(&cfg, log)?,
        explain: ExplainRing::default(),
        life: Mutex::default(),
        config: Mutex::default(),
        membership: Mutex::new(Membership::new(me.clone(), incarnation, random_seed())),
        homes: HomeService::new(Homes::new(me.vm.clone(), cfg.load_bound)),
        limits: LimitsService::default(),
        claims: ClaimKeeper::new(Arc::clone(&store)),
        peers: PeerPool::new(me.vm.clone(), incarnation, cfg.body_limit.0),
        targets: targets.unwrap_or_else(|| Arc::new(HttpTargets::new(idle))),
        store,
        vm_list: Arc::new(platform),
        udp,
        counters: Counters::default(),
        feed: config_feed::FeedSignal::default(),
        directory: RwLock::default(),
        epoch: tokio::time::Instant::now(),
        wall_epoch_ms,
        me,
        cfg,
    })
}

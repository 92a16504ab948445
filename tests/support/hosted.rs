//! Runs a router on its own thread, so that killing it ends all of its tasks at once.

use std::{net::SocketAddr, rc::Rc, thread::JoinHandle};

use scaleford::{
    Settings,
    clock::Clock,
    edge::{Gateway, GatewayParts, Signals, StopReport, TcpDialer},
    ids::{Revision, VmId},
    log,
    openai::OpenAiDialect,
    spans::Spans,
};
use scaleford_platform::{PlatformStore, WatchScope};
use tokio::sync::{mpsc, oneshot};

type Query = Box<dyn FnOnce(&Gateway) + Send>;

/// Addresses on which a router listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

pub struct Hosted {
    pub vm: VmId,
    addresses: Addresses,
    queries: mpsc::UnboundedSender<Query>,
    stop: mpsc::Sender<()>,
    stopped: Option<oneshot::Receiver<StopReport>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Hosted {
    fn drop(&mut self) {
        drop(self.kill.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the router's thread ends");
        }
    }
}

impl Hosted {
    pub async fn start(cfg: Settings) -> Self {
        let vm = cfg.vm.clone();
        let (queries, query_rx) = mpsc::unbounded_channel();
        let (stop, stop_rx) = mpsc::channel(1);
        let (started_tx, started) = oneshot::channel();
        let (stopped_tx, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            let local = tokio::task::LocalSet::new();
            let router = run_router(cfg, query_rx, stop_rx, started_tx, stopped_tx);
            local.block_on(&runtime, async {
                tokio::select! {
                    () = router => {}
                    _ = killed => {}
                }
            });
        });
        Self {
            vm,
            addresses: started.await.expect("router starts"),
            queries,
            stop,
            stopped: Some(stopped),
            kill: Some(kill),
            thread: Some(thread),
        }
    }

    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Runs a query on the router's thread and returns its result.
    pub fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Gateway) -> T + Send + 'static,
    ) -> T {
        let (tx, rx) = std::sync::mpsc::channel();
        let query = Box::new(move |g: &Gateway| drop(tx.send(query(g))));
        assert!(self.queries.send(query).is_ok(), "the router runs");
        rx.recv().expect("the router answers")
    }

    pub fn is_ready(&self) -> bool {
        self.query(Gateway::is_ready)
    }

    pub fn revision(&self) -> Revision {
        self.query(Gateway::revision)
    }

    pub fn reverts_refused(&self) -> u64 {
        self.query(Gateway::reverts_refused)
    }

    pub fn control_bytes(&self) -> u64 {
        self.query(Gateway::control_bytes)
    }

    pub fn claim_bytes(&self) -> u64 {
        self.query(Gateway::claim_bytes)
    }

    pub fn hop_spans(&self) -> u64 {
        self.query(Gateway::hop_spans)
    }

    /// Returns the address on which the router serves its metrics.
    pub fn metrics_address(&self) -> SocketAddr {
        let address = self.query(|gateway| gateway.config().metrics);
        address.expect("the settings serve metrics")
    }

    /// Stops the router gracefully and returns its report.
    pub async fn stop(mut self) -> StopReport {
        self.stop.send(()).await.expect("the router runs");
        let stopped = self.stopped.take().expect("not stopped before");
        stopped.await.expect("the stop ends")
    }
}

async fn run_router(
    cfg: Settings,
    mut query_rx: mpsc::UnboundedReceiver<Query>,
    stop: mpsc::Receiver<()>,
    started: oneshot::Sender<Addresses>,
    stopped: oneshot::Sender<StopReport>,
) {
    let (log, flusher) = log::buffered(std::io::sink(), slog::Level::Error);
    let listening = Gateway::listen(GatewayParts {
        cfg: cfg.gateway(),
        dialect: Rc::new(OpenAiDialect),
        store: Rc::new(PlatformStore::new(cfg.platform, WatchScope::OwnKeys)),
        dialer: Rc::new(TcpDialer::default()),
        clock: Clock::system(&log),
        spans: Spans::enabled(None).expect("spans"),
        log,
        flusher,
    });
    let listening = listening.await.expect("router listens");
    let gateway = listening.gateway();
    let cfg = gateway.config();
    let addresses = Addresses {
        callers: cfg.callers,
        peers: cfg.peers,
        operators: cfg.operators.as_ref().expect("operators").0,
    };
    started.send(addresses).expect("the test waits");
    let (_reload, reload) = mpsc::channel(1);
    let answer_queries = async {
        while let Some(query) = query_rx.recv().await {
            query(&gateway);
        }
    };
    let serving = listening.serve(Signals { stop, reload });
    let serving = async {
        // The receiver of the report may have been dropped.
        let _ = stopped.send(serving.await);
    };
    tokio::join!(serving, answer_queries);
}

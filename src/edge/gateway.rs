//! What the parts of a gateway share, and the controller that starts them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use slog::{Logger, info};
use tokio::sync::Notify;

use super::{
    GatewayConfig, Rules, accounts::Accounts, claim_keeper::ClaimKeeper, conn::ConnPool,
    endings::Endings, feed::Answers, fleet, fleet::Fleet, metrics::Metrics,
};
use crate::{
    clock::Clock,
    config::{
        freshness::Freshness,
        serving::{CallerLimits, ServingConfig},
    },
    dialect::Dialect,
    dispatcher::Dispatcher,
    explain::{Decision, ExplainRing},
    ids::{Incarnation, Revision, ServiceName},
    lifecycle::{Phase, RouterEvent, RouterLifecycle},
    log::LogFlusher,
    membership::peers::Peers,
    retry::FleetShare,
    spans::Spans,
    store::{MetaStore, StoreMirror},
    units::{ConfigVersion, Instant},
};

/// What a program brings along.
pub struct GatewayParts {
    /// The checked settings.
    pub cfg: GatewayConfig,
    /// How callers and targets are spoken to.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn MetaStore>,
    /// The time that its rules hang on.
    pub clock: Clock,
    /// Spans of calls.
    pub spans: Spans,
    /// Where lines are logged.
    pub log: Logger,
    /// Writes them out.
    pub flusher: LogFlusher,
}

/// One gateway.
pub struct Gateway {
    pub(crate) cfg: GatewayConfig,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Rc<dyn MetaStore>,
    pub(crate) spans: Spans,
    pub(crate) log: Logger,
    pub(crate) flusher: LogFlusher,
    pub(crate) metrics: Metrics,
    pub(crate) conns: Rc<ConnPool>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) fleet: Fleet,
    pub(crate) accounts: Accounts,
    pub(crate) claims: ClaimKeeper,
    pub(crate) endings: Endings,
    pub(crate) explain: ExplainRing,
    pub(crate) rules: Cell<Rules>,
    pub(crate) in_progress: Cell<usize>,
    pub(crate) recent_calls: Cell<u32>,
    fleet_share: RefCell<FleetShare>,
    pub(crate) datagram_count: Cell<u64>,
    /// Whether this router adds up counts for its data hall.
    pub(crate) adds_up: Cell<bool>,
    pub(crate) mirror: RefCell<StoreMirror>,
    /// Wakes peers that wait for something newer than the mirror held.
    pub(crate) mirror_changed: Notify,
    pub(super) answers: RefCell<Answers>,
    /// Since when the store does not answer this router.
    pub(crate) store_lost_at: Cell<Option<Instant>>,
    /// Wakes calls that wait for the first configuration.
    pub(crate) config_arrived: Notify,
    /// When the store last answered after it had not.
    pub(crate) store_back_at: Cell<Option<Instant>>,
    /// The youngest moment at which the store is known to have held what the mirror holds.
    pub(crate) store_proven_at: Cell<Option<Instant>>,
    life: RefCell<RouterLifecycle>,
    serving: RefCell<Option<Rc<ServingConfig>>>,
    /// The number of the operators' configuration that the store was last known to hold.
    pub(super) stored_config: Cell<Option<ConfigVersion>>,
    pub(crate) clock: Clock,
    wall_epoch_ms: u64,
}

impl Gateway {
    /// One that knows nothing yet.
    pub(super) fn new(parts: GatewayParts) -> Rc<Self> {
        let GatewayParts {
            cfg,
            dialect,
            store,
            clock,
            spans,
            log,
            flusher,
        } = parts;
        let since_unix = SystemTime::now().duration_since(UNIX_EPOCH);
        // The time of day only tells one life from the next, and orders what `explain` shows.
        let wall_epoch_ms = since_unix.map_or(0, |d| d.as_millis() as u64);
        let dispatcher = Dispatcher::new(cfg.data_hall.clone(), &cfg.rules);
        let peers = Peers::new(
            cfg.vm.clone(),
            cfg.data_hall.clone(),
            cfg.strength,
            Incarnation(wall_epoch_ms),
            cfg.peers,
            &cfg.seeds,
        );
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            peers: RefCell::new(peers),
            rules: Cell::new(cfg.rules),
            freshness: RefCell::default(),
            serving: RefCell::default(),
            stored_config: Cell::new(None),
            mirror: RefCell::default(),
            mirror_changed: Notify::new(),
            answers: RefCell::default(),
            store_lost_at: Cell::new(None),
            config_arrived: Notify::new(),
            store_back_at: Cell::new(None),
            store_proven_at: Cell::new(None),
            fleet: Fleet::default(),
            accounts: Accounts::default(),
            claims: ClaimKeeper::new(Rc::clone(&store)),
            endings: Endings::default(),
            explain: ExplainRing::new(cfg.explain_kept),
            conns: Rc::default(),
            metrics: Metrics::default(),
            life: RefCell::default(),
            in_progress: Cell::new(0),
            recent_calls: Cell::new(0),
            fleet_share: RefCell::default(),
            datagram_count: Cell::new(0),
            adds_up: Cell::new(false),
            clock,
            wall_epoch_ms,
            cfg,
            dialect,
            store,
            spans,
            log,
            flusher,
        })
    }

    /// The settings; ports that were 0 are the real ones here.
    pub fn config(&self) -> &GatewayConfig {
        &self.cfg
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.serving().is_some()
            && self.dispatcher.borrow().discovery.is_loaded()
            && self.may_use_keys(self.now())
    }

    /// The last change of the operators' own configuration that is in force here.
    pub fn revision(&self) -> Revision {
        self.fleet.revision()
    }

    /// Older histories of the store that were not taken.
    pub fn reverts_refused(&self) -> u64 {
        self.fleet.reverts_refused()
    }

    /// Bytes of datagrams to other routers so far.
    pub fn control_bytes(&self) -> u64 {
        self.metrics.datagram_bytes.get()
    }

    /// Bytes of claims that were sent to other routers so far.
    pub fn claim_bytes(&self) -> u64 {
        self.metrics.claim_bytes.get()
    }

    /// Spans of hops so far.
    pub fn hop_spans(&self) -> u64 {
        self.spans.begun()
    }

    /// Puts changed bounds and addresses of other routers in force.
    pub(crate) fn reload(&self, cfg: &GatewayConfig) {
        let now = self.now();
        self.rules.set(cfg.rules);
        self.dispatcher.borrow_mut().set_rules(&cfg.rules);
        for seed in &cfg.seeds {
            self.peers.borrow_mut().add_address(now, *seed);
        }
        info!(self.log, "reload"; "outcome" => "in force", "rules" => ?cfg.rules);
    }

    /// The time since the gateway began.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Which life of this VM's router it is.
    pub(crate) fn life_number(&self) -> Incarnation {
        Incarnation(self.wall_epoch_ms)
    }

    /// Where a planned stop has come to.
    pub(crate) fn phase(&self) -> Phase {
        self.life.borrow().phase()
    }

    /// Goes on with a planned stop.
    pub(crate) fn on_life(&self, event: RouterEvent) {
        self.life.borrow_mut().handle(event);
    }

    /// Keeps a decision on a call for `explain`.
    pub(crate) fn note(&self, call: &str, decision: impl FnOnce() -> Decision) {
        let at_ms = self.wall_epoch_ms + self.now().0.as_millis() as u64;
        self.explain.record(at_ms, call, decision);
    }

    /// The configuration in force; `None` before the first.
    pub(crate) fn serving(&self) -> Option<Rc<ServingConfig>> {
        self.serving.borrow().clone()
    }

    /// The number of the configuration that the store holds, as it is known here.
    pub(crate) fn stored_config(&self) -> Option<ConfigVersion> {
        match self.cfg.own_config {
            true => Some(ConfigVersion(fleet::newest_stored(self).0)),
            false => self.stored_config.get(),
        }
    }

    /// What callers may send.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let serving = self.serving();
        serving.map_or(self.cfg.callers_rules.limits, |c| c.limits)
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub(crate) fn apply(&self, config: ServingConfig) -> bool {
        let version = config.version;
        let mut serving = self.serving.borrow_mut();
        let newer = serving
            .as_ref()
            .is_none_or(|before| config.is_newer_than(before));
        if newer {
            self.metrics.config_version.set(version.0.cast_signed());
            *serving = Some(Rc::new(config));
            self.freshness.borrow_mut().on_applied(version);
            self.config_arrived.notify_waiters();
        }
        newer
    }

    /// Whether a key that the configuration holds may be relied on for a call read at `at`.
    pub(crate) fn may_use_keys(&self, at: Instant) -> bool {
        let freshness = self.freshness.borrow();
        let bound = self.rules.get().revoke_bound;
        bound.is_none_or(|bound| freshness.may_use_keys(at, bound))
    }

    /// A call for a service came in; it counts for this router's share of the retry budget.
    pub(crate) fn count_call(&self, now: Instant, service: &ServiceName) {
        self.recent_calls
            .set(self.recent_calls.get().saturating_add(1));
        self.dispatcher.borrow_mut().budget.on_call(now, service);
    }

    /// This router's part of what the fleet may repeat.
    pub(crate) fn usable_share(&self, now: Instant) -> f64 {
        let window = self.rules.get().budget.window;
        let share = self.peers.borrow().call_share(now, self.recent_calls.get());
        let mut fleet_share = self.fleet_share.borrow_mut();
        fleet_share.on_share(now, share, window);
        fleet_share.usable(now, window)
    }

    /// How long ago this router itself heard from the store, if it reads the store itself.
    pub(crate) fn store_age(&self) -> Option<Duration> {
        let now = self.now();
        let age = self.store_proven_at.get().map(|at| now.since(at));
        age.filter(|age| *age < READS_STORE)
    }

    /// Whether this router reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        self.store_lost_at.get().is_none() && self.store_age().is_some()
    }

    /// How many connections to one target this router may have, of `most` in all.
    pub(crate) fn conn_share(&self, most: u32) -> usize {
        let routers = self.peers.borrow().live_count(self.now());
        let share = (most as usize).saturating_mul(CONN_PART) / 100 / routers;
        share.max(CONN_LEAST)
    }
}

/// How long after it last heard from the store a router still counts as reading it: a watch that
/// waits, its pause, and some delay.
const READS_STORE: Duration = Duration::from_millis(1_400);

/// The part of a target's connections that the fleet uses, in per cent: routers may not know of
/// one another for a moment.
const CONN_PART: usize = 80;

/// Connections that a router may always have to a target.
const CONN_LEAST: usize = 2;

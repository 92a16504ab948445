//! The state that the parts of a gateway share, and the operations on it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use slog::{Logger, info};
use tokio::sync::Notify;

use super::{
    GatewayConfig, Rules, accepted_changes, accepted_changes::AcceptedChanges, accounts::Accounts,
    claim_recorder::ClaimRecorder, conn::ConnPool, crash_checks::CrashChecks,
    deliveries::Deliveries, dial::Dialer, feed::ResponseCache, flow::FlowControl,
    list_check::RevisionReads, metrics::Metrics, origin_log::OriginLog, tunnel::Tunnels,
};
use crate::{
    clock::Clock,
    config::{
        freshness::Freshness,
        rerouting::{RoutesHash, rerouted_services, split_services},
        serving::{CallerLimits, ServingConfig},
    },
    contention::ContentionWatch,
    dialect::Dialect,
    dispatcher::Dispatcher,
    explain::{Decision, ExplainRing},
    flow::FlowBounds,
    ids::{Incarnation, Revision, ServiceName, TargetId},
    lifecycle::{Phase, RouterEvent, RouterLifecycle, StopTimes},
    log::LogFlusher,
    membership::peers::Peers,
    relays::Relays,
    retry::FleetShare,
    slot_gate::SlotGates,
    spans::Spans,
    store::{MetaStore, StoreMirror},
    stream_origin::{ServiceHash, StreamOrigins},
    units::{ConfigVersion, Instant, StoreRevision},
};

/// Dependencies that a program provides to a gateway.
pub struct GatewayParts {
    /// Checked settings.
    pub cfg: GatewayConfig,
    /// Protocol between the router and its callers and targets.
    pub dialect: Rc<dyn Dialect>,
    /// Metadata store of the platform.
    pub store: Rc<dyn MetaStore>,
    /// Opens the connections to targets.
    pub dialer: Rc<dyn Dialer>,
    /// Clock by which the gateway measures all timeouts and intervals.
    pub clock: Clock,
    /// Recorder of the spans of calls.
    pub spans: Spans,
    /// Logger of the gateway.
    pub log: Logger,
    /// Writes out buffered log lines.
    pub flusher: LogFlusher,
}

/// Shared state of a gateway.
pub struct Gateway {
    pub(crate) cfg: GatewayConfig,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Rc<dyn MetaStore>,
    pub(crate) spans: Spans,
    pub(crate) log: Logger,
    pub(crate) flusher: LogFlusher,
    pub(crate) metrics: Metrics,
    pub(crate) conns: Rc<ConnPool>,
    pub(crate) dialer: Rc<dyn Dialer>,
    /// What is known of peers through which targets are reached.
    pub(crate) relays: RefCell<Relays>,
    /// Slots of brittle targets that this router owns.
    pub(crate) slots: RefCell<SlotGates>,
    /// Tunnels that this router holds open for peers.
    pub(crate) tunnels: Tunnels,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) accepted_changes: AcceptedChanges,
    pub(crate) accounts: Accounts,
    pub(crate) claims: ClaimRecorder,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    /// Which services the routes of the configuration in force have.
    routes_hash: Cell<RoutesHash>,
    /// Revision of the record of versions that was applied last.
    pub(super) version_record_revision: Cell<StoreRevision>,
    /// Reads of the store's revision for calls that take streams up.
    pub(super) revision_reads: RevisionReads,
    /// Log of stream origins in the store.
    pub(super) origin_log: OriginLog,
    /// Wakes the task that tells other routers the origins of streams.
    pub(crate) origins_changed: Notify,
    pub(super) contention: RefCell<ContentionWatch>,
    pub(crate) flow: FlowControl,
    /// Connections whose answers are followed until they have arrived.
    pub(super) deliveries: Deliveries,
    pub(crate) explain: ExplainRing,
    pub(crate) rules: Cell<Rules>,
    /// Number of calls in progress at this router.
    pub(crate) in_progress: Cell<usize>,
    /// Number of recent calls, which is halved periodically.
    pub(crate) recent_calls: Cell<u32>,
    fleet_share: RefCell<FleetShare>,
    /// Number of the last datagram that was created.
    pub(crate) datagram_count: Cell<u64>,
    /// Whether this router aggregates counts for its data hall.
    pub(crate) is_aggregator: Cell<bool>,
    pub(crate) mirror: RefCell<StoreMirror>,
    /// Wakes requests of peers that wait for a newer state of the mirror.
    pub(crate) mirror_changed: Notify,
    pub(super) response_cache: RefCell<ResponseCache>,
    /// Instant since which the store has not answered this router; `None` while it answers.
    pub(crate) store_unavailable_since: Cell<Option<Instant>>,
    /// Wakes calls that wait for the first configuration.
    pub(crate) config_arrived: Notify,
    /// Number of calls that wait for the first configuration.
    pub(crate) awaiting_config: Cell<usize>,
    /// Instant at which the store last became available again.
    pub(crate) store_regained_at: Cell<Option<Instant>>,
    /// Latest instant at which the store is known to have held the contents of the mirror.
    pub(crate) store_confirmed_at: Cell<Option<Instant>>,
    lifecycle: RefCell<RouterLifecycle>,
    /// Wakes what waits for a phase of the lifecycle.
    pub(super) phase_changed: Notify,
    /// Times of the planned stop, once one was requested.
    pub(crate) stop_times: Cell<Option<StopTimes>>,
    /// Configuration in force; `None` before the first one arrived.
    serving: RefCell<Option<Rc<ServingConfig>>>,
    /// Version of the operators' configuration that the store was last known to hold.
    pub(super) stored_config: Cell<Option<ConfigVersion>>,
    pub(crate) clock: Clock,
    /// Time of day at which the gateway was created, in milliseconds since the Unix epoch.
    wall_epoch_ms: u64,
}

impl Gateway {
    /// Creates a gateway without configuration, peers or targets.
    pub(super) fn new(parts: GatewayParts) -> Rc<Self> {
        let GatewayParts {
            cfg,
            dialect,
            store,
            dialer,
            clock,
            spans,
            log,
            flusher,
        } = parts;
        let since_unix = SystemTime::now().duration_since(UNIX_EPOCH);
        // The time of day only distinguishes incarnations of this router, and orders the decisions that
        // `explain` shows.
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
            routes_hash: Cell::default(),
            version_record_revision: Cell::default(),
            revision_reads: RevisionReads::default(),
            serving: RefCell::default(),
            stored_config: Cell::new(None),
            mirror: RefCell::default(),
            mirror_changed: Notify::new(),
            response_cache: RefCell::default(),
            store_unavailable_since: Cell::new(None),
            config_arrived: Notify::new(),
            awaiting_config: Cell::new(0),
            store_regained_at: Cell::new(None),
            store_confirmed_at: Cell::new(None),
            accepted_changes: AcceptedChanges::default(),
            accounts: Accounts::default(),
            claims: ClaimRecorder::new(Rc::clone(&store)),
            crash_checks: CrashChecks::default(),
            stream_origins: RefCell::default(),
            origin_log: OriginLog::default(),
            origins_changed: Notify::new(),
            contention: RefCell::default(),
            deliveries: Deliveries::default(),
            flow: FlowControl::new(FlowBounds::from_memory(cfg.memory)),
            explain: ExplainRing::new(cfg.explain_kept),
            conns: Rc::default(),
            dialer,
            relays: RefCell::default(),
            slots: RefCell::default(),
            tunnels: Tunnels::default(),
            metrics: Metrics::default(),
            lifecycle: RefCell::default(),
            phase_changed: Notify::new(),
            stop_times: Cell::default(),
            in_progress: Cell::new(0),
            recent_calls: Cell::new(0),
            fleet_share: RefCell::default(),
            datagram_count: Cell::new(0),
            is_aggregator: Cell::new(false),
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

    /// Returns the settings, in which a port of 0 is replaced by the port that the system assigned.
    pub fn config(&self) -> &GatewayConfig {
        &self.cfg
    }

    /// Returns whether the load balancer may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.serving().is_some()
            && self.dispatcher.borrow().discovery.is_loaded()
            && self.may_use_keys(self.now())
    }

    /// Returns the revision of the operators' configuration that is in force at this router.
    pub fn revision(&self) -> Revision {
        self.accepted_changes.revision()
    }

    /// Returns the number of older histories of the store that were rejected.
    pub fn reverts_refused(&self) -> u64 {
        self.accepted_changes.reverts_refused()
    }

    /// Returns the number of bytes of datagrams sent to other routers so far.
    pub fn control_bytes(&self) -> u64 {
        self.metrics.datagram_bytes.get()
    }

    /// Returns the number of bytes of claims sent to other routers so far.
    pub fn claim_bytes(&self) -> u64 {
        self.metrics.claim_bytes.get()
    }

    /// Returns the number of spans begun so far, one per hop of a call.
    pub fn hop_spans(&self) -> u64 {
        self.spans.started_count()
    }

    /// Applies changed rules, and adds the configured addresses of other routers.
    pub(crate) fn reload(&self, cfg: &GatewayConfig) {
        let now = self.now();
        self.rules.set(cfg.rules);
        self.dispatcher.borrow_mut().set_rules(&cfg.rules);
        for seed in &cfg.seeds {
            self.peers.borrow_mut().add_address(now, *seed);
        }
        info!(self.log, "reload"; "outcome" => "in force", "rules" => ?cfg.rules);
    }

    /// Returns the time since the gateway started.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the incarnation of this VM's router.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall_epoch_ms)
    }

    /// Returns the phase of the router's lifecycle.
    pub(crate) fn phase(&self) -> Phase {
        self.lifecycle.borrow().phase()
    }

    /// Advances the router's lifecycle by an event of a planned stop.
    pub(crate) fn on_lifecycle_event(&self, event: RouterEvent) {
        self.lifecycle.borrow_mut().handle(event);
        self.phase_changed.notify_waiters();
    }

    /// Records a decision on a call for `explain`.
    pub(crate) fn record_decision(&self, call: &str, decision: impl FnOnce() -> Decision) {
        let at_ms = self.wall_epoch_ms + self.now().0.as_millis() as u64;
        self.explain.record(at_ms, call, decision);
    }

    /// Returns the configuration in force, or `None` before the first one arrived.
    pub(crate) fn serving(&self) -> Option<Rc<ServingConfig>> {
        self.serving.borrow().clone()
    }

    /// Returns the version of the configuration that the store holds, as far as this router knows.
    pub(crate) fn stored_config(&self) -> Option<ConfigVersion> {
        match self.cfg.own_config {
            true => Some(ConfigVersion(
                accepted_changes::newest_stored_revision(self).0,
            )),
            false => self.stored_config.get(),
        }
    }

    /// Returns the limits on what callers may send.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let serving = self.serving();
        serving.map_or(self.cfg.callers_rules.limits, |c| c.limits)
    }

    /// Applies a configuration if it is newer than the one in force, and returns whether it was applied.
    pub(crate) fn apply(&self, config: ServingConfig) -> bool {
        let version = config.version;
        let mut serving = self.serving.borrow_mut();
        let newer = serving
            .as_ref()
            .is_none_or(|before| config.is_newer_than(before));
        if newer {
            self.metrics.config_version.set(version.0.cast_signed());
            self.routes_hash.set(RoutesHash::of(&config));
            let split = split_services(&config);
            let split = split.iter().map(ServiceHash::from).collect();
            let before = serving.as_deref();
            let rerouted = before.map(|b| rerouted_services(b, &config));
            let rerouted = rerouted.unwrap_or_default();
            let discovery = &mut self.dispatcher.borrow_mut().discovery;
            discovery.on_routes(self.now(), split, rerouted.iter().map(ServiceHash::from));
            *serving = Some(Rc::new(config));
            self.freshness.borrow_mut().on_applied(version);
            self.config_arrived.notify_waiters();
        }
        newer
    }

    /// Returns which services the routes of the configuration in force have.
    pub(super) fn routes_hash(&self) -> RoutesHash {
        self.routes_hash.get()
    }

    /// Returns whether the configuration is fresh enough to accept its keys for a call read at `at`.
    pub(crate) fn may_use_keys(&self, at: Instant) -> bool {
        let freshness = self.freshness.borrow();
        let bound = self.rules.get().revoke_bound;
        bound.is_none_or(|bound| freshness.may_use_keys(at, bound))
    }

    /// Counts a received call of a service, from which this router's share of the retry budget is computed.
    pub(crate) fn count_call(&self, now: Instant, service: &ServiceName) {
        self.recent_calls
            .set(self.recent_calls.get().saturating_add(1));
        self.dispatcher.borrow_mut().budget.on_call(now, service);
    }

    /// Returns this router's share of the fleet's retry budget.
    pub(crate) fn usable_retry_share(&self, now: Instant) -> f64 {
        let window = self.rules.get().budget.window;
        let share = self.peers.borrow().call_share(now, self.recent_calls.get());
        let mut fleet_share = self.fleet_share.borrow_mut();
        fleet_share.on_share(now, share, window);
        fleet_share.usable(now, window)
    }

    /// Returns the age of the store's last confirmation of this router's mirror, or `None` if it is too
    /// old for a router that reads the store itself.
    pub(crate) fn store_age(&self) -> Option<Duration> {
        let now = self.now();
        let age = self.store_confirmed_at.get().map(|at| now.since(at));
        age.filter(|age| *age < STORE_READER_TTL)
    }

    /// Returns whether this router reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        self.store_unavailable_since.get().is_none() && self.store_age().is_some()
    }

    /// Returns the number of connections to a target that this router may have, if the fleet may have
    /// `max_conns`: an equal share, or more where other routers have few calls there. Otherwise a router that
    /// gets most callers of a fleet would refuse them while the target's connections are free.
    pub(crate) fn conn_share(&self, max_conns: u32, target: &TargetId) -> usize {
        let now = self.now();
        let routers = self.peers.borrow().live_count(now);
        let usable = (max_conns as usize).saturating_mul(CONN_USAGE_PERCENT) / 100;
        let others = self
            .dispatcher
            .borrow()
            .load
            .call_counts(now, target)
            .others;
        let unused = (usable / UNUSED_CONNS_DIVISOR).saturating_sub(others as usize);
        (usable / routers).max(unused).max(MIN_CONNS_PER_TARGET)
    }
}

/// Maximum age of the store's last confirmation at which a router counts as reading the store: the wait
/// of a watch, the pause after it, and some delay.
const STORE_READER_TTL: Duration = Duration::from_millis(1_400);

/// Percentage of a target's connections that the fleet uses: routers may temporarily not know of one
/// another.
const CONN_USAGE_PERCENT: usize = 80;

/// Part of a target's usable connections, as a divisor, that one router may have while others have no calls
/// there. The rest allows for idle connections of others and for counts that are out of date.
const UNUSED_CONNS_DIVISOR: usize = 2;

/// Minimum number of connections to a target that each router may have.
const MIN_CONNS_PER_TARGET: usize = 2;

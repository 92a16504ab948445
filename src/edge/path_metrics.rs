//! Metrics of the network paths between routers and targets.

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::metrics::ReasonLabel;

/// Metrics of the paths from this router to targets, and of the tunnels that replace them.
#[derive(Debug, Default)]
pub(crate) struct PathMetrics {
    pub(crate) connections_opened: Counter,
    pub(crate) targets_not_reached: Gauge,
    pub(crate) cut_off: Gauge,
    pub(crate) checks: Counter,
    pub(crate) tunnels_used: Counter,
    pub(crate) tunnels_open: Gauge,
    tunnels_served: Family<ReasonLabel, Counter>,
    brittle_targets: Gauge,
    slots_in_use: Gauge,
    slots_asked: Family<ReasonLabel, Counter>,
}

impl PathMetrics {
    pub(super) fn register(&self, r: &mut Registry) {
        self.register_slots(r);
        let opened = self.connections_opened.clone();
        r.register("connections_opened", "Connections to targets", opened);
        r.register(
            "targets_not_reached",
            "Targets to which this router has no path, as far as it knows",
            self.targets_not_reached.clone(),
        );
        r.register(
            "cut_off",
            "Whether this router may be cut off from all targets",
            self.cut_off.clone(),
        );
        r.register(
            "path_checks",
            "Connections opened to check a path",
            self.checks.clone(),
        );
        r.register(
            "tunnels_used",
            "Connections to targets that peers opened for this router",
            self.tunnels_used.clone(),
        );
        r.register(
            "tunnels_open",
            "Connections of peers to targets that pass through this router",
            self.tunnels_open.clone(),
        );
        r.register(
            "tunnels_served",
            "Requests of peers for a connection to a target, by outcome",
            self.tunnels_served.clone(),
        );
    }

    fn register_slots(&self, r: &mut Registry) {
        r.register(
            "brittle_targets",
            "Targets that crash when they have to reject too many calls",
            self.brittle_targets.clone(),
        );
        r.register(
            "brittle_slots_in_use",
            "Slots of brittle targets that this router has handed out",
            self.slots_in_use.clone(),
        );
        r.register(
            "brittle_slots_asked",
            "Requests for a slot of a brittle target that this router owns, by outcome",
            self.slots_asked.clone(),
        );
    }

    /// Sets the number of brittle targets, and of their slots that this router has handed out.
    pub(super) fn on_brittle(&self, targets: usize, slots: u32) {
        self.brittle_targets.set(targets as i64);
        self.slots_in_use.set(i64::from(slots));
    }

    /// Counts a request for a slot of a brittle target.
    pub(super) fn on_slot_asked(&self, is_free: bool) {
        let reason = if is_free { "granted" } else { "none_free" };
        self.slots_asked
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a peer's request for a tunnel.
    pub(super) fn on_tunnel_served(&self, reason: &'static str) {
        self.tunnels_served
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }
}

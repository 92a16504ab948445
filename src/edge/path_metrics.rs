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
}

impl PathMetrics {
    pub(super) fn register(&self, r: &mut Registry) {
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

    /// Counts a peer's request for a tunnel.
    pub(super) fn on_tunnel_served(&self, reason: &'static str) {
        self.tunnels_served
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }
}

//! Metrics of the network paths between routers and targets.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Metrics of the paths from this router to targets.
#[derive(Debug, Default)]
pub(crate) struct PathMetrics {
    pub(crate) connections_opened: Counter,
    pub(crate) targets_not_reached: Gauge,
}

impl PathMetrics {
    pub(super) fn register(&self, r: &mut Registry) {
        let opened = self.connections_opened.clone();
        r.register("connections_opened", "Connections to targets", opened);
        r.register(
            "targets_not_reached",
            "Targets to which no connection could be opened since they were last reached",
            self.targets_not_reached.clone(),
        );
    }
}

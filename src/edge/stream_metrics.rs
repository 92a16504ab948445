//! Metrics of streams that go on at another target or by another call.

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::metrics::ReasonLabel;

/// Metrics of continued streams.
#[derive(Debug, Default)]
pub(crate) struct StreamMetrics {
    pub(crate) origins_known: Gauge,
    pub(crate) origins_sent: Counter,
    pub(crate) origins_saved: Counter,
    pub(crate) resumed: Counter,
    taken_up: Family<ReasonLabel, Counter>,
}

impl StreamMetrics {
    pub(super) fn register(&self, r: &mut Registry) {
        r.register(
            "stream_origins_known",
            "Streams of which this router knows the software version that began them",
            self.origins_known.clone(),
        );
        r.register(
            "stream_origins_sent",
            "Origins of streams sent to other routers",
            self.origins_sent.clone(),
        );
        r.register(
            "stream_origins_saved",
            "Origins of streams written to the log in the store",
            self.origins_saved.clone(),
        );
        r.register(
            "streams_resumed",
            "Streams that broke off or fell silent and went on at another target within the answer",
            self.resumed.clone(),
        );
        r.register(
            "streams_taken_up",
            "Streams that their callers took up, by who knew their origin",
            self.taken_up.clone(),
        );
    }

    /// Counts a stream that its caller takes up.
    pub(super) fn on_taken_up(&self, known_by: &'static str) {
        let label = ReasonLabel { reason: known_by };
        self.taken_up.get_or_create(&label).inc();
    }
}

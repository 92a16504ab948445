//! Logs, metrics and spans.

use std::{
    net::UdpSocket,
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{CountedExt, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{SpanKind, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider},
};
use slog::{Drain, Logger, o};

use crate::{Error, Result, Settings, ids::RequestId, target::Header};

/// Log lines that may wait for the writer; more are dropped and counted by the logger.
const LOG_QUEUE: usize = 4096;

/// What every metric's name begins with.
const PREFIX: &str = "scaleford";

/// A router's logs, metrics and spans.
pub struct Telemetry {
    /// The log, as JSON lines.
    pub log: Logger,
    statsd: StatsdClient,
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    hop_spans: AtomicU64,
}

/// A span of one hop of a request; ends when dropped.
pub struct HopSpan {
    cx: Context,
}

impl HopSpan {
    /// Writes the span's trace parent into headers that go to the next hop.
    pub fn inject(&self, headers: &mut Vec<Header>) {
        headers.retain(|h| h.name != "traceparent" && h.name != "tracestate");
        TraceContextPropagator::new().inject_context(&self.cx, &mut HeaderWriter(headers));
    }

    /// Notes how the hop ended.
    pub fn note(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.cx.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.cx.span().end();
    }
}

struct HeaderWriter<'a>(&'a mut Vec<Header>);

impl Injector for HeaderWriter<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = key.to_owned();
        self.0.push(Header {
            name,
            value: value.into(),
        });
    }
}

struct HeaderReader<'a>(&'a [Header]);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        let header = self.0.iter().find(|h| h.name == key)?;
        std::str::from_utf8(&header.value).ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.iter().map(|h| h.name.as_str()).collect()
    }
}

impl Telemetry {
    /// What the settings ask for, with a given log.
    pub fn new(cfg: &Settings, log: Logger) -> Result<Self> {
        let provider = provider(cfg)?;
        let tracer = provider.tracer("scaleford");
        Ok(Self {
            log: log.new(o!("vm" => cfg.vm.to_string())),
            statsd: statsd(cfg)?,
            provider,
            tracer,
            hop_spans: AtomicU64::new(0),
        })
    }

    /// Begins a hop's span below the trace parent in the headers, if there is one.
    pub fn hop(&self, name: &'static str, request: RequestId, headers: &[Header]) -> HopSpan {
        let parent = TraceContextPropagator::new().extract(&HeaderReader(headers));
        let builder = self
            .tracer
            .span_builder(name)
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("request", request.to_string())]);
        let span = self.tracer.build_with_context(builder, &parent);
        self.hop_spans.fetch_add(1, Ordering::Relaxed);
        HopSpan {
            cx: parent.with_span(span),
        }
    }

    /// The spans of hops that were begun.
    pub fn hop_spans(&self) -> u64 {
        self.hop_spans.load(Ordering::Relaxed)
    }

    /// Counts one.
    pub fn count(&self, name: &str) {
        // A metric that is lost is not worth failing for.
        let _ = self.statsd.incr(name);
    }

    /// Tells a level.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Tells a time, in milliseconds.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.statsd.time(name, ms);
    }

    /// Sends the spans that wait.
    pub fn flush(&self) {
        // Nobody is left to tell that an exporter is gone.
        let _ = self.provider.shutdown();
    }
}

/// The log that a daemon writes to standard error.
pub fn stderr_log(cfg: &Settings) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, cfg.log_level.0).fuse();
    Logger::root(drain, o!())
}

/// A log that keeps nothing.
pub fn no_log() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn provider(cfg: &Settings) -> Result<SdkTracerProvider> {
    let builder = SdkTracerProvider::builder();
    match &cfg.otlp.0 {
        None => Ok(builder.build()),
        Some(endpoint) => {
            let exporter = SpanExporter::builder()
                .with_http()
                .with_endpoint(endpoint)
                .with_protocol(Protocol::HttpBinary)
                .build()
                .map_err(|e| Error::Protocol(format!("otlp: {e}")))?;
            Ok(builder.with_batch_exporter(exporter).build())
        }
    }
}

fn statsd(cfg: &Settings) -> Result<StatsdClient> {
    match cfg.statsd.0.first() {
        None => Ok(StatsdClient::from_sink(PREFIX, NopMetricSink)),
        Some(address) => {
            let socket = UdpSocket::bind("0.0.0.0:0")?;
            socket.set_nonblocking(true)?;
            let sink = UdpMetricSink::from(address, socket);
            let sink = sink.map_err(|e| Error::Protocol(format!("statsd: {e}")))?;
            Ok(StatsdClient::from_sink(PREFIX, sink))
        }
    }
}

//! Tracing: a span for each hop of a call, exported to an OTLP collector and propagated to the next hop.

use std::cell::Cell;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
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

use crate::{Error, Result};

/// A router's spans. If tracing is disabled, it costs nothing and callers' trace headers are unchanged.
#[derive(Default)]
pub struct Spans {
    tracer: Option<(SdkTracerProvider, SdkTracer)>,
    started: Cell<u64>,
}

/// A span of one hop of a call, which ends when dropped.
pub struct HopSpan {
    cx: Option<Context>,
}

impl HopSpan {
    /// Writes the span's trace context into the headers for the next hop.
    pub fn inject(&self, headers: &mut HeaderMap) {
        if let Some(cx) = &self.cx {
            TraceContextPropagator::new().inject_context(cx, &mut HeaderWriter(headers));
        }
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(cx) = &self.cx {
            cx.span().set_attribute(KeyValue::new(key, value));
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if let Some(cx) = &self.cx {
            cx.span().end();
        }
    }
}

struct HeaderWriter<'a>(&'a mut HeaderMap);

impl Injector for HeaderWriter<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::try_from(key);
        // The propagator only writes names and values that are valid in headers.
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
            self.0.insert(name, value);
        }
    }
}

struct HeaderReader<'a>(&'a HeaderMap);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

impl Spans {
    /// Enables tracing: spans are propagated to targets, and exported to an OTLP endpoint if there is one.
    pub fn enabled(endpoint: Option<&str>) -> Result<Self> {
        let builder = SdkTracerProvider::builder();
        let provider = match endpoint {
            None => builder.build(),
            Some(endpoint) => {
                let exporter = SpanExporter::builder()
                    .with_http()
                    .with_endpoint(endpoint)
                    .with_protocol(Protocol::HttpBinary)
                    .build()
                    .map_err(|e| Error::Protocol(format!("OTLP setup failed: {e}")))?;
                builder.with_batch_exporter(exporter).build()
            }
        };
        let tracer = provider.tracer("scaleford");
        Ok(Self {
            tracer: Some((provider, tracer)),
            started: Cell::new(0),
        })
    }

    /// Starts the span of a hop, as a child of the trace context in the headers if there is one.
    pub fn start_hop(&self, name: &'static str, call: &str, headers: &HeaderMap) -> HopSpan {
        let Some((_, tracer)) = &self.tracer else {
            return HopSpan { cx: None };
        };
        let parent = TraceContextPropagator::new().extract(&HeaderReader(headers));
        let builder = tracer
            .span_builder(name)
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("request", call.to_owned())]);
        let span = tracer.build_with_context(builder, &parent);
        self.started.set(self.started.get() + 1);
        HopSpan {
            cx: Some(parent.with_span(span)),
        }
    }

    /// Returns the number of spans that were started.
    pub fn started_count(&self) -> u64 {
        self.started.get()
    }

    /// Exports the pending spans and shuts the exporter down.
    pub fn shut_down(&self) -> Result<()> {
        let Some((provider, _)) = &self.tracer else {
            return Ok(());
        };
        let flushed = provider.shutdown();
        flushed.map_err(|e| Error::Protocol(format!("OTLP export failed: {e}")))
    }
}

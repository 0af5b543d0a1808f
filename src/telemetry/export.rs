//! Exporters of metrics and spans: to a collector by OTLP, and to memory.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use opentelemetry_otlp::MetricExporter;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::trace::SpanData;
use tokio::runtime::Handle;

use crate::telemetry::Error;

/// How long the export of one batch may take.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of spans that a [`MemoryExporter`] keeps.
const MAX_SPANS: usize = 10_000;

/// An exporter whose client needs the Tokio runtime. The library calls
/// exporters on its own thread, so the runtime's handle is kept here.
#[derive(Debug)]
pub(super) struct WithRuntime<E> {
    inner: E,
    runtime: Handle,
}

fn with_runtime<E>(inner: E) -> Result<WithRuntime<E>, Error> {
    let runtime =
        Handle::try_current().map_err(|error| Error(error.to_string()))?;
    Ok(WithRuntime { inner, runtime })
}

/// Returns an exporter of metrics to the collector at `url`.
pub(super) fn metrics(
    url: &str,
) -> Result<WithRuntime<MetricExporter>, Error> {
    let exporter = MetricExporter::builder()
        .with_http()
        .with_endpoint(format!("{url}/v1/metrics"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|error| Error(error.to_string()))?;
    with_runtime(exporter)
}

/// Returns an exporter of spans to the collector at `url`.
pub(super) fn spans(url: &str) -> Result<WithRuntime<SpanExporter>, Error> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("{url}/v1/traces"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|error| Error(error.to_string()))?;
    with_runtime(exporter)
}

impl PushMetricExporter for WithRuntime<MetricExporter> {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        self.runtime.block_on(self.inner.export(metrics))
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.inner.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.inner.shutdown_with_timeout(timeout)
    }

    fn temporality(&self) -> Temporality {
        self.inner.temporality()
    }
}

impl opentelemetry_sdk::trace::SpanExporter for WithRuntime<SpanExporter> {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.runtime.block_on(self.inner.export(batch))
    }
}

/// A finished span.
#[derive(Clone, Debug)]
pub struct FinishedSpan {
    /// The ID of the trace, in hexadecimal.
    pub trace: String,
    /// The ID of the span, in hexadecimal.
    pub span: String,
    /// The ID of the parent span, all zeros for none.
    pub parent: String,
    /// The name of the span.
    pub name: String,
    /// When the span began.
    pub began: SystemTime,
    /// When the span ended.
    pub ended: SystemTime,
    /// The attributes of the span: keys and values.
    pub attributes: Vec<(String, String)>,
}

/// An exporter that keeps the latest finished spans in memory, for tests and
/// trials.
#[derive(Clone, Debug, Default)]
pub struct MemoryExporter {
    spans: Arc<Mutex<Vec<FinishedSpan>>>,
}

impl MemoryExporter {
    /// Returns the kept spans of a trace.
    pub fn trace(&self, trace: &str) -> Vec<FinishedSpan> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let of_trace = spans.iter().filter(|span| span.trace == trace);
        of_trace.cloned().collect()
    }

    /// Returns all kept spans, in the order in which they ended.
    pub fn spans(&self) -> Vec<FinishedSpan> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.clone()
    }
}

impl opentelemetry_sdk::trace::SpanExporter for MemoryExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut spans =
            self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        for span in batch {
            if spans.len() == MAX_SPANS {
                spans.remove(0);
            }
            let context = &span.span_context;
            spans.push(FinishedSpan {
                trace: context.trace_id().to_string(),
                span: context.span_id().to_string(),
                parent: span.parent_span_id.to_string(),
                name: span.name.to_string(),
                began: span.start_time,
                ended: span.end_time,
                attributes: span
                    .attributes
                    .iter()
                    .map(|kv| (kv.key.to_string(), kv.value.to_string()))
                    .collect(),
            });
        }
        Ok(())
    }
}

//! Metrics and traces of the programs, and their export.
//!
//! A local page shows the metrics. If the settings name a collector, metrics
//! and traces are also sent to it by OTLP. Each hop of a request is a span;
//! calls between processes carry the context as a W3C `traceparent`.

mod export;
pub mod metrics;
mod page;
mod span;

pub use export::FinishedSpan;
pub use export::MemoryExporter;
pub use page::Page;
pub use span::Span;

use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::Resource;

/// An exporter that cannot be set up.
#[derive(Debug, thiserror::Error)]
#[error("telemetry.otlp: {0}")]
pub struct Error(String);

/// The metric and trace providers of a process.
pub struct Telemetry {
    meters: SdkMeterProvider,
    tracers: SdkTracerProvider,
    page: Page,
}

impl Telemetry {
    /// Installs the global metric and trace providers of this process.
    ///
    /// `otlp` is the URL of a collector, and `memory` an additional exporter
    /// of spans, each if any. Must be called within a Tokio runtime if `otlp`
    /// is given.
    ///
    /// # Errors
    ///
    /// If the URL of the collector is invalid, or there is no runtime.
    pub fn start(
        process: &str,
        otlp: Option<&str>,
        memory: Option<MemoryExporter>,
    ) -> Result<Telemetry, Error> {
        let resource = || {
            let name = format!("landingvalve/{process}");
            Resource::builder().with_service_name(name).build()
        };
        let page = Page::default();
        let reader = PeriodicReader::builder(page.clone()).build();
        let mut meters = SdkMeterProvider::builder()
            .with_resource(resource())
            .with_reader(reader);
        let mut tracers =
            SdkTracerProvider::builder().with_resource(resource());
        if let Some(url) = otlp {
            meters = meters.with_periodic_exporter(export::metrics(url)?);
            tracers = tracers.with_batch_exporter(export::spans(url)?);
        }
        if let Some(memory) = memory {
            tracers = tracers.with_simple_exporter(memory);
        }
        let (meters, tracers) = (meters.build(), tracers.build());
        opentelemetry::global::set_meter_provider(meters.clone());
        opentelemetry::global::set_tracer_provider(tracers.clone());
        Ok(Telemetry {
            meters,
            tracers,
            page,
        })
    }

    /// Returns the local page of metrics.
    pub fn page(&self) -> Page {
        self.page.with_meters(self.meters.clone())
    }

    /// Exports what is still buffered and shuts the providers down. Blocks.
    pub fn stop(self) {
        let _ = self.tracers.shutdown();
        let _ = self.meters.shutdown();
    }
}

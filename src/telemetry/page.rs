//! The local metrics page, in the Prometheus text format.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Temporality;

use crate::http;
use crate::telemetry::metrics;

/// A page with the last exported state of all metrics. Clones share the
/// state.
#[derive(Clone, Default)]
pub struct Page {
    text: Arc<Mutex<String>>,
    meters: Option<SdkMeterProvider>,
}

impl Page {
    /// Returns a page that collects the metrics of `meters` when it is read.
    pub(super) fn with_meters(&self, meters: SdkMeterProvider) -> Page {
        Page {
            text: self.text.clone(),
            meters: Some(meters),
        }
    }

    /// Returns the current metrics, one sample per line.
    pub async fn text(&self) -> String {
        if let Some(meters) = self.meters.clone() {
            // A flush blocks until the collecting thread has exported.
            let flush = move || meters.force_flush();
            let _ = tokio::task::spawn_blocking(flush).await;
        }
        let text = self.text.lock();
        text.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl http::Handler for Page {
    async fn handle(&self, request: http::Request) -> http::Response {
        match request.uri().path() {
            "/metrics" => http::text(StatusCode::OK, self.text().await),
            _ => http::text(StatusCode::NOT_FOUND, "see /metrics\n"),
        }
    }
}

impl PushMetricExporter for Page {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut text = String::new();
        let all = metrics.scope_metrics().flat_map(|scope| scope.metrics());
        for metric in all {
            let name = metric.name();
            let help = metrics::help(name).unwrap_or_default();
            let _ = writeln!(text, "# HELP {name} {help}");
            let _ =
                writeln!(text, "# TYPE {name} {}", metric_type(metric.data()));
            match metric.data() {
                AggregatedMetrics::F64(data) => append(&mut text, name, data),
                AggregatedMetrics::U64(data) => append(&mut text, name, data),
                AggregatedMetrics::I64(data) => append(&mut text, name, data),
            }
        }
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

/// Appends the samples of a metric.
fn append<T: Copy + std::fmt::Display>(
    text: &mut String,
    name: &str,
    data: &MetricData<T>,
) {
    match data {
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Histogram(histogram) => {
            for point in histogram.data_points() {
                let own_labels = pairs(point.attributes());
                let mut cumulative = 0;
                let bounds = point.bounds().map(|b| b.to_string());
                let bounds = bounds.chain(["+Inf".to_owned()]);
                for (bound, count) in bounds.zip(point.bucket_counts()) {
                    cumulative += count;
                    let bound = [format!("le=\"{bound}\"")];
                    let all =
                        [own_labels.as_slice(), bound.as_slice()].concat();
                    let labels = braces(&all);
                    let _ =
                        writeln!(text, "{name}_bucket{labels} {cumulative}");
                }
                let labels = braces(&own_labels);
                let count = point.count();
                let total = point.sum();
                let _ = writeln!(text, "{name}_count{labels} {count}");
                let _ = writeln!(text, "{name}_sum{labels} {total}");
            }
        }
        MetricData::ExponentialHistogram(_) => {}
    }
}

/// Returns the metric type of the text format.
fn metric_type(data: &AggregatedMetrics) -> &'static str {
    match data {
        AggregatedMetrics::F64(data) => data_type(data),
        AggregatedMetrics::U64(data) => data_type(data),
        AggregatedMetrics::I64(data) => data_type(data),
    }
}

fn data_type<T>(data: &MetricData<T>) -> &'static str {
    match data {
        MetricData::Gauge(_) => "gauge",
        MetricData::Sum(_) => "counter",
        MetricData::Histogram(_) => "histogram",
        MetricData::ExponentialHistogram(_) => "untyped",
    }
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> String {
    braces(&pairs(attributes))
}

fn pairs<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> Vec<String> {
    attributes
        .map(|kv| format!("{}=\"{}\"", kv.key, kv.value))
        .collect()
}

fn braces(pairs: &[String]) -> String {
    match pairs {
        [] => String::new(),
        pairs => format!("{{{}}}", pairs.join(",")),
    }
}

//! Spans and metrics, as sent to a collector and as shown on the process's own
//! page. Telemetry is global to a process, so this test has its own binary.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::StatusCode;
use landingvalve::http;
use landingvalve::telemetry::metrics;
use landingvalve::telemetry::MemoryExporter;
use landingvalve::telemetry::Span;
use landingvalve::telemetry::Telemetry;

/// A collector that records the paths of the requests it receives.
#[derive(Default)]
struct Receiver {
    paths: Mutex<Vec<String>>,
}

impl http::Handler for Receiver {
    async fn handle(&self, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let body = http::read_body(request, 1 << 20)
            .await
            .expect("a request body");
        assert!(!body.is_empty());
        self.paths.lock().unwrap().push(path);
        http::text(StatusCode::OK, "")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_nest_and_spans_and_metrics_are_exported() {
    let receiver = Arc::new(Receiver::default());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = http::Server::start(address, receiver.clone());
    let server = server.await.unwrap();
    let url = format!("http://{}", server.address());
    let spans = MemoryExporter::default();
    let telemetry =
        Telemetry::start("test", Some(&url), Some(spans.clone())).unwrap();
    let call = Span::begin("call", None);
    let admit = Span::begin("admit", call.trace().as_ref());
    drop(admit);
    drop(call);
    metrics::get().starts.add(1, &[]);
    for seconds in [0.004, 0.3, 0.3, 700.0] {
        let labels = [metrics::label("method", "GET")];
        metrics::get().request_seconds.record(seconds, &labels);
    }
    let page = telemetry.page().text().await;
    assert!(page.contains("landingvalve_starts "), "{page}");
    check_histogram(&page);
    tokio::task::spawn_blocking(|| telemetry.stop())
        .await
        .unwrap();

    let finished = spans.spans();
    let call = finished.iter().find(|s| s.name == "call").expect("a span");
    let admit = finished.iter().find(|s| s.name == "admit").expect("a span");
    assert_eq!(admit.parent, call.span);
    assert_eq!(admit.trace, call.trace);
    let paths = receiver.paths.lock().unwrap();
    for path in ["/v1/traces", "/v1/metrics"] {
        assert!(paths.iter().any(|sent| sent == path), "{paths:?}");
    }
}

/// Checks the histogram on a page, parsed as a scraper parses it.
fn check_histogram(page: &str) {
    let name = "landingvalve_request_seconds";
    assert!(page.contains(&format!("# TYPE {name} histogram")), "{page}");
    let mut buckets = Vec::new();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let (series, value) = line.rsplit_once(' ').expect("a value");
        let value: f64 = value.parse().expect("a number");
        if let Some(rest) = series.strip_prefix(&format!("{name}_bucket")) {
            let bound = rest.split("le=\"").nth(1).expect("a bound");
            let bound = bound.split('"').next().expect("a bound");
            buckets.push((bound.to_owned(), value));
        }
    }
    let at = |bound: &str| buckets.iter().find(|(b, _)| b == bound);
    let count = |bound: &str| at(bound).map(|(_, count)| *count);
    assert_eq!(count("0.005"), Some(1.0), "{buckets:?}");
    assert_eq!(count("0.5"), Some(3.0), "{buckets:?}");
    assert_eq!(count("120"), Some(3.0), "{buckets:?}");
    assert_eq!(count("+Inf"), Some(4.0), "{buckets:?}");
    assert!(buckets.is_sorted_by(|a, b| a.1 <= b.1), "{buckets:?}");
    let total = format!("{name}_count{{method=\"GET\"}} 4");
    assert!(page.contains(&total), "{page}");
}

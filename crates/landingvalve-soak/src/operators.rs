//! Operators, which change the configuration and check that entries apply
//! each version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::HOST;
use hyper::Method;
use landingvalve::http;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

use crate::callers::API_KEY;
use crate::callers::HOST_NAME;
use crate::callers::PREFIX;
use crate::invariants::Checker;
use crate::lock;
use crate::store::Store;

/// The time after which every entry must apply a new version, as in the
/// entries' settings.
const MAX_APPLY_TIME: Duration = Duration::from_millis(2000);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(3000);

/// A version that was written; violations print it.
#[derive(Clone, Copy, Debug)]
struct Version {
    number: u64,
    written: Instant,
}

/// The operators, with the version that they wrote last; clones share it.
#[derive(Clone)]
pub struct Operators {
    store: Store,
    last: Arc<Mutex<Version>>,
}

impl Operators {
    /// Writes the first version of the configuration to a store.
    pub fn new(store: Store) -> Operators {
        store.write("op/config", configuration(1, 0));
        let first = Version {
            number: 1,
            written: Instant::now(),
        };
        Operators {
            store,
            last: Arc::new(Mutex::new(first)),
        }
    }

    /// Writes the next version, with `idle` queues that no caller uses.
    pub fn write_next_version(&self, idle: usize) {
        let mut last = lock(&self.last);
        let number = last.number + 1;
        self.store.write("op/config", configuration(number, idle));
        *last = Version {
            number,
            written: Instant::now(),
        };
    }

    /// Checks that an entry serves the queue of the present version and no
    /// longer the queue of the version before. Nothing is checked within 2 s
    /// after the present version was written, the time that entries have to
    /// apply a version.
    pub async fn probe(&self, entry: SocketAddr, checker: &Checker) {
        let version = *lock(&self.last);
        if version.written.elapsed() <= MAX_APPLY_TIME {
            return;
        }
        let client = http::Client::new();
        let old = probe_version(&client, entry, version.number - 1).await;
        if old == Some(200) {
            checker.record_violation(
                "CONFIG",
                format!("{version:?}: the version before is still applied"),
            );
        }
        let new = probe_version(&client, entry, version.number).await;
        let is_latest = lock(&self.last).number == version.number;
        if new == Some(404) && is_latest {
            checker.record_violation(
                "CONFIG",
                format!("{version:?}: not applied"),
            );
        }
    }
}

/// Returns the status of an entry's reply at the queue that only one version
/// has.
async fn probe_version(
    client: &http::Client,
    entry: SocketAddr,
    version: u64,
) -> Option<u16> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
    let url = format!("http://{entry}{}", version_path(version));
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let body = Bytes::new();
    let reply = client.call(Method::GET, &url, headers, body, deadline);
    reply.await.ok().map(|reply| reply.status.as_u16())
}

/// Returns the path of the queue that only one version has.
fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// Returns a configuration in base64: the queue of the jobs, a queue that
/// only this version has, and idle queues.
fn configuration(version: u64, idle: usize) -> String {
    let queue = |name: &str, prefix: &str, anonymous: bool| {
        json!({"name": name, "host": HOST_NAME, "pathPrefix": prefix,
            "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 1000, "priority": 1, "service": "pool",
            "maxAttempts": 50, "stretch": 3.0, "allowAnonymous": anonymous})
    };
    let mut queues = vec![
        queue("jobs", PREFIX, false),
        queue("own", &version_path(version), true),
    ];
    queues.extend((0..idle).map(|at| {
        let name = format!("idle-{at}");
        queue(&name, &format!("/{name}/"), false)
    }));
    let document = json!({
        "version": version,
        "routes": queues,
        "services": [{"name": "pool", "enforcesCapacity": true}],
        "limits": {"maxBodyBytes": 262_144},
        "tenants": [{"name": "soak", "apiKeys": [API_KEY]}],
    });
    let bytes = document.to_string().into_bytes();
    base64_text(&bytes)
}

fn base64_text(bytes: &[u8]) -> String {
    #[derive(Serialize)]
    struct Text<'a>(
        #[serde(with = "landingvalve::store::api::base64")] &'a [u8],
    );
    match json!(Text(bytes)) {
        Value::String(text) => text,
        _ => String::new(),
    }
}

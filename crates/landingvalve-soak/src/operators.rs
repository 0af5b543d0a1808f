//! Operators: they change the configuration, and whoever asks must meet it.

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

use crate::callers::CALLED;
use crate::callers::KEY;
use crate::callers::PREFIX;
use crate::lock;
use crate::promise::Promise;
use crate::store::Store;

/// Within which a change is in force, as the entries' settings say.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// How long a question may take.
const LIMIT: Duration = Duration::from_millis(3000);

/// A version that is written.
#[derive(Clone, Copy, Debug)]
struct Version {
    number: u64,
    written: Instant,
}

/// The operators, and what they have written last.
#[derive(Clone)]
pub struct Operators {
    store: Store,
    last: Arc<Mutex<Version>>,
}

impl Operators {
    /// Writes the first configuration.
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

    /// Writes the next version, with `idle` queues that nobody asks about.
    pub fn change(&self, idle: usize) {
        let mut last = lock(&self.last);
        let number = last.number + 1;
        self.store.write("op/config", configuration(number, idle));
        *last = Version {
            number,
            written: Instant::now(),
        };
    }

    /// Asks an entry for a queue that only the present version has, and for
    /// one that it no longer has.
    pub async fn probe(&self, entry: SocketAddr, promise: &Promise) {
        let asked = *lock(&self.last);
        if asked.written.elapsed() <= IN_FORCE {
            return;
        }
        let client = http::Client::new();
        let old = ask(&client, entry, asked.number - 1).await;
        if old == Some(200) {
            promise.breaks("CONFIG", format!("{asked:?}: the one before"));
        }
        let new = ask(&client, entry, asked.number).await;
        let still = lock(&self.last).number == asked.number;
        if new == Some(404) && still {
            promise.breaks("CONFIG", format!("{asked:?}: not there"));
        }
    }
}

/// Returns the status of the answer about a version's own queue.
async fn ask(
    client: &http::Client,
    entry: SocketAddr,
    version: u64,
) -> Option<u16> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static(CALLED));
    let url = format!("http://{entry}{}", own(version));
    let deadline = Instant::now() + LIMIT;
    let body = Bytes::new();
    let reply = client.call(Method::GET, &url, headers, body, deadline);
    reply.await.ok().map(|reply| reply.status.as_u16())
}

/// Returns where the queue is that only one version has.
fn own(version: u64) -> String {
    format!("/version-{version}/")
}

/// Returns a configuration in base64: one queue for jobs and one of its own.
fn configuration(version: u64, idle: usize) -> String {
    let queue = |name: &str, prefix: &str, anonymous: bool| {
        json!({"name": name, "host": CALLED, "pathPrefix": prefix,
            "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 1000, "priority": 1, "service": "pool",
            "maxAttempts": 50, "stretch": 3.0, "allowAnonymous": anonymous})
    };
    let mut queues = vec![
        queue("jobs", PREFIX, false),
        queue("own", &own(version), true),
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
        "tenants": [{"name": "soak", "apiKeys": [KEY]}],
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

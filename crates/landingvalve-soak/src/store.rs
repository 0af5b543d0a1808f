//! A stand-in for the platform's store, with faults on demand.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use landingvalve::http;
use landingvalve::http::Handler;
use landingvalve::http::Request;
use landingvalve::http::Response;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

use crate::lock;

/// How often a watch without events checks for new ones.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The response time of the store without a fault.
const RESPONSE_TIME: Duration = Duration::from_millis(2);
/// The limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;
/// The number of events kept in the history.
const MAX_HISTORY_EVENTS: usize = 20_000;

/// The behavior of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Every call is processed.
    Healthy,
    /// Every call is refused without effect.
    Unavailable,
    /// No call gets a response, and none has an effect.
    Unresponsive,
    /// Every response takes this long.
    Slow(Duration),
    /// This share of the transactions takes effect without a response.
    LosesReplies(f64),
    /// This share of the transactions gets no response and is executed
    /// seconds later, if its conditions hold by then.
    DelaysWrites(f64),
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    #[serde(rename = "tlsKey")]
    key: String,
    value: String,
    /// The revision of the last write.
    rev: u64,
    /// The revision at which the key was created.
    #[serde(rename = "made")]
    created_rev: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Written(Row),
    /// A deleted key, and the revision of the deletion.
    Deleted(String, u64),
}

impl Event {
    fn rev(&self) -> u64 {
        match self {
            Event::Written(row) => row.rev,
            Event::Deleted(_, rev) => *rev,
        }
    }

    fn key(&self) -> &str {
        match self {
            Event::Written(row) => &row.key,
            Event::Deleted(key, _) => key,
        }
    }

    fn json(&self) -> Value {
        match self {
            Event::Written(row) => json!(row),
            Event::Deleted(key, rev) => {
                json!({"tlsKey": key, "rev": rev, "gone": true})
            }
        }
    }
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct State {
    mode: Mode,
    random: fastrand::Rng,
    rev: u64,
    rows: BTreeMap<String, Row>,
    leases: HashMap<u64, Lease>,
    /// The history of events, oldest first.
    events: Vec<Event>,
    /// The last revision whose events are no longer in the history.
    discarded_rev: u64,
    calls: u64,
}

/// The request body of a transaction.
#[derive(Clone, Debug, Deserialize)]
struct Txn {
    #[serde(rename = "expectedRev", default)]
    expected: Vec<Expected>,
    #[serde(default)]
    put: Vec<Put>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Expected {
    #[serde(rename = "tlsKey")]
    key: String,
    rev: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Put {
    #[serde(rename = "tlsKey")]
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Returns an empty store; the seed determines which transactions a
    /// faulty mode affects.
    pub fn new(seed: u64) -> Store {
        Store(Arc::new(Mutex::new(State {
            mode: Mode::Healthy,
            random: fastrand::Rng::with_seed(seed),
            rev: 1,
            rows: BTreeMap::new(),
            leases: HashMap::new(),
            events: Vec::new(),
            discarded_rev: 0,
            calls: 0,
        })))
    }

    /// Sets the behavior of the store from now on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.0).mode = mode;
    }

    /// Discards the history: a watch from an earlier revision fails.
    pub fn discard_history(&self) {
        let mut state = lock(&self.0);
        state.discarded_rev = state.rev;
        state.events.clear();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.0).calls
    }

    /// Writes any key as operators do, regardless of the mode; returns the
    /// revision.
    pub fn write(&self, key: &str, value: String) -> u64 {
        let put = Put {
            key: key.to_owned(),
            value,
            lease: 0,
        };
        let mut state = lock(&self.0);
        state.apply(&[put], &[]);
        state.rev
    }
}

impl State {
    /// Ends the expired leases.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease and deletes its keys.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .rows
            .values()
            .filter(|row| row.lease == lease)
            .map(|row| row.key.clone())
            .collect();
        if !keys.is_empty() {
            self.apply(&[], &keys);
        }
    }

    /// Writes and removes keys at the next revision.
    fn apply(&mut self, puts: &[Put], removed: &[String]) {
        self.rev += 1;
        let rev = self.rev;
        for put in puts {
            let created_rev =
                self.rows.get(&put.key).map_or(rev, |row| row.created_rev);
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                rev,
                created_rev,
                lease: put.lease,
            };
            self.rows.insert(put.key.clone(), row.clone());
            self.events.push(Event::Written(row));
        }
        for key in removed {
            if self.rows.remove(key).is_some() {
                self.events.push(Event::Deleted(key.clone(), rev));
            }
        }
        let excess = self.events.len().saturating_sub(MAX_HISTORY_EVENTS);
        for event in self.events.drain(..excess) {
            self.discarded_rev = self.discarded_rev.max(event.rev());
        }
    }

    /// Executes a transaction. If a condition doesn't hold, the response lists
    /// the rows of the keys with conditions.
    fn txn(&mut self, txn: &Txn) -> Response {
        self.expire_leases();
        let current = |expected: &Expected| {
            self.rows.get(&expected.key).map_or(0, |row| row.rev)
        };
        if txn.expected.iter().any(|e| current(e) != e.rev) {
            let items: Vec<&Row> = txn
                .expected
                .iter()
                .filter_map(|e| self.rows.get(&e.key))
                .collect();
            let status = StatusCode::PRECONDITION_FAILED;
            return http::json(status, &json!({ "items": items }));
        }
        let has_valid_lease =
            |put: &Put| put.lease == 0 || self.leases.contains_key(&put.lease);
        if !txn.put.iter().all(has_valid_lease) {
            return http::text(StatusCode::NOT_FOUND, "no such lease");
        }
        self.apply(&txn.put, &txn.remove);
        ok(&json!({ "rev": self.rev }))
    }
}

fn ok(value: &Value) -> Response {
    http::json(StatusCode::OK, value)
}

/// Sends no response until the client gives up.
async fn no_response() -> Response {
    std::future::pending().await
}

/// Returns the decoded parameters of a request's query.
fn query(request: &Request) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| {
            let value = percent_decode_str(value).decode_utf8_lossy();
            (name.to_owned(), value.into_owned())
        })
        .collect()
}

impl Handler for Store {
    async fn handle(&self, request: Request) -> Response {
        let mode = {
            let mut state = lock(&self.0);
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Unresponsive => return no_response().await,
            Mode::Unavailable => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return http::text(status, "nothing was done");
            }
            Mode::Slow(time) => tokio::time::sleep(time).await,
            _ => tokio::time::sleep(RESPONSE_TIME).await,
        }
        let path = request.uri().path().to_owned();
        let query = query(&request);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse().unwrap_or(0);
        match (request.method().clone(), &*path) {
            (Method::GET, "/api/kv-key") => self.key(&text("tlsKey")),
            (Method::GET, "/api/kv-range") => {
                self.range(&text("pathPrefix"), &text("dependsOn"))
            }
            (Method::GET, "/api/kv-watch") => {
                let wait = Duration::from_millis(number("waitMs"));
                let prefix = text("pathPrefix");
                self.watch(&prefix, number("dependsOn"), wait).await
            }
            (Method::POST, "/api/kv-txn") => self.txn(request, mode).await,
            (Method::POST, "/api/kv-lease") => self.grant_lease(request).await,
            (method, path) => self.renew_or_end_lease(&method, path),
        }
    }
}

impl Store {
    fn key(&self, key: &str) -> Response {
        let mut state = lock(&self.0);
        state.expire_leases();
        match state.rows.get(key) {
            Some(row) => {
                let mut value = json!(row);
                value["at"] = json!(state.rev);
                ok(&value)
            }
            None => http::text(StatusCode::NOT_FOUND, "no such key"),
        }
    }

    /// Returns a page of the rows whose keys start with `prefix` and follow
    /// the key `after`.
    fn range(&self, prefix: &str, after: &str) -> Response {
        let mut state = lock(&self.0);
        state.expire_leases();
        let rows = state.rows.range(after.to_owned()..);
        let rows = rows.map(|(_, row)| row);
        let mut rows =
            rows.filter(|row| row.key.starts_with(prefix) && row.key != after);
        let items: Vec<&Row> = rows.by_ref().take(500).collect();
        let more = rows.next().is_some();
        ok(&json!({"items": items, "more": more, "at": state.rev}))
    }

    /// Returns the events below a prefix that follow the revision `after`, as
    /// soon as there are any or once `wait` is over.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Response {
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut state = lock(&self.0);
                state.expire_leases();
                if after < state.discarded_rev {
                    return http::text(StatusCode::GONE, "forgotten");
                }
                let new_events = state.events.iter().filter(|event| {
                    event.rev() > after && event.key().starts_with(prefix)
                });
                let events: Vec<Value> = new_events.map(Event::json).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return ok(&json!({"events": events, "at": state.rev}));
                }
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    async fn txn(&self, request: Request, mode: Mode) -> Response {
        let txn: Txn = match parse_body(request).await {
            Ok(txn) => txn,
            Err(response) => return response,
        };
        let is_affected = |share| lock(&self.0).random.f64() < share;
        match mode {
            Mode::LosesReplies(share) if is_affected(share) => {
                drop(lock(&self.0).txn(&txn));
                no_response().await
            }
            Mode::DelaysWrites(share) if is_affected(share) => {
                let store = self.clone();
                let ms = lock(&self.0).random.u64(500..4000);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    drop(lock(&store.0).txn(&txn));
                });
                no_response().await
            }
            _ => lock(&self.0).txn(&txn),
        }
    }

    async fn grant_lease(&self, request: Request) -> Response {
        #[derive(Deserialize)]
        struct LeaseRequest {
            ttl_ms: u64,
        }
        let lease_request: LeaseRequest = match parse_body(request).await {
            Ok(lease_request) => lease_request,
            Err(response) => return response,
        };
        let mut state = lock(&self.0);
        state.rev += 1;
        let lease = state.rev;
        let ttl = Duration::from_millis(lease_request.ttl_ms);
        let expires_at = Instant::now() + ttl;
        state.leases.insert(lease, Lease { ttl, expires_at });
        ok(&json!({"lease": lease, "ttl_ms": lease_request.ttl_ms}))
    }

    /// Renews the lease named by the last segment of the path, or ends the
    /// lease if the method is not POST.
    fn renew_or_end_lease(&self, method: &Method, path: &str) -> Response {
        let mut state = lock(&self.0);
        state.expire_leases();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let id: u64 = id.unwrap_or(0);
        match state.leases.get_mut(&id) {
            Some(lease) if *method == Method::POST => {
                lease.expires_at = Instant::now() + lease.ttl;
                let ttl = lease.ttl.as_millis() as u64;
                ok(&json!({ "ttl_ms": ttl }))
            }
            Some(_) => {
                state.end_lease(id);
                ok(&json!({}))
            }
            None => http::text(StatusCode::NOT_FOUND, "no such lease"),
        }
    }
}

/// Reads and parses the body of a request; the error is the response to a
/// bad request.
async fn parse_body<T: serde::de::DeserializeOwned>(
    request: Request,
) -> Result<T, Response> {
    let bad_request =
        |error: String| http::text(StatusCode::BAD_REQUEST, error);
    let body = http::read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| bad_request(error.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|error| bad_request(error.to_string()))
}

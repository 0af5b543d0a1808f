//! A stand-in of the platform's store, with the faults that it may have.

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

/// How often a waiting watch looks for events.
const LOOK: Duration = Duration::from_millis(5);
/// How long an answer takes on a good day.
const ANSWER: Duration = Duration::from_millis(2);
/// The longest body of a call, in bytes.
const MAX_BODY: usize = 2 << 20;
/// How many events are remembered.
const HISTORY: usize = 20_000;

/// How the store fares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers.
    Good,
    /// It turns every call away: nothing is done.
    Busy,
    /// It says nothing.
    Silent,
    /// Each answer takes so long.
    Slow(Duration),
    /// This share of the writes is done and not answered.
    Lossy(f64),
    /// This share of the writes is not answered, and done seconds later if
    /// its condition then holds.
    Late(f64),
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    #[serde(rename = "tlsKey")]
    key: String,
    value: String,
    rev: u64,
    made: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Written(Row),
    Gone(String, u64),
}

impl Event {
    fn rev(&self) -> u64 {
        match self {
            Event::Written(row) => row.rev,
            Event::Gone(_, rev) => *rev,
        }
    }

    fn key(&self) -> &str {
        match self {
            Event::Written(row) => &row.key,
            Event::Gone(key, _) => key,
        }
    }

    fn json(&self) -> Value {
        match self {
            Event::Written(row) => json!(row),
            Event::Gone(key, rev) => {
                json!({"tlsKey": key, "rev": rev, "gone": true})
            }
        }
    }
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct Data {
    mode: Mode,
    random: fastrand::Rng,
    rev: u64,
    rows: BTreeMap<String, Row>,
    leases: HashMap<u64, Lease>,
    events: Vec<Event>,
    /// Up to this revision the history is forgotten.
    forgotten: u64,
    calls: u64,
}

/// A transaction as it is sent.
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

/// The store.
#[derive(Clone)]
pub struct Store(Arc<Mutex<Data>>);

impl Store {
    /// Returns an empty store whose faults are drawn by a seed.
    pub fn new(seed: u64) -> Store {
        Store(Arc::new(Mutex::new(Data {
            mode: Mode::Good,
            random: fastrand::Rng::with_seed(seed),
            rev: 1,
            rows: BTreeMap::new(),
            leases: HashMap::new(),
            events: Vec::new(),
            forgotten: 0,
            calls: 0,
        })))
    }

    /// Sets how the store fares from now on.
    pub fn set(&self, mode: Mode) {
        lock(&self.0).mode = mode;
    }

    /// Forgets the history.
    pub fn discard_history(&self) {
        let mut data = lock(&self.0);
        data.forgotten = data.rev;
        data.events.clear();
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u64 {
        lock(&self.0).calls
    }

    /// Writes as operators do: whatever the mode, and under any key; returns
    /// the revision.
    pub fn write(&self, key: &str, value: String) -> u64 {
        let put = Put {
            key: key.to_owned(),
            value,
            lease: 0,
        };
        let mut data = lock(&self.0);
        data.apply(&[put], &[]);
        data.rev
    }
}

impl Data {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
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

    fn apply(&mut self, puts: &[Put], removed: &[String]) {
        self.rev += 1;
        let rev = self.rev;
        for put in puts {
            let made = self.rows.get(&put.key).map_or(rev, |row| row.made);
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                rev,
                made,
                lease: put.lease,
            };
            self.rows.insert(put.key.clone(), row.clone());
            self.events.push(Event::Written(row));
        }
        for key in removed {
            if self.rows.remove(key).is_some() {
                self.events.push(Event::Gone(key.clone(), rev));
            }
        }
        let more = self.events.len().saturating_sub(HISTORY);
        for event in self.events.drain(..more) {
            self.forgotten = self.forgotten.max(event.rev());
        }
    }

    fn txn(&mut self, txn: &Txn) -> Response {
        self.expire();
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
        let leased =
            |put: &Put| put.lease == 0 || self.leases.contains_key(&put.lease);
        if !txn.put.iter().all(leased) {
            return http::text(StatusCode::NOT_FOUND, "no such lease");
        }
        self.apply(&txn.put, &txn.remove);
        ok(&json!({ "rev": self.rev }))
    }
}

fn ok(value: &Value) -> Response {
    http::json(StatusCode::OK, value)
}

/// Says nothing until the caller gives up.
async fn silence() -> Response {
    std::future::pending().await
}

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
            let mut data = lock(&self.0);
            data.calls += 1;
            data.mode
        };
        match mode {
            Mode::Silent => return silence().await,
            Mode::Busy => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return http::text(status, "nothing was done");
            }
            Mode::Slow(time) => tokio::time::sleep(time).await,
            _ => tokio::time::sleep(ANSWER).await,
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
            (Method::POST, "/api/kv-lease") => self.lease(request).await,
            (method, path) => self.keep(&method, path),
        }
    }
}

impl Store {
    fn key(&self, key: &str) -> Response {
        let mut data = lock(&self.0);
        data.expire();
        match data.rows.get(key) {
            Some(row) => {
                let mut value = json!(row);
                value["at"] = json!(data.rev);
                ok(&value)
            }
            None => http::text(StatusCode::NOT_FOUND, "no such key"),
        }
    }

    fn range(&self, prefix: &str, from: &str) -> Response {
        let mut data = lock(&self.0);
        data.expire();
        let rows = data.rows.range(from.to_owned()..);
        let rows = rows.map(|(_, row)| row);
        let mut rows =
            rows.filter(|row| row.key.starts_with(prefix) && row.key != from);
        let items: Vec<&Row> = rows.by_ref().take(500).collect();
        let more = rows.next().is_some();
        ok(&json!({"items": items, "more": more, "at": data.rev}))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Response {
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut data = lock(&self.0);
                data.expire();
                if after < data.forgotten {
                    return http::text(StatusCode::GONE, "forgotten");
                }
                let news = data.events.iter().filter(|event| {
                    event.rev() > after && event.key().starts_with(prefix)
                });
                let events: Vec<Value> = news.map(Event::json).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return ok(&json!({"events": events, "at": data.rev}));
                }
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn txn(&self, request: Request, mode: Mode) -> Response {
        let txn: Txn = match body(request).await {
            Ok(txn) => txn,
            Err(response) => return response,
        };
        let lost = |share| lock(&self.0).random.f64() < share;
        match mode {
            Mode::Lossy(share) if lost(share) => {
                drop(lock(&self.0).txn(&txn));
                silence().await
            }
            Mode::Late(share) if lost(share) => {
                let store = self.clone();
                let ms = lock(&self.0).random.u64(500..4000);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    drop(lock(&store.0).txn(&txn));
                });
                silence().await
            }
            _ => lock(&self.0).txn(&txn),
        }
    }

    async fn lease(&self, request: Request) -> Response {
        #[derive(Deserialize)]
        struct Wanted {
            ttl_ms: u64,
        }
        let wanted: Wanted = match body(request).await {
            Ok(wanted) => wanted,
            Err(response) => return response,
        };
        let mut data = lock(&self.0);
        data.rev += 1;
        let lease = data.rev;
        let ttl = Duration::from_millis(wanted.ttl_ms);
        let until = Instant::now() + ttl;
        data.leases.insert(lease, Lease { ttl, until });
        ok(&json!({"lease": lease, "ttl_ms": wanted.ttl_ms}))
    }

    fn keep(&self, method: &Method, path: &str) -> Response {
        let mut data = lock(&self.0);
        data.expire();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let id: u64 = id.unwrap_or(0);
        match data.leases.get_mut(&id) {
            Some(lease) if *method == Method::POST => {
                lease.until = Instant::now() + lease.ttl;
                let ttl = lease.ttl.as_millis() as u64;
                ok(&json!({ "ttl_ms": ttl }))
            }
            Some(_) => {
                data.end(id);
                ok(&json!({}))
            }
            None => http::text(StatusCode::NOT_FOUND, "no such lease"),
        }
    }
}

async fn body<T: serde::de::DeserializeOwned>(
    request: Request,
) -> Result<T, Response> {
    let wrong = |error: String| http::text(StatusCode::BAD_REQUEST, error);
    let body = http::read(request, MAX_BODY).await;
    let body = body.map_err(|error| wrong(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| wrong(error.to_string()))
}

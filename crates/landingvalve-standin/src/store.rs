//! A store with compare-and-swap, leases and watches, and faults on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::StatusCode;
use landingvalve::http;
use landingvalve::store::api;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::Stream;

/// The largest value that clients may store, in bytes. Request bodies are
/// limited to four times as much.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// How often the store checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The faults of the store; the default is a store without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether every call fails; when set, open watches are closed as well.
    pub down: bool,
    /// An extra delay before each call is processed.
    pub delay: Duration,
    /// The number of transactions to come that succeed but whose reply is
    /// replaced by a gateway timeout.
    pub lost_replies: u32,
}

/// The numbers of calls that the store received.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// Calls by path.
    pub by_path: BTreeMap<String, u64>,
    /// Calls of all paths, by whole seconds since the store started.
    pub by_second: BTreeMap<u64, u64>,
}

#[derive(Default)]
struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, api::KeyValue>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    history: Vec<(i64, api::WatchEvent)>,
    watches: Vec<Watch>,
    fault: Fault,
    calls: Calls,
}

struct Lease {
    ttl: i64,
    deadline: Instant,
}

struct Watch {
    key: Vec<u8>,
    end: Vec<u8>,
    chunks: mpsc::UnboundedSender<Bytes>,
}

struct Service {
    state: Mutex<State>,
    started: Instant,
}

/// A running store.
pub struct Store {
    service: Arc<Service>,
    server: http::Server,
    lease_expiry: JoinHandle<()>,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port is available.
    pub async fn start() -> std::io::Result<Store> {
        let service = Arc::new(Service {
            state: Mutex::default(),
            started: Instant::now(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, service.clone()).await?;
        let lease_expiry = tokio::spawn(run_lease_expiry(service.clone()));
        Ok(Store {
            service,
            server,
            lease_expiry,
        })
    }

    /// Returns the URL of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Replaces the faults of the store.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.service.lock();
        state.fault = fault;
        if fault.down {
            state.watches.clear();
        }
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.service.lock().calls.clone()
    }

    /// Returns the keys that start with `prefix`, each with its value.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.service.lock();
        state
            .keys
            .range(prefix.as_bytes().to_vec()..)
            .take_while(|(key, _)| key.starts_with(prefix.as_bytes()))
            .map(|(key, kv)| {
                let key = String::from_utf8_lossy(key).into_owned();
                (key, kv.value.clone())
            })
            .collect()
    }

    /// Ends every lease at once, which simulates holders that were paused for
    /// longer than the leases' time to live.
    pub fn expire_leases(&self) {
        let mut state = self.service.lock();
        let ids: Vec<i64> = state.leases.keys().copied().collect();
        for id in ids {
            state.end_lease(id);
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends expired leases, forever.
async fn run_lease_expiry(service: Arc<Service>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = Instant::now();
        let mut state = service.lock();
        let expired: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            state.end_lease(id);
        }
    }
}

impl http::Handler for Service {
    async fn handle(&self, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let fault = self.count_call(&path);
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        if fault.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return http::text(status, "the store is down");
        }
        let Ok(body) = http::read_body(request, 4 * MAX_VALUE_BYTES).await
        else {
            return http::text(StatusCode::PAYLOAD_TOO_LARGE, "too large");
        };
        match &*path {
            "/v3/kv/range" => reply(&body, |r| self.lock().range(&r)),
            "/v3/kv/txn" => self.txn(&body),
            "/v3/lease/grant" => reply(&body, |r| self.lock().grant(&r)),
            "/v3/lease/keepalive" => {
                reply(&body, |r| self.lock().keep_alive(&r))
            }
            "/v3/lease/revoke" => reply(&body, |r: api::LeaseRequest| {
                self.lock().end_lease(r.id);
                api::PutResponse::default()
            }),
            "/v3/watch" => self.watch(&body),
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Parses a request, processes it with `process`, and returns the reply.
fn reply<Q: DeserializeOwned, A: serde::Serialize>(
    body: &[u8],
    process: impl FnOnce(Q) -> A,
) -> http::Response {
    match serde_json::from_slice(body) {
        Ok(request) => http::json(StatusCode::OK, &process(request)),
        Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

impl Service {
    /// Counts a call and returns the faults at that time.
    fn count_call(&self, path: &str) -> Fault {
        let second = self.started.elapsed().as_secs();
        let mut state = self.lock();
        *state.calls.by_path.entry(path.to_owned()).or_default() += 1;
        *state.calls.by_second.entry(second).or_default() += 1;
        state.fault
    }

    fn txn(&self, body: &[u8]) -> http::Response {
        let request: api::TxnRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return http::text(status, error.to_string());
            }
        };
        let mut state = self.lock();
        let response = state.txn(&request);
        if response.succeeded && state.fault.lost_replies > 0 {
            state.fault.lost_replies -= 1;
            let status = StatusCode::GATEWAY_TIMEOUT;
            return http::text(status, "the reply is lost");
        }
        http::json(StatusCode::OK, &response)
    }

    fn watch(&self, body: &[u8]) -> http::Response {
        let request: api::WatchRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return http::text(status, error.to_string());
            }
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let create = request.create_request;
        let created = api::WatchResponse {
            header: state.header(),
            created: true,
            ..Default::default()
        };
        let _ = sender.send(line(created));
        let missed: Vec<api::WatchEvent> = state
            .history
            .iter()
            .filter(|(revision, _)| *revision >= create.start_revision.max(1))
            .filter(|_| create.start_revision > 0)
            .map(|(_, event)| event.clone())
            .filter(|event| {
                in_range(&event.kv.key, &create.key, &create.range_end)
            })
            .collect();
        if !missed.is_empty() {
            let _ = sender.send(line(api::WatchResponse {
                header: state.header(),
                events: missed,
                ..Default::default()
            }));
        }
        state.watches.push(Watch {
            key: create.key,
            end: create.range_end,
            chunks: sender,
        });
        http::Response::new(Stream { chunks: receiver }.boxed_unsync())
    }
}

/// Returns a message of a watch as one line of JSON.
fn line(result: api::WatchResponse) -> Bytes {
    let line = api::WatchLine { result };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes.into()
}

/// Returns whether a key is in the range from `first` to `end` exclusive; an
/// empty `end` means the single key `first`.
fn in_range(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    match end.is_empty() {
        true => key == first,
        false => key >= first && key < end,
    }
}

impl State {
    fn header(&self) -> api::Header {
        api::Header {
            revision: self.revision,
        }
    }

    fn range(&self, request: &api::RangeRequest) -> api::RangeResponse {
        let end = match request.range_end.is_empty() {
            true => {
                let mut end = request.key.clone();
                end.push(0);
                end
            }
            false => request.range_end.clone(),
        };
        let mut kvs: Vec<api::KeyValue> = match request.key < end {
            true => self
                .keys
                .range(request.key.clone()..end)
                .map(|(_, kv)| kv)
                .filter(|kv| kv.mod_revision >= request.min_mod_revision)
                .cloned()
                .collect(),
            false => Vec::new(),
        };
        let limit = match request.limit {
            0 => kvs.len(),
            limit => limit as usize,
        };
        let more = kvs.len() > limit;
        kvs.truncate(limit);
        api::RangeResponse {
            header: self.header(),
            kvs,
            more,
        }
    }

    /// Returns whether a condition of a transaction holds.
    fn holds(&self, compare: &api::Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let (actual, expected) = match compare.target {
            api::Target::Version => (kv.map(|kv| kv.version), compare.version),
            api::Target::Create => {
                (kv.map(|kv| kv.create_revision), compare.create_revision)
            }
            api::Target::Mod => {
                (kv.map(|kv| kv.mod_revision), compare.mod_revision)
            }
        };
        let actual = actual.unwrap_or(0);
        match compare.result {
            api::Relation::Equal => actual == expected,
            api::Relation::Greater => actual > expected,
            api::Relation::Less => actual < expected,
        }
    }

    fn txn(&mut self, request: &api::TxnRequest) -> api::TxnResponse {
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let operations = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        let writes = operations
            .iter()
            .any(|operation| !matches!(operation, api::RequestOp::Range(_)));
        if writes {
            self.revision += 1;
        }
        let mut events = Vec::new();
        let responses = operations
            .iter()
            .map(|operation| self.apply(operation, &mut events))
            .collect();
        self.publish(events);
        api::TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    /// Applies one operation of a transaction at the present revision, and
    /// adds the event of a change to `events`.
    fn apply(
        &mut self,
        operation: &api::RequestOp,
        events: &mut Vec<api::WatchEvent>,
    ) -> api::ResponseOp {
        match operation {
            api::RequestOp::Range(range) => {
                api::ResponseOp::Range(self.range(range))
            }
            api::RequestOp::Put(put) => {
                events.push(self.put(put));
                api::ResponseOp::Put(api::PutResponse {
                    header: self.header(),
                })
            }
            api::RequestOp::DeleteRange(delete) => {
                let existed = self.keys.remove(&delete.key).is_some();
                if existed {
                    events.push(self.deletion(delete.key.clone()));
                }
                api::ResponseOp::DeleteRange(api::DeleteRangeResponse {
                    header: self.header(),
                    deleted: i64::from(existed),
                })
            }
        }
    }

    fn put(&mut self, put: &api::PutRequest) -> api::WatchEvent {
        let old = self.keys.get(&put.key);
        let kv = api::KeyValue {
            key: put.key.clone(),
            create_revision: old
                .map_or(self.revision, |old| old.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |old| old.version + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        api::WatchEvent {
            kind: api::WatchKind::Put,
            kv,
        }
    }

    fn deletion(&self, key: Vec<u8>) -> api::WatchEvent {
        api::WatchEvent {
            kind: api::WatchKind::Delete,
            kv: api::KeyValue {
                key,
                mod_revision: self.revision,
                ..Default::default()
            },
        }
    }

    fn grant(
        &mut self,
        request: &api::LeaseGrantRequest,
    ) -> api::LeaseGrantResponse {
        self.last_lease += 1;
        let id = self.last_lease;
        self.leases.insert(
            id,
            Lease {
                ttl: request.ttl,
                deadline: deadline(request.ttl),
            },
        );
        api::LeaseGrantResponse {
            header: self.header(),
            id,
            ttl: request.ttl,
        }
    }

    fn keep_alive(
        &mut self,
        request: &api::LeaseRequest,
    ) -> api::LeaseKeepAlive {
        let ttl = match self.leases.get_mut(&request.id) {
            Some(lease) => {
                lease.deadline = deadline(lease.ttl);
                lease.ttl
            }
            None => 0,
        };
        api::LeaseKeepAlive {
            result: api::LeaseGrantResponse {
                header: self.header(),
                id: request.id,
                ttl,
            },
        }
    }

    /// Ends a lease and deletes its keys, all at one revision.
    fn end_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<Vec<u8>> = self
            .keys
            .values()
            .filter(|kv| kv.lease == id)
            .map(|kv| kv.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        let mut events = Vec::new();
        for key in keys {
            self.keys.remove(&key);
            events.push(self.deletion(key));
        }
        self.publish(events);
    }

    /// Adds events of the present revision to the history and sends them to
    /// the watches of their keys.
    fn publish(&mut self, events: Vec<api::WatchEvent>) {
        let revision = self.revision;
        let header = self.header();
        self.history
            .extend(events.iter().map(|e| (revision, e.clone())));
        self.watches.retain(|watch| {
            let events: Vec<api::WatchEvent> = events
                .iter()
                .filter(|event| {
                    in_range(&event.kv.key, &watch.key, &watch.end)
                })
                .cloned()
                .collect();
            if events.is_empty() {
                return !watch.chunks.is_closed();
            }
            let response = api::WatchResponse {
                header: header.clone(),
                events,
                ..Default::default()
            };
            watch.chunks.send(line(response)).is_ok()
        });
    }
}

/// Returns when a lease of `ttl` seconds, at least one, expires if it is not
/// renewed.
fn deadline(ttl: i64) -> Instant {
    Instant::now() + Duration::from_secs(ttl.max(1) as u64)
}

//! The store: compare-and-swap, leases and watches, with faults on demand.

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

use crate::body::Lines;

/// The largest value that the store holds.
const MAX_VALUE: usize = 1 << 20;
/// How often lapsed leases are looked for.
const LEASE_TICK: Duration = Duration::from_millis(50);

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// It answers nothing but an error, and breaks its watches.
    pub down: bool,
    /// It takes this much longer over each answer.
    pub delay: Duration,
    /// It loses the answers of so many writes that took effect.
    pub lost_replies: u32,
}

/// Calls that the store has had.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// By path.
    pub by_path: BTreeMap<String, u64>,
    /// All calls, by whole seconds since the store started.
    pub by_second: BTreeMap<u64, u64>,
}

#[derive(Default)]
struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, api::KeyValue>,
    leases: BTreeMap<i64, Lease>,
    granted: i64,
    log: Vec<(i64, api::WatchEvent)>,
    watches: Vec<Watcher>,
    fault: Fault,
    calls: Calls,
}

struct Lease {
    ttl: i64,
    deadline: Instant,
}

struct Watcher {
    key: Vec<u8>,
    end: Vec<u8>,
    to: mpsc::UnboundedSender<Bytes>,
}

struct Shared {
    data: Mutex<Data>,
    started: Instant,
}

/// A store that listens.
pub struct Store {
    shared: Arc<Shared>,
    server: http::Server,
    leases: JoinHandle<()>,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start() -> std::io::Result<Store> {
        let shared = Arc::new(Shared {
            data: Mutex::default(),
            started: Instant::now(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, shared.clone()).await?;
        let leases = tokio::spawn(lapse(shared.clone()));
        Ok(Store {
            shared,
            server,
            leases,
        })
    }

    /// Returns where the store listens.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Sets what is wrong with the store from now on.
    pub fn set_fault(&self, fault: Fault) {
        let mut data = self.shared.lock();
        data.fault = fault;
        if fault.down {
            data.watches.clear();
        }
    }

    /// Returns the calls that the store has had.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls.clone()
    }

    /// Returns the values of all keys that start with `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let data = self.shared.lock();
        data.keys
            .range(prefix.as_bytes().to_vec()..)
            .take_while(|(key, _)| key.starts_with(prefix.as_bytes()))
            .map(|(key, kv)| {
                let key = String::from_utf8_lossy(key).into_owned();
                (key, kv.value.clone())
            })
            .collect()
    }

    /// Ends every lease at once, as if each holder had been paused.
    pub fn expire_leases(&self) {
        let mut data = self.shared.lock();
        let ids: Vec<i64> = data.leases.keys().copied().collect();
        for id in ids {
            data.end_lease(id);
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.leases.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn lapse(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_TICK).await;
        let now = Instant::now();
        let mut data = shared.lock();
        let lapsed: Vec<i64> = data
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            data.end_lease(id);
        }
    }
}

impl http::Handler for Shared {
    async fn handle(&self, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let fault = self.count(&path);
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        if fault.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return http::text(status, "the store is down");
        }
        let Ok(body) = http::read(request, 4 * MAX_VALUE).await else {
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

fn reply<Q: DeserializeOwned, A: serde::Serialize>(
    body: &[u8],
    answer: impl FnOnce(Q) -> A,
) -> http::Response {
    match serde_json::from_slice(body) {
        Ok(request) => http::json(StatusCode::OK, &answer(request)),
        Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

impl Shared {
    fn count(&self, path: &str) -> Fault {
        let second = self.started.elapsed().as_secs();
        let mut data = self.lock();
        *data.calls.by_path.entry(path.to_owned()).or_default() += 1;
        *data.calls.by_second.entry(second).or_default() += 1;
        data.fault
    }

    fn txn(&self, body: &[u8]) -> http::Response {
        let request: api::TxnRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return http::text(status, error.to_string());
            }
        };
        let mut data = self.lock();
        let answer = data.txn(&request);
        if answer.succeeded && data.fault.lost_replies > 0 {
            data.fault.lost_replies -= 1;
            let status = StatusCode::GATEWAY_TIMEOUT;
            return http::text(status, "the answer is lost");
        }
        http::json(StatusCode::OK, &answer)
    }

    fn watch(&self, body: &[u8]) -> http::Response {
        let request: api::WatchRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                return http::text(status, error.to_string());
            }
        };
        let (to, from) = mpsc::unbounded_channel();
        let mut data = self.lock();
        let create = request.create_request;
        let created = api::WatchResponse {
            header: data.header(),
            created: true,
            ..Default::default()
        };
        let _ = to.send(line(created));
        let missed: Vec<api::WatchEvent> = data
            .log
            .iter()
            .filter(|(at, _)| *at >= create.start_revision.max(1))
            .filter(|_| create.start_revision > 0)
            .map(|(_, event)| event.clone())
            .filter(|event| {
                within(&event.kv.key, &create.key, &create.range_end)
            })
            .collect();
        if !missed.is_empty() {
            let _ = to.send(line(api::WatchResponse {
                header: data.header(),
                events: missed,
                ..Default::default()
            }));
        }
        data.watches.push(Watcher {
            key: create.key,
            end: create.range_end,
            to,
        });
        http::Response::new(Lines { from }.boxed_unsync())
    }
}

fn line(result: api::WatchResponse) -> Bytes {
    let line = api::WatchLine { result };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes.into()
}

fn within(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    match end.is_empty() {
        true => key == first,
        false => key >= first && key < end,
    }
}

impl Data {
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

    fn holds(&self, compare: &api::Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let (actual, wanted) = match compare.target {
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
            api::Relation::Equal => actual == wanted,
            api::Relation::Greater => actual > wanted,
            api::Relation::Less => actual < wanted,
        }
    }

    fn txn(&mut self, request: &api::TxnRequest) -> api::TxnResponse {
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let steps = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        let writes = steps
            .iter()
            .any(|step| !matches!(step, api::RequestOp::Range(_)));
        if writes {
            self.revision += 1;
        }
        let mut events = Vec::new();
        let responses = steps
            .iter()
            .map(|step| self.step(step, &mut events))
            .collect();
        self.publish(events);
        api::TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn step(
        &mut self,
        step: &api::RequestOp,
        events: &mut Vec<api::WatchEvent>,
    ) -> api::ResponseOp {
        match step {
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
                let gone = self.keys.remove(&delete.key).is_some();
                if gone {
                    events.push(self.deletion(delete.key.clone()));
                }
                api::ResponseOp::DeleteRange(api::DeleteRangeResponse {
                    header: self.header(),
                    deleted: i64::from(gone),
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
        self.granted += 1;
        let id = self.granted;
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

    fn publish(&mut self, events: Vec<api::WatchEvent>) {
        let revision = self.revision;
        let header = self.header();
        self.log
            .extend(events.iter().map(|e| (revision, e.clone())));
        self.watches.retain(|watcher| {
            let events: Vec<api::WatchEvent> = events
                .iter()
                .filter(|event| {
                    within(&event.kv.key, &watcher.key, &watcher.end)
                })
                .cloned()
                .collect();
            if events.is_empty() {
                return !watcher.to.is_closed();
            }
            let response = api::WatchResponse {
                header: header.clone(),
                events,
                ..Default::default()
            };
            watcher.to.send(line(response)).is_ok()
        });
    }
}

fn deadline(ttl: i64) -> Instant {
    Instant::now() + Duration::from_secs(ttl.max(1) as u64)
}

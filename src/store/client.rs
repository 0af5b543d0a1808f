//! A client of the JSON gateway of an etcd v3 store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use opentelemetry::KeyValue;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;
use crate::store::api;
use crate::store::Changes;
use crate::store::LeaseId;
use crate::store::Revision;
use crate::telemetry::metrics;

/// The longest time without a byte of the response before a call fails.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of keys that one range request asks for.
const MAX_PAGE_KEYS: i64 = 500;

/// A failed call of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call had no effect: it did not reach the store, or was refused.
    #[error("the store cannot be reached: {0}")]
    Unreached(http::Error),
    /// The response was lost. The call may have taken effect; only a read
    /// can determine whether it did.
    #[error("the response of the store was lost: {0}")]
    Lost(http::Error),
    /// The store does not take the call, and will not if it is repeated: a
    /// value is too large, for instance. The call had no effect.
    #[error("the store does not take the call: {0}")]
    Rejected(http::Error),
    /// The store no longer holds the changes that were asked for, or leaves a
    /// watch of them unanswered while it answers reads. The keys have to be
    /// listed again.
    #[error("the store no longer holds the changes after revision {0}")]
    Forgotten(Revision),
}

impl Error {
    /// Returns whether the store refused the call because of its rate limit.
    pub fn is_throttled(&self) -> bool {
        match self {
            Error::Unreached(http::Error::Unexpected { status, .. }) => {
                *status == StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Error {
        match error {
            http::Error::Unreached { .. } => Error::Unreached(error),
            http::Error::Lost { .. } | http::Error::Unexpected { .. } => {
                Error::Lost(error)
            }
        }
    }
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "api::base64")]
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    pub created: Revision,
    /// The revision of the last write to the key.
    pub modified: Revision,
}

impl From<api::KeyValue> for Item {
    fn from(kv: api::KeyValue) -> Item {
        Item {
            key: String::from_utf8_lossy(&kv.key).into_owned(),
            value: kv.value,
            created: kv.create_revision,
            modified: kv.mod_revision,
        }
    }
}

/// Keys with a common prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision at the start of the read. A watch from the next
    /// revision on misses no change.
    pub revision: Revision,
    /// The keys.
    pub items: Vec<Item>,
}

/// A condition of a conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Compare {
    /// The key was created at this revision; 0 if it must not exist.
    Created(String, Revision),
    /// The key was last written at this revision; 0 if it must not exist.
    Modified(String, Revision),
}

/// A write to one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Mutation {
    /// Writes a value and attaches the key to a lease, 0 for none.
    Value(String, #[serde(with = "api::base64")] Vec<u8>, LeaseId),
    /// Deletes a key.
    Delete(String),
}

impl Mutation {
    /// Returns the written key.
    pub fn key(&self) -> &str {
        match self {
            Mutation::Value(key, ..) | Mutation::Delete(key) => key,
        }
    }

    /// Returns the size of key and value in bytes.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Mutation::Value(key, value, _) => key.len() + value.len(),
            Mutation::Delete(key) => key.len(),
        }
    }
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Swap {
    /// All conditions held, and all writes took effect at this revision.
    Written(Revision),
    /// A condition failed and nothing was written. Holds the present state
    /// of those keys of the conditions that exist.
    Refused(Vec<Item>),
}

/// A change to one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was deleted at this revision.
    Deleted(String, Revision),
}

/// A client of the store.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    url: String,
    calls: Arc<AtomicU64>,
}

impl Client {
    /// Returns a client of the store at `url`.
    pub fn new(http: http::Client, url: impl Into<String>) -> Client {
        Client {
            http,
            url: url.into(),
            calls: Arc::default(),
        }
    }

    /// Returns the number of calls made by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key. Returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Ok(self.read(key).await?.map(Item::from))
    }

    async fn read(&self, key: &str) -> Result<Option<api::KeyValue>, Error> {
        let request = api::RangeRequest {
            key: key.into(),
            ..Default::default()
        };
        let range: api::RangeResponse =
            self.post("/v3/kv/range", &request).await?;
        Ok(range.kvs.into_iter().next())
    }

    /// Lists the keys that start with `prefix` and were last written at or
    /// after revision `since`.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn list(
        &self,
        prefix: &str,
        since: Revision,
    ) -> Result<Listing, Error> {
        let mut listing = Listing::default();
        let mut key = prefix.as_bytes().to_vec();
        loop {
            let request = api::RangeRequest {
                key: key.clone(),
                range_end: prefix_end(prefix),
                limit: MAX_PAGE_KEYS,
                min_mod_revision: since,
            };
            let page: api::RangeResponse =
                self.post("/v3/kv/range", &request).await?;
            // Later pages may hold later changes. The revision of the first
            // page is kept, so that a watch from there on misses none.
            if listing.revision == 0 {
                listing.revision = page.header.revision;
            }
            if let Some(last) = page.kvs.last() {
                key = last.key.clone();
                key.push(0);
            }
            listing.items.extend(page.kvs.into_iter().map(Item::from));
            if !page.more {
                return Ok(listing);
            }
        }
    }

    /// Performs all of `mutations` atomically if all of `conditions` hold.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let request = api::TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: mutations.into_iter().map(request_op).collect(),
            failure: conditions.iter().map(read_key).collect(),
        };
        let txn: api::TxnResponse = self.post("/v3/kv/txn", &request).await?;
        if txn.succeeded {
            return Ok(Swap::Written(txn.header.revision));
        }
        let items = txn.responses.into_iter().flat_map(|op| match op {
            api::ResponseOp::Range(range) => range.kvs,
            _ => Vec::new(),
        });
        Ok(Swap::Refused(items.map(Item::from).collect()))
    }

    /// Grants a lease for `ttl`, rounded down to whole seconds, at least 1.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let request = api::LeaseGrantRequest {
            ttl: ttl.as_secs().max(1) as i64,
            id: 0,
        };
        let lease: api::LeaseGrantResponse =
            self.post("/v3/lease/grant", &request).await?;
        Ok(lease.id)
    }

    /// Renews a lease. Returns `false` if the lease has expired.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        let request = api::LeaseRequest { id: lease };
        let response: api::LeaseKeepAlive =
            self.post("/v3/lease/keepalive", &request).await?;
        Ok(response.result.ttl > 0)
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let request = api::LeaseRequest { id: lease };
        let _: serde_json::Value =
            self.post("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches the keys that start with `prefix` for changes at revision
    /// `from` or later.
    ///
    /// # Errors
    ///
    /// If the store cannot be reached or its response is lost.
    pub async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<Watch, Error> {
        let request = api::WatchRequest {
            create_request: api::WatchCreate {
                key: prefix.into(),
                range_end: prefix_end(prefix),
                start_revision: from,
            },
        };
        self.count_call("/v3/watch");
        let url = format!("{}/v3/watch", self.url);
        let deadline = Instant::now() + IDLE_TIMEOUT;
        let stream = self.http.stream(&url, &request, deadline).await?;
        Ok(Watch { stream })
    }

    fn count_call(&self, path: &'static str) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let label = KeyValue::new("path", path);
        metrics::get().store_calls.add(1, &[label]);
    }

    async fn post<A: serde::de::DeserializeOwned>(
        &self,
        path: &'static str,
        request: &impl serde::Serialize,
    ) -> Result<A, Error> {
        self.count_call(path);
        let url = format!("{}{path}", self.url);
        Ok(self
            .http
            .post_with_idle_timeout(&url, request, IDLE_TIMEOUT)
            .await?)
    }
}

impl crate::store::Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Client::get(self, key).await
    }

    async fn is_unleased(&self, key: &str) -> Result<Option<bool>, Error> {
        Ok(self.read(key).await?.map(|kv| kv.lease == 0))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        Client::list(self, prefix, 0).await
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        Client::swap(self, conditions, mutations).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        Client::grant(self, ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        Client::keep_alive(self, lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        Client::revoke(self, lease).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let none = Changes {
            revision: after,
            changes: Vec::new(),
        };
        let mut watch = self.watch(prefix, after + 1).await?;
        let deadline = Instant::now() + wait;
        loop {
            let next = tokio::time::timeout_at(deadline, watch.next());
            let changes = match next.await {
                Ok(changes) => changes?,
                Err(_) => return Ok(none),
            };
            let last = changes.iter().map(Change::revision).max();
            if let Some(revision) = last {
                return Ok(Changes { revision, changes });
            }
        }
    }
}

impl Change {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Deleted(key, _) => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(item) => item.modified,
            Change::Deleted(_, revision) => *revision,
        }
    }
}

/// A stream of changes to watched keys.
pub struct Watch {
    stream: http::Stream,
}

impl Watch {
    /// Waits for the next batch of changes. The first batch of a watch is
    /// empty.
    ///
    /// # Errors
    ///
    /// If the watch was interrupted. Changes may have been missed.
    pub async fn next(&mut self) -> Result<Vec<Change>, Error> {
        let line = self.stream.next_line().await?;
        let parsed = line
            .as_deref()
            .and_then(|line| serde_json::from_slice(line).ok());
        let Some(api::WatchLine { result }) = parsed else {
            return Err(Error::Lost(http::Error::Lost {
                url: "/v3/watch".to_owned(),
                reason: "the watch was closed".to_owned(),
            }));
        };
        Ok(result.events.into_iter().map(change).collect())
    }
}

fn change(event: api::WatchEvent) -> Change {
    let item = Item::from(event.kv);
    match event.kind {
        api::WatchKind::Put => Change::Put(item),
        api::WatchKind::Delete => Change::Deleted(item.key, item.modified),
    }
}

fn compare(condition: &Compare) -> api::Compare {
    match condition {
        Compare::Created(key, revision) => api::Compare {
            key: key.as_bytes().to_vec(),
            target: api::Target::Create,
            create_revision: *revision,
            ..Default::default()
        },
        Compare::Modified(key, revision) => api::Compare {
            key: key.as_bytes().to_vec(),
            target: api::Target::Mod,
            mod_revision: *revision,
            ..Default::default()
        },
    }
}

fn read_key(condition: &Compare) -> api::RequestOp {
    let (Compare::Created(key, _) | Compare::Modified(key, _)) = condition;
    api::RequestOp::Range(api::RangeRequest {
        key: key.as_bytes().to_vec(),
        ..Default::default()
    })
}

fn request_op(mutation: Mutation) -> api::RequestOp {
    match mutation {
        Mutation::Value(key, value, lease) => {
            api::RequestOp::Put(api::PutRequest {
                key: key.into_bytes(),
                value,
                lease,
            })
        }
        Mutation::Delete(key) => {
            api::RequestOp::DeleteRange(api::DeleteRangeRequest {
                key: key.into_bytes(),
                range_end: Vec::new(),
            })
        }
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

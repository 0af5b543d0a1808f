//! The client of the store.

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

/// How long the store may say nothing to a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How many keys one call asks for.
const MAX_PAGE_KEYS: i64 = 500;

/// A call that the store did not carry out, or may not have.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It has had no effect.
    #[error("the store is not reached: {0}")]
    Unreached(http::Error),
    /// It may have had its effect: only reading back tells.
    #[error("the store's answer is lost: {0}")]
    Lost(http::Error),
    /// The changes asked for are no longer kept: read all anew.
    #[error("the store's history after revision {0} is gone")]
    Forgotten(Revision),
}

impl Error {
    /// Returns whether the call was refused since too many are made.
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
    /// The revision at which it was created.
    pub created: Revision,
    /// The revision of its last change.
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

/// Keys and the revision at which they were read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: Revision,
    /// The keys.
    pub items: Vec<Item>,
}

/// A condition on a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Compare {
    /// It was created at this revision; 0 if it must not be there.
    Created(String, Revision),
    /// It was last changed at this revision; 0 if it must not be there.
    Modified(String, Revision),
}

/// A write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Mutation {
    /// Writes a key that hangs on a lease, 0 for none.
    Value(String, #[serde(with = "api::base64")] Vec<u8>, LeaseId),
    /// Deletes a key.
    Delete(String),
}

impl Mutation {
    /// Returns how many bytes it sends, about.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Mutation::Value(key, value, _) => key.len() + value.len(),
            Mutation::Delete(key) => key.len(),
        }
    }
}

/// The outcome of writes under conditions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Swap {
    /// All conditions held, and all was written at this revision.
    Written(Revision),
    /// A condition did not hold; these are the keys it was about.
    Refused(Vec<Item>),
}

/// A change to a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was deleted, at this revision.
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

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns a key, if it is there.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let request = api::RangeRequest {
            key: key.into(),
            ..Default::default()
        };
        let range: api::RangeResponse =
            self.post("/v3/kv/range", &request).await?;
        Ok(range.kvs.into_iter().next().map(Item::from))
    }

    /// Returns all keys that start with `prefix` and were changed at or
    /// after `since`.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
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
            // is kept, so that a watch from there on misses nothing.
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

    /// Writes `puts` if all of `conditions` hold, all or nothing.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        let request = api::TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: puts.into_iter().map(request_op).collect(),
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

    /// Takes a lease for `ttl`, in whole seconds.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let request = api::LeaseGrantRequest {
            ttl: ttl.as_secs().max(1) as i64,
            id: 0,
        };
        let lease: api::LeaseGrantResponse =
            self.post("/v3/lease/grant", &request).await?;
        Ok(lease.id)
    }

    /// Prolongs a lease; returns whether it was still there.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        let request = api::LeaseRequest { id: lease };
        let answer: api::LeaseKeepAlive =
            self.post("/v3/lease/keepalive", &request).await?;
        Ok(answer.result.ttl > 0)
    }

    /// Gives a lease up, with the keys that hang on it.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let request = api::LeaseRequest { id: lease };
        let _: serde_json::Value =
            self.post("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches the keys that start with `prefix`, from a revision on.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
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
        self.count("/v3/watch");
        let url = format!("{}/v3/watch", self.url);
        let deadline = Instant::now() + IDLE_TIMEOUT;
        let stream = self.http.stream(&url, &request, deadline).await?;
        Ok(Watch { stream })
    }

    fn count(&self, path: &'static str) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let label = KeyValue::new("path", path);
        metrics::get().store_calls.add(1, &[label]);
    }

    async fn post<A: serde::de::DeserializeOwned>(
        &self,
        path: &'static str,
        request: &impl serde::Serialize,
    ) -> Result<A, Error> {
        self.count(path);
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

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        Client::list(self, prefix, 0).await
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        Client::swap(self, conditions, puts).await
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
    /// Returns the key that it is of.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Deleted(key, _) => key,
        }
    }

    /// Returns at which revision it was made.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(item) => item.modified,
            Change::Deleted(_, revision) => *revision,
        }
    }
}

/// A stream of changes.
pub struct Watch {
    stream: http::Stream,
}

impl Watch {
    /// Returns the next changes; none at all if the watch has just begun.
    ///
    /// # Errors
    ///
    /// If the watch has broken: changes may have been missed.
    pub async fn next(&mut self) -> Result<Vec<Change>, Error> {
        let line = self.stream.line().await?;
        let parsed = line
            .as_deref()
            .and_then(|line| serde_json::from_slice(line).ok());
        let Some(api::WatchLine { result }) = parsed else {
            return Err(Error::Lost(http::Error::Lost {
                url: "/v3/watch".to_owned(),
                reason: "the watch has ended".to_owned(),
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

fn request_op(put: Mutation) -> api::RequestOp {
    match put {
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

/// Returns the first key after all that start with `prefix`.
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

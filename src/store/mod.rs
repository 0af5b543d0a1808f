//! The platform's key-value store: conditional writes, leases and watches.
//!
//! [`Store`] is the interface that the rest of the crate needs. [`Client`]
//! implements it over the JSON gateway of the etcd v3 protocol ([`api`]).

pub mod api;
mod client;
pub mod usage;

pub use client::Change;
pub use client::Client;
pub use client::Compare;
pub use client::Error;
pub use client::Item;
pub use client::Listing;
pub use client::Mutation;
pub use client::Swap;
pub use client::Watch;

use std::future::Future;
use std::time::Duration;

/// A key-value store. Each platform's client implements this trait.
///
/// An [`Error::Unreached`] or [`Error::Rejected`] means that the call had no
/// effect. After any other error the call may have taken effect, or may still
/// do so.
///
/// Implementations end a call once the store has sent nothing for some time,
/// but not while a response is arriving. A caller must not put a total limit
/// on a call whose response grows with the data of others: over a narrow
/// link such a call would never succeed.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns whether calls go to the store directly rather than through
    /// another process.
    fn is_direct(&self) -> bool {
        true
    }

    /// Reads a key. Returns `None` if the key does not exist.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Returns whether a key is attached to no lease, so that it stays after
    /// its writer has ended. Returns `None` if the key does not exist or the
    /// store does not tell.
    fn is_unleased(
        &self,
        _key: &str,
    ) -> impl Future<Output = Result<Option<bool>, Error>> + Send {
        std::future::ready(Ok(None))
    }

    /// Lists the keys that start with `prefix`.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Performs all of `mutations` atomically if all of `conditions` hold.
    fn swap(
        &self,
        conditions: &[Compare],
        mutations: Vec<Mutation>,
    ) -> impl Future<Output = Result<Swap, Error>> + Send;

    /// Grants a lease for `ttl`.
    fn grant(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease. Returns `false` if the lease has expired.
    fn keep_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Revokes a lease and deletes the keys attached to it.
    fn revoke(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for changes after revision `after` to the keys that
    /// start with `prefix`. Returns an empty batch if there were none.
    fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;
}

/// Changes, and the revision up to which they are complete.
#[derive(
    Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize,
)]
pub struct Changes {
    /// The revision after which the next call continues.
    pub revision: Revision,
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
}

/// The ID of a lease.
pub type LeaseId = i64;
/// The number of a write transaction, counted over the whole store.
pub type Revision = i64;

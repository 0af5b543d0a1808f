//! The platform's key-value store: compare-and-swap, leases, watches.
//!
//! It is met by the JSON gateway that etcd publishes for its version 3
//! protocol ([`api`]). [`Client`] is the one seam towards it.

pub mod api;
mod client;

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

/// What the product needs of a store; each platform's client offers it.
///
/// An [`Error::Unreached`] says that the call had no effect, any other that
/// it may have had, or may yet have.
///
/// A call ends by itself once the store has been silent for some time, and
/// not while an answer is coming: who puts a limit of its own on a call whose
/// answer others make larger and larger, never gets it over a narrow link.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns whether calls go directly to the store, and not by another
    /// process.
    fn is_direct(&self) -> bool {
        true
    }

    /// Returns a key, if it is there.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Returns all keys that start with `prefix`.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Writes `puts` if all of `conditions` hold, all or nothing.
    fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> impl Future<Output = Result<Swap, Error>> + Send;

    /// Takes a lease for `ttl`.
    fn grant(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Prolongs a lease; returns whether it was still there.
    fn keep_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Gives a lease up, with the keys that hang on it.
    fn revoke(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for changes after a revision to the keys that
    /// start with `prefix`; returns none if there were none.
    fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;
}

/// Changes, and the revision up to which they are whole.
#[derive(
    Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize,
)]
pub struct Changes {
    /// From which revision to go on.
    pub revision: Revision,
    /// The changes, in their order.
    pub changes: Vec<Change>,
}

/// The number of a lease.
pub type LeaseId = i64;
/// The number of a write, counted over the whole store.
pub type Revision = i64;

//! A call of the store, as one process passes it to another.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http;
use crate::store::Changes;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::LeaseId;
use crate::store::Listing;
use crate::store::Put;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Reads a key.
    Get(String),
    /// Reads the keys that start with a prefix.
    List(String),
    /// Writes under conditions.
    Swap(Vec<Compare>, Vec<Put>),
    /// Takes a lease.
    Grant(#[serde(with = "crate::util::duration_ms")] Duration),
    /// Prolongs a lease.
    KeepAlive(LeaseId),
    /// Gives a lease up.
    Revoke(LeaseId),
    /// Waits for changes below a prefix, after a revision.
    Changes(
        String,
        Revision,
        #[serde(with = "crate::util::duration_ms")] Duration,
    ),
}

impl Call {
    /// Returns whether it may be made twice: a lease that is prolonged
    /// twice is as long.
    pub fn is_repeatable(&self) -> bool {
        match self {
            Call::Get(_)
            | Call::List(_)
            | Call::KeepAlive(_)
            | Call::Changes(..) => true,
            Call::Swap(..) | Call::Grant(_) | Call::Revoke(_) => false,
        }
    }

    /// Returns how long the store is asked to wait.
    pub fn wait(&self) -> Duration {
        match self {
            Call::Changes(_, _, wait) => *wait,
            _ => Duration::ZERO,
        }
    }

    /// Returns the word for it in logs.
    pub fn word(&self) -> &'static str {
        match self {
            Call::Get(_) => "get",
            Call::List(_) => "list",
            Call::Swap(..) => "swap",
            Call::Grant(_) => "grant",
            Call::KeepAlive(_) => "keep alive",
            Call::Revoke(_) => "revoke",
            Call::Changes(..) => "changes",
        }
    }
}

/// What the store answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A key, if it is there.
    Item(Option<Item>),
    /// Keys.
    Listing(Listing),
    /// The outcome of writes.
    Swap(Swap),
    /// A new lease.
    Lease(LeaseId),
    /// Whether a lease was still there.
    Kept(bool),
    /// A lease is given up.
    Revoked,
    /// Changes.
    Changes(Changes),
}

/// Returns what an answer holds, or that it is not one to the call made.
macro_rules! extract {
    ($(#[$doc:meta])* $name:ident, $variant:ident, $type:ty) => {
        $(#[$doc])*
        pub(super) fn $name(self) -> Result<$type, Error> {
            match self {
                Answer::$variant(held) => Ok(held),
                _ => Err(unanswered("another process")),
            }
        }
    };
}

impl Answer {
    extract!(item, Item, Option<Item>);
    extract!(listing, Listing, Listing);
    extract!(swap, Swap, Swap);
    extract!(lease, Lease, LeaseId);
    extract!(kept, Kept, bool);
    extract!(changes, Changes, Changes);
}

/// What another process answers that was asked to make a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The store has answered.
    Done(Answer),
    /// The history asked for is gone.
    Forgotten(Revision),
    /// The store has not carried it out.
    NotDone,
    /// The store has not answered: it may have been done, or be done yet.
    Unsure,
    /// It has no direct way to the store either; nothing was done.
    Away,
}

impl From<Result<Answer, Error>> for Reply {
    fn from(result: Result<Answer, Error>) -> Reply {
        match result {
            Ok(answer) => Reply::Done(answer),
            Err(Error::Forgotten(after)) => Reply::Forgotten(after),
            Err(Error::Unreached(_)) => Reply::NotDone,
            Err(Error::Lost(_)) => Reply::Unsure,
        }
    }
}

/// Makes a call.
pub(super) async fn execute(
    store: &impl Store,
    call: Call,
) -> Result<Answer, Error> {
    Ok(match call {
        Call::Get(key) => Answer::Item(store.get(&key).await?),
        Call::List(prefix) => Answer::Listing(store.list(&prefix).await?),
        Call::Swap(conditions, puts) => {
            Answer::Swap(store.swap(&conditions, puts).await?)
        }
        Call::Grant(ttl) => Answer::Lease(store.grant(ttl).await?),
        Call::KeepAlive(lease) => Answer::Kept(store.keep_alive(lease).await?),
        Call::Revoke(lease) => {
            store.revoke(lease).await?;
            Answer::Revoked
        }
        Call::Changes(prefix, after, wait) => {
            Answer::Changes(store.changes(&prefix, after, wait).await?)
        }
    })
}

/// Returns the error of a call that had no answer, or none that fits.
pub(super) fn unanswered(by: &str) -> Error {
    Error::Lost(http::Error::Lost {
        url: by.to_owned(),
        reason: "no answer to the call".to_owned(),
    })
}

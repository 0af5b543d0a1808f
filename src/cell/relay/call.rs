//! Store calls, as one process passes them to another.

use std::time::Duration;

use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http;
use crate::store::Changes;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::LeaseId;
use crate::store::Listing;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// A store call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Reads a key.
    Get(String),
    /// Reads the keys that start with a prefix.
    List(String),
    /// Writes under conditions.
    Swap(Vec<Compare>, Vec<Mutation>),
    /// Requests a lease with the given TTL.
    Grant(#[serde(with = "crate::util::duration_ms")] Duration),
    /// Extends a lease.
    KeepAlive(LeaseId),
    /// Ends a lease.
    Revoke(LeaseId),
    /// Waits for changes below a prefix, after a revision, for the given time.
    Changes(
        String,
        Revision,
        #[serde(with = "crate::util::duration_ms")] Duration,
    ),
}

impl Call {
    /// Returns whether the call may be made twice. Extending a lease twice has
    /// the same effect as once.
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

    /// Returns the revision after which changes are requested, 0 if none are.
    pub fn after(&self) -> Revision {
        match self {
            Call::Changes(_, after, _) => *after,
            _ => 0,
        }
    }

    /// Returns the call with a shorter wait for the store, if its wait is
    /// longer than `limit`.
    pub fn with_wait_at_most(&self, limit: Duration) -> Call {
        match self {
            Call::Changes(prefix, after, wait) => {
                Call::Changes(prefix.clone(), *after, limit.min(*wait))
            }
            call => call.clone(),
        }
    }

    /// Returns the call's name in logs.
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

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The item of a key, if there is one.
    Item(Option<Item>),
    /// The items below a prefix.
    Listing(Listing),
    /// The outcome of a conditional write.
    Swap(Swap),
    /// A new lease.
    Lease(LeaseId),
    /// Whether an extended lease still existed.
    Kept(bool),
    /// A lease has ended.
    Revoked,
    /// Changes below a prefix.
    Changes(Changes),
}

/// Defines a method that returns the value of one kind of answer, or an error
/// if the answer is of another kind.
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

/// The reply of a process that was asked to make a store call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The store has answered.
    Done(Answer),
    /// The requested history was dropped.
    Forgotten(Revision),
    /// The store has not carried out the call.
    NotDone,
    /// The store does not take the call, for the given reason.
    Rejected(String),
    /// The store has not answered. The call may have been carried out, or may
    /// be later.
    Unsure,
    /// The replying process has no direct path to the store either; nothing
    /// was done.
    Away,
}

impl From<Result<Answer, Error>> for Reply {
    fn from(result: Result<Answer, Error>) -> Reply {
        match result {
            Ok(answer) => Reply::Done(answer),
            Err(Error::Forgotten(after)) => Reply::Forgotten(after),
            Err(Error::Unreached(_)) => Reply::NotDone,
            Err(Error::Rejected(error)) => Reply::Rejected(error.to_string()),
            Err(Error::Lost(_)) => Reply::Unsure,
        }
    }
}

/// Makes a call on `store`.
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

/// Returns the error for a call that the store does not take, as another
/// process has reported it.
pub(super) fn rejected(by: &str, reason: String) -> Error {
    Error::Rejected(http::Error::Unexpected {
        url: by.to_owned(),
        status: StatusCode::BAD_REQUEST,
        body: reason,
    })
}

/// Returns the error for a call without an answer, or with an answer of the
/// wrong kind.
pub(super) fn unanswered(by: &str) -> Error {
    Error::Lost(http::Error::Lost {
        url: by.to_owned(),
        reason: "no answer to the call".to_owned(),
    })
}

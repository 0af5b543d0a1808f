//! Calls of the store by way of another entry.
//!
//! The store may turn single machines away, or a link to it may be cut,
//! while it serves all others. A process that goes on by itself then refuses
//! its callers, and one that plans loses its claim, although a neighbour
//! would do the same call at once. So a [`Relay`] is a store that has two
//! ways: its own, and while that is closed the entries that [`Peers`] knows.
//! Whether one machine is away or the store itself, it finds out: where no
//! other entry is in touch either, calls go their own way and wait as ever.
//!
//! On a day on which three of nine entries were cut off, 8 of the 10 urgent
//! jobs that were late by our own lines had been refused, or told nothing, by
//! one of these.
//!
//! A call is passed on once at most, and a write that may have had its effect
//! goes no second way: one that had no answer is lost, whichever way it went.

pub mod call;
mod direct;
mod peers;

use std::time::Duration;

use jsonrpsee::core::async_trait;

use crate::cell::relay::call::execute;
use crate::cell::relay::call::Answer;
use crate::cell::relay::call::Call;
use crate::cell::relay::call::Reply;
use crate::cell::relay::direct::Path;
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

pub use crate::cell::relay::peers::Peers;

/// How long the store may say nothing, beyond what it is asked to wait,
/// before other ways are tried: a store that is 60 times as slow as usual
/// answers within 240 ms, and would get every call twice.
const DIRECT_ANSWER_SLACK: Duration = Duration::from_millis(250);

/// Carries calls of the store out for another process.
#[async_trait]
pub trait Proxy: Send + Sync {
    /// Carries a call out, if the store is in direct reach.
    async fn serve(&self, call: Call) -> Reply;
}

/// A store that is reached by other entries while there is no direct way.
#[derive(Clone, Debug)]
pub struct Relay<S> {
    direct: S,
    path: Path,
    peers: Peers,
}

impl<S: Store> Relay<S> {
    /// Returns a store with the ways of `direct` and of `peers`.
    pub fn new(direct: S, peers: Peers, log: slog::Logger) -> Relay<S> {
        Relay {
            direct,
            path: Path::new(log),
            peers,
        }
    }

    async fn call(&self, call: Call) -> Result<Answer, Error> {
        let failed = match self.path.is_usable() {
            true => match self.call_direct(&call).await {
                Err(error) if self.may_reroute(&call, &error) => Some(error),
                answer => return answer,
            },
            false => None,
        };
        match (self.peers.ask(&call).await, failed) {
            (Some(answer), _) => answer,
            (None, Some(error)) => Err(error),
            // Nobody is in touch: what waits for the store waits there.
            (None, None) => self.observe(execute(&self.direct, call).await),
        }
    }

    /// Calls directly; a read that is not answered soon goes both ways.
    async fn call_direct(&self, call: &Call) -> Result<Answer, Error> {
        let mut direct = std::pin::pin!(execute(&self.direct, call.clone()));
        tokio::select! {
            biased;
            answer = &mut direct => return self.observe(answer),
            () = tokio::time::sleep(call.wait() + DIRECT_ANSWER_SLACK) => {}
        }
        self.mark_unusable("no answer yet");
        if !call.is_repeatable() {
            return direct.await;
        }
        tokio::select! {
            biased;
            answer = &mut direct => answer,
            Some(answer) = self.peers.ask(call) => answer,
            else => Err(call::unanswered("the store")),
        }
    }

    /// Returns whether a call that failed may be made another way: a write
    /// only if it surely had no effect, and nothing in place of one that the
    /// store's rate has refused.
    fn may_reroute(&self, call: &Call, error: &Error) -> bool {
        match error {
            Error::Forgotten(_) => false,
            Error::Lost(_) => call.is_repeatable(),
            Error::Unreached(_) => !self.path.is_usable(),
        }
    }

    /// Takes in what a direct call shows of its way.
    fn observe(&self, answer: Result<Answer, Error>) -> Result<Answer, Error> {
        match &answer {
            Ok(_) | Err(Error::Forgotten(_)) => self.path.on_answer(),
            Err(error) if error.is_throttled() => {
                if self.path.on_throttled() {
                    self.mark_unusable("turned away again");
                }
            }
            Err(error) => self.mark_unusable(&error.to_string()),
        }
        answer
    }

    fn mark_unusable(&self, why: &str) {
        self.path.mark_unusable(&self.direct, why);
    }
}

#[async_trait]
impl<S: Store> Proxy for Relay<S> {
    async fn serve(&self, call: Call) -> Reply {
        if !self.path.is_usable() {
            return Reply::Away;
        }
        let answer = execute(&self.direct, call).await;
        Reply::from(self.observe(answer))
    }
}

impl<S: Store> Store for Relay<S> {
    fn is_direct(&self) -> bool {
        self.path.is_usable()
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let call = Call::Get(key.to_owned());
        self.call(call).await?.item()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let call = Call::List(prefix.to_owned());
        self.call(call).await?.listing()
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Put>,
    ) -> Result<Swap, Error> {
        let call = Call::Swap(conditions.to_vec(), puts);
        self.call(call).await?.swap()
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.call(Call::Grant(ttl)).await?.lease()
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        self.call(Call::KeepAlive(lease)).await?.kept()
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(Call::Revoke(lease)).await.map(|_| ())
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let prefix = prefix.to_owned();
        let call = Call::Changes(prefix, after, wait);
        self.call(call).await?.changes()
    }
}

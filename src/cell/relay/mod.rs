//! Store calls through other entries.
//!
//! The store may reject single machines, or the link of one machine to the
//! store may be cut, while the store serves all others. A process in that
//! position would refuse its callers, and a planner would lose its claim,
//! although another entry could make the same call at once. A [`Relay`] is
//! therefore a store with two paths: its own and, while that is unusable, the
//! entries in [`Peers`]. If no other entry reaches the store either, the store
//! itself is down, and calls are made directly and wait as usual.
//!
//! A call is passed on at most once. A write that may have taken effect is not
//! repeated on another path: without an answer, the write counts as lost on
//! any path.

pub mod call;
mod direct;
mod peers;
mod sample;

use std::time::Duration;

use jsonrpsee::core::async_trait;

use crate::cell::keys;
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
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

pub use crate::cell::relay::peers::Peers;

/// How long the store may stay silent, beyond the requested wait, before other
/// paths are tried. A store that is 60 times slower than usual answers within
/// 240 ms; with less time, such a store would get every call twice.
const DIRECT_ANSWER_SLACK: Duration = Duration::from_millis(250);

/// The longest that a call waits for changes while the direct path is not
/// usable. That another process has ended, or that the store is back, is only
/// noticed by then.
const UNSURE_WAIT: Duration = Duration::from_millis(2000);

/// Makes store calls for another process.
#[async_trait]
pub trait Proxy: Send + Sync {
    /// Makes a call, if the direct path to the store is usable.
    async fn serve(&self, call: Call) -> Reply;
}

/// A store that is reached through other entries while the direct path is
/// unusable.
#[derive(Clone, Debug)]
pub struct Relay<S> {
    direct: S,
    path: Path,
    peers: Peers,
}

impl<S: Store> Relay<S> {
    /// Returns a store that uses `direct` and, while that is unusable,
    /// `peers`.
    pub fn new(direct: S, peers: Peers, log: slog::Logger) -> Relay<S> {
        Relay {
            direct,
            path: Path::new(log),
            peers,
        }
    }

    async fn call(&self, call: Call) -> Result<Answer, Error> {
        if let Call::Changes(..) = call {
            return self.call_watch(call).await;
        }
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
            // No other entry reaches the store: the call is made directly, and
            // may wait.
            (None, None) => self.observe(execute(&self.direct, call).await),
        }
    }

    /// Makes a call that waits for changes.
    async fn call_watch(&self, call: Call) -> Result<Answer, Error> {
        let failed = match self.path.is_usable() {
            true => match self.watch_directly(&call).await {
                Err(error) if self.may_reroute(&call, &error) => Some(error),
                answer => return answer,
            },
            false => None,
        };
        let call = call.with_wait_at_most(UNSURE_WAIT);
        match (self.peers.ask(&call).await, failed) {
            (Some(answer), _) => answer,
            (None, Some(error)) => Err(error),
            (None, None) => self.observe(execute(&self.direct, call).await),
        }
    }

    /// Waits for changes directly, for as long as the path is usable.
    async fn watch_directly(&self, call: &Call) -> Result<Answer, Error> {
        tokio::select! {
            biased;
            answer = execute(&self.direct, call.clone()) => {
                return self.observe(answer);
            }
            () = tokio::time::sleep(call.wait() + DIRECT_ANSWER_SLACK) => {}
            // Other calls have shown that the store cannot be reached, and
            // this one may never be answered.
            () = self.path.wait_unusable() => {}
        }
        match self.path.is_usable() && self.answers_reads().await {
            true => Err(Error::Forgotten(call.after())),
            false => Err(call::unanswered("the store")),
        }
    }

    /// Returns whether the store answers a read directly. A store that drops
    /// its history leaves all waiting watches of all processes unanswered for
    /// a while, and answers everything else.
    async fn answers_reads(&self) -> bool {
        let read = self.direct.get(keys::CLAIM);
        match tokio::time::timeout(DIRECT_ANSWER_SLACK, read).await {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => {
                self.mark_unusable(&error.to_string());
                false
            }
            Err(_) => {
                self.mark_unusable("no answer yet");
                false
            }
        }
    }

    /// Calls the store directly. A read that is not answered soon is also sent
    /// to peers.
    async fn call_direct(&self, call: &Call) -> Result<Answer, Error> {
        let mut direct = std::pin::pin!(execute(&self.direct, call.clone()));
        tokio::select! {
            biased;
            answer = &mut direct => return self.observe(answer),
            () = tokio::time::sleep(DIRECT_ANSWER_SLACK) => {}
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

    /// Returns whether a failed call may be made on another path. A write may
    /// be only if it certainly had no effect, and a call that the store's rate
    /// limit refused only once the direct path counts as unusable.
    fn may_reroute(&self, call: &Call, error: &Error) -> bool {
        match error {
            Error::Forgotten(_) | Error::Rejected(_) => false,
            Error::Lost(_) => call.is_repeatable(),
            Error::Unreached(_) => !self.path.is_usable(),
        }
    }

    /// Updates the state of the direct path from the outcome of a call.
    fn observe(&self, answer: Result<Answer, Error>) -> Result<Answer, Error> {
        match &answer {
            Ok(_) | Err(Error::Forgotten(_) | Error::Rejected(_)) => {
                self.path.on_answer();
            }
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

    /// Asked directly only: other entries do not pass this on.
    async fn is_unleased(&self, key: &str) -> Result<Option<bool>, Error> {
        self.direct.is_unleased(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let call = Call::List(prefix.to_owned());
        self.call(call).await?.listing()
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
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

//! The operators' configuration, and how recently it was confirmed as current.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::pause;
use crate::cell::reachability::Reachability;
use crate::cell::watch::Batch;
use crate::cell::watch::Watch;
use crate::clock::BootInstant;
use crate::graph::Advice;
use crate::graph::SharedStr;
use crate::log::excerpt;
use crate::store::Change;
use crate::store::Error;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;
use crate::telemetry::metrics;

/// The share of the time for applying a change for which a confirmed
/// configuration is used.
const TRUSTED_SHARE: f64 = 0.9;
/// The part of the time for applying a change that a watch leaves for what may
/// come after it: a second in which a store that is about to drop its history
/// reports no changes, a call that is lost, and the read of all keys.
const APPLY_RESERVE: Duration = Duration::from_millis(1750);
/// The least part of the time for applying a change for which a watch waits.
const MIN_WAIT_SHARE: f64 = 0.25;
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The longest time after the end of a watch in which the store answers: one
/// lost call, and the slowest answer observed. Without an answer by then new
/// callers are better served by another entry.
const CONTACT_SLACK: Duration = Duration::from_millis(700);

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: SharedStr,
    /// The host name by which callers address the queue.
    pub host: SharedStr,
    /// The path prefix of the queue's jobs.
    pub prefix: SharedStr,
    /// The pool whose workers run the queue's jobs.
    pub pool: SharedStr,
    /// Whether workers of the pool refuse tasks that exceed their capacity.
    pub guarded: bool,
    /// The priority; a lower number is scheduled first.
    pub priority: u32,
    /// The number of a unit's runs that may fail.
    pub max_attempts: u32,
    /// The factor on a job's critical path in its time objective.
    pub stretch: f64,
    /// The fixed part of a job's time objective.
    pub target: Duration,
    /// The longest that a call may take.
    pub timeout: Duration,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// The advice that starts need, if the queue requires advice.
    pub advice: Option<Advice>,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version, which increases with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// The client account of each key.
    pub keys: HashMap<String, SharedStr>,
    /// The accelerators guaranteed to each client account.
    pub guarantees: BTreeMap<SharedStr, i64>,
    /// The longest body of a request, in bytes.
    pub max_body: usize,
}

impl Configuration {
    /// Returns the queue of a path. The longest matching prefix wins.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        self.queues
            .iter()
            .filter(|q| &*q.host == host && path.starts_with(&*q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}

/// The store keys that operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// The common prefix of all these keys. They are watched together, which
    /// costs no more calls than watching one of them.
    pub prefix: &'static str,
    /// The key of the configuration.
    pub configuration: &'static str,
    /// The prefix of the keys of closed halls: halls that get no new work.
    pub closed: &'static str,
}

/// The operators' keys, as this process last read them.
#[derive(Debug, Default)]
struct State {
    current: Option<Arc<Configuration>>,
    /// The halls that get no new work, once the keys have been read.
    closed: Option<BTreeSet<SharedStr>>,
    revision: Revision,
    /// The last revision read, whether or not it could be decoded.
    latest_revision: Revision,
    /// When the last call that confirmed the configuration was sent.
    confirmed: Option<BootInstant>,
    /// Until when the store counts as reached without another answer.
    reached_until: Option<BootInstant>,
}

/// The configuration as this process has read it. The version in use never
/// decreases.
#[derive(Clone, Debug, Default)]
pub struct Source {
    state: Arc<Mutex<State>>,
    /// Notified after each call that confirmed the configuration.
    confirmations: Arc<Notify>,
    /// Notified when a request needs a more recent confirmation.
    requests: Arc<Notify>,
}

/// Returns the greatest age of a confirmation at which a configuration is
/// used, if a change must be in force within `bound`.
pub fn max_age(bound: Duration) -> Duration {
    bound.mul_f64(TRUSTED_SHARE)
}

/// Returns how long a watch waits for changes that must be in force within
/// `bound`.
fn poll_wait(bound: Duration) -> Duration {
    bound
        .saturating_sub(APPLY_RESERVE)
        .max(bound.mul_f64(MIN_WAIT_SHARE))
}

impl Source {
    /// Returns a source that has read nothing yet.
    pub fn new() -> Source {
        Source::default()
    }

    /// Returns a source of a site on which no hall is closed, for uses in which
    /// nobody follows the operators' keys.
    pub fn without_closed_halls() -> Source {
        let source = Source::new();
        source.lock().closed = Some(BTreeSet::new());
        source
    }

    /// Returns the configuration, once one has been read.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.lock().current.clone()
    }

    /// Returns the halls that get no new work, once the operators' keys have
    /// been read. Until then any hall may be closed.
    pub fn closed(&self) -> Option<BTreeSet<SharedStr>> {
        self.lock().closed.clone()
    }

    /// Returns the configuration if it was confirmed at most `max_age` ago.
    pub fn fresh(&self, max_age: Duration) -> Option<Arc<Configuration>> {
        let state = self.lock();
        let confirmed = state.confirmed?;
        match confirmed.elapsed() <= max_age {
            true => state.current.clone(),
            false => None,
        }
    }

    /// Returns the time since the last confirmation, if there was one.
    pub fn age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|confirmed| confirmed.elapsed())
    }

    /// Returns the configuration once it was confirmed at most `max_age`
    /// ago, or `None` at `until`. Asks the store if the last confirmation is
    /// older: an entry without callers confirms less often.
    pub async fn wait_fresh(
        &self,
        max_age: Duration,
        until: Instant,
    ) -> Option<Arc<Configuration>> {
        loop {
            let confirmed = self.confirmations.notified();
            if let Some(fresh) = self.fresh(max_age) {
                return Some(fresh);
            }
            self.requests.notify_one();
            tokio::time::timeout_at(until, confirmed).await.ok()?;
        }
    }

    /// Returns whether the store has answered recently. Without the store
    /// nothing can be accepted here, and callers are better served by another
    /// entry.
    pub fn is_in_contact(&self) -> bool {
        let state = self.lock();
        let in_contact =
            state.reached_until.is_some_and(BootInstant::is_future);
        let is_latest = state.latest_revision == state.revision;
        in_contact && is_latest && state.current.is_some()
    }

    /// Returns the time since the last confirmation in ms, for log lines.
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(millis)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the operators' keys, whose changes must be in force within
    /// `bound`. Never returns.
    pub async fn follow<E: std::fmt::Display>(
        self,
        store: impl Store,
        keys: Keys,
        bound: Duration,
        decode: impl Fn(&[u8]) -> Result<Configuration, E>,
        reachability: Reachability,
        log: slog::Logger,
    ) {
        let mut reached = true;
        let mut watch = Watch::new(keys.prefix, poll_wait(bound));
        loop {
            let polled = self.poll(&store, &mut watch, &keys, &decode, &log);
            let polled = polled.await;
            let failed = polled.err().map(|error| error.to_string());
            match (&failed, reached) {
                (Some(error), true) => slog::warn!(log,
                    "configuration: the store is unreachable";
                    "error" => error,
                    "version" => self.current().map(|c| c.version),
                    "age_ms" => self.age_ms()),
                (None, false) => {
                    slog::info!(log,
                        "configuration: the store is reachable again";
                        "version" => self.current().map(|c| c.version),
                        "age_ms" => self.age_ms())
                }
                _ => {}
            }
            reached = failed.is_none();
            reachability.set(reached);
            if !reached {
                self.expect_answer_soon();
                pause(RETRY_DELAY).await;
            }
        }
    }

    /// Makes one watch call and applies its changes.
    async fn poll<E: std::fmt::Display>(
        &self,
        store: &impl Store,
        watch: &mut Watch<'_>,
        keys: &Keys,
        decode: &impl Fn(&[u8]) -> Result<Configuration, E>,
        log: &slog::Logger,
    ) -> Result<(), Error> {
        let sent = BootInstant::now();
        let batch = match self.next_batch(store, watch).await {
            Ok(Some(batch)) => batch,
            Ok(None) => return Ok(()),
            Err(Error::Forgotten(revision)) => {
                slog::info!(log,
                    "configuration: changes were missed, reading all";
                    "after" => revision);
                pause(RETRY_DELAY).await;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        self.update_closed(&batch, keys, log);
        for change in batch.changes {
            match change {
                Change::Put(item) if item.key == keys.configuration => {
                    self.update(item, sent, decode, log);
                }
                _ => {}
            }
        }
        self.confirm(sent, watch.poll_wait());
        Ok(())
    }

    /// Makes one watch call, and meanwhile confirms the configuration whenever
    /// a request needs it. Returns `None` if that showed that the watch has to
    /// be made again.
    async fn next_batch(
        &self,
        store: &impl Store,
        watch: &mut Watch<'_>,
    ) -> Result<Option<Batch>, Error> {
        let poll_wait = watch.poll_wait();
        let Some(check) = watch.check() else {
            return watch.next(store).await.map(Some);
        };
        let mut next = std::pin::pin!(watch.next(store));
        loop {
            tokio::select! {
                biased;
                batch = &mut next => return batch.map(Some),
                () = self.requests.notified() => {}
            }
            let sent = BootInstant::now();
            match check.is_unchanged(store).await? {
                true => self.confirm(sent, poll_wait),
                false => return Ok(None),
            }
        }
    }

    /// Updates the set of closed halls.
    fn update_closed(&self, batch: &Batch, keys: &Keys, log: &slog::Logger) {
        let mut state = self.lock();
        let before = state.closed.clone();
        let mut closed = match batch.is_listing {
            true => BTreeSet::new(),
            false => before.clone().unwrap_or_default(),
        };
        for change in &batch.changes {
            let (key, puts) = match change {
                Change::Put(item) => (&item.key, true),
                Change::Deleted(key, _) => (key, false),
            };
            match key.strip_prefix(keys.closed) {
                Some(hall) if puts => closed.insert(hall.into()),
                Some(hall) => closed.remove(hall),
                None => false,
            };
        }
        let closed = Some(closed);
        if closed != before {
            slog::info!(log, "configuration: the closed halls have changed";
                "halls" => ?closed, "before" => ?before);
            state.closed = closed;
        }
    }

    fn update<E: std::fmt::Display>(
        &self,
        item: Item,
        sent: BootInstant,
        decode: &impl Fn(&[u8]) -> Result<Configuration, E>,
        log: &slog::Logger,
    ) {
        let mut state = self.lock();
        if item.modified <= state.latest_revision {
            return;
        }
        state.latest_revision = item.modified;
        match decode(&item.value) {
            Ok(configuration) => {
                slog::info!(log, "configuration: a version is in force";
                    "version" => configuration.version,
                    "revision" => item.modified,
                    "queues" => configuration.queues.len(),
                    "bytes" => item.value.len(),
                    "ms" => millis(sent.elapsed()));
                let metrics = metrics::get();
                metrics.configuration.record(item.modified, &[]);
                metrics
                    .configuration_bytes
                    .record(item.value.len() as u64, &[]);
                state.current = Some(Arc::new(configuration));
                state.revision = item.modified;
            }
            Err(error) => slog::error!(log,
                "configuration: a version cannot be decoded";
                "revision" => item.modified, "error" => excerpt(error)),
        }
    }

    /// Records that a call has failed. Callers are accepted for a short while
    /// longer, as a single call may be lost.
    fn expect_answer_soon(&self) {
        let mut state = self.lock();
        let until = BootInstant::now() + CONTACT_SLACK;
        state.reached_until = state.reached_until.min(Some(until));
    }

    /// Records that everything written before `sent` has been read, and that
    /// the next answer comes within `poll_wait`.
    fn confirm(&self, sent: BootInstant, poll_wait: Duration) {
        let mut state = self.lock();
        let until = BootInstant::now() + poll_wait + CONTACT_SLACK;
        state.reached_until = state.reached_until.max(Some(until));
        // A version that cannot be decoded does not count as confirmed.
        if state.latest_revision == state.revision {
            state.confirmed = Some(sent);
        }
        drop(state);
        self.confirmations.notify_waiters();
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

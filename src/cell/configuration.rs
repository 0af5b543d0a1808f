//! The operators' configuration, and how old our knowledge of it is.

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
use crate::clock::Stamp;
use crate::graph::Advice;
use crate::graph::Text;
use crate::store::Change;
use crate::store::Error;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;
use crate::telemetry::metrics;

/// How long is waited after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long the store may have said nothing for new callers to be taken: a
/// call that waits, a lost one, and the slowest of its answers seen.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1200);

/// A queue that callers put jobs in.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Text,
    /// The host that callers name.
    pub host: Text,
    /// What the paths of its jobs start with.
    pub prefix: Text,
    /// The pool whose workers run its jobs.
    pub pool: Text,
    /// Whether workers of the pool refuse what does not fit.
    pub guarded: bool,
    /// The lower, the sooner.
    pub priority: u32,
    /// How many of a unit's runs may fail.
    pub max_attempts: u32,
    /// How many times its longest chain of work a job may take.
    pub stretch: f64,
    /// What it may take beyond that.
    pub target: Duration,
    /// The longest that a call may take.
    pub timeout: Duration,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whose leave starts need, if anybody's.
    pub advice: Option<Advice>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version; it rises.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// The client account of each key.
    pub keys: HashMap<String, Text>,
    /// The accelerators that each client account is guaranteed.
    pub guarantees: BTreeMap<Text, i64>,
    /// The longest body of a request, in bytes.
    pub max_body: usize,
}

impl Configuration {
    /// Returns the queue of a path: the longest prefix wins.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        self.queues
            .iter()
            .filter(|q| &*q.host == host && path.starts_with(&*q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}

/// Where operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// What all of their keys begin with: they are watched together, which
    /// costs no more calls than one of them.
    pub prefix: &'static str,
    /// The configuration.
    pub configuration: &'static str,
    /// Before the name of each hall that is to be given no new work.
    pub closed: &'static str,
}

/// What is known of the configuration.
#[derive(Debug, Default)]
struct State {
    current: Option<Arc<Configuration>>,
    /// The halls that are to be given no new work.
    closed: BTreeSet<Text>,
    revision: Revision,
    /// The last revision that was seen, whether it could be read or not.
    latest_revision: Revision,
    /// When the last call that showed it to be current was sent.
    confirmed: Option<Stamp>,
    /// When the store has answered last.
    last_answer: Option<Stamp>,
}

/// The configuration as this process knows it; it never goes back.
#[derive(Clone, Debug, Default)]
pub struct Source {
    known: Arc<Mutex<State>>,
    /// Told of each call that showed it to be current.
    confirmations: Arc<Notify>,
}

impl Source {
    /// Returns a source that knows nothing yet.
    pub fn new() -> Source {
        Source::default()
    }

    /// Returns the configuration, if one is known.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.lock().current.clone()
    }

    /// Returns the halls that are to be given no new work.
    pub fn closed(&self) -> BTreeSet<Text> {
        self.lock().closed.clone()
    }

    /// Returns the configuration if it was current at most `age` ago.
    pub fn fresh(&self, age: Duration) -> Option<Arc<Configuration>> {
        let known = self.lock();
        let confirmed = known.confirmed?;
        match confirmed.elapsed() <= age {
            true => known.current.clone(),
            false => None,
        }
    }

    /// Returns how old our knowledge is, if there is any.
    pub fn age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|confirmed| confirmed.elapsed())
    }

    /// Returns the configuration if it was current at most `age` ago,
    /// waiting for that if need be.
    pub async fn wait_fresh(
        &self,
        age: Duration,
        until: Instant,
    ) -> Option<Arc<Configuration>> {
        loop {
            let confirmed = self.confirmations.notified();
            if let Some(fresh) = self.fresh(age) {
                return Some(fresh);
            }
            tokio::time::timeout_at(until, confirmed).await.ok()?;
        }
    }

    /// Returns whether the store was reached lately: without it nothing can
    /// be accepted here, and callers are better off elsewhere.
    pub fn is_in_contact(&self) -> bool {
        let known = self.lock();
        let in_contact = known
            .last_answer
            .is_some_and(|at| at.elapsed() <= CONTACT_TIMEOUT);
        in_contact && known.confirmed.is_some() && known.current.is_some()
    }

    /// Returns the age of our knowledge in ms, for log lines.
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(millis)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the configuration up to date, for ever.
    pub async fn follow<E: std::fmt::Display>(
        self,
        store: impl Store,
        keys: Keys,
        decode: impl Fn(&[u8]) -> Result<Configuration, E>,
        reach: Reachability,
        log: slog::Logger,
    ) {
        let mut reached = true;
        let mut watch = Watch::new(keys.prefix);
        loop {
            let polled = self.poll(&store, &mut watch, &keys, &decode, &log);
            let polled = polled.await;
            let failed = polled.err().map(|error| error.to_string());
            match (&failed, reached) {
                (Some(error), true) => slog::warn!(log,
                    "configuration: the store is lost"; "error" => error,
                    "version" => self.current().map(|c| c.version),
                    "age_ms" => self.age_ms()),
                (None, false) => {
                    slog::info!(log, "configuration: the store is back";
                        "version" => self.current().map(|c| c.version),
                        "age_ms" => self.age_ms())
                }
                _ => {}
            }
            reached = failed.is_none();
            reach.set(reached);
            if !reached {
                pause(RETRY_DELAY).await;
            }
        }
    }

    /// Makes one call for what is new, and takes it in.
    async fn poll<E: std::fmt::Display>(
        &self,
        store: &impl Store,
        watch: &mut Watch<'_>,
        keys: &Keys,
        decode: &impl Fn(&[u8]) -> Result<Configuration, E>,
        log: &slog::Logger,
    ) -> Result<(), Error> {
        let sent = Stamp::now();
        let batch = match watch.next(store).await {
            Ok(batch) => batch,
            Err(Error::Forgotten(revision)) => {
                slog::info!(log, "configuration: all is read anew";
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
        self.confirm(sent);
        Ok(())
    }

    /// Takes in which halls are closed, and which are open again.
    fn update_closed(&self, batch: &Batch, keys: &Keys, log: &slog::Logger) {
        let mut known = self.lock();
        let mut closed = match batch.is_listing {
            true => BTreeSet::new(),
            false => known.closed.clone(),
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
        if closed != known.closed {
            slog::info!(log, "configuration: other halls are closed";
                "halls" => ?closed, "before" => ?known.closed);
            known.closed = closed;
        }
    }

    fn update<E: std::fmt::Display>(
        &self,
        item: Item,
        sent: Stamp,
        decode: &impl Fn(&[u8]) -> Result<Configuration, E>,
        log: &slog::Logger,
    ) {
        let mut known = self.lock();
        if item.modified <= known.latest_revision {
            return;
        }
        known.latest_revision = item.modified;
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
                metrics.bytes.record(item.value.len() as u64, &[]);
                known.current = Some(Arc::new(configuration));
                known.revision = item.modified;
            }
            Err(error) => slog::error!(log,
                "configuration: a version cannot be read";
                "revision" => item.modified, "error" => %error),
        }
    }

    /// Takes in that all which was written before `sent` has been seen.
    fn confirm(&self, sent: Stamp) {
        let mut known = self.lock();
        known.last_answer = Some(Stamp::now());
        // Of a version that cannot be read, only its being there is known.
        if known.latest_revision == known.revision {
            known.confirmed = Some(sent);
        }
        drop(known);
        self.confirmations.notify_waiters();
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

//! Taking jobs in, cancelling them, and saying how they stand.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::keys;
use crate::cell::pause;
use crate::cell::reachability::Reachability;
use crate::graph;
use crate::graph::Id;
use crate::graph::Job;
use crate::graph::Outcome;
use crate::graph::Progress;
use crate::store::Change;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::Put;
use crate::store::Store;
use crate::store::Swap;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a store that turns calls away is asked again before a job is
/// refused: the caller is told at once when to come back.
const DEFAULT_PATIENCE: Duration = Duration::from_millis(600);
/// How long is waited before the store is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long a write may have no answer before it is made again, for the
/// first time; twice as long each further time. The slowest answers of a
/// store that serves took 340 ms; a job that waits for one that does not
/// come is late 1.5 s after it was sent.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(350);
/// How long the end of a job that runs is waited for: what it takes from its
/// worker through the planner into the store, with some to spare.
const END_WAIT: Duration = Duration::from_millis(120);
/// How much longer than it waits such a call may take.
const END_SLACK: Duration = Duration::from_millis(100);
/// The least wait that is worth a call.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// How long an unanswered write is remembered: longer than a late write
/// can take.
const UNSURE_TTL: Duration = Duration::from_secs(60);

/// What came of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is kept, now or since an earlier submission.
    Accepted,
    /// It is not kept, and this submission will not make it so.
    Refused,
    /// It may be kept: the caller must ask again under the same name.
    Unsure,
}

/// How far a job has come, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// None of its tasks has begun.
    Queued,
    /// A task has begun.
    Running,
    /// It has ended.
    Ended(Outcome),
}

/// The store does not answer in time.
#[derive(Debug, thiserror::Error)]
#[error("the store does not answer: {0}")]
pub struct Unavailable(String);

/// Takes jobs in.
#[derive(Clone, Debug)]
pub struct Admission<S> {
    store: S,
    reachability: Reachability,
    patience: Duration,
    /// Jobs whose write had no answer here, and when.
    unsure: Arc<Mutex<HashMap<Id, Instant>>>,
    log: slog::Logger,
}

impl<S: Store> Admission<S> {
    /// Returns an admission on a store.
    pub fn new(store: S, log: slog::Logger) -> Admission<S> {
        Admission {
            store,
            reachability: Reachability::new(),
            patience: DEFAULT_PATIENCE,
            unsure: Arc::default(),
            log,
        }
    }

    /// Sets how long a submission waits for the store.
    #[must_use]
    pub fn with_patience(self, patience: Duration) -> Admission<S> {
        Admission { patience, ..self }
    }

    /// Returns what is known of the way to the store, to be told of other
    /// calls as well.
    pub fn reachability(&self) -> Reachability {
        self.reachability.clone()
    }

    /// Keeps a job, unless it is kept already. Half of the time until the
    /// deadline is spent on it at most: the caller then still has time to
    /// ask again under the same name, through another entry.
    pub async fn submit(&self, job: &Job, deadline: Instant) -> Submitted {
        let submitted = match serde_json::to_vec(job) {
            Ok(value) => self.create(job, value, deadline).await,
            Err(error) => {
                slog::error!(self.log, "entry: a job cannot be encoded";
                    "job" => &*job.id, "error" => %error);
                Submitted::Refused
            }
        };
        let outcome = match submitted {
            Submitted::Accepted => "accepted",
            Submitted::Refused => "refused",
            Submitted::Unsure => "unsure",
        };
        let labels = [label("outcome", outcome)];
        metrics::get().submissions.add(1, &labels);
        slog::info!(self.log, "entry: a job was submitted";
            "job" => &*job.id, "queue" => &*job.queue,
            "account" => &*job.account, "outcome" => ?submitted);
        submitted
    }

    async fn create(
        &self,
        job: &Job,
        value: Vec<u8>,
        deadline: Instant,
    ) -> Submitted {
        let began = Instant::now();
        let deadline = began + deadline.duration_since(began) / 2;
        let key = keys::job(&job.id);
        let absent = [Compare::Modified(key.clone(), 0)];
        let puts = vec![
            Put::Value(key, value, 0),
            Put::Value(keys::waiting_job(&job.queue, &job.id), Vec::new(), 0),
        ];
        let mut limit = FIRST_WRITE_TIMEOUT;
        loop {
            let unsure = self.is_unsure(&job.id);
            let until = match unsure {
                true => deadline,
                false => (began + self.patience).min(deadline),
            };
            if !self.reachability.wait(&self.store, until).await {
                return match unsure {
                    true => Submitted::Unsure,
                    false => Submitted::Refused,
                };
            }
            let swap = self.store.swap(&absent, puts.clone());
            let answer = (Instant::now() + limit).min(deadline);
            limit *= 2;
            match tokio::time::timeout_at(answer, swap).await {
                Ok(Ok(Swap::Written(_) | Swap::Refused(_))) => {
                    return Submitted::Accepted;
                }
                Ok(Err(Error::Unreached(error))) => {
                    slog::warn!(self.log, "entry: the store turns a job away";
                        "job" => &*job.id, "error" => %error);
                }
                Ok(Err(_)) | Err(_) => self.set_unsure(&job.id),
            }
            self.reachability.set(false);
            pause(RETRY_DELAY).await;
        }
    }

    /// Cancels a job; returns whether it is known.
    ///
    /// # Errors
    ///
    /// If the store does not answer before the deadline.
    pub async fn cancel(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<bool, Unavailable> {
        let known = self.read(&keys::job(id), deadline).await?;
        if known.is_none() {
            return Ok(false);
        }
        let key = keys::cancel(id);
        let absent = [Compare::Modified(key.clone(), 0)];
        loop {
            let puts = vec![Put::Value(key.clone(), b"{}".to_vec(), 0)];
            let swap = self.store.swap(&absent, puts);
            match tokio::time::timeout_at(deadline, swap).await {
                Ok(Ok(_)) => break,
                Ok(Err(error)) => pause_before_retry(error, deadline).await?,
                Err(_) => return Err(Unavailable("in time".to_owned())),
            }
        }
        slog::info!(self.log, "entry: a job is cancelled"; "job" => id);
        Ok(true)
    }

    /// Returns how far a job has come, if it is known. Of one that runs it
    /// is waited a moment for news: callers often ask just as it ends.
    ///
    /// # Errors
    ///
    /// If the store does not answer before the deadline.
    pub async fn stage(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<Stage>, Unavailable> {
        let progress = self.read(&keys::progress(id), deadline).await?;
        let ended = progress.as_ref().map(outcome).transpose()?.flatten();
        if let Some(outcome) = ended {
            return Ok(Some(Stage::Ended(outcome)));
        }
        // A cancel that is kept may yet come after the job's end: only the
        // planner can tell, and what was told is never taken back.
        if let Some(progress) = progress {
            let ended = self.wait_for_end(&progress, deadline).await;
            return Ok(Some(ended.map_or(Stage::Running, Stage::Ended)));
        }
        let job = self.read(&keys::job(id), deadline).await?;
        Ok(job.map(|_| Stage::Queued))
    }

    /// Waits a moment for a job's end.
    async fn wait_for_end(
        &self,
        progress: &Item,
        deadline: Instant,
    ) -> Option<Outcome> {
        let until = (Instant::now() + END_WAIT).min(deadline);
        let mut after = progress.modified;
        loop {
            let now = Instant::now();
            let wait = until.saturating_duration_since(now);
            if wait < MIN_WAIT {
                return None;
            }
            let changes = self.store.changes(&progress.key, after, wait);
            // No answer is no news: the caller is told what is known.
            let limit = (until + END_SLACK).min(deadline);
            let changes = tokio::time::timeout_at(limit, changes).await;
            let changes = changes.ok()?.ok()?;
            after = after.max(changes.revision);
            // A store tells of all keys that begin so: a job whose name is
            // longer is another one.
            let told = changes.changes.into_iter().rev();
            let mut told = told.filter(|c| c.key() == progress.key);
            let item = match told.next() {
                Some(Change::Put(item)) => item,
                Some(Change::Deleted(..)) => return None,
                None => continue,
            };
            match outcome(&item) {
                Ok(None) => {}
                Ok(ended) => return ended,
                Err(error) => {
                    slog::error!(self.log, "entry: progress cannot be read";
                        "key" => &item.key, "error" => %error);
                    return None;
                }
            }
        }
    }

    /// Returns how many jobs of a queue have not begun.
    ///
    /// # Errors
    ///
    /// If the store does not answer before the deadline.
    pub async fn pending(
        &self,
        queue: &str,
        deadline: Instant,
    ) -> Result<usize, Unavailable> {
        let prefix = keys::waiting_prefix(queue);
        loop {
            let list = self.store.list(&prefix);
            match tokio::time::timeout_at(deadline, list).await {
                Ok(Ok(listing)) => return Ok(listing.items.len()),
                Ok(Err(error)) => pause_before_retry(error, deadline).await?,
                Err(_) => return Err(Unavailable("in time".to_owned())),
            }
        }
    }

    async fn read(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Item>, Unavailable> {
        loop {
            let get = self.store.get(key);
            match tokio::time::timeout_at(deadline, get).await {
                Ok(Ok(item)) => return Ok(item),
                Ok(Err(error)) => pause_before_retry(error, deadline).await?,
                Err(_) => return Err(Unavailable("in time".to_owned())),
            }
        }
    }

    fn is_unsure(&self, id: &graph::Id) -> bool {
        let unsure = self.unsure.lock();
        let unsure = unsure.unwrap_or_else(PoisonError::into_inner);
        unsure.contains_key(id)
    }

    fn set_unsure(&self, id: &graph::Id) {
        let now = Instant::now();
        let unsure = self.unsure.lock();
        let mut unsure = unsure.unwrap_or_else(PoisonError::into_inner);
        unsure.retain(|_, since| now < *since + UNSURE_TTL);
        unsure.insert(id.clone(), now);
    }
}

/// Returns how the job of a kept progress has ended, if it has.
fn outcome(progress: &Item) -> Result<Option<Outcome>, Unavailable> {
    serde_json::from_slice::<Progress>(&progress.value)
        .map(|progress| progress.outcome)
        .map_err(|error| Unavailable(error.to_string()))
}

/// Waits before a call is made again, if there is time for it.
async fn pause_before_retry(
    error: Error,
    deadline: Instant,
) -> Result<(), Unavailable> {
    if Instant::now() + RETRY_DELAY * 2 >= deadline {
        return Err(Unavailable(error.to_string()));
    }
    pause(RETRY_DELAY).await;
    Ok(())
}

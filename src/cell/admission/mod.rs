//! Accepts and cancels jobs, and reports how far they have come.

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
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Outcome;
use crate::graph::Progress;
use crate::store::Change;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::Mutation;
use crate::store::Store;
use crate::store::Swap;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long a submission retries a store that rejects calls before the job is
/// refused and its caller asked to retry later.
const DEFAULT_PATIENCE: Duration = Duration::from_millis(600);
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long the first write waits for an answer before it is repeated; the
/// wait doubles with each further write. The slowest answers of a store that
/// serves took 340 ms, and a job that waits for an answer that never comes is
/// late 1.5 s after it was sent.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a request for a running job's state waits for the job's end: the
/// time that an end takes from the worker through the planner into the store,
/// with a margin.
const END_WAIT: Duration = Duration::from_millis(120);
/// The time beyond [`END_WAIT`] that such a request may take.
const END_SLACK: Duration = Duration::from_millis(100);
/// The shortest wait that is worth a call.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// How long an unanswered write is remembered: longer than a late write can
/// take.
const UNANSWERED_WRITE_TTL: Duration = Duration::from_secs(60);

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is stored, by this submission or an earlier one.
    Accepted,
    /// The job is not stored, and this submission will not store it.
    Refused,
    /// The job may be stored. The caller must ask again under the same name.
    Unsure,
}

/// How far a job has come, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No task of the job has begun.
    Queued,
    /// A task of the job has begun.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// The store did not answer in time.
#[derive(Debug, thiserror::Error)]
#[error("the store does not answer: {0}")]
pub struct Unavailable(String);

/// Accepts and cancels jobs, and reads their state.
#[derive(Clone, Debug)]
pub struct Admission<S> {
    store: S,
    reachability: Reachability,
    patience: Duration,
    /// The jobs whose write by this process was not answered, and the time of
    /// the write.
    unsure: Arc<Mutex<HashMap<JobId, Instant>>>,
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

    /// Returns the shared reachability of the store, so that other calls can
    /// update it.
    pub fn reachability(&self) -> Reachability {
        self.reachability.clone()
    }

    /// Stores a job, unless it is stored already. At most half of the time
    /// until the deadline is used, so that the caller can still ask again
    /// under the same name through another entry.
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
            Mutation::Value(key, value, 0),
            Mutation::Value(
                keys::waiting_job(&job.queue, &job.id),
                Vec::new(),
                0,
            ),
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
                    slog::warn!(self.log, "entry: the store rejected a job";
                        "job" => &*job.id, "error" => %error);
                }
                Ok(Err(_)) | Err(_) => self.set_unsure(&job.id),
            }
            self.reachability.set(false);
            pause(RETRY_DELAY).await;
        }
    }

    /// Cancels a job. Returns whether the job exists.
    ///
    /// # Errors
    ///
    /// If the store does not answer before the deadline.
    pub async fn cancel(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<bool, Unavailable> {
        let job = self.read(&keys::job(id), deadline).await?;
        if job.is_none() {
            return Ok(false);
        }
        let key = keys::cancel(id);
        let absent = [Compare::Modified(key.clone(), 0)];
        loop {
            let puts = vec![Mutation::Value(key.clone(), b"{}".to_vec(), 0)];
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

    /// Returns how far a job has come, or `None` if there is no such job. For
    /// a running job the call waits briefly for its end, because callers often
    /// ask just as it ends.
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
        // A stored cancellation does not make the job count as cancelled here:
        // the job may have ended before, which only the planner knows, and a
        // reported state must never be taken back.
        if let Some(progress) = progress {
            let ended = self.wait_for_end(&progress, deadline).await;
            return Ok(Some(ended.map_or(Stage::Running, Stage::Ended)));
        }
        let job = self.read(&keys::job(id), deadline).await?;
        Ok(job.map(|_| Stage::Queued))
    }

    /// Waits briefly for a job's end.
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
            // Without an answer the caller gets the state read before.
            let limit = (until + END_SLACK).min(deadline);
            let changes = tokio::time::timeout_at(limit, changes).await;
            let changes = changes.ok()?.ok()?;
            after = after.max(changes.revision);
            // The store reports all keys with this prefix, and so also those
            // of jobs with a longer name.
            let matching = changes.changes.into_iter().rev();
            let mut matching = matching.filter(|c| c.key() == progress.key);
            let item = match matching.next() {
                Some(Change::Put(item)) => item,
                Some(Change::Deleted(..)) => return None,
                None => continue,
            };
            match outcome(&item) {
                Ok(None) => {}
                Ok(ended) => return ended,
                Err(error) => {
                    slog::error!(self.log,
                        "entry: a job's progress cannot be decoded";
                        "key" => &item.key, "error" => %error);
                    return None;
                }
            }
        }
    }

    /// Returns the number of jobs in a queue that have not begun.
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

    fn is_unsure(&self, id: &graph::JobId) -> bool {
        let unsure = self.unsure.lock();
        let unsure = unsure.unwrap_or_else(PoisonError::into_inner);
        unsure.contains_key(id)
    }

    fn set_unsure(&self, id: &graph::JobId) {
        let now = Instant::now();
        let unsure = self.unsure.lock();
        let mut unsure = unsure.unwrap_or_else(PoisonError::into_inner);
        unsure.retain(|_, since| now < *since + UNANSWERED_WRITE_TTL);
        unsure.insert(id.clone(), now);
    }
}

/// Returns the outcome in a stored progress, if the job has ended.
fn outcome(progress: &Item) -> Result<Option<Outcome>, Unavailable> {
    serde_json::from_slice::<Progress>(&progress.value)
        .map(|progress| progress.outcome)
        .map_err(|error| Unavailable(error.to_string()))
}

/// Pauses before a call is retried, or fails if the deadline is too close.
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

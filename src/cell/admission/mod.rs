//! Accepts and cancels jobs, and reports how far they have come.
//!
//! A write that was not answered may still be carried out seconds later. That
//! a job is absent is therefore no proof that it stays absent: a cancellation
//! leaves a record that a late write of the job must meet.

mod cancel;
mod stage;

pub use crate::cell::admission::stage::Stage;

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
/// How long an unanswered write is remembered: longer than a late write can
/// take.
const UNANSWERED_WRITE_TTL: Duration = Duration::from_secs(60);
/// The longest that a submission may take, whatever its caller's deadline.
const MAX_SUBMISSION_TIME: Duration = Duration::from_secs(30);
/// How long the cancellation of an unknown job bars that job.
pub const CANCELLED_ID_TTL: Duration = Duration::from_secs(120);

// Submissions that began before the cancellation must not outlast it, nor must
// their last write.
const _: () = {
    let latest =
        MAX_SUBMISSION_TIME.as_secs() + UNANSWERED_WRITE_TTL.as_secs();
    assert!(latest < CANCELLED_ID_TTL.as_secs());
};

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is stored, by this submission or an earlier one.
    Accepted,
    /// The job is not stored, and this submission will not store it.
    Refused,
    /// The job may be stored. The caller must ask again under the same name.
    Unsure,
    /// The store does not take the job, and will not if it is sent again.
    Rejected,
    /// The job is not stored and cannot be for [`CANCELLED_ID_TTL`], because
    /// its name was cancelled while there was no such job.
    Cancelled,
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
            Submitted::Rejected => "rejected",
            Submitted::Cancelled => "cancelled",
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
        let time = deadline.duration_since(began) / 2;
        let deadline = began + time.min(MAX_SUBMISSION_TIME);
        let key = keys::job(&job.id);
        let absent = [
            Compare::Modified(key.clone(), 0),
            Compare::Modified(keys::cancel(&job.id), 0),
        ];
        let puts = vec![
            Mutation::Value(key.clone(), value, 0),
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
                Ok(Ok(Swap::Written(_))) => return Submitted::Accepted,
                Ok(Ok(Swap::Refused(items))) => {
                    let stored = items.iter().any(|item| item.key == key);
                    return match (stored, self.is_unsure(&job.id)) {
                        (true, _) => Submitted::Accepted,
                        (false, false) => Submitted::Cancelled,
                        // The cancellation may end before a late write does.
                        (false, true) => Submitted::Unsure,
                    };
                }
                Ok(Err(Error::Rejected(error))) => {
                    slog::error!(self.log,
                        "entry: the store does not take a job";
                        "job" => &*job.id, "error" => %error);
                    return Submitted::Rejected;
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

    /// Returns whether a write of this job had no answer and may yet take
    /// effect.
    pub fn is_unsure(&self, id: &graph::JobId) -> bool {
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

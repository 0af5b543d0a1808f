//! How far jobs have come, for their callers.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::admission::pause_before_retry;
use crate::cell::admission::Admission;
use crate::cell::admission::Unavailable;
use crate::cell::keys;
use crate::cell::record::Ending;
use crate::graph::Outcome;
use crate::log::excerpt;
use crate::store::Change;
use crate::store::Item;
use crate::store::Store;

/// How long a request for a running job's state waits for the job's end: the
/// time that an end takes from the worker through the planner into the store,
/// with a margin.
const END_WAIT: Duration = Duration::from_millis(120);
/// The time beyond [`END_WAIT`] that such a request may take.
const END_SLACK: Duration = Duration::from_millis(100);
/// The shortest wait that is worth a call.
const MIN_WAIT: Duration = Duration::from_millis(10);
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

impl<S: Store> Admission<S> {
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
                        "key" => &item.key, "error" => excerpt(error));
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
}

/// Returns the outcome in a stored progress, if the job has ended.
fn outcome(progress: &Item) -> Result<Option<Outcome>, Unavailable> {
    serde_json::from_slice::<Ending>(&progress.value)
        .map(|ending| ending.outcome)
        .map_err(|error| Unavailable(excerpt(error)))
}

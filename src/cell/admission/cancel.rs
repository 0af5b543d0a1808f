//! Cancellations of jobs.

use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::cell::admission::pause_before_retry;
use crate::cell::admission::Admission;
use crate::cell::admission::Unavailable;
use crate::cell::admission::CANCELLED_ID_TTL;
use crate::cell::keys;
use crate::store::Compare;
use crate::store::Error;
use crate::store::LeaseId;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// The value of a cancellation.
const CANCELLATION: &[u8] = b"{}";

/// The lease of a record that stays until it is removed.
const NO_LEASE: LeaseId = 0;

/// What a cancellation has found, as its answered write has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// The job, which is cancelled for good.
    Job,
    /// No job. A write of the job that is still under way will be refused.
    Nothing,
    /// The job has come or gone since it was read.
    Changed,
}

impl<S: Store> Admission<S> {
    /// Cancels a job. Returns whether the job exists.
    ///
    /// If it does not exist, it cannot come to exist by a write that is still
    /// under way.
    ///
    /// # Errors
    ///
    /// If the store does not answer before the deadline.
    pub async fn cancel(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<bool, Unavailable> {
        // One lease serves all tries of this call.
        let mut lease = None;
        loop {
            let job = self.read(&keys::job(id), deadline).await?;
            let revision = job.map_or(0, |job| job.modified);
            let cancelled = self.try_cancel(id, revision, &mut lease);
            let cancelled = match timeout_at(deadline, cancelled).await {
                Ok(cancelled) => cancelled,
                Err(_) => return Err(Unavailable("in time".to_owned())),
            };
            let found = match cancelled {
                Ok(Found::Changed) => continue,
                Ok(found) => found == Found::Job,
                Err(error) => {
                    pause_before_retry(error, deadline).await?;
                    continue;
                }
            };
            slog::info!(self.log, "entry: a job is cancelled";
                "job" => id, "found" => found, "revision" => revision);
            return Ok(found);
        }
    }

    /// Writes the cancellation of a job that was read at `revision`, or was
    /// absent if that is 0. A record for an absent job ends with its lease.
    async fn try_cancel(
        &self,
        id: &str,
        revision: Revision,
        lease: &mut Option<LeaseId>,
    ) -> Result<Found, Error> {
        let lease = match (revision, *lease) {
            (0, Some(lease)) => lease,
            (0, None) => {
                *lease.insert(self.store.grant(CANCELLED_ID_TTL).await?)
            }
            _ => NO_LEASE,
        };
        let unchanged = [Compare::Modified(keys::job(id), revision)];
        let value = CANCELLATION.to_vec();
        let put = Mutation::Value(keys::cancel(id), value, lease);
        Ok(match self.store.swap(&unchanged, vec![put]).await? {
            Swap::Refused(_) => Found::Changed,
            Swap::Written(_) if revision == 0 => Found::Nothing,
            Swap::Written(_) => Found::Job,
        })
    }
}

//! Writes jobs' progress under the claim, and resolves writes whose answer was
//! lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::cell::claim::Claim;
use crate::cell::keys;
use crate::cell::pause;
use crate::graph::JobId;
use crate::graph::ProgressUpdate;
use crate::http::transfer_time;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// The jobs written in one transaction. Each needs a condition, a put and a
/// removal; with the claim's condition that makes at most the platform's limit
/// of 32 entries.
pub const MAX_BATCH_JOBS: usize = 10;
/// The longest wait for an answer, beyond the transfer time of the bytes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay before a batch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The state of the jobs' records in the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The revision of each job's progress.
    pub revisions: BTreeMap<JobId, Revision>,
    /// The jobs that no longer count as waiting.
    pub begun: BTreeSet<JobId>,
}

impl Records {
    /// Returns the state of the records of a batch's jobs.
    pub fn subset(&self, batch: &[ProgressUpdate]) -> Records {
        let ids = || batch.iter().map(|job| &job.id);
        Records {
            revisions: ids()
                .filter_map(|id| Some((id.clone(), *self.revisions.get(id)?)))
                .collect(),
            begun: ids()
                .filter(|id| self.begun.contains(*id))
                .cloned()
                .collect(),
        }
    }
}

/// A batch that was written.
#[derive(Clone, Debug)]
pub struct Written {
    /// The jobs, with the version and revision of each.
    pub jobs: Vec<(JobId, u64, Revision)>,
}

/// The claim is lost, or another process has written.
#[derive(Debug, thiserror::Error)]
#[error("the claim is lost: {0}")]
pub struct Lost(String);

/// Writes a batch, retrying until it is written or the claim is lost.
///
/// Every put is conditioned on the previous revision. A write whose answer was
/// lost therefore either shows as the current value, or can no longer take
/// effect after the next try has.
///
/// # Errors
///
/// If the claim is lost.
pub async fn write(
    store: &impl Store,
    claim: &Claim,
    records: &Records,
    batch: &[ProgressUpdate],
) -> Result<Written, Lost> {
    let mut conditions = vec![claim.condition()];
    let mut puts = Vec::new();
    for job in batch {
        let key = keys::progress(&job.id);
        let before = records.revisions.get(&job.id).copied().unwrap_or(0);
        conditions.push(Compare::Modified(key.clone(), before));
        let value = serde_json::to_vec(&job.progress)
            .map_err(|error| Lost(error.to_string()))?;
        puts.push(Mutation::Value(key, value, 0));
        if !records.begun.contains(&job.id) {
            puts.push(Mutation::Delete(keys::waiting_job(
                &job.queue, &job.id,
            )));
        }
    }
    let limit = ANSWER_TIMEOUT
        + transfer_time(puts.iter().map(Mutation::payload_bytes).sum());
    loop {
        let swap = store.swap(&conditions, puts.clone());
        match tokio::time::timeout(limit, swap).await {
            Ok(Ok(Swap::Written(revision))) => {
                return Ok(written_jobs(batch, |_| Some(revision)));
            }
            Ok(Ok(Swap::Refused(items))) => {
                return resolve_refusal(batch, &puts, &items);
            }
            Ok(Err(Error::Unreached(_) | Error::Lost(_)))
            | Ok(Err(Error::Forgotten(_)))
            | Err(_) => {}
        }
        if !claim.holds() {
            return Err(Lost("its lease has run out".to_owned()));
        }
        pause(RETRY_DELAY).await;
    }
}

/// Returns the jobs of a batch that have a revision, as written.
fn written_jobs(
    batch: &[ProgressUpdate],
    revision: impl Fn(&JobId) -> Option<Revision>,
) -> Written {
    let jobs = batch.iter().filter_map(|job| {
        Some((job.id.clone(), job.version, revision(&job.id)?))
    });
    Written {
        jobs: jobs.collect(),
    }
}

/// Distinguishes an earlier try of this writer that took effect from a write
/// of another process.
fn resolve_refusal(
    batch: &[ProgressUpdate],
    puts: &[Mutation],
    items: &[Item],
) -> Result<Written, Lost> {
    let ours = puts.iter().all(|put| match put {
        Mutation::Value(key, value, _) => items
            .iter()
            .any(|item| item.key == *key && item.value == *value),
        Mutation::Delete(_) => true,
    });
    if !ours {
        return Err(Lost("another has written".to_owned()));
    }
    let revision = |id: &JobId| {
        let key = keys::progress(id);
        items.iter().find(|i| i.key == key).map(|i| i.modified)
    };
    Ok(written_jobs(batch, revision))
}

//! Writing jobs' progress under the claim, whatever becomes of answers.

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

/// How many jobs one transaction holds: with the claim's condition, a
/// condition, a put and a removal each, the platform's 32 entries.
pub const MOST: usize = 10;
/// How long an answer is waited for, beyond what the bytes take.
const CALL: Duration = Duration::from_millis(700);
/// How long is waited before a batch is tried again.
const AGAIN: Duration = Duration::from_millis(60);

/// What the writer knows of the store.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The revision of each job's progress.
    pub revisions: BTreeMap<JobId, Revision>,
    /// The jobs that no longer count as waiting.
    pub begun: BTreeSet<JobId>,
}

impl Known {
    /// Returns what is known of the jobs of a batch.
    pub fn of(&self, batch: &[ProgressUpdate]) -> Known {
        let ids = || batch.iter().map(|job| &job.id);
        Known {
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

/// A batch that is written.
#[derive(Clone, Debug)]
pub struct Written {
    /// The jobs, with the version and revision of each.
    pub jobs: Vec<(JobId, u64, Revision)>,
}

/// The claim is lost, or somebody else has written.
#[derive(Debug, thiserror::Error)]
#[error("the claim is lost: {0}")]
pub struct Lost(String);

/// Writes a batch; tries until it is written or the claim is lost.
///
/// Every put is conditioned on the revision before it. A write whose answer
/// was lost therefore either shows itself as the current value, or can no
/// longer take effect once the next try has.
///
/// # Errors
///
/// If the claim is lost.
pub async fn write(
    store: &impl Store,
    claim: &Claim,
    known: &Known,
    batch: &[ProgressUpdate],
) -> Result<Written, Lost> {
    let mut conditions = vec![claim.condition()];
    let mut puts = Vec::new();
    for job in batch {
        let key = keys::progress(&job.id);
        let before = known.revisions.get(&job.id).copied().unwrap_or(0);
        conditions.push(Compare::Modified(key.clone(), before));
        let value = serde_json::to_vec(&job.progress)
            .map_err(|error| Lost(error.to_string()))?;
        puts.push(Mutation::Value(key, value, 0));
        if !known.begun.contains(&job.id) {
            puts.push(Mutation::Delete(keys::waits(&job.queue, &job.id)));
        }
    }
    let limit =
        CALL + transfer_time(puts.iter().map(Mutation::payload_bytes).sum());
    loop {
        let swap = store.swap(&conditions, puts.clone());
        match tokio::time::timeout(limit, swap).await {
            Ok(Ok(Swap::Written(revision))) => {
                return Ok(all(batch, |_| Some(revision)));
            }
            Ok(Ok(Swap::Refused(items))) => {
                return landed(batch, &puts, &items);
            }
            Ok(Err(Error::Unreached(_) | Error::Lost(_)))
            | Ok(Err(Error::Forgotten(_)))
            | Err(_) => {}
        }
        if !claim.holds() {
            return Err(Lost("its lease has run out".to_owned()));
        }
        pause(AGAIN).await;
    }
}

fn all(
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

/// Tells an earlier try of ours that has taken effect from a write of
/// somebody else.
fn landed(
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
    Ok(all(batch, revision))
}

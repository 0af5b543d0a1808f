//! Writing jobs' progress under the claim, whatever becomes of answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::cell::claim::Claim;
use crate::cell::keys;
use crate::cell::pause;
use crate::graph::Id;
use crate::graph::Unwritten;
use crate::http::carriage;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::Put;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// How many jobs one transaction holds: with the claim's condition, a
/// condition, a put and a removal each, the platform's 32 entries.
pub const MAX_BATCH_JOBS: usize = 10;
/// How long an answer is waited for, beyond what the bytes take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long is waited before a batch is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What the writer knows of the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The revision of each job's progress.
    pub revisions: BTreeMap<Id, Revision>,
    /// The jobs that no longer count as waiting.
    pub begun: BTreeSet<Id>,
}

impl Records {
    /// Returns what is known of the jobs of a batch.
    pub fn subset(&self, batch: &[Unwritten]) -> Records {
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

/// A batch that is written.
#[derive(Clone, Debug)]
pub struct Written {
    /// The jobs, with the version and revision of each.
    pub jobs: Vec<(Id, u64, Revision)>,
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
    records: &Records,
    batch: &[Unwritten],
) -> Result<Written, Lost> {
    let mut conditions = vec![claim.condition()];
    let mut puts = Vec::new();
    for job in batch {
        let key = keys::progress(&job.id);
        let before = records.revisions.get(&job.id).copied().unwrap_or(0);
        conditions.push(Compare::Modified(key.clone(), before));
        let value = serde_json::to_vec(&job.progress)
            .map_err(|error| Lost(error.to_string()))?;
        puts.push(Put::Value(key, value, 0));
        if !records.begun.contains(&job.id) {
            puts.push(Put::Delete(keys::waiting_job(&job.queue, &job.id)));
        }
    }
    let limit = ANSWER_TIMEOUT + carriage(puts.iter().map(Put::bytes).sum());
    loop {
        let swap = store.swap(&conditions, puts.clone());
        match tokio::time::timeout(limit, swap).await {
            Ok(Ok(Swap::Written(revision))) => {
                return Ok(written(batch, |_| Some(revision)));
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

fn written(
    batch: &[Unwritten],
    revision: impl Fn(&Id) -> Option<Revision>,
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
fn resolve_refusal(
    batch: &[Unwritten],
    puts: &[Put],
    items: &[Item],
) -> Result<Written, Lost> {
    let ours = puts.iter().all(|put| match put {
        Put::Value(key, value, _) => items
            .iter()
            .any(|item| item.key == *key && item.value == *value),
        Put::Delete(_) => true,
    });
    if !ours {
        return Err(Lost("another has written".to_owned()));
    }
    let revision = |id: &Id| {
        let key = keys::progress(id);
        items.iter().find(|i| i.key == key).map(|i| i.modified)
    };
    Ok(written(batch, revision))
}

//! Keeps the ends that a planner has read, and could not write before it lost
//! its claim.
//!
//! An end is true whoever writes it, so that no claim is needed. The writes are
//! conditioned on the job and on the ends that are kept for it already.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::cell::keys;
use crate::cell::pause;
use crate::graph::JobId;
use crate::graph::KeptEnd;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Mutation;
use crate::store::Store;
use crate::store::Swap;

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the ends are kept in this process while the store does not take
/// them: many times as long as the outages that an agent survives.
const HANDOVER_TIME: Duration = Duration::from_secs(120);

/// The ends of a job cannot be kept, whatever is tried.
#[derive(Debug, thiserror::Error)]
enum Unkept {
    /// The store did not take the call.
    #[error("{0}")]
    Store(#[from] Error),
    /// The ends that are kept already cannot be decoded, or these not encoded.
    #[error("the kept ends cannot be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Writes ends for the next planner, and retries while the store does not
/// answer.
pub(super) async fn keep(
    store: impl Store,
    ends: BTreeMap<JobId, Vec<KeptEnd>>,
    log: slog::Logger,
) {
    let until = Instant::now() + HANDOVER_TIME;
    for (id, ends) in ends {
        let kept = loop {
            match try_keep(&store, &id, &ends).await {
                Ok(true) => break Ok(()),
                // Another process has written; what is there is read again.
                Ok(false) => {}
                Err(Unkept::Store(
                    Error::Unreached(_) | Error::Lost(_) | Error::Forgotten(_),
                )) if Instant::now() < until => {}
                Err(error) => break Err(error),
            }
            pause(RETRY_DELAY).await;
        };
        match kept {
            Ok(()) => slog::info!(log,
                "planner: ends that were not written are handed on";
                "job" => &*id, "ends" => ends.len()),
            Err(error) => slog::error!(log,
                "planner: ends that were not written are lost";
                "job" => &*id, "ends" => ends.len(), "error" => %error),
        }
    }
}

/// Adds ends to those that are kept for a job. Returns `false` if another
/// process has written meanwhile.
async fn try_keep(
    store: &impl Store,
    id: &str,
    ends: &[KeptEnd],
) -> Result<bool, Unkept> {
    let (job_key, key) = (keys::job(id), keys::ends(id));
    // A job that was removed needs no ends.
    let Some(job) = store.get(&job_key).await? else {
        return Ok(true);
    };
    let kept = store.get(&key).await?;
    let revision = kept.as_ref().map_or(0, |item| item.modified);
    let mut all: Vec<KeptEnd> = match kept {
        Some(item) => serde_json::from_slice(&item.value)?,
        None => Vec::new(),
    };
    let missing = ends.iter().filter(|end| !all.contains(end)).cloned();
    let missing: Vec<KeptEnd> = missing.collect();
    if missing.is_empty() {
        return Ok(true);
    }
    all.extend(missing);
    let conditions = [
        Compare::Modified(job_key, job.modified),
        Compare::Modified(key.clone(), revision),
    ];
    let value = serde_json::to_vec(&all)?;
    let put = Mutation::Value(key, value, 0);
    match store.swap(&conditions, vec![put]).await? {
        Swap::Written(_) => Ok(true),
        Swap::Refused(_) => Ok(false),
    }
}

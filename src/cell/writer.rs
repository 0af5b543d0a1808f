//! Writes jobs' progress under the claim, and resolves writes whose answer was
//! lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::cell::claim::Claim;
use crate::cell::keys;
use crate::cell::pause;
use crate::cell::record;
use crate::cell::record::Encoded;
use crate::graph::EndsUpdate;
use crate::graph::JobId;
use crate::graph::Progress;
use crate::graph::ProgressUpdate;
use crate::http::transfer_time;
use crate::store::Compare;
use crate::store::Error;
use crate::store::Item;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Store;
use crate::store::Swap;

/// The jobs written at a time.
pub const MAX_BATCH_JOBS: usize = 10;
/// The most conditions and mutations in one transaction, which is the
/// platform's limit.
const MAX_ENTRIES: usize = 32;
/// The most bytes of values in one transaction, unless it writes a single one.
const MAX_TRANSACTION_BYTES: usize = 512 * 1024;
/// The longest wait for an answer, beyond the transfer time of the bytes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay before a transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The state of the jobs' records in the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The revision of each key.
    pub revisions: BTreeMap<String, Revision>,
    /// The jobs that no longer count as waiting.
    pub begun: BTreeSet<JobId>,
    /// The stored progress of the jobs that are stored in parts.
    pub in_parts: BTreeMap<JobId, Progress>,
}

impl Records {
    /// Returns the keys of the parts of a job.
    pub fn part_keys(&self, id: &str) -> Vec<String> {
        let prefix = keys::part_prefix(id);
        let keys = self.revisions.range(prefix.clone()..);
        keys.map(|(key, _)| key.clone())
            .take_while(|key| key.starts_with(&prefix))
            .collect()
    }

    /// Forgets a job whose records were removed.
    pub fn forget(&mut self, id: &JobId) {
        for key in self.part_keys(id) {
            self.revisions.remove(&key);
        }
        self.revisions.remove(&keys::progress(id));
        self.revisions.remove(&keys::ends(id));
        self.begun.remove(id);
        self.in_parts.remove(id);
    }

    /// Records what was written.
    pub fn update(&mut self, written: &Written) {
        self.revisions.extend(written.revisions.iter().cloned());
        for (key, _) in &written.revisions {
            if let Some(id) = key.strip_prefix(keys::PROGRESS_PREFIX) {
                self.begun.insert(id.into());
            }
        }
        for job in &written.jobs {
            if !self.part_keys(&job.id).is_empty() {
                self.in_parts.insert(job.id.clone(), job.progress.clone());
            }
        }
    }

    fn revision(&self, key: &str) -> Revision {
        self.revisions.get(key).copied().unwrap_or(0)
    }
}

/// Mutations that must be carried out together, and their conditions.
#[derive(Clone, Debug, Default)]
struct Group {
    /// The index of the job in its batch.
    job: usize,
    conditions: Vec<Compare>,
    mutations: Vec<Mutation>,
}

impl Group {
    fn put(&mut self, key: String, value: Vec<u8>, records: &Records) {
        let before = records.revision(&key);
        self.conditions.push(Compare::Modified(key.clone(), before));
        self.mutations.push(Mutation::Value(key, value, 0));
    }

    fn entries(&self) -> usize {
        self.conditions.len() + self.mutations.len()
    }

    fn bytes(&self) -> usize {
        self.mutations.iter().map(Mutation::payload_bytes).sum()
    }
}

/// Jobs' progress and kept ends to write, as transactions in their order.
#[derive(Clone, Debug)]
pub struct Batch {
    jobs: Vec<ProgressUpdate>,
    ends: Vec<EndsUpdate>,
    transactions: Vec<Vec<Group>>,
}

impl Batch {
    /// Returns the transactions that bring the records of `jobs` and the kept
    /// ends of other jobs up to date.
    ///
    /// # Errors
    ///
    /// If a record cannot be encoded.
    pub fn new(
        jobs: Vec<ProgressUpdate>,
        ends: Vec<EndsUpdate>,
        records: &Records,
    ) -> Result<Batch, serde_json::Error> {
        let mut groups = Vec::new();
        for (number, job) in jobs.iter().enumerate() {
            groups.extend(progress_groups(number, job, records)?);
        }
        for (number, update) in (jobs.len()..).zip(&ends) {
            groups.push(ends_group(number, update, records)?);
        }
        let transactions = transactions(groups);
        Ok(Batch {
            jobs,
            ends,
            transactions,
        })
    }

    /// Returns the outcome of the whole batch. `rejected` has the store's
    /// reason by the index of the job.
    fn written(
        self,
        revisions: Vec<(String, Revision)>,
        mut rejected: BTreeMap<usize, String>,
    ) -> Written {
        let mut written = Written {
            revisions,
            ..Written::default()
        };
        let ends = (self.jobs.len()..).zip(self.ends);
        for (number, job) in self.jobs.into_iter().enumerate() {
            match rejected.remove(&number) {
                Some(reason) => written.rejected.push((job.id, reason)),
                None => written.jobs.push(job),
            }
        }
        for (number, update) in ends {
            match rejected.remove(&number) {
                Some(reason) => written.rejected.push((update.id, reason)),
                None => written.ends.push((update.id, update.version)),
            }
        }
        written
    }
}

/// Returns groups as transactions that the store takes.
fn transactions(groups: Vec<Group>) -> Vec<Vec<Group>> {
    let mut transactions: Vec<Vec<Group>> = Vec::new();
    let (mut entries, mut bytes) = (0, 0);
    for group in groups {
        let (more, more_bytes) = (group.entries(), group.bytes());
        // One entry is the claim's condition.
        let fits = entries + more < MAX_ENTRIES
            && bytes + more_bytes <= MAX_TRANSACTION_BYTES;
        match transactions.last_mut() {
            Some(transaction) if fits => transaction.push(group),
            _ => {
                transactions.push(vec![group]);
                (entries, bytes) = (0, 0);
            }
        }
        entries += more;
        bytes += more_bytes;
    }
    transactions
}

/// Returns the group that writes the ends kept for a job.
fn ends_group(
    job: usize,
    update: &EndsUpdate,
    records: &Records,
) -> Result<Group, serde_json::Error> {
    let mut group = Group {
        job,
        ..Group::default()
    };
    let value = serde_json::to_vec(&update.ends)?;
    group.put(keys::ends(&update.id), value, records);
    Ok(group)
}

/// Returns the groups that write a job's progress, in their order.
fn progress_groups(
    job: usize,
    update: &ProgressUpdate,
    records: &Records,
) -> Result<Vec<Group>, serde_json::Error> {
    let stored = records.in_parts.get(&update.id);
    // Parts that were written without the head do not count as stored, but a
    // head with all units would be overruled by them.
    let nothing = Progress::default();
    let has_parts = !records.part_keys(&update.id).is_empty();
    let baseline = stored.or(has_parts.then_some(&nothing));
    let encoded = record::encode(&update.progress, baseline)?;
    let (head, parts) = match encoded {
        Encoded::Whole(head) => (head, BTreeMap::new()),
        Encoded::InParts(head, parts) => (head, parts),
    };
    let group = || Group {
        job,
        ..Group::default()
    };
    let mut first = group();
    let key = keys::progress(&update.id);
    let head_is_whole = stored.is_none() && records.revision(&key) != 0;
    first.put(key, head, records);
    if !records.begun.contains(&update.id) {
        let waiting = keys::waiting_job(&update.queue, &update.id);
        first.mutations.push(Mutation::Delete(waiting));
    }
    let mut groups = vec![first];
    for (id, value) in parts {
        let mut part = group();
        part.put(keys::part(&update.id, id), value, records);
        groups.push(part);
    }
    // The head shows a job's end, which must not depend on later writes. But a
    // head that still holds all units is replaced only once the parts do.
    if head_is_whole {
        groups.rotate_left(1);
    }
    Ok(groups)
}

/// What was written of a batch.
#[derive(Clone, Debug, Default)]
pub struct Written {
    /// The jobs that are written, each with its version.
    pub jobs: Vec<ProgressUpdate>,
    /// The jobs whose kept ends are written, each with their version.
    pub ends: Vec<(JobId, u64)>,
    /// The keys that were written, and their revisions.
    pub revisions: Vec<(String, Revision)>,
    /// The jobs with a record that the store does not take, and the store's
    /// reason.
    pub rejected: Vec<(JobId, String)>,
}

/// The claim is lost, or another process has written.
#[derive(Debug, thiserror::Error)]
#[error("the claim is lost: {0}")]
pub struct Lost(String);

/// What cannot be encoded cannot be written by any further try.
impl From<serde_json::Error> for Lost {
    fn from(error: serde_json::Error) -> Lost {
        Lost(error.to_string())
    }
}

/// Writes a batch, retrying until it is written or the claim is lost. A job
/// with a record that the store does not take holds up no other job.
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
    mut batch: Batch,
) -> Result<Written, Lost> {
    let mut revisions = Vec::new();
    let mut rejected = BTreeMap::new();
    for mut groups in std::mem::take(&mut batch.transactions) {
        groups.retain(|group| !rejected.contains_key(&group.job));
        match write_groups(store, claim, &groups).await? {
            Answer::Written(written) => revisions.extend(written),
            Answer::Rejected(_) if groups.len() > 1 => {
                for group in groups {
                    if rejected.contains_key(&group.job) {
                        continue;
                    }
                    let job = group.job;
                    match write_groups(store, claim, &[group]).await? {
                        Answer::Written(written) => revisions.extend(written),
                        Answer::Rejected(reason) => {
                            rejected.insert(job, reason);
                        }
                    }
                }
            }
            Answer::Rejected(reason) => {
                let jobs = groups.iter().map(|g| (g.job, reason.clone()));
                rejected.extend(jobs);
            }
        }
    }
    Ok(batch.written(revisions, rejected))
}

/// The store's answer to a transaction.
enum Answer {
    /// The keys that were written, and their revisions.
    Written(Vec<(String, Revision)>),
    /// The store does not take the transaction, however often it is repeated.
    Rejected(String),
}

/// Writes groups in one transaction, retrying until the store has answered.
async fn write_groups(
    store: &impl Store,
    claim: &Claim,
    groups: &[Group],
) -> Result<Answer, Lost> {
    if groups.is_empty() {
        return Ok(Answer::Written(Vec::new()));
    }
    let mut conditions = vec![claim.condition()];
    conditions.extend(groups.iter().flat_map(|g| g.conditions.clone()));
    let puts = groups.iter().flat_map(|g| g.mutations.clone());
    let puts: Vec<Mutation> = puts.collect();
    let limit = ANSWER_TIMEOUT
        + transfer_time(puts.iter().map(Mutation::payload_bytes).sum());
    loop {
        let swap = store.swap(&conditions, puts.clone());
        match tokio::time::timeout(limit, swap).await {
            Ok(Ok(Swap::Written(revision))) => {
                let keys = puts.iter().filter_map(put_key);
                let keys = keys.map(|key| (key.to_owned(), revision));
                return Ok(Answer::Written(keys.collect()));
            }
            Ok(Ok(Swap::Refused(items))) => {
                return resolve_refusal(&puts, &items).map(Answer::Written);
            }
            Ok(Err(Error::Rejected(error))) => {
                return Ok(Answer::Rejected(error.to_string()));
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

/// Returns the key of a put.
fn put_key(mutation: &Mutation) -> Option<&str> {
    match mutation {
        Mutation::Value(key, _, _) => Some(key),
        Mutation::Delete(_) => None,
    }
}

/// Distinguishes an earlier try of this writer that took effect from a write
/// of another process. Returns the revisions of the former.
fn resolve_refusal(
    puts: &[Mutation],
    items: &[Item],
) -> Result<Vec<(String, Revision)>, Lost> {
    let mut written = Vec::new();
    for put in puts {
        let Mutation::Value(key, value, _) = put else {
            continue;
        };
        let item = items.iter().find(|item| item.key == *key);
        match item.filter(|item| item.value == *value) {
            Some(item) => written.push((key.clone(), item.modified)),
            None => return Err(Lost("another has written".to_owned())),
        }
    }
    Ok(written)
}

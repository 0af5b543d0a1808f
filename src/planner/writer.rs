//! Writes records in batches, each on condition of the planner's claim.
//!
//! A batch is one transaction, so that a burst costs few store calls. Each
//! write holds the latest state of a record and may be repeated, so a batch
//! whose answer is lost is written again.

use std::collections::BTreeMap;
use std::time::Duration;

use ractor::ActorRef;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::log::excerpt;
use crate::planner::actor::Message;
use crate::record::Record;
use crate::store;
use crate::store::Compare;
use crate::store::Mutation;
use crate::store::Swap;
use crate::wire::Epoch;

/// How many records one transaction writes at most.
const MAX_BATCH_RECORDS: usize = 64;
/// How many bytes of values one transaction writes at most, unless its first
/// record alone is larger.
const MAX_BATCH_BYTES: usize = 700 * 1024;
/// The least time between two transactions, which limits them to ten a second.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The wait after a transaction that the claim refused; other failures wait an
/// eighth to half of it.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// A record to write.
#[derive(Clone, Debug)]
pub struct Write {
    /// The record's key.
    pub key: String,
    /// The record's value.
    pub value: Vec<u8>,
    /// Whether the write must create the key.
    pub create: bool,
    /// The completion that the planner is notified of once the record is
    /// written.
    pub completion: Option<Completion>,
}

/// The step of a job that a finished write completes.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The job is accepted.
    Created(crate::job::Id),
    /// The job's end may be shown to callers.
    Ended(crate::job::Id),
    /// The start of a job that may not repeat may be decided.
    Marked(crate::wire::gang::Id),
}

/// A writer, stopped when dropped.
pub struct Writer {
    sender: mpsc::UnboundedSender<Write>,
    task: JoinHandle<()>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Writer {
    /// Starts a writer under the claim `claim` of epoch `epoch`.
    pub fn start(
        store: store::Client,
        claim: String,
        epoch: Epoch,
        planner: ActorRef<Message>,
        log: slog::Logger,
    ) -> Writer {
        let (sender, receiver) = mpsc::unbounded_channel();
        let writer_task = WriterTask {
            store,
            claim,
            epoch,
            planner,
            receiver,
            pending: BTreeMap::new(),
            log,
        };
        Writer {
            sender,
            task: tokio::spawn(writer_task.run()),
        }
    }

    /// Queues a record; a later write of the same key replaces a pending one.
    pub fn put(&self, write: Write) {
        let _ = self.sender.send(write);
    }
}

#[derive(Clone)]
struct Pending {
    value: Vec<u8>,
    create: bool,
    completions: Vec<Completion>,
}

type Batch = Vec<(String, Pending)>;

struct WriterTask {
    store: store::Client,
    claim: String,
    epoch: Epoch,
    planner: ActorRef<Message>,
    receiver: mpsc::UnboundedReceiver<Write>,
    pending: BTreeMap<String, Pending>,
    log: slog::Logger,
}

impl WriterTask {
    async fn run(mut self) {
        while let Some(write) = self.receiver.recv().await {
            self.add(write);
            while !self.pending.is_empty() {
                while let Ok(write) = self.receiver.try_recv() {
                    self.add(write);
                }
                self.flush().await;
            }
        }
    }

    fn add(&mut self, write: Write) {
        let pending = self.pending.entry(write.key).or_insert(Pending {
            value: Vec::new(),
            create: write.create,
            completions: Vec::new(),
        });
        pending.value = write.value;
        pending.completions.extend(write.completion);
    }

    /// Writes one batch and waits before the next; on a failure, notifies the
    /// planner and waits before a retry.
    async fn flush(&mut self) {
        let batch = self.batch();
        match self.write(&batch).await {
            Ok(Swap::Written(_)) => {
                self.complete(batch);
                tokio::time::sleep(BATCH_INTERVAL).await;
            }
            Ok(Swap::Refused(items)) if self.holds_claim(&items) => {
                self.write_separately(batch).await;
            }
            Ok(Swap::Refused(_)) => {
                // Another planner has claimed the cell, or the claim is gone:
                // either way this planner may not write any more.
                let _ = self.planner.cast(Message::ClaimLost);
                tokio::time::sleep(MAX_RETRY_WAIT).await;
            }
            Err(error) => {
                let _ = self.planner.cast(Message::StoreFailed);
                let may_be_written = matches!(error, store::Error::Lost(_));
                self.wait_to_retry(&batch, may_be_written).await;
            }
        }
    }

    fn batch(&self) -> Batch {
        let mut bytes = 0;
        let fits = |pending: &Pending| {
            let first = bytes == 0;
            bytes += pending.value.len();
            first || bytes <= MAX_BATCH_BYTES
        };
        let mut fits = fits;
        self.pending
            .iter()
            .take(MAX_BATCH_RECORDS)
            .take_while(|(_, pending)| fits(pending))
            .map(|(key, pending)| (key.clone(), pending.clone()))
            .collect()
    }

    async fn write(&self, batch: &Batch) -> Result<Swap, store::Error> {
        let claim_held = Compare::Created(self.claim.clone(), self.epoch);
        let absent = batch
            .iter()
            .filter(|(_, pending)| pending.create)
            .map(|(key, _)| Compare::Created(key.clone(), 0));
        let conditions: Vec<Compare> =
            std::iter::once(claim_held).chain(absent).collect();
        let puts = batch
            .iter()
            .map(|(key, pending)| {
                Mutation::Value(key.clone(), pending.value.clone(), 0)
            })
            .collect();
        self.store.swap(&conditions, puts).await
    }

    fn holds_claim(&self, items: &[store::Item]) -> bool {
        items
            .iter()
            .any(|item| item.key == self.claim && item.created == self.epoch)
    }

    /// Writes each record of a batch separately, as one of them exists
    /// already.
    async fn write_separately(&mut self, batch: Batch) {
        for record in batch {
            let single = vec![record];
            match self.write(&single).await {
                Ok(Swap::Written(_)) => self.complete(single),
                Ok(Swap::Refused(items)) if self.holds_claim(&items) => {
                    self.report_existing(&single[0].0, &items);
                }
                // The next flush fails in the same way and handles it.
                Ok(Swap::Refused(_)) | Err(_) => return,
            }
        }
    }

    fn complete(&mut self, batch: Batch) {
        for (key, written) in &batch {
            let has_newer = self
                .pending
                .get(key)
                .is_some_and(|pending| pending.value != written.value);
            match has_newer {
                true => {
                    if let Some(pending) = self.pending.get_mut(key) {
                        pending.create = false;
                    }
                }
                false => {
                    self.pending.remove(key);
                }
            }
        }
        let completions =
            batch.into_iter().flat_map(|(_, p)| p.completions).collect();
        let _ = self.planner.cast(Message::RecordsWritten(completions));
    }

    fn report_existing(&mut self, key: &str, items: &[store::Item]) {
        self.pending.remove(key);
        let Some(item) = items.iter().find(|item| item.key == key) else {
            return;
        };
        match Record::parse(&item.value) {
            Ok(record) => {
                let record = Box::new(record);
                let _ = self.planner.cast(Message::RecordExists(record));
            }
            Err(error) => slog::error!(self.log,
                "planner: a job's record cannot be decoded";
                "key" => key, "error" => excerpt(error)),
        }
    }

    /// Waits before a retry, and checks which records of a batch were created
    /// although the answer was lost, so that they are not mistaken for another
    /// planner's.
    async fn wait_to_retry(&mut self, batch: &Batch, may_be_written: bool) {
        let longest = MAX_RETRY_WAIT.as_millis() as u64;
        let wait = fastrand::u64(longest / 8..=longest / 2);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let created = batch.iter().filter(|(_, p)| p.create && may_be_written);
        for (key, ours) in created {
            if let Ok(Some(item)) = self.store.get(key).await {
                if item.value == ours.value {
                    if let Some(pending) = self.pending.get_mut(key) {
                        pending.create = false;
                    }
                }
            }
        }
    }
}

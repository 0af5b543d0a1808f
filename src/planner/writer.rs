//! Writes records in batches, each under the planner's claim.
//!
//! A batch is one transaction, so that a burst costs the store few calls.
//! Writes are the latest state of a record and may be repeated; a batch
//! whose answer is lost is simply written again.

use std::collections::BTreeMap;
use std::time::Duration;

use ractor::ActorRef;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::planner::actor::Message;
use crate::record::Record;
use crate::store;
use crate::store::Compare;
use crate::store::Mutation;
use crate::store::Swap;
use crate::wire::Epoch;

/// How many records one transaction writes at most.
const BATCH: usize = 64;
/// How many bytes one transaction writes at most.
const BATCH_BYTES: usize = 700 * 1024;
/// The least time between two transactions: ten a second at most.
const SPACING: Duration = Duration::from_millis(100);
/// The longest wait after a transaction that failed.
const RETRY: Duration = Duration::from_secs(2);

/// A record to be written.
#[derive(Clone, Debug)]
pub struct Write {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Whether it must not be there yet.
    pub create: bool,
    /// What the planner is told once it is written.
    pub then: Option<Done>,
}

/// What a write that is done means.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// A job has been accepted.
    Created(crate::job::Id),
    /// A job's end may be told to its callers.
    Ended(crate::job::Id),
    /// A start that may not repeat may be decided.
    Marked(crate::wire::gang::Id),
}

/// A writer; it ends when dropped.
pub struct Writer {
    to: mpsc::UnboundedSender<Write>,
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
    ) -> Writer {
        let (to, from) = mpsc::unbounded_channel();
        let run = Run {
            store,
            claim,
            epoch,
            planner,
            from,
            pending: BTreeMap::new(),
        };
        Writer {
            to,
            task: tokio::spawn(run.run()),
        }
    }

    /// Has a record written; a later write of it goes before an earlier.
    pub fn put(&self, write: Write) {
        let _ = self.to.send(write);
    }
}

#[derive(Clone)]
struct Pending {
    value: Vec<u8>,
    create: bool,
    then: Vec<Done>,
}

type Batch = Vec<(String, Pending)>;

struct Run {
    store: store::Client,
    claim: String,
    epoch: Epoch,
    planner: ActorRef<Message>,
    from: mpsc::UnboundedReceiver<Write>,
    pending: BTreeMap<String, Pending>,
}

impl Run {
    async fn run(mut self) {
        while let Some(write) = self.from.recv().await {
            self.take(write);
            while !self.pending.is_empty() {
                while let Ok(write) = self.from.try_recv() {
                    self.take(write);
                }
                self.flush().await;
            }
        }
    }

    fn take(&mut self, write: Write) {
        let pending = self.pending.entry(write.key).or_insert(Pending {
            value: Vec::new(),
            create: write.create,
            then: Vec::new(),
        });
        pending.value = write.value;
        pending.then.extend(write.then);
    }

    /// Writes one batch, or tells why it could not, and waits as it must.
    async fn flush(&mut self) {
        let batch = self.batch();
        match self.write(&batch).await {
            Ok(Swap::Written(_)) => {
                self.done(batch);
                tokio::time::sleep(SPACING).await;
            }
            Ok(Swap::Refused(items)) if self.is_held(&items) => {
                self.one_by_one(batch).await;
            }
            Ok(Swap::Refused(_)) => {
                // Another has claimed the cell, or nobody has yet: either
                // way this planner may write nothing more.
                let _ = self.planner.cast(Message::Deposed);
                tokio::time::sleep(RETRY).await;
            }
            Err(error) => {
                let _ = self.planner.cast(Message::StoreFailed);
                let may_be_there = matches!(error, store::Error::Lost(_));
                self.wait_to_retry(&batch, may_be_there).await;
            }
        }
    }

    fn batch(&self) -> Batch {
        let mut bytes = 0;
        let fits = |pending: &Pending| {
            let first = bytes == 0;
            bytes += pending.value.len();
            first || bytes <= BATCH_BYTES
        };
        let mut fits = fits;
        self.pending
            .iter()
            .take(BATCH)
            .take_while(|(_, pending)| fits(pending))
            .map(|(key, pending)| (key.clone(), pending.clone()))
            .collect()
    }

    async fn write(&self, batch: &Batch) -> Result<Swap, store::Error> {
        let held = Compare::Created(self.claim.clone(), self.epoch);
        let absent = batch
            .iter()
            .filter(|(_, pending)| pending.create)
            .map(|(key, _)| Compare::Created(key.clone(), 0));
        let conditions: Vec<Compare> =
            std::iter::once(held).chain(absent).collect();
        let puts = batch
            .iter()
            .map(|(key, pending)| {
                Mutation::Value(key.clone(), pending.value.clone(), 0)
            })
            .collect();
        self.store.swap(&conditions, puts).await
    }

    fn is_held(&self, items: &[store::Item]) -> bool {
        items
            .iter()
            .any(|item| item.key == self.claim && item.created == self.epoch)
    }

    /// Writes each of a batch by itself: a record was there already.
    async fn one_by_one(&mut self, batch: Batch) {
        for one in batch {
            let single = vec![one];
            match self.write(&single).await {
                Ok(Swap::Written(_)) => self.done(single),
                Ok(Swap::Refused(items)) if self.is_held(&items) => {
                    self.exists(&single[0].0, &items);
                }
                // The next flush meets it again.
                Ok(Swap::Refused(_)) | Err(_) => return,
            }
        }
    }

    fn done(&mut self, batch: Batch) {
        for (key, written) in &batch {
            let newer = self
                .pending
                .get(key)
                .is_some_and(|pending| pending.value != written.value);
            match newer {
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
        let done = batch.into_iter().flat_map(|(_, p)| p.then).collect();
        let _ = self.planner.cast(Message::Written(done));
    }

    fn exists(&mut self, key: &str, items: &[store::Item]) {
        self.pending.remove(key);
        let record = items
            .iter()
            .find(|item| item.key == key)
            .and_then(|item| Record::parse(&item.value));
        if let Some(record) = record {
            let _ = self.planner.cast(Message::Exists(Box::new(record)));
        }
    }

    /// Waits, and finds out which creations took effect though their answer
    /// was lost, so that they are not taken for somebody else's.
    async fn wait_to_retry(&mut self, batch: &Batch, may_be_there: bool) {
        let most = RETRY.as_millis() as u64;
        let wait = fastrand::u64(most / 8..=most / 2);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let created = batch.iter().filter(|(_, p)| p.create && may_be_there);
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

//! Watches the keys below a prefix of the store.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::cursor::Cursor;
use crate::store::Change;
use crate::store::Changes;
use crate::store::Error;
use crate::store::Listing;
use crate::store::Revision;
use crate::store::Store;

/// The delay beyond the requested wait from which an answer counts as late:
/// the slowest of the store's answers observed.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(250);

/// A watch of all keys below a prefix. The keys are read once, and afterwards
/// only changes are requested, so that an unchanged value is not sent again.
#[derive(Debug)]
pub(super) struct Watch<'a> {
    prefix: &'a str,
    /// The position in the store's history; `None` if all keys must be read.
    cursor: Option<Cursor>,
    /// How long a call waits for a change. While nothing changes, the keys are
    /// confirmed once in this time.
    poll_wait: Duration,
    /// How long the next call waits.
    wait: Duration,
}

/// The result of one call.
#[derive(Debug)]
pub(super) struct Batch {
    /// Whether `changes` lists all keys, rather than only those that changed.
    pub is_listing: bool,
    /// The listed or changed keys, in order.
    pub changes: Vec<Change>,
}

/// A check for changes that does not wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Check<'a> {
    prefix: &'a str,
    /// The revision up to which all changes are known.
    after: Revision,
}

impl Check<'_> {
    /// Returns whether nothing has changed. A dropped history counts as a
    /// change.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn is_unchanged(
        &self,
        store: &impl Store,
    ) -> Result<bool, Error> {
        let changes = store.changes(self.prefix, self.after, Duration::ZERO);
        match changes.await {
            Ok(changes) => Ok(changes.changes.is_empty()),
            Err(Error::Forgotten(_)) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

impl<'a> Watch<'a> {
    /// Returns a watch that has read nothing yet. Its calls wait for
    /// `poll_wait` while nothing changes.
    pub fn new(prefix: &'a str, poll_wait: Duration) -> Watch<'a> {
        Watch {
            prefix,
            cursor: None,
            poll_wait,
            wait: Duration::ZERO,
        }
    }

    /// Continues after a revision whose state is known.
    pub fn start_after(&mut self, revision: Revision) {
        self.cursor = Some(Cursor::new(revision));
        self.wait = self.poll_wait;
    }

    /// Returns how long a call waits while nothing changes.
    pub fn poll_wait(&self) -> Duration {
        self.poll_wait
    }

    /// Returns a check for changes after the present position, unless all keys
    /// have to be read.
    pub fn check(&self) -> Option<Check<'a>> {
        let after = self.cursor.as_ref()?.after();
        let prefix = self.prefix;
        Some(Check { prefix, after })
    }

    /// Makes one call and returns the changes since the last one.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or has dropped the requested history. The
    /// next call then does not wait, or reads all keys.
    pub async fn next(&mut self, store: &impl Store) -> Result<Batch, Error> {
        let wait = std::mem::take(&mut self.wait);
        match self.cursor.as_ref().map(Cursor::after) {
            Some(after) => {
                let sent = Instant::now();
                let changes = store.changes(self.prefix, after, wait).await;
                if let Err(Error::Forgotten(_)) = changes {
                    self.cursor = None;
                }
                let changes = self.record(changes?, sent);
                Ok(Batch {
                    is_listing: false,
                    changes,
                })
            }
            None => {
                let listing = store.list(self.prefix).await?;
                let Listing { revision, items } = listing;
                self.cursor = Some(Cursor::new(revision));
                Ok(Batch {
                    is_listing: true,
                    changes: items.into_iter().map(Change::Put).collect(),
                })
            }
        }
    }

    /// Records an answer of the store and returns its changes.
    fn record(&mut self, changes: Changes, sent: Instant) -> Vec<Change> {
        let Changes { revision, changes } = changes;
        if let Some(cursor) = &mut self.cursor {
            match changes.is_empty() {
                true => cursor.advance_empty(revision),
                false => cursor.advance(revision),
            }
        }
        // An answer that holds changes or came late does not show the present
        // state. The next call does not wait, so that a process that was
        // suspended learns the present state at once.
        let late = sent.elapsed() > self.poll_wait + LATE_ANSWER_DELAY;
        if changes.is_empty() && !late {
            self.wait = self.poll_wait;
        }
        changes
    }
}

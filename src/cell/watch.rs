//! Watching a few keys of the store.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::cursor::Cursor;
use crate::store::Change;
use crate::store::Changes;
use crate::store::Error;
use crate::store::Listing;
use crate::store::Store;

/// How long one call waits for a change: how often the keys are shown to be
/// as they were while nothing changes.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// How much longer than it waits a call takes if it is late: the slowest of
/// the store's answers seen.
const LATE_ANSWER: Duration = Duration::from_millis(250);

/// A watch of the keys that begin alike: they are read once, and then told of
/// when they change, so that a value that stays is not sent again and again.
#[derive(Debug)]
pub(super) struct Watch<'a> {
    prefix: &'a str,
    /// Where to go on; `None` where all is to be read.
    cursor: Option<Cursor>,
    /// How long the next call waits.
    wait: Duration,
}

/// What a call has shown.
#[derive(Debug)]
pub(super) struct Batch {
    /// Whether it is all that there is, and not just what has changed.
    pub is_listing: bool,
    /// What is there, or has changed, in order.
    pub changes: Vec<Change>,
}

impl<'a> Watch<'a> {
    /// Returns a watch that knows nothing yet.
    pub fn new(prefix: &'a str) -> Watch<'a> {
        Watch {
            prefix,
            cursor: None,
            wait: Duration::ZERO,
        }
    }

    /// Makes one call; returns what has changed since the last.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or has dropped the history that was
    /// asked for: the next call then does not wait, or reads all.
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

    fn record(&mut self, changes: Changes, sent: Instant) -> Vec<Change> {
        let Changes { revision, changes } = changes;
        if let Some(cursor) = &mut self.cursor {
            match changes.is_empty() {
                true => cursor.advance_empty(revision),
                false => cursor.advance(revision),
            }
        }
        // What was told, or came late, says little of now: a process that
        // stood still knows at once what it may do.
        let late = sent.elapsed() > POLL_WAIT + LATE_ANSWER;
        if changes.is_empty() && !late {
            self.wait = POLL_WAIT;
        }
        changes
    }
}

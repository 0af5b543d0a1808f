//! Watching one key of the store.

use std::time::Duration;

use tokio::time::Instant;

use crate::cell::cursor::Cursor;
use crate::store::Change;
use crate::store::Changes;
use crate::store::Error;
use crate::store::Item;
use crate::store::Listing;
use crate::store::Store;

/// How long one call waits for a change: how often the key is shown to be
/// as it was while nothing changes.
const EVERY: Duration = Duration::from_millis(500);
/// How much longer than it waits a call takes if it is late: the slowest of
/// the store's answers seen.
const LATE: Duration = Duration::from_millis(250);

/// A watch of one key: it is read once, and then told of when it changes, so
/// that a value that stays is not sent again and again.
#[derive(Debug)]
pub(super) struct Watch<'a> {
    key: &'a str,
    /// Where to go on; `None` where all is to be read.
    cursor: Option<Cursor>,
    /// How long the next call waits.
    wait: Duration,
}

impl<'a> Watch<'a> {
    /// Returns a watch that knows nothing yet.
    pub fn new(key: &'a str) -> Watch<'a> {
        Watch {
            key,
            cursor: None,
            wait: Duration::ZERO,
        }
    }

    /// Makes one call; returns what was written since the last, in order.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or has dropped the history that was
    /// asked for: the next call then does not wait, or reads all.
    pub async fn next(
        &mut self,
        store: &impl Store,
    ) -> Result<Vec<Item>, Error> {
        let wait = std::mem::take(&mut self.wait);
        let items = match self.cursor.as_ref().map(Cursor::after) {
            Some(after) => {
                let sent = Instant::now();
                let changes = store.changes(self.key, after, wait).await;
                if let Err(Error::Forgotten(_)) = changes {
                    self.cursor = None;
                }
                self.told(changes?, sent)
            }
            None => {
                let Listing { revision, items } = store.list(self.key).await?;
                self.cursor = Some(Cursor::new(revision));
                items
            }
        };
        let own = items.into_iter().filter(|item| item.key == self.key);
        Ok(own.collect())
    }

    fn told(&mut self, changes: Changes, sent: Instant) -> Vec<Item> {
        let Changes { revision, changes } = changes;
        if let Some(cursor) = &mut self.cursor {
            match changes.is_empty() {
                true => cursor.passed(revision),
                false => cursor.told(revision),
            }
        }
        // What was told, or came late, says little of now: a process that
        // stood still knows at once what it may do.
        let late = sent.elapsed() > EVERY + LATE;
        if changes.is_empty() && !late {
            self.wait = EVERY;
        }
        let put = |change| match change {
            Change::Put(item) => Some(item),
            Change::Deleted(..) => None,
        };
        changes.into_iter().filter_map(put).collect()
    }
}

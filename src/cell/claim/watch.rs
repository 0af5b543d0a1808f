//! Waits for another claim than the last one seen.

use std::time::Duration;

use crate::cell::keys;
use crate::cell::watch;
use crate::store::Change;
use crate::store::Error;
use crate::store::Item;
use crate::store::Revision;
use crate::store::Store;

/// How a claim has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The claim is the same.
    Same,
    /// Another claim was made.
    Replaced(Item),
    /// There is no claim.
    Free,
}

/// A watch of the claim's key.
///
/// The position in the store's history moves on while the claim stays the
/// same. A watch from the claim's own revision is refused at once as soon as
/// the store has dropped that part of its history, so that a process that
/// repeats it asks several times a second for as long as the claim holds.
#[derive(Debug)]
pub struct Watch {
    keys: watch::Watch<'static>,
    /// The revision of the last claim seen, 0 for none.
    claim: Revision,
}

impl Watch {
    /// Returns a watch that has seen no claim. Its calls wait for `wait`.
    pub fn new(wait: Duration) -> Watch {
        Watch {
            keys: watch::Watch::new(keys::CLAIM, wait),
            claim: 0,
        }
    }

    /// Continues from the claim of a revision, if another one was seen last.
    pub fn follow(&mut self, claim: Revision) {
        if self.claim != claim {
            self.claim = claim;
            self.keys.start_after(claim);
        }
    }

    /// Waits for one call, or until the claim is not the last one seen.
    ///
    /// # Errors
    ///
    /// If the store does not answer.
    pub async fn next(&mut self, store: &impl Store) -> Result<Event, Error> {
        let batch = match self.keys.next(store).await {
            // The next call lists the key instead.
            Err(Error::Forgotten(_)) => self.keys.next(store).await?,
            batch => batch?,
        };
        let absent = batch.is_listing;
        let changes = batch.changes.into_iter();
        let mut latest = changes.filter(|change| change.key() == keys::CLAIM);
        Ok(match latest.next_back() {
            Some(Change::Put(item)) if item.modified > self.claim => {
                self.claim = item.modified;
                Event::Replaced(item)
            }
            Some(Change::Deleted(..)) => Event::Free,
            None if absent => Event::Free,
            Some(Change::Put(_)) | None => Event::Same,
        })
    }
}

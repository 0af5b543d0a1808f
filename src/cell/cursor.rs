//! The position of a watch in the store's history.

use std::time::Duration;

use tokio::time::Instant;

use crate::store::Revision;

/// The time after which a store has delivered every change that an earlier
/// empty answer may have skipped. A store that is about to drop its history
/// was seen to lag by one second.
const HISTORY_DELAY: Duration = Duration::from_secs(4);

/// The revision after which to request changes.
///
/// An empty answer names the store's revision, but a store that is about to
/// drop its history may skip changes. The cursor therefore follows empty
/// answers with a delay. If the history after the cursor is dropped meanwhile,
/// the store reports that, and all keys are read again.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// The revision up to which every change was delivered.
    delivered: Revision,
    /// The revision named by an empty answer, not followed yet.
    pending: Revision,
    /// When the cursor may follow `pending`.
    settles_at: Instant,
}

impl Cursor {
    /// Returns a cursor after a revision up to which every change was
    /// delivered.
    pub fn new(delivered: Revision) -> Cursor {
        Cursor {
            delivered,
            pending: delivered,
            settles_at: Instant::now() + HISTORY_DELAY,
        }
    }

    /// Returns the revision after which to request changes.
    pub fn after(&self) -> Revision {
        self.delivered
    }

    /// Records that every change up to a revision was delivered.
    pub fn advance(&mut self, revision: Revision) {
        *self = Cursor::new(self.delivered.max(revision));
    }

    /// Records an empty answer that named a revision.
    pub fn advance_empty(&mut self, revision: Revision) {
        if Instant::now() >= self.settles_at {
            *self = Cursor {
                delivered: self.delivered.max(self.pending),
                pending: revision,
                settles_at: Instant::now() + HISTORY_DELAY,
            };
        }
    }
}

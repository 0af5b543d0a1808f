//! How far a watch of the store has come.

use std::time::Duration;

use tokio::time::Instant;

use crate::store::Revision;

/// After which time a store has told whatever a watch passed over: a store
/// that drops its history is seen to be a second late before.
const HISTORY_DELAY: Duration = Duration::from_secs(4);

/// After which revision to ask for more.
///
/// An empty answer names the store's revision, but a store that is about to
/// drop its history may pass over changes. The cursor follows empty answers
/// some time later: whoever asks after a revision that was dropped meanwhile
/// is told so, and reads all anew.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// Up to here, everything was told.
    delivered: Revision,
    /// Up to here, nothing was told.
    pending: Revision,
    /// When that will have been true of any store.
    settles_at: Instant,
}

impl Cursor {
    /// Returns a cursor after a revision up to which all was told.
    pub fn new(delivered: Revision) -> Cursor {
        Cursor {
            delivered,
            pending: delivered,
            settles_at: Instant::now() + HISTORY_DELAY,
        }
    }

    /// Returns after which revision to ask.
    pub fn after(&self) -> Revision {
        self.delivered
    }

    /// Takes in that everything was told up to a revision.
    pub fn advance(&mut self, revision: Revision) {
        *self = Cursor::new(self.delivered.max(revision));
    }

    /// Takes in that nothing was told up to a revision.
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

//! A worker's notice that it is about to end.
//!
//! The notice names the worker and not its birth, and it may arrive after the
//! worker has started again under its name. It is therefore no evidence of an
//! end: the end shows in the polls that are sent after it.

/// The polls after a notice whose connections are refused before the life
/// counts as over. A single one may meet a port that is about to open.
const CLOSED_POLLS: u32 = 2;

/// A notice that the worker is about to end, and what the polls since then
/// have shown.
#[derive(Clone, Copy, Debug)]
pub struct Goodbye {
    /// The number of the last poll that was sent before the notice.
    last_poll: u64,
    /// The later polls that found the worker's port closed, since the worker
    /// last answered.
    closed_polls: u32,
    /// Whether nothing but the notice says that the worker is leaving.
    revocable: bool,
}

impl Goodbye {
    /// Returns a notice that has arrived after a poll.
    pub fn new(last_poll: u64, revocable: bool) -> Goodbye {
        Goodbye {
            last_poll,
            closed_polls: 0,
            revocable,
        }
    }

    /// Returns whether a heartbeat without an announced end revokes the
    /// notice.
    pub fn is_revocable(self) -> bool {
        self.revocable
    }

    /// Records that the worker has answered a poll.
    pub fn mark_answered(&mut self) {
        self.closed_polls = 0;
    }

    /// Records that a poll found the worker's port closed. Returns whether the
    /// worker has thereby ended.
    pub fn mark_closed(&mut self, poll: u64) -> bool {
        self.closed_polls += u32::from(poll > self.last_poll);
        self.closed_polls >= CLOSED_POLLS
    }
}

//! Which of the entries' registrations a process reads.
//!
//! A process asks few entries, however many there are. If each read all of
//! them, what is read would grow with the square of their number. The keys
//! therefore begin with a digest of the entry's name, and a process reads a
//! random group of keys whose digests begin alike: small if there are many
//! entries, and all of them if there are few.

use crate::cell::keys;

/// The most digits that the keys of a group share: enough for a group of some
/// 40 among 10,000 entries.
const MAX_DIGITS: usize = keys::ENTRY_DIGITS;
/// The least entries of a group, from which one that serves is found even if a
/// third of them is cut off as well.
const MIN_ENTRIES: usize = 4;
/// The number of entries from which a smaller group is read the next time: a
/// group of a sixteenth still holds enough.
const MANY_ENTRIES: usize = 16 * MIN_ENTRIES * 2;

/// The size of the groups that a process reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// The number of digits that the keys of a group share.
    digits: usize,
}

impl Sample {
    /// Returns the smallest groups.
    pub fn new() -> Sample {
        Sample { digits: MAX_DIGITS }
    }

    /// Returns the key prefix of a random group.
    pub fn prefix(&self) -> String {
        let digits = (0..self.digits).map(|_| fastrand::u8(0..16));
        let digits: String = digits.map(|d| format!("{d:x}")).collect();
        format!("{}{digits}", keys::ENTRY_PREFIX)
    }

    /// Returns whether a group of `entries` is large enough; if not, larger
    /// groups are read from now on.
    pub fn is_enough(&mut self, entries: usize) -> bool {
        match entries {
            0..MIN_ENTRIES if self.digits > 0 => {
                self.digits -= 1;
                return false;
            }
            MANY_ENTRIES.. if self.digits < MAX_DIGITS => self.digits += 1,
            _ => {}
        }
        true
    }
}

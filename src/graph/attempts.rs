//! The attempts of a unit that have failed, and those that may have.
//!
//! A job fails once one of its units has failed as often as its queue allows,
//! and no run may begin after that. A run that was given up before its end was
//! read may have failed as well: until that end is read, or can no longer be
//! acknowledged, it counts like a failure at a start.

use std::collections::BTreeSet;

use crate::graph::job_record::JobRecord;
use crate::graph::progress::Unread;
use crate::graph::Run;
use crate::graph::UnitKey;
use crate::graph::UnitProgress;

/// The most failed runs that are remembered by number. Bounds the record of a
/// unit whose queue allows many attempts.
const MAX_REMEMBERED_FAILURES: usize = 32;

impl UnitProgress {
    /// Counts a failed run; returns whether it was not counted before.
    pub(super) fn count_failure(&mut self, run: Run) -> bool {
        self.unread.retain(|unread| unread.run != run);
        if self.is_counted(run) {
            return false;
        }
        self.failed += 1;
        self.counted = self.counted.max(run);
        let position = self.failed_runs.partition_point(|other| *other < run);
        self.failed_runs.insert(position, run);
        if self.failed_runs.len() > MAX_REMEMBERED_FAILURES {
            self.failed_runs.remove(0);
        }
        true
    }

    /// Returns whether a run was counted as failed. A run before all that are
    /// remembered counts as such if there are failures that are not.
    fn is_counted(&self, run: Run) -> bool {
        let known = self.failed_runs.iter().copied();
        let known: BTreeSet<Run> = known
            .chain(Some(self.counted).filter(|counted| *counted > 0))
            .collect();
        let is_oldest = known.first().is_none_or(|first| run < *first);
        let all_known = known.len() as u32 >= self.failed;
        known.contains(&run) || is_oldest && !all_known
    }

    /// Returns the number of runs that have failed, or may have failed unread.
    pub(super) fn possible_failures(&self) -> u32 {
        let unread: BTreeSet<Run> =
            self.unread.iter().map(|unread| unread.run).collect();
        self.failed + unread.len() as u32
    }

    /// Removes and returns the entry of a member that was given up before its
    /// end was read, if there is one.
    pub(super) fn take_unread(
        &mut self,
        run: Run,
        index: u32,
    ) -> Option<Unread> {
        let position = self
            .unread
            .iter()
            .position(|unread| unread.run == run && unread.index == index)?;
        Some(self.unread.remove(position))
    }

    /// Marks the unit as done.
    pub(super) fn complete(&mut self) {
        self.done = true;
        self.on.clear();
        self.begin_by = None;
        self.saved.clear();
        self.unread.clear();
    }
}

impl JobRecord {
    /// Returns whether the job fails if the unit fails once more, also if only
    /// because a run whose end is unread has failed.
    pub fn is_last_attempt(&self, key: &UnitKey) -> bool {
        self.possible_failures(key) + 1 >= self.max_attempts()
            && !self.job.steps[key.step].lasting
    }

    /// Returns whether the unit must not begin before more ends are read: with
    /// those that are unread it may have failed as often as it may.
    pub fn awaits_ends(&self, key: &UnitKey) -> bool {
        self.possible_failures(key) >= self.max_attempts()
            && !self.job.steps[key.step].lasting
    }

    /// Returns whether the unit has failed as often as it may.
    pub fn has_failed(&self, key: &UnitKey) -> bool {
        let progress = self.progress.units.get(key);
        let failed = progress.map_or(0, |progress| progress.failed);
        failed >= self.max_attempts() && !self.job.steps[key.step].lasting
    }

    /// A job of no attempts has one: its units begin once.
    fn max_attempts(&self) -> u32 {
        self.job.max_attempts.max(1)
    }

    fn possible_failures(&self, key: &UnitKey) -> u32 {
        let progress = self.progress.units.get(key);
        progress.map_or(0, UnitProgress::possible_failures)
    }
}

//! A job in the books, and how far it has come.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::graph::history::RunTimes;
use crate::graph::unit::Member;
use crate::graph::unit::Unit;
use crate::graph::Job;
use crate::graph::Progress;
use crate::graph::Subject;
use crate::graph::Task;
use crate::graph::UnitKey;

/// A job and how far it has come.
#[derive(Clone, Debug)]
pub(super) struct JobRecord {
    pub job: Arc<Job>,
    pub progress: Progress,
    /// Counts the changes of the progress.
    pub version: u64,
    /// The last version that is written.
    pub written: u64,
    pub cancelled: bool,
    /// The units that have been opened: their time is due, and the steps
    /// that they wait for are done.
    pub units: BTreeMap<UnitKey, Unit>,
    /// The steps that have been opened.
    pub opened_steps: BTreeSet<(u32, usize)>,
    /// How long whole runs of each step took.
    pub run_times: BTreeMap<usize, RunTimes>,
    /// Whether one of the units under which a worker was lost has since been
    /// at work without that.
    pub cleared: bool,
    /// Whether a worker was lost under any of its units: of most, none was.
    pub has_losses: bool,
    pub accepted_at: Instant,
}

impl JobRecord {
    pub fn is_over(&self) -> bool {
        self.progress.outcome.is_some()
    }

    /// Returns the members that a unit has.
    pub fn member_count(&self, key: &UnitKey) -> u32 {
        match key.index {
            Some(_) => 1,
            None => self.job.steps[key.step].replicas,
        }
    }

    /// Returns whether every task of a step is done.
    pub fn is_step_done(&self, time: u32, step: usize) -> bool {
        let done = |index| {
            let key = UnitKey { time, step, index };
            self.progress.units.get(&key).is_some_and(|unit| unit.done)
        };
        let terms = &self.job.steps[step];
        match terms.gang {
            true => done(None),
            false => (0..terms.replicas).all(|index| done(Some(index))),
        }
    }

    /// Returns whether every task of the job is done.
    pub fn is_all_done(&self) -> bool {
        (0..self.job.times()).all(|time| {
            (0..self.job.steps.len()).all(|step| self.is_step_done(time, step))
        })
    }

    /// Returns whether a unit's next failure would be its job's.
    pub fn is_last_attempt(&self, key: &UnitKey) -> bool {
        let progress = self.progress.units.get(key);
        let failed = progress.map_or(0, |progress| progress.failed);
        !self.job.steps[key.step].lasting
            && failed + 1 >= self.job.max_attempts
    }

    /// Returns a unit with what it belongs to.
    pub fn subject(&self, key: &UnitKey) -> Subject {
        Subject {
            job: self.job.id.clone(),
            account: self.job.account.clone(),
            queue: self.job.queue.clone(),
            unit: *key,
        }
    }

    /// Returns the name of a member's task.
    pub fn task(&self, key: &UnitKey, member: &Member) -> Task {
        Task {
            job: self.job.id.clone(),
            time: key.time,
            step: key.step,
            index: member.index,
        }
    }
}

//! The scheduler's record of a job.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::graph::history::RunTimes;
use crate::graph::objective::OwnFailures;
use crate::graph::unit::Member;
use crate::graph::unit::Unit;
use crate::graph::Job;
use crate::graph::Progress;
use crate::graph::Subject;
use crate::graph::Task;
use crate::graph::UnitKey;

/// A job with its progress and its open units.
#[derive(Clone, Debug)]
pub(super) struct JobRecord {
    pub job: Arc<Job>,
    pub progress: Progress,
    /// The number of changes of the progress.
    pub version: u64,
    /// The last version of the progress that is written.
    pub written: u64,
    pub cancelled: bool,
    /// The open units: their repetition is due, and the steps that they depend
    /// on are done.
    pub units: BTreeMap<UnitKey, Unit>,
    /// The steps whose units are open, by repetition and step.
    pub opened_steps: BTreeSet<(u32, usize)>,
    /// The opened repetitions that were not all done in the last pass.
    pub open_times: BTreeSet<u32>,
    /// The first repetition that was not opened yet.
    pub next_time: u32,
    /// How long uninterrupted runs of each step took.
    pub run_times: BTreeMap<usize, RunTimes>,
    /// The failed runs that count as the job's own fault, as far as this
    /// planner has seen them.
    pub own_failures: OwnFailures,
    /// Whether a suspect unit has since worked without the loss of a worker.
    pub cleared: bool,
    /// Whether a worker was lost under any unit. Most jobs have no losses and
    /// skip the checks for suspects.
    pub has_losses: bool,
    pub accepted_at: Instant,
}

impl JobRecord {
    pub fn is_over(&self) -> bool {
        self.progress.outcome.is_some()
    }

    /// Returns the number of members of a unit.
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
        let definition = &self.job.steps[step];
        match definition.gang {
            true => done(None),
            false => (0..definition.replicas).all(|index| done(Some(index))),
        }
    }

    /// Returns whether every task of a repetition is done.
    pub fn is_time_done(&self, time: u32) -> bool {
        (0..self.job.steps.len()).all(|step| self.is_step_done(time, step))
    }

    /// Returns whether every task of the job is done.
    pub fn is_all_done(&self) -> bool {
        (0..self.job.times()).all(|time| self.is_time_done(time))
    }

    /// Returns the unit's identification for the log.
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

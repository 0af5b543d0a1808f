//! Jobs that exist, but whose records cannot be read.
//!
//! How far such a job has come is unknown, so nothing of it begins. What it has
//! running goes on and keeps its room, and the ends of its runs are kept until
//! a planner can read the job. A job is removed only together with its
//! records, and a planner begins with all records: a job that is neither known
//! nor unreadable is nobody's.

use serde::Deserialize;
use serde::Serialize;

use crate::graph::job_record::JobRecord;
use crate::graph::Ended;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::Task;
use crate::graph::Timestamp;

/// The end of a run whose job cannot be read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptEnd {
    /// The life of the worker that has listed the end.
    pub place: Place,
    /// The end.
    pub ended: Ended,
}

/// The ends of a job that must be written.
#[derive(Clone, Debug, PartialEq)]
pub struct EndsUpdate {
    /// The job's name.
    pub id: JobId,
    /// The version, to be passed to [`Scheduler::mark_ends_written`].
    pub version: u64,
    /// All ends that are kept for the job.
    pub ends: Vec<KeptEnd>,
}

/// A job whose records cannot be read.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableJob {
    /// What a task of each step takes; empty if even that is unknown.
    charges: Vec<Resources>,
    cancelled: bool,
    ends: Vec<KeptEnd>,
    /// The number of changes of the ends.
    version: u64,
    /// The last version of the ends that is written.
    written: u64,
    /// Whether a version is to be written.
    dirty: bool,
}

/// What a planner knows of a job that a worker names.
pub(super) enum Known<'a> {
    /// The job and its progress.
    Job(&'a JobRecord),
    /// That the job exists.
    Unreadable(&'a UnreadableJob),
    /// That the job was removed: nothing is kept for it.
    Nobody,
}

impl UnreadableJob {
    /// Returns all kept ends, if not all of them are written.
    pub fn unwritten(&self) -> Option<&[KeptEnd]> {
        (self.written < self.version).then_some(&self.ends)
    }
}

impl Scheduler {
    /// Adds a job whose records cannot be read, with the ends that were kept
    /// for it. `job` is the job if at least that could be read.
    pub fn add_unreadable_job(
        &mut self,
        id: JobId,
        job: Option<&Job>,
        ends: Vec<KeptEnd>,
    ) {
        let steps = job.map_or(&[][..], |job| &job.steps);
        let unreadable = UnreadableJob {
            charges: steps.iter().map(|step| step.charge()).collect(),
            ends,
            ..UnreadableJob::default()
        };
        self.changed = true;
        self.unreadable_jobs.entry(id).or_insert(unreadable);
    }

    /// Returns whether a job exists whose records cannot be read.
    pub fn has_unreadable_job(&self, id: &str) -> bool {
        self.unreadable_jobs.contains_key(id)
    }

    /// Cancels a job whose records cannot be read: its runs are stopped.
    pub fn cancel_unreadable_job(&mut self, id: &str) {
        let Some(job) = self.unreadable_jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        for (agent, worker) in &mut self.workers {
            let runs = worker.spared_runs.iter();
            let runs = runs.filter(|(task, _)| &*task.job == id);
            let runs: Vec<(Task, Run)> = runs.cloned().collect();
            for run in runs {
                worker.spared_runs.remove(&run);
                worker.unknown_runs.insert(run);
                self.agents_to_order.insert(agent.clone());
            }
        }
    }

    /// Forgets that a job could not be read, and returns the ends that were
    /// kept for it.
    pub fn take_unreadable_job(&mut self, id: &str) -> Vec<KeptEnd> {
        let job = self.unreadable_jobs.remove(id);
        job.map(|job| job.ends).unwrap_or_default()
    }

    /// Applies ends that another planner has kept.
    pub fn apply_kept_ends(&mut self, ends: &[KeptEnd], now: Timestamp) {
        self.changed |= !ends.is_empty();
        for end in ends {
            self.apply_listed_end(&end.place, &end.ended, now);
        }
    }

    /// Keeps an end if its job cannot be read. Returns whether that is so.
    pub(super) fn keep_end(&mut self, place: &Place, ended: &Ended) -> bool {
        let Some(job) = self.unreadable_jobs.get_mut(&ended.task.job) else {
            return false;
        };
        let end = KeptEnd {
            place: place.clone(),
            ended: ended.clone(),
        };
        // Another planner may have kept the end before it was acknowledged.
        if !job.ends.contains(&end) {
            job.ends.push(end);
            job.version += 1;
            job.dirty = true;
        }
        true
    }

    /// Returns whether the kept ends of any job must be written.
    pub(super) fn has_unwritten_ends(&self) -> bool {
        self.unreadable_jobs.values().any(|job| job.dirty)
    }

    /// Returns the kept ends of up to `limit` jobs that must be written.
    pub fn take_unwritten_ends(&mut self, limit: usize) -> Vec<EndsUpdate> {
        let jobs = self.unreadable_jobs.iter_mut();
        let dirty = jobs.filter(|(_, job)| job.dirty).take(limit);
        let update = |(id, job): (&JobId, &mut UnreadableJob)| {
            job.dirty = false;
            EndsUpdate {
                id: id.clone(),
                version: job.version,
                ends: job.ends.clone(),
            }
        };
        dirty.map(update).collect()
    }

    /// Records that a version of a job's kept ends is written.
    pub fn mark_ends_written(&mut self, id: &str, version: u64) {
        let Some(job) = self.unreadable_jobs.get_mut(id) else {
            return;
        };
        job.written = job.written.max(version);
        let written = job.written;
        self.order_acknowledgements(id, written);
    }

    /// Returns what is known of a job.
    pub(super) fn look_up(&self, id: &str) -> Known<'_> {
        let unreadable = || self.unreadable_jobs.get(id);
        match self.jobs.get(id) {
            Some(record) => Known::Job(record),
            None => unreadable().map_or(Known::Nobody, Known::Unreadable),
        }
    }

    /// Returns the version of what is kept for a job, 0 if nothing is.
    pub(super) fn kept_version(&self, id: &str) -> u64 {
        match self.look_up(id) {
            Known::Job(record) => record.version,
            Known::Unreadable(job) => job.version,
            Known::Nobody => 0,
        }
    }

    /// Returns whether a version of what is kept for a job is written. For a
    /// job that is nobody's there is nothing to write.
    pub(super) fn is_written(&self, id: &str, version: u64) -> bool {
        match self.look_up(id) {
            Known::Job(record) => record.written >= version,
            Known::Unreadable(job) => job.written >= version,
            Known::Nobody => true,
        }
    }

    /// Returns whether a run that this planner has not ordered goes on, because
    /// nobody knows better.
    pub(super) fn is_spared(&self, task: &Task) -> bool {
        match self.look_up(&task.job) {
            Known::Unreadable(job) => !job.cancelled,
            Known::Job(_) | Known::Nobody => false,
        }
    }

    /// Returns what a run takes that this planner has not ordered: `capacity`
    /// if it may be anything.
    pub(super) fn unknown_charge(
        &self,
        task: &Task,
        capacity: Resources,
    ) -> Resources {
        match self.look_up(&task.job) {
            Known::Job(record) => {
                let step = record.job.steps.get(task.step);
                step.map_or(Resources::default(), |step| step.charge())
            }
            Known::Unreadable(job) => {
                job.charges.get(task.step).copied().unwrap_or(capacity)
            }
            Known::Nobody => Resources::default(),
        }
    }
}

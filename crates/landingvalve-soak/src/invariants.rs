//! Checks the scheduler's invariants against what workers and callers
//! observe.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::gang::Excuses;
use crate::lock;

/// How long after an acknowledged cancel a task of the job may still be
/// started.
const CANCEL_GRACE: Duration = Duration::from_millis(3000);

/// The id of a job.
pub type JobId = String;
/// The name of a task: job, repetition, step and index, joined by dots.
pub type TaskId = String;
/// The name of a worker's life.
pub type Life = String;

/// A step of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The number of its tasks.
    pub tasks: u32,
    /// Whether its tasks work only together.
    pub gang: bool,
}

/// A job as its callers observe it.
#[derive(Debug, Default)]
struct Job {
    steps: Vec<Step>,
    accepted: bool,
    /// Whether a submission had no clear reply.
    unsure: bool,
    refused: bool,
    /// Whether a task of the job was ever started.
    started: bool,
    /// Whether a cancel was sent, acknowledged or not.
    cancel_sent: bool,
    /// When the first cancel was acknowledged.
    cancelled: Option<Instant>,
    /// The last state returned to a caller, final once it is an end; empty
    /// before the first.
    state: String,
}

#[derive(Debug, Default)]
struct Observations {
    jobs: BTreeMap<JobId, Job>,
    /// The lives that run each task.
    running: BTreeMap<TaskId, BTreeSet<Life>>,
    /// Tasks that ended with success.
    done: BTreeSet<TaskId>,
    /// Successful tasks whose end was acknowledged to the worker.
    acknowledged: BTreeSet<TaskId>,
    excuses: Excuses,
    violations: Vec<String>,
    counts: Counts,
}

/// Numbers of observed events.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Submissions that were refused.
    pub refused: u64,
    /// Submissions without a clear reply.
    pub unsure: u64,
    /// Cancels that were acknowledged.
    pub cancelled: u64,
    /// Starts of tasks.
    pub starts: u64,
    /// Ends of tasks with success.
    pub done: u64,
    /// Ends of gangs' members that had waited for others in vain, and that the
    /// users' rule excuses.
    pub alone_excused: u64,
    /// The same without excuse, which are violations.
    pub alone: u64,
}

/// The checker of the invariants; clones share their observations.
#[derive(Clone, Debug, Default)]
pub struct Checker(Arc<Mutex<Observations>>);

/// Returns whether a state is final.
fn is_end(state: &str) -> bool {
    matches!(state, "succeeded" | "failed" | "cancelled")
}

impl Observations {
    fn add_violation(&mut self, rule: &str, details: String) {
        self.violations.push(format!("{rule}: {details}"));
    }

    /// Returns whether a step is done: a gang is once one of its members is.
    fn step_done(&self, job: &str, index: usize, step: Step) -> bool {
        let is_done =
            |task| self.done.contains(&format!("{job}.0.{index}.{task}"));
        match step.gang {
            true => (0..step.tasks).any(is_done),
            false => (0..step.tasks).all(is_done),
        }
    }
}

impl Checker {
    /// Records that a caller is about to submit a job.
    pub fn record_submission(&self, job: &str, steps: Vec<Step>) {
        let mut seen = lock(&self.0);
        seen.jobs.entry(job.to_owned()).or_insert(Job {
            steps,
            ..Job::default()
        });
    }

    /// Records the HTTP status of the reply to a submission, `None` if there
    /// was no reply.
    pub fn record_submission_reply(&self, job: &str, status: Option<u16>) {
        let mut seen = lock(&self.0);
        let seen = &mut *seen;
        let Some(job) = seen.jobs.get_mut(job) else {
            return;
        };
        match status {
            Some(200..=299) => {
                seen.counts.accepted += u64::from(!job.accepted);
                job.accepted = true;
            }
            Some(429 | 503) => {
                seen.counts.refused += 1;
                job.refused = true;
            }
            _ => {
                seen.counts.unsure += 1;
                job.unsure = true;
            }
        }
    }

    /// Records that a caller is about to cancel a job.
    pub fn record_cancel(&self, job: &str) {
        if let Some(job) = lock(&self.0).jobs.get_mut(job) {
            job.cancel_sent = true;
        }
    }

    /// Records that a cancel was acknowledged.
    pub fn record_cancel_reply(&self, job: &str) {
        let mut seen = lock(&self.0);
        let seen = &mut *seen;
        if let Some(job) = seen.jobs.get_mut(job) {
            seen.counts.cancelled += 1;
            job.cancelled.get_or_insert(Instant::now());
        }
    }

    /// Returns the last state of a job that was returned to a caller, empty
    /// if there was none.
    pub fn last_state(&self, id: &str) -> String {
        let seen = lock(&self.0);
        let job = seen.jobs.get(id);
        job.map(|job| job.state.clone()).unwrap_or_default()
    }

    /// Records a state that was returned to a caller; `None` if the reply was
    /// that there is no such job. `before` is [`Checker::last_state`] when the
    /// query was sent: of two concurrent queries either may be answered first,
    /// so only an end returned before the query is binding.
    pub fn record_state(&self, id: &str, state: Option<&str>, before: &str) {
        let mut seen = lock(&self.0);
        let Some(job) = seen.jobs.get(id) else {
            return;
        };
        let steps = job.steps.clone();
        let (accepted, cancel_sent) = (job.accepted, job.cancel_sent);
        let last = job.state.clone();
        let is_reverted = is_end(before) && state != Some(before);
        let other_end = is_end(&last)
            && state.is_some_and(|state| is_end(state) && state != last);
        let unfinished = steps
            .iter()
            .enumerate()
            .any(|(index, step)| !seen.step_done(id, index, *step));
        match state {
            None if accepted => {
                seen.add_violation("LOST", format!("{id} is unknown"));
            }
            _ if is_reverted || other_end => {
                let details = format!("{id} was {last}, is {state:?}");
                seen.add_violation("MIXED", details);
            }
            Some("succeeded") if unfinished => {
                seen.add_violation("MIXED", format!("{id} is not done"));
            }
            Some("cancelled") if !cancel_sent => {
                seen.add_violation("LOST", format!("{id} was not cancelled"));
            }
            _ => {}
        }
        match (seen.jobs.get_mut(id), state) {
            (Some(job), Some(state)) if !is_end(&last) => {
                state.clone_into(&mut job.state);
            }
            _ => {}
        }
    }

    /// Records that a worker started a task; `late` if a fault delayed the
    /// order on its way, so that it may arrive after a cancel.
    pub fn record_start(&self, task: &str, run: u32, life: &str, late: bool) {
        let mut seen = lock(&self.0);
        seen.counts.starts += 1;
        seen.excuses.record_start(task, run, late, Instant::now());
        let mut parts = task.split('.');
        let id = parts.next().unwrap_or_default().to_owned();
        let step = parts.nth(1).and_then(|step| step.parse().ok());
        let step: usize = step.unwrap_or(0);
        let is_running = seen
            .running
            .get(task)
            .is_some_and(|lives| !lives.is_empty());
        if is_running {
            seen.add_violation("TWICE", format!("{task} is running already"));
        }
        if seen.acknowledged.contains(task) {
            seen.add_violation(
                "TWICE",
                format!("{task} was done and acknowledged"),
            );
        }
        match seen.jobs.get(&id) {
            None => {
                seen.add_violation("UNASKED", format!("{task}: no such job"));
            }
            Some(job) => {
                let now = Instant::now();
                let is_cancelled =
                    job.cancelled.is_some_and(|c| now > c + CANCEL_GRACE);
                let steps = job.steps.clone();
                if is_cancelled && !late {
                    seen.add_violation(
                        "UNASKED",
                        format!("{task} was cancelled"),
                    );
                }
                let earlier = steps.iter().enumerate().take(step);
                let unfinished = earlier
                    .filter(|(index, step)| {
                        !seen.step_done(&id, *index, **step)
                    })
                    .count();
                if unfinished > 0 {
                    seen.add_violation(
                        "ORDER",
                        format!("{task} started before earlier steps ended"),
                    );
                }
            }
        }
        if let Some(job) = seen.jobs.get_mut(&id) {
            job.started = true;
        }
        let lives = seen.running.entry(task.to_owned()).or_default();
        lives.insert(life.to_owned());
    }

    /// Records that a fault begins.
    pub fn begin_fault(&self) {
        lock(&self.0).excuses.begin_fault(Instant::now());
    }

    /// Records that a fault is over.
    pub fn end_fault(&self) {
        lock(&self.0).excuses.end_fault(Instant::now());
    }

    /// Records that a member of a gang ends because others did not come, and
    /// checks that it may.
    pub fn record_alone(&self, task: &str, run: u32) {
        let mut seen = lock(&self.0);
        let job = task.split('.').next().unwrap_or_default();
        let job = seen.jobs.get(job);
        let cancel_sent = job.is_some_and(|job| job.cancel_sent);
        let now = Instant::now();
        match seen.excuses.find(task, run, cancel_sent, now) {
            Some(_) => seen.counts.alone_excused += 1,
            None => {
                seen.counts.alone += 1;
                let details = format!("{task} run {run} ends alone");
                seen.add_violation("GANG", details);
            }
        }
    }

    /// Records that a task ended at a worker; `done` if with success.
    pub fn record_end(&self, task: &str, life: &str, done: bool) {
        let mut seen = lock(&self.0);
        if let Some(lives) = seen.running.get_mut(task) {
            lives.remove(life);
        }
        if done {
            seen.counts.done += 1;
            seen.done.insert(task.to_owned());
        }
    }

    /// Records that the successful end of a task was acknowledged: the task
    /// must not be started again.
    pub fn record_acknowledged_end(&self, task: &str) {
        lock(&self.0).acknowledged.insert(task.to_owned());
    }

    /// Returns the accepted jobs without an end returned to a caller.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let seen = lock(&self.0);
        let ended = ["succeeded", "failed", "cancelled"];
        let open = seen
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted && !ended.contains(&&*job.state));
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Records a violation of a rule that is checked elsewhere.
    pub fn record_violation(&self, rule: &str, details: String) {
        lock(&self.0).add_violation(rule, details);
    }

    /// Returns all violations. Call this once every submission has its reply:
    /// a job that was refused and nevertheless started is a violation unless
    /// another submission of the job is accepted or has no clear reply.
    pub fn violations(&self) -> Vec<String> {
        let seen = lock(&self.0);
        let refused = seen.jobs.iter().filter(|(_, job)| {
            job.refused && !job.accepted && !job.unsure && job.started
        });
        let refused = refused.map(|(id, _)| format!("REFUSED: {id} has run"));
        seen.violations.iter().cloned().chain(refused).collect()
    }

    /// Returns the numbers of observed events.
    pub fn counts(&self) -> Counts {
        lock(&self.0).counts.clone()
    }
}

//! What must hold, checked from what workers and callers see.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::lock;

/// How long after an acknowledged cancel a task may still be started.
const CANCEL: Duration = Duration::from_millis(3000);

/// The name of a job.
pub type JobId = String;
/// The name of a task: job, time, step and index.
pub type TaskId = String;
/// The name of one life of a worker.
pub type Life = String;

/// A job, as its callers know it.
#[derive(Debug, Default)]
struct Job {
    /// Tasks of each step.
    steps: Vec<u32>,
    accepted: bool,
    /// Whether a submission had no clear answer.
    unsure: bool,
    refused: bool,
    /// Whether a task of it ever began.
    ran: bool,
    /// Whether a cancel was sent, answered or not.
    cancels: bool,
    /// When the first cancel was acknowledged.
    cancelled: Option<Instant>,
    /// The last state that was told.
    state: String,
}

#[derive(Debug, Default)]
struct Seen {
    jobs: BTreeMap<JobId, Job>,
    /// Where each task runs.
    running: BTreeMap<TaskId, BTreeSet<Life>>,
    /// Tasks that ended well.
    done: BTreeSet<TaskId>,
    /// Those whose end was acknowledged.
    noted: BTreeSet<TaskId>,
    broken: Vec<String>,
    counts: Counts,
}

/// What was seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Submissions that were refused.
    pub refused: u64,
    /// Submissions and questions without a clear answer.
    pub unsure: u64,
    /// Cancels that were acknowledged.
    pub cancelled: u64,
    /// Starts of tasks.
    pub starts: u64,
    /// Ends of tasks that ended well.
    pub done: u64,
}

/// The promises, shared by whoever sees something.
#[derive(Clone, Debug, Default)]
pub struct Promise(Arc<Mutex<Seen>>);

/// Returns whether a state is the last that a job has.
fn is_end(state: &str) -> bool {
    matches!(state, "succeeded" | "failed" | "cancelled")
}

impl Seen {
    fn broken(&mut self, rule: &str, what: String) {
        self.broken.push(format!("{rule}: {what}"));
    }

    fn step_done(&self, job: &str, step: usize, tasks: u32) -> bool {
        let done = |at| self.done.contains(&format!("{job}.0.{step}.{at}"));
        (0..tasks).all(done)
    }
}

impl Promise {
    /// Takes note of a job that is about to be submitted.
    pub fn submits(&self, job: &str, steps: Vec<u32>) {
        let mut seen = lock(&self.0);
        seen.jobs.entry(job.to_owned()).or_insert(Job {
            steps,
            ..Job::default()
        });
    }

    /// Takes note of what a submission was answered.
    pub fn submitted(&self, job: &str, status: Option<u16>) {
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

    /// Takes note of a cancel that is about to be sent.
    pub fn cancels(&self, job: &str) {
        if let Some(job) = lock(&self.0).jobs.get_mut(job) {
            job.cancels = true;
        }
    }

    /// Takes note of an acknowledged cancel.
    pub fn cancelled(&self, job: &str) {
        let mut seen = lock(&self.0);
        let seen = &mut *seen;
        if let Some(job) = seen.jobs.get_mut(job) {
            seen.counts.cancelled += 1;
            job.cancelled.get_or_insert(Instant::now());
        }
    }

    /// Returns the last state that a caller was told, empty if none was.
    pub fn state(&self, id: &str) -> String {
        let seen = lock(&self.0);
        let job = seen.jobs.get(id);
        job.map(|job| job.state.clone()).unwrap_or_default()
    }

    /// Takes note of a state that a caller was told; `None` is that there
    /// is no such job. `before` is what had been told when it asked: of two
    /// questions under way at once, either may be answered first.
    pub fn told(&self, id: &str, state: Option<&str>, before: &str) {
        let mut seen = lock(&self.0);
        let Some(job) = seen.jobs.get(id) else {
            return;
        };
        let steps = job.steps.clone();
        let (accepted, cancelled) = (job.accepted, job.cancels);
        let last = job.state.clone();
        let taken_back = is_end(before) && state != Some(before);
        let other_end = is_end(&last)
            && state.is_some_and(|state| is_end(state) && state != last);
        let early = steps
            .iter()
            .enumerate()
            .any(|(step, tasks)| !seen.step_done(id, step, *tasks));
        match state {
            None if accepted => seen.broken("LOST", format!("{id} unknown")),
            _ if taken_back || other_end => {
                let what = format!("{id} was {last}, is {state:?}");
                seen.broken("MIXED", what);
            }
            Some("succeeded") if early => {
                seen.broken("MIXED", format!("{id} is not done"));
            }
            Some("cancelled") if !cancelled => {
                seen.broken("LOST", format!("{id} was not cancelled"));
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

    /// Takes note of a task that a worker starts; `late` says that the
    /// order was held up on its way.
    pub fn starts(&self, task: &str, life: &str, late: bool) {
        let mut seen = lock(&self.0);
        seen.counts.starts += 1;
        let mut parts = task.split('.');
        let id = parts.next().unwrap_or_default().to_owned();
        let step = parts.nth(1).and_then(|step| step.parse().ok());
        let step: usize = step.unwrap_or(0);
        let twice = seen.running.get(task).is_some_and(|on| !on.is_empty());
        if twice {
            seen.broken("TWICE", format!("{task} runs already"));
        }
        if seen.noted.contains(task) {
            seen.broken("TWICE", format!("{task} was done and noted"));
        }
        match seen.jobs.get(&id) {
            None => seen.broken("UNASKED", format!("{task}: no such job")),
            Some(job) => {
                let now = Instant::now();
                let over = job.cancelled.is_some_and(|c| now > c + CANCEL);
                let steps = job.steps.clone();
                if over && !late {
                    seen.broken("UNASKED", format!("{task} was cancelled"));
                }
                let before = steps.iter().enumerate().take(step);
                let early = before
                    .filter(|(at, tasks)| !seen.step_done(&id, *at, **tasks))
                    .count();
                if early > 0 {
                    seen.broken("ORDER", format!("{task} is early"));
                }
            }
        }
        if let Some(job) = seen.jobs.get_mut(&id) {
            job.ran = true;
        }
        let on = seen.running.entry(task.to_owned()).or_default();
        on.insert(life.to_owned());
    }

    /// Takes note of a task that has ended.
    pub fn ends(&self, task: &str, life: &str, done: bool) {
        let mut seen = lock(&self.0);
        if let Some(on) = seen.running.get_mut(task) {
            on.remove(life);
        }
        if done {
            seen.counts.done += 1;
            seen.done.insert(task.to_owned());
        }
    }

    /// Takes note of an end that was acknowledged.
    pub fn noted(&self, task: &str) {
        lock(&self.0).noted.insert(task.to_owned());
    }

    /// Returns the accepted jobs that callers do not know to have ended.
    pub fn open(&self) -> Vec<JobId> {
        let seen = lock(&self.0);
        let ended = ["succeeded", "failed", "cancelled"];
        let open = seen
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted && !ended.contains(&&*job.state));
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Takes note of a rule that is broken.
    pub fn breaks(&self, rule: &str, what: String) {
        lock(&self.0).broken(rule, what);
    }

    /// Returns what was broken, once every submission has its answer.
    pub fn broken(&self) -> Vec<String> {
        let seen = lock(&self.0);
        let refused = seen.jobs.iter().filter(|(_, job)| {
            job.refused && !job.accepted && !job.unsure && job.ran
        });
        let refused = refused.map(|(id, _)| format!("REFUSED: {id} has run"));
        seen.broken.iter().cloned().chain(refused).collect()
    }

    /// Returns what was seen.
    pub fn counts(&self) -> Counts {
        lock(&self.0).counts.clone()
    }
}

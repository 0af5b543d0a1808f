//! Jobs, steps and tasks as a caller requests them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::UnitKey;

/// The name of a job, unique on the site.
pub type JobId = Arc<str>;
/// A string that many values share.
pub type SharedStr = Arc<str>;

/// The resources that a task takes of a worker.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu: i64,
    /// Memory in MB.
    pub memory: i64,
    /// The number of accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Returns whether `other` fits into these resources.
    pub fn holds(&self, other: &Resources) -> bool {
        self.cpu >= other.cpu
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// Returns how many times `other` fits into these resources.
    pub fn times(&self, other: &Resources) -> u32 {
        let fit = |have: i64, each: i64| match each {
            ..=0 if have >= each => i64::MAX,
            ..=0 => 0,
            _ => (have / each).max(0),
        };
        let times = fit(self.cpu, other.cpu)
            .min(fit(self.memory, other.memory))
            .min(fit(self.accelerators, other.accelerators));
        u32::try_from(times).unwrap_or(u32::MAX)
    }

    /// Returns the sum of these resources and `other`.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns these resources less `other`.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu - other.cpu,
            memory: self.memory - other.memory,
            accelerators: self.accelerators - other.accelerators,
        }
    }
}

/// A part of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub replicas: u32,
    /// The resources of each task.
    pub resources: Resources,
    /// The declared run time of each task.
    #[serde(with = "crate::util::duration_ms")]
    pub estimate: Duration,
    /// The steps whose tasks must all be done before this step starts.
    pub after: Vec<usize>,
    /// Whether the tasks write checkpoints from which they can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the gang is slow unless all of it is in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<SharedStr>,
    /// The rack with the step's data; tasks are slow outside it.
    pub data_rack: Option<SharedStr>,
    /// The most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that the tasks run. Tasks of one image behave alike.
    pub image: Option<SharedStr>,
    /// The tail latency, in ms, below which a long-running task should answer.
    pub target_ms: Option<u64>,
    /// Whether the tasks are fillers: they take only the CPU time that other
    /// tasks leave.
    pub fills: bool,
    /// The number of long-running tasks that the scheduler may take down at a
    /// time.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the resources that a task is charged on its worker.
    pub fn charge(&self) -> Resources {
        match self.fills {
            true => Resources {
                cpu: 0,
                ..self.resources
            },
            false => self.resources,
        }
    }
}

/// A job whose steps run several times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// The number of repetitions.
    pub times: u32,
    /// When the first repetition is due.
    #[serde(with = "crate::util::time_ms")]
    pub start: SystemTime,
    /// The time between two repetitions.
    #[serde(with = "crate::util::duration_ms")]
    pub interval: Duration,
}

/// Marks a queue whose steps may run on some workers only; an advice service
/// knows which.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// How long a ticket is valid.
    #[serde(with = "crate::util::duration_ms")]
    pub valid: Duration,
}

/// A job as accepted, with the settings of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The job's name.
    pub id: JobId,
    /// The client account that owns the job.
    pub account: SharedStr,
    /// The queue that the job was submitted to.
    pub queue: SharedStr,
    /// The pool whose workers run the job.
    pub pool: SharedStr,
    /// The priority: 0 is urgent and has the guarantees, higher values start
    /// later.
    pub priority: u32,
    /// How many runs of a unit may fail before the job fails.
    pub max_attempts: u32,
    /// The factor on the job's critical path in its time objective.
    pub stretch: f64,
    /// The fixed part of the job's time objective.
    #[serde(with = "crate::util::duration_ms")]
    pub target: Duration,
    /// Whether the pool's workers refuse tasks that exceed their capacity.
    pub guarded: bool,
    /// When the job was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub accepted: SystemTime,
    /// The specification that is passed on to the tasks.
    pub spec: SharedStr,
    /// The steps, each after the steps that it depends on.
    pub steps: Vec<Step>,
    /// The schedule of a job that runs more than once.
    #[serde(default)]
    pub repeat: Option<Repeat>,
    /// The advice that starts need, if the queue requires advice.
    #[serde(default)]
    pub advice: Option<Advice>,
}

/// A reason why a job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The job has no steps.
    #[error("steps: none given, expected 1 or more")]
    Empty,
    /// A step has no tasks.
    #[error("steps[{step}].replicas: 0, expected 1 to {MAX_TASKS}")]
    Replicas {
        /// The step's index.
        step: usize,
    },
    /// A step depends on itself or a later step.
    #[error("steps[{step}].after: {on}, expected a step before {step}")]
    After {
        /// The step's index.
        step: usize,
        /// The index that the step depends on.
        on: usize,
    },
    /// The job has too many tasks.
    #[error("steps: {tasks} tasks, expected at most {MAX_TASKS}")]
    Tasks {
        /// The number of tasks of the job.
        tasks: u64,
    },
    /// The job has too many repetitions.
    #[error("times: {times}, expected at most {MAX_REPETITIONS}")]
    Times {
        /// The number of repetitions of the job.
        times: u32,
    },
    /// A task requests a negative amount of a resource, or more than any
    /// worker has.
    #[error(
        "steps[{step}]: cpu {cpu}, memory {memory}, accelerators \
         {accelerators}, expected 0 to {MAX_RESOURCE} each"
    )]
    Resources {
        /// The step's index.
        step: usize,
        /// Requested CPU in thousandths of a core.
        cpu: i64,
        /// Requested memory in MB.
        memory: i64,
        /// Requested accelerators.
        accelerators: i64,
    },
}

/// The most tasks of a job. Bounds the planner's memory.
pub const MAX_TASKS: u64 = 10_000;

/// The most of a resource that a task may request: far beyond any worker, and
/// small enough that the sum over all tasks of a job does not overflow.
pub const MAX_RESOURCE: i64 = 1_000_000_000_000;
/// The most repetitions of a job. Bounds the planner's run time.
pub const MAX_REPETITIONS: u32 = 10_000;

impl Job {
    /// Checks that the job is valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first problem, with the step where
    /// there is one.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() {
            return Err(Error::Empty);
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        if self.times() > MAX_REPETITIONS {
            return Err(Error::Times {
                times: self.times(),
            });
        }
        let tasks = self.steps.iter().map(|s| u64::from(s.replicas)).sum();
        match tasks {
            tasks if tasks > MAX_TASKS => Err(Error::Tasks { tasks }),
            _ => Ok(()),
        }
    }

    /// Returns the number of repetitions, 1 for a job without a schedule.
    pub fn times(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns when a repetition is due.
    pub fn due(&self, time: u32) -> SystemTime {
        match self.repeat {
            Some(repeat) => repeat.start + repeat.interval * time,
            None => self.accepted,
        }
    }

    /// Returns the length of the longest chain of steps that begins with each
    /// step, where `expected` returns the run time of a step by its index. The
    /// greatest is the length of the critical path.
    pub fn chains(
        &self,
        expected: impl Fn(usize) -> Duration,
    ) -> Vec<Duration> {
        // A step only depends on earlier ones.
        let mut chains = vec![Duration::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            // So far this is the longest chain of the steps after this one.
            chains[number] += expected(number);
            let chain = chains[number];
            for index in &step.after {
                if let Some(before) = chains.get_mut(*index) {
                    *before = chain.max(*before);
                }
            }
        }
        chains
    }

    /// Returns whether any step is long-running.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

fn check_step(number: usize, step: &Step) -> Result<(), Error> {
    if step.replicas == 0 {
        return Err(Error::Replicas { step: number });
    }
    let Resources {
        cpu,
        memory,
        accelerators,
    } = step.resources;
    let fits = |asked: &i64| (0..=MAX_RESOURCE).contains(asked);
    if ![cpu, memory, accelerators].iter().all(fits) {
        return Err(Error::Resources {
            step: number,
            cpu,
            memory,
            accelerators,
        });
    }
    match step.after.iter().find(|on| **on >= number) {
        Some(on) => Err(Error::After {
            step: number,
            on: *on,
        }),
        None => Ok(()),
    }
}

/// The name of a task.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Task {
    /// The task's job.
    pub job: JobId,
    /// The repetition of the job, from 0.
    pub time: u32,
    /// The index of the task's step.
    pub step: usize,
    /// The task's index within the step.
    pub index: u32,
}

impl Task {
    /// Returns the unit that the task belongs to: its whole gang if its step
    /// is one, otherwise the task alone.
    pub(super) fn unit(&self, gang: bool) -> UnitKey {
        UnitKey {
            time: self.time,
            step: self.step,
            index: (!gang).then_some(self.index),
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.time, self.step, self.index)
    }
}

/// The error for a text that is not the name of a task.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("task {0:?}: expected JOB.TIME.STEP.INDEX")]
pub struct ParseTaskError(String);

impl std::str::FromStr for Task {
    type Err = ParseTaskError;

    fn from_str(text: &str) -> Result<Task, ParseTaskError> {
        let bad = || ParseTaskError(text.to_owned());
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let index: u32 = number().ok_or_else(bad)?;
        let step: u32 = number().ok_or_else(bad)?;
        let time: u32 = number().ok_or_else(bad)?;
        let job = parts.next().ok_or_else(bad)?;
        Ok(Task {
            job: job.into(),
            time,
            step: step as usize,
            index,
        })
    }
}

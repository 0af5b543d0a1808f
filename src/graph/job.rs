//! What a caller asks for.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

/// The name of a job, unique on the site.
pub type JobId = Arc<str>;
/// A name shared by many values.
pub type SharedStr = Arc<str>;

/// What a task takes of a worker.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: i64,
    /// Memory in MB.
    pub memory: i64,
    /// Accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// Returns whether `other` fits into these.
    pub fn holds(&self, other: &Resources) -> bool {
        self.cpu >= other.cpu
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// Returns how many times `other` fits into these.
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

    /// Returns these with `other` added.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns these with `other` taken away.
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
    /// How many tasks.
    pub replicas: u32,
    /// What each takes.
    pub resources: Resources,
    /// How long each is guessed to take.
    #[serde(with = "crate::util::duration_ms")]
    pub estimate: Duration,
    /// The steps whose tasks must all be done first.
    pub after: Vec<usize>,
    /// Whether it writes checkpoints, from which it can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the gang is slow unless it is in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<SharedStr>,
    /// The rack outside which it is slow.
    pub data_rack: Option<SharedStr>,
    /// The most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<SharedStr>,
    /// Below which the tail of a lasting task's answers is to stay.
    pub target_ms: Option<u64>,
    /// Whether it takes only the processor time that others leave.
    pub fills: bool,
    /// How many lasting tasks may be away at a time through our doing.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns what a task takes from the room of its worker.
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
    /// How many times.
    pub times: u32,
    /// When the first time falls due.
    #[serde(with = "crate::util::time_ms")]
    pub start: SystemTime,
    /// How long after it the next falls due.
    #[serde(with = "crate::util::duration_ms")]
    pub interval: Duration,
}

/// A queue whose steps may run on some workers only, which a service knows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// How long a ticket holds.
    #[serde(with = "crate::util::duration_ms")]
    pub valid: Duration,
}

/// A job as it was accepted, with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The client account it belongs to.
    pub account: SharedStr,
    /// The queue it was put in.
    pub queue: SharedStr,
    /// The pool whose workers run it.
    pub pool: SharedStr,
    /// The lower, the sooner; 0 has the guarantees.
    pub priority: u32,
    /// How many of a unit's runs may fail.
    pub max_attempts: u32,
    /// How many times its longest chain of work it may take.
    pub stretch: f64,
    /// What it may take beyond that.
    #[serde(with = "crate::util::duration_ms")]
    pub target: Duration,
    /// Whether workers of the pool refuse what does not fit.
    pub guarded: bool,
    /// When it was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub accepted: SystemTime,
    /// What the tasks are told.
    pub spec: SharedStr,
    /// Its steps.
    pub steps: Vec<Step>,
    /// How often it runs, if more than once.
    #[serde(default)]
    pub repeat: Option<Repeat>,
    /// Whose leave its starts need, if anybody's.
    #[serde(default)]
    pub advice: Option<Advice>,
}

/// A step or shape that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There are no steps.
    #[error("steps: none given, expected 1 or more")]
    Empty,
    /// A step has no tasks.
    #[error("steps[{step}].replicas: 0, expected 1 to {MAX_TASKS}")]
    Replicas {
        /// Its number.
        step: usize,
    },
    /// A step waits for itself or a later one.
    #[error("steps[{step}].after: {on}, expected a step before {step}")]
    After {
        /// Its number.
        step: usize,
        /// What it waits for.
        on: usize,
    },
    /// There are too many tasks.
    #[error("steps: {tasks} tasks, expected at most {MAX_TASKS}")]
    Tasks {
        /// How many.
        tasks: u64,
    },
    /// It runs too often.
    #[error("times: {times}, expected at most {MAX_TIMES}")]
    Times {
        /// How often.
        times: u32,
    },
    /// A task asks for what no worker can have.
    #[error(
        "steps[{step}]: cpu {cpu}, memory {memory}, accelerators \
         {accelerators}, expected 0 to {MAX_RESOURCE} each"
    )]
    Resources {
        /// Its number.
        step: usize,
        /// Thousandths of a core.
        cpu: i64,
        /// Memory in MB.
        memory: i64,
        /// Accelerators.
        accelerators: i64,
    },
}

/// The most tasks of a job, a memory bound of the planner.
pub const MAX_TASKS: u64 = 10_000;

/// The most of a resource that a task may ask for: far beyond any worker,
/// and as many times as a job may have tasks is still a number.
pub const MAX_RESOURCE: i64 = 1_000_000_000_000;
/// The most times that a job runs, a bound of the planner's time.
pub const MAX_TIMES: u32 = 10_000;

impl Job {
    /// Checks that the job makes sense.
    ///
    /// # Errors
    ///
    /// Names the first step that does not.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() {
            return Err(Error::Empty);
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        if self.times() > MAX_TIMES {
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

    /// Returns how often the steps run.
    pub fn times(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns when a time falls due.
    pub fn due(&self, time: u32) -> SystemTime {
        match self.repeat {
            Some(repeat) => repeat.start + repeat.interval * time,
            None => self.accepted,
        }
    }

    /// Returns the longest chain of work through the steps, each as long as
    /// `expected` says of its number.
    pub fn critical_path(
        &self,
        expected: impl Fn(usize) -> Duration,
    ) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for (number, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|on| ends.get(*on));
            let before = before.max().copied().unwrap_or_default();
            ends.push(before + expected(number));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether any step lasts.
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
    /// Its job.
    pub job: JobId,
    /// Which time of the job, from 0.
    pub time: u32,
    /// Its step.
    pub step: usize,
    /// Its number within the step.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.time, self.step, self.index)
    }
}

/// A text that names no task.
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

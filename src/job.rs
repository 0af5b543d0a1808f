//! Jobs: their specification and outcome.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::account;
use crate::site::Shape;

/// The name of a job, unique on the site.
pub type Id = Arc<str>;
/// The name of a template.
pub type TemplateId = Arc<str>;
/// The number of a start of a job, counted from 1.
pub type Attempt = u32;

/// The specification of a job, as the decision core sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The name of the job.
    pub id: Id,
    /// The client account that owns the job.
    pub account: account::Id,
    /// The template that the job was created from.
    pub template: TemplateId,
    /// The accelerators that the job needs at the same time.
    pub shape: Shape,
    /// The expected run time, declared by the caller or the template.
    #[serde(with = "crate::util::duration_ms")]
    pub declared: Duration,
    /// Whether a job that may have run already may be started again.
    pub repeatable: bool,
    /// Whether the job can write checkpoints and so keep its progress when it
    /// is stopped.
    pub checkpoint: bool,
    /// Whether the job takes precedence over all jobs that are not urgent.
    pub urgent: bool,
    /// When the job was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub submitted: SystemTime,
    /// When the caller needs the result, if there is a deadline.
    #[serde(default, with = "crate::util::option_time_ms")]
    pub due: Option<SystemTime>,
}

impl Spec {
    /// Returns whether the job may be stopped to give its accelerators back.
    ///
    /// Only repeatable jobs may be: a stopped job has to be started again, and
    /// a job that is not repeatable is never started twice, not even from its
    /// own checkpoint.
    pub fn is_reclaimable(&self) -> bool {
        self.repeatable
    }
}

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The job ran to its end.
    Done,
    /// The job ran and failed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
    /// The job did not run and never will.
    NotRun,
    /// The job may have run; this cannot be determined.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Done => "done",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        })
    }
}

//! Jobs: what is asked for, and how each ends.

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
/// The number of a job's start, counted from 1.
pub type Attempt = u32;

/// What the decision core needs to know of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Its name.
    pub id: Id,
    /// The client account it belongs to.
    pub account: account::Id,
    /// The template it was made from.
    pub template: TemplateId,
    /// The accelerators that it needs together.
    pub shape: Shape,
    /// How long its caller or template says it runs.
    #[serde(with = "crate::util::duration_ms")]
    pub declared: Duration,
    /// Whether it may be started again after it may have run.
    pub repeatable: bool,
    /// Whether it can checkpoint, and so keep its progress when stopped.
    pub checkpoint: bool,
    /// Whether it goes before all work that is not urgent.
    pub urgent: bool,
    /// When it was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub submitted: SystemTime,
    /// When its caller needs it, if it matters.
    #[serde(default, with = "crate::util::option_time_ms")]
    pub due: Option<SystemTime>,
}

impl Spec {
    /// Returns whether the job may be stopped to give its accelerators back.
    ///
    /// Only a repeatable job may: what was stopped must be started again,
    /// and a job that may not repeat is never started twice, not even from
    /// its own checkpoint.
    pub fn is_reclaimable(&self) -> bool {
        self.repeatable
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// It did not run, and never will.
    NotRun,
    /// It may have run; nobody can say.
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

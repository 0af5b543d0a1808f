//! Gangs: one start of a job on accelerators of one or more workers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::job;
use crate::site::Mask;
use crate::site::WorkerId;
use crate::wire::Epoch;

/// Names one start of a job: by whose epoch, and the how-manieth.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id {
    /// The job.
    pub job: job::Id,
    /// The epoch of the planner that started it.
    pub epoch: Epoch,
    /// The number of the start within the epoch.
    pub attempt: job::Attempt,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}.{}", self.job, self.epoch, self.attempt)
    }
}

/// A worker's part in a gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// Where its agent listens.
    pub address: String,
    /// Its accelerators.
    pub mask: Mask,
}

/// What the task of each member is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// What to run.
    pub run: String,
    /// The caller's parameters.
    pub parameters: serde_json::Value,
    /// The checkpoint to go on from, if any.
    pub checkpoint: Option<String>,
}

/// A gang: the job, its members, and the first of them, which leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gang {
    /// Its name.
    pub id: Id,
    /// The job.
    pub spec: job::Spec,
    /// The members; the first leads.
    pub members: Vec<Member>,
    /// What each member runs.
    pub work: Work,
}

impl Gang {
    /// Returns the member that leads.
    pub fn lead(&self) -> &Member {
        &self.members[0]
    }

    /// Returns the position of a worker among the members.
    pub fn position(&self, worker: &str) -> Option<usize> {
        self.members
            .iter()
            .position(|member| &*member.worker == worker)
    }
}

/// How a member's task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It was never begun, and never will be.
    NotBegun,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its worker or agent is lost.
    Lost,
}

/// The end of a member's task, or of a whole gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// How it ended.
    pub ending: Ending,
    /// The worker that made it end so, if it did not just end.
    pub worker: Option<WorkerId>,
    /// What the task answered.
    pub output: Option<String>,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
    /// How many milliseconds of the run the checkpoint keeps.
    pub kept_ms: u64,
}

impl End {
    /// Returns an end without output or checkpoint.
    pub fn new(ending: Ending, worker: Option<WorkerId>) -> End {
        End {
            ending,
            worker,
            output: None,
            checkpoint: None,
            kept_ms: 0,
        }
    }
}

/// What the lead says of a gang, once and for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It runs: begin, or go on.
    Run,
    /// It does not run, or no longer: let go.
    Halt,
}

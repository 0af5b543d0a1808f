//! Gangs: one start of a job on the accelerators of one or more workers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::job;
use crate::site::Mask;
use crate::site::WorkerId;
use crate::wire::Epoch;

/// Identifies one start of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id {
    /// The job.
    pub job: job::Id,
    /// The epoch of the planner that started the gang.
    pub epoch: Epoch,
    /// The number of this start within the epoch.
    pub attempt: job::Attempt,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}.{}", self.job, self.epoch, self.attempt)
    }
}

/// One worker of a gang and the accelerators that it contributes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// The address of the worker's agent.
    pub address: String,
    /// The worker's accelerators that the gang uses.
    pub mask: Mask,
}

/// The task that each member runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The program to run, as the template names it.
    pub run: String,
    /// The caller's parameters.
    pub parameters: serde_json::Value,
    /// The checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
}

/// One start of a job on all of its members, the first of which leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gang {
    /// The identifier of this start.
    pub id: Id,
    /// The job that is started.
    pub spec: job::Spec,
    /// The members; the first is the lead.
    pub members: Vec<Member>,
    /// The task that each member runs.
    pub work: Work,
}

impl Gang {
    /// Returns the member that leads.
    pub fn lead(&self) -> &Member {
        &self.members[0]
    }

    /// Returns the position of `worker` among the members.
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
    /// The task was never begun, and never will be.
    NotBegun,
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The task's worker or agent was lost.
    Lost,
}

/// The end of a member's task, or of a whole gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The kind of end.
    pub ending: Ending,
    /// The worker that caused the end; `None` if no worker did.
    pub worker: Option<WorkerId>,
    /// The task's output.
    pub output: Option<String>,
    /// The checkpoint that a later start can resume from.
    pub checkpoint: Option<String>,
    /// The part of the run that the checkpoint preserves, in milliseconds.
    pub kept_ms: u64,
}

impl End {
    /// Creates an end without output or checkpoint.
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

/// The lead's decision on a gang. A decision to run may still change to halt,
/// never the other way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The gang runs: members begin or continue their tasks.
    Run,
    /// The gang does not run, or no longer: members stop their tasks and
    /// release their accelerators.
    Halt,
}

//! Commands of the decision core.

use crate::job;
use crate::job::Outcome;
use crate::site::Piece;
use crate::site::WorkerId;

/// A command that the planner carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a job on all its pieces or on none.
    Start {
        /// The job.
        job: job::Id,
        /// The number of this start.
        attempt: job::Attempt,
        /// The accelerators to start on.
        pieces: Vec<Piece>,
    },
    /// Stop all members of a job, after a checkpoint where the job supports
    /// one.
    Stop {
        /// The job.
        job: job::Id,
        /// The start to stop.
        attempt: job::Attempt,
        /// Why the job is stopped.
        reason: Reason,
    },
    /// A job has ended; its caller can be answered.
    Finish {
        /// The job.
        job: job::Id,
        /// How the job ended.
        outcome: Outcome,
        /// The reason for the outcome, in words for the job's caller.
        reason: String,
    },
    /// A worker gets no work until a probe has run well on it.
    Quarantine {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is back in service.
    Restore {
        /// The worker.
        worker: WorkerId,
    },
}

/// Why a job is stopped. The variant's name is a metric label.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The job's accelerators are owed to another job.
    Reclaim,
    /// The job moves, so that a larger block of free accelerators becomes
    /// whole.
    Compact,
    /// The job's caller cancelled it.
    Cancel,
    /// A member of the job's gang was lost or failed.
    Broken,
}

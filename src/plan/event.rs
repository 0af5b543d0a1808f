//! Events that the decision core is given.

use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::account::Account;
use crate::job;
use crate::site::Piece;
use crate::site::WorkerId;

/// An event on the site.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client account was added or changed.
    AccountChanged {
        /// The account's name.
        account: account::Id,
        /// The account's present guarantee and limits.
        terms: Account,
    },
    /// A client account was removed: its running jobs run on, and those that
    /// were never started are refused.
    AccountRemoved {
        /// The account's name.
        account: account::Id,
    },
    /// A job was accepted.
    Submitted {
        /// The job.
        spec: job::Spec,
    },
    /// A caller cancelled its job.
    Cancelled {
        /// The job.
        job: job::Id,
    },
    /// A worker is reachable and can be given work.
    WorkerUp {
        /// The worker's name.
        worker: WorkerId,
    },
    /// A worker gets no new work; its jobs run on.
    WorkerLeaving {
        /// The worker's name.
        worker: WorkerId,
    },
    /// A worker was lost with all that ran on it.
    WorkerLost {
        /// The worker's name.
        worker: WorkerId,
    },
    /// A worker is unreachable: it gets no new work, but its jobs are not
    /// known to be lost.
    WorkerSilent {
        /// The worker's name.
        worker: WorkerId,
    },
    /// A planner that took over found a job running.
    Adopted {
        /// The job.
        spec: job::Spec,
        /// The number of the job's start.
        attempt: job::Attempt,
        /// The accelerators that the job runs on.
        pieces: Vec<Piece>,
        /// When the job started.
        started: SystemTime,
    },
    /// A gang was not started, and no member ran.
    NotStarted {
        /// The job.
        job: job::Id,
        /// The start that failed.
        attempt: job::Attempt,
        /// The member that prevented the start, if one did.
        worker: Option<WorkerId>,
    },
    /// Whether a gang was started cannot be determined.
    StartUnknown {
        /// The job.
        job: job::Id,
        /// The start in question.
        attempt: job::Attempt,
    },
    /// A job ran to its end.
    Completed {
        /// The job.
        job: job::Id,
        /// The start that ran to its end.
        attempt: job::Attempt,
    },
    /// A job's task failed; all members have been stopped or will be.
    Failed {
        /// The job.
        job: job::Id,
        /// The start that failed.
        attempt: job::Attempt,
        /// The worker that reported the failure.
        worker: WorkerId,
    },
    /// All members of a job have stopped, as requested.
    Stopped {
        /// The job.
        job: job::Id,
        /// The start that was stopped.
        attempt: job::Attempt,
        /// How much of the run the job's checkpoint keeps.
        kept: Duration,
        /// Whether it is proven that no member runs any more.
        proven: bool,
    },
    /// Time has passed.
    Tick,
}

//! What the decision core is told.

use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::account::Account;
use crate::job;
use crate::site::Piece;
use crate::site::WorkerId;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client account is new or has changed.
    AccountChanged {
        /// Its name.
        account: account::Id,
        /// What it now is.
        terms: Account,
    },
    /// A client account is no more; its jobs end as they would.
    AccountRemoved {
        /// Its name.
        account: account::Id,
    },
    /// A job was accepted.
    Submitted {
        /// The job.
        spec: job::Spec,
    },
    /// A caller takes its job back.
    Cancelled {
        /// The job.
        job: job::Id,
    },
    /// A worker is there and may be given work.
    WorkerUp {
        /// Its name.
        worker: WorkerId,
    },
    /// A worker gets no new work; what runs there goes on.
    WorkerLeaving {
        /// Its name.
        worker: WorkerId,
    },
    /// A worker is lost with all that ran on it.
    WorkerLost {
        /// Its name.
        worker: WorkerId,
    },
    /// A worker cannot be reached: no new work, nothing is known lost.
    WorkerSilent {
        /// Its name.
        worker: WorkerId,
    },
    /// A job was found running, by a planner that took over.
    Adopted {
        /// The job.
        spec: job::Spec,
        /// Its start.
        attempt: job::Attempt,
        /// What it runs on.
        pieces: Vec<Piece>,
        /// When it started.
        started: SystemTime,
    },
    /// A gang was not started, and no member ran.
    NotStarted {
        /// The job.
        job: job::Id,
        /// The start that came to nothing.
        attempt: job::Attempt,
        /// The member that stood in the way, if one did.
        worker: Option<WorkerId>,
    },
    /// Nobody can say whether a gang was started.
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
        /// The start that did it.
        attempt: job::Attempt,
    },
    /// A job's task failed; all members have been stopped or will be.
    Failed {
        /// The job.
        job: job::Id,
        /// The start that failed.
        attempt: job::Attempt,
        /// The worker that reported it.
        worker: WorkerId,
    },
    /// All members of a job have stopped, as they were told.
    Stopped {
        /// The job.
        job: job::Id,
        /// The start that was stopped.
        attempt: job::Attempt,
        /// How much of the run its checkpoint keeps.
        kept: Duration,
        /// Whether it is proven that no member runs on.
        proven: bool,
    },
    /// Time has passed.
    Tick,
}

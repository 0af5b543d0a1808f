//! What was decided, for whoever reads the logs.

use std::time::Duration;

use crate::graph::AgentId;
use crate::graph::GuaranteeStatus;
use crate::graph::JobId;
use crate::graph::Life;
use crate::graph::Loss;
use crate::graph::Outcome;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::SharedStr;
use crate::graph::Shortage;
use crate::graph::UnitKey;

/// Which unit is meant.
#[derive(Clone, Debug, PartialEq)]
pub struct Subject {
    /// Its job.
    pub job: JobId,
    /// The client account of the job.
    pub account: SharedStr,
    /// The queue of the job.
    pub queue: SharedStr,
    /// The unit within the job.
    pub unit: UnitKey,
}

/// What a unit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Workers that may be used at all.
    Worker,
    /// Room on one of them.
    Room,
    /// A rack where it is not slow.
    Rack,
}

/// A decision, with what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A worker came into the books.
    WorkerAdded {
        /// Its agent.
        agent: AgentId,
        /// Its life.
        life: Life,
    },
    /// A worker is taken for gone.
    WorkerLost {
        /// Its life.
        life: Life,
        /// How long nothing was heard of it.
        silent: Duration,
    },
    /// A worker's room has changed.
    Resized {
        /// Its life.
        life: Life,
        /// What it had.
        from: Resources,
        /// What it has now.
        to: Resources,
        /// What is placed there, and kept.
        used: Resources,
    },
    /// A worker is kept apart.
    WorkerQuarantined {
        /// Its life.
        life: Life,
        /// For how long.
        duration: Duration,
        /// The runs that failed there in a row.
        failed: usize,
    },
    /// A unit finds no place; told once, and when the reason changes.
    Waiting {
        /// The unit.
        subject: Subject,
        /// What for.
        reason: WaitReason,
        /// What is left until it would have to start, in ms.
        slack_ms: i64,
        /// How many workers it may use.
        workers: usize,
        /// How it stands to what its account is guaranteed, if it is urgent.
        standing: Option<GuaranteeStatus>,
        /// What it lacks, where there are such workers.
        shortage: Option<Shortage>,
    },
    /// Room is kept for a unit.
    Reserved {
        /// The unit.
        subject: Subject,
        /// Where.
        lives: Vec<Life>,
        /// The runs that are stopped for it.
        stopped: usize,
        /// The core-seconds that this throws away.
        cost: f64,
    },
    /// A unit is given a run.
    Placed {
        /// The unit.
        subject: Subject,
        /// Which run.
        run: Run,
        /// Where its members go.
        lives: Vec<Life>,
        /// How long it could have been placed.
        waited: Duration,
        /// What is left until it would have to start, in ms.
        slack_ms: i64,
        /// How long it is expected to run.
        expected: Duration,
        /// How it stands to what its account is guaranteed, if it is urgent.
        standing: Option<GuaranteeStatus>,
    },
    /// A run is stopped.
    Stopped {
        /// The unit.
        subject: Subject,
        /// Which run.
        run: Run,
        /// Why.
        why: &'static str,
    },
    /// A run of a task has ended, or never began.
    Ended {
        /// The unit.
        subject: Subject,
        /// Which run.
        run: Run,
        /// The member of a gang, from 0.
        member: usize,
        /// Where.
        life: Life,
        /// How.
        how: &'static str,
        /// How long after it was given out.
        ran: Duration,
    },
    /// A worker went without a word while it ran a task.
    LossCounted {
        /// The unit.
        subject: Subject,
        /// Which run.
        run: Run,
        /// The task's number within its step.
        task: u32,
        /// The worker.
        life: Life,
        /// How long the task was seen at work there, at least.
        ran: Duration,
        /// All that were lost under the task.
        loss: Loss,
    },
    /// Another pace is ordered for what fills a worker.
    Paced {
        /// The worker's agent.
        agent: AgentId,
        /// The share of their speed before, 0 to 100.
        from: u8,
        /// The share from now on.
        to: u8,
        /// The worst tail there, in parts of its target.
        worst: f64,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its client account.
        account: SharedStr,
        /// Its queue.
        queue: SharedStr,
        /// How.
        outcome: Outcome,
        /// How long after it was accepted.
        took: Duration,
        /// Within which it was to end, as far as its runs tell.
        objective: Duration,
    },
}

//! Calls between entries: requests for a cell's planner, and the
//! configuration for an entry that cannot reach the store.

use std::time::SystemTime;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use crate::account;
use crate::config::Document;
use crate::job;
use crate::record::End;
use crate::record::Record;
use crate::site::HallId;
use crate::site::Mask;
use crate::site::RackId;
use crate::site::Shape;
use crate::site::WorkerId;
use crate::store::Revision;
use crate::wire::Epoch;
use crate::wire::Trace;

/// The stage of a job, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The job waits for accelerators.
    Queued,
    /// The job has accelerators, and its tasks are being started.
    Starting,
    /// The job runs.
    Running,
    /// The job is being stopped.
    Stopping,
    /// The job has ended.
    Ended,
}

/// An event in the log of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// The time of the event.
    #[serde(rename = "at", with = "crate::util::time_ms")]
    pub time: SystemTime,
    /// A description for the caller.
    pub text: String,
}

/// The status of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The job.
    pub job: job::Id,
    /// The client account that submitted the job.
    pub account: account::Id,
    /// The template that the job was made from.
    pub template: job::TemplateId,
    /// The current stage.
    pub stage: Stage,
    /// The number of the last start; 0 before the first.
    pub attempt: job::Attempt,
    /// The workers that the job runs on.
    pub workers: Vec<WorkerId>,
    /// The job's log, oldest event first.
    #[serde(default)]
    pub log: Vec<LogLine>,
    /// The job's end; `None` while it has not ended.
    pub end: Option<End>,
}

/// The reason why a request for a planner is refused.
#[derive(
    Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This entry does not host the planner.
    #[error("this entry does not host the planner")]
    NotPlanner,
    /// The planner still reads the agents' ledgers after a takeover.
    #[error("the planner is taking over")]
    TakingOver,
    /// The account's queue is full.
    #[error("the queue of account {account:?} is full at {limit} jobs")]
    QueueFull {
        /// The account.
        account: account::Id,
        /// The maximum number of queued jobs.
        limit: u32,
    },
    /// The request id belongs to a different request.
    #[error("request_id: another request has used it")]
    Conflict,
    /// The store does not answer, and the job may not proceed without being
    /// recorded there.
    #[error("the store does not answer; ask again under the same id")]
    #[serde(rename = "store_down")]
    StoreUnavailable,
    /// The planner knows no job of this id.
    #[error("the job is not known")]
    #[serde(rename = "not_known")]
    UnknownJob,
}

/// Asks a planner to admit a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admit {
    /// The job to admit.
    pub record: Record,
    /// Whether the caller waits for the job's end.
    #[serde(rename = "waits")]
    pub caller_waits: bool,
    /// The parent span, if the request is traced.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// Asks for a job's status, optionally waiting for its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The job.
    pub job: job::Id,
    /// The maximum wait for the job's end in milliseconds; 0 for no wait.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
}

/// A worker as the planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker's name.
    pub worker: WorkerId,
    /// The hall of the worker.
    pub hall: HallId,
    /// The rack of the worker.
    pub rack: RackId,
    /// The presence of the worker: up, silent, leaving or lost.
    pub presence: String,
    /// The health of the worker: good or quarantined.
    pub health: String,
    /// The accelerators in use, one item for each job.
    pub jobs: Vec<Allocation>,
    /// The accelerators in home blocks, one item for each account.
    pub homes: Vec<HomeAllocation>,
}

/// A job's accelerators on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// The job.
    pub job: job::Id,
    /// The job's account.
    pub account: account::Id,
    /// The accelerators that the job uses, one bit each.
    pub mask: Mask,
}

/// A home block's accelerators on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeAllocation {
    /// The account that owns the home block.
    pub account: account::Id,
    /// The home block's accelerators, one bit each.
    pub mask: Mask,
}

/// A guarantee as the planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeView {
    /// The account.
    pub account: account::Id,
    /// The guaranteed shape.
    pub shape: Shape,
    /// Whether the planner found a home block for the shape.
    pub placed: bool,
    /// The number of its accelerators that the account uses.
    pub used: u32,
    /// The other accounts' jobs that borrow any of its accelerators.
    pub borrowers: Vec<job::Id>,
}

/// A cell as its planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellView {
    /// The cell's name.
    pub cell: String,
    /// The address of the entry that hosts the planner.
    #[serde(rename = "planner")]
    pub planner_address: String,
    /// The planner's epoch.
    pub epoch: Epoch,
    /// The revision of the configuration in force at the planner.
    pub revision: Revision,
    /// The number of accelerators of each worker.
    pub accelerators: u32,
    /// The fraction of the free accelerators that are not on an entirely free
    /// worker.
    pub fragmentation: f64,
    /// The number of jobs that wait for accelerators.
    pub waiting: usize,
    /// The number of jobs that run.
    pub running: usize,
    /// The workers.
    pub workers: Vec<WorkerView>,
    /// The guarantees.
    pub guarantees: Vec<GuaranteeView>,
}

/// The methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Admits a job.
    #[method(name = "admit")]
    async fn admit(&self, admit: Admit) -> RpcResult<Result<Status, Refusal>>;

    /// Returns a job's status, once the job has ended or the wait times out.
    #[method(name = "status")]
    async fn status(&self, query: Query)
        -> RpcResult<Result<Status, Refusal>>;

    /// Cancels a job.
    #[method(name = "cancel")]
    async fn cancel(&self, job: job::Id)
        -> RpcResult<Result<Status, Refusal>>;

    /// Returns the status of an account's jobs, or of all jobs if no account
    /// is given.
    #[method(name = "list")]
    async fn list(
        &self,
        account: Option<account::Id>,
    ) -> RpcResult<Result<Vec<Status>, Refusal>>;

    /// Returns the cell as its planner sees it.
    #[method(name = "cell")]
    async fn cell(&self) -> RpcResult<Result<CellView, Refusal>>;

    /// Returns the configuration in force here.
    #[method(name = "configuration")]
    async fn configuration(&self) -> RpcResult<Document>;
}

//! What entries say to each other: requests for a cell's planner, and the
//! configuration for one that cannot reach the store.

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

/// Where a job is, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It waits for accelerators.
    Queued,
    /// It has accelerators, and its tasks are being started.
    Starting,
    /// It runs.
    Running,
    /// It is being stopped.
    Stopping,
    /// It has ended.
    Ended,
}

/// Something that happened to a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// When.
    #[serde(with = "crate::util::time_ms")]
    pub at: SystemTime,
    /// What.
    pub text: String,
}

/// What there is to say of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The job.
    pub job: job::Id,
    /// Its client account.
    pub account: account::Id,
    /// Its template.
    pub template: job::TemplateId,
    /// Where it is.
    pub stage: Stage,
    /// The number of its last start, 0 for none.
    pub attempt: job::Attempt,
    /// The workers it runs on.
    pub workers: Vec<WorkerId>,
    /// What has happened to it, the last things last.
    #[serde(default)]
    pub log: Vec<LogLine>,
    /// How it ended, if it has.
    pub end: Option<End>,
}

/// Why a planner does not do what it is asked.
#[derive(
    Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This entry does not host the planner.
    #[error("this entry does not host the planner")]
    NotPlanner,
    /// The planner is reading ledgers after a takeover.
    #[error("the planner is taking over")]
    TakingOver,
    /// The account's queue is full.
    #[error("the queue of account {account:?} is full at {limit} jobs")]
    QueueFull {
        /// The account.
        account: account::Id,
        /// Its limit.
        limit: u32,
    },
    /// The job was made by another request under the same id.
    #[error("request_id: another request has used it")]
    Conflict,
    /// The store does not answer, and the job must not go on without.
    #[error("the store does not answer; ask again under the same id")]
    #[serde(rename = "store_down")]
    StoreUnavailable,
    /// No such job is known.
    #[error("the job is not known")]
    #[serde(rename = "not_known")]
    UnknownJob,
}

/// Asks a planner to take a job in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admit {
    /// The job.
    pub record: Record,
    /// Whether its caller waits for its end.
    pub waits: bool,
    /// The span that this belongs to.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// Asks for a job's status, to be told once it has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The job.
    pub job: job::Id,
    /// How many milliseconds to wait for its end at most; 0 not to wait.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
}

/// A worker as the planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Its name.
    pub worker: WorkerId,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Whether it is up, silent, leaving or lost.
    pub presence: String,
    /// What is thought of it.
    pub health: String,
    /// Accelerators in use, by job and account.
    pub jobs: Vec<Allocation>,
    /// Accelerators in home blocks, by account.
    pub homes: Vec<HomeAllocation>,
}

/// A job's accelerators on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// The job.
    pub job: job::Id,
    /// Its account.
    pub account: account::Id,
    /// Its accelerators.
    pub mask: Mask,
}

/// A home block's accelerators on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeAllocation {
    /// Its owner.
    pub account: account::Id,
    /// Its accelerators.
    pub mask: Mask,
}

/// A guaranteed shape as the planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeView {
    /// The account.
    pub account: account::Id,
    /// The shape.
    pub shape: Shape,
    /// Whether there is a place for it.
    pub placed: bool,
    /// How many of its accelerators the account uses.
    pub used: u32,
    /// The jobs of others that have borrowed any of it.
    pub borrowers: Vec<job::Id>,
}

/// A cell as its planner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellView {
    /// Its name.
    pub cell: String,
    /// The address of the entry that hosts the planner.
    pub planner: String,
    /// The planner's epoch.
    pub epoch: Epoch,
    /// The configuration in force there.
    pub revision: Revision,
    /// How many accelerators each worker has.
    pub accelerators: u32,
    /// The share of free accelerators that lie in no free whole worker.
    pub fragmentation: f64,
    /// How many jobs wait.
    pub waiting: usize,
    /// How many jobs run.
    pub running: usize,
    /// The workers.
    pub workers: Vec<WorkerView>,
    /// The guarantees.
    pub guarantees: Vec<GuaranteeView>,
}

/// The methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Takes a job in.
    #[method(name = "admit")]
    async fn admit(&self, admit: Admit) -> RpcResult<Result<Status, Refusal>>;

    /// Returns a job's status, once it has ended or the wait is over.
    #[method(name = "status")]
    async fn status(&self, wait: Query) -> RpcResult<Result<Status, Refusal>>;

    /// Takes a job back.
    #[method(name = "cancel")]
    async fn cancel(&self, job: job::Id)
        -> RpcResult<Result<Status, Refusal>>;

    /// Returns the status of an account's jobs, or of all.
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

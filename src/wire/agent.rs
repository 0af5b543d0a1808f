//! Calls to an agent, from planners and from other agents.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Revision;
use crate::wire::gang;
use crate::wire::gang::Decision;
use crate::wire::gang::End;
use crate::wire::gang::Gang;
use crate::wire::Epoch;
use crate::wire::Trace;

/// Identifies one run of an agent process.
pub type Incarnation = String;
/// The number of a change of an agent's ledger; each change increments it.
pub type Sequence = u64;

/// The fencing token of a planner's request. An agent refuses all requests of
/// an epoch older than the highest that it has seen, and holds and launches
/// under a configuration older than the highest that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The planner's epoch.
    pub epoch: Epoch,
    /// The revision of the configuration that the planner decided under.
    pub revision: Revision,
}

/// The reason why an agent refuses a request.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error,
)]
pub enum Refusal {
    /// The agent has seen a request of a later planner.
    #[error("epoch {asked} is before {highest}")]
    #[serde(rename = "Epoch")]
    StaleEpoch {
        /// The epoch of the refused request.
        asked: Epoch,
        /// The highest epoch seen.
        highest: Epoch,
    },
    /// The agent has seen a request under a later configuration.
    #[error("configuration {asked} is before {highest}")]
    #[serde(rename = "Revision")]
    StaleRevision {
        /// The revision of the refused request.
        asked: Revision,
        /// The highest revision seen.
        highest: Revision,
    },
    /// Some of the accelerators are held or in use, or do not exist.
    #[error("accelerators {mask:#x} are taken")]
    #[serde(rename = "Taken")]
    AcceleratorsTaken {
        /// The accelerators that are not available, one bit each.
        mask: u64,
    },
    /// The worker is leaving and accepts no new work.
    #[error("the worker is leaving")]
    Leaving,
    /// The gang is unknown here, or its hold has ended.
    #[error("the gang is not held here")]
    NotHeld,
    /// The endpoint could not be reached or did not start the task.
    #[error("the endpoint does not start the task: {reason}")]
    #[serde(rename = "Endpoint")]
    TaskNotStarted {
        /// The error of the call to the endpoint.
        reason: String,
    },
}

/// An agent's reply to a request that it may refuse.
pub type Reply = Result<(), Refusal>;

/// Asks an agent to hold its worker's accelerators for a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    /// The planner's fencing token.
    pub fence: Fence,
    /// The gang to hold for, with all of its members.
    pub gang: Gang,
    /// The worker whose accelerators are to be held.
    pub worker: crate::site::WorkerId,
    /// The parent span, if the request is traced.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// Asks a gang's lead to start the gang, once all members hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Launch {
    /// The planner's fencing token.
    pub fence: Fence,
    /// The gang to start.
    pub gang: gang::Id,
    /// The parent span, if the request is traced.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// The outcome of a launch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LaunchOutcome {
    /// Every member began its task.
    Started,
    /// No member began its task, and none will.
    NotStarted {
        /// The member that prevented the start, if known.
        worker: Option<crate::site::WorkerId>,
        /// The member's refusal; `None` if it did not answer.
        refusal: Option<Refusal>,
    },
    /// A member failed to begin after others may have begun; all members
    /// stop within the gang's lease.
    #[serde(rename = "broken")]
    PartlyStarted {
        /// The member that failed to begin.
        worker: crate::site::WorkerId,
    },
}

/// Asks an agent to stop a gang's task, or to release its hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// The planner's fencing token.
    pub fence: Fence,
    /// The gang to stop.
    pub gang: gang::Id,
}

/// Asks an agent to forget gangs that have ended and whose end is recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forget {
    /// The planner's fencing token. An earlier planner may not remove what a
    /// later one still needs.
    pub fence: Fence,
    /// The gangs to forget.
    pub gangs: Vec<gang::Id>,
}

/// A member's report to its lead. A report without an end says that the
/// member still holds or runs, and asks for the lead's decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The gang that the member belongs to.
    pub gang: gang::Id,
    /// The reporting member's position among the members.
    pub member: usize,
    /// How the member's task ended; `None` while it has not.
    pub end: Option<End>,
}

/// The stage of a gang at one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Accelerators are held for the gang.
    Held,
    /// The task was begun and may still run.
    Begun {
        /// The time since the task began, in milliseconds.
        ago_ms: u64,
    },
    /// The task has ended here, or was never begun.
    Ended(End),
}

/// A gang in an agent's ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The gang, with all of its members.
    pub gang: Gang,
    /// The gang's stage at this worker.
    pub stage: Stage,
    /// The end of the whole gang; `None` while it has not ended, and always
    /// at members other than the lead.
    pub outcome: Option<End>,
}

/// The changes of an agent's ledger since an earlier change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The agent process whose ledger this is.
    pub incarnation: Incarnation,
    /// The number of the last change included.
    pub sequence: Sequence,
    /// Whether the worker is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint has stopped answering.
    pub endpoint_lost: bool,
    /// The entries that changed.
    pub entries: Vec<Entry>,
}

/// Asks for the changes of the ledger, and waits if there are none yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// The planner's fencing token.
    pub fence: Fence,
    /// The number of the last change seen; 0 asks for all entries at once.
    pub since: Sequence,
    /// The maximum wait for a change, in milliseconds.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
}

/// The methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait Agent {
    /// Holds accelerators for a gang.
    #[method(name = "hold")]
    async fn hold(&self, hold: Hold) -> RpcResult<Reply>;

    /// Decides, as the lead, that a gang runs, and has all members begin.
    #[method(name = "launch")]
    async fn launch(
        &self,
        launch: Launch,
    ) -> RpcResult<Result<LaunchOutcome, Refusal>>;

    /// Begins this member's task, once the lead has decided that it runs.
    #[method(name = "begin")]
    async fn begin(
        &self,
        gang: gang::Id,
        trace: Option<Trace>,
    ) -> RpcResult<Reply>;

    /// Records a member's report and returns the lead's decision. If the
    /// lead has not decided yet, the report makes it decide to halt.
    #[method(name = "report")]
    async fn report(&self, report: Report) -> RpcResult<Decision>;

    /// Stops a gang's task, or releases its hold.
    #[method(name = "stop")]
    async fn stop(&self, stop: Stop) -> RpcResult<Reply>;

    /// Stops this member's task; sent by the lead to each other member.
    #[method(name = "halt")]
    async fn halt(&self, gang: gang::Id) -> RpcResult<()>;

    /// Forgets gangs that have ended.
    #[method(name = "forget")]
    async fn forget(&self, forget: Forget) -> RpcResult<Reply>;

    /// Returns the changes of the ledger, once there are any.
    #[method(name = "watch")]
    async fn watch(&self, watch: Watch)
        -> RpcResult<Result<Changes, Refusal>>;
}

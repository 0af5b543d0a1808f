//! What is said to an agent.

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

/// Names one life of an agent process.
pub type Incarnation = String;
/// Counts the changes of an agent's ledger.
pub type Sequence = u64;

/// Under whose authority a planner speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The planner's epoch.
    pub epoch: Epoch,
    /// The configuration that it decided under.
    pub revision: Revision,
}

/// Why an agent does not do what it is asked.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error,
)]
pub enum Refusal {
    /// A later planner has spoken.
    #[error("epoch {asked} is before {highest}")]
    #[serde(rename = "Epoch")]
    StaleEpoch {
        /// The epoch that asked.
        asked: Epoch,
        /// The highest seen.
        highest: Epoch,
    },
    /// A later configuration is in force.
    #[error("configuration {asked} is before {highest}")]
    #[serde(rename = "Revision")]
    StaleRevision {
        /// The revision that asked.
        asked: Revision,
        /// The highest seen.
        highest: Revision,
    },
    /// Accelerators are taken.
    #[error("accelerators {mask:#x} are taken")]
    #[serde(rename = "Taken")]
    AcceleratorsTaken {
        /// Those that are.
        mask: u64,
    },
    /// The agent is leaving.
    #[error("the worker is leaving")]
    Leaving,
    /// The gang is not known here, or no longer held.
    #[error("the gang is not held here")]
    NotHeld,
    /// The endpoint does not start the task.
    #[error("the endpoint does not start the task: {reason}")]
    #[serde(rename = "Endpoint")]
    TaskNotStarted {
        /// Why.
        reason: String,
    },
}

/// What an agent answers to a request that it may refuse.
pub type Reply = Result<(), Refusal>;

/// Asks to keep accelerators for a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    /// Under whose authority.
    pub fence: Fence,
    /// The gang.
    pub gang: Gang,
    /// The worker that is meant.
    pub worker: crate::site::WorkerId,
    /// The span that this belongs to.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// Asks the lead to decide, now that all members hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Launch {
    /// Under whose authority.
    pub fence: Fence,
    /// The gang.
    pub gang: gang::Id,
    /// The span that this belongs to.
    #[serde(default)]
    pub trace: Option<Trace>,
}

/// What came of a launch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LaunchOutcome {
    /// Every member has begun.
    Started,
    /// It was not started, and no member ever began.
    NotStarted {
        /// The member that stood in the way, if one did.
        worker: Option<crate::site::WorkerId>,
        /// The refusal, if it was one.
        refusal: Option<Refusal>,
    },
    /// A member failed to begin after others may have; all are stopped
    /// within the gang's lease.
    #[serde(rename = "broken")]
    PartlyStarted {
        /// The member that failed to.
        worker: crate::site::WorkerId,
    },
}

/// Asks to stop a gang, or to let go of a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// Under whose authority.
    pub fence: Fence,
    /// The gang.
    pub gang: gang::Id,
}

/// Lets an agent forget gangs that have ended and whose end is recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forget {
    /// Under whose authority: what an earlier planner does not need any
    /// more a later one may.
    pub fence: Fence,
    /// The gangs.
    pub gangs: Vec<gang::Id>,
}

/// A member's word to its lead: the task goes on, or has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The gang.
    pub gang: gang::Id,
    /// The position among the members.
    pub member: usize,
    /// How it ended, if it has.
    pub end: Option<End>,
}

/// Where a gang is in its life, at one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Accelerators are kept for it.
    Held,
    /// Its task was begun `ago_ms` milliseconds ago.
    Begun {
        /// How long ago.
        ago_ms: u64,
    },
    /// Its task has ended here.
    Ended(End),
}

/// A gang in an agent's ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The gang.
    pub gang: Gang,
    /// Where it is in its life here.
    pub stage: Stage,
    /// How the whole gang ended; only its lead says so.
    pub outcome: Option<End>,
}

/// What has changed in an agent's ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The life of the agent process.
    pub incarnation: Incarnation,
    /// Up to which change this goes.
    pub sequence: Sequence,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Whether the endpoint has stopped answering.
    pub endpoint_lost: bool,
    /// The entries that changed.
    pub entries: Vec<Entry>,
}

/// Asks for changes; waits for them if there are none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Under whose authority.
    pub fence: Fence,
    /// The last change seen; 0 for all entries.
    pub since: Sequence,
    /// How many milliseconds to wait at most.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
}

/// The methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait Agent {
    /// Keeps accelerators for a gang.
    #[method(name = "hold")]
    async fn hold(&self, hold: Hold) -> RpcResult<Reply>;

    /// Decides on a gang, as its lead, and has all members begin.
    #[method(name = "launch")]
    async fn launch(
        &self,
        launch: Launch,
    ) -> RpcResult<Result<LaunchOutcome, Refusal>>;

    /// Begins the task of a gang, as the lead decided.
    #[method(name = "begin")]
    async fn begin(
        &self,
        gang: gang::Id,
        trace: Option<Trace>,
    ) -> RpcResult<Reply>;

    /// Takes a member's word and returns the lead's verdict. A gang that is
    /// not decided yet is decided by this: it does not run.
    #[method(name = "report")]
    async fn report(&self, report: Report) -> RpcResult<Decision>;

    /// Stops a gang, or lets go of a hold.
    #[method(name = "stop")]
    async fn stop(&self, stop: Stop) -> RpcResult<Reply>;

    /// Stops this member's task alone, on its lead's word.
    #[method(name = "halt")]
    async fn halt(&self, gang: gang::Id) -> RpcResult<()>;

    /// Forgets gangs that have ended and whose outcome is recorded.
    #[method(name = "forget")]
    async fn forget(&self, forget: Forget) -> RpcResult<Reply>;

    /// Returns what has changed, once something has.
    #[method(name = "watch")]
    async fn watch(&self, watch: Watch)
        -> RpcResult<Result<Changes, Refusal>>;
}

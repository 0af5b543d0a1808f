//! Reports of agents about their workers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::AccountUse;
use crate::graph::Life;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::SharedStr;
use crate::graph::Speed;
use crate::graph::Task;

/// The name of an agent.
pub type AgentId = Arc<str>;
/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task was done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The running task.
    pub task: Task,
    /// The number of its run.
    pub run: Run,
    /// The task's last checkpoint.
    pub saved: String,
    /// For a long-running task the pace in force, otherwise the share of its
    /// work that is done; in percent.
    pub pace: f64,
    /// A rough measure of the present work: tail latency in ms for a
    /// long-running task that serves requests, thousandths of a core for any
    /// other.
    pub load: Option<f64>,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The number of the end, counted within the worker's life.
    pub number: u64,
    /// The task that ended.
    pub task: Task,
    /// The number of its run.
    pub run: Run,
    /// How the run ended.
    pub how: RunOutcome,
    /// The task's last checkpoint.
    pub saved: String,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The run or a later one was stopped or has ended on the worker, or is
    /// barred from starting there.
    Barred,
    /// The worker lacks the resources.
    Room,
    /// The worker is leaving.
    Leaving,
    /// The worker accepts no starts at present.
    Unhealthy,
    /// The worker rejects the order as invalid.
    Invalid,
    /// The ticket has expired.
    Ticket,
}

/// A start that has not happened, and will not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// The task that was not started.
    pub task: Task,
    /// The number of its run.
    pub run: Run,
    /// Why the task was not started.
    pub why: Refusal,
}

/// The runs that a worker lists. Both lists are read at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    /// The running tasks.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<Ended>,
}

/// A worker, as its agent knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's present life.
    pub life: Life,
    /// The pool that the worker belongs to.
    pub pool: SharedStr,
    /// The machine that the worker runs on, as the cloud's API names it.
    pub machine: Option<SharedStr>,
    /// The hall that the worker is in.
    pub hall: SharedStr,
    /// The rack that the worker is in.
    pub rack: SharedStr,
    /// The labels that steps can require.
    pub labels: Vec<SharedStr>,
    /// The worker's total resources.
    pub capacity: Resources,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Whether the worker has not answered its agent for a long time.
    #[serde(default)]
    pub silent: bool,
    /// How long a leaving worker stays at least, in ms.
    pub remaining_ms: Option<u64>,
    /// The runs that the worker lists.
    pub lists: Lists,
    /// The time on the worker's clock at which it listed them, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed_at: Option<u64>,
    /// What the last planner has learned of the worker's speed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<Speed>,
    /// The decayed use of the worker by account.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<AccountUse>,
    /// Starts that the worker refused, or that were stopped before they began.
    pub refused: Vec<Refused>,
}

/// An agent's report on a life of its worker that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastLife {
    /// The life that is over.
    pub life: Life,
    /// The runs that began there, or may have, and whose ends were never
    /// listed.
    pub begun: Vec<(Task, Run)>,
    /// Those of `begun` that the agent has started and that the worker was not
    /// seen to run for [`PROVEN_AFTER`](crate::graph::PROVEN_AFTER). A planner
    /// that did not order these runs cannot know this otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub short: Vec<(Task, Run)>,
    /// Whether more runs may have begun: the agent itself restarted and never
    /// saw the lists of that life.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unseen: bool,
    /// Whether the life is over although no later life has answered yet. If
    /// false, the end of this life follows from the lists of the later life.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub over: bool,
    /// The listed ends that no planner is known to have stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
}

/// A report of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's name.
    pub agent: AgentId,
    /// The life of the agent's process, drawn at random at each start.
    pub process: String,
    /// The number of the report, which rises within the process.
    pub sequence: u64,
    /// The number of the last report of this process whose answer brought
    /// orders, 0 before the first. `None` from agents that do not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub received: Option<u64>,
    /// A life of the worker that is over.
    #[serde(default)]
    pub gone: Option<Life>,
    /// Whether the life in `gone` was only silent until its leases ran out.
    /// The worker may be cut off from its agent, and its tasks are then not at
    /// fault.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub silent: bool,
    /// The life that was over last, if that is recent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<PastLife>,
    /// The worker, if there is one and its lists are known.
    pub worker: Option<Worker>,
}

//! What an agent says of its worker.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::Life;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::SharedStr;
use crate::graph::Task;

/// The name of an agent.
pub type AgentId = Arc<str>;
/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It ran to its end.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// Its last checkpoint.
    pub saved: String,
    /// At which share of its speed it may work, 0 to 100.
    pub pace: f64,
    /// What it does at present, roughly: a lasting task that serves, the
    /// tail of its answers in ms; another, thousandths of a core.
    pub load: Option<f64>,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Counts the ends of the worker's life.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// How it ended.
    pub how: RunOutcome,
    /// Its last checkpoint.
    pub saved: String,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The run, or a later one, was stopped or has ended there, or never
    /// will start there.
    Barred,
    /// There is no room.
    Room,
    /// The worker is leaving.
    Leaving,
    /// The worker takes nothing at present.
    Unhealthy,
    /// The worker calls the order wrong.
    Invalid,
    /// The leave to run there has run out.
    Ticket,
}

/// A start that has not happened, and will not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// Why.
    pub why: Refusal,
}

/// What a worker lists; both lists were read at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and is not yet acknowledged.
    pub ended: Vec<Ended>,
}

/// A worker as its agent knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its life.
    pub life: Life,
    /// The pool it belongs to.
    pub pool: SharedStr,
    /// The machine it runs on, for the cloud's calls.
    pub machine: Option<SharedStr>,
    /// Its hall.
    pub hall: SharedStr,
    /// Its rack.
    pub rack: SharedStr,
    /// Its labels.
    pub labels: Vec<SharedStr>,
    /// Its whole room.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it has not answered its agent for long.
    #[serde(default)]
    pub silent: bool,
    /// How long at least it stays, while it is leaving, in ms.
    pub remaining_ms: Option<u64>,
    /// What it lists.
    pub lists: Lists,
    /// Starts that it has refused, or that were stopped before they were.
    pub refused: Vec<Refused>,
}

/// What an agent knows of a life of its worker that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastLife {
    /// The life.
    pub life: Life,
    /// The runs that had begun there, or may have, and whose end it never
    /// listed.
    pub begun: Vec<(Task, Run)>,
    /// Whether more may have begun: the agent, started anew, has never seen
    /// what that life listed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unseen: bool,
    /// Whether it is over though no later life has answered yet: else that
    /// one's lists tell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub over: bool,
    /// The ends that it listed and that no planner is known to have kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
}

/// What an agent says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: AgentId,
    /// The life of its process, drawn anew at each start.
    pub process: String,
    /// Rises with each report of this process.
    pub sequence: u64,
    /// A life of its worker that is over.
    #[serde(default)]
    pub gone: Option<Life>,
    /// Whether that one only said nothing until its leases had run out: it
    /// may be there, cut off, with no task that was at fault.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub silent: bool,
    /// The life that was over last, if that is not long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<PastLife>,
    /// Its worker, if there is one and its lists are known.
    pub worker: Option<Worker>,
}

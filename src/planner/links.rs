//! The links to the agents: each watches one agent for changes and reports
//! when it stops answering.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::planner::actor::Message;
use crate::site::WorkerId;
use crate::wire::agent::AgentClient;
use crate::wire::agent::Changes;
use crate::wire::agent::Fence;
use crate::wire::agent::Refusal;
use crate::wire::agent::Watch;
use crate::wire::link;

/// The shortest time that an agent waits for a change before it answers
/// without one.
const MIN_HEARTBEAT: Duration = Duration::from_secs(2);
/// The longest time that an agent waits for a change.
const MAX_HEARTBEAT: Duration = Duration::from_secs(9);
/// The part of an agent's wait for a change that each worker of the cell adds.
const HEARTBEAT_PER_WORKER: Duration = Duration::from_millis(30);
/// The longest wait between two attempts to connect.
const MAX_RECONNECT_WAIT: Duration = Duration::from_millis(400);

/// Returns how long agents wait for a change in a cell of `workers` workers,
/// chosen so that the planner's traffic grows more slowly than the cell.
pub fn heartbeat_interval(workers: usize) -> Duration {
    let wanted = HEARTBEAT_PER_WORKER * workers as u32;
    wanted.clamp(MIN_HEARTBEAT, MAX_HEARTBEAT)
}

/// The planner's part of a watch request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heartbeat {
    /// The planner's epoch and configuration revision.
    pub fence: Fence,
    /// How long the agent waits for a change before it answers.
    pub interval: Duration,
}

/// An update from the link to an agent.
pub enum Update {
    /// The agent answered.
    Changes {
        /// The agent's answer.
        changes: Changes,
        /// Whether the answer holds all of the agent's entries.
        whole: bool,
    },
    /// The agent does not answer.
    Unreachable,
    /// The agent has seen a later planner.
    Fenced,
}

/// A link to one agent, closed when dropped.
pub struct Link {
    /// The address of the agent.
    pub address: String,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts to watch an agent.
    pub fn start(
        worker: WorkerId,
        address: String,
        heartbeat: watch::Receiver<Heartbeat>,
        planner: ActorRef<Message>,
    ) -> Link {
        let watcher = Watcher {
            worker,
            address: address.clone(),
            heartbeat,
            planner,
        };
        Link {
            address,
            task: tokio::spawn(watcher.run()),
        }
    }
}

struct Watcher {
    worker: WorkerId,
    address: String,
    heartbeat: watch::Receiver<Heartbeat>,
    planner: ActorRef<Message>,
}

impl Watcher {
    async fn run(self) {
        loop {
            if let Ok(client) = link::connect(&self.address).await {
                self.watch_agent(&client).await;
            }
            if self.send(Update::Unreachable).is_err() {
                return;
            }
            let longest = MAX_RECONNECT_WAIT.as_millis() as u64;
            let wait = fastrand::u64(longest / 4..=longest);
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    async fn watch_agent(&self, client: &Arc<WsClient>) {
        let mut since = 0;
        loop {
            let heartbeat = *self.heartbeat.borrow();
            let watch = Watch {
                fence: heartbeat.fence,
                since,
                timeout_ms: heartbeat.interval.as_millis() as u64,
            };
            let timeout = heartbeat.interval + link::CALL_TIMEOUT;
            let call = client.watch(watch);
            let answer =
                link::with_timeout(&self.address, timeout, call).await;
            let update = match answer {
                Ok(Ok(changes)) => {
                    let whole = since == 0;
                    since = changes.sequence;
                    Update::Changes { changes, whole }
                }
                Ok(Err(Refusal::StaleEpoch { .. })) => Update::Fenced,
                Ok(Err(_)) | Err(_) => return,
            };
            if self.send(update).is_err() {
                return;
            }
        }
    }

    fn send(&self, update: Update) -> Result<(), ()> {
        let worker = self.worker.clone();
        self.planner
            .cast(Message::Agent(worker, update))
            .map_err(|_| ())
    }
}

//! One link to each agent: listens for changes, and notices silence.

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
/// all the same.
const HEARTBEAT_LEAST: Duration = Duration::from_secs(2);
/// The longest such time.
const HEARTBEAT_MOST: Duration = Duration::from_secs(9);
/// How much longer it waits for each agent of the cell.
const HEARTBEAT_EACH: Duration = Duration::from_millis(30);
/// The longest wait between two tries to connect.
const RECONNECT: Duration = Duration::from_millis(400);

/// Returns how long agents wait in a cell of so many workers, so that the
/// planner's traffic grows more slowly than the cell.
pub fn heartbeat(workers: usize) -> Duration {
    let wanted = HEARTBEAT_EACH * workers as u32;
    wanted.clamp(HEARTBEAT_LEAST, HEARTBEAT_MOST)
}

/// What a planner says with each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beat {
    /// Under whose authority.
    pub fence: Fence,
    /// How long the agent waits for a change.
    pub heartbeat: Duration,
}

/// What a link has learned.
pub enum News {
    /// The agent answered; `whole` if these are all its entries.
    Changes {
        /// What it answered.
        changes: Changes,
        /// Whether these are all its entries.
        whole: bool,
    },
    /// The agent does not answer.
    Down,
    /// A later planner has spoken.
    Fenced,
}

/// A link to one agent; it ends when dropped.
pub struct Link {
    /// Where the agent listens.
    pub address: String,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts to listen to an agent.
    pub fn start(
        worker: WorkerId,
        address: String,
        beat: watch::Receiver<Beat>,
        planner: ActorRef<Message>,
    ) -> Link {
        let listener = Listener {
            worker,
            address: address.clone(),
            beat,
            planner,
        };
        Link {
            address,
            task: tokio::spawn(listener.run()),
        }
    }
}

struct Listener {
    worker: WorkerId,
    address: String,
    beat: watch::Receiver<Beat>,
    planner: ActorRef<Message>,
}

impl Listener {
    async fn run(self) {
        loop {
            if let Ok(client) = link::connect(&self.address).await {
                self.listen(&client).await;
            }
            if self.tell(News::Down).is_err() {
                return;
            }
            let most = RECONNECT.as_millis() as u64;
            let wait = fastrand::u64(most / 4..=most);
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    async fn listen(&self, client: &Arc<WsClient>) {
        let mut since = 0;
        loop {
            let beat = *self.beat.borrow();
            let watch = Watch {
                fence: beat.fence,
                since,
                timeout_ms: beat.heartbeat.as_millis() as u64,
            };
            let limit = beat.heartbeat + link::CALL_TIMEOUT;
            let call = client.watch(watch);
            let answer = link::with_timeout(&self.address, limit, call).await;
            let news = match answer {
                Ok(Ok(changes)) => {
                    let whole = since == 0;
                    since = changes.sequence;
                    News::Changes { changes, whole }
                }
                Ok(Err(Refusal::StaleEpoch { .. })) => News::Fenced,
                Ok(Err(_)) | Err(_) => return,
            };
            if self.tell(news).is_err() {
                return;
            }
        }
    }

    fn tell(&self, news: News) -> Result<(), ()> {
        let worker = self.worker.clone();
        self.planner
            .cast(Message::Link(worker, news))
            .map_err(|_| ())
    }
}

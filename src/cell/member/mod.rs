//! The agent beside a worker: it alone calls the worker, and does what the
//! planner that holds the claim orders.
//!
//! The planner's orders are complete each time: what is listed is to be
//! done, once, however often it is listed. Reports are complete as well, so
//! that neither side depends on a message that was lost.

mod act;
mod keep;
mod known;
mod link;
mod look;
mod state;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::dial::Dial;
use crate::cell::member::state::State;
use crate::cell::worker::Worker;
use crate::cell::worker::WorkerTime;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Resources;
use crate::graph::SharedStr;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long after a worker has said that it is leaving it is surely gone.
const LEAVES: Duration = Duration::from_millis(800);

/// What a member is told of its terms.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub agent: AgentId,
    /// How long the worker's tasks go on after the planner last granted
    /// that; the planner counts on it.
    pub survival: Duration,
    /// The longest lease that the worker takes.
    pub lease: Duration,
    /// How planners are reached.
    pub dial: Arc<dyn Dial>,
    /// Where logs go.
    pub log: slog::Logger,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Its life.
    pub life: Life,
    /// Rises with each heartbeat of this life.
    pub sequence: u64,
    /// The pool it belongs to.
    pub pool: SharedStr,
    /// The machine it runs on, if it says.
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
    /// How long at least it stays, while it is leaving.
    pub remaining: Option<Duration>,
    /// Its time.
    pub time: Option<WorkerTime>,
}

struct Shared<W, S> {
    config: Config,
    worker: W,
    store: S,
    state: Mutex<State>,
    /// There is news for the planner.
    news: Notify,
    /// The worker is to be looked at now.
    look: Notify,
}

/// An agent.
pub struct Member<W, S>(Arc<Shared<W, S>>);

impl<W, S> Clone for Member<W, S> {
    fn clone(&self) -> Member<W, S> {
        Member(self.0.clone())
    }
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Returns an agent that knows of no worker yet.
    pub fn new(config: Config, worker: W, store: S) -> Member<W, S> {
        Member(Arc::new(Shared {
            config,
            worker,
            store,
            state: Mutex::new(State::new()),
            news: Notify::new(),
            look: Notify::new(),
        }))
    }

    /// Looks after the worker and speaks with the planner, for ever.
    pub async fn run(&self) {
        tokio::join!(
            self.watch_worker(),
            self.follow_planner(),
            self.keep_ends()
        );
    }

    /// Takes in what the worker says of itself.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        let now = Instant::now();
        let life = heartbeat.life.clone();
        let leaving = heartbeat.leaving;
        let lease = self.0.config.lease;
        match self.lock().heartbeat(heartbeat, lease, now) {
            state::News::Life => {
                slog::info!(self.0.config.log, "agent: a worker is here";
                    "life" => &*life);
                self.0.look.notify_one();
                self.0.news.notify_one();
                let member = self.clone();
                tokio::spawn(async move { member.bar_late(&life).await });
            }
            state::News::Terms => {
                slog::info!(self.0.config.log, "agent: the worker has changed";
                    "life" => &*life, "leaving" => leaving);
                self.0.news.notify_one();
            }
            state::News::Strange => {
                metrics::get().strange.add(1, &[label("what", "life")]);
                slog::warn!(self.0.config.log,
                    "agent: another life answers here"; "life" => &*life);
                // Whether it still does is asked at once.
                self.0.look.notify_one();
            }
            state::News::None => {}
        }
    }

    /// Takes in that a worker of that name ends.
    pub fn left(&self, name: &str) {
        self.life_left(&Life::from(name), true);
    }

    fn life_left(&self, life: &Life, said: bool) {
        slog::info!(self.0.config.log, "agent: the worker has left";
            "life" => &**life);
        let now = Instant::now();
        if self.lock().left(life, said, now + LEAVES) {
            let member = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(now + LEAVES).await;
                member.0.news.notify_one();
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

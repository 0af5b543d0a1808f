//! The agent beside a worker: it alone calls the worker, and does what the
//! planner that holds the claim orders.
//!
//! The planner's orders are complete each time: what is listed is to be
//! done, once, however often it is listed. Reports are complete as well, so
//! that neither side depends on a message that was lost.

mod act;
mod link;
mod poll;
mod save;
mod state;
mod view;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::connector::Connector;
use crate::cell::member::state::State;
use crate::cell::worker::Worker;
use crate::cell::worker::WorkerTime;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Resources;
use crate::graph::Text;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long after a worker has said that it is leaving it is surely gone.
const LEAVE_PERIOD: Duration = Duration::from_millis(800);

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
    pub connector: Arc<dyn Connector>,
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
    pub pool: Text,
    /// The machine it runs on, if it says.
    pub machine: Option<Text>,
    /// Its hall.
    pub hall: Text,
    /// Its rack.
    pub rack: Text,
    /// Its labels.
    pub labels: Vec<Text>,
    /// Its whole room.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How long at least it stays, while it is leaving.
    pub remaining: Option<Duration>,
    /// Its time.
    pub time: Option<WorkerTime>,
}

struct Inner<W, S> {
    config: Config,
    worker: W,
    store: S,
    state: Mutex<State>,
    /// There is news for the planner.
    report_now: Notify,
    /// The worker is to be looked at now.
    poll_now: Notify,
}

/// An agent.
pub struct Member<W, S>(Arc<Inner<W, S>>);

impl<W, S> Clone for Member<W, S> {
    fn clone(&self) -> Member<W, S> {
        Member(self.0.clone())
    }
}

impl<W: Worker, S: Store> Member<W, S> {
    /// Returns an agent that knows of no worker yet.
    pub fn new(config: Config, worker: W, store: S) -> Member<W, S> {
        Member(Arc::new(Inner {
            config,
            worker,
            store,
            state: Mutex::new(State::new()),
            report_now: Notify::new(),
            poll_now: Notify::new(),
        }))
    }

    /// Looks after the worker and speaks with the planner, for ever.
    pub async fn run(&self) {
        tokio::join!(
            self.poll_worker(),
            self.follow_planner(),
            self.save_ends()
        );
    }

    /// Takes in what the worker says of itself.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        let now = Instant::now();
        let life = heartbeat.life.clone();
        let leaving = heartbeat.leaving;
        let lease = self.0.config.lease;
        match self.lock().heartbeat(heartbeat, lease, now) {
            state::Update::Life => {
                slog::info!(self.0.config.log, "agent: a worker is here";
                    "life" => &*life);
                self.0.poll_now.notify_one();
                self.0.report_now.notify_one();
                let member = self.clone();
                tokio::spawn(async move { member.bar_late_runs(&life).await });
            }
            state::Update::Changed => {
                slog::info!(self.0.config.log, "agent: the worker has changed";
                    "life" => &*life, "leaving" => leaving);
                self.0.report_now.notify_one();
            }
            state::Update::Conflict => {
                metrics::get().strange.add(1, &[label("what", "life")]);
                slog::warn!(self.0.config.log,
                    "agent: another life answers here"; "life" => &*life);
                // Whether it still does is asked at once.
                self.0.poll_now.notify_one();
            }
            state::Update::None => {}
        }
    }

    /// Takes in that a worker of that name ends.
    pub fn worker_left(&self, name: &str) {
        self.life_ended(&Life::from(name), true);
    }

    fn life_ended(&self, life: &Life, said: bool) {
        slog::info!(self.0.config.log, "agent: the worker has left";
            "life" => &**life);
        let now = Instant::now();
        if self.lock().mark_leaving(life, said, now + LEAVE_PERIOD) {
            let member = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(now + LEAVE_PERIOD).await;
                member.0.report_now.notify_one();
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

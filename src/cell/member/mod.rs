//! The agent beside a worker. Only the agent calls the worker, and it carries
//! out the orders of the planner that holds the claim.
//!
//! Orders and reports are always complete. An order is carried out once,
//! however often it is listed, and neither side depends on a message that was
//! lost.

mod act;
mod goodbye;
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
use crate::graph::SharedStr;
use crate::log::excerpt;
use crate::log::Throttle;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The agent's name.
    pub agent: AgentId,
    /// How long the worker's tasks continue after the planner's last grant.
    /// The planner relies on this value.
    pub survival: Duration,
    /// The longest lease that the worker accepts.
    pub lease: Duration,
    /// Opens connections to planners.
    pub connector: Arc<dyn Connector>,
    /// The log.
    pub log: slog::Logger,
}

/// A worker's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The worker's life.
    pub life: Life,
    /// Increases with each heartbeat of this life.
    pub sequence: u64,
    /// The pool that the worker belongs to.
    pub pool: SharedStr,
    /// The machine that the worker runs on, if reported.
    pub machine: Option<SharedStr>,
    /// The worker's hall.
    pub hall: SharedStr,
    /// The worker's rack.
    pub rack: SharedStr,
    /// The worker's labels.
    pub labels: Vec<SharedStr>,
    /// The worker's total resources.
    pub capacity: Resources,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// How long a leaving worker stays at least.
    pub remaining: Option<Duration>,
    /// The worker's time.
    pub time: Option<WorkerTime>,
}

impl Heartbeat {
    /// Returns the time until which a leaving worker stays at least. One that
    /// no clock can show says nothing.
    fn stays_until(&self, now: Instant) -> Option<Instant> {
        now.checked_add(self.remaining?)
    }
}

struct Inner<W, S> {
    config: Config,
    worker: W,
    store: S,
    state: Mutex<State>,
    /// Notified when there is something new to report.
    report_now: Notify,
    /// Notified when the worker must be polled at once.
    poll_now: Notify,
    /// Limits the log lines about claims that cannot be read.
    odd_claims: Throttle,
}

/// An agent. Clones share their state.
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
            odd_claims: Throttle::default(),
        }))
    }

    /// Polls the worker, reports to the planner and saves ends. Never returns.
    pub async fn run(&self) {
        tokio::join!(
            self.poll_worker(),
            self.follow_planner(),
            self.save_ends()
        );
    }

    /// Applies a worker's heartbeat.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        let now = Instant::now();
        let life = heartbeat.life.clone();
        let leaving = heartbeat.leaving;
        let sequence = heartbeat.sequence;
        let lease = self.0.config.lease;
        match self.lock().apply_heartbeat(heartbeat, lease, now) {
            state::Update::NewLife => {
                slog::info!(self.0.config.log,
                    "agent: a new worker life has appeared";
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
                    "agent: a heartbeat names another life"; "life" => &*life);
                // A poll shows whether the known life still answers.
                self.0.poll_now.notify_one();
            }
            state::Update::OutOfOrder => {
                metrics::get().strange.add(1, &[label("what", "order")]);
                slog::warn!(self.0.config.log,
                    "agent: a heartbeat does not follow the last one";
                    "life" => &*life, "sequence" => sequence);
            }
            state::Update::None => {}
        }
    }

    /// Records that the worker with this name is about to end. A poll shows
    /// whether the known life is the one that ends.
    pub fn worker_left(&self, name: &str) {
        let new = self.lock().mark_goodbye(&Life::from(name));
        slog::info!(self.0.config.log, "agent: the worker said goodbye";
            "life" => excerpt(name), "new" => new);
        if new {
            self.0.poll_now.notify_one();
        }
    }

    /// Records that another life answered a call for this one.
    fn life_replaced(&self, life: &Life) {
        if self.lock().mark_replaced(life) {
            slog::info!(self.0.config.log,
                "agent: another life of the worker answers";
                "life" => &**life);
            self.0.report_now.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

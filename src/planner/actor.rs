//! The actor that owns a cell's jobs and its decision core.

mod admission;
mod adoption;
mod agents;
mod commands;
mod platform;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::watch;

use crate::account;
use crate::config::Document;
use crate::job;
use crate::plan::event::Event;
use crate::plan::state::Presence;
use crate::plan::Plan;
use crate::planner::jobs::Jobs;
use crate::planner::jobs::Reply;
use crate::planner::launch;
use crate::planner::links;
use crate::planner::links::Heartbeat;
use crate::planner::links::Link;
use crate::planner::links::Update;
use crate::planner::takeover;
use crate::planner::takeover::Records;
use crate::planner::view;
use crate::planner::writer::Completion;
use crate::planner::writer::Writer;
use crate::planner::Config;
use crate::record::Record;
use crate::site::Site;
use crate::site::WorkerId;
use crate::vms::Vm;
use crate::wire::agent;
use crate::wire::agent::Fence;
use crate::wire::entry::Admit;
use crate::wire::entry::CellView;
use crate::wire::entry::Query;
use crate::wire::entry::Status;
use crate::wire::gang;
use crate::wire::link;

/// The interval between checks of deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a takeover waits for agents that do not answer.
const TAKEOVER_WAIT: Duration = Duration::from_millis(1500);
/// How long an agent may be unreachable before its worker gets no new work.
const SILENT_AFTER: Duration = Duration::from_millis(2000);
/// How long an agent may be unreachable before its worker's jobs are started
/// elsewhere, while the platform still lists the worker.
const LOST_AFTER: Duration = Duration::from_secs(30);
/// How long a caller waits for a job to be accepted while the store does not
/// answer.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A message to the planner: a request of an entry, or a result of the
/// planner's own tasks.
pub enum Message {
    /// An entry submits a job.
    Admit(Box<Admit>, Reply),
    /// An entry asks for a job's status.
    Status(Query, Reply),
    /// An entry cancels a job.
    Cancel(job::Id, Reply),
    /// An entry asks for the jobs of an account, or for all.
    List(Option<account::Id>, RpcReplyPort<Vec<Status>>),
    /// An entry asks for the state of the whole cell.
    Cell(RpcReplyPort<CellView>),
    /// The link to a worker's agent reports an update.
    Agent(WorkerId, Update),
    /// The launch of a gang has finished.
    Launched(gang::Id, launch::Outcome),
    /// Records have been written.
    RecordsWritten(Vec<Completion>),
    /// The record that a write should create exists already.
    RecordExists(Box<Record>),
    /// The store did not answer a write.
    StoreFailed,
    /// The cell's claim is held by another planner or by none.
    ClaimLost,
    /// The records of the cell have been read.
    Records(Records),
    /// The platform's list of VMs has been read.
    Vms(Vec<Vm>),
    /// The configuration has changed.
    Configuration(Arc<Document>),
    /// The interval between checks of deadlines has passed.
    Tick,
}

/// A worker as the planner tracks it.
pub(super) struct Worker {
    link: Link,
    /// Whether the agent has ever answered.
    answered: bool,
    /// The incarnation of the agent at its last answer; empty before the
    /// first.
    incarnation: agent::Incarnation,
    /// Since when the agent has not answered.
    unreachable_since: Option<Instant>,
    /// Whether the agent reports that its worker is leaving.
    leaving: bool,
    /// Whether the agent reports that its endpoint has stopped answering.
    endpoint_lost: bool,
    /// Whether the platform's last list holds the worker.
    listed: bool,
    /// Whether the platform's last list marks the worker as leaving.
    listed_leaving: bool,
    /// The presence last passed to the decision core.
    reported: Presence,
    /// The entries of the agent's ledger.
    entries: BTreeMap<gang::Id, agent::Entry>,
}

impl Worker {
    fn presence(&self, now: Instant) -> Presence {
        let down = self
            .unreachable_since
            .map(|since| now.duration_since(since));
        match down {
            _ if self.endpoint_lost => Presence::Lost,
            None if self.leaving || self.listed_leaving => Presence::Leaving,
            None => Presence::Up,
            Some(down) if down >= LOST_AFTER => Presence::Lost,
            Some(down) if down >= SILENT_AFTER && !self.listed => {
                Presence::Lost
            }
            Some(down) if down >= SILENT_AFTER => match self.reported {
                Presence::Lost => Presence::Lost,
                _ => Presence::Silent,
            },
            Some(_) => self.reported,
        }
    }

    /// Returns whether a gang can no longer run on the worker, and whether
    /// that is proven.
    fn gang_is_over(&self, gang: &gang::Id) -> (bool, bool) {
        let up = self.answered && self.unreachable_since.is_none();
        let ended = match self.entries.get(gang) {
            Some(entry) => {
                matches!(entry.stage, agent::Stage::Ended(_))
            }
            None => true,
        };
        match up {
            true => (ended, true),
            false => (self.reported == Presence::Lost, !self.listed),
        }
    }
}

/// Whether the planner has taken over yet.
enum Phase {
    /// The planner reads records and ledgers, until the deadline at the
    /// latest.
    Reading {
        deadline: Instant,
        records: Option<Records>,
    },
    /// The planner makes decisions.
    Deciding,
}

/// The state of a planner.
pub struct State {
    config: Config,
    plan: Plan,
    jobs: Jobs,
    phase: Phase,
    workers: BTreeMap<WorkerId, Worker>,
    /// Records whose gang may have been started, as a member's ledger is
    /// unread.
    unresolved: BTreeMap<job::Id, Record>,
    heartbeat: watch::Sender<Heartbeat>,
    writer: Writer,
    pool: link::Pool,
    document: Arc<Document>,
    /// When the planner started, on both clocks.
    started: (Instant, SystemTime),
}

/// The actor that owns a cell's jobs and its decision core.
pub struct Planner;

impl Actor for Planner {
    type Msg = Message;
    type State = State;
    type Arguments = Config;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        config: Config,
    ) -> Result<State, ActorProcessingErr> {
        let site = Site::new(config.accelerators)?;
        let fence = Fence {
            epoch: config.epoch,
            revision: config.document.revision,
        };
        let heartbeat = Heartbeat {
            fence,
            interval: links::heartbeat_interval(0),
        };
        let writer = Writer::start(
            config.store.clone(),
            config.claim.clone(),
            config.epoch,
            myself.clone(),
            config.log.clone(),
        );
        let store = config.store.clone();
        let log = config.log.clone();
        let planner = myself.clone();
        tokio::spawn(async move {
            let records = takeover::read(&store, 0, &log).await;
            let _ = planner.cast(Message::Records(records));
        });
        myself.send_interval(TICK_INTERVAL, || Message::Tick);
        let mut state = State {
            plan: Plan::new(site, config.policy.clone()),
            jobs: Jobs::default(),
            phase: Phase::Reading {
                deadline: Instant::now() + TAKEOVER_WAIT,
                records: None,
            },
            workers: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            heartbeat: watch::channel(heartbeat).0,
            writer,
            pool: link::Pool::new(),
            document: Arc::new(Document::default()),
            started: (Instant::now(), SystemTime::now()),
            config,
        };
        let vms = state.config.vms.clone();
        state.update_vms(&myself, vms);
        let document = state.config.document.clone();
        state.configure(&myself, document);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.dispatch(&myself, message);
        Ok(())
    }
}

impl State {
    fn now(&self) -> SystemTime {
        // Derived from the monotonic clock: the wall clock may be set, and
        // ages and deadlines must not jump.
        self.started.1 + self.started.0.elapsed()
    }

    fn dispatch(&mut self, myself: &ActorRef<Message>, message: Message) {
        match message {
            Message::Admit(admit, reply) => self.admit(myself, *admit, reply),
            Message::Status(query, reply) => self.status(query, reply),
            Message::Cancel(job, reply) => self.cancel(myself, job, reply),
            Message::List(account, reply) => {
                let _ = reply.send(self.list(account.as_ref()));
            }
            Message::Cell(reply) => {
                let epoch = self.config.epoch;
                let view = view::cell(
                    &self.plan,
                    &self.config,
                    epoch,
                    self.document.revision,
                );
                let _ = reply.send(view);
            }
            Message::Agent(worker, update) => {
                self.agent_update(myself, worker, update)
            }
            Message::Launched(gang, outcome) => {
                self.launch_finished(myself, gang, outcome);
            }
            Message::RecordsWritten(completions) => {
                self.records_written(myself, completions)
            }
            Message::RecordExists(record) => self.record_exists(*record),
            Message::StoreFailed => {
                slog::warn!(
                    self.config.log,
                    "planner: the store did not answer a write"
                );
            }
            Message::ClaimLost => self.step_down(myself),
            Message::Records(read) => {
                if let Phase::Reading { records, .. } = &mut self.phase {
                    *records = Some(read);
                }
                self.try_take_over(myself);
            }
            Message::Vms(vms) => self.update_vms(myself, vms),
            Message::Configuration(document) => {
                self.configure(myself, document);
            }
            Message::Tick => self.tick(myself),
        }
    }

    fn step_down(&mut self, myself: &ActorRef<Message>) {
        slog::warn!(self.config.log, "planner: steps down";
            "cell" => &self.config.cell, "epoch" => self.config.epoch);
        myself.stop(None);
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let now = Instant::now();
        self.try_take_over(myself);
        let changed = self.presence_events(now);
        let stopped = self.leaderless_events();
        self.resolve_pending(myself);
        let has_waiting = !self.plan.state().waiting.is_empty();
        if has_waiting || !changed.is_empty() || !stopped.is_empty() {
            let events = changed.into_iter().chain(stopped);
            let events = events.chain([Event::Tick]).collect();
            self.step(myself, events);
        }
        self.jobs.expire(&self.plan, now);
        view::record_metrics(&self.plan, self.document.revision);
    }
}

//! The actor that owns the ledger and executes its effects.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use opentelemetry::KeyValue;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::watch;

use crate::agent::ledger::Effect;
use crate::agent::ledger::Ledger;
use crate::agent::slot::Phase;
use crate::agent::task;
use crate::endpoint;
use crate::endpoint::Task;
use crate::endpoint::TaskId;
use crate::log::excerpt;
use crate::telemetry::metrics;
use crate::telemetry::Span;
use crate::wire::agent::AgentClient;
use crate::wire::agent::Entry;
use crate::wire::agent::Fence;
use crate::wire::agent::Forget;
use crate::wire::agent::Hold;
use crate::wire::agent::Launch;
use crate::wire::agent::Refusal;
use crate::wire::agent::Reply;
use crate::wire::agent::Report;
use crate::wire::agent::Sequence;
use crate::wire::agent::Stop;
use crate::wire::gang;
use crate::wire::gang::Decision;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::link;

/// The interval at which the ledger checks its deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which the endpoint is polled for the state of tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The interval of polls while a task is young, so that the end of a short
/// task is noticed soon.
const YOUNG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The delay before the endpoint is asked again for its tasks.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The age below which a task is young.
const YOUNG_AGE: Duration = Duration::from_secs(1);

/// The changes of the ledger and the state of the worker.
#[derive(Clone, Debug)]
pub struct LedgerView {
    /// The number of the last change.
    pub sequence: Sequence,
    /// Whether the worker is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint has stopped answering.
    pub endpoint_lost: bool,
    /// The entries that changed.
    pub entries: Vec<Entry>,
}

/// A message to the ledger's actor.
pub enum Message {
    /// A planner asks to hold accelerators.
    Hold(Box<Hold>, RpcReplyPort<Reply>),
    /// A planner asks this lead to decide that a gang runs.
    Launch(Launch, RpcReplyPort<Result<Gang, Refusal>>),
    /// The lead asks to begin. The reply holds the gang if its task still has
    /// to be started at the endpoint.
    Begin(gang::Id, RpcReplyPort<Result<Option<Box<Gang>>, Refusal>>),
    /// A task that is being started has this span.
    TaskSpan(gang::Id, Span),
    /// The endpoint has started a task.
    TaskBegun(gang::Id),
    /// A task has ended.
    TaskEnded(gang::Id, End),
    /// A member reports to this lead.
    Report(Report, RpcReplyPort<Decision>),
    /// The lead of a gang has answered a report with its decision.
    LeadDecided(gang::Id, Decision),
    /// A planner stops a gang.
    Stop(Stop, RpcReplyPort<Reply>),
    /// A gang has to halt: its lead asked, or a start failed.
    Halt(gang::Id),
    /// A planner allows gangs to be forgotten.
    Forget(Forget, RpcReplyPort<Reply>),
    /// Asks for the end of a whole gang that this worker leads.
    Outcome(gang::Id, RpcReplyPort<Option<End>>),
    /// A planner asks for changes.
    Changes(Fence, Sequence, RpcReplyPort<Result<LedgerView, Refusal>>),
    /// A poll of these tasks is over; `None` if the endpoint did not answer.
    TasksPolled(Vec<TaskId>, Option<Vec<Task>>),
    /// The worker leaves: the ledger accepts no new work.
    Leave,
    /// Asks whether nothing is held or runs.
    IsIdle(RpcReplyPort<bool>),
    /// The ledger checks its deadlines.
    Tick,
    /// The endpoint is polled.
    Poll,
}

/// The arguments of the actor's start.
pub struct Arguments {
    /// An empty ledger.
    pub ledger: Ledger,
    /// The endpoint.
    pub endpoint: endpoint::Client,
    /// The channel on which the number of the last change is published.
    pub sequence_sender: watch::Sender<Sequence>,
    /// The logger.
    pub log: slog::Logger,
}

/// The actor that owns the ledger.
pub struct LedgerActor;

/// The ledger and the connections that its effects use.
pub struct State {
    ledger: Ledger,
    endpoint: endpoint::Client,
    pool: link::Pool,
    sequence_sender: watch::Sender<Sequence>,
    last_endpoint_answer: Instant,
    endpoint_lost: bool,
    polling: bool,
    spans: BTreeMap<gang::Id, Span>,
    log: slog::Logger,
}

impl Actor for LedgerActor {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let mut state = State {
            ledger: arguments.ledger,
            endpoint: arguments.endpoint,
            pool: link::Pool::new(),
            sequence_sender: arguments.sequence_sender,
            last_endpoint_answer: Instant::now(),
            endpoint_lost: false,
            polling: false,
            spans: BTreeMap::new(),
            log: arguments.log,
        };
        state.adopt_tasks().await;
        myself.send_interval(TICK_INTERVAL, || Message::Tick);
        myself.send_after(POLL_INTERVAL, || Message::Poll);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        let effects = state.handle(&myself, message, now);
        for effect in effects {
            state.execute(&myself, effect);
        }
        state.end_spans();
        let sequence = state.ledger.sequence();
        state.sequence_sender.send_if_modified(|sent| {
            let changed = *sent != sequence;
            *sent = sequence;
            changed
        });
        Ok(())
    }
}

impl State {
    /// Ends the spans of tasks that have ended.
    fn end_spans(&mut self) {
        let ledger = &self.ledger;
        self.spans.retain(|id, _| {
            ledger
                .slot(id)
                .is_some_and(|slot| !matches!(slot.phase, Phase::Ended(_)))
        });
    }

    /// Lists the endpoint's tasks, and retries until it answers. An agent that
    /// began without them would take running tasks for tasks that have ended.
    async fn list_tasks(&self) -> Vec<Task> {
        loop {
            match self.endpoint.list().await {
                Ok(tasks) => return tasks,
                Err(error) => {
                    slog::warn!(self.log,
                        "agent: the endpoint's tasks could not be listed";
                        "error" => %error);
                }
            }
            tokio::time::sleep(LIST_RETRY_DELAY).await;
        }
    }

    /// Adopts the tasks found at the endpoint: their notes hold their gangs.
    async fn adopt_tasks(&mut self) {
        let tasks = self.list_tasks().await;
        let now = Instant::now();
        for task in tasks {
            let gang = match serde_json::from_str::<Gang>(&task.note) {
                Ok(gang) => gang,
                Err(error) => {
                    slog::error!(self.log,
                        "agent: a task's note cannot be decoded";
                        "task" => &*task.task, "error" => excerpt(error));
                    continue;
                }
            };
            let id = gang.id.clone();
            slog::info!(self.log, "agent: adopting task {}", task.task);
            self.ledger.adopt(gang, now);
            if let Some(end) = task::end_of(&task, self.ledger.worker()) {
                self.ledger.record_task_end(&id, end, now);
            }
        }
    }

    fn handle(
        &mut self,
        myself: &ActorRef<Message>,
        message: Message,
        now: Instant,
    ) -> Vec<Effect> {
        match message {
            Message::Hold(hold, reply) => {
                let answer = self.ledger.hold(*hold, now);
                let _ = reply.send(answer);
            }
            Message::Launch(launch, reply) => {
                let gang = self.ledger.launch(launch.fence, &launch.gang, now);
                let _ = reply.send(gang);
            }
            Message::Begin(id, reply) => {
                let needed = self.ledger.begin(&id, now);
                let slot = self.ledger.slot(&id);
                let _ = reply.send(needed.map(|needed| {
                    slot.filter(|_| needed)
                        .map(|slot| Box::new(slot.gang.clone()))
                }));
            }
            Message::TaskSpan(id, span) => {
                self.spans.insert(id, span);
            }
            Message::TaskBegun(id) => self.ledger.record_task_start(&id, now),
            Message::TaskEnded(id, end) => {
                slog::info!(self.log, "agent: task {id} ended";
                    "how" => ?end.ending);
                return self.ledger.record_task_end(&id, end, now);
            }
            Message::Report(report, reply) => {
                let (decision, effects) =
                    self.ledger.handle_report(report, now);
                let _ = reply.send(decision);
                return effects;
            }
            Message::LeadDecided(id, decision) => {
                return self.ledger.apply_decision(&id, decision, now);
            }
            Message::Stop(stop, reply) => {
                match self.ledger.stop(stop.fence, &stop.gang, now) {
                    Ok(effects) => {
                        let _ = reply.send(Ok(()));
                        return effects;
                    }
                    Err(refusal) => {
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
            Message::Halt(id) => return self.ledger.halt(&id, now),
            Message::Forget(forget, reply) => {
                let checked = self.ledger.check_fence(forget.fence);
                let refused =
                    matches!(checked, Err(Refusal::StaleEpoch { .. }));
                if !refused {
                    self.forget(forget.gangs);
                }
                let _ = reply.send(checked);
            }
            Message::Outcome(id, reply) => {
                let slot = self.ledger.slot(&id);
                let lead = slot.and_then(|slot| slot.lead.as_ref());
                let _ = reply.send(lead.and_then(|l| l.outcome()));
            }
            Message::Changes(fence, since, reply) => {
                let _ = reply.send(self.view(fence, since, now));
            }
            Message::TasksPolled(polled, tasks) => {
                return self.process_poll(polled, tasks, now);
            }
            Message::Leave => self.ledger.leave(),
            Message::IsIdle(reply) => {
                let _ = reply.send(self.ledger.is_idle());
            }
            Message::Tick => {
                let held = self.ledger.accelerators_in_use().count_ones();
                let worker = self.ledger.worker().to_string();
                let label = KeyValue::new("worker", worker);
                metrics::get().held.record(u64::from(held), &[label]);
                return self.ledger.tick(now);
            }
            Message::Poll => {
                self.poll(myself, now);
                myself.send_after(self.poll_delay(now), || Message::Poll);
            }
        }
        Vec::new()
    }

    fn view(
        &mut self,
        fence: Fence,
        since: Sequence,
        now: Instant,
    ) -> Result<LedgerView, Refusal> {
        // A planner with an older configuration may read. Its next hold or
        // launch is refused.
        let checked = self.ledger.check_fence(fence);
        if let Err(refusal @ Refusal::StaleEpoch { .. }) = checked {
            return Err(refusal);
        }
        Ok(LedgerView {
            sequence: self.ledger.sequence(),
            leaving: self.ledger.is_leaving(),
            endpoint_lost: self.endpoint_lost,
            entries: self.ledger.changes(since, now),
        })
    }

    fn forget(&mut self, ids: Vec<gang::Id>) {
        for id in ids {
            self.ledger.forget(&id);
            if self.ledger.slot(&id).is_none() {
                let endpoint = self.endpoint.clone();
                tokio::spawn(async move {
                    let _ = endpoint.forget(&id.to_string()).await;
                });
            }
        }
    }

    fn poll_delay(&self, now: Instant) -> Duration {
        let is_young = |phase: &Phase| match phase {
            Phase::Beginning { .. } => true,
            Phase::Begun { since } => now.duration_since(*since) < YOUNG_AGE,
            _ => false,
        };
        let mut running = self.ledger.running();
        match running.any(|slot| is_young(&slot.phase)) {
            true => YOUNG_POLL_INTERVAL,
            false => POLL_INTERVAL,
        }
    }

    /// Renews the leases of running tasks and reads their states.
    fn poll(&mut self, myself: &ActorRef<Message>, now: Instant) {
        let tasks: Vec<TaskId> = self
            .ledger
            .running()
            .filter(|slot| matches!(slot.phase, Phase::Begun { .. }))
            .map(|slot| slot.gang.id.to_string())
            .collect();
        if tasks.is_empty() {
            self.last_endpoint_answer = now;
        }
        if tasks.is_empty() || self.polling {
            return;
        }
        self.polling = true;
        let endpoint = self.endpoint.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let answer = endpoint.renew(&tasks).await.ok();
            let _ = myself.cast(Message::TasksPolled(tasks, answer));
        });
    }

    fn process_poll(
        &mut self,
        polled: Vec<TaskId>,
        tasks: Option<Vec<Task>>,
        now: Instant,
    ) -> Vec<Effect> {
        self.polling = false;
        let Some(tasks) = tasks else {
            let silent = now.duration_since(self.last_endpoint_answer);
            return match silent >= task::TASK_LEASE {
                true => self.mark_endpoint_lost(now),
                false => Vec::new(),
            };
        };
        self.last_endpoint_answer = now;
        self.endpoint_lost = false;
        let worker = self.ledger.worker().clone();
        let ids: Vec<gang::Id> = self
            .ledger
            .running()
            .filter(|slot| matches!(slot.phase, Phase::Begun { .. }))
            .map(|slot| slot.gang.id.clone())
            .collect();
        let mut effects = Vec::new();
        for id in ids {
            let name = id.to_string();
            let end = match tasks.iter().find(|task| task.task == name) {
                Some(task) => task::end_of(task, &worker),
                // The endpoint was asked for the task and does not know it.
                None if polled.contains(&name) => {
                    Some(End::new(Ending::Lost, Some(worker.clone())))
                }
                None => None,
            };
            if let Some(end) = end {
                effects.extend(self.ledger.record_task_end(&id, end, now));
            }
        }
        effects
    }

    /// Records that all tasks have ended: without the endpoint's answers
    /// their leases have expired.
    fn mark_endpoint_lost(&mut self, now: Instant) -> Vec<Effect> {
        slog::warn!(self.log, "agent: the endpoint does not answer");
        self.endpoint_lost = true;
        let worker = self.ledger.worker().clone();
        let ids: Vec<gang::Id> =
            self.ledger.running().map(|s| s.gang.id.clone()).collect();
        ids.into_iter()
            .flat_map(|id| {
                let end = End::new(Ending::Lost, Some(worker.clone()));
                self.ledger.record_task_end(&id, end, now)
            })
            .collect()
    }

    fn execute(&self, myself: &ActorRef<Message>, effect: Effect) {
        match effect {
            Effect::StartTask(id) => self.start_task(myself, id),
            Effect::StopTask(id) => self.stop_task(myself, id),
            Effect::ReportToLead { address, report } => {
                self.report_to_lead(myself, address, report)
            }
            Effect::HaltMember { address, gang } => {
                let pool = self.pool.clone();
                tokio::spawn(async move {
                    // A member that cannot be reached gets the decision as
                    // the answer to its next report, or stops if it cannot
                    // report.
                    if let Ok(client) = pool.get(&address).await {
                        let call = client.halt(gang);
                        let _ = link::with_timeout(
                            &address,
                            link::CALL_TIMEOUT,
                            call,
                        )
                        .await;
                    }
                });
            }
        }
    }

    fn start_task(&self, myself: &ActorRef<Message>, id: gang::Id) {
        let Some(slot) = self.ledger.slot(&id) else {
            return;
        };
        let gang = slot.gang.clone();
        let worker = self.ledger.worker().clone();
        let endpoint = self.endpoint.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let _ = task::start(&endpoint, &myself, &gang, &worker).await;
        });
    }

    fn stop_task(&self, myself: &ActorRef<Message>, id: gang::Id) {
        let endpoint = self.endpoint.clone();
        let worker = self.ledger.worker().clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let end = task::stop(&endpoint, &id, &worker).await;
            let _ = myself.cast(Message::TaskEnded(id, end));
        });
    }

    fn report_to_lead(
        &self,
        myself: &ActorRef<Message>,
        address: String,
        report: Report,
    ) {
        let pool = self.pool.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let Ok(client) = pool.get(&address).await else {
                return;
            };
            let gang = report.gang.clone();
            let call = client.report(report);
            match link::with_timeout(&address, link::CALL_TIMEOUT, call).await
            {
                Ok(decision) => {
                    let _ = myself.cast(Message::LeadDecided(gang, decision));
                }
                Err(_) => pool.remove(&address),
            }
        });
    }
}

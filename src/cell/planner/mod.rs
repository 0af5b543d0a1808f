//! The planner: an actor that drives the decision core while the claim holds.

mod calls;
mod delivery;
mod handover;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::cell::advice;
use crate::cell::claim::Claim;
use crate::cell::configuration::Source;
use crate::cell::decision_log::Recorder;
use crate::cell::inquiry::SavedReports;
use crate::cell::inquiry::Unread;
use crate::cell::intake;
use crate::cell::keys;
use crate::cell::keys::Intake;
use crate::cell::planner::delivery::Deliveries;
use crate::cell::record::Head;
use crate::cell::record::Part;
use crate::cell::rpc::Answer;
use crate::cell::writer;
use crate::cell::writer::Written;
use crate::graph::AgentId;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::KeptEnd;
use crate::graph::Options;
use crate::graph::Progress;
use crate::graph::Question;
use crate::graph::Report;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Step;
use crate::graph::Ticket;
use crate::graph::Timestamp;
use crate::log::excerpt;
use crate::store::Change;
use crate::store::Item;
use crate::store::Listing;
use crate::store::Store;
use crate::telemetry::metrics;
use crate::telemetry::metrics::label;

/// How long an agent's report waits for orders.
pub const REPORT_HOLD: Duration = Duration::from_millis(1000);
/// How often rules that depend on time are evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The least time from the start of a pass to the start of the next, as a
/// multiple of the pass's duration. A planner on a machine with little CPU can
/// then still answer agents in time; otherwise they would give up and
/// reconnect, at an even higher cost.
const PASS_INTERVAL_FACTOR: u32 = 4;
/// The bound on that least time, however long a pass takes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(250);

/// A message to the planner.
pub enum Message {
    /// An agent's report, and the port for its answer.
    Sync(Box<Report>, RpcReplyPort<Answer>),
    /// Changes of the records that entries write.
    Changes(Vec<Change>),
    /// All records that entries have written, read again after changes were
    /// missed.
    Listing(Listing),
    /// The outcome of writing a batch: written, or the claim is lost.
    Written(Result<Written, writer::Lost>),
    /// The jobs whose records were removed; empty if the removal failed.
    Removed(Vec<JobId>),
    /// The saved reports that were read for unresponsive agents, or that they
    /// could not be read.
    SavedReports(Result<SavedReports, Unread>),
    /// A question, the tickets if it was answered, and when it was asked.
    Advice(Question, Option<Vec<Ticket>>, Instant),
    /// Decide, write and answer, as far as each is due.
    Decide,
    /// A postponed pass may begin.
    PassDue,
    /// Rules that depend on time may be due.
    Tick,
}

/// A report that waits for orders.
struct Waiting {
    process: String,
    sequence: u64,
    reply: RpcReplyPort<Answer>,
    /// When the first report of the process since its last answer arrived.
    since: Instant,
}

/// All records of jobs, as the store has answered. There is no empty value: a
/// read that failed is not one that found nothing.
#[derive(Debug)]
pub struct Records {
    /// The jobs' progress that earlier planners have written.
    pub progress: Listing,
    /// The parts of the progress of jobs that are stored in parts.
    pub parts: Listing,
    /// The jobs and cancellations that entries have written.
    pub intake: Listing,
}

/// The arguments of a planner's start.
pub struct Arguments<S> {
    /// The store.
    pub store: S,
    /// The claim under which the planner writes.
    pub claim: Claim,
    /// The configuration, for guarantees and closed halls.
    pub source: Source,
    /// The channel for questions to the advice service, if there is one.
    pub advice: Option<advice::Sender>,
    /// The timing bounds and the policy of the scheduler.
    pub options: Options,
    /// What the store held when the claim was made.
    pub records: Records,
    /// Set to `true` once the claim is lost.
    pub claim_lost: watch::Sender<bool>,
    /// The log.
    pub log: slog::Logger,
}

/// The state of the actor.
pub struct State<S> {
    store: S,
    claim: Claim,
    source: Source,
    advice: Option<advice::Sender>,
    advice_pending: bool,
    scheduler: Scheduler,
    records: writer::Records,
    /// The progress of jobs whose acceptance was not read yet.
    unclaimed_progress: BTreeMap<String, Progress>,
    /// The jobs whose progress or kept ends cannot be decoded. Their past runs
    /// are unknown, so nothing of them may begin.
    unreadable: BTreeSet<String>,
    /// The ends that are kept for jobs that were not read yet.
    kept_ends: BTreeMap<String, Vec<KeptEnd>>,
    /// The cancelled jobs that were not accepted, as the store shows them.
    cancelled_early: BTreeSet<String>,
    writing: bool,
    removing: bool,
    deciding: bool,
    /// Whether rules that depend on time are due.
    tick_due: bool,
    /// The time before which no pass begins.
    next_pass_at: Instant,
    /// Whether a pass is postponed until `next_pass_at`.
    is_pass_postponed: bool,
    waiting: BTreeMap<AgentId, Waiting>,
    /// The last answers with orders.
    deliveries: Deliveries,
    /// Agents whose orders have changed while no report of theirs was waiting.
    due: BTreeSet<AgentId>,
    guarantees: BTreeMap<SharedStr, i64>,
    /// Whether a pass found that the operators' keys were not read yet.
    halls_unread: bool,
    claim_lost: watch::Sender<bool>,
    decision_log: Recorder,
    log: slog::Logger,
}

/// The planner's actor.
pub struct Planner<S>(std::marker::PhantomData<S>);

impl<S> Default for Planner<S> {
    fn default() -> Planner<S> {
        Planner(std::marker::PhantomData)
    }
}

impl<S: Store> Actor for Planner<S> {
    type Msg = Message;
    type State = State<S>;
    type Arguments = Arguments<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments<S>,
    ) -> Result<State<S>, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || Message::Tick);
        Ok(State::new(arguments))
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        state: &mut State<S>,
    ) -> Result<(), ActorProcessingErr> {
        let ends = state.scheduler.unwritten_ends();
        if !ends.is_empty() {
            let (store, log) = (state.store.clone(), state.log.clone());
            tokio::spawn(handover::keep(store, ends, log));
        }
        Ok(())
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State<S>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Sync(report, reply) => {
                state.handle_report(*report, reply)
            }
            Message::Changes(changes) => state.apply_changes(changes),
            Message::Listing(listing) => state.apply_listing(listing),
            Message::Written(written) => state.record_written(written),
            Message::Removed(ids) => state.forget_removed(&ids),
            Message::SavedReports(read) => state.apply_saved_reports(read),
            Message::Advice(question, tickets, sent) => {
                state.advice_pending = false;
                state.scheduler.apply_advice(
                    &question,
                    tickets,
                    sent.into_std(),
                );
            }
            Message::PassDue => state.is_pass_postponed = false,
            Message::Tick => state.tick(&myself),
            Message::Decide => {
                state.decide(&myself);
                return Ok(());
            }
        }
        // Queued messages are handled before the next decision.
        if !state.deciding && state.is_due() {
            state.deciding = true;
            myself.cast(Message::Decide)?;
        }
        Ok(())
    }
}

impl<S: Store> State<S> {
    fn new(arguments: Arguments<S>) -> State<S> {
        let mut state = State {
            store: arguments.store,
            claim: arguments.claim,
            source: arguments.source,
            advice: arguments.advice,
            advice_pending: false,
            scheduler: Scheduler::new(arguments.options, Timestamp::now()),
            records: writer::Records::default(),
            unclaimed_progress: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            kept_ends: BTreeMap::new(),
            cancelled_early: BTreeSet::new(),
            writing: false,
            removing: false,
            deciding: false,
            tick_due: true,
            next_pass_at: Instant::now(),
            is_pass_postponed: false,
            waiting: BTreeMap::new(),
            deliveries: Deliveries::default(),
            due: BTreeSet::new(),
            guarantees: BTreeMap::new(),
            halls_unread: false,
            claim_lost: arguments.claim_lost,
            decision_log: Recorder::new(arguments.log.clone()),
            log: arguments.log,
        };
        let records = arguments.records;
        let mut parts = state.load_parts(records.parts);
        for item in records.progress.items {
            state.load_progress(item, &mut parts);
        }
        // An interrupted write of a job's first record leaves no head.
        for (id, parts) in parts {
            let progress = Head::default().join(parts);
            state.unclaimed_progress.insert(id, progress);
        }
        state.apply_listing(records.intake);
        state.add_jobs_without_record();
        state
    }

    /// Adds the jobs that have progress, but no record that can be read.
    fn add_jobs_without_record(&mut self) {
        let ids = self.unreadable.iter();
        let ids = ids.chain(self.unclaimed_progress.keys());
        let ids: BTreeSet<String> =
            ids.chain(self.kept_ends.keys()).cloned().collect();
        for id in ids {
            self.add_unreadable(&id, None);
        }
    }

    /// Adds a job whose records cannot be read, with the job if that could be.
    fn add_unreadable(&mut self, id: &str, job: Option<&Job>) {
        if self.scheduler.has_unreadable_job(id) {
            return;
        }
        slog::error!(self.log, "planner: a job cannot be read";
            "job" => id, "steps_known" => job.is_some(),
            "cancelled" => self.cancelled_early.contains(id),
            "token" => self.claim.token);
        let ends = self.kept_ends.remove(id).unwrap_or_default();
        self.scheduler.add_unreadable_job(id.into(), job, ends);
        if self.cancelled_early.contains(id) {
            self.scheduler.cancel_unreadable_job(id);
        }
    }

    /// Decodes the ends that were kept for a job that could not be read.
    fn load_ends(&mut self, id: &str, item: &Item) {
        let revision = item.modified;
        self.records.revisions.insert(item.key.clone(), revision);
        match serde_json::from_slice(&item.value) {
            Ok(ends) => {
                self.kept_ends.insert(id.to_owned(), ends);
            }
            Err(error) => {
                self.mark_unreadable(id.to_owned(), &item.key, &error);
            }
        }
    }

    /// Decodes the parts of jobs' progress; returns them by job.
    fn load_parts(&mut self, listing: Listing) -> BTreeMap<String, Vec<Part>> {
        let mut parts: BTreeMap<String, Vec<Part>> = BTreeMap::new();
        for item in listing.items {
            let Some((id, _)) = keys::parse_part(&item.key) else {
                continue;
            };
            let id = id.to_owned();
            match serde_json::from_slice::<Part>(&item.value) {
                Ok(part) => parts.entry(id).or_default().push(part),
                Err(error) => self.mark_unreadable(id, &item.key, &error),
            }
            self.records.revisions.insert(item.key, item.modified);
        }
        parts
    }

    /// Decodes the head of a job's progress and joins the job's parts to it.
    fn load_progress(
        &mut self,
        item: Item,
        parts: &mut BTreeMap<String, Vec<Part>>,
    ) {
        let Some(id) = item.key.strip_prefix(keys::PROGRESS_PREFIX) else {
            return;
        };
        let id = id.to_owned();
        let parts = parts.remove(&id).unwrap_or_default();
        match serde_json::from_slice::<Head>(&item.value) {
            Ok(head) => {
                let in_parts = head.is_in_parts();
                let progress = head.join(parts);
                self.records.begun.insert(id.as_str().into());
                if in_parts {
                    let stored = progress.clone();
                    self.records.in_parts.insert(id.as_str().into(), stored);
                }
                self.unclaimed_progress.insert(id, progress);
                self.records.revisions.insert(item.key, item.modified);
            }
            Err(error) => self.mark_unreadable(id, &item.key, &error),
        }
    }

    fn mark_unreadable(
        &mut self,
        id: String,
        key: &str,
        error: &serde_json::Error,
    ) {
        metrics::get().strange.add(1, &[label("what", "record")]);
        slog::error!(self.log,
            "planner: a job's record cannot be decoded";
            "key" => key, "error" => excerpt(error));
        self.unreadable.insert(id);
    }

    fn apply_listing(&mut self, listing: Listing) {
        self.cancelled_early.clear();
        let jobs = listing.items.into_iter().map(Change::Put).collect();
        self.apply_changes(jobs);
    }

    fn apply_changes(&mut self, changes: Vec<Change>) {
        let now = Timestamp::now();
        let mut cancelled = Vec::new();
        for change in changes {
            let item = match change {
                Change::Put(item) => item,
                Change::Deleted(key, _) => {
                    if let Some(Intake::Cancel(id)) = keys::intake(&key) {
                        cancelled.retain(|other| other != id);
                        self.cancelled_early.remove(id);
                    }
                    continue;
                }
            };
            match keys::intake(&item.key) {
                Some(Intake::Job(id)) if self.scheduler.has_job(id) => {}
                Some(Intake::Job(id)) if self.unreadable.contains(id) => {
                    let job = intake::decode(id, &item.value).ok();
                    self.add_unreadable(id, job.as_ref());
                }
                Some(Intake::Job(id)) => {
                    self.accept(id, &item.value, now);
                    if self.cancelled_early.remove(id) {
                        cancelled.push(id.to_owned());
                    }
                }
                Some(Intake::Cancel(id)) => cancelled.push(id.to_owned()),
                Some(Intake::Ends(id)) => {
                    self.load_ends(id, &item);
                    self.apply_kept_ends(id, now);
                }
                _ => {}
            }
        }
        // In key order a cancellation precedes its job, so cancellations are
        // applied last.
        for id in cancelled {
            match self.scheduler.has_job(&id) {
                true => self.scheduler.cancel_job(&id, now),
                false => {
                    self.scheduler.cancel_unreadable_job(&id);
                    self.cancelled_early.insert(id);
                }
            }
        }
    }

    /// Applies the ends that were kept for a job, if it is known.
    fn apply_kept_ends(&mut self, id: &str, now: Timestamp) {
        let has_job = self.scheduler.has_job(id);
        if !has_job && !self.scheduler.has_unreadable_job(id) {
            return;
        }
        let ends = self.kept_ends.remove(id).unwrap_or_default();
        slog::info!(self.log, "planner: kept ends are taken over";
            "job" => id, "ends" => ends.len(), "known" => has_job,
            "token" => self.claim.token);
        self.scheduler.apply_kept_ends(&ends, now);
    }

    fn accept(&mut self, id: &str, value: &[u8], now: Timestamp) {
        match intake::decode(id, value) {
            Ok(job) => {
                let progress = self.unclaimed_progress.remove(id);
                let age = now.wall.duration_since(job.accepted);
                slog::info!(self.log, "planner: a job is taken in";
                    "job" => id, "account" => &*job.account,
                    "queue" => &*job.queue, "priority" => job.priority,
                    "known" => progress.is_some(),
                    "age_ms" => age.unwrap_or_default().as_millis() as u64,
                    "steps" => describe_steps(&job), "times" => job.times(),
                    "token" => self.claim.token);
                let mut ends = self.kept_ends.remove(id).unwrap_or_default();
                ends.extend(self.scheduler.take_unreadable_job(id));
                self.scheduler.accept_job(job, progress, now);
                self.scheduler.apply_kept_ends(&ends, now);
            }
            Err(error) => {
                metrics::get().strange.add(1, &[label("what", "job")]);
                slog::error!(self.log,
                    "planner: a job cannot be decoded"; "job" => id,
                    "error" => excerpt(error));
                self.add_unreadable(id, None);
            }
        }
    }

    fn handle_report(&mut self, report: Report, reply: RpcReplyPort<Answer>) {
        let agent = report.agent.clone();
        if !self.claim.holds() {
            send_answer(&self.log, reply, Answer::NotPlanner);
            return;
        }
        let earlier = self.waiting.get(&agent);
        let earlier = earlier.filter(|e| e.process == report.process);
        let waiting = Waiting {
            process: report.process.clone(),
            sequence: report.sequence,
            reply,
            // An agent that keeps replacing its reports must be answered, too:
            // the answer renews its grant.
            since: earlier.map_or_else(Instant::now, |e| e.since),
        };
        let overtaken = earlier.is_some_and(|e| e.sequence > waiting.sequence);
        if overtaken {
            send_answer(&self.log, waiting.reply, Answer::NotPlanner);
            return;
        }
        if let Some(lost) = self.deliveries.lost_answer(&report) {
            metrics::get().answers_lost.add(1, &[]);
            slog::info!(self.log, "planner: an answer was not received";
                "agent" => &*agent, "answer" => lost,
                "report" => report.sequence, "token" => self.claim.token);
            // Otherwise a start may reach its agent seconds after the starts
            // of the gang's other members.
            self.due.insert(agent.clone());
        }
        self.scheduler.apply_report(report, Timestamp::now());
        if let Some(earlier) = self.waiting.insert(agent, waiting) {
            // The agent has given up the earlier report for the new one.
            send_answer(&self.log, earlier.reply, Answer::NotPlanner);
        }
    }

    fn record_written(&mut self, written: Result<Written, writer::Lost>) {
        self.writing = false;
        let written = match written {
            Ok(written) => written,
            Err(error) => {
                slog::warn!(self.log,
                    "planner: stops because the claim is lost";
                    "token" => self.claim.token, "error" => %error);
                // The session that receives this may be over already.
                let _ = self.claim_lost.send(true);
                return;
            }
        };
        self.records.update(&written);
        for job in written.jobs {
            self.scheduler.mark_written(&job.id, job.version);
        }
        for (id, version) in written.ends {
            self.scheduler.mark_ends_written(&id, version);
        }
        for (id, reason) in written.rejected {
            metrics::get().records_rejected.add(1, &[]);
            slog::error!(self.log,
                "planner: the store does not take a job's progress";
                "job" => &*id, "token" => self.claim.token,
                "error" => reason);
        }
    }

    fn forget_removed(&mut self, ids: &[JobId]) {
        self.removing = false;
        for id in ids {
            self.scheduler.forget_job(id);
            self.records.forget(id);
        }
    }

    /// Returns whether there is anything to decide, write or answer.
    fn is_due(&self) -> bool {
        self.is_pass_due()
            || self.scheduler.has_changed_orders()
            || !self.writing && self.scheduler.is_dirty()
            || self
                .due
                .iter()
                .any(|agent| self.waiting.contains_key(agent))
    }

    fn is_pass_due(&self) -> bool {
        !self.is_pass_postponed
            && (self.tick_due || self.scheduler.is_changed())
    }

    fn decide(&mut self, myself: &ActorRef<Message>) {
        self.deciding = false;
        if *self.claim_lost.borrow() {
            return;
        }
        if self.is_pass_due() {
            self.run_pass(myself);
        }
        self.write(myself);
        self.due.extend(self.scheduler.take_agents_to_order());
        let due: Vec<AgentId> = self
            .due
            .iter()
            .filter(|agent| self.waiting.contains_key(*agent))
            .cloned()
            .collect();
        self.answer_waiting(&due);
    }

    /// Decides again which runs are started and stopped. The pass is postponed
    /// if the last one was long and recent.
    fn run_pass(&mut self, myself: &ActorRef<Message>) {
        let began = Instant::now();
        if began < self.next_pass_at {
            self.is_pass_postponed = true;
            let remaining = self.next_pass_at - began;
            myself.send_after(remaining, || Message::PassDue);
            return;
        }
        self.tick_due = false;
        let Some(closed) = self.source.closed() else {
            self.note_unread_halls();
            return;
        };
        if let Some(configuration) = self.source.current() {
            if configuration.guarantees != self.guarantees {
                self.guarantees = configuration.guarantees.clone();
                self.scheduler.set_guarantees(self.guarantees.clone());
            }
        }
        self.scheduler.set_closed_halls(closed);
        self.scheduler.run_pass(Timestamp::now());
        let token = self.claim.token;
        for decision in self.scheduler.take_decisions() {
            self.decision_log.record(&decision, token);
        }
        self.decision_log.record_use(&self.scheduler);
        self.ask_advice(myself);
        self.read_saved_reports(myself);
        let took = began.elapsed();
        metrics::get().step_seconds.record(took.as_secs_f64(), &[]);
        self.next_pass_at =
            began + (took * PASS_INTERVAL_FACTOR).min(MAX_PASS_INTERVAL);
    }

    /// Notes that a pass could not be run, as the closed halls are unknown.
    fn note_unread_halls(&mut self) {
        if !std::mem::replace(&mut self.halls_unread, true) {
            slog::info!(self.log,
                "planner: waits for the operators' keys";
                "token" => self.claim.token);
        }
    }

    /// Answers the waiting reports of `agents`.
    fn answer_waiting(&mut self, agents: &[AgentId]) {
        if agents.is_empty() {
            return;
        }
        let holds = self.claim.holds();
        let mut orders = self.scheduler.orders_for(agents);
        for agent in agents {
            let Some(waiting) = self.waiting.remove(agent) else {
                continue;
            };
            self.due.remove(agent);
            if holds {
                let Waiting {
                    process, sequence, ..
                } = &waiting;
                self.deliveries.record(agent, process, *sequence);
            }
            let answer = match holds {
                true => Answer::Orders {
                    token: self.claim.token,
                    granted: true,
                    orders: orders.remove(agent).unwrap_or_default(),
                },
                false => Answer::NotPlanner,
            };
            send_answer(&self.log, waiting.reply, answer);
        }
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        self.tick_due = !self.scheduler.is_idle();
        let now = Instant::now();
        let expired: Vec<AgentId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.since + REPORT_HOLD)
            .map(|(agent, _)| agent.clone())
            .collect();
        self.answer_waiting(&expired);
        self.remove_ended(myself);
    }
}

/// Returns a short description of a job's steps for the log: the tasks of each
/// step, the accelerators and cores of each task, and the declared run time.
fn describe_steps(job: &Job) -> String {
    let step = |step: &Step| {
        let kind = match (step.gang, step.same_rack) {
            (true, true) => " in a rack",
            (true, false) => " together",
            (false, _) => "",
        };
        format!(
            "{}x{}a{}c{}ms{kind}",
            step.replicas,
            step.resources.accelerators,
            step.resources.cpu as f64 / 1000.0,
            step.estimate.as_millis()
        )
    };
    let steps: Vec<String> = job.steps.iter().map(step).collect();
    steps.join(", ")
}

fn send_answer(
    log: &slog::Logger,
    reply: RpcReplyPort<Answer>,
    answer: Answer,
) {
    if reply.send(answer).is_err() {
        slog::debug!(log, "planner: an agent no longer waits");
    }
}

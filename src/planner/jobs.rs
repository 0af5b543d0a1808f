//! What the planner keeps of each job beside the decision core.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use ractor::RpcReplyPort;

use crate::account;
use crate::job;
use crate::plan::state::Phase;
use crate::plan::Plan;
use crate::record::Record;
use crate::site::WorkerId;
use crate::telemetry::Span;
use crate::wire::entry::Line;
use crate::wire::entry::Refusal;
use crate::wire::entry::Stage;
use crate::wire::entry::Status;
use crate::wire::gang::Gang;
use crate::wire::Trace;

/// How long an ended job is kept in memory.
const ENDED_RETENTION: Duration = Duration::from_secs(300);
/// How many ended jobs are kept in memory at most.
const MAX_ENDED_JOBS: usize = 5_000;

/// How many lines are kept of what happened to a job.
const MAX_LOG_LINES: usize = 20;

/// Where a status is sent.
pub type Reply = RpcReplyPort<Result<Status, Refusal>>;

/// Where a gang is, as far as its planner knows.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Its mark is being written.
    Marking,
    /// Its members are being asked to hold, and its lead to decide.
    Launching,
    /// All members have begun.
    Running,
}

/// A gang of a job.
#[derive(Clone, Debug)]
pub struct Start {
    /// The gang.
    pub gang: Gang,
    /// Where it is.
    pub progress: Progress,
    /// Whether it is to be stopped as soon as it can be.
    pub stop_requested: bool,
}

/// A caller that waits for a job.
pub struct Waiter {
    /// Where its answer is sent.
    pub reply: Reply,
    /// Until when it waits.
    pub deadline: Instant,
}

/// A job as the planner keeps it.
pub struct Entry {
    /// Its record.
    pub record: Record,
    /// Whether the store is known to hold its record.
    pub durable: bool,
    /// Callers who wait for the job to be accepted.
    pub admission_waiters: Vec<Waiter>,
    /// A gang whose members may forget it once the end is written.
    pub ended_gang: Option<Gang>,
    /// Its present start.
    pub start: Option<Start>,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
    /// What its last task answered.
    pub output: Option<String>,
    /// Whether its end may be told.
    pub end_visible: bool,
    /// Whether the store holds its end. Until then the agents' ledgers are
    /// all that a later planner can learn it from.
    pub end_written: bool,
    /// When it ended, if it has.
    pub ended_at: Option<Instant>,
    /// The span that made it.
    pub trace: Option<Trace>,
    /// The span of its wait for accelerators.
    pub wait_span: Option<Span>,
    log: VecDeque<Line>,
    end_waiters: Vec<Waiter>,
}

impl Entry {
    /// Returns a job that has just been admitted.
    pub fn new(record: Record, durable: bool, trace: Option<Trace>) -> Entry {
        Entry {
            record,
            durable,
            admission_waiters: Vec::new(),
            ended_gang: None,
            start: None,
            checkpoint: None,
            output: None,
            end_visible: false,
            end_written: false,
            ended_at: None,
            wait_span: Some(Span::begin("plan", trace.as_ref())),
            trace,
            log: VecDeque::new(),
            end_waiters: Vec::new(),
        }
    }

    /// Notes something that happened to the job.
    pub fn note(&mut self, at: SystemTime, text: impl Into<String>) {
        if self.log.len() == MAX_LOG_LINES {
            self.log.pop_front();
        }
        let text = text.into();
        self.log.push_back(Line { at, text });
    }
}

/// The jobs of a cell.
#[derive(Default)]
pub struct Jobs {
    entries: BTreeMap<job::Id, Entry>,
    unfinished: BTreeMap<account::Id, u32>,
}

impl Jobs {
    /// Takes a job in.
    pub fn insert(&mut self, entry: Entry) {
        let spec = &entry.record.spec;
        if entry.record.end.is_none() {
            *self.unfinished.entry(spec.account.clone()).or_default() += 1;
        }
        self.entries.insert(spec.id.clone(), entry);
    }

    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<&Entry> {
        self.entries.get(job)
    }

    /// Returns a job, to be changed.
    pub fn get_mut(&mut self, job: &str) -> Option<&mut Entry> {
        self.entries.get_mut(job)
    }

    /// Returns all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&job::Id, &Entry)> {
        self.entries.iter()
    }

    /// Returns how many jobs of an account have not ended.
    pub fn unfinished(&self, account: &str) -> u32 {
        self.unfinished.get(account).copied().unwrap_or_default()
    }

    /// Takes in that a job has ended.
    pub fn record_end(&mut self, job: &job::Id, now: Instant) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.ended_at = Some(now);
            entry.start = None;
            let account = &entry.record.spec.account;
            if let Some(unfinished) = self.unfinished.get_mut(account) {
                *unfinished = unfinished.saturating_sub(1);
            }
        }
    }

    /// Returns what there is to say of a job.
    pub fn status(&self, job: &str, plan: &Plan) -> Option<Status> {
        let entry = self.entries.get(job)?;
        let spec = &entry.record.spec;
        let stage = match plan.state().jobs.get(job).map(|job| &job.phase) {
            _ if entry.end_visible => Stage::Ended,
            Some(Phase::Waiting) | None => Stage::Queued,
            Some(Phase::Stopping(..)) => Stage::Stopping,
            Some(Phase::Running(_)) => match &entry.start {
                Some(start) if start.progress == Progress::Running => {
                    Stage::Running
                }
                _ => Stage::Starting,
            },
        };
        let start = entry.start.as_ref();
        let workers: Vec<WorkerId> = start
            .iter()
            .flat_map(|start| &start.gang.members)
            .map(|member| member.worker.clone())
            .collect();
        Some(Status {
            job: spec.id.clone(),
            account: spec.account.clone(),
            template: spec.template.clone(),
            stage,
            attempt: match (start, &entry.record.end) {
                (Some(start), _) => start.gang.id.attempt,
                (None, Some(end)) => end.attempt,
                (None, None) => 0,
            },
            workers,
            log: entry.log.iter().cloned().collect(),
            end: entry.record.end.clone().filter(|_| entry.end_visible),
        })
    }

    /// Keeps a caller waiting for a job's end.
    pub fn wait(&mut self, job: &str, reply: Reply, deadline: Instant) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.end_waiters.push(Waiter { reply, deadline });
        }
    }

    /// Answers all who wait for a job, once its end may be told.
    pub fn publish_end(&mut self, job: &job::Id, plan: &Plan) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.end_visible = true;
        }
        let Some(status) = self.status(job, plan) else {
            return;
        };
        let waiters = self
            .entries
            .get_mut(job)
            .map(|entry| std::mem::take(&mut entry.end_waiters));
        for waiter in waiters.into_iter().flatten() {
            let _ = waiter.reply.send(Ok(status.clone()));
        }
    }

    /// Answers callers whose wait is over and forgets old jobs.
    pub fn expire(&mut self, plan: &Plan, now: Instant) {
        let mut expired = Vec::new();
        for entry in self.entries.values_mut() {
            let admission_waiters =
                std::mem::take(&mut entry.admission_waiters);
            let (expired_waiters, remaining): (Vec<Waiter>, Vec<Waiter>) =
                admission_waiters
                    .into_iter()
                    .partition(|w| w.deadline <= now);
            entry.admission_waiters = remaining;
            for waiter in expired_waiters {
                let _ = waiter.reply.send(Err(Refusal::StoreDown));
            }
        }
        for (id, entry) in &mut self.entries {
            let waiters = std::mem::take(&mut entry.end_waiters);
            let (expired_waiters, remaining): (Vec<Waiter>, Vec<Waiter>) =
                waiters.into_iter().partition(|w| w.deadline <= now);
            entry.end_waiters = remaining;
            expired
                .extend(expired_waiters.into_iter().map(|w| (id.clone(), w)));
        }
        for (id, waiter) in expired {
            let status = self.status(&id, plan);
            let _ = waiter.reply.send(status.ok_or(Refusal::NotKnown));
        }
        self.remove_old(now);
    }

    fn remove_old(&mut self, now: Instant) {
        let mut ended: Vec<(Instant, job::Id)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.end_visible && entry.end_written)
            .filter_map(|(id, entry)| Some((entry.ended_at?, id.clone())))
            .collect();
        ended.sort();
        let surplus = ended.len().saturating_sub(MAX_ENDED_JOBS);
        for (index, (ended_at, id)) in ended.into_iter().enumerate() {
            if index < surplus
                || now.duration_since(ended_at) >= ENDED_RETENTION
            {
                self.entries.remove(&id);
            }
        }
    }
}

//! The jobs of a cell, with what the planner keeps of each in addition to the
//! decision core.

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
use crate::wire::entry::LogLine;
use crate::wire::entry::Refusal;
use crate::wire::entry::Stage;
use crate::wire::entry::Status;
use crate::wire::gang::Gang;
use crate::wire::Trace;

/// How long an ended job is kept in memory.
const ENDED_RETENTION: Duration = Duration::from_secs(300);
/// How many ended jobs are kept in memory at most.
const MAX_ENDED_JOBS: usize = 5_000;

/// How many log lines are kept for a job.
const MAX_LOG_LINES: usize = 20;

/// The reply port for a job's status.
pub type Reply = RpcReplyPort<Result<Status, Refusal>>;

/// The progress of a gang's start, as far as the planner knows.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The mark in the job's record is being written.
    Marking,
    /// The members are being asked to hold accelerators, and the lead to
    /// decide.
    Launching,
    /// All members have begun.
    Running,
}

/// A start of a job.
#[derive(Clone, Debug)]
pub struct Start {
    /// The gang that is started.
    pub gang: Gang,
    /// How far the start has come.
    pub progress: Progress,
    /// Whether the gang is to be stopped as soon as that is possible.
    pub stop_requested: bool,
}

/// A caller that waits for an answer about a job.
pub struct Waiter {
    /// The port to answer on.
    pub reply: Reply,
    /// When the caller gets an answer at the latest.
    pub deadline: Instant,
}

/// A job as the planner keeps it.
pub struct Entry {
    /// The job's record.
    pub record: Record,
    /// Whether the store is known to hold the record.
    pub durable: bool,
    /// Callers that wait for the job to be accepted.
    pub admission_waiters: Vec<Waiter>,
    /// A gang that has ended; its members forget it once the job's end is
    /// written.
    pub ended_gang: Option<Gang>,
    /// The job's present start.
    pub start: Option<Start>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The output of the job's last task.
    pub output: Option<String>,
    /// Whether callers may see the job's end.
    pub end_visible: bool,
    /// Whether the store holds the job's end. Until then a later planner can
    /// learn of the end only from the agents' ledgers.
    pub end_written: bool,
    /// When the job ended, if it has.
    pub ended_at: Option<Instant>,
    /// The trace of the request that submitted the job.
    pub trace: Option<Trace>,
    /// The span of the job's wait for accelerators.
    pub wait_span: Option<Span>,
    log: VecDeque<LogLine>,
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

    /// Adds a line to the job's log.
    pub fn note(&mut self, time: SystemTime, text: impl Into<String>) {
        if self.log.len() == MAX_LOG_LINES {
            self.log.pop_front();
        }
        let text = text.into();
        self.log.push_back(LogLine { time, text });
    }
}

/// The jobs of a cell.
#[derive(Default)]
pub struct Jobs {
    entries: BTreeMap<job::Id, Entry>,
    unfinished: BTreeMap<account::Id, u32>,
}

impl Jobs {
    /// Adds a job.
    pub fn insert(&mut self, entry: Entry) {
        let spec = &entry.record.spec;
        if entry.record.end.is_none() {
            *self.unfinished.entry(spec.account.clone()).or_default() += 1;
        }
        self.entries.insert(spec.id.clone(), entry);
    }

    /// Returns a job, or `None` if it is not known or was removed.
    pub fn get(&self, job: &str) -> Option<&Entry> {
        self.entries.get(job)
    }

    /// Returns a job for changes.
    pub fn get_mut(&mut self, job: &str) -> Option<&mut Entry> {
        self.entries.get_mut(job)
    }

    /// Returns all jobs in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&job::Id, &Entry)> {
        self.entries.iter()
    }

    /// Returns how many jobs of an account have not ended.
    pub fn unfinished(&self, account: &str) -> u32 {
        self.unfinished.get(account).copied().unwrap_or_default()
    }

    /// Records when a job ended, and drops its start.
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

    /// Returns a job's status, or `None` if the job is not known.
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

    /// Adds a caller that waits for a job's end.
    pub fn wait(&mut self, job: &str, reply: Reply, deadline: Instant) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.end_waiters.push(Waiter { reply, deadline });
        }
    }

    /// Makes a job's end visible and answers all callers that wait for it.
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

    /// Answers callers whose wait is over, and removes old jobs.
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
                let _ = waiter.reply.send(Err(Refusal::StoreUnavailable));
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
            let _ = waiter.reply.send(status.ok_or(Refusal::UnknownJob));
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

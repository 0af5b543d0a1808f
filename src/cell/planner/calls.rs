//! The calls that a planner makes while it continues to decide. Each result
//! comes back as a message.

use std::collections::BTreeMap;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::Instant;

use crate::cell::advice;
use crate::cell::inquiry;
use crate::cell::inquiry::SavedReports;
use crate::cell::inquiry::Unread;
use crate::cell::keys;
use crate::cell::planner::Message;
use crate::cell::planner::State;
use crate::cell::writer;
use crate::cell::writer::Batch;
use crate::clock;
use crate::graph::AgentId;
use crate::graph::JobId;
use crate::graph::Report;
use crate::graph::Timestamp;
use crate::store::Mutation;
use crate::store::Store;
use crate::store::Swap;

/// How long records of ended jobs are kept; callers may ask for a job for 120
/// s.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// The most jobs whose records are removed in one transaction, with four
/// entries for each.
const MAX_REMOVED_JOBS: usize = 7;
/// The most keys of parts that are removed in one transaction.
const MAX_REMOVED_KEYS: usize = 30;

impl<S: Store> State<S> {
    /// Asks which workers may run a step, one question at a time.
    pub(super) fn ask_advice(&mut self, myself: &ActorRef<Message>) {
        let Some(advice) =
            self.advice.clone().filter(|_| !self.advice_pending)
        else {
            return;
        };
        let Some(question) = self.scheduler.take_question(Timestamp::now())
        else {
            return;
        };
        self.advice_pending = true;
        let myself = myself.clone();
        tokio::spawn(async move {
            let sent = Instant::now();
            let tickets = advice::ask(&advice, question.clone()).await;
            // A stopped planner needs no answer.
            let _ = myself.cast(Message::Advice(question, tickets, sent));
        });
    }

    /// Reads the saved reports of unresponsive agents, before their runs are
    /// considered lost.
    pub(super) fn read_saved_reports(&mut self, myself: &ActorRef<Message>) {
        let agents = self.scheduler.take_inquiries();
        if agents.is_empty() {
            return;
        }
        let store = self.store.clone();
        let log = self.log.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let read = inquiry::read(&store, agents, &log).await;
            // A stopped planner needs no answer.
            let _ = myself.cast(Message::SavedReports(read));
        });
    }

    pub(super) fn apply_saved_reports(
        &mut self,
        read: Result<SavedReports, Unread>,
    ) {
        let saved = match read {
            Ok(saved) => saved,
            Err(unread) => {
                slog::warn!(self.log,
                    "planner: saved reports could not be read";
                    "agents" => unread.agents.len(), "error" => %unread,
                    "token" => self.claim.token);
                self.scheduler.reopen_inquiries(&unread.agents);
                return;
            }
        };
        let now = Timestamp::now();
        let reports = saved.reports.into_iter();
        let mut reports: BTreeMap<AgentId, Report> =
            reports.map(|r| (r.agent.clone(), r)).collect();
        for agent in &saved.agents {
            let report = reports.remove(agent);
            slog::info!(self.log, "planner: an agent is unresponsive";
                "agent" => &**agent, "kept" => report.is_some(),
                "token" => self.claim.token);
            let sent = saved.sent.into_std();
            self.scheduler.apply_inquiry(agent, report, sent, now);
        }
    }

    pub(super) fn write(&mut self, myself: &ActorRef<Message>) {
        if self.writing {
            return;
        }
        let jobs = self.scheduler.take_unwritten(writer::MAX_BATCH_JOBS);
        let ends = self.scheduler.take_unwritten_ends(writer::MAX_BATCH_JOBS);
        if jobs.is_empty() && ends.is_empty() {
            return;
        }
        self.writing = true;
        let store = self.store.clone();
        let claim = self.claim.clone();
        let batch = Batch::new(jobs, ends, &self.records);
        let myself = myself.clone();
        tokio::spawn(async move {
            let written = match batch {
                Ok(batch) => writer::write(&store, &claim, batch).await,
                Err(error) => Err(error.into()),
            };
            // A stopped planner needs no outcome.
            let _ = myself.cast(Message::Written(written));
        });
    }

    /// Removes the records of jobs that ended long enough ago.
    pub(super) fn remove_ended(&mut self, myself: &ActorRef<Message>) {
        let before = clock::wall_time().checked_sub(RECORD_RETENTION);
        let ids: Vec<JobId> = match before {
            Some(before) if !self.removing => {
                self.scheduler.ended_before(before)
            }
            _ => return,
        };
        let ids: Vec<JobId> = ids.into_iter().take(MAX_REMOVED_JOBS).collect();
        if ids.is_empty() {
            return;
        }
        self.removing = true;
        // The head goes last: parts without it would be taken for progress.
        let parts: Vec<String> = ids
            .iter()
            .flat_map(|id| self.records.part_keys(id))
            .collect();
        let heads = ids.iter().flat_map(|id| {
            let progress = keys::progress(id);
            [keys::job(id), keys::cancel(id), keys::ends(id), progress]
        });
        let mut removals: Vec<Vec<String>> =
            parts.chunks(MAX_REMOVED_KEYS).map(<[_]>::to_vec).collect();
        removals.push(heads.collect());
        let store = self.store.clone();
        let condition = self.claim.condition();
        let log = self.log.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let mut removed = ids;
            for keys in removals {
                let keys = keys.into_iter().map(Mutation::Delete).collect();
                match store.swap(std::slice::from_ref(&condition), keys).await
                {
                    Ok(Swap::Written(_)) => {}
                    other => {
                        slog::warn!(log, "planner: records of ended jobs \
                             could not be removed"; "outcome" => ?other);
                        removed.clear();
                        break;
                    }
                }
            }
            // A stopped planner needs no outcome.
            let _ = myself.cast(Message::Removed(removed));
        });
    }
}

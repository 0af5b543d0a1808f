//! Requests of callers: admit, status, cancel, list.

use std::time::Duration;
use std::time::Instant;

use opentelemetry::KeyValue;
use ractor::ActorRef;

use crate::account;
use crate::job;
use crate::plan::event::Event;
use crate::planner::actor::Message;
use crate::planner::actor::Phase;
use crate::planner::actor::State;
use crate::planner::actor::ADMIT_TIMEOUT;
use crate::planner::jobs::Entry;
use crate::planner::jobs::Reply;
use crate::planner::jobs::Waiter;
use crate::planner::writer::Completion;
use crate::planner::writer::Write;
use crate::record::Record;
use crate::telemetry::metrics;
use crate::telemetry::Span;
use crate::wire::entry::Admit;
use crate::wire::entry::Query;
use crate::wire::entry::Refusal;
use crate::wire::entry::Status;

impl State {
    pub(super) fn admit(
        &mut self,
        myself: &ActorRef<Message>,
        admit: Admit,
        reply: Reply,
    ) {
        let spec = &admit.record.spec;
        let limit = self.document.account(&spec.account).map(|a| a.queue);
        let known = self.jobs.get(&spec.id);
        let same = known.map(|e| e.record.request == admit.record.request);
        let limit = limit.unwrap_or(0);
        match same {
            _ if matches!(self.phase, Phase::Reading { .. }) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            Some(false) => {
                let _ = reply.send(Err(Refusal::Conflict));
            }
            Some(true) => self.admit_repeated(&spec.id.clone(), reply),
            None if self.unresolved.contains_key(&spec.id) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            None if self.jobs.unfinished(&spec.account) >= limit => {
                let account = spec.account.clone();
                let refusal = Refusal::QueueFull { account, limit };
                let _ = reply.send(Err(refusal));
            }
            None => self.admit_new(myself, admit, reply),
        }
    }

    pub(super) fn admit_repeated(&mut self, id: &job::Id, reply: Reply) {
        let accepted = self
            .jobs
            .get(id)
            .is_some_and(|e| e.durable || e.record.spec.repeatable);
        match accepted {
            true => self.reply_status(id, reply),
            false => self.wait_for_admission(id, reply),
        }
    }

    pub(super) fn wait_for_admission(&mut self, id: &job::Id, reply: Reply) {
        let deadline = Instant::now() + ADMIT_TIMEOUT;
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.admission_waiters.push(Waiter { reply, deadline });
        }
    }

    pub(super) fn admit_new(
        &mut self,
        myself: &ActorRef<Message>,
        admit: Admit,
        reply: Reply,
    ) {
        let record = admit.record;
        let spec = record.spec.clone();
        let id = spec.id.clone();
        self.writer.put(Write {
            key: Record::key(&id),
            value: record.bytes(),
            create: true,
            completion: Some(Completion::Created(id.clone())),
        });
        let label = KeyValue::new("account", spec.account.to_string());
        metrics::get().jobs_admitted.add(1, &[label]);
        let admitted = Span::begin("admit", admit.trace.as_ref());
        admitted.set("job", &id);
        let trace = admitted.trace().or(admit.trace);
        self.jobs.insert(Entry::new(record, false, trace));
        // A waiting caller gets no answer before the job's end, and a
        // repeatable job does no harm without a record, so it starts at once.
        match admit.caller_waits && spec.repeatable {
            true => {
                self.step(myself, vec![Event::Submitted { spec }]);
                self.reply_status(&id, reply);
            }
            false => self.wait_for_admission(&id, reply),
        }
    }

    /// Submits a job whose record has been created, and answers its callers.
    pub(super) fn record_created(
        &mut self,
        myself: &ActorRef<Message>,
        id: &job::Id,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.durable = true;
        let admission_waiters = std::mem::take(&mut entry.admission_waiters);
        let spec = entry.record.spec.clone();
        let fresh = entry.record.end.is_none()
            && !self.plan.state().jobs.contains_key(id);
        if fresh {
            self.step(myself, vec![Event::Submitted { spec }]);
        }
        for waiter in admission_waiters {
            self.reply_status(id, waiter.reply);
        }
    }

    /// Handles a record that existed before its job was admitted here: the job
    /// ended long ago, or the record belongs to another request.
    pub(super) fn record_exists(&mut self, record: Record) {
        let id = record.spec.id.clone();
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let admission_waiters = std::mem::take(&mut entry.admission_waiters);
        let same = entry.record.request == record.request;
        if same && record.end.is_some() && entry.start.is_none() {
            entry.durable = true;
            entry.record = record;
            entry.end_visible = true;
            entry.end_written = true;
            self.jobs.record_end(&id, Instant::now());
        }
        for waiter in admission_waiters {
            match same {
                true => self.reply_status(&id, waiter.reply),
                false => {
                    let _ = waiter.reply.send(Err(Refusal::Conflict));
                }
            }
        }
    }

    pub(super) fn reply_status(&self, id: &job::Id, reply: Reply) {
        let status = self.jobs.status(id, &self.plan);
        let _ = reply.send(status.ok_or(Refusal::UnknownJob));
    }

    pub(super) fn status(&mut self, query: Query, reply: Reply) {
        let end_visible =
            self.jobs.get(&query.job).map(|entry| entry.end_visible);
        match end_visible {
            Some(false) if query.timeout_ms > 0 => {
                let timeout = Duration::from_millis(query.timeout_ms);
                let deadline = Instant::now() + timeout;
                self.jobs.wait(&query.job, reply, deadline);
            }
            Some(_) => self.reply_status(&query.job, reply),
            None if matches!(self.phase, Phase::Reading { .. }) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            None => {
                let _ = reply.send(Err(Refusal::UnknownJob));
            }
        }
    }

    pub(super) fn cancel(
        &mut self,
        myself: &ActorRef<Message>,
        id: job::Id,
        reply: Reply,
    ) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            let _ = reply.send(Err(Refusal::UnknownJob));
            return;
        };
        if entry.record.end.is_none() && !entry.record.cancelled {
            entry.record.cancelled = true;
            self.write_record(&id, None);
            self.step(myself, vec![Event::Cancelled { job: id.clone() }]);
        }
        self.reply_status(&id, reply);
    }

    pub(super) fn list(&self, account: Option<&account::Id>) -> Vec<Status> {
        self.jobs
            .iter()
            .filter(|(_, entry)| {
                let own = &entry.record.spec.account;
                account.is_none_or(|account| account == own)
            })
            .filter_map(|(id, _)| self.jobs.status(id, &self.plan))
            .collect()
    }
}

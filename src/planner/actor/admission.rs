//! What callers ask of a planner: admit, status, cancel, list.

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
use crate::planner::actor::ADMIT;
use crate::planner::books::Entry;
use crate::planner::books::Reply;
use crate::planner::books::Waiter;
use crate::planner::writer::Done;
use crate::planner::writer::Write;
use crate::record::Record;
use crate::telemetry::metrics;
use crate::telemetry::Span;
use crate::wire::entry::Admit;
use crate::wire::entry::Await;
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
        let known = self.books.get(&spec.id);
        let same = known.map(|e| e.record.request == admit.record.request);
        let limit = limit.unwrap_or(0);
        match same {
            _ if matches!(self.phase, Phase::Reading { .. }) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            Some(false) => {
                let _ = reply.send(Err(Refusal::Conflict));
            }
            Some(true) => self.admitted_again(&spec.id.clone(), reply),
            None if self.open.contains_key(&spec.id) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            None if self.books.open(&spec.account) >= limit => {
                let account = spec.account.clone();
                let refusal = Refusal::QueueFull { account, limit };
                let _ = reply.send(Err(refusal));
            }
            None => self.admit_new(myself, admit, reply),
        }
    }

    pub(super) fn admitted_again(&mut self, id: &job::Id, reply: Reply) {
        let accepted = self
            .books
            .get(id)
            .is_some_and(|e| e.durable || e.record.spec.repeatable);
        match accepted {
            true => self.reply_status(id, reply),
            false => self.wait_for_admission(id, reply),
        }
    }

    pub(super) fn wait_for_admission(&mut self, id: &job::Id, reply: Reply) {
        let deadline = Instant::now() + ADMIT;
        if let Some(entry) = self.books.get_mut(id) {
            entry.admitting.push(Waiter { reply, deadline });
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
            then: Some(Done::Created(id.clone())),
        });
        let label = KeyValue::new("account", spec.account.to_string());
        metrics::get().jobs_admitted.add(1, &[label]);
        let admitted = Span::begin("admit", admit.trace.as_ref());
        admitted.set("job", &id);
        let trace = admitted.trace().or(admit.trace);
        self.books.insert(Entry::new(record, false, trace));
        // A caller that waits is told nothing before the end, and a job
        // that may repeat does no harm without a record: it starts at once.
        match admit.waits && spec.repeatable {
            true => {
                self.step(myself, vec![Event::Submitted { spec }]);
                self.reply_status(&id, reply);
            }
            false => self.wait_for_admission(&id, reply),
        }
    }

    /// Goes on with a job whose record has been created.
    pub(super) fn created(
        &mut self,
        myself: &ActorRef<Message>,
        id: &job::Id,
    ) {
        let Some(entry) = self.books.get_mut(id) else {
            return;
        };
        entry.durable = true;
        let admitting = std::mem::take(&mut entry.admitting);
        let spec = entry.record.spec.clone();
        let fresh = entry.record.end.is_none()
            && !self.plan.state().jobs.contains_key(id);
        if fresh {
            self.step(myself, vec![Event::Submitted { spec }]);
        }
        for waiter in admitting {
            self.reply_status(id, waiter.reply);
        }
    }

    /// Takes in that a job's record was there before it was admitted here:
    /// it has ended long ago, or is another request's.
    pub(super) fn exists(&mut self, record: Record) {
        let id = record.spec.id.clone();
        let Some(entry) = self.books.get_mut(&id) else {
            return;
        };
        let admitting = std::mem::take(&mut entry.admitting);
        let same = entry.record.request == record.request;
        if same && record.end.is_some() && entry.start.is_none() {
            entry.durable = true;
            entry.record = record;
            entry.told = true;
            entry.written = true;
            self.books.ended(&id, Instant::now());
        }
        for waiter in admitting {
            match same {
                true => self.reply_status(&id, waiter.reply),
                false => {
                    let _ = waiter.reply.send(Err(Refusal::Conflict));
                }
            }
        }
    }

    pub(super) fn reply_status(&self, id: &job::Id, reply: Reply) {
        let status = self.books.status(id, &self.plan);
        let _ = reply.send(status.ok_or(Refusal::NotKnown));
    }

    pub(super) fn status(&mut self, wait: Await, reply: Reply) {
        let told = self.books.get(&wait.job).map(|entry| entry.told);
        match told {
            Some(false) if wait.within_ms > 0 => {
                let within = Duration::from_millis(wait.within_ms);
                let deadline = Instant::now() + within;
                self.books.wait(&wait.job, reply, deadline);
            }
            Some(_) => self.reply_status(&wait.job, reply),
            None if matches!(self.phase, Phase::Reading { .. }) => {
                let _ = reply.send(Err(Refusal::TakingOver));
            }
            None => {
                let _ = reply.send(Err(Refusal::NotKnown));
            }
        }
    }

    pub(super) fn cancel(
        &mut self,
        myself: &ActorRef<Message>,
        id: job::Id,
        reply: Reply,
    ) {
        let Some(entry) = self.books.get_mut(&id) else {
            let _ = reply.send(Err(Refusal::NotKnown));
            return;
        };
        if entry.record.end.is_none() && !entry.record.cancelled {
            entry.record.cancelled = true;
            self.write(&id, None);
            self.step(myself, vec![Event::Cancelled { job: id.clone() }]);
        }
        self.reply_status(&id, reply);
    }

    pub(super) fn list(&self, account: Option<&account::Id>) -> Vec<Status> {
        self.books
            .iter()
            .filter(|(_, entry)| {
                let own = &entry.record.spec.account;
                account.is_none_or(|account| account == own)
            })
            .filter_map(|(id, _)| self.books.status(id, &self.plan))
            .collect()
    }
}

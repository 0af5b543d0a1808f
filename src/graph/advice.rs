//! Queues whose steps need the permission of an advice service.
//!
//! The service answers which of the workers in a question may run a step, each
//! with a ticket that every start there must include. The service needs time
//! for each worker in a question, so that questions name few workers: those
//! with free resources first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::unit::Phase;
use crate::graph::JobId;
use crate::graph::Life;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// The most workers in one question. The users assume this number for each
/// step.
const MAX_NAMED_WORKERS: usize = 30;
/// The least remaining validity of a ticket for which a run is assigned: the
/// run must be written and ordered by then.
const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(400);
/// How long to wait before an unanswered question is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A step of a job in one repetition: the job, the repetition and the step's
/// index.
pub type StepKey = (JobId, u32, usize);

/// A permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The life of the worker that the ticket is valid for.
    pub life: Life,
    /// The text that a start on the worker must include.
    pub text: String,
}

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step to run.
    pub step: StepKey,
    /// The lives of the workers that could run the step.
    pub lives: Vec<Life>,
}

/// The answers of the service about a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Permission {
    /// The tickets, each with the end of its validity.
    tickets: BTreeMap<Life, (String, Instant)>,
    /// The workers that may never run the step.
    barred: BTreeSet<Life>,
    /// No further question is asked before this time.
    not_before: Option<Instant>,
}

impl Permission {
    /// Returns whether a run on this life may be assigned.
    pub fn allows(&self, life: &Life, now: Instant) -> bool {
        let ticket = self.tickets.get(life);
        ticket.is_some_and(|(_, until)| now + MIN_TICKET_VALIDITY < *until)
    }

    /// Returns the ticket for a life, even an expired one.
    pub fn ticket(&self, life: &Life) -> Option<String> {
        self.tickets.get(life).map(|(text, _)| text.clone())
    }
}

/// Whether a unit's starts need permission, and the permissions so far.
#[derive(Clone, Copy, Debug)]
pub(super) enum Requirement<'a> {
    NotNeeded,
    Needed(Option<&'a Permission>),
}

impl Requirement<'_> {
    /// Returns whether the unit may run on this life.
    pub fn allows(&self, life: &Life, now: Instant) -> bool {
        match self {
            Requirement::NotNeeded => true,
            Requirement::Needed(permission) => permission
                .is_some_and(|permission| permission.allows(life, now)),
        }
    }
}

impl Scheduler {
    /// Returns whether a unit's starts need permission, and the permissions so
    /// far.
    pub(super) fn requirement_of(&self, request: &Request) -> Requirement<'_> {
        let record = self.jobs.get(&request.id);
        match record.is_none_or(|record| record.job.advice.is_none()) {
            true => Requirement::NotNeeded,
            false => {
                Requirement::Needed(self.permissions.get(&request.step_key()))
            }
        }
    }

    /// Returns the next question to the service, if there is one.
    pub fn take_question(&mut self, now: Timestamp) -> Option<Question> {
        let question = self.next_question(now)?;
        let permission =
            self.permissions.entry(question.step.clone()).or_default();
        permission.not_before = Some(now.monotonic + RETRY_INTERVAL);
        Some(question)
    }

    fn next_question(&self, now: Timestamp) -> Option<Question> {
        self.live_jobs()
            .filter(|record| record.job.advice.is_some() && !record.is_over())
            .find_map(|record| self.question_of(record, now))
    }

    fn question_of(
        &self,
        record: &JobRecord,
        now: Timestamp,
    ) -> Option<Question> {
        let waits = record
            .units
            .iter()
            .filter(|(_, unit)| matches!(unit.phase, Phase::Waiting));
        let mut asked = BTreeSet::new();
        for (key, unit) in waits {
            if !asked.insert((key.time, key.step)) {
                continue;
            }
            let request = self.request(record, key, unit, now);
            let step = request.step_key();
            let permission =
                self.permissions.get(&step).cloned().unwrap_or_default();
            if permission
                .not_before
                .is_some_and(|before| now.monotonic < before)
            {
                continue;
            }
            let lives = self.lives_to_ask(&request, &permission, now);
            if !lives.is_empty() {
                return Some(Question { step, lives });
            }
        }
        None
    }

    /// Returns the lives that a unit could use and has no ticket for, those
    /// with free resources first.
    fn lives_to_ask(
        &self,
        request: &Request,
        permission: &Permission,
        now: Timestamp,
    ) -> Vec<Life> {
        let mut candidates: Vec<(bool, &Life)> = self
            .workers
            .values()
            .filter(|worker| self.is_usable(worker, request, now))
            .filter(|worker| !permission.barred.contains(&worker.life))
            .filter(|worker| !permission.allows(&worker.life, now.monotonic))
            .map(|worker| {
                let is_full = !worker.free().holds(&request.charge);
                (is_full, &worker.life)
            })
            .collect();
        candidates.sort();
        let lives = candidates.into_iter().map(|(_, life)| life.clone());
        lives.take(MAX_NAMED_WORKERS).collect()
    }

    /// Applies the service's answer to a question that was sent at `sent`, or
    /// `None` if the service did not answer.
    pub fn apply_advice(
        &mut self,
        question: &Question,
        granted: Option<Vec<Ticket>>,
        sent: Instant,
    ) {
        let job = self.jobs.get(&question.step.0).map(|e| &e.job);
        let Some(advice) = job.and_then(|job| job.advice) else {
            return;
        };
        let Some(granted) = granted else {
            return;
        };
        self.changed = true;
        let permission =
            self.permissions.entry(question.step.clone()).or_default();
        permission.not_before = None;
        // The service's answer about a worker is final for the step.
        permission.barred.extend(question.lives.iter().cloned());
        let until = sent + advice.valid;
        for ticket in granted {
            permission.barred.remove(&ticket.life);
            permission.tickets.insert(ticket.life, (ticket.text, until));
        }
    }

    /// Removes a ticket that a worker no longer accepts.
    pub(super) fn drop_ticket(&mut self, step: &StepKey, life: &Life) {
        if let Some(permission) = self.permissions.get_mut(step) {
            permission.tickets.remove(life);
        }
    }
}

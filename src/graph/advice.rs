//! Queues whose steps run only where a service gives leave.
//!
//! The service answers which of the workers named may run a step, each with
//! a ticket that every start there brings. Its answers take time by the
//! worker named, so few are asked about at once: those with room first.

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

/// The most workers that one question names; the users reckon with as many
/// a step.
const MAX_NAMED_WORKERS: usize = 30;
/// The least rest of a ticket with which a run is given out: it must be
/// written and ordered by then.
const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(400);
/// How long is waited before a question without answer is put again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// One time of a step of a job.
pub type StepKey = (JobId, u32, usize);

/// A leave to run a step on a life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The life.
    pub life: Life,
    /// What a start there brings.
    pub text: String,
}

/// What is to be asked of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepKey,
    /// The lives of the workers that it could use.
    pub lives: Vec<Life>,
}

/// What is known of a step's leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Permission {
    /// The tickets, and until when each holds.
    tickets: BTreeMap<Life, (String, Instant)>,
    /// Who may never run the step.
    barred: BTreeSet<Life>,
    /// Before when nothing more is asked.
    not_before: Option<Instant>,
}

impl Permission {
    /// Returns whether a run on a life may be given out.
    pub fn allows(&self, life: &Life, now: Instant) -> bool {
        let ticket = self.tickets.get(life);
        ticket.is_some_and(|(_, until)| now + MIN_TICKET_VALIDITY < *until)
    }

    /// Returns the ticket for a life, however old.
    pub fn ticket(&self, life: &Life) -> Option<String> {
        self.tickets.get(life).map(|(text, _)| text.clone())
    }
}

/// Whether a unit's starts need leave, and the leave that there is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Requirement<'a> {
    NotNeeded,
    Needed(Option<&'a Permission>),
}

impl Requirement<'_> {
    /// Returns whether the unit may run on a life.
    pub fn allows(&self, life: &Life, now: Instant) -> bool {
        match self {
            Requirement::NotNeeded => true,
            Requirement::Needed(leave) => {
                leave.is_some_and(|leave| leave.allows(life, now))
            }
        }
    }
}

impl Scheduler {
    /// Returns where a unit may run, as far as leave goes.
    pub(super) fn requirement_of(&self, request: &Request) -> Requirement<'_> {
        let record = self.jobs.get(&request.id);
        match record.is_none_or(|record| record.job.advice.is_none()) {
            true => Requirement::NotNeeded,
            false => {
                Requirement::Needed(self.permissions.get(&request.step_key()))
            }
        }
    }

    /// Returns what is to be asked next, if anything is.
    pub fn take_question(&mut self, now: Timestamp) -> Option<Question> {
        let question = self.next_question(now)?;
        let leave = self.permissions.entry(question.step.clone()).or_default();
        leave.not_before = Some(now.monotonic + RETRY_INTERVAL);
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
            let expected = self.expected_time(record, key.step);
            let request = Request::new(record, key, unit, expected);
            let step = request.step_key();
            let leave =
                self.permissions.get(&step).cloned().unwrap_or_default();
            if leave
                .not_before
                .is_some_and(|before| now.monotonic < before)
            {
                continue;
            }
            let lives = self.lives_to_ask(&request, &leave, now);
            if !lives.is_empty() {
                return Some(Question { step, lives });
            }
        }
        None
    }

    /// Returns the lives that a unit could use and has no leave for, those
    /// with room first.
    fn lives_to_ask(
        &self,
        request: &Request,
        leave: &Permission,
        now: Timestamp,
    ) -> Vec<Life> {
        let mut open: Vec<(bool, &Life)> = self
            .workers
            .values()
            .filter(|worker| self.is_usable(worker, request, now))
            .filter(|worker| !leave.barred.contains(&worker.life))
            .filter(|worker| !leave.allows(&worker.life, now.monotonic))
            .map(|worker| {
                let full = !worker.free().holds(&request.charge);
                (full, &worker.life)
            })
            .collect();
        open.sort();
        let lives = open.into_iter().map(|(_, life)| life.clone());
        lives.take(MAX_NAMED_WORKERS).collect()
    }

    /// Takes in what the service answered to a question that was sent at
    /// `sent`; `None` if it did not answer.
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
        let leave = self.permissions.entry(question.step.clone()).or_default();
        leave.not_before = None;
        // Who may run a step does not change.
        leave.barred.extend(question.lives.iter().cloned());
        let until = sent + advice.valid;
        for ticket in granted {
            leave.barred.remove(&ticket.life);
            leave.tickets.insert(ticket.life, (ticket.text, until));
        }
    }

    /// Forgets a ticket that a worker no longer takes.
    pub(super) fn drop_ticket(&mut self, step: &StepKey, life: &Life) {
        if let Some(leave) = self.permissions.get_mut(step) {
            leave.tickets.remove(life);
        }
    }
}

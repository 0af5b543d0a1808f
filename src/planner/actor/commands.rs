//! Carrying the decision core's commands out.

use std::time::Instant;

use opentelemetry::KeyValue;
use ractor::ActorRef;

use crate::job;
use crate::plan::command::Command;
use crate::plan::event::Event;
use crate::planner::actor::Message;
use crate::planner::actor::Phase;
use crate::planner::actor::State;
use crate::planner::books::Progress;
use crate::planner::books::Start;
use crate::planner::launch;
use crate::planner::writer::Done;
use crate::planner::writer::Write;
use crate::record;
use crate::record::Mark;
use crate::record::Record;
use crate::site::Piece;
use crate::telemetry::metrics;
use crate::telemetry::Span;
use crate::wire::agent;
use crate::wire::gang;
use crate::wire::gang::Gang;
use crate::wire::gang::Member;

impl State {
    pub(super) fn step(
        &mut self,
        myself: &ActorRef<Message>,
        events: Vec<Event>,
    ) {
        if matches!(self.phase, Phase::Reading { .. }) {
            // Only the configuration may change meanwhile: accounts.
            let now = self.now();
            self.plan.step(events, now);
            return;
        }
        let now = self.now();
        let began = Instant::now();
        let commands = self.plan.step(events, now);
        let took = began.elapsed().as_secs_f64();
        metrics::get().step_seconds.record(took, &[]);
        for command in commands {
            self.carry_out(myself, command);
        }
    }

    pub(super) fn carry_out(
        &mut self,
        myself: &ActorRef<Message>,
        command: Command,
    ) {
        match command {
            Command::Start {
                job,
                attempt,
                pieces,
            } => self.start(myself, &job, attempt, &pieces),
            Command::Stop { job, reason, .. } => {
                let label = KeyValue::new("reason", format!("{reason:?}"));
                metrics::get().stops.add(1, &[label]);
                let now = self.now();
                if let Some(entry) = self.books.get_mut(&job) {
                    entry.note(now, format!("stop: {reason:?}"));
                }
                self.stop(myself, &job);
            }
            Command::Finish {
                job,
                outcome,
                reason,
            } => self.finish(myself, &job, outcome, reason),
            Command::Quarantine { worker } => {
                slog::warn!(
                    self.config.log,
                    "planner: worker {worker} is quarantined"
                );
            }
            Command::Restore { worker } => {
                slog::info!(
                    self.config.log,
                    "planner: worker {worker} is restored"
                );
            }
        }
    }

    pub(super) fn start(
        &mut self,
        myself: &ActorRef<Message>,
        id: &job::Id,
        attempt: job::Attempt,
        pieces: &[Piece],
    ) {
        let members = self.members(pieces);
        let incarnations = self.incarnations(&members);
        let epoch = self.config.epoch;
        let now = self.now();
        let Some(entry) = self.books.get_mut(id) else {
            return;
        };
        let mut work = entry.record.work.clone();
        work.checkpoint = entry.checkpoint.clone();
        let gang = Gang {
            id: gang::Id {
                job: id.clone(),
                epoch,
                attempt,
            },
            spec: entry.record.spec.clone(),
            members,
            work,
        };
        let repeatable = gang.spec.repeatable;
        let workers: Vec<&str> =
            gang.members.iter().map(|m| &*m.worker).collect();
        let text = format!("start {attempt} on {}", workers.join(", "));
        entry.note(now, text);
        entry.plan = None;
        entry.start = Some(Start {
            gang: gang.clone(),
            progress: match repeatable {
                true => Progress::Launching,
                false => Progress::Marking,
            },
            stop: false,
        });
        if repeatable {
            return self.launch(myself, gang);
        }
        entry.record.mark = Some(Mark {
            gang: gang.id.clone(),
            members: gang.members.clone(),
            incarnations,
        });
        self.write(id, Some(Done::Marked(gang.id)));
    }

    pub(super) fn members(&self, pieces: &[Piece]) -> Vec<Member> {
        let site = &self.plan.state().site;
        pieces
            .iter()
            .map(|piece| {
                let worker = site.workers()[piece.worker].id.clone();
                let heard = self.workers.get(&worker);
                let address = heard.map(|heard| heard.link.address.clone());
                Member {
                    address: address.unwrap_or_default(),
                    mask: piece.mask,
                    worker,
                }
            })
            .collect()
    }

    pub(super) fn incarnations(
        &self,
        members: &[Member],
    ) -> Vec<agent::Incarnation> {
        let heard = |member: &Member| self.workers.get(&member.worker);
        members
            .iter()
            .map(|member| {
                let incarnation = heard(member).map(|h| &h.incarnation);
                incarnation.cloned().unwrap_or_default()
            })
            .collect()
    }

    pub(super) fn launch(&self, myself: &ActorRef<Message>, gang: Gang) {
        let pool = self.pool.clone();
        let fence = self.beat.borrow().fence;
        let trace = self
            .books
            .get(&gang.id.job)
            .and_then(|entry| entry.trace.clone());
        let myself = myself.clone();
        tokio::spawn(async move {
            let id = gang.id.clone();
            let outcome = launch::start(pool, fence, gang, trace).await;
            let _ = myself.cast(Message::Launched(id, outcome));
        });
    }

    pub(super) fn launched(
        &mut self,
        myself: &ActorRef<Message>,
        id: gang::Id,
        outcome: launch::Outcome,
    ) {
        let job = id.job.clone();
        let attempt = id.attempt;
        let now = self.now();
        let Some(entry) = self.books.get_mut(&job) else {
            return;
        };
        let Some(start) =
            entry.start.as_mut().filter(|start| start.gang.id == id)
        else {
            return;
        };
        let repeatable = start.gang.spec.repeatable;
        let event = match outcome {
            launch::Outcome::Fenced => return self.depose(myself),
            launch::Outcome::Started => {
                start.progress = Progress::Running;
                let stop = start.stop;
                entry.note(now, "runs");
                let submitted = entry.record.spec.submitted;
                let took = now.duration_since(submitted);
                let took = took.unwrap_or_default().as_secs_f64();
                metrics::get().starts.add(1, &[]);
                metrics::get().start_seconds.record(took, &[]);
                if stop {
                    self.tell_stop(&job);
                }
                let lead = id.clone();
                return self.look_again(myself, &lead);
            }
            launch::Outcome::NotStarted { unreached, .. } => {
                entry.start = None;
                entry.note(now, "not started: no member ran");
                Event::NotStarted {
                    job,
                    attempt,
                    worker: unreached,
                }
            }
            launch::Outcome::Broken { known: false, .. } if !repeatable => {
                entry.start = None;
                Event::StartUnknown { job, attempt }
            }
            launch::Outcome::Broken { worker, .. } => {
                entry.start = None;
                Event::Failed {
                    job,
                    attempt,
                    worker,
                }
            }
        };
        self.step(myself, vec![event]);
    }

    /// Takes in an outcome that came before the launch's own answer.
    pub(super) fn look_again(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
    ) {
        let outcome = self.books.get(&id.job).and_then(|entry| {
            let lead = &entry.start.as_ref()?.gang.lead().worker;
            let entries = &self.workers.get(lead)?.entries;
            entries.get(id)?.outcome.clone()
        });
        if let Some(end) = outcome {
            let events = self.ended(myself, id, end);
            self.step(myself, events);
        }
    }

    pub(super) fn stop(&mut self, myself: &ActorRef<Message>, id: &job::Id) {
        let Some(entry) = self.books.get_mut(id) else {
            return;
        };
        let Some(start) = entry.start.as_mut() else {
            return;
        };
        start.stop = true;
        let attempt = start.gang.id.attempt;
        match start.progress {
            Progress::Running => self.tell_stop(id),
            // It is stopped once its launch has come to something.
            Progress::Launching => {}
            Progress::Marking => {
                entry.start = None;
                let event = Event::NotStarted {
                    job: id.clone(),
                    attempt,
                    worker: None,
                };
                self.step(myself, vec![event]);
            }
        }
    }

    pub(super) fn tell_stop(&self, id: &job::Id) {
        let start = self.books.get(id).and_then(|e| e.start.as_ref());
        if let Some(start) = start {
            let pool = self.pool.clone();
            let fence = self.beat.borrow().fence;
            let gang = start.gang.clone();
            tokio::spawn(launch::stop(pool, fence, gang));
        }
    }

    pub(super) fn finish(
        &mut self,
        _myself: &ActorRef<Message>,
        id: &job::Id,
        outcome: job::Outcome,
        reason: String,
    ) {
        let now = self.now();
        let Some(entry) = self.books.get_mut(id) else {
            return;
        };
        entry.note(now, format!("ended: {outcome} {reason}"));
        let label = KeyValue::new("outcome", outcome.to_string());
        metrics::get().jobs_ended.add(1, &[label]);
        let answer = Span::begin("answer", entry.trace.as_ref());
        answer.set("outcome", outcome);
        let gang = entry.forget.as_ref();
        let ran = gang.map_or(0, |gang| gang.id.attempt);
        let output = entry.output.take();
        let output = output.filter(|_| outcome == job::Outcome::Done);
        let end = record::End::new(outcome, reason, ran, output);
        entry.record.end = Some(end);
        slog::info!(self.config.log, "planner: job {id} has ended";
            "outcome" => %outcome);
        // What ran may be told at once. That it never will run may be told
        // only when no later planner can find its record open.
        let proven =
            !matches!(outcome, job::Outcome::NotRun | job::Outcome::Cancelled);
        self.write(id, Some(Done::Ended(id.clone())));
        self.books.ended(id, Instant::now());
        if proven {
            self.books.tell(id, &self.plan);
        }
    }

    pub(super) fn write(&self, id: &job::Id, then: Option<Done>) {
        let Some(entry) = self.books.get(id) else {
            return;
        };
        self.writer.put(Write {
            key: Record::key(id),
            value: entry.record.bytes(),
            create: !entry.durable,
            then,
        });
    }

    pub(super) fn written(
        &mut self,
        myself: &ActorRef<Message>,
        done: Vec<Done>,
    ) {
        for done in done {
            match done {
                Done::Created(id) => self.created(myself, &id),
                Done::Marked(id) => self.marked(myself, &id),
                Done::Ended(id) => {
                    if let Some(entry) = self.books.get_mut(&id) {
                        entry.written = true;
                    }
                    self.books.tell(&id, &self.plan);
                    self.forget_unless_ending(&id);
                }
            }
        }
    }

    pub(super) fn marked(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
    ) {
        let Some(entry) = self.books.get_mut(&id.job) else {
            return;
        };
        let Some(start) = entry.start.as_mut() else {
            return;
        };
        if start.gang.id == *id && start.progress == Progress::Marking {
            start.progress = Progress::Launching;
            let gang = start.gang.clone();
            self.launch(myself, gang);
        }
    }
}

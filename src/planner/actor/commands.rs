//! Carries out the commands of the decision core.

use std::time::Instant;

use opentelemetry::KeyValue;
use ractor::ActorRef;

use crate::job;
use crate::plan::command::Command;
use crate::plan::event::Event;
use crate::planner::actor::Message;
use crate::planner::actor::Phase;
use crate::planner::actor::State;
use crate::planner::jobs::Progress;
use crate::planner::jobs::Start;
use crate::planner::launch;
use crate::planner::writer::Completion;
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
            // Until records are read only client accounts change, and there
            // are no jobs that commands could concern.
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
            self.execute(myself, command);
        }
    }

    pub(super) fn execute(
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
                if let Some(entry) = self.jobs.get_mut(&job) {
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
        let Some(entry) = self.jobs.get_mut(id) else {
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
        entry.wait_span = None;
        entry.start = Some(Start {
            gang: gang.clone(),
            progress: match repeatable {
                true => Progress::Launching,
                false => Progress::Marking,
            },
            stop_requested: false,
        });
        if repeatable {
            return self.launch(myself, gang);
        }
        entry.record.mark = Some(Mark {
            gang: gang.id.clone(),
            members: gang.members.clone(),
            incarnations,
        });
        self.write_record(id, Some(Completion::Marked(gang.id)));
    }

    pub(super) fn members(&self, pieces: &[Piece]) -> Vec<Member> {
        let site = &self.plan.state().site;
        pieces
            .iter()
            .map(|piece| {
                let worker = site.workers()[piece.worker].id.clone();
                let worker_state = self.workers.get(&worker);
                let address = worker_state
                    .map(|worker_state| worker_state.link.address.clone());
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
        let tracked = |member: &Member| self.workers.get(&member.worker);
        members
            .iter()
            .map(|member| {
                let incarnation =
                    tracked(member).map(|worker| &worker.incarnation);
                incarnation.cloned().unwrap_or_default()
            })
            .collect()
    }

    pub(super) fn launch(&self, myself: &ActorRef<Message>, gang: Gang) {
        let pool = self.pool.clone();
        let fence = self.heartbeat.borrow().fence;
        let trace = self
            .jobs
            .get(&gang.id.job)
            .and_then(|entry| entry.trace.clone());
        let myself = myself.clone();
        tokio::spawn(async move {
            let id = gang.id.clone();
            let outcome = launch::start(pool, fence, gang, trace).await;
            let _ = myself.cast(Message::Launched(id, outcome));
        });
    }

    pub(super) fn launch_finished(
        &mut self,
        myself: &ActorRef<Message>,
        id: gang::Id,
        outcome: launch::Outcome,
    ) {
        let job = id.job.clone();
        let attempt = id.attempt;
        let now = self.now();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(start) =
            entry.start.as_mut().filter(|start| start.gang.id == id)
        else {
            return;
        };
        let repeatable = start.gang.spec.repeatable;
        let event = match outcome {
            launch::Outcome::Fenced => return self.step_down(myself),
            launch::Outcome::Started => {
                start.progress = Progress::Running;
                let stop = start.stop_requested;
                entry.note(now, "runs");
                let submitted = entry.record.spec.submitted;
                let took = now.duration_since(submitted);
                let took = took.unwrap_or_default().as_secs_f64();
                metrics::get().starts.add(1, &[]);
                metrics::get().start_seconds.record(took, &[]);
                if stop {
                    self.send_stop(&job);
                }
                let gang = id.clone();
                return self.apply_early_outcome(myself, &gang);
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
            launch::Outcome::Broken {
                known_unfinished: false,
                ..
            } if !repeatable => {
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

    /// Applies an outcome that arrived before the launch's own answer.
    pub(super) fn apply_early_outcome(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
    ) {
        let outcome = self.jobs.get(&id.job).and_then(|entry| {
            let lead = &entry.start.as_ref()?.gang.lead().worker;
            let entries = &self.workers.get(lead)?.entries;
            entries.get(id)?.outcome.clone()
        });
        if let Some(end) = outcome {
            let events = self.gang_ended(myself, id, end);
            self.step(myself, events);
        }
    }

    pub(super) fn stop(&mut self, myself: &ActorRef<Message>, id: &job::Id) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(start) = entry.start.as_mut() else {
            return;
        };
        start.stop_requested = true;
        let attempt = start.gang.id.attempt;
        match start.progress {
            Progress::Running => self.send_stop(id),
            // The stop is sent when the launch has finished.
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

    pub(super) fn send_stop(&self, id: &job::Id) {
        let start = self.jobs.get(id).and_then(|e| e.start.as_ref());
        if let Some(start) = start {
            let pool = self.pool.clone();
            let fence = self.heartbeat.borrow().fence;
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
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.note(now, format!("ended: {outcome} {reason}"));
        let label = KeyValue::new("outcome", outcome.to_string());
        metrics::get().jobs_ended.add(1, &[label]);
        let answer = Span::begin("answer", entry.trace.as_ref());
        answer.set("outcome", outcome);
        let gang = entry.ended_gang.as_ref();
        let attempt = gang.map_or(0, |gang| gang.id.attempt);
        let output = entry.output.take();
        let output = output.filter(|_| outcome == job::Outcome::Done);
        let end = record::End::new(outcome, reason, attempt, output);
        entry.record.end = Some(end);
        slog::info!(self.config.log, "planner: job {id} has ended";
            "outcome" => %outcome);
        // An end that a run decided may be shown at once. Any other end may be
        // shown only once the store holds it: a later planner that finds the
        // record without an end could still run the job.
        let shown_at_once =
            !matches!(outcome, job::Outcome::NotRun | job::Outcome::Cancelled);
        self.write_record(id, Some(Completion::Ended(id.clone())));
        self.jobs.record_end(id, Instant::now());
        if shown_at_once {
            self.jobs.publish_end(id, &self.plan);
        }
    }

    pub(super) fn write_record(
        &self,
        id: &job::Id,
        completion: Option<Completion>,
    ) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        self.writer.put(Write {
            key: Record::key(id),
            value: entry.record.bytes(),
            create: !entry.durable,
            completion,
        });
    }

    pub(super) fn records_written(
        &mut self,
        myself: &ActorRef<Message>,
        completions: Vec<Completion>,
    ) {
        for completion in completions {
            match completion {
                Completion::Created(id) => self.record_created(myself, &id),
                Completion::Marked(id) => self.mark_written(myself, &id),
                Completion::Ended(id) => {
                    if let Some(entry) = self.jobs.get_mut(&id) {
                        entry.end_written = true;
                    }
                    self.jobs.publish_end(&id, &self.plan);
                    self.forget_ended_gang(&id);
                }
            }
        }
    }

    pub(super) fn mark_written(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
    ) {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
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

//! Updates from agents: presence, outcomes, forgotten gangs.

use std::time::Duration;
use std::time::Instant;

use ractor::ActorRef;

use crate::job;
use crate::plan::event::Event;
use crate::plan::state::Phase;
use crate::plan::state::Presence;
use crate::planner::actor;
use crate::planner::actor::Message;
use crate::planner::actor::State;
use crate::planner::jobs::Progress;
use crate::planner::links::Update;
use crate::site::WorkerId;
use crate::wire::agent;
use crate::wire::agent::AgentClient;
use crate::wire::gang;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::link;

impl State {
    pub(super) fn agent_update(
        &mut self,
        myself: &ActorRef<Message>,
        worker: WorkerId,
        update: Update,
    ) {
        let Some(worker_state) = self.workers.get_mut(&worker) else {
            return;
        };
        match update {
            Update::Fenced => return self.step_down(myself),
            Update::Unreachable => {
                worker_state
                    .unreachable_since
                    .get_or_insert_with(Instant::now);
                return;
            }
            Update::Changes { changes, whole } => {
                worker_state.answered = true;
                worker_state.incarnation = changes.incarnation;
                worker_state.unreachable_since = None;
                worker_state.leaving = changes.leaving;
                worker_state.endpoint_lost = changes.endpoint_lost;
                if whole {
                    worker_state.entries.clear();
                }
                for entry in changes.entries {
                    worker_state.entries.insert(entry.gang.id.clone(), entry);
                }
            }
        }
        if matches!(self.phase, actor::Phase::Reading { .. }) {
            return self.try_take_over(myself);
        }
        self.resolve_pending(myself);
        let mut events = self.presence_events(Instant::now());
        events.extend(self.outcome_events(myself, &worker));
        if !events.is_empty() {
            self.step(myself, events);
        }
    }

    /// Returns an event for each worker whose presence has changed.
    pub(super) fn presence_events(&mut self, now: Instant) -> Vec<Event> {
        if matches!(self.phase, actor::Phase::Reading { .. }) {
            return Vec::new();
        }
        let mut events = Vec::new();
        for (id, worker_state) in &mut self.workers {
            let presence = worker_state.presence(now);
            if presence == worker_state.reported {
                continue;
            }
            worker_state.reported = presence;
            let worker = id.clone();
            slog::info!(self.config.log,
                "planner: presence of worker {worker} changed";
                "presence" => ?presence);
            events.push(match presence {
                Presence::Up => Event::WorkerUp { worker },
                Presence::Silent => Event::WorkerSilent { worker },
                Presence::Leaving => Event::WorkerLeaving { worker },
                Presence::Lost => Event::WorkerLost { worker },
            });
        }
        events
    }

    /// Applies the outcomes of gangs that `worker` leads, stops or forgets
    /// gangs there that no job needs, and returns events for gangs that the
    /// lead no longer knows.
    pub(super) fn outcome_events(
        &mut self,
        myself: &ActorRef<Message>,
        worker: &WorkerId,
    ) -> Vec<Event> {
        let Some(worker_state) = self.workers.get(worker) else {
            return Vec::new();
        };
        let entries: Vec<agent::Entry> =
            worker_state.entries.values().cloned().collect();
        let mut events = Vec::new();
        for entry in entries {
            let id = &entry.gang.id;
            match self.relation(id) {
                Relation::Current => {
                    if let Some(end) = entry.outcome {
                        events.extend(self.gang_ended(myself, id, end));
                    }
                }
                Relation::EndUnwritten => {}
                Relation::Unwanted => {
                    self.forget_or_stop(worker, &entry);
                    self.drop_ended(worker, id);
                }
            }
        }
        events.extend(self.lost_gang_failures(worker));
        events
    }

    /// Returns a failure for each running gang that its lead, which answers,
    /// no longer knows.
    pub(super) fn lost_gang_failures(&self, worker: &WorkerId) -> Vec<Event> {
        let Some(worker_state) = self.workers.get(worker) else {
            return Vec::new();
        };
        let running = self.jobs.iter().filter_map(|(id, entry)| {
            let start = entry.start.as_ref()?;
            let is_lead = start.gang.lead().worker == *worker;
            let is_running = start.progress == Progress::Running;
            let is_known = worker_state.entries.contains_key(&start.gang.id);
            (is_lead && is_running && !is_known).then(|| Event::Failed {
                job: id.clone(),
                attempt: start.gang.id.attempt,
                worker: worker.clone(),
            })
        });
        running.collect()
    }

    /// Returns how a gang found in a ledger relates to the planner's jobs.
    fn relation(&self, id: &gang::Id) -> Relation {
        let Some(entry) = self.jobs.get(&id.job) else {
            return match self.unresolved.contains_key(&id.job) {
                true => Relation::EndUnwritten,
                false => Relation::Unwanted,
            };
        };
        let current = entry.start.as_ref().map(|start| &start.gang.id);
        let unwritten = entry.ended_gang.as_ref().map(|gang| &gang.id);
        match id {
            id if current == Some(id) => Relation::Current,
            id if unwritten == Some(id) => Relation::EndUnwritten,
            _ => Relation::Unwanted,
        }
    }

    /// Drops a ledger's entry of a gang that has ended there, so that it is
    /// not examined again at every change.
    pub(super) fn drop_ended(&mut self, worker: &WorkerId, id: &gang::Id) {
        let Some(worker_state) = self.workers.get_mut(worker) else {
            return;
        };
        let ended = worker_state.entries.get(id).is_some_and(|entry| {
            matches!(entry.stage, agent::Stage::Ended(_))
        });
        if ended {
            worker_state.entries.remove(id);
        }
    }

    /// Makes an agent forget a gang that has ended, or stop one that has not.
    pub(super) fn forget_or_stop(
        &self,
        worker: &WorkerId,
        entry: &agent::Entry,
    ) {
        let Some(worker_state) = self.workers.get(worker) else {
            return;
        };
        let address = worker_state.link.address.clone();
        let pool = self.pool.clone();
        let id = entry.gang.id.clone();
        let ended = matches!(entry.stage, agent::Stage::Ended(_));
        let fence = self.heartbeat.borrow().fence;
        tokio::spawn(async move {
            let Ok(client) = pool.get(&address).await else {
                return;
            };
            if ended {
                let gangs = vec![id];
                let call = client.forget(agent::Forget { fence, gangs });
                let _ = link::with_timeout(&address, link::CALL_TIMEOUT, call)
                    .await;
            } else {
                let call = client.stop(agent::Stop { fence, gang: id });
                let _ = link::with_timeout(&address, link::CALL_TIMEOUT, call)
                    .await;
            }
        });
    }

    pub(super) fn forget_gang(&mut self, gang: &Gang) {
        let fence = self.heartbeat.borrow().fence;
        for member in &gang.members {
            self.drop_ended(&member.worker, &gang.id);
            let pool = self.pool.clone();
            let address = member.address.clone();
            let gangs = vec![gang.id.clone()];
            tokio::spawn(async move {
                if let Ok(client) = pool.get(&address).await {
                    let call = client.forget(agent::Forget { fence, gangs });
                    let _ =
                        link::with_timeout(&address, link::CALL_TIMEOUT, call)
                            .await;
                }
            });
        }
    }

    /// Applies the outcome of a whole gang.
    pub(super) fn gang_ended(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
        end: End,
    ) -> Vec<Event> {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return Vec::new();
        };
        let Some(start) = entry.start.take() else {
            return Vec::new();
        };
        let job = id.job.clone();
        let attempt = id.attempt;
        let lead = start.gang.lead().worker.clone();
        let stop_was_requested = start.stop_requested;
        entry.output = end.output;
        if end.checkpoint.is_some() {
            entry.checkpoint = end.checkpoint;
        }
        entry.ended_gang = Some(start.gang);
        let kept = Duration::from_millis(end.kept_ms);
        let worker = end.worker.unwrap_or(lead);
        let event = match end.ending {
            Ending::Done => Event::Completed { job, attempt },
            Ending::NotBegun => Event::NotStarted {
                job,
                attempt,
                worker: None,
            },
            Ending::Stopped | Ending::Lost if stop_was_requested => {
                Event::Stopped {
                    job,
                    attempt,
                    kept,
                    proven: true,
                }
            }
            Ending::Failed | Ending::Stopped | Ending::Lost => Event::Failed {
                job,
                attempt,
                worker,
            },
        };
        self.step(myself, vec![event]);
        self.forget_ended_gang(&id.job);
        Vec::new()
    }

    /// Lets the members forget a job's ended gang, unless the job's end is
    /// still unwritten.
    pub(super) fn forget_ended_gang(&mut self, job: &job::Id) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.record.end.is_some() && !entry.end_written {
            return;
        }
        if let Some(gang) = entry.ended_gang.take() {
            self.forget_gang(&gang);
        }
    }

    /// Returns the ends of gangs whose lead is lost, once no member runs any
    /// more.
    pub(super) fn leaderless_events(&mut self) -> Vec<Event> {
        let leaderless: Vec<job::Id> = self
            .jobs
            .iter()
            .filter_map(|(id, entry)| Some((id, entry.start.as_ref()?)))
            .filter(|(_, start)| start.progress == Progress::Running)
            .filter(|(_, start)| self.is_lost(&start.gang.lead().worker))
            .map(|(id, _)| id.clone())
            .collect();
        leaderless
            .into_iter()
            .filter_map(|id| self.end_leaderless(id))
            .collect()
    }

    fn is_lost(&self, worker: &WorkerId) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|worker_state| worker_state.reported == Presence::Lost)
    }

    fn end_leaderless(&mut self, id: job::Id) -> Option<Event> {
        let start = self.jobs.get_mut(&id)?.start.as_mut()?;
        let stop_was_requested =
            std::mem::replace(&mut start.stop_requested, true);
        let gang = start.gang.clone();
        if !stop_was_requested {
            // The decision core requests the stop itself, except for a lead
            // that this planner never saw: the gang was then adopted from the
            // previous planner.
            self.send_stop(&id);
        }
        let member_states: Vec<(bool, bool)> = gang
            .members
            .iter()
            .map(|member| match self.workers.get(&member.worker) {
                Some(worker_state) => worker_state.gang_is_over(&gang.id),
                None => (true, true),
            })
            .collect();
        if !member_states.iter().all(|(over, _)| *over) {
            return None;
        }
        self.jobs.get_mut(&id)?.start = None;
        let attempt = gang.id.attempt;
        let phase = self.plan.state().jobs.get(&id).map(|job| &job.phase);
        Some(match phase {
            Some(Phase::Stopping(..)) => Event::Stopped {
                job: id,
                attempt,
                kept: Duration::ZERO,
                proven: member_states.iter().all(|(_, proven)| *proven),
            },
            _ => Event::Failed {
                job: id,
                attempt,
                worker: gang.lead().worker.clone(),
            },
        })
    }
}

enum Relation {
    /// The gang is its job's present start.
    Current,
    /// The gang has ended, and its job's end is not written yet, or its job's
    /// record is not resolved yet.
    EndUnwritten,
    /// No job needs the gang.
    Unwanted,
}

//! What agents say to a planner: presence, outcomes, forgotten gangs.

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
use crate::planner::books::Progress;
use crate::planner::links::News;
use crate::site::WorkerId;
use crate::wire::agent;
use crate::wire::agent::AgentClient;
use crate::wire::gang;
use crate::wire::gang::End;
use crate::wire::gang::Ending;
use crate::wire::gang::Gang;
use crate::wire::link;

impl State {
    pub(super) fn heard(
        &mut self,
        myself: &ActorRef<Message>,
        worker: WorkerId,
        news: News,
    ) {
        let Some(heard) = self.workers.get_mut(&worker) else {
            return;
        };
        match news {
            News::Fenced => return self.depose(myself),
            News::Down => {
                heard.down_since.get_or_insert_with(Instant::now);
                return;
            }
            News::Changes { changes, whole } => {
                heard.ever = true;
                heard.incarnation = changes.incarnation;
                heard.down_since = None;
                heard.leaving = changes.leaving;
                heard.endpoint_lost = changes.endpoint_lost;
                if whole {
                    heard.entries.clear();
                }
                for entry in changes.entries {
                    heard.entries.insert(entry.gang.id.clone(), entry);
                }
            }
        }
        if matches!(self.phase, actor::Phase::Reading { .. }) {
            return self.try_take_over(myself);
        }
        self.resolve_open(myself);
        let mut events = self.presences(Instant::now());
        events.extend(self.outcomes(myself, &worker));
        if !events.is_empty() {
            self.step(myself, events);
        }
    }

    /// Returns what has changed of workers' presence.
    pub(super) fn presences(&mut self, now: Instant) -> Vec<Event> {
        if matches!(self.phase, actor::Phase::Reading { .. }) {
            return Vec::new();
        }
        let mut events = Vec::new();
        for (id, heard) in &mut self.workers {
            let presence = heard.presence(now);
            if presence == heard.told {
                continue;
            }
            heard.told = presence;
            let worker = id.clone();
            slog::info!(self.config.log, "planner: worker {worker} is now";
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

    /// Returns how gangs ended that `worker` leads, and sees to gangs there
    /// that nobody wants.
    pub(super) fn outcomes(
        &mut self,
        myself: &ActorRef<Message>,
        worker: &WorkerId,
    ) -> Vec<Event> {
        let Some(heard) = self.workers.get(worker) else {
            return Vec::new();
        };
        let entries: Vec<agent::Entry> =
            heard.entries.values().cloned().collect();
        let mut events = Vec::new();
        for entry in entries {
            let id = &entry.gang.id;
            match self.relation(id) {
                Relation::Current => {
                    if let Some(end) = entry.outcome {
                        events.extend(self.ended(myself, id, end));
                    }
                }
                Relation::Unwritten => {}
                Relation::Unwanted => {
                    self.clear(worker, &entry);
                    self.drop_ended(worker, id);
                }
            }
        }
        events.extend(self.forgotten(worker));
        events
    }

    /// Returns failures of gangs that their lead, which answers, does not
    /// know any more.
    pub(super) fn forgotten(&self, worker: &WorkerId) -> Vec<Event> {
        let Some(heard) = self.workers.get(worker) else {
            return Vec::new();
        };
        let running = self.books.iter().filter_map(|(id, entry)| {
            let start = entry.start.as_ref()?;
            let led = start.gang.lead().worker == *worker;
            let runs = start.progress == Progress::Running;
            let known = heard.entries.contains_key(&start.gang.id);
            (led && runs && !known).then(|| Event::Failed {
                job: id.clone(),
                attempt: start.gang.id.attempt,
                worker: worker.clone(),
            })
        });
        running.collect()
    }

    fn relation(&self, id: &gang::Id) -> Relation {
        let Some(entry) = self.books.get(&id.job) else {
            return match self.open.contains_key(&id.job) {
                true => Relation::Unwritten,
                false => Relation::Unwanted,
            };
        };
        let current = entry.start.as_ref().map(|start| &start.gang.id);
        let unwritten = entry.forget.as_ref().map(|gang| &gang.id);
        match id {
            id if current == Some(id) => Relation::Current,
            id if unwritten == Some(id) => Relation::Unwritten,
            _ => Relation::Unwanted,
        }
    }

    /// Drops what a ledger said of a gang that has ended there, so that it
    /// is not looked at again with every change.
    pub(super) fn drop_ended(&mut self, worker: &WorkerId, id: &gang::Id) {
        let Some(heard) = self.workers.get_mut(worker) else {
            return;
        };
        let ended = heard.entries.get(id).is_some_and(|entry| {
            matches!(entry.stage, agent::Stage::Ended(_))
        });
        if ended {
            heard.entries.remove(id);
        }
    }

    /// Has an agent forget a gang that is over, or stop one that is not.
    pub(super) fn clear(&self, worker: &WorkerId, entry: &agent::Entry) {
        let Some(heard) = self.workers.get(worker) else {
            return;
        };
        let address = heard.link.address.clone();
        let pool = self.pool.clone();
        let id = entry.gang.id.clone();
        let ended = matches!(entry.stage, agent::Stage::Ended(_));
        let fence = self.beat.borrow().fence;
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

    pub(super) fn forget(&mut self, gang: &Gang) {
        let fence = self.beat.borrow().fence;
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

    /// Takes in how a whole gang ended.
    pub(super) fn ended(
        &mut self,
        myself: &ActorRef<Message>,
        id: &gang::Id,
        end: End,
    ) -> Vec<Event> {
        let Some(entry) = self.books.get_mut(&id.job) else {
            return Vec::new();
        };
        let Some(start) = entry.start.take() else {
            return Vec::new();
        };
        let job = id.job.clone();
        let attempt = id.attempt;
        let lead = start.gang.lead().worker.clone();
        let asked = start.stop;
        entry.output = end.output;
        if end.checkpoint.is_some() {
            entry.checkpoint = end.checkpoint;
        }
        entry.forget = Some(start.gang);
        let kept = Duration::from_millis(end.kept_ms);
        let worker = end.worker.unwrap_or(lead);
        let event = match end.ending {
            Ending::Done => Event::Completed { job, attempt },
            Ending::NotBegun => Event::NotStarted {
                job,
                attempt,
                worker: None,
            },
            Ending::Stopped | Ending::Lost if asked => Event::Stopped {
                job,
                attempt,
                kept,
                proven: true,
            },
            Ending::Failed | Ending::Stopped | Ending::Lost => Event::Failed {
                job,
                attempt,
                worker,
            },
        };
        self.step(myself, vec![event]);
        self.forget_unless_ending(&id.job);
        Vec::new()
    }

    /// Lets members forget a gang now, unless its job's end is not written.
    pub(super) fn forget_unless_ending(&mut self, job: &job::Id) {
        let Some(entry) = self.books.get_mut(job) else {
            return;
        };
        if entry.record.end.is_some() && !entry.written {
            return;
        }
        if let Some(gang) = entry.forget.take() {
            self.forget(&gang);
        }
    }

    /// Returns the ends of gangs whose lead is lost, once no member runs on.
    pub(super) fn stopped_gangs(&mut self) -> Vec<Event> {
        let leaderless: Vec<job::Id> = self
            .books
            .iter()
            .filter_map(|(id, entry)| Some((id, entry.start.as_ref()?)))
            .filter(|(_, start)| start.progress == Progress::Running)
            .filter(|(_, start)| self.is_gone(&start.gang.lead().worker))
            .map(|(id, _)| id.clone())
            .collect();
        leaderless
            .into_iter()
            .filter_map(|id| self.end_leaderless(id))
            .collect()
    }

    fn is_gone(&self, worker: &WorkerId) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|heard| heard.told == Presence::Lost)
    }

    fn end_leaderless(&mut self, id: job::Id) -> Option<Event> {
        let start = self.books.get_mut(&id)?.start.as_mut()?;
        let asked = std::mem::replace(&mut start.stop, true);
        let gang = start.gang.clone();
        if !asked {
            // A worker that this planner never saw, or the core would have
            // asked: the gang was taken over from the planner before.
            self.tell_stop(&id);
        }
        let overs: Vec<(bool, bool)> = gang
            .members
            .iter()
            .map(|member| match self.workers.get(&member.worker) {
                Some(heard) => heard.is_over(&gang.id),
                None => (true, true),
            })
            .collect();
        if !overs.iter().all(|(over, _)| *over) {
            return None;
        }
        self.books.get_mut(&id)?.start = None;
        let attempt = gang.id.attempt;
        let phase = self.plan.state().jobs.get(&id).map(|job| &job.phase);
        Some(match phase {
            Some(Phase::Stopping(..)) => Event::Stopped {
                job: id,
                attempt,
                kept: Duration::ZERO,
                proven: overs.iter().all(|(_, proven)| *proven),
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
    /// It is its job's present start.
    Current,
    /// It has ended, and its job's end is not written yet.
    Unwritten,
    /// Nobody wants it.
    Unwanted,
}

//! Takes over the jobs of the previous planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use ractor::ActorRef;

use crate::job;
use crate::plan::event::Event;
use crate::planner::actor::Message;
use crate::planner::actor::Phase;
use crate::planner::actor::State;
use crate::planner::jobs::Entry;
use crate::planner::jobs::Progress;
use crate::planner::jobs::Start;
use crate::planner::takeover;
use crate::planner::takeover::Ledger;
use crate::planner::takeover::Records;
use crate::planner::takeover::Resolution;
use crate::record::Record;
use crate::site::Piece;
use crate::site::WorkerId;
use crate::telemetry::metrics;
use crate::wire::gang;
use crate::wire::gang::Gang;
use crate::wire::gang::Work;

impl State {
    pub(super) fn try_take_over(&mut self, myself: &ActorRef<Message>) {
        let Phase::Reading { deadline, records } = &mut self.phase else {
            return;
        };
        let all_answered = self
            .workers
            .values()
            .all(|worker_state| worker_state.answered);
        if !all_answered && Instant::now() < *deadline {
            return;
        }
        let Some(records) = records.take() else {
            return;
        };
        self.phase = Phase::Deciding;
        self.take_over(myself, records);
    }

    pub(super) fn take_over(
        &mut self,
        myself: &ActorRef<Message>,
        found: Records,
    ) {
        let entries = self.workers.iter().flat_map(|(w, worker_state)| {
            worker_state.entries.values().map(move |e| (w, e))
        });
        let gangs = takeover::collect_gangs(entries);
        let mut events = self.presence_events(Instant::now());
        let mut recorded: BTreeSet<job::Id> = BTreeSet::new();
        let mut given_up = Vec::new();
        let mut cancelled = Vec::new();
        let unfinished = found.records.into_iter().filter(|r| r.end.is_none());
        for record in unfinished {
            let id = record.spec.id.clone();
            recorded.insert(id.clone());
            if record.cancelled {
                cancelled.push(Event::Cancelled { job: id.clone() });
            }
            match self.resolve(&record, &gangs) {
                Resolution::Adopt(gang) => {
                    events.push(self.adopt(record, true, &gangs[&gang]));
                }
                Resolution::Queue => {
                    let spec = record.spec.clone();
                    self.jobs.insert(Entry::new(record, true, None));
                    events.push(Event::Submitted { spec });
                }
                Resolution::Defer => {
                    self.unresolved.insert(id, record);
                }
                Resolution::GiveUp => given_up.push(record),
            }
        }
        for gang in takeover::unrecorded(&gangs, &recorded) {
            let record = unrecorded(&gang);
            events.push(self.adopt(record, false, &gangs[&gang.id]));
        }
        let took = self.started.0.elapsed().as_secs_f64();
        metrics::get().takeover_seconds.record(took, &[]);
        slog::info!(self.config.log, "planner: takes over";
            "cell" => &self.config.cell, "epoch" => self.config.epoch,
            "records" => recorded.len(), "gangs" => gangs.len());
        events.extend(cancelled);
        self.step(myself, events);
        for record in given_up {
            self.give_up(myself, record);
        }
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            let events = self.outcome_events(myself, &worker);
            self.step(myself, events);
        }
    }

    pub(super) fn resolve(
        &self,
        record: &Record,
        gangs: &BTreeMap<gang::Id, takeover::GangEvidence>,
    ) -> Resolution {
        takeover::resolve(record, gangs, |worker| {
            match self.workers.get(worker) {
                Some(worker_state) if worker_state.answered => {
                    Ledger::Read(worker_state.incarnation.clone())
                }
                Some(worker_state) if worker_state.listed => Ledger::Unread,
                Some(_) | None => Ledger::Gone,
            }
        })
    }

    /// Adds a job that was found running, and returns the event for it.
    pub(super) fn adopt(
        &mut self,
        record: Record,
        durable: bool,
        evidence: &takeover::GangEvidence,
    ) -> Event {
        let gang = evidence.gang.clone();
        let spec = record.spec.clone();
        let pieces = gang
            .members
            .iter()
            .filter_map(|member| {
                let worker = self.plan.state().site.index(&member.worker)?;
                let mask = member.mask;
                Some(Piece { worker, mask })
            })
            .collect();
        let attempt = gang.id.attempt;
        let mut entry = Entry::new(record, durable, None);
        entry.start = Some(Start {
            gang,
            progress: Progress::Running,
            stop_requested: false,
        });
        self.jobs.insert(entry);
        Event::Adopted {
            spec,
            attempt,
            pieces,
            started: self.now() - evidence.begun_ago,
        }
    }

    /// Resolves the records again that wait for unread ledgers.
    pub(super) fn resolve_pending(&mut self, myself: &ActorRef<Message>) {
        if self.unresolved.is_empty() {
            return;
        }
        let entries = self.workers.iter().flat_map(|(w, worker_state)| {
            worker_state.entries.values().map(move |e| (w, e))
        });
        let gangs = takeover::collect_gangs(entries);
        for (id, record) in std::mem::take(&mut self.unresolved) {
            match self.resolve(&record, &gangs) {
                Resolution::Adopt(gang) => {
                    let event = self.adopt(record, true, &gangs[&gang]);
                    self.step(myself, vec![event]);
                }
                Resolution::GiveUp => self.give_up(myself, record),
                Resolution::Defer | Resolution::Queue => {
                    self.unresolved.insert(id, record);
                }
            }
        }
    }

    /// Ends a job if it cannot be determined whether it ran.
    pub(super) fn give_up(
        &mut self,
        myself: &ActorRef<Message>,
        record: Record,
    ) {
        let id = record.spec.id.clone();
        self.jobs.insert(Entry::new(record, true, None));
        let outcome = job::Outcome::Unknown;
        let reason = "it cannot be known whether it ran";
        self.finish(myself, &id, outcome, reason.to_owned());
    }
}

/// Returns a record for a job that was found running without one.
fn unrecorded(gang: &Gang) -> Record {
    Record {
        spec: gang.spec.clone(),
        request: String::new(),
        work: Work {
            checkpoint: None,
            ..gang.work.clone()
        },
        mark: None,
        cancelled: false,
        end: None,
    }
}

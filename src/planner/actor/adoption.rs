//! What a planner takes over from the one before it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use ractor::ActorRef;

use crate::job;
use crate::plan::event::Event;
use crate::planner::actor::Message;
use crate::planner::actor::Phase;
use crate::planner::actor::State;
use crate::planner::books::Entry;
use crate::planner::books::Progress;
use crate::planner::books::Start;
use crate::planner::takeover;
use crate::planner::takeover::Records;
use crate::planner::takeover::Standing;
use crate::planner::takeover::Witness;
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
        let all = self.workers.values().all(|heard| heard.ever);
        if !all && Instant::now() < *deadline {
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
        read: Records,
    ) {
        let entries = self.workers.iter().flat_map(|(w, heard)| {
            heard.entries.values().map(move |e| (w, e))
        });
        let gangs = takeover::gangs(entries);
        let mut events = self.presences(Instant::now());
        let mut known: BTreeSet<job::Id> = BTreeSet::new();
        let mut unknown = Vec::new();
        let mut cancelled = Vec::new();
        let open = read.records.into_iter().filter(|r| r.end.is_none());
        for record in open {
            let id = record.spec.id.clone();
            known.insert(id.clone());
            if record.cancelled {
                cancelled.push(Event::Cancelled { job: id.clone() });
            }
            match self.standing(&record, &gangs) {
                Standing::Runs(gang) => {
                    events.push(self.adopt(record, true, &gangs[&gang]));
                }
                Standing::Waits => {
                    let spec = record.spec.clone();
                    self.books.insert(Entry::new(record, true, None));
                    events.push(Event::Submitted { spec });
                }
                Standing::Open => {
                    self.open.insert(id, record);
                }
                Standing::Unknown => unknown.push(record),
            }
        }
        for gang in takeover::unrecorded(&gangs, &known) {
            let record = unrecorded(&gang);
            events.push(self.adopt(record, false, &gangs[&gang.id]));
        }
        let took = self.started.0.elapsed().as_secs_f64();
        metrics::get().takeover_seconds.record(took, &[]);
        slog::info!(self.config.log, "planner: takes over";
            "cell" => &self.config.cell, "epoch" => self.config.epoch,
            "records" => known.len(), "gangs" => gangs.len());
        events.extend(cancelled);
        self.step(myself, events);
        for record in unknown {
            self.give_up(myself, record);
        }
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            let events = self.outcomes(myself, &worker);
            self.step(myself, events);
        }
    }

    pub(super) fn standing(
        &self,
        record: &Record,
        gangs: &BTreeMap<gang::Id, takeover::Found>,
    ) -> Standing {
        takeover::standing(record, gangs, |worker| {
            match self.workers.get(worker) {
                Some(heard) if heard.ever => {
                    Witness::Read(heard.incarnation.clone())
                }
                Some(heard) if heard.listed => Witness::Unread,
                Some(_) | None => Witness::Gone,
            }
        })
    }

    /// Takes a job over that was found running.
    pub(super) fn adopt(
        &mut self,
        record: Record,
        durable: bool,
        found: &takeover::Found,
    ) -> Event {
        let gang = found.gang.clone();
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
            stop: false,
        });
        self.books.insert(entry);
        Event::Adopted {
            spec,
            attempt,
            pieces,
            started: self.now() - found.ago,
        }
    }

    /// Looks again at records whose ledgers had not been read.
    pub(super) fn resolve_open(&mut self, myself: &ActorRef<Message>) {
        if self.open.is_empty() {
            return;
        }
        let entries = self.workers.iter().flat_map(|(w, heard)| {
            heard.entries.values().map(move |e| (w, e))
        });
        let gangs = takeover::gangs(entries);
        for (id, record) in std::mem::take(&mut self.open) {
            match self.standing(&record, &gangs) {
                Standing::Runs(gang) => {
                    let event = self.adopt(record, true, &gangs[&gang]);
                    self.step(myself, vec![event]);
                }
                Standing::Unknown => self.give_up(myself, record),
                Standing::Open | Standing::Waits => {
                    self.open.insert(id, record);
                }
            }
        }
    }

    /// Ends a job of which nobody can say whether it ran.
    pub(super) fn give_up(
        &mut self,
        myself: &ActorRef<Message>,
        record: Record,
    ) {
        let id = record.spec.id.clone();
        self.books.insert(Entry::new(record, true, None));
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

//! Baseline policies without guarantees: `fifo`, `scatter` and `backfill`.
//!
//! Every job may use every healthy accelerator, and no job is stopped for
//! another. Jobs interrupted by a lost or failing worker return to their
//! original position in the queue.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use crate::job;
use crate::job::Outcome;
use crate::plan::command::Command;
use crate::plan::command::Reason;
use crate::plan::event::Event;
use crate::plan::mask;
use crate::replay::Policy;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Site;
use crate::site::Within;
use crate::site::WorkerIndex;

/// The number of failures after which a job ends as failed, so that no
/// baseline retries forever. This is the default of common batch controllers.
const MAX_FAILURES: u32 = 6;

/// The kind of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// First fit in order of arrival. The first job that does not fit blocks
    /// all later ones.
    Fifo,
    /// Least loaded worker first, in order of arrival. Jobs that do not fit
    /// are skipped.
    Scatter,
    /// EASY backfill with declared run times, best fit.
    Backfill,
}

struct Job {
    spec: job::Spec,
    /// The position in the queue, counted over all submissions.
    arrival: u64,
    attempts: job::Attempt,
    failures: u32,
    run: Option<Run>,
    cancelled: bool,
}

struct Run {
    pieces: Vec<Piece>,
    /// The end by the declared run time.
    ends: SystemTime,
    stopping: bool,
}

/// A baseline policy and its state.
pub struct Baseline {
    kind: Kind,
    site: Site,
    /// Whether each worker may be used, by its index.
    available: Vec<bool>,
    /// The accelerators in use of each worker.
    used: Vec<Mask>,
    jobs: BTreeMap<job::Id, Job>,
    queue: BTreeMap<u64, job::Id>,
    arrivals: u64,
}

impl Baseline {
    /// Returns a baseline for a site none of whose workers is available yet.
    pub fn new(kind: Kind, site: Site) -> Baseline {
        let count = site.workers().len();
        Baseline {
            kind,
            site,
            available: vec![false; count],
            used: vec![0; count],
            jobs: BTreeMap::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
        }
    }

    fn free(&self, worker: WorkerIndex) -> Mask {
        match self.available[worker] {
            true => self.site.full_mask() & !self.used[worker],
            false => 0,
        }
    }

    fn handle(
        &mut self,
        event: Event,
        now: SystemTime,
        commands: &mut Vec<Command>,
    ) {
        match event {
            Event::Submitted { spec } => self.apply_submitted(spec, commands),
            Event::Cancelled { job } => self.apply_cancelled(&job, commands),
            Event::WorkerUp { worker } => self.set_available(&worker, true),
            Event::WorkerLeaving { worker } => {
                self.set_available(&worker, false)
            }
            Event::WorkerLost { worker } => {
                self.set_available(&worker, false);
                self.stop_jobs_on(&worker, commands);
            }
            Event::Completed { job, .. } => {
                self.finish(&job, Outcome::Done, "", commands);
            }
            Event::Failed { job, .. } => {
                self.apply_failed(&job, now, commands)
            }
            Event::Stopped { job, .. } => self.apply_stopped(&job, commands),
            _ => {}
        }
    }

    fn apply_submitted(
        &mut self,
        spec: job::Spec,
        commands: &mut Vec<Command>,
    ) {
        let id = spec.id.clone();
        let whole = self.site.full_mask();
        let possible = self.fit(spec.shape, &|_| whole).is_some();
        self.arrivals += 1;
        self.queue.insert(self.arrivals, id.clone());
        self.jobs.insert(
            id.clone(),
            Job {
                spec,
                arrival: self.arrivals,
                attempts: 0,
                failures: 0,
                run: None,
                cancelled: false,
            },
        );
        if !possible {
            let reason = "no part of the site holds it";
            self.finish(&id, Outcome::NotRun, reason, commands);
        }
    }

    fn apply_cancelled(&mut self, id: &job::Id, commands: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        match job.run {
            None => self.finish(id, Outcome::Cancelled, "", commands),
            Some(_) => self.stop(id, Reason::Cancel, commands),
        }
    }

    fn stop(
        &mut self,
        id: &job::Id,
        reason: Reason,
        commands: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = job.attempts;
        if let Some(run) = job.run.as_mut().filter(|run| !run.stopping) {
            run.stopping = true;
            commands.push(Command::Stop {
                job: id.clone(),
                attempt,
                reason,
            });
        }
    }

    fn set_available(&mut self, worker: &str, up: bool) {
        if let Some(index) = self.site.index(worker) {
            self.available[index] = up;
        }
    }

    /// Orders a stop of every job that uses a lost worker.
    fn stop_jobs_on(&mut self, worker: &str, commands: &mut Vec<Command>) {
        let Some(index) = self.site.index(worker) else {
            return;
        };
        let uses_worker = |job: &Job| {
            let pieces = job.run.iter().flat_map(|run| &run.pieces);
            pieces.into_iter().any(|piece| piece.worker == index)
        };
        let ids: Vec<job::Id> = self
            .jobs
            .iter()
            .filter(|(_, job)| uses_worker(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.stop(&id, Reason::Broken, commands);
        }
    }

    fn apply_failed(
        &mut self,
        id: &job::Id,
        _now: SystemTime,
        commands: &mut Vec<Command>,
    ) {
        self.release(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures += 1;
        match job.spec.repeatable && job.failures < MAX_FAILURES {
            true => self.requeue(id),
            false => self.finish(id, Outcome::Failed, "task failed", commands),
        }
    }

    fn apply_stopped(&mut self, id: &job::Id, commands: &mut Vec<Command>) {
        self.release(id);
        match self.jobs.get(id) {
            Some(job) if job.cancelled => {
                self.finish(id, Outcome::Cancelled, "", commands);
            }
            Some(job) if !job.spec.repeatable => {
                self.finish(id, Outcome::Failed, "worker lost", commands);
            }
            _ => self.requeue(id),
        }
    }

    fn requeue(&mut self, id: &job::Id) {
        if let Some(job) = self.jobs.get(id) {
            self.queue.insert(job.arrival, id.clone());
        }
    }

    fn release(&mut self, id: &job::Id) {
        let run = self.jobs.get_mut(id).and_then(|job| job.run.take());
        for piece in run.iter().flat_map(|run| &run.pieces) {
            self.used[piece.worker] &= !piece.mask;
        }
    }

    fn finish(
        &mut self,
        id: &job::Id,
        outcome: Outcome,
        reason: &str,
        commands: &mut Vec<Command>,
    ) {
        self.release(id);
        if let Some(job) = self.jobs.remove(id) {
            self.queue.remove(&job.arrival);
            commands.push(Command::Finish {
                job: id.clone(),
                outcome,
                reason: reason.to_owned(),
            });
        }
    }

    fn start(
        &mut self,
        id: &job::Id,
        pieces: Vec<Piece>,
        now: SystemTime,
        commands: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for piece in &pieces {
            self.used[piece.worker] |= piece.mask;
        }
        self.queue.remove(&job.arrival);
        job.attempts += 1;
        job.run = Some(Run {
            pieces: pieces.clone(),
            ends: now + job.spec.declared,
            stopping: false,
        });
        commands.push(Command::Start {
            job: id.clone(),
            attempt: job.attempts,
            pieces,
        });
    }

    /// Starts queued jobs that fit, in the order and with the reservation of
    /// the kind of baseline.
    fn schedule(&mut self, now: SystemTime, commands: &mut Vec<Command>) {
        let mut reserved: Option<(SystemTime, Vec<Piece>)> = None;
        // A shape that fits nowhere does not fit for later jobs either.
        let mut unplaceable: Vec<Shape> = Vec::new();
        for id in self.queue.values().cloned().collect::<Vec<_>>() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let shape = job.spec.shape;
            if unplaceable.contains(&shape) {
                continue;
            }
            let ends = now + job.spec.declared;
            let open = |w: WorkerIndex| match &reserved {
                Some((start, pieces)) if ends > *start => {
                    let kept = crate::plan::home::mask_on(pieces, w);
                    self.free(w) & !kept
                }
                _ => self.free(w),
            };
            match self.fit(shape, &open) {
                Some(pieces) => self.start(&id, pieces, now, commands),
                None if self.kind == Kind::Fifo => break,
                None if self.kind == Kind::Backfill && reserved.is_none() => {
                    reserved = self.reservation(shape, now);
                }
                None if self.kind == Kind::Scatter => unplaceable.push(shape),
                None => {}
            }
        }
    }

    /// Returns the earliest time and place at which `shape` fits if all
    /// running jobs end at their declared times.
    fn reservation(
        &self,
        shape: Shape,
        now: SystemTime,
    ) -> Option<(SystemTime, Vec<Piece>)> {
        let mut frees: Vec<Mask> =
            (0..self.available.len()).map(|w| self.free(w)).collect();
        let mut runs: Vec<&Run> =
            self.jobs.values().filter_map(|j| j.run.as_ref()).collect();
        runs.sort_by_key(|run| run.ends);
        for run in runs {
            for piece in run.pieces.iter().filter(|p| self.available[p.worker])
            {
                frees[piece.worker] |= piece.mask;
            }
            if let Some(pieces) = self.fit(shape, &|w| frees[w]) {
                return Some((run.ends.max(now), pieces));
            }
        }
        None
    }

    /// Returns where a shape fits on the accelerators that `open` allows of
    /// each worker: on one worker if possible, otherwise as the shape
    /// requires.
    fn fit(
        &self,
        shape: Shape,
        open: &dyn Fn(WorkerIndex) -> Mask,
    ) -> Option<Vec<Piece>> {
        let whole = self.site.accelerators();
        let single = match shape.accelerators <= whole {
            true => self.fit_within(shape, Within::Worker, open),
            false => None,
        };
        match shape.within {
            Within::Worker => single,
            _ if single.is_some() => single,
            within => self.fit_within(shape, within, open),
        }
    }

    /// Returns where a shape fits within one part of the site of the kind
    /// `within`, chosen as the kind of baseline prefers.
    fn fit_within(
        &self,
        shape: Shape,
        within: Within,
        open: &dyn Fn(WorkerIndex) -> Mask,
    ) -> Option<Vec<Piece>> {
        let room = |domain: &[WorkerIndex]| -> u32 {
            domain.iter().map(|&w| open(w).count_ones()).sum()
        };
        let mut domains = self
            .site
            .domains(within)
            .map(|domain| (room(domain), domain))
            .filter(|(room, _)| *room >= shape.accelerators);
        let (_, domain) = match self.kind {
            Kind::Fifo => domains.next(),
            Kind::Scatter => {
                domains.min_by_key(|(room, _)| std::cmp::Reverse(*room))
            }
            Kind::Backfill => domains.min_by_key(|(room, _)| *room),
        }?;
        let mut workers: Vec<(u32, WorkerIndex)> = domain
            .iter()
            .map(|&w| (open(w).count_ones(), w))
            .filter(|(room, _)| *room > 0)
            .collect();
        match self.kind {
            Kind::Fifo => {}
            Kind::Scatter => {
                workers.sort_by_key(|&(room, w)| (std::cmp::Reverse(room), w))
            }
            Kind::Backfill => workers.sort(),
        }
        let mut needed = shape.accelerators;
        let mut pieces = Vec::new();
        for (room, worker) in workers {
            let mask = mask::choose(open(worker), room.min(needed))?;
            pieces.push(Piece { worker, mask });
            needed -= mask.count_ones();
            if needed == 0 {
                return Some(pieces);
            }
        }
        None
    }
}

impl Policy for Baseline {
    fn step(&mut self, events: Vec<Event>, now: SystemTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for event in events {
            self.handle(event, now, &mut commands);
        }
        self.schedule(now, &mut commands);
        commands
    }

    fn next_deadline(&self, now: SystemTime) -> Option<SystemTime> {
        // A declared end may pass without an event, which allows more
        // backfilling. EASY therefore decides again at intervals.
        let needs_tick = self.kind == Kind::Backfill && !self.queue.is_empty();
        needs_tick.then_some(now + Duration::from_secs(60))
    }
}

//! Baselines that know nothing of guarantees: `fifo`, `scatter`, `backfill`.
//!
//! Every healthy accelerator is open to every job, and nothing is
//! reclaimed. What a lost or failing worker breaks is queued again at its
//! place of arrival.

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

/// How often a job may fail before it ends so: the default of batch
/// controllers in common use, so that no baseline retries without end.
const MAX_FAILURES: u32 = 6;

/// Which baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// First fit in arrival order; the head of the line waits.
    Fifo,
    /// Least loaded worker first, in arrival order, skipping what does not
    /// fit.
    Scatter,
    /// EASY backfill by declared run times, best fit.
    Backfill,
}

struct Job {
    spec: job::Spec,
    arrival: u64,
    attempts: job::Attempt,
    failures: u32,
    run: Option<Run>,
    cancelled: bool,
}

struct Run {
    pieces: Vec<Piece>,
    ends: SystemTime,
    stopping: bool,
}

/// A baseline and its books.
pub struct Baseline {
    kind: Kind,
    site: Site,
    up: Vec<bool>,
    used: Vec<Mask>,
    jobs: BTreeMap<job::Id, Job>,
    queue: BTreeMap<u64, job::Id>,
    arrivals: u64,
}

impl Baseline {
    /// Returns a baseline for a site on which no worker has been seen yet.
    pub fn new(kind: Kind, site: Site) -> Baseline {
        let count = site.workers().len();
        Baseline {
            kind,
            site,
            up: vec![false; count],
            used: vec![0; count],
            jobs: BTreeMap::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
        }
    }

    fn free(&self, worker: WorkerIndex) -> Mask {
        match self.up[worker] {
            true => self.site.full_mask() & !self.used[worker],
            false => 0,
        }
    }

    fn take(&mut self, event: Event, now: SystemTime, out: &mut Vec<Command>) {
        match event {
            Event::Submitted { spec } => self.submitted(spec, out),
            Event::Cancelled { job } => self.cancelled(&job, out),
            Event::WorkerUp { worker } => self.set_up(&worker, true),
            Event::WorkerLeaving { worker } => self.set_up(&worker, false),
            Event::WorkerLost { worker } => {
                self.set_up(&worker, false);
                self.break_jobs(&worker, out);
            }
            Event::Completed { job, .. } => {
                self.finish(&job, Outcome::Done, "", out);
            }
            Event::Failed { job, .. } => self.failed(&job, now, out),
            Event::Stopped { job, .. } => self.stopped(&job, out),
            _ => {}
        }
    }

    fn submitted(&mut self, spec: job::Spec, out: &mut Vec<Command>) {
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
            self.finish(&id, Outcome::NotRun, reason, out);
        }
    }

    fn cancelled(&mut self, id: &job::Id, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        match job.run {
            None => self.finish(id, Outcome::Cancelled, "", out),
            Some(_) => self.stop(id, Reason::Cancel, out),
        }
    }

    fn stop(&mut self, id: &job::Id, reason: Reason, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = job.attempts;
        if let Some(run) = job.run.as_mut().filter(|run| !run.stopping) {
            run.stopping = true;
            out.push(Command::Stop {
                job: id.clone(),
                attempt,
                reason,
            });
        }
    }

    fn set_up(&mut self, worker: &str, up: bool) {
        if let Some(index) = self.site.index(worker) {
            self.up[index] = up;
        }
    }

    fn break_jobs(&mut self, worker: &str, out: &mut Vec<Command>) {
        let Some(index) = self.site.index(worker) else {
            return;
        };
        let on_it = |job: &Job| {
            let pieces = job.run.iter().flat_map(|run| &run.pieces);
            pieces.into_iter().any(|piece| piece.worker == index)
        };
        let ids: Vec<job::Id> = self
            .jobs
            .iter()
            .filter(|(_, job)| on_it(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.stop(&id, Reason::Broken, out);
        }
    }

    fn failed(
        &mut self,
        id: &job::Id,
        _now: SystemTime,
        out: &mut Vec<Command>,
    ) {
        self.release(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures += 1;
        match job.spec.repeatable && job.failures < MAX_FAILURES {
            true => self.requeue(id),
            false => self.finish(id, Outcome::Failed, "task failed", out),
        }
    }

    fn stopped(&mut self, id: &job::Id, out: &mut Vec<Command>) {
        self.release(id);
        match self.jobs.get(id) {
            Some(job) if job.cancelled => {
                self.finish(id, Outcome::Cancelled, "", out);
            }
            Some(job) if !job.spec.repeatable => {
                self.finish(id, Outcome::Failed, "worker lost", out);
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
        out: &mut Vec<Command>,
    ) {
        self.release(id);
        if let Some(job) = self.jobs.remove(id) {
            self.queue.remove(&job.arrival);
            out.push(Command::Finish {
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
        out: &mut Vec<Command>,
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
        out.push(Command::Start {
            job: id.clone(),
            attempt: job.attempts,
            pieces,
        });
    }

    fn schedule(&mut self, now: SystemTime, out: &mut Vec<Command>) {
        let mut reserved: Option<(SystemTime, Vec<Piece>)> = None;
        // A shape that fits nowhere fits nowhere for later jobs either.
        let mut hopeless: Vec<Shape> = Vec::new();
        for id in self.queue.values().cloned().collect::<Vec<_>>() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let shape = job.spec.shape;
            if hopeless.contains(&shape) {
                continue;
            }
            let ends = now + job.spec.declared;
            let open = |w: WorkerIndex| match &reserved {
                Some((shadow, pieces)) if ends > *shadow => {
                    let kept = crate::plan::home::mask_on(pieces, w);
                    self.free(w) & !kept
                }
                _ => self.free(w),
            };
            match self.fit(shape, &open) {
                Some(pieces) => self.start(&id, pieces, now, out),
                None if self.kind == Kind::Fifo => break,
                None if self.kind == Kind::Backfill && reserved.is_none() => {
                    reserved = self.shadow(shape, now);
                }
                None if self.kind == Kind::Scatter => hopeless.push(shape),
                None => {}
            }
        }
    }

    /// Returns when and where the head of the line will fit, if all jobs
    /// end as they declared.
    fn shadow(
        &self,
        shape: Shape,
        now: SystemTime,
    ) -> Option<(SystemTime, Vec<Piece>)> {
        let mut frees: Vec<Mask> =
            (0..self.up.len()).map(|w| self.free(w)).collect();
        let mut runs: Vec<&Run> =
            self.jobs.values().filter_map(|j| j.run.as_ref()).collect();
        runs.sort_by_key(|run| run.ends);
        for run in runs {
            for piece in run.pieces.iter().filter(|p| self.up[p.worker]) {
                frees[piece.worker] |= piece.mask;
            }
            if let Some(pieces) = self.fit(shape, &|w| frees[w]) {
                return Some((run.ends.max(now), pieces));
            }
        }
        None
    }

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
            let mask = mask::take(open(worker), room.min(needed))?;
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
        let mut out = Vec::new();
        for event in events {
            self.take(event, now, &mut out);
        }
        self.schedule(now, &mut out);
        out
    }

    fn next_deadline(&self, now: SystemTime) -> Option<SystemTime> {
        // Declared ends pass without an event; EASY looks at them again.
        let waits = self.kind == Kind::Backfill && !self.queue.is_empty();
        waits.then_some(now + Duration::from_secs(60))
    }
}

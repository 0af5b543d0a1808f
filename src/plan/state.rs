//! The books of the decision core: who runs where, and who is owed what.
//!
//! The functions here keep the books consistent and decide nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::account::Account;
use crate::job;
use crate::plan::command::Reason;
use crate::plan::health::Health;
use crate::plan::home::mask_on;
use crate::plan::home::Home;
use crate::plan::home::HomeIndex;
use crate::plan::predict::History;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Site;
use crate::site::WorkerIndex;

/// The least time that a run is taken to need still.
const LEAST_LEFT: Duration = Duration::from_secs(1);

/// Whether a worker can be given work, as far as its presence goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It can.
    Up,
    /// It cannot be reached, and what it does is not known.
    Silent,
    /// It goes; what runs there goes on.
    Leaving,
    /// It is gone with all that ran there.
    Lost,
}

/// A worker's accelerators and who has them.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Whether it is there.
    pub presence: Presence,
    /// Whether it does what it is told.
    pub health: Health,
    /// Accelerators that a job occupies.
    pub used: Mask,
    /// Accelerators kept for a job that waits for their release.
    pub booked: Mask,
    /// Accelerators in any home block.
    pub home: Mask,
    /// Accelerators that jobs have or will have that cannot be stopped.
    pub stuck: Mask,
    /// The jobs that occupy accelerators here.
    pub jobs: Vec<job::Id>,
}

impl Worker {
    fn new() -> Worker {
        Worker {
            presence: Presence::Silent,
            health: Health::default(),
            used: 0,
            booked: 0,
            home: 0,
            stuck: 0,
            jobs: Vec::new(),
        }
    }

    /// Returns whether the worker takes new work.
    pub fn is_open(&self) -> bool {
        self.presence == Presence::Up && self.health.is_good()
    }
}

/// A stretch of running on given accelerators.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The number of the start.
    pub attempt: job::Attempt,
    /// The accelerators.
    pub pieces: Vec<Piece>,
    /// The owner's home block that it counts against, if any.
    pub home: Option<HomeIndex>,
    /// When it started.
    pub started: SystemTime,
}

/// Accelerators kept for a job until their present users have stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Booking {
    /// The accelerators.
    pub pieces: Vec<Piece>,
    /// The owner's home block that it counts against, if any.
    pub home: Option<HomeIndex>,
    /// The jobs that have yet to stop.
    pub pending: BTreeSet<job::Id>,
}

/// Where a job is in its life.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// It waits for accelerators.
    Waiting,
    /// It runs, or has been told to start.
    Running(Run),
    /// It has been told to stop and still has its accelerators.
    Stopping(Run, Reason),
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was asked for.
    pub spec: job::Spec,
    /// Where it is in its life.
    pub phase: Phase,
    /// Accelerators kept for it.
    pub booking: Option<Booking>,
    /// How often it was started.
    pub attempts: job::Attempt,
    /// How much of the run its checkpoints keep.
    pub kept: Duration,
    /// Workers on which it failed.
    pub failures: Vec<WorkerIndex>,
    /// It is not placed before this deadline.
    pub not_before: SystemTime,
    /// Since when it has been waiting.
    pub waiting_since: SystemTime,
}

impl Job {
    /// Returns a job that waits.
    pub fn new(spec: job::Spec) -> Job {
        Job {
            phase: Phase::Waiting,
            booking: None,
            attempts: 0,
            kept: Duration::ZERO,
            failures: Vec::new(),
            not_before: spec.submitted,
            waiting_since: spec.submitted,
            spec,
        }
    }

    /// Returns the accelerators that the job occupies.
    pub fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Waiting => None,
            Phase::Running(run) | Phase::Stopping(run, _) => Some(run),
        }
    }

    /// Returns the accelerators that the job occupies, to be changed.
    pub fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.phase {
            Phase::Waiting => None,
            Phase::Running(run) | Phase::Stopping(run, _) => Some(run),
        }
    }

    /// Returns whether the job can be told to stop for somebody else.
    pub fn is_reclaimable(&self) -> bool {
        self.spec.is_reclaimable() && matches!(self.phase, Phase::Running(_))
    }
}

/// A client account and what it uses.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its guarantee and borrowing limit.
    pub terms: Account,
    /// Accelerators that it uses outside its home blocks.
    pub borrowed: u32,
}

/// All books of one planner.
#[derive(Clone, Debug)]
pub struct State {
    /// The site.
    pub site: Site,
    /// The workers, by their position on the site.
    pub workers: Vec<Worker>,
    /// The client accounts.
    pub tenants: BTreeMap<account::Id, Tenant>,
    /// The jobs that count towards home blocks, by account.
    pub guaranteed: BTreeMap<account::Id, BTreeSet<job::Id>>,
    /// The home blocks.
    pub homes: Vec<Home>,
    /// Whether home blocks have to be looked at again.
    pub homes_dirty: bool,
    /// Accelerators that no guarantee needs, on the whole site in health.
    pub open_nominal: Vec<Mask>,
    /// The jobs that have not ended.
    pub jobs: BTreeMap<job::Id, Job>,
    /// The jobs that wait without a booking.
    pub waiting: BTreeSet<job::Id>,
    /// The jobs that have a booking.
    pub booked: BTreeSet<job::Id>,
    /// What templates' jobs have needed.
    pub history: History,
}

impl State {
    /// Returns the books of a site on which no worker has been seen yet.
    pub fn new(site: Site) -> State {
        let mut state = State {
            workers: Vec::new(),
            tenants: BTreeMap::new(),
            guaranteed: BTreeMap::new(),
            homes: Vec::new(),
            homes_dirty: true,
            open_nominal: Vec::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            booked: BTreeSet::new(),
            history: History::default(),
            site,
        };
        state.grow();
        state
    }

    /// Keeps books of workers that have joined the site.
    pub fn grow(&mut self) {
        let whole = self.site.full_mask();
        self.workers
            .resize_with(self.site.workers().len(), Worker::new);
        self.open_nominal.resize(self.workers.len(), whole);
    }

    /// Returns the free accelerators of a worker that takes new work.
    pub fn free(&self, worker: WorkerIndex) -> Mask {
        let books = &self.workers[worker];
        match books.is_open() {
            true => self.vacant(worker),
            false => 0,
        }
    }

    /// Returns the accelerators of a worker that nobody has, whether it
    /// takes new work or not.
    pub fn vacant(&self, worker: WorkerIndex) -> Mask {
        let books = &self.workers[worker];
        self.site.full_mask() & !books.used & !books.booked
    }

    /// Returns the free accelerators that are in no home block.
    pub fn free_open(&self, worker: WorkerIndex) -> Mask {
        self.free(worker) & !self.workers[worker].home
    }

    /// Returns how long a job will still run, as far as anyone knows.
    pub fn time_left(&self, job: &Job, now: SystemTime) -> Duration {
        let predicted = self.history.predict(&job.spec);
        let ran = job.kept + ran(job, now);
        match predicted > ran {
            true => (predicted - ran).max(LEAST_LEFT),
            // What has outlived its prediction has a long tail before it.
            false => (ran / 2).max(LEAST_LEFT),
        }
    }

    /// Lets a job occupy accelerators.
    pub fn occupy(&mut self, id: &job::Id, run: Run) {
        let stuck = self.is_stuck(id);
        for piece in &run.pieces {
            let worker = &mut self.workers[piece.worker];
            worker.used |= piece.mask;
            worker.stuck |= if stuck { piece.mask } else { 0 };
            worker.jobs.push(id.clone());
        }
        self.charge(id, run.home, &run.pieces);
        self.waiting.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.attempts = job.attempts.max(run.attempt);
            job.phase = Phase::Running(run);
        }
    }

    /// Takes a job's accelerators back; the job waits again.
    pub fn release(&mut self, id: &job::Id, now: SystemTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let phase = std::mem::replace(&mut job.phase, Phase::Waiting);
        job.waiting_since = now;
        let booked = job.booking.is_some();
        let (Phase::Running(run) | Phase::Stopping(run, _)) = phase else {
            return;
        };
        for piece in &run.pieces {
            let worker = &mut self.workers[piece.worker];
            worker.used &= !piece.mask;
            worker.jobs.retain(|other| other != id);
        }
        self.settle_stuck(&run.pieces);
        self.discharge(id, run.home, &run.pieces);
        if !booked {
            self.waiting.insert(id.clone());
        }
    }

    /// Keeps accelerators for a job until `pending` jobs have stopped.
    pub fn book(&mut self, id: &job::Id, booking: Booking) {
        let stuck = self.is_stuck(id);
        for piece in &booking.pieces {
            let worker = &mut self.workers[piece.worker];
            worker.booked |= piece.mask;
            worker.stuck |= if stuck { piece.mask } else { 0 };
        }
        self.charge(id, booking.home, &booking.pieces);
        self.waiting.remove(id);
        self.booked.insert(id.clone());
        if let Some(job) = self.jobs.get_mut(id) {
            job.booking = Some(booking);
        }
    }

    /// Gives a booking up and returns it.
    pub fn unbook(&mut self, id: &job::Id) -> Option<Booking> {
        let job = self.jobs.get_mut(id)?;
        let booking = job.booking.take()?;
        let waits = matches!(job.phase, Phase::Waiting);
        for piece in &booking.pieces {
            self.workers[piece.worker].booked &= !piece.mask;
        }
        self.settle_stuck(&booking.pieces);
        self.discharge(id, booking.home, &booking.pieces);
        self.booked.remove(id);
        if waits {
            self.waiting.insert(id.clone());
        }
        Some(booking)
    }

    /// Forgets a job that has ended.
    pub fn remove(&mut self, id: &job::Id, now: SystemTime) -> Option<Job> {
        self.unbook(id);
        self.release(id, now);
        self.waiting.remove(id);
        self.jobs.remove(id)
    }

    /// Counts a running borrower towards its owner's home block.
    pub fn adopt_home(&mut self, id: &job::Id, home: Option<HomeIndex>) {
        let Some(run) = self.jobs.get(id).and_then(Job::run).cloned() else {
            return;
        };
        self.discharge(id, run.home, &run.pieces);
        self.charge(id, home, &run.pieces);
        if let Some(run) = self.jobs.get_mut(id).and_then(Job::run_mut) {
            run.home = home;
        }
    }

    /// Works out anew what cannot be stopped on the workers of `pieces`:
    /// a job that ends and one that is booked there may both have been.
    fn settle_stuck(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            let worker = piece.worker;
            let runs = self.workers[worker]
                .jobs
                .iter()
                .filter(|id| self.is_stuck(id))
                .filter_map(|id| self.jobs.get(id)?.run())
                .map(|run| &run.pieces);
            let bookings = self
                .booked
                .iter()
                .filter(|id| self.is_stuck(id))
                .filter_map(|id| self.jobs.get(id)?.booking.as_ref())
                .map(|booking| &booking.pieces);
            let stuck = runs
                .chain(bookings)
                .fold(0, |stuck, pieces| stuck | mask_on(pieces, worker));
            self.workers[worker].stuck = stuck;
        }
    }

    fn is_stuck(&self, id: &job::Id) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| !job.spec.is_reclaimable())
    }

    fn charge(
        &mut self,
        id: &job::Id,
        home: Option<HomeIndex>,
        pieces: &[Piece],
    ) {
        match home {
            Some(home) => {
                self.homes[home].charge(pieces);
                let account = self.account_of(id);
                let counted = self.guaranteed.entry(account).or_default();
                counted.insert(id.clone());
            }
            None => self.tenant_of(id).borrowed += count(pieces),
        }
    }

    fn discharge(
        &mut self,
        id: &job::Id,
        home: Option<HomeIndex>,
        pieces: &[Piece],
    ) {
        match home {
            Some(home) => {
                self.homes[home].discharge(pieces);
                let account = self.account_of(id);
                if let Some(counted) = self.guaranteed.get_mut(&account) {
                    counted.remove(id);
                }
            }
            None => {
                let tenant = self.tenant_of(id);
                tenant.borrowed =
                    tenant.borrowed.saturating_sub(count(pieces));
            }
        }
    }

    fn tenant_of(&mut self, id: &job::Id) -> &mut Tenant {
        let account = self.account_of(id);
        self.tenants.entry(account).or_default()
    }

    fn account_of(&self, id: &job::Id) -> account::Id {
        let job = self.jobs.get(id);
        job.map(|job| job.spec.account.clone())
            .unwrap_or_else(|| "".into())
    }
}

/// Returns how many accelerators `pieces` have together.
pub fn count(pieces: &[Piece]) -> u32 {
    pieces.iter().map(Piece::len).sum()
}

/// Returns how long a job has been running in its present run.
pub fn ran(job: &Job, now: SystemTime) -> Duration {
    job.run()
        .and_then(|run| now.duration_since(run.started).ok())
        .unwrap_or_default()
}

//! The state of the decision core: which jobs run where, and what each account
//! is owed.
//!
//! The functions here keep the state consistent and decide nothing.

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

/// The shortest predicted time until a run ends.
const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// Whether a worker's agent and VM allow new work. The variant's name is
/// logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The worker can be given work.
    Up,
    /// The worker is unreachable, and its state is not known.
    Silent,
    /// The worker is leaving; its jobs run on.
    Leaving,
    /// The worker is gone with all that ran on it.
    Lost,
}

/// A worker's accelerators and their users.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Whether the worker is reachable.
    pub presence: Presence,
    /// Whether jobs run well on the worker.
    pub health: Health,
    /// Accelerators that a job occupies.
    pub used: Mask,
    /// Accelerators booked for a job that waits for their release.
    pub booked: Mask,
    /// Accelerators in any home block.
    pub home: Mask,
    /// Accelerators occupied by or booked for jobs that cannot be stopped.
    pub unstoppable: Mask,
    /// The jobs that occupy accelerators of the worker.
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
            unstoppable: 0,
            jobs: Vec::new(),
        }
    }

    /// Returns whether the worker takes new work.
    pub fn is_open(&self) -> bool {
        self.presence == Presence::Up && self.health.is_in_service()
    }
}

/// One run of a job on given accelerators.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The number of the start.
    pub attempt: job::Attempt,
    /// The accelerators that the run occupies.
    pub pieces: Vec<Piece>,
    /// The home block of the job's account that the run is charged to; `None`
    /// for a borrower.
    pub home: Option<HomeIndex>,
    /// When the run started.
    pub started: SystemTime,
}

/// Accelerators booked for a job until their present users have stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Booking {
    /// The accelerators to run on.
    pub pieces: Vec<Piece>,
    /// The home block of the job's account that the booking is charged to;
    /// `None` for a borrower.
    pub home: Option<HomeIndex>,
    /// The jobs that have yet to stop.
    pub pending: BTreeSet<job::Id>,
}

/// The state of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// The job waits for accelerators.
    Waiting,
    /// The job runs, or its start is in progress.
    Running(Run),
    /// The job is stopping and still occupies its accelerators.
    Stopping(Run, Reason),
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub spec: job::Spec,
    /// The state of the job.
    pub phase: Phase,
    /// Accelerators booked for the job.
    pub booking: Option<Booking>,
    /// The number of the job's last start, 0 before the first.
    pub attempts: job::Attempt,
    /// How much of the run the job's checkpoints keep.
    pub checkpointed: Duration,
    /// Workers on which the job failed.
    pub failures: Vec<WorkerIndex>,
    /// The job is not placed before this time.
    pub not_before: SystemTime,
    /// Since when the job has been waiting.
    pub waiting_since: SystemTime,
}

impl Job {
    /// Returns a waiting job.
    pub fn new(spec: job::Spec) -> Job {
        Job {
            phase: Phase::Waiting,
            booking: None,
            attempts: 0,
            checkpointed: Duration::ZERO,
            failures: Vec::new(),
            not_before: spec.submitted,
            waiting_since: spec.submitted,
            spec,
        }
    }

    /// Returns the job's present run, if it runs or is stopping.
    pub fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Waiting => None,
            Phase::Running(run) | Phase::Stopping(run, _) => Some(run),
        }
    }

    /// Returns the job's present run for changes.
    pub fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.phase {
            Phase::Waiting => None,
            Phase::Running(run) | Phase::Stopping(run, _) => Some(run),
        }
    }

    /// Returns whether the job runs and may be stopped for another.
    pub fn is_reclaimable(&self) -> bool {
        self.spec.is_reclaimable() && matches!(self.phase, Phase::Running(_))
    }
}

/// A client account and its use of accelerators.
#[derive(Clone, Debug, Default)]
pub struct AccountState {
    /// The account's guarantee and borrowing limit.
    pub terms: Account,
    /// Accelerators that the account uses outside its home blocks.
    pub borrowed: u32,
}

/// The state of one planner's site.
#[derive(Clone, Debug)]
pub struct State {
    /// The site.
    pub site: Site,
    /// The workers, by their position on the site.
    pub workers: Vec<Worker>,
    /// The client accounts.
    pub accounts: BTreeMap<account::Id, AccountState>,
    /// The jobs that are charged to home blocks, by account.
    pub guaranteed: BTreeMap<account::Id, BTreeSet<job::Id>>,
    /// The home blocks.
    pub homes: Vec<Home>,
    /// Whether home blocks have to be placed again.
    pub homes_dirty: bool,
    /// Accelerators that no guarantee needs on a site in full health, by
    /// worker.
    pub nominal_unguaranteed: Vec<Mask>,
    /// The jobs that have not ended.
    pub jobs: BTreeMap<job::Id, Job>,
    /// The jobs that wait without a booking.
    pub waiting: BTreeSet<job::Id>,
    /// The jobs that have a booking.
    pub booked: BTreeSet<job::Id>,
    /// The run times of all templates' jobs.
    pub history: History,
}

impl State {
    /// Returns the state of a site whose workers are all unreachable so far.
    pub fn new(site: Site) -> State {
        let mut state = State {
            workers: Vec::new(),
            accounts: BTreeMap::new(),
            guaranteed: BTreeMap::new(),
            homes: Vec::new(),
            homes_dirty: true,
            nominal_unguaranteed: Vec::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            booked: BTreeSet::new(),
            history: History::default(),
            site,
        };
        state.add_missing_workers();
        state
    }

    /// Adds the workers that have joined the site.
    pub fn add_missing_workers(&mut self) {
        let whole = self.site.full_mask();
        self.workers
            .resize_with(self.site.workers().len(), Worker::new);
        self.nominal_unguaranteed.resize(self.workers.len(), whole);
    }

    /// Returns the free accelerators of a worker, none if it takes no new
    /// work.
    pub fn free(&self, index: WorkerIndex) -> Mask {
        let worker = &self.workers[index];
        match worker.is_open() {
            true => self.vacant(index),
            false => 0,
        }
    }

    /// Returns the accelerators of a worker that are neither occupied nor
    /// booked, whether it takes new work or not.
    pub fn vacant(&self, index: WorkerIndex) -> Mask {
        let worker = &self.workers[index];
        self.site.full_mask() & !worker.used & !worker.booked
    }

    /// Returns the free accelerators of a worker that are in no home block.
    pub fn free_open(&self, worker: WorkerIndex) -> Mask {
        self.free(worker) & !self.workers[worker].home
    }

    /// Returns the predicted time until a job ends.
    pub fn time_left(&self, job: &Job, now: SystemTime) -> Duration {
        let predicted = self.history.predict(&job.spec);
        let elapsed = job.checkpointed + run_time(job, now);
        match predicted > elapsed {
            true => (predicted - elapsed).max(MIN_TIME_LEFT),
            // Run times have a long tail: a run that exceeds its prediction is
            // predicted to need half of its time so far again.
            false => (elapsed / 2).max(MIN_TIME_LEFT),
        }
    }

    /// Starts a run of a job on the run's accelerators.
    pub fn occupy(&mut self, id: &job::Id, run: Run) {
        let unstoppable = self.is_unstoppable(id);
        for piece in &run.pieces {
            let worker = &mut self.workers[piece.worker];
            worker.used |= piece.mask;
            worker.unstoppable |= if unstoppable { piece.mask } else { 0 };
            worker.jobs.push(id.clone());
        }
        self.charge(id, run.home, &run.pieces);
        self.waiting.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.attempts = job.attempts.max(run.attempt);
            job.phase = Phase::Running(run);
        }
    }

    /// Ends a job's run and releases its accelerators; the job waits again.
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
        self.refresh_unstoppable(&run.pieces);
        self.discharge(id, run.home, &run.pieces);
        if !booked {
            self.waiting.insert(id.clone());
        }
    }

    /// Books accelerators for a job until the pending jobs have stopped.
    pub fn book(&mut self, id: &job::Id, booking: Booking) {
        let unstoppable = self.is_unstoppable(id);
        for piece in &booking.pieces {
            let worker = &mut self.workers[piece.worker];
            worker.booked |= piece.mask;
            worker.unstoppable |= if unstoppable { piece.mask } else { 0 };
        }
        self.charge(id, booking.home, &booking.pieces);
        self.waiting.remove(id);
        self.booked.insert(id.clone());
        if let Some(job) = self.jobs.get_mut(id) {
            job.booking = Some(booking);
        }
    }

    /// Cancels a job's booking and returns it.
    pub fn unbook(&mut self, id: &job::Id) -> Option<Booking> {
        let job = self.jobs.get_mut(id)?;
        let booking = job.booking.take()?;
        let is_waiting = matches!(job.phase, Phase::Waiting);
        for piece in &booking.pieces {
            self.workers[piece.worker].booked &= !piece.mask;
        }
        self.refresh_unstoppable(&booking.pieces);
        self.discharge(id, booking.home, &booking.pieces);
        self.booked.remove(id);
        if is_waiting {
            self.waiting.insert(id.clone());
        }
        Some(booking)
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, id: &job::Id, now: SystemTime) -> Option<Job> {
        self.unbook(id);
        self.release(id, now);
        self.waiting.remove(id);
        self.jobs.remove(id)
    }

    /// Charges a job's present run to `home`, or makes the job a borrower.
    pub fn set_home(&mut self, id: &job::Id, home: Option<HomeIndex>) {
        let Some(run) = self.jobs.get(id).and_then(Job::run).cloned() else {
            return;
        };
        self.discharge(id, run.home, &run.pieces);
        self.charge(id, home, &run.pieces);
        if let Some(run) = self.jobs.get_mut(id).and_then(Job::run_mut) {
            run.home = home;
        }
    }

    /// Recomputes the unstoppable accelerators on the workers of `pieces`: one
    /// job's run and another's booking may overlap there, so neither can be
    /// subtracted alone.
    fn refresh_unstoppable(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            let worker = piece.worker;
            let runs = self.workers[worker]
                .jobs
                .iter()
                .filter(|id| self.is_unstoppable(id))
                .filter_map(|id| self.jobs.get(id)?.run())
                .map(|run| &run.pieces);
            let bookings = self
                .booked
                .iter()
                .filter(|id| self.is_unstoppable(id))
                .filter_map(|id| self.jobs.get(id)?.booking.as_ref())
                .map(|booking| &booking.pieces);
            let unstoppable =
                runs.chain(bookings).fold(0, |unstoppable, pieces| {
                    unstoppable | mask_on(pieces, worker)
                });
            self.workers[worker].unstoppable = unstoppable;
        }
    }

    fn is_unstoppable(&self, id: &job::Id) -> bool {
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
                let charged = self.guaranteed.entry(account).or_default();
                charged.insert(id.clone());
            }
            None => {
                self.account_state_mut(id).borrowed +=
                    accelerator_count(pieces)
            }
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
                if let Some(charged) = self.guaranteed.get_mut(&account) {
                    charged.remove(id);
                }
            }
            None => {
                let account_state = self.account_state_mut(id);
                account_state.borrowed = account_state
                    .borrowed
                    .saturating_sub(accelerator_count(pieces));
            }
        }
    }

    fn account_state_mut(&mut self, id: &job::Id) -> &mut AccountState {
        let account = self.account_of(id);
        self.accounts.entry(account).or_default()
    }

    fn account_of(&self, id: &job::Id) -> account::Id {
        let job = self.jobs.get(id);
        job.map(|job| job.spec.account.clone())
            .unwrap_or_else(|| "".into())
    }
}

/// Returns the number of accelerators in `pieces`.
pub fn accelerator_count(pieces: &[Piece]) -> u32 {
    pieces.iter().map(Piece::len).sum()
}

/// Returns how long a job's present run has lasted.
pub fn run_time(job: &Job, now: SystemTime) -> Duration {
    job.run()
        .and_then(|run| now.duration_since(run.started).ok())
        .unwrap_or_default()
}

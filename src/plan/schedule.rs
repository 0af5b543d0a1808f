//! One pass over the waiting jobs: each is started, booked, or left waiting.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::job;
use crate::plan::command::Command;
use crate::plan::command::Reason;
use crate::plan::compact;
use crate::plan::home::HomeIndex;
use crate::plan::order;
use crate::plan::order::Rank;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::reclaim;
use crate::plan::reclaim::Cost;
use crate::plan::reclaim::Preemption;
use crate::plan::reserve::Reservation;
use crate::plan::state::run_time;
use crate::plan::state::Booking;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::Run;
use crate::plan::state::State;
use crate::plan::Policy;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::WorkerIndex;

/// How long a job has to run before a shorter job may displace it.
const MIN_RUN_BEFORE_DISPLACED: Duration = Duration::from_secs(30);
/// How many times as long as a job's own predicted run the remaining run of a
/// job that it displaces must be.
const MIN_TIME_LEFT_FACTOR: u32 = 4;
/// The least cost of stopping one accelerator, in milliseconds.
const MIN_STOP_COST: Cost = 1000;

/// Jobs that are equivalent in one pass: if one finds no place, none does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    account: account::Id,
    accelerators: u32,
    within: crate::site::Within,
    rank: Rank,
    reclaimable: bool,
}

/// One pass over the waiting jobs.
pub struct Pass<'a> {
    pub(super) state: &'a mut State,
    policy: &'a Policy,
    pub(super) now: SystemTime,
    commands: &'a mut Vec<Command>,
    unplaceable: BTreeSet<Class>,
    pub(super) reservation: Option<Reservation>,
}

impl<'a> Pass<'a> {
    /// Returns a pass that appends its commands to `commands`.
    pub fn new(
        state: &'a mut State,
        policy: &'a Policy,
        now: SystemTime,
        commands: &'a mut Vec<Command>,
    ) -> Pass<'a> {
        Pass {
            state,
            policy,
            now,
            commands,
            unplaceable: BTreeSet::new(),
            reservation: None,
        }
    }

    /// Places every waiting job that can be placed.
    pub fn run(&mut self) {
        for entry in order::queue(self.state, self.now) {
            let Some(job) = self.state.jobs.get(&entry.id).cloned() else {
                continue;
            };
            let class = Class {
                account: job.spec.account.clone(),
                accelerators: job.spec.shape.accelerators,
                within: job.spec.shape.within,
                rank: entry.rank,
                reclaimable: job.spec.is_reclaimable(),
            };
            if self.unplaceable.contains(&class) {
                continue;
            }
            if self.place(&job, entry.rank) {
                continue;
            }
            if job.failures.is_empty() {
                self.unplaceable.insert(class);
            }
            if entry.rank == Rank::Overdue && self.reservation.is_none() {
                self.reservation = self.reserve(&job);
            }
        }
    }

    fn place(&mut self, job: &Job, rank: Rank) -> bool {
        self.start_and_move_home(job)
            || self.start_in_home(job)
            || self.start_as_borrower(job)
            || self.reclaim_home(job)
            || self.make_room(job)
            || self.displace(job, rank)
            || self.probe(job)
    }

    /// Starts a job on any free accelerators to which a block of its account
    /// can move.
    fn start_and_move_home(&mut self, job: &Job) -> bool {
        for home in self.own_homes(job) {
            if !self.state.has_room(home, job) {
                continue;
            }
            let state = &*self.state;
            let open = |w: WorkerIndex| self.usable(job, w) & state.free(w);
            let shape = Shape {
                accelerators: job.spec.shape.accelerators,
                within: state.homes[home].shape.within,
            };
            let Some(pieces) = self.find(shape, open) else {
                continue;
            };
            if self.state.cover(home, &pieces) {
                self.start(&job.spec.id, pieces, Some(home));
                return true;
            }
        }
        false
    }

    /// Starts a job on free accelerators of one of its account's home blocks.
    fn start_in_home(&mut self, job: &Job) -> bool {
        let found = self.own_homes(job).into_iter().find_map(|home| {
            let state = &*self.state;
            let open = |w: WorkerIndex| {
                self.usable(job, w)
                    & state.free(w)
                    & state.homes[home].unused(w)
            };
            self.find(job.spec.shape, open).map(|found| (home, found))
        });
        match found {
            Some((home, pieces)) => {
                self.start(&job.spec.id, pieces, Some(home));
                true
            }
            None => false,
        }
    }

    /// Starts a job on any free accelerators that its account may borrow.
    fn start_as_borrower(&mut self, job: &Job) -> bool {
        if !self.may_borrow(job) {
            return false;
        }
        let state = &*self.state;
        let ends_at = self.now + state.time_left(job, self.now);
        let open = |w: WorkerIndex| {
            self.usable(job, w)
                & state.free(w)
                & self.region(job, w)
                & !self.reserved_mask(job, ends_at, w)
        };
        match self.find(job.spec.shape, open) {
            Some(pieces) => {
                self.start(&job.spec.id, pieces, None);
                true
            }
            None => self.start_and_move_blocks(job, ends_at),
        }
    }

    /// Starts a job that cannot be stopped on free accelerators that all home
    /// blocks can move off.
    fn start_and_move_blocks(
        &mut self,
        job: &Job,
        ends_at: SystemTime,
    ) -> bool {
        if job.spec.is_reclaimable() {
            return false;
        }
        let state = &*self.state;
        let open = |w: WorkerIndex| {
            self.usable(job, w)
                & state.free(w)
                & !self.reserved_mask(job, ends_at, w)
        };
        match self.find(job.spec.shape, open) {
            Some(pieces) if self.state.move_blocks_off(&pieces) => {
                self.start(&job.spec.id, pieces, None);
                true
            }
            _ => false,
        }
    }

    /// Reclaims a home block of the job's account from its borrowers.
    fn reclaim_home(&mut self, job: &Job) -> bool {
        if !self.state.is_entitled(job) {
            return false;
        }
        // Jobs that the account already runs are charged first; otherwise two
        // of its jobs would displace each other in turn.
        let borrowers = self.state.borrowers(&job.spec.account);
        self.state.promote(&borrowers);
        self.vacate_own_home(job);
        let found = self.own_homes(job).into_iter().find_map(|home| {
            let state = &*self.state;
            let region = |w: WorkerIndex| {
                self.usable(job, w) & state.homes[home].unused(w)
            };
            let stop_cost = |other: &Job| self.stop_cost(other);
            self.cheapest(job.spec.shape, &region, &stop_cost)
                .map(|preemption| (home, preemption))
        });
        match found {
            Some((home, preemption)) => {
                self.start_or_book(&job.spec.id, preemption, Some(home));
                true
            }
            None => false,
        }
    }

    /// Releases a home block that the job needs entirely from other jobs of
    /// the account.
    fn vacate_own_home(&mut self, job: &Job) {
        let own = self.own_homes(job);
        let has_room = |&home: &HomeIndex| self.state.has_room(home, job);
        if own.iter().any(has_room) {
            return;
        }
        let entitled = self.state.unused_shapes(&job.spec.account);
        if !entitled.iter().any(|shape| shape.holds(&job.spec.shape)) {
            return;
        }
        // Candidates are blocks of shapes that the account's jobs leave
        // unused: releasing another would take the place of the job that needs
        // it most.
        let is_unused = |&home: &HomeIndex| {
            let shape = &self.state.homes[home].shape;
            shape.holds(&job.spec.shape) && entitled.contains(shape)
        };
        let candidates: Vec<HomeIndex> =
            own.into_iter().filter(is_unused).collect();
        for home in candidates {
            if self.state.vacate_home(home) {
                return;
            }
        }
    }

    /// Moves other jobs together, so that the job fits.
    fn make_room(&mut self, job: &Job) -> bool {
        if !self.may_borrow(job) || !job.failures.is_empty() {
            return false;
        }
        let reclaimable = job.spec.is_reclaimable();
        let region = |state: &State, w: WorkerIndex| match reclaimable {
            true => Mask::MAX,
            false => !state.workers[w].home,
        };
        let (policy, now) = (self.policy, self.now);
        compact::make_room(
            self.state,
            policy,
            job,
            &region,
            now,
            self.commands,
        )
    }

    /// Displaces borrowers and jobs of the same account: for an urgent job any
    /// that is not urgent, for an overdue one those that have run long, and
    /// for every job those with much longer left to run.
    fn displace(&mut self, job: &Job, rank: Rank) -> bool {
        if !self.may_borrow(job) {
            return false;
        }
        let time_left = self.state.time_left(job, self.now);
        let region =
            |w: WorkerIndex| self.usable(job, w) & self.region(job, w);
        let stop_cost = |other: &Job| {
            let may_be_displaced =
                other.run().is_some_and(|run| run.home.is_none())
                    || other.spec.account == job.spec.account;
            let much_longer = || self.has_much_longer_left(other, time_left);
            match rank {
                _ if !may_be_displaced || other.spec.urgent => None,
                Rank::Urgent => self.stop_cost(other),
                Rank::Overdue if much_longer() || self.has_run_long(other) => {
                    self.stop_cost(other)
                }
                Rank::Plain | Rank::Entitled if much_longer() => {
                    self.stop_cost(other)
                }
                _ => None,
            }
        };
        let preemption = self.cheapest(job.spec.shape, &region, &stop_cost);
        let Some(preemption) = preemption else {
            return false;
        };
        let home = self.state.cover_any(job, &preemption.pieces);
        self.start_or_book(&job.spec.id, preemption, home);
        true
    }

    /// Starts a repeatable job that found no other place on a quarantined
    /// worker whose probe is due.
    fn probe(&mut self, job: &Job) -> bool {
        if !job.spec.is_reclaimable() || !self.may_borrow(job) {
            return false;
        }
        let state = &*self.state;
        let probe_due = |w: WorkerIndex| {
            let worker = &state.workers[w];
            worker.presence == crate::plan::state::Presence::Up
                && worker.health.is_probe_due(self.now)
        };
        let open = |w: WorkerIndex| match probe_due(w) {
            true => state.vacant(w),
            false => state.free(w),
        };
        let Some(pieces) = self.find(job.spec.shape, open) else {
            return false;
        };
        let workers: Vec<WorkerIndex> = pieces
            .iter()
            .map(|piece| piece.worker)
            .filter(|&w| probe_due(w))
            .collect();
        for worker in workers {
            let health = &mut self.state.workers[worker].health;
            if let crate::plan::health::Health::Quarantined { probe, .. } =
                health
            {
                *probe = Some(job.spec.id.clone());
            }
        }
        self.start(&job.spec.id, pieces, None);
        true
    }

    /// Returns the account's home blocks that could hold the job, the tightest
    /// first.
    fn own_homes(&self, job: &Job) -> Vec<HomeIndex> {
        let homes = &self.state.homes;
        let mut own: Vec<HomeIndex> = (0..homes.len())
            .filter(|&index| {
                homes[index].owner.as_ref() == Some(&job.spec.account)
                    && homes[index].is_placed()
                    && homes[index].shape.accelerators
                        >= job.spec.shape.accelerators
            })
            .collect();
        own.sort_by_key(|&index| (homes[index].shape.accelerators, index));
        own
    }

    /// Returns the accelerators of a worker on which a job may run outside its
    /// account's home blocks.
    pub(super) fn region(&self, job: &Job, worker: WorkerIndex) -> Mask {
        match job.spec.is_reclaimable() {
            true => Mask::MAX,
            false => !self.state.workers[worker].home,
        }
    }

    /// Returns the accelerators of a worker that may run a job, given its
    /// failures there and the worker's health: all or none.
    pub(super) fn usable(&self, job: &Job, worker: WorkerIndex) -> Mask {
        let suspect = matches!(
            self.state.workers[worker].health,
            crate::plan::health::Health::Suspect { .. }
        );
        match job.failures.contains(&worker) {
            true => 0,
            false if suspect && !job.spec.repeatable => 0,
            false => Mask::MAX,
        }
    }

    pub(super) fn may_borrow(&self, job: &Job) -> bool {
        match self.state.accounts.get(&job.spec.account) {
            Some(account_state) => {
                let wanted =
                    account_state.borrowed + job.spec.shape.accelerators;
                wanted <= account_state.terms.borrow
            }
            None => false,
        }
    }

    fn has_much_longer_left(&self, other: &Job, time_left: Duration) -> bool {
        other.spec.checkpoint
            && run_time(other, self.now) >= MIN_RUN_BEFORE_DISPLACED
            && self.state.time_left(other, self.now)
                >= time_left * MIN_TIME_LEFT_FACTOR
    }

    fn has_run_long(&self, other: &Job) -> bool {
        other.spec.checkpoint
            && run_time(other, self.now) >= order::OVERDUE_AFTER / 2
    }

    /// Returns the cost of stopping a job, or `None` if it cannot be stopped.
    fn stop_cost(&self, other: &Job) -> Option<Cost> {
        if !other.is_reclaimable() {
            return None;
        }
        let accelerators = u64::from(other.spec.shape.accelerators);
        let lost = match other.spec.checkpoint {
            true => 0,
            false => run_time(other, self.now).as_millis() as u64,
        };
        Some((lost + MIN_STOP_COST) * accelerators)
    }

    fn find(
        &self,
        shape: Shape,
        open: impl Fn(WorkerIndex) -> Mask,
    ) -> Option<Vec<Piece>> {
        let site = &self.state.site;
        place::find(site, shape, Spread::Whole, &open)
            .or_else(|| place::find(site, shape, Spread::Remainders, &open))
    }

    fn cheapest(
        &self,
        shape: Shape,
        region: &impl Fn(WorkerIndex) -> Mask,
        stop_cost: &impl Fn(&Job) -> Option<Cost>,
    ) -> Option<Preemption> {
        let spread = Spread::Remainders;
        reclaim::cheapest(self.state, shape, spread, region, stop_cost)
    }

    fn start(
        &mut self,
        id: &job::Id,
        pieces: Vec<Piece>,
        home: Option<HomeIndex>,
    ) {
        start(self.state, id, pieces, home, self.now, self.commands);
    }

    /// Starts a job on the pieces of a preemption. If jobs have to be stopped
    /// first, stops them and books the pieces for the job.
    fn start_or_book(
        &mut self,
        id: &job::Id,
        preemption: Preemption,
        home: Option<HomeIndex>,
    ) {
        if preemption.victims.is_empty() {
            return self.start(id, preemption.pieces, home);
        }
        for victim in &preemption.victims {
            stop(self.state, victim, Reason::Reclaim, self.commands);
        }
        let booking = Booking {
            pieces: preemption.pieces,
            home,
            pending: preemption.victims,
        };
        self.state.book(id, booking);
    }
}

/// Starts a job on `pieces`.
pub fn start(
    state: &mut State,
    id: &job::Id,
    pieces: Vec<Piece>,
    home: Option<HomeIndex>,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get(id) else {
        return;
    };
    let attempt = job.attempts + 1;
    let run = Run {
        attempt,
        pieces: pieces.clone(),
        home,
        started: now,
    };
    state.occupy(id, run);
    commands.push(Command::Start {
        job: id.clone(),
        attempt,
        pieces,
    });
}

/// Stops a running job, unless it is already stopping.
pub fn stop(
    state: &mut State,
    id: &job::Id,
    reason: Reason,
    commands: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    let Phase::Running(run) = &job.phase else {
        return;
    };
    let run = run.clone();
    commands.push(Command::Stop {
        job: id.clone(),
        attempt: run.attempt,
        reason,
    });
    job.phase = Phase::Stopping(run, reason);
}

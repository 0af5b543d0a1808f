//! One pass over the waiting jobs: each is placed, books, or waits on.

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
use crate::plan::reclaim::Claim;
use crate::plan::reclaim::Cost;
use crate::plan::reserve::Reservation;
use crate::plan::state::ran;
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

/// How long a run lasts at least before a shorter job may take its place.
const QUANTUM: Duration = Duration::from_secs(30);
/// How many times longer a run must still take than the job that takes its
/// place.
const LONGER: u32 = 4;
/// What stopping one accelerator costs at least, in milliseconds.
const STOP_COST: Cost = 1000;

/// Jobs that fare alike in one pass: if one finds no place, none does.
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
    out: &'a mut Vec<Command>,
    hopeless: BTreeSet<Class>,
    pub(super) reserved: Option<Reservation>,
}

impl<'a> Pass<'a> {
    /// Returns a pass that appends its commands to `out`.
    pub fn new(
        state: &'a mut State,
        policy: &'a Policy,
        now: SystemTime,
        out: &'a mut Vec<Command>,
    ) -> Pass<'a> {
        Pass {
            state,
            policy,
            now,
            out,
            hopeless: BTreeSet::new(),
            reserved: None,
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
            if self.hopeless.contains(&class) {
                continue;
            }
            if self.place(&job, entry.rank) {
                continue;
            }
            if job.failures.is_empty() {
                self.hopeless.insert(class);
            }
            if entry.rank == Rank::Overdue && self.reserved.is_none() {
                self.reserved = self.reserve(&job);
            }
        }
    }

    fn place(&mut self, job: &Job, rank: Rank) -> bool {
        self.in_guarantee(job)
            || self.in_home(job)
            || self.on_free(job)
            || self.reclaim_home(job)
            || self.make_room(job)
            || self.displace(job, rank)
            || self.probe(job)
    }

    /// Starts a job on any free accelerators to which a block of its
    /// account can move.
    fn in_guarantee(&mut self, job: &Job) -> bool {
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

    /// Starts a job on free accelerators of a home block of its own.
    fn in_home(&mut self, job: &Job) -> bool {
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

    /// Starts a job on any free accelerators that it may borrow.
    fn on_free(&mut self, job: &Job) -> bool {
        if !self.may_borrow(job) {
            return false;
        }
        let state = &*self.state;
        let ends = self.now + state.time_left(job, self.now);
        let open = |w: WorkerIndex| {
            self.usable(job, w)
                & state.free(w)
                & self.region(job, w)
                & !self.reserved_mask(job, ends, w)
        };
        match self.find(job.spec.shape, open) {
            Some(pieces) => {
                self.start(&job.spec.id, pieces, None);
                true
            }
            None => self.on_blocks(job, ends),
        }
    }

    /// Starts a job that cannot be stopped on free accelerators that all
    /// blocks can move off.
    fn on_blocks(&mut self, job: &Job, ends: SystemTime) -> bool {
        if job.spec.is_reclaimable() {
            return false;
        }
        let state = &*self.state;
        let open = |w: WorkerIndex| {
            self.usable(job, w)
                & state.free(w)
                & !self.reserved_mask(job, ends, w)
        };
        match self.find(job.spec.shape, open) {
            Some(pieces) if self.state.make_way(&pieces) => {
                self.start(&job.spec.id, pieces, None);
                true
            }
            _ => false,
        }
    }

    /// Takes a home block of the job's account back from its borrowers.
    fn reclaim_home(&mut self, job: &Job) -> bool {
        if !self.state.is_entitled(job) {
            return false;
        }
        // What the account already runs counts first, or two of its jobs
        // would take each other's place in turn.
        let borrowers = self.state.borrowers(&job.spec.account);
        self.state.promote(&borrowers);
        self.empty_a_home(job);
        let found = self.own_homes(job).into_iter().find_map(|home| {
            let state = &*self.state;
            let region = |w: WorkerIndex| {
                self.usable(job, w) & state.homes[home].unused(w)
            };
            let price = |other: &Job| self.price(other);
            self.cheapest(job.spec.shape, &region, &price)
                .map(|claim| (home, claim))
        });
        match found {
            Some((home, claim)) => {
                self.book(&job.spec.id, claim, Some(home));
                true
            }
            None => false,
        }
    }

    /// Empties a block that the job needs whole of others of its account.
    fn empty_a_home(&mut self, job: &Job) {
        let own = self.own_homes(job);
        let has_room = |&home: &HomeIndex| self.state.has_room(home, job);
        if own.iter().any(has_room) {
            return;
        }
        let entitled = self.state.unused_shapes(&job.spec.account);
        if !entitled.iter().any(|shape| shape.holds(&job.spec.shape)) {
            return;
        }
        // Only a shape that the account's jobs could leave to it: emptying
        // another would take its place from the job that needs it most.
        let spare = |&home: &HomeIndex| {
            let shape = &self.state.homes[home].shape;
            shape.holds(&job.spec.shape) && entitled.contains(shape)
        };
        let candidates: Vec<HomeIndex> =
            own.into_iter().filter(spare).collect();
        for home in candidates {
            if self.state.vacate(home) {
                return;
            }
        }
    }

    /// Has others move together, so that the job fits.
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
        compact::make_room(self.state, policy, job, &region, now, self.out)
    }

    /// Takes the place of borrowers that must or had better yield.
    fn displace(&mut self, job: &Job, rank: Rank) -> bool {
        if !self.may_borrow(job) {
            return false;
        }
        let left = self.state.time_left(job, self.now);
        let region =
            |w: WorkerIndex| self.usable(job, w) & self.region(job, w);
        let price = |other: &Job| {
            let yields = other.run().is_some_and(|run| run.home.is_none())
                || other.spec.account == job.spec.account;
            let longer = || self.is_longer(other, left);
            match rank {
                _ if !yields || other.spec.urgent => None,
                Rank::Urgent => self.price(other),
                Rank::Overdue if longer() || self.has_had_its_turn(other) => {
                    self.price(other)
                }
                Rank::Plain | Rank::Entitled if longer() => self.price(other),
                _ => None,
            }
        };
        let claim = self.cheapest(job.spec.shape, &region, &price);
        let Some(claim) = claim else {
            return false;
        };
        let home = self.state.cover_any(job, &claim.pieces);
        self.book(&job.spec.id, claim, home);
        true
    }

    /// Lets a repeatable job that found no place try a worker in
    /// quarantine whose time has come.
    fn probe(&mut self, job: &Job) -> bool {
        if !job.spec.is_reclaimable() || !self.may_borrow(job) {
            return false;
        }
        let state = &*self.state;
        let due = |w: WorkerIndex| {
            let books = &state.workers[w];
            books.presence == crate::plan::state::Presence::Up
                && books.health.is_due(self.now)
        };
        let open = |w: WorkerIndex| match due(w) {
            true => state.vacant(w),
            false => state.free(w),
        };
        let Some(pieces) = self.find(job.spec.shape, open) else {
            return false;
        };
        let workers: Vec<WorkerIndex> = pieces
            .iter()
            .map(|piece| piece.worker)
            .filter(|&w| due(w))
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

    /// Returns the account's home blocks that could hold the job, the
    /// tightest first.
    fn own_homes(&self, job: &Job) -> Vec<HomeIndex> {
        let homes = &self.state.homes;
        let mut own: Vec<HomeIndex> = (0..homes.len())
            .filter(|&at| {
                homes[at].owner.as_ref() == Some(&job.spec.account)
                    && homes[at].is_placed()
                    && homes[at].shape.accelerators
                        >= job.spec.shape.accelerators
            })
            .collect();
        own.sort_by_key(|&at| (homes[at].shape.accelerators, at));
        own
    }

    /// Returns where a job may run outside its own home blocks.
    pub(super) fn region(&self, job: &Job, worker: WorkerIndex) -> Mask {
        match job.spec.is_reclaimable() {
            true => Mask::MAX,
            false => !self.state.workers[worker].home,
        }
    }

    /// Returns which accelerators of a worker a job may use, all or none.
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
        match self.state.tenants.get(&job.spec.account) {
            Some(tenant) => {
                let wanted = tenant.borrowed + job.spec.shape.accelerators;
                wanted <= tenant.terms.borrow
            }
            None => false,
        }
    }

    fn is_longer(&self, other: &Job, left: Duration) -> bool {
        other.spec.checkpoint
            && ran(other, self.now) >= QUANTUM
            && self.state.time_left(other, self.now) >= left * LONGER
    }

    fn has_had_its_turn(&self, other: &Job) -> bool {
        other.spec.checkpoint && ran(other, self.now) >= order::PATIENCE / 2
    }

    /// Returns what stopping a job costs, if it can be stopped at all.
    fn price(&self, other: &Job) -> Option<Cost> {
        if !other.is_reclaimable() {
            return None;
        }
        let accelerators = u64::from(other.spec.shape.accelerators);
        let lost = match other.spec.checkpoint {
            true => 0,
            false => ran(other, self.now).as_millis() as u64,
        };
        Some((lost + STOP_COST) * accelerators)
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
        price: &impl Fn(&Job) -> Option<Cost>,
    ) -> Option<Claim> {
        let spread = Spread::Remainders;
        reclaim::cheapest(self.state, shape, spread, region, price)
    }

    fn start(
        &mut self,
        id: &job::Id,
        pieces: Vec<Piece>,
        home: Option<HomeIndex>,
    ) {
        start(self.state, id, pieces, home, self.now, self.out);
    }

    fn book(&mut self, id: &job::Id, claim: Claim, home: Option<HomeIndex>) {
        if claim.victims.is_empty() {
            return self.start(id, claim.pieces, home);
        }
        for victim in &claim.victims {
            stop(self.state, victim, Reason::Reclaim, self.out);
        }
        let booking = Booking {
            pieces: claim.pieces,
            home,
            pending: claim.victims,
        };
        self.state.book(id, booking);
    }
}

/// Lets a job start on `pieces`.
pub fn start(
    state: &mut State,
    id: &job::Id,
    pieces: Vec<Piece>,
    home: Option<HomeIndex>,
    now: SystemTime,
    out: &mut Vec<Command>,
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
    out.push(Command::Start {
        job: id.clone(),
        attempt,
        pieces,
    });
}

/// Tells a running job to stop, unless it has been told.
pub fn stop(
    state: &mut State,
    id: &job::Id,
    reason: Reason,
    out: &mut Vec<Command>,
) {
    let Some(job) = state.jobs.get_mut(id) else {
        return;
    };
    let Phase::Running(run) = &job.phase else {
        return;
    };
    let run = run.clone();
    out.push(Command::Stop {
        job: id.clone(),
        attempt: run.attempt,
        reason,
    });
    job.phase = Phase::Stopping(run, reason);
}

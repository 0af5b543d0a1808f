//! Home blocks: the concrete accelerators behind each guaranteed shape.
//!
//! Home blocks are disjoint, and nobody but the owner runs a job there that
//! cannot be stopped. So that every unused guaranteed shape can be had
//! within the reclaim time, by all client accounts at once, is seen by
//! looking at one block at a time.
//!
//! A block is a promise, not a place: it moves for free. A job that counts
//! towards a shape may run anywhere that the shape's block can move to, and
//! a job that cannot be stopped may borrow anywhere that all blocks in its
//! way can move from. A move that leaves any block without a place is not
//! made.

use crate::account;
use crate::job;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::State;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Site;
use crate::site::WorkerIndex;

/// The position of a home block.
pub type HomeIndex = usize;

/// The accelerators behind one guaranteed shape.
#[derive(Clone, Debug)]
pub struct Home {
    /// Its owner; `None` once the guarantee is gone.
    pub owner: Option<account::Id>,
    /// The guaranteed shape.
    pub shape: Shape,
    /// Where it is; empty while there is no place for it.
    pub pieces: Vec<Piece>,
    /// What the owner's jobs and bookings have of it.
    pub used: Vec<Piece>,
}

impl Home {
    /// Returns whether the block has a place.
    pub fn is_placed(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Returns whether the owner uses any of it.
    pub fn is_used(&self) -> bool {
        !self.used.is_empty()
    }

    /// Returns the accelerators on `worker` that the owner does not use.
    pub fn unused(&self, worker: WorkerIndex) -> Mask {
        mask_on(&self.pieces, worker) & !mask_on(&self.used, worker)
    }

    /// Returns whether all of `pieces` lie in the block.
    pub fn covers(&self, pieces: &[Piece]) -> bool {
        pieces.iter().all(|piece| {
            piece.mask & !mask_on(&self.pieces, piece.worker) == 0
        })
    }

    /// Counts `pieces` as used by the owner.
    pub fn charge(&mut self, pieces: &[Piece]) {
        self.used.extend_from_slice(pieces);
    }

    /// Counts `pieces` as no longer used by the owner.
    pub fn discharge(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            if let Some(at) = self.used.iter().position(|x| x == piece) {
                self.used.swap_remove(at);
            }
        }
    }
}

/// Returns the accelerators of `pieces` on one worker.
pub fn mask_on(pieces: &[Piece], worker: WorkerIndex) -> Mask {
    pieces
        .iter()
        .filter(|piece| piece.worker == worker)
        .fold(0, |mask, piece| mask | piece.mask)
}

/// Returns places for `shapes` on an otherwise empty site in full health,
/// in their order, `None` for each that does not fit.
pub fn pack(site: &Site, shapes: &[Shape]) -> Vec<Option<Vec<Piece>>> {
    let mut open = vec![site.full_mask(); site.workers().len()];
    let mut places = vec![None; shapes.len()];
    for at in largest_first(shapes) {
        let spread = Spread::Whole;
        let found = place::find(site, shapes[at], spread, |w| open[w])
            .or_else(|| {
                let spread = Spread::Remainders;
                place::find(site, shapes[at], spread, |w| open[w])
            });
        for piece in found.iter().flatten() {
            open[piece.worker] &= !piece.mask;
        }
        places[at] = found;
    }
    places
}

/// Returns positions of `shapes`, the hardest to place first.
pub(super) fn largest_first(shapes: &[Shape]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(|&at| {
        let shape = shapes[at];
        (std::cmp::Reverse(shape.accelerators), shape.within, at)
    });
    order
}

impl State {
    /// Brings home blocks in line with the client accounts' guarantees.
    pub fn sync_homes(&mut self, account: &account::Id) {
        let wanted = match self.tenants.get(account) {
            Some(tenant) => tenant.terms.guarantee.clone(),
            None => Vec::new(),
        };
        let mut missing = wanted;
        for index in 0..self.homes.len() {
            if self.homes[index].owner.as_ref() != Some(account) {
                continue;
            }
            let shape = self.homes[index].shape;
            match missing.iter().position(|x| *x == shape) {
                Some(at) => {
                    missing.swap_remove(at);
                }
                None => {
                    let demoted = self.unplace(index);
                    self.homes[index].owner = None;
                    self.promote(&demoted);
                }
            }
        }
        for shape in missing {
            self.homes.push(Home {
                owner: Some(account.clone()),
                shape,
                pieces: Vec::new(),
                used: Vec::new(),
            });
        }
        self.homes_dirty = true;
        self.sync_nominal();
    }

    /// Works out anew what no guarantee needs on the whole site in health.
    pub fn sync_nominal(&mut self) {
        let shapes: Vec<Shape> = self
            .homes
            .iter()
            .filter(|home| home.owner.is_some())
            .map(|home| home.shape)
            .collect();
        let whole = self.site.full_mask();
        self.open_nominal = vec![whole; self.workers.len()];
        let places = pack(&self.site, &shapes);
        for piece in places.iter().flatten().flatten() {
            self.open_nominal[piece.worker] &= !piece.mask;
        }
    }

    /// Gives every home block a place on workers that take work, as far as
    /// there is one, and moves as few as it can.
    pub fn settle_homes(&mut self) {
        if !std::mem::take(&mut self.homes_dirty) {
            return;
        }
        let mut demoted = Vec::new();
        for index in 0..self.homes.len() {
            let home = &self.homes[index];
            let stands = home
                .pieces
                .iter()
                .all(|piece| self.workers[piece.worker].is_open());
            if !stands {
                demoted.extend(self.unplace(index));
            }
        }
        self.place_missing();
        if self.missing().next().is_some() {
            demoted.extend(self.repack());
        }
        self.promote(&demoted);
    }

    /// Returns the home blocks that have no place.
    pub fn missing(&self) -> impl Iterator<Item = HomeIndex> + '_ {
        (0..self.homes.len()).filter(|&index| {
            let home = &self.homes[index];
            home.owner.is_some() && !home.is_placed()
        })
    }

    /// Moves every block that can move, if that finds places for more of
    /// them. Jobs that count towards a block and can be stopped count as
    /// borrowers then, and their shape is to be had elsewhere.
    fn repack(&mut self) -> Vec<job::Id> {
        let before = self.placed();
        let old = self.clone_counts();
        let mut demoted = Vec::new();
        for index in 0..self.homes.len() {
            if !self.homes[index].is_used() {
                self.lift_block(index);
            } else if let Some(users) = self.movable_users(index) {
                demoted.extend(users);
                self.lift_block(index);
            }
        }
        for id in &demoted {
            self.adopt_home(id, None);
        }
        self.place_missing();
        if self.placed() <= before {
            self.restore_counts(old);
            demoted.clear();
        }
        demoted
    }

    /// Returns the jobs that count towards a block, if all can be stopped.
    fn movable_users(&self, index: HomeIndex) -> Option<Vec<job::Id>> {
        let booked = self.booked.iter().filter_map(|id| self.jobs.get(id));
        let has_booking = booked
            .filter_map(|job| job.booking.as_ref())
            .any(|booking| booking.home == Some(index));
        let runs = self
            .ids(|job| job.run().is_some_and(|run| run.home == Some(index)));
        let movable = runs.iter().all(|id| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.spec.is_reclaimable())
        });
        (movable && !has_booking).then_some(runs)
    }

    fn placed(&self) -> u32 {
        self.homes
            .iter()
            .filter(|home| home.is_placed())
            .map(|home| home.shape.accelerators)
            .sum()
    }

    fn place_missing(&mut self) {
        let missing: Vec<HomeIndex> = self.missing().collect();
        let shapes: Vec<Shape> =
            missing.iter().map(|&at| self.homes[at].shape).collect();
        for at in largest_first(&shapes) {
            self.place_home(missing[at]);
        }
    }

    pub(super) fn place_home(&mut self, index: HomeIndex) -> bool {
        match self.block(index) {
            Some(pieces) => {
                self.put_block(index, pieces);
                true
            }
            None => false,
        }
    }

    fn put_block(&mut self, index: HomeIndex, pieces: Vec<Piece>) {
        for piece in &pieces {
            self.workers[piece.worker].home |= piece.mask;
        }
        self.homes[index].pieces = pieces;
    }

    pub(super) fn lift_block(&mut self, index: HomeIndex) {
        for piece in std::mem::take(&mut self.homes[index].pieces) {
            self.workers[piece.worker].home &= !piece.mask;
        }
    }

    /// Takes a home block's place away; the owner's jobs that count towards
    /// it become borrowers, and are returned.
    fn unplace(&mut self, index: HomeIndex) -> Vec<job::Id> {
        self.lift_block(index);
        let in_run =
            |job: &Job| job.run().is_some_and(|run| run.home == Some(index));
        let in_booking = |job: &Job| {
            let booking = job.booking.as_ref();
            booking.is_some_and(|booking| booking.home == Some(index))
        };
        let runs = self.ids(in_run);
        let bookings = self.ids(in_booking);
        for id in &runs {
            self.adopt_home(id, None);
        }
        for id in bookings {
            self.unbook(&id);
        }
        runs
    }

    pub(super) fn ids(&self, wanted: impl Fn(&Job) -> bool) -> Vec<job::Id> {
        self.jobs
            .iter()
            .filter(|(_, job)| wanted(job))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the running borrowers of an account, the largest first.
    pub fn borrowers(&self, account: &account::Id) -> Vec<job::Id> {
        let mut borrowers = self.ids(|job| {
            job.spec.account == *account
                && matches!(job.phase, Phase::Running(_))
                && job.run().is_some_and(|run| run.home.is_none())
        });
        borrowers.sort_by_key(|id| {
            let job = self.jobs.get(id);
            job.map(|j| std::cmp::Reverse(j.spec.shape.accelerators))
        });
        borrowers
    }

    /// Counts borrowers towards shapes of their account that have room.
    pub fn promote(&mut self, borrowers: &[job::Id]) {
        for id in borrowers {
            let Some(job) = self.jobs.get(id).cloned() else {
                continue;
            };
            let pieces = job.run().map(|run| run.pieces.clone());
            let home = self.cover_any(&job, &pieces.unwrap_or_default());
            if home.is_some() {
                self.adopt_home(id, home);
            }
        }
    }

    /// Counts `pieces`, which a job is about to use, towards the tightest
    /// shape of its account that can be moved there.
    pub fn cover_any(
        &mut self,
        job: &Job,
        pieces: &[Piece],
    ) -> Option<HomeIndex> {
        let mut own: Vec<HomeIndex> = (0..self.homes.len())
            .filter(|&at| self.has_room(at, job))
            .collect();
        own.sort_by_key(|&at| (self.homes[at].shape.accelerators, at));
        own.into_iter().find(|&home| self.cover(home, pieces))
    }
}

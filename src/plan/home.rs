//! Home blocks: the concrete accelerators that are reserved for each
//! guaranteed shape.
//!
//! Home blocks are disjoint, and no job that cannot be stopped runs in one
//! unless it belongs to the owner. Each block can therefore be checked by
//! itself to show that all client accounts together can have their unused
//! guaranteed shapes within the reclaim time.
//!
//! Moving a block costs nothing, because no job moves with it. A job that is
//! charged to a block may run anywhere that the block can move to, and a job
//! that cannot be stopped may borrow anywhere that all blocks in its way can
//! move away from. A move that leaves any block without a place is not made.

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

/// The position of a home block in the state's list.
pub type HomeIndex = usize;

/// The accelerators reserved for one guaranteed shape.
#[derive(Clone, Debug)]
pub struct Home {
    /// The account that the block belongs to; `None` once the guarantee is
    /// removed.
    pub owner: Option<account::Id>,
    /// The guaranteed shape.
    pub shape: Shape,
    /// Where the block is; empty while there is no place for it.
    pub pieces: Vec<Piece>,
    /// The accelerators of the owner's jobs and bookings that are charged to
    /// the block.
    pub used: Vec<Piece>,
}

impl Home {
    /// Returns whether the block has a place.
    pub fn is_placed(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Returns whether any job or booking of the owner is charged to the
    /// block.
    pub fn is_used(&self) -> bool {
        !self.used.is_empty()
    }

    /// Returns the block's accelerators on `worker` that the owner does not
    /// use.
    pub fn unused(&self, worker: WorkerIndex) -> Mask {
        mask_on(&self.pieces, worker) & !mask_on(&self.used, worker)
    }

    /// Returns whether all of `pieces` lie in the block.
    pub fn covers(&self, pieces: &[Piece]) -> bool {
        pieces.iter().all(|piece| {
            piece.mask & !mask_on(&self.pieces, piece.worker) == 0
        })
    }

    /// Charges `pieces` to the block.
    pub fn charge(&mut self, pieces: &[Piece]) {
        self.used.extend_from_slice(pieces);
    }

    /// Removes `pieces` from what is charged to the block.
    pub fn discharge(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            if let Some(index) = self.used.iter().position(|x| x == piece) {
                self.used.swap_remove(index);
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

/// Returns places for `shapes` on an empty site in full health, in the order
/// of `shapes`; `None` for each that does not fit.
pub fn pack(site: &Site, shapes: &[Shape]) -> Vec<Option<Vec<Piece>>> {
    let mut open = vec![site.full_mask(); site.workers().len()];
    let mut places = vec![None; shapes.len()];
    for index in largest_first(shapes) {
        let spread = Spread::Whole;
        let found = place::find(site, shapes[index], spread, |w| open[w])
            .or_else(|| {
                let spread = Spread::Remainders;
                place::find(site, shapes[index], spread, |w| open[w])
            });
        for piece in found.iter().flatten() {
            open[piece.worker] &= !piece.mask;
        }
        places[index] = found;
    }
    places
}

/// Returns positions of `shapes`, the hardest to place first.
pub(super) fn largest_first(shapes: &[Shape]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(|&index| {
        let shape = shapes[index];
        (std::cmp::Reverse(shape.accelerators), shape.within, index)
    });
    order
}

impl State {
    /// Adds and removes home blocks so that they match the account's
    /// guarantee.
    pub fn sync_homes(&mut self, account: &account::Id) {
        let wanted = match self.accounts.get(account) {
            Some(account_state) => account_state.terms.guarantee.clone(),
            None => Vec::new(),
        };
        let mut missing = wanted;
        for index in 0..self.homes.len() {
            if self.homes[index].owner.as_ref() != Some(account) {
                continue;
            }
            let shape = self.homes[index].shape;
            match missing.iter().position(|x| *x == shape) {
                Some(position) => {
                    missing.swap_remove(position);
                }
                None => {
                    let demoted = self.unplace_home(index);
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
        self.update_nominal();
    }

    /// Recomputes the accelerators that no guarantee needs on a site in full
    /// health.
    pub fn update_nominal(&mut self) {
        let shapes: Vec<Shape> = self
            .homes
            .iter()
            .filter(|home| home.owner.is_some())
            .map(|home| home.shape)
            .collect();
        let whole = self.site.full_mask();
        self.nominal_unguaranteed = vec![whole; self.workers.len()];
        let places = pack(&self.site, &shapes);
        for piece in places.iter().flatten().flatten() {
            self.nominal_unguaranteed[piece.worker] &= !piece.mask;
        }
    }

    /// Places every home block on workers that take work, as far as there is
    /// room, and moves as few blocks as possible.
    pub fn place_homes(&mut self) {
        if !std::mem::take(&mut self.homes_dirty) {
            return;
        }
        let mut demoted = Vec::new();
        for index in 0..self.homes.len() {
            let home = &self.homes[index];
            let is_usable = home
                .pieces
                .iter()
                .all(|piece| self.workers[piece.worker].is_open());
            if !is_usable {
                demoted.extend(self.unplace_home(index));
            }
        }
        self.place_unplaced();
        if self.unplaced().next().is_some() {
            demoted.extend(self.repack());
        }
        self.promote(&demoted);
    }

    /// Returns the home blocks that have no place.
    pub fn unplaced(&self) -> impl Iterator<Item = HomeIndex> + '_ {
        (0..self.homes.len()).filter(|&index| {
            let home = &self.homes[index];
            home.owner.is_some() && !home.is_placed()
        })
    }

    /// Moves every block that can move, if more of them then have a place.
    /// Jobs charged to such a block that can be stopped become borrowers, and
    /// their guaranteed shape is reserved elsewhere.
    fn repack(&mut self) -> Vec<job::Id> {
        let before = self.placed_count();
        let old = self.usage_snapshot();
        let mut demoted = Vec::new();
        for index in 0..self.homes.len() {
            if !self.homes[index].is_used() {
                self.clear_place(index);
            } else if let Some(users) = self.stoppable_users(index) {
                demoted.extend(users);
                self.clear_place(index);
            }
        }
        for id in &demoted {
            self.set_home(id, None);
        }
        self.place_unplaced();
        if self.placed_count() <= before {
            self.restore_usage(old);
            demoted.clear();
        }
        demoted
    }

    /// Returns the jobs charged to a block, if all can be stopped.
    fn stoppable_users(&self, index: HomeIndex) -> Option<Vec<job::Id>> {
        let booked = self.booked.iter().filter_map(|id| self.jobs.get(id));
        let has_booking = booked
            .filter_map(|job| job.booking.as_ref())
            .any(|booking| booking.home == Some(index));
        let runs = self.job_ids(|job| {
            job.run().is_some_and(|run| run.home == Some(index))
        });
        let movable = runs.iter().all(|id| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.spec.is_reclaimable())
        });
        (movable && !has_booking).then_some(runs)
    }

    fn placed_count(&self) -> u32 {
        self.homes
            .iter()
            .filter(|home| home.is_placed())
            .map(|home| home.shape.accelerators)
            .sum()
    }

    fn place_unplaced(&mut self) {
        let missing: Vec<HomeIndex> = self.unplaced().collect();
        let shapes: Vec<Shape> = missing
            .iter()
            .map(|&index| self.homes[index].shape)
            .collect();
        for index in largest_first(&shapes) {
            self.place_home(missing[index]);
        }
    }

    pub(super) fn place_home(&mut self, index: HomeIndex) -> bool {
        match self.find_place(index) {
            Some(pieces) => {
                self.set_place(index, pieces);
                true
            }
            None => false,
        }
    }

    fn set_place(&mut self, index: HomeIndex, pieces: Vec<Piece>) {
        for piece in &pieces {
            self.workers[piece.worker].home |= piece.mask;
        }
        self.homes[index].pieces = pieces;
    }

    pub(super) fn clear_place(&mut self, index: HomeIndex) {
        for piece in std::mem::take(&mut self.homes[index].pieces) {
            self.workers[piece.worker].home &= !piece.mask;
        }
    }

    /// Removes a home block from its place. The owner's jobs charged to it
    /// become borrowers and are returned.
    fn unplace_home(&mut self, index: HomeIndex) -> Vec<job::Id> {
        self.clear_place(index);
        let in_run =
            |job: &Job| job.run().is_some_and(|run| run.home == Some(index));
        let in_booking = |job: &Job| {
            let booking = job.booking.as_ref();
            booking.is_some_and(|booking| booking.home == Some(index))
        };
        let runs = self.job_ids(in_run);
        let bookings = self.job_ids(in_booking);
        for id in &runs {
            self.set_home(id, None);
        }
        for id in bookings {
            self.unbook(&id);
        }
        runs
    }

    pub(super) fn job_ids(
        &self,
        wanted: impl Fn(&Job) -> bool,
    ) -> Vec<job::Id> {
        self.jobs
            .iter()
            .filter(|(_, job)| wanted(job))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the running borrowers of an account, the largest first.
    pub fn borrowers(&self, account: &account::Id) -> Vec<job::Id> {
        let mut borrowers = self.job_ids(|job| {
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

    /// Charges borrowers to home blocks of their account that have room.
    pub fn promote(&mut self, borrowers: &[job::Id]) {
        for id in borrowers {
            let Some(job) = self.jobs.get(id).cloned() else {
                continue;
            };
            let pieces = job.run().map(|run| run.pieces.clone());
            let home = self.cover_any(&job, &pieces.unwrap_or_default());
            if home.is_some() {
                self.set_home(id, home);
            }
        }
    }

    /// Moves a home block of the job's account over `pieces`, which the job is
    /// about to use, and returns the block: the tightest one that has room and
    /// can move there.
    pub fn cover_any(
        &mut self,
        job: &Job,
        pieces: &[Piece],
    ) -> Option<HomeIndex> {
        let mut own: Vec<HomeIndex> = (0..self.homes.len())
            .filter(|&index| self.has_room(index, job))
            .collect();
        own.sort_by_key(|&index| {
            (self.homes[index].shape.accelerators, index)
        });
        own.into_iter().find(|&home| self.cover(home, pieces))
    }
}

//! Moving home blocks: onto what their owner uses, and out of the way.
//!
//! Every move is made as a whole or not at all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::account;
use crate::job;
use crate::plan::home::largest_first;
use crate::plan::home::mask_on;
use crate::plan::home::Home;
use crate::plan::home::HomeIndex;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::state::count;
use crate::plan::state::Job;
use crate::plan::state::State;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::WorkerIndex;

/// Where all blocks are, to go back to.
pub(super) struct Snapshot {
    homes: Vec<Home>,
    masks: Vec<Mask>,
}

/// What counts towards which block, to go back to.
pub(super) struct Counts {
    snapshot: Snapshot,
    borrowed: Vec<(account::Id, u32)>,
    homes: Vec<(job::Id, HomeIndex)>,
    guaranteed: BTreeMap<account::Id, BTreeSet<job::Id>>,
}

/// Returns pieces with those of one worker put together.
fn merged<'a>(pieces: impl Iterator<Item = &'a Piece>) -> Vec<Piece> {
    let mut masks: BTreeMap<WorkerIndex, Mask> = BTreeMap::new();
    for piece in pieces {
        *masks.entry(piece.worker).or_default() |= piece.mask;
    }
    let merged = masks.into_iter();
    merged
        .map(|(worker, mask)| Piece { worker, mask })
        .collect()
}

impl State {
    /// Returns a place for a block that covers what its owner uses of it.
    pub(super) fn block(&self, index: HomeIndex) -> Option<Vec<Piece>> {
        let home = &self.homes[index];
        let open = |worker: WorkerIndex| {
            let books = &self.workers[worker];
            match books.is_open() {
                true => self.site.full_mask() & !books.home & !books.stuck,
                false => 0,
            }
        };
        let Some(first) = home.used.first() else {
            return place::find(&self.site, home.shape, Spread::Whole, open)
                .or_else(|| {
                    let spread = Spread::Remainders;
                    place::find(&self.site, home.shape, spread, open)
                });
        };
        // A job about to take another's place is counted beside it.
        let used = merged(home.used.iter());
        let within = home.shape.within;
        // What is about to be displaced may still count towards another.
        let contested =
            |piece: &Piece| self.workers[piece.worker].home & piece.mask != 0;
        if used.iter().any(contested) {
            return None;
        }
        if !self.site.lies_within(&used, within) {
            return None;
        }
        let missing = Shape {
            accelerators: home.shape.accelerators.checked_sub(count(&used))?,
            within,
        };
        let rest = |w: WorkerIndex| open(w) & !mask_on(&used, w);
        let domain = self
            .site
            .domains(within)
            .find(|domain| domain.contains(&first.worker))?;
        let spread = Spread::Remainders;
        let more = place::gather(&self.site, domain, missing, spread, &rest)?;
        Some(merged(used.iter().chain(&more)))
    }

    /// Counts `pieces`, which the owner is about to use, towards a block,
    /// and moves it and all blocks in the way. Changes nothing and returns
    /// false if one would have no place.
    pub fn cover(&mut self, index: HomeIndex, pieces: &[Piece]) -> bool {
        // A block on a worker that takes no work would be no promise.
        if !pieces.iter().all(|p| self.workers[p.worker].is_open()) {
            return false;
        }
        let before = self.snapshot();
        self.homes[index].charge(pieces);
        self.lift_block(index);
        let moved = self.lift_overlapping(pieces);
        let placed = self.place_home(index) && self.place_all(&moved);
        self.homes[index].discharge(pieces);
        if !placed {
            self.restore(before);
        }
        placed
    }

    /// Moves all blocks off `pieces`, which somebody is about to use who
    /// cannot be stopped. Changes nothing and returns false if one would
    /// have no place.
    pub fn make_way(&mut self, pieces: &[Piece]) -> bool {
        let before = self.snapshot();
        let moved = self.lift_overlapping(pieces);
        let stuck: Vec<Mask> =
            self.workers.iter().map(|books| books.stuck).collect();
        for piece in pieces {
            self.workers[piece.worker].stuck |= piece.mask;
        }
        let placed = self.place_all(&moved);
        for (books, stuck) in self.workers.iter_mut().zip(stuck) {
            books.stuck = stuck;
        }
        if !placed {
            self.restore(before);
        }
        placed
    }

    /// Empties a block of its owner's jobs, so that one that needs all of
    /// it can have it: they count towards other shapes, or as borrowers.
    /// Changes nothing and returns false if one can be neither.
    pub fn vacate(&mut self, index: HomeIndex) -> bool {
        let before = self.clone_counts();
        let runs = self
            .ids(|job| job.run().is_some_and(|run| run.home == Some(index)));
        let booked = self.ids(|job| {
            let booking = job.booking.as_ref();
            booking.is_some_and(|booking| booking.home == Some(index))
        });
        let gone = booked.is_empty()
            && runs.iter().all(|id| self.count_elsewhere(id, index));
        let placed = gone && {
            self.lift_block(index);
            self.place_home(index)
        };
        if !placed {
            self.restore_counts(before);
        }
        placed
    }

    pub(super) fn count_elsewhere(
        &mut self,
        id: &job::Id,
        from: HomeIndex,
    ) -> bool {
        let Some(job) = self.jobs.get(id).cloned() else {
            return false;
        };
        let Some(run) = job.run() else {
            return false;
        };
        let mut others: Vec<HomeIndex> = (0..self.homes.len())
            .filter(|&at| at != from && self.has_room(at, &job))
            .collect();
        others.sort_by_key(|&at| self.homes[at].shape.accelerators);
        // The job must not count twice while its new block is sought.
        self.adopt_home(id, None);
        for other in others {
            if self.cover(other, &run.pieces) {
                self.adopt_home(id, Some(other));
                return true;
            }
        }
        let tenant = &self.tenants[&job.spec.account];
        tenant.borrowed <= tenant.terms.borrow
    }

    /// Returns whether a block of the job's account has room for it.
    pub fn has_room(&self, index: HomeIndex, job: &Job) -> bool {
        let home = &self.homes[index];
        let used: u32 = home.used.iter().map(Piece::len).sum();
        home.owner.as_ref() == Some(&job.spec.account)
            && home.shape.holds(&job.spec.shape)
            && home.shape.accelerators - used.min(home.shape.accelerators)
                >= job.spec.shape.accelerators
    }

    pub(super) fn lift_overlapping(
        &mut self,
        pieces: &[Piece],
    ) -> Vec<HomeIndex> {
        let overlaps = |home: &Home| {
            let hit = |p: &Piece| mask_on(&home.pieces, p.worker) & p.mask;
            pieces.iter().any(|piece| hit(piece) != 0)
        };
        let lifted: Vec<HomeIndex> = (0..self.homes.len())
            .filter(|&at| overlaps(&self.homes[at]))
            .collect();
        for index in &lifted {
            self.lift_block(*index);
        }
        lifted
    }

    pub(super) fn place_all(&mut self, indices: &[HomeIndex]) -> bool {
        let shapes: Vec<Shape> =
            indices.iter().map(|&at| self.homes[at].shape).collect();
        largest_first(&shapes)
            .into_iter()
            .all(|at| self.place_home(indices[at]))
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            homes: self.homes.clone(),
            masks: self.workers.iter().map(|books| books.home).collect(),
        }
    }

    pub(super) fn restore(&mut self, before: Snapshot) {
        self.homes = before.homes;
        for (books, mask) in self.workers.iter_mut().zip(before.masks) {
            books.home = mask;
        }
    }

    pub(super) fn clone_counts(&self) -> Counts {
        let borrowed = self.tenants.iter();
        let homes = self.jobs.iter().filter_map(|(id, job)| {
            let home = job.run()?.home?;
            Some((id.clone(), home))
        });
        Counts {
            snapshot: self.snapshot(),
            borrowed: borrowed
                .map(|(id, tenant)| (id.clone(), tenant.borrowed))
                .collect(),
            homes: homes.collect(),
            guaranteed: self.guaranteed.clone(),
        }
    }

    pub(super) fn restore_counts(&mut self, before: Counts) {
        self.restore(before.snapshot);
        self.guaranteed = before.guaranteed;
        for (id, borrowed) in before.borrowed {
            if let Some(tenant) = self.tenants.get_mut(&id) {
                tenant.borrowed = borrowed;
            }
        }
        for (id, home) in before.homes {
            if let Some(run) = self.jobs.get_mut(&id).and_then(Job::run_mut) {
                run.home = Some(home);
            }
        }
    }
}

//! Moves home blocks: onto the accelerators that their owner uses, and away
//! from accelerators that others need.
//!
//! A move is made completely or not at all.

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
use crate::plan::state::accelerator_count;
use crate::plan::state::Job;
use crate::plan::state::State;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::WorkerIndex;

/// The positions of all home blocks, for rollback.
pub(super) struct Snapshot {
    homes: Vec<Home>,
    masks: Vec<Mask>,
}

/// The positions of all home blocks and what is charged to them, for rollback.
pub(super) struct UsageSnapshot {
    snapshot: Snapshot,
    borrowed: Vec<(account::Id, u32)>,
    homes: Vec<(job::Id, HomeIndex)>,
    guaranteed: BTreeMap<account::Id, BTreeSet<job::Id>>,
}

/// Returns `pieces` with one piece per worker.
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
    /// Returns accelerators for a block that include all that is charged to
    /// it, or `None` if there are none.
    pub(super) fn find_place(&self, index: HomeIndex) -> Option<Vec<Piece>> {
        let home = &self.homes[index];
        let open = |worker_index: WorkerIndex| {
            let worker = &self.workers[worker_index];
            match worker.is_open() {
                true => {
                    self.site.full_mask() & !worker.home & !worker.unstoppable
                }
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
        // The booking of a job that displaces another overlaps the other's run
        // while both are charged, so their pieces are merged.
        let used = merged(home.used.iter());
        let within = home.shape.within;
        // Accelerators of a run that is about to be displaced may still be
        // charged to another block.
        let contested =
            |piece: &Piece| self.workers[piece.worker].home & piece.mask != 0;
        if used.iter().any(contested) {
            return None;
        }
        if !self.site.lies_within(&used, within) {
            return None;
        }
        let missing = Shape {
            accelerators: home
                .shape
                .accelerators
                .checked_sub(accelerator_count(&used))?,
            within,
        };
        let remaining = |w: WorkerIndex| open(w) & !mask_on(&used, w);
        let domain = self
            .site
            .domains(within)
            .find(|domain| domain.contains(&first.worker))?;
        let spread = Spread::Remainders;
        let added =
            place::gather(&self.site, domain, missing, spread, &remaining)?;
        Some(merged(used.iter().chain(&added)))
    }

    /// Moves a block over `pieces`, which its owner is about to use, and moves
    /// all other blocks off them. Returns whether every block has a place; if
    /// one would have none, nothing changes.
    pub fn cover(&mut self, index: HomeIndex, pieces: &[Piece]) -> bool {
        // A block on a worker that takes no new work could not be handed out.
        if !pieces.iter().all(|p| self.workers[p.worker].is_open()) {
            return false;
        }
        let before = self.snapshot();
        self.homes[index].charge(pieces);
        self.clear_place(index);
        let moved = self.clear_overlapping(pieces);
        let placed = self.place_home(index) && self.place_listed(&moved);
        self.homes[index].discharge(pieces);
        if !placed {
            self.restore(before);
        }
        placed
    }

    /// Moves all blocks off `pieces`, which a job that cannot be stopped is
    /// about to use. Returns whether every block has a place; if one would
    /// have none, nothing changes.
    pub fn move_blocks_off(&mut self, pieces: &[Piece]) -> bool {
        let before = self.snapshot();
        let moved = self.clear_overlapping(pieces);
        let unstoppable: Vec<Mask> = self
            .workers
            .iter()
            .map(|worker| worker.unstoppable)
            .collect();
        for piece in pieces {
            self.workers[piece.worker].unstoppable |= piece.mask;
        }
        let placed = self.place_listed(&moved);
        for (worker, unstoppable) in self.workers.iter_mut().zip(unstoppable) {
            worker.unstoppable = unstoppable;
        }
        if !placed {
            self.restore(before);
        }
        placed
    }

    /// Releases a block from its owner's jobs, so that a job that needs all of
    /// it can use it. The jobs are charged to other blocks of the account or
    /// count as borrowers. If one can do neither, nothing changes and `false`
    /// is returned.
    pub fn vacate_home(&mut self, index: HomeIndex) -> bool {
        let before = self.usage_snapshot();
        let runs = self.job_ids(|job| {
            job.run().is_some_and(|run| run.home == Some(index))
        });
        let booked = self.job_ids(|job| {
            let booking = job.booking.as_ref();
            booking.is_some_and(|booking| booking.home == Some(index))
        });
        let all_recharged = booked.is_empty()
            && runs.iter().all(|id| self.charge_elsewhere(id, index));
        let placed = all_recharged && {
            self.clear_place(index);
            self.place_home(index)
        };
        if !placed {
            self.restore_usage(before);
        }
        placed
    }

    pub(super) fn charge_elsewhere(
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
            .filter(|&other| other != from && self.has_room(other, &job))
            .collect();
        others.sort_by_key(|&index| self.homes[index].shape.accelerators);
        // The job must not be charged twice while a new block is sought.
        self.set_home(id, None);
        for other in others {
            if self.cover(other, &run.pieces) {
                self.set_home(id, Some(other));
                return true;
            }
        }
        let account_state = &self.accounts[&job.spec.account];
        account_state.borrowed <= account_state.terms.borrow
    }

    /// Returns whether the block belongs to the job's account and has enough
    /// uncharged accelerators for the job.
    pub fn has_room(&self, index: HomeIndex, job: &Job) -> bool {
        let home = &self.homes[index];
        let used: u32 = home.used.iter().map(Piece::len).sum();
        home.owner.as_ref() == Some(&job.spec.account)
            && home.shape.holds(&job.spec.shape)
            && home.shape.accelerators - used.min(home.shape.accelerators)
                >= job.spec.shape.accelerators
    }

    pub(super) fn clear_overlapping(
        &mut self,
        pieces: &[Piece],
    ) -> Vec<HomeIndex> {
        let overlaps = |home: &Home| {
            let overlap = |p: &Piece| mask_on(&home.pieces, p.worker) & p.mask;
            pieces.iter().any(|piece| overlap(piece) != 0)
        };
        let cleared: Vec<HomeIndex> = (0..self.homes.len())
            .filter(|&index| overlaps(&self.homes[index]))
            .collect();
        for index in &cleared {
            self.clear_place(*index);
        }
        cleared
    }

    pub(super) fn place_listed(&mut self, indices: &[HomeIndex]) -> bool {
        let shapes: Vec<Shape> = indices
            .iter()
            .map(|&index| self.homes[index].shape)
            .collect();
        largest_first(&shapes)
            .into_iter()
            .all(|index| self.place_home(indices[index]))
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            homes: self.homes.clone(),
            masks: self.workers.iter().map(|worker| worker.home).collect(),
        }
    }

    pub(super) fn restore(&mut self, before: Snapshot) {
        self.homes = before.homes;
        for (worker, mask) in self.workers.iter_mut().zip(before.masks) {
            worker.home = mask;
        }
    }

    pub(super) fn usage_snapshot(&self) -> UsageSnapshot {
        let borrowed = self.accounts.iter();
        let homes = self.jobs.iter().filter_map(|(id, job)| {
            let home = job.run()?.home?;
            Some((id.clone(), home))
        });
        UsageSnapshot {
            snapshot: self.snapshot(),
            borrowed: borrowed
                .map(|(id, account_state)| {
                    (id.clone(), account_state.borrowed)
                })
                .collect(),
            homes: homes.collect(),
            guaranteed: self.guaranteed.clone(),
        }
    }

    pub(super) fn restore_usage(&mut self, before: UsageSnapshot) {
        self.restore(before.snapshot);
        self.guaranteed = before.guaranteed;
        for (id, borrowed) in before.borrowed {
            if let Some(account_state) = self.accounts.get_mut(&id) {
                account_state.borrowed = borrowed;
            }
        }
        for (id, home) in before.homes {
            if let Some(run) = self.jobs.get_mut(&id).and_then(Job::run_mut) {
                run.home = Some(home);
            }
        }
    }
}

//! Reserves accelerators for an overdue job: those that are expected to be
//! free first are given to no other job that cannot be stopped.

use std::time::SystemTime;

use crate::plan::home::mask_on;
use crate::plan::schedule::Pass;
use crate::plan::state::Job;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::WorkerIndex;

/// Accelerators that an overdue job gets once they are released.
pub(super) struct Reservation {
    pieces: Vec<Piece>,
    ready_at: SystemTime,
}

impl Pass<'_> {
    /// Determines where an overdue job will fit first, so that no job that
    /// cannot be stopped is placed there in the meantime.
    pub(super) fn reserve(&self, job: &Job) -> Option<Reservation> {
        if !self.may_borrow(job) {
            return None;
        }
        let state = &*self.state;
        state
            .site
            .domains(job.spec.shape.within)
            .filter_map(|domain| self.earliest_in(job, domain))
            .min_by_key(|reservation| reservation.ready_at)
    }

    fn earliest_in(
        &self,
        job: &Job,
        domain: &[WorkerIndex],
    ) -> Option<Reservation> {
        let state = &*self.state;
        let region = |w: WorkerIndex| match state.workers[w].is_open() {
            true => self.usable(job, w) & self.region(job, w),
            false => 0,
        };
        let mut pieces: Vec<(SystemTime, Piece)> = Vec::new();
        for &worker in domain {
            let allowed = region(worker);
            let mask = allowed & state.vacant(worker);
            pieces.push((self.now, Piece { worker, mask }));
            for id in &state.workers[worker].jobs {
                let Some(other) = state.jobs.get(id) else {
                    continue;
                };
                let ends_at = match other.is_reclaimable() {
                    true => self.now,
                    false => self.now + state.time_left(other, self.now),
                };
                let held = other.run().map(|run| &run.pieces);
                let held = held.into_iter().flatten();
                for piece in held.filter(|piece| piece.worker == worker) {
                    let mask = piece.mask & allowed;
                    pieces.push((ends_at, Piece { worker, mask }));
                }
            }
        }
        pieces.sort_by_key(|(ends_at, piece)| (*ends_at, piece.worker));
        let mut reserved = 0;
        let mut ready_at = self.now;
        let mut chosen = Vec::new();
        for (ends_at, piece) in pieces {
            if reserved >= job.spec.shape.accelerators {
                break;
            }
            reserved += piece.len();
            ready_at = ends_at;
            chosen.push(piece);
        }
        (reserved >= job.spec.shape.accelerators).then_some(Reservation {
            pieces: chosen,
            ready_at,
        })
    }

    /// Returns the accelerators that a job ending at `ends` must leave to the
    /// reservation.
    pub(super) fn reserved_mask(
        &self,
        job: &Job,
        ends_at: SystemTime,
        worker: WorkerIndex,
    ) -> Mask {
        match &self.reservation {
            Some(reservation)
                if !job.spec.is_reclaimable()
                    && ends_at > reservation.ready_at =>
            {
                mask_on(&reservation.pieces, worker)
            }
            _ => 0,
        }
    }
}

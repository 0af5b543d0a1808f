//! Keeping room for an overdue job: what will be free first is not given to
//! anything that cannot be stopped.

use std::time::SystemTime;

use crate::plan::home::mask_on;
use crate::plan::schedule::Pass;
use crate::plan::state::Job;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::WorkerIndex;

/// Accelerators that an overdue job will get when they are released.
pub(super) struct Reservation {
    pieces: Vec<Piece>,
    ready: SystemTime,
}

impl Pass<'_> {
    /// Works out where an overdue job will fit first, so that nothing that
    /// cannot be stopped is put there meanwhile.
    pub(super) fn reserve(&self, job: &Job) -> Option<Reservation> {
        if !self.may_borrow(job) {
            return None;
        }
        let state = &*self.state;
        state
            .site
            .domains(job.spec.shape.within)
            .filter_map(|domain| self.earliest(job, domain))
            .min_by_key(|reservation| reservation.ready)
    }

    fn earliest(
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
                let ends = match other.is_reclaimable() {
                    true => self.now,
                    false => self.now + state.time_left(other, self.now),
                };
                let theirs = other.run().map(|run| &run.pieces);
                let theirs = theirs.into_iter().flatten();
                for piece in theirs.filter(|piece| piece.worker == worker) {
                    let mask = piece.mask & allowed;
                    pieces.push((ends, Piece { worker, mask }));
                }
            }
        }
        pieces.sort_by_key(|(ends, piece)| (*ends, piece.worker));
        let mut got = 0;
        let mut ready = self.now;
        let mut chosen = Vec::new();
        for (ends, piece) in pieces {
            if got >= job.spec.shape.accelerators {
                break;
            }
            got += piece.len();
            ready = ends;
            chosen.push(piece);
        }
        (got >= job.spec.shape.accelerators).then_some(Reservation {
            pieces: chosen,
            ready,
        })
    }

    /// Returns what a job that ends at `ends` must leave to a reservation.
    pub(super) fn reserved_mask(
        &self,
        job: &Job,
        ends: SystemTime,
        worker: WorkerIndex,
    ) -> Mask {
        match &self.reserved {
            Some(reserved)
                if !job.spec.is_reclaimable() && ends > reserved.ready =>
            {
                mask_on(&reserved.pieces, worker)
            }
            _ => 0,
        }
    }
}

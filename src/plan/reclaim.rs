//! Chooses the jobs to stop so that a shape fits: the cheapest whole jobs.

use std::collections::BTreeSet;

use crate::job;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::State;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Within;
use crate::site::WorkerIndex;

/// The cost of stopping a job, in accelerator-milliseconds of lost work.
pub type Cost = u64;

/// Accelerators for a shape, and the jobs to stop first.
#[derive(Clone, Debug, PartialEq)]
pub struct Preemption {
    /// The accelerators.
    pub pieces: Vec<Piece>,
    /// The jobs that use the accelerators now.
    pub victims: BTreeSet<job::Id>,
    /// The cost of stopping the victims.
    pub cost: Cost,
}

/// Returns the cheapest way to fit `shape` into what `region` allows, by
/// stopping jobs to which `stop_cost` gives a cost.
///
/// Jobs that are already stopping cost nothing; the shape waits for them.
pub fn cheapest(
    state: &State,
    shape: Shape,
    spread: Spread,
    region: &impl Fn(WorkerIndex) -> Mask,
    stop_cost: &impl Fn(&Job) -> Option<Cost>,
) -> Option<Preemption> {
    let search = Search {
        state,
        region,
        stop_cost,
    };
    let single = match shape.accelerators <= state.site.accelerators() {
        true => search.cheapest_within(shape, spread, Within::Worker),
        false => None,
    };
    match shape.within {
        Within::Worker => single,
        _ if single.is_some() => single,
        within => search.cheapest_within(shape, spread, within),
    }
}

struct Search<'a, R, P> {
    state: &'a State,
    region: &'a R,
    stop_cost: &'a P,
}

struct Candidate<'a> {
    id: &'a job::Id,
    cost: Cost,
    freed_count: u32,
}

impl<R, P> Search<'_, R, P>
where
    R: Fn(WorkerIndex) -> Mask,
    P: Fn(&Job) -> Option<Cost>,
{
    /// Returns the cheapest preemption in a single domain of the given extent.
    fn cheapest_within(
        &self,
        shape: Shape,
        spread: Spread,
        within: Within,
    ) -> Option<Preemption> {
        let (_, domain, victims) = self
            .state
            .site
            .domains(within)
            .filter_map(|domain| {
                let victims = self.victims(domain, shape.accelerators)?;
                let cost: Cost = victims.iter().map(|v| v.cost).sum();
                Some((cost, domain, victims))
            })
            .min_by_key(|(cost, _, victims)| (*cost, victims.len()))?;
        self.preemption(shape, spread, domain, &victims)
    }

    /// Returns the accelerators of a worker that the search may take, whether
    /// or not they are in use.
    fn allowed(&self, index: WorkerIndex) -> Mask {
        let worker = &self.state.workers[index];
        match worker.is_open() {
            true => {
                (self.region)(index)
                    & self.state.site.full_mask()
                    & !worker.booked
            }
            false => 0,
        }
    }

    /// Returns the accelerators of a worker that the search may take and that
    /// are not in use.
    fn open(&self, worker: WorkerIndex) -> Mask {
        self.allowed(worker) & !self.state.workers[worker].used
    }

    /// Returns the cheapest jobs whose end frees `needed` accelerators.
    fn victims(
        &self,
        domain: &[WorkerIndex],
        needed: u32,
    ) -> Option<Vec<Candidate<'_>>> {
        let allowed: u32 =
            domain.iter().map(|&w| self.allowed(w).count_ones()).sum();
        if allowed < needed {
            return None;
        }
        let mut free_count: u32 =
            domain.iter().map(|&w| self.open(w).count_ones()).sum();
        let mut candidates = self.candidates(domain);
        candidates.sort_by(|a, b| {
            let left = a.cost * u64::from(b.freed_count);
            let right = b.cost * u64::from(a.freed_count);
            left.cmp(&right).then_with(|| a.id.cmp(b.id))
        });
        let mut victims = Vec::new();
        for candidate in candidates {
            if free_count >= needed {
                break;
            }
            free_count += candidate.freed_count;
            victims.push(candidate);
        }
        (free_count >= needed).then_some(victims)
    }

    fn candidates(&self, domain: &[WorkerIndex]) -> Vec<Candidate<'_>> {
        let ids: BTreeSet<&job::Id> = domain
            .iter()
            .filter(|&&w| self.allowed(w) != 0)
            .flat_map(|&w| &self.state.workers[w].jobs)
            .collect();
        ids.into_iter()
            .filter_map(|id| {
                let job = self.state.jobs.get(id)?;
                let cost = match &job.phase {
                    Phase::Waiting => None,
                    Phase::Stopping(..) => Some(0),
                    Phase::Running(_) => (self.stop_cost)(job),
                }?;
                let freed_count = self.freed_count(job, domain);
                (freed_count > 0).then_some(Candidate {
                    id,
                    cost,
                    freed_count,
                })
            })
            .collect()
    }

    fn freed_count(&self, job: &Job, domain: &[WorkerIndex]) -> u32 {
        job.run()
            .into_iter()
            .flat_map(|run| &run.pieces)
            .filter(|piece| domain.contains(&piece.worker))
            .map(|piece| piece.mask & self.allowed(piece.worker))
            .map(Mask::count_ones)
            .sum()
    }

    /// Returns the preemption of `victims`, without those whose accelerators
    /// are not needed.
    fn preemption(
        &self,
        shape: Shape,
        spread: Spread,
        domain: &[WorkerIndex],
        victims: &[Candidate<'_>],
    ) -> Option<Preemption> {
        let runs: Vec<(&Candidate<'_>, &[Piece])> = victims
            .iter()
            .filter_map(|candidate| {
                let run = self.state.jobs.get(candidate.id)?.run()?;
                Some((candidate, run.pieces.as_slice()))
            })
            .collect();
        let freed = |worker: WorkerIndex| {
            runs.iter()
                .flat_map(|(_, pieces)| pieces.iter())
                .filter(|piece| piece.worker == worker)
                .fold(0, |mask, piece| mask | piece.mask)
        };
        let open = |w: WorkerIndex| self.open(w) | freed(w) & self.allowed(w);
        let pieces =
            place::gather(&self.state.site, domain, shape, spread, &open)?;
        let touches = |held: &[Piece]| {
            held.iter().any(|a| {
                pieces
                    .iter()
                    .any(|b| a.worker == b.worker && a.mask & b.mask != 0)
            })
        };
        let needed: Vec<&Candidate<'_>> = runs
            .iter()
            .filter(|(_, held)| touches(held))
            .map(|(candidate, _)| *candidate)
            .collect();
        Some(Preemption {
            cost: needed.iter().map(|candidate| candidate.cost).sum(),
            victims: needed.iter().map(|o| o.id.clone()).collect(),
            pieces,
        })
    }
}

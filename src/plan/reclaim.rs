//! Choosing whom to stop so that a shape fits: the cheapest whole jobs.

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

/// What stopping a job costs, in accelerator-milliseconds of lost work.
pub type Cost = u64;

/// Accelerators to be had, and who must stop first.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The accelerators.
    pub pieces: Vec<Piece>,
    /// The jobs that have them now.
    pub victims: BTreeSet<job::Id>,
    /// What stopping them costs.
    pub cost: Cost,
}

/// Returns the cheapest way to fit `shape` into what `region` allows, by
/// stopping jobs to which `price` gives a cost.
///
/// Jobs that are stopping already cost nothing, and are waited for.
pub fn cheapest(
    state: &State,
    shape: Shape,
    spread: Spread,
    region: &impl Fn(WorkerIndex) -> Mask,
    price: &impl Fn(&Job) -> Option<Cost>,
) -> Option<Claim> {
    let market = Market {
        state,
        region,
        price,
    };
    let single = match shape.accelerators <= state.site.accelerators() {
        true => market.best(shape, spread, Within::Worker),
        false => None,
    };
    match shape.within {
        Within::Worker => single,
        _ if single.is_some() => single,
        within => market.best(shape, spread, within),
    }
}

struct Market<'a, R, P> {
    state: &'a State,
    region: &'a R,
    price: &'a P,
}

struct Offer<'a> {
    id: &'a job::Id,
    cost: Cost,
    gain: u32,
}

impl<R, P> Market<'_, R, P>
where
    R: Fn(WorkerIndex) -> Mask,
    P: Fn(&Job) -> Option<Cost>,
{
    fn best(
        &self,
        shape: Shape,
        spread: Spread,
        within: Within,
    ) -> Option<Claim> {
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
        self.claim(shape, spread, domain, &victims)
    }

    fn allowed(&self, worker: WorkerIndex) -> Mask {
        let books = &self.state.workers[worker];
        match books.is_open() {
            true => {
                (self.region)(worker)
                    & self.state.site.full_mask()
                    & !books.booked
            }
            false => 0,
        }
    }

    fn open(&self, worker: WorkerIndex) -> Mask {
        self.allowed(worker) & !self.state.workers[worker].used
    }

    /// Returns the cheapest jobs whose end makes room for `needed`.
    fn victims(
        &self,
        domain: &[WorkerIndex],
        needed: u32,
    ) -> Option<Vec<Offer<'_>>> {
        let allowed: u32 =
            domain.iter().map(|&w| self.allowed(w).count_ones()).sum();
        if allowed < needed {
            return None;
        }
        let mut room: u32 =
            domain.iter().map(|&w| self.open(w).count_ones()).sum();
        let mut offers = self.offers(domain);
        offers.sort_by(|a, b| {
            let left = a.cost * u64::from(b.gain);
            let right = b.cost * u64::from(a.gain);
            left.cmp(&right).then_with(|| a.id.cmp(b.id))
        });
        let mut victims = Vec::new();
        for offer in offers {
            if room >= needed {
                break;
            }
            room += offer.gain;
            victims.push(offer);
        }
        (room >= needed).then_some(victims)
    }

    fn offers(&self, domain: &[WorkerIndex]) -> Vec<Offer<'_>> {
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
                    Phase::Running(_) => (self.price)(job),
                }?;
                let gain = self.gain(job, domain);
                (gain > 0).then_some(Offer { id, cost, gain })
            })
            .collect()
    }

    fn gain(&self, job: &Job, domain: &[WorkerIndex]) -> u32 {
        job.run()
            .into_iter()
            .flat_map(|run| &run.pieces)
            .filter(|piece| domain.contains(&piece.worker))
            .map(|piece| piece.mask & self.allowed(piece.worker))
            .map(Mask::count_ones)
            .sum()
    }

    fn claim(
        &self,
        shape: Shape,
        spread: Spread,
        domain: &[WorkerIndex],
        victims: &[Offer<'_>],
    ) -> Option<Claim> {
        let runs: Vec<(&Offer<'_>, &[Piece])> = victims
            .iter()
            .filter_map(|offer| {
                let run = self.state.jobs.get(offer.id)?.run()?;
                Some((offer, run.pieces.as_slice()))
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
        let touches = |theirs: &[Piece]| {
            theirs.iter().any(|a| {
                pieces
                    .iter()
                    .any(|b| a.worker == b.worker && a.mask & b.mask != 0)
            })
        };
        let needed: Vec<&Offer<'_>> = runs
            .iter()
            .filter(|(_, theirs)| touches(theirs))
            .map(|(offer, _)| *offer)
            .collect();
        Some(Claim {
            cost: needed.iter().map(|offer| offer.cost).sum(),
            victims: needed.iter().map(|o| o.id.clone()).collect(),
            pieces,
        })
    }
}

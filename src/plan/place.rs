//! Finds accelerators for a shape by best fit, so that large free blocks stay
//! whole.

use crate::plan::mask;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Site;
use crate::site::WorkerIndex;

/// How a shape that spans workers is composed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// Of whole workers and one remainder, which spreads the shape the least.
    Whole,
    /// Of the smallest free remainders first, which keeps whole workers free.
    Remainders,
}

/// Returns the best place for `shape` on the accelerators that `open` allows,
/// or `None` if there is none.
pub fn find(
    site: &Site,
    shape: Shape,
    spread: Spread,
    open: impl Fn(WorkerIndex) -> Mask,
) -> Option<Vec<Piece>> {
    if shape.accelerators <= site.accelerators() {
        let single = tightest(0..site.workers().len(), shape, &open);
        if single.is_some() {
            return single.map(|piece| vec![piece]);
        }
    }
    if shape.within == crate::site::Within::Worker {
        return None;
    }
    let domain = site
        .domains(shape.within)
        .map(|domain| (open_count(domain, &open), domain))
        .filter(|(count, _)| *count >= shape.accelerators)
        .filter(|(_, domain)| {
            spread == Spread::Remainders
                || has_whole_workers(site, domain, shape, &open)
        })
        .min_by_key(|(count, _)| *count)
        .map(|(_, domain)| domain)?;
    gather(site, domain, shape, spread, &open)
}

/// Returns the tightest place for a shape on one of `workers`.
fn tightest(
    workers: impl Iterator<Item = WorkerIndex>,
    shape: Shape,
    open: &impl Fn(WorkerIndex) -> Mask,
) -> Option<Piece> {
    let (_, worker, free) = workers
        .map(|worker| (worker, open(worker)))
        .map(|(worker, free)| (free.count_ones(), worker, free))
        .filter(|(count, _, _)| *count >= shape.accelerators)
        .min_by_key(|(count, _, _)| *count)?;
    let mask = mask::choose(free, shape.accelerators)?;
    Some(Piece { worker, mask })
}

fn open_count(
    domain: &[WorkerIndex],
    open: &impl Fn(WorkerIndex) -> Mask,
) -> u32 {
    domain.iter().map(|&w| open(w).count_ones()).sum()
}

/// Returns whether whole workers and one remainder can make up the shape.
fn has_whole_workers(
    site: &Site,
    domain: &[WorkerIndex],
    shape: Shape,
    open: &impl Fn(WorkerIndex) -> Mask,
) -> bool {
    let whole = shape.accelerators / site.accelerators();
    let remainder = shape.accelerators % site.accelerators();
    let free_counts = || domain.iter().map(|&w| open(w).count_ones());
    let whole_count =
        free_counts().filter(|&n| n == site.accelerators()).count();
    let whole_count = whole_count as u32;
    let has_remainder = remainder == 0
        || whole_count > whole
        || free_counts().any(|n| n >= remainder && n < site.accelerators());
    whole_count >= whole && has_remainder
}

/// Composes a shape from the workers of one domain.
pub fn gather(
    site: &Site,
    domain: &[WorkerIndex],
    shape: Shape,
    spread: Spread,
    open: &impl Fn(WorkerIndex) -> Mask,
) -> Option<Vec<Piece>> {
    let mut free_counts: Vec<(u32, WorkerIndex)> = domain
        .iter()
        .map(|&worker| (open(worker).count_ones(), worker))
        .filter(|(count, _)| *count > 0)
        .collect();
    match spread {
        Spread::Whole => free_counts
            .sort_by_key(|&(count, w)| (std::cmp::Reverse(count), w)),
        Spread::Remainders => free_counts.sort(),
    }
    let mut pieces = Vec::new();
    let mut needed = shape.accelerators;
    while needed > 0 {
        // The last piece goes to the worker that it leaves with the least
        // free.
        let last = free_counts
            .iter()
            .enumerate()
            .filter(|(_, (count, _))| *count >= needed)
            .min_by_key(|(_, (count, _))| *count)
            .map(|(index, _)| index);
        let index = match last {
            Some(index) if spread == Spread::Remainders => index,
            Some(index) if needed < site.accelerators() => index,
            _ if free_counts.is_empty() => return None,
            _ => 0,
        };
        let (count, worker) = free_counts.remove(index);
        let mask = mask::choose(open(worker), count.min(needed))?;
        needed -= mask.count_ones();
        pieces.push(Piece { worker, mask });
    }
    pieces.sort_by_key(|piece| piece.worker);
    Some(pieces)
}

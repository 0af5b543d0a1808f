//! Finding accelerators for a shape: best fit, so that large blocks stay
//! whole.

use crate::plan::mask;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Site;
use crate::site::WorkerIndex;

/// How a shape that spans workers is put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// Of whole workers and one remainder: least spread.
    Whole,
    /// Of the smallest free remainders first: whole workers stay whole.
    Remainders,
}

/// Returns the best place for `shape` on the accelerators that `open`
/// allows, or `None` if there is none.
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
        .filter(|(room, _)| *room >= shape.accelerators)
        .filter(|(_, domain)| {
            spread == Spread::Remainders
                || has_whole_workers(site, domain, shape, &open)
        })
        .min_by_key(|(room, _)| *room)
        .map(|(_, domain)| domain)?;
    gather(site, domain, shape, spread, &open)
}

/// Returns the tightest place for a shape in one of `workers`.
fn tightest(
    workers: impl Iterator<Item = WorkerIndex>,
    shape: Shape,
    open: &impl Fn(WorkerIndex) -> Mask,
) -> Option<Piece> {
    let (_, worker, free) = workers
        .map(|worker| (worker, open(worker)))
        .map(|(worker, free)| (free.count_ones(), worker, free))
        .filter(|(room, _, _)| *room >= shape.accelerators)
        .min_by_key(|(room, _, _)| *room)?;
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
    let rest = shape.accelerators % site.accelerators();
    let free_counts = || domain.iter().map(|&w| open(w).count_ones());
    let whole_count =
        free_counts().filter(|&n| n == site.accelerators()).count();
    let whole_count = whole_count as u32;
    let has_rest = rest == 0
        || whole_count > whole
        || free_counts().any(|n| n >= rest && n < site.accelerators());
    whole_count >= whole && has_rest
}

/// Puts a shape together from the workers of one domain.
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
        .filter(|(room, _)| *room > 0)
        .collect();
    match spread {
        Spread::Whole => {
            free_counts.sort_by_key(|&(room, w)| (std::cmp::Reverse(room), w))
        }
        Spread::Remainders => free_counts.sort(),
    }
    let mut pieces = Vec::new();
    let mut needed = shape.accelerators;
    while needed > 0 {
        // The last piece goes where it leaves the least behind.
        let last = free_counts
            .iter()
            .enumerate()
            .filter(|(_, (room, _))| *room >= needed)
            .min_by_key(|(_, (room, _))| *room)
            .map(|(at, _)| at);
        let at = match last {
            Some(at) if spread == Spread::Remainders => at,
            Some(at) if needed < site.accelerators() => at,
            _ if free_counts.is_empty() => return None,
            _ => 0,
        };
        let (room, worker) = free_counts.remove(at);
        let mask = mask::choose(open(worker), room.min(needed))?;
        needed -= mask.count_ones();
        pieces.push(Piece { worker, mask });
    }
    pieces.sort_by_key(|piece| piece.worker);
    Some(pieces)
}

//! Moves small jobs together, so that whole workers become free.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use crate::job;
use crate::plan::command::Command;
use crate::plan::command::Reason;
use crate::plan::home::mask_on;
use crate::plan::mask;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::schedule;
use crate::plan::state::run_time;
use crate::plan::state::Booking;
use crate::plan::state::Job;
use crate::plan::state::Phase;
use crate::plan::state::State;
use crate::plan::Policy;
use crate::site::Mask;
use crate::site::Piece;
use crate::site::Shape;
use crate::site::Within;
use crate::site::WorkerIndex;

/// The shortest remaining run time for which a move pays, divided by the
/// weight of fragmentation.
const MIN_TIME_LEFT: Duration = Duration::from_secs(10);
/// How long a job has to run after a start before it may be moved.
const MIN_RUN_TIME: Duration = Duration::from_secs(15);
/// How many moves may be in progress at once.
const MAX_CONCURRENT_MOVES: usize = 4;

/// Moves all jobs of one worker to free remainders of others, if fewer workers
/// are entirely free than the free accelerators could make up.
pub fn run(
    state: &mut State,
    policy: &Policy,
    now: SystemTime,
    commands: &mut Vec<Command>,
) {
    if policy.weight_fragmentation <= 0.0 || !is_fragmented(state) {
        return;
    }
    if active_moves(state) >= MAX_CONCURRENT_MOVES {
        return;
    }
    let min_time_left = MIN_TIME_LEFT.div_f64(policy.weight_fragmentation);
    for source in sources(state) {
        if let Some(moves) = moves(state, source, min_time_left, now) {
            for planned_move in &moves {
                start_move(state, planned_move, commands);
            }
            return;
        }
    }
}

fn is_fragmented(state: &State) -> bool {
    let whole = state.site.accelerators();
    let free_masks = || (0..state.workers.len()).map(|w| state.free(w));
    let free: u32 = free_masks().map(Mask::count_ones).sum();
    let whole_count = free_masks().filter(|f| f.count_ones() == whole).count();
    (whole_count as u32) < free / whole
}

fn active_moves(state: &State) -> usize {
    state
        .booked
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| !matches!(job.phase, Phase::Waiting))
        .count()
}

/// Returns the partly used workers without bookings, the least used first.
fn sources(state: &State) -> Vec<WorkerIndex> {
    let mut sources: Vec<(u32, WorkerIndex)> = (0..state.workers.len())
        .filter(|&w| {
            let worker = &state.workers[w];
            worker.is_open() && worker.used != 0 && worker.booked == 0
        })
        .map(|w| (state.workers[w].used.count_ones(), w))
        .filter(|(used, _)| *used < state.site.accelerators())
        .collect();
    sources.sort();
    sources.into_iter().map(|(_, w)| w).collect()
}

/// Returns a destination for each job of `source`, or `None` if one cannot
/// move.
fn moves(
    state: &State,
    source: WorkerIndex,
    min_time_left: Duration,
    now: SystemTime,
) -> Option<Vec<Move>> {
    let mut jobs: Vec<&Job> = state.workers[source]
        .jobs
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .collect();
    if !jobs
        .iter()
        .all(|job| is_movable(state, job, min_time_left, now))
    {
        return None;
    }
    jobs.sort_by_key(|job| Reverse(job.spec.shape.accelerators));
    let mut moves = Vec::new();
    for job in jobs {
        let to = destination(state, &[source], job, &moves, false)?;
        moves.push(Move::new(job, to));
    }
    Some(moves)
}

/// A job and its destination.
#[derive(Clone, Debug)]
struct Move {
    id: job::Id,
    to: Piece,
}

impl Move {
    fn new(job: &Job, to: Piece) -> Move {
        let id = job.spec.id.clone();
        Move { id, to }
    }
}

/// Makes room for a waiting job by moving others to free remainders elsewhere.
/// Returns whether room was found; the job is then booked.
pub fn make_room(
    state: &mut State,
    policy: &Policy,
    job: &Job,
    region: &impl Fn(&State, WorkerIndex) -> Mask,
    now: SystemTime,
    commands: &mut Vec<Command>,
) -> bool {
    let weight = policy.weight_fragmentation;
    if weight <= 0.0 || active_moves(state) >= MAX_CONCURRENT_MOVES {
        return false;
    }
    let free: u32 = (0..state.workers.len())
        .map(|w| state.free(w).count_ones())
        .sum();
    if free < job.spec.shape.accelerators {
        return false;
    }
    let min_time_left = MIN_TIME_LEFT.div_f64(weight);
    let Some(room) = find_room(state, job, region, min_time_left, now) else {
        return false;
    };
    let pending = room.moves.iter().map(|m| m.id.clone()).collect();
    let booking = Booking {
        pieces: room.pieces,
        home: None,
        pending,
    };
    // The booking comes before the moves: otherwise a home block that moves
    // along could be placed where this job cannot be stopped.
    state.book(&job.spec.id, booking);
    for planned_move in &room.moves {
        start_move(state, planned_move, commands);
    }
    true
}

/// Accelerators for a job, and the moves that free them.
struct Room {
    pieces: Vec<Piece>,
    moves: Vec<Move>,
}

fn find_room(
    state: &State,
    job: &Job,
    region: &impl Fn(&State, WorkerIndex) -> Mask,
    min_time_left: Duration,
    now: SystemTime,
) -> Option<Room> {
    let shape = job.spec.shape;
    let within = match shape.accelerators <= state.site.accelerators() {
        true => Within::Worker,
        false => shape.within,
    };
    state
        .site
        .domains(within)
        .filter_map(|domain| {
            room_in_domain(state, shape, domain, region, min_time_left, now)
        })
        .min_by_key(|room| room.moves.len())
}

fn room_in_domain(
    state: &State,
    shape: Shape,
    domain: &[WorkerIndex],
    region: &impl Fn(&State, WorkerIndex) -> Mask,
    min_time_left: Duration,
    now: SystemTime,
) -> Option<Room> {
    let open = |w: WorkerIndex| state.free(w) & region(state, w);
    let free: u32 = domain.iter().map(|&w| open(w).count_ones()).sum();
    let mut missing = shape.accelerators.checked_sub(free)?;
    let mut jobs: Vec<&Job> = domain
        .iter()
        .filter(|&&w| state.workers[w].is_open())
        .flat_map(|&w| &state.workers[w].jobs)
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| is_movable(state, job, min_time_left, now))
        .filter(|job| {
            let pieces = job.run().map(|run| &run.pieces);
            pieces
                .into_iter()
                .flatten()
                .all(|piece| piece.mask & !region(state, piece.worker) == 0)
        })
        .collect();
    // To keep moves few, the smallest sufficient job is moved, or the largest
    // if none suffices.
    jobs.sort_by_key(|job| Reverse(job.spec.shape.accelerators));
    let mut moves: Vec<Move> = Vec::new();
    let mut freed: Vec<Piece> = Vec::new();
    while missing > 0 {
        let enough = jobs
            .iter()
            .rposition(|job| job.spec.shape.accelerators >= missing);
        let job = match enough {
            _ if jobs.is_empty() || moves.len() >= MAX_CONCURRENT_MOVES => {
                return None
            }
            Some(index) => jobs.remove(index),
            None => jobs.remove(0),
        };
        let Some(to) = destination(state, domain, job, &moves, false) else {
            continue;
        };
        moves.push(Move::new(job, to));
        freed.extend(job.run().into_iter().flat_map(|r| r.pieces.clone()));
        missing = missing.saturating_sub(job.spec.shape.accelerators);
    }
    let open = |w: WorkerIndex| open(w) | mask_on(&freed, w);
    let spread = Spread::Remainders;
    let pieces = place::gather(&state.site, domain, shape, spread, &open)?;
    Some(Room { pieces, moves })
}

fn is_movable(
    state: &State,
    job: &Job,
    min_time_left: Duration,
    now: SystemTime,
) -> bool {
    let single = job.run().is_some_and(|run| run.pieces.len() == 1);
    single
        && job.is_reclaimable()
        && job.booking.is_none()
        && job.spec.checkpoint
        && !job.spec.urgent
        && run_time(job, now) >= MIN_RUN_TIME
        && state.time_left(job, now) >= min_time_left
        && may_leave_home(state, job)
}

/// Returns the tightest free remainder outside `sources` that holds the job,
/// on a worker in use unless `anywhere`.
fn destination(
    state: &State,
    sources: &[WorkerIndex],
    job: &Job,
    moves: &[Move],
    anywhere: bool,
) -> Option<Piece> {
    let needed = job.spec.shape.accelerators;
    let taken: Vec<Piece> = moves.iter().map(|m| m.to).collect();
    let (_, worker, open) = (0..state.workers.len())
        .filter(|w| !sources.contains(w))
        .filter(|&w| anywhere || state.workers[w].used != 0)
        .filter(|w| !job.failures.contains(w))
        .map(|w| {
            let open = state.free(w) & !mask_on(&taken, w);
            (open.count_ones(), w, open)
        })
        .filter(|(room, _, _)| *room >= needed)
        .min_by_key(|(room, w, _)| (*room, *w))?;
    let mask = mask::choose(open, needed)?;
    Some(Piece { worker, mask })
}

/// Returns whether a job may run as a borrower while it moves; a job that is
/// charged to no home block does so already.
fn may_leave_home(state: &State, job: &Job) -> bool {
    let is_charged = job.run().is_some_and(|run| run.home.is_some());
    let may_borrow = state.accounts.get(&job.spec.account).is_some_and(|t| {
        t.borrowed + job.spec.shape.accelerators <= t.terms.borrow
    });
    may_borrow || !is_charged
}

/// Books the destination for the job itself, and stops the job.
fn start_move(
    state: &mut State,
    planned_move: &Move,
    commands: &mut Vec<Command>,
) {
    let Move { id, to } = planned_move;
    let home = state
        .jobs
        .get(id)
        .cloned()
        .and_then(|job| state.cover_any(&job, &[*to]));
    schedule::stop(state, id, Reason::Compact, commands);
    let booking = Booking {
        pieces: vec![*to],
        home,
        pending: BTreeSet::from([id.clone()]),
    };
    state.book(id, booking);
}

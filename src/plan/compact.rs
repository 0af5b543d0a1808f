//! Moving small jobs together, so that whole workers become free.

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

/// How long a job must still run, at least, for a move to pay. It is
/// divided by the weight of fragmentation.
const MIN_TIME_LEFT: Duration = Duration::from_secs(10);
/// How long a job stays where it is after a start.
const MIN_RUN_TIME: Duration = Duration::from_secs(15);
/// How many moves may be under way at once.
const MAX_CONCURRENT_MOVES: usize = 4;

/// Empties one worker into the free remainders of others, if that makes a
/// whole worker free that need not be in use.
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
    let min_left = MIN_TIME_LEFT.div_f64(policy.weight_fragmentation);
    for source in sources(state) {
        if let Some(moves) = moves(state, source, min_left, now) {
            for step in &moves {
                start_move(state, step, commands);
            }
            return;
        }
    }
}

fn is_fragmented(state: &State) -> bool {
    let whole = state.site.accelerators();
    let frees = || (0..state.workers.len()).map(|w| state.free(w));
    let free: u32 = frees().map(Mask::count_ones).sum();
    let wholes = frees().filter(|f| f.count_ones() == whole).count();
    (wholes as u32) < free / whole
}

fn active_moves(state: &State) -> usize {
    state
        .booked
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| !matches!(job.phase, Phase::Waiting))
        .count()
}

/// Returns the workers in part use, the least used first.
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

/// Returns where each job of `source` can go, if all can go.
fn moves(
    state: &State,
    source: WorkerIndex,
    min_left: Duration,
    now: SystemTime,
) -> Option<Vec<Move>> {
    let mut jobs: Vec<&Job> = state.workers[source]
        .jobs
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .collect();
    if !jobs.iter().all(|job| is_movable(state, job, min_left, now)) {
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

/// A job and where it goes.
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

/// Makes room for a job that waits, by moving others into free remainders
/// elsewhere. Returns whether it did; the job is booked then.
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
    let min_left = MIN_TIME_LEFT.div_f64(weight);
    let Some(room) = find_room(state, job, region, min_left, now) else {
        return false;
    };
    let pending = room.moves.iter().map(|m| m.id.clone()).collect();
    let booking = Booking {
        pieces: room.pieces,
        home: None,
        pending,
    };
    // Booked before anything moves: a block that moves along must not come
    // to lie where this job cannot be stopped.
    state.book(&job.spec.id, booking);
    for step in &room.moves {
        start_move(state, step, commands);
    }
    true
}

/// Accelerators for a job, and who has to move away first.
struct Room {
    pieces: Vec<Piece>,
    moves: Vec<Move>,
}

fn find_room(
    state: &State,
    job: &Job,
    region: &impl Fn(&State, WorkerIndex) -> Mask,
    min_left: Duration,
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
            room_in_domain(state, shape, domain, region, min_left, now)
        })
        .min_by_key(|room| room.moves.len())
}

fn room_in_domain(
    state: &State,
    shape: Shape,
    domain: &[WorkerIndex],
    region: &impl Fn(&State, WorkerIndex) -> Mask,
    min_left: Duration,
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
        .filter(|job| is_movable(state, job, min_left, now))
        .filter(|job| {
            let pieces = job.run().map(|run| &run.pieces);
            pieces
                .into_iter()
                .flatten()
                .all(|piece| piece.mask & !region(state, piece.worker) == 0)
        })
        .collect();
    // The smallest that is enough goes, else the largest: few moves.
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
            Some(at) => jobs.remove(at),
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
    min_left: Duration,
    now: SystemTime,
) -> bool {
    let single = job.run().is_some_and(|run| run.pieces.len() == 1);
    single
        && job.is_reclaimable()
        && job.booking.is_none()
        && job.spec.checkpoint
        && !job.spec.urgent
        && run_time(job, now) >= MIN_RUN_TIME
        && state.time_left(job, now) >= min_left
        && may_leave_home(state, job)
}

/// Returns the tightest remainder outside `sources` that holds the job, on
/// a worker in use unless `anywhere`.
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

/// Returns whether a job that counts towards a shape may become a borrower
/// while it moves.
fn may_leave_home(state: &State, job: &Job) -> bool {
    let counts = job.run().is_some_and(|run| run.home.is_some());
    let may_borrow = state.accounts.get(&job.spec.account).is_some_and(|t| {
        t.borrowed + job.spec.shape.accelerators <= t.terms.borrow
    });
    may_borrow || !counts
}

/// Books the destination for the job itself, and tells it to stop.
fn start_move(state: &mut State, step: &Move, commands: &mut Vec<Command>) {
    let Move { id, to } = step;
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

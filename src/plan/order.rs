//! The order in which waiting jobs are looked at.

use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::job;
use crate::plan::state::Job;
use crate::plan::state::State;
use crate::site::Shape;

/// The wait after which a job goes before all that is merely shorter.
///
/// The bound on the wait of a large job is this, and its own predicted
/// run, and the longest run of a job in its way that cannot be stopped.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(30 * 60);
/// How much larger a job counts whose account has borrowed all it may.
const BORROWING_PENALTY: f64 = 0.3;

/// Why a job goes before others; the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// A guaranteed shape of its account is unused and holds it.
    Entitled,
    /// It is urgent.
    Urgent,
    /// It has waited past its bound, or its due time is near.
    Overdue,
    /// None of these: the smallest goes first.
    Plain,
}

/// A job and its place in the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Why it goes before others.
    pub rank: Rank,
    /// The predicted accelerator-milliseconds that it will take, or the
    /// time of its submission where it is overdue.
    pub size: u64,
    /// The job.
    pub id: job::Id,
}

/// Returns the waiting jobs in the order in which they are to be placed.
pub fn queue(state: &State, now: SystemTime) -> Vec<Entry> {
    let mut queue: Vec<Entry> = state
        .waiting
        .iter()
        .filter_map(|id| state.jobs.get(id))
        .filter(|job| job.not_before <= now)
        .map(|job| entry(state, job, now))
        .collect();
    queue.sort_by(|a, b| {
        let left = (a.rank, a.size, &a.id);
        left.cmp(&(b.rank, b.size, &b.id))
    });
    queue
}

fn entry(state: &State, job: &Job, now: SystemTime) -> Entry {
    let left = state.time_left(job, now);
    let rank = rank(state, job, left, now);
    let size = match rank {
        Rank::Overdue => unix_millis(job.spec.submitted),
        _ => weighted_size(state, job, left),
    };
    Entry {
        rank,
        size,
        id: job.spec.id.clone(),
    }
}

fn rank(state: &State, job: &Job, left: Duration, now: SystemTime) -> Rank {
    let waited = now.duration_since(job.waiting_since).unwrap_or_default();
    let close = |due: SystemTime| due <= now + left + left / 2;
    match job.spec.due {
        _ if state.is_entitled(job) => Rank::Entitled,
        _ if job.spec.urgent => Rank::Urgent,
        Some(due) if close(due) => Rank::Overdue,
        _ if waited > OVERDUE_AFTER.max(left) => Rank::Overdue,
        _ => Rank::Plain,
    }
}

/// Returns the job's predicted size, larger for accounts that already have
/// much of what they may borrow, so that borrowed room is shared.
fn weighted_size(state: &State, job: &Job, left: Duration) -> u64 {
    let accelerators = f64::from(job.spec.shape.accelerators);
    let borrowed_share = match state.accounts.get(&job.spec.account) {
        Some(account_state) => {
            let limit = f64::from(account_state.terms.borrow.max(1));
            f64::from(account_state.borrowed) / limit
        }
        None => 1.0,
    };
    (left.as_secs_f64()
        * 1e3
        * accelerators
        * (1.0 + borrowed_share * BORROWING_PENALTY)) as u64
}

fn unix_millis(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .map(|since| since.as_millis() as u64)
        .unwrap_or_default()
}

impl State {
    /// Returns whether an unused guaranteed shape of the job's account
    /// holds the job.
    pub fn is_entitled(&self, job: &Job) -> bool {
        self.unused_shapes(&job.spec.account)
            .iter()
            .any(|shape| shape.holds(&job.spec.shape))
    }

    /// Returns the account's guaranteed shapes that its jobs leave unused,
    /// whichever block they count towards now: the largest jobs first, each
    /// in the tightest shape.
    pub fn unused_shapes(&self, account: &account::Id) -> Vec<Shape> {
        let Some(account_state) = self.accounts.get(account) else {
            return Vec::new();
        };
        let mut rooms: Vec<(Shape, u32)> = account_state
            .terms
            .guarantee
            .iter()
            .map(|shape| (*shape, shape.accelerators))
            .collect();
        let mut charged: Vec<Shape> = self
            .guaranteed
            .get(account)
            .into_iter()
            .flatten()
            .filter_map(|id| self.jobs.get(id))
            .map(|job| job.spec.shape)
            .collect();
        charged.sort_by_key(|s| std::cmp::Reverse(s.accelerators));
        for job in charged {
            let tightest = rooms
                .iter_mut()
                .filter(|(shape, room)| {
                    shape.holds(&job) && *room >= job.accelerators
                })
                .min_by_key(|(_, room)| *room);
            if let Some((_, room)) = tightest {
                *room -= job.accelerators;
            }
        }
        let unused = rooms.into_iter();
        unused
            .filter(|(shape, room)| shape.accelerators == *room)
            .map(|(shape, _)| shape)
            .collect()
    }
}

//! The order in which waiting jobs are considered.

use std::time::Duration;
use std::time::SystemTime;

use crate::account;
use crate::job;
use crate::plan::state::Job;
use crate::plan::state::State;
use crate::site::Shape;

/// The wait after which a job precedes jobs that are merely shorter.
///
/// A large job waits no longer than this, plus its own predicted run, plus the
/// longest run of a job in its way that cannot be stopped.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(30 * 60);
/// The share by which a job counts as larger if its account has borrowed all
/// that it may.
const BORROWING_PENALTY: f64 = 0.3;

/// The reason that a job precedes others; smaller ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// An unused guaranteed shape of the job's account holds the job.
    Entitled,
    /// The job is urgent.
    Urgent,
    /// The job has waited past its bound, or its due time is near.
    Overdue,
    /// None of these: the smallest job goes first.
    Plain,
}

/// A waiting job with its sort key.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The rank, which is compared first.
    pub rank: Rank,
    /// The predicted accelerator-milliseconds of the job's run, or the time of
    /// its submission if the job is overdue.
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
    let time_left = state.time_left(job, now);
    let rank = rank(state, job, time_left, now);
    let size = match rank {
        Rank::Overdue => unix_millis(job.spec.submitted),
        _ => weighted_size(state, job, time_left),
    };
    Entry {
        rank,
        size,
        id: job.spec.id.clone(),
    }
}

fn rank(
    state: &State,
    job: &Job,
    time_left: Duration,
    now: SystemTime,
) -> Rank {
    let waited = now.duration_since(job.waiting_since).unwrap_or_default();
    let is_near = |due: SystemTime| due <= now + time_left + time_left / 2;
    match job.spec.due {
        _ if state.is_entitled(job) => Rank::Entitled,
        _ if job.spec.urgent => Rank::Urgent,
        Some(due) if is_near(due) => Rank::Overdue,
        _ if waited > OVERDUE_AFTER.max(time_left) => Rank::Overdue,
        _ => Rank::Plain,
    }
}

/// Returns the job's predicted size, raised for accounts that have already
/// borrowed much of what they may, so that borrowed accelerators are shared.
fn weighted_size(state: &State, job: &Job, time_left: Duration) -> u64 {
    let accelerators = f64::from(job.spec.shape.accelerators);
    let borrowed_share = match state.accounts.get(&job.spec.account) {
        Some(account_state) => {
            let limit = f64::from(account_state.terms.borrow.max(1));
            f64::from(account_state.borrowed) / limit
        }
        None => 1.0,
    };
    (time_left.as_secs_f64()
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
    /// Returns whether an unused guaranteed shape of the job's account holds
    /// the job.
    pub fn is_entitled(&self, job: &Job) -> bool {
        self.unused_shapes(&job.spec.account)
            .iter()
            .any(|shape| shape.holds(&job.spec.shape))
    }

    /// Returns the account's guaranteed shapes that its jobs leave unused,
    /// whichever blocks the jobs are charged to: the largest jobs are assigned
    /// first, each to the tightest shape.
    pub fn unused_shapes(&self, account: &account::Id) -> Vec<Shape> {
        let Some(account_state) = self.accounts.get(account) else {
            return Vec::new();
        };
        let mut free_counts: Vec<(Shape, u32)> = account_state
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
            let tightest = free_counts
                .iter_mut()
                .filter(|(shape, free_count)| {
                    shape.holds(&job) && *free_count >= job.accelerators
                })
                .min_by_key(|(_, free_count)| *free_count);
            if let Some((_, free_count)) = tightest {
                *free_count -= job.accelerators;
            }
        }
        let unused = free_counts.into_iter();
        unused
            .filter(|(shape, free_count)| shape.accelerators == *free_count)
            .map(|(shape, _)| shape)
            .collect()
    }
}

//! Draws a day's jobs and incidents from a load by a seed.

use std::time::Duration;

use fastrand::Rng;

use crate::load::Distribution;
use crate::load::Kind;
use crate::load::Load;
use crate::load::Queue;

/// Range of the random shift of a pattern's start, in seconds.
const PATTERN_SHIFT_RANGE_S: f64 = 4.0;
/// Range of the random change of a burst's strength, as a share of the
/// strength.
const BURST_CHANGE_RANGE: f64 = 0.25;

/// Mask that turns a day's seed into the seed of its accounts.
const ACCOUNT_SEED_MASK: u64 = 0x5EED;

/// A job that callers submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the submission, from the start of the day.
    pub at: Duration,
    /// Index of the job's queue in the load.
    pub queue: usize,
    /// Number of the job's client account.
    pub account: usize,
    /// Number of tasks.
    pub width: u32,
    /// Accelerators of each task.
    pub accelerators: i64,
    /// Whether the job is a gang that is slower across racks.
    pub same_rack: bool,
    /// Time that a task works on a worker of speed 1.
    pub work: Duration,
    /// Time that the caller declares a task to work.
    pub declared: Duration,
    /// Whether the job saves checkpoints.
    pub checkpoints: bool,
    /// Number of the job's first runs that fail.
    pub failures: u32,
}

/// An incident of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Incident {
    /// The worker is lost and returns after this time.
    Lost(Duration),
    /// The worker leaves for good after this notice.
    Leaving(Duration),
    /// All runs that begin on the worker during this time fail.
    Failing(Duration),
}

/// A day's jobs and incidents.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Jobs, by the time of their submission.
    pub arrivals: Vec<Arrival>,
    /// Incidents by time, each with the index of its worker.
    pub incidents: Vec<(Duration, usize, Incident)>,
}

impl Day {
    /// Draws a day from a load.
    pub fn draw(load: &Load, seed: u64) -> Day {
        let mut random = Rng::with_seed(seed);
        let starts: Vec<(f64, f64)> = load
            .patterns
            .iter()
            .map(|pattern| {
                let offset = PATTERN_SHIFT_RANGE_S * (random.f64() - 0.5);
                let strength = 1.0 + BURST_CHANGE_RANGE * (random.f64() - 0.5);
                ((pattern.start_s + offset).max(0.0), strength)
            })
            .collect();
        let mut arrivals = Vec::new();
        for (at, queue) in load.queues.iter().enumerate() {
            let rate = |now: f64| {
                let patterns = load.patterns.iter().zip(&starts);
                let bursts = patterns.filter_map(|(pattern, start)| {
                    let (from, strength) = *start;
                    let on = now >= from && now < from + pattern.duration_s;
                    match &pattern.kind {
                        Kind::Burst(of, times) if *of == queue.name && on => {
                            Some(times * strength)
                        }
                        _ => None,
                    }
                });
                queue.jobs_per_second * bursts.fold(1.0, f64::max)
            };
            let mut now = 0.0;
            loop {
                let rate = rate(now).max(1e-6);
                now += -(1.0 - random.f64()).ln() / rate;
                if now >= load.seconds {
                    break;
                }
                let time = Duration::from_secs_f64(now);
                arrivals.push(draw_arrival(at, queue, time, &mut random));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        // Accounts have a generator of their own, so that a seed's day does
        // not depend on them.
        let mut accounts = Rng::with_seed(seed ^ ACCOUNT_SEED_MASK);
        for arrival in &mut arrivals {
            arrival.account = accounts.usize(..load.accounts.count);
        }
        let incidents = draw_incidents(load, &starts, &mut random);
        Day {
            arrivals,
            incidents,
        }
    }
}

fn draw_arrival(
    number: usize,
    queue: &Queue,
    at: Duration,
    random: &mut Rng,
) -> Arrival {
    let width = draw_log_normal(queue.width, random).round().max(1.0) as u32;
    let work = draw_log_normal(queue.run_s, random).max(0.05);
    let offset = (queue.declared_error * normal(random)).exp();
    let mut failures = 0;
    while random.f64() < queue.failure_share {
        failures += 1;
    }
    let pick = random.usize(..queue.accelerators.len());
    Arrival {
        at,
        queue: number,
        account: 0,
        width,
        accelerators: queue.accelerators[pick],
        same_rack: queue.gang && random.f64() < queue.same_rack_share,
        work: Duration::from_secs_f64(work),
        declared: Duration::from_secs_f64(work * offset),
        checkpoints: random.f64() < queue.checkpoint_share,
        failures,
    }
}

fn draw_incidents(
    load: &Load,
    starts: &[(f64, f64)],
    random: &mut Rng,
) -> Vec<(Duration, usize, Incident)> {
    let mut incidents = Vec::new();
    for (pattern, (from, _)) in load.patterns.iter().zip(starts) {
        let duration = Duration::from_secs_f64(pattern.duration_s);
        let (share, incident, gap_s) = match pattern.kind {
            Kind::Burst(..) => continue,
            Kind::Lose(share) => (share, Incident::Lost(duration), 0.0),
            Kind::Series(share) => (share, Incident::Lost(duration), 1.0),
            Kind::Leave(share) => (share, Incident::Leaving(duration), 0.0),
            Kind::Fail(share) => (share, Incident::Failing(duration), 0.0),
        };
        let mut workers: Vec<usize> = (0..load.fleet.workers).collect();
        random.shuffle(&mut workers);
        let count = (load.fleet.workers as f64 * share).round() as usize;
        for (nth, worker) in workers.into_iter().take(count).enumerate() {
            let at = Duration::from_secs_f64(from + gap_s * nth as f64);
            incidents.push((at, worker, incident));
        }
    }
    incidents.sort_by_key(|(at, worker, _)| (*at, *worker));
    incidents
}

/// Draws from a log-normal distribution, cut off at its maximum.
fn draw_log_normal(distribution: Distribution, random: &mut Rng) -> f64 {
    let variance =
        (1.0 + distribution.deviation * distribution.deviation).ln();
    let median = distribution.mean.ln() - variance / 2.0;
    let drawn = (median + variance.sqrt() * normal(random)).exp();
    drawn.min(distribution.max)
}

/// Draws from the standard normal distribution by the Box-Muller method.
fn normal(random: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

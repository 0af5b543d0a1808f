//! A day, drawn from a load by a seed.

use std::time::Duration;

use fastrand::Rng;

use crate::load::Kind;
use crate::load::Load;
use crate::load::Queue;
use crate::load::Spread;

/// How much a moment of a pattern differs from day to day, in seconds.
const MOMENT: f64 = 4.0;
/// How much a burst's strength differs, in parts of it.
const STRENGTH: f64 = 0.25;

/// What parts the seed of accounts from that of the day.
const ACCOUNTS: u64 = 0x5EED;

/// A job as it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// The number of its queue.
    pub queue: usize,
    /// The number of its client account.
    pub account: usize,
    /// How many tasks it has.
    pub width: u32,
    /// Accelerators of each.
    pub accelerators: i64,
    /// Whether it is a gang that is slow across racks.
    pub same_rack: bool,
    /// How long a task works on a worker of speed 1.
    pub work: Duration,
    /// How long it is said to.
    pub declared: Duration,
    /// Whether it keeps checkpoints.
    pub saves: bool,
    /// How many of its first runs fail.
    pub failures: u32,
}

/// What befalls a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blow {
    /// It is lost, and back after so long.
    Lost(Duration),
    /// It leaves with so much notice, for good.
    Leaves(Duration),
    /// It fails all that it starts, for so long.
    Fails(Duration),
}

/// A whole day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Jobs, in order.
    pub arrivals: Vec<Arrival>,
    /// What befalls which worker, in order.
    pub blows: Vec<(Duration, usize, Blow)>,
}

impl Day {
    /// Draws a day.
    pub fn draw(load: &Load, seed: u64) -> Day {
        let mut random = Rng::with_seed(seed);
        let moments: Vec<(f64, f64)> = load
            .patterns
            .iter()
            .map(|pattern| {
                let off = MOMENT * (random.f64() - 0.5);
                let strength = 1.0 + STRENGTH * (random.f64() - 0.5);
                ((pattern.at + off).max(0.0), strength)
            })
            .collect();
        let mut arrivals = Vec::new();
        for (at, queue) in load.queues.iter().enumerate() {
            let rate = |now: f64| {
                let patterns = load.patterns.iter().zip(&moments);
                let bursts = patterns.filter_map(|(pattern, moment)| {
                    let (from, strength) = *moment;
                    let on = now >= from && now < from + pattern.lasts;
                    match &pattern.kind {
                        Kind::Burst(of, times) if *of == queue.name && on => {
                            Some(times * strength)
                        }
                        _ => None,
                    }
                });
                queue.per_s * bursts.fold(1.0, f64::max)
            };
            let mut now = 0.0;
            loop {
                let rate = rate(now).max(1e-6);
                now += -(1.0 - random.f64()).ln() / rate;
                if now >= load.seconds {
                    break;
                }
                let at_once = Duration::from_secs_f64(now);
                arrivals.push(arrival(at, queue, at_once, &mut random));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        // Drawn apart, so that a seed's day is the same without accounts.
        let mut accounts = Rng::with_seed(seed ^ ACCOUNTS);
        for arrival in &mut arrivals {
            arrival.account = accounts.usize(..load.accounts.count);
        }
        let blows = blows(load, &moments, &mut random);
        Day { arrivals, blows }
    }
}

fn arrival(
    number: usize,
    queue: &Queue,
    at: Duration,
    random: &mut Rng,
) -> Arrival {
    let width = draw(queue.width, random).round().max(1.0) as u32;
    let work = draw(queue.run, random).max(0.05);
    let off = (queue.declared_off * normal(random)).exp();
    let mut failures = 0;
    while random.f64() < queue.fails {
        failures += 1;
    }
    let pick = random.usize(..queue.accelerators.len());
    Arrival {
        at,
        queue: number,
        account: 0,
        width,
        accelerators: queue.accelerators[pick],
        same_rack: queue.gang && random.f64() < queue.same_rack,
        work: Duration::from_secs_f64(work),
        declared: Duration::from_secs_f64(work * off),
        saves: random.f64() < queue.saves,
        failures,
    }
}

fn blows(
    load: &Load,
    moments: &[(f64, f64)],
    random: &mut Rng,
) -> Vec<(Duration, usize, Blow)> {
    let mut blows = Vec::new();
    for (pattern, (from, _)) in load.patterns.iter().zip(moments) {
        let lasts = Duration::from_secs_f64(pattern.lasts);
        let (share, blow, apart) = match pattern.kind {
            Kind::Burst(..) => continue,
            Kind::Lose(share) => (share, Blow::Lost(lasts), 0.0),
            Kind::Series(share) => (share, Blow::Lost(lasts), 1.0),
            Kind::Leave(share) => (share, Blow::Leaves(lasts), 0.0),
            Kind::Fail(share) => (share, Blow::Fails(lasts), 0.0),
        };
        let mut workers: Vec<usize> = (0..load.fleet.workers).collect();
        random.shuffle(&mut workers);
        let count = (load.fleet.workers as f64 * share).round() as usize;
        for (nth, worker) in workers.into_iter().take(count).enumerate() {
            let at = Duration::from_secs_f64(from + apart * nth as f64);
            blows.push((at, worker, blow));
        }
    }
    blows.sort_by_key(|(at, worker, _)| (*at, *worker));
    blows
}

/// Draws a figure whose logarithm is normal.
fn draw(spread: Spread, random: &mut Rng) -> f64 {
    let variance = (1.0 + spread.spread * spread.spread).ln();
    let median = spread.mean.ln() - variance / 2.0;
    let drawn = (median + variance.sqrt() * normal(random)).exp();
    drawn.min(spread.most)
}

/// Draws from the normal distribution, by the method of Box and Muller.
fn normal(random: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

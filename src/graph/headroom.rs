//! How much capacity is kept for urgent work before it arrives, and where.
//!
//! The rules are made for urgent gangs of a few whole workers that run for one
//! to three seconds and can wait for about as long as a stop takes, on a pool
//! in which other work queues. Workers seldom become empty there, so that a
//! share of the empty ones is of no use to such gangs: each of them waits for
//! stops, and the stopped work is lost.
//!
//! The demand is what the recent urgent jobs needed from their acceptance to
//! their end, in whole workers. Time that a job waited counts, because demand
//! that is measured by what runs shrinks with the shortage itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::speed::LogSpeed;
use crate::graph::AgentId;
use crate::graph::SharedStr;

/// The time constant over which past demand is forgotten.
pub const MEMORY: Duration = Duration::from_secs(30);
/// The number of recent urgent jobs from which their demand is estimated.
pub const MIN_JOBS: usize = 5;
/// The largest share of a pool's workers that is kept beside those that urgent
/// work holds.
const MAX_SHARE: f64 = 0.3;
/// The demand that is provided for, in standard deviations above the mean.
/// Bursts of equal height that take a fifth of the time are at this distance.
const DEVIATIONS: f64 = 2.0;
/// By how much another worker must be better to replace one that is kept, as a
/// share of the usual job's time on a worker of middle speed. It exceeds the
/// error of an estimated speed, and corresponds to 4.5 s of running work.
const MIN_IMPROVEMENT: f64 = 0.15;

/// The use of workers by an urgent job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// How long ago the job was accepted.
    pub began: Duration,
    /// How long ago the job ended; 0 if it has not.
    pub ended: Duration,
    /// The whole workers that the job needs.
    pub workers: f64,
}

/// The whole workers that urgent work needs at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The mean.
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

/// The gang for which kept workers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gang {
    /// The whole workers that the gang needs.
    pub workers: usize,
    /// Whether the gang needs them in one rack.
    pub same_rack: bool,
}

/// A worker that could be kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Spare {
    /// The worker's agent.
    pub agent: AgentId,
    /// The worker's rack.
    pub rack: SharedStr,
    /// The worker's speed.
    pub speed: LogSpeed,
    /// The time until the other work on the worker is expected to end.
    pub drain_time: Duration,
    /// Whether the worker is kept now.
    pub kept: bool,
}

impl Spare {
    /// Returns the cost of keeping the worker, as a multiple of the usual
    /// job's time on a worker of middle speed. Work that is still running is
    /// a cost only once in the time for which workers are kept.
    fn cost(&self) -> f64 {
        let drain = self.drain_time.as_secs_f64() / MEMORY.as_secs_f64();
        let bonus = if self.kept { MIN_IMPROVEMENT } else { 0.0 };
        (-self.speed).exp() + drain - bonus
    }
}

/// Returns the demand of urgent jobs over the time for which the pool is
/// `known`, in which later times weigh more.
pub fn demand(usages: &[Usage], known: Duration) -> Demand {
    let known = known.as_secs_f64();
    let mut changes: Vec<(f64, f64)> = Vec::new();
    for usage in usages {
        let began = usage.began.as_secs_f64().min(known);
        let ended = usage.ended.as_secs_f64().min(began);
        changes.push((began, usage.workers));
        changes.push((ended, -usage.workers));
    }
    changes.sort_by(|a, b| b.0.total_cmp(&a.0));
    changes.push((0.0, 0.0));
    // The share of the weight of all time that lies before a time.
    let weight_before = |age: f64| (-age / MEMORY.as_secs_f64()).exp();
    let (mut total, mut sum, mut squares) = (0.0, 0.0, 0.0);
    let (mut since, mut level) = (known, 0.0);
    for (age, change) in changes {
        let weight = weight_before(age) - weight_before(since);
        total += weight;
        sum += weight * level;
        squares += weight * level * level;
        since = age;
        level += change;
    }
    if total <= 0.0 {
        return Demand::default();
    }
    let mean = sum / total;
    let variance = (squares / total - mean * mean).max(0.0);
    Demand {
        mean,
        deviation: variance.sqrt(),
    }
}

/// The whole workers that urgent work holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    /// On workers that are kept.
    pub kept: f64,
    /// On other workers.
    pub elsewhere: f64,
}

/// Returns how many of a pool's workers are kept for urgent work, those that
/// it holds already included. Where the usual gang needs one rack, these are
/// whole gangs, because a part of one is of little use.
pub fn count(demand: &Demand, held: Held, gang: Gang, pool: usize) -> usize {
    let expected = demand.mean + DEVIATIONS * demand.deviation;
    let needed = (expected - held.elsewhere).max(0.0);
    let together = match gang.same_rack {
        true => gang.workers.max(1) as f64,
        false => 1.0,
    };
    let gangs = (needed / together).round() * together;
    let workers = gangs.max(needed.round().min(together));
    let most = (pool as f64 * MAX_SHARE + held.kept).floor();
    workers.min(most) as usize
}

/// Returns whether workers have to be kept, from the time that each recent
/// urgent job could wait and the time in which a stop makes room. Where the
/// usual job can wait for stops, it is in time without kept workers, and other
/// work would wait for nothing.
pub fn is_needed(slacks: &mut [Duration], stop: Duration) -> bool {
    slacks.sort();
    slacks
        .get(slacks.len() / 2)
        .is_some_and(|usual| *usual < stop)
}

/// Returns the gang that is usual among urgent jobs, from the whole workers
/// that each needs and whether it needs them in one rack.
pub fn usual_gang(jobs: &[(f64, bool)]) -> Gang {
    let wide = jobs.iter().filter(|(workers, _)| *workers > 1.0);
    let wide: Vec<&(f64, bool)> = wide.collect();
    if wide.len() * 2 < jobs.len() {
        return Gang {
            workers: 1,
            same_rack: false,
        };
    }
    let count = wide.len().max(1);
    let workers = wide.iter().map(|(workers, _)| workers).sum::<f64>();
    let same_rack = wide.iter().filter(|(_, same_rack)| *same_rack).count();
    Gang {
        workers: (workers / count as f64).ceil().max(1.0) as usize,
        same_rack: same_rack * 2 >= count,
    }
}

/// Chooses the workers to keep: the fastest ones that become free soon, in as
/// few racks as hold the usual gang. Workers that are kept stay so unless
/// others are clearly better.
pub fn choose(count: usize, gang: Gang, from: &[Spare]) -> BTreeSet<AgentId> {
    let mut left: Vec<&Spare> = from.iter().collect();
    left.sort_by(|a, b| {
        let by_cost = a.cost().total_cmp(&b.cost());
        by_cost.then_with(|| a.agent.cmp(&b.agent))
    });
    let mut chosen = BTreeSet::new();
    while chosen.len() < count && !left.is_empty() {
        let more = count - chosen.len();
        let together = match gang.same_rack {
            true => gang.workers.clamp(1, more),
            false => 1,
        };
        let group = cheapest_group(&left, together);
        left.retain(|spare| !group.contains(&spare.agent));
        chosen.extend(group);
    }
    chosen
}

/// Returns the `size` workers of one rack that cost least, or all of the rack
/// with the most workers if no rack has that many. The workers are sorted by
/// cost.
fn cheapest_group(spares: &[&Spare], size: usize) -> BTreeSet<AgentId> {
    let mut racks: BTreeMap<&SharedStr, Vec<&Spare>> = BTreeMap::new();
    for spare in spares {
        let here = racks.entry(&spare.rack).or_default();
        if here.len() < size {
            here.push(spare);
        }
    }
    let cost =
        |group: &[&Spare]| group.iter().map(|spare| spare.cost()).sum::<f64>();
    let best = racks.values().min_by(|a, b| {
        let by_size = b.len().cmp(&a.len());
        by_size.then_with(|| cost(a).total_cmp(&cost(b)))
    });
    let agents = best.into_iter().flatten();
    agents.map(|spare| spare.agent.clone()).collect()
}

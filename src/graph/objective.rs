//! The time objective of a job, as its caller counts it.
//!
//! A caller counts the longest chain of steps at the speed of the fastest
//! workers. A step that needs more than a quarter of its pool counts in waves,
//! except for a gang, which starts whole. The runs that fail through the task's
//! own fault count with the time that they took. Without these two, the log
//! reported 22 jobs as late where callers counted 13.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::graph::job_record::JobRecord;
use crate::graph::share;
use crate::graph::AgentId;
use crate::graph::JobId;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Step;
use crate::graph::UnitKey;

/// The part of a pool that a caller expects one step to get at a time.
const WAVE_SHARE: f64 = 0.25;
/// The longest chain of steps that is assumed, so that its multiples are valid
/// durations: about 300 years.
const MAX_PATH: Duration = Duration::from_secs(10_000_000_000);

/// The workers of each pool, counted by capacity. A pool has few capacities.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolCapacities(BTreeMap<SharedStr, BTreeMap<[i64; 3], u64>>);

impl PoolCapacities {
    /// Counts workers, given as their pool and capacity.
    pub fn count<'a>(
        workers: impl Iterator<Item = (&'a SharedStr, Resources)>,
    ) -> PoolCapacities {
        let mut counts = PoolCapacities::default();
        for (pool, capacity) in workers {
            let Resources {
                cpu,
                memory,
                accelerators,
            } = capacity;
            if !counts.0.contains_key(pool) {
                counts.0.insert(pool.clone(), BTreeMap::new());
            }
            if let Some(pool) = counts.0.get_mut(pool) {
                *pool.entry([cpu, memory, accelerators]).or_default() += 1;
            }
        }
        counts
    }

    /// Returns how many tasks a pool holds if it is empty.
    pub fn slots(&self, pool: &SharedStr, charge: &Resources) -> u64 {
        let capacities = self.0.get(pool).into_iter().flatten();
        let slots = capacities.map(|([cpu, memory, accelerators], count)| {
            let capacity = Resources {
                cpu: *cpu,
                memory: *memory,
                accelerators: *accelerators,
            };
            count.saturating_mul(u64::from(capacity.times(charge)))
        });
        slots.fold(0, u64::saturating_add)
    }

    /// Returns the dominant share that a charge takes of a pool, as a number of
    /// the pool's accelerators, or of its workers if it has none.
    pub fn weight(&self, pool: &SharedStr, charge: &Resources) -> f64 {
        let mut whole = Resources::default();
        let mut workers = 0;
        for ([cpu, memory, accelerators], count) in
            self.0.get(pool).into_iter().flatten()
        {
            let count = *count as i64;
            let add = |sum: i64, each: i64| {
                sum.saturating_add(each.saturating_mul(count))
            };
            whole = Resources {
                cpu: add(whole.cpu, *cpu),
                memory: add(whole.memory, *memory),
                accelerators: add(whole.accelerators, *accelerators),
            };
            workers += count;
        }
        match whole.accelerators {
            ..=0 => share::weight(charge, &whole) * workers as f64,
            _ => share::weight(charge, &whole),
        }
    }
}

/// Returns the number of waves in which tasks of one size run, where the pool
/// holds `slots` of them. A wave is at least one task. A pool of which nothing
/// is known yet holds all of them at once.
pub fn waves(tasks: u32, slots: u64) -> u32 {
    if slots == 0 {
        return 1;
    }
    let wave = (slots as f64 * WAVE_SHARE).max(1.0);
    (f64::from(tasks) / wave).ceil().max(1.0) as u32
}

/// The objective of a repetition of a job, and what its steps need.
#[derive(Clone, Debug)]
pub(super) struct Outline {
    /// The time within which the repetition should end.
    pub objective: Duration,
    /// What each step needs.
    steps: Vec<Need>,
}

/// What a step needs on the fastest workers.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// The run time of a task.
    task: Duration,
    /// The number of tasks that the pool holds.
    slots: u64,
    /// The number of waves in which the step runs.
    waves: u32,
    /// The time of the step and of the steps after it.
    chain: Duration,
}

impl Outline {
    /// Returns how long the first unit of the repetition can wait.
    pub fn slack(&self) -> Duration {
        let chains = self.steps.iter().map(|need| need.chain);
        let longest = chains.max().unwrap_or_default();
        self.objective.saturating_sub(longest)
    }

    /// Returns the time from the start of a unit until its repetition is done,
    /// on the fastest workers. The tasks of a step start in the order of their
    /// indices, so that those after the unit's own are still to run.
    pub fn remaining(&self, record: &JobRecord, key: &UnitKey) -> Duration {
        let need = &self.steps[key.step];
        let Some(index) = key.index else {
            return need.chain;
        };
        let replicas = record.job.steps[key.step].replicas;
        let left = waves(replicas.saturating_sub(index), need.slots);
        need.chain
            .saturating_sub(need.task * need.waves.saturating_sub(left))
    }
}

impl Scheduler {
    /// Returns the objective of a repetition of a job, and what its steps need,
    /// from expected run times.
    pub(super) fn outline(&self, record: &JobRecord, time: u32) -> Outline {
        let job = &record.job;
        // What callers are promised follows from what the job needs, not from
        // the workers on which it happens to run.
        let best = (-self.speeds.fastest()).exp();
        let need = |(number, step): (usize, &Step)| {
            let slots = self.pool_capacities.slots(&job.pool, &step.charge());
            Need {
                task: self.expected_time(record, number).mul_f64(best),
                slots,
                // A gang starts whole, however wide it is.
                waves: match step.gang {
                    true => 1,
                    false => waves(step.replicas, slots),
                },
                chain: Duration::ZERO,
            }
        };
        let mut steps: Vec<Need> =
            job.steps.iter().enumerate().map(need).collect();
        let failed = record.own_failures.by_step(time);
        let counted = job.chains(|step| {
            let failed = failed.get(&step).copied().unwrap_or_default();
            steps[step].task * steps[step].waves + failed
        });
        let path = counted.into_iter().max().unwrap_or_default();
        let chains = job.chains(|step| steps[step].task * steps[step].waves);
        for (need, chain) in steps.iter_mut().zip(chains) {
            need.chain = chain;
        }
        let path = path.min(MAX_PATH);
        Outline {
            objective: path.mul_f64(job.stretch.max(1.0)) + job.target,
            steps,
        }
    }

    /// Returns the time within which a job should end, from its expected run
    /// times.
    pub(super) fn objective(&self, record: &JobRecord) -> Duration {
        self.outline(record, 0).objective
    }

    /// Counts the workers of each pool by their capacity.
    pub(super) fn count_capacities(&mut self) {
        let workers = self.workers.values();
        let workers = workers.map(|worker| (&worker.pool, worker.capacity));
        self.pool_capacities = PoolCapacities::count(workers);
    }

    /// Takes the failures on a quarantined worker from the objectives of their
    /// jobs, because the worker is at fault.
    pub(super) fn excuse_failures(
        &mut self,
        agent: &AgentId,
        failed: &[(JobId, UnitKey)],
    ) {
        for (id, key) in failed {
            if let Some(record) = self.jobs.get_mut(id) {
                record.own_failures.excuse(key, agent);
            }
        }
    }
}

/// The failed runs of a job that count as its own fault: all but those on
/// workers that were quarantined for them.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnFailures(BTreeMap<UnitKey, Vec<(AgentId, Duration)>>);

impl OwnFailures {
    /// Adds a failed run with the time that it took.
    pub fn push(&mut self, key: &UnitKey, agent: &AgentId, took: Duration) {
        self.0.entry(*key).or_default().push((agent.clone(), took));
    }

    /// Removes the failures of a unit on one worker.
    fn excuse(&mut self, key: &UnitKey, agent: &AgentId) {
        if let Some(failures) = self.0.get_mut(key) {
            failures.retain(|(other, _)| other != agent);
        }
    }

    /// Returns the time that failed runs took, by step of a repetition. Tasks
    /// of one step run side by side, so that the greatest sum counts.
    fn by_step(&self, time: u32) -> BTreeMap<usize, Duration> {
        let mut longest: BTreeMap<usize, Duration> = BTreeMap::new();
        for (key, failures) in &self.0 {
            if key.time == time {
                let took: Duration =
                    failures.iter().map(|(_, took)| *took).sum();
                let step = longest.entry(key.step).or_default();
                *step = took.max(*step);
            }
        }
        longest
    }
}

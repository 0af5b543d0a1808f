//! How fast the workers are, relative to each other, learned from runs.
//!
//! Nothing names the speed of a worker. Tasks of one step do nearly the same
//! work, and the work of a step is roughly declared, so that the times that
//! runs need on several workers show how the workers differ.
//!
//! Where workers are alike, all estimates are equal, and a worker that nothing
//! is known of counts as one of the middle.
//!
//! A planner tells each agent what it has learned of the agent's worker, and
//! the next planner learns it from the agents' reports. That takes no call of
//! the store, and lasts as long as the worker's machine keeps its agent.

mod estimator;
mod explore;
mod grid;
mod usage;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::speed::estimator::Estimate;
use crate::graph::speed::estimator::ExpectedWork;
use crate::graph::speed::estimator::Gang;
use crate::graph::speed::estimator::Group;
use crate::graph::speed::estimator::Known;
use crate::graph::speed::estimator::Observations;
pub(in crate::graph) use crate::graph::speed::explore::Exploration;
use crate::graph::AgentId;
use crate::graph::Run;
use crate::graph::StepKey;

/// The number of steps whose runs are kept. Two or three steps begin each
/// second, most of them gangs with a single run.
const MAX_STEPS: usize = 128;
/// The number of tasks in them from which the oldest steps are not kept, so
/// that an estimate for 1,000 workers takes less than 20 ms.
const MAX_TASKS: usize = 4000;
/// The least time between two estimates.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// The most runs that what was learned earlier counts as.
const MAX_LEARNED_RUNS: u32 = 4;
/// The share of workers that are slower than those that count as the fastest.
const FASTEST_QUANTILE: f64 = 0.9;

/// The speed of a worker as a natural logarithm, relative to the middle.
pub type LogSpeed = f64;

/// What a planner has learned of a worker's speed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// The speed as a natural logarithm, relative to the middle.
    pub log: LogSpeed,
    /// The number of runs that have shown it, or would show it as well.
    pub runs: u32,
}

/// The times of a step's runs.
#[derive(Clone, Debug, Default)]
struct Runs {
    /// The logarithm of the time in seconds of the last run of each task.
    times: BTreeMap<u32, (AgentId, f64)>,
    /// The workers of each run of a gang, and the logarithm of its time.
    gangs: BTreeMap<Run, (Vec<AgentId>, f64)>,
    expected: Option<ExpectedWork>,
}

/// What is known of the workers' speeds.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    steps: BTreeMap<StepKey, Runs>,
    /// The steps, the oldest first.
    order: VecDeque<StepKey>,
    /// What was learned from runs that are no longer kept, here or by earlier
    /// planners.
    learned: BTreeMap<AgentId, Speed>,
    /// The estimates, whether or not workers are told apart.
    raw: BTreeMap<AgentId, Speed>,
    speeds: BTreeMap<AgentId, LogSpeed>,
    fastest: LogSpeed,
    /// The value of `fastest` that was logged last.
    logged_fastest: LogSpeed,
    changed: bool,
    estimated_at: Option<Instant>,
}

impl Speeds {
    /// Records the time that a task of a step needs on an agent's worker. A
    /// later time of the same task replaces it.
    pub fn record(
        &mut self,
        step: &StepKey,
        task: u32,
        agent: &AgentId,
        time: Duration,
    ) {
        if let Some(time) = logarithm(time) {
            let runs = self.runs_of(step);
            runs.times.insert(task, (agent.clone(), time));
        }
    }

    /// Records the time that a gang needs in a run on its members' workers. A
    /// later time of the same run replaces it.
    pub fn record_gang(
        &mut self,
        step: &StepKey,
        run: Run,
        agents: &[AgentId],
        time: Duration,
    ) {
        let mut agents = agents.to_vec();
        agents.sort();
        agents.dedup();
        if let Some(time) = logarithm(time).filter(|_| !agents.is_empty()) {
            self.runs_of(step).gangs.insert(run, (agents, time));
        }
    }

    /// Records how long the runs of a step are expected to take on a worker of
    /// middle speed, and by how much that may be off: the standard deviation
    /// of the logarithm.
    pub fn expect(&mut self, step: &StepKey, time: Duration, deviation: f64) {
        let log = logarithm(time).filter(|_| deviation > 0.0);
        if let (Some(log), Some(runs)) = (log, self.steps.get_mut(step)) {
            runs.expected = Some(ExpectedWork { log, deviation });
        }
    }

    /// Records what an earlier planner has learned of an agent's worker.
    pub fn adopt(&mut self, agent: &AgentId, speed: Speed) {
        if !self.learned.contains_key(agent) && speed.log.is_finite() {
            self.learned.insert(agent.clone(), speed);
            self.changed = true;
        }
    }

    /// Returns what is known of an agent's worker, for the next planner.
    pub fn learned(&self, agent: &AgentId) -> Option<Speed> {
        self.raw.get(agent).copied()
    }

    /// Returns the speed of an agent's worker.
    pub fn of(&self, agent: &AgentId) -> LogSpeed {
        self.speeds.get(agent).copied().unwrap_or(0.0)
    }

    /// Returns whether the workers differ by enough to be told apart.
    pub fn differ(&self) -> bool {
        self.speeds.values().any(|speed| *speed != 0.0)
    }

    /// Returns the speed that only the fastest workers have.
    pub fn fastest(&self) -> LogSpeed {
        self.fastest
    }

    /// Forgets an agent's worker: another machine has taken its place.
    pub fn forget(&mut self, agent: &AgentId) {
        for runs in self.steps.values_mut() {
            runs.times.retain(|_, (other, _)| other != agent);
            runs.gangs.retain(|_, (agents, _)| !agents.contains(agent));
        }
        // The agent may still pass on what was known of the machine before.
        let unknown = Speed { log: 0.0, runs: 0 };
        self.learned.insert(agent.clone(), unknown);
        self.raw.remove(agent);
        self.speeds.remove(agent);
    }

    /// Estimates the speeds again, if runs were recorded and the last estimate
    /// is old enough. Returns whether it did.
    pub fn estimate(&mut self, now: Instant) -> bool {
        let recent = self
            .estimated_at
            .is_some_and(|last| now < last + ESTIMATE_INTERVAL);
        if !self.changed || recent {
            return false;
        }
        self.changed = false;
        self.estimated_at = Some(now);
        let (agents, observations) = self.observations();
        let fit = estimator::fit(&observations);
        let finite = fit.speeds.iter().all(|speed| speed.log.is_finite());
        let shown = agents.into_iter().zip(&fit.speeds);
        let noise = fit.noise.powi(2);
        self.raw = shown
            .filter(|_| finite)
            .map(|(agent, estimate)| (agent, learned(estimate, noise)))
            .collect();
        let told_apart = finite && fit.differ;
        let speeds = self.raw.iter().map(|(agent, speed)| {
            (agent.clone(), if told_apart { speed.log } else { 0.0 })
        });
        self.speeds = speeds.collect();
        self.fastest = quantile(&self.speeds, FASTEST_QUANTILE);
        true
    }

    /// Returns the runs of a step, and makes room for them. What the oldest
    /// step has shown is kept as what was learned.
    fn runs_of(&mut self, step: &StepKey) -> &mut Runs {
        self.changed = true;
        if !self.steps.contains_key(step) {
            self.order.push_back(step.clone());
            let tasks = self.steps.values().map(|runs| runs.times.len());
            let mut tasks: usize = tasks.sum();
            while self.order.len() > MAX_STEPS
                || tasks > MAX_TASKS && self.order.len() > 1
            {
                let oldest = self.order.pop_front();
                let runs = oldest.and_then(|step| self.steps.remove(&step));
                let runs = runs.unwrap_or_default();
                tasks -= runs.times.len();
                self.keep_learned(&runs);
            }
        }
        self.steps.entry(step.clone()).or_default()
    }

    fn keep_learned(&mut self, runs: &Runs) {
        let tasks = runs.times.values().map(|(agent, _)| agent);
        let gangs = runs.gangs.values().flat_map(|(agents, _)| agents);
        for agent in tasks.chain(gangs) {
            if let Some(speed) = self.raw.get(agent) {
                self.learned.insert(agent.clone(), *speed);
            }
        }
    }

    /// Returns all observations, and the agents whose workers they number.
    fn observations(&self) -> (Vec<AgentId>, Observations) {
        let known = self.learned.iter().filter(|(_, speed)| speed.runs > 0);
        let known: Vec<(&AgentId, &Speed)> = known.collect();
        let runs = || self.steps.values();
        let tasks = runs().flat_map(|runs| runs.times.values());
        let gangs = runs().flat_map(|runs| runs.gangs.values());
        let mut agents: Vec<&AgentId> =
            tasks.map(|(agent, _)| agent).collect();
        agents.extend(gangs.flat_map(|(agents, _)| agents));
        agents.extend(known.iter().map(|(agent, _)| *agent));
        agents.sort();
        agents.dedup();
        let number = |agent: &AgentId| agents.binary_search(&agent).ok();
        let mut all = Observations {
            workers: agents.len(),
            ..Observations::default()
        };
        for (step, runs) in self.steps.values().enumerate() {
            all.steps.push(runs.expected);
            let mut groups: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
            for (agent, time) in runs.times.values() {
                if let Some(worker) = number(agent) {
                    groups.entry(worker).or_default().push(*time);
                }
            }
            let group = |(worker, times)| Group {
                step,
                worker,
                times,
            };
            all.groups.extend(groups.into_iter().map(group));
            let gang = |(agents, time): &(Vec<AgentId>, f64)| Gang {
                step,
                workers: agents.iter().filter_map(number).collect(),
                time: *time,
            };
            all.gangs.extend(runs.gangs.values().map(gang));
        }
        let known = known.into_iter().filter_map(|(agent, speed)| {
            Some(Known {
                worker: number(agent)?,
                log: speed.log,
                runs: speed.runs.min(MAX_LEARNED_RUNS),
            })
        });
        all.known = known.collect();
        (agents.into_iter().cloned().collect(), all)
    }
}

/// Returns what an estimate tells the next planner: as many runs as would show
/// the speed as well, given the variance of one.
fn learned(estimate: &Estimate, noise: f64) -> Speed {
    let runs = noise / estimate.variance.max(1e-6);
    Speed {
        log: estimate.log,
        runs: runs as u32,
    }
}

/// Returns the logarithm of a time in seconds, if it has one.
fn logarithm(time: Duration) -> Option<f64> {
    (!time.is_zero()).then(|| time.as_secs_f64().ln())
}

fn quantile(speeds: &BTreeMap<AgentId, LogSpeed>, share: f64) -> LogSpeed {
    let mut all: Vec<f64> = speeds.values().copied().collect();
    all.sort_by(f64::total_cmp);
    let index = (all.len() as f64 * share) as usize;
    all.get(index.min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

//! How fast the workers are, relative to each other, learned from runs.
//!
//! Nothing names the speed of a worker. Tasks of one step do nearly the same
//! work, so that the times that they need on several workers show how the
//! workers differ. The time of a task is its step's work divided by the speed
//! of its worker, apart from noise; logarithms make that a sum, in which the
//! steps' works and the workers' speeds are estimated in turn.
//!
//! An estimate is drawn towards the middle of all workers by as much as the
//! runs differ for other reasons: where workers are alike, all estimates are
//! equal, and a worker that nothing is known of counts as one of the middle.
//! Medians keep out single runs that were slow for another reason: a worker in
//! trouble, a wait for others, a place far from the data.
//!
//! A planner tells each agent what it has learned of the agent's worker, and
//! the next planner learns it from the agents' reports. That takes no call of
//! the store, and lasts as long as the worker's machine keeps its agent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::unit::Phase;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::StepKey;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The number of steps whose runs are kept.
const MAX_STEPS: usize = 64;
/// The least time between two estimates.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of times that works and speeds are estimated in turn.
const SWEEPS: usize = 8;
/// The variance of a run's time that is assumed before runs show it, of a
/// logarithm: tasks of a step differ by 15%.
const PRIOR_NOISE: f64 = 0.15 * 0.15;
/// The weight of [`PRIOR_NOISE`], in runs.
const PRIOR_NOISE_RUNS: f64 = 10.0;
/// The least standard deviation between workers that is acted on, of a
/// logarithm. Below it, workers count as equally fast.
const MIN_SPREAD: f64 = 0.08;
/// The most runs that what an earlier planner has learned counts as.
const MAX_LEARNED_RUNS: u32 = 4;
/// The share of workers by which it is judged how much workers differ.
const KEPT_SHARE: f64 = 0.9;
/// The least variance between workers that counts as one, in standard errors.
const MIN_SIGNIFICANCE: f64 = 4.0;
/// The least number of workers with several runs before any is told apart.
const MIN_WORKERS: usize = 8;
/// The share of workers that are slower than those that count as the fastest.
const FASTEST_QUANTILE: f64 = 0.9;

/// The speed of a worker as a natural logarithm, relative to the middle.
pub type LogSpeed = f64;

/// What a planner has learned of a worker's speed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// The speed as a natural logarithm, relative to the middle.
    pub log: LogSpeed,
    /// The number of runs that have shown it.
    pub runs: u32,
}

/// The times of a step's runs.
#[derive(Clone, Debug, Default)]
struct Runs {
    /// The logarithm of the time in seconds of the last run of each task.
    times: BTreeMap<u32, (AgentId, f64)>,
}

/// What is known of the workers' speeds.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    steps: BTreeMap<StepKey, Runs>,
    /// The steps, the oldest first.
    order: VecDeque<StepKey>,
    /// What earlier planners have learned.
    learned: BTreeMap<AgentId, Speed>,
    /// The estimates before they are drawn towards the middle.
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
        if time.is_zero() {
            return;
        }
        if !self.steps.contains_key(step) {
            self.order.push_back(step.clone());
            if self.order.len() > MAX_STEPS {
                if let Some(oldest) = self.order.pop_front() {
                    self.steps.remove(&oldest);
                }
            }
        }
        let runs = self.steps.entry(step.clone()).or_default();
        let time = time.as_secs_f64().ln();
        runs.times.insert(task, (agent.clone(), time));
        self.changed = true;
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
        let mut raw: BTreeMap<AgentId, LogSpeed> = BTreeMap::new();
        let mut residuals = BTreeMap::new();
        for _ in 0..SWEEPS {
            residuals = self.residuals(&raw);
            raw = residuals
                .iter_mut()
                .map(|(agent, values)| (agent.clone(), median(values)))
                .collect();
            center(&mut raw);
        }
        self.speeds = shrink(&raw, &residuals);
        let runs = |agent| residuals.get(agent).map_or(0, Vec::len) as u32;
        let known = raw.iter().map(|(agent, log)| {
            let runs = runs(agent);
            (agent.clone(), Speed { log: *log, runs })
        });
        self.raw = known.collect();
        self.fastest = quantile(&self.speeds, FASTEST_QUANTILE);
        true
    }

    /// Returns what each run says of its worker's speed, if the others' speeds
    /// are `speeds`. Steps that ran on a single worker say nothing.
    fn residuals(
        &self,
        speeds: &BTreeMap<AgentId, LogSpeed>,
    ) -> BTreeMap<AgentId, Vec<f64>> {
        let speed = |agent| speeds.get(agent).copied().unwrap_or(0.0);
        let mut residuals: BTreeMap<AgentId, Vec<f64>> = BTreeMap::new();
        for (agent, speed) in &self.learned {
            let runs = speed.runs.min(MAX_LEARNED_RUNS) as usize;
            residuals.insert(agent.clone(), vec![speed.log; runs]);
        }
        for runs in self.steps.values() {
            let mut workers: Vec<&AgentId> =
                runs.times.values().map(|(agent, _)| agent).collect();
            workers.sort();
            workers.dedup();
            if workers.len() < 2 {
                continue;
            }
            let works = runs.times.values();
            let mut works: Vec<f64> =
                works.map(|(agent, time)| time + speed(agent)).collect();
            let work = median(&mut works);
            for (agent, time) in runs.times.values() {
                let here = residuals.entry(agent.clone()).or_default();
                here.push(work - time);
            }
        }
        residuals
    }
}

impl Scheduler {
    /// Estimates the workers' speeds again if enough has been observed.
    pub(super) fn estimate_speeds(&mut self, now: Timestamp) {
        if !self.speeds.estimate(now.monotonic) {
            return;
        }
        let fastest = self.speeds.fastest();
        let before = self.speeds.logged_fastest;
        if (fastest - before).abs() >= MIN_SPREAD {
            self.speeds.logged_fastest = fastest;
            self.record_decision(Decision::SpeedsEstimated {
                workers: self.speeds.speeds.len(),
                fastest: fastest.exp(),
                before: before.exp(),
            });
        }
    }

    /// Records the time that a task of a unit needs on an agent's worker, if
    /// that says something about the worker alone: a gang is as fast as its
    /// slowest member, and a place away from the data slows down any worker.
    pub(super) fn observe_speed(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        agent: &AgentId,
        time: Duration,
    ) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let step = &record.job.steps[key.step];
        let Some(task) = key.index else {
            return;
        };
        if step.lasting || self.ran_far(record, key) {
            return;
        }
        let step = (id.clone(), key.time, key.step);
        self.speeds.record(&step, task, agent, time);
    }

    /// Returns the speed at which a unit runs: that of its slowest member.
    pub(super) fn unit_speed(
        &self,
        record: &JobRecord,
        key: &UnitKey,
    ) -> LogSpeed {
        let Some(unit) = record.units.get(key) else {
            return 0.0;
        };
        let Phase::Running(members) = &unit.phase else {
            return 0.0;
        };
        let speeds = members.iter().map(|m| self.speeds.of(&m.place.agent));
        speeds.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns what a unit needs now.
    pub(super) fn request(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        unit: &Unit,
        now: Timestamp,
    ) -> Request {
        let expected = self.expected_time(record, key.step);
        let needed_speed = self.needed_speed(record, key, expected, now);
        Request {
            needed_speed,
            ..Request::new(record, key, unit, expected)
        }
    }

    /// Returns the least speed at which a unit that starts now is in time, if
    /// the fastest workers reach it and others may not.
    fn needed_speed(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        expected: Duration,
        now: Timestamp,
    ) -> Option<LogSpeed> {
        let step = &record.job.steps[key.step];
        if !self.speeds.differ() || step.lasting || !step.after.is_empty() {
            return None;
        }
        let slack = self.slack_ms(record, key, now);
        let slack = Duration::from_millis(u64::try_from(slack).ok()?);
        let fastest = self.speeds.fastest();
        let best = expected.mul_f64((-fastest).exp()).as_secs_f64();
        let available = best + slack.as_secs_f64();
        (best > 0.0).then(|| fastest - (available / best).ln())
    }
}

/// Moves the speeds so that the middle worker has speed 0.
fn center(speeds: &mut BTreeMap<AgentId, LogSpeed>) {
    let mut all: Vec<f64> = speeds.values().copied().collect();
    let middle = median(&mut all);
    for speed in speeds.values_mut() {
        *speed -= middle;
    }
}

/// Draws each speed towards the middle, by the share of its variance that is
/// noise.
fn shrink(
    raw: &BTreeMap<AgentId, LogSpeed>,
    residuals: &BTreeMap<AgentId, Vec<f64>>,
) -> BTreeMap<AgentId, LogSpeed> {
    let known = raw.iter().filter_map(|(agent, speed)| {
        let values = residuals.get(agent)?;
        Some((agent, *speed, values))
    });
    let known: Vec<(&AgentId, LogSpeed, &Vec<f64>)> = known.collect();
    let mut squares = PRIOR_NOISE * PRIOR_NOISE_RUNS;
    let mut degrees = PRIOR_NOISE_RUNS;
    for (_, _, values) in &known {
        let mut values = (*values).clone();
        let middle = median(&mut values);
        // One run more than there are degrees of freedom.
        degrees += values.len().saturating_sub(1) as f64;
        // A run that is slow for another reason counts as a factor of two.
        let square = |v: &f64| (v - middle).clamp(-0.7, 0.7).powi(2);
        squares += values.iter().map(square).sum::<f64>();
    }
    let noise = squares / degrees;
    let between = variance_between(&known, noise);
    let told_apart = between >= MIN_SPREAD * MIN_SPREAD;
    known
        .into_iter()
        .map(|(agent, speed, values)| {
            let of_noise = noise / values.len() as f64;
            let share = between / (between + of_noise);
            let speed = if told_apart { speed * share } else { 0.0 };
            (agent.clone(), speed)
        })
        .collect()
}

/// Returns the variance of the workers' speeds that is not noise.
///
/// The workers that differ most are left out: with few runs each, some of them
/// had a run that was slow for another reason, and equal workers would seem to
/// differ.
fn variance_between(
    known: &[(&AgentId, LogSpeed, &Vec<f64>)],
    noise: f64,
) -> f64 {
    let excess = |(_, speed, values): &(&AgentId, LogSpeed, &Vec<f64>)| {
        (speed.powi(2), noise / values.len() as f64)
    };
    // A single run may have been slow for any reason.
    let several = known.iter().filter(|(_, _, values)| values.len() > 1);
    let mut workers: Vec<(f64, f64)> = several.map(excess).collect();
    if workers.len() < MIN_WORKERS.max(known.len() / 2) {
        return 0.0;
    }
    workers.sort_by(|a, b| a.0.total_cmp(&b.0));
    workers.truncate((workers.len() as f64 * KEPT_SHARE).ceil() as usize);
    let count = workers.len().max(1) as f64;
    let squares =
        workers.iter().map(|(square, _)| square).sum::<f64>() / count;
    let noise = workers.iter().map(|(_, noise)| noise).sum::<f64>() / count;
    let between = squares - noise;
    // A variance of that many values is known to about this.
    let error = noise * (2.0 / count).sqrt();
    match between > error * MIN_SIGNIFICANCE {
        true => between,
        false => 0.0,
    }
}

/// Returns the middle value, or 0 if there is none. Sorts the values.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let half = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 0 => (values[half - 1] + values[half]) / 2.0,
        _ => values[half],
    }
}

fn quantile(speeds: &BTreeMap<AgentId, LogSpeed>, share: f64) -> LogSpeed {
    let mut all: Vec<f64> = speeds.values().copied().collect();
    all.sort_by(f64::total_cmp);
    let index = (all.len() as f64 * share) as usize;
    all.get(index.min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

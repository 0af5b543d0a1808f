//! The pace of filler tasks.
//!
//! Filler tasks use the CPU time that other tasks leave, but they slow down
//! the serving tasks beside them by amounts that are not declared. A worker's
//! fillers therefore pause as soon as a serving task on the worker exceeds its
//! latency target, and speed up again step by step.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::job_record::JobRecord;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Run;
use crate::graph::Running;
use crate::graph::Scheduler;
use crate::graph::Task;

/// The share of its target from which a serving task's tail latency keeps the
/// pace from rising.
const HOLD_THRESHOLD: f64 = 0.8;
/// The increase of the pace at a time, in percentage points.
const RISE_PERCENT: u8 = 20;
/// How long the pace stays unchanged before it rises.
const RISE_INTERVAL: Duration = Duration::from_millis(1000);
/// The pace of an unrestricted task, in percent.
const FULL_PERCENT: u8 = 100;

/// The pace that is ordered for a filler task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The filler task.
    pub task: Task,
    /// The number of its run.
    pub run: Run,
    /// The share of full speed, 0 to 100.
    pub percent: u8,
}

/// The pace of all filler tasks on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillerPace {
    percent: u8,
    since: Instant,
}

impl FillerPace {
    /// Returns full pace, for a worker without observations.
    pub fn new(now: Instant) -> FillerPace {
        FillerPace {
            percent: FULL_PERCENT,
            since: now,
        }
    }

    /// Updates the pace for the worst ratio of tail latency to target on the
    /// worker; returns whether the pace changes.
    fn update(&mut self, worst: f64, now: Instant) -> bool {
        let percent = match worst {
            worst if worst >= 1.0 => 0,
            worst if worst >= HOLD_THRESHOLD => self.percent,
            _ if now < self.since + RISE_INTERVAL => self.percent,
            _ => (self.percent + RISE_PERCENT).min(FULL_PERCENT),
        };
        let changes = percent != self.percent;
        if changes || worst >= HOLD_THRESHOLD {
            self.since = now;
        }
        self.percent = percent;
        changes
    }
}

impl Scheduler {
    /// Updates the pace of a worker's fillers from the load of its serving
    /// tasks.
    pub(super) fn update_pace(
        &mut self,
        agent: &AgentId,
        running: &[Running],
        now: Instant,
    ) {
        let relative_load = |running: &Running| {
            let record = self.jobs.get(&running.task.job)?;
            let step = record.job.steps.get(running.task.step)?;
            let target = step.target_ms.filter(|target| *target > 0)?;
            Some(running.load? / target as f64)
        };
        let worst =
            running.iter().filter_map(relative_load).fold(0.0, f64::max);
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let before = worker.filler_pace.percent;
        if worker.filler_pace.update(worst, now) {
            let after = worker.filler_pace.percent;
            self.record_decision(Decision::Paced {
                agent: agent.clone(),
                from: before,
                to: after,
                worst,
            });
            self.agents_to_order.insert(agent.clone());
        }
    }

    /// Returns the pace of each filler task that the worker lists with another
    /// pace.
    pub(super) fn pace_orders(&self, agent: &AgentId) -> Vec<Pace> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let fills = |(task, _): &&(Task, Run)| {
            let record: Option<&JobRecord> = self.jobs.get(&task.job);
            let step = record.and_then(|e| e.job.steps.get(task.step));
            step.is_some_and(|step| step.fills)
        };
        let pace = |(task, run): &(Task, Run)| Pace {
            task: task.clone(),
            run: *run,
            percent: worker.filler_pace.percent,
        };
        worker.off_pace.iter().filter(fills).map(pace).collect()
    }

    /// Updates the list of runs whose listed pace differs from the ordered
    /// one.
    pub(super) fn update_off_pace(
        &mut self,
        agent: &AgentId,
        running: &[Running],
    ) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let wanted = f64::from(worker.filler_pace.percent);
        let differs = running.iter().filter(|r| r.pace != wanted);
        let paced = differs.map(|r| (r.task.clone(), r.run)).collect();
        if worker.off_pace != paced {
            worker.off_pace = paced;
            self.agents_to_order.insert(agent.clone());
        }
    }
}

//! The pace of tasks that fill what others leave.
//!
//! They disturb the tasks beside them that serve users, by amounts that
//! nobody declares. A worker's fillers stand still as soon as a serving task
//! there is over its target, and come back step by step.

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

/// The share of its target from which a task's tail forbids more pace.
const HOLD_THRESHOLD: f64 = 0.8;
/// By how much the pace rises at a time, in percent.
const RISE_PERCENT: u8 = 20;
/// How long a pace is watched before it rises.
const RISE_INTERVAL: Duration = Duration::from_millis(1000);
/// The pace of a task that is not held back, in percent.
const FULL_PERCENT: u8 = 100;

/// The pace that a filling task is to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// The share of its speed at which it may work, 0 to 100.
    pub percent: u8,
}

/// The pace of what fills on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillerPace {
    percent: u8,
    since: Instant,
}

impl FillerPace {
    /// Returns the pace on a worker that is not known yet.
    pub fn new(now: Instant) -> FillerPace {
        FillerPace {
            percent: FULL_PERCENT,
            since: now,
        }
    }

    /// Takes in how close to its target the worst serving task is, 1 being
    /// at it; returns whether the pace changes.
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
    /// Sets the pace of what fills beside the serving tasks of a worker.
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

    /// Returns the pace of each filling task that a worker lists.
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

    /// Keeps the runs on a worker whose pace is not the one they should
    /// have.
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

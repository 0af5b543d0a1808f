//! Orders to agents.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::advice::Permission;
use crate::graph::job_record::JobRecord;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Options;
use crate::graph::Pace;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Speed;
use crate::graph::StepKey;
use crate::graph::Task;
use crate::graph::UnitKey;

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task to start.
    pub task: Task,
    /// The number of the run.
    pub run: Run,
    /// The specification that is passed on to the task.
    pub spec: SharedStr,
    /// The checkpoint to resume from, if any.
    pub saved: Option<String>,
    /// The ticket that permits the run on this worker, where one is needed.
    pub ticket: Option<String>,
    /// The resources that the task takes of the worker.
    #[serde(default)]
    pub charge: Resources,
    /// The client account that the run's use counts for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<SharedStr>,
    /// For a member of a gang, how long after the receipt of the order the
    /// member may still begin, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begin_within_ms: Option<u64>,
}

/// A run to stop.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stop {
    /// The task to stop.
    pub task: Task,
    /// The number of the run.
    pub run: Run,
}

/// All orders for an agent. An order that is already carried out stays listed
/// until the agent's reports show it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The life of the worker that the orders are for.
    pub life: Option<Life>,
    /// The highest number of an end that is stored. The worker may drop the
    /// ends up to it.
    pub noted: u64,
    /// The runs to start.
    pub starts: Vec<Start>,
    /// The runs to stop.
    pub stops: Vec<Stop>,
    /// The filler tasks that are to change their pace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<Pace>,
    /// What the planner knows of the worker's speed. The agent passes it on to
    /// the next planner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<Speed>,
}

impl Scheduler {
    /// Returns the current orders for an agent.
    pub fn orders(&mut self, agent: &AgentId) -> Orders {
        let mut orders = self.orders_for(std::slice::from_ref(agent));
        orders.remove(agent).unwrap_or_default()
    }

    /// Returns the current orders for several agents, with a single walk over
    /// all runs.
    pub fn orders_for(
        &mut self,
        agents: &[AgentId],
    ) -> BTreeMap<AgentId, Orders> {
        let mut all = BTreeMap::new();
        for agent in agents {
            if let Some(orders) = self.begin_orders(agent) {
                all.insert(agent.clone(), orders);
            }
        }
        let sending = Sending {
            now: self.now,
            options: self.options,
        };
        for id in &self.open_jobs {
            if let Some(record) = self.jobs.get_mut(id) {
                add_orders(record, &self.permissions, sending, &mut all);
            }
        }
        all
    }

    /// Acknowledges the ends that are written, and returns an agent's orders
    /// without the starts and stops of known runs.
    fn begin_orders(&mut self, agent: &AgentId) -> Option<Orders> {
        let paces = self.pace_orders(agent);
        let speed = self.speeds.learned(agent);
        let unacked = &self.workers.get(agent)?.unacked_ends;
        let written = unacked
            .iter()
            .take_while(|end| self.is_written(&end.job, end.version))
            .count();
        let worker = self.workers.get_mut(agent)?;
        let acked = worker.unacked_ends.drain(..written).next_back();
        if let Some(end) = acked {
            worker.acked_end = end.number;
        }
        let unknown_run = |(task, run): &(Task, Run)| Stop {
            task: task.clone(),
            run: *run,
        };
        Some(Orders {
            life: Some(worker.life.clone()),
            noted: worker.acked_end,
            starts: Vec::new(),
            stops: worker.unknown_runs.iter().map(unknown_run).collect(),
            paces,
            speed,
        })
    }
}

/// The time at which orders are sent.
#[derive(Clone, Copy, Debug)]
struct Sending {
    now: Instant,
    options: Options,
}

impl Sending {
    /// Returns when the members of a gang must have begun whose first start is
    /// sent now.
    fn begin_by(&self, unit: &Unit) -> Instant {
        self.now + self.options.gang_begin_time(unit.late_runs)
    }
}

fn add_orders(
    record: &mut JobRecord,
    permissions: &BTreeMap<StepKey, Permission>,
    sending: Sending,
    all: &mut BTreeMap<AgentId, Orders>,
) {
    let mut units = std::mem::take(&mut record.units);
    for (key, unit) in &mut units {
        let step = (record.job.id.clone(), key.time, key.step);
        let permission = permissions.get(&step);
        add_unit_orders(record, key, unit, permission, sending, all);
    }
    record.units = units;
}

fn add_unit_orders(
    record: &JobRecord,
    key: &UnitKey,
    unit: &mut Unit,
    permission: Option<&Permission>,
    sending: Sending,
    all: &mut BTreeMap<AgentId, Orders>,
) {
    let starts_together = unit.starts_together();
    let begin_by = unit.begin_by.unwrap_or_else(|| sending.begin_by(unit));
    let Phase::Running(members) = &mut unit.phase else {
        return;
    };
    let Some(progress) = record.progress.units.get(key) else {
        return;
    };
    let stopped = unit.stop_reason.is_some();
    let begin_within = begin_by.saturating_duration_since(sending.now);
    for member in members.iter_mut() {
        let not_begun = matches!(member.state, MemberState::Ordered(_));
        if member.state == MemberState::Ended || !stopped && !not_begun {
            continue;
        }
        let life = &member.place.life;
        let orders = all.get_mut(&member.place.agent);
        let orders = orders.filter(|o| o.life.as_ref() == Some(life));
        let Some(orders) = orders else {
            continue;
        };
        let task = record.task(key, member);
        match member.state {
            // Once a gang is done, a member that has not begun must not begin
            // any more.
            MemberState::Ordered(_) | MemberState::Running
                if stopped || progress.done =>
            {
                orders.stops.push(Stop {
                    task,
                    run: progress.run,
                });
            }
            MemberState::Ordered(version) if version <= record.written => {
                member.sent = true;
                unit.begin_by = starts_together.then_some(begin_by);
                orders.starts.push(Start {
                    task,
                    run: progress.run,
                    spec: record.job.spec.clone(),
                    saved: Some(progress.from.clone())
                        .filter(|from| !from.is_empty()),
                    ticket: permission
                        .and_then(|permission| permission.ticket(life)),
                    charge: record.job.steps[key.step].charge(),
                    account: Some(record.job.account.clone()),
                    begin_within_ms: starts_together
                        .then_some(begin_within.as_millis() as u64),
                });
            }
            _ => {}
        }
    }
}

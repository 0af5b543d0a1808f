//! What an agent is to do.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::advice::Leave;
use crate::graph::entry::Entry;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Pace;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::StepKey;
use crate::graph::Task;
use crate::graph::UnitKey;

/// A run to be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// What the task is told.
    pub spec: SharedStr,
    /// The checkpoint to resume from, if any.
    pub saved: Option<String>,
    /// The leave to run there, where one is needed.
    pub ticket: Option<String>,
    /// What it takes of the worker's room.
    #[serde(default)]
    pub charge: Resources,
}

/// A run to be stopped.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stop {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
}

/// All that an agent is to do; what it has done already stays listed until
/// its reports show it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// For which life of its worker.
    pub life: Option<Life>,
    /// The ends up to this number are kept, and may be forgotten.
    pub noted: u64,
    /// What is to be started.
    pub starts: Vec<Start>,
    /// What is to be stopped.
    pub stops: Vec<Stop>,
    /// What is to work at another pace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<Pace>,
}

impl Scheduler {
    /// Returns what an agent is to do now.
    pub fn orders(&mut self, agent: &AgentId) -> Orders {
        let mut orders = self.orders_for(std::slice::from_ref(agent));
        orders.remove(agent).unwrap_or_default()
    }

    /// Returns what each of several agents is to do now, by one walk over
    /// all runs however many agents there are.
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
        for id in &self.open {
            if let Some(entry) = self.jobs.get_mut(id) {
                order(entry, &self.leave, &mut all);
            }
        }
        all
    }

    /// Acknowledges the ends that are written, and returns an agent's orders
    /// beside what is to be started and stopped of known runs.
    fn begin_orders(&mut self, agent: &AgentId) -> Option<Orders> {
        let paces = self.paces(agent);
        let worker = self.workers.get_mut(agent)?;
        while let Some(end) = worker.unnoted.front() {
            let written = self
                .jobs
                .get(&end.job)
                .is_none_or(|entry| entry.written >= end.version);
            if !written {
                break;
            }
            worker.noted = end.number;
            worker.unnoted.pop_front();
        }
        let stray = |(task, run): &(Task, Run)| Stop {
            task: task.clone(),
            run: *run,
        };
        Some(Orders {
            life: Some(worker.life.clone()),
            noted: worker.noted,
            starts: Vec::new(),
            stops: worker.strays.iter().map(stray).collect(),
            paces,
        })
    }
}

fn order(
    entry: &mut Entry,
    leave: &BTreeMap<StepKey, Leave>,
    all: &mut BTreeMap<AgentId, Orders>,
) {
    let mut units = std::mem::take(&mut entry.units);
    for (key, unit) in &mut units {
        let step = (entry.job.id.clone(), key.time, key.step);
        order_unit(entry, key, unit, leave.get(&step), all);
    }
    entry.units = units;
}

fn order_unit(
    entry: &Entry,
    key: &UnitKey,
    unit: &mut Unit,
    leave: Option<&Leave>,
    all: &mut BTreeMap<AgentId, Orders>,
) {
    let Phase::Running(members) = &mut unit.phase else {
        return;
    };
    let Some(kept) = entry.progress.units.get(key) else {
        return;
    };
    let stopped = unit.stop.is_some();
    for member in members.iter_mut() {
        let waits = matches!(member.state, State::Ordered(_));
        if member.state == State::Ended || !stopped && !waits {
            continue;
        }
        let life = &member.place.life;
        let orders = all.get_mut(&member.place.agent);
        let orders = orders.filter(|o| o.life.as_ref() == Some(life));
        let Some(orders) = orders else {
            continue;
        };
        let task = entry.task(key, member);
        match member.state {
            // Once a gang is done without a member, that one must not begin
            // any more.
            State::Ordered(_) | State::Present if stopped || kept.done => {
                orders.stops.push(Stop {
                    task,
                    run: kept.run,
                });
            }
            State::Ordered(version) if version <= entry.written => {
                member.handed = true;
                orders.starts.push(Start {
                    task,
                    run: kept.run,
                    spec: entry.job.spec.clone(),
                    saved: Some(kept.from.clone())
                        .filter(|from| !from.is_empty()),
                    ticket: leave.and_then(|leave| leave.ticket(life)),
                    charge: entry.job.steps[key.step].charge(),
                });
            }
            _ => {}
        }
    }
}

//! What an agent is to do.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::graph::advice::Leave;
use crate::graph::entry::Entry;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Book;
use crate::graph::Life;
use crate::graph::Pace;
use crate::graph::Run;
use crate::graph::StepKey;
use crate::graph::Task;
use crate::graph::Text;
use crate::graph::UnitKey;

/// A run to be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// Which run of it.
    pub run: Run,
    /// What the task is told.
    pub spec: Text,
    /// The checkpoint to resume from, if any.
    pub saved: Option<String>,
    /// The leave to run there, where one is needed.
    pub ticket: Option<String>,
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

impl Book {
    /// Returns what an agent is to do now.
    pub fn orders(&mut self, agent: &AgentId) -> Orders {
        let paces = self.paces(agent);
        let Some(worker) = self.workers.get_mut(agent) else {
            return Orders::default();
        };
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
        let life = worker.life.clone();
        let stray = |(task, run): &(Task, Run)| Stop {
            task: task.clone(),
            run: *run,
        };
        let mut orders = Orders {
            life: Some(life.clone()),
            noted: worker.noted,
            starts: Vec::new(),
            stops: worker.strays.iter().map(stray).collect(),
            paces,
        };
        for id in &self.open {
            if let Some(entry) = self.jobs.get_mut(id) {
                order(entry, agent, &life, &self.leave, &mut orders);
            }
        }
        orders
    }
}

fn order(
    entry: &mut Entry,
    agent: &AgentId,
    life: &Life,
    leave: &BTreeMap<StepKey, Leave>,
    orders: &mut Orders,
) {
    let mut units = std::mem::take(&mut entry.units);
    for (key, unit) in &mut units {
        let first = orders.starts.len();
        order_unit(entry, key, unit, agent, life, orders);
        let step = (entry.job.id.clone(), key.time, key.step);
        if let Some(leave) = leave.get(&step) {
            for start in &mut orders.starts[first..] {
                start.ticket = leave.ticket(life);
            }
        }
    }
    entry.units = units;
}

fn order_unit(
    entry: &Entry,
    key: &UnitKey,
    unit: &mut Unit,
    agent: &AgentId,
    life: &Life,
    orders: &mut Orders,
) {
    let Phase::Running(members) = &mut unit.phase else {
        return;
    };
    let Some(kept) = entry.progress.units.get(key) else {
        return;
    };
    let here = |member: &&mut Member| {
        member.place.agent == *agent
            && member.place.life == *life
            && member.state != State::Ended
    };
    for member in members.iter_mut().filter(here) {
        let task = entry.task(key, member);
        match member.state {
            _ if unit.stop.is_some() => {
                orders.stops.push(Stop {
                    task,
                    run: kept.run,
                });
            }
            // The gang is done without it: it must not begin any more.
            State::Ordered(_) if kept.done => {
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
                    ticket: None,
                });
            }
            _ => {}
        }
    }
}

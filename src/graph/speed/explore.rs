//! Tasks that show the speed of workers that nothing is known of.
//!
//! Addresses a pool that fills before its workers' speeds are known. Tasks are
//! packed on few workers, and of the others only gangs would show something,
//! which may be as slow as any of their members. While most workers of a pool
//! are unknown, single tasks of lower priority are therefore spread, one for
//! each unknown worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::graph::place::pack;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::SharedStr;

/// The least number of such tasks that a worker could hold. A greater task
/// would take a worker's place from units that need much of it.
const MIN_SLOTS: u32 = 4;
/// The least number of workers of a pool. Fewer are rarely distinguished by
/// their runs, and a job that takes down its workers would hit all of them.
const MIN_WORKERS: usize = 8;

/// What may be explored in a pass.
#[derive(Clone, Debug, Default)]
pub(in crate::graph) struct Exploration {
    /// The pools of which most workers are unknown.
    pools: BTreeSet<SharedStr>,
    /// The unknown workers in them on which no task is observed.
    unknown: BTreeSet<AgentId>,
    /// The number of workers for which this was determined.
    workers: usize,
}

impl Exploration {
    /// Returns what may be explored while no task is observed, given the pool
    /// of each worker and whether its speed is known.
    fn new<'a>(
        workers: impl Iterator<Item = (&'a AgentId, &'a SharedStr, bool)>,
    ) -> Exploration {
        let mut counts: BTreeMap<&SharedStr, (usize, usize)> = BTreeMap::new();
        let mut unknown = Vec::new();
        for (agent, pool, known) in workers {
            let (of_pool, all) = counts.entry(pool).or_default();
            *all += 1;
            if !known {
                *of_pool += 1;
                unknown.push((agent, pool));
            }
        }
        let explored = |(_, (unknown, all)): &(&SharedStr, (usize, usize))| {
            *all >= MIN_WORKERS && unknown * 2 > *all
        };
        let pools = counts.into_iter().filter(explored);
        let pools: BTreeSet<&SharedStr> =
            pools.map(|(pool, _)| pool).collect();
        let unknown = unknown.into_iter();
        let unknown = unknown.filter(|(_, pool)| pools.contains(pool));
        Exploration {
            workers: 0,
            unknown: unknown.map(|(agent, _)| agent.clone()).collect(),
            pools: pools.into_iter().cloned().collect(),
        }
    }

    /// Returns whether a task of this priority in this pool may explore.
    fn takes(&self, pool: &SharedStr, priority: u32) -> bool {
        priority > 0 && self.pools.contains(pool)
    }

    /// Returns the workers on which a task would be the first to show
    /// something.
    fn choices(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let chosen = candidates.iter().filter(|candidate| {
            candidate.slots_when_empty >= MIN_SLOTS
                && candidate.failures == 0
                && self.unknown.contains(&candidate.place.agent)
        });
        chosen.cloned().collect()
    }
}

impl Scheduler {
    /// Determines what may be explored in this pass. Where nothing could be
    /// explored in the last pass, that only changes with the estimates or the
    /// number of workers.
    pub(in crate::graph) fn begin_exploration(&mut self, estimated: bool) {
        let last = &self.exploration;
        let unchanged = !estimated && last.workers == self.workers.len();
        let idle = last.pools.is_empty() && unchanged;
        if !self.options.policy.explore || idle {
            return;
        }
        let workers = self.workers.iter().map(|(agent, worker)| {
            let speed = self.speeds.learned(agent);
            let known = speed.is_some_and(|speed| speed.runs > 0);
            (agent, &worker.pool, known)
        });
        let mut exploration = Exploration {
            workers: self.workers.len(),
            ..Exploration::new(workers)
        };
        if exploration.pools.is_empty() {
            self.exploration = exploration;
            return;
        }
        for record in self.live_jobs() {
            let observed = record.units.iter().filter(|(key, _)| {
                key.index.is_some() && !record.job.steps[key.step].lasting
            });
            let members = observed.flat_map(|(_, unit)| Unit::members(unit));
            for member in members {
                exploration.unknown.remove(&member.place.agent);
            }
        }
        self.exploration = exploration;
    }

    /// Returns a place of a single task on a worker of unknown speed, if it
    /// may explore and finds one where it would show something.
    pub(in crate::graph) fn explore(
        &self,
        request: &Request,
        candidates: &[Candidate],
    ) -> Option<Vec<Place>> {
        request.key.index?;
        if !self.exploration.takes(&request.pool, request.priority) {
            return None;
        }
        let record = self.jobs.get(&request.id)?;
        // A job under which workers were lost is not spread any further.
        if record.job.steps[request.key.step].lasting || record.has_losses {
            return None;
        }
        let mut choices = self.exploration.choices(candidates);
        // A task away from its data shows nothing.
        choices.retain(|candidate| request.is_near(&candidate.rack));
        pack(request, choices)
    }

    /// Records that a single task starts on a worker.
    pub(in crate::graph) fn mark_explored(&mut self, places: &[Place]) {
        for place in places {
            self.exploration.unknown.remove(&place.agent);
        }
    }
}

//! The shortage of a unit that finds no room, in figures.
//!
//! A bare "no room" does not show what would help: more workers, gangs that
//! are packed more closely, fewer reservations, or another run that is
//! stopped.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::graph::holder;
use crate::graph::holder::Holding;
use crate::graph::holder::HoldingState;
use crate::graph::holder::Owner;
use crate::graph::holder::Waiter;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::preempt::absences_left;
use crate::graph::scheduler::Worker;
use crate::graph::unit::Phase;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Holder;
use crate::graph::PoolUsage;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;

/// The most workers that are examined in a pass to find holders. Each wait that
/// is logged with its holders costs a walk over the workers it may use, and a
/// burst logs many at once.
const MAX_EXAMINED_WORKERS: usize = 1000;

/// Why a unit finds no room. The first kind that applies is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageKind {
    /// Fewer accelerators are free than the unit requests.
    Accelerators,
    /// Enough accelerators are free, but not enough on single workers.
    Fragmented,
    /// The accelerators would suffice, but CPU or memory does not.
    Cores,
    /// The resources would suffice, but a part of them is reserved for others.
    Reserved,
    /// The resources would suffice, but a part of them is left to more urgent
    /// work.
    Spare,
    /// The resources would suffice, but not within one rack.
    Rack,
}

impl ShortageKind {
    /// Returns the value that names the kind in logs.
    pub fn word(self) -> &'static str {
        match self {
            ShortageKind::Accelerators => "accelerators",
            ShortageKind::Fragmented => "accelerators together",
            ShortageKind::Cores => "cores or memory",
            ShortageKind::Reserved => "room that is kept",
            ShortageKind::Spare => "room for urgent work",
            ShortageKind::Rack => "room in one rack",
        }
    }
}

/// The shortage of a waiting unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Why the unit finds no room.
    pub kind: ShortageKind,
    /// The accelerators that the unit requests.
    pub needed: i64,
    /// The unoccupied accelerators on workers that the unit may use.
    pub free: i64,
    /// How many of the unit's tasks would fit now, without regard to racks.
    pub fits: u32,
    /// The core-seconds that preemption would lose, if it could make room.
    pub preemption_cost: Option<f64>,
    /// How the pool's accelerators are used.
    pub usage: PoolUsage,
}

impl Scheduler {
    /// Returns the shortage of a unit that finds no room.
    pub(super) fn shortage(
        &self,
        request: &Request,
        preemption_cost: Option<f64>,
        now: Timestamp,
    ) -> Shortage {
        let workers = self.workers.values();
        let usable = workers.filter(|w| self.is_usable(w, request, now));
        let usable: Vec<&Worker> = usable.collect();
        let accelerators = Resources {
            accelerators: request.charge.accelerators,
            ..Resources::default()
        };
        let slots = |room: fn(&Worker) -> Resources, charge: &Resources| {
            let each = usable.iter().map(|w| room(w).times(charge));
            each.fold(0, u32::saturating_add)
        };
        let free = usable.iter().map(|w| w.unoccupied().accelerators).sum();
        let needed = request.charge.accelerators * i64::from(request.width);
        let candidates = self.candidates(request, now);
        let fits = candidates.iter().map(|c| c.slots(&request.charge));
        let fits = fits.fold(0, u32::saturating_add);
        let width = request.width;
        let kind = if free < needed {
            ShortageKind::Accelerators
        } else if slots(Worker::unoccupied, &accelerators) < width {
            ShortageKind::Fragmented
        } else if slots(Worker::unoccupied, &request.charge) < width {
            ShortageKind::Cores
        } else if slots(Worker::free, &request.charge) < width {
            ShortageKind::Reserved
        } else if fits < width {
            ShortageKind::Spare
        } else {
            ShortageKind::Rack
        };
        Shortage {
            kind,
            needed,
            free,
            fits,
            preemption_cost,
            usage: self.pool_usage(&request.pool),
        }
    }

    /// Records why units wait, with the jobs that hold the room.
    ///
    /// The holders are as of the end of the pass, so that one index serves all
    /// units: in a burst, a walk over all jobs for each line took three times
    /// as long as the rest of the pass. On a large pool only the first units,
    /// which are the most urgent, are recorded with holders.
    pub(super) fn record_waits(&mut self, waits: Vec<Wait>, now: Timestamp) {
        let mut index = None;
        let workers = self.workers.len().max(1);
        let mut left = (MAX_EXAMINED_WORKERS / workers).max(1);
        for mut wait in waits {
            if let Decision::Waiting {
                shortage: Some(shortage),
                holders,
                ..
            } = &mut wait.decision
            {
                if self.options.policy.name_holders && left > 0 {
                    left -= 1;
                    let index =
                        index.get_or_insert_with(|| self.holding_index(now));
                    *holders =
                        self.holders(&wait.request, shortage, index, now);
                }
            }
            self.record_decision(wait.decision);
        }
    }

    /// Returns the jobs that hold most of the room that a unit could use.
    fn holders(
        &self,
        request: &Request,
        shortage: &Shortage,
        index: &HoldingIndex,
        now: Timestamp,
    ) -> Vec<Holder> {
        let record = self.jobs.get(&request.id);
        let guaranteed = record.is_some_and(|r| self.is_within_guarantee(r));
        let waiter = Waiter {
            priority: request.priority,
            guaranteed,
            awaits_reports: index.awaits_reports,
            over_budget: shortage.preemption_cost.is_some(),
            too_late: !guaranteed
                && self.is_late_after_stop(
                    &request.id,
                    &request.key,
                    request,
                    now,
                ),
        };
        let candidates = self.fast_candidates(request, now);
        holder::holders(
            &waiter,
            shortage.kind,
            request.charge.accelerators > 0,
            index.on(&self.accepted_workers(request, &candidates, now)),
            self.spare_room(request, &candidates, now),
        )
    }

    /// Returns the agents of the candidates that a unit accepts at present:
    /// those of the racks where it fits, if it needs one rack.
    fn accepted_workers<'a>(
        &self,
        request: &Request,
        candidates: &'a [Candidate],
        now: Timestamp,
    ) -> Vec<&'a AgentId> {
        let choices = self.rack_choices(request, candidates, now);
        let all = choices.iter().any(Option::is_none);
        let racks: BTreeSet<&SharedStr> =
            choices.iter().flatten().flatten().collect();
        let accepts = |c: &&Candidate| {
            all || racks.is_empty() || racks.contains(&c.rack)
        };
        let accepted = candidates.iter().filter(accepts);
        accepted.map(|c| &c.place.agent).collect()
    }

    /// Returns what every unit holds on each worker.
    fn holding_index(&self, now: Timestamp) -> HoldingIndex {
        let mut index = HoldingIndex {
            awaits_reports: self.awaits_reports(now),
            ..HoldingIndex::default()
        };
        for record in self.live_jobs() {
            let mut left = absences_left(record);
            // The groups of this job.
            let mut groups: BTreeMap<(HoldingState, bool), usize> =
                BTreeMap::new();
            for (key, unit) in &record.units {
                let Some(state) = holding_state(unit) else {
                    continue;
                };
                let may_be_absent = match left.get_mut(&(key.time, key.step)) {
                    Some(0) => false,
                    Some(more) if state != HoldingState::Stopping => {
                        *more -= 1;
                        true
                    }
                    _ => true,
                };
                let group = *groups
                    .entry((state, may_be_absent))
                    .or_insert_with(|| {
                        index.groups.push(Holding {
                            owner: Owner {
                                job: record.job.id.clone(),
                                account: record.job.account.clone(),
                                priority: record.job.priority,
                            },
                            guaranteed: self.is_within_guarantee(record),
                            held: Resources::default(),
                            state,
                            may_be_absent,
                        });
                        index.groups.len() - 1
                    });
                let charge = record.job.steps[key.step].charge();
                for member in unit.members() {
                    let agent = &member.place.agent;
                    index.add(agent, group, &charge);
                }
            }
        }
        index
    }

    /// Returns what is free on the workers that a unit leaves to more urgent
    /// work.
    fn spare_room(
        &self,
        request: &Request,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Resources {
        let usable = self.workers.values();
        let usable = usable.filter(|w| self.is_usable(w, request, now));
        // A suspect leaves out workers for another reason.
        if request.priority == 0
            || request.suspect
            || usable.count() == candidates.len()
        {
            return Resources::default();
        }
        // An urgent unit of the same shape may use the spare workers, too.
        let urgent = Request {
            priority: 0,
            ..request.clone()
        };
        let used: BTreeSet<&AgentId> =
            candidates.iter().map(|c| &c.place.agent).collect();
        let all = self.candidates(&urgent, now);
        let spare = all
            .iter()
            .filter(|c| !used.contains(&c.place.agent))
            .filter(|c| c.free.holds(&request.charge));
        spare.fold(Resources::default(), |sum, c| sum.plus(&c.free))
    }
}

/// A wait that is to be recorded at the end of the pass.
pub(super) struct Wait {
    /// The decision, without holders.
    pub decision: Decision,
    /// The request of the unit.
    pub request: Request,
}

/// What units hold on each worker.
#[derive(Default)]
struct HoldingIndex {
    /// Whether the planner stops nothing yet because it awaits reports.
    awaits_reports: bool,
    /// The units that count as one because they belong to one job and have the
    /// same obstacles, with nothing held.
    groups: Vec<Holding>,
    /// What groups hold on each agent's worker.
    by_agent: BTreeMap<AgentId, Vec<(usize, Resources)>>,
}

impl HoldingIndex {
    fn add(&mut self, agent: &AgentId, group: usize, charge: &Resources) {
        if !self.by_agent.contains_key(agent) {
            self.by_agent.insert(agent.clone(), Vec::new());
        }
        let Some(here) = self.by_agent.get_mut(agent) else {
            return;
        };
        match here.last_mut() {
            Some((last, held)) if *last == group => *held = held.plus(charge),
            _ => here.push((group, *charge)),
        }
    }

    /// Returns what is held on the given agents' workers.
    fn on(&self, agents: &[&AgentId]) -> Vec<Holding> {
        let mut held = vec![Resources::default(); self.groups.len()];
        let parts =
            agents.iter().filter_map(|agent| self.by_agent.get(*agent));
        for (group, part) in parts.flatten() {
            held[*group] = held[*group].plus(part);
        }
        let groups = self.groups.iter().zip(held);
        let groups = groups.filter(|(_, held)| *held != Resources::default());
        groups
            .map(|(group, held)| Holding {
                held,
                ..group.clone()
            })
            .collect()
    }
}

/// Returns how a unit holds resources, if it holds any.
fn holding_state(unit: &Unit) -> Option<HoldingState> {
    match unit.phase {
        Phase::Waiting | Phase::Done => None,
        _ if unit.stop_reason.is_some() => Some(HoldingState::Stopping),
        Phase::Reserved(_) => Some(HoldingState::Reserved),
        Phase::Running(_) => Some(HoldingState::Running),
    }
}

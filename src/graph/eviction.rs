//! The choice of the runs that make room for an urgent unit.
//!
//! A plan is a pure function of the workers' free resources, the runs that may
//! be stopped and the unit's request. It is made for bursts of urgent gangs on
//! a full fleet, of which each takes whole workers: places are chosen member by
//! member, and each time the worker that is cheapest to clear is taken.
//!
//! A gang that is stopped for one member also frees resources on other
//! workers, and a large run may free alone what several smaller ones were
//! chosen for. Victims that the finished plan does not need are therefore
//! dropped, the most expensive first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::Resources;

/// What a unit requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// The resources of each member.
    pub charge: Resources,
    /// The number of members.
    pub width: u32,
    /// How long the unit can wait. Runs that end by themselves within this
    /// time are not stopped.
    pub wait: Option<Duration>,
}

impl Need {
    /// Returns whether a run that ends in the given time is awaited.
    pub fn awaits(&self, ends_within: Option<Duration>) -> bool {
        let times = self.wait.zip(ends_within);
        times.is_some_and(|(wait, within)| within <= wait)
    }
}

/// A worker that the unit may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Room {
    /// The worker.
    pub place: Place,
    /// The resources that are free there, or will be within the time that the
    /// unit can wait; below 0 where runs still occupy what is reserved for
    /// other units.
    pub free: Resources,
    /// How many members the worker may take.
    pub quota: u32,
}

/// A run that could be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The resources of each member.
    pub charge: Resources,
    /// The places of the members.
    pub places: Vec<Place>,
    /// The weight against stopping the run.
    pub weight: f64,
    /// The time within which the run ends by itself, if known.
    pub ends_within: Option<Duration>,
}

impl Victim {
    /// Returns the resources that a stop frees on a worker.
    pub fn frees(&self, place: &Place) -> Resources {
        let here = self.places.iter().filter(|p| p.agent == place.agent);
        here.fold(Resources::default(), |room, _| room.plus(&self.charge))
    }
}

/// The cost of making room for one task on a worker.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// The resources of the task.
    charge: Resources,
    /// The resources that were free on the worker.
    free: Resources,
    /// How long the unit could wait.
    wait: Option<Duration>,
    /// The weight of the stops, or `None` if there cannot be room.
    cost: Option<f64>,
}

/// The runs that could be stopped, by worker.
#[derive(Debug, Default)]
pub struct Victims {
    all: Vec<Victim>,
    /// The indices of the victims on each agent's worker, the cheapest first.
    by_agent: BTreeMap<AgentId, Vec<usize>>,
    /// The indices of the victims that are already being stopped.
    stopped: BTreeSet<usize>,
    /// The cost of making room on each agent's worker. The gangs of a burst
    /// are alike and ask for the same room again.
    costs: RefCell<BTreeMap<AgentId, Cost>>,
}

impl Victims {
    /// Returns the runs that could be stopped.
    pub fn new(all: Vec<Victim>) -> Victims {
        let mut by_agent: BTreeMap<AgentId, Vec<usize>> = BTreeMap::new();
        for (index, victim) in all.iter().enumerate() {
            for place in &victim.places {
                let here = by_agent.entry(place.agent.clone()).or_default();
                if !here.contains(&index) {
                    here.push(index);
                }
            }
        }
        for here in by_agent.values_mut() {
            here.sort_by(|a, b| all[*a].weight.total_cmp(&all[*b].weight));
        }
        Victims {
            all,
            by_agent,
            stopped: BTreeSet::new(),
            costs: RefCell::default(),
        }
    }

    /// Records that a victim is being stopped.
    pub fn stop(&mut self, index: usize) {
        self.stopped.insert(index);
        let costs = self.costs.get_mut();
        for place in &self.all[index].places {
            costs.remove(&place.agent);
        }
    }

    /// Returns the victims on an agent's worker that are neither being stopped
    /// nor awaited.
    fn remaining_on<'a>(
        &'a self,
        agent: &AgentId,
        need: &'a Need,
    ) -> impl Iterator<Item = usize> + use<'a> {
        let here = self.by_agent.get(agent).map_or(&[][..], Vec::as_slice);
        let remaining = |index: &usize| {
            !self.stopped.contains(index)
                && !need.awaits(self.all[*index].ends_within)
        };
        here.iter().copied().filter(remaining)
    }
}

/// Places for a unit, and the runs that must stop for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The places of the unit's members.
    pub places: Vec<Place>,
    /// The indices of the victims.
    pub victims: BTreeSet<usize>,
    /// The weight against the plan.
    pub weight: f64,
}

/// A plan in the making.
struct Draft<'a> {
    need: &'a Need,
    victims: &'a Victims,
    /// The workers, with the resources that the plan leaves free.
    rooms: Vec<Room>,
    /// The agents whose workers run chosen victims.
    touched: BTreeSet<AgentId>,
    plan: Plan,
}

/// Finds the cheapest runs to stop, member by member, if their weight is less
/// than `max_weight`. With `prune`, victims that are not needed are dropped.
pub fn plan(
    need: &Need,
    rooms: Vec<Room>,
    victims: &Victims,
    max_weight: f64,
    prune: bool,
) -> Option<Plan> {
    let mut draft = Draft {
        need,
        victims,
        rooms,
        touched: BTreeSet::new(),
        plan: Plan {
            places: Vec::new(),
            victims: BTreeSet::new(),
            weight: 0.0,
        },
    };
    for _ in 0..need.width {
        let (index, cost) = draft.cheapest_room()?;
        draft.plan.weight += cost;
        if draft.plan.weight >= max_weight {
            return None;
        }
        draft.take(index);
    }
    if prune {
        draft.prune();
    }
    Some(draft.plan)
}

impl Draft<'_> {
    /// Returns the worker that is cheapest to clear for one member, and the
    /// weight of the stops.
    fn cheapest_room(&self) -> Option<(usize, f64)> {
        let rooms = self.rooms.iter().enumerate();
        rooms
            .filter(|(_, room)| room.quota > 0)
            .filter_map(|(index, room)| Some((index, self.cost(room)?)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the cost of making room for one member on a worker, if that is
    /// possible.
    fn cost(&self, room: &Room) -> Option<f64> {
        let agent = &room.place.agent;
        if self.touched.contains(agent) {
            return self.compute_cost(room);
        }
        let Need { charge, wait, .. } = *self.need;
        let free = room.free;
        let known = self.victims.costs.borrow().get(agent).copied();
        let known = known.filter(|c| {
            c.charge == charge && c.free == free && c.wait == wait
        });
        if let Some(known) = known {
            return known.cost;
        }
        let cost = self.compute_cost(room);
        let known = Cost {
            charge,
            free,
            wait,
            cost,
        };
        self.victims.costs.borrow_mut().insert(agent.clone(), known);
        cost
    }

    fn compute_cost(&self, room: &Room) -> Option<f64> {
        let mut free = room.free;
        let mut cost = 0.0;
        for index in self.victims.remaining_on(&room.place.agent, self.need) {
            if free.holds(&self.need.charge) {
                break;
            }
            if !self.plan.victims.contains(&index) {
                let victim = &self.victims.all[index];
                free = free.plus(&victim.frees(&room.place));
                cost += victim.weight;
            }
        }
        free.holds(&self.need.charge).then_some(cost)
    }

    /// Chooses a worker for one member, and the victims there.
    fn take(&mut self, index: usize) {
        let room = &self.rooms[index];
        let mut free = room.free;
        let mut stops = Vec::new();
        for victim in self.victims.remaining_on(&room.place.agent, self.need) {
            if free.holds(&self.need.charge) {
                break;
            }
            if !self.plan.victims.contains(&victim) {
                let frees = self.victims.all[victim].frees(&room.place);
                free = free.plus(&frees);
                stops.push(victim);
            }
        }
        for victim in stops {
            self.plan.victims.insert(victim);
            let places = self.victims.all[victim].places.iter();
            self.touched.extend(places.map(|p| p.agent.clone()));
            self.free_room(victim);
        }
        let chosen = &mut self.rooms[index];
        chosen.free = chosen.free.minus(&self.need.charge);
        chosen.quota -= 1;
        self.plan.places.push(chosen.place.clone());
    }

    fn free_room(&mut self, victim: usize) {
        let victim = &self.victims.all[victim];
        for place in &victim.places {
            let room = self.rooms.iter_mut().find(|r| r.place == *place);
            if let Some(room) = room {
                room.free = room.free.plus(&victim.charge);
            }
        }
    }

    /// Drops the victims without which the members still fit, the most
    /// expensive first.
    fn prune(&mut self) {
        if self.plan.victims.len() < 2 {
            return;
        }
        let all = &self.victims.all;
        let chosen: BTreeSet<&Place> = self.plan.places.iter().collect();
        let rooms = self.rooms.iter().filter(|r| chosen.contains(&r.place));
        let mut left: BTreeMap<&Place, Resources> =
            rooms.map(|room| (&room.place, room.free)).collect();
        let mut order: Vec<usize> =
            self.plan.victims.iter().copied().collect();
        order.sort_by(|a, b| all[*b].weight.total_cmp(&all[*a].weight));
        let mut dropped = Vec::new();
        for index in order {
            let victim = &all[index];
            let mut without = left.clone();
            for place in &victim.places {
                if let Some(free) = without.get_mut(place) {
                    *free = free.minus(&victim.charge);
                }
            }
            // Negative values remain only where the plan places no member.
            if without.values().all(|f| f.holds(&Resources::default())) {
                left = without;
                dropped.push(index);
            }
        }
        for index in dropped {
            self.plan.victims.remove(&index);
        }
        let victims = self.plan.victims.iter();
        self.plan.weight = victims.map(|index| all[*index].weight).sum();
    }
}

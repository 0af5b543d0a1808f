//! Room for urgent units, taken from others.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::budget;
use crate::graph::budget::Need;
use crate::graph::entry::Entry;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::unit::Why;
use crate::graph::AgentId;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The thousandths of a core that an accelerator's work counts as.
const ACCELERATOR_CPU: i64 = 8000;
/// The work of a checkpointing unit that a stop loses: from its last
/// checkpoint, and resuming.
const LOST_WITH_CHECKPOINT: Duration = Duration::from_millis(300);

/// What stopping urgent work weighs in core-seconds, beside what it throws
/// away: it is late then, so that any other work goes first.
const LENT: f64 = 1e6;

/// A run that could be stopped.
#[derive(Clone, Debug)]
struct Victim {
    id: JobId,
    key: UnitKey,
    charge: Resources,
    places: Vec<Place>,
    /// The core-seconds that would be lost.
    cost: f64,
    /// Whether only so many of its step may be away.
    spared: bool,
    /// Whether it is urgent, and has what others are guaranteed.
    lent: bool,
}

impl Victim {
    /// Returns the room that its stop frees on a worker.
    fn frees(&self, on: &Place) -> Resources {
        let here = self.places.iter().filter(|p| p.agent == on.agent);
        here.fold(Resources::default(), |room, _| room.plus(&self.charge))
    }

    /// Returns what speaks against stopping it, in core-seconds.
    fn weight(&self) -> f64 {
        match self.lent {
            true => LENT + self.cost,
            false => self.cost,
        }
    }
}

/// What could be stopped for urgent units of a pool in one pass. Gone through
/// once a pass: in a burst of urgent gangs, each of which went through it again
/// for every rack, passes were so long that jobs were taken in late.
#[derive(Debug, Default)]
pub(super) struct Victims {
    /// Whose they are, once they have been gone through, and whether for
    /// units within guarantees.
    of: Option<(SharedStr, bool)>,
    all: Vec<Victim>,
    /// Which of them run on each agent's worker, the cheapest first.
    by_agent: BTreeMap<AgentId, Vec<usize>>,
    /// The core-seconds that the last unit's room would have thrown away, if
    /// it was not taken for that.
    pub(super) dear: Option<f64>,
    /// Which of them are being stopped already.
    stopped: BTreeSet<usize>,
    /// What it costs to make room on each agent's worker: the gangs of a
    /// burst are alike, and ask for the same again.
    costs: RefCell<BTreeMap<AgentId, Cost>>,
}

/// What it costs to make room for one task on a worker.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// What the task takes.
    charge: Resources,
    /// What was free there.
    free: Resources,
    /// The core-seconds that would be lost, if it can be done.
    cost: Option<f64>,
}

impl Victims {
    fn new(of: (SharedStr, bool), all: Vec<Victim>) -> Victims {
        let mut by_agent: BTreeMap<AgentId, Vec<usize>> = BTreeMap::new();
        for (at, victim) in all.iter().enumerate() {
            for place in &victim.places {
                let here = by_agent.entry(place.agent.clone()).or_default();
                if here.last() != Some(&at) {
                    here.push(at);
                }
            }
        }
        for here in by_agent.values_mut() {
            here.sort_by(|a, b| all[*a].weight().total_cmp(&all[*b].weight()));
        }
        Victims {
            of: Some(of),
            all,
            by_agent,
            dear: None,
            stopped: BTreeSet::new(),
            costs: RefCell::default(),
        }
    }

    /// Takes in that one is being stopped.
    fn stop(&mut self, at: usize) {
        self.stopped.insert(at);
        let costs = self.costs.get_mut();
        for place in &self.all[at].places {
            costs.remove(&place.agent);
        }
    }

    /// Returns those on an agent's worker that are not being stopped.
    fn on<'a>(
        &'a self,
        agent: &AgentId,
    ) -> impl Iterator<Item = usize> + use<'a> {
        let here = self.by_agent.get(agent).map_or(&[][..], Vec::as_slice);
        let going = |at: &usize| !self.stopped.contains(at);
        here.iter().copied().filter(going)
    }
}

/// Places, and the runs that must stop for them.
struct Eviction {
    places: Vec<Place>,
    victims: BTreeSet<usize>,
    /// On whose workers they run.
    touched: BTreeSet<AgentId>,
    /// What speaks against it, in core-seconds.
    weight: f64,
}

impl Scheduler {
    /// Stops the cheapest runs of lower priority that make room for a unit,
    /// and keeps that room for it; returns whether there were any.
    pub(super) fn preempt(
        &mut self,
        id: &str,
        key: &UnitKey,
        request: &Request,
        victims: &mut Victims,
        now: Timestamp,
    ) -> bool {
        if self.awaits(now) {
            return false;
        }
        let entry = self.jobs.get(id);
        let promised = entry.is_some_and(|entry| self.is_promised(entry));
        let of = (request.pool.clone(), promised);
        if victims.of.as_ref() != Some(&of) {
            let all = self.victims(request, promised, now);
            *victims = Victims::new(of, all);
        }
        let mut best: Option<Eviction> = None;
        for chosen in self.choices(request, now) {
            let most = best.as_ref().map_or(f64::INFINITY, |best| best.weight);
            best = evict(request, chosen, victims, most).or(best);
        }
        let Some(eviction) = best else {
            return false;
        };
        let costs = eviction.victims.iter().map(|at| victims.all[*at].cost);
        let cost: f64 = costs.sum();
        if !promised && cost > self.most_lost(id, key, request, now) {
            victims.dear = Some(cost);
            return false;
        }
        let stopped = (eviction.victims.len(), cost);
        self.reserve(id, key, eviction.places, stopped, now);
        for at in eviction.victims {
            let victim = &victims.all[at];
            self.stop_unit(&victim.id, &victim.key, Why::Preempted, now);
            victims.stop(at);
        }
        // Of some steps only so many may be away: which, is looked up anew.
        if victims.all.iter().any(|victim| victim.spared) {
            victims.of = None;
        }
        true
    }

    /// Returns how many core-seconds may be thrown away for a unit.
    fn most_lost(
        &self,
        id: &str,
        key: &UnitKey,
        request: &Request,
        now: Timestamp,
    ) -> f64 {
        let slack = self.jobs.get(id).map(|e| self.slack(e, key, now));
        let own = cores(&request.charge) * f64::from(request.width);
        let stake = Need {
            core_seconds: own * request.expected.as_secs_f64(),
            slack_ms: slack.unwrap_or_default(),
            stop: self.terms.stop_time,
        };
        budget::limit(&self.terms.policy, &stake)
    }

    fn victims(
        &self,
        request: &Request,
        promised: bool,
        now: Timestamp,
    ) -> Vec<Victim> {
        let mut victims = Vec::new();
        for entry in self.live() {
            // What borrows holds what others are guaranteed, however urgent:
            // else they would have it back only once that ends by itself.
            let lent = promised
                && entry.job.priority == request.priority
                && !self.is_promised(entry);
            if !lent && entry.job.priority <= request.priority
                || entry.job.pool != request.pool
            {
                continue;
            }
            let mut spared = spared(entry);
            for (key, unit) in &entry.units {
                let runs = matches!(
                    unit.phase,
                    Phase::Running(_) | Phase::Reserved(_)
                );
                if !runs || unit.stop.is_some() {
                    continue;
                }
                match spared.get_mut(&(key.time, key.step)) {
                    Some(0) => continue,
                    Some(left) => *left -= 1,
                    None => {}
                }
                victims.push(Victim {
                    lent,
                    ..victim(entry, key, unit, now)
                });
            }
        }
        victims
    }
}

/// Returns how many more units of a step may be stopped, for the steps of
/// which only so many may be away.
fn spared(entry: &Entry) -> BTreeMap<(u32, usize), u32> {
    let mut spared = BTreeMap::new();
    for (key, unit) in &entry.units {
        let Some(most) = entry.job.steps[key.step].may_miss else {
            continue;
        };
        let left = spared.entry((key.time, key.step)).or_insert(most);
        if !at_work(unit) {
            *left = left.saturating_sub(1);
        }
    }
    spared
}

/// Returns whether all of a unit's members run, and nothing stops them.
fn at_work(unit: &Unit) -> bool {
    let Phase::Running(members) = &unit.phase else {
        return false;
    };
    let present = |member: &Member| member.state == State::Present;
    unit.stop.is_none() && members.iter().all(present)
}

/// Returns the cores that a task's work counts as.
pub(super) fn cores(charge: &Resources) -> f64 {
    let cpu = charge.cpu + charge.accelerators * ACCELERATOR_CPU;
    cpu as f64 / 1000.0
}

fn victim(
    entry: &Entry,
    key: &UnitKey,
    unit: &Unit,
    now: Timestamp,
) -> Victim {
    let step = &entry.job.steps[key.step];
    let charge = step.charge();
    let ran = |since| now.monotonic.saturating_duration_since(since);
    let reserved = matches!(unit.phase, Phase::Reserved(_));
    let lost = match step.checkpoints {
        _ if reserved => Duration::ZERO,
        true => LOST_WITH_CHECKPOINT,
        false => unit
            .members()
            .map(|m| ran(m.since))
            .max()
            .unwrap_or_default(),
    };
    let places: Vec<Place> = unit.members().map(|m| m.place.clone()).collect();
    let cores = cores(&charge) * places.len() as f64;
    Victim {
        id: entry.job.id.clone(),
        key: *key,
        charge,
        cost: cores * lost.as_secs_f64(),
        places,
        spared: step.may_miss.is_some(),
        lent: false,
    }
}

/// Finds the cheapest runs to stop, one member at a time, if they cost less
/// than `most`.
fn evict(
    request: &Request,
    mut candidates: Vec<Candidate>,
    victims: &Victims,
    most: f64,
) -> Option<Eviction> {
    let mut eviction = Eviction {
        places: Vec::new(),
        victims: BTreeSet::new(),
        touched: BTreeSet::new(),
        weight: 0.0,
    };
    for _ in 0..request.width {
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.quota > 0)
            .filter_map(|(at, candidate)| {
                let cost = clear(request, candidate, victims, &eviction)?;
                Some((at, cost))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let (at, cost) = best?;
        eviction.weight += cost;
        if eviction.weight >= most {
            return None;
        }
        for victim in stops(request, &candidates[at], victims, &eviction) {
            eviction.victims.insert(victim);
            let places = victims.all[victim].places.iter();
            eviction.touched.extend(places.map(|p| p.agent.clone()));
            give_back(&mut candidates, &victims.all[victim]);
        }
        let chosen = &mut candidates[at];
        chosen.free = chosen.free.minus(&request.charge);
        chosen.quota -= 1;
        eviction.places.push(chosen.place.clone());
    }
    Some(eviction)
}

/// Returns what it costs to make room for one member on a worker, if that
/// can be done.
fn clear(
    request: &Request,
    candidate: &Candidate,
    victims: &Victims,
    eviction: &Eviction,
) -> Option<f64> {
    let agent = &candidate.place.agent;
    if eviction.touched.contains(agent) {
        return clear_anew(request, candidate, victims, eviction);
    }
    let (charge, free) = (request.charge, candidate.free);
    let known = victims.costs.borrow().get(agent).copied();
    let known = known.filter(|c| c.charge == charge && c.free == free);
    if let Some(known) = known {
        return known.cost;
    }
    let cost = clear_anew(request, candidate, victims, eviction);
    let known = Cost { charge, free, cost };
    victims.costs.borrow_mut().insert(agent.clone(), known);
    cost
}

fn clear_anew(
    request: &Request,
    candidate: &Candidate,
    victims: &Victims,
    eviction: &Eviction,
) -> Option<f64> {
    let mut free = candidate.free;
    let mut cost = 0.0;
    for at in victims.on(&candidate.place.agent) {
        if free.holds(&request.charge) {
            break;
        }
        if !eviction.victims.contains(&at) {
            free = free.plus(&victims.all[at].frees(&candidate.place));
            cost += victims.all[at].weight();
        }
    }
    free.holds(&request.charge).then_some(cost)
}

/// Returns the runs whose stop makes room for one member on a worker.
fn stops(
    request: &Request,
    candidate: &Candidate,
    victims: &Victims,
    eviction: &Eviction,
) -> Vec<usize> {
    let mut free = candidate.free;
    let mut stops = Vec::new();
    for at in victims.on(&candidate.place.agent) {
        if free.holds(&request.charge) {
            break;
        }
        if !eviction.victims.contains(&at) {
            free = free.plus(&victims.all[at].frees(&candidate.place));
            stops.push(at);
        }
    }
    stops
}

fn give_back(candidates: &mut [Candidate], victim: &Victim) {
    for place in &victim.places {
        let candidate = candidates
            .iter_mut()
            .find(|candidate| candidate.place == *place);
        if let Some(candidate) = candidate {
            candidate.free = candidate.free.plus(&victim.charge);
        }
    }
}

//! Room for urgent units, taken from others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::entry::Entry;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::unit::Why;
use crate::graph::AgentId;
use crate::graph::Book;
use crate::graph::Id;
use crate::graph::Job;
use crate::graph::Moment;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Step;
use crate::graph::UnitKey;

/// The thousandths of a core that an accelerator's work counts as.
const ACCELERATOR_CPU: i64 = 8000;
/// The work of a checkpointing unit that a stop loses: from its last
/// checkpoint, and resuming.
const LOST_WITH_CHECKPOINT: Duration = Duration::from_millis(300);

/// A run that could be stopped.
#[derive(Clone, Debug)]
struct Victim {
    id: Id,
    key: UnitKey,
    charge: Resources,
    places: Vec<Place>,
    /// The core-seconds that would be lost.
    cost: f64,
}

/// Places, and the runs that must stop for them.
struct Eviction {
    places: Vec<Place>,
    victims: BTreeSet<usize>,
    cost: f64,
}

impl Book {
    /// Stops the cheapest runs of lower priority that make room for a unit,
    /// and keeps that room for it; returns whether there were any.
    pub(super) fn preempt(
        &mut self,
        id: &str,
        key: &UnitKey,
        request: &Request,
        now: Moment,
    ) -> bool {
        if self.awaits(now) {
            return false;
        }
        let victims = self.victims(request, now);
        let best = self
            .choices(request, now)
            .into_iter()
            .filter_map(|chosen| evict(request, chosen, &victims))
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        let Some(eviction) = best else {
            return false;
        };
        let most = self.terms.policy.most_lost;
        if eviction.cost > most && !self.is_guaranteed(request) {
            return false;
        }
        let stopped = (eviction.victims.len(), eviction.cost);
        self.reserve(id, key, eviction.places, stopped, now);
        for at in eviction.victims {
            let victim = &victims[at];
            self.stop_unit(&victim.id, &victim.key, Why::Preempted, now);
        }
        true
    }

    /// Returns whether all urgent work of a unit's account fits into what
    /// the account is guaranteed.
    fn is_guaranteed(&self, request: &Request) -> bool {
        let Some(entry) = self.jobs.get(&request.id) else {
            return false;
        };
        let account = &entry.job.account;
        let urgent = self.live().filter(|other| {
            !other.over()
                && other.job.priority == 0
                && other.job.account == *account
        });
        let needed: i64 = urgent.map(|other| accelerators(&other.job)).sum();
        let guaranteed = self.guarantees.get(account).copied();
        needed <= guaranteed.unwrap_or(0)
    }

    fn victims(&self, request: &Request, now: Moment) -> Vec<Victim> {
        let mut victims = Vec::new();
        for entry in self.live() {
            if entry.job.priority <= request.priority
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
                victims.push(victim(entry, key, unit, now));
            }
        }
        victims
    }
}

/// Returns the most accelerators that a step of a job takes.
fn accelerators(job: &Job) -> i64 {
    let step =
        |step: &Step| i64::from(step.replicas) * step.resources.accelerators;
    job.steps.iter().map(step).max().unwrap_or(0)
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

fn victim(entry: &Entry, key: &UnitKey, unit: &Unit, now: Moment) -> Victim {
    let step = &entry.job.steps[key.step];
    let charge = step.charge();
    let each = charge.cpu + charge.accelerators * ACCELERATOR_CPU;
    let ran = |since| now.now.saturating_duration_since(since);
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
    let cores = each as f64 / 1000.0 * places.len() as f64;
    Victim {
        id: entry.job.id.clone(),
        key: *key,
        charge,
        cost: cores * lost.as_secs_f64(),
        places,
    }
}

/// Finds the cheapest runs to stop, one member at a time.
fn evict(
    request: &Request,
    mut candidates: Vec<Candidate>,
    victims: &[Victim],
) -> Option<Eviction> {
    let mut eviction = Eviction {
        places: Vec::new(),
        victims: BTreeSet::new(),
        cost: 0.0,
    };
    let mut by_agent: BTreeMap<&AgentId, Vec<usize>> = BTreeMap::new();
    for (at, victim) in victims.iter().enumerate() {
        for place in &victim.places {
            let here = by_agent.entry(&place.agent).or_default();
            if !here.contains(&at) {
                here.push(at);
            }
        }
    }
    for here in by_agent.values_mut() {
        here.sort_by(|a, b| victims[*a].cost.total_cmp(&victims[*b].cost));
    }
    for _ in 0..request.width {
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.quota > 0)
            .filter_map(|(at, candidate)| {
                let here = by_agent.get(&candidate.place.agent);
                let here = here.map_or(&[][..], Vec::as_slice);
                let (stop, cost) =
                    clear(request, candidate, here, victims, &eviction)?;
                Some((at, stop, cost))
            })
            .min_by(|a, b| a.2.total_cmp(&b.2));
        let (at, stop, cost) = best?;
        eviction.cost += cost;
        for victim in stop {
            eviction.victims.insert(victim);
            give_back(&mut candidates, &victims[victim]);
        }
        let chosen = &mut candidates[at];
        chosen.free = chosen.free.minus(&request.charge);
        chosen.quota -= 1;
        eviction.places.push(chosen.place.clone());
    }
    Some(eviction)
}

/// Returns the runs whose stop makes room for one member on a worker.
fn clear(
    request: &Request,
    candidate: &Candidate,
    here: &[usize],
    victims: &[Victim],
    eviction: &Eviction,
) -> Option<(Vec<usize>, f64)> {
    let mut free = candidate.free;
    let mut stop = Vec::new();
    let mut cost = 0.0;
    for at in here {
        if free.holds(&request.charge) {
            break;
        }
        if eviction.victims.contains(at) {
            continue;
        }
        let victim = &victims[*at];
        for place in &victim.places {
            if place.agent == candidate.place.agent {
                free = free.plus(&victim.charge);
            }
        }
        cost += victim.cost;
        stop.push(*at);
    }
    free.holds(&request.charge).then_some((stop, cost))
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

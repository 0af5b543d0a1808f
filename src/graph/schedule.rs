//! Which units are started next, and when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::place::Request;
use crate::graph::preempt::Victims;
use crate::graph::scheduler::Worker;
use crate::graph::unit::Cause;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::unit::Why;
use crate::graph::urgency::Rank;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Life;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long before a leaving worker is gone its tasks are stopped, so that
/// their checkpoints are kept: a stop, and a report of it.
const BEFORE_LEAVING: Duration = Duration::from_millis(1500);
/// How long room is kept from a unit that waits while most is empty.
pub(super) const LONGEST_IDLE: Duration = Duration::from_millis(2000);
/// The times of a job that may be open at once.
const OPEN_TIMES: u32 = 64;

/// A unit that waits, with what puts it in order.
struct Waiting {
    id: JobId,
    key: UnitKey,
    rank: Rank,
}

impl Scheduler {
    /// Decides what is to be started and stopped now.
    pub fn run_pass(&mut self, now: Timestamp) {
        self.changed = false;
        self.lose_silent(now);
        self.blame_silent(now);
        self.end_broken(now);
        self.stop_stuck(now);
        self.leave(now);
        self.take_back(now);
        self.open_units(now);
        self.promise(now);
        self.start_reserved(now);
        // Where one task finds no room, its like find none either.
        let mut without = BTreeSet::new();
        let mut victims = Victims::default();
        for unit in self.waiting(now) {
            let like = (unit.id.clone(), unit.key.time, unit.key.step);
            if !without.contains(&like)
                && !self.try_place(&unit, &mut victims, now)
            {
                let dear = victims.dear.take();
                self.tell_wait(&unit.id, &unit.key, dear, now);
                without.insert(like);
            }
        }
    }

    /// Opens the units whose time is due and whose steps are waited for no
    /// longer.
    fn open_units(&mut self, now: Timestamp) {
        for id in &self.open {
            let Some(entry) = self.jobs.get_mut(id) else {
                continue;
            };
            if entry.over() {
                continue;
            }
            for time in 0..entry.job.times() {
                if entry.job.due(time) > now.wall {
                    break;
                }
                open_time(entry, time, now.monotonic);
            }
        }
    }

    /// Stops checkpointing tasks on workers that are about to go.
    fn leave(&mut self, now: Timestamp) {
        let going: Vec<Place> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let soon = |stays| now.monotonic + BEFORE_LEAVING >= stays;
                worker.leaving && worker.stays.is_some_and(soon)
            })
            .map(|(agent, worker)| Place {
                agent: agent.clone(),
                life: worker.life.clone(),
            })
            .collect();
        if going.is_empty() {
            return;
        }
        let mut stops = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let step = &entry.job.steps[key.step];
                let here = unit.members().any(|m| going.contains(&m.place));
                if here && step.checkpoints && unit.stop.is_none() {
                    stops.push((entry.job.id.clone(), *key));
                }
            }
        }
        for (id, key) in stops {
            self.stop_unit(&id, &key, Why::Leaving, now);
        }
    }

    /// Starts the units whose reserved room has become free, the urgent
    /// ones first: rooms kept for several units may overlap.
    fn start_reserved(&mut self, now: Timestamp) {
        let mut kept = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                if let Phase::Reserved(members) = &unit.phase {
                    let since = members.first().map(|member| member.since);
                    let priority = entry.job.priority;
                    kept.push((priority, since, entry.job.id.clone(), *key));
                }
            }
        }
        kept.sort();
        // Where one task finds no room elsewhere, its like find none either:
        // hundreds of tasks of a wide step may have room kept, and looking
        // for each would be most of a pass.
        let mut without = BTreeSet::new();
        for (_, _, id, key) in kept {
            let like = (id.clone(), key.time, key.step);
            match self.has_room(&id, &key) {
                true => {
                    let places = self.unreserve(&id, &key);
                    self.give_run(&id, &key, places, now);
                }
                // Decided anew in this pass.
                false if self.is_overdue(&id, &key) => {
                    self.unreserve(&id, &key);
                }
                false if without.contains(&like) => {
                    self.give_up_lost(&id, &key, now);
                }
                false if !self.look_elsewhere(&id, &key, now) => {
                    self.give_up_lost(&id, &key, now);
                    without.insert(like);
                }
                false => {}
            }
        }
    }

    /// Starts a unit elsewhere if there is room now; returns whether there
    /// was.
    fn look_elsewhere(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) -> bool {
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        let Some(unit) = entry.units.get(key) else {
            return false;
        };
        let expected = self.expect(entry, key.step);
        let mut request = Request::new(entry, key, unit, expected);
        // While most is empty, whoever has waited longest takes of it, or
        // units would wait for each other's rooms.
        request.past_kept = self.may_pass_kept(&entry.job.pool);
        let Some(places) = self.place(&request, now) else {
            return false;
        };
        self.unreserve(id, key);
        self.give_run(id, key, places, now);
        true
    }

    /// Gives up the room that is kept for a unit on workers that can no
    /// longer be used.
    fn give_up_lost(&mut self, id: &JobId, key: &UnitKey, now: Timestamp) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = entry.units.get(key) else {
            return;
        };
        let expected = self.expect(entry, key.step);
        let request = Request::new(entry, key, unit, expected);
        let leave = self.leave_of(&request);
        let usable = |place: &Place| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| {
                worker.life == place.life
                    && self.usable(worker, &request, now)
                    && leave.allows(&worker.life, now.monotonic)
            })
        };
        let fits = self.could_have_room(unit, &request.charge);
        if !fits || !unit.members().all(|member| usable(&member.place)) {
            self.unreserve(id, key);
        }
    }

    /// Returns whether nothing is left in the room that is kept for a unit.
    fn has_room(&self, id: &str, key: &UnitKey) -> bool {
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        let charge = entry.job.steps[key.step].charge();
        let Some(unit) = entry.units.get(key) else {
            return false;
        };
        needs(unit, &charge).iter().all(|(place, need)| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| {
                worker.life == place.life && worker.empty().holds(need)
            })
        })
    }

    /// Returns whether a unit is within a guarantee, and others have begun in
    /// the room that is kept for it: it would wait until they end, past the
    /// time in which it is to begin.
    fn is_overdue(&self, id: &JobId, key: &UnitKey) -> bool {
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        let Some(unit) = entry.units.get(key) else {
            return false;
        };
        if !self.is_promised(entry) {
            return false;
        }
        let charge = entry.job.steps[key.step].charge();
        let needs = needs(unit, &charge);
        let mut comes: BTreeMap<&Place, Resources> = BTreeMap::new();
        for other in self.live() {
            let stopped = other.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Running(_)) && unit.stop.is_some()
            });
            for (key, unit) in stopped {
                let charge = other.job.steps[key.step].charge();
                for member in unit.members() {
                    let room = comes.entry(&member.place).or_default();
                    *room = room.plus(&charge);
                }
            }
        }
        needs.iter().any(|(place, need)| {
            let comes = comes.get(place).copied().unwrap_or_default();
            let worker = self.workers.get(&place.agent);
            !worker.is_some_and(|worker| {
                worker.life == place.life
                    && worker.empty().plus(&comes).holds(need)
            })
        })
    }

    /// Returns whether the room that is kept for a unit would be enough once
    /// nothing else is left in it: its workers may have shrunk.
    fn could_have_room(&self, unit: &Unit, charge: &Resources) -> bool {
        needs(unit, charge).iter().all(|(place, need)| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| worker.capacity.holds(need))
        })
    }

    fn waiting(&self, now: Timestamp) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for id in &self.open {
            let Some(entry) = self.jobs.get(id) else {
                continue;
            };
            if entry.over() {
                continue;
            }
            let units = entry.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Waiting)
                    && unit.not_before <= now.monotonic
            });
            let mut urgency = BTreeMap::new();
            let mut on_trial = !entry.acquitted && entry.is_on_trial();
            for (key, _) in units {
                let suspect = !entry.acquitted && entry.is_suspect(key);
                if suspect && on_trial {
                    continue;
                }
                on_trial |= suspect;
                let rank = *urgency
                    .entry(key.time)
                    .or_insert_with(|| self.rank(entry, key, now));
                waiting.push(Waiting {
                    id: id.clone(),
                    key: *key,
                    rank,
                });
            }
        }
        waiting.sort_by(|a, b| {
            (a.rank, &a.id, a.key).cmp(&(b.rank, &b.id, b.key))
        });
        waiting
    }

    /// Finds a place for a unit, or room to be kept for it; returns whether
    /// there was any.
    fn try_place(
        &mut self,
        waiting: &Waiting,
        victims: &mut Victims,
        now: Timestamp,
    ) -> bool {
        let Some(entry) = self.jobs.get(&waiting.id) else {
            return false;
        };
        let Some(unit) = entry.units.get(&waiting.key) else {
            return false;
        };
        let expected = self.expect(entry, waiting.key.step);
        let mut request = Request::new(entry, &waiting.key, unit, expected);
        request.past_kept = now.monotonic >= unit.ready + LONGEST_IDLE
            && self.may_pass_kept(&entry.job.pool);
        if let Some(places) = self.place(&request, now) {
            self.give_run(&waiting.id, &waiting.key, places, now);
            return true;
        }
        match request.priority {
            0 => {
                self.preempt(&waiting.id, &waiting.key, &request, victims, now)
            }
            _ => self.keep_room(&waiting.id, &waiting.key, &request, now),
        }
    }

    /// Returns whether units may use room that is kept but empty: while most
    /// of a pool is, and none of it is kept for what an account is guaranteed,
    /// which would then wait for them to end.
    fn may_pass_kept(&self, pool: &SharedStr) -> bool {
        self.mostly_idle(pool) && !self.keeps_promised(pool)
    }

    /// Returns whether less than half of a pool's accelerators are in use.
    pub(super) fn mostly_idle(&self, pool: &SharedStr) -> bool {
        let open = |w: &&Worker| !self.closed.contains(&w.hall);
        let of_pool = |w: &&Worker| w.pool == *pool;
        let workers = || self.workers.values().filter(of_pool).filter(open);
        let whole: i64 = workers().map(|w| w.capacity.accelerators).sum();
        let empty: i64 = workers().map(|w| w.empty().accelerators).sum();
        empty * 2 > whole
    }

    /// Gives a unit its next run, on workers that have room for it.
    pub(super) fn give_run(
        &mut self,
        id: &str,
        key: &UnitKey,
        places: Vec<Place>,
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let version = entry.version + 1;
        let charge = entry.job.steps[key.step].charge();
        let kept = entry.progress.units.entry(*key).or_default();
        kept.run += 1;
        kept.from.clone_from(&kept.saved);
        kept.on.clone_from(&places);
        let run = kept.run;
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        let reserved = matches!(unit.phase, Phase::Reserved(_));
        debug_assert!(!reserved, "its phase was taken");
        let members = members(key, &places, State::Ordered(version), now);
        unit.phase = Phase::Running(members);
        unit.stop = None;
        unit.waits = None;
        unit.cause = Cause::Open;
        let ready = unit.ready;
        self.touch(id);
        for place in &places {
            self.occupy(place, &charge);
        }
        self.try_alone(id, key, &places, now);
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let placed = Decision::Placed {
            of: entry.subject(key),
            run,
            on: lives(&places),
            waited: now.monotonic.saturating_duration_since(ready),
            slack: self.slack(entry, key, now),
            expected: self.expect(entry, key.step),
            standing: self.standing(entry, key, now),
        };
        self.note(placed);
    }

    /// Keeps room for a unit that others are leaving.
    pub(super) fn reserve(
        &mut self,
        id: &str,
        key: &UnitKey,
        places: Vec<Place>,
        (stopped, cost): (usize, f64),
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let of = entry.subject(key);
        let charge = entry.job.steps[key.step].charge();
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        unit.phase =
            Phase::Reserved(members(key, &places, State::Ordered(0), now));
        for place in &places {
            self.occupy(place, &charge);
            self.keep(place, &charge);
        }
        self.note(Decision::Kept {
            of,
            on: lives(&places),
            stopped,
            cost,
        });
    }
}

/// Returns what a unit's members need on each worker.
fn needs<'a>(
    unit: &'a Unit,
    charge: &Resources,
) -> BTreeMap<&'a Place, Resources> {
    let mut needs: BTreeMap<&Place, Resources> = BTreeMap::new();
    for member in unit.members() {
        let need = needs.entry(&member.place).or_default();
        *need = need.plus(charge);
    }
    needs
}

fn lives(places: &[Place]) -> Vec<Life> {
    places.iter().map(|place| place.life.clone()).collect()
}

fn members(
    key: &UnitKey,
    places: &[Place],
    state: State,
    now: Timestamp,
) -> Vec<Member> {
    let member = |(at, place): (usize, &Place)| Member {
        index: key.index.unwrap_or(at as u32),
        place: place.clone(),
        state,
        handed: false,
        since: now.monotonic,
        adopted: false,
        worked: false,
        moved: now.monotonic,
        seen: None,
    };
    places.iter().enumerate().map(member).collect()
}

/// Opens the steps of one time that wait for nothing any more.
fn open_time(entry: &mut Entry, time: u32, now: Instant) {
    if entry.opened.len() as u32 > OPEN_TIMES * entry.job.steps.len() as u32 {
        return;
    }
    for step in 0..entry.job.steps.len() {
        if entry.opened.contains(&(time, step)) {
            continue;
        }
        let job = entry.job.clone();
        let terms = &job.steps[step];
        if !terms.after.iter().all(|on| entry.step_done(time, *on)) {
            continue;
        }
        entry.opened.insert((time, step));
        let indices: Vec<Option<u32>> = match terms.gang {
            true => vec![None],
            false => (0..terms.replicas).map(Some).collect(),
        };
        for index in indices {
            let key = UnitKey { time, step, index };
            entry.units.entry(key).or_insert_with(|| Unit::new(now));
        }
    }
}

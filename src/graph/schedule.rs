//! The scheduling pass: which units start, and when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::preempt::RoomSource;
use crate::graph::preempt::Victims;
use crate::graph::scheduler::Worker;
use crate::graph::unit::BreakCause;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::unit::Unit;
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

/// How long before a leaving worker goes its tasks are stopped, so that their
/// checkpoints are saved: long enough for a stop and for the report of it.
const CHECKPOINT_STOP_LEAD: Duration = Duration::from_millis(1500);
/// How long a unit is kept from reserved but unoccupied resources, and from
/// places where it runs more slowly, while most of the pool is idle.
pub(super) const MAX_WAIT_WHEN_IDLE: Duration = Duration::from_millis(2000);
/// The most repetitions of a job that are open at once.
const MAX_OPEN_REPETITIONS: usize = 64;

/// A waiting unit with its rank.
pub(super) struct WaitingUnit {
    pub id: JobId,
    pub key: UnitKey,
    pub rank: Rank,
}

impl Scheduler {
    /// Runs a scheduling pass: decides which units start and stop now.
    pub fn run_pass(&mut self, now: Timestamp) {
        self.changed = false;
        self.now = now.monotonic;
        let estimated = self.estimate_speeds(now);
        // Both look at all workers, which a large pool at rest must not pay for
        // with each of its reports.
        if !self.open_jobs.is_empty() {
            self.count_capacities();
            self.begin_exploration(estimated);
        }
        self.expire_silent_workers(now);
        self.confirm_overdue(now);
        self.end_broken_gangs(now);
        self.stop_late_gangs(now);
        self.stop_stuck_runs(now);
        self.stop_before_leaving(now);
        self.withdraw_orders(now);
        self.open_due_units(now);
        self.assign_guarantees(now);
        self.sum_use(now);
        self.update_headroom(now);
        self.start_reserved_units(now);
        // If one task of a step finds no place, the others of the step find
        // none either.
        let mut steps_without_room = BTreeSet::new();
        let mut victims = Victims::default();
        let mut waits = Vec::new();
        for unit in self.waiting_units(now) {
            let step_key = (unit.id.clone(), unit.key.time, unit.key.step);
            if !steps_without_room.contains(&step_key)
                && !self.place_or_reserve(&unit, &mut victims, now)
            {
                let rejected_cost = victims.rejected_cost.take();
                let wait =
                    self.note_wait(&unit.id, &unit.key, rejected_cost, now);
                waits.extend(wait);
                steps_without_room.insert(step_key);
            }
        }
        self.record_waits(waits, now);
    }

    /// Opens the units whose repetition is due and whose steps' dependencies
    /// are done.
    fn open_due_units(&mut self, now: Timestamp) {
        for id in &self.open_jobs {
            let Some(record) = self.jobs.get_mut(id) else {
                continue;
            };
            if record.is_over() {
                continue;
            }
            open_due_repetitions(record, now);
        }
    }

    /// Stops checkpointing tasks on workers that are about to go.
    fn stop_before_leaving(&mut self, now: Timestamp) {
        let going: Vec<Place> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let leaves_soon =
                    |stays| now.monotonic + CHECKPOINT_STOP_LEAD >= stays;
                worker.leaving && worker.leaves_at.is_some_and(leaves_soon)
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
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let step = &record.job.steps[key.step];
                let here = unit.members().any(|m| going.contains(&m.place));
                if here && step.checkpoints && unit.stop_reason.is_none() {
                    stops.push((record.job.id.clone(), *key));
                }
            }
        }
        for (id, key) in stops {
            self.stop_unit(&id, &key, StopReason::Leaving, now);
        }
    }

    /// Starts the units whose reserved resources have become free, urgent ones
    /// first, because reservations of several units may overlap.
    fn start_reserved_units(&mut self, now: Timestamp) {
        let mut reserved = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                if let Phase::Reserved(members) = &unit.phase {
                    let since =
                        members.first().map(|member| member.assigned_at);
                    let priority = record.job.priority;
                    reserved.push((
                        priority,
                        since,
                        record.job.id.clone(),
                        *key,
                    ));
                }
            }
        }
        reserved.sort();
        // If one task of a step finds no other place, the others of the step
        // find none either. Hundreds of tasks of a wide step may have
        // reservations, and a search for each would dominate the pass.
        let mut steps_without_room = BTreeSet::new();
        let mut ends = BTreeMap::new();
        for (_, _, id, key) in reserved {
            let step_key = (id.clone(), key.time, key.step);
            let record = self.jobs.get(&id);
            if record.is_some_and(|record| record.awaits_ends(&key)) {
                self.release_reservation(&id, &key);
                continue;
            }
            match self.is_reserved_room_free(&id, &key) {
                true => {
                    let places = self.release_reservation(&id, &key);
                    self.start_run(&id, &key, places, now);
                }
                // Placed again later in this pass.
                false
                    if self.is_blocked(&id, &key)
                        || self.is_wait_over(&id, &key, &mut ends, now) =>
                {
                    self.release_reservation(&id, &key);
                }
                false if steps_without_room.contains(&step_key) => {
                    self.release_if_unusable(&id, &key, now);
                }
                false if !self.start_elsewhere(&id, &key, now) => {
                    self.release_if_unusable(&id, &key, now);
                    steps_without_room.insert(step_key);
                }
                false => {}
            }
        }
    }

    /// Starts a unit on other workers than the reserved ones, or on some of
    /// both, if there is room now; returns whether there was.
    fn start_elsewhere(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let Some(unit) = record.units.get(key) else {
            return false;
        };
        let mut request = self.request(record, key, unit, now);
        request.takes_any_room |=
            has_waited(&request, now) && self.is_mostly_idle(&request.pool);
        // While most of the pool is idle, units may use each other's
        // reservations; otherwise they could wait for each other.
        request.may_use_reserved = self.may_use_reserved(&request);
        // The unit's own reservation must not be in its way.
        let reserved = unit.phase.clone();
        let changed = self.changed;
        self.release_reservation(id, key);
        match self.place(&request, now) {
            Some(places) => {
                self.start_run(id, key, places, now);
                true
            }
            None => {
                self.restore_reservation(id, key, reserved);
                // Nothing has changed that would call for another pass.
                self.changed = changed;
                false
            }
        }
    }

    /// Reserves the places again that a unit's phase names.
    fn restore_reservation(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        reserved: Phase,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let charge = record.job.steps[key.step].charge();
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        unit.phase = reserved;
        let places: Vec<Place> =
            unit.members().map(|m| m.place.clone()).collect();
        for place in &places {
            self.occupy(place, &charge);
            self.reserve_on(place, &charge);
        }
    }

    /// Releases the reservation of a unit if one of its workers can no longer
    /// be used.
    fn release_if_unusable(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = record.units.get(key) else {
            return;
        };
        let request = self.request(record, key, unit, now);
        let requirement = self.requirement_of(&request);
        let usable = |place: &Place| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| {
                worker.life == place.life
                    && self.is_usable(worker, &request, now)
                    && requirement.allows(&worker.life, now.monotonic)
            })
        };
        let fits = self.fits_capacity(unit, &request.charge);
        if !fits || !unit.members().all(|member| usable(&member.place)) {
            self.release_reservation(id, key);
        }
    }

    /// Returns whether the resources that are reserved for a unit are all
    /// unoccupied.
    fn is_reserved_room_free(&self, id: &str, key: &UnitKey) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let charge = record.job.steps[key.step].charge();
        let Some(unit) = record.units.get(key) else {
            return false;
        };
        needs(unit, &charge).iter().all(|(place, need)| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| {
                worker.life == place.life && worker.unoccupied().holds(need)
            })
        })
    }

    /// Returns whether a unit is within a guarantee and other runs have begun
    /// in its reserved resources. The unit would wait until they end, beyond
    /// the time within which it has to begin.
    fn is_blocked(&self, id: &JobId, key: &UnitKey) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let Some(unit) = record.units.get(key) else {
            return false;
        };
        if !self.is_within_guarantee(record) {
            return false;
        }
        let charge = record.job.steps[key.step].charge();
        let needs = needs(unit, &charge);
        let mut freed: BTreeMap<&Place, Resources> = BTreeMap::new();
        for other in self.live_jobs() {
            let stopped = other.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Running(_))
                    && unit.stop_reason.is_some()
            });
            for (key, unit) in stopped {
                let charge = other.job.steps[key.step].charge();
                for member in unit.members() {
                    let room = freed.entry(&member.place).or_default();
                    *room = room.plus(&charge);
                }
            }
        }
        needs.iter().any(|(place, need)| {
            let freed = freed.get(place).copied().unwrap_or_default();
            let worker = self.workers.get(&place.agent);
            !worker.is_some_and(|worker| {
                worker.life == place.life
                    && worker.unoccupied().plus(&freed).holds(need)
            })
        })
    }

    /// Returns whether the workers of a reservation could hold the unit if
    /// they were empty. They may have shrunk.
    fn fits_capacity(&self, unit: &Unit, charge: &Resources) -> bool {
        needs(unit, charge).iter().all(|(place, need)| {
            let worker = self.workers.get(&place.agent);
            worker.is_some_and(|worker| worker.capacity.holds(need))
        })
    }

    fn waiting_units(&self, now: Timestamp) -> Vec<WaitingUnit> {
        let mut waiting = Vec::new();
        for id in &self.open_jobs {
            let Some(record) = self.jobs.get(id) else {
                continue;
            };
            if record.is_over() {
                continue;
            }
            let units = record.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Waiting)
                    && unit.not_before <= now.monotonic
            });
            let units = units.filter(|(key, _)| !record.awaits_ends(key));
            let mut outlines = BTreeMap::new();
            let mut ranks = BTreeMap::new();
            let mut suspect_running =
                !record.cleared && record.has_unproven_suspect();
            for (key, _) in units {
                let suspect = !record.cleared && record.is_suspect(key);
                if suspect && suspect_running {
                    continue;
                }
                suspect_running |= suspect;
                let outline = outlines
                    .entry(key.time)
                    .or_insert_with(|| self.outline(record, key.time));
                // The first waiting task of a step is the most urgent one.
                let rank = *ranks
                    .entry((key.time, key.step))
                    .or_insert_with(|| self.rank(record, key, outline, now));
                waiting.push(WaitingUnit {
                    id: id.clone(),
                    key: *key,
                    rank,
                });
            }
        }
        waiting.sort_by(|a, b| {
            (a.rank, &a.id, a.key).cmp(&(b.rank, &b.id, b.key))
        });
        match self.options.policy.shares {
            true => self.order_by_use(waiting, now),
            false => waiting,
        }
    }

    /// Places a unit, or reserves resources for it; returns whether either
    /// succeeded.
    fn place_or_reserve(
        &mut self,
        waiting: &WaitingUnit,
        victims: &mut Victims,
        now: Timestamp,
    ) -> bool {
        let Some(record) = self.jobs.get(&waiting.id) else {
            return false;
        };
        let Some(unit) = record.units.get(&waiting.key) else {
            return false;
        };
        let mut request = self.request(record, &waiting.key, unit, now);
        if has_waited(&request, now) {
            request.takes_any_room |= self.is_mostly_idle(&request.pool);
            request.may_use_reserved = self.may_use_reserved(&request);
        }
        if let Some(places) = self.place(&request, now) {
            self.start_run(&waiting.id, &waiting.key, places, now);
            return true;
        }
        match request.priority {
            0 => {
                self.preempt(&waiting.id, &waiting.key, &request, victims, now)
            }
            _ => self.reserve_room(&waiting.id, &waiting.key, &request, now),
        }
    }

    /// Returns whether a unit may use resources that are reserved but
    /// unoccupied. It may while most of the pool is idle and none of its
    /// reservations is for a unit within a guarantee, which would then have to
    /// wait for this unit to end. A unit that takes any room may as well while
    /// none of them is for an urgent unit.
    fn may_use_reserved(&self, request: &Request) -> bool {
        let pool = &request.pool;
        match self.is_mostly_idle(pool) {
            true => !self.reserves_for_guarantees(pool),
            false => request.takes_any_room && !self.reserves_for_urgent(pool),
        }
    }

    /// Returns whether less than half of a pool's accelerators are in use.
    pub(super) fn is_mostly_idle(&self, pool: &SharedStr) -> bool {
        let open = |w: &&Worker| !self.closed_halls.contains(&w.hall);
        let of_pool = |w: &&Worker| w.pool == *pool;
        let workers = || self.workers.values().filter(of_pool).filter(open);
        let total: i64 = workers().map(|w| w.capacity.accelerators).sum();
        let empty: i64 = workers().map(|w| w.unoccupied().accelerators).sum();
        empty * 2 > total
    }

    /// Assigns a unit its next run, on workers that have room for it.
    pub(super) fn start_run(
        &mut self,
        id: &str,
        key: &UnitKey,
        places: Vec<Place>,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let version = record.version + 1;
        let charge = record.job.steps[key.step].charge();
        let progress = record.progress.units.entry(*key).or_default();
        progress.run += 1;
        progress.from.clone_from(&progress.saved);
        progress.on.clone_from(&places);
        let late_runs = record.units.get(key).map_or(0, |unit| unit.late_runs);
        let begin_time = self.options.gang_begin_time(late_runs);
        let starts_together = places.len() > 1;
        progress.begin_by = starts_together.then_some(now.wall + begin_time);
        let run = progress.run;
        let failed = progress.failed;
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        let reserved = matches!(unit.phase, Phase::Reserved(_));
        debug_assert!(!reserved, "the reservation must be released first");
        let members =
            members(key, &places, MemberState::Ordered(version), now);
        unit.phase = Phase::Running(members);
        unit.stop_reason = None;
        unit.stopped_at = None;
        unit.logged_wait = None;
        unit.break_cause = BreakCause::NoEnds;
        unit.begin_by = None;
        unit.all_present = false;
        let ready = unit.ready_since;
        self.mark_dirty(id);
        for place in &places {
            self.occupy(place, &charge);
        }
        if key.index.is_some() {
            self.mark_explored(&places);
        }
        self.isolate_workers(id, key, &places, now);
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let placed = Decision::Placed {
            subject: record.subject(key),
            run,
            lives: lives(&places),
            failed,
            waited: now.monotonic.saturating_duration_since(ready),
            slack_ms: self.slack_ms(record, key, now),
            expected: self.expected_time(record, key.step),
            guarantee: self.guarantee_status(record, key, now),
            share: self.account_share(&record.job.pool, &record.job.account),
        };
        self.record_decision(placed);
    }

    /// Reserves places for a unit whose resources are not free yet.
    pub(super) fn reserve(
        &mut self,
        id: &str,
        key: &UnitKey,
        places: Vec<Place>,
        source: RoomSource,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let subject = record.subject(key);
        let charge = record.job.steps[key.step].charge();
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        unit.awaits_ends = source.awaited.is_some();
        unit.phase = Phase::Reserved(members(
            key,
            &places,
            MemberState::Ordered(0),
            now,
        ));
        for place in &places {
            self.occupy(place, &charge);
            self.reserve_on(place, &charge);
        }
        self.record_decision(Decision::Reserved {
            subject,
            lives: lives(&places),
            stopped: source.stopped,
            cost: source.cost,
            awaited: source.awaited,
        });
    }
}

/// Returns whether a unit has waited for as long as one does for a better place
/// while most of the pool is idle.
fn has_waited(request: &Request, now: Timestamp) -> bool {
    now.monotonic >= request.ready_since + MAX_WAIT_WHEN_IDLE
}

/// Returns the resources that a unit's members need on each worker.
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
    state: MemberState,
    now: Timestamp,
) -> Vec<Member> {
    let member = |(position, place): (usize, &Place)| Member {
        index: key.index.unwrap_or(position as u32),
        place: place.clone(),
        state,
        sent: false,
        assigned_at: now.monotonic,
        begun_at: None,
        inherited: false,
        showed_work: false,
        last_work: now.monotonic,
        last_listed: None,
        work: None,
    };
    places.iter().enumerate().map(member).collect()
}

/// Opens the steps of one repetition whose dependencies are done.
fn open_due_repetitions(record: &mut JobRecord, now: Timestamp) {
    let opened = std::mem::take(&mut record.open_times);
    for time in opened {
        if !record.is_time_done(time) {
            open_steps(record, time, now.monotonic);
            record.open_times.insert(time);
        }
    }
    while record.open_times.len() < MAX_OPEN_REPETITIONS
        && record.next_time < record.job.times()
        && record.job.due(record.next_time) <= now.wall
    {
        let time = record.next_time;
        record.next_time += 1;
        // After a takeover these are opened again from the first one on.
        if !record.is_time_done(time) {
            open_steps(record, time, now.monotonic);
            record.open_times.insert(time);
        }
    }
}

/// Opens the units of a repetition whose steps' dependencies are done.
fn open_steps(record: &mut JobRecord, time: u32, now: Instant) {
    for step in 0..record.job.steps.len() {
        if record.opened_steps.contains(&(time, step)) {
            continue;
        }
        let job = record.job.clone();
        let definition = &job.steps[step];
        if !definition
            .after
            .iter()
            .all(|index| record.is_step_done(time, *index))
        {
            continue;
        }
        record.opened_steps.insert((time, step));
        let indices: Vec<Option<u32>> = match definition.gang {
            true => vec![None],
            false => (0..definition.replicas).map(Some).collect(),
        };
        for index in indices {
            let key = UnitKey { time, step, index };
            record.units.entry(key).or_insert_with(|| Unit::new(now));
        }
    }
}

//! Placement of units on workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::schedule::MAX_WAIT_WHEN_IDLE;
use crate::graph::scheduler::Worker;
use crate::graph::speed::LogSpeed;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::StepKey;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long before the latest decision on a guaranteed unit it no longer waits
/// for a faster worker.
const GUARANTEE_MARGIN: Duration = Duration::from_millis(500);
/// The difference of speeds from which one worker is preferred over another.
const SPEED_CLASS: LogSpeed = 0.2;

/// The requirements of a unit.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub id: JobId,
    pub key: UnitKey,
    pub priority: u32,
    pub pool: SharedStr,
    pub width: u32,
    pub charge: Resources,
    pub label: Option<SharedStr>,
    pub data_rack: Option<SharedStr>,
    pub same_rack: bool,
    pub per_worker: Option<u32>,
    pub avoid: Vec<AgentId>,
    pub ready_since: Instant,
    /// Whether the unit may use resources that are reserved for others but
    /// unoccupied.
    pub may_use_reserved: bool,
    /// Whether the unit takes any room that there is now rather than wait for
    /// a better place.
    pub takes_any_room: bool,
    /// The expected run time of the unit on a worker of middle speed.
    pub expected: Duration,
    /// The least speed of a worker on which the unit is in time, if it starts
    /// now and can be in time.
    pub needed_speed: Option<LogSpeed>,
    /// Whether the job fails if the unit fails once more.
    pub last_attempt: bool,
    /// Whether several workers were suddenly lost under the unit.
    pub suspect: bool,
}

impl Request {
    pub fn new(
        record: &JobRecord,
        key: &UnitKey,
        unit: &Unit,
        expected: Duration,
    ) -> Request {
        let step = &record.job.steps[key.step];
        Request {
            id: record.job.id.clone(),
            key: *key,
            priority: record.job.priority,
            pool: record.job.pool.clone(),
            width: record.member_count(key),
            charge: step.charge(),
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            same_rack: step.gang && step.same_rack,
            per_worker: step.per_worker,
            avoid: unit.avoided.clone(),
            ready_since: unit.ready_since,
            may_use_reserved: false,
            takes_any_room: false,
            expected,
            needed_speed: None,
            last_attempt: record.is_last_attempt(key),
            suspect: record.is_suspect(key),
        }
    }

    /// Returns how many of the unit's tasks fit on a worker when it is empty.
    pub fn slots(&self, worker: &Worker) -> u32 {
        let max_tasks = self.per_worker.unwrap_or(u32::MAX);
        worker.capacity.times(&self.charge).min(max_tasks)
    }

    /// Returns the resources of a worker that the unit may use now.
    pub fn room(&self, worker: &Worker) -> Resources {
        match self.may_use_reserved {
            true => worker.unoccupied(),
            false => worker.free(),
        }
    }

    /// Returns the step that the unit belongs to.
    pub fn step_key(&self) -> StepKey {
        (self.id.clone(), self.key.time, self.key.step)
    }

    /// Returns whether the unit runs at full speed in a rack.
    pub fn is_near(&self, rack: &SharedStr) -> bool {
        self.data_rack.as_ref().is_none_or(|data| data == rack)
    }
}

/// A worker that a unit may use.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub place: Place,
    pub rack: SharedStr,
    pub free: Resources,
    /// How many more tasks of the unit's step the worker may run.
    pub quota: u32,
    /// The worker's recent failures. Workers with fewer are preferred.
    pub failures: usize,
    /// The worker's speed.
    pub speed: LogSpeed,
    /// How many of the unit's tasks the worker could hold if it were empty.
    pub slots_when_empty: u32,
}

impl Candidate {
    /// Returns how many tasks fit on the worker now.
    pub fn slots(&self, charge: &Resources) -> u32 {
        self.free.times(charge).min(self.quota)
    }
}

impl Scheduler {
    /// Returns a place for each member, if there is room now.
    pub(super) fn place(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Option<Vec<Place>> {
        // Most waiting units find no room in a full pool. A single walk over
        // the workers detects that without copying the candidates for each
        // rack.
        let all = self.workers.values();
        let free = all
            .filter(|w| w.pool == request.pool)
            .map(|worker| request.room(worker));
        let max_slots =
            free.map(|free| u64::from(free.times(&request.charge)));
        if max_slots.sum::<u64>() < u64::from(request.width) {
            return None;
        }
        let candidates = self.candidates(request, now);
        let slots = candidates.iter().map(|c| c.slots(&request.charge));
        if slots.map(u64::from).sum::<u64>() < u64::from(request.width) {
            return None;
        }
        let fast_enough = fast_enough(request, &candidates);
        if let Some(places) = self.explore(request, &fast_enough) {
            return Some(places);
        }
        self.place_on(request, &fast_enough, now).or_else(|| {
            // Urgent units wait for faster workers as long as those would have
            // them in time.
            let waits =
                request.priority == 0 && !self.must_begin_soon(request, now);
            match !waits && fast_enough.len() < candidates.len() {
                true => self.place_on(request, &candidates, now),
                false => None,
            }
        })
    }

    /// Returns a place for each member on the given workers, if there is room
    /// now.
    fn place_on(
        &self,
        request: &Request,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Option<Vec<Place>> {
        let choices = self.sets_by_rack(request, candidates, now).into_iter();
        let mut placed = choices.filter_map(|chosen| pack(request, chosen));
        if request.priority > 0 || !self.speeds.differ() {
            return placed.next();
        }
        // Of equally good choices the first one counts.
        let mut best: Option<(LogSpeed, Vec<Place>)> = None;
        for places in placed {
            let speed = self.speed_at(request, &places);
            if best.as_ref().is_none_or(|(other, _)| speed > *other) {
                best = Some((speed, places));
            }
        }
        best.map(|(_, places)| places)
    }

    /// Returns whether a unit has to begin soon, on workers of any speed, to
    /// be within its account's guarantee.
    fn must_begin_soon(&self, request: &Request, now: Timestamp) -> bool {
        self.latest_decision(request)
            .is_some_and(|last| now.monotonic + GUARANTEE_MARGIN >= last)
    }

    /// Returns the speed at which a unit runs on its places.
    pub(super) fn speed_at(
        &self,
        request: &Request,
        places: &[Place],
    ) -> LogSpeed {
        let workers = places.iter().filter_map(|place| {
            let worker = self.workers.get(&place.agent)?;
            Some((self.speeds.of(&place.agent), &worker.rack))
        });
        let workers: Vec<(LogSpeed, &SharedStr)> = workers.collect();
        let slowest = workers.iter().map(|(speed, _)| *speed);
        let slowest = slowest.fold(f64::INFINITY, f64::min);
        let racks: BTreeSet<&SharedStr> =
            workers.iter().map(|(_, rack)| *rack).collect();
        let spread = request.same_rack && racks.len() > 1;
        let far = spread || racks.iter().any(|rack| !request.is_near(rack));
        match far {
            true => slowest - self.options.far_slowdown.max(1.0).ln(),
            false => slowest,
        }
    }

    /// Returns the sets of workers to try, the best set first.
    pub(super) fn candidate_sets(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Vec<Vec<Candidate>> {
        let candidates = self.fast_candidates(request, now);
        self.sets_by_rack(request, &candidates, now)
    }

    /// Returns the workers that a unit may use, without those for which it
    /// does not stop waiting for faster ones.
    pub(super) fn fast_candidates(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let candidates = self.candidates(request, now);
        match request.priority {
            0 if !self.must_begin_soon(request, now) => {
                fast_enough(request, &candidates)
            }
            _ => candidates,
        }
    }

    /// Returns the sets of candidates to try, the best set first.
    fn sets_by_rack(
        &self,
        request: &Request,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Vec<Vec<Candidate>> {
        // The candidates are grouped by rack once. A walk over all of them for
        // each of 30 racks dominated passes with bursts of urgent gangs.
        let mut by_rack: BTreeMap<&SharedStr, Vec<usize>> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            by_rack.entry(&candidate.rack).or_default().push(index);
        }
        let within = |racks: Option<BTreeSet<SharedStr>>| {
            let Some(racks) = racks else {
                return candidates.to_vec();
            };
            let here = racks.iter().filter_map(|rack| by_rack.get(rack));
            let mut here: Vec<usize> = here.flatten().copied().collect();
            here.sort_unstable();
            here.iter()
                .map(|index| candidates[*index].clone())
                .collect()
        };
        let racks = self.rack_choices(request, candidates, now).into_iter();
        racks.map(within).collect()
    }

    /// Returns the sets of racks to try in turn; `None` stands for all racks.
    pub(super) fn rack_choices(
        &self,
        request: &Request,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Vec<Option<BTreeSet<SharedStr>>> {
        let mut racks: BTreeMap<SharedStr, u32> = BTreeMap::new();
        for candidate in candidates {
            let here = racks.entry(candidate.rack.clone()).or_default();
            *here = here.saturating_add(candidate.slots(&request.charge));
        }
        let roomy = self.roomy_racks(request);
        let near = racks.iter().filter(|(rack, _)| roomy.contains(*rack));
        let mut choices = Vec::new();
        if request.same_rack {
            let mut near: Vec<(&SharedStr, &u32)> = near.collect();
            // The rack with the least room comes first: if the unit fits
            // there, larger gaps stay free.
            near.sort_by_key(|(_, slots)| **slots);
            choices.extend(
                near.iter().map(|(rack, _)| Some([(*rack).clone()].into())),
            );
        } else if request.data_rack.is_some() && !roomy.is_empty() {
            choices.push(Some(near.map(|(rack, _)| rack.clone()).collect()));
        }
        let slow_if_spread = request.same_rack || request.data_rack.is_some();
        let spread =
            choices.is_empty() || now.monotonic >= self.near_until(request);
        if spread && !(slow_if_spread && self.awaits_reports(now)) {
            choices.push(None);
        }
        choices
    }

    /// Returns the racks where a unit runs at full speed and would have room
    /// if the racks were empty.
    fn roomy_racks(&self, request: &Request) -> BTreeSet<SharedStr> {
        let mut slots: BTreeMap<&SharedStr, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let here = slots.entry(&worker.rack).or_default();
            let stays = !worker.leaving && !worker.gone;
            let open = !self.closed_halls.contains(&worker.hall);
            if worker.pool == request.pool && stays && open {
                *here = here.saturating_add(request.slots(worker));
            }
        }
        slots
            .into_iter()
            .filter(|(rack, _)| request.is_near(rack))
            .filter(|(_, slots)| *slots >= request.width)
            .map(|(rack, _)| rack.clone())
            .collect()
    }

    /// Returns until when a unit only accepts racks where it runs at full
    /// speed.
    fn near_until(&self, request: &Request) -> Instant {
        let extra_time = request
            .expected
            .mul_f64((self.options.far_slowdown - 1.0).max(0.0));
        let wait = extra_time.mul_f64(self.options.policy.near_wait);
        let is_short =
            request.takes_any_room || self.is_mostly_idle(&request.pool);
        let until = match is_short {
            true => request.ready_since + wait.min(MAX_WAIT_WHEN_IDLE),
            false => request.ready_since + wait,
        };
        match self.latest_decision(request) {
            // Later there would be no time left to stop runs elsewhere.
            Some(last) => until.min(last),
            None => until,
        }
    }

    /// Returns the workers that a unit may use, whether or not they have room.
    pub(super) fn candidates(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let requirement = self.requirement_of(request);
        let usable: Vec<(&AgentId, &Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.is_reachable(worker, request, now))
            .filter(|(_, worker)| {
                requirement.allows(&worker.life, now.monotonic)
            })
            .collect();
        let healthy =
            |worker: &Worker| !worker.health.is_quarantined(now.monotonic);
        let usable = self.prefer(request, usable, |(_, w)| healthy(w));
        let usable = self.prefer_untried(request, usable);
        let usable = self.isolate_suspect(request, usable, now);
        let spare = self.spare_workers(request, &usable, now);
        self.prefer(request, usable, |(agent, _)| !spare.contains(*agent))
            .into_iter()
            .map(|(agent, worker)| Candidate {
                place: Place {
                    agent: agent.clone(),
                    life: worker.life.clone(),
                },
                rack: worker.rack.clone(),
                free: request.room(worker),
                quota: self.quota(request, agent),
                failures: worker.health.failure_count(),
                speed: self.speeds.of(agent),
                slots_when_empty: request.slots(worker),
            })
            .collect()
    }

    pub(super) fn is_usable(
        &self,
        worker: &Worker,
        request: &Request,
        now: Timestamp,
    ) -> bool {
        self.is_reachable(worker, request, now)
            && !worker.health.is_quarantined(now.monotonic)
    }

    /// Returns whether a unit could run on a worker, in quarantine or not.
    fn is_reachable(
        &self,
        worker: &Worker,
        request: &Request,
        now: Timestamp,
    ) -> bool {
        let label = request.label.as_ref();
        worker.pool == request.pool
            && !worker.leaving
            && !self.closed_halls.contains(&worker.hall)
            && !worker.silent
            && !worker.gone
            && worker
                .isolated_until
                .is_none_or(|until| now.monotonic >= until)
            && now.monotonic < worker.last_grant + self.options.contact_timeout
            && label.is_none_or(|label| worker.labels.contains(label))
            && worker.capacity.holds(&request.charge)
    }

    /// Returns the workers that are preferred. A unit that takes any room gets
    /// the others as well if it finds no place without them.
    fn prefer<'a>(
        &self,
        request: &Request,
        usable: Vec<(&'a AgentId, &'a Worker)>,
        is_preferred: impl Fn(&(&'a AgentId, &'a Worker)) -> bool,
    ) -> Vec<(&'a AgentId, &'a Worker)> {
        let preferred: Vec<(&AgentId, &Worker)> =
            usable.iter().copied().filter(is_preferred).collect();
        match request.takes_any_room
            && self.fit_now(request, &preferred)
                < self.fit_now(request, &usable)
        {
            true => usable,
            false => preferred,
        }
    }

    /// Leaves out the workers that the unit has failed on and, on its last
    /// attempt, those with recent failures, provided that the others could
    /// hold the unit. A unit that has waited while most of the pool is idle may
    /// use all of them.
    fn prefer_untried<'a>(
        &self,
        request: &Request,
        usable: Vec<(&'a AgentId, &'a Worker)>,
    ) -> Vec<(&'a AgentId, &'a Worker)> {
        let avoid_failing =
            self.options.policy.probation && request.last_attempt;
        let is_avoided = |(agent, worker): &(&AgentId, &Worker)| {
            request.avoid.contains(*agent)
                || avoid_failing && worker.health.failure_count() > 0
        };
        let others = usable.iter().filter(|worker| !is_avoided(worker));
        let slots_elsewhere: u64 =
            others.map(|(_, w)| u64::from(request.slots(w))).sum();
        if request.may_use_reserved
            || slots_elsewhere < u64::from(request.width)
        {
            return usable;
        }
        self.prefer(request, usable, |worker| !is_avoided(worker))
    }

    /// Returns how many more tasks of a unit fit on a worker now.
    pub(super) fn slots_now(
        &self,
        request: &Request,
        agent: &AgentId,
        worker: &Worker,
    ) -> u32 {
        let slots = request.room(worker).times(&request.charge);
        slots.min(self.quota(request, agent))
    }

    /// Returns how many more tasks of a step a worker may run.
    fn quota(&self, request: &Request, agent: &AgentId) -> u32 {
        let Some(max_tasks) = request.per_worker else {
            return u32::MAX;
        };
        let Some(record) = self.jobs.get(&request.id) else {
            return 0;
        };
        let here = record
            .units
            .iter()
            .filter(|(key, _)| {
                key.time == request.key.time && key.step == request.key.step
            })
            .flat_map(|(_, unit)| unit.members())
            .filter(|member| member.place.agent == *agent)
            .count();
        max_tasks.saturating_sub(here as u32)
    }
}

/// Returns the workers on which a unit is in time, or all of them if those
/// could not hold it.
fn fast_enough(request: &Request, candidates: &[Candidate]) -> Vec<Candidate> {
    let Some(needed) = request.needed_speed else {
        return candidates.to_vec();
    };
    let fast = candidates.iter().filter(|c| c.speed >= needed);
    let fast: Vec<Candidate> = fast.cloned().collect();
    let slots = fast.iter().map(|c| u64::from(c.slots_when_empty));
    match slots.sum::<u64>() >= u64::from(request.width) {
        true => fast,
        false => candidates.to_vec(),
    }
}

/// Returns a place for each member on the given workers. The fastest workers
/// come first for urgent work, and the slowest ones for any other. Of these
/// the fullest that still have room are used first, so that whole workers stay
/// free.
pub(super) fn pack(
    request: &Request,
    mut candidates: Vec<Candidate>,
) -> Option<Vec<Place>> {
    let mut places = Vec::new();
    for _ in 0..request.width {
        let best = candidates
            .iter_mut()
            .filter(|c| c.quota > 0 && c.free.holds(&request.charge))
            .min_by_key(|c| {
                let left = c.free.minus(&request.charge);
                let speed = (c.speed / SPEED_CLASS).round() as i64;
                let class = match request.priority {
                    0 => -speed,
                    _ => speed,
                };
                (c.failures, class, left.accelerators, left.cpu)
            })?;
        best.free = best.free.minus(&request.charge);
        best.quota -= 1;
        places.push(best.place.clone());
    }
    Some(places)
}

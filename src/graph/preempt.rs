//! Preemption: runs that are stopped to make room for urgent units.
//!
//! The loss of each stop (`loss`), the choice of runs (`eviction`) and the
//! room that becomes free without stops (`awaited`) are pure functions. This
//! module builds their inputs from the scheduler's state and applies the
//! result.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::graph::awaited;
use crate::graph::awaited::End;
use crate::graph::awaited::Ends;
use crate::graph::budget;
use crate::graph::budget::Need as Benefit;
use crate::graph::eviction;
use crate::graph::eviction::Need;
use crate::graph::eviction::Plan;
use crate::graph::eviction::Room;
use crate::graph::eviction::Victim;
use crate::graph::job_record::JobRecord;
use crate::graph::loss;
use crate::graph::loss::Outlook;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::unit::Unit;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The thousandths of a core that one accelerator counts as.
const ACCELERATOR_MILLICORES: i64 = 8000;
/// The work that a stop of a checkpointing unit loses without the loss model:
/// the work since its last checkpoint, and the time to resume.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(300);
/// The weight of stopping urgent work that borrows, in core-seconds, on top of
/// the work it loses. Stopped urgent work is late, so that any other work is
/// stopped before it.
const BORROWER_WEIGHT: f64 = 1e6;
/// The least time from the expected end of a run to the start of a unit that
/// waits for it: the end must be reported, the start written and ordered.
const HANDOVER_TIME: Duration = Duration::from_millis(200);
/// The share of the time until its latest start that a unit may wait. Declared
/// times of urgent work are off by a factor of up to e^0.5, so that the real
/// time left may be 0.6 of the estimate.
const WAIT_SHARE: f64 = 0.5;

/// A unit that could be stopped, beside its view for the plan.
#[derive(Clone, Debug)]
struct VictimUnit {
    id: JobId,
    key: UnitKey,
    /// What a stop counts against the limit, in core-seconds.
    cost: f64,
    /// Whether only a limited number of the step's units may be down at a
    /// time.
    limited_absence: bool,
}

/// The runs that could be stopped for urgent units of a pool, or awaited.
///
/// The lists are built once a pass. When each gang of a burst of urgent gangs
/// built them again for every rack, passes took so long that jobs were
/// accepted late.
#[derive(Debug, Default)]
pub(super) struct Victims {
    /// The pool that the list is for, and whether it is for units within
    /// guarantees; `None` before the list is built.
    scope: Option<(SharedStr, bool)>,
    units: Vec<VictimUnit>,
    runs: eviction::Victims,
    /// The core-seconds that preemption for the last unit would have lost, if
    /// the unit was refused because of that.
    pub(super) rejected_cost: Option<f64>,
    /// The expected ends of runs, once they are needed, by pool.
    ends: BTreeMap<SharedStr, Ends>,
}

/// How reserved resources become free.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoomSource {
    /// The number of runs that are stopped.
    pub stopped: usize,
    /// The loss of these stops, in core-seconds.
    pub cost: f64,
    /// The time within which runs are expected to end that the unit waits
    /// for.
    pub awaited: Option<Duration>,
}

impl Scheduler {
    /// Stops the cheapest runs that make room for an urgent unit and reserves
    /// their resources for it; returns whether that was possible.
    ///
    /// A unit beyond guarantees waits for the ends of runs where that is
    /// enough, and causes no stop if it would still be late.
    pub(super) fn preempt(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        request: &Request,
        victims: &mut Victims,
        now: Timestamp,
    ) -> bool {
        if self.awaits_reports(now) {
            return false;
        }
        let record = self.jobs.get(id);
        let guaranteed =
            record.is_some_and(|record| self.is_within_guarantee(record));
        if !guaranteed && self.is_late_after_stop(id, key, request, now) {
            // Nothing is reserved for it either: in simulated days the
            // reservations of late units made other urgent units late.
            return false;
        }
        if !guaranteed && self.await_ends(id, key, request, victims, now) {
            return true;
        }
        self.prepare_victims(request, guaranteed, victims, now);
        let wait = match guaranteed {
            true => None,
            false => self.longest_wait(id, key, now),
        };
        let Some((plan, awaited)) =
            self.plan_eviction(request, victims, wait, now)
        else {
            return false;
        };
        let chosen = plan.victims.iter();
        let cost: f64 = chosen.map(|index| victims.units[*index].cost).sum();
        if !guaranteed && cost > self.max_loss(id, key, request, now) {
            victims.rejected_cost = Some(cost);
            return false;
        }
        let source = RoomSource {
            stopped: plan.victims.len(),
            cost,
            awaited,
        };
        self.reserve(id, key, plan.places, source, now);
        for index in plan.victims {
            let victim = &victims.units[index];
            self.stop_unit(
                &victim.id,
                &victim.key,
                StopReason::Preempted,
                now,
            );
            victims.runs.stop(index);
        }
        // Some steps limit how many units may be down: the list is built again
        // to find which are left.
        if victims.units.iter().any(|victim| victim.limited_absence) {
            victims.scope = None;
        }
        true
    }

    /// Builds the list of victims if it is for other units.
    fn prepare_victims(
        &self,
        request: &Request,
        guaranteed: bool,
        victims: &mut Victims,
        now: Timestamp,
    ) {
        let scope = (request.pool.clone(), guaranteed);
        if victims.scope.as_ref() == Some(&scope) {
            return;
        }
        let all = self.victims(request, guaranteed, now);
        let (units, runs) = all.into_iter().unzip();
        victims.scope = Some(scope);
        victims.units = units;
        victims.runs = eviction::Victims::new(runs);
        victims.rejected_cost = None;
    }

    /// Returns the cheapest plan over all sets of workers. A plan that counts
    /// on ends of runs comes with the time within which those are expected.
    fn plan_eviction(
        &self,
        request: &Request,
        victims: &mut Victims,
        wait: Option<Duration>,
        now: Timestamp,
    ) -> Option<(Plan, Option<Duration>)> {
        let found = self.cheapest_plan(request, victims, wait, now)?;
        let Some(wait) = wait else {
            return Some((found, None));
        };
        let ends = victims.ends.get(&request.pool);
        let ends = found.places.iter().filter_map(|p| ends?.get(&p.agent));
        let awaited = ends.flatten().map(|end| end.within);
        let awaited = awaited.filter(|within| *within <= wait).max();
        let extra_time = self.extra_time(request, &found.places);
        match awaited {
            // The unit is too slow there to wait for so long.
            Some(within) if within + extra_time > wait => {
                let found = self.cheapest_plan(request, victims, None, now)?;
                Some((found, None))
            }
            awaited => Some((found, awaited)),
        }
    }

    fn cheapest_plan(
        &self,
        request: &Request,
        victims: &mut Victims,
        wait: Option<Duration>,
        now: Timestamp,
    ) -> Option<Plan> {
        let need = need(request, wait);
        let prune = self.options.policy.prune_stops;
        let none = Ends::new();
        let ends = match wait {
            Some(_) => victims.ends.get(&request.pool).unwrap_or(&none),
            None => &none,
        };
        let mut best: Option<Plan> = None;
        for chosen in self.candidate_sets(request, now) {
            let max_weight =
                best.as_ref().map_or(f64::INFINITY, |best| best.weight);
            let mut rooms = rooms(chosen);
            for room in &mut rooms {
                let here = ends.get(&room.place.agent).into_iter().flatten();
                let soon = here.filter(|end| need.awaits(Some(end.within)));
                room.free = soon.fold(room.free, |f, e| f.plus(&e.charge));
            }
            let runs = &victims.runs;
            best =
                eviction::plan(&need, rooms, runs, max_weight, prune).or(best);
        }
        best
    }

    /// Returns the time within which a stop in a pool is expected to be over.
    fn expected_stop_time(&self, pool: &SharedStr) -> Duration {
        let bound = self.options.stop_time;
        match self.options.policy.in_time_stops {
            true => self.stop_times.estimate(pool, bound),
            false => bound,
        }
    }

    /// Returns whether a unit has less time left than a stop takes.
    pub(super) fn is_late_after_stop(
        &self,
        id: &JobId,
        key: &UnitKey,
        request: &Request,
        now: Timestamp,
    ) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let stop_time = self.expected_stop_time(&request.pool);
        self.options.policy.in_time_stops
            && self.slack_ms(record, key, now) < stop_time.as_millis() as i64
    }

    /// Reserves room for a unit that running work frees before the unit's
    /// latest start, without a stop; returns whether there is such room.
    fn await_ends(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        request: &Request,
        victims: &mut Victims,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = self.longest_wait(id, key, now) else {
            return false;
        };
        let ends =
            victims.ends.entry(request.pool.clone()).or_insert_with(|| {
                self.expected_room(&request.pool, Some(now.monotonic), now)
            });
        if ends.is_empty() {
            return false;
        }
        let need = need(request, None);
        let best = self
            .candidate_sets(request, now)
            .into_iter()
            .filter_map(|chosen| {
                awaited::earliest_places(&need, rooms(chosen), ends, limit)
            })
            .filter(|(within, places)| {
                *within + self.extra_time(request, places) <= limit
            })
            .min_by_key(|(within, _)| *within);
        let Some((within, places)) = best else {
            return false;
        };
        let source = RoomSource {
            awaited: Some(within),
            ..RoomSource::default()
        };
        self.reserve(id, key, places, source, now);
        true
    }

    /// Returns whether a unit waits for runs that may no longer end before its
    /// latest start, so that it has to be planned again, now with stops.
    pub(super) fn is_wait_over(
        &self,
        id: &JobId,
        key: &UnitKey,
        known: &mut BTreeMap<SharedStr, Ends>,
        now: Timestamp,
    ) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let unit = record.units.get(key).filter(|unit| unit.awaits_ends);
        let Some(unit) = unit else {
            return false;
        };
        let pool = &record.job.pool;
        let ends = known
            .entry(pool.clone())
            .or_insert_with(|| self.expected_room(pool, None, now));
        let request = self.request(record, key, unit, now);
        let places: Vec<Place> =
            unit.members().map(|m| m.place.clone()).collect();
        let extra_time = self.extra_time(&request, &places);
        let Some(limit) = self.longest_wait(id, key, now) else {
            return true;
        };
        let in_time = |place: &Place| {
            let here = places.iter().filter(|other| *other == place);
            let charge = here.fold(Resources::default(), |sum, _| {
                sum.plus(&request.charge)
            });
            let worker = self.workers.get(&place.agent)?;
            // The unit's own reservation is not in its way.
            let free = worker.free().plus(&charge);
            let ends = ends.get(&place.agent);
            let ends = ends.map_or(&[][..], Vec::as_slice);
            let within = awaited::room_within(free, &charge, ends)?;
            (within + extra_time <= limit).then_some(())
        };
        places.iter().any(|place| in_time(place).is_none())
    }

    /// Returns how long a unit can wait for the ends of runs, if it can.
    fn longest_wait(
        &self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) -> Option<Duration> {
        let slack = self.slack_ms(self.jobs.get(id)?, key, now);
        let slack = Duration::from_millis(u64::try_from(slack).ok()?);
        let can_wait = self.options.policy.wait_for_ends && !slack.is_zero();
        can_wait.then(|| slack.mul_f64(WAIT_SHARE))
    }

    /// Returns how much longer a unit runs on its places than on the fastest
    /// workers, for which its latest start counts.
    fn extra_time(&self, request: &Request, places: &[Place]) -> Duration {
        let time = |speed: f64| request.expected.mul_f64((-speed).exp());
        let here = time(self.speed_at(request, places));
        here.saturating_sub(time(self.speeds.fastest()))
    }

    /// Returns the expected ends of the runs in a pool that have shown their
    /// progress, and of those that are being stopped. With `stops_until`, a
    /// stop that should be over by then is no longer counted on.
    fn expected_room(
        &self,
        pool: &SharedStr,
        stops_until: Option<Instant>,
        now: Timestamp,
    ) -> Ends {
        let mut ends = Ends::new();
        for record in self.live_jobs().filter(|r| r.job.pool == *pool) {
            for (key, unit) in &record.units {
                let within = match unit.stop_reason {
                    Some(_) => self.stop_ends_within(unit, stops_until),
                    None => self.ends_within(unit, now),
                };
                let Some(within) = within else {
                    continue;
                };
                let charge = record.job.steps[key.step].charge();
                for member in unit.members() {
                    let here = member.place.agent.clone();
                    let here = ends.entry(here).or_default();
                    here.push(End { within, charge });
                }
            }
        }
        for here in ends.values_mut() {
            here.sort_by_key(|end| end.within);
        }
        ends
    }

    /// Returns no time for a run whose stop can be counted on: units that wait
    /// have at least as much time left as a stop takes.
    fn stop_ends_within(
        &self,
        unit: &Unit,
        stops_until: Option<Instant>,
    ) -> Option<Duration> {
        let over_by = unit.stopped_at? + self.options.stop_time;
        let counts = stops_until.is_none_or(|until| over_by >= until);
        counts.then_some(Duration::ZERO)
    }

    /// Returns the time within which a running unit ends even if the estimate
    /// is off, unless the progress of its members does not show that.
    fn ends_within(&self, unit: &Unit, now: Timestamp) -> Option<Duration> {
        if !matches!(unit.phase, Phase::Running(_)) {
            return None;
        }
        let mut last = None;
        for member in unit.members() {
            last = last.max(Some(self.member_ends_within(member, now)?));
        }
        last
    }

    fn member_ends_within(
        &self,
        member: &Member,
        now: Timestamp,
    ) -> Option<Duration> {
        let work = member.work?;
        let remaining = work.remaining_time()?;
        let age = now.monotonic.saturating_duration_since(member.last_listed?);
        let margin =
            awaited::margin(remaining, work.observed(), HANDOVER_TIME);
        // A run that is overdue by more than that does not follow its
        // progress.
        let overdue = age > remaining + margin;
        let fresh = age < self.options.contact_timeout;
        (fresh && !overdue).then(|| remaining.saturating_sub(age) + margin)
    }

    /// Returns how many core-seconds may be lost for a unit.
    fn max_loss(
        &self,
        id: &str,
        key: &UnitKey,
        request: &Request,
        now: Timestamp,
    ) -> f64 {
        let slack = self.jobs.get(id).map(|e| self.slack_ms(e, key, now));
        let cores_used = cores(&request.charge) * f64::from(request.width);
        let benefit = Benefit {
            core_seconds: cores_used * request.expected.as_secs_f64(),
            slack_ms: slack.unwrap_or_default(),
            stop_time: self.expected_stop_time(&request.pool),
        };
        budget::limit(&self.options.policy, &benefit)
    }

    /// Returns the running and reserved units that may be stopped for a
    /// request: those of a lower priority, and, if the request is within its
    /// account's guarantee, those that borrow at the same priority.
    fn victims(
        &self,
        request: &Request,
        guaranteed: bool,
        now: Timestamp,
    ) -> Vec<(VictimUnit, Victim)> {
        let mut victims = Vec::new();
        for record in self.live_jobs() {
            // Borrowing runs hold what other accounts are guaranteed, however
            // urgent they are: unless they can be stopped, those accounts get
            // it back only when the runs end by themselves.
            let borrows = guaranteed
                && record.job.priority == request.priority
                && !self.is_within_guarantee(record);
            if !borrows && record.job.priority <= request.priority
                || record.job.pool != request.pool
            {
                continue;
            }
            let mut left = absences_left(record);
            let due = self.due(record, 0);
            for (key, unit) in &record.units {
                let runs = matches!(
                    unit.phase,
                    Phase::Running(_) | Phase::Reserved(_)
                );
                if !runs || unit.stop_reason.is_some() {
                    continue;
                }
                match left.get_mut(&(key.time, key.step)) {
                    Some(0) => continue,
                    Some(more) => *more -= 1,
                    None => {}
                }
                let (weight, cost) =
                    self.stop_cost(record, key, unit, due, now);
                let step = &record.job.steps[key.step];
                let of_unit = VictimUnit {
                    id: record.job.id.clone(),
                    key: *key,
                    cost,
                    limited_absence: step.may_miss.is_some(),
                };
                let members = unit.members();
                let run = Victim {
                    charge: step.charge(),
                    places: members.map(|m| m.place.clone()).collect(),
                    weight: match borrows {
                        true => BORROWER_WEIGHT + weight,
                        false => weight,
                    },
                    ends_within: self.ends_within(unit, now),
                };
                victims.push((of_unit, run));
            }
        }
        victims
    }

    /// Returns the time by which a repetition of a job should end.
    fn due(&self, record: &JobRecord, time: u32) -> Instant {
        let job = &record.job;
        let later = job.due(time).duration_since(job.accepted);
        let ready = record.accepted_at + later.unwrap_or_default();
        ready + self.objective(record)
    }

    /// Returns the weight against stopping a unit, and what the stop counts
    /// against the limit, in core-seconds. A loss below the work that a stop
    /// discards only orders the victims: no more work is discarded because
    /// jobs are late.
    fn stop_cost(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        unit: &Unit,
        due: Instant,
        now: Timestamp,
    ) -> (f64, f64) {
        let step = &record.job.steps[key.step];
        let cores = cores(&step.charge());
        if !matches!(unit.phase, Phase::Running(_)) {
            return (0.0, 0.0);
        }
        if !self.options.policy.loss_model {
            let ran = |m: &Member| {
                now.monotonic.saturating_duration_since(m.assigned_at)
            };
            let lost = match step.checkpoints {
                true => CHECKPOINT_LOSS,
                false => unit.members().map(ran).max().unwrap_or_default(),
            };
            let width = unit.members().count() as f64;
            let lost = cores * width * lost.as_secs_f64();
            return (lost, lost);
        }
        let progress = record.progress.units.get(key);
        let interruptions =
            progress.map_or(0, |p| p.run.saturating_sub(1 + p.failed));
        let run = loss::Run {
            cores,
            ran: unit
                .members()
                .map(|member| self.ran(record, key, member, now))
                .collect(),
            checkpoints: step.checkpoints,
            interruptions,
            outlook: self.outlook(record, key, unit, due, now),
        };
        let loss = loss::loss(&run);
        (loss, loss.max(loss::discarded(&run)))
    }

    /// Returns how long a member has run. That of a run which an earlier
    /// planner assigned follows from its progress.
    fn ran(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        member: &Member,
        now: Timestamp,
    ) -> Duration {
        let known =
            now.monotonic.saturating_duration_since(member.assigned_at);
        let work = member.work.filter(|_| member.inherited);
        let Some(work) = work else {
            return known;
        };
        let speed = self.speeds.of(&member.place.agent);
        let expected = self.expected_time(record, key.step);
        let whole = work
            .whole_time()
            .unwrap_or_else(|| expected.mul_f64((-speed).exp()));
        known.max(whole.mul_f64(work.done()))
    }

    /// Returns what a stop of a unit means for its job's objective.
    fn outlook(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        unit: &Unit,
        due: Instant,
        now: Timestamp,
    ) -> Outlook {
        let step = &record.job.steps[key.step];
        if step.lasting || record.job.repeat.is_some() {
            return Outlook::InTime;
        }
        let ends = unit
            .members()
            .map(|member| self.expected_end(record, key, member, now));
        let end = ends.max().unwrap_or(now.monotonic);
        let remaining = end.saturating_duration_since(now.monotonic);
        let after_stop = loss::remaining_after_stop(
            step.checkpoints,
            remaining,
            self.expected_time(record, key.step),
            self.expected_stop_time(&record.job.pool),
        );
        let due = due.checked_duration_since(now.monotonic);
        Outlook::of(due, remaining, after_stop)
    }
}

/// Returns how many more units of each step may be stopped, for the steps that
/// limit how many may be down.
pub(super) fn absences_left(
    record: &JobRecord,
) -> BTreeMap<(u32, usize), u32> {
    let mut left = BTreeMap::new();
    for (key, unit) in &record.units {
        let Some(may_miss) = record.job.steps[key.step].may_miss else {
            continue;
        };
        let more = left.entry((key.time, key.step)).or_insert(may_miss);
        if !is_fully_running(unit) {
            *more = more.saturating_sub(1);
        }
    }
    left
}

/// Returns whether all of a unit's members run and the unit is not being
/// stopped.
fn is_fully_running(unit: &Unit) -> bool {
    let Phase::Running(members) = &unit.phase else {
        return false;
    };
    let present = |member: &Member| member.state == MemberState::Running;
    unit.stop_reason.is_none() && members.iter().all(present)
}

/// Returns the number of cores that a task's resources count as.
pub(super) fn cores(charge: &Resources) -> f64 {
    let cpu = charge.cpu + charge.accelerators * ACCELERATOR_MILLICORES;
    cpu as f64 / 1000.0
}

/// Returns what a request needs, for a plan.
fn need(request: &Request, wait: Option<Duration>) -> Need {
    Need {
        charge: request.charge,
        width: request.width,
        wait,
    }
}

/// Returns workers as a plan sees them.
fn rooms(candidates: Vec<Candidate>) -> Vec<Room> {
    let room = |candidate: Candidate| Room {
        place: candidate.place,
        free: candidate.free,
        quota: candidate.quota,
    };
    candidates.into_iter().map(room).collect()
}

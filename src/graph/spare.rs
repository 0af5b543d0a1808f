//! Workers that are left to urgent work.
//!
//! A stop takes up to a second, which is longer than a short urgent job can
//! wait. Work that can wait therefore does not fill a pool completely. How
//! many workers it leaves follows from the recent urgent jobs, see
//! [`headroom`]; until there are enough of them, a fixed share of the workers
//! is left if they are empty.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::graph::headroom;
use crate::graph::headroom::Demand;
use crate::graph::headroom::Gang;
use crate::graph::headroom::Held;
use crate::graph::headroom::Spare;
use crate::graph::headroom::Usage;
use crate::graph::place::Request;
use crate::graph::scheduler::Worker;
use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Job;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Step;
use crate::graph::Timestamp;

/// The largest share of a pool's workers that is left empty.
const MAX_SPARE_SHARE: f64 = 0.3;
/// How long after the last urgent job of a pool workers are left empty.
const SPARE_AFTER_URGENT: Duration = Duration::from_secs(30);
/// The least time between two choices of the kept workers. The choice looks at
/// all running work, which not every pass should.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The time that the write of a run and its orders usually take after a stop.
const ORDER_TIME: Duration = Duration::from_millis(100);
/// The age from which ended urgent jobs no longer count. Their weight is then
/// 5% of that of the present.
const MAX_AGE: Duration = Duration::from_secs(90);
/// The most urgent jobs of a pool that are remembered.
const MAX_JOBS: usize = 512;
/// How long after its latest start a unit still counts as one that may be in
/// time. If all late units may use the kept workers, hardly any is left to
/// urgent work on a pool that is too small for all work.
const MAX_LATE_MS: i64 = 500;
/// The least time between two reports of the kept workers if they change.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which the kept workers are reported if they do not change.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A recent urgent job.
#[derive(Clone, Debug)]
struct UrgentJob {
    job: Arc<Job>,
    accepted: Instant,
    ended: Option<Instant>,
}

/// The urgent work of a pool, and the workers kept for it.
#[derive(Clone, Debug, Default)]
struct PoolHeadroom {
    /// The recent urgent jobs in the order in which they were accepted here.
    jobs: VecDeque<UrgentJob>,
    /// Whether the usual urgent job cannot wait for stops.
    needed: bool,
    kept: BTreeSet<AgentId>,
    /// The kept workers that were reported last.
    reported: BTreeSet<AgentId>,
    reported_at: Option<Instant>,
    /// The time for which workers were kept since the last report, in
    /// worker-seconds.
    worker_seconds: f64,
}

/// The capacity that is kept for urgent work.
#[derive(Clone, Debug, Default)]
pub(super) struct Headroom {
    pools: BTreeMap<SharedStr, PoolHeadroom>,
    updated_at: Option<Instant>,
}

impl Headroom {
    /// Records an urgent job, which may have ended under an earlier planner.
    pub fn accept(&mut self, job: &Arc<Job>, accepted: Instant) {
        let pool = self.pools.entry(job.pool.clone()).or_default();
        pool.jobs.push_back(UrgentJob {
            job: job.clone(),
            accepted,
            ended: None,
        });
        if pool.jobs.len() > MAX_JOBS {
            pool.jobs.pop_front();
        }
    }

    /// Returns the workers that are kept in a pool, or `None` if too few
    /// urgent jobs have been seen there, or they can wait for stops.
    fn kept(&self, pool: &SharedStr) -> Option<&BTreeSet<AgentId>> {
        let pool = self.pools.get(pool)?;
        let known = pool.jobs.len() >= headroom::MIN_JOBS;
        (known && pool.needed).then_some(&pool.kept)
    }
}

/// The workers to keep in a pool, and why.
struct Plan {
    needed: bool,
    kept: BTreeSet<AgentId>,
    workers: usize,
    demand: Demand,
    held: Held,
    gang: Gang,
}

impl Scheduler {
    /// Returns the workers that a unit leaves to urgent work.
    pub(super) fn spare_workers(
        &self,
        request: &Request,
        usable: &[(&AgentId, &Worker)],
        now: Timestamp,
    ) -> BTreeSet<AgentId> {
        let urgent = self
            .last_urgent
            .get(&request.pool)
            .is_some_and(|last| now.monotonic < *last + SPARE_AFTER_URGENT);
        if request.priority == 0 || request.may_use_reserved || !urgent {
            return BTreeSet::new();
        }
        let kept = self.headroom.kept(&request.pool);
        match kept.filter(|_| self.keeps_headroom()) {
            Some(kept) if self.is_held_back(request, usable, kept, now) => {
                kept.clone()
            }
            Some(_) => BTreeSet::new(),
            None => self.empty_workers(request, usable),
        }
    }

    /// Returns a fixed share of the usable workers, of those that are empty,
    /// in as few racks as possible.
    fn empty_workers(
        &self,
        request: &Request,
        usable: &[(&AgentId, &Worker)],
    ) -> BTreeSet<AgentId> {
        let share = (self.options.policy.spare_share
            * f64::from(request.priority))
        .min(MAX_SPARE_SHARE);
        let count = (usable.len() as f64 * share) as usize;
        let slots = || usable.iter().map(|(_, w)| u64::from(request.slots(w)));
        let largest = slots().max().unwrap_or(0);
        let slots_left =
            slots().sum::<u64>().saturating_sub(count as u64 * largest);
        if slots_left < u64::from(request.width) {
            return BTreeSet::new();
        }
        let mut racks: BTreeMap<&SharedStr, Vec<&AgentId>> = BTreeMap::new();
        for (agent, worker) in usable {
            if worker.used == Resources::default() {
                racks.entry(&worker.rack).or_default().push(agent);
            }
        }
        let mut racks: Vec<Vec<&AgentId>> = racks.into_values().collect();
        racks.sort_by_key(|agents| Reverse(agents.len()));
        racks.into_iter().flatten().take(count).cloned().collect()
    }

    /// Returns whether a unit leaves the kept workers alone. It does if the
    /// other workers could hold it as well as all of them and, once it cannot
    /// wait or the pool is mostly idle, only if they have room for it now.
    fn is_held_back(
        &self,
        request: &Request,
        usable: &[(&AgentId, &Worker)],
        kept: &BTreeSet<AgentId>,
        now: Timestamp,
    ) -> bool {
        if kept.is_empty() {
            return false;
        }
        let others = usable.iter().filter(|(agent, _)| !kept.contains(*agent));
        let others: Vec<(&AgentId, &Worker)> = others.copied().collect();
        let empty = |_: &AgentId, worker: &Worker| request.slots(worker);
        let best = fit(request, usable, empty);
        if fit(request, &others, empty) < best {
            return false;
        }
        if !self.is_slack_spent(request, now)
            && !self.is_mostly_idle(&request.pool)
        {
            return true;
        }
        self.fit_now(request, &others) >= best
    }

    /// Returns how well workers can hold a unit now.
    pub(super) fn fit_now(
        &self,
        request: &Request,
        workers: &[(&AgentId, &Worker)],
    ) -> Fit {
        fit(request, workers, |agent, worker| {
            self.slots_now(request, agent, worker)
        })
    }

    /// Returns whether a unit has to begin now, and on a fast worker, to be in
    /// time. A unit that is late already gains nothing by that.
    fn is_slack_spent(&self, request: &Request, now: Timestamp) -> bool {
        let Some(record) = self.jobs.get(&request.id) else {
            return false;
        };
        if record.job.steps[request.key.step].lasting {
            return true;
        }
        let slack = self.slack_ms(record, &request.key, now);
        let gain = 1.0 - (-self.speeds.fastest()).exp().min(1.0);
        let margin = request.expected.mul_f64(gain).as_millis() as i64;
        slack <= margin && slack > -MAX_LATE_MS
    }

    /// Returns whether workers are kept by the demand of urgent work. While the
    /// workers count as equally fast, the fixed share of empty workers serves
    /// urgent work better: kept workers are then chosen without regard to what
    /// they are kept for.
    fn keeps_headroom(&self) -> bool {
        self.options.policy.headroom && self.speeds.differ()
    }

    /// Chooses the workers that are kept for urgent work again, if the last
    /// choice is old enough.
    pub(super) fn update_headroom(&mut self, now: Timestamp) {
        let last = self.headroom.updated_at;
        if !self.keeps_headroom()
            || last.is_some_and(|last| now.monotonic < last + UPDATE_INTERVAL)
        {
            return;
        }
        self.headroom.updated_at = Some(now.monotonic);
        let passed = last.map_or(Duration::ZERO, |last| {
            now.monotonic.saturating_duration_since(last)
        });
        let pools: Vec<SharedStr> =
            self.headroom.pools.keys().cloned().collect();
        for name in pools {
            self.end_urgent_jobs(&name, now);
            let plan = self.plan_headroom(&name, now);
            let Some(pool) = self.headroom.pools.get_mut(&name) else {
                continue;
            };
            pool.worker_seconds +=
                passed.as_secs_f64() * pool.kept.len() as f64;
            pool.needed = plan.needed;
            pool.kept.clone_from(&plan.kept);
            let report_after = match plan.kept == pool.reported {
                true if pool.worker_seconds == 0.0 => continue,
                true => REPORT_INTERVAL,
                false => MIN_REPORT_INTERVAL,
            };
            if pool
                .reported_at
                .is_some_and(|last| now.monotonic < last + report_after)
            {
                continue;
            }
            pool.reported_at = Some(now.monotonic);
            pool.reported.clone_from(&plan.kept);
            let decision = Decision::HeadroomKept {
                pool: name,
                agents: plan.kept.into_iter().collect(),
                workers: plan.workers,
                jobs: pool.jobs.len(),
                mean: plan.demand.mean,
                deviation: plan.demand.deviation,
                elsewhere: plan.held.elsewhere,
                gang: plan.gang.workers,
                worker_seconds: std::mem::take(&mut pool.worker_seconds),
            };
            self.record_decision(decision);
        }
    }

    /// Records the ends of a pool's urgent jobs, and forgets old jobs.
    fn end_urgent_jobs(&mut self, name: &SharedStr, now: Timestamp) {
        let Some(mut pool) = self.headroom.pools.remove(name) else {
            return;
        };
        for urgent in &mut pool.jobs {
            if urgent.ended.is_some() {
                continue;
            }
            let Some(record) = self.jobs.get(&urgent.job.id) else {
                urgent.ended = Some(now.monotonic);
                continue;
            };
            let ended = record.progress.ended.map(|ended| {
                let age = now.wall.duration_since(ended).unwrap_or_default();
                let ended = now.monotonic.checked_sub(age);
                ended.unwrap_or(urgent.accepted).max(urgent.accepted)
            });
            // Late jobs do not count on. On a pool that is too small, jobs
            // that wait would have ever more workers kept.
            let due = urgent.accepted + self.objective(record);
            urgent.ended = match ended {
                None if now.monotonic >= due => Some(due),
                Some(ended) => Some(ended.min(due)),
                None => None,
            };
        }
        pool.jobs.retain(|urgent| {
            let recent = |ended| now.monotonic < ended + MAX_AGE;
            urgent.ended.is_none_or(recent)
        });
        self.headroom.pools.insert(name.clone(), pool);
    }

    /// Returns the workers to keep in a pool.
    fn plan_headroom(&self, name: &SharedStr, now: Timestamp) -> Plan {
        let mut plan = Plan {
            needed: false,
            kept: BTreeSet::new(),
            workers: 0,
            demand: Demand::default(),
            held: Held::default(),
            gang: headroom::usual_gang(&[]),
        };
        let urgent = self
            .last_urgent
            .get(name)
            .is_some_and(|last| now.monotonic < *last + SPARE_AFTER_URGENT);
        let Some(pool) = self.headroom.pools.get(name) else {
            return plan;
        };
        let workers: Vec<(&AgentId, &Worker)> = self
            .workers
            .iter()
            .filter(|(_, w)| w.pool == *name && self.may_be_kept(w, now))
            .collect();
        let capacities = workers.iter().map(|(_, worker)| worker.capacity);
        let largest = capacities.max_by_key(|c| (c.accelerators, c.cpu));
        let Some(whole) = largest.filter(|_| urgent) else {
            return plan;
        };
        if pool.jobs.len() < headroom::MIN_JOBS {
            return plan;
        }
        plan.needed = headroom::is_needed(
            &mut self.urgent_slacks(pool),
            self.options.stop_time + ORDER_TIME,
        );
        if !plan.needed {
            return plan;
        }
        plan.workers = workers.len();
        let age = |time| now.monotonic.saturating_duration_since(time);
        let usages = pool.jobs.iter().map(|urgent| Usage {
            began: age(urgent.accepted),
            ended: urgent.ended.map_or(Duration::ZERO, age),
            workers: widest(&urgent.job, &whole).0,
        });
        let usages: Vec<Usage> = usages.collect();
        let first = usages.iter().map(|usage| usage.began).max();
        let known = age(self.claimed_at).max(first.unwrap_or_default());
        plan.demand = headroom::demand(&usages, known.min(MAX_AGE));
        plan.held = self.urgent_held(pool, &whole);
        let jobs = pool.jobs.iter().map(|job| widest(&job.job, &whole));
        plan.gang = headroom::usual_gang(&jobs.collect::<Vec<_>>());
        let count =
            headroom::count(&plan.demand, plan.held, plan.gang, workers.len());
        if count == 0 {
            return plan;
        }
        let drained = self.drain_times(name, now);
        let spares = workers.into_iter().map(|(agent, worker)| Spare {
            agent: agent.clone(),
            rack: worker.rack.clone(),
            speed: self.speeds.of(agent),
            drain_time: drained.get(agent).copied().unwrap_or_default(),
            kept: pool.kept.contains(agent),
        });
        let spares: Vec<Spare> = spares.collect();
        plan.kept = headroom::choose(count, plan.gang, &spares);
        plan
    }

    /// Returns the time that each recent urgent job of a pool could wait on the
    /// fastest workers.
    fn urgent_slacks(&self, pool: &PoolHeadroom) -> Vec<Duration> {
        let jobs = pool.jobs.iter();
        let records = jobs.filter_map(|urgent| self.jobs.get(&urgent.job.id));
        records
            .map(|record| self.outline(record, 0).slack())
            .collect()
    }

    /// Returns whether a worker could be given urgent work.
    fn may_be_kept(&self, worker: &Worker, now: Timestamp) -> bool {
        !worker.leaving
            && !worker.silent
            && !worker.gone
            && !self.closed_halls.contains(&worker.hall)
            && !worker.health.is_quarantined(now.monotonic)
            && now.monotonic < worker.last_grant + self.options.contact_timeout
    }

    /// Returns the whole workers that a pool's urgent work occupies or has
    /// reserved.
    fn urgent_held(&self, pool: &PoolHeadroom, whole: &Resources) -> Held {
        let mut held = Held::default();
        for urgent in pool.jobs.iter().filter(|job| job.ended.is_none()) {
            let Some(record) = self.jobs.get(&urgent.job.id) else {
                continue;
            };
            for (key, unit) in &record.units {
                let each = share(&record.job.steps[key.step], whole);
                for member in unit.members() {
                    match pool.kept.contains(&member.place.agent) {
                        true => held.kept += each,
                        false => held.elsewhere += each,
                    }
                }
            }
        }
        held
    }

    /// Returns the time until the last run of other work on each worker is
    /// expected to end.
    fn drain_times(
        &self,
        pool: &SharedStr,
        now: Timestamp,
    ) -> BTreeMap<AgentId, Duration> {
        let mut times: BTreeMap<AgentId, Duration> = BTreeMap::new();
        for record in self.live_jobs() {
            if record.job.pool != *pool || record.job.priority == 0 {
                continue;
            }
            for (key, unit) in &record.units {
                for member in unit.members() {
                    let left = match unit.phase {
                        Phase::Reserved(_) => {
                            self.expected_time(record, key.step)
                        }
                        _ => self
                            .expected_end(record, key, member, now)
                            .saturating_duration_since(now.monotonic),
                    };
                    match times.get_mut(&member.place.agent) {
                        Some(time) => *time = left.max(*time),
                        None => {
                            times.insert(member.place.agent.clone(), left);
                        }
                    }
                }
            }
        }
        times
    }
}

/// Returns the part of a whole worker that a task of a step takes.
fn share(step: &Step, whole: &Resources) -> f64 {
    let slots = whole.times(&step.charge());
    match slots.min(step.per_worker.unwrap_or(u32::MAX)) {
        // No worker holds the task.
        0 => 0.0,
        slots => 1.0 / f64::from(slots),
    }
}

/// Returns the whole workers that the widest step of a job takes, and whether
/// it needs them in one rack.
fn widest(job: &Job, whole: &Resources) -> (f64, bool) {
    let workers = |step: &Step| f64::from(step.replicas) * share(step, whole);
    let steps = job.steps.iter();
    let widest = steps.max_by(|a, b| workers(a).total_cmp(&workers(b)));
    widest.map_or((0.0, false), |step| {
        (workers(step), step.gang && step.same_rack)
    })
}

/// How well workers can hold a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fit {
    /// Not at all.
    No,
    /// In racks where the unit does not run at full speed.
    Far,
    /// In racks where the unit runs at full speed.
    Near,
}

/// Returns how well workers can hold a unit, each of them `slots` of its
/// tasks.
fn fit(
    request: &Request,
    workers: &[(&AgentId, &Worker)],
    slots: impl Fn(&AgentId, &Worker) -> u32,
) -> Fit {
    let mut racks: BTreeMap<&SharedStr, u64> = BTreeMap::new();
    for (agent, worker) in workers {
        let here = racks.entry(&worker.rack).or_default();
        *here += u64::from(slots(agent, worker));
    }
    let width = u64::from(request.width);
    let near = racks.iter().filter(|(rack, _)| request.is_near(rack));
    let near = near.map(|(_, slots)| *slots);
    let near = match request.same_rack {
        true => near.max().unwrap_or(0),
        false => near.sum(),
    };
    match racks.values().sum::<u64>() {
        _ if near >= width => Fit::Near,
        all if all >= width => Fit::Far,
        _ => Fit::No,
    }
}

//! The scheduler's state: workers, jobs, units and the runs on each worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::graph::advice::Permission;
use crate::graph::health::Health;
use crate::graph::history::History;
use crate::graph::inquiry::Inquiry;
use crate::graph::job_record::JobRecord;
use crate::graph::objective::PoolCapacities;
use crate::graph::pace::FillerPace;
use crate::graph::share::Shares;
use crate::graph::spare::Headroom;
use crate::graph::speed::Exploration;
use crate::graph::stop_time::StopTimes;
use crate::graph::unconfirmed::UnconfirmedLoss;
use crate::graph::unit::StopReason;
use crate::graph::unreadable::UnreadableJob;
use crate::graph::unwritten::UnwrittenEnd;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Life;
use crate::graph::Outcome;
use crate::graph::PastLife;
use crate::graph::Place;
use crate::graph::Policy;
use crate::graph::Progress;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::SharedStr;
use crate::graph::Speeds;
use crate::graph::StepKey;
use crate::graph::Task;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// Timing bounds and the policy of a [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How long an agent keeps its worker's tasks running after the last
    /// grant.
    pub survival: Duration,
    /// Added to `survival` before tasks are considered lost, for slow clocks
    /// on workers and for the time that ending a task takes.
    pub lease_margin: Duration,
    /// How long an agent may be silent and still be assigned new work.
    pub contact_timeout: Duration,
    /// The factor by which a task is slower away from its data or its gang.
    pub far_slowdown: f64,
    /// How long the first member of a gang waits for the others.
    pub gang_wait: Duration,
    /// The longest that a stopped task still occupies its resources.
    pub stop_time: Duration,
    /// The time within which urgent work within a guarantee has to begin.
    pub reclaim_time: Duration,
    /// How to decide where several decisions would keep every guarantee.
    pub policy: Policy,
}

/// The time from the decision to stop a run until its workers have received
/// the stops.
const STOP_LEAD: Duration = Duration::from_millis(500);
/// The late runs in a row after which a gang's start is not cut short.
const MAX_LATE_RUNS: u32 = 3;

impl Options {
    /// Returns how long after the first start of a gang was sent its members
    /// may begin, after a number of late runs in a row. Those that have begun
    /// can then be stopped before they have waited in vain for
    /// [`Options::gang_wait`].
    ///
    /// After [`MAX_LATE_RUNS`] the members have all of that time: where starts
    /// always take long, the gang would otherwise never begin.
    pub(super) fn gang_begin_time(&self, late_runs: u32) -> Duration {
        let stops = self.stop_time + STOP_LEAD;
        let early = self.gang_wait.saturating_sub(stops);
        match late_runs < MAX_LATE_RUNS {
            true => early.max(self.gang_wait / 2),
            false => self.gang_wait,
        }
    }
}

impl Default for Options {
    fn default() -> Options {
        Options {
            survival: Duration::from_secs(12),
            lease_margin: Duration::from_millis(800),
            contact_timeout: Duration::from_millis(2200),
            far_slowdown: 3.0,
            gang_wait: Duration::from_secs(3),
            stop_time: Duration::from_secs(1),
            reclaim_time: Duration::from_millis(3400),
            policy: Policy::default(),
        }
    }
}

/// An end that is not acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct UnackedEnd {
    pub number: u64,
    pub job: JobId,
    /// The version of the job's progress that contains the end.
    pub version: u64,
}

/// A worker, as its agent last reported it.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub life: Life,
    /// The machine that the worker runs on, if the cloud names it.
    pub machine: Option<SharedStr>,
    pub pool: SharedStr,
    pub hall: SharedStr,
    pub rack: SharedStr,
    pub labels: Vec<SharedStr>,
    pub capacity: Resources,
    pub leaving: bool,
    /// Whether the worker has not answered its agent for a long time.
    pub silent: bool,
    /// The earliest time at which a leaving worker goes.
    pub leaves_at: Option<Instant>,
    /// Resources of the members placed here, including reservations.
    pub used: Resources,
    /// The part of `used` that is reserved for units that have not begun.
    pub reserved: Resources,
    pub process: String,
    pub sequence: u64,
    /// When the last report that renewed the grant arrived.
    pub last_grant: Instant,
    /// The highest number of an end that was applied.
    pub highest_end: u64,
    /// The highest number of an end that is acknowledged.
    pub acked_end: u64,
    pub unacked_ends: VecDeque<UnackedEnd>,
    /// Listed runs that this planner has not ordered; they are to be stopped.
    pub unknown_runs: BTreeSet<(Task, Run)>,
    /// Listed runs that this planner has not ordered either, and whose jobs it
    /// cannot read; they go on.
    pub spared_runs: BTreeSet<(Task, Run)>,
    /// Resources of the unknown and the spared runs. Until they have ended
    /// these resources are not free, and not every worker enforces its
    /// capacity.
    pub unknown_charge: Resources,
    pub health: Health,
    /// The pace of the filler tasks on the worker.
    pub filler_pace: FillerPace,
    /// Runs that the worker lists with another pace than the ordered one.
    pub off_pace: Vec<(Task, Run)>,
    /// Whether the agent has reported this life as over.
    pub gone: bool,
    /// Whether the worker announced that it is leaving while it still
    /// answered.
    pub announced_leaving: bool,
    /// Until when a suspect task has the worker to itself.
    pub isolated_until: Option<Instant>,
}

impl Worker {
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used).minus(&self.unknown_charge)
    }

    /// Returns the resources that no member occupies, reserved or not.
    pub fn unoccupied(&self) -> Resources {
        let used = self.used.minus(&self.reserved);
        self.capacity.minus(&used).minus(&self.unknown_charge)
    }
}

/// Decides which units start and stop, and where.
///
/// The caller reports events, calls [`run_pass`](Scheduler::run_pass), writes
/// the progress that has changed and sends the agents their orders.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) options: Options,
    /// The time of the last report or pass.
    pub(super) now: Instant,
    /// When this planner claimed the cell. No earlier planner has granted
    /// anything after that time.
    pub(super) claimed_at: Instant,
    pub(super) workers: BTreeMap<AgentId, Worker>,
    /// The reports of agents on earlier lives than those in `workers`.
    pub(super) past_lives: BTreeMap<AgentId, PastLife>,
    pub(super) jobs: BTreeMap<JobId, JobRecord>,
    /// Jobs whose records cannot be read.
    pub(super) unreadable_jobs: BTreeMap<JobId, UnreadableJob>,
    /// Jobs with units that are not done.
    pub(super) open_jobs: BTreeSet<JobId>,
    /// The accelerators that each client account is guaranteed.
    pub(super) guarantees: BTreeMap<SharedStr, i64>,
    /// The urgent jobs within their account's guarantee, as of the last pass.
    pub(super) within_guarantee: BTreeSet<JobId>,
    pub(super) history: History,
    pub(super) speeds: Speeds,
    pub(super) shares: Shares,
    /// The capacities of the workers, as of the last pass.
    pub(super) pool_capacities: PoolCapacities,
    /// How long stops took in each pool.
    pub(super) stop_times: StopTimes,
    pub(super) exploration: Exploration,
    /// When the last urgent job of each pool was accepted.
    pub(super) last_urgent: BTreeMap<SharedStr, Instant>,
    /// The capacity that is kept for urgent work.
    pub(super) headroom: Headroom,
    /// The workers that may run the steps whose starts need permission.
    pub(super) permissions: BTreeMap<StepKey, Permission>,
    /// Losses of workers that may only be unreachable.
    pub(super) unconfirmed: Vec<UnconfirmedLoss>,
    /// The units with ends that are unread.
    pub(super) unread_units: BTreeSet<(JobId, UnitKey)>,
    /// Ends in progress that is not written yet.
    pub(super) unwritten_ends: BTreeMap<JobId, Vec<UnwrittenEnd>>,
    /// Queries about agents that are silent.
    pub(super) inquiries: BTreeMap<AgentId, Inquiry>,
    /// Halls that are given no new work.
    pub(super) closed_halls: BTreeSet<SharedStr>,
    /// Workers from which starts that have not begun are withdrawn, and why.
    pub(super) withdrawals: BTreeMap<AgentId, StopReason>,
    pub(super) dirty: BTreeSet<JobId>,
    pub(super) agents_to_order: BTreeSet<AgentId>,
    /// Whether an event since the last pass may change what the next decides,
    /// apart from the passing of time.
    pub(super) changed: bool,
    /// Decisions since they were last taken, for the log.
    pub(super) decisions: Vec<Decision>,
}

/// The most decisions that are held until the caller takes them.
const MAX_DECISIONS: usize = 2000;

impl Scheduler {
    /// Returns a scheduler without workers and jobs.
    pub fn new(options: Options, now: Timestamp) -> Scheduler {
        Scheduler {
            options,
            now: now.monotonic,
            claimed_at: now.monotonic,
            workers: BTreeMap::new(),
            past_lives: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unreadable_jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            guarantees: BTreeMap::new(),
            within_guarantee: BTreeSet::new(),
            history: History::default(),
            speeds: Speeds::default(),
            shares: Shares::default(),
            pool_capacities: PoolCapacities::default(),
            stop_times: StopTimes::default(),
            exploration: Exploration::default(),
            last_urgent: BTreeMap::new(),
            headroom: Headroom::default(),
            permissions: BTreeMap::new(),
            unconfirmed: Vec::new(),
            unread_units: BTreeSet::new(),
            unwritten_ends: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            closed_halls: BTreeSet::new(),
            withdrawals: BTreeMap::new(),
            dirty: BTreeSet::new(),
            agents_to_order: BTreeSet::new(),
            changed: true,
            decisions: Vec::new(),
        }
    }

    /// Sets the accelerators that each client account is guaranteed.
    pub fn set_guarantees(&mut self, guarantees: BTreeMap<SharedStr, i64>) {
        self.guarantees = guarantees;
        self.changed = true;
    }

    /// Sets the halls that are given no new work. Runs there go on; starts
    /// that have not begun are withdrawn.
    pub fn set_closed_halls(&mut self, closed: BTreeSet<SharedStr>) {
        if closed == self.closed_halls {
            return;
        }
        self.closed_halls = closed;
        self.changed = true;
        let agents = self.workers.iter();
        let inside =
            agents.filter(|(_, w)| self.closed_halls.contains(&w.hall));
        let inside =
            inside.map(|(agent, _)| (agent.clone(), StopReason::Closed));
        self.withdrawals.extend(inside);
    }

    /// Returns whether an event since the last pass may change what the next
    /// decides, apart from the passing of time.
    ///
    /// Most reports list nothing new. A planner that runs a pass only on a
    /// change makes about 10 passes a second for 240 workers instead of 240.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Returns whether any progress must be written.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.has_unwritten_ends()
    }

    /// Returns whether orders may have changed since they were last taken.
    pub fn has_changed_orders(&self) -> bool {
        !self.agents_to_order.is_empty()
    }

    /// Returns the jobs that are not over or still occupy resources.
    pub(super) fn live_jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.open_jobs.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns whether the scheduler has a record of a job.
    pub fn has_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the progress of a job.
    pub fn progress(&self, id: &str) -> Option<&Progress> {
        self.jobs.get(id).map(|record| &record.progress)
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    pub(super) fn record_decision(&mut self, decision: Decision) {
        if self.decisions.len() < MAX_DECISIONS {
            self.decisions.push(decision);
        }
    }

    /// Returns the agents whose orders may have changed since the last call.
    pub fn take_agents_to_order(&mut self) -> BTreeSet<AgentId> {
        std::mem::take(&mut self.agents_to_order)
    }

    /// Returns up to `limit` jobs whose progress must be written, each with
    /// its version.
    pub fn take_unwritten(&mut self, limit: usize) -> Vec<ProgressUpdate> {
        let ids: Vec<JobId> = self.dirty.iter().take(limit).cloned().collect();
        ids.iter()
            .filter_map(|id| {
                self.dirty.remove(id);
                let record = self.jobs.get(id)?;
                Some(ProgressUpdate {
                    id: id.clone(),
                    queue: record.job.queue.clone(),
                    version: record.version,
                    progress: record.progress.clone(),
                })
            })
            .collect()
    }

    /// Records that a version of a job's progress is written.
    pub fn mark_written(&mut self, id: &str, version: u64) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        record.written = record.written.max(version);
        let written = record.written;
        for unit in record.units.values() {
            let agents = unit.members().map(|m| m.place.agent.clone());
            self.agents_to_order.extend(agents);
        }
        self.drop_written(id, written);
        self.order_acknowledgements(id, written);
        let over = self.jobs.get(id).is_some_and(JobRecord::is_over);
        if over && self.holds_nothing(id) {
            self.open_jobs.remove(id);
        }
    }

    /// Has the agents ordered that wait for the acknowledgement of ends up to a
    /// written version.
    pub(super) fn order_acknowledgements(&mut self, id: &str, written: u64) {
        for (agent, worker) in &self.workers {
            let waits = worker
                .unacked_ends
                .iter()
                .any(|end| &*end.job == id && end.version <= written);
            if waits {
                self.agents_to_order.insert(agent.clone());
            }
        }
    }

    /// Returns whether every job is over and occupies no resources.
    pub fn is_idle(&self) -> bool {
        self.open_jobs.is_empty()
    }

    /// Returns the jobs that ended before `before` and occupy nothing any
    /// more.
    pub fn ended_before(&self, before: std::time::SystemTime) -> Vec<JobId> {
        let old = |record: &&JobRecord| {
            record.progress.ended.is_some_and(|ended| ended < before)
                && record.written == record.version
        };
        let ids = self.jobs.values().filter(old);
        ids.map(|record| record.job.id.clone())
            .filter(|id| self.holds_nothing(id))
            .collect()
    }

    /// Removes a job whose records are deleted.
    pub fn forget_job(&mut self, id: &str) {
        self.jobs.remove(id);
        self.open_jobs.remove(id);
        self.dirty.remove(id);
        self.unwritten_ends.remove(id);
        self.permissions.retain(|(job, ..), _| &**job != id);
    }

    fn holds_nothing(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|record| {
            record.units.values().all(|u| u.members().next().is_none())
        })
    }

    pub(super) fn mark_dirty(&mut self, id: &str) {
        if let Some(record) = self.jobs.get_mut(id) {
            record.version += 1;
            self.dirty.insert(record.job.id.clone());
        }
    }

    pub(super) fn occupy(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.used = worker.used.plus(charge);
            }
        }
    }

    /// Adds to the resources that are reserved on a worker.
    pub(super) fn reserve_on(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.reserved = worker.reserved.plus(charge);
            }
        }
    }

    pub(super) fn release(&mut self, place: &Place, charge: &Resources) {
        if let Some(worker) = self.workers.get_mut(&place.agent) {
            if worker.life == place.life {
                worker.used = worker.used.minus(charge);
            }
        }
        self.changed = true;
    }

    pub(super) fn succeed_if_done(&mut self, id: &str, now: Timestamp) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        if !record.is_over()
            && !record.job.is_lasting()
            && record.is_all_done()
        {
            self.end_job(id, Outcome::Succeeded, now);
        }
    }

    /// Ends a job and stops its remaining runs.
    pub(super) fn end_job(
        &mut self,
        id: &str,
        outcome: Outcome,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        if record.is_over() {
            return;
        }
        record.progress.outcome = Some(outcome);
        record.progress.ended = Some(now.wall);
        // The remaining members of a gang that is done end by themselves.
        let done = |key: &&UnitKey| {
            let progress = record.progress.units.get(key);
            progress.is_some_and(|progress| progress.done)
        };
        let keys = record.units.keys().filter(|key| !done(key));
        let keys: Vec<UnitKey> = keys.copied().collect();
        for key in keys {
            self.stop_unit(id, &key, StopReason::Over, now);
        }
        self.mark_dirty(id);
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let over = Decision::JobEnded {
            job: record.job.id.clone(),
            account: record.job.account.clone(),
            queue: record.job.queue.clone(),
            outcome,
            took: now.monotonic.saturating_duration_since(record.accepted_at),
            objective: self.objective(record),
        };
        self.record_decision(over);
    }
}

/// A job's progress that must be written.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressUpdate {
    /// The job's name.
    pub id: JobId,
    /// The job's queue.
    pub queue: SharedStr,
    /// The version, to be passed to [`Scheduler::mark_written`].
    pub version: u64,
    /// The progress as of that version.
    pub progress: Progress,
}

//! Guarantees of client accounts, and the urgent work within them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::unit::Phase;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Step;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The time from a reservation to the start of the unit, without stops: the
/// run must be written and the orders sent.
const ORDER_LATENCY: Duration = Duration::from_millis(500);

/// The state of an account's guarantee, for an urgent unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuaranteeStatus {
    /// The accelerators that the account is guaranteed.
    pub guaranteed: i64,
    /// The accelerators that the account's urgent jobs request, except for
    /// those that are over.
    pub needed: i64,
    /// Whether the unit is within the guarantee.
    pub within: bool,
    /// The time left until a unit within the guarantee has to begin, in ms;
    /// below 0 once that is past.
    pub left_ms: i64,
}

/// The accelerators of a pool that are in use or reserved, by kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Urgent work within guarantees.
    pub within: i64,
    /// Urgent work beyond guarantees, which borrows.
    pub borrowed: i64,
    /// All other work.
    pub lower: i64,
}

/// Returns the most accelerators that a step of a job uses.
pub(super) fn accelerators(job: &Job) -> i64 {
    let step =
        |step: &Step| i64::from(step.replicas) * step.resources.accelerators;
    job.steps.iter().map(step).max().unwrap_or(0)
}

impl Scheduler {
    /// Returns the urgent jobs that are not over.
    fn urgent_jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.live_jobs()
            .filter(|record| !record.is_over() && record.job.priority == 0)
    }

    /// Returns the accelerators that each account's urgent jobs request.
    fn demand(&self) -> BTreeMap<&SharedStr, i64> {
        let mut needed = BTreeMap::new();
        for record in self.urgent_jobs() {
            let count = accelerators(&record.job);
            *needed.entry(&record.job.account).or_default() += count;
        }
        needed
    }

    /// Returns the number of accelerators that an account is guaranteed.
    fn guaranteed(&self, account: &SharedStr) -> i64 {
        self.guarantees.get(account).copied().unwrap_or(0)
    }

    /// Determines the urgent jobs within guarantees: for each account the
    /// first jobs that fit, in the order in which they were accepted. Urgent
    /// jobs beyond the guarantee borrow.
    pub(super) fn assign_guarantees(&mut self, now: Timestamp) {
        let mut urgent: Vec<&JobRecord> = self.urgent_jobs().collect();
        urgent.sort_by_key(|record| (record.accepted_at, &record.job.id));
        let mut allotted: BTreeMap<&SharedStr, i64> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for record in urgent {
            let account = &record.job.account;
            let taken = allotted.entry(account).or_default();
            let needed = accelerators(&record.job);
            if *taken + needed <= self.guaranteed(account) {
                *taken += needed;
                within.insert(record.job.id.clone());
            }
        }
        let soon = self.urgent_jobs().filter(|record| {
            !within.contains(&record.job.id)
                && self.is_within_guarantee_soon(record, now)
        });
        let soon: Vec<JobId> =
            soon.map(|record| record.job.id.clone()).collect();
        within.extend(soon);
        self.within_guarantee = within;
    }

    /// Returns whether a job beyond its account's guarantee may come within it
    /// before the job has to have begun, so that room has to be made now. Once
    /// the account's other work has ended, it would be too late for stops.
    fn is_within_guarantee_soon(
        &self,
        record: &JobRecord,
        now: Timestamp,
    ) -> bool {
        let begin_by = record.accepted_at + self.options.reclaim_time;
        if now.monotonic >= begin_by
            || now.monotonic + self.options.stop_time + ORDER_LATENCY
                < begin_by
        {
            return false;
        }
        let account = &record.job.account;
        let others = self.urgent_jobs().filter(|other| {
            other.job.account == *account
                && other.job.id != record.job.id
                && !self.may_be_over(other)
        });
        let others: i64 = others.map(|other| accelerators(&other.job)).sum();
        others + accelerators(&record.job) <= self.guaranteed(account)
    }

    /// Returns whether all of a job may be over within the time of a stop,
    /// because every unit of it has begun.
    fn may_be_over(&self, record: &JobRecord) -> bool {
        let steps = 0..record.job.steps.len();
        let mut open = steps.filter(|step| !record.is_step_done(0, *step));
        let mut units = record.units.values();
        record.job.repeat.is_none()
            && open.all(|step| record.opened_steps.contains(&(0, step)))
            && units.all(|unit| {
                matches!(unit.phase, Phase::Running(_) | Phase::Done)
            })
    }

    /// Returns whether a job was within its account's guarantee at the start
    /// of the present pass.
    pub(super) fn is_within_guarantee(&self, record: &JobRecord) -> bool {
        self.within_guarantee.contains(&record.job.id)
    }

    /// Returns when a unit within its account's guarantee has to begin. For
    /// the first run of a first step the time counts from the acceptance of
    /// the job, otherwise from when the unit became ready.
    pub(super) fn must_begin_by(
        &self,
        record: &JobRecord,
        key: &UnitKey,
    ) -> Instant {
        let progress = record.progress.units.get(key);
        let first = record.job.steps[key.step].after.is_empty()
            && record.job.repeat.is_none()
            && progress.is_none_or(|progress| progress.run <= 1);
        let ready = record.units.get(key).map(|unit| unit.ready_since);
        let since = match ready {
            Some(ready) if !first => ready,
            _ => record.accepted_at,
        };
        since + self.options.reclaim_time
    }

    /// Returns whether any resources of a pool are reserved for units within
    /// guarantees.
    pub(super) fn reserves_for_guarantees(&self, pool: &SharedStr) -> bool {
        let guaranteed = self
            .within_guarantee
            .iter()
            .filter_map(|id| self.jobs.get(id));
        let mut here = guaranteed.filter(|record| record.job.pool == *pool);
        here.any(|record| {
            let mut units = record.units.values();
            units.any(|unit| matches!(unit.phase, Phase::Reserved(_)))
        })
    }

    /// Returns whether any resources of a pool are reserved for urgent units.
    /// Guarantees are for urgent units.
    pub(super) fn reserves_for_urgent(&self, pool: &SharedStr) -> bool {
        let urgent =
            self.urgent_jobs().filter(|record| record.job.pool == *pool);
        let mut units = urgent.flat_map(|record| record.units.values());
        units.any(|unit| matches!(unit.phase, Phase::Reserved(_)))
    }

    /// Returns the latest time at which places must be chosen for a unit
    /// within its account's guarantee, so that it begins in time even if other
    /// runs are stopped for it.
    pub(super) fn latest_decision(
        &self,
        request: &Request,
    ) -> Option<Instant> {
        let record = self.jobs.get(&request.id)?;
        let begin_by = self.must_begin_by(record, &request.key);
        let lead_time = self.options.stop_time + ORDER_LATENCY;
        let last = begin_by.checked_sub(lead_time).unwrap_or(begin_by);
        self.is_within_guarantee(record).then_some(last)
    }

    /// Returns the state of the account's guarantee, if the unit is urgent.
    pub(super) fn guarantee_status(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        now: Timestamp,
    ) -> Option<GuaranteeStatus> {
        if record.job.priority > 0 {
            return None;
        }
        let account = &record.job.account;
        let begin_by = self.must_begin_by(record, key);
        let left = begin_by
            .saturating_duration_since(now.monotonic)
            .as_millis();
        let past = now
            .monotonic
            .saturating_duration_since(begin_by)
            .as_millis();
        Some(GuaranteeStatus {
            guaranteed: self.guaranteed(account),
            needed: self.demand().get(account).copied().unwrap_or(0),
            within: self.is_within_guarantee(record),
            left_ms: left as i64 - past as i64,
        })
    }

    /// Returns how the accelerators of a pool are used.
    pub(super) fn pool_usage(&self, pool: &SharedStr) -> PoolUsage {
        let mut usage = PoolUsage::default();
        for record in
            self.live_jobs().filter(|record| record.job.pool == *pool)
        {
            let held = record.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Running(_) | Phase::Reserved(_))
            });
            let held = held.map(|(key, unit)| {
                let each = record.job.steps[key.step].resources.accelerators;
                each * unit.members().count() as i64
            });
            let held: i64 = held.sum();
            match record.job.priority {
                0 if self.is_within_guarantee(record) => usage.within += held,
                0 => usage.borrowed += held,
                _ => usage.lower += held,
            }
        }
        usage
    }
}

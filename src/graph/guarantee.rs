//! What client accounts are guaranteed, and which urgent work is within it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::place::Request;
use crate::graph::unit::Phase;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Step;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// What it takes beside stops until a unit begins that was given room: the
/// write of its run, and the orders.
const ORDER: Duration = Duration::from_millis(500);

/// How an urgent unit stands to what its account is guaranteed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuaranteeStatus {
    /// The accelerators that the account is guaranteed.
    pub guaranteed: i64,
    /// Those that all of its urgent work asks for which is not over.
    pub needed: i64,
    /// Whether the unit is within the guarantee.
    pub within: bool,
    /// What is left until such a unit has to begin, in ms; below 0 once that
    /// is past.
    pub left_ms: i64,
}

/// Who holds the accelerators of a pool, with those that are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// Urgent work within guarantees.
    pub within: i64,
    /// Urgent work beyond guarantees, which borrows.
    pub borrowed: i64,
    /// All other work.
    pub lower: i64,
}

/// Returns the most accelerators that a step of a job takes.
pub(super) fn accelerators(job: &Job) -> i64 {
    let step =
        |step: &Step| i64::from(step.replicas) * step.resources.accelerators;
    job.steps.iter().map(step).max().unwrap_or(0)
}

impl Scheduler {
    /// Returns the urgent jobs that are not over.
    fn urgent_jobs(&self) -> impl Iterator<Item = &Entry> {
        self.live()
            .filter(|entry| !entry.over() && entry.job.priority == 0)
    }

    /// Returns the accelerators that the urgent work of each account asks
    /// for.
    fn needed(&self) -> BTreeMap<&SharedStr, i64> {
        let mut needed = BTreeMap::new();
        for entry in self.urgent_jobs() {
            let most = accelerators(&entry.job);
            *needed.entry(&entry.job.account).or_default() += most;
        }
        needed
    }

    fn guaranteed(&self, account: &SharedStr) -> i64 {
        self.guarantees.get(account).copied().unwrap_or(0)
    }

    /// Finds the urgent jobs that are within what their accounts are
    /// guaranteed: of each account the first that fit into it, in the order
    /// in which they were accepted. What lies beyond borrows.
    pub(super) fn promise(&mut self, now: Timestamp) {
        let mut urgent: Vec<&Entry> = self.urgent_jobs().collect();
        urgent.sort_by_key(|entry| (entry.accepted, &entry.job.id));
        let mut promised: BTreeMap<&SharedStr, i64> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for entry in urgent {
            let account = &entry.job.account;
            let taken = promised.entry(account).or_default();
            let needed = accelerators(&entry.job);
            if *taken + needed <= self.guaranteed(account) {
                *taken += needed;
                within.insert(entry.job.id.clone());
            }
        }
        let soon = self.urgent_jobs().filter(|entry| {
            !within.contains(&entry.job.id) && self.is_soon(entry, now)
        });
        let soon: Vec<JobId> =
            soon.map(|entry| entry.job.id.clone()).collect();
        within.extend(soon);
        self.promised = within;
    }

    /// Returns whether a job that is beyond its account's guarantee may be
    /// within it by the time it has to have begun, and room for it has to be
    /// made now: once the account's other work has ended it would be too late
    /// for stops.
    fn is_soon(&self, entry: &Entry, now: Timestamp) -> bool {
        let by = entry.accepted + self.terms.reclaim_time;
        if now.monotonic >= by
            || now.monotonic + self.terms.stop_time + ORDER < by
        {
            return false;
        }
        let account = &entry.job.account;
        let others = self.urgent_jobs().filter(|other| {
            other.job.account == *account
                && other.job.id != entry.job.id
                && !self.may_be_over(other)
        });
        let others: i64 = others.map(|other| accelerators(&other.job)).sum();
        others + accelerators(&entry.job) <= self.guaranteed(account)
    }

    /// Returns whether all of a job may be over within a stop: nothing of it
    /// has yet to begin.
    fn may_be_over(&self, entry: &Entry) -> bool {
        let steps = 0..entry.job.steps.len();
        let mut open = steps.filter(|step| !entry.step_done(0, *step));
        let mut units = entry.units.values();
        entry.job.repeat.is_none()
            && open.all(|step| entry.opened.contains(&(0, step)))
            && units.all(|unit| {
                matches!(unit.phase, Phase::Running(_) | Phase::Done)
            })
    }

    /// Returns whether a job was within what its account is guaranteed when
    /// the present pass began.
    pub(super) fn is_promised(&self, entry: &Entry) -> bool {
        self.promised.contains(&entry.job.id)
    }

    /// Returns by when a unit has to begin that is within its account's
    /// guarantee: what has not run yet from when its job was accepted.
    pub(super) fn owed(&self, entry: &Entry, key: &UnitKey) -> Instant {
        let kept = entry.progress.units.get(key);
        let first = entry.job.steps[key.step].after.is_empty()
            && entry.job.repeat.is_none()
            && kept.is_none_or(|kept| kept.run <= 1);
        let ready = entry.units.get(key).map(|unit| unit.ready);
        let since = match ready {
            Some(ready) if !first => ready,
            _ => entry.accepted,
        };
        since + self.terms.reclaim_time
    }

    /// Returns whether room of a pool is kept for units within guarantees.
    pub(super) fn keeps_promised(&self, pool: &SharedStr) -> bool {
        let promised = self.promised.iter().filter_map(|id| self.jobs.get(id));
        let mut here = promised.filter(|entry| entry.job.pool == *pool);
        here.any(|entry| {
            let mut units = entry.units.values();
            units.any(|unit| matches!(unit.phase, Phase::Reserved(_)))
        })
    }

    /// Returns when room for a unit within its account's guarantee has to be
    /// decided on, so that it begins in time though others are stopped for it.
    pub(super) fn last_call(&self, request: &Request) -> Option<Instant> {
        let entry = self.jobs.get(&request.id)?;
        let by = self.owed(entry, &request.key);
        let takes = self.terms.stop_time + ORDER;
        let last = by.checked_sub(takes).unwrap_or(by);
        self.is_promised(entry).then_some(last)
    }

    /// Returns how a unit stands to what its account is guaranteed, if it is
    /// urgent.
    pub(super) fn standing(
        &self,
        entry: &Entry,
        key: &UnitKey,
        now: Timestamp,
    ) -> Option<GuaranteeStatus> {
        if entry.job.priority > 0 {
            return None;
        }
        let account = &entry.job.account;
        let owed = self.owed(entry, key);
        let left = owed.saturating_duration_since(now.monotonic).as_millis();
        let past = now.monotonic.saturating_duration_since(owed).as_millis();
        Some(GuaranteeStatus {
            guaranteed: self.guaranteed(account),
            needed: self.needed().get(account).copied().unwrap_or(0),
            within: self.is_promised(entry),
            left_ms: left as i64 - past as i64,
        })
    }

    /// Returns who holds the accelerators of a pool.
    pub(super) fn holders(&self, pool: &SharedStr) -> Holders {
        let mut holders = Holders::default();
        for entry in self.live().filter(|entry| entry.job.pool == *pool) {
            let held = entry.units.iter().filter(|(_, unit)| {
                matches!(unit.phase, Phase::Running(_) | Phase::Reserved(_))
            });
            let held = held.map(|(key, unit)| {
                let each = entry.job.steps[key.step].resources.accelerators;
                each * unit.members().count() as i64
            });
            let held: i64 = held.sum();
            match entry.job.priority {
                0 if self.is_promised(entry) => holders.within += held,
                0 => holders.borrowed += held,
                _ => holders.lower += held,
            }
        }
        holders
    }
}

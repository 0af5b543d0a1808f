//! How soon units must go on, and what they are told to wait for.
//!
//! The load that the order answers: bursts of twice the urgent gangs that
//! there is room for. By the latest start alone those whose time is past go
//! first, and each takes the room of one that could be in time, until all are
//! late. So they go behind those, the smallest first. What an account is
//! guaranteed goes first however late it is.

use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::place::pack;
use crate::graph::place::Request;
use crate::graph::preempt::cores;
use crate::graph::unit::LoggedWait;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WaitReason;

/// How long after it was told what a unit waits for is looked at again.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// How many times its objective a job takes at most to be of any use.
const USELESS_FACTOR: u32 = 3;

/// What kind of unit waits, what goes first in front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Urgent, and within its account's guarantee.
    Guaranteed,
    /// Urgent, and in time if it starts soon.
    Urgent,
    /// Urgent, and late all the same.
    Late,
    /// Any other.
    Other,
    /// Of no use any more.
    Useless,
}

/// Where a unit stands among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: Class,
    /// Its core-seconds, where the smallest go first.
    size: u64,
    /// By when it would have to start to be in time.
    latest: Instant,
}

impl Scheduler {
    /// Returns where a unit stands among those that wait.
    pub(super) fn rank(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        now: Timestamp,
    ) -> Rank {
        let job = &record.job;
        let (latest, hopeless) = self.deadlines(record, key);
        let first = !self.terms.policy.late_last || now.monotonic <= latest;
        let class = match job.priority {
            // Beside other urgent work it waits behind borrowers that are in
            // a greater hurry, past the time in which it is to begin.
            0 if self.is_within_guarantee(record) => Class::Guaranteed,
            0 if first => Class::Urgent,
            0 => Class::Late,
            _ if now.monotonic >= hopeless => Class::Useless,
            _ => Class::Other,
        };
        let step = &job.steps[key.step];
        let work = cores(&step.charge()) * f64::from(record.member_count(key));
        let work = work * self.expected_time(record, key.step).as_secs_f64();
        let size = match class {
            Class::Late => work as u64,
            _ => 0,
        };
        Rank {
            class,
            size,
            latest,
        }
    }

    /// Returns by when a unit would have to start to be in time, and from
    /// when on it is of no use.
    fn deadlines(
        &self,
        record: &JobRecord,
        key: &UnitKey,
    ) -> (Instant, Instant) {
        let job = &record.job;
        let objective = self.objective(record);
        // Of a job that runs several times, each time counts by itself.
        let late = job.due(key.time).duration_since(job.accepted);
        let due = record.accepted_at + late.unwrap_or_default();
        let latest = due
            + objective.saturating_sub(self.expected_critical_path(record));
        (latest, due + objective * USELESS_FACTOR)
    }

    /// Returns within which a job is to end, as far as its runs tell.
    pub(super) fn objective(&self, record: &JobRecord) -> Duration {
        let stretch = record.job.stretch.max(1.0);
        self.expected_critical_path(record).mul_f64(stretch)
            + record.job.target
    }

    /// Returns the longest chain of expected work through a job's steps.
    pub(super) fn expected_critical_path(
        &self,
        record: &JobRecord,
    ) -> Duration {
        record
            .job
            .critical_path(|step| self.expected_time(record, step))
    }

    /// Returns what is left until a unit would have to start, in ms; below
    /// 0 once that is past.
    pub(super) fn slack(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        now: Timestamp,
    ) -> i64 {
        let (latest, _) = self.deadlines(record, key);
        let left = latest.saturating_duration_since(now.monotonic).as_millis();
        let past = now.monotonic.saturating_duration_since(latest).as_millis();
        left as i64 - past as i64
    }

    /// Tells what a unit waits for, unless that was told already; `preemption_cost` is
    /// what stopping others for it would throw away.
    pub(super) fn record_wait(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        preemption_cost: Option<f64>,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = record.units.get(key) else {
            return;
        };
        if unit.logged_wait.is_some_and(|decision| {
            now.monotonic < decision.at + WAIT_CHECK_INTERVAL
        }) {
            return;
        }
        let expected = self.expected_time(record, key.step);
        let request = Request::new(record, key, unit, expected);
        let candidates = self.candidates(&request, now);
        let workers = candidates.len();
        let reason = match candidates.is_empty() {
            true => WaitReason::Worker,
            false if pack(&request, candidates).is_some() => WaitReason::Rack,
            false => WaitReason::Room,
        };
        let standing = self.standing(record, key, now);
        let within = standing.is_some_and(|standing| standing.within);
        let decision = unit
            .logged_wait
            .filter(|decision| decision.within == within);
        let news = decision.is_none_or(|decision| decision.reason != reason);
        let lacks = news && reason != WaitReason::Worker;
        let decision = Decision::Waiting {
            subject: record.subject(key),
            reason,
            slack_ms: self.slack(record, key, now),
            workers,
            standing,
            shortage: lacks
                .then(|| self.shortage(&request, preemption_cost, now)),
        };
        let record = self.jobs.get_mut(id);
        let unit = record.and_then(|e| e.units.get_mut(key));
        if let Some(unit) = unit {
            unit.logged_wait = Some(LoggedWait {
                reason,
                within,
                at: now.monotonic,
            });
        }
        if news {
            self.record_decision(decision);
        }
    }
}

//! The order of waiting units, and the reasons for which they wait.
//!
//! The order is made for bursts of twice as many urgent gangs as there is room
//! for. If units were ordered by latest start alone, those that are already
//! late would come first, and each would take the place of one that could
//! still be in time, until all are late. Late units therefore wait behind the
//! others, the smallest first. So that a wide one is not passed over for ever,
//! it goes ahead of other late ones once twice its objective has passed. Units
//! within a guarantee come first however late they are.

use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::objective::Outline;
use crate::graph::place::pack;
use crate::graph::preempt::cores;
use crate::graph::shortage::Wait;
use crate::graph::unit::LoggedWait;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WaitReason;

/// How long after a check the reason for which a unit waits is checked again.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// The multiple of its objective after which a job is of no use any more.
const USELESS_FACTOR: u32 = 3;
/// The multiple of its objective after which a late urgent unit goes ahead of
/// other late ones.
const OVERDUE_FACTOR: u32 = 2;

/// How far apart the latest starts of units may be that are about equally
/// urgent: less than a stop takes, so that none becomes late by it.
const CLOSE_STARTS: Duration = Duration::from_millis(250);

/// The class of a waiting unit; lower classes are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Urgent, and within the account's guarantee.
    Guaranteed,
    /// Urgent, and in time if it starts soon.
    Urgent,
    /// Urgent, and late for so long that it goes ahead of others that are late.
    Overdue,
    /// Urgent, and late whenever it starts.
    Late,
    /// Not urgent.
    Other,
    /// Not urgent, and too late to be of use.
    Useless,
}

/// The rank of a waiting unit; lower ranks are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub class: Class,
    /// The unit's core-seconds if the smallest units go first, otherwise 0.
    size: u64,
    /// The latest start at which the unit is in time, or when it became
    /// overdue.
    latest: Instant,
}

impl Rank {
    /// Returns whether another unit, which comes later in the order of ranks,
    /// is about as urgent.
    pub(super) fn is_close(&self, later: &Rank) -> bool {
        let apart = later.latest.saturating_duration_since(self.latest);
        self.class == later.class
            && self.size == later.size
            && apart <= CLOSE_STARTS
    }

    /// Returns whether the unit is not urgent, but of use.
    pub(super) fn is_of_lower_priority(&self) -> bool {
        self.class == Class::Other
    }

    /// Returns whether the unit may still wait and be in time.
    pub(super) fn has_slack(&self, now: Timestamp) -> bool {
        self.latest > now.monotonic
    }
}

/// The times after which a unit is less worth starting.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    /// The latest start at which the unit is in time.
    latest: Instant,
    /// When the unit, if urgent, goes ahead of others that are late.
    overdue: Instant,
    /// When the unit, if not urgent, is of no use any more.
    useless: Instant,
}

impl Scheduler {
    /// Returns the rank of a waiting unit, from the outline of its repetition.
    pub(super) fn rank(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        outline: &Outline,
        now: Timestamp,
    ) -> Rank {
        let job = &record.job;
        let policy = &self.options.policy;
        let deadlines = self.deadlines(record, key, outline);
        let first = !policy.late_last || now.monotonic <= deadlines.latest;
        let overdue = policy.late_turn && now.monotonic >= deadlines.overdue;
        let class = match job.priority {
            // Ranked by latest start alone, such a unit would wait behind
            // borrowing units in a greater hurry, beyond the time within which
            // it has to begin.
            0 if self.is_within_guarantee(record) => Class::Guaranteed,
            0 if first => Class::Urgent,
            0 if overdue => Class::Overdue,
            0 => Class::Late,
            _ if now.monotonic >= deadlines.useless => Class::Useless,
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
            latest: match class {
                Class::Overdue => deadlines.overdue,
                _ => deadlines.latest,
            },
        }
    }

    /// Returns the deadlines of a unit, from the outline of its repetition.
    fn deadlines(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        outline: &Outline,
    ) -> Deadlines {
        let job = &record.job;
        // Each repetition of a job is timed from when it is due.
        let late = job.due(key.time).duration_since(job.accepted);
        let due = record.accepted_at + late.unwrap_or_default();
        let objective = outline.objective;
        let needs = outline.remaining(record, key);
        Deadlines {
            latest: due + objective.saturating_sub(needs),
            overdue: due + objective * OVERDUE_FACTOR,
            useless: due + objective * USELESS_FACTOR,
        }
    }

    /// Returns the time left until a unit's latest start, in ms; below 0 once
    /// that is past.
    pub(super) fn slack_ms(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        now: Timestamp,
    ) -> i64 {
        let outline = self.outline(record, key.time);
        let latest = self.deadlines(record, key, &outline).latest;
        let left = latest.saturating_duration_since(now.monotonic).as_millis();
        let past = now.monotonic.saturating_duration_since(latest).as_millis();
        left as i64 - past as i64
    }

    /// Returns why a unit waits, to be recorded at the end of the pass, unless
    /// that is already recorded. `preemption_cost` is the work that stopping
    /// other runs for the unit would lose.
    pub(super) fn note_wait(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        preemption_cost: Option<f64>,
        now: Timestamp,
    ) -> Option<Wait> {
        let record = self.jobs.get(id)?;
        let unit = record.units.get(key)?;
        if unit.logged_wait.is_some_and(|logged| {
            now.monotonic < logged.checked_at + WAIT_CHECK_INTERVAL
        }) {
            return None;
        }
        let request = self.request(record, key, unit, now);
        let candidates = self.candidates(&request, now);
        let workers = candidates.len();
        let reason = match candidates.is_empty() {
            true => WaitReason::Worker,
            false if pack(&request, candidates).is_some() => WaitReason::Rack,
            false => WaitReason::Room,
        };
        let guarantee = self.guarantee_status(record, key, now);
        let within = guarantee.is_some_and(|guarantee| guarantee.within);
        let logged = unit
            .logged_wait
            .filter(|logged| logged.within_guarantee == within);
        let news = logged.is_none_or(|logged| logged.reason != reason);
        let lacks = news && reason != WaitReason::Worker;
        let shortage =
            lacks.then(|| self.shortage(&request, preemption_cost, now));
        let decision = Decision::Waiting {
            subject: record.subject(key),
            reason,
            slack_ms: self.slack_ms(record, key, now),
            workers,
            guarantee,
            share: self.account_share(&record.job.pool, &record.job.account),
            shortage,
            holders: Vec::new(),
        };
        let record = self.jobs.get_mut(id);
        let unit = record.and_then(|e| e.units.get_mut(key));
        if let Some(unit) = unit {
            unit.logged_wait = Some(LoggedWait {
                reason,
                within_guarantee: within,
                checked_at: now.monotonic,
            });
        }
        news.then_some(Wait { decision, request })
    }
}

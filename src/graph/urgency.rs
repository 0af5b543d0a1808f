//! How soon units must go on, and what they are told to wait for.
//!
//! The load that the order answers: bursts of twice the urgent gangs that
//! there is room for. By the latest start alone those whose time is past go
//! first, and each takes the room of one that could be in time, until all are
//! late. So they go behind those, the smallest first. What an account is
//! guaranteed goes first however late it is.

use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::place::fill;
use crate::graph::place::Request;
use crate::graph::preempt::cores;
use crate::graph::unit::Told;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WaitReason;

/// How long after it was told what a unit waits for is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(1000);

/// How many times its objective a job takes at most to be of any use.
const USELESS: u32 = 3;

/// What kind of unit waits, what goes first in front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Urgent, and within its account's guarantee.
    Promised,
    /// Urgent, and in time if it starts soon.
    Urgent,
    /// Urgent, and late all the same.
    Late,
    /// Any other.
    Other,
    /// Of no use any more.
    Hopeless,
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
        entry: &Entry,
        key: &UnitKey,
        now: Timestamp,
    ) -> Rank {
        let job = &entry.job;
        let (latest, hopeless) = self.due(entry, key);
        let first = !self.terms.policy.late_last || now.monotonic <= latest;
        let class = match job.priority {
            // Beside other urgent work it waits behind borrowers that are in
            // a greater hurry, past the time in which it is to begin.
            0 if self.is_promised(entry) => Class::Promised,
            0 if first => Class::Urgent,
            0 => Class::Late,
            _ if now.monotonic >= hopeless => Class::Hopeless,
            _ => Class::Other,
        };
        let step = &job.steps[key.step];
        let work = cores(&step.charge()) * f64::from(entry.width(key));
        let work = work * self.expect(entry, key.step).as_secs_f64();
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
    fn due(&self, entry: &Entry, key: &UnitKey) -> (Instant, Instant) {
        let job = &entry.job;
        let objective = self.objective(entry);
        // Of a job that runs several times, each time counts by itself.
        let late = job.due(key.time).duration_since(job.accepted);
        let due = entry.accepted + late.unwrap_or_default();
        let latest = due + objective.saturating_sub(self.chain(entry));
        (latest, due + objective * USELESS)
    }

    /// Returns within which a job is to end, as far as its runs tell.
    pub(super) fn objective(&self, entry: &Entry) -> Duration {
        let stretch = entry.job.stretch.max(1.0);
        self.chain(entry).mul_f64(stretch) + entry.job.target
    }

    /// Returns the longest chain of expected work through a job's steps.
    pub(super) fn chain(&self, entry: &Entry) -> Duration {
        entry.job.critical_path(|step| self.expect(entry, step))
    }

    /// Returns what is left until a unit would have to start, in ms; below
    /// 0 once that is past.
    pub(super) fn slack(
        &self,
        entry: &Entry,
        key: &UnitKey,
        now: Timestamp,
    ) -> i64 {
        let (latest, _) = self.due(entry, key);
        let left = latest.saturating_duration_since(now.monotonic).as_millis();
        let past = now.monotonic.saturating_duration_since(latest).as_millis();
        left as i64 - past as i64
    }

    /// Tells what a unit waits for, unless that was told already; `dear` is
    /// what stopping others for it would throw away.
    pub(super) fn tell_wait(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        dear: Option<f64>,
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = entry.units.get(key) else {
            return;
        };
        if unit
            .waits
            .is_some_and(|told| now.monotonic < told.at + LOOK_AGAIN)
        {
            return;
        }
        let expected = self.expect(entry, key.step);
        let request = Request::new(entry, key, unit, expected);
        let candidates = self.candidates(&request, now);
        let workers = candidates.len();
        let what = match candidates.is_empty() {
            true => WaitReason::Worker,
            false if fill(&request, candidates).is_some() => WaitReason::Rack,
            false => WaitReason::Room,
        };
        let standing = self.standing(entry, key, now);
        let within = standing.is_some_and(|standing| standing.within);
        let told = unit.waits.filter(|told| told.within == within);
        let news = told.is_none_or(|told| told.what != what);
        let lacks = news && what != WaitReason::Worker;
        let told = Decision::Waiting {
            of: entry.subject(key),
            what,
            slack: self.slack(entry, key, now),
            workers,
            standing,
            shortage: lacks.then(|| self.shortage(&request, dear, now)),
        };
        let entry = self.jobs.get_mut(id);
        let unit = entry.and_then(|e| e.units.get_mut(key));
        if let Some(unit) = unit {
            unit.waits = Some(Told {
                what,
                within,
                at: now.monotonic,
            });
        }
        if news {
            self.note(told);
        }
    }
}

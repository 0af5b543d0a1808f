//! How soon units must go on, and what they are told to wait for.

use std::time::Duration;
use std::time::Instant;

use crate::graph::entry::Entry;
use crate::graph::place::fill;
use crate::graph::place::Request;
use crate::graph::Book;
use crate::graph::Decision;
use crate::graph::Id;
use crate::graph::Moment;
use crate::graph::UnitKey;
use crate::graph::Wait;

/// How long after it was told what a unit waits for is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(1000);

impl Book {
    /// Returns how soon a unit must go on.
    pub(super) fn urgency(
        &self,
        entry: &Entry,
        key: &UnitKey,
        now: Moment,
    ) -> (u8, Instant) {
        let job = &entry.job;
        let chain = self.chain(entry);
        let objective = self.objective(entry);
        // Of a job that runs several times, each time counts by itself.
        let late = job.due(key.time).duration_since(job.accepted);
        let due = entry.accepted + late.unwrap_or_default();
        let latest = due + objective.saturating_sub(chain);
        let hopeless = due + objective * 3;
        let class = match job.priority {
            0 => 0,
            _ if now.now >= hopeless => 2,
            _ => 1,
        };
        (class, latest)
    }

    /// Returns within which a job is to end, as far as its runs tell.
    pub(super) fn objective(&self, entry: &Entry) -> Duration {
        let stretch = entry.job.stretch.max(1.0);
        self.chain(entry).mul_f64(stretch) + entry.job.target
    }

    /// Returns the longest chain of expected work through a job's steps.
    pub(super) fn chain(&self, entry: &Entry) -> Duration {
        entry.job.chain(|step| self.expect(entry, step))
    }

    /// Returns what is left until a unit would have to start, in ms; below
    /// 0 once that is past.
    pub(super) fn slack(
        &self,
        entry: &Entry,
        key: &UnitKey,
        now: Moment,
    ) -> i64 {
        let (_, latest) = self.urgency(entry, key, now);
        let left = latest.saturating_duration_since(now.now).as_millis();
        let past = now.now.saturating_duration_since(latest).as_millis();
        left as i64 - past as i64
    }

    /// Tells what a unit waits for, unless that was told already; `dear` is
    /// what stopping others for it would throw away.
    pub(super) fn tell_wait(
        &mut self,
        id: &Id,
        key: &UnitKey,
        dear: Option<f64>,
        now: Moment,
    ) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = entry.units.get(key) else {
            return;
        };
        if unit.waits.is_some_and(|(_, at)| now.now < at + LOOK_AGAIN) {
            return;
        }
        let expected = self.expect(entry, key.step);
        let request = Request::new(entry, key, unit, expected);
        let candidates = self.candidates(&request, now);
        let workers = candidates.len();
        let what = match candidates.is_empty() {
            true => Wait::Worker,
            false if fill(&request, candidates).is_some() => Wait::Rack,
            false => Wait::Room,
        };
        let news = unit.waits.is_none_or(|(told, _)| told != what);
        let lacks = news && what != Wait::Worker;
        let told = Decision::Waits {
            of: entry.subject(key),
            what,
            slack: self.slack(entry, key, now),
            workers,
            shortage: lacks.then(|| self.shortage(&request, dear, now)),
        };
        let entry = self.jobs.get_mut(id);
        let unit = entry.and_then(|e| e.units.get_mut(key));
        if let Some(unit) = unit {
            unit.waits = Some((what, now.now));
        }
        if news {
            self.note(told);
        }
    }
}

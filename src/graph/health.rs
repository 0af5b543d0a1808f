//! Quarantine of workers on which runs fail.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::JobId;
use crate::graph::UnitKey;

/// The number of failures in a row that put a worker in quarantine.
const FAILURES_TO_QUARANTINE: usize = 2;
/// The length of a worker's first quarantine; each further one is twice as
/// long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(4);
/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(60);

/// How long a task that lasts must have run before its failure no longer counts
/// against its worker: such tasks may fail at any time.
pub(super) const LASTED_WELL: Duration = FIRST_QUARANTINE;

/// The recent failures of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// The units that failed since the last success.
    failures: Vec<(JobId, UnitKey)>,
    /// The number of quarantines since the last success.
    quarantines: u32,
    /// The end of the last quarantine.
    quarantined_until: Option<Instant>,
}

impl Health {
    /// Records a run that was done, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records a run that failed; returns whether the worker is newly
    /// quarantined.
    ///
    /// Several failures of one job count once, because the job may be at
    /// fault. They all count if `only_here` is set: the job has then failed on
    /// no other worker.
    pub fn record_failure(
        &mut self,
        job: &JobId,
        key: &UnitKey,
        only_here: bool,
        now: Instant,
    ) -> bool {
        let failed = (job.clone(), *key);
        if !self.failures.contains(&failed) {
            self.failures.push(failed);
        }
        let jobs: BTreeSet<&JobId> =
            self.failures.iter().map(|f| &f.0).collect();
        let evidence = match only_here {
            true => self.failures.len(),
            false => jobs.len(),
        };
        evidence >= FAILURES_TO_QUARANTINE && self.quarantine(now)
    }

    /// Records a run that made no progress, or a worker that accepts nothing;
    /// returns whether the worker is newly quarantined.
    pub fn record_stuck(&mut self, now: Instant) -> bool {
        self.quarantine(now)
    }

    /// Returns whether the worker is in quarantine.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns the time left in quarantine.
    pub fn quarantine_left(&self, now: Instant) -> Duration {
        let left = self
            .quarantined_until
            .map(|u| u.saturating_duration_since(now));
        left.unwrap_or_default()
    }

    /// Returns the units that failed since the last success.
    pub fn failed_units(&self) -> &[(JobId, UnitKey)] {
        &self.failures
    }

    /// Returns the number of units that failed since the last success.
    pub fn failure_count(&self) -> usize {
        self.failures.len()
    }

    fn quarantine(&mut self, now: Instant) -> bool {
        if self.is_quarantined(now) {
            return false;
        }
        let time = FIRST_QUARANTINE * 2u32.pow(self.quarantines.min(8));
        self.quarantined_until = Some(now + time.min(MAX_QUARANTINE));
        self.quarantines += 1;
        true
    }
}

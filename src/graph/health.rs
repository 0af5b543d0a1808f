//! Whether a worker can be trusted with work.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::JobId;
use crate::graph::UnitKey;

/// How many must fail in a row before a worker is kept apart.
const FAILURES_TO_QUARANTINE: usize = 2;
/// How long a worker is kept apart at first; it doubles each time.
const FIRST_QUARANTINE: Duration = Duration::from_secs(4);
/// The longest that a worker is kept apart.
const MAX_QUARANTINE: Duration = Duration::from_secs(60);

/// What speaks for and evidence a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// The units that failed since the last that was done.
    failures: Vec<(JobId, UnitKey)>,
    /// How often it was kept apart since the last that was done.
    quarantines: u32,
    /// Until when it is kept apart.
    quarantined_until: Option<Instant>,
}

impl Health {
    /// Takes note of a run that was done.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Takes note of a run that failed; returns whether the worker is now
    /// kept apart. Failures of one job speak evidence the job, unless it has
    /// failed nowhere else: that is what `only_here` says.
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

    /// Takes note of a run that stood still.
    pub fn record_stuck(&mut self, now: Instant) -> bool {
        self.quarantine(now)
    }

    /// Returns whether the worker is kept apart.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns how much longer the worker is kept apart.
    pub fn quarantine_left(&self, now: Instant) -> Duration {
        let left = self
            .quarantined_until
            .map(|u| u.saturating_duration_since(now));
        left.unwrap_or_default()
    }

    /// Returns how many units failed since the last that was done.
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

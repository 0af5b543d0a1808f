//! Whether a worker can be trusted with work.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::JobId;
use crate::graph::UnitKey;

/// How many must fail in a row before a worker is kept apart.
const FAILURES: usize = 2;
/// How long a worker is kept apart at first; it doubles each time.
const APART: Duration = Duration::from_secs(4);
/// The longest that a worker is kept apart.
const LONGEST: Duration = Duration::from_secs(60);

/// What speaks for and against a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// The units that failed since the last that was done.
    failed: Vec<(JobId, UnitKey)>,
    /// How often it was kept apart since the last that was done.
    times: u32,
    /// Until when it is kept apart.
    until: Option<Instant>,
}

impl Health {
    /// Takes note of a run that was done.
    pub fn done(&mut self) {
        *self = Health::default();
    }

    /// Takes note of a run that failed; returns whether the worker is now
    /// kept apart. Failures of one job speak against the job, unless it has
    /// failed nowhere else: that is what `only_here` says.
    pub fn failed(
        &mut self,
        job: &JobId,
        key: &UnitKey,
        only_here: bool,
        now: Instant,
    ) -> bool {
        let failed = (job.clone(), *key);
        if !self.failed.contains(&failed) {
            self.failed.push(failed);
        }
        let jobs: BTreeSet<&JobId> =
            self.failed.iter().map(|f| &f.0).collect();
        let against = match only_here {
            true => self.failed.len(),
            false => jobs.len(),
        };
        against >= FAILURES && self.set_apart(now)
    }

    /// Takes note of a run that stood still.
    pub fn stuck(&mut self, now: Instant) -> bool {
        self.set_apart(now)
    }

    /// Returns whether the worker is kept apart.
    pub fn apart(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns how much longer the worker is kept apart.
    pub fn apart_for(&self, now: Instant) -> Duration {
        let left = self.until.map(|u| u.saturating_duration_since(now));
        left.unwrap_or_default()
    }

    /// Returns how many units failed since the last that was done.
    pub fn doubt(&self) -> usize {
        self.failed.len()
    }

    fn set_apart(&mut self, now: Instant) -> bool {
        if self.apart(now) {
            return false;
        }
        let apart = APART * 2u32.pow(self.times.min(8));
        self.until = Some(now + apart.min(LONGEST));
        self.times += 1;
        true
    }
}

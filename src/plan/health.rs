//! Telling a bad worker from a bad job.
//!
//! A failure speaks against the worker when the job's template has run to
//! its end before, and against the job when it has failed on several
//! workers that others run well on. A worker under suspicion is
//! quarantined, then offered one repeatable job at a time until a run
//! lasts.

use std::time::Duration;
use std::time::SystemTime;

use crate::job;

/// How long the first quarantine lasts.
const FIRST_QUARANTINE: Duration = Duration::from_secs(20);
/// The longest that a quarantine lasts.
const MAX_QUARANTINE: Duration = Duration::from_secs(15 * 60);
/// How long a run must last to clear its worker.
pub const MIN_PROBE_RUN: Duration = Duration::from_secs(30);
/// On how many workers that others run well on a job may fail.
pub const MAX_FAILED_WORKERS: usize = 4;

/// What is thought of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Health {
    /// Nothing speaks against it.
    #[default]
    Good,
    /// One failure may have been the worker's.
    Suspect {
        /// The job whose failure it was.
        job: job::Id,
    },
    /// It gets no work until the deadline, then one job to prove itself.
    Quarantined {
        /// When it may be probed.
        until: SystemTime,
        /// How many quarantines came right after each other.
        round: u32,
        /// The job that probes it.
        probe: Option<job::Id>,
    },
}

impl Health {
    /// Returns whether any work may be placed here without a thought.
    pub fn is_in_service(&self) -> bool {
        !matches!(self, Health::Quarantined { .. })
    }

    /// Returns whether a probe may be placed here now.
    pub fn is_probe_due(&self, now: SystemTime) -> bool {
        matches!(self, Health::Quarantined { until, probe: None, .. }
            if *until <= now)
    }

    /// Returns when a probe may be placed here, if one is waited for.
    pub fn probe_due_at(&self) -> Option<SystemTime> {
        match self {
            Health::Quarantined {
                until, probe: None, ..
            } => Some(*until),
            _ => None,
        }
    }

    /// Takes in that `job` failed here; `proven` if its template runs well
    /// elsewhere. Returns whether the worker has just gone out of service.
    pub fn record_failure(
        &mut self,
        job: &job::Id,
        proven: bool,
        now: SystemTime,
    ) -> bool {
        let was_good = self.is_in_service();
        let next = match self {
            Health::Quarantined { round, .. } => quarantine(*round + 1, now),
            Health::Suspect { job } if job != job => quarantine(0, now),
            _ if proven => quarantine(0, now),
            _ => Health::Suspect { job: job.clone() },
        };
        *self = next;
        was_good && !self.is_in_service()
    }

    /// Takes in that a run here lasted. Returns whether the worker has just
    /// come back into service.
    pub fn record_success(&mut self) -> bool {
        let was_good = self.is_in_service();
        *self = Health::Good;
        !was_good
    }
}

fn quarantine(round: u32, now: SystemTime) -> Health {
    let length = FIRST_QUARANTINE
        .saturating_mul(1 << round.min(10))
        .min(MAX_QUARANTINE);
    Health::Quarantined {
        until: now + length,
        round,
        probe: None,
    }
}

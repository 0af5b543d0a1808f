//! Distinguishes bad workers from bad jobs.
//!
//! A failure counts against the worker if the job's template has run to its
//! end before, and against the job if it has failed on several workers on
//! which others run well. A suspect worker is quarantined, then offered one
//! repeatable job at a time until a run lasts.

use std::time::Duration;
use std::time::SystemTime;

use crate::job;

/// The length of the first quarantine; each one that directly follows is twice
/// as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(20);
/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(15 * 60);
/// How long a probe must run to restore its worker.
pub const MIN_PROBE_RUN: Duration = Duration::from_secs(30);
/// The number of workers in service on which a job may fail; a failure on as
/// many ends the job.
pub const MAX_FAILED_WORKERS: usize = 4;

/// The health of a worker, as judged by its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Health {
    /// No failure counts against the worker.
    #[default]
    Good,
    /// One failure may have been the worker's.
    Suspect {
        /// The job that failed.
        job: job::Id,
    },
    /// The worker gets no work until the deadline, then one job as a probe.
    Quarantined {
        /// When a probe may start.
        until: SystemTime,
        /// How many quarantines directly preceded this one.
        round: u32,
        /// The job that probes the worker.
        probe: Option<job::Id>,
    },
}

impl Health {
    /// Returns whether the worker is not quarantined.
    pub fn is_in_service(&self) -> bool {
        !matches!(self, Health::Quarantined { .. })
    }

    /// Returns whether a probe may start here now.
    pub fn is_probe_due(&self, now: SystemTime) -> bool {
        matches!(self, Health::Quarantined { until, probe: None, .. }
            if *until <= now)
    }

    /// Returns when a probe may start here, if none has started.
    pub fn probe_due_at(&self) -> Option<SystemTime> {
        match self {
            Health::Quarantined {
                until, probe: None, ..
            } => Some(*until),
            _ => None,
        }
    }

    /// Records that `job` failed here; `proven` says that its template has run
    /// to its end before. Returns whether the worker has just gone out of
    /// service.
    pub fn record_failure(
        &mut self,
        job: &job::Id,
        proven: bool,
        now: SystemTime,
    ) -> bool {
        let was_in_service = self.is_in_service();
        let next = match self {
            Health::Quarantined { round, .. } => quarantine(*round + 1, now),
            Health::Suspect { job: suspect } if suspect != job => {
                quarantine(0, now)
            }
            _ if proven => quarantine(0, now),
            _ => Health::Suspect { job: job.clone() },
        };
        *self = next;
        was_in_service && !self.is_in_service()
    }

    /// Records that a run here lasted. Returns whether the worker has just
    /// come back into service.
    pub fn record_success(&mut self) -> bool {
        let was_in_service = self.is_in_service();
        *self = Health::Good;
        !was_in_service
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

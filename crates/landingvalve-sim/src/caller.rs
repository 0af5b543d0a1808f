//! Simulated callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use landingvalve::cell::relay::Relay;
use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::graph::Job;
use tokio::time::Instant;

use crate::invariants::Checker;
use crate::lock;
use crate::store;

/// Time after which a caller's call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Number of times that a caller tries to submit its job.
const MAX_SUBMIT_ATTEMPTS: u32 = 6;

/// Admission of each entry that is up, by the entry's number.
pub type Admissions =
    Arc<Mutex<BTreeMap<usize, Admission<Relay<store::Client>>>>>;

/// When a caller cancels its job.
#[derive(Clone, Copy, Debug)]
pub struct Cancels {
    /// How long after the acceptance.
    pub after_acceptance: Option<Duration>,
    /// How long after the first submission, without regard to answers.
    pub early: Option<Duration>,
}

/// A caller that submits a job and polls it until it has ended.
#[derive(Clone)]
pub struct Caller {
    /// The job.
    pub job: Job,
    /// Checks what the caller observes.
    pub checker: Checker,
    /// Draws the entries that are called.
    pub random: fastrand::Rng,
    /// When the job is cancelled.
    pub cancels: Cancels,
    /// When the caller gives up.
    pub until: Instant,
    /// The entries' admissions.
    pub admissions: Admissions,
}

impl Caller {
    /// Submits the job, and polls and cancels it as planned.
    pub async fn run(mut self) {
        let canceller = self.clone();
        let cancelling = async move {
            if let Some(after) = self.cancels.early {
                tokio::time::sleep(after).await;
                canceller.cancel_until_answered().await;
            }
        };
        let submitting = async move {
            if self.submit().await {
                self.follow().await;
            }
        };
        tokio::join!(submitting, cancelling);
    }

    /// Polls the accepted job, and cancels it when that is due.
    async fn follow(mut self) {
        let id = self.job.id.clone();
        self.checker.record_acceptance(&id);
        let accepted_at = Instant::now();
        while Instant::now() < self.until {
            tokio::time::sleep(Duration::from_millis(400)).await;
            let Some(admission) = self.pick_admission() else {
                continue;
            };
            let deadline = Instant::now() + CALL_TIMEOUT;
            if self
                .cancels
                .after_acceptance
                .is_some_and(|after| accepted_at.elapsed() >= after)
            {
                self.checker.record_cancel_sent(&id);
                let cancelled = admission.cancel(&id, deadline);
                let result =
                    tokio::time::timeout(CALL_TIMEOUT, cancelled).await;
                if let Ok(Ok(found)) = result {
                    self.checker.record_cancellation(&id, found);
                    self.cancels.after_acceptance = None;
                }
            }
            let stage = admission.stage(&id, deadline);
            let stage = tokio::time::timeout(CALL_TIMEOUT, stage).await;
            if let Ok(Ok(stage)) = stage {
                self.checker.record_stage(&id, stage);
                if matches!(stage, Some(landingvalve::cell::Stage::Ended(_))) {
                    return;
                }
            }
        }
    }

    /// Cancels the job at one entry after the other until one has answered,
    /// whether or not it knows the job.
    async fn cancel_until_answered(mut self) {
        let id = self.job.id.clone();
        while Instant::now() < self.until {
            if let Some(admission) = self.pick_admission() {
                let deadline = Instant::now() + CALL_TIMEOUT;
                self.checker.record_cancel_sent(&id);
                let cancelled = admission.cancel(&id, deadline);
                let result =
                    tokio::time::timeout(CALL_TIMEOUT, cancelled).await;
                if let Ok(Ok(found)) = result {
                    self.checker.record_cancellation(&id, found);
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    }

    async fn submit(&mut self) -> bool {
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            if let Some(admission) = self.pick_admission() {
                let deadline = Instant::now() + CALL_TIMEOUT;
                let submitted = admission.submit(&self.job, deadline);
                let result =
                    tokio::time::timeout(CALL_TIMEOUT, submitted).await;
                if let Ok(Submitted::Accepted) = result {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        false
    }

    fn pick_admission(&mut self) -> Option<Admission<Relay<store::Client>>> {
        let admissions = lock(&self.admissions);
        let at = (!admissions.is_empty())
            .then(|| self.random.usize(..admissions.len()))?;
        admissions.values().nth(at).cloned()
    }
}

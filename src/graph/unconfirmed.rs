//! Losses of workers that may only be unreachable.
//!
//! The answer of a worker's machine, or the next life on it, distinguishes a
//! worker whose process is down from one that is cut off. Tasks are not at
//! fault if their worker is cut off: a job must not be failed for that,
//! although its tasks begin elsewhere. A loss therefore counts only once it is
//! confirmed.

use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Loss;
use crate::graph::Outcome;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::WorkerReport;

/// How long a worker must stay silent, after its runs were given up to begin
/// elsewhere, before its loss is confirmed without other evidence. Without
/// this limit a task that takes down VMs along with their agents would be
/// tried on one VM after the other.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A loss of a worker that may still be there.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedLoss {
    place: Place,
    job: JobId,
    key: UnitKey,
    /// The index of the task that ran on the worker.
    index: u32,
    /// How long the task is known to have run.
    ran: Duration,
    /// When the loss is confirmed by time, or `None` once it is confirmed.
    confirm_at: Option<Instant>,
}

impl Scheduler {
    /// Records that a member's worker may be lost. The loss is counted once it
    /// is confirmed.
    pub(super) fn defer_loss(
        &mut self,
        id: &str,
        key: &UnitKey,
        member: &Member,
        now: Timestamp,
    ) {
        let never_began =
            !member.sent || self.had_begun(id, key, member) == Some(false);
        let Some(job) = self.jobs.get(id).map(|record| record.job.id.clone())
        else {
            return;
        };
        if never_began || !self.add_unconfirmed(id, key, member) {
            return;
        }
        self.unconfirmed.push(UnconfirmedLoss {
            place: member.place.clone(),
            job,
            key: *key,
            index: member.index,
            ran: member.ran_for(),
            confirm_at: Some(now.monotonic + CONFIRMATION_TIMEOUT),
        });
    }

    /// Takes over a job's unconfirmed losses from the planner before, which
    /// may not have learned more about them.
    pub(super) fn adopt_unconfirmed(
        &mut self,
        record: &JobRecord,
        now: Timestamp,
    ) {
        for (key, progress) in &record.progress.units {
            for (index, loss) in &progress.lost {
                let losses = loss.silent.iter().map(|place| UnconfirmedLoss {
                    place: place.clone(),
                    job: record.job.id.clone(),
                    key: *key,
                    index: *index,
                    ran: Duration::ZERO,
                    confirm_at: Some(now.monotonic + CONFIRMATION_TIMEOUT),
                });
                self.unconfirmed.extend(losses);
            }
        }
    }

    /// Resolves the unconfirmed losses of an agent's worker once a life
    /// reports: the loss is retracted if the life is the silent one, and
    /// confirmed if it is another.
    pub(super) fn resolve_unconfirmed(
        &mut self,
        agent: &AgentId,
        reported: &WorkerReport,
        now: Timestamp,
    ) {
        if self.unconfirmed.is_empty() || reported.silent {
            return;
        }
        let losses = std::mem::take(&mut self.unconfirmed);
        let here =
            |unconfirmed: &UnconfirmedLoss| unconfirmed.place.agent == *agent;
        let (resolved, open) = losses.into_iter().partition(here);
        self.unconfirmed = open;
        let resolved: Vec<UnconfirmedLoss> = resolved;
        for unconfirmed in resolved {
            match unconfirmed.place.life == reported.life {
                true => self.retract_loss(&unconfirmed),
                false => self.confirm_loss(&unconfirmed, now),
            }
        }
    }

    /// Confirms the losses of workers that have been silent for
    /// [`CONFIRMATION_TIMEOUT`].
    pub(super) fn confirm_overdue(&mut self, now: Timestamp) {
        let due = |s: &UnconfirmedLoss| {
            s.confirm_at.is_some_and(|time| now.monotonic >= time)
        };
        if !self.unconfirmed.iter().any(due) {
            return;
        }
        for mut unconfirmed in std::mem::take(&mut self.unconfirmed) {
            if due(&unconfirmed) {
                self.confirm_loss(&unconfirmed, now);
                unconfirmed.confirm_at = None;
            }
            let record = self.jobs.get(&unconfirmed.job);
            if record.is_some_and(|record| !record.is_over()) {
                self.unconfirmed.push(unconfirmed);
            }
        }
    }

    /// Counts a loss that is not yet confirmed.
    fn confirm_loss(&mut self, unconfirmed: &UnconfirmedLoss, now: Timestamp) {
        if unconfirmed.confirm_at.is_none() {
            return;
        }
        let id = &*unconfirmed.job;
        let Some(loss) = self.loss_of(unconfirmed) else {
            return;
        };
        loss.silent.retain(|place| *place != unconfirmed.place);
        loss.count_lost();
        let loss = loss.clone();
        self.mark_dirty(id);
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        record.has_losses = true;
        let subject = record.subject(&unconfirmed.key);
        let unit = record.units.get(&unconfirmed.key);
        let waits = unit.is_some_and(|u| matches!(u.phase, Phase::Waiting));
        let exhausted = record.must_not_restart(&unconfirmed.key)
            && waits
            && !record.is_over();
        self.record_decision(Decision::LossCounted {
            subject,
            run: loss.run,
            task: unconfirmed.index,
            life: unconfirmed.place.life.clone(),
            ran: unconfirmed.ran,
            loss,
        });
        if exhausted {
            self.end_job(id, Outcome::Failed, now);
        }
    }

    /// Retracts a loss, because the worker was there all the time.
    fn retract_loss(&mut self, unconfirmed: &UnconfirmedLoss) {
        let counted = unconfirmed.confirm_at.is_none();
        let Some(loss) = self.loss_of(unconfirmed) else {
            return;
        };
        match counted {
            true => loss.lost = loss.lost.saturating_sub(1),
            false => loss.silent.retain(|place| *place != unconfirmed.place),
        }
        self.mark_dirty(&unconfirmed.job);
    }

    fn loss_of(&mut self, unconfirmed: &UnconfirmedLoss) -> Option<&mut Loss> {
        let record = self.jobs.get_mut(&unconfirmed.job)?;
        let progress = record.progress.units.get_mut(&unconfirmed.key)?;
        progress.lost.get_mut(&unconfirmed.index)
    }
}

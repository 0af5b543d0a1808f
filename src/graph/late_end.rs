//! Ends of runs, and what is done with those that come late.
//!
//! The end of a run may be read after the run was given up, or by another
//! planner than the one that had assigned it. Whatever it says of the task is
//! still true, and once it is acknowledged nobody reads it again.

use std::time::Duration;

use crate::graph::settle::MemberEnd;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Ended;
use crate::graph::Outcome;
use crate::graph::PastLife;
use crate::graph::Place;
use crate::graph::RunOutcome;
use crate::graph::Scheduler;
use crate::graph::Task;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

impl Scheduler {
    /// Applies the ends that a past life has listed. They may be reported
    /// again, and are never acknowledged.
    pub(super) fn apply_past_ends(
        &mut self,
        agent: &AgentId,
        past: &PastLife,
        now: Timestamp,
    ) {
        let place = Place {
            agent: agent.clone(),
            life: past.life.clone(),
        };
        let is_repeated = self.past_lives.get(agent) == Some(past);
        for ended in &past.ended {
            if self.keep_end(&place, ended) {
                continue;
            }
            if !self.apply_member_end(&place, ended, now) {
                if !is_repeated {
                    self.record_late_end(&place, ended);
                    self.adopt_checkpoint(ended);
                }
                self.apply_late_end(&place, ended, now);
            }
            if !is_repeated {
                self.note_unwritten(&place, ended);
            }
        }
    }

    /// Applies an end that a worker lists.
    pub(super) fn apply_listed_end(
        &mut self,
        place: &Place,
        ended: &Ended,
        now: Timestamp,
    ) {
        if self.keep_end(place, ended) {
            return;
        }
        if !self.apply_member_end(place, ended, now) {
            self.record_late_end(place, ended);
            self.adopt_checkpoint(ended);
            self.apply_late_end(place, ended, now);
        }
        self.note_unwritten(place, ended);
    }

    /// Applies the end of an active member; returns whether there is one.
    fn apply_member_end(
        &mut self,
        place: &Place,
        ended: &Ended,
        now: Timestamp,
    ) -> bool {
        let task = &ended.task;
        let member = self.find_member(task, ended.run, place);
        let Some((key, position)) = member else {
            return false;
        };
        self.changed = true;
        self.store_checkpoint(&task.job, &key, &ended.saved);
        let end = MemberEnd::Listed(ended.how);
        self.end_member(&task.job, &key, position, end, now);
        true
    }

    /// Applies the end of a run that the scheduler does not hold any more.
    fn apply_late_end(
        &mut self,
        place: &Place,
        ended: &Ended,
        now: Timestamp,
    ) {
        let Some(key) = self.open_unit(&ended.task) else {
            return;
        };
        let record = self.jobs.get_mut(&ended.task.job);
        let progress = record.and_then(|r| r.progress.units.get_mut(&key));
        let Some(progress) = progress else {
            return;
        };
        let unread = progress.take_unread(ended.run, ended.task.index);
        if unread.is_some() {
            self.changed = true;
            self.mark_dirty(&ended.task.job);
        }
        match ended.how {
            // The other members' ends show that the gang's run broke.
            RunOutcome::Done if key.index.is_none() && unread.is_some() => {}
            RunOutcome::Done => self.complete_unit(&ended.task.job, &key, now),
            RunOutcome::Failed => {
                let ran = unread.map(|unread| unread.ran);
                self.count_late_failure(place, &key, ended, ran, now);
            }
            _ => {}
        }
    }

    /// Returns the unit of a task whose job is known and not over, and which is
    /// not done.
    fn open_unit(&self, task: &Task) -> Option<UnitKey> {
        let record = self.jobs.get(&task.job)?;
        let key = task.unit(record.job.steps.get(task.step)?.gang);
        let progress = record.progress.units.get(&key)?;
        (!record.is_over() && !progress.done).then_some(key)
    }

    /// Stores the checkpoint of a run's end, if no later run can have gone
    /// further.
    fn adopt_checkpoint(&mut self, ended: &Ended) {
        let id = &*ended.task.job;
        let Some(key) = self.open_unit(&ended.task) else {
            return;
        };
        let record = self.jobs.get(id);
        let progress = record.and_then(|r| r.progress.units.get(&key));
        let is_latest = progress.is_some_and(|progress| {
            let unchanged = progress.saved == progress.from;
            let next_run = ended.run.checked_add(1);
            ended.run == progress.run
                || next_run == Some(progress.run) && unchanged
        });
        if is_latest {
            self.store_checkpoint(id, &key, &ended.saved);
        }
    }

    /// Counts the failure of a run that the scheduler does not hold any more.
    /// A later run of the unit goes on: it may be done.
    fn count_late_failure(
        &mut self,
        place: &Place,
        key: &UnitKey,
        ended: &Ended,
        ran: Option<Duration>,
        now: Timestamp,
    ) {
        let id = &*ended.task.job;
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let lasting = record.job.steps[key.step].lasting;
        let (Some(unit), Some(progress)) = (
            record.units.get_mut(key),
            record.progress.units.get_mut(key),
        ) else {
            return;
        };
        let counts = !lasting && ended.run <= progress.run;
        if !counts || !progress.count_failure(ended.run) {
            return;
        }
        unit.avoided.push(place.agent.clone());
        let is_running = matches!(unit.phase, Phase::Running(_));
        if let Some(ran) = ran {
            record.own_failures.push(key, &place.agent, ran);
        }
        let must_fail = record.has_failed(key) && !is_running;
        self.changed = true;
        self.mark_dirty(id);
        let end = MemberEnd::Listed(ended.how);
        self.update_worker_health(place, &ended.task.job, key, end, None, now);
        if must_fail {
            self.end_job(id, Outcome::Failed, now);
        }
    }

    fn record_late_end(&mut self, place: &Place, ended: &Ended) {
        let record = self.jobs.get(&ended.task.job);
        let progress = record.and_then(|record| {
            let step = record.job.steps.get(ended.task.step)?;
            record.progress.units.get(&ended.task.unit(step.gang))
        });
        self.record_decision(Decision::LateEnd {
            task: ended.task.clone(),
            run: ended.run,
            life: place.life.clone(),
            end: MemberEnd::Listed(ended.how).word(),
            latest_run: progress.map(|progress| progress.run),
            failed: progress.map(|progress| progress.failed),
        });
    }

    /// Marks a unit as done although its run was given up: its workers were
    /// considered lost, or the run began on a delayed order. It must not begin
    /// again once that end is acknowledged.
    fn complete_unit(&mut self, id: &str, key: &UnitKey, now: Timestamp) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        if record.job.steps[key.step].lasting {
            return;
        }
        self.release_reservation(id, key);
        // Another run of the task is stopped and its result ignored.
        self.stop_unit(id, key, StopReason::Over, now);
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let (Some(unit), Some(progress)) = (
            record.units.get_mut(key),
            record.progress.units.get_mut(key),
        ) else {
            return;
        };
        unit.any_done = matches!(unit.phase, Phase::Running(_));
        if !unit.any_done {
            unit.phase = Phase::Done;
        }
        progress.complete();
        self.mark_dirty(id);
        self.succeed_if_done(id, now);
    }
}

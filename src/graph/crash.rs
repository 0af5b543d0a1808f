//! Tasks under which workers go down.
//!
//! A worker that goes without a word takes the only witness along: whether
//! it went because of a task that it ran, nobody lists. What can be told is
//! under which tasks it went, and for how long it had carried them. A task
//! that takes down each worker soon after its start is told from one that
//! was there by chance by trying it again: elsewhere, and then alone, one of
//! its job at a time.

use std::time::Duration;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::scheduler::Worker;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Loss;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long a task must have been seen at work before the loss of its worker
/// is not held to be its doing.
const PROVEN_AFTER: Duration = Duration::from_secs(1);
/// For how long nothing else begins on a worker where a suspect has begun:
/// until it is proven, and that is reported.
const ISOLATION_TIME: Duration = Duration::from_millis(1500);
/// How long a suspect waits for a worker that runs nothing.
const EMPTY_WORKER_WAIT: Duration = Duration::from_secs(2);
/// How many workers must suddenly be lost under a task for it to be tried
/// alone. One may be chance: where a fifth of the workers crash at once,
/// whatever had just begun there would wait for workers of its own.
const SUSPECT_LOSSES: u32 = 2;
/// How many workers in a row may be lost under a task that was not proven on
/// them. Callers' rules allow two; the third, alone on a worker of its own,
/// tells a bad task from one that met two bad workers.
const MAX_SUDDEN_LOSSES: u32 = 3;
/// How many workers may be lost under a task at all before its runs are
/// counted, and how many more it gets then: callers' rules allow no third.
const MAX_LOSSES: u32 = 3;
const EXTRA_RUNS: Run = 2;
/// Under how many lost workers callers' rules let a task be given up.
const MIN_CERTAIN_LOSSES: u32 = 2;
/// How many workers may go or fall silent under a task: one that takes VMs
/// along would else be tried on one after the other where planners change, and
/// none of them waits long enough to call one of them gone.
const MAX_UNCONFIRMED_LOSSES: u32 = 6;
/// How long a run goes on after which what was lost before it is forgotten.
const LOSS_EXPIRY: Duration = Duration::from_secs(60);

impl Loss {
    /// Returns whether the task must not begin again after a run.
    pub(super) fn must_not_restart(&self, run: Run) -> bool {
        let more = run.saturating_sub(self.limit);
        // Those that were excused may have been its doing as well: then the
        // starts since the third loss are so many more.
        let silent = self.silent.len() as u32;
        let may = EXTRA_RUNS.saturating_sub(self.excused + silent);
        let all = self.lost + self.excused + silent;
        self.lost + silent >= MAX_UNCONFIRMED_LOSSES
            || self.sudden >= MAX_SUDDEN_LOSSES
            || self.lost >= MAX_LOSSES && more >= may
            || self.lost >= MIN_CERTAIN_LOSSES
                && all >= MAX_LOSSES + EXTRA_RUNS
    }

    /// Counts a worker that went down.
    pub(super) fn count_lost(&mut self) {
        self.lost += 1;
        if self.lost == MAX_LOSSES {
            self.limit = self.run;
        }
    }
}

impl Member {
    /// Returns whether it was at work long enough for the loss of its worker
    /// not to be its doing.
    pub(super) fn is_proven(&self) -> bool {
        self.worked_for() >= PROVEN_AFTER
    }

    /// Returns how long it was seen at work, at least.
    pub(super) fn worked_for(&self) -> Duration {
        let seen = self.last_listed.unwrap_or(self.assigned_at);
        seen.saturating_duration_since(self.assigned_at)
    }
}

impl JobRecord {
    /// Returns what is kept of the losses under a member's task, and its run,
    /// now that it is counted; nothing if that one was counted before, told
    /// to this planner or an earlier one.
    fn new_loss(
        &mut self,
        key: &UnitKey,
        member: &Member,
    ) -> Option<(Run, &mut Loss)> {
        let progress = self.progress.units.entry(*key).or_default();
        let run = progress.run;
        let loss = progress.lost.entry(member.index).or_default();
        if loss.run >= run {
            return None;
        }
        if member.worked_for() >= LOSS_EXPIRY {
            *loss = Loss::default();
        }
        loss.run = run;
        Some((run, loss))
    }

    /// Returns whether workers were suddenly lost under a task of a unit, more
    /// than by chance.
    pub(super) fn is_suspect(&self, key: &UnitKey) -> bool {
        if !self.has_losses {
            return false;
        }
        let progress = self.progress.units.get(key);
        progress.is_some_and(|progress| {
            progress
                .lost
                .values()
                .any(|loss| loss.sudden >= SUSPECT_LOSSES)
        })
    }

    /// Returns whether a unit has taken down so many workers that it must
    /// not begin again.
    pub(super) fn must_not_restart(&self, key: &UnitKey) -> bool {
        let progress = self.progress.units.get(key);
        progress.is_some_and(|progress| {
            progress
                .lost
                .values()
                .any(|loss| loss.must_not_restart(progress.run))
        })
    }

    /// Returns whether a suspect of the job is at work and not yet proven:
    /// others would take down a worker each that this one may spare.
    pub(super) fn has_unproven_suspect(&self) -> bool {
        if !self.has_losses {
            return false;
        }
        let suspects = self.units.iter().filter(|(key, unit)| {
            matches!(unit.phase, Phase::Running(_)) && self.is_suspect(key)
        });
        let mut members = suspects.flat_map(|(_, unit)| unit.members());
        members.any(|member| !member.is_proven())
    }
}

impl Scheduler {
    /// Counts the loss of a member's worker against its task.
    pub(super) fn count_loss(
        &mut self,
        id: &str,
        key: &UnitKey,
        member: &Member,
    ) {
        let begun = self.had_begun(id, key, member);
        let worker = self.workers.get(&member.place.agent);
        let worker = worker.filter(|w| w.life == member.place.life);
        let announced = worker.is_some_and(|worker| worker.announced_leaving);
        // What was never handed to the agent has surely not begun there.
        let never = !member.sent || begun == Some(false);
        // Nothing begins on a worker that leaves, so that what is not proven
        // there began just before: it may still be its doing.
        let excused = announced && member.is_proven();
        if never {
            return;
        }
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let subject = record.subject(key);
        let Some((run, loss)) = record.new_loss(key, member) else {
            return;
        };
        if excused {
            loss.excused += 1;
            self.mark_dirty(id);
            return;
        }
        // How long an earlier planner has seen it at work is not known; and
        // an agent that went with its worker tells nothing.
        let known = begun.is_some() && !announced && !member.inherited;
        let sudden = known && !member.is_proven();
        loss.count_lost();
        loss.sudden += u32::from(sudden);
        let loss = loss.clone();
        record.has_losses = true;
        if sudden {
            record.cleared = false;
        }
        self.mark_dirty(id);
        self.record_decision(Decision::LossCounted {
            subject,
            run,
            task: member.index,
            life: member.place.life.clone(),
            ran: member.worked_for(),
            loss,
        });
        if sudden {
            self.avoid_worker(id, key, &member.place.agent);
        }
    }

    /// Counts the loss of a member's worker that only fell silent; returns
    /// whether it was not counted before.
    pub(super) fn add_unconfirmed(
        &mut self,
        id: &str,
        key: &UnitKey,
        member: &Member,
    ) -> bool {
        let Some(record) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some((_, loss)) = record.new_loss(key, member) else {
            return false;
        };
        loss.silent.push(member.place.clone());
        self.mark_dirty(id);
        true
    }

    /// Returns whether a member had begun on its worker before that went, if
    /// its agent tells so.
    pub(super) fn had_begun(
        &self,
        id: &str,
        key: &UnitKey,
        member: &Member,
    ) -> Option<bool> {
        let before = self.past_lives.get(&member.place.agent)?;
        if before.life != member.place.life {
            return None;
        }
        let record = self.jobs.get(id)?;
        let task = record.task(key, member);
        let run = record.progress.units.get(key)?.run;
        let listed = before.begun.contains(&(task, run));
        (listed || !before.unseen).then_some(listed)
    }

    /// Takes in that a suspect is proven: its siblings need no longer wait
    /// for each other.
    pub(super) fn clear_suspicion(&mut self, id: &str, key: &UnitKey) {
        if let Some(record) = self.jobs.get_mut(id) {
            record.cleared |= record.is_suspect(key);
        }
    }

    /// Keeps everything else off the workers where a suspect begins, for as
    /// long as its trial takes.
    pub(super) fn isolate_workers(
        &mut self,
        id: &str,
        key: &UnitKey,
        places: &[Place],
        now: Timestamp,
    ) {
        if !self
            .jobs
            .get(id)
            .is_some_and(|record| record.is_suspect(key))
        {
            return;
        }
        for place in places {
            if let Some(worker) = self.workers.get_mut(&place.agent) {
                worker.isolated_until = Some(now.monotonic + ISOLATION_TIME);
            }
        }
    }

    /// Returns the workers for a unit: for a suspect those that run nothing,
    /// if they are enough or it has not waited for that yet.
    pub(super) fn isolate_suspect<'a>(
        &self,
        request: &Request,
        sound: Vec<(&'a AgentId, &'a Worker)>,
        now: Timestamp,
    ) -> Vec<(&'a AgentId, &'a Worker)> {
        if !request.suspect {
            return sound;
        }
        let empty = |worker: &Worker| worker.used == Resources::default();
        let alone = sound.iter().filter(|(_, worker)| empty(worker));
        let slots = alone.map(|(_, w)| u64::from(request.slots(w))).sum();
        let enough = u64::from(request.width) <= slots;
        // What is urgent makes its own room, and does not wait for more.
        let waits = request.priority > 0
            && now.monotonic < request.ready + EMPTY_WORKER_WAIT;
        match enough || waits {
            true => sound.into_iter().filter(|(_, w)| empty(w)).collect(),
            false => sound,
        }
    }

    fn avoid_worker(&mut self, id: &str, key: &UnitKey, agent: &AgentId) {
        let record = self.jobs.get_mut(id);
        let unit = record.and_then(|record| record.units.get_mut(key));
        if let Some(unit) = unit {
            unit.avoided.push(agent.clone());
        }
    }
}

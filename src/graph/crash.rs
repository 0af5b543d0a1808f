//! Tasks that take down their workers.
//!
//! No report says whether a worker was lost because of a task that it ran. The
//! scheduler only knows under which tasks workers were lost, and for how long
//! each had run. A task that takes down every worker soon after its start is
//! distinguished from one that was there by chance by further runs: first on
//! another worker, then on a worker that runs nothing else, one such task of a
//! job at a time.

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

/// How long a task must have been listed as running before it is not blamed
/// for the loss of its worker.
pub const PROVEN_AFTER: Duration = Duration::from_secs(1);
/// How long nothing else starts on a worker where a suspect has started: long
/// enough for the suspect to be proven and reported as such.
const ISOLATION_TIME: Duration = Duration::from_millis(1500);
/// How long a suspect waits for an empty worker.
const EMPTY_WORKER_WAIT: Duration = Duration::from_secs(2);
/// The number of sudden losses from which a task is a suspect and runs alone.
/// A single loss may be chance: if a fifth of the workers crash at once, all
/// tasks that have just begun there would otherwise wait for workers of their
/// own.
const SUSPECT_LOSSES: u32 = 2;
/// The number of sudden losses in a row after which a task is given up. The
/// callers' rules allow two. The third, on a worker that ran nothing else,
/// distinguishes a bad task from one that met two bad workers.
const MAX_SUDDEN_LOSSES: u32 = 3;
/// The number of lost workers from which the further runs of a task are
/// limited to [`MAX_EXTRA_RUNS`].
const LOSSES_TO_LIMIT_RUNS: u32 = 3;
/// The most runs that a task gets after [`LOSSES_TO_LIMIT_RUNS`] losses; the
/// callers' rules do not allow a third.
const MAX_EXTRA_RUNS: Run = 2;
/// The number of certain losses from which the callers' rules let a task be
/// given up.
const MIN_CERTAIN_LOSSES: u32 = 2;
/// The most losses, unconfirmed ones included, before a task is given up.
/// Otherwise a task that takes down VMs would be tried on one after the other
/// while planners change, because no planner would wait long enough to confirm
/// a loss.
const MAX_PRESUMED_LOSSES: u32 = 6;
/// The length of a run after which the losses before it no longer count.
const LOSS_EXPIRY: Duration = Duration::from_secs(60);

impl Loss {
    /// Returns whether the task must not begin again after a run.
    pub(super) fn must_not_restart(&self, run: Run) -> bool {
        let runs_since = run.saturating_sub(self.limit);
        // The task may have caused the excused and the unconfirmed losses as
        // well: they count as runs since the third loss.
        let silent = self.silent.len() as u32;
        let runs_left = MAX_EXTRA_RUNS.saturating_sub(self.excused + silent);
        let all_losses = self.lost + self.excused + silent;
        self.lost + silent >= MAX_PRESUMED_LOSSES
            || self.sudden >= MAX_SUDDEN_LOSSES
            || self.lost >= LOSSES_TO_LIMIT_RUNS && runs_since >= runs_left
            || self.lost >= MIN_CERTAIN_LOSSES
                && all_losses >= LOSSES_TO_LIMIT_RUNS + MAX_EXTRA_RUNS
    }

    /// Counts a lost worker.
    pub(super) fn count_lost(&mut self) {
        self.lost += 1;
        if self.lost == LOSSES_TO_LIMIT_RUNS {
            self.limit = self.run;
        }
    }
}

impl Member {
    /// Returns whether the member ran for long enough not to be blamed for the
    /// loss of its worker.
    pub(super) fn is_proven(&self) -> bool {
        self.ran_for() >= PROVEN_AFTER
    }

    /// Returns whether the share of the member's work that is done was seen to
    /// grow.
    pub(super) fn has_progressed(&self) -> bool {
        self.work.is_some_and(|work| work.observed() > 0.0)
    }

    /// Returns for how long the member is known to have run, up to its last
    /// listing by a worker that answers.
    pub(super) fn ran_for(&self) -> Duration {
        let seen = self.last_listed.unwrap_or(self.assigned_at);
        seen.saturating_duration_since(self.assigned_at)
    }
}

impl JobRecord {
    /// Marks a member's run as counted and returns it with the losses under
    /// its task, or `None` if this planner or an earlier one has counted that
    /// run before.
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
        if member.ran_for() >= LOSS_EXPIRY {
            *loss = Loss::default();
        }
        loss.run = run;
        Some((run, loss))
    }

    /// Returns whether more workers were suddenly lost under a task of the
    /// unit than chance explains.
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

    /// Returns whether so many workers were lost under the unit that it must
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

    /// Returns whether a suspect of the job is running and not yet proven.
    /// Other suspects wait, because each might take down another worker.
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
    /// Counts the loss of a member's worker against the member's task.
    pub(super) fn count_loss(
        &mut self,
        id: &str,
        key: &UnitKey,
        member: &Member,
    ) {
        let had_begun = self.had_begun(id, key, member);
        let was_short = self.was_short(id, key, member);
        let worker = self.workers.get(&member.place.agent);
        let worker = worker.filter(|w| w.life == member.place.life);
        let announced = worker.is_some_and(|worker| worker.announced_leaving);
        // A member that was never sent to the agent cannot have begun.
        let never_began = !member.sent || had_begun == Some(false);
        // Nothing is started on a leaving worker, so that an unproven member
        // has begun shortly before the loss and may have caused it.
        let excused = announced && member.is_proven();
        if never_began {
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
        // How long the task ran under an earlier planner only its agent knows,
        // and an agent that was lost with its worker reports nothing.
        let timed = !member.inherited || was_short;
        let known = had_begun.is_some() && !announced && timed;
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
            ran: member.ran_for(),
            loss,
        });
        if sudden {
            self.avoid_worker(id, key, &member.place.agent);
        }
    }

    /// Records the unconfirmed loss of a member's worker; returns whether that
    /// run was not counted before.
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

    /// Returns whether a member had begun before its worker was lost, if the
    /// agent knows.
    pub(super) fn had_begun(
        &self,
        id: &str,
        key: &UnitKey,
        member: &Member,
    ) -> Option<bool> {
        let past = self.past_lives.get(&member.place.agent)?;
        if past.life != member.place.life {
            return None;
        }
        let record = self.jobs.get(id)?;
        let task = record.task(key, member);
        let run = record.progress.units.get(key)?.run;
        let listed = past.begun.contains(&(task, run));
        (listed || !past.unseen).then_some(listed)
    }

    /// Returns whether a member's agent reports that its run was short.
    fn was_short(&self, id: &str, key: &UnitKey, member: &Member) -> bool {
        let past = self.past_lives.get(&member.place.agent);
        let past = past.filter(|past| past.life == member.place.life);
        let (Some(past), Some(record)) = (past, self.jobs.get(id)) else {
            return false;
        };
        let task = record.task(key, member);
        let progress = record.progress.units.get(key);
        progress.is_some_and(|unit| past.short.contains(&(task, unit.run)))
    }

    /// Marks a job as cleared once one of its suspects is proven, so that the
    /// other suspects no longer wait for each other.
    pub(super) fn clear_suspicion(&mut self, id: &str, key: &UnitKey) {
        if let Some(record) = self.jobs.get_mut(id) {
            record.cleared |= record.is_suspect(key);
        }
    }

    /// Keeps other work off the workers where a suspect starts, for
    /// [`ISOLATION_TIME`].
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

    /// Returns the workers that a unit may use. A suspect gets empty workers
    /// if there are enough of them, or until it has waited for
    /// [`EMPTY_WORKER_WAIT`].
    pub(super) fn isolate_suspect<'a>(
        &self,
        request: &Request,
        usable: Vec<(&'a AgentId, &'a Worker)>,
        now: Timestamp,
    ) -> Vec<(&'a AgentId, &'a Worker)> {
        if !request.suspect {
            return usable;
        }
        let empty = |worker: &Worker| worker.used == Resources::default();
        let alone = usable.iter().filter(|(_, worker)| empty(worker));
        let slots = alone.map(|(_, w)| u64::from(request.slots(w))).sum();
        let enough = u64::from(request.width) <= slots;
        // Urgent units do not wait: room is made for them by preemption.
        let waits = request.priority > 0
            && now.monotonic < request.ready_since + EMPTY_WORKER_WAIT;
        match enough || waits {
            true => usable.into_iter().filter(|(_, w)| empty(w)).collect(),
            false => usable,
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

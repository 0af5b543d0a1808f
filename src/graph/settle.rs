//! The ends of runs, and what becomes of their units.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::graph::entry::Entry;
use crate::graph::unit::Cause;
use crate::graph::unit::Cut;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Why;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Outcome;
use crate::graph::Place;
use crate::graph::Refusal;
use crate::graph::Resources;
use crate::graph::RunOutcome;
use crate::graph::Scheduler;
use crate::graph::SharedStr;
use crate::graph::Task;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long a unit waits after a run that was refused, or failed where it
/// had failed before: the same would come of it at once.
const AGAIN: Duration = Duration::from_millis(200);

/// What came of a member's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Its worker listed how it ended.
    Listed(RunOutcome),
    /// It never began, and never will.
    Never(Refusal),
    /// Its worker is gone.
    Gone,
    /// Its worker, or the agent beside it, says nothing: it may be there.
    Silent,
}

impl End {
    /// Returns the word for it in logs.
    fn word(self) -> &'static str {
        match self {
            End::Listed(RunOutcome::Done) => "done",
            End::Listed(RunOutcome::Failed) => "failed",
            End::Listed(RunOutcome::Stopped) => "stopped",
            End::Listed(RunOutcome::Lapsed) => "lease ran out",
            End::Listed(RunOutcome::Broken) => "another member ended",
            End::Listed(RunOutcome::Alone) => "other members did not come",
            End::Never(Refusal::Barred) => "never began",
            End::Never(Refusal::Room) => "refused: no room",
            End::Never(Refusal::Leaving) => "refused: worker leaving",
            End::Never(Refusal::Unhealthy) => "refused: worker unhealthy",
            End::Never(Refusal::Invalid) => "refused: order invalid",
            End::Never(Refusal::Ticket) => "refused: leave ran out",
            End::Gone => "worker gone",
            End::Silent => "worker silent",
        }
    }
}

impl Scheduler {
    /// Takes in how a member's run ended, and moves its unit on.
    pub(super) fn end_member(
        &mut self,
        id: &str,
        key: &UnitKey,
        at: usize,
        end: End,
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let charge = entry.job.steps[key.step].charge();
        let job = entry.job.id.clone();
        let of = entry.subject(key);
        let from = entry.progress.units.get(key);
        let whole = from.is_some_and(|kept| kept.from.is_empty());
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &mut unit.phase else {
            return;
        };
        let member = &mut members[at];
        // The end of another member may have ended it: its room would be
        // given back twice.
        if member.state == State::Ended {
            return;
        }
        member.state = State::Ended;
        let lost = member.clone();
        let place = member.place.clone();
        let since = member.since;
        let began = !member.adopted;
        let stopped = unit.stop;
        unit.cause = match (unit.cause, end) {
            (Cause::Open, End::Listed(RunOutcome::Broken)) => Cause::Hidden,
            // Stopped by us, after the run broke.
            (
                Cause::Hidden,
                End::Listed(RunOutcome::Broken | RunOutcome::Stopped),
            ) => Cause::Hidden,
            _ => Cause::Known,
        };
        let known_bad = unit.avoid.contains(&place.agent);
        unit.cut = unit.cut.max(match end {
            End::Listed(RunOutcome::Failed) if known_bad => Cut::Refused,
            End::Listed(RunOutcome::Failed | RunOutcome::Broken)
            | End::Gone
            | End::Silent => Cut::Lost,
            End::Never(Refusal::Barred) | End::Listed(_) => Cut::Stopped,
            End::Never(_) => Cut::Refused,
        });
        let mut failed = false;
        let mut learnt = None;
        match end {
            End::Listed(RunOutcome::Done) => {
                unit.any_done = true;
                let ran = now.monotonic.saturating_duration_since(since);
                learnt = (whole && began).then_some(ran);
            }
            End::Listed(RunOutcome::Failed) => {
                failed = true;
                unit.avoid.push(place.agent.clone());
            }
            End::Never(Refusal::Room | Refusal::Unhealthy) => {
                unit.avoid.push(place.agent.clone());
            }
            _ => {}
        }
        let kept = entry.progress.units.entry(*key).or_default();
        let run = kept.run;
        // Counted at once, whatever becomes of the other members: the end
        // may be acknowledged before theirs are known.
        if failed && kept.counted < run {
            kept.counted = run;
            kept.failed += 1;
            self.touch(id);
        }
        match end {
            End::Gone => self.blame(id, key, &lost),
            End::Silent => self.blame_later(id, key, &lost, now),
            _ => {}
        }
        if let Some(ran) = learnt {
            self.learn(&job, key, ran);
        }
        self.note(Decision::Ended {
            of,
            run,
            member: at,
            life: place.life.clone(),
            how: end.word(),
            ran: now.monotonic.saturating_duration_since(since),
        });
        self.vacate(&place, &charge);
        if end == End::Never(Refusal::Ticket) {
            self.drop_ticket(&(job.clone(), key.time, key.step), &place.life);
        }
        self.judge(&place, &job, key, end, stopped, now);
        self.settle_unit(id, key, now);
    }

    /// Returns whether a unit's run is slow by its place: a gang's spread
    /// over racks, or a task's away from its data.
    fn is_far(&self, entry: &Entry, key: &UnitKey) -> bool {
        let step = &entry.job.steps[key.step];
        let Some(unit) = entry.units.get(key) else {
            return false;
        };
        let Phase::Running(members) = &unit.phase else {
            return false;
        };
        let workers = members.iter().filter_map(|member| {
            let worker = self.workers.get(&member.place.agent)?;
            (worker.life == member.place.life).then_some(&worker.rack)
        });
        let racks: BTreeSet<&SharedStr> = workers.collect();
        let away = |data: &SharedStr| racks.iter().any(|rack| *rack != data);
        step.gang && step.same_rack && racks.len() > 1
            || step.data_rack.as_ref().is_some_and(away)
    }

    /// Takes note of how long a whole run took.
    fn learn(&mut self, id: &JobId, key: &UnitKey, ran: Duration) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        if self.is_far(entry, key) {
            return;
        }
        let job = entry.job.clone();
        self.history.learn(&job, key.step, ran);
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.ran.entry(key.step).or_default().push(ran);
        }
    }

    /// Returns whether a job has failed on no other worker.
    fn failed_only(&self, id: &str, agent: &AgentId) -> bool {
        self.jobs.get(id).is_some_and(|entry| {
            let avoided = entry.units.values().flat_map(|unit| &unit.avoid);
            avoided.into_iter().all(|other| other == agent)
        })
    }

    fn judge(
        &mut self,
        place: &Place,
        job: &JobId,
        key: &UnitKey,
        end: End,
        stopped: Option<Why>,
        now: Timestamp,
    ) {
        let policy = self.terms.policy;
        let only_here =
            policy.probation && self.failed_only(job, &place.agent);
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        let apart = match end {
            End::Listed(RunOutcome::Done) => {
                worker.health.done();
                false
            }
            _ if !policy.quarantine => false,
            End::Listed(RunOutcome::Failed) => {
                worker.health.failed(job, key, only_here, now.monotonic)
            }
            End::Never(Refusal::Unhealthy) => {
                worker.health.stuck(now.monotonic)
            }
            End::Listed(_) if stopped == Some(Why::Stuck) => {
                worker.health.stuck(now.monotonic)
            }
            _ => false,
        };
        if apart {
            let told = Decision::WorkerQuarantined {
                life: place.life.clone(),
                time: worker.health.apart_for(now.monotonic),
                failed: worker.health.doubt(),
            };
            self.note(told);
        }
    }

    /// Moves a unit on after one of its members has ended.
    fn settle_unit(&mut self, id: &str, key: &UnitKey, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let over = entry.over();
        let lasting = entry.job.steps[key.step].lasting;
        let limit = entry.job.max_attempts;
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &unit.phase else {
            return;
        };
        let left = members.iter().any(|m| m.state != State::Ended);
        let done = unit.any_done && !lasting;
        let Some(kept) = entry.progress.units.get_mut(key) else {
            return;
        };
        if done && !kept.done {
            // One member's end counts for the whole gang.
            kept.done = true;
            kept.on.clear();
            kept.saved.clear();
            self.touch(id);
            self.succeed_if_done(id, now);
            self.end_unhanded(id, key, now);
        } else if left && !done {
            // The others of a gang cannot go on alone.
            self.stop_unit(id, key, Why::Broken, now);
        }
        if left {
            return;
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        unit.stop = None;
        unit.ready = now.monotonic;
        unit.any_done = false;
        if done {
            unit.phase = Phase::Done;
            return;
        }
        // The next run avoids what the last one failed on: it need not wait.
        let again = match unit.cut {
            Cut::Lost => Duration::ZERO,
            Cut::Stopped | Cut::Refused => AGAIN,
        };
        unit.cut = Cut::Stopped;
        unit.phase = Phase::Waiting;
        unit.not_before = now.monotonic + again;
        let Some(kept) = entry.progress.units.get_mut(key) else {
            return;
        };
        kept.on.clear();
        let failed = !lasting && kept.failed >= limit;
        let spent = failed || entry.is_spent(key);
        self.touch(id);
        if spent && !over {
            self.finish(id, Outcome::Failed, now);
        }
    }

    /// Takes a task for done that was, by a run which was given up: its
    /// worker was taken for gone, or it began by a late order. It must not
    /// begin again once that end is acknowledged.
    pub(super) fn credit(&mut self, task: &Task, now: Timestamp) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = entry.job.steps.get(task.step) else {
            return;
        };
        let key = UnitKey {
            time: task.time,
            step: task.step,
            index: Some(task.index),
        };
        let open = entry.progress.units.get(&key).is_some_and(|k| !k.done);
        // A gang's run that was given up was broken elsewhere.
        if !open || step.lasting || step.gang || entry.over() {
            return;
        }
        let id = &*task.job;
        self.unreserve(id, &key);
        // Another run of it is stopped, and counts for nothing.
        self.stop_unit(id, &key, Why::Over, now);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let (Some(unit), Some(kept)) = (
            entry.units.get_mut(&key),
            entry.progress.units.get_mut(&key),
        ) else {
            return;
        };
        unit.any_done = matches!(unit.phase, Phase::Running(_));
        if !unit.any_done {
            unit.phase = Phase::Done;
        }
        kept.done = true;
        kept.on.clear();
        kept.saved.clear();
        self.touch(id);
        self.succeed_if_done(id, now);
    }

    /// Stops a unit's run, or gives up the place that it waits for.
    pub(super) fn stop_unit(
        &mut self,
        id: &str,
        key: &UnitKey,
        why: Why,
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let of = entry.subject(key);
        let run = entry.progress.units.get(key).map_or(0, |kept| kept.run);
        let Some(unit) = entry.units.get_mut(key) else {
            return;
        };
        match &unit.phase {
            Phase::Reserved(_) => {
                self.unreserve(id, key);
            }
            Phase::Running(_) if unit.stop.is_none() => {
                unit.stop = Some(why);
                let agents: Vec<AgentId> =
                    unit.members().map(|m| m.place.agent.clone()).collect();
                self.stirred.extend(agents);
                self.note(Decision::Stopped {
                    of,
                    run,
                    why: why.word(),
                });
                self.end_unhanded(id, key, now);
            }
            _ => {}
        }
    }

    /// Ends the members whose start was never handed out.
    fn end_unhanded(&mut self, id: &str, key: &UnitKey, now: Timestamp) {
        let unhanded = |book: &Scheduler| {
            let unit = book.jobs.get(id)?.units.get(key)?;
            let Phase::Running(members) = &unit.phase else {
                return None;
            };
            members.iter().position(|m| {
                !m.handed && matches!(m.state, State::Ordered(_))
            })
        };
        while let Some(at) = unhanded(self) {
            let end = End::Never(Refusal::Barred);
            self.end_member(id, key, at, end, now);
        }
    }

    /// Gives up the room that is kept for a unit; returns where it was.
    pub(super) fn unreserve(&mut self, id: &str, key: &UnitKey) -> Vec<Place> {
        let Some(entry) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let charge = entry.job.steps[key.step].charge();
        let Some(unit) = entry.units.get_mut(key) else {
            return Vec::new();
        };
        let Phase::Reserved(members) = &unit.phase else {
            return Vec::new();
        };
        let places: Vec<Place> =
            members.iter().map(|m| m.place.clone()).collect();
        unit.phase = Phase::Waiting;
        for place in &places {
            self.vacate(place, &charge);
            self.keep(place, &Resources::default().minus(&charge));
        }
        places
    }
}

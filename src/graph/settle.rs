//! Ends of runs, and the next phase of their units.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::graph::health;
use crate::graph::job_record::JobRecord;
use crate::graph::unit::BreakCause;
use crate::graph::unit::Interruption;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
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
use crate::graph::Timestamp;
use crate::graph::UnitKey;
use crate::graph::Unread;

/// How long a unit waits after a refused run, or a run that failed where the
/// unit had failed before: an immediate retry would have the same result.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How a member's run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberEnd {
    /// The worker listed the end.
    Listed(RunOutcome),
    /// The member never began, and never will.
    NeverBegan(Refusal),
    /// The worker is lost.
    WorkerLost,
    /// The worker or its agent is silent, so that the worker may still be
    /// there.
    WorkerSilent,
    /// The member ended when its gang broke, as the other members' ends show,
    /// and its worker is out of contact: how it ended was not read.
    Unread,
}

impl MemberEnd {
    /// Returns the value that names the end in logs.
    pub(super) fn word(self) -> &'static str {
        match self {
            MemberEnd::Listed(RunOutcome::Done) => "done",
            MemberEnd::Listed(RunOutcome::Failed) => "failed",
            MemberEnd::Listed(RunOutcome::Stopped) => "stopped",
            MemberEnd::Listed(RunOutcome::Lapsed) => "lease ran out",
            MemberEnd::Listed(RunOutcome::Broken) => "another member ended",
            MemberEnd::Listed(RunOutcome::Alone) => {
                "other members did not come"
            }
            MemberEnd::NeverBegan(Refusal::Barred) => "never began",
            MemberEnd::NeverBegan(Refusal::Room) => "refused: no room",
            MemberEnd::NeverBegan(Refusal::Leaving) => {
                "refused: worker leaving"
            }
            MemberEnd::NeverBegan(Refusal::Unhealthy) => {
                "refused: worker unhealthy"
            }
            MemberEnd::NeverBegan(Refusal::Invalid) => {
                "refused: order invalid"
            }
            MemberEnd::NeverBegan(Refusal::Ticket) => "refused: leave ran out",
            MemberEnd::WorkerLost => "worker gone",
            MemberEnd::WorkerSilent => "worker silent",
            MemberEnd::Unread => "ended unread",
        }
    }
}

impl Scheduler {
    /// Ends a member and moves its unit to the next phase.
    pub(super) fn end_member(
        &mut self,
        id: &str,
        key: &UnitKey,
        position: usize,
        end: MemberEnd,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let charge = record.job.steps[key.step].charge();
        let job = record.job.id.clone();
        let subject = record.subject(key);
        let progress_before = record.progress.units.get(key);
        let from_start =
            progress_before.is_some_and(|progress| progress.from.is_empty());
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &mut unit.phase else {
            return;
        };
        let member = &mut members[position];
        // The end of another member may have ended this one: its resources
        // would be released twice.
        if member.state == MemberState::Ended {
            return;
        }
        member.state = MemberState::Ended;
        let ended_member = member.clone();
        let place = member.place.clone();
        let since = member.assigned_at;
        let assigned_here = !member.inherited;
        let stop_reason = unit.stop_reason;
        let stopped_at = unit.stopped_at;
        let all_ended = members.iter().all(|m| m.state == MemberState::Ended);
        unit.break_cause = match (unit.break_cause, end) {
            (BreakCause::NoEnds, MemberEnd::Listed(RunOutcome::Broken)) => {
                BreakCause::Unreported
            }
            // Stopped by this scheduler after the run broke.
            (
                BreakCause::Unreported,
                MemberEnd::Listed(RunOutcome::Broken | RunOutcome::Stopped),
            ) => BreakCause::Unreported,
            _ => BreakCause::Identified,
        };
        let failed_before = unit.avoided.contains(&place.agent);
        unit.interruption = unit.interruption.max(match end {
            MemberEnd::Listed(RunOutcome::Failed) if failed_before => {
                Interruption::Refused
            }
            MemberEnd::Listed(RunOutcome::Failed | RunOutcome::Broken)
            | MemberEnd::WorkerLost
            | MemberEnd::WorkerSilent
            | MemberEnd::Unread => Interruption::Lost,
            MemberEnd::NeverBegan(Refusal::Barred) | MemberEnd::Listed(_) => {
                Interruption::Stopped
            }
            MemberEnd::NeverBegan(_) => Interruption::Refused,
        });
        let mut failed = false;
        let mut run_time = None;
        match end {
            MemberEnd::Listed(RunOutcome::Done) => {
                unit.any_done = true;
                let ran = now.monotonic.saturating_duration_since(since);
                run_time = (from_start && assigned_here).then_some(ran);
            }
            MemberEnd::Listed(RunOutcome::Failed) => {
                failed = true;
                unit.avoided.push(place.agent.clone());
            }
            MemberEnd::NeverBegan(Refusal::Room | Refusal::Unhealthy) => {
                unit.avoided.push(place.agent.clone());
            }
            _ => {}
        }
        let progress = record.progress.units.entry(*key).or_default();
        let run = progress.run;
        let lasting = record.job.steps[key.step].lasting;
        if end == MemberEnd::Unread && !lasting {
            progress.unread.push(Unread {
                run,
                index: ended_member.index,
                place: place.clone(),
                ran: ended_member.ran_for(),
            });
            self.unread_units.insert((job.clone(), *key));
        }
        // The failure is counted before the ends of the other members are
        // known, because this end may be acknowledged earlier than theirs.
        if failed && progress.count_failure(run) {
            if !lasting {
                let ran = now.monotonic.saturating_duration_since(since);
                record.own_failures.push(key, &place.agent, ran);
            }
            self.mark_dirty(id);
        }
        match end {
            MemberEnd::WorkerLost => self.count_loss(id, key, &ended_member),
            MemberEnd::WorkerSilent | MemberEnd::Unread => {
                self.defer_loss(id, key, &ended_member, now)
            }
            _ => {}
        }
        if let Some(ran) = run_time {
            self.record_run_time(&job, key, ran);
        }
        if end == MemberEnd::Listed(RunOutcome::Alone) {
            self.record_missing_members(id, key);
        }
        self.record_decision(Decision::Ended {
            subject,
            run,
            member: position,
            life: place.life.clone(),
            end: end.word(),
            ran: now.monotonic.saturating_duration_since(since),
        });
        if all_ended {
            self.record_stop_time(&job, end, stop_reason, stopped_at, now);
        }
        self.release(&place, &charge);
        if end == MemberEnd::NeverBegan(Refusal::Ticket) {
            self.drop_ticket(&(job.clone(), key.time, key.step), &place.life);
        }
        let lasted_well =
            lasting && ended_member.ran_for() >= health::LASTED_WELL;
        if !(failed && lasted_well) {
            self.update_worker_health(
                &place,
                &job,
                key,
                end,
                stop_reason,
                now,
            );
        }
        self.advance_unit(id, key, now);
    }

    /// Records how long a stop took, once the last member of a run has ended.
    /// Runs that are stopped as stuck may not react, and lost workers report
    /// nothing.
    fn record_stop_time(
        &mut self,
        id: &JobId,
        end: MemberEnd,
        stop_reason: Option<StopReason>,
        stopped_at: Option<Instant>,
        now: Timestamp,
    ) {
        let stopped = matches!(
            end,
            MemberEnd::Listed(RunOutcome::Stopped | RunOutcome::Broken)
        );
        let (Some(at), Some(record)) = (stopped_at, self.jobs.get(id)) else {
            return;
        };
        if stopped && stop_reason != Some(StopReason::Stuck) {
            let took = now.monotonic.saturating_duration_since(at);
            let pool = record.job.pool.clone();
            self.stop_times.record(&pool, took);
            let bound = self.options.stop_time;
            let news = self.stop_times.news(&pool, bound, now.monotonic);
            if let Some((time, before)) = news {
                self.record_decision(Decision::StopTimeEstimated {
                    pool,
                    time,
                    before,
                    last: took,
                });
            }
        }
    }

    /// Returns whether a unit's run was slow because of its places: a gang
    /// that is spread over racks, or a task away from its data.
    pub(super) fn ran_far(&self, record: &JobRecord, key: &UnitKey) -> bool {
        let step = &record.job.steps[key.step];
        let Some(unit) = record.units.get(key) else {
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

    /// Records the time of a run that did not resume from a checkpoint.
    fn record_run_time(&mut self, id: &JobId, key: &UnitKey, ran: Duration) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        if self.ran_far(record, key) {
            return;
        }
        let job = record.job.clone();
        let ran = ran.mul_f64(self.unit_speed(record, key).exp());
        self.history.record(&job, key.step, ran);
        if let Some(record) = self.jobs.get_mut(id) {
            record.run_times.entry(key.step).or_default().push(ran);
        }
    }

    /// Returns whether a job has failed on no other worker.
    fn failed_only_on(&self, id: &str, agent: &AgentId) -> bool {
        self.jobs.get(id).is_some_and(|record| {
            let avoided = record.units.values().flat_map(|unit| &unit.avoided);
            avoided.into_iter().all(|other| other == agent)
        })
    }

    pub(super) fn update_worker_health(
        &mut self,
        place: &Place,
        job: &JobId,
        key: &UnitKey,
        end: MemberEnd,
        stop_reason: Option<StopReason>,
        now: Timestamp,
    ) {
        let policy = self.options.policy;
        let only_here =
            policy.probation && self.failed_only_on(job, &place.agent);
        let Some(worker) = self.workers.get_mut(&place.agent) else {
            return;
        };
        let quarantined = match end {
            MemberEnd::Listed(RunOutcome::Done) => {
                worker.health.record_success();
                false
            }
            _ if !policy.quarantine => false,
            MemberEnd::Listed(RunOutcome::Failed) => worker
                .health
                .record_failure(job, key, only_here, now.monotonic),
            MemberEnd::NeverBegan(Refusal::Unhealthy) => {
                worker.health.record_stuck(now.monotonic)
            }
            MemberEnd::Listed(_) if stop_reason == Some(StopReason::Stuck) => {
                worker.health.record_stuck(now.monotonic)
            }
            _ => false,
        };
        // Runs that fail on the worker later count as its fault as well.
        let at_fault = worker.health.is_quarantined(now.monotonic);
        let failed = match at_fault {
            true => worker.health.failed_units().to_vec(),
            false => Vec::new(),
        };
        if quarantined {
            let decision = Decision::WorkerQuarantined {
                life: place.life.clone(),
                duration: worker.health.quarantine_left(now.monotonic),
                failed: worker.health.failure_count(),
            };
            self.record_decision(decision);
        }
        self.excuse_failures(&place.agent, &failed);
    }

    /// Moves a unit to the next phase after one of its members has ended.
    fn advance_unit(&mut self, id: &str, key: &UnitKey, now: Timestamp) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let over = record.is_over();
        let lasting = record.job.steps[key.step].lasting;
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &unit.phase else {
            return;
        };
        let some_left = members.iter().any(|m| m.state != MemberState::Ended);
        let done = unit.any_done && !lasting;
        let Some(progress) = record.progress.units.get_mut(key) else {
            return;
        };
        if done && !progress.done {
            // The first member that is done completes the whole gang.
            progress.complete();
            self.mark_dirty(id);
            self.succeed_if_done(id, now);
            self.end_unsent(id, key, now);
        } else if some_left && !done {
            // The other members of a gang cannot continue alone.
            self.stop_unit(id, key, StopReason::Broken, now);
        }
        if some_left {
            return;
        }
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        unit.stop_reason = None;
        unit.stopped_at = None;
        unit.ready_since = now.monotonic;
        unit.any_done = false;
        if done {
            unit.phase = Phase::Done;
            return;
        }
        // The next run avoids the worker that the last one failed on, so that
        // it need not wait.
        let delay = match unit.interruption {
            Interruption::Lost => Duration::ZERO,
            Interruption::Stopped | Interruption::Refused => RETRY_DELAY,
        };
        unit.interruption = Interruption::Stopped;
        unit.phase = Phase::Waiting;
        unit.not_before = now.monotonic + delay;
        let Some(progress) = record.progress.units.get_mut(key) else {
            return;
        };
        progress.on.clear();
        progress.begin_by = None;
        let must_fail = record.has_failed(key) || record.must_not_restart(key);
        self.mark_dirty(id);
        if !must_fail && !over {
            self.record_awaited_ends(id, key);
        }
        if must_fail && !over {
            self.end_job(id, Outcome::Failed, now);
        }
    }

    /// Stops a unit's run, or releases its reservation.
    pub(super) fn stop_unit(
        &mut self,
        id: &str,
        key: &UnitKey,
        reason: StopReason,
        now: Timestamp,
    ) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let subject = record.subject(key);
        let run = record
            .progress
            .units
            .get(key)
            .map_or(0, |progress| progress.run);
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        match &unit.phase {
            Phase::Reserved(_) => {
                self.release_reservation(id, key);
            }
            Phase::Running(_) if unit.stop_reason.is_none() => {
                unit.stop_reason = Some(reason);
                unit.stopped_at = Some(now.monotonic);
                let agents: Vec<AgentId> =
                    unit.members().map(|m| m.place.agent.clone()).collect();
                self.agents_to_order.extend(agents);
                self.record_decision(Decision::Stopped {
                    subject,
                    run,
                    reason: reason.word(),
                });
                self.end_unsent(id, key, now);
            }
            _ => {}
        }
    }

    /// Ends the members whose start was never sent to an agent.
    fn end_unsent(&mut self, id: &str, key: &UnitKey, now: Timestamp) {
        let unsent = |scheduler: &Scheduler| {
            let unit = scheduler.jobs.get(id)?.units.get(key)?;
            let Phase::Running(members) = &unit.phase else {
                return None;
            };
            members.iter().position(|m| {
                !m.sent && matches!(m.state, MemberState::Ordered(_))
            })
        };
        while let Some(position) = unsent(self) {
            let end = MemberEnd::NeverBegan(Refusal::Barred);
            self.end_member(id, key, position, end, now);
        }
    }

    /// Releases the resources that are reserved for a unit; returns the
    /// reserved places.
    pub(super) fn release_reservation(
        &mut self,
        id: &str,
        key: &UnitKey,
    ) -> Vec<Place> {
        let Some(record) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let charge = record.job.steps[key.step].charge();
        let Some(unit) = record.units.get_mut(key) else {
            return Vec::new();
        };
        let Phase::Reserved(members) = &unit.phase else {
            return Vec::new();
        };
        let places: Vec<Place> =
            members.iter().map(|m| m.place.clone()).collect();
        unit.phase = Phase::Waiting;
        for place in &places {
            self.release(place, &charge);
            self.reserve_on(place, &Resources::default().minus(&charge));
        }
        places
    }
}

//! The common start of a gang's members.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::MissingMember;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

impl JobRecord {
    /// Returns whether a member of a gang was ordered and is not known to have
    /// begun.
    pub(super) fn has_not_begun(
        &self,
        key: &UnitKey,
        position: usize,
    ) -> bool {
        let Some(unit) = self.units.get(key) else {
            return false;
        };
        let Phase::Running(members) = &unit.phase else {
            return false;
        };
        key.index.is_none() && is_missing(&members[position])
    }
}

impl Scheduler {
    /// Records that a gang is complete, once its last member has begun.
    pub(super) fn note_gang_begun(&mut self, id: &str, key: &UnitKey) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        let subject = record.subject(key);
        let run = run_of(record, key);
        let Some(unit) = record.units.get_mut(key) else {
            return;
        };
        let Phase::Running(members) = &unit.phase else {
            return;
        };
        let begun: Option<Vec<Instant>> =
            members.iter().map(|member| member.begun_at).collect();
        let assigned = members.iter().map(|member| member.assigned_at).min();
        let (Some(begun), Some(assigned)) = (begun, assigned) else {
            return;
        };
        unit.all_present = true;
        unit.late_runs = 0;
        let first = begun.iter().min().copied().unwrap_or(assigned);
        let last = begun.iter().max().copied().unwrap_or(assigned);
        let since = |at: Instant| at.saturating_duration_since(assigned);
        let decision = Decision::GangBegan {
            subject,
            run,
            members: begun.len(),
            first: since(first),
            last: since(last),
        };
        self.record_decision(decision);
    }

    /// Stops the gangs whose members have not all begun in time, so that none
    /// of those that have begun waits in vain for the others.
    pub(super) fn stop_late_gangs(&mut self, now: Timestamp) {
        let mut late = Vec::new();
        for record in self.live_jobs() {
            let units = record.units.iter();
            let units = units
                .filter(|(key, _)| self.is_late(record, key, now.monotonic));
            let keys = units.map(|(key, _)| (record.job.id.clone(), *key));
            late.extend(keys);
        }
        for (id, key) in late {
            self.record_missing_members(&id, &key);
            self.count_late_run(&id, &key);
            self.stop_unit(&id, &key, StopReason::Late, now);
        }
    }

    /// Returns whether members of a gang have not begun in time, although
    /// others may have. A member on a worker that has not reported to this
    /// planner may have begun.
    fn is_late(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        now: Instant,
    ) -> bool {
        let Some(unit) = record.units.get(key) else {
            return false;
        };
        let progress = record.progress.units.get(key);
        let done = progress.is_some_and(|progress| progress.done);
        let has_reported = |member: &&Member| {
            let worker = self.workers.get(&member.place.agent);
            worker.is_some_and(|worker| worker.life == member.place.life)
        };
        unit.begin_by.is_some_and(|begin_by| now >= begin_by)
            && !unit.all_present
            && !done
            && unit.stop_reason.is_none()
            && matches!(unit.phase, Phase::Running(_))
            && unit.members().filter(has_reported).any(is_missing)
    }

    /// Counts a late run of a gang, and lets the next one avoid the workers on
    /// which members of this one have not begun.
    fn count_late_run(&mut self, id: &str, key: &UnitKey) {
        let record = self.jobs.get_mut(id);
        let Some(unit) = record.and_then(|r| r.units.get_mut(key)) else {
            return;
        };
        let missing = unit.members().filter(|member| is_missing(member));
        let agents: BTreeSet<AgentId> =
            missing.map(|member| member.place.agent.clone()).collect();
        let avoided: BTreeSet<AgentId> =
            unit.avoided.iter().cloned().collect();
        unit.avoided.extend(agents.difference(&avoided).cloned());
        unit.late_runs += 1;
    }

    /// Records the members that have not begun, of a gang in which others have
    /// waited in vain.
    pub(super) fn record_missing_members(&mut self, id: &str, key: &UnitKey) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = record.units.get(key) else {
            return;
        };
        let missing = unit.members().filter(|member| is_missing(member));
        let missing = missing.map(|member| MissingMember {
            index: member.index,
            life: member.place.life.clone(),
            sent: member.sent,
        });
        let decision = Decision::GangIncomplete {
            subject: record.subject(key),
            run: run_of(record, key),
            missing: missing.collect(),
        };
        self.record_decision(decision);
    }
}

fn is_missing(member: &Member) -> bool {
    matches!(member.state, MemberState::Ordered(_))
}

fn run_of(record: &JobRecord, key: &UnitKey) -> Run {
    let progress = record.progress.units.get(key);
    progress.map_or(0, |progress| progress.run)
}

//! The common start of a gang's members.

use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::Decision;
use crate::graph::MissingMember;
use crate::graph::Run;
use crate::graph::Scheduler;
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
    /// Records that a gang has begun, once its last member has.
    pub(super) fn record_gang_begun(&mut self, id: &str, key: &UnitKey) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let Some(unit) = record.units.get(key) else {
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
        let first = begun.iter().min().copied().unwrap_or(assigned);
        let last = begun.iter().max().copied().unwrap_or(assigned);
        let since = |at: Instant| at.saturating_duration_since(assigned);
        let decision = Decision::GangBegan {
            subject: record.subject(key),
            run: run_of(record, key),
            members: begun.len(),
            first: since(first),
            last: since(last),
        };
        self.record_decision(decision);
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

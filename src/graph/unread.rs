//! Members whose runs were given up before their ends were read.
//!
//! Such an entry is closed by the end itself (see
//! [`late_end`](crate::graph::late_end)), or once that end can no longer be
//! acknowledged: the worker's life is over, its leases have lapsed since, or it
//! lists neither the run nor any end.

use crate::graph::job_record::JobRecord;
use crate::graph::settle::MemberEnd;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::Life;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::UnitKey;
use crate::graph::Unread;
use crate::graph::WorkerReport;

impl Scheduler {
    /// Notes the units of a job that have unread ends, as an earlier planner
    /// has stored them.
    pub(super) fn adopt_unread(&mut self, record: &JobRecord) {
        let units = record.progress.units.iter();
        let units = units.filter(|(_, unit)| !unit.unread.is_empty());
        self.unread_units
            .extend(units.map(|(key, _)| (record.job.id.clone(), *key)));
    }

    /// Records that a unit waits for unread ends, if it does.
    pub(super) fn record_awaited_ends(&mut self, id: &str, key: &UnitKey) {
        let record = self.jobs.get(id);
        let Some(record) = record.filter(|record| record.awaits_ends(key))
        else {
            return;
        };
        let Some(progress) = record.progress.units.get(key) else {
            return;
        };
        let unread = progress.unread.iter();
        self.record_decision(Decision::AwaitsEnds {
            subject: record.subject(key),
            failed: progress.failed,
            lives: unread.map(|unread| unread.place.life.clone()).collect(),
        });
    }

    /// Returns the places where ends are unread.
    pub(super) fn unread_places(&self) -> impl Iterator<Item = &Place> {
        let units = self.unread_units.iter().filter_map(|(id, key)| {
            self.jobs.get(id)?.progress.units.get(key)
        });
        units
            .flat_map(|unit| &unit.unread)
            .map(|unread| &unread.place)
    }

    /// Closes the entries on the matching places, whose ends can no longer be
    /// acknowledged.
    pub(super) fn close_unread(
        &mut self,
        end: MemberEnd,
        is_over: impl Fn(&Place) -> bool,
    ) {
        self.close_entries(end.word(), |_, _, unread| is_over(&unread.place));
    }

    /// Closes the entries of an agent's worker in lives before this one.
    pub(super) fn close_earlier_lives(
        &mut self,
        agent: &AgentId,
        life: &Life,
    ) {
        self.close_unread(MemberEnd::WorkerLost, |place| {
            place.agent == *agent && !place.life.may_equal(life)
        });
    }

    /// Closes the entries of a worker that answers its agent and lists neither
    /// their runs nor any end.
    pub(super) fn close_unlisted(
        &mut self,
        agent: &AgentId,
        reported: &WorkerReport,
    ) {
        let lists = &reported.lists;
        if reported.silent || !lists.ended.is_empty() {
            return;
        }
        self.close_entries("not listed", |id, key, unread| {
            let is_here = unread.place.agent == *agent
                && unread.place.life.may_equal(&reported.life);
            let is_running = lists.running.iter().any(|running| {
                let task = &running.task;
                *task.job == *id
                    && task.unit(key.index.is_none()) == *key
                    && task.index == unread.index
                    && running.run == unread.run
            });
            is_here && !is_running
        });
    }

    fn close_entries(
        &mut self,
        why: &'static str,
        is_closed: impl Fn(&str, &UnitKey, &Unread) -> bool,
    ) {
        if self.unread_units.is_empty() {
            return;
        }
        let mut units = std::mem::take(&mut self.unread_units);
        units.retain(|(id, key)| {
            self.close_entries_of(id, key, why, |unread| {
                is_closed(id, key, unread)
            })
        });
        self.unread_units = units;
    }

    /// Closes the matching entries of a unit; returns whether any are left.
    fn close_entries_of(
        &mut self,
        id: &str,
        key: &UnitKey,
        why: &'static str,
        is_closed: impl Fn(&Unread) -> bool,
    ) -> bool {
        let Some(record) = self.jobs.get_mut(id) else {
            return false;
        };
        let subject = record.subject(key);
        let Some(progress) = record.progress.units.get_mut(key) else {
            return false;
        };
        let entries = std::mem::take(&mut progress.unread);
        let (closed, open): (Vec<Unread>, Vec<Unread>) =
            entries.into_iter().partition(|unread| is_closed(unread));
        let any_left = !open.is_empty();
        progress.unread = open;
        if !closed.is_empty() {
            self.changed = true;
            self.mark_dirty(id);
        }
        for unread in closed {
            self.record_decision(Decision::UnreadClosed {
                subject: subject.clone(),
                run: unread.run,
                task: unread.index,
                life: unread.place.life,
                why,
            });
        }
        any_left
    }
}

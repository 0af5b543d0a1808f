//! Detection of lost workers and of stuck runs.

use std::time::Duration;

use crate::graph::settle::MemberEnd;
use crate::graph::unit::BreakCause;
use crate::graph::unit::Member;
use crate::graph::unit::MemberState;
use crate::graph::unit::Phase;
use crate::graph::unit::StopReason;
use crate::graph::unit::Unit;
use crate::graph::Decision;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// How long a planner waits for first reports. Agents find a new planner
/// within tenths of a second, and an agent that was lost along with the last
/// planner's VM never reports.
const STARTUP_TIME: Duration = Duration::from_millis(1500);
/// How long a member may show no work before it may count as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_millis(2600);
/// The factor on the expected run time after which a run that has shown work
/// may count as stuck.
const OVERDUE_FACTOR: f64 = 4.0;
/// The factor for a run that has never shown work.
const IDLE_OVERDUE_FACTOR: f64 = 1.5;

impl Scheduler {
    /// Ends the members on places that are known to be gone.
    pub(super) fn end_lost(
        &mut self,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        self.end_members_on(MemberEnd::WorkerLost, gone, now);
    }

    /// Ends the members on the matching places with the given kind of end, and
    /// releases the reservations there.
    pub(super) fn end_members_on(
        &mut self,
        end: MemberEnd,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        let mut lost = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let here = members.iter().enumerate().filter(|(_, m)| {
                    m.state != MemberState::Ended && gone(&m.place)
                });
                lost.extend(here.map(|(position, _)| {
                    (record.job.id.clone(), *key, position)
                }));
            }
        }
        for (id, key, position) in lost {
            self.end_member(&id, &key, position, end, now);
        }
        self.release_lost_reservations(gone, now);
    }

    fn release_lost_reservations(
        &mut self,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        let mut released = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                if let Phase::Reserved(members) = &unit.phase {
                    if members.iter().any(|m| gone(&m.place)) {
                        released.push((record.job.id.clone(), *key));
                    }
                }
            }
        }
        for (id, key) in released {
            self.stop_unit(&id, &key, StopReason::Broken, now);
        }
    }

    /// Ends the members whose agents have been silent for so long that the
    /// leases of their workers have expired.
    pub(super) fn expire_silent_workers(&mut self, now: Timestamp) {
        let wait = self.options.survival + self.options.lease_margin;
        let mut silent = Vec::new();
        let units = self.live_jobs().flat_map(|record| record.units.values());
        let members = units.flat_map(Unit::members);
        let places = members.map(|member| &member.place);
        for place in places.chain(self.unread_places()) {
            let last_grant = self
                .workers
                .get(&place.agent)
                .filter(|worker| worker.life == place.life)
                .map_or(self.claimed_at, |worker| worker.last_grant);
            let known = silent.iter().any(|(p, _)| p == place);
            if now.monotonic >= last_grant + wait && !known {
                silent.push((place.clone(), last_grant));
            }
        }
        for (place, last_grant) in silent {
            if !self.is_inquiry_answered(&place.agent, last_grant + wait) {
                continue;
            }
            self.record_decision(Decision::WorkerLost {
                life: place.life.clone(),
                silent: now.monotonic.saturating_duration_since(last_grant),
            });
            self.end_members_on(
                MemberEnd::WorkerSilent,
                |other| *other == place,
                now,
            );
            self.close_unread(MemberEnd::WorkerSilent, |p| *p == place);
        }
    }

    /// Ends the runs of gangs that broke on a worker that is out of contact.
    ///
    /// All other members have reported that another member ended, so it was
    /// one on the silent worker. Without this rule the gang would wait until
    /// that worker's leases have certainly expired, which takes 13 s, or 6 s
    /// if its agent is still running. The usual cause is a worker that was
    /// taken away at short notice. On a last attempt the run does wait,
    /// because the job fails if that member has failed. On any other the end
    /// may still be read, and a run that begins before counts it as failed.
    pub(super) fn end_broken_gangs(&mut self, now: Timestamp) {
        if !self.options.policy.end_broken_gangs {
            return;
        }
        let mut remaining = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let unreported = unit.break_cause == BreakCause::Unreported
                    && !record.is_last_attempt(key);
                if !unreported || !self.is_out_of_contact(unit, now) {
                    continue;
                }
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let left = members.iter().enumerate();
                let left = left.filter(|(_, m)| m.state != MemberState::Ended);
                remaining.extend(left.map(|(position, _)| {
                    (record.job.id.clone(), *key, position)
                }));
            }
        }
        for (id, key, position) in remaining {
            self.end_member(&id, &key, position, MemberEnd::Unread, now);
        }
    }

    /// Returns whether this planner is new and a worker on which an earlier
    /// planner placed a unit has not reported yet.
    ///
    /// A new planner sees only a small part of the site. Without this rule it
    /// spread gangs over the first racks that reported, which made them three
    /// times as slow, and stopped runs there although other workers would have
    /// become free 0.2 s later.
    pub(super) fn awaits_reports(&self, now: Timestamp) -> bool {
        if !self.options.policy.await_reports
            || now.monotonic >= self.claimed_at + STARTUP_TIME
        {
            return false;
        }
        let units = self.live_jobs().flat_map(|record| record.units.values());
        let mut members = units.flat_map(Unit::members);
        members.any(|m| !self.workers.contains_key(&m.place.agent))
    }

    /// Returns whether the remaining members of a run all began on one worker
    /// that is silent or no longer answers its agent.
    fn is_out_of_contact(&self, unit: &Unit, now: Timestamp) -> bool {
        let mut left = unit.members();
        let Some(first) = left.next() else {
            return false;
        };
        let worker = self
            .workers
            .get(&first.place.agent)
            .filter(|worker| worker.life == first.place.life);
        let last_grant =
            worker.map_or(self.claimed_at, |worker| worker.last_grant);
        let out_of_contact =
            now.monotonic >= last_grant + self.options.contact_timeout;
        let silent = worker.is_some_and(|worker| worker.silent);
        (out_of_contact || silent)
            && first.state == MemberState::Running
            && left.all(|m| {
                m.place == first.place && m.state == MemberState::Running
            })
    }

    /// Stops the runs that make no progress.
    pub(super) fn stop_stuck_runs(&mut self, now: Timestamp) {
        if !self.options.policy.stop_stuck {
            return;
        }
        let mut stuck = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let step = &record.job.steps[key.step];
                if !matches!(unit.phase, Phase::Running(_))
                    || unit.stop_reason.is_some()
                    || step.lasting
                {
                    continue;
                }
                let speed = self.unit_speed(record, key).min(0.0);
                let expected = self.expected_time(record, key.step);
                let expected = expected.mul_f64((-speed).exp());
                let far = step.same_rack || step.data_rack.is_some();
                let expected = match far {
                    true => expected.mul_f64(self.options.far_slowdown),
                    false => expected,
                };
                if unit.members().any(|m| self.is_stuck(m, expected, now)) {
                    stuck.push((record.job.id.clone(), *key));
                }
            }
        }
        for (id, key) in stuck {
            self.stop_unit(&id, &key, StopReason::Stuck, now);
        }
    }

    /// Returns whether a member has shown no sign of work for so long that it
    /// counts as stuck. A load of 0 alone is not enough: working tasks can
    /// show it for seconds.
    fn is_stuck(
        &self,
        member: &Member,
        expected: Duration,
        now: Timestamp,
    ) -> bool {
        let worker = self.workers.get(&member.place.agent);
        let fresh = worker.is_some_and(|worker| {
            now.monotonic < worker.last_grant + self.options.contact_timeout
        });
        let factor = match member.showed_work {
            true => OVERDUE_FACTOR,
            false => IDLE_OVERDUE_FACTOR,
        };
        let overdue =
            member.assigned_at + expected.mul_f64(factor) + STUCK_TIMEOUT;
        fresh
            && now.monotonic >= overdue
            && now.monotonic >= member.last_work + STUCK_TIMEOUT
    }
}

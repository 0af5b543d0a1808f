//! Workers that are gone, and runs that stand still.

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

/// How long a planner counts as new: agents find it within tenths of a
/// second, and one that lost its VM with the last planner does not come.
const STARTUP_TIME: Duration = Duration::from_millis(1500);
/// How long a member may show no work before it may be taken for stuck.
const STUCK_TIMEOUT: Duration = Duration::from_millis(2600);
/// How many times longer than expected a run may take that has shown work.
const OVERDUE_FACTOR: f64 = 4.0;
/// How many times longer a run may take that has never shown any.
const IDLE_OVERDUE_FACTOR: f64 = 1.5;

impl Scheduler {
    /// Ends the members on places that are gone.
    pub(super) fn end_lost(
        &mut self,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        self.end_members_on(MemberEnd::WorkerLost, gone, now);
    }

    /// Ends the members on places that are gone, or may be.
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
        let mut given_up = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                if let Phase::Reserved(members) = &unit.phase {
                    if members.iter().any(|m| gone(&m.place)) {
                        given_up.push((record.job.id.clone(), *key));
                    }
                }
            }
        }
        for (id, key) in given_up {
            self.stop_unit(&id, &key, StopReason::Broken, now);
        }
    }

    /// Takes the members for gone whose agents have been silent for so long
    /// that their workers' leases have run out.
    pub(super) fn expire_silent_workers(&mut self, now: Timestamp) {
        let wait = self.terms.survival + self.terms.lease_margin;
        let mut silent = Vec::new();
        for record in self.live_jobs() {
            let members = record.units.values().flat_map(Unit::members);
            for member in members {
                let heard = self
                    .workers
                    .get(&member.place.agent)
                    .filter(|worker| worker.life == member.place.life)
                    .map_or(self.claimed_at, |worker| worker.last_grant);
                let known = silent.iter().any(|(p, _)| *p == member.place);
                if now.monotonic >= heard + wait && !known {
                    silent.push((member.place.clone(), heard));
                }
            }
        }
        for (place, heard) in silent {
            if !self.is_inquiry_answered(&place.agent, heard + wait) {
                continue;
            }
            self.record_decision(Decision::WorkerLost {
                life: place.life.clone(),
                silent: now.monotonic.saturating_duration_since(heard),
            });
            self.end_members_on(
                MemberEnd::WorkerSilent,
                |other| *other == place,
                now,
            );
        }
    }

    /// Takes the runs of gangs for over whose members all tell that another
    /// one ended, but for those on one worker that is not heard of: it was
    /// there. Else the gang would wait until that worker's leases surely
    /// have run out, 13 s, or 6 s where its agent goes on beside it; a worker
    /// taken away at short notice is the usual case. A last attempt does
    /// wait: should that member have failed, the job is over.
    pub(super) fn end_broken_gangs(&mut self, now: Timestamp) {
        if !self.terms.policy.end_broken_gangs {
            return;
        }
        let mut over = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                let tells = unit.break_cause == BreakCause::Unreported
                    && !record.is_last_attempt(key);
                if !tells || !self.is_out_of_contact(unit, now) {
                    continue;
                }
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let left = members.iter().enumerate();
                let left = left.filter(|(_, m)| m.state != MemberState::Ended);
                over.extend(left.map(|(position, _)| {
                    (record.job.id.clone(), *key, position)
                }));
            }
        }
        for (id, key, position) in over {
            self.end_member(&id, &key, position, MemberEnd::WorkerSilent, now);
        }
    }

    /// Returns whether this planner is new, and has not heard yet of a worker
    /// on which an earlier one has put something. What it sees then is a
    /// small part of the site: gangs were spread over the first racks that
    /// reported, and took three times as long, and runs were stopped there
    /// though others would have been free 0.2 s later.
    pub(super) fn awaits_reports(&self, now: Timestamp) -> bool {
        if !self.terms.policy.await_reports
            || now.monotonic >= self.claimed_at + STARTUP_TIME
        {
            return false;
        }
        let units = self.live_jobs().flat_map(|record| record.units.values());
        let mut members = units.flat_map(Unit::members);
        members.any(|m| !self.workers.contains_key(&m.place.agent))
    }

    /// Returns whether what is left of a unit's run began on one worker that
    /// nothing is heard of, or that answers its agent no more.
    fn is_out_of_contact(&self, unit: &Unit, now: Timestamp) -> bool {
        let mut left = unit.members();
        let Some(first) = left.next() else {
            return false;
        };
        let worker = self
            .workers
            .get(&first.place.agent)
            .filter(|worker| worker.life == first.place.life);
        let heard = worker.map_or(self.claimed_at, |worker| worker.last_grant);
        let unheard = now.monotonic >= heard + self.terms.contact_timeout;
        let silent = worker.is_some_and(|worker| worker.silent);
        (unheard || silent)
            && first.state == MemberState::Running
            && left.all(|m| {
                m.place == first.place && m.state == MemberState::Running
            })
    }

    /// Stops the runs that make no progress.
    pub(super) fn stop_stuck_runs(&mut self, now: Timestamp) {
        if !self.terms.policy.stop_stuck {
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
                let expected = self.expected_time(record, key.step);
                let far = step.same_rack || step.data_rack.is_some();
                let expected = match far {
                    true => expected.mul_f64(self.terms.far_slowdown),
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

    /// Returns whether a member has run so long without a sign of work that
    /// it is taken for stuck. A figure of 0 alone says little: tasks that
    /// work were seen to show it for seconds.
    fn is_stuck(
        &self,
        member: &Member,
        expected: Duration,
        now: Timestamp,
    ) -> bool {
        let worker = self.workers.get(&member.place.agent);
        let fresh = worker.is_some_and(|worker| {
            now.monotonic < worker.last_grant + self.terms.contact_timeout
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

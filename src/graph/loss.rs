//! Workers that are gone, and runs that stand still.

use std::time::Duration;

use crate::graph::settle::End;
use crate::graph::unit::Cause;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::unit::State;
use crate::graph::unit::Unit;
use crate::graph::unit::Why;
use crate::graph::Decision;
use crate::graph::Place;
use crate::graph::Scheduler;
use crate::graph::Timestamp;

/// How long a planner counts as new: agents find it within tenths of a
/// second, and one that lost its VM with the last planner does not come.
const NEW: Duration = Duration::from_millis(1500);
/// How long a member may show no work before it may be taken for stuck.
const STUCK: Duration = Duration::from_millis(2600);
/// How many times longer than expected a run may take that has shown work.
const OVERDUE: f64 = 4.0;
/// How many times longer a run may take that has never shown any.
const OVERDUE_IDLE: f64 = 1.5;

impl Scheduler {
    /// Ends the members on places that are gone.
    pub(super) fn lose(
        &mut self,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        self.lose_by(End::Gone, gone, now);
    }

    /// Ends the members on places that are gone, or may be.
    pub(super) fn lose_by(
        &mut self,
        end: End,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        let mut lost = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let here = members.iter().enumerate().filter(|(_, m)| {
                    m.state != State::Ended && gone(&m.place)
                });
                lost.extend(
                    here.map(|(at, _)| (entry.job.id.clone(), *key, at)),
                );
            }
        }
        for (id, key, at) in lost {
            self.end_member(&id, &key, at, end, now);
        }
        self.unreserve_lost(gone, now);
    }

    fn unreserve_lost(
        &mut self,
        gone: impl Fn(&Place) -> bool,
        now: Timestamp,
    ) {
        let mut given_up = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                if let Phase::Reserved(members) = &unit.phase {
                    if members.iter().any(|m| gone(&m.place)) {
                        given_up.push((entry.job.id.clone(), *key));
                    }
                }
            }
        }
        for (id, key) in given_up {
            self.stop_unit(&id, &key, Why::Broken, now);
        }
    }

    /// Takes the members for gone whose agents have been silent for so long
    /// that their workers' leases have run out.
    pub(super) fn lose_silent(&mut self, now: Timestamp) {
        let wait = self.terms.survival + self.terms.lease_margin;
        let mut silent = Vec::new();
        for entry in self.live() {
            let members = entry.units.values().flat_map(Unit::members);
            for member in members {
                let heard = self
                    .workers
                    .get(&member.place.agent)
                    .filter(|worker| worker.life == member.place.life)
                    .map_or(self.began, |worker| worker.granted);
                let known = silent.iter().any(|(p, _)| *p == member.place);
                if now.monotonic >= heard + wait && !known {
                    silent.push((member.place.clone(), heard));
                }
            }
        }
        for (place, heard) in silent {
            if !self.is_inquired(&place.agent, heard + wait) {
                continue;
            }
            self.note(Decision::WorkerLost {
                life: place.life.clone(),
                silent: now.monotonic.saturating_duration_since(heard),
            });
            self.lose_by(End::Silent, |other| *other == place, now);
        }
    }

    /// Takes the runs of gangs for over whose members all tell that another
    /// one ended, but for those on one worker that is not heard of: it was
    /// there. Else the gang would wait until that worker's leases surely
    /// have run out, 13 s, or 6 s where its agent goes on beside it; a worker
    /// taken away at short notice is the usual case. A last attempt does
    /// wait: should that member have failed, the job is over.
    pub(super) fn end_broken(&mut self, now: Timestamp) {
        if !self.terms.policy.end_broken_gangs {
            return;
        }
        let mut over = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let tells = unit.cause == Cause::Hidden && !entry.is_last(key);
                if !tells || !self.is_hidden(unit, now) {
                    continue;
                }
                let Phase::Running(members) = &unit.phase else {
                    continue;
                };
                let left = members.iter().enumerate();
                let left = left.filter(|(_, m)| m.state != State::Ended);
                over.extend(
                    left.map(|(at, _)| (entry.job.id.clone(), *key, at)),
                );
            }
        }
        for (id, key, at) in over {
            self.end_member(&id, &key, at, End::Silent, now);
        }
    }

    /// Returns whether this planner is new, and has not heard yet of a worker
    /// on which an earlier one has put something. What it sees then is a
    /// small part of the site: gangs were spread over the first racks that
    /// reported, and took three times as long, and runs were stopped there
    /// though others would have been free 0.2 s later.
    pub(super) fn awaits(&self, now: Timestamp) -> bool {
        if !self.terms.policy.await_reports
            || now.monotonic >= self.began + NEW
        {
            return false;
        }
        let units = self.live().flat_map(|entry| entry.units.values());
        let mut members = units.flat_map(Unit::members);
        members.any(|m| !self.workers.contains_key(&m.place.agent))
    }

    /// Returns whether what is left of a unit's run began on one worker that
    /// nothing is heard of, or that answers its agent no more.
    fn is_hidden(&self, unit: &Unit, now: Timestamp) -> bool {
        let mut left = unit.members();
        let Some(first) = left.next() else {
            return false;
        };
        let worker = self
            .workers
            .get(&first.place.agent)
            .filter(|worker| worker.life == first.place.life);
        let heard = worker.map_or(self.began, |worker| worker.granted);
        let unheard = now.monotonic >= heard + self.terms.contact_timeout;
        let silent = worker.is_some_and(|worker| worker.silent);
        (unheard || silent)
            && first.state == State::Present
            && left
                .all(|m| m.place == first.place && m.state == State::Present)
    }

    /// Stops the runs that make no progress.
    pub(super) fn stop_stuck(&mut self, now: Timestamp) {
        if !self.terms.policy.stop_stuck {
            return;
        }
        let mut stuck = Vec::new();
        for entry in self.live() {
            for (key, unit) in &entry.units {
                let step = &entry.job.steps[key.step];
                if !matches!(unit.phase, Phase::Running(_))
                    || unit.stop.is_some()
                    || step.lasting
                {
                    continue;
                }
                let expected = self.expect(entry, key.step);
                let far = step.same_rack || step.data_rack.is_some();
                let expected = match far {
                    true => expected.mul_f64(self.terms.far_slowdown),
                    false => expected,
                };
                if unit.members().any(|m| self.is_stuck(m, expected, now)) {
                    stuck.push((entry.job.id.clone(), *key));
                }
            }
        }
        for (id, key) in stuck {
            self.stop_unit(&id, &key, Why::Stuck, now);
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
            now.monotonic < worker.granted + self.terms.contact_timeout
        });
        let factor = match member.worked {
            true => OVERDUE,
            false => OVERDUE_IDLE,
        };
        let overdue = member.since + expected.mul_f64(factor) + STUCK;
        fresh
            && now.monotonic >= overdue
            && now.monotonic >= member.moved + STUCK
    }
}

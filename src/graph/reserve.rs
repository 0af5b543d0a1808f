//! Reservations for units that would otherwise never find enough room at once.
//!
//! Small tasks fill every gap as soon as it opens. A unit that has waited
//! therefore reserves the workers that are expected to have room for it first,
//! and nothing new is placed in the reserved resources until it has begun.
//!
//! A unit reserves nothing while it has time left. When gangs that had 17 s
//! left reserved after 1.5 s, their reservations stood empty while other units
//! became late. Its time is up once its slack is no longer than the time until
//! the workers are expected to have room. Wide gangs that reserved only when
//! their slack was spent began that much late, and on a pool full of small
//! tasks they never found whole workers by chance.

use std::time::Duration;
use std::time::Instant;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Candidate;
use crate::graph::place::Request;
use crate::graph::preempt::RoomSource;
use crate::graph::unit::Member;
use crate::graph::unit::Phase;
use crate::graph::JobId;
use crate::graph::Place;
use crate::graph::Resources;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// How long a unit waits before it may reserve resources.
const RESERVE_AFTER: Duration = Duration::from_millis(1500);
/// How often a unit that has slack left is checked for whether it must reserve
/// resources now. A check looks at all runs of the pool.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The margin for late ends of the runs that a unit waits for, as a factor on
/// the time until they are expected: callers declare run times that are off by
/// a half and more.
const DRAIN_MARGIN: f64 = 1.5;
/// The least remaining time that is expected of a run, as a share of its age.
const MIN_REMAINING_SHARE: f64 = 0.15;

/// The expected end of a member on a worker.
#[derive(Clone, Copy, Debug)]
struct ExpectedEnd {
    time: Instant,
    charge: Resources,
}

impl Scheduler {
    /// Reserves resources for a unit that finds no place, if the unit has
    /// waited and the pool does not hold too many reservations; returns
    /// whether resources were reserved.
    pub(super) fn reserve_room(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        request: &Request,
        now: Timestamp,
    ) -> bool {
        let slack = self.remaining_slack(id, key, now);
        let recently_checked = self.reserve_checked_recently(id, key, now);
        let waits = !slack.is_zero()
            && (recently_checked || !self.options.policy.reserve_in_time);
        if now.monotonic < request.ready_since + RESERVE_AFTER || waits {
            return false;
        }
        let workers = self.candidates(request, now).len();
        let reserved = self.reserved_workers(request);
        let max_reserved = (workers as f64
            * self.options.policy.reserved_share)
            .ceil() as usize;
        if reserved.len() >= max_reserved {
            self.mark_reserve_checked(id, key, now);
            return false;
        }
        let best = self
            .candidate_sets(request, now)
            .into_iter()
            .filter_map(|chosen| self.earliest_places(request, chosen, now))
            .min_by_key(|(time, _)| *time);
        let Some((time, places)) = best else {
            return false;
        };
        let drain = time.saturating_duration_since(now.monotonic);
        if slack > drain.mul_f64(DRAIN_MARGIN) {
            self.mark_reserve_checked(id, key, now);
            return false;
        }
        self.reserve(id, key, places, RoomSource::default(), now);
        true
    }

    /// Returns how long a unit can wait and still be in time. Long-running
    /// units cannot wait.
    fn remaining_slack(
        &self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) -> Duration {
        let Some(record) = self.jobs.get(id) else {
            return Duration::ZERO;
        };
        let can_wait = self.options.policy.reserve_only_late
            && !record.job.steps[key.step].lasting;
        let slack = self.slack_ms(record, key, now).max(0);
        match can_wait {
            true => Duration::from_millis(slack as u64),
            false => Duration::ZERO,
        }
    }

    /// Returns whether it was checked within [`CHECK_INTERVAL`] that a unit
    /// need not reserve resources yet.
    fn reserve_checked_recently(
        &self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) -> bool {
        let record = self.jobs.get(id);
        let unit = record.and_then(|record| record.units.get(key));
        let checked = unit.and_then(|unit| unit.reserve_checked_at);
        checked.is_some_and(|checked| now.monotonic < checked + CHECK_INTERVAL)
    }

    fn mark_reserve_checked(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        now: Timestamp,
    ) {
        let record = self.jobs.get_mut(id);
        let unit = record.and_then(|record| record.units.get_mut(key));
        if let Some(unit) = unit {
            unit.reserve_checked_at = Some(now.monotonic);
        }
    }

    /// Returns the places in the pool that hold reservations.
    fn reserved_workers(&self, request: &Request) -> Vec<Place> {
        let mut workers = Vec::new();
        for record in self.live_jobs() {
            if record.job.pool != request.pool {
                continue;
            }
            let reserved = record
                .units
                .values()
                .filter(|unit| matches!(unit.phase, Phase::Reserved(_)));
            for member in reserved.flat_map(|unit| unit.members()) {
                if !workers.contains(&member.place) {
                    workers.push(member.place.clone());
                }
            }
        }
        workers
    }

    /// Returns the places that are expected to have room for a unit first, and
    /// when.
    fn earliest_places(
        &self,
        request: &Request,
        candidates: Vec<Candidate>,
        now: Timestamp,
    ) -> Option<(Instant, Vec<Place>)> {
        let mut workers: Vec<(Candidate, Vec<ExpectedEnd>)> = candidates
            .into_iter()
            .map(|candidate| {
                let ends = self.expected_ends(&candidate.place, now);
                (candidate, ends)
            })
            .collect();
        let mut last = now.monotonic;
        let mut places = Vec::new();
        for _ in 0..request.width {
            let (time, worker) = workers
                .iter_mut()
                .filter(|(candidate, _)| candidate.quota > 0)
                .filter_map(|worker| {
                    let time =
                        earliest_room(request, &worker.0, &worker.1, now)?;
                    Some((time, worker))
                })
                .min_by_key(|(time, _)| *time)?;
            worker.0.free = worker.0.free.minus(&request.charge);
            worker.0.quota -= 1;
            places.push(worker.0.place.clone());
            last = last.max(time);
        }
        Some((last, places))
    }

    /// Returns when a member is expected to end.
    pub(super) fn expected_end(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        member: &Member,
        now: Timestamp,
    ) -> Instant {
        let shown = member.work.and_then(|work| work.remaining_time());
        if let (Some(rest), Some(seen)) = (shown, member.last_listed) {
            return (seen + rest).max(now.monotonic);
        }
        let speed = self.speeds.of(&member.place.agent);
        let expected = self.expected_time(record, key.step);
        let expected = expected.mul_f64((-speed).exp());
        let ran = now.monotonic.saturating_duration_since(member.assigned_at);
        // A run that exceeds its expected time is assumed to go on for a share
        // of its age.
        let left = expected
            .saturating_sub(ran)
            .max(ran.mul_f64(MIN_REMAINING_SHARE));
        now.monotonic + left
    }

    /// Returns the expected ends of the members on a worker, the earliest
    /// first.
    fn expected_ends(
        &self,
        place: &Place,
        now: Timestamp,
    ) -> Vec<ExpectedEnd> {
        let mut ends = Vec::new();
        for record in self.live_jobs() {
            for (key, unit) in &record.units {
                if !matches!(unit.phase, Phase::Running(_)) {
                    continue;
                }
                let here = unit.members().filter(|m| m.place == *place);
                ends.extend(here.map(|member| ExpectedEnd {
                    time: self.expected_end(record, key, member, now),
                    charge: record.job.steps[key.step].charge(),
                }));
            }
        }
        ends.sort_by_key(|end| end.time);
        ends
    }
}

/// Returns when a worker is expected to have room for one more member.
fn earliest_room(
    request: &Request,
    candidate: &Candidate,
    ends: &[ExpectedEnd],
    now: Timestamp,
) -> Option<Instant> {
    let mut free = candidate.free;
    if free.holds(&request.charge) {
        return Some(now.monotonic);
    }
    for end in ends {
        free = free.plus(&end.charge);
        if free.holds(&request.charge) {
            return Some(end.time);
        }
    }
    None
}

//! What runs show of the workers' speeds, and what units need of them.

use std::time::Duration;

use crate::graph::job_record::JobRecord;
use crate::graph::place::Request;
use crate::graph::schedule::MAX_WAIT_WHEN_IDLE;
use crate::graph::speed::LogSpeed;
use crate::graph::unit::Phase;
use crate::graph::unit::Unit;
use crate::graph::AgentId;
use crate::graph::Decision;
use crate::graph::JobId;
use crate::graph::Scheduler;
use crate::graph::Timestamp;
use crate::graph::UnitKey;

/// The least change of the fastest workers' speed that is logged.
const MIN_LOGGED_CHANGE: LogSpeed = 0.08;

impl Scheduler {
    /// Estimates the workers' speeds again if enough has been observed.
    /// Returns whether it did.
    pub(in crate::graph) fn estimate_speeds(
        &mut self,
        now: Timestamp,
    ) -> bool {
        if !self.speeds.estimate(now.monotonic) {
            return false;
        }
        let fastest = self.speeds.fastest();
        let before = self.speeds.logged_fastest;
        if (fastest - before).abs() >= MIN_LOGGED_CHANGE {
            self.speeds.logged_fastest = fastest;
            self.record_decision(Decision::SpeedsEstimated {
                workers: self.speeds.speeds.len(),
                fastest: fastest.exp(),
                before: before.exp(),
            });
        }
        true
    }

    /// Records the time that a unit's run needs, as a member's worker shows
    /// it, if that says something about the workers alone: a place away from
    /// the data, or a gang spread over racks, slows down any worker.
    pub(in crate::graph) fn observe_speed(
        &mut self,
        id: &JobId,
        key: &UnitKey,
        agent: &AgentId,
        time: Duration,
    ) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let (Some(unit), Some(progress)) =
            (record.units.get(key), record.progress.units.get(key))
        else {
            return;
        };
        if record.job.steps[key.step].lasting || self.ran_far(record, key) {
            return;
        }
        let step = (id.clone(), key.time, key.step);
        let (expected, deviation) = self.prior_time(record, key.step);
        match key.index {
            Some(task) => self.speeds.record(&step, task, agent, time),
            None => {
                // The progress of a gang is that of its slowest member.
                let Phase::Running(members) = &unit.phase else {
                    return;
                };
                let agents = members.iter().map(|m| m.place.agent.clone());
                let agents: Vec<AgentId> = agents.collect();
                self.speeds.record_gang(&step, progress.run, &agents, time);
            }
        }
        self.speeds.expect(&step, expected, deviation);
    }

    /// Returns the speed at which a unit runs: that of its slowest member.
    pub(in crate::graph) fn unit_speed(
        &self,
        record: &JobRecord,
        key: &UnitKey,
    ) -> LogSpeed {
        let Some(unit) = record.units.get(key) else {
            return 0.0;
        };
        let Phase::Running(members) = &unit.phase else {
            return 0.0;
        };
        let speeds = members.iter().map(|m| self.speeds.of(&m.place.agent));
        speeds.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns what a unit needs now.
    pub(in crate::graph) fn request(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        unit: &Unit,
        now: Timestamp,
    ) -> Request {
        let expected = self.expected_time(record, key.step);
        let needed_speed = self.needed_speed(record, key, expected, now);
        let is_lasting = record.job.steps[key.step].lasting;
        let any_room_from = unit.ready_since + MAX_WAIT_WHEN_IDLE;
        Request {
            needed_speed,
            takes_any_room: is_lasting && now.monotonic >= any_room_from,
            ..Request::new(record, key, unit, expected)
        }
    }

    /// Returns the least speed at which a unit that starts now is in time, if
    /// the fastest workers reach it and others may not.
    fn needed_speed(
        &self,
        record: &JobRecord,
        key: &UnitKey,
        expected: Duration,
        now: Timestamp,
    ) -> Option<LogSpeed> {
        let step = &record.job.steps[key.step];
        if !self.speeds.differ() || step.lasting || !step.after.is_empty() {
            return None;
        }
        let slack = self.slack_ms(record, key, now);
        let slack = Duration::from_millis(u64::try_from(slack).ok()?);
        let fastest = self.speeds.fastest();
        let best = expected.mul_f64((-fastest).exp()).as_secs_f64();
        let available = best + slack.as_secs_f64();
        (best > 0.0).then(|| fastest - (available / best).ln())
    }
}

//! The load of a day: jobs, their callers, and the changes of a sound day.

use std::time::Duration;

use landingvalve::clock;
use landingvalve::graph::Job;
use landingvalve::graph::Resources;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Step;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::caller::Cancels;
use crate::day::site::new_agent;
use crate::day::Day;
use crate::day::Kind;
use crate::day::SETTLE_TIMEOUT;
use crate::sound::Hopeless;

/// Longest time from a caller's first submission to a cancel that does not
/// wait for the acceptance, in ms.
const MAX_EARLY_CANCEL_MS: u64 = 4000;

impl Day {
    /// Lets workers join and the configuration change on a sound day.
    pub(super) fn play_sound_day(&mut self, now: Instant, end: Instant) {
        let Some(sound) = &mut self.sound else {
            return;
        };
        let is_over = now >= end;
        let changes = match is_over {
            true => sound.open_halls(),
            false => sound.change(now).into_iter().collect(),
        };
        for change in changes {
            self.checker
                .record(format!("an operator writes: {change:?}"));
            self.store.write_key(change);
        }
        if !is_over && sound.joins(now) {
            let at = self.agents.len();
            self.checker.record(format!("w{at} joins"));
            let agent = new_agent(self.scenario, at, &self.checker);
            self.agents.push(agent);
            self.start_agent(at);
        }
    }

    pub(super) fn submit_job(&mut self, at: usize) {
        match self.scenario.kind {
            Kind::Sound => return self.submit_sound_job(at),
            Kind::Ordered => return self.submit_ordered_job(at),
            Kind::Faulty => {}
        }
        let steps = self.random.usize(1..=2);
        let steps = (0..steps).map(|step| self.draw_step(step)).collect();
        let priority = self.random.u32(..3);
        let job = new_job(at, "account".into(), priority, steps);
        let work = Duration::from_millis(self.random.u64(200..4000));
        self.jobs.insert(job.id.clone(), (job.clone(), work));
        if self.random.u32(..20) == 0 {
            for agent in &self.agents {
                agent.endpoint.crash_on_job(&job.id);
            }
        }
        if self.scenario.has_failures && self.failures.u32(..2) == 0 {
            self.failing_jobs.insert(job.id.clone());
        }
        let cancel = self.random.u32(..10) == 0;
        let cancel = cancel.then(|| self.random.u64(100..5000));
        let random = self.random.fork();
        let cancels = Cancels {
            after_acceptance: cancel.map(Duration::from_millis),
            early: self.draw_early_cancel(),
        };
        self.start_caller(job, random, cancels);
    }

    pub(super) fn submit_sound_job(&mut self, at: usize) {
        let Some(sound) = &mut self.sound else {
            return;
        };
        let plan = sound.draw_job();
        let priority = self.random.u32(..3);
        let job = new_job(at, plan.account, priority, plan.steps);
        let steps: Vec<String> = job.steps.iter().map(describe_step).collect();
        self.checker.record(format!(
            "{} is submitted: {}, hopeless: {:?}, cancelled after: {:?}",
            job.id,
            steps.join(", "),
            plan.hopeless,
            plan.cancel_after
        ));
        if plan.hopeless == Some(Hopeless::Failing) {
            self.hopeless_jobs.insert(job.id.clone());
        }
        self.jobs.insert(job.id.clone(), (job.clone(), plan.work));
        let random = self.random.fork();
        let cancels = Cancels {
            after_acceptance: None,
            early: plan.cancel_after,
        };
        self.start_caller(job, random, cancels);
    }

    pub(super) fn start_caller(
        &mut self,
        job: Job,
        random: fastrand::Rng,
        cancels: Cancels,
    ) {
        self.checker.record_submission(&job);
        let until = self.start + self.scenario.fault_duration + SETTLE_TIMEOUT;
        let caller = Caller {
            job,
            checker: self.checker.clone(),
            random,
            cancels,
            until,
            admissions: self.admissions.clone(),
        };
        self.callers.push(tokio::spawn(caller.run()));
    }

    /// Returns how long after its first submission a caller cancels the job
    /// whatever it has heard, if it does.
    pub(super) fn draw_early_cancel(&mut self) -> Option<Duration> {
        let cancels = self.departures.u32(..8) == 0;
        let ms = self.departures.u64(..MAX_EARLY_CANCEL_MS);
        let after = Duration::from_millis(ms);
        Some(after).filter(|_| cancels && self.scenario.has_departures)
    }

    pub(super) fn draw_step(&mut self, at: usize) -> Step {
        let gang = self.random.u32(..3) == 0;
        Step {
            replicas: self.random.u32(1..=3),
            resources: Resources {
                cpu: 1000,
                memory: 1000,
                accelerators: [1, 2, 4, 8][self.random.usize(..4)],
            },
            estimate: Duration::from_secs(2),
            after: (0..at).collect(),
            gang,
            ..Step::default()
        }
    }
}

/// Returns a job that is accepted now.
pub(super) fn new_job(
    at: usize,
    account: SharedStr,
    priority: u32,
    steps: Vec<Step>,
) -> Job {
    Job {
        id: format!("job{at}").into(),
        account,
        queue: "queue".into(),
        pool: "pool".into(),
        priority,
        max_attempts: 4,
        stretch: 3.0,
        target: Duration::from_secs(1),
        guarded: false,
        accepted: clock::wall_time(),
        spec: "spec".into(),
        steps,
        repeat: None,
        advice: None,
    }
}

/// Returns a step's tasks and their accelerators for the timeline.
fn describe_step(step: &Step) -> String {
    let kind = if step.gang { " together" } else { "" };
    let accelerators = step.resources.accelerators;
    format!("{} x {accelerators}{kind}", step.replicas)
}

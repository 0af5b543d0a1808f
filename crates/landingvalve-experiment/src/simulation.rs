//! Simulates a day on a virtual clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fastrand::Rng;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Outcome;
use landingvalve::graph::Policy;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Scheduler;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Step;
use landingvalve::graph::Task;
use landingvalve::graph::Timestamp;

use crate::day::Arrival;
use crate::day::Day;
use crate::day::Incident;
use crate::fleet::Execution;
use crate::fleet::Time;
use crate::fleet::Worker;
use crate::load::Load;
use crate::score;
use crate::score::Score;

/// Step of the clock: the planner decides on all events within a step
/// together.
const TIME_STEP: Duration = Duration::from_millis(5);
/// Time that a write to the store takes.
const WRITE_TIME: Duration = Duration::from_millis(8);
/// Time from a change on a worker to its report.
const MESSAGE_TIME: Duration = Duration::from_millis(4);
/// Interval at which the planner decides without any event.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of an agent's reports without changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time that the day continues after the end of submissions.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Factor by which a gang that is spread over racks takes longer.
const CROSS_RACK_SLOWDOWN: f64 = 3.0;
/// Number of cores that an accelerator counts as.
const CORES_PER_ACCELERATOR: f64 = 8.0;
/// Interval at which a task saves a checkpoint.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// An event of the day.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job is submitted.
    JobArrives(usize),
    /// An incident of a worker begins.
    Incident(usize),
    /// A lost worker returns.
    WorkerReturns(usize),
    /// A worker leaves for good.
    WorkerLeaves(usize),
    /// A task on a worker ends.
    TaskEnds(usize, Task, Run, Ending),
    /// A worker's agent sends a report.
    ReportDue(usize),
    /// A job's progress, up to a version, has been written to the store.
    ProgressWritten(JobId, u64),
    /// A job must have begun by now if it is within its account's guarantee.
    GuaranteeDue(JobId),
    /// The planner decides, and the agents whose turn it is report.
    Tick,
}

/// Ending of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Done,
    Failed,
    Stopped,
}

/// State of a job that the planner does not see.
struct JobState {
    arrival: Arrival,
    /// Work that the job's tasks have saved, as time at speed 1.
    saved: BTreeMap<Task, Duration>,
    failures: u32,
    /// Whether all tasks of a run were ever present together.
    begun: bool,
}

struct Simulation<'a> {
    load: &'a Load,
    day: &'a Day,
    scheduler: Scheduler,
    workers: Vec<Worker>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    now: Time,
    start: Timestamp,
    jobs: BTreeMap<JobId, JobState>,
    by_agent: BTreeMap<String, usize>,
    due_reports: BTreeSet<usize>,
    random: Rng,
    wasted: f64,
    guaranteed: u32,
    missed: Vec<String>,
}

/// Simulates a day under a policy and returns its score.
pub fn simulate(load: &Load, day: &Day, policy: Policy, seed: u64) -> Score {
    let start = Timestamp {
        monotonic: Instant::now(),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
    };
    let options = Options {
        policy,
        far_slowdown: CROSS_RACK_SLOWDOWN,
        stop_time: load.fleet.stop_time,
        reclaim_time: load.accounts.reclaim_time,
        ..Options::default()
    };
    let workers = Worker::from_fleet(&load.fleet);
    let names = workers.iter().enumerate();
    let by_agent = names.map(|(at, w)| (w.agent.clone(), at)).collect();
    let mut simulation = Simulation {
        load,
        day,
        scheduler: Scheduler::new(options, start),
        workers,
        events: BinaryHeap::new(),
        event_count: 0,
        now: Time::ZERO,
        start,
        jobs: BTreeMap::new(),
        by_agent,
        due_reports: BTreeSet::new(),
        random: Rng::with_seed(seed),
        wasted: 0.0,
        guaranteed: 0,
        missed: Vec::new(),
    };
    let guarantee = guarantee_per_account(load);
    let accounts =
        (0..load.accounts.count).map(|at| (account_name(at), guarantee));
    simulation.scheduler.set_guarantees(accounts.collect());
    simulation.run();
    simulation.score()
}

fn account_name(number: usize) -> SharedStr {
    format!("account-{number}").into()
}

/// Returns the number of accelerators that each account is guaranteed.
fn guarantee_per_account(load: &Load) -> i64 {
    let all = load.fleet.workers as i64 * load.fleet.accelerators;
    (all as f64 * load.accounts.guaranteed_share / load.accounts.count as f64)
        as i64
}

impl Simulation<'_> {
    fn schedule(&mut self, when: Time, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((when, self.event_count, event)));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp {
            monotonic: self.start.monotonic + self.now,
            wall: self.start.wall + self.now,
        }
    }

    fn run(&mut self) {
        for worker in 0..self.workers.len() {
            self.due_reports.insert(worker);
        }
        for (number, arrival) in self.day.arrivals.iter().enumerate() {
            self.schedule(arrival.at, Event::JobArrives(number));
        }
        for (number, (time, ..)) in self.day.incidents.iter().enumerate() {
            self.schedule(*time, Event::Incident(number));
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
        let end = Duration::from_secs_f64(self.load.seconds) + DRAIN_TIME;
        self.run_planner(true);
        while let Some(Reverse((time, ..))) = self.events.peek() {
            if *time >= end {
                break;
            }
            let steps = time.as_nanos().div_ceil(TIME_STEP.as_nanos()) as u32;
            self.now = (TIME_STEP * steps).max(self.now);
            let mut tick_due = false;
            while let Some(Reverse((time, _, event))) = self.events.pop() {
                if time > self.now {
                    self.schedule(time, event);
                    break;
                }
                tick_due |= event == Event::Tick;
                self.handle(event);
            }
            self.run_planner(tick_due);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::JobArrives(number) => self.submit_job(number),
            Event::Incident(number) => self.apply_incident(number),
            Event::WorkerReturns(worker) => {
                self.workers[worker].restart();
                self.due_reports.insert(worker);
            }
            Event::WorkerLeaves(worker) => self.lose_worker(worker, Time::MAX),
            Event::TaskEnds(worker, task, run, ending) => {
                self.end_task(worker, &task, run, ending);
            }
            Event::ReportDue(worker) => {
                self.due_reports.insert(worker);
            }
            Event::ProgressWritten(id, version) => {
                self.scheduler.mark_written(&id, version)
            }
            Event::GuaranteeDue(id) => self.check_guarantee(&id),
            Event::Tick => {
                let ticks_per_report =
                    REPORT_INTERVAL.as_millis() / TICK_INTERVAL.as_millis();
                let phase = self.now.as_millis() / TICK_INTERVAL.as_millis()
                    % ticks_per_report;
                for worker in 0..self.workers.len() {
                    if worker as u128 % ticks_per_report == phase {
                        self.due_reports.insert(worker);
                    }
                }
                self.schedule(self.now + TICK_INTERVAL, Event::Tick);
            }
        }
    }

    /// Delivers due reports, runs a scheduling pass and sends changed orders
    /// to the workers.
    fn run_planner(&mut self, tick_due: bool) {
        let timestamp = self.timestamp();
        for worker in std::mem::take(&mut self.due_reports) {
            let report = self.workers[worker].report(self.now);
            self.scheduler.apply_report(report, timestamp);
        }
        if tick_due || self.scheduler.is_changed() {
            self.scheduler.run_pass(timestamp);
            for agent in self.scheduler.take_inquiries() {
                let sent = timestamp.monotonic;
                self.scheduler.apply_inquiry(&agent, None, sent, timestamp);
            }
            self.scheduler.take_decisions();
        }
        for job in self.scheduler.take_unwritten(usize::MAX) {
            self.schedule(
                self.now + WRITE_TIME,
                Event::ProgressWritten(job.id, job.version),
            );
        }
        let agents: Vec<_> =
            self.scheduler.take_agents_to_order().into_iter().collect();
        for (agent, orders) in self.scheduler.orders_for(&agents) {
            if let Some(worker) = self.by_agent.get(&*agent).copied() {
                self.apply_orders(worker, &orders);
            }
        }
    }

    fn submit_job(&mut self, number: usize) {
        let arrival = self.day.arrivals[number].clone();
        let queue = &self.load.queues[arrival.queue];
        let id: JobId = format!("{number:06}").into();
        let job = Job {
            id: id.clone(),
            account: account_name(arrival.account),
            queue: queue.name.as_str().into(),
            pool: "pool".into(),
            priority: queue.priority,
            max_attempts: 3,
            stretch: queue.stretch,
            target: queue.target,
            guarded: true,
            accepted: self.timestamp().wall,
            spec: "".into(),
            steps: vec![Step {
                replicas: arrival.width,
                resources: Resources {
                    cpu: queue.cpu,
                    memory: queue.memory,
                    accelerators: arrival.accelerators,
                },
                estimate: arrival.declared,
                checkpoints: arrival.checkpoints,
                gang: queue.gang,
                same_rack: arrival.same_rack,
                ..Step::default()
            }],
            repeat: None,
            advice: None,
        };
        let failures = arrival.failures;
        let state = JobState {
            arrival,
            saved: BTreeMap::new(),
            failures,
            begun: false,
        };
        self.jobs.insert(id.clone(), state);
        if queue.priority == 0 && self.load.accounts.guaranteed_share > 0.0 {
            let deadline = self.now + self.load.accounts.reclaim_time;
            self.schedule(deadline, Event::GuaranteeDue(id));
        }
        let timestamp = self.timestamp();
        self.scheduler.accept_job(job, None, timestamp);
    }

    /// Checks that an urgent job within its account's guarantee has begun.
    /// Jobs shortly after an incident are not checked.
    fn check_guarantee(&mut self, id: &JobId) {
        let after_incident = self.day.incidents.iter().any(|(at, ..)| {
            *at <= self.now
                && self.now < *at + self.load.accounts.reclaim_time * 2
        });
        let account = self.jobs[id].arrival.account;
        let open = self.jobs.iter().filter(|(id, state)| {
            let queue = &self.load.queues[state.arrival.queue];
            let progress = self.scheduler.progress(id);
            state.arrival.account == account
                && queue.priority == 0
                && progress.is_none_or(|progress| progress.outcome.is_none())
        });
        let needed = open.map(|(_, state)| {
            state.arrival.accelerators * i64::from(state.arrival.width)
        });
        if after_incident
            || needed.sum::<i64>() > guarantee_per_account(self.load)
        {
            return;
        }
        self.guaranteed += 1;
        if !self.jobs[id].begun {
            self.missed.push(id.to_string());
        }
    }

    fn apply_incident(&mut self, number: usize) {
        let (_, worker, incident) = self.day.incidents[number];
        if !self.workers[worker].is_up() {
            return;
        }
        match incident {
            Incident::Lost(duration) => {
                self.lose_worker(worker, self.now + duration);
                self.schedule(
                    self.now + duration,
                    Event::WorkerReturns(worker),
                );
            }
            Incident::Leaving(notice) => {
                self.workers[worker].leaves_at = Some(self.now + notice);
                self.schedule(self.now + notice, Event::WorkerLeaves(worker));
            }
            Incident::Failing(duration) => {
                self.workers[worker].fails_until = self.now + duration;
            }
        }
        self.due_reports.insert(worker);
    }

    fn lose_worker(&mut self, worker: usize, until: Time) {
        for (task, execution) in self.workers[worker].take_down(until) {
            self.record_waste(&task, &execution, worker);
            self.end_gang(&task, execution.run, RunOutcome::Broken);
        }
        self.due_reports.insert(worker);
    }

    fn apply_orders(&mut self, worker: usize, orders: &Orders) {
        if !self.workers[worker].is_up() {
            return;
        }
        let life = self.workers[worker].life();
        if orders
            .life
            .as_ref()
            .is_some_and(|addressed| **addressed != *life)
        {
            return;
        }
        self.workers[worker].acknowledge(orders.noted);
        self.workers[worker].forget_refused(orders);
        for stop in &orders.stops {
            let here = self.workers[worker].bar(&stop.task, stop.run);
            let execution = self.workers[worker].running.get_mut(&stop.task);
            match execution {
                Some(execution) if here && !execution.stopping => {
                    execution.stopping = true;
                    let run = execution.run;
                    let duration = self.load.fleet.stop_time;
                    let duration =
                        duration.mul_f64(0.5 + self.random.f64() / 2.0);
                    let task = stop.task.clone();
                    let ends =
                        Event::TaskEnds(worker, task, run, Ending::Stopped);
                    self.schedule(self.now + duration, ends);
                }
                Some(_) => {}
                None => {
                    if self.workers[worker].refuse(&stop.task, stop.run) {
                        self.schedule(
                            self.now + MESSAGE_TIME,
                            Event::ReportDue(worker),
                        );
                    }
                }
            }
        }
        for start in &orders.starts {
            let state = self.jobs.get(&start.task.job);
            let saved =
                state.and_then(|state| state.saved.get(&start.task).copied());
            let saved = saved.unwrap_or_default();
            if self.workers[worker].start(start, self.now, saved) {
                self.start_work(&start.task, start.run);
                self.schedule(
                    self.now + MESSAGE_TIME,
                    Event::ReportDue(worker),
                );
            }
        }
    }

    /// Returns the tasks of a run, with their workers: all members for a gang,
    /// the task alone otherwise.
    fn members(&self, task: &Task, run: Run) -> Vec<(usize, Task)> {
        let gang = self.is_gang(task);
        let same = |other: &Task, execution: &Execution| {
            let one = gang || other.index == task.index;
            other.job == task.job && execution.run == run && one
        };
        let mut members = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let here = worker.running.iter().filter(|(t, w)| same(t, w));
            members.extend(here.map(|(task, _)| (at, task.clone())));
        }
        members
    }

    fn is_gang(&self, task: &Task) -> bool {
        let state = &self.jobs[&task.job];
        self.load.queues[state.arrival.queue].gang
    }

    /// Starts the work of a run once all of its members are present.
    fn start_work(&mut self, task: &Task, run: Run) {
        let members = self.members(task, run);
        let state = &self.jobs[&task.job];
        let gang = self.is_gang(task);
        if gang && members.len() < state.arrival.width as usize {
            return;
        }
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.begun = true;
        }
        let state = &self.jobs[&task.job];
        let racks: BTreeSet<&String> = members
            .iter()
            .map(|(at, _)| &self.workers[*at].rack)
            .collect();
        let crosses_racks = state.arrival.same_rack && racks.len() > 1;
        let speeds = members.iter().map(|(at, _)| self.workers[*at].speed);
        let speed = speeds.fold(f64::INFINITY, f64::min);
        let slowdown = if crosses_racks {
            CROSS_RACK_SLOWDOWN
        } else {
            1.0
        } / speed;
        let job_fails = state.failures > 0;
        let on_failing_worker = members
            .iter()
            .any(|(at, _)| self.now < self.workers[*at].fails_until);
        let work = state.arrival.work;
        for (at, task) in members {
            let Some(execution) = self.workers[at].running.get_mut(&task)
            else {
                continue;
            };
            execution.work_start = Some(self.now);
            let left = work.saturating_sub(execution.saved).mul_f64(slowdown);
            let whole = work.mul_f64(slowdown).as_secs_f64().max(1e-3);
            execution.rate = 1.0 / whole;
            execution.done_before = 1.0 - left.as_secs_f64() / whole;
            let (duration, ending) = match (on_failing_worker, job_fails) {
                (true, _) => (left.mul_f64(0.1), Ending::Failed),
                (_, true) => (left.mul_f64(0.5), Ending::Failed),
                _ => (left, Ending::Done),
            };
            self.schedule(
                self.now + duration,
                Event::TaskEnds(at, task, run, ending),
            );
        }
    }

    fn end_task(
        &mut self,
        worker: usize,
        task: &Task,
        run: Run,
        ending: Ending,
    ) {
        let here = self.workers[worker].running.get(task);
        let Some(execution) =
            here.filter(|execution| execution.run == run).cloned()
        else {
            return;
        };
        let outcome = match ending {
            Ending::Done => RunOutcome::Done,
            Ending::Failed => RunOutcome::Failed,
            Ending::Stopped => RunOutcome::Stopped,
        };
        self.workers[worker].finish(task, outcome);
        self.schedule(self.now + MESSAGE_TIME, Event::ReportDue(worker));
        if ending != Ending::Done {
            self.record_waste(task, &execution, worker);
        }
        if ending == Ending::Failed {
            if let Some(state) = self.jobs.get_mut(&task.job) {
                state.failures = state.failures.saturating_sub(1);
            }
        }
        let others = match ending {
            Ending::Done => RunOutcome::Done,
            _ => RunOutcome::Broken,
        };
        self.end_gang(task, run, others);
    }

    /// Ends the remaining members of a gang's run; does nothing for other
    /// tasks.
    fn end_gang(&mut self, task: &Task, run: Run, outcome: RunOutcome) {
        if !self.is_gang(task) {
            return;
        }
        for (at, member) in self.members(task, run) {
            if let Some(execution) = self.workers[at].finish(&member, outcome)
            {
                if outcome != RunOutcome::Done {
                    self.record_waste(&member, &execution, at);
                }
                self.schedule(self.now + MESSAGE_TIME, Event::ReportDue(at));
            }
        }
    }

    /// Counts the lost work of a run as wasted, and saves the rest if the job
    /// saves checkpoints.
    fn record_waste(
        &mut self,
        task: &Task,
        execution: &Execution,
        worker: usize,
    ) {
        let cores = execution.charge.cpu as f64 / 1000.0
            + execution.charge.accelerators as f64 * CORES_PER_ACCELERATOR;
        let start = execution.work_start.unwrap_or(execution.started);
        let ran = self.now.saturating_sub(start);
        let speed = self.workers[worker].speed;
        let Some(state) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut lost = ran;
        if state.arrival.checkpoints && execution.work_start.is_some() {
            let checkpoints =
                ran.as_millis() / CHECKPOINT_INTERVAL.as_millis();
            let kept = CHECKPOINT_INTERVAL * checkpoints as u32;
            lost = ran - kept;
            let saved = state.saved.entry(task.clone()).or_default();
            *saved = execution.saved + kept.mul_f64(speed);
        }
        self.wasted += cores * lost.as_secs_f64();
    }

    fn score(&self) -> Score {
        let job = |(id, state): (&JobId, &JobState)| {
            let arrival = &state.arrival;
            let queue = &self.load.queues[arrival.queue];
            let cores = queue.cpu as f64 / 1000.0
                + arrival.accelerators as f64 * CORES_PER_ACCELERATOR;
            let seconds = arrival.work.as_secs_f64();
            let progress = self.scheduler.progress(id);
            let done = progress
                .filter(|p| p.outcome == Some(Outcome::Succeeded))
                .and_then(|p| p.ended);
            let arrived = self.start.wall + arrival.at;
            score::Job {
                queue: arrival.queue,
                work: cores * seconds * f64::from(arrival.width),
                objective: arrival.work.mul_f64(queue.stretch) + queue.target,
                response_time: done
                    .and_then(|at| at.duration_since(arrived).ok()),
            }
        };
        let jobs: Vec<score::Job> = self.jobs.iter().map(job).collect();
        Score {
            guaranteed: self.guaranteed,
            missed: self.missed.clone(),
            ..Score::new(self.load, &jobs, self.wasted)
        }
    }
}

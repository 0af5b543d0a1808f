//! Simulated workers, which carry out all orders on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use landingvalve::graph::share::Meter;
use landingvalve::graph::Ended;
use landingvalve::graph::Lists;
use landingvalve::graph::Orders;
use landingvalve::graph::Refusal;
use landingvalve::graph::Refused;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Start;
use landingvalve::graph::Task;
use landingvalve::graph::WorkerReport;

use crate::load::Fleet;

/// Time from the start of the day.
pub type Time = Duration;

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Number of the run.
    pub run: Run,
    /// Resources that the run occupies.
    pub charge: Resources,
    /// Client account of the job.
    pub account: Option<SharedStr>,
    /// Time at which the task began to work, `None` while it waits for its
    /// gang.
    pub work_start: Option<Time>,
    /// Work that earlier runs have saved, as time at speed 1.
    pub saved: Duration,
    /// Time at which the worker accepted the start.
    pub started: Time,
    /// Whether the run is being stopped.
    pub stopping: bool,
    /// Share of its work that was done when the task began to work, 0 to 1.
    pub done_before: f64,
    /// Share of its work that the task does in a second.
    pub rate: f64,
}

impl Execution {
    /// Returns the share of the work that is done, in whole percent.
    fn percent_done(&self, now: Time) -> f64 {
        let Some(start) = self.work_start else {
            return (self.done_before * 100.0).floor();
        };
        let worked = now.saturating_sub(start).as_secs_f64() * self.rate;
        ((self.done_before + worked) * 100.0).floor().min(100.0)
    }
}

/// A simulated worker with its agent.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the worker's agent.
    pub agent: String,
    /// Name of the worker's rack.
    pub rack: String,
    /// Speed; the work of tasks is stated for a worker of speed 1.
    pub speed: f64,
    /// Number of births so far.
    pub births: u32,
    /// Time until which the worker is down, `None` while it is up.
    pub away_until: Option<Time>,
    /// Time at which the worker leaves for good, `None` unless announced.
    pub leaves_at: Option<Time>,
    /// Time until which all runs that begin on the worker fail.
    pub fails_until: Time,
    /// Tasks on the worker.
    pub running: BTreeMap<Task, Execution>,
    /// Ends that the planner has not acknowledged.
    pub ended: Vec<Ended>,
    /// Runs that were ordered to stop and never began on the worker.
    pub refused: Vec<Refused>,
    capacity: Resources,
    barred: BTreeMap<Task, Run>,
    last_end: u64,
    sequence: u64,
    used: Meter,
    /// Time until which the use is counted.
    counted: Time,
}

impl Worker {
    /// Returns the workers of a fleet.
    pub fn from_fleet(fleet: &Fleet) -> Vec<Worker> {
        let worker = |at: usize| Worker {
            agent: format!("agent-{at:04}"),
            rack: format!("rack-{:03}", at / fleet.per_rack),
            speed: fleet.speeds[at % fleet.speeds.len()],
            births: 1,
            away_until: None,
            leaves_at: None,
            fails_until: Time::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            refused: Vec::new(),
            capacity: Resources {
                cpu: fleet.cpu,
                memory: fleet.memory,
                accelerators: fleet.accelerators,
            },
            barred: BTreeMap::new(),
            last_end: 0,
            sequence: 0,
            used: Meter::default(),
            counted: Time::ZERO,
        };
        (0..fleet.workers).map(worker).collect()
    }

    /// Returns whether the worker is up.
    pub fn is_up(&self) -> bool {
        self.away_until.is_none()
    }

    /// Takes the worker down and returns the tasks that it ran.
    pub fn take_down(&mut self, until: Time) -> BTreeMap<Task, Execution> {
        self.away_until = Some(until);
        self.ended.clear();
        self.refused.clear();
        self.barred.clear();
        self.last_end = 0;
        std::mem::take(&mut self.running)
    }

    /// Starts a new birth, without tasks.
    pub fn restart(&mut self) {
        self.away_until = None;
        self.births += 1;
    }

    /// Carries out a start, unless the run is barred or the task is already
    /// present. Returns whether the run was started.
    pub fn start(
        &mut self,
        start: &Start,
        now: Time,
        saved: Duration,
    ) -> bool {
        let barred = self.barred.get(&start.task).copied().unwrap_or(0);
        if self.running.contains_key(&start.task) || start.run <= barred {
            return false;
        }
        self.count_use(now);
        let execution = Execution {
            run: start.run,
            charge: start.charge,
            account: start.account.clone(),
            work_start: None,
            saved,
            started: now,
            stopping: false,
            done_before: 0.0,
            rate: 0.0,
        };
        self.running.insert(start.task.clone(), execution);
        true
    }

    /// Refuses a run that never began. Returns whether this changes what the
    /// worker reports.
    pub fn refuse(&mut self, task: &Task, run: Run) -> bool {
        let ended = self.ended.iter().any(|e| e.task == *task && e.run == run);
        let known = self.refused.iter();
        let known = known.filter(|r| r.task == *task && r.run == run);
        if ended || known.count() > 0 {
            return false;
        }
        self.refused.push(Refused {
            task: task.clone(),
            run,
            why: Refusal::Barred,
        });
        true
    }

    /// Forgets refusals of runs that are no longer part of the orders.
    pub fn forget_refused(&mut self, orders: &Orders) {
        self.refused.retain(|r| {
            let stops = orders.stops.iter().map(|s| (&s.task, s.run));
            let starts = orders.starts.iter().map(|s| (&s.task, s.run));
            stops
                .chain(starts)
                .any(|(task, run)| (task, run) == (&r.task, r.run))
        });
    }

    /// Bars a run of a task and all earlier ones from starting. Returns
    /// whether one of them is present.
    pub fn bar(&mut self, task: &Task, run: Run) -> bool {
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        let here = self.running.get(task);
        here.is_some_and(|execution| execution.run <= run)
    }

    /// Ends a task and returns its run, or `None` if the task is not present.
    pub fn finish(
        &mut self,
        task: &Task,
        outcome: RunOutcome,
    ) -> Option<Execution> {
        let execution = self.running.remove(task)?;
        self.bar(task, execution.run);
        self.last_end += 1;
        self.ended.push(Ended {
            number: self.last_end,
            task: task.clone(),
            run: execution.run,
            how: outcome,
            saved: String::new(),
        });
        Some(execution)
    }

    /// Forgets the ends up to the number that the planner has acknowledged.
    pub fn acknowledge(&mut self, noted: u64) {
        self.ended.retain(|ended| ended.number > noted);
    }

    /// Returns the name of the worker's current life.
    pub fn life(&self) -> String {
        format!("{}-{}", self.agent, self.births)
    }

    /// Counts the use of the tasks on the worker until now.
    fn count_use(&mut self, now: Time) {
        let held = self.running.values().filter_map(|execution| {
            Some((execution.account.clone()?, execution.charge))
        });
        let held: Vec<(SharedStr, Resources)> = held.collect();
        let elapsed = now.saturating_sub(self.counted);
        self.used.advance(&held, &self.capacity, elapsed);
        self.counted = now;
    }

    /// Returns the next report of the worker's agent.
    pub fn report(&mut self, now: Time) -> Report {
        self.sequence += 1;
        self.count_use(now);
        let running = self.running.iter().map(|(task, execution)| Running {
            task: task.clone(),
            run: execution.run,
            saved: String::new(),
            pace: execution.percent_done(now),
            load: Some(
                f64::from(u8::from(execution.work_start.is_some())) * 1000.0,
            ),
        });
        let left = self.leaves_at.map(|at| at.saturating_sub(now));
        let worker = WorkerReport {
            life: self.life().as_str().into(),
            pool: "pool".into(),
            machine: None,
            hall: "hall".into(),
            rack: self.rack.as_str().into(),
            labels: Vec::new(),
            capacity: self.capacity,
            leaving: self.leaves_at.is_some(),
            silent: false,
            remaining_ms: left.map(|left| left.as_millis() as u64),
            listed_at: Some(now.as_millis() as u64),
            speed: None,
            used: self.used.list(),
            lists: Lists {
                running: running.collect(),
                ended: self.ended.clone(),
            },
            refused: self.refused.clone(),
        };
        let gone = format!("{}-{}", self.agent, self.births);
        Report {
            agent: self.agent.as_str().into(),
            process: "agent".to_owned(),
            sequence: self.sequence,
            received: None,
            gone: (!self.is_up()).then(|| gone.as_str().into()),
            before: None,
            silent: false,
            worker: self.is_up().then_some(worker),
        }
    }
}

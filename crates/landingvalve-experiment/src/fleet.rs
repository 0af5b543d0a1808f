//! Workers that do what they are told, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

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
use landingvalve::graph::Start;
use landingvalve::graph::Task;
use landingvalve::graph::WorkerReport;

use crate::load::Fleet;

/// A time of the day.
pub type Time = Duration;

/// A task at work.
#[derive(Clone, Debug)]
pub struct Work {
    /// Which run.
    pub run: Run,
    /// What it takes.
    pub charge: Resources,
    /// When it began to work; nothing while it waits for its gang.
    pub began: Option<Time>,
    /// How much was saved before, as work at speed 1.
    pub saved: Duration,
    /// When it was started.
    pub since: Time,
    /// Whether it is being stopped.
    pub stopping: bool,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The name of its agent.
    pub agent: String,
    /// Its rack.
    pub rack: String,
    /// How fast it is.
    pub speed: f64,
    /// Counts its lives.
    pub life: u32,
    /// Until when it is away, if it is.
    pub away: Option<Time>,
    /// When it goes for good, if it leaves.
    pub leaves: Option<Time>,
    /// Until when it fails all that it starts.
    pub fails: Time,
    /// What is here.
    pub running: BTreeMap<Task, Work>,
    /// Ends that are not acknowledged.
    pub ended: Vec<Ended>,
    /// Runs that it was told to stop and that never began here.
    pub refused: Vec<Refused>,
    capacity: Resources,
    barred: BTreeMap<Task, Run>,
    number: u64,
    sequence: u64,
}

impl Worker {
    /// Returns all workers of a fleet.
    pub fn all(fleet: &Fleet) -> Vec<Worker> {
        let worker = |at: usize| Worker {
            agent: format!("agent-{at:04}"),
            rack: format!("rack-{:03}", at / fleet.per_rack),
            speed: fleet.speeds[at % fleet.speeds.len()],
            life: 1,
            away: None,
            leaves: None,
            fails: Time::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            refused: Vec::new(),
            capacity: Resources {
                cpu: fleet.cpu,
                memory: fleet.memory,
                accelerators: fleet.accelerators,
            },
            barred: BTreeMap::new(),
            number: 0,
            sequence: 0,
        };
        (0..fleet.workers).map(worker).collect()
    }

    /// Returns whether it is up.
    pub fn is_up(&self) -> bool {
        self.away.is_none()
    }

    /// Takes it down; returns what was at work.
    pub fn lose(&mut self, until: Time) -> BTreeMap<Task, Work> {
        self.away = Some(until);
        self.ended.clear();
        self.refused.clear();
        self.barred.clear();
        self.number = 0;
        std::mem::take(&mut self.running)
    }

    /// Starts it again, empty.
    pub fn come_back(&mut self) {
        self.away = None;
        self.life += 1;
    }

    /// Takes a start in; returns whether it is new here.
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
        let work = Work {
            run: start.run,
            charge: start.charge,
            began: None,
            saved,
            since: now,
            stopping: false,
        };
        self.running.insert(start.task.clone(), work);
        true
    }

    /// Refuses a run for good; returns whether that is news.
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

    /// Forgets what was refused and is no longer asked for.
    pub fn forget_refused(&mut self, orders: &Orders) {
        self.refused.retain(|r| {
            let stops = orders.stops.iter().map(|s| (&s.task, s.run));
            let starts = orders.starts.iter().map(|s| (&s.task, s.run));
            stops
                .chain(starts)
                .any(|(task, run)| (task, run) == (&r.task, r.run))
        });
    }

    /// Bars a run that is not here; returns whether it is.
    pub fn bar(&mut self, task: &Task, run: Run) -> bool {
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        let here = self.running.get(task);
        here.is_some_and(|work| work.run <= run)
    }

    /// Ends a task; returns what it was.
    pub fn end(&mut self, task: &Task, how: RunOutcome) -> Option<Work> {
        let work = self.running.remove(task)?;
        self.bar(task, work.run);
        self.number += 1;
        self.ended.push(Ended {
            number: self.number,
            task: task.clone(),
            run: work.run,
            how,
            saved: String::new(),
        });
        Some(work)
    }

    /// Forgets the ends that are acknowledged.
    pub fn forget(&mut self, noted: u64) {
        self.ended.retain(|ended| ended.number > noted);
    }

    /// Returns the name of its life.
    pub fn life(&self) -> String {
        format!("{}-{}", self.agent, self.life)
    }

    /// Returns what its agent reports now.
    pub fn report(&mut self, now: Time) -> Report {
        self.sequence += 1;
        let running = self.running.iter().map(|(task, work)| Running {
            task: task.clone(),
            run: work.run,
            saved: String::new(),
            pace: 100.0,
            load: Some(f64::from(u8::from(work.began.is_some())) * 1000.0),
        });
        let left = self.leaves.map(|at| at.saturating_sub(now));
        let worker = WorkerReport {
            life: self.life().as_str().into(),
            pool: "pool".into(),
            machine: None,
            hall: "hall".into(),
            rack: self.rack.as_str().into(),
            labels: Vec::new(),
            capacity: self.capacity,
            leaving: self.leaves.is_some(),
            silent: false,
            remaining_ms: left.map(|left| left.as_millis() as u64),
            lists: Lists {
                running: running.collect(),
                ended: self.ended.clone(),
            },
            refused: self.refused.clone(),
        };
        let gone = format!("{}-{}", self.agent, self.life);
        Report {
            agent: self.agent.as_str().into(),
            process: "agent".to_owned(),
            sequence: self.sequence,
            gone: (!self.is_up()).then(|| gone.as_str().into()),
            before: None,
            silent: false,
            worker: self.is_up().then_some(worker),
        }
    }
}

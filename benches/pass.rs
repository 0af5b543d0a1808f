//! Benchmarks one scheduling pass of the planner by the number of workers and
//! of waiting units.
//!
//! Run with `cargo bench --bench pass`. There are 8 workers per rack, with 8
//! accelerators each. All accelerators are in use by gangs of 8 tasks and
//! steps of 40 tasks; more of both, and gangs of 25 whole workers, wait. Each
//! iteration applies one report, which either lists no change or the end of
//! a task, and runs a pass.

// criterion_group! defines a public function without a doc comment.
#![allow(missing_docs)]

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use landingvalve::graph::Ended;
use landingvalve::graph::Job;
use landingvalve::graph::Lists;
use landingvalve::graph::Options;
use landingvalve::graph::Policy;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::Scheduler;
use landingvalve::graph::Step;
use landingvalve::graph::Timestamp;
use landingvalve::graph::WorkerReport;

/// The numbers of workers and of waiting units.
const SIZES: [(usize, usize); 6] = [
    (55, 100),
    (240, 100),
    (240, 1000),
    (1000, 1000),
    (2500, 1000),
    (2500, 10_000),
];
/// The number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;
/// The number of tasks of a step without a gang.
const WIDE_STEP_TASKS: u32 = 40;

struct Cell {
    scheduler: Scheduler,
    now: Timestamp,
    /// The number of jobs so far.
    jobs: usize,
    /// The number of the last report.
    sequence: u64,
    /// The running tasks of each worker.
    running: Vec<Vec<Running>>,
    /// The number of the last end at each worker.
    ended: Vec<u64>,
}

fn resources(accelerators: i64, cpu: i64) -> Resources {
    Resources {
        cpu,
        memory: 1000,
        accelerators,
    }
}

/// Returns the step of a kind of job: 0 is a gang of 8 tasks with one
/// accelerator each, 1 a wide step without a gang, 2 a gang of 25 whole
/// workers, 3 a gang of half a rack.
fn step(kind: usize) -> Step {
    let (replicas, resources, gang) = match kind {
        0 => (8, resources(1, 15_000), true),
        3 => (4, resources(8, 15_000), true),
        1 => (WIDE_STEP_TASKS, resources(1, 11_000), false),
        _ => (25, resources(8, 52_000), true),
    };
    Step {
        replicas,
        resources,
        estimate: Duration::from_secs(9),
        gang,
        same_rack: gang && replicas <= 8,
        ..Step::default()
    }
}

impl Cell {
    /// Returns a cell with all accelerators in use and about `waiting` waiting
    /// units.
    fn new(workers: usize, waiting: usize) -> Cell {
        Cell::with_policy(workers, waiting, Policy::default())
    }

    fn with_policy(workers: usize, waiting: usize, policy: Policy) -> Cell {
        let options = Options {
            policy,
            ..Options::default()
        };
        let now = Timestamp {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        };
        let mut cell = Cell {
            scheduler: Scheduler::new(options, now),
            now,
            jobs: 0,
            sequence: 0,
            running: vec![Vec::new(); workers],
            ended: vec![0; workers],
        };
        for index in 0..workers {
            cell.report(index, None);
        }
        // Wide steps that use every accelerator, then jobs that wait.
        let full = workers * 8 / WIDE_STEP_TASKS as usize;
        for _ in 0..full {
            cell.submit(1);
        }
        let steps = waiting / WIDE_STEP_TASKS as usize;
        for index in 0..steps {
            cell.submit(1);
            if index % 10 == 0 {
                cell.submit(0);
                cell.submit(2);
            }
        }
        for _ in 0..3 {
            cell.settle();
        }
        cell
    }

    /// Submits a job of one step of a kind, see [`step`].
    fn submit(&mut self, kind: usize) {
        self.jobs += 1;
        let job = Job {
            id: format!("job{}", self.jobs).into(),
            account: format!("account{}", self.jobs % 24).into(),
            queue: format!("queue{kind}").into(),
            pool: "pool".into(),
            priority: [0, 2, 1, 0][kind],
            max_attempts: 3,
            stretch: 3.0,
            target: Duration::from_secs(1),
            guarded: true,
            accepted: self.now.wall,
            spec: "spec".into(),
            steps: vec![step(kind)],
            repeat: None,
            advice: None,
        };
        self.scheduler.accept_job(job, None, self.now);
    }

    /// Applies a report of an agent, with the end of a task if one ended.
    fn report(&mut self, index: usize, ended: Option<Running>) {
        self.sequence += 1;
        let ended = ended.map(|running| {
            self.ended[index] += 1;
            Ended {
                number: self.ended[index],
                task: running.task,
                run: running.run,
                how: RunOutcome::Done,
                saved: String::new(),
            }
        });
        let report = Report {
            agent: format!("agent{index:04}").into(),
            process: "process".to_owned(),
            sequence: self.sequence,
            received: None,
            gone: None,
            before: None,
            silent: false,
            worker: Some(WorkerReport {
                life: format!("life{index:04}").into(),
                pool: "pool".into(),
                machine: None,
                hall: "hall".into(),
                rack: format!("rack{}", index / WORKERS_PER_RACK).into(),
                labels: Vec::new(),
                capacity: Resources {
                    memory: 256_000,
                    ..resources(8, 128_000)
                },
                leaving: false,
                silent: false,
                remaining_ms: None,
                listed_at: None,
                speed: None,
                used: Vec::new(),
                lists: Lists {
                    running: self.running[index].clone(),
                    ended: ended.into_iter().collect(),
                },
                refused: Vec::new(),
            }),
        };
        self.scheduler.apply_report(report, self.now);
    }

    /// Runs a pass, and executes the orders of every worker.
    fn settle(&mut self) {
        self.pass();
        for index in 0..self.running.len() {
            let agent = format!("agent{index:04}").into();
            let orders = self.scheduler.orders(&agent);
            for stop in &orders.stops {
                let is_stopped =
                    |r: &Running| r.task == stop.task && r.run == stop.run;
                self.running[index].retain(|running| !is_stopped(running));
            }
            for start in orders.starts {
                self.running[index].push(Running {
                    task: start.task,
                    run: start.run,
                    saved: String::new(),
                    pace: 100.0,
                    load: Some(1.0),
                });
            }
            self.report(index, None);
        }
    }

    /// Runs a pass, with a store that writes records at once.
    fn pass(&mut self) {
        self.now.monotonic += Duration::from_millis(1);
        self.scheduler.run_pass(self.now);
        for job in self.scheduler.take_unwritten(usize::MAX) {
            self.scheduler.mark_written(&job.id, job.version);
        }
        self.scheduler.take_decisions();
    }
}

fn passes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pass");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(3));
    for (workers, waiting) in SIZES {
        let size = format!("{workers} workers, {waiting} waiting");
        let mut cell = Cell::new(workers, waiting);
        let mut index = 0;
        let id = BenchmarkId::new("nothing new", &size);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                index = (index + 1) % workers;
                cell.report(index, None);
                cell.pass();
            });
        });
        let id = BenchmarkId::new("a task ends", &size);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                index = (index + 1) % workers;
                let ended = cell.running[index].pop();
                cell.report(index, ended);
                cell.pass();
            });
        });
    }
    // Workers are kept for urgent work once five urgent jobs have been seen.
    for headroom in [true, false] {
        let policy = Policy {
            headroom,
            ..Policy::default()
        };
        let (workers, waiting) = (1000, 1000);
        let mut cell = Cell::with_policy(workers, waiting, policy);
        for _ in 0..8 {
            cell.submit(3);
        }
        for _ in 0..3 {
            cell.settle();
        }
        let mut index = 0;
        let id = BenchmarkId::new("a task ends, urgent work seen", headroom);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                index = (index + 1) % workers;
                let ended = cell.running[index].pop();
                cell.report(index, ended);
                cell.pass();
            });
        });
        // The first pass after the interval between two choices.
        let mut later = cell.now;
        later.monotonic += Duration::from_millis(600);
        let id = BenchmarkId::new("kept workers are chosen", headroom);
        group.bench_function(id, |bencher| {
            bencher.iter_batched_ref(
                || cell.scheduler.clone(),
                |scheduler| scheduler.run_pass(later),
                BatchSize::LargeInput,
            );
        });
    }
    // A burst of more urgent gangs of half a rack than may preempt others at
    // the same time.
    for urgent in [10, 40] {
        let mut cell = Cell::new(240, 100);
        for _ in 0..urgent {
            cell.submit(3);
        }
        let size = format!("240 workers, {urgent} urgent gangs");
        group.bench_function(BenchmarkId::new("a burst", &size), |bencher| {
            bencher.iter(|| cell.scheduler.clone().run_pass(cell.now));
        });
    }
    group.finish();
}

criterion_group!(benches, passes);
criterion_main!(benches);

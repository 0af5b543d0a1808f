//! The time of one pass of a planner, by workers and units that wait.
//!
//! `cargo bench --bench pass`. Workers have 8 accelerators each, 8 to a
//! rack. They are full with gangs of 8 and steps of 40 tasks; more of both,
//! and gangs of 25 whole workers, wait. A turn takes in one report and
//! decides: one that lists nothing new, or the end of a task.

// The library's macro makes a public function without a comment.
#![allow(missing_docs)]

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use landingvalve::graph::Ended;
use landingvalve::graph::Job;
use landingvalve::graph::Lists;
use landingvalve::graph::Options;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::Scheduler;
use landingvalve::graph::Step;
use landingvalve::graph::Timestamp;
use landingvalve::graph::WorkerReport;

/// Workers, and units that wait.
const SIZES: [(usize, usize); 6] = [
    (55, 100),
    (240, 100),
    (240, 1000),
    (1000, 1000),
    (2500, 1000),
    (2500, 10_000),
];
/// Workers to a rack.
const RACK: usize = 8;
/// Tasks of a wide step.
const TASKS: u32 = 40;

struct Cell {
    book: Scheduler,
    now: Timestamp,
    jobs: usize,
    sequence: u64,
    running: Vec<Vec<Running>>,
    ended: Vec<u64>,
}

fn resources(accelerators: i64, cpu: i64) -> Resources {
    Resources {
        cpu,
        memory: 1000,
        accelerators,
    }
}

fn step(kind: usize) -> Step {
    let (replicas, resources, gang) = match kind {
        0 => (8, resources(1, 15_000), true),
        3 => (4, resources(8, 15_000), true),
        1 => (TASKS, resources(1, 11_000), false),
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
    fn new(workers: usize, waiting: usize) -> Cell {
        let now = Timestamp {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        };
        let mut cell = Cell {
            book: Scheduler::new(Options::default(), now),
            now,
            jobs: 0,
            sequence: 0,
            running: vec![Vec::new(); workers],
            ended: vec![0; workers],
        };
        for at in 0..workers {
            cell.report(at, None);
        }
        // Wide steps to fill every accelerator, and some more of each kind.
        let full = workers * 8 / TASKS as usize;
        for _ in 0..full {
            cell.submit(1);
        }
        let steps = waiting / TASKS as usize;
        for at in 0..steps {
            cell.submit(1);
            if at % 10 == 0 {
                cell.submit(0);
                cell.submit(2);
            }
        }
        for _ in 0..3 {
            cell.settle();
        }
        cell
    }

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
        self.book.accept_job(job, None, self.now);
    }

    fn report(&mut self, at: usize, ended: Option<Running>) {
        self.sequence += 1;
        let ended = ended.map(|running| {
            self.ended[at] += 1;
            Ended {
                number: self.ended[at],
                task: running.task,
                run: running.run,
                how: RunOutcome::Done,
                saved: String::new(),
            }
        });
        let report = Report {
            agent: format!("agent{at:04}").into(),
            process: "process".to_owned(),
            sequence: self.sequence,
            gone: None,
            before: None,
            silent: false,
            worker: Some(WorkerReport {
                life: format!("life{at:04}").into(),
                pool: "pool".into(),
                machine: None,
                hall: "hall".into(),
                rack: format!("rack{}", at / RACK).into(),
                labels: Vec::new(),
                capacity: Resources {
                    memory: 256_000,
                    ..resources(8, 128_000)
                },
                leaving: false,
                silent: false,
                remaining_ms: None,
                lists: Lists {
                    running: self.running[at].clone(),
                    ended: ended.into_iter().collect(),
                },
                refused: Vec::new(),
            }),
        };
        self.book.apply_report(report, self.now);
    }

    /// Decides, writes, and lets every worker start what it is told.
    fn settle(&mut self) {
        self.pass();
        for at in 0..self.running.len() {
            let agent = format!("agent{at:04}").into();
            let orders = self.book.orders(&agent);
            for stop in &orders.stops {
                let this =
                    |r: &Running| r.task == stop.task && r.run == stop.run;
                self.running[at].retain(|running| !this(running));
            }
            for start in orders.starts {
                self.running[at].push(Running {
                    task: start.task,
                    run: start.run,
                    saved: String::new(),
                    pace: 100.0,
                    load: Some(1.0),
                });
            }
            self.report(at, None);
        }
    }

    fn pass(&mut self) {
        self.now.monotonic += Duration::from_millis(1);
        self.book.run_pass(self.now);
        for job in self.book.take_unwritten(usize::MAX) {
            self.book.mark_written(&job.id, job.version);
        }
        self.book.take_decisions();
    }
}

fn passes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pass");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(3));
    for (workers, waiting) in SIZES {
        let size = format!("{workers} workers, {waiting} waiting");
        let mut cell = Cell::new(workers, waiting);
        let mut at = 0;
        let id = BenchmarkId::new("nothing new", &size);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                at = (at + 1) % workers;
                cell.report(at, None);
                cell.pass();
            });
        });
        let id = BenchmarkId::new("a task ends", &size);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                at = (at + 1) % workers;
                let ended = cell.running[at].pop();
                cell.report(at, ended);
                cell.pass();
            });
        });
    }
    // A burst: more urgent gangs of half a rack than may stop others at once.
    for urgent in [10, 40] {
        let mut cell = Cell::new(240, 100);
        for _ in 0..urgent {
            cell.submit(3);
        }
        let size = format!("240 workers, {urgent} urgent gangs");
        group.bench_function(BenchmarkId::new("a burst", &size), |bencher| {
            bencher.iter(|| cell.book.clone().run_pass(cell.now));
        });
    }
    group.finish();
}

criterion_group!(benches, passes);
criterion_main!(benches);

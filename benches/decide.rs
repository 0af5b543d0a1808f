//! Benchmarks one decision of the planner for several sizes of a cell.
//!
//! Run with `cargo bench --bench decide`. Nine tenths of the cell's
//! accelerators are used by jobs of 1 to 16 accelerators from up to 60
//! accounts. Each iteration ends one job and submits another.

// criterion_group! defines a public function without a doc comment.
#![allow(missing_docs)]

use std::time::Duration;
use std::time::SystemTime;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::Criterion;
use fastrand::Rng;
use landingvalve::account::Account;
use landingvalve::job;
use landingvalve::plan::command::Command;
use landingvalve::plan::event::Event;
use landingvalve::plan::Plan;
use landingvalve::plan::Policy;
use landingvalve::site::Shape;
use landingvalve::site::Site;
use landingvalve::site::Within;

/// The largest number of accounts.
const MAX_ACCOUNTS: usize = 60;
/// The largest number of waiting jobs. The bound keeps iterations comparable,
/// because a decision visits every waiting job.
const MAX_WAITING: usize = 100;

/// Returns an account of the cell; half of the accounts have a guarantee.
fn account(number: usize, accounts: usize) -> (String, Account) {
    let guarantee = vec![Shape {
        accelerators: 8,
        within: Within::Worker,
    }];
    let guarantee = match number * 2 < accounts {
        true => guarantee,
        false => Vec::new(),
    };
    let borrow = 100_000;
    (format!("a{number}"), Account { guarantee, borrow })
}

struct Cell {
    plan: Plan,
    rng: Rng,
    now: SystemTime,
    /// The number of jobs so far.
    jobs: u64,
    accounts: usize,
    running: Vec<(job::Id, job::Attempt)>,
}

impl Cell {
    /// Returns a cell with nine tenths of its accelerators in use.
    fn new(workers: usize) -> Cell {
        let mut site = Site::new(8).expect("8 is in range");
        for worker in 0..workers {
            let hall = format!("h{}", worker / 278);
            let rack = format!("{hall}r{}", worker / 8);
            site.add(&hall, &rack, &format!("w{worker}")).expect("new");
        }
        let workers_up: Vec<Event> = site
            .workers()
            .iter()
            .map(|w| Event::WorkerUp {
                worker: w.id.clone(),
            })
            .collect();
        let accounts = MAX_ACCOUNTS.min(workers);
        let account_events = (0..accounts).map(|number| {
            let (id, terms) = account(number, accounts);
            let account = id.as_str().into();
            Event::AccountChanged { account, terms }
        });
        let mut cell = Cell {
            plan: Plan::new(site, Policy::default()),
            rng: Rng::with_seed(1),
            now: SystemTime::UNIX_EPOCH,
            jobs: 0,
            accounts,
            running: Vec::new(),
        };
        cell.step(workers_up.into_iter().chain(account_events).collect());
        let target = workers as u64 * 8 * 9 / 10;
        let mut used = 0;
        while used < target {
            let spec = cell.spec();
            used += u64::from(spec.shape.accelerators);
            cell.step(vec![Event::Submitted { spec }]);
        }
        cell
    }

    /// Returns the next job, of random size and account.
    fn spec(&mut self) -> job::Spec {
        self.jobs += 1;
        let sizes = [1, 1, 2, 4, 8, 16];
        let accelerators = sizes[self.rng.usize(0..sizes.len())];
        let within = match accelerators > 8 {
            true => Within::Rack,
            false => Within::Worker,
        };
        let account = self.rng.usize(0..self.accounts);
        job::Spec {
            id: format!("j{}", self.jobs).into(),
            account: format!("a{account}").into(),
            template: "t".into(),
            shape: Shape {
                accelerators,
                within,
            },
            declared: Duration::from_secs(3600),
            repeatable: self.rng.u8(0..10) > 0,
            checkpoint: self.rng.bool(),
            urgent: false,
            submitted: self.now,
            due: None,
        }
    }

    /// Applies events and executes the commands of the decision.
    fn step(&mut self, events: Vec<Event>) {
        for command in self.plan.step(events, self.now) {
            match command {
                Command::Start { job, attempt, .. } => {
                    self.running.push((job, attempt));
                }
                Command::Stop { job, .. } | Command::Finish { job, .. } => {
                    self.running.retain(|(id, _)| *id != job);
                }
                Command::Quarantine { .. } | Command::Restore { .. } => {}
            }
        }
    }

    /// Ends a random job and submits another.
    fn run_iteration(&mut self) {
        self.now += Duration::from_secs(1);
        let mut events = Vec::new();
        if self.plan.state().waiting.len() < MAX_WAITING {
            let spec = self.spec();
            events.push(Event::Submitted { spec });
        }
        if !self.running.is_empty() {
            let index = self.rng.usize(0..self.running.len());
            let (job, attempt) = self.running[index].clone();
            events.push(Event::Completed { job, attempt });
        }
        self.step(events);
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for workers in [11, 280, 2500] {
        let mut cell = Cell::new(workers);
        group.bench_function(format!("{workers} workers"), |bencher| {
            bencher.iter(|| cell.run_iteration());
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);

//! The time of one decision, at several sizes of one cell.
//!
//! `cargo bench --bench decide`. A cell is filled to nine tenths with jobs
//! of 1 to 16 accelerators of 60 accounts; each turn ends one job and
//! submits another.

// The library's macro makes a public function without a comment.
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

const ACCOUNTS: usize = 60;
/// How many jobs may wait: a decision also looks at each of those.
const WAITING: usize = 100;

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
    next: u64,
    accounts: usize,
    running: Vec<(job::Id, job::Attempt)>,
}

impl Cell {
    fn new(workers: usize) -> Cell {
        let mut site = Site::new(8).expect("8 is in range");
        for worker in 0..workers {
            let hall = format!("h{}", worker / 278);
            let rack = format!("{hall}r{}", worker / 8);
            site.add(&hall, &rack, &format!("w{worker}")).expect("new");
        }
        let up: Vec<Event> = site
            .workers()
            .iter()
            .map(|w| Event::WorkerUp {
                worker: w.id.clone(),
            })
            .collect();
        let accounts = ACCOUNTS.min(workers);
        let terms = (0..accounts).map(|number| {
            let (id, terms) = account(number, accounts);
            let account = id.as_str().into();
            Event::AccountChanged { account, terms }
        });
        let mut cell = Cell {
            plan: Plan::new(site, Policy::default()),
            rng: Rng::with_seed(1),
            now: SystemTime::UNIX_EPOCH,
            next: 0,
            accounts,
            running: Vec::new(),
        };
        cell.step(up.into_iter().chain(terms).collect());
        let wanted = workers as u64 * 8 * 9 / 10;
        let mut used = 0;
        while used < wanted {
            let spec = cell.spec();
            used += u64::from(spec.shape.accelerators);
            cell.step(vec![Event::Submitted { spec }]);
        }
        cell
    }

    fn spec(&mut self) -> job::Spec {
        self.next += 1;
        let sizes = [1, 1, 2, 4, 8, 16];
        let accelerators = sizes[self.rng.usize(0..sizes.len())];
        let within = match accelerators > 8 {
            true => Within::Rack,
            false => Within::Worker,
        };
        let account = self.rng.usize(0..self.accounts);
        job::Spec {
            id: format!("j{}", self.next).into(),
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

    fn turn(&mut self) {
        self.now += Duration::from_secs(1);
        let mut events = Vec::new();
        if self.plan.state().waiting.len() < WAITING {
            let spec = self.spec();
            events.push(Event::Submitted { spec });
        }
        if !self.running.is_empty() {
            let at = self.rng.usize(0..self.running.len());
            let (job, attempt) = self.running[at].clone();
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
            bencher.iter(|| cell.turn());
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);

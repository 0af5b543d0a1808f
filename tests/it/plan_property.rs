//! Invariants of the plan's state after every step of random histories: jobs
//! are submitted, complete, fail and are cancelled, while workers are lost,
//! leave and come back.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use landingvalve::account::Account;
use landingvalve::job;
use landingvalve::plan::command::Command;
use landingvalve::plan::event::Event;
use landingvalve::plan::home::mask_on;
use landingvalve::plan::state::accelerator_count;
use landingvalve::plan::state::Phase;
use landingvalve::plan::Plan;
use landingvalve::plan::Policy;
use landingvalve::replay::checker::Checker;
use landingvalve::site::Shape;
use landingvalve::site::Site;
use landingvalve::site::Within;

const HALLS: [&[usize]; 2] = [&[3, 1], &[3]];
const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

fn site() -> Site {
    let mut site = Site::new(8).unwrap();
    for (hall, racks) in HALLS.iter().enumerate() {
        for (rack, workers) in racks.iter().enumerate() {
            for worker in 0..*workers {
                let rack = format!("h{hall}r{rack}");
                let worker = format!("{rack}w{worker}");
                site.add(&format!("h{hall}"), &rack, &worker).unwrap();
            }
        }
    }
    site
}

fn account_terms(account: &str) -> Account {
    let shape = |accelerators, within| Shape {
        accelerators,
        within,
    };
    let guarantee = match account {
        "a" => vec![shape(16, Within::Rack), shape(4, Within::Worker)],
        "b" => vec![shape(8, Within::Worker), shape(4, Within::Worker)],
        _ => vec![shape(2, Within::Worker)],
    };
    Account {
        guarantee,
        borrow: 40,
    }
}

/// A site that carries out the plan's commands, and generates random events.
struct Simulation {
    plan: Plan,
    checker: Checker,
    now: SystemTime,
    /// The attempt and the workers of each job that runs.
    running: BTreeMap<job::Id, (job::Attempt, Vec<usize>)>,
    stopping: BTreeMap<job::Id, job::Attempt>,
    submitted_count: u32,
}

impl Simulation {
    fn new() -> Simulation {
        let accounts = ACCOUNTS.map(|id| (id.into(), account_terms(id)));
        let mut simulation = Simulation {
            plan: Plan::new(site(), Policy::default()),
            checker: Checker::new(site(), accounts.into()),
            now: SystemTime::UNIX_EPOCH,
            running: BTreeMap::new(),
            stopping: BTreeMap::new(),
            submitted_count: 0,
        };
        let workers = site().workers().to_vec();
        let up = workers
            .into_iter()
            .map(|worker| Event::WorkerUp { worker: worker.id });
        let accounts = ACCOUNTS.iter().map(|id| Event::AccountChanged {
            account: (*id).into(),
            terms: account_terms(id),
        });
        simulation.step(up.chain(accounts).collect());
        simulation
    }

    fn step(&mut self, events: Vec<Event>) {
        for event in &events {
            match event {
                Event::Completed { job, .. }
                | Event::Failed { job, .. }
                | Event::Stopped { job, .. } => {
                    self.running.remove(job);
                    self.stopping.remove(job);
                    self.checker.record_release(job);
                }
                Event::Submitted { spec } => {
                    self.checker.record_submission(spec)
                }
                _ => {}
            }
        }
        for command in self.plan.step(events, self.now) {
            match command {
                Command::Start {
                    job,
                    attempt,
                    pieces,
                } => {
                    self.checker.record_start(&job, &pieces);
                    let workers = pieces.iter().map(|p| p.worker);
                    let run = (attempt, workers.collect());
                    self.running.insert(job, run);
                }
                Command::Stop { job, attempt, .. } => {
                    self.stopping.insert(job, attempt);
                }
                Command::Finish { job, .. } => {
                    self.running.remove(&job);
                    self.stopping.remove(&job);
                    self.checker.record_end(&job);
                }
                Command::Quarantine { .. } | Command::Restore { .. } => {}
            }
        }
        self.check();
    }

    fn check(&self) {
        let state = self.plan.state();
        let mut homes = vec![0; state.workers.len()];
        for home in state.homes.iter().filter(|home| home.is_placed()) {
            assert_eq!(
                accelerator_count(&home.pieces),
                home.shape.accelerators
            );
            let within = home.shape.within;
            assert!(state.site.lies_within(&home.pieces, within));
            assert!(home.covers(&home.used), "{home:?}");
            for piece in &home.pieces {
                assert_eq!(homes[piece.worker] & piece.mask, 0, "disjoint");
                homes[piece.worker] |= piece.mask;
            }
        }
        // All unused guaranteed shapes can be reclaimed together: each job in
        // the unused part of a block can be stopped or is being stopped.
        for home in state.homes.iter().filter(|home| home.is_placed()) {
            for worker in 0..state.workers.len() {
                let unused = home.unused(worker);
                let mut remaining = state.workers[worker].unstoppable;
                for id in &state.workers[worker].jobs {
                    let job = &state.jobs[id];
                    let run = job.run().expect("a job on a worker has a run");
                    let mask = mask_on(&run.pieces, worker);
                    match &job.phase {
                        Phase::Stopping(..) => remaining &= !mask,
                        _ if mask & unused == 0 => {}
                        _ => assert!(job.spec.is_reclaimable(), "{id}"),
                    }
                }
                assert_eq!(unused & remaining, 0);
            }
        }
        for (worker, worker_state) in state.workers.iter().enumerate() {
            let masks = worker_state.jobs.iter().map(|id| {
                mask_on(&state.jobs[id].run().unwrap().pieces, worker)
            });
            let used = masks.fold(0, |used, mask| {
                assert_eq!(used & mask, 0, "shared accelerators");
                used | mask
            });
            assert_eq!(used, worker_state.used);
            assert_eq!(homes[worker], worker_state.home);
        }
        let counts = self.checker.counts();
        assert_eq!(counts.partial_gangs, 0);
        assert_eq!(counts.repeated_starts, 0);
    }

    fn random_spec(&mut self, u: &mut Unstructured<'_>) -> Result<job::Spec> {
        self.submitted_count += 1;
        let shapes = [
            (1, Within::Worker),
            (2, Within::Worker),
            (4, Within::Worker),
            (8, Within::Worker),
            (16, Within::Rack),
            (12, Within::Hall),
            (20, Within::Any),
        ];
        let (accelerators, within) = *u.choose(&shapes)?;
        Ok(job::Spec {
            id: format!("j{}", self.submitted_count).into(),
            account: (*u.choose(&ACCOUNTS)?).into(),
            template: (*u.choose(&["s", "t"])?).into(),
            shape: Shape {
                accelerators,
                within,
            },
            declared: Duration::from_secs(u.int_in_range(1..=4000)?),
            repeatable: u.ratio(3, 4)?,
            checkpoint: u.arbitrary()?,
            urgent: u.ratio(1, 8)?,
            submitted: self.now,
            due: None,
        })
    }

    fn random_event(
        &mut self,
        u: &mut Unstructured<'_>,
    ) -> Result<Option<Event>> {
        let running: Vec<job::Id> = self.running.keys().cloned().collect();
        let stopping: Vec<job::Id> = self.stopping.keys().cloned().collect();
        let workers = site().workers().to_vec();
        let worker = u.choose(&workers)?.id.clone();
        Ok(match u.int_in_range(0..=9)? {
            0..=3 => {
                let spec = self.random_spec(u)?;
                Some(Event::Submitted { spec })
            }
            4 | 5 if !stopping.is_empty() => {
                let job = u.choose(&stopping)?.clone();
                let attempt = self.stopping[&job];
                let kept = Duration::from_secs(1);
                let proven = true;
                Some(Event::Stopped {
                    job,
                    attempt,
                    kept,
                    proven,
                })
            }
            5 | 6 if !running.is_empty() => {
                let job = u.choose(&running)?.clone();
                let attempt = self.running[&job].0;
                Some(Event::Completed { job, attempt })
            }
            7 if !running.is_empty() => {
                let job = u.choose(&running)?.clone();
                let (attempt, run_workers) = self.running[&job].clone();
                let worker = workers[run_workers[0]].id.clone();
                Some(Event::Failed {
                    job,
                    attempt,
                    worker,
                })
            }
            8 => Some(match u.int_in_range(0..=3)? {
                0 => Event::WorkerLost { worker },
                1 => Event::WorkerLeaving { worker },
                _ => Event::WorkerUp { worker },
            }),
            9 if self.submitted_count > 0 => {
                let number = u.int_in_range(1..=self.submitted_count)?;
                let job = format!("j{number}").into();
                Some(Event::Cancelled { job })
            }
            _ => None,
        })
    }
}

/// Plays a history generated from random bytes, and checks after each step.
fn play_history(u: &mut Unstructured<'_>) -> Result<()> {
    let mut simulation = Simulation::new();
    while !u.is_empty() {
        let passed = u.int_in_range(0..=120)?;
        simulation.now += Duration::from_secs(passed);
        let event = simulation.random_event(u)?;
        simulation.step(event.into_iter().collect());
    }
    Ok(())
}

/// The number of histories; a fixed seed makes them the same in every run.
const HISTORY_COUNT: u64 = 60;
/// The exclusive upper bound of the random bytes that a history is made of.
const MAX_HISTORY_BYTES: u64 = 4096;

#[test]
fn promise_guarantee_blocks_stay_reclaimable_through_random_histories() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..HISTORY_COUNT {
        let size = rng.u64(64..MAX_HISTORY_BYTES);
        let seed = u64::from(rng.u32(..)) << 32 | size;
        arbtest(play_history).seed(seed);
    }
}

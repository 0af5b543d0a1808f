//! A day on which one fault begins with an event: a small site, whose load is
//! the same on each, and whose planner is killed once.

use std::time::Duration;

use landingvalve::graph::Resources;
use landingvalve::graph::Step;
use tokio::time::Instant;

use crate::caller::Cancels;
use crate::day::faults::Undo;
use crate::day::load::new_job;
use crate::day::Day;
use crate::day::Kind;
use crate::day::Scenario;
use crate::orders::Order;
use crate::orders::Trigger;

/// Time from one submission to the next.
pub(super) const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Time from the start of the day to the end of the first planner: while some
/// tasks run, some are about to end and some wait.
const PLANNER_DIES_AFTER: Duration = Duration::from_millis(6500);
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The seed of the small draws that remain: jitter and the callers' pauses.
const SEED: u64 = 1;

/// A job of the small site.
struct Plan {
    /// The tasks of each step, and whether they are a gang.
    steps: &'static [(u32, i64, bool)],
    work: Duration,
    /// How long after its acceptance the job is cancelled.
    cancel_after: Option<Duration>,
    /// Whether its tasks fail each time.
    fails: bool,
}

const fn plan(steps: &'static [(u32, i64, bool)], work_ms: u64) -> Plan {
    Plan {
        steps,
        work: Duration::from_millis(work_ms),
        cancel_after: None,
        fails: false,
    }
}

/// The jobs, in the order of their submission.
const PLANS: [Plan; 7] = [
    // Tasks that run across the end of the first planner.
    plan(&[(4, 1, false)], 9000),
    // Tasks that end while nobody plans.
    plan(&[(4, 1, false), (2, 1, false)], 4200),
    plan(&[(3, 2, true)], 3600),
    Plan {
        cancel_after: Some(Duration::from_millis(3500)),
        ..plan(&[(2, 1, false)], 8000)
    },
    Plan {
        fails: true,
        ..plan(&[(1, 1, false)], 1200)
    },
    plan(&[(2, 2, true), (3, 1, false)], 1500),
    // Tasks that begin after the takeover.
    plan(&[(2, 8, false)], 800),
];

/// Returns the scenario of such a day.
pub(super) fn scenario() -> Scenario {
    Scenario {
        seed: SEED,
        kind: Kind::Ordered,
        entries: 3,
        workers: 3,
        jobs: PLANS.len(),
        fault_duration: Duration::from_secs(24),
        has_departures: false,
        has_failures: false,
    }
}

impl Day {
    /// Sets the fault of the day and the event that it begins with.
    pub(super) fn set_order(&mut self, order: Order) {
        self.store.set_trigger(Trigger::new(order));
        self.network.record_faults(self.checker.clone());
        self.planner_dies_at = Some(self.start + PLANNER_DIES_AFTER);
    }

    /// Kills the first planner when it is time, and starts processes again that
    /// were killed.
    pub(super) fn play_ordered_day(&mut self, now: Instant) {
        if self.scenario.kind != Kind::Ordered {
            return;
        }
        if self.planner_dies_at.is_some_and(|at| now >= at) {
            self.planner_dies_at = None;
            self.kill_planner();
        }
        for at in 0..self.entries.len() {
            let program = self.entries[at].as_ref();
            let is_dead =
                program.is_some_and(|p| !self.network.is_alive(p.process));
            if is_dead {
                self.kill_entry(at);
                self.begin_fault(now + RESTART_DELAY, Undo::Entry(at));
            }
        }
    }

    fn kill_planner(&mut self) {
        let Some(holder) = self.store.claim_holder() else {
            return;
        };
        let programs = self.entries.iter().enumerate();
        let names = programs.map(|(at, _)| (at, format!("entry-{at}")));
        let mut planning = names.filter(|(_, name)| *name == holder.process);
        let Some((at, name)) = planning.next() else {
            return;
        };
        self.checker
            .record(format!("fault: the planner {name} ends"));
        if let Some(program) = &self.entries[at] {
            self.network.kill(program.process);
        }
    }

    pub(super) fn submit_ordered_job(&mut self, at: usize) {
        let plan = &PLANS[at];
        let steps = plan.steps.iter().enumerate();
        let steps =
            steps.map(|(number, (replicas, accelerators, gang))| Step {
                replicas: *replicas,
                resources: Resources {
                    cpu: 1000,
                    memory: 1000,
                    accelerators: *accelerators,
                },
                estimate: plan.work,
                after: (0..number).collect(),
                gang: *gang,
                ..Step::default()
            });
        let priority = u32::from(at % 2 == 1);
        let job = new_job(at, "account".into(), priority, steps.collect());
        if plan.fails {
            self.hopeless_jobs.insert(job.id.clone());
        }
        self.jobs.insert(job.id.clone(), (job.clone(), plan.work));
        let cancels = Cancels {
            after_acceptance: plan.cancel_after,
            early: None,
        };
        let random = self.random.fork();
        self.start_caller(job, random, cancels);
    }
}

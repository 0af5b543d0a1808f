//! Decisions about jobs of steps, without clock or network.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::graph::AccountUse;
use landingvalve::graph::Ended;
use landingvalve::graph::Job;
use landingvalve::graph::Lists;
use landingvalve::graph::Options;
use landingvalve::graph::Orders;
use landingvalve::graph::Outcome;
use landingvalve::graph::PastLife;
use landingvalve::graph::Policy;
use landingvalve::graph::Refusal;
use landingvalve::graph::Refused;
use landingvalve::graph::Report;
use landingvalve::graph::Resources;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::Scheduler;
use landingvalve::graph::Start;
use landingvalve::graph::Step;
use landingvalve::graph::Timestamp;
use landingvalve::graph::WorkerReport;

/// A simulated worker that executes all its orders, and its agent.
pub struct Worker {
    pub agent: Arc<str>,
    pub rack: &'static str,
    pub life: u32,
    pub sequence: u64,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
    /// Ends that an unresponsive worker cannot list.
    pub unread: Vec<Ended>,
    pub last_end: u64,
    pub acknowledged: u64,
    pub leaving: bool,
    /// Whether the worker no longer answers its agent.
    pub unresponsive: bool,
    /// Whether the agent carries out no starts, but bars stopped runs.
    pub holds_starts: bool,
    /// The runs that are barred because of that.
    pub refused: Vec<Refused>,
    /// The load that runs show from their start on.
    pub load: Option<f64>,
    pub hall: Arc<str>,
    pub capacity: Resources,
    pub labels: Vec<Arc<str>>,
    /// When the running tasks were last listed, if their progress is known.
    pub listed_at: Option<u64>,
    /// The worker's previous life, as its agent reports it.
    pub past_life: Option<PastLife>,
    /// The use by account that the agent reports.
    pub used: Vec<AccountUse>,
    /// How the runs that ever ended here ended.
    pub outcomes: Vec<RunOutcome>,
    /// Every run that was ever started here, as `TASK RUN`.
    pub started_runs: Vec<String>,
}

impl Worker {
    fn new(agent: &str, rack: &'static str) -> Worker {
        Worker {
            agent: agent.into(),
            rack,
            life: 1,
            sequence: 0,
            running: Vec::new(),
            ended: Vec::new(),
            unread: Vec::new(),
            last_end: 0,
            acknowledged: 0,
            leaving: false,
            unresponsive: false,
            holds_starts: false,
            refused: Vec::new(),
            load: None,
            hall: "hall".into(),
            capacity: Resources {
                memory: 100_000,
                ..resources(64000, 8)
            },
            labels: vec!["a".into(), rack.into()],
            listed_at: None,
            past_life: None,
            used: Vec::new(),
            outcomes: Vec::new(),
            started_runs: Vec::new(),
        }
    }

    /// Returns the next report of the worker's agent.
    pub fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            agent: self.agent.clone(),
            process: "process".to_owned(),
            sequence: self.sequence,
            received: None,
            gone: None,
            before: self.past_life.clone(),
            silent: false,
            worker: Some(WorkerReport {
                life: format!("{}-{}", self.agent, self.life).into(),
                pool: "pool".into(),
                machine: None,
                hall: self.hall.clone(),
                rack: self.rack.into(),
                labels: self.labels.clone(),
                capacity: self.capacity,
                leaving: self.leaving,
                silent: self.unresponsive,
                remaining_ms: None,
                listed_at: self.listed_at,
                speed: None,
                used: self.used.clone(),
                lists: Lists {
                    running: self.running.clone(),
                    ended: self.ended.clone(),
                },
                refused: self.refused.clone(),
            }),
        }
    }

    fn start(&mut self, start: &Start) {
        let is_running = self
            .running
            .iter()
            .any(|r| r.task == start.task && r.run == start.run);
        if is_running {
            return;
        }
        self.started_runs
            .push(format!("{} {}", start.task, start.run));
        self.running.push(Running {
            task: start.task.clone(),
            run: start.run,
            saved: String::new(),
            pace: 100.0,
            load: self.load,
        });
    }

    /// Ends the runs for which `matches` returns true.
    pub fn end(
        &mut self,
        outcome: RunOutcome,
        matches: impl Fn(&Running) -> bool,
    ) {
        let (ended, remaining) =
            self.running.drain(..).partition(|r| matches(r));
        self.running = remaining;
        let ended: Vec<Running> = ended;
        for running in ended {
            self.last_end += 1;
            self.outcomes.push(outcome);
            self.ended.push(Ended {
                number: self.last_end,
                task: running.task,
                run: running.run,
                how: outcome,
                saved: String::new(),
            });
        }
    }

    /// Executes the orders, unless the worker is unresponsive.
    pub fn execute(&mut self, orders: &Orders) {
        if self.unresponsive {
            return;
        }
        let starts = orders.starts.iter().filter(|_| !self.holds_starts);
        for start in Vec::from_iter(starts) {
            self.start(start);
        }
        let held = orders.stops.iter().filter(|_| self.holds_starts);
        self.refused = held
            .map(|stop| Refused {
                task: stop.task.clone(),
                run: stop.run,
                why: Refusal::Barred,
            })
            .collect();
        for stop in &orders.stops {
            let same = |r: &Running| r.task == stop.task && r.run == stop.run;
            self.end(RunOutcome::Stopped, same);
        }
        for pace in &orders.paces {
            let same =
                |r: &&mut Running| r.task == pace.task && r.run == pace.run;
            for running in self.running.iter_mut().filter(same) {
                running.pace = f64::from(pace.percent);
            }
        }
        self.acknowledged = self.acknowledged.max(orders.noted);
        let acknowledged = self.acknowledged;
        self.ended.retain(|ended| ended.number > acknowledged);
    }
}

/// A scheduler and its workers, with a store that writes at once.
pub struct Site {
    pub scheduler: Scheduler,
    pub workers: Vec<Worker>,
    pub now: Timestamp,
}

impl Site {
    pub fn new(workers: &[(&str, &'static str)]) -> Site {
        let now = Timestamp {
            monotonic: std::time::Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
        };
        let workers = workers.iter().map(|(a, rack)| Worker::new(a, rack));
        Site {
            scheduler: Scheduler::new(Options::default(), now),
            workers: workers.collect(),
            now,
        }
    }

    /// Advances both clocks without reports.
    pub fn advance(&mut self, time: Duration) {
        self.now.monotonic += time;
        self.now.wall += time;
    }

    /// Advances the clocks and settles in intervals that keep every agent in
    /// contact.
    pub fn run_for(&mut self, time: Duration) {
        let interval = Duration::from_millis(500);
        let mut remaining = time;
        while remaining > Duration::ZERO {
            let step = remaining.min(interval);
            self.advance(step);
            self.settle();
            remaining -= step;
        }
    }

    /// Writes all pending changes of progress.
    pub fn write_progress(&mut self) {
        for job in self.scheduler.take_unwritten(usize::MAX) {
            self.scheduler.mark_written(&job.id, job.version);
        }
    }

    /// Runs a scheduling pass. Silent agents have saved no reports.
    pub fn schedule(&mut self) {
        self.scheduler.run_pass(self.now);
        let silent_agents = self.scheduler.take_inquiries();
        if silent_agents.is_empty() {
            return;
        }
        for agent in silent_agents {
            let sent = self.now.monotonic;
            self.scheduler.apply_inquiry(&agent, None, sent, self.now);
        }
        self.scheduler.run_pass(self.now);
    }

    /// Exchanges reports and orders with all workers, often enough that
    /// nothing changes any more.
    pub fn settle(&mut self) {
        for _ in 0..6 {
            for index in 0..self.workers.len() {
                let report = self.workers[index].report();
                self.scheduler.apply_report(report, self.now);
            }
            self.schedule();
            self.write_progress();
            for worker in &mut self.workers {
                let orders = self.scheduler.orders(&worker.agent);
                worker.execute(&orders);
            }
        }
    }

    pub fn submit(&mut self, job: Job) {
        self.scheduler.accept_job(job, None, self.now);
    }

    pub fn outcome(&self, id: &str) -> Option<Outcome> {
        self.scheduler
            .progress(id)
            .and_then(|progress| progress.outcome)
    }

    /// Returns how many tasks of a job are running.
    pub fn running(&self, id: &str) -> usize {
        let running = self.workers.iter().flat_map(|w| &w.running);
        running.filter(|r| &*r.task.job == id).count()
    }

    /// Ends all running tasks of a job as done.
    pub fn finish_job(&mut self, id: &str) {
        for worker in &mut self.workers {
            worker.end(RunOutcome::Done, |r| &*r.task.job == id);
        }
    }
}

/// Returns resources with 1000 MB of memory.
pub fn resources(cpu: i64, accelerators: i64) -> Resources {
    Resources {
        cpu,
        memory: 1000,
        accelerators,
    }
}

/// Returns a step whose tasks are declared as 5 s long, each on one core. A
/// gang runs slower unless all its tasks are in one rack.
pub fn step(replicas: u32, accelerators: i64, gang: bool) -> Step {
    Step {
        replicas,
        resources: resources(1000, accelerators),
        estimate: Duration::from_secs(5),
        gang,
        same_rack: gang,
        ..Step::default()
    }
}

/// Returns a job that is accepted now and has failed after three failed runs.
pub fn job(id: &str, priority: u32, steps: Vec<Step>, site: &Site) -> Job {
    Job {
        id: id.into(),
        account: "account".into(),
        queue: "queue".into(),
        pool: "pool".into(),
        priority,
        max_attempts: 3,
        stretch: 3.0,
        target: Duration::from_secs(1),
        guarded: true,
        accepted: site.now.wall,
        spec: "spec".into(),
        steps,
        repeat: None,
        advice: None,
    }
}

const TWO_WORKERS: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1")];

#[test]
fn steps_run_in_order_and_the_job_succeeds() {
    let mut site = Site::new(TWO_WORKERS);
    let mut second = step(1, 1, false);
    second.after = vec![0];
    let steps = vec![step(3, 1, false), second];
    site.submit(job("j", 1, steps, &site));
    site.settle();
    assert_eq!(site.running("j"), 3);
    site.finish_job("j");
    site.settle();
    assert_eq!(site.running("j"), 1);
    site.finish_job("j");
    site.settle();
    assert_eq!(site.outcome("j"), Some(Outcome::Succeeded));
}

#[test]
fn resources_taken_for_an_urgent_job_are_fully_returned() {
    let mut site = Site::new(&[("w1", "r1")]);
    for round in 0..5 {
        let borrower = format!("b{round}");
        site.submit(job(&borrower, 1, vec![step(8, 1, false)], &site));
        site.settle();
        assert_eq!(site.running(&borrower), 8, "round {round}");
        let urgent = format!("u{round}");
        site.submit(job(&urgent, 0, vec![step(1, 8, false)], &site));
        site.settle();
        assert_eq!(site.running(&urgent), 1, "round {round}");
        site.finish_job(&urgent);
        site.advance(Duration::from_secs(1));
        site.settle();
        assert_eq!(site.running(&borrower), 8, "round {round}");
        site.finish_job(&borrower);
        site.settle();
    }
}

/// Checks that a worker is reserved for a unit that has waited for `wait`.
fn check_whole_worker_reserved(policy: Policy, wait: Duration) {
    let mut site = Site::new(&[("w1", "r1")]);
    site.scheduler = Scheduler::new(
        Options {
            policy,
            ..Options::default()
        },
        site.now,
    );
    site.submit(job("a", 1, vec![step(8, 1, false)], &site));
    site.settle();
    site.submit(job("big", 1, vec![step(1, 8, false)], &site));
    site.settle();
    site.run_for(wait);
    site.submit(job("small", 1, vec![step(8, 1, false)], &site));
    // The first job's tasks end one by one; the small job's tasks do not fill
    // the gaps.
    for _ in 0..8 {
        let first = site.workers[0].running[0].task.clone();
        site.workers[0].end(RunOutcome::Done, |r| r.task == first);
        site.settle();
    }
    assert_eq!((site.running("big"), site.running("small")), (1, 0));
}

#[test]
fn a_whole_worker_is_reserved_for_a_unit_that_has_waited() {
    let reserve_early = Policy {
        reserve_only_late: false,
        ..Policy::default()
    };
    check_whole_worker_reserved(reserve_early, Duration::from_secs(2));
    // The unit's objective is 16 s and its run takes 5 s, so that no time is
    // left to wait after 11 s.
    check_whole_worker_reserved(
        Policy::default(),
        Duration::from_millis(11_500),
    );
}

#[test]
fn an_urgent_unit_begins_in_resources_reserved_for_others() {
    let mut site = Site::new(&[("w1", "r1")]);
    let mut long = step(1, 4, false);
    long.estimate = Duration::from_secs(60);
    site.submit(job("long", 1, vec![long], &site));
    site.submit(job("short", 1, vec![step(4, 1, false)], &site));
    site.settle();
    // More units wait for the only worker than fit there.
    site.submit(job("next", 1, vec![step(2, 4, false)], &site));
    site.settle();
    let urgent = job("urgent", 0, vec![step(1, 4, false)], &site);
    site.submit(urgent);
    site.schedule();
    site.advance(Duration::from_secs(2));
    site.settle();
    assert_eq!(site.running("urgent"), 1);
}

#[test]
fn a_failed_run_is_written_before_its_end_is_acknowledged() {
    let mut site = Site::new(TWO_WORKERS);
    let mut gang = step(2, 1, true);
    gang.same_rack = false;
    site.submit(job("j", 1, vec![gang], &site));
    site.settle();
    site.workers[0].end(RunOutcome::Failed, |r| r.task.index == 0);
    // Only the failed member's end is reported.
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    let agent = site.workers[0].agent.clone();
    let acknowledged = |site: &mut Site| site.scheduler.orders(&agent).noted;
    assert_eq!(acknowledged(&mut site), 0, "the failure is not written");
    site.write_progress();
    assert_eq!(acknowledged(&mut site), 1);
    let units = &site.scheduler.progress("j").expect("known").units;
    assert_eq!(units.values().next().expect("begun").failed, 1);
}

#[test]
fn a_unit_does_not_wait_for_its_reservation_if_another_worker_is_free() {
    // The unit starts on whichever worker becomes free first.
    for worker in [1, 0] {
        let mut site = Site::new(TWO_WORKERS);
        site.submit(job("a", 1, vec![step(2, 8, false)], &site));
        site.settle();
        site.submit(job("big", 1, vec![step(1, 8, false)], &site));
        site.settle();
        site.advance(Duration::from_secs(2));
        site.settle();
        site.workers[worker].end(RunOutcome::Done, |_| true);
        site.settle();
        assert_eq!(site.running("big"), 1, "worker {worker} is free");
    }
}

#[test]
fn a_run_is_ordered_only_after_it_is_written() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("j", 1, vec![step(1, 1, false)], &site));
    let report = site.workers[0].report();
    site.scheduler.apply_report(report, site.now);
    site.schedule();
    let agent = site.workers[0].agent.clone();
    assert_eq!(site.scheduler.orders(&agent).starts, [], "not written yet");
    site.write_progress();
    assert_eq!(site.scheduler.orders(&agent).starts.len(), 1);
}

#[test]
fn a_new_planner_orders_the_same_run_again_and_no_other() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("j", 1, vec![step(1, 1, false)], &site));
    site.settle();
    let progress = site.scheduler.progress("j").cloned();
    let mut next = Site::new(&[("w1", "r1")]);
    next.workers = site.workers;
    next.scheduler.accept_job(
        job("j", 1, vec![step(1, 1, false)], &next),
        progress,
        next.now,
    );
    next.settle();
    assert_eq!(next.workers[0].started_runs, ["j.0.0.0 1"]);
}

#[test]
fn tasks_of_a_silent_worker_begin_elsewhere_only_after_its_leases_expire() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r2")]);
    site.submit(job("j", 1, vec![step(1, 1, false)], &site));
    site.settle();
    let busy = usize::from(site.workers[0].running.is_empty());
    let mut silent = site.workers.remove(busy);
    // The leases last 12.8 s; then the unit is placed again at once.
    for second in 1..=15 {
        site.advance(Duration::from_secs(1));
        site.settle();
        let running = site.workers[0].running.len();
        let expired = second >= 13;
        assert_eq!(running, usize::from(expired), "after {second} s");
    }
    // A task that the worker lists as done on its return is done: once the end
    // is acknowledged the task must not begin again, and its other run is
    // stopped.
    silent.end(RunOutcome::Done, |_| true);
    site.workers.push(silent);
    site.settle();
    assert_eq!(site.outcome("j"), Some(Outcome::Succeeded));
    assert_eq!(site.running("j"), 0, "the other run was not stopped");
    let starts = site.workers.iter().map(|worker| worker.started_runs.len());
    assert_eq!(starts.sum::<usize>(), 2, "a done task was started again");
}

#[test]
fn a_leaving_worker_gets_no_new_tasks() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.workers[0].leaving = true;
    site.submit(job("j", 1, vec![step(1, 1, false)], &site));
    site.settle();
    assert_eq!(site.running("j"), 0);
}

#[test]
fn a_job_fails_after_the_allowed_number_of_failed_runs() {
    let mut site = Site::new(TWO_WORKERS);
    site.submit(job("j", 1, vec![step(1, 1, false)], &site));
    for _ in 0..3 {
        site.advance(Duration::from_secs(70));
        site.settle();
        assert_eq!(site.running("j"), 1);
        for worker in &mut site.workers {
            worker.end(RunOutcome::Failed, |_| true);
        }
        site.settle();
    }
    assert_eq!(site.outcome("j"), Some(Outcome::Failed));
}

#[test]
fn costly_work_is_preempted_only_for_a_guarantee() {
    for guaranteed in [0, 8] {
        let mut site = Site::new(&[("w1", "r1")]);
        let guarantees = [("account".into(), guaranteed)].into();
        site.scheduler.set_guarantees(guarantees);
        site.submit(job("long", 1, vec![step(1, 8, false)], &site));
        site.settle();
        // 10 s of work worth 65 cores: more than may be lost for an urgent job
        // without a guarantee.
        site.advance(Duration::from_secs(1));
        for _ in 0..9 {
            site.settle();
            site.advance(Duration::from_secs(1));
        }
        site.submit(job("urgent", 0, vec![step(1, 8, false)], &site));
        site.settle();
        let urgent = site.running("urgent");
        assert_eq!(urgent, usize::from(guaranteed == 8));
    }
}

#[test]
fn a_unit_combines_reserved_workers_with_other_free_ones() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let six: Vec<(&str, &str)> = names.map(|name| (name, "r1")).to_vec();
    let mut site = Site::new(&six);
    site.submit(job("a", 1, vec![step(6, 8, false)], &site));
    site.settle();
    let mut gang = step(3, 8, true);
    gang.same_rack = false;
    site.submit(job("b", 1, vec![gang], &site));
    site.settle();
    // The first three workers are reserved.
    site.advance(Duration::from_secs(2));
    site.settle();
    // The first worker stays busy; two reserved and two other workers become
    // free.
    for index in 1..5 {
        site.workers[index].end(RunOutcome::Done, |_| true);
    }
    site.settle();
    assert_eq!(site.running("b"), 3);
}

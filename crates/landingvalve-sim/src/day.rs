//! Simulates a day: processes, workers, jobs and faults, drawn from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Member;
use landingvalve::cell::reachability::Reachability;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::relay::Relay;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::cell::Admission;
use landingvalve::clock;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use landingvalve::graph::Options;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Step;
use landingvalve::graph::Task;
use landingvalve::log;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::Admissions;
use crate::caller::Caller;
use crate::caller::Cancels;
use crate::gang::AloneCounts;
use crate::invariants::Checker;
use crate::lock;
use crate::network::Network;
use crate::network::ProcessId;
use crate::sound;
use crate::sound::Draws;
use crate::sound::Hopeless;
use crate::store;
use crate::store::Server;
use crate::worker;
use crate::worker::Endpoint;

/// Interval at which the workers and the day's schedule advance.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a worker sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last fault within which all accepted jobs must have ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Mean time from one goodbye to the next.
const MEAN_GOODBYE_INTERVAL: Duration = Duration::from_millis(1500);
/// Longest time that a worker stays up after its goodbye, in ms.
const MAX_STAY_MS: u64 = 2000;
/// Longest time from a caller's first submission to a cancel that does not
/// wait for the acceptance, in ms.
const MAX_EARLY_CANCEL_MS: u64 = 4000;
/// Distinguishes the draws of goodbyes and early cancels from the others of a
/// seed.
const DEPARTURES_SEED: u64 = 0x6465_7061_7274;
/// Mean time from one cut beside failing tasks to the next.
const MEAN_CUT_INTERVAL: Duration = Duration::from_millis(1500);
/// Shortest and longest time of such a cut, in ms: around the time after which
/// a broken gang is given up.
const CUT_MS: std::ops::Range<u64> = 1500..5000;
/// Longest time from the begin of such a cut to the failures behind it, in ms.
const MAX_FAILURE_DELAY_MS: u64 = 1500;
/// One run in this number fails, of a job whose tasks fail.
const FAILING_RUN_INTERVAL: u64 = 2;
/// Distinguishes the draws of failures from the others of a seed.
const FAILURES_SEED: u64 = 0x6661_696c;
/// Mean time from one fault to the next.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(1500);

/// What may happen on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Faults of all kinds.
    Faulty,
    /// No fault; jobs are cancelled or hopeless, workers join and the
    /// configuration changes.
    Sound,
}

/// Parameters of a simulated day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// What may happen.
    pub kind: Kind,
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with an agent.
    pub workers: usize,
    /// Number of jobs submitted.
    pub jobs: usize,
    /// Duration of the first part of the day, in which faults begin and over
    /// which the jobs are spread.
    pub fault_duration: Duration,
    /// Whether workers say goodbye, in time or late, and callers cancel jobs
    /// whose acceptance they have not heard. Off in the days whose seeds were
    /// recorded before these were drawn.
    pub has_departures: bool,
    /// Whether tasks fail on sound workers, at times while their worker or its
    /// agent is cut off.
    pub has_failures: bool,
}

impl Scenario {
    /// Returns a scenario with 3 entries, 6 workers, 40 jobs and 40 s of
    /// faults.
    pub fn with_seed(seed: u64) -> Scenario {
        Scenario {
            seed,
            kind: Kind::Faulty,
            entries: 3,
            workers: 6,
            jobs: 40,
            fault_duration: Duration::from_secs(40),
            has_departures: true,
            has_failures: false,
        }
    }

    /// Returns how late the store may carry out a write at most.
    fn max_write_delay(&self) -> Duration {
        match self.has_departures {
            true => Duration::from_secs(8),
            false => Duration::from_secs(4),
        }
    }
}

/// Results of a simulated day.
#[derive(Clone, Debug)]
pub struct Report {
    /// Violations of the invariants.
    pub violations: Vec<String>,
    /// Number of starts of tasks.
    pub starts: u64,
    /// Number of these starts whose task had been listed as done before.
    pub repeated_starts: u64,
    /// Numbers of runs that ended `alone`.
    pub alone: AloneCounts,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of times that each fault was injected.
    pub faults: BTreeMap<&'static str, u32>,
    /// Events of the day, one line each, in order.
    pub timeline: Vec<String>,
}

/// Simulates a day under virtual time.
///
/// # Panics
///
/// If the runtime cannot be built.
pub fn simulate(scenario: Scenario) -> Report {
    fastrand::seed(scenario.seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime of one thread");
    runtime.block_on(async {
        clock::simulate_wall_time(
            SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
        );
        let mut day = Day::new(scenario);
        day.run().await;
        day.report()
    })
}

/// A running entry or agent.
struct Program {
    process: ProcessId,
    task: JoinHandle<()>,
}

struct Agent {
    program: Option<Program>,
    member: Option<Member<worker::Client, store::Client>>,
    endpoint: Endpoint,
}

struct Day {
    scenario: Scenario,
    random: fastrand::Rng,
    /// Draws goodbyes and early cancels.
    departures: fastrand::Rng,
    /// Draws failing jobs, and cuts beside their failures.
    failures: fastrand::Rng,
    /// Jobs whose runs fail at times.
    failing_jobs: BTreeSet<JobId>,
    /// Draws of a sound day.
    sound: Option<Draws>,
    /// Jobs whose runs fail each time.
    hopeless_jobs: BTreeSet<JobId>,
    network: Network,
    store: Server,
    checker: Checker,
    entries: Vec<Option<Program>>,
    admissions: Admissions,
    agents: Vec<Agent>,
    jobs: BTreeMap<JobId, (Job, Duration)>,
    faults: BTreeMap<&'static str, u32>,
    /// Actions that end the active faults, with the time of each.
    pending_undos: Vec<(Instant, Undo)>,
    callers: Vec<JoinHandle<()>>,
    start: Instant,
}

/// Action that ends a fault. Its `Debug` text is part of the timeline.
#[derive(Clone, Copy, Debug)]
enum Undo {
    /// Restarts an entry.
    Entry(usize),
    /// Restarts an agent.
    Agent(usize),
    /// Restarts a worker that is down.
    Up(usize),
    /// Ends a worker that has said goodbye.
    Leave(usize),
    /// Clears the faults of a worker.
    Worker(usize),
    /// Clears the faults of the store.
    Store,
    /// Reconnects a machine with the other processes.
    Cut(usize),
    /// Reconnects a machine with the store.
    Part(usize),
}

impl Day {
    fn new(scenario: Scenario) -> Day {
        let checker = Checker::default();
        let agent = |at: usize| new_agent(scenario, at, &checker);
        let is_sound = scenario.kind == Kind::Sound;
        Day {
            scenario,
            random: fastrand::Rng::with_seed(scenario.seed),
            departures: fastrand::Rng::with_seed(
                scenario.seed ^ DEPARTURES_SEED,
            ),
            failures: fastrand::Rng::with_seed(scenario.seed ^ FAILURES_SEED),
            failing_jobs: BTreeSet::new(),
            sound: is_sound.then(|| Draws::new(scenario.seed)),
            hopeless_jobs: BTreeSet::new(),
            network: Network::default(),
            store: Server::new(scenario.seed, scenario.max_write_delay()),
            checker: checker.clone(),
            entries: (0..scenario.entries).map(|_| None).collect(),
            admissions: Admissions::default(),
            agents: (0..scenario.workers).map(agent).collect(),
            jobs: BTreeMap::new(),
            faults: BTreeMap::new(),
            pending_undos: Vec::new(),
            callers: Vec::new(),
            start: Instant::now(),
        }
    }

    fn report(self) -> Report {
        let (violations, starts, accepted) = self.checker.results();
        Report {
            violations,
            starts,
            repeated_starts: self.checker.repeated_starts(),
            alone: self.checker.alone_counts(),
            accepted,
            faults: self.faults,
            timeline: self.checker.timeline(),
        }
    }

    async fn run(&mut self) {
        self.checker.start_clock();
        if self.sound.is_some() {
            self.network
                .draw_times(self.scenario.seed, self.checker.clone());
        }
        for at in 0..self.entries.len() {
            self.start_entry(at);
        }
        for at in 0..self.agents.len() {
            self.start_agent(at);
        }
        let faults_end = self.start + self.scenario.fault_duration;
        let submit_interval =
            self.scenario.fault_duration / (self.scenario.jobs as u32 + 1);
        let mut next_job = self.start + Duration::from_secs(3);
        let mut next_fault = self.start + Duration::from_secs(4);
        let mut next_goodbye = next_fault;
        let mut next_cut = next_fault;
        let mut next_heartbeat = self.start;
        let mut submitted = 0;
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            tick.tick().await;
            let now = Instant::now();
            self.advance_workers();
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.send_heartbeats();
            }
            self.end_due_faults(now);
            if now >= next_job && submitted < self.scenario.jobs {
                next_job = now + submit_interval;
                self.submit_job(submitted);
                submitted += 1;
            }
            self.play_sound_day(now, faults_end);
            let is_faulty = self.scenario.kind == Kind::Faulty;
            if is_faulty && now >= next_fault && now < faults_end {
                let wait =
                    MEAN_FAULT_INTERVAL.mul_f64(2.0 * self.random.f64());
                next_fault = now + wait;
                self.inject_fault(now);
            }
            let departs = is_faulty && self.scenario.has_departures;
            if departs && now >= next_goodbye && now < faults_end {
                let share = 2.0 * self.departures.f64();
                next_goodbye = now + MEAN_GOODBYE_INTERVAL.mul_f64(share);
                self.say_goodbye(now);
            }
            let cuts = is_faulty && self.scenario.has_failures;
            if cuts && now >= next_cut && now < faults_end {
                let share = 2.0 * self.failures.f64();
                next_cut = now + MEAN_CUT_INTERVAL.mul_f64(share);
                self.fail_behind_cut(now);
            }
            let timed_out = now >= faults_end + SETTLE_TIMEOUT;
            let settled = now >= faults_end && self.pending_undos.is_empty();
            let done = settled
                && submitted == self.scenario.jobs
                && self.callers.iter().all(JoinHandle::is_finished)
                && self.checker.unfinished_jobs().is_empty();
            if timed_out || done {
                break;
            }
        }
        for id in self.checker.unfinished_jobs() {
            let line = format!("LOST: {id} has not ended");
            self.checker.record_violation(line);
        }
    }

    fn start_entry(&mut self, at: usize) {
        let process = self.network.start(at);
        let address = format!("entry-{at}-{process}:1");
        let name = format!("entry-{at}");
        let connector = self.network.connector(process);
        let peers = Peers::new(&name, connector, log::none());
        let direct = self.store.client(&self.network, process);
        let store = Relay::new(direct, peers.clone(), log::none());
        let host = Host::new(&address, log::none())
            .with_proxy(Arc::new(store.clone()));
        self.network.listen(&address, process, host.clone());
        let holder = Holder {
            process: name,
            address: address.clone(),
            life: address,
            cores: 1.0,
        };
        let following = peers.follow(store.clone(), holder.recipient());
        let mut source = Source::without_closed_halls();
        if self.sound.is_some() {
            source = Source::new();
            tokio::spawn(source.clone().follow(
                store.clone(),
                sound::KEYS,
                sound::APPLY_BOUND,
                sound::decode,
                Reachability::new(),
                log::none(),
            ));
        }
        let session = Session {
            store: store.clone(),
            holder,
            host,
            source,
            advice: None,
            options: Options::default(),
            log: log::none(),
        };
        // The task keeps the sender: dropping it would stop the session in an
        // orderly way.
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            tokio::join!(session.run(stopped), following);
            drop(stop);
        });
        self.entries[at] = Some(Program { process, task });
        let admission = Admission::new(store, log::none());
        lock(&self.admissions).insert(at, admission);
    }

    fn kill_entry(&mut self, at: usize) {
        lock(&self.admissions).remove(&at);
        if let Some(program) = self.entries[at].take() {
            self.network.kill(program.process);
            program.task.abort();
        }
    }

    fn start_agent(&mut self, at: usize) {
        let machine = self.scenario.entries + at;
        let process = self.network.start(machine);
        let agent = &mut self.agents[at];
        let config = Config {
            agent: format!("agent-{at}").into(),
            survival: Options::default().survival,
            lease: Duration::from_secs(6),
            connector: self.network.connector(process),
            log: log::none(),
        };
        let worker = agent.endpoint.client(&self.network, process);
        let store = self.store.client(&self.network, process);
        let member = Member::new(config, worker, store);
        let running = member.clone();
        let task = tokio::spawn(async move { running.run().await });
        agent.member = Some(member);
        agent.program = Some(Program { process, task });
    }

    fn kill_agent(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        agent.member = None;
        if let Some(program) = agent.program.take() {
            self.network.kill(program.process);
            program.task.abort();
        }
    }

    /// Lets workers join and the configuration change on a sound day.
    fn play_sound_day(&mut self, now: Instant, end: Instant) {
        let Some(sound) = &mut self.sound else {
            return;
        };
        let is_over = now >= end;
        let changes = match is_over {
            true => sound.open_halls(),
            false => sound.change(now).into_iter().collect(),
        };
        for change in changes {
            self.checker
                .record(format!("an operator writes: {change:?}"));
            self.store.write_key(change);
        }
        if !is_over && sound.joins(now) {
            let at = self.agents.len();
            self.checker.record(format!("w{at} joins"));
            let agent = new_agent(self.scenario, at, &self.checker);
            self.agents.push(agent);
            self.start_agent(at);
        }
    }

    /// Advances all workers; a gang works only while all of its members are
    /// present.
    fn advance_workers(&mut self) {
        let mut present: BTreeMap<(Task, Run), u32> = BTreeMap::new();
        for agent in &self.agents {
            for (unit, count) in agent.endpoint.member_counts() {
                *present.entry(unit).or_default() += count;
            }
        }
        let jobs = &self.jobs;
        let is_complete = |task: &Task, run: Run| {
            let (job, _) = jobs.get(&task.job)?;
            let step = &job.steps[task.step];
            let first = Task {
                index: 0,
                ..task.clone()
            };
            let members = present.get(&(first, run)).copied().unwrap_or(0);
            step.gang.then_some(members >= step.replicas)
        };
        let course = |task: &Task, run: Run| {
            let work = jobs.get(&task.job).map_or(Duration::ZERO, |(_, w)| *w);
            let fails = self.hopeless_jobs.contains(&task.job)
                || self.failing_jobs.contains(&task.job)
                    && fails(self.scenario.seed, task, run);
            match fails {
                true => worker::Course {
                    work: work / 2,
                    outcome: RunOutcome::Failed,
                },
                false => worker::Course {
                    work,
                    outcome: RunOutcome::Done,
                },
            }
        };
        let mut ended_gangs = Vec::new();
        for agent in &self.agents {
            ended_gangs.extend(agent.endpoint.advance(
                TICK_INTERVAL,
                is_complete,
                course,
            ));
        }
        for (task, run, outcome) in ended_gangs {
            let outcome = match outcome {
                RunOutcome::Done => outcome,
                _ => RunOutcome::Broken,
            };
            for agent in &self.agents {
                agent.endpoint.end_gang(&task, run, outcome);
            }
        }
        self.schedule_restarts();
    }

    /// Schedules the restart of workers that a job has crashed.
    fn schedule_restarts(&mut self) {
        let now = Instant::now();
        for at in 0..self.agents.len() {
            let is_restart = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Up(other) if *other == at);
            let is_scheduled = self.pending_undos.iter().any(is_restart);
            if !self.agents[at].endpoint.is_up() && !is_scheduled {
                let ms = self.random.u64(..3000);
                let restart_at = now + Duration::from_millis(ms);
                self.begin_fault(restart_at, Undo::Up(at));
            }
        }
    }

    /// Records that a fault is active, and when it is undone.
    fn begin_fault(&mut self, until: Instant, undo: Undo) {
        self.checker.begin_fault();
        self.pending_undos.push((until, undo));
    }

    /// Lets a worker say goodbye, or lets the goodbye of an earlier birth
    /// arrive. A goodbye is at times not received.
    fn say_goodbye(&mut self, now: Instant) {
        let at = self.departures.usize(..self.agents.len());
        let leaves = self.departures.u32(..3) == 0;
        let is_received = !leaves || self.departures.u32(..4) > 0;
        let stay = Duration::from_millis(self.departures.u64(..MAX_STAY_MS));
        let agent = &self.agents[at];
        let is_late = !leaves && agent.endpoint.keeps_earlier_name();
        if !agent.endpoint.is_up() || !(leaves || is_late) {
            return;
        }
        let name = agent.endpoint.life_name();
        let kind = if leaves { "leaves" } else { "late goodbye" };
        *self.faults.entry(kind).or_default() += 1;
        self.checker
            .record(format!("{kind} of {name}, received: {is_received}"));
        if let (Some(member), true) = (&agent.member, is_received) {
            member.worker_left(&name);
        }
        self.checker.begin_fault();
        match leaves {
            true => self.pending_undos.push((now + stay, Undo::Leave(at))),
            false => self.checker.end_fault(),
        }
    }

    /// Cuts a worker off from its agent, or the agent's machine from the other
    /// processes, and lets the tasks behind the cut fail.
    fn fail_behind_cut(&mut self, now: Instant) {
        let at = self.failures.usize(..self.agents.len());
        let machine = self.scenario.entries + at;
        let end = now + Duration::from_millis(self.failures.u64(CUT_MS));
        let delay = self.failures.u64(..MAX_FAILURE_DELAY_MS);
        let endpoint = &self.agents[at].endpoint;
        let undo = match self.failures.bool() {
            true => {
                self.network.set_isolated(machine, true);
                Undo::Cut(machine)
            }
            false => {
                endpoint.set_faults(worker::Faults {
                    silent: true,
                    ..worker::Faults::default()
                });
                Undo::Worker(at)
            }
        };
        endpoint.fail_running(now + Duration::from_millis(delay));
        *self.faults.entry("failures behind a cut").or_default() += 1;
        self.checker
            .record(format!("fault: failures behind a cut, {undo:?}"));
        self.begin_fault(end, undo);
    }

    fn send_heartbeats(&mut self) {
        for agent in &self.agents {
            if let Some(member) = &agent.member {
                if let Some(heartbeat) = agent.endpoint.heartbeat() {
                    member.heartbeat(heartbeat);
                }
            }
        }
    }

    fn submit_job(&mut self, at: usize) {
        if self.sound.is_some() {
            return self.submit_sound_job(at);
        }
        let steps = self.random.usize(1..=2);
        let steps = (0..steps).map(|step| self.draw_step(step)).collect();
        let priority = self.random.u32(..3);
        let job = new_job(at, "account".into(), priority, steps);
        let work = Duration::from_millis(self.random.u64(200..4000));
        self.jobs.insert(job.id.clone(), (job.clone(), work));
        if self.random.u32(..20) == 0 {
            for agent in &self.agents {
                agent.endpoint.crash_on_job(&job.id);
            }
        }
        if self.scenario.has_failures && self.failures.u32(..2) == 0 {
            self.failing_jobs.insert(job.id.clone());
        }
        let cancel = self.random.u32(..10) == 0;
        let cancel = cancel.then(|| self.random.u64(100..5000));
        let random = self.random.fork();
        let cancels = Cancels {
            after_acceptance: cancel.map(Duration::from_millis),
            early: self.draw_early_cancel(),
        };
        self.start_caller(job, random, cancels);
    }

    fn submit_sound_job(&mut self, at: usize) {
        let Some(sound) = &mut self.sound else {
            return;
        };
        let plan = sound.draw_job();
        let priority = self.random.u32(..3);
        let job = new_job(at, plan.account, priority, plan.steps);
        let steps: Vec<String> = job.steps.iter().map(describe_step).collect();
        self.checker.record(format!(
            "{} is submitted: {}, hopeless: {:?}, cancelled after: {:?}",
            job.id,
            steps.join(", "),
            plan.hopeless,
            plan.cancel_after
        ));
        if plan.hopeless == Some(Hopeless::Failing) {
            self.hopeless_jobs.insert(job.id.clone());
        }
        self.jobs.insert(job.id.clone(), (job.clone(), plan.work));
        let random = self.random.fork();
        let cancels = Cancels {
            after_acceptance: None,
            early: plan.cancel_after,
        };
        self.start_caller(job, random, cancels);
    }

    fn start_caller(
        &mut self,
        job: Job,
        random: fastrand::Rng,
        cancels: Cancels,
    ) {
        self.checker.record_submission(&job);
        let until = self.start + self.scenario.fault_duration + SETTLE_TIMEOUT;
        let caller = Caller {
            job,
            checker: self.checker.clone(),
            random,
            cancels,
            until,
            admissions: self.admissions.clone(),
        };
        self.callers.push(tokio::spawn(caller.run()));
    }

    /// Returns how long after its first submission a caller cancels the job
    /// whatever it has heard, if it does.
    fn draw_early_cancel(&mut self) -> Option<Duration> {
        let cancels = self.departures.u32(..8) == 0;
        let ms = self.departures.u64(..MAX_EARLY_CANCEL_MS);
        let after = Duration::from_millis(ms);
        Some(after).filter(|_| cancels && self.scenario.has_departures)
    }

    fn draw_step(&mut self, at: usize) -> Step {
        let gang = self.random.u32(..3) == 0;
        Step {
            replicas: self.random.u32(1..=3),
            resources: Resources {
                cpu: 1000,
                memory: 1000,
                accelerators: [1, 2, 4, 8][self.random.usize(..4)],
            },
            estimate: Duration::from_secs(2),
            after: (0..at).collect(),
            gang,
            ..Step::default()
        }
    }

    fn end_due_faults(&mut self, now: Instant) {
        let pending = std::mem::take(&mut self.pending_undos);
        for (due, undo) in pending {
            if now < due {
                self.pending_undos.push((due, undo));
                continue;
            }
            self.checker.record(format!("over: {undo:?}"));
            self.checker.end_fault();
            match undo {
                Undo::Entry(at) => {
                    self.kill_entry(at);
                    self.start_entry(at);
                }
                Undo::Agent(at) => {
                    self.kill_agent(at);
                    self.start_agent(at);
                }
                Undo::Up(at) => self.agents[at].endpoint.restart(),
                Undo::Leave(at) => self.agents[at].endpoint.crash(),
                Undo::Worker(at) => {
                    self.agents[at]
                        .endpoint
                        .set_faults(worker::Faults::default());
                }
                Undo::Store => self.store.set_faults(store::Faults::default()),
                Undo::Cut(at) => self.network.set_isolated(at, false),
                Undo::Part(at) => self.network.set_store_cut(at, false),
            }
        }
    }

    fn inject_fault(&mut self, now: Instant) {
        let entry = self.random.usize(..self.entries.len());
        let worker = self.random.usize(..self.agents.len());
        let machines = self.scenario.entries + self.scenario.workers;
        let machine = self.random.usize(..machines);
        let ms = self.random.u64(100..3000);
        let (short_ms, long_ms) = (ms, ms * 5);
        let (name, undo, ms) = match self.random.u32(..15) {
            0 | 1 => {
                self.kill_entry(entry);
                ("kill entry", Undo::Entry(entry), short_ms)
            }
            2 => {
                self.kill_agent(worker);
                ("kill agent", Undo::Agent(worker), short_ms)
            }
            3..=5 => {
                self.agents[worker].endpoint.crash();
                ("crash", Undo::Up(worker), short_ms)
            }
            6 => {
                for at in 0..self.entries.len() {
                    self.kill_entry(at);
                    let restart_at = now + Duration::from_millis(short_ms);
                    self.begin_fault(restart_at, Undo::Entry(at));
                }
                for at in 0..self.agents.len() {
                    self.kill_agent(at);
                    let restart_at = now + Duration::from_millis(short_ms);
                    self.begin_fault(restart_at, Undo::Agent(at));
                }
                ("kill all", Undo::Entry(0), short_ms)
            }
            7 => {
                self.network.set_isolated(machine, true);
                ("cut", Undo::Cut(machine), long_ms)
            }
            8 => {
                self.network.set_store_cut(machine, true);
                ("part", Undo::Part(machine), long_ms)
            }
            9..=11 => {
                let (name, faults) = self.draw_store_fault();
                self.store.set_faults(faults);
                (name, Undo::Store, short_ms)
            }
            _ => {
                let (name, faults) = self.draw_worker_fault();
                self.agents[worker].endpoint.set_faults(faults);
                (name, Undo::Worker(worker), long_ms)
            }
        };
        *self.faults.entry(name).or_default() += 1;
        let line = format!("fault: {name}, {undo:?} after {ms} ms");
        self.checker.record(line);
        self.begin_fault(now + Duration::from_millis(ms), undo);
    }

    fn draw_store_fault(&mut self) -> (&'static str, store::Faults) {
        let faults = store::Faults::default();
        match self.random.u32(..5) {
            0 => (
                "store down",
                store::Faults {
                    down: true,
                    ..faults
                },
            ),
            1 => {
                let refusing = true;
                ("store refuses", store::Faults { refusing, ..faults })
            }
            2 => (
                "store loses",
                store::Faults {
                    lost_share: 0.5,
                    ..faults
                },
            ),
            3 => {
                let delay = Duration::from_millis(300);
                ("store slow", store::Faults { delay, ..faults })
            }
            _ => {
                let compacted = true;
                (
                    "store forgets",
                    store::Faults {
                        compacted,
                        ..faults
                    },
                )
            }
        }
    }

    fn draw_worker_fault(&mut self) -> (&'static str, worker::Faults) {
        let faults = worker::Faults::default();
        match self.random.u32(..4) {
            0 => (
                "late",
                worker::Faults {
                    delayed_share: 0.3,
                    ..faults
                },
            ),
            1 => (
                "fails",
                worker::Faults {
                    failing: true,
                    ..faults
                },
            ),
            2 => (
                "mute",
                worker::Faults {
                    silent: true,
                    ..faults
                },
            ),
            _ => (
                "deaf",
                worker::Faults {
                    drops_calls: true,
                    ..faults
                },
            ),
        }
    }
}

/// Returns an agent that has not started, beside a worker that is up.
fn new_agent(scenario: Scenario, at: usize, checker: &Checker) -> Agent {
    let endpoint = Endpoint::new(
        &format!("w{at}"),
        scenario.seed ^ (1 + at as u64) << 32,
        checker.clone(),
    );
    if scenario.kind == Kind::Sound {
        endpoint.set_hall(&Draws::hall(at));
        endpoint.list_progress();
    }
    Agent {
        program: None,
        member: None,
        endpoint,
    }
}

/// Returns a job that is accepted now.
fn new_job(
    at: usize,
    account: SharedStr,
    priority: u32,
    steps: Vec<Step>,
) -> Job {
    Job {
        id: format!("job{at}").into(),
        account,
        queue: "queue".into(),
        pool: "pool".into(),
        priority,
        max_attempts: 4,
        stretch: 3.0,
        target: Duration::from_secs(1),
        guarded: false,
        accepted: clock::wall_time(),
        spec: "spec".into(),
        steps,
        repeat: None,
        advice: None,
    }
}

/// Returns a step's tasks and their accelerators for the timeline.
fn describe_step(step: &Step) -> String {
    let kind = if step.gang { " together" } else { "" };
    let accelerators = step.resources.accelerators;
    format!("{} x {accelerators}{kind}", step.replicas)
}

/// Returns whether a run of a failing job fails, the same each time.
fn fails(seed: u64, task: &Task, run: Run) -> bool {
    let text = format!("{seed} {task} {run}");
    let hash = text.bytes().fold(FAILURES_SEED, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    fastrand::Rng::with_seed(hash).u64(..FAILING_RUN_INTERVAL) == 0
}

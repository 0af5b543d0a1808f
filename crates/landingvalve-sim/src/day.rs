//! A day: processes, workers, jobs and faults, drawn by a seed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Member;
use landingvalve::cell::relay::Peers;
use landingvalve::cell::relay::Relay;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::cell::Admission;
use landingvalve::cell::Submitted;
use landingvalve::clock;
use landingvalve::graph::Job;
use landingvalve::graph::JobId;
use landingvalve::graph::Options;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::Step;
use landingvalve::graph::Task;
use landingvalve::log;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::lock;
use crate::network::Network;
use crate::network::Process;
use crate::promise::Promise;
use crate::store;
use crate::store::Shared;
use crate::worker;
use crate::worker::Site;

/// How often workers are looked after.
const TICK: Duration = Duration::from_millis(20);
/// How often a worker sends a heartbeat.
const BEAT: Duration = Duration::from_millis(500);
/// How long a caller waits for an answer, and how often it asks.
const CALLER: Duration = Duration::from_millis(3000);
const TRIES: u32 = 6;
/// How long everything goes on after the last fault until what was accepted
/// must have ended.
const CALM: Duration = Duration::from_secs(90);
/// The least time from one fault to the next on average.
const FAULT: Duration = Duration::from_millis(1500);

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// What it is drawn by.
    pub seed: u64,
    /// How many entries there are.
    pub entries: usize,
    /// How many workers, each with an agent.
    pub workers: usize,
    /// How many jobs are handed in.
    pub jobs: usize,
    /// For how long there are faults.
    pub faults: Duration,
}

impl Plan {
    /// Returns a day of 3 entries, 6 workers and 40 jobs.
    pub fn of(seed: u64) -> Plan {
        Plan {
            seed,
            entries: 3,
            workers: 6,
            jobs: 40,
            faults: Duration::from_secs(40),
        }
    }
}

/// What was seen of a day.
#[derive(Clone, Debug)]
pub struct Report {
    /// The promises that were broken.
    pub broken: Vec<String>,
    /// How many tasks began.
    pub starts: u64,
    /// How many of them were listed as done before, in vain.
    pub again: u64,
    /// How many jobs were accepted.
    pub accepted: usize,
    /// How often each fault was played.
    pub faults: BTreeMap<&'static str, u32>,
    /// What happened, in order.
    pub timeline: Vec<String>,
}

/// Plays a day, in virtual time.
///
/// # Panics
///
/// If no runtime can be built.
pub fn play(plan: Plan) -> Report {
    fastrand::seed(plan.seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime of one thread");
    runtime.block_on(async {
        clock::simulate_wall_time(
            SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30),
        );
        let mut day = Day::new(plan);
        day.run().await;
        day.report()
    })
}

/// An entry or an agent while it is up.
struct Program {
    process: Process,
    task: JoinHandle<()>,
}

/// The entries that are up, as callers find them.
type Doors = Arc<Mutex<BTreeMap<usize, Admission<Relay<store::Handle>>>>>;

struct Agent {
    program: Option<Program>,
    member: Option<Member<worker::Handle, store::Handle>>,
    site: Site,
}

struct Day {
    plan: Plan,
    random: fastrand::Rng,
    network: Network,
    store: Shared,
    promise: Promise,
    entries: Vec<Option<Program>>,
    doors: Doors,
    agents: Vec<Agent>,
    jobs: BTreeMap<JobId, (Job, Duration)>,
    faults: BTreeMap<&'static str, u32>,
    /// What is undone, and when.
    undo: Vec<(Instant, Undo)>,
    callers: Vec<JoinHandle<()>>,
    began: Instant,
}

/// The end of a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Entry(usize),
    Agent(usize),
    Up(usize),
    Worker(usize),
    Store,
    Cut(usize),
    Part(usize),
}

impl Day {
    fn new(plan: Plan) -> Day {
        let promise = Promise::default();
        let agent = |at: usize| Agent {
            program: None,
            member: None,
            site: Site::new(
                &format!("w{at}"),
                plan.seed ^ (1 + at as u64) << 32,
                promise.clone(),
            ),
        };
        Day {
            plan,
            random: fastrand::Rng::with_seed(plan.seed),
            network: Network::default(),
            store: Shared::new(plan.seed),
            promise: promise.clone(),
            entries: (0..plan.entries).map(|_| None).collect(),
            doors: Doors::default(),
            agents: (0..plan.workers).map(agent).collect(),
            jobs: BTreeMap::new(),
            faults: BTreeMap::new(),
            undo: Vec::new(),
            callers: Vec::new(),
            began: Instant::now(),
        }
    }

    fn report(self) -> Report {
        let (broken, starts, accepted) = self.promise.seen();
        Report {
            broken,
            starts,
            again: self.promise.again(),
            accepted,
            faults: self.faults,
            timeline: self.promise.timeline(),
        }
    }

    async fn run(&mut self) {
        self.promise.begin();
        for at in 0..self.entries.len() {
            self.start_entry(at);
        }
        for at in 0..self.agents.len() {
            self.start_agent(at);
        }
        let faults_end = self.began + self.plan.faults;
        let every = self.plan.faults / (self.plan.jobs as u32 + 1);
        let mut next_job = self.began + Duration::from_secs(3);
        let mut next_fault = self.began + Duration::from_secs(4);
        let mut next_beat = self.began;
        let mut handed_in = 0;
        let mut tick = tokio::time::interval(TICK);
        loop {
            tick.tick().await;
            let now = Instant::now();
            self.work();
            if now >= next_beat {
                next_beat = now + BEAT;
                self.beat();
            }
            self.undo(now);
            if now >= next_job && handed_in < self.plan.jobs {
                next_job = now + every;
                self.hand_in(handed_in);
                handed_in += 1;
            }
            if now >= next_fault && now < faults_end {
                let wait = FAULT.mul_f64(2.0 * self.random.f64());
                next_fault = now + wait;
                self.fault(now);
            }
            let over = now >= faults_end + CALM;
            let calm = now >= faults_end && self.undo.is_empty();
            let done = calm
                && handed_in == self.plan.jobs
                && self.callers.iter().all(JoinHandle::is_finished)
                && self.promise.open().is_empty();
            if over || done {
                break;
            }
        }
        for id in self.promise.open() {
            let line = format!("LOST: {id} has not ended");
            self.promise.breaks(line);
        }
    }

    fn start_entry(&mut self, at: usize) {
        let process = self.network.start(at);
        let address = format!("entry-{at}-{process}");
        let name = format!("entry-{at}");
        let dial = self.network.dial(process);
        let peers = Peers::new(&name, dial, log::none());
        let direct = self.store.of(&self.network, process);
        let store = Relay::new(direct, peers.clone(), log::none());
        let host = Host::new().with_proxy(Arc::new(store.clone()));
        self.network.listen(&address, process, host.clone());
        let named = peers.follow(store.clone(), address.clone());
        let session = Session {
            store: store.clone(),
            holder: Holder {
                process: name,
                address: address.clone(),
                life: address,
                cores: 1.0,
            },
            host,
            source: Source::new(),
            advice: None,
            options: Options::default(),
            log: log::none(),
        };
        // Nobody stops it in an orderly way: who drops the other end would.
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            tokio::join!(session.run(stopped), named);
            drop(stop);
        });
        self.entries[at] = Some(Program { process, task });
        let door = Admission::new(store, log::none());
        lock(&self.doors).insert(at, door);
    }

    fn kill_entry(&mut self, at: usize) {
        lock(&self.doors).remove(&at);
        if let Some(program) = self.entries[at].take() {
            self.network.kill(program.process);
            program.task.abort();
        }
    }

    fn start_agent(&mut self, at: usize) {
        let machine = self.plan.entries + at;
        let process = self.network.start(machine);
        let agent = &mut self.agents[at];
        let config = Config {
            agent: format!("agent-{at}").into(),
            survival: Options::default().survival,
            lease: Duration::from_secs(6),
            connector: self.network.dial(process),
            log: log::none(),
        };
        let worker = agent.site.of(&self.network, process);
        let store = self.store.of(&self.network, process);
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

    /// Lets workers work, gangs as a whole.
    fn work(&mut self) {
        let mut present: BTreeMap<(Task, Run), u32> = BTreeMap::new();
        for agent in &self.agents {
            for (unit, count) in agent.site.here() {
                *present.entry(unit).or_default() += count;
            }
        }
        let jobs = &self.jobs;
        let whole = |task: &Task, run: Run| {
            let (job, _) = jobs.get(&task.job)?;
            let step = &job.steps[task.step];
            let first = Task {
                index: 0,
                ..task.clone()
            };
            let here = present.get(&(first, run)).copied().unwrap_or(0);
            step.gang.then_some(here >= step.replicas)
        };
        let work = |task: &Task| {
            jobs.get(&task.job)
                .map_or(Duration::ZERO, |(_, work)| *work)
        };
        let mut over = Vec::new();
        for agent in &self.agents {
            over.extend(agent.site.pass(TICK, whole, work));
        }
        for (task, run, how) in over {
            let how = match how {
                landingvalve::graph::RunOutcome::Done => how,
                _ => landingvalve::graph::RunOutcome::Broken,
            };
            for agent in &self.agents {
                agent.site.end_gang(&task, run, how);
            }
        }
        self.go_down();
    }

    /// Lets workers that went down by themselves come back.
    fn go_down(&mut self) {
        let now = Instant::now();
        for at in 0..self.agents.len() {
            let back = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Up(other) if *other == at);
            let waits = self.undo.iter().any(back);
            if !self.agents[at].site.is_up() && !waits {
                let ms = self.random.u64(..3000);
                let then = now + Duration::from_millis(ms);
                self.undo.push((then, Undo::Up(at)));
            }
        }
    }

    fn beat(&mut self) {
        for agent in &self.agents {
            if let Some(member) = &agent.member {
                if let Some(beat) = agent.site.heartbeat() {
                    member.heartbeat(beat);
                }
            }
        }
    }

    fn hand_in(&mut self, at: usize) {
        let steps = self.random.usize(1..=2);
        let steps = (0..steps).map(|step| self.step(step)).collect();
        let job = Job {
            id: format!("job{at}").into(),
            account: "account".into(),
            queue: "queue".into(),
            pool: "pool".into(),
            priority: self.random.u32(..3),
            max_attempts: 4,
            stretch: 3.0,
            target: Duration::from_secs(1),
            guarded: false,
            accepted: clock::wall_time(),
            spec: "spec".into(),
            steps,
            repeat: None,
            advice: None,
        };
        let work = Duration::from_millis(self.random.u64(200..4000));
        self.jobs.insert(job.id.clone(), (job.clone(), work));
        if self.random.u32(..20) == 0 {
            for agent in &self.agents {
                agent.site.crash_under(&job.id);
            }
        }
        self.promise.submits(&job);
        let cancel = self.random.u32(..10) == 0;
        let cancel = cancel.then(|| self.random.u64(100..5000));
        let until = self.began + self.plan.faults + CALM;
        let caller = Caller {
            job,
            promise: self.promise.clone(),
            random: self.random.fork(),
            cancel: cancel.map(Duration::from_millis),
            until,
            doors: self.doors.clone(),
        };
        self.callers.push(tokio::spawn(caller.run()));
    }

    fn step(&mut self, at: usize) -> Step {
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

    fn undo(&mut self, now: Instant) {
        let undo = std::mem::take(&mut self.undo);
        for (at, undo) in undo {
            if now < at {
                self.undo.push((at, undo));
                continue;
            }
            self.promise.tell(format!("over: {undo:?}"));
            match undo {
                Undo::Entry(at) => {
                    self.kill_entry(at);
                    self.start_entry(at);
                }
                Undo::Agent(at) => {
                    self.kill_agent(at);
                    self.start_agent(at);
                }
                Undo::Up(at) => self.agents[at].site.start_again(),
                Undo::Worker(at) => {
                    self.agents[at].site.set(worker::Mode::default());
                }
                Undo::Store => self.store.set(store::Mode::default()),
                Undo::Cut(at) => self.network.cut(at, false),
                Undo::Part(at) => self.network.part(at, false),
            }
        }
    }

    fn fault(&mut self, now: Instant) {
        let entry = self.random.usize(..self.entries.len());
        let worker = self.random.usize(..self.agents.len());
        let machines = self.plan.entries + self.plan.workers;
        let machine = self.random.usize(..machines);
        let ms = self.random.u64(100..3000);
        let (soon, long) = (ms, ms * 5);
        let (name, undo, ms) = match self.random.u32(..15) {
            0 | 1 => {
                self.kill_entry(entry);
                ("kill entry", Undo::Entry(entry), soon)
            }
            2 => {
                self.kill_agent(worker);
                ("kill agent", Undo::Agent(worker), soon)
            }
            3..=5 => {
                self.agents[worker].site.crash();
                ("crash", Undo::Up(worker), soon)
            }
            6 => {
                for at in 0..self.entries.len() {
                    self.kill_entry(at);
                    let later = now + Duration::from_millis(soon);
                    self.undo.push((later, Undo::Entry(at)));
                }
                for at in 0..self.agents.len() {
                    self.kill_agent(at);
                    let later = now + Duration::from_millis(soon);
                    self.undo.push((later, Undo::Agent(at)));
                }
                ("kill all", Undo::Entry(0), soon)
            }
            7 => {
                self.network.cut(machine, true);
                ("cut", Undo::Cut(machine), long)
            }
            8 => {
                self.network.part(machine, true);
                ("part", Undo::Part(machine), long)
            }
            9..=11 => {
                let (name, mode) = self.store_fault();
                self.store.set(mode);
                (name, Undo::Store, soon)
            }
            _ => {
                let (name, mode) = self.worker_fault();
                self.agents[worker].site.set(mode);
                (name, Undo::Worker(worker), long)
            }
        };
        *self.faults.entry(name).or_default() += 1;
        let line = format!("fault: {name}, {undo:?} after {ms} ms");
        self.promise.tell(line);
        self.undo.push((now + Duration::from_millis(ms), undo));
    }

    fn store_fault(&mut self) -> (&'static str, store::Mode) {
        let mode = store::Mode::default();
        match self.random.u32(..5) {
            0 => ("store down", store::Mode { down: true, ..mode }),
            1 => {
                let refuses = true;
                ("store refuses", store::Mode { refuses, ..mode })
            }
            2 => ("store loses", store::Mode { loses: 0.5, ..mode }),
            3 => {
                let slow = Duration::from_millis(300);
                ("store slow", store::Mode { slow, ..mode })
            }
            _ => {
                let forgets = true;
                ("store forgets", store::Mode { forgets, ..mode })
            }
        }
    }

    fn worker_fault(&mut self) -> (&'static str, worker::Mode) {
        let mode = worker::Mode::default();
        match self.random.u32(..4) {
            0 => ("late", worker::Mode { late: 0.3, ..mode }),
            1 => (
                "fails",
                worker::Mode {
                    fails: true,
                    ..mode
                },
            ),
            2 => ("mute", worker::Mode { mute: true, ..mode }),
            _ => ("deaf", worker::Mode { deaf: true, ..mode }),
        }
    }
}

/// Who hands a job in and asks for it.
struct Caller {
    job: Job,
    promise: Promise,
    random: fastrand::Rng,
    cancel: Option<Duration>,
    until: Instant,
    doors: Doors,
}

impl Caller {
    async fn run(mut self) {
        if !self.submit().await {
            return;
        }
        let id = self.job.id.clone();
        self.promise.accepts(&id);
        let asked = Instant::now();
        while Instant::now() < self.until {
            tokio::time::sleep(Duration::from_millis(400)).await;
            let Some(door) = self.door() else {
                continue;
            };
            let deadline = Instant::now() + CALLER;
            if self.cancel.is_some_and(|after| asked.elapsed() >= after) {
                let cancelled = door.cancel(&id, deadline);
                let call = tokio::time::timeout(CALLER, cancelled).await;
                if let Ok(Ok(true)) = call {
                    self.promise.cancels(&id);
                    self.cancel = None;
                }
            }
            let stage = door.stage(&id, deadline);
            let stage = tokio::time::timeout(CALLER, stage).await;
            if let Ok(Ok(stage)) = stage {
                self.promise.shows(&id, stage);
                if matches!(stage, Some(landingvalve::cell::Stage::Ended(_))) {
                    return;
                }
            }
        }
    }

    async fn submit(&mut self) -> bool {
        for _ in 0..TRIES {
            if let Some(door) = self.door() {
                let deadline = Instant::now() + CALLER;
                let submitted = door.submit(&self.job, deadline);
                let call = tokio::time::timeout(CALLER, submitted).await;
                if let Ok(Submitted::Accepted) = call {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        false
    }

    fn door(&mut self) -> Option<Admission<Relay<store::Handle>>> {
        let doors = lock(&self.doors);
        let at =
            (!doors.is_empty()).then(|| self.random.usize(..doors.len()))?;
        doors.values().nth(at).cloned()
    }
}

//! One soak: the fleet, its faults, its callers, and the report.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use landingvalve::http;
use landingvalve::http::Server;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::callers::Caller;
use crate::faults;
use crate::faults::Fault;
use crate::faults::Strike;
use crate::fleet::free_address;
use crate::fleet::Program;
use crate::operators::Operators;
use crate::promise::Counts;
use crate::promise::JobId;
use crate::promise::Promise;
use crate::store;
use crate::store::Store;
use crate::worker;
use crate::worker::Worker;

/// How long an agent's tasks go on without a planner, in ms.
const SURVIVAL_MS: u64 = 5000;
/// The longest lease of a worker, in ms.
const LEASE_MS: u64 = 3000;
/// How long after the last fault everything must have ended.
const SETTLE: Duration = Duration::from_secs(45);
/// How often jobs are submitted, asked about and looked after.
const ROUND: Duration = Duration::from_millis(120);
/// How many jobs are open at most.
const OPEN: usize = 40;

/// What is soaked, and how.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's program.
    pub entry: PathBuf,
    /// The agent's program.
    pub agent: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// What the faults and jobs are drawn by.
    pub seed: u64,
    /// For how long there are faults.
    pub faults_for: Duration,
    /// How many entries run.
    pub entries: usize,
    /// How many workers, each with its agent.
    pub workers: usize,
}

/// What came of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What the faults and jobs were drawn by.
    pub seed: u64,
    /// How often each kind of fault was injected.
    pub faults: BTreeMap<String, u32>,
    /// What was seen.
    pub seen: Counts,
    /// Calls of the store.
    pub store_calls: u64,
    /// How long after the last fault the last accepted job had ended.
    pub settled_ms: Option<u64>,
    /// What was broken; nothing is as it should be.
    pub broken: Vec<String>,
}

struct Soak {
    plan: Config,
    /// Draws the faults, and nothing else: their order repeats.
    chance: fastrand::Rng,
    /// Draws what callers do.
    random: fastrand::Rng,
    store: Store,
    operators: Operators,
    workers: Vec<Worker>,
    entries: Vec<Program>,
    agents: Vec<Program>,
    caller: Caller,
    jobs: Vec<JobId>,
    /// The faults under way, and when each ends.
    under_way: Vec<(Fault, Instant)>,
    faults: BTreeMap<String, u32>,
    _servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
}

/// Soaks.
///
/// # Errors
///
/// If the stand-ins or the programs cannot be started.
pub async fn run(plan: Config) -> eyre::Result<Report> {
    std::fs::create_dir_all(&plan.folder)?;
    let mut soak = Soak::start(plan).await?;
    let until = Instant::now() + soak.plan.faults_for;
    let mut next = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        if Instant::now() >= next {
            next = Instant::now() + soak.strike()?;
        }
        soak.round(true).await?;
    }
    let settled = soak.settle().await?;
    Ok(soak.report(settled))
}

impl Soak {
    async fn start(plan: Config) -> eyre::Result<Soak> {
        let promise = Promise::default();
        let store = Store::new(plan.seed);
        let operators = Operators::new(store.clone());
        let server =
            Server::start(free_address()?, store.clone().into()).await?;
        let store_address = server.address();
        let mut soak = Soak {
            chance: fastrand::Rng::with_seed(plan.seed),
            random: fastrand::Rng::with_seed(plan.seed),
            store,
            operators,
            workers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            caller: Caller {
                http: http::Client::new(),
                entries: Vec::new(),
                promise: promise.clone(),
            },
            jobs: Vec::new(),
            under_way: Vec::new(),
            faults: BTreeMap::new(),
            _servers: vec![server],
            tasks: Vec::new(),
            plan,
        };
        for at in 0..soak.plan.workers {
            soak.add_worker(at, store_address.to_string(), &promise)
                .await?;
        }
        for at in 0..soak.plan.entries {
            soak.add_entry(at, &store_address.to_string())?;
        }
        Ok(soak)
    }

    async fn add_worker(
        &mut self,
        at: usize,
        store: String,
        promise: &Promise,
    ) -> eyre::Result<()> {
        let name = format!("w{at}");
        let seed = self.plan.seed + 1 + at as u64;
        let worker = Worker::new(&name, seed, promise.clone());
        let server =
            Server::start(free_address()?, worker.clone().into()).await?;
        let agent = free_address()?;
        let settings = format!(
            "[process]\nname = agent-{at}\nhall = hall\n\
             [listen]\nworker = {agent}\n\
             [worker]\naddress = {}\n\
             [platform]\nstore = {store}\n\
             [times]\nsurvival_ms = {SURVIVAL_MS}\nlease_ms = {LEASE_MS}\n\
             [log]\nformat = json\nlevel = info\n",
            server.address(),
        );
        let mut program = self.program(&format!("agent-{at}"), &settings)?;
        program.start()?;
        self.agents.push(program);
        let http = http::Client::new();
        self.tasks.push(tokio::spawn(worker.clone().work()));
        self.tasks
            .push(tokio::spawn(worker.clone().report(http, agent)));
        self.workers.push(worker);
        self._servers.push(server);
        Ok(())
    }

    fn add_entry(&mut self, at: usize, store: &str) -> eyre::Result<()> {
        let callers = free_address()?;
        let settings = format!(
            "[process]\nname = entry-{at}\nhall = hall\n\
             [listen]\ncallers = {callers}\nready = {}\nplanner = {}\n\
             [platform]\nstore = {store}\n\
             [times]\nsurvival_ms = {SURVIVAL_MS}\ngrace_s = 2\n\
             [log]\nformat = json\nlevel = info\n",
            free_address()?,
            free_address()?,
        );
        let mut program = self.program(&format!("entry-{at}"), &settings)?;
        program.start()?;
        self.entries.push(program);
        self.caller.entries.push(callers);
        Ok(())
    }

    fn program(&self, name: &str, settings: &str) -> eyre::Result<Program> {
        let path: &Path = match name.starts_with("entry") {
            true => &self.plan.entry,
            false => &self.plan.agent,
        };
        Program::new(name, path, &self.plan.folder, settings)
    }

    /// Lets a fault begin; returns how long after it the next does.
    fn strike(&mut self) -> eyre::Result<Duration> {
        let (entries, workers) = (self.entries.len(), self.workers.len());
        let Strike { fault, lasts, next } =
            faults::draw(&mut self.chance, entries, workers);
        let kind = format!("{fault:?}");
        let kind = kind.split(['(', ' ']).next().unwrap_or_default();
        *self.faults.entry(kind.to_owned()).or_default() += 1;
        match fault {
            Fault::KillEntry(at) => self.entries[at].kill(),
            Fault::PauseEntry(at) => self.entries[at].pause(true),
            Fault::StopEntry(at) => self.entries[at].term(),
            Fault::KillEntries => {
                self.entries.iter_mut().for_each(Program::kill);
            }
            Fault::KillAgent(at) => self.agents[at].kill(),
            Fault::PauseAgent(at) => self.agents[at].pause(true),
            Fault::KillAll => {
                self.entries.iter_mut().for_each(Program::kill);
                self.agents.iter_mut().for_each(Program::kill);
            }
            Fault::Crash(at) => self.workers[at].crash(),
            Fault::Worker(at, mode) => self.workers[at].set(mode),
            Fault::Store(mode) => self.store.set(mode),
            Fault::Forget => self.store.discard_history(),
            Fault::Configure(idle) => self.operators.change(idle),
        }
        self.under_way.push((fault, Instant::now() + lasts));
        Ok(next)
    }

    /// Ends the faults that have lasted long enough.
    fn mend(&mut self, all: bool) -> eyre::Result<()> {
        let now = Instant::now();
        let (over, left) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(_, until)| all || now >= *until);
        self.under_way = left;
        let over: Vec<(Fault, Instant)> = over;
        for (fault, _) in over {
            match fault {
                Fault::KillEntry(at) => self.entries[at].start()?,
                Fault::PauseEntry(at) => self.entries[at].pause(false),
                Fault::StopEntry(_) => {}
                Fault::KillEntries => start_all(&mut self.entries)?,
                Fault::KillAgent(at) => self.agents[at].start()?,
                Fault::PauseAgent(at) => self.agents[at].pause(false),
                Fault::KillAll => {
                    start_all(&mut self.entries)?;
                    start_all(&mut self.agents)?;
                }
                Fault::Worker(at, _) => {
                    self.workers[at].set(worker::Mode::default());
                }
                Fault::Store(_) => self.store.set(store::Mode::Good),
                Fault::Crash(_) | Fault::Forget | Fault::Configure(_) => {}
            }
        }
        // One that was asked to stop is started again once it has ended.
        let programs = self.entries.iter_mut().chain(&mut self.agents);
        for program in programs {
            if program.has_ended() {
                program.start()?;
            }
        }
        Ok(())
    }

    /// Lets callers do something, each beside the others.
    async fn round(&mut self, submits: bool) -> eyre::Result<()> {
        self.mend(!submits)?;
        let open = self.caller.promise.open();
        if submits && open.len() < OPEN {
            let caller = self.caller.clone();
            let mut random = self.random.fork();
            self.tasks.push(tokio::spawn(async move {
                caller.submit(&mut random).await;
            }));
        }
        if let Some(job) = self.pick(&open) {
            let caller = self.caller.clone();
            let cancel = submits && self.random.u32(..12) == 0;
            self.tasks.push(tokio::spawn(async move {
                match cancel {
                    true => caller.cancel(&job).await,
                    false => caller.ask(&job).await,
                }
            }));
        }
        let operators = self.operators.clone();
        let Caller {
            entries, promise, ..
        } = self.caller.clone();
        self.tasks.push(tokio::spawn(async move {
            let entry = entries[fastrand::usize(..entries.len())];
            operators.probe(entry, &promise).await;
        }));
        self.tasks.retain(|task| !task.is_finished());
        tokio::time::sleep(ROUND).await;
        Ok(())
    }

    fn pick(&mut self, open: &[JobId]) -> Option<JobId> {
        match open.len() {
            0 => None,
            jobs => Some(open[self.random.usize(..jobs)].clone()),
        }
    }

    /// Waits until every accepted job has ended; returns how long it took.
    async fn settle(&mut self) -> eyre::Result<Option<Duration>> {
        let began = Instant::now();
        while began.elapsed() < SETTLE {
            self.round(false).await?;
            for job in self.caller.promise.open() {
                self.caller.ask(&job).await;
            }
            if self.caller.promise.open().is_empty() {
                return Ok(Some(began.elapsed()));
            }
        }
        Ok(None)
    }

    fn report(&mut self, settled: Option<Duration>) -> Report {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.jobs = self.caller.promise.open();
        let lost = self.jobs.iter().map(|job| format!("LOST: {job} is open"));
        let mut broken = self.caller.promise.broken();
        broken.extend(lost);
        Report {
            seed: self.plan.seed,
            faults: self.faults.clone(),
            seen: self.caller.promise.counts(),
            store_calls: self.store.calls(),
            settled_ms: settled.map(|time| time.as_millis() as u64),
            broken,
        }
    }
}

fn start_all(programs: &mut [Program]) -> eyre::Result<()> {
    programs.iter_mut().try_for_each(Program::start)
}

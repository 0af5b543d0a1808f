//! One run of the soak test: the fleet, its faults, its callers, and the
//! report.

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
use crate::faults::Injection;
use crate::fleet::free_address;
use crate::fleet::Program;
use crate::gang::Registry;
use crate::invariants::Checker;
use crate::invariants::Counts;
use crate::invariants::JobId;
use crate::operators::Operators;
use crate::store;
use crate::store::Store;
use crate::worker;
use crate::worker::Worker;

/// The setting `survival_ms`: how long tasks continue without a planner, in
/// ms.
const SURVIVAL_MS: u64 = 5000;
/// The setting `lease_ms` of agents: the longest lease of a worker, in ms.
const LEASE_MS: u64 = 3000;
/// The time after the last fault within which all accepted jobs must end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(45);
/// The pause after each round of calls.
const ROUND_INTERVAL: Duration = Duration::from_millis(120);
/// The number of open jobs at which no more jobs are submitted.
const MAX_OPEN_JOBS: usize = 40;

/// The time from one change of the configuration to the next while there are
/// no faults.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1500);
/// The numbers of idle queues of these configurations.
const IDLE_QUEUES: [usize; 2] = [0, 500];

/// What callers do in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Traffic {
    /// They submit, query and at times cancel.
    Usual,
    /// The same, and they cancel more often.
    ManyCancels,
    /// They only query.
    Queries,
}

impl Traffic {
    /// Returns the number of queries of which one is a cancel.
    fn cancel_interval(self) -> Option<u32> {
        match self {
            Traffic::Usual => Some(12),
            Traffic::ManyCancels => Some(5),
            Traffic::Queries => None,
        }
    }
}

/// The configuration of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// The path of the entry's program.
    pub entry: PathBuf,
    /// The path of the agent's program.
    pub agent: PathBuf,
    /// The folder for settings and logs.
    pub folder: PathBuf,
    /// The seed of the faults and the jobs.
    pub seed: u64,
    /// For how long faults are injected.
    pub faults_for: Duration,
    /// For how long, before the faults, only the configuration changes and
    /// jobs are cancelled.
    pub sound_for: Duration,
    /// The number of entries.
    pub entries: usize,
    /// The number of workers, each with an agent.
    pub workers: usize,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed of the faults and the jobs.
    pub seed: u64,
    /// How often each kind of fault was injected.
    pub faults: BTreeMap<String, u32>,
    /// The numbers of observed events.
    pub seen: Counts,
    /// The number of calls that the store received.
    pub store_calls: u64,
    /// The time in ms from the end of the faults until every accepted job had
    /// ended, null if some had not ended before the timeout.
    pub settled_ms: Option<u64>,
    /// The violations of the invariants; empty if the run passed.
    pub broken: Vec<String>,
}

struct Soak {
    config: Config,
    /// The generator of the faults. Nothing else draws from it, so that a seed
    /// repeats the sequence of faults.
    fault_random: fastrand::Rng,
    /// The generator of the callers' actions.
    caller_random: fastrand::Rng,
    /// The generator of changes while there are no faults.
    sound_random: fastrand::Rng,
    gangs: Registry,
    store: Store,
    operators: Operators,
    workers: Vec<Worker>,
    entries: Vec<Program>,
    agents: Vec<Program>,
    caller: Caller,
    /// The jobs that had not ended when the run was over.
    unfinished: Vec<JobId>,
    /// The active faults, and when each ends.
    active_faults: Vec<(Fault, Instant)>,
    fault_counts: BTreeMap<String, u32>,
    /// The servers of the stand-ins, which run until they are dropped.
    _servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
}

/// Runs the fleet under faults, then without faults until all jobs have
/// ended, and reports the results.
///
/// # Errors
///
/// If the stand-ins or the programs cannot be started.
pub async fn run(config: Config) -> eyre::Result<Report> {
    std::fs::create_dir_all(&config.folder)?;
    let mut soak = Soak::start(config).await?;
    soak.run_soundly().await?;
    let faults_until = Instant::now() + soak.config.faults_for;
    let mut next_fault = Instant::now() + Duration::from_secs(1);
    while Instant::now() < faults_until {
        if Instant::now() >= next_fault {
            next_fault = Instant::now() + soak.inject_fault()?;
        }
        soak.run_round(Traffic::Usual).await?;
    }
    let settled = soak.settle().await?;
    Ok(soak.report(settled))
}

impl Soak {
    async fn start(config: Config) -> eyre::Result<Soak> {
        let checker = Checker::default();
        let store = Store::new(config.seed);
        let operators = Operators::new(store.clone());
        let server =
            Server::start(free_address()?, store.clone().into()).await?;
        let store_address = server.address();
        let mut soak = Soak {
            fault_random: fastrand::Rng::with_seed(config.seed),
            caller_random: fastrand::Rng::with_seed(config.seed),
            sound_random: fastrand::Rng::with_seed(config.seed),
            gangs: Registry::default(),
            store,
            operators,
            workers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            caller: Caller {
                http: http::Client::new(),
                entries: Vec::new(),
                checker: checker.clone(),
            },
            unfinished: Vec::new(),
            active_faults: Vec::new(),
            fault_counts: BTreeMap::new(),
            _servers: vec![server],
            tasks: Vec::new(),
            config,
        };
        for at in 0..soak.config.workers {
            soak.add_worker(at, store_address.to_string(), &checker)
                .await?;
        }
        for at in 0..soak.config.entries {
            soak.add_entry(at, &store_address.to_string())?;
        }
        Ok(soak)
    }

    /// Starts a worker and its agent.
    async fn add_worker(
        &mut self,
        at: usize,
        store: String,
        checker: &Checker,
    ) -> eyre::Result<()> {
        let name = format!("w{at}");
        let seed = self.config.seed + 1 + at as u64;
        let gangs = self.gangs.clone();
        let worker = Worker::new(&name, seed, gangs, checker.clone());
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
        let mut program =
            self.new_program(&format!("agent-{at}"), &settings)?;
        program.start()?;
        self.agents.push(program);
        let http = http::Client::new();
        self.tasks.push(tokio::spawn(worker.clone().run_tasks()));
        self.tasks
            .push(tokio::spawn(worker.clone().send_heartbeats(http, agent)));
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
        let mut program =
            self.new_program(&format!("entry-{at}"), &settings)?;
        program.start()?;
        self.entries.push(program);
        self.caller.entries.push(callers);
        Ok(())
    }

    /// Returns an entry or an agent, by the prefix of the name.
    fn new_program(
        &self,
        name: &str,
        settings: &str,
    ) -> eyre::Result<Program> {
        let path: &Path = match name.starts_with("entry") {
            true => &self.config.entry,
            false => &self.config.agent,
        };
        Program::new(name, path, &self.config.folder, settings)
    }

    /// Runs the fleet without faults, while the configuration changes and jobs
    /// are cancelled.
    async fn run_soundly(&mut self) -> eyre::Result<()> {
        if self.config.sound_for.is_zero() {
            return Ok(());
        }
        // The fleet has been started just now.
        self.caller.checker.begin_fault();
        self.caller.checker.end_fault();
        let until = Instant::now() + self.config.sound_for;
        let mut next_change = Instant::now() + CHANGE_INTERVAL;
        while Instant::now() < until {
            if Instant::now() >= next_change {
                next_change = Instant::now() + CHANGE_INTERVAL;
                let idle = IDLE_QUEUES[self.sound_random.usize(..2)];
                self.operators.write_next_version(idle);
                *self
                    .fault_counts
                    .entry("SoundConfigure".to_owned())
                    .or_default() += 1;
            }
            self.run_round(Traffic::ManyCancels).await?;
        }
        Ok(())
    }

    /// Draws and injects a fault; returns the time until the next fault.
    fn inject_fault(&mut self) -> eyre::Result<Duration> {
        let (entries, workers) = (self.entries.len(), self.workers.len());
        let Injection {
            fault,
            duration,
            next_after,
        } = faults::draw(&mut self.fault_random, entries, workers);
        let kind = format!("{fault:?}");
        let kind = kind.split(['(', ' ']).next().unwrap_or_default();
        *self.fault_counts.entry(kind.to_owned()).or_default() += 1;
        match fault {
            Fault::KillEntry(index) => self.entries[index].kill(),
            Fault::PauseEntry(index) => self.entries[index].set_paused(true),
            Fault::StopEntry(index) => self.entries[index].terminate(),
            Fault::KillEntries => {
                self.entries.iter_mut().for_each(Program::kill);
            }
            Fault::KillAgent(index) => self.agents[index].kill(),
            Fault::PauseAgent(index) => self.agents[index].set_paused(true),
            Fault::KillAll => {
                self.entries.iter_mut().for_each(Program::kill);
                self.agents.iter_mut().for_each(Program::kill);
            }
            Fault::Crash(index) => self.workers[index].crash(),
            Fault::Worker(index, mode) => self.workers[index].set_mode(mode),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::Forget => self.store.discard_history(),
            Fault::Configure(idle) => self.operators.write_next_version(idle),
        }
        if fault.is_impairment() {
            self.caller.checker.begin_fault();
        }
        self.active_faults.push((fault, Instant::now() + duration));
        Ok(next_after)
    }

    /// Ends the faults whose time is over, or all faults, and restarts
    /// programs that have ended by themselves.
    fn end_faults(&mut self, all: bool) -> eyre::Result<()> {
        let now = Instant::now();
        let (ended, active) = std::mem::take(&mut self.active_faults)
            .into_iter()
            .partition(|(_, until)| all || now >= *until);
        self.active_faults = active;
        let ended: Vec<(Fault, Instant)> = ended;
        for (fault, _) in ended {
            if fault.is_impairment() {
                self.caller.checker.end_fault();
            }
            match fault {
                Fault::KillEntry(index) => self.entries[index].start()?,
                Fault::PauseEntry(index) => {
                    self.entries[index].set_paused(false)
                }
                Fault::StopEntry(_) => {}
                Fault::KillEntries => start_all(&mut self.entries)?,
                Fault::KillAgent(index) => self.agents[index].start()?,
                Fault::PauseAgent(index) => {
                    self.agents[index].set_paused(false)
                }
                Fault::KillAll => {
                    start_all(&mut self.entries)?;
                    start_all(&mut self.agents)?;
                }
                Fault::Worker(index, _) => {
                    self.workers[index].set_mode(worker::Mode::default());
                }
                Fault::Store(_) => self.store.set_mode(store::Mode::Healthy),
                Fault::Crash(_) | Fault::Forget | Fault::Configure(_) => {}
            }
        }
        // An entry that was sent a termination signal is restarted once its
        // process has ended.
        let programs = self.entries.iter_mut().chain(&mut self.agents);
        for program in programs {
            if program.has_ended() {
                self.caller.checker.begin_fault();
                self.caller.checker.end_fault();
                program.start()?;
            }
        }
        Ok(())
    }

    /// Starts the calls of a round, which may overlap with those of other
    /// rounds: a query of a job and a probe of the configuration and, unless
    /// nothing new is wanted, a submission and at times a cancel instead of the
    /// query. If nothing new is wanted, all active faults are ended first.
    async fn run_round(&mut self, traffic: Traffic) -> eyre::Result<()> {
        let is_over = traffic == Traffic::Queries;
        self.end_faults(is_over)?;
        let open = self.caller.checker.open_jobs();
        if !is_over && open.len() < MAX_OPEN_JOBS {
            let caller = self.caller.clone();
            let mut random = self.caller_random.fork();
            self.tasks.push(tokio::spawn(async move {
                caller.submit(&mut random).await;
            }));
        }
        if let Some(job) = self.pick_job(&open) {
            let caller = self.caller.clone();
            let cancel = match traffic.cancel_interval() {
                Some(interval) => self.caller_random.u32(..interval) == 0,
                None => false,
            };
            self.tasks.push(tokio::spawn(async move {
                match cancel {
                    true => caller.cancel(&job).await,
                    false => caller.query(&job).await,
                }
            }));
        }
        let operators = self.operators.clone();
        let Caller {
            entries, checker, ..
        } = self.caller.clone();
        self.tasks.push(tokio::spawn(async move {
            let entry = entries[fastrand::usize(..entries.len())];
            operators.probe(entry, &checker).await;
        }));
        self.tasks.retain(|task| !task.is_finished());
        tokio::time::sleep(ROUND_INTERVAL).await;
        Ok(())
    }

    /// Returns a random open job, if there is one.
    fn pick_job(&mut self, open: &[JobId]) -> Option<JobId> {
        match open.len() {
            0 => None,
            jobs => Some(open[self.caller_random.usize(..jobs)].clone()),
        }
    }

    /// Waits without faults until every accepted job has ended; returns the
    /// time this took, or `None` after the timeout.
    async fn settle(&mut self) -> eyre::Result<Option<Duration>> {
        let start = Instant::now();
        while start.elapsed() < SETTLE_TIMEOUT {
            self.run_round(Traffic::Queries).await?;
            for job in self.caller.checker.open_jobs() {
                self.caller.query(&job).await;
            }
            if self.caller.checker.open_jobs().is_empty() {
                return Ok(Some(start.elapsed()));
            }
        }
        Ok(None)
    }

    fn report(&mut self, settled: Option<Duration>) -> Report {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.unfinished = self.caller.checker.open_jobs();
        let lost = self
            .unfinished
            .iter()
            .map(|job| format!("LOST: {job} has not ended"));
        let mut violations = self.caller.checker.violations();
        violations.extend(lost);
        Report {
            seed: self.config.seed,
            faults: self.fault_counts.clone(),
            seen: self.caller.checker.counts(),
            store_calls: self.store.calls(),
            settled_ms: settled.map(|time| time.as_millis() as u64),
            broken: violations,
        }
    }
}

fn start_all(programs: &mut [Program]) -> eyre::Result<()> {
    programs.iter_mut().try_for_each(Program::start)
}

//! Planner, agents and admission together, on an in-memory store and simulated
//! workers that fail on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use landingvalve::cell::claim::Holder;
use landingvalve::cell::configuration::Keys;
use landingvalve::cell::configuration::Source;
use landingvalve::cell::connector::Network;
use landingvalve::cell::keys;
use landingvalve::cell::member::Config;
use landingvalve::cell::member::Heartbeat;
use landingvalve::cell::member::Member;
use landingvalve::cell::server::Limits;
use landingvalve::cell::server::Server;
use landingvalve::cell::session::Host;
use landingvalve::cell::session::Session;
use landingvalve::cell::worker;
use landingvalve::cell::worker::Call;
use landingvalve::cell::worker::Snapshot;
use landingvalve::cell::worker::Worker;
use landingvalve::cell::worker::WorkerTime;
use landingvalve::cell::Admission;
use landingvalve::cell::Stage;
use landingvalve::cell::Submitted;
use landingvalve::graph::Ended;
use landingvalve::graph::Job;
use landingvalve::graph::Life;
use landingvalve::graph::Lists;
use landingvalve::graph::Options;
use landingvalve::graph::Outcome;
use landingvalve::graph::Pace;
use landingvalve::graph::Refusal;
use landingvalve::graph::Resources;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::Start;
use landingvalve::graph::Step;
use landingvalve::graph::Stop;
use landingvalve::log;
use landingvalve::store::Mutation;
use landingvalve::store::Revision;
use landingvalve::store::Store;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub use crate::memory::Memory;
use crate::support::until;

/// The state of a [`FakeWorker`], and the faults that the worker simulates.
#[derive(Default)]
struct State {
    /// Whether the worker answers no call and sends no heartbeat.
    mute: bool,
    /// Whether the worker fails every call, although its heartbeats go on.
    fails_calls: bool,
    /// The number of calls that the worker has failed, except for stops failed
    /// through `fails_stops`.
    failed_calls: u32,
    /// The number of starts among the failed calls.
    failed_starts: u32,
    /// The number of next starts that are not answered and may be executed
    /// late.
    starts_to_leave_unanswered: u32,
    /// The number of starts that were not answered.
    unanswered_starts: u32,
    /// The unanswered starts, which may still be executed.
    late_starts: Vec<Start>,
    /// The worker's accelerators, 8 if not set.
    accelerators: Option<i64>,
    /// Whether the worker fails every poll, and no other call.
    fails_polls: bool,
    /// Whether polls are not answered once a start was not.
    stalls_polls: bool,
    /// The number of polls that were not answered for that reason.
    stalled_polls: u32,
    last_poll_wait: Duration,
    /// Whether a poll waits for an end as long as it may, rather than for
    /// [`SHORT_POLL_WAIT`].
    uses_full_poll_waits: bool,
    /// When the last poll arrived.
    last_poll_at: Option<Instant>,
    /// Whether the worker's port is closed.
    is_closed: bool,
    /// Whether the worker answers nothing after a poll that has shown an end.
    mutes_after_shown_end: bool,
    /// The highest end that a poll has acknowledged while the worker was mute.
    acknowledged_while_mute: u64,
    /// Whether the worker fails every poll after one that has shown an end.
    fails_polls_after_shown_end: bool,
    /// Whether the worker fails every stop.
    fails_stops: bool,
    /// The number of polls that the worker has answered.
    polls: u32,
    /// The highest end that the last poll has acknowledged.
    last_acknowledged: u64,
    /// The number of heartbeats that the worker has sent.
    heartbeats: u32,
    /// Whether the last poll extended the worker's lease.
    lease_renewed: bool,
    /// Whether the worker has no room for further tasks.
    full: bool,
    /// The job whose tasks take down the worker as they start.
    crashing_job: Option<&'static str>,
    /// The number of crashes. The worker is back at once, as another life.
    crashes: u32,
    /// Whether the worker keeps its name after a crash.
    keeps_name: bool,
    /// The number of births under the worker's name, or 0 if the worker does
    /// not report births.
    births: u64,
    /// When the worker's clock started, if the worker has crashed.
    clock_start: Option<Instant>,
    /// The time that the worker's clock shows, if it has stopped.
    stopped_at: Option<WorkerTime>,
    /// The number of the last heartbeat.
    sequence: u64,
    /// The highest fencing token that the worker has seen.
    token: Revision,
    running: Vec<Running>,
    ended: Vec<Ended>,
    /// The number of the last end.
    last_end: u64,
    /// Every run that was ever started, as `TASK RUN`.
    started_runs: Vec<String>,
    barred: Vec<(String, u32)>,
}

/// How long a poll waits for an end by default, so that tests are short.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(50);

/// A worker whose tasks end on demand.
#[derive(Clone)]
pub struct FakeWorker {
    state: Arc<Mutex<State>>,
    created_at: Instant,
}

impl FakeWorker {
    pub fn new() -> FakeWorker {
        FakeWorker {
            state: Arc::default(),
            created_at: Instant::now(),
        }
    }

    /// Returns every run that was ever started, as `TASK RUN`.
    pub fn started(&self) -> Vec<String> {
        self.lock().started_runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves the next starts unanswered and does not execute them.
    pub fn leave_starts_unanswered(&self, count: u32) {
        self.lock().starts_to_leave_unanswered = count;
    }

    /// Returns the number of unanswered starts.
    pub fn unanswered_starts(&self) -> u32 {
        self.lock().unanswered_starts
    }

    /// Executes the unanswered starts, in the present birth.
    pub fn execute_late_starts(&self) {
        let mut state = self.lock();
        for start in std::mem::take(&mut state.late_starts) {
            state.begin(&start);
        }
    }

    /// Sets whether the worker has no room for further tasks.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Sets whether the worker fails every poll.
    pub fn fail_polls(&self, fails: bool) {
        self.lock().fails_polls = fails;
    }

    /// Leaves polls unanswered once a start was not answered.
    pub fn stall_polls_after_unanswered_start(&self) {
        self.lock().stalls_polls = true;
    }

    /// Returns the number of polls that were not answered for that reason.
    pub fn stalled_polls(&self) -> u32 {
        self.lock().stalled_polls
    }

    /// Fails every poll after the next one that shows an end.
    pub fn fail_polls_after_shown_end(&self) {
        self.lock().fails_polls_after_shown_end = true;
    }

    /// Answers nothing after the next poll that shows an end.
    pub fn mute_after_shown_end(&self) {
        self.lock().mutes_after_shown_end = true;
    }

    /// Returns the highest end that a poll has acknowledged while the worker
    /// was mute.
    pub fn acknowledged_while_mute(&self) -> u64 {
        self.lock().acknowledged_while_mute
    }

    /// Returns the number of calls that the worker has failed.
    pub fn failed_calls(&self) -> u32 {
        self.lock().failed_calls
    }

    /// Sets whether the worker fails every stop.
    pub fn fail_stops(&self, fails: bool) {
        self.lock().fails_stops = fails;
    }

    /// Sets whether the worker answers no call and sends no heartbeat.
    pub fn set_mute(&self, mute: bool) {
        self.lock().mute = mute;
    }

    /// Lets polls wait for an end as long as they may.
    pub fn use_full_poll_waits(&self) {
        self.lock().uses_full_poll_waits = true;
    }

    /// Returns when the last poll arrived, and how long it may wait.
    pub fn last_poll(&self) -> Option<(Instant, Duration)> {
        let state = self.lock();
        Some((state.last_poll_at?, state.last_poll_wait))
    }

    /// Closes the worker's port, as the end of its process does.
    pub fn close(&self) {
        self.lock().is_closed = true;
    }

    /// Sets the number of the worker's accelerators.
    pub fn set_accelerators(&self, accelerators: i64) {
        self.lock().accelerators = Some(accelerators);
    }

    /// Returns the number of heartbeats that the worker has sent.
    pub fn heartbeats(&self) -> u32 {
        self.lock().heartbeats
    }

    /// Returns the number of polls that the worker has answered.
    pub fn polls(&self) -> u32 {
        self.lock().polls
    }

    /// Returns the highest end that the last poll has acknowledged.
    pub fn last_acknowledged(&self) -> u64 {
        self.lock().last_acknowledged
    }

    /// Applies the acknowledgment of a poll that arrives late.
    pub fn apply_late_acknowledgment(&self, acknowledged: u64) {
        self.lock()
            .ended
            .retain(|ended| ended.number > acknowledged);
    }

    /// Returns whether the last poll extended the worker's lease.
    pub fn lease_was_renewed(&self) -> bool {
        self.lock().lease_renewed
    }

    /// Lets the tasks of a job take down the worker as they start.
    pub fn crash_on_start_of(&self, job: &'static str) {
        self.lock().crashing_job = Some(job);
    }

    /// Returns a worker that reports its births and keeps its name.
    pub fn with_births() -> FakeWorker {
        let fake = FakeWorker::new();
        {
            let mut state = fake.lock();
            state.keeps_name = true;
            state.births = 1;
        }
        fake
    }

    /// Restarts the worker without tasks, under its name if it keeps that.
    pub fn restart(&self) {
        self.lock().crash();
    }

    /// Stops the worker's clock at a time, or lets it go on.
    pub fn set_time(&self, time: Option<WorkerTime>) {
        self.lock().stopped_at = time;
    }

    /// Returns the number of the worker's crashes.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Returns the number of ends that the worker lists.
    pub fn listed_ends(&self) -> usize {
        self.lock().ended.len()
    }

    fn life(&self) -> Life {
        let state = self.lock();
        match (state.keeps_name, state.birth()) {
            (true, Some(birth)) => Life::new("life", birth),
            _ => format!("life-{}", state.crashes + 1).into(),
        }
    }

    fn time(&self) -> WorkerTime {
        self.lock().time(self.created_at)
    }

    /// Checks the life and the fencing token of a call.
    fn check_call(
        &self,
        call: &Call,
    ) -> Result<MutexGuard<'_, State>, worker::Error> {
        // A call names only the worker, not its birth.
        if call.life.name() != self.life().name() {
            return Err(worker::Error::OtherLife);
        }
        let mut state = self.lock();
        match call.token < state.token {
            true => Err(worker::Error::Fenced),
            false => {
                state.token = call.token;
                Ok(state)
            }
        }
    }

    /// Returns unless the worker is mute; fails if the worker fails every call.
    async fn check_reachable(&self) -> Result<(), worker::Error> {
        if self.lock().is_closed {
            return Err(worker::Error::Down("on demand".to_owned()));
        }
        if self.lock().mute {
            std::future::pending::<()>().await;
        }
        let mut state = self.lock();
        match state.fails_calls {
            true => {
                state.failed_calls += 1;
                Err(worker::Error::Lost("reset".to_owned()))
            }
            false => Ok(()),
        }
    }

    /// Returns whether a poll is not answered, and counts the poll if so.
    fn stalls_poll(&self) -> bool {
        let mut state = self.lock();
        let stalls = state.stalls_polls && state.unanswered_starts > 0;
        state.stalled_polls += u32::from(stalls);
        stalls
    }

    /// Returns how long the last poll was allowed to wait.
    pub fn last_poll_wait(&self) -> Duration {
        self.lock().last_poll_wait
    }

    /// Sets the share of its work that each running task has done.
    pub fn set_shares(&self, percent: f64) {
        for running in &mut self.lock().running {
            running.pace = percent;
        }
    }

    /// Ends all running tasks.
    pub fn end_all(&self, outcome: RunOutcome) {
        let mut state = self.lock();
        for running in std::mem::take(&mut state.running) {
            end_run(&mut state, running, outcome);
        }
    }
}

impl State {
    /// Starts a run, unless the run is barred; returns whether it is running.
    fn begin(&mut self, start: &Start) -> bool {
        let name = start.task.to_string();
        let same = |r: &Running| r.task == start.task && r.run == start.run;
        if self.running.iter().any(same) {
            return true;
        }
        let bars = |task: &String, run: u32| *task == name && start.run <= run;
        let barred = self.barred.iter().any(|(t, r)| bars(t, *r))
            || self.ended.iter().any(|e| bars(&e.task.to_string(), e.run));
        if barred {
            return false;
        }
        self.started_runs.push(format!("{name} {}", start.run));
        self.running.push(Running {
            task: start.task.clone(),
            run: start.run,
            saved: String::new(),
            pace: 100.0,
            load: None,
        });
        if self.crashing_job == Some(&*start.task.job) {
            self.crash();
        }
        true
    }

    /// Returns the worker's time. Its clock started at `created_at`, or at the
    /// last restart.
    fn time(&self, created_at: Instant) -> WorkerTime {
        let clock_start = self.clock_start.unwrap_or(created_at);
        let time = clock_start.elapsed().as_millis() as WorkerTime;
        self.stopped_at.unwrap_or(time)
    }

    /// Returns the worker's birth, in ms since 1970, if the worker reports
    /// births.
    fn birth(&self) -> Option<u64> {
        (self.births > 0).then(|| 1_768_183_507_960 + self.births)
    }

    /// Restarts the worker as another life that runs nothing.
    fn crash(&mut self) {
        self.crashes += 1;
        if self.keeps_name {
            self.births += 1;
            self.clock_start = Some(Instant::now());
            self.sequence = 0;
        }
        self.token = 0;
        self.running.clear();
        self.ended.clear();
        self.barred.clear();
        self.last_end = 0;
    }
}

fn end_run(state: &mut State, running: Running, outcome: RunOutcome) {
    state.last_end += 1;
    let number = state.last_end;
    state.ended.push(Ended {
        number,
        task: running.task,
        run: running.run,
        how: outcome,
        saved: String::new(),
    });
}

impl Worker for FakeWorker {
    async fn start(
        &self,
        call: &Call,
        start: &Start,
        _expires: WorkerTime,
    ) -> Result<WorkerTime, worker::Error> {
        if self.lock().fails_calls {
            self.lock().failed_starts += 1;
        }
        self.check_reachable().await?;
        {
            let mut state = self.check_call(call)?;
            if state.starts_to_leave_unanswered > 0 {
                state.starts_to_leave_unanswered -= 1;
                state.unanswered_starts += 1;
                state.late_starts.push(start.clone());
                return Err(worker::Error::Lost("on demand".to_owned()));
            }
            if state.full {
                return Err(worker::Error::Refused(Refusal::Room));
            }
        }
        let mut state = self.check_call(call)?;
        match state.begin(start) {
            true => Ok(state.time(self.created_at)),
            false => Err(worker::Error::Refused(Refusal::Barred)),
        }
    }

    async fn stop(
        &self,
        call: &Call,
        stop: &Stop,
    ) -> Result<WorkerTime, worker::Error> {
        self.check_reachable().await?;
        let mut state = self.check_call(call)?;
        if state.fails_stops {
            return Err(worker::Error::Lost("reset".to_owned()));
        }
        let same = |r: &Running| r.task == stop.task && r.run == stop.run;
        let index = state.running.iter().position(same);
        if let Some(index) = index {
            let running = state.running.remove(index);
            end_run(&mut state, running, RunOutcome::Stopped);
        }
        state.barred.push((stop.task.to_string(), stop.run));
        Ok(state.time(self.created_at))
    }

    async fn pace(
        &self,
        call: &Call,
        pace: &Pace,
    ) -> Result<WorkerTime, worker::Error> {
        self.check_reachable().await?;
        let mut state = self.check_call(call)?;
        for running in &mut state.running {
            if running.task == pace.task && running.run == pace.run {
                running.pace = f64::from(pace.percent);
            }
        }
        Ok(state.time(self.created_at))
    }

    async fn poll(
        &self,
        call: &Call,
        noted: u64,
        expires: Option<WorkerTime>,
        wait: Duration,
    ) -> Result<Snapshot, worker::Error> {
        {
            let mut state = self.lock();
            state.lease_renewed = expires.is_some();
            state.last_poll_wait = wait;
            state.last_poll_at = Some(Instant::now());
            if state.mute {
                state.acknowledged_while_mute =
                    state.acknowledged_while_mute.max(noted);
            }
        }
        self.check_reachable().await?;
        let limit = match self.lock().uses_full_poll_waits {
            true => wait,
            false => wait.min(SHORT_POLL_WAIT),
        };
        let deadline = Instant::now() + limit;
        loop {
            if self.lock().is_closed {
                return Err(worker::Error::Lost("reset".to_owned()));
            }
            if self.stalls_poll() {
                std::future::pending::<()>().await;
            }
            {
                let mut state = self.check_call(call)?;
                state.last_acknowledged = noted;
                if state.fails_polls {
                    state.failed_calls += 1;
                    return Err(worker::Error::Lost("reset".to_owned()));
                }
                state.ended.retain(|ended| ended.number > noted);
                if !state.ended.is_empty() || Instant::now() >= deadline {
                    state.polls += 1;
                    state.fails_polls |= state.fails_polls_after_shown_end
                        && !state.ended.is_empty();
                    let shown = !state.ended.is_empty();
                    state.mute |= state.mutes_after_shown_end && shown;
                    return Ok(Snapshot {
                        birth: state.birth(),
                        time: state.time(self.created_at),
                        lists: Lists {
                            running: state.running.clone(),
                            ended: state.ended.clone(),
                        },
                    });
                }
            }
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// An entry's planner and its server for agents.
pub struct Entry {
    stop: watch::Sender<bool>,
    planning: JoinHandle<()>,
    server: Server,
}

impl Entry {
    /// Starts an entry of one core with default limits and options.
    pub async fn start(name: &str, store: &Memory) -> Entry {
        Entry::with_log(name, store, log::none()).await
    }

    /// Starts an entry with limits on its server and options of its planner.
    pub async fn with_limits(
        name: &str,
        store: &Memory,
        limits: Limits,
        options: Options,
    ) -> Entry {
        Entry::start_on(name, store, limits, options, 1.0, log::none()).await
    }

    /// Starts an entry with a number of cores.
    pub async fn with_cores(name: &str, store: &Memory, cores: f64) -> Entry {
        let limits = Limits::default();
        let options = Options::default();
        Entry::start_on(name, store, limits, options, cores, log::none()).await
    }

    /// Returns the address for agents.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts an entry that logs to `log`.
    pub async fn with_log(
        name: &str,
        store: &Memory,
        log: slog::Logger,
    ) -> Entry {
        let limits = Limits::default();
        Entry::start_on(name, store, limits, Options::default(), 1.0, log)
            .await
    }

    async fn start_on(
        name: &str,
        store: &Memory,
        limits: Limits,
        options: Options,
        cores: f64,
        log: slog::Logger,
    ) -> Entry {
        let life = uuid::Uuid::new_v4().simple().to_string();
        let host = Host::new(&life, log.clone());
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, host.clone(), limits, log.clone());
        let server = server.await.expect("a free port");
        let address = server.address().to_string();
        let session = Session {
            store: store.clone(),
            holder: Holder {
                process: name.to_owned(),
                address,
                life,
                cores,
            },
            host,
            source: Source::without_closed_halls(),
            advice: None,
            options,
            log,
        };
        let (stop, stopped) = watch::channel(false);
        Entry {
            stop,
            planning: tokio::spawn(session.run(stopped)),
            server,
        }
    }

    /// Ends the planner at once, without releasing its claim.
    pub fn kill(self) {
        self.planning.abort();
    }

    /// Stops the planner in order.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.planning.await.expect("stops");
    }
}

/// The time within which a configuration must be in force in these tests.
pub const CONFIGURATION_BOUND: Duration = Duration::from_millis(2000);

/// The store keys of the configuration in these tests.
pub const CONFIGURATION_KEYS: Keys = Keys {
    prefix: "key",
    configuration: "key",
    closed: "key/closed/",
};

/// The interval between a worker's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Starts an agent with default settings.
pub fn start_agent(store: &Memory, worker: &FakeWorker) -> JoinHandle<()> {
    start_agent_named("agent", Duration::from_secs(6), store, worker)
}

/// Starts an agent with a name and the length of its worker's lease.
pub fn start_agent_named(
    name: &str,
    lease: Duration,
    store: &Memory,
    worker: &FakeWorker,
) -> JoinHandle<()> {
    let survival = Options::default().survival;
    start_agent_with_survival(name, survival, lease, store, worker)
}

/// Starts an agent whose worker's tasks continue for `survival` without a
/// planner.
pub fn start_agent_with_survival(
    name: &str,
    survival: Duration,
    lease: Duration,
    store: &Memory,
    worker: &FakeWorker,
) -> JoinHandle<()> {
    let config = Config {
        agent: name.into(),
        survival,
        lease,
        connector: Arc::new(Network),
        log: log::none(),
    };
    let member = Member::new(config, worker.clone(), store.clone());
    member.heartbeat(next_heartbeat(worker));
    let worker = worker.clone();
    tokio::spawn(async move {
        let heartbeats = async {
            let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
            loop {
                interval.tick().await;
                if !worker.lock().mute {
                    member.heartbeat(next_heartbeat(&worker));
                    worker.lock().heartbeats += 1;
                }
            }
        };
        tokio::join!(member.run(), heartbeats);
    })
}

/// Returns an agent that does not run yet and gets its heartbeats from the
/// test.
pub fn member(
    name: &str,
    store: &Memory,
    worker: &FakeWorker,
) -> Member<FakeWorker, Memory> {
    let config = Config {
        agent: name.into(),
        survival: Options::default().survival,
        lease: Duration::from_secs(6),
        connector: Arc::new(Network),
        log: log::none(),
    };
    Member::new(config, worker.clone(), store.clone())
}

/// Returns the worker's next heartbeat.
fn next_heartbeat(worker: &FakeWorker) -> Heartbeat {
    let sequence = {
        let mut state = worker.lock();
        state.sequence += 1;
        state.sequence
    };
    heartbeat(worker, sequence)
}

/// Returns a heartbeat of the worker with a sequence number.
pub fn heartbeat(worker: &FakeWorker, sequence: u64) -> Heartbeat {
    let accelerators = worker.lock().accelerators.unwrap_or(8);
    Heartbeat {
        life: worker.life(),
        sequence,
        pool: "pool".into(),
        machine: None,
        hall: "hall".into(),
        rack: "rack".into(),
        labels: Vec::new(),
        capacity: Resources {
            cpu: 64_000,
            memory: 100_000,
            accelerators,
        },
        leaving: false,
        remaining: None,
        time: Some(worker.time()),
    }
}

/// Returns a job of two tasks with one accelerator each.
pub fn job(id: &str) -> Job {
    Job {
        id: id.into(),
        account: "account".into(),
        queue: "queue".into(),
        pool: "pool".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 3.0,
        target: Duration::from_secs(1),
        guarded: true,
        accepted: SystemTime::now(),
        spec: "spec".into(),
        steps: vec![Step {
            replicas: 2,
            resources: Resources {
                cpu: 1000,
                memory: 1000,
                accelerators: 1,
            },
            estimate: Duration::from_secs(60),
            ..Step::default()
        }],
        repeat: None,
        advice: None,
    }
}

/// Returns the deadline of a call, 2 s from now.
pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

/// Waits until a worker runs as many tasks as wanted.
pub async fn wait_for_running(worker: &FakeWorker, wanted: usize) {
    let running =
        || async { (worker.lock().running.len() == wanted).then_some(()) };
    until("the wanted number of tasks runs", running).await;
}

/// Waits until a job is at a stage.
pub async fn wait_for_stage(
    admission: &Admission<Memory>,
    id: &str,
    wanted: Stage,
) {
    let stage = || async {
        let stage = admission.stage(id, deadline()).await.ok().flatten();
        (stage == Some(wanted)).then_some(())
    };
    until("the job's stage", stage).await;
}

/// The stage of a job that succeeded.
pub const SUCCEEDED: Stage = Stage::Ended(Outcome::Succeeded);

#[tokio::test]
async fn a_job_is_accepted_run_once_and_succeeds() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    // A second submission under the same name is the same job.
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().started_runs, ["a.0.0.0 1", "a.0.0.1 1"]);
    let acknowledged =
        || async { worker.lock().ended.is_empty().then_some(()) };
    until("the ends are acknowledged", acknowledged).await;
    agent.abort();
    entry.stop().await;
}

#[tokio::test]
async fn a_restarted_agent_learns_the_token_and_keeps_the_tasks() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    // The worker rejects calls without the present token.
    let second = start_agent(&store, &worker);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().started_runs.len(), 2, "started again");
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_fenced_agent_does_not_report_its_worker_as_lost() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    entry.kill();
    worker.end_all(RunOutcome::Done);
    // The agent is without a planner for longer than it waits for a silent
    // worker.
    store.lock().calls_to_reject = u32::MAX;
    let second = start_agent(&store, &worker);
    let began = Instant::now();
    let passed =
        || async { (began.elapsed() > Duration::from_secs(3)).then_some(()) };
    until("time passes without the store", passed).await;
    store.lock().calls_to_reject = 0;
    let entry = Entry::start("other", &store).await;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(
        worker.lock().started_runs.len(),
        2,
        "a done task was started again"
    );
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn writes_whose_answers_are_lost_start_nothing_twice() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    store.lock().answers_to_lose = 1;
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(
        submitted,
        Submitted::Accepted,
        "the second attempt finds the job"
    );
    store.lock().answers_to_lose = 3;
    wait_for_running(&worker, 2).await;
    store.lock().answers_to_lose = 3;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().started_runs.len(), 2);
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_submission_is_not_refused_after_an_unanswered_write() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.lock().calls_to_reject = u32::MAX;
    let submitted = admission.submit(&job("b"), deadline()).await;
    assert_eq!(submitted, Submitted::Refused, "nothing was written");
    store.lock().calls_to_reject = 0;
    let submitted = admission.submit(&job("d"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted, "the store is back");
    store.lock().answers_to_lose = 1;
    // The write takes effect without an answer, and then the store is down.
    let short = Instant::now() + Duration::from_millis(50);
    let submitted = admission.submit(&job("c"), short).await;
    assert_eq!(submitted, Submitted::Unsure);
    store.lock().calls_to_reject = u32::MAX;
    let submitted = admission.submit(&job("c"), deadline()).await;
    assert_eq!(submitted, Submitted::Unsure, "the job may be stored");
}

#[tokio::test]
async fn another_entry_takes_over_and_a_cancel_stops_the_tasks() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let first = Entry::start("first", &store).await;
    let agent = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.kill();
    let second = Entry::start("second", &store).await;
    assert!(admission.cancel("a", deadline()).await.expect("answered"));
    wait_for_running(&worker, 0).await;
    let cancelled = Stage::Ended(Outcome::Cancelled);
    wait_for_stage(&admission, "a", cancelled).await;
    assert_eq!(
        worker.lock().started_runs.len(),
        2,
        "nothing was started again"
    );
    agent.abort();
    second.kill();
}

#[tokio::test]
async fn tasks_of_a_silent_worker_begin_elsewhere() {
    let store = Memory::default();
    let (silent, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(3);
    let first = start_agent_named("first", lease, &store, &silent);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&silent, 2).await;
    // The agent is still up, and its leases are still extended.
    silent.lock().mute = true;
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn tasks_done_by_a_worker_that_was_considered_lost_are_done() {
    let store = Memory::default();
    let (silent, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(2);
    let first = start_agent_named("first", lease, &store, &silent);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&silent, 2).await;
    silent.lock().mute = true;
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    // The worker was running all the time, and its agent reports so.
    silent.end_all(RunOutcome::Done);
    silent.lock().mute = false;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for_running(&other, 0).await;
    let starts = other.started().len() + silent.started().len();
    assert_eq!(starts, 4, "a done task was started again");
    first.abort();
    second.abort();
    entry.kill();
}

/// Guards against an order that outlives its run. A worker did not answer the
/// starts of two tasks. Its agent reported the worker as lost once the leases
/// had expired, and the tasks were done elsewhere. When the worker answered
/// again, the agent still repeated the old order, and a task began 0.4 s after
/// its end was acknowledged as done.
#[tokio::test]
async fn an_old_order_is_dropped_once_its_worker_is_reported_as_lost() {
    let store = Memory::default();
    let (silent, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(2);
    let first = start_agent_named("first", lease, &store, &silent);
    silent.leave_starts_unanswered(u32::MAX);
    admission.submit(&job("a"), deadline()).await;
    let unanswered =
        || async { (silent.unanswered_starts() >= 2).then_some(()) };
    until("two starts are unanswered", unanswered).await;
    silent.lock().mute = true;
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    silent.leave_starts_unanswered(0);
    silent.lock().mute = false;
    let before = silent.polls();
    let polls = || async { (silent.polls() >= before + 20).then_some(()) };
    until("the worker answers again", polls).await;
    assert_eq!(silent.started(), Vec::<String>::new(), "started twice");
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn an_unanswered_start_is_barred_before_it_is_refused() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    {
        let mut state = worker.lock();
        state.starts_to_leave_unanswered = 2;
        state.full = true;
    }
    admission.submit(&job("a"), deadline()).await;
    // The planner may place the runs elsewhere only once the late starts can
    // no longer take effect here.
    let barred = || async {
        let barred = worker.lock().barred.clone();
        (barred.len() >= 2).then_some(barred)
    };
    let barred = until("the runs are barred", barred).await;
    assert!(barred.contains(&("a.0.0.0".to_owned(), 1)), "{barred:?}");
    assert!(barred.contains(&("a.0.0.1".to_owned(), 1)), "{barred:?}");
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_worker_that_answers_no_calls_gets_no_new_tasks() {
    let store = Memory::default();
    let (failing, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let first = start_agent_named("first", lease, &store, &failing);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&failing, 2).await;
    failing.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    // The worker fails all calls from now on, but its heartbeats go on.
    failing.lock().fails_calls = true;
    let noticed =
        || async { (failing.lock().failed_calls >= 4).then_some(()) };
    until("the agent notices", noticed).await;
    let second = start_agent_named("second", lease, &store, &other);
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&other, 2).await;
    assert_eq!(
        failing.lock().failed_starts,
        0,
        "a start on a worker that fails calls"
    );
    // Once the worker answers again, it gets new tasks.
    other.lock().full = true;
    failing.lock().fails_calls = false;
    admission.submit(&job("c"), deadline()).await;
    wait_for_running(&failing, 2).await;
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_that_takes_down_workers_is_given_up_and_other_jobs_go_on() {
    let store = Memory::default();
    let workers = [FakeWorker::new(), FakeWorker::new(), FakeWorker::new()];
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let names = ["first", "second", "third"];
    let agents = names.iter().zip(&workers);
    let agents: Vec<JoinHandle<()>> = agents
        .map(|(name, worker)| start_agent_named(name, lease, &store, worker))
        .collect();
    for worker in &workers {
        worker.crash_on_start_of("bad");
    }
    admission.submit(&job("bad"), deadline()).await;
    let failed = Stage::Ended(Outcome::Failed);
    wait_for_stage(&admission, "bad", failed).await;
    let crashes: u32 = workers.iter().map(|w| w.lock().crashes).sum();
    // Both tasks are started at first, and then only one until the job is
    // given up.
    assert!(crashes <= 5, "{crashes} workers were taken down");
    admission.submit(&job("good"), deadline()).await;
    let started = || async {
        let starts = workers.iter().flat_map(FakeWorker::started);
        let good = starts.filter(|start| start.starts_with("good")).count();
        (good == 2).then_some(())
    };
    until("the other job starts", started).await;
    for worker in &workers {
        worker.end_all(RunOutcome::Done);
    }
    wait_for_stage(&admission, "good", SUCCEEDED).await;
    for agent in agents {
        agent.abort();
    }
    entry.kill();
}

#[tokio::test]
async fn a_heartbeat_of_a_life_that_does_not_answer_changes_nothing() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let member = member("agent", &store, &worker);
    let running = tokio::spawn({
        let member = member.clone();
        async move { member.run().await }
    });
    member.heartbeat(heartbeat(&worker, 1));
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    // Two heartbeats of an earlier life are late, and one is of an unknown
    // life.
    for (life, sequence) in [("life-0", 900), ("nobody", 1), ("life-0", 901)] {
        let beat = heartbeat(&worker, sequence);
        let life = life.into();
        member.heartbeat(Heartbeat { life, ..beat });
    }
    let before = worker.polls();
    let later = || async { (worker.polls() >= before + 20).then_some(()) };
    until("several polls", later).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["a.0.0.0 1", "a.0.0.1 1"]);
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_whose_progress_cannot_be_read_is_not_started_again() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    admission.submit(&job("a"), deadline()).await;
    admission.submit(&job("b"), deadline()).await;
    let garbage = b"{\"units\": 7}".to_vec();
    let put = Mutation::Value(keys::progress("a"), garbage, 0);
    store.swap(&[], vec![put]).await.expect("is written");
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "b", SUCCEEDED).await;
    let mut started = worker.started();
    started.sort();
    assert_eq!(started, ["b.0.0.0 1", "b.0.0.1 1"]);
    agent.abort();
    entry.kill();
}

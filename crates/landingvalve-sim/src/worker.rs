//! Simulated workers, which behave and fail as their specification allows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use landingvalve::cell::member::Heartbeat;
use landingvalve::cell::worker::Call;
use landingvalve::cell::worker::Error;
use landingvalve::cell::worker::Snapshot;
use landingvalve::cell::worker::Worker;
use landingvalve::cell::worker::WorkerTime;
use landingvalve::graph::Ended;
use landingvalve::graph::Life;
use landingvalve::graph::Lists;
use landingvalve::graph::Pace;
use landingvalve::graph::Refusal;
use landingvalve::graph::Resources;
use landingvalve::graph::Run;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Running;
use landingvalve::graph::SharedStr;
use landingvalve::graph::Start;
use landingvalve::graph::Stop;
use landingvalve::graph::Task;
use landingvalve::store::Revision;
use tokio::time::Instant;

use crate::invariants::Checker;
use crate::invariants::Key;
use crate::invariants::When;
use crate::lock;
use crate::network::Network;
use crate::network::ProcessId;

/// Time that a worker takes to answer a call.
const RESPONSE_TIME: Duration = Duration::from_millis(1);
/// Interval at which a waiting poll checks for ended tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum duration of the worker's lease.
const MAX_LEASE: Duration = Duration::from_millis(6000);
/// Time that a task takes to stop.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time that a member of a gang waits for the other members.
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time that a task of the crashing job works before its worker crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(180);
/// Maximum delay of a call whose answer is lost, in ms.
const MAX_DELAY_MS: u64 = 4000;
/// Number of accelerators of a worker.
pub const ACCELERATORS: i64 = 8;

/// Active faults of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of the calls that are not answered and are carried out later.
    pub delayed_share: f64,
    /// Every running task fails.
    pub failing: bool,
    /// Calls are not answered and heartbeats are not sent, while tasks run on.
    pub silent: bool,
    /// Every call is reset, while heartbeats are still sent.
    pub drops_calls: bool,
}

/// A run of a task on the worker.
struct Execution {
    run: Run,
    /// Accelerators that the run occupies.
    charge: i64,
    /// Time that the task has worked while all members of its gang were
    /// present.
    work_done: Duration,
    started: Instant,
    /// Whether all members of its gang have been present at some time.
    was_complete: bool,
    /// Time at which an ordered stop ends the task.
    stop_at: Option<Instant>,
    /// Time at which the task fails, whatever it has done by then.
    fails_at: Option<Instant>,
    /// Share of its work that is done, in percent.
    progress: f64,
}

/// How a run ends if nothing disturbs it.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// Time that the task works.
    pub work: Duration,
    /// How it then ends.
    pub outcome: RunOutcome,
}

struct Data {
    faults: Faults,
    random: fastrand::Rng,
    name: String,
    /// Whether the worker has the same name in all its births.
    keeps_name: bool,
    /// Hall that the worker names in its heartbeats.
    hall: SharedStr,
    /// Whether the worker lists the share of work that is done, rather than
    /// 100%.
    lists_progress: bool,
    /// Whether starts beyond the worker's accelerators are refused.
    checks_capacity: bool,
    up: bool,
    /// Number of births so far.
    births: u64,
    /// Start of the current birth.
    started: Instant,
    /// Time that the worker's clock shows at the start of its birth, in ms.
    offset: u64,
    sequence: u64,
    token: Revision,
    lease_end: Instant,
    running: BTreeMap<Task, Execution>,
    /// Ends that are not acknowledged.
    ended: Vec<Ended>,
    /// Number of the last end.
    last_end: u64,
    /// Number of the last end that an answer has listed.
    last_listed: u64,
    /// Number of the last end when the lease lapsed.
    lapse_end: u64,
    /// Latest run of each task that may not start any more.
    barred: BTreeMap<Task, Run>,
    /// Job whose tasks crash the worker.
    crash_job: Option<String>,
}

/// The endpoint of a simulated worker.
#[derive(Clone)]
pub struct Endpoint {
    data: Arc<Mutex<Data>>,
    checker: Checker,
}

impl Endpoint {
    /// Returns a worker that is up and runs no tasks.
    pub fn new(name: &str, seed: u64, checker: Checker) -> Endpoint {
        let mut random = fastrand::Rng::with_seed(seed);
        let keeps_name = random.bool();
        let checks_capacity = random.bool();
        let offset = random.u64(1000..5_000_000);
        let now = Instant::now();
        let data = Data {
            faults: Faults::default(),
            random,
            name: name.to_owned(),
            keeps_name,
            hall: "hall".into(),
            lists_progress: false,
            checks_capacity,
            up: true,
            births: 1,
            started: now,
            offset,
            sequence: 0,
            token: 0,
            lease_end: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_listed: 0,
            lapse_end: 0,
            barred: BTreeMap::new(),
            crash_job: None,
        };
        Endpoint {
            data: Arc::new(Mutex::new(data)),
            checker,
        }
    }

    /// Sets the hall that the worker names in its heartbeats.
    pub fn set_hall(&self, hall: &str) {
        lock(&self.data).hall = hall.into();
    }

    /// Makes the worker list the share of work that is done.
    pub fn list_progress(&self) {
        lock(&self.data).lists_progress = true;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.data).faults = faults;
    }

    /// Makes the tasks that run now fail at some time.
    pub fn fail_running(&self, at: Instant) {
        for execution in lock(&self.data).running.values_mut() {
            execution.fails_at = Some(at);
        }
    }

    /// Makes the worker crash whenever it has run a task of this job for a
    /// while.
    pub fn crash_on_job(&self, job: &str) {
        lock(&self.data).crash_job = Some(job.to_owned());
    }

    /// Takes the worker down together with its running tasks.
    pub fn crash(&self) {
        let mut data = lock(&self.data);
        if data.up {
            self.go_down(&mut data);
        }
    }

    fn go_down(&self, data: &mut Data) {
        let life = data.life();
        self.checker.record(format!("{life} goes down"));
        for (task, execution) in std::mem::take(&mut data.running) {
            let key = (task, execution.run);
            self.checker.record_end(&key, &life, None);
        }
        // No process can learn of these ends: the tasks are reported as lost
        // with the worker.
        let listed = data.last_listed;
        for end in data.ended.iter().filter(|end| end.number > listed) {
            self.checker
                .record_unlisted_end(&(end.task.clone(), end.run), &life);
        }
        data.up = false;
    }

    /// Returns whether the worker is up.
    pub fn is_up(&self) -> bool {
        lock(&self.data).up
    }

    /// Returns the name of the present life, without its birth.
    pub fn life_name(&self) -> String {
        lock(&self.data).life().name().to_owned()
    }

    /// Returns whether the present birth has the name of an earlier one.
    pub fn keeps_earlier_name(&self) -> bool {
        let data = lock(&self.data);
        data.keeps_name && data.births > 1
    }

    /// Starts a new birth of the worker, without tasks.
    pub fn restart(&self) {
        let mut data = lock(&self.data);
        if data.up {
            return;
        }
        data.up = true;
        data.births += 1;
        data.started = Instant::now();
        data.offset = data.random.u64(1000..5_000_000);
        data.sequence = 0;
        data.token = 0;
        data.lease_end = data.started;
        data.ended.clear();
        data.last_end = 0;
        data.last_listed = 0;
        data.lapse_end = 0;
        data.barred.clear();
        self.checker.record(format!("{} is up", data.life()));
    }

    /// Returns the next heartbeat, or `None` if the worker is down or silent.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        let mut data = lock(&self.data);
        if !data.up || data.faults.silent {
            return None;
        }
        data.sequence += 1;
        Some(Heartbeat {
            life: data.life(),
            sequence: data.sequence,
            pool: "pool".into(),
            machine: None,
            hall: data.hall.clone(),
            rack: "rack".into(),
            labels: Vec::new(),
            capacity: Resources {
                cpu: 64_000,
                memory: 100_000,
                accelerators: ACCELERATORS,
            },
            leaving: false,
            remaining: None,
            time: Some(data.time()),
        })
    }

    /// Returns the number of tasks of each run on this worker, by the run's
    /// first task.
    pub fn member_counts(&self) -> BTreeMap<(Task, Run), u32> {
        let data = lock(&self.data);
        let mut counts = BTreeMap::new();
        for (task, execution) in &data.running {
            let first = Task {
                index: 0,
                ..task.clone()
            };
            *counts.entry((first, execution.run)).or_default() += 1;
        }
        counts
    }

    /// Advances the running tasks by some time. `complete` returns whether all
    /// members of a gang's run are present (`None` if the task is of no gang),
    /// and `course` returns how long a run works and how it then ends. Returns
    /// the gang runs that have ended on this worker, and how.
    pub fn advance(
        &self,
        time: Duration,
        complete: impl Fn(&Task, Run) -> Option<bool>,
        course: impl Fn(&Task, Run) -> Course,
    ) -> Vec<(Task, Run, RunOutcome)> {
        let mut data = lock(&self.data);
        let now = Instant::now();
        let lapsed = now >= data.lease_end;
        let mut finished: Vec<(Task, RunOutcome)> = Vec::new();
        let mut gangs = Vec::new();
        let fails = data.faults.failing;
        let crash_job = data.crash_job.clone();
        let mut crash_due = false;
        for (task, running) in &mut data.running {
            if complete(task, running.run) != Some(false) {
                running.work_done += time;
                running.was_complete = true;
                let work = course(task, running.run).work;
                let share = running.work_done.div_duration_f64(work);
                running.progress = (100.0 * share).min(100.0);
            }
            let crashes = crash_job.as_deref() == Some(&*task.job);
            crash_due |= crashes && running.work_done > TIME_TO_CRASH;
        }
        if crash_due && data.up {
            self.go_down(&mut data);
        }
        for (task, running) in &data.running {
            let gang = complete(task, running.run);
            let course = course(task, running.run);
            let fails_now = running.fails_at.is_some_and(|at| now >= at);
            let outcome = match gang {
                _ if lapsed => RunOutcome::Lapsed,
                _ if running.stop_at.is_some_and(|at| now >= at) => {
                    RunOutcome::Stopped
                }
                Some(false) if running.was_complete => RunOutcome::Broken,
                Some(false) if now > running.started + GANG_TIMEOUT => {
                    RunOutcome::Alone
                }
                Some(false) => continue,
                _ if fails && !running.work_done.is_zero() => {
                    RunOutcome::Failed
                }
                _ if fails_now => RunOutcome::Failed,
                _ if running.work_done >= course.work => course.outcome,
                _ => continue,
            };
            finished.push((task.clone(), outcome));
            if gang.is_some() {
                gangs.push((task.clone(), running.run, outcome));
            }
        }
        for (task, outcome) in finished {
            self.finish(&mut data, &task, outcome);
        }
        if lapsed {
            data.lapse_end = data.last_end;
        }
        gangs
    }

    /// Ends all members of a gang's run on this worker.
    pub fn end_gang(&self, member: &Task, run: Run, outcome: RunOutcome) {
        let mut data = lock(&self.data);
        let same = |task: &Task, execution: &Execution| {
            let key = (&task.job, task.time, task.step, execution.run);
            key == (&member.job, member.time, member.step, run)
        };
        let members = data.running.iter().filter(|(task, w)| same(task, w));
        let tasks: Vec<Task> = members.map(|(task, _)| task.clone()).collect();
        for task in tasks {
            self.finish(&mut data, &task, outcome);
        }
    }

    fn finish(&self, data: &mut Data, task: &Task, outcome: RunOutcome) {
        let Some(execution) = data.running.remove(task) else {
            return;
        };
        data.last_end += 1;
        let key = (task.clone(), execution.run);
        self.checker.record_end(&key, &data.life(), Some(outcome));
        let barred = data.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(execution.run);
        let number = data.last_end;
        data.ended.push(Ended {
            number,
            task: task.clone(),
            run: execution.run,
            how: outcome,
            saved: String::new(),
        });
    }
}

impl Data {
    fn life(&self) -> Life {
        match self.keeps_name {
            // The wall clock may be set back between two births, so the
            // numbers of births need not rise.
            true => Life::new(&self.name, self.births ^ 2),
            false => format!("{}-{}", self.name, self.births).into(),
        }
    }

    /// Returns the time of the worker's clock, which is 2% slow.
    fn time(&self) -> WorkerTime {
        let since = self.started.elapsed().mul_f64(0.98);
        self.offset + since.as_millis() as u64
    }

    fn extend_lease(&mut self, expires: WorkerTime) {
        let ms = expires.saturating_sub(self.time());
        let lease = Duration::from_millis(ms).min(MAX_LEASE).div_f64(0.98);
        self.lease_end = self.lease_end.max(Instant::now() + lease);
    }

    fn check_token(&mut self, token: Revision) -> Result<(), Error> {
        if token < self.token {
            return Err(Error::Fenced);
        }
        self.token = token;
        Ok(())
    }
}

/// The worker client of one agent's process.
#[derive(Clone)]
pub struct Client {
    endpoint: Endpoint,
    network: Network,
    process: ProcessId,
}

/// A call, which may be carried out late.
#[derive(Clone)]
enum Order {
    Start(Start, WorkerTime),
    Stop(Stop),
    Poll(u64, Option<WorkerTime>),
}

impl Endpoint {
    /// Returns a client for a process.
    pub fn client(&self, network: &Network, process: ProcessId) -> Client {
        Client {
            endpoint: self.clone(),
            network: network.clone(),
            process,
        }
    }

    fn apply(
        &self,
        token: Revision,
        order: &Order,
        when: When,
    ) -> Result<WorkerTime, Error> {
        let mut data = lock(&self.data);
        data.check_token(token)?;
        match order {
            Order::Start(start, expires) => {
                self.start(&mut data, start, *expires, when)?;
            }
            Order::Stop(stop) => self.stop(&mut data, stop),
            Order::Poll(noted, expires) => {
                self.acknowledge(&mut data, *noted, *expires, when);
            }
        }
        Ok(data.time())
    }

    fn start(
        &self,
        data: &mut Data,
        start: &Start,
        expires: WorkerTime,
        when: When,
    ) -> Result<(), Error> {
        if expires <= data.time() {
            return Err(Error::Late(data.time()));
        }
        data.extend_lease(expires);
        let key: Key = (start.task.clone(), start.run);
        let present = data.running.get(&start.task);
        if present.is_some_and(|execution| execution.run == start.run) {
            return Ok(());
        }
        let barred = data.barred.get(&start.task).copied().unwrap_or(0);
        if start.run <= barred || present.is_some() {
            return Err(Error::Refused(Refusal::Barred));
        }
        let used: i64 = data
            .running
            .values()
            .map(|execution| execution.charge)
            .sum();
        let charge = start.charge.accelerators;
        if used + charge > ACCELERATORS {
            if data.checks_capacity {
                return Err(Error::Refused(Refusal::Room));
            }
            self.check_capacity(data, &key, charge, when);
        }
        self.checker.record_start(&key, &data.life(), when);
        let execution = Execution {
            run: start.run,
            charge,
            work_done: Duration::ZERO,
            started: Instant::now(),
            was_complete: false,
            stop_at: None,
            fails_at: None,
            progress: 0.0,
        };
        data.running.insert(start.task.clone(), execution);
        Ok(())
    }

    /// Checks that the accelerators of a worker without a capacity check are
    /// not exceeded. Runs that began by orders to an earlier birth do not
    /// count.
    fn check_capacity(&self, data: &Data, key: &Key, charge: i64, when: When) {
        let life = data.life();
        let counts = data.running.iter().filter(|(task, execution)| {
            let key = ((*task).clone(), execution.run);
            !self.checker.is_uncounted(&key, &life)
        });
        let used: i64 = counts.map(|(_, execution)| execution.charge).sum();
        if when != When::LaterBirth && used + charge > ACCELERATORS {
            let line = format!("LIMIT: {} takes {charge} to {used}", key.0);
            self.checker.record_violation(line);
        }
    }

    fn stop(&self, data: &mut Data, stop: &Stop) {
        let now = Instant::now();
        if let Some(execution) = data.running.get_mut(&stop.task) {
            if execution.run <= stop.run {
                execution.stop_at =
                    execution.stop_at.or(Some(now + STOP_TIME));
            }
        }
        let barred = data.barred.entry(stop.task.clone()).or_default();
        *barred = (*barred).max(stop.run);
    }

    /// Records that an answer has listed all unacknowledged ends.
    fn record_listing(&self, data: &mut Data) {
        let life = data.life();
        let listed = data.last_listed;
        for end in data.ended.iter().filter(|end| end.number > listed) {
            let key = (end.task.clone(), end.run);
            self.checker.record_listing(&key, &life, end.how);
        }
        data.last_listed = data.last_end;
    }

    fn acknowledge(
        &self,
        data: &mut Data,
        noted: u64,
        expires: Option<WorkerTime>,
        when: When,
    ) {
        if let Some(expires) = expires {
            data.extend_lease(expires);
        }
        let lapsed = data.lapse_end;
        let ended = std::mem::take(&mut data.ended);
        let (acknowledged, left) =
            ended.into_iter().partition(|e| e.number <= noted);
        data.ended = left;
        let acknowledged: Vec<Ended> = acknowledged;
        // A delayed poll that was sent to the previous birth makes this birth
        // forget ends that no agent has read. The agent cannot withdraw the
        // poll, so these ends do not count as acknowledged.
        let is_current_birth = when != When::LaterBirth;
        let counts = |e: &&Ended| is_current_birth && e.number > lapsed;
        for end in acknowledged.iter().filter(counts) {
            let key = (end.task.clone(), end.run);
            self.checker.record_acknowledgment(&key, end.how);
        }
    }
}

impl Client {
    /// Waits until a call has reached the worker. Never returns if the call is
    /// not answered.
    ///
    /// # Errors
    ///
    /// If the worker is down, resets the call, or has another name than the
    /// call's.
    async fn deliver(&self, call: &Call, order: &Order) -> Result<(), Error> {
        self.network.block_if_dead(self.process).await;
        tokio::time::sleep(RESPONSE_TIME).await;
        self.network.block_if_dead(self.process).await;
        let (faults, up, late) = {
            let mut data = lock(&self.endpoint.data);
            let late = data.random.f64() < data.faults.delayed_share;
            (data.faults, data.up, late)
        };
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if !up {
            return Err(Error::Down("down".to_owned()));
        }
        if faults.drops_calls {
            return Err(Error::Lost("reset".to_owned()));
        }
        if lock(&self.endpoint.data).life().name() != call.life.name() {
            return Err(Error::OtherLife);
        }
        if late {
            self.deliver_later(call, order);
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn deliver_later(&self, call: &Call, order: &Order) {
        let (ms, births) = {
            let mut data = lock(&self.endpoint.data);
            (data.random.u64(..MAX_DELAY_MS), data.births)
        };
        let (endpoint, call, order) =
            (self.endpoint.clone(), call.clone(), order.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            let (accepts, when) = {
                let data = lock(&endpoint.data);
                let when = match data.births == births {
                    true => When::Late,
                    false => When::LaterBirth,
                };
                (data.up && data.life().name() == call.life.name(), when)
            };
            if accepts {
                // The caller never learns the result.
                let _ = endpoint.apply(call.token, &order, when);
            }
        });
    }

    async fn call(
        &self,
        call: &Call,
        order: Order,
    ) -> Result<WorkerTime, Error> {
        self.deliver(call, &order).await?;
        let time = self.endpoint.apply(call.token, &order, When::Now)?;
        self.network.block_if_dead(self.process).await;
        Ok(time)
    }
}

impl Worker for Client {
    async fn start(
        &self,
        call: &Call,
        start: &Start,
        expires: WorkerTime,
    ) -> Result<WorkerTime, Error> {
        self.call(call, Order::Start(start.clone(), expires)).await
    }

    async fn stop(
        &self,
        call: &Call,
        stop: &Stop,
    ) -> Result<WorkerTime, Error> {
        self.call(call, Order::Stop(stop.clone())).await
    }

    async fn pace(
        &self,
        call: &Call,
        _pace: &Pace,
    ) -> Result<WorkerTime, Error> {
        // Paces do not affect simulated tasks, so only the token is checked.
        self.call(call, Order::Poll(0, None)).await
    }

    async fn poll(
        &self,
        call: &Call,
        noted: u64,
        expires: Option<WorkerTime>,
        wait: Duration,
    ) -> Result<Snapshot, Error> {
        let order = Order::Poll(noted, expires);
        self.call(call, order).await?;
        let births = lock(&self.endpoint.data).births;
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut data = lock(&self.endpoint.data);
                if !data.up || data.births != births {
                    return Err(Error::Lost("gone".to_owned()));
                }
                let silent = data.faults.silent || data.faults.drops_calls;
                let due = !data.ended.is_empty() || Instant::now() >= deadline;
                if due && !silent {
                    self.endpoint.record_listing(&mut data);
                    return Ok(data.snapshot());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Data {
    fn snapshot(&self) -> Snapshot {
        let running = self.running.iter().map(|(task, execution)| Running {
            task: task.clone(),
            run: execution.run,
            saved: String::new(),
            pace: match self.lists_progress {
                true => execution.progress,
                false => 100.0,
            },
            load: Some(f64::from(u8::from(execution.was_complete)) * 1000.0),
        });
        Snapshot {
            birth: self.life().birth(),
            time: self.time(),
            lists: Lists {
                running: running.collect(),
                ended: self.ended.clone(),
            },
        }
    }
}

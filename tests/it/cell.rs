//! Planner, agents and admission together, on a store and workers that live
//! in memory and fail on demand.

use std::collections::BTreeMap;
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
use landingvalve::cell::dial::Network;
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
use landingvalve::cell::worker::Look;
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
use landingvalve::http;
use landingvalve::log;
use landingvalve::store::Change;
use landingvalve::store::Changes;
use landingvalve::store::Compare;
use landingvalve::store::Error;
use landingvalve::store::Item;
use landingvalve::store::LeaseId;
use landingvalve::store::Listing;
use landingvalve::store::Mutation;
use landingvalve::store::Revision;
use landingvalve::store::Store;
use landingvalve::store::Swap;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::support::until;

#[derive(Default)]
struct Data {
    revision: Revision,
    items: BTreeMap<String, (Item, LeaseId)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    log: Vec<Change>,
    /// How many writes take effect without an answer.
    lose: u32,
    /// How many calls are turned away.
    refuse: u32,
    /// How many writes were asked for, and how many reads of a key.
    writes: usize,
    reads: usize,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<Data>>);

impl Memory {
    /// Loses the answers of so many writes.
    pub fn lose_answers(&self, answers: u32) {
        self.lock().lose = answers;
    }

    /// Turns so many calls away.
    pub fn reject_calls(&self, calls: u32) {
        self.lock().refuse = calls;
    }

    /// Returns who holds the claim.
    pub fn claim_holder(&self) -> Option<Holder> {
        let data = self.lock();
        let (item, _) = data.items.get(keys::PLANNER)?;
        serde_json::from_slice(&item.value).ok()
    }

    /// Returns how many writes were asked for, and how many reads of a key.
    pub fn call_counts(&self) -> (usize, usize) {
        let data = self.lock();
        (data.writes, data.reads)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let over: Vec<LeaseId> = data
            .leases
            .iter()
            .filter(|(_, (deadline, _))| *deadline <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            data.leases.remove(&lease);
            data.drop_lease(lease);
        }
        data
    }

    fn call(&self) -> Result<MutexGuard<'_, Data>, Error> {
        let mut data = self.lock();
        match data.refuse {
            0 => Ok(data),
            _ => {
                data.refuse -= 1;
                Err(Error::Unreached(lost()))
            }
        }
    }
}

fn lost() -> http::Error {
    http::Error::Lost {
        url: "memory".to_owned(),
        reason: "on demand".to_owned(),
    }
}

impl Data {
    fn drop_lease(&mut self, lease: LeaseId) {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, (_, on))| *on == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            self.log.push(Change::Deleted(key, self.revision));
        }
    }

    fn write(&mut self, puts: Vec<Mutation>) {
        self.revision += 1;
        for put in puts {
            match put {
                Mutation::Value(key, value, lease) => {
                    let item = Item {
                        key: key.clone(),
                        value,
                        created: self.revision,
                        modified: self.revision,
                    };
                    self.log.push(Change::Put(item.clone()));
                    self.items.insert(key, (item, lease));
                }
                Mutation::Delete(key) => {
                    if self.items.remove(&key).is_some() {
                        let change = Change::Deleted(key, self.revision);
                        self.log.push(change);
                    }
                }
            }
        }
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        self.lock().reads += 1;
        let data = self.call()?;
        Ok(data.items.get(key).map(|(item, _)| item.clone()))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let data = self.call()?;
        let items = data.items.values().map(|(item, _)| item.clone());
        Ok(Listing {
            revision: data.revision,
            items: items.filter(|i| i.key.starts_with(prefix)).collect(),
        })
    }

    async fn swap(
        &self,
        conditions: &[Compare],
        puts: Vec<Mutation>,
    ) -> Result<Swap, Error> {
        self.lock().writes += 1;
        let mut data = self.call()?;
        let keys: Vec<(&String, Revision)> = conditions
            .iter()
            .map(|c| match c {
                Compare::Created(key, rev) | Compare::Modified(key, rev) => {
                    (key, *rev)
                }
            })
            .collect();
        let holds = keys.iter().all(|(key, rev)| {
            data.items.get(*key).map_or(0, |(i, _)| i.modified) == *rev
        });
        if !holds {
            let items = keys.iter().filter_map(|(k, _)| data.items.get(*k));
            let items = items.map(|(item, _)| item.clone()).collect();
            return Ok(Swap::Refused(items));
        }
        data.write(puts);
        match data.lose {
            0 => Ok(Swap::Written(data.revision)),
            _ => {
                data.lose -= 1;
                Err(Error::Lost(lost()))
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let mut data = self.call()?;
        data.revision += 1;
        let lease = data.revision;
        data.leases.insert(lease, (Instant::now() + ttl, ttl));
        Ok(lease)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, Error> {
        let mut data = self.call()?;
        let kept = data.leases.get_mut(&lease);
        Ok(kept
            .map(|(deadline, ttl)| *deadline = Instant::now() + *ttl)
            .is_some())
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let mut data = self.call()?;
        data.leases.remove(&lease);
        data.drop_lease(lease);
        Ok(())
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Error> {
        drop(self.call()?);
        let deadline = Instant::now() + wait;
        let mut look = tokio::time::interval(Duration::from_millis(5));
        loop {
            look.tick().await;
            let data = self.lock();
            // One that waits is cut when calls are turned away.
            if data.refuse > 0 {
                return Err(Error::Unreached(lost()));
            }
            let about = |change: &&Change| {
                let key = match change {
                    Change::Put(item) => &item.key,
                    Change::Deleted(key, _) => key,
                };
                change.revision() > after && key.starts_with(prefix)
            };
            let changes: Vec<Change> =
                data.log.iter().filter(about).cloned().collect();
            if !changes.is_empty() || Instant::now() >= deadline {
                let revision = data.revision;
                return Ok(Changes { revision, changes });
            }
        }
    }
}

#[derive(Default)]
struct Tasks {
    /// Whether it says nothing any more.
    mute: bool,
    /// Whether it breaks off every call, though its heartbeats go on.
    deaf: bool,
    /// How many calls it has broken off, and how many of them were starts.
    broken_off: u32,
    starts_broken_off: u32,
    /// How many starts are not answered, and may be carried out later.
    late: u32,
    /// How many of them were not.
    lost_starts: u32,
    /// Those, as they may yet come.
    held_up: Vec<Start>,
    /// The accelerators that it has, if not 8.
    accelerators: Option<i64>,
    /// Whether it breaks off every look, and nothing else.
    hides: bool,
    /// Whether looks have no answer once a start has had none, and how many
    /// had none so far.
    stalls: bool,
    stalled: u32,
    /// Whether it breaks off every look after one that has shown an end.
    /// Answers nothing more once it has shown an end.
    mutes_once_shown: bool,
    /// The highest end that it was asked to forget while mute.
    asked: u64,
    shows_once: bool,
    /// Whether it breaks off every stop.
    keeps_on: bool,
    /// How many looks it has answered.
    looks: u32,
    /// Up to which end the last look has acknowledged.
    acknowledged: u64,
    /// How many heartbeats it has sent.
    beats: u32,
    /// Whether the last look prolonged its lease.
    prolonged: bool,
    /// Whether it has no room.
    full: bool,
    /// The job whose tasks take it down as they begin.
    bad: Option<&'static str>,
    /// How often that has happened: it is back at once, as another life.
    crashes: u32,
    /// Whether it keeps its name then.
    keeps_name: bool,
    /// How often it has started under its name, if it tells its births.
    births: u64,
    /// When its clock began.
    clock: Option<Instant>,
    /// The number of its last heartbeat.
    sequence: u64,
    token: Revision,
    running: Vec<Running>,
    ended: Vec<Ended>,
    number: u64,
    began: Vec<String>,
    barred: Vec<(String, u32)>,
}

/// A worker whose tasks end when told.
#[derive(Clone)]
pub struct FakeWorker {
    tasks: Arc<Mutex<Tasks>>,
    started: Instant,
}

impl FakeWorker {
    pub fn new() -> FakeWorker {
        FakeWorker {
            tasks: Arc::default(),
            started: Instant::now(),
        }
    }

    pub fn started(&self) -> Vec<String> {
        self.lock().began.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves the next starts without answer, and undone.
    pub fn leave_starts_unanswered(&self, count: u32) {
        self.lock().late = count;
    }

    /// Returns how many starts were left without answer.
    pub fn unanswered_starts(&self) -> u32 {
        self.lock().lost_starts
    }

    /// Carries out the starts that were left without answer, in whatever
    /// birth it is now.
    pub fn execute_late_starts(&self) {
        let mut tasks = self.lock();
        for start in std::mem::take(&mut tasks.held_up) {
            tasks.begin(&start);
        }
    }

    /// Lets it have no room for further tasks, or have it again.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Breaks off every look from now on, or answers them again.
    pub fn fail_polls(&self, hides: bool) {
        self.lock().hides = hides;
    }

    /// Leaves looks without answer once a start has had none.
    pub fn stall_polls_after_unanswered_start(&self) {
        self.lock().stalls = true;
    }

    /// Returns how many looks were left without answer so.
    pub fn stalled_polls(&self) -> u32 {
        self.lock().stalled
    }

    /// Breaks off every look after one that will have shown an end.
    pub fn fail_polls_after_shown_end(&self) {
        self.lock().shows_once = true;
    }

    /// Answers nothing more once it will have shown an end.
    pub fn mute_after_shown_end(&self) {
        self.lock().mutes_once_shown = true;
    }

    /// Returns up to which end it was asked to forget ends since it answers
    /// nothing.
    pub fn acknowledged_while_mute(&self) -> u64 {
        self.lock().asked
    }

    /// Returns how many calls it has broken off.
    pub fn failed_calls(&self) -> u32 {
        self.lock().broken_off
    }

    /// Breaks off every stop from now on, or takes them again.
    pub fn fail_stops(&self, lose: bool) {
        self.lock().keeps_on = lose;
    }

    /// Lets it answer no calls, nor send heartbeats, or do so again.
    pub fn set_mute(&self, mute: bool) {
        self.lock().mute = mute;
    }

    /// Changes how many accelerators it has.
    pub fn set_accelerators(&self, accelerators: i64) {
        self.lock().accelerators = Some(accelerators);
    }

    /// Returns how many heartbeats it has sent.
    pub fn heartbeats(&self) -> u32 {
        self.lock().beats
    }

    /// Returns how many looks it has answered.
    pub fn polls(&self) -> u32 {
        self.lock().looks
    }

    /// Returns up to which end the last look has acknowledged.
    pub fn last_acknowledged(&self) -> u64 {
        self.lock().acknowledged
    }

    /// Takes in late what a look has acknowledged.
    pub fn apply_late_acknowledgement(&self, noted: u64) {
        self.lock().ended.retain(|ended| ended.number > noted);
    }

    /// Returns whether the last look at it prolonged its lease.
    pub fn lease_was_renewed(&self) -> bool {
        self.lock().prolonged
    }

    /// Lets the tasks of a job take it down as they begin.
    pub fn crash_on_start_of(&self, job: &'static str) {
        self.lock().bad = Some(job);
    }

    /// Returns a worker that tells its births, and keeps its name.
    pub fn with_births() -> FakeWorker {
        let fake = FakeWorker::new();
        {
            let mut tasks = fake.lock();
            tasks.keeps_name = true;
            tasks.births = 1;
        }
        fake
    }

    /// Lets it start again, empty, under the name that it has.
    pub fn restart(&self) {
        self.lock().crash();
    }

    /// Returns how often it has gone down.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Returns how many ends it lists.
    pub fn listed_ends(&self) -> usize {
        self.lock().ended.len()
    }

    fn life(&self) -> Life {
        let tasks = self.lock();
        match (tasks.keeps_name, tasks.birth()) {
            (true, Some(born)) => Life::new("life", born),
            _ => format!("life-{}", tasks.crashes + 1).into(),
        }
    }

    fn time(&self) -> WorkerTime {
        self.lock().time(self.started)
    }

    fn fenced(
        &self,
        call: &Call,
    ) -> Result<MutexGuard<'_, Tasks>, worker::Error> {
        // A call names the worker alone.
        if call.life.name() != self.life().name() {
            return Err(worker::Error::OtherLife);
        }
        let mut tasks = self.lock();
        match call.token < tasks.token {
            true => Err(worker::Error::Fenced),
            false => {
                tasks.token = call.token;
                Ok(tasks)
            }
        }
    }

    /// Returns unless the worker is mute.
    async fn speak(&self) -> Result<(), worker::Error> {
        if self.lock().mute {
            std::future::pending::<()>().await;
        }
        let mut tasks = self.lock();
        match tasks.deaf {
            true => {
                tasks.broken_off += 1;
                Err(worker::Error::Lost("reset".to_owned()))
            }
            false => Ok(()),
        }
    }

    /// Returns whether a look has no answer.
    fn stalls(&self) -> bool {
        let mut tasks = self.lock();
        let stalls = tasks.stalls && tasks.lost_starts > 0;
        tasks.stalled += u32::from(stalls);
        stalls
    }

    pub fn end_all(&self, how: RunOutcome) {
        let mut tasks = self.lock();
        for running in std::mem::take(&mut tasks.running) {
            end(&mut tasks, running, how);
        }
    }
}

impl Tasks {
    /// Begins a run, unless it is barred; returns whether it is there.
    fn begin(&mut self, start: &Start) -> bool {
        let name = start.task.to_string();
        let same = |r: &Running| r.task == start.task && r.run == start.run;
        if self.running.iter().any(same) {
            return true;
        }
        let over = |task: &String, run: u32| *task == name && start.run <= run;
        let barred = self.barred.iter().any(|(t, r)| over(t, *r))
            || self.ended.iter().any(|e| over(&e.task.to_string(), e.run));
        if barred {
            return false;
        }
        self.began.push(format!("{name} {}", start.run));
        self.running.push(Running {
            task: start.task.clone(),
            run: start.run,
            saved: String::new(),
            pace: 100.0,
            load: None,
        });
        if self.bad == Some(&*start.task.job) {
            self.crash();
        }
        true
    }

    /// Returns its time, if it has not started again since `started`.
    fn time(&self, started: Instant) -> WorkerTime {
        let began = self.clock.unwrap_or(started);
        began.elapsed().as_millis() as u64
    }

    /// Returns its birth, in ms since 1970, if it tells that.
    fn birth(&self) -> Option<u64> {
        (self.births > 0).then(|| 1_768_183_507_960 + self.births)
    }

    fn crash(&mut self) {
        self.crashes += 1;
        if self.keeps_name {
            self.births += 1;
            self.clock = Some(Instant::now());
            self.sequence = 0;
        }
        self.token = 0;
        self.running.clear();
        self.ended.clear();
        self.barred.clear();
        self.number = 0;
    }
}

fn end(tasks: &mut Tasks, running: Running, how: RunOutcome) {
    tasks.number += 1;
    let number = tasks.number;
    tasks.ended.push(Ended {
        number,
        task: running.task,
        run: running.run,
        how,
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
        if self.lock().deaf {
            self.lock().starts_broken_off += 1;
        }
        self.speak().await?;
        {
            let mut tasks = self.fenced(call)?;
            if tasks.late > 0 {
                tasks.late -= 1;
                tasks.lost_starts += 1;
                tasks.held_up.push(start.clone());
                return Err(worker::Error::Lost("on demand".to_owned()));
            }
            if tasks.full {
                return Err(worker::Error::Refused(Refusal::Room));
            }
        }
        let mut tasks = self.fenced(call)?;
        match tasks.begin(start) {
            true => Ok(tasks.time(self.started)),
            false => Err(worker::Error::Refused(Refusal::Barred)),
        }
    }

    async fn stop(
        &self,
        call: &Call,
        stop: &Stop,
    ) -> Result<WorkerTime, worker::Error> {
        self.speak().await?;
        let mut tasks = self.fenced(call)?;
        if tasks.keeps_on {
            return Err(worker::Error::Lost("reset".to_owned()));
        }
        let same = |r: &Running| r.task == stop.task && r.run == stop.run;
        let at = tasks.running.iter().position(same);
        if let Some(at) = at {
            let running = tasks.running.remove(at);
            end(&mut tasks, running, RunOutcome::Stopped);
        }
        tasks.barred.push((stop.task.to_string(), stop.run));
        Ok(tasks.time(self.started))
    }

    async fn pace(
        &self,
        call: &Call,
        pace: &Pace,
    ) -> Result<WorkerTime, worker::Error> {
        self.speak().await?;
        let mut tasks = self.fenced(call)?;
        for running in &mut tasks.running {
            if running.task == pace.task && running.run == pace.run {
                running.pace = f64::from(pace.percent);
            }
        }
        Ok(tasks.time(self.started))
    }

    async fn look(
        &self,
        call: &Call,
        noted: u64,
        expires: Option<WorkerTime>,
        wait: Duration,
    ) -> Result<Look, worker::Error> {
        {
            let mut tasks = self.lock();
            tasks.prolonged = expires.is_some();
            if tasks.mute {
                tasks.asked = tasks.asked.max(noted);
            }
        }
        self.speak().await?;
        let deadline = Instant::now() + wait.min(Duration::from_millis(50));
        loop {
            if self.stalls() {
                std::future::pending::<()>().await;
            }
            {
                let mut tasks = self.fenced(call)?;
                tasks.acknowledged = noted;
                if tasks.hides {
                    tasks.broken_off += 1;
                    return Err(worker::Error::Lost("reset".to_owned()));
                }
                tasks.ended.retain(|ended| ended.number > noted);
                if !tasks.ended.is_empty() || Instant::now() >= deadline {
                    tasks.looks += 1;
                    tasks.hides |= tasks.shows_once && !tasks.ended.is_empty();
                    let shown = !tasks.ended.is_empty();
                    tasks.mute |= tasks.mutes_once_shown && shown;
                    return Ok(Look {
                        born: tasks.birth(),
                        time: tasks.time(self.started),
                        lists: Lists {
                            running: tasks.running.clone(),
                            ended: tasks.ended.clone(),
                        },
                    });
                }
            }
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// An entry's planner.
pub struct Entry {
    stop: watch::Sender<bool>,
    planning: JoinHandle<()>,
    server: Server,
}

impl Entry {
    pub async fn start(name: &str, store: &Memory) -> Entry {
        Entry::with_log(name, store, log::none()).await
    }

    /// Starts an entry whose planner survives and takes what it is told.
    pub async fn with_limits(
        name: &str,
        store: &Memory,
        limits: Limits,
        terms: Options,
    ) -> Entry {
        Entry::start_on(name, store, limits, terms, 1.0, log::none()).await
    }

    /// Starts an entry of so many cores.
    pub async fn with_cores(name: &str, store: &Memory, cores: f64) -> Entry {
        let limits = Limits::default();
        let terms = Options::default();
        Entry::start_on(name, store, limits, terms, cores, log::none()).await
    }

    /// Returns where agents reach it.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

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
        terms: Options,
        cores: f64,
        log: slog::Logger,
    ) -> Entry {
        let host = Host::new();
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, host.clone(), limits, log.clone());
        let server = server.await.expect("a free port");
        let address = server.address().to_string();
        let session = Session {
            store: store.clone(),
            holder: Holder {
                process: name.to_owned(),
                address,
                life: "life".to_owned(),
                cores,
            },
            host,
            source: Source::new(),
            advice: None,
            terms,
            log,
        };
        let (stop, stopped) = watch::channel(false);
        Entry {
            stop,
            planning: tokio::spawn(session.run(stopped)),
            server,
        }
    }

    /// Ends at once, without giving its claim back.
    pub fn kill(self) {
        self.planning.abort();
    }

    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.planning.await.expect("stops");
    }
}

/// How often a worker sends a heartbeat.
/// Where operators write here.
pub const CONFIGURATION_KEYS: Keys = Keys {
    prefix: "key",
    configuration: "key",
    closed: "key/closed/",
};

const BEAT: Duration = Duration::from_millis(300);

pub fn start_agent(store: &Memory, worker: &FakeWorker) -> JoinHandle<()> {
    start_agent_named("agent", Duration::from_secs(6), store, worker)
}

/// Starts an agent of that name, which leases its worker for so long.
pub fn start_agent_named(
    name: &str,
    lease: Duration,
    store: &Memory,
    worker: &FakeWorker,
) -> JoinHandle<()> {
    let survival = Options::default().survival;
    start_agent_with_survival(name, survival, lease, store, worker)
}

/// Starts an agent whose worker's tasks go on for `survival` without a
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
        dial: Arc::new(Network),
        log: log::none(),
    };
    let member = Member::new(config, worker.clone(), store.clone());
    member.heartbeat(next_heartbeat(worker));
    let worker = worker.clone();
    tokio::spawn(async move {
        let beats = async {
            let mut beat = tokio::time::interval(BEAT);
            loop {
                beat.tick().await;
                if !worker.lock().mute {
                    member.heartbeat(next_heartbeat(&worker));
                    worker.lock().beats += 1;
                }
            }
        };
        tokio::join!(member.run(), beats);
    })
}

/// Returns an agent that is told of its worker by the test.
pub fn member(
    name: &str,
    store: &Memory,
    worker: &FakeWorker,
) -> Member<FakeWorker, Memory> {
    let config = Config {
        agent: name.into(),
        survival: Options::default().survival,
        lease: Duration::from_secs(6),
        dial: Arc::new(Network),
        log: log::none(),
    };
    Member::new(config, worker.clone(), store.clone())
}

fn next_heartbeat(worker: &FakeWorker) -> Heartbeat {
    let sequence = {
        let mut tasks = worker.lock();
        tasks.sequence += 1;
        tasks.sequence
    };
    heartbeat(worker, sequence)
}

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

pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

pub async fn wait_for_running(worker: &FakeWorker, wanted: usize) {
    let running =
        || async { (worker.lock().running.len() == wanted).then_some(()) };
    until("the tasks run", running).await;
}

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

pub const SUCCEEDED: Stage = Stage::Ended(Outcome::Succeeded);

#[tokio::test]
async fn a_job_is_kept_run_once_and_done() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    // The same name again is the same job.
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    wait_for_running(&worker, 2).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().began, ["a.0.0.0 1", "a.0.0.1 1"]);
    let noted = || async { worker.lock().ended.is_empty().then_some(()) };
    until("the ends are acknowledged", noted).await;
    agent.abort();
    entry.stop().await;
}

#[tokio::test]
async fn an_agent_that_restarts_learns_the_token_and_keeps_the_tasks() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let first = start_agent(&store, &worker);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&worker, 2).await;
    first.abort();
    // Its worker is fenced against whoever knows no token.
    let second = start_agent(&store, &worker);
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().began.len(), 2, "started again");
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_fenced_agent_does_not_call_its_worker_gone() {
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
    // Long without a planner: longer than a silent worker is waited for.
    store.lock().refuse = u32::MAX;
    let second = start_agent(&store, &worker);
    let before = Instant::now();
    let long =
        || async { (before.elapsed() > Duration::from_secs(3)).then_some(()) };
    until("time passes without the store", long).await;
    store.lock().refuse = 0;
    let entry = Entry::start("other", &store).await;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().began.len(), 2, "started again though done");
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
    store.lock().lose = 1;
    let submitted = admission.submit(&job("a"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted, "the second try finds it");
    store.lock().lose = 3;
    wait_for_running(&worker, 2).await;
    store.lock().lose = 3;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    assert_eq!(worker.lock().began.len(), 2);
    agent.abort();
    entry.kill();
}

#[tokio::test]
async fn a_refusal_after_an_unanswered_write_is_not_given() {
    let store = Memory::default();
    let admission = Admission::new(store.clone(), log::none());
    store.lock().refuse = u32::MAX;
    let submitted = admission.submit(&job("b"), deadline()).await;
    assert_eq!(submitted, Submitted::Refused, "nothing was written");
    store.lock().refuse = 0;
    let submitted = admission.submit(&job("d"), deadline()).await;
    assert_eq!(submitted, Submitted::Accepted, "the store is back");
    store.lock().lose = 1;
    // The write takes effect without an answer, and then the store is gone.
    let late = Instant::now() + Duration::from_millis(50);
    let submitted = admission.submit(&job("c"), late).await;
    assert_eq!(submitted, Submitted::Unsure);
    store.lock().refuse = u32::MAX;
    let submitted = admission.submit(&job("c"), deadline()).await;
    assert_eq!(submitted, Submitted::Unsure, "it may be kept");
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
    assert_eq!(worker.lock().began.len(), 2, "nothing began anew");
    agent.abort();
    second.kill();
}

#[tokio::test]
async fn tasks_of_a_worker_that_falls_silent_begin_elsewhere() {
    let store = Memory::default();
    let (silent, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(3);
    let first = start_agent_named("first", lease, &store, &silent);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&silent, 2).await;
    // Its agent lives, and goes on being granted what runs.
    silent.lock().mute = true;
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn what_was_done_by_a_worker_that_was_taken_for_gone_is_done() {
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
    // It ran on all the while, and says so.
    silent.end_all(RunOutcome::Done);
    silent.lock().mute = false;
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    wait_for_running(&other, 0).await;
    let began = other.started().len() + silent.started().len();
    assert_eq!(began, 4, "begun again though done");
    first.abort();
    second.abort();
    entry.kill();
}

/// A worker said nothing while it was told to start two tasks. Its agent
/// called it gone once its leases had run out, the tasks were done elsewhere,
/// and the first thing it heard when it spoke again was the old order, which
/// its agent had kept: a task began 0.4 s after it was noted as done.
#[tokio::test]
async fn an_old_order_is_dropped_once_its_worker_is_told_to_be_gone() {
    let store = Memory::default();
    let (silent, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(2);
    let first = start_agent_named("first", lease, &store, &silent);
    silent.leave_starts_unanswered(u32::MAX);
    admission.submit(&job("a"), deadline()).await;
    let lost = || async { (silent.unanswered_starts() >= 2).then_some(()) };
    until("two starts have no answer", lost).await;
    silent.lock().mute = true;
    let second = start_agent_named("second", lease, &store, &other);
    wait_for_running(&other, 2).await;
    silent.leave_starts_unanswered(0);
    silent.lock().mute = false;
    let looked = silent.polls();
    let looks = || async { (silent.polls() >= looked + 20).then_some(()) };
    until("it answers again", looks).await;
    assert_eq!(silent.started(), Vec::<String>::new(), "begun twice");
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_start_without_answer_is_barred_before_it_is_refused() {
    let store = Memory::default();
    let worker = FakeWorker::new();
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let agent = start_agent(&store, &worker);
    {
        let mut tasks = worker.lock();
        tasks.late = 2;
        tasks.full = true;
    }
    admission.submit(&job("a"), deadline()).await;
    // Before the planner may place the first run elsewhere, it is sure that
    // the late order starts nothing here.
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
async fn a_worker_that_answers_no_calls_gets_no_new_work() {
    let store = Memory::default();
    let (deaf, other) = (FakeWorker::new(), FakeWorker::new());
    let admission = Admission::new(store.clone(), log::none());
    let entry = Entry::start("entry", &store).await;
    let lease = Duration::from_secs(6);
    let first = start_agent_named("first", lease, &store, &deaf);
    admission.submit(&job("a"), deadline()).await;
    wait_for_running(&deaf, 2).await;
    deaf.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    // It breaks off all calls from now on; its heartbeats go on.
    deaf.lock().deaf = true;
    let noticed = || async { (deaf.lock().broken_off >= 4).then_some(()) };
    until("its agent notices", noticed).await;
    let second = start_agent_named("second", lease, &store, &other);
    admission.submit(&job("b"), deadline()).await;
    wait_for_running(&other, 2).await;
    assert_eq!(deaf.lock().starts_broken_off, 0, "work for a deaf worker");
    // Once it answers again it is as good as any other.
    other.lock().full = true;
    deaf.lock().deaf = false;
    admission.submit(&job("c"), deadline()).await;
    wait_for_running(&deaf, 2).await;
    first.abort();
    second.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_that_takes_workers_down_is_given_up_and_the_others_go_on() {
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
    // Both tasks at first, then one of them until it is told.
    assert!(crashes <= 5, "{crashes} workers were taken down");
    admission.submit(&job("good"), deadline()).await;
    let began = || async {
        let all = workers.iter().flat_map(FakeWorker::started);
        let good = all.filter(|start| start.starts_with("good")).count();
        (good == 2).then_some(())
    };
    until("the other job begins", began).await;
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
async fn a_heartbeat_of_a_life_that_does_not_answer_here_changes_nothing() {
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
    // One of an earlier life was late, and one is from nobody.
    for (life, sequence) in [("life-0", 900), ("nobody", 1), ("life-0", 901)] {
        let beat = heartbeat(&worker, sequence);
        let life = life.into();
        member.heartbeat(Heartbeat { life, ..beat });
    }
    let looked = worker.polls();
    let later = || async { (worker.polls() >= looked + 20).then_some(()) };
    until("several looks", later).await;
    worker.end_all(RunOutcome::Done);
    wait_for_stage(&admission, "a", SUCCEEDED).await;
    let mut began = worker.started();
    began.sort();
    assert_eq!(began, ["a.0.0.0 1", "a.0.0.1 1"]);
    running.abort();
    entry.kill();
}

#[tokio::test]
async fn a_job_whose_progress_cannot_be_read_is_not_begun_again() {
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
    let mut began = worker.started();
    began.sort();
    assert_eq!(began, ["b.0.0.0 1", "b.0.0.1 1"]);
    agent.abort();
    entry.kill();
}

//! A stand-in of a worker: it runs tasks under a lease, reports to the agent
//! beside it, and fails on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use landingvalve::http;
use landingvalve::http::Handler;
use landingvalve::http::Request;
use landingvalve::http::Response;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

use crate::lock;
use crate::promise::Life;
use crate::promise::Promise;
use crate::promise::TaskId;

/// How often a worker reports.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// How often what runs is looked after.
const TICK: Duration = Duration::from_millis(10);
/// How long a report may take.
const CALL: Duration = Duration::from_millis(1000);
/// The longest lease that is taken, in ms.
const LEASE_MS: u64 = 6000;
/// The accelerators of a worker.
pub const ACCELERATORS: i64 = 8;
/// The longest body of a call, in bytes.
const MAX_BODY: usize = 1 << 16;

/// How a worker fares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// This share of the orders is not answered and carried out later.
    pub late: f64,
    /// Everything that runs fails.
    pub fails: bool,
    /// It neither reports nor answers, and runs on.
    pub cut: bool,
}

struct Running {
    run: u32,
    accelerators: i64,
    until: Instant,
}

struct Ended {
    number: u64,
    task: TaskId,
    run: u32,
    how: &'static str,
}

struct Data {
    mode: Mode,
    random: fastrand::Rng,
    name: String,
    /// Whether it starts again under the name that it had.
    keeps_name: bool,
    lives: u32,
    /// When this life began, in ms since 1970.
    born: u64,
    began: Instant,
    sequence: u64,
    token: u64,
    leased: Instant,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<Ended>,
    number: u64,
    /// Ends up to this number came before the lease last ran out: by the
    /// users' rules they do not count as noted later.
    lapsed: u64,
    barred: BTreeMap<TaskId, u32>,
    promise: Promise,
}

/// An order, or a look.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    #[serde(default)]
    task: TaskId,
    #[serde(default)]
    run: u32,
    #[serde(default)]
    spec: String,
    #[serde(default)]
    fencing_token: u64,
    expires_at_ms: Option<u64>,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// What a task is told: how many ms it runs, and its accelerators.
pub fn spec(ms: u64, accelerators: i64) -> String {
    format!("{ms} {accelerators}")
}

fn present_ms() -> u64 {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed();
    since.unwrap_or_default().as_millis() as u64
}

/// A worker.
#[derive(Clone)]
pub struct Worker(Arc<Mutex<Data>>);

impl Worker {
    /// Returns a worker that runs nothing; its faults are drawn by a seed.
    pub fn new(name: &str, seed: u64, promise: Promise) -> Worker {
        let now = Instant::now();
        Worker(Arc::new(Mutex::new(Data {
            mode: Mode::default(),
            random: fastrand::Rng::with_seed(seed),
            name: name.to_owned(),
            keeps_name: seed % 2 == 0,
            lives: 1,
            born: present_ms(),
            began: now,
            sequence: 0,
            token: 0,
            leased: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            lapsed: 0,
            barred: BTreeMap::new(),
            promise,
        })))
    }

    /// Sets how the worker fares from now on.
    pub fn set(&self, mode: Mode) {
        lock(&self.0).mode = mode;
    }

    /// Ends this life, with all that runs; another begins at once.
    pub fn crash(&self) {
        let mut data = lock(&self.0);
        let life = data.life();
        for task in data.running.keys() {
            data.promise.ends(task, &life, false);
        }
        data.running.clear();
        data.ended.clear();
        data.barred.clear();
        data.number = 0;
        data.lapsed = 0;
        data.token = 0;
        data.sequence = 0;
        data.lives += 1;
        // Two births may fall in one millisecond, but differ.
        data.born = present_ms().max(data.born + 1);
        data.began = Instant::now();
    }

    /// Looks after what runs, for ever.
    pub async fn work(self) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tick.tick().await;
            lock(&self.0).work(Instant::now());
        }
    }

    /// Reports to the agent at `agent`, for ever.
    pub async fn report(self, http: http::Client, agent: SocketAddr) {
        let mut beat = tokio::time::interval(HEARTBEAT);
        loop {
            beat.tick().await;
            let (name, account) = {
                let mut data = lock(&self.0);
                if data.mode.cut {
                    continue;
                }
                (data.called(), data.account())
            };
            let url = format!("http://{agent}/api/pool/{name}");
            let deadline = Instant::now() + CALL;
            let body = account.to_string();
            let headers = HeaderMap::new();
            // An agent that is down is told again half a second later.
            let _ =
                http.call(Method::PUT, &url, headers, body, deadline).await;
        }
    }
}

impl Data {
    fn life(&self) -> Life {
        format!("{}-{}", self.name, self.lives)
    }

    /// Returns the name that it is called by: perhaps that of earlier lives.
    fn called(&self) -> String {
        match self.keeps_name {
            true => self.name.clone(),
            false => self.life(),
        }
    }

    fn time(&self) -> u64 {
        1000 + self.began.elapsed().as_millis() as u64
    }

    fn account(&mut self) -> Value {
        self.sequence += 1;
        json!({
            "service": "pool", "address": "127.0.0.1:1", "zone": "hall",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "capacity": {"cpu": 64000, "memMb": 100_000,
                         "gpu": ACCELERATORS},
            "labels": ["a", "r1"], "currentTimeMs": self.time(),
            "sequence": self.sequence, "born": self.born,
        })
    }

    fn work(&mut self, now: Instant) {
        let lapsed = now >= self.leased;
        let fails = self.mode.fails;
        let over: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, running)| lapsed || now >= running.until)
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
            let how = match (lapsed, fails) {
                (true, _) => "lapsed",
                (false, true) => "failed",
                (false, false) => "done",
            };
            self.end(&task, how);
        }
        if lapsed {
            self.lapsed = self.number;
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        self.number += 1;
        self.barred.insert(task.to_owned(), running.run);
        self.promise.ends(task, &self.life(), how == "done");
        self.ended.push(Ended {
            number: self.number,
            task: task.to_owned(),
            run: running.run,
            how,
        });
    }

    fn lease(&mut self, expires: Option<u64>) {
        let Some(expires) = expires else {
            return;
        };
        let ms = expires.saturating_sub(self.time()).min(LEASE_MS);
        let until = Instant::now() + Duration::from_millis(ms);
        self.leased = self.leased.max(until);
    }

    fn answer(&self) -> Response {
        let time = json!({ "currentTimeMs": self.time() });
        http::json(StatusCode::OK, &time)
    }

    fn refuse(&self, reason: &str) -> Response {
        let body = json!({"currentTimeMs": self.time(), "reason": reason});
        http::json(StatusCode::CONFLICT, &body)
    }

    fn start(&mut self, order: &Order, late: bool) -> Response {
        let same = |running: &Running| running.run == order.run;
        let expires = order.expires_at_ms.unwrap_or(0);
        if expires <= self.time() {
            return self.refuse("late");
        }
        self.lease(order.expires_at_ms);
        if self.running.get(&order.task).is_some_and(same) {
            return self.answer();
        }
        let barred = self.barred.get(&order.task).copied().unwrap_or(0);
        if order.run <= barred || self.running.contains_key(&order.task) {
            return self.refuse("old");
        }
        let mut told = order.spec.split(' ');
        let mut next = || told.next().and_then(|n| n.parse().ok());
        let ms: u64 = next().unwrap_or(100);
        let accelerators = next().unwrap_or(1) as i64;
        let used: i64 = self.running.values().map(|r| r.accelerators).sum();
        if used + accelerators > ACCELERATORS {
            return self.refuse("room");
        }
        self.promise.starts(&order.task, &self.life(), late);
        let running = Running {
            run: order.run,
            accelerators,
            until: Instant::now() + Duration::from_millis(ms),
        };
        self.running.insert(order.task.clone(), running);
        self.answer()
    }

    fn stop(&mut self, order: &Order) -> Response {
        let running = self.running.get(&order.task);
        if running.is_some_and(|running| running.run <= order.run) {
            self.end(&order.task, "stopped");
        }
        let barred = self.barred.entry(order.task.clone()).or_default();
        *barred = (*barred).max(order.run);
        self.answer()
    }

    fn obey(&mut self, path: &str, order: &Order, late: bool) -> Response {
        if order.fencing_token < self.token {
            return self.refuse("fence");
        }
        self.token = order.fencing_token;
        match path {
            "/api/run-start" => self.start(order, late),
            "/api/run-stop" => self.stop(order),
            _ => http::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Takes a look in; returns whether it has something to tell at once,
    /// or `None` if its token is too low.
    fn look(&mut self, order: &Order) -> Option<bool> {
        if order.fencing_token < self.token {
            return None;
        }
        self.token = order.fencing_token;
        self.lease(order.expires_at_ms);
        let (noted, left) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= order.last_seen);
        self.ended = left;
        let noted: Vec<Ended> = noted;
        let counts =
            |end: &&Ended| end.how == "done" && end.number > self.lapsed;
        for end in noted.iter().filter(counts) {
            self.promise.noted(&end.task);
        }
        Some(!self.ended.is_empty())
    }

    fn lists(&self) -> Response {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, r)| json!([task, r.run, "", 100, 1000]))
            .collect();
        let finished: Vec<Value> = self
            .ended
            .iter()
            .map(|e| json!([e.number, e.task, e.run, e.how, ""]))
            .collect();
        let body = json!({"currentTimeMs": self.time(), "born": self.born,
                          "running": running, "finished": finished});
        http::json(StatusCode::OK, &body)
    }
}

impl Handler for Worker {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let meant = request.headers().get("expected-instance");
        let meant = meant.and_then(|life| life.to_str().ok());
        let meant = meant.unwrap_or_default().to_owned();
        let body = http::read_body(request, MAX_BODY).await;
        let order = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
        let Some(order): Option<Order> = order else {
            return http::text(StatusCode::BAD_REQUEST, "no order");
        };
        let (cut, late) = {
            let mut data = lock(&self.0);
            let share = data.mode.late;
            (data.mode.cut, data.random.f64() < share)
        };
        if cut {
            return std::future::pending().await;
        }
        if lock(&self.0).called() != meant {
            let status = StatusCode::MISDIRECTED_REQUEST;
            return http::text(status, "another life");
        }
        match &*path {
            "/api/hold" if late => self.look_late(order).await,
            "/api/hold" => self.look(&order).await,
            path if late => self.obey_late(path, order).await,
            path => lock(&self.0).obey(path, &order, false),
        }
    }
}

impl Worker {
    async fn look(&self, order: &Order) -> Response {
        let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
        loop {
            {
                let mut data = lock(&self.0);
                match data.look(order) {
                    None => return data.refuse("fence"),
                    Some(news) if news || Instant::now() >= deadline => {
                        return data.lists();
                    }
                    Some(_) => {}
                }
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Carries an order out seconds later, and never answers it.
    async fn obey_late(&self, path: &str, order: Order) -> Response {
        let path = path.to_owned();
        self.later(move |data| drop(data.obey(&path, &order, true)));
        std::future::pending().await
    }

    /// Does something seconds later, to whatever birth answers to the name
    /// by then: a call names the worker.
    fn later(&self, what: impl FnOnce(&mut Data) + Send + 'static) {
        let worker = self.clone();
        let (ms, meant) = {
            let mut data = lock(&self.0);
            (data.random.u64(500..4000), data.called())
        };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            let mut data = lock(&worker.0);
            if data.called() == meant {
                what(&mut data);
            }
        });
    }

    /// Takes a look in seconds later, and never answers it.
    async fn look_late(&self, order: Order) -> Response {
        self.later(move |data| {
            // Nobody is told what it lists.
            let _ = data.look(&order);
        });
        std::future::pending().await
    }
}

//! A stand-in for a worker, which simulates tasks under a lease and sends
//! heartbeats to its agent, with faults on demand.

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

use crate::gang;
use crate::gang::Registry;
use crate::gang::Stage;
use crate::invariants::Checker;
use crate::invariants::Life;
use crate::invariants::Step;
use crate::invariants::TaskId;
use crate::lock;

/// How often a worker sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often running tasks, and polls that wait, are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest lease that a worker accepts, in ms.
const MAX_LEASE_MS: u64 = 6000;
/// The number of accelerators of a worker.
pub const ACCELERATORS: i64 = 8;
/// The limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 16;

/// The behavior of a worker; the default is a worker without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// The share of the orders and polls that get no response and are executed
    /// seconds later.
    pub late_share: f64,
    /// Whether tasks that end now fail.
    pub fails: bool,
    /// Whether the worker neither sends heartbeats nor responds; its tasks
    /// continue.
    pub unreachable: bool,
}

struct Running {
    run: u32,
    accelerators: i64,
    /// How long the task works.
    work: Duration,
    started: Instant,
    /// Whether the task works only together with others.
    gang: bool,
}

struct Ended {
    number: u64,
    task: TaskId,
    run: u32,
    outcome: &'static str,
}

struct State {
    mode: Mode,
    random: fastrand::Rng,
    name: String,
    /// Whether every life has the same name.
    keeps_name: bool,
    /// The number of lives so far, which is the number of the present life.
    lives: u32,
    /// The birth of this life, in ms since 1970.
    birth_ms: u64,
    life_start: Instant,
    /// The number of the last heartbeat in this life.
    sequence: u64,
    /// The highest fencing token in this life.
    fencing_token: u64,
    lease_expiry: Instant,
    running: BTreeMap<TaskId, Running>,
    /// The ends that have not been acknowledged.
    ended: Vec<Ended>,
    /// The number of the last end.
    last_end: u64,
    /// The number of the last end before the lease last expired. By the users'
    /// rules, ends up to this number do not count as acknowledged later.
    last_end_before_expiry: u64,
    /// The highest run of each task that must not be started again.
    barred: BTreeMap<TaskId, u32>,
    /// The gangs' members at all workers.
    gangs: Registry,
    checker: Checker,
}

/// The request body of an order or a poll.
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

/// Returns the specification of a job whose tasks have a run time in ms and a
/// number of accelerators.
pub fn spec(ms: u64, accelerators: i64, steps: &[Step]) -> String {
    let width = |step: &Step| if step.gang { step.tasks } else { 0 };
    let widths = steps.iter().map(|step| width(step).to_string());
    let widths: Vec<String> = widths.collect();
    format!("{ms} {accelerators} {}", widths.join(" "))
}

/// Returns the present time in ms since 1970.
fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::UNIX_EPOCH.elapsed();
    elapsed.unwrap_or_default().as_millis() as u64
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker(Arc<Mutex<State>>);

impl Worker {
    /// Returns a worker without tasks. The seed determines which calls a fault
    /// delays; with an even seed every life has the same name.
    pub fn new(
        name: &str,
        seed: u64,
        gangs: Registry,
        checker: Checker,
    ) -> Worker {
        let now = Instant::now();
        Worker(Arc::new(Mutex::new(State {
            mode: Mode::default(),
            random: fastrand::Rng::with_seed(seed),
            name: name.to_owned(),
            keeps_name: seed % 2 == 0,
            lives: 1,
            birth_ms: unix_ms(),
            life_start: now,
            sequence: 0,
            fencing_token: 0,
            lease_expiry: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_end_before_expiry: 0,
            barred: BTreeMap::new(),
            gangs,
            checker,
        })))
    }

    /// Sets the behavior of the worker from now on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.0).mode = mode;
    }

    /// Ends this life with all its tasks, and begins another at once.
    pub fn crash(&self) {
        let mut state = lock(&self.0);
        let life = state.life();
        for (task, running) in &state.running {
            state.checker.record_end(task, &life, false);
            state.gangs.leave(task, running.run, None);
        }
        state.running.clear();
        state.ended.clear();
        state.barred.clear();
        state.last_end = 0;
        state.last_end_before_expiry = 0;
        state.fencing_token = 0;
        state.sequence = 0;
        state.lives += 1;
        // Births must differ even if two fall into the same millisecond.
        state.birth_ms = unix_ms().max(state.birth_ms + 1);
        state.life_start = Instant::now();
    }

    /// Ends tasks when they are due, forever.
    pub async fn run_tasks(self) {
        let mut tick = tokio::time::interval(POLL_INTERVAL);
        loop {
            tick.tick().await;
            lock(&self.0).update_tasks(Instant::now());
        }
    }

    /// Sends heartbeats to the agent at an address, forever.
    pub async fn send_heartbeats(self, http: http::Client, agent: SocketAddr) {
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            ticks.tick().await;
            let (name, heartbeat) = {
                let mut state = lock(&self.0);
                if state.mode.unreachable {
                    continue;
                }
                (state.current_name(), state.heartbeat())
            };
            let url = format!("http://{agent}/api/pool/{name}");
            let deadline = Instant::now() + HEARTBEAT_TIMEOUT;
            let body = heartbeat.to_string();
            let headers = HeaderMap::new();
            // If the agent is down, the next heartbeat follows in half a
            // second.
            let _ =
                http.call(Method::PUT, &url, headers, body, deadline).await;
        }
    }
}

impl State {
    /// Returns the name of the present life.
    fn life(&self) -> Life {
        format!("{}-{}", self.name, self.lives)
    }

    /// Returns the name that the worker reports to the agent, which may be
    /// that of earlier lives.
    fn current_name(&self) -> String {
        match self.keeps_name {
            true => self.name.clone(),
            false => self.life(),
        }
    }

    /// Returns the time of the worker's own clock, in ms.
    fn clock_ms(&self) -> u64 {
        1000 + self.life_start.elapsed().as_millis() as u64
    }

    /// Returns the body of the next heartbeat.
    fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        json!({
            "service": "pool", "address": "127.0.0.1:1", "zone": "hall",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "capacity": {"cpu": 64000, "memMb": 100_000,
                         "gpu": ACCELERATORS},
            "labels": ["a", "r1"], "currentTimeMs": self.clock_ms(),
            "sequence": self.sequence, "born": self.birth_ms,
        })
    }

    /// Ends the tasks that are due, and all tasks if the lease has expired.
    fn update_tasks(&mut self, now: Instant) {
        let lease_expired = now >= self.lease_expiry;
        let due: Vec<(TaskId, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, running)| {
                let outcome = match lease_expired {
                    true => "lapsed",
                    false => self.due_outcome(task, running, now)?,
                };
                Some((task.clone(), outcome))
            })
            .collect();
        for (task, outcome) in due {
            self.end_task(&task, outcome);
        }
        if lease_expired {
            self.last_end_before_expiry = self.last_end;
        }
    }

    /// Returns how a task ends now, or `None` if it runs on.
    fn due_outcome(
        &self,
        task: &str,
        running: &Running,
        now: Instant,
    ) -> Option<&'static str> {
        let since = match self.stage(task, running) {
            Stage::Ending(outcome) => return Some(outcome),
            Stage::Waiting if now > running.started + gang::WAIT => {
                return Some("alone");
            }
            Stage::Waiting => return None,
            Stage::Working(since) => since,
        };
        match self.mode.fails {
            _ if now < since + running.work => None,
            true => Some("failed"),
            false => Some("done"),
        }
    }

    fn stage(&self, task: &str, running: &Running) -> Stage {
        match running.gang {
            true => self.gangs.stage(task, running.run),
            false => Stage::Working(running.started),
        }
    }

    /// Returns the share of a task's work that is done, in percent.
    fn progress(&self, task: &str, running: &Running) -> f64 {
        match self.stage(task, running) {
            Stage::Working(since) => {
                let share = since.elapsed().div_duration_f64(running.work);
                (100.0 * share).clamp(0.0, 100.0).round()
            }
            Stage::Waiting | Stage::Ending(_) => 0.0,
        }
    }

    fn end_task(&mut self, task: &str, outcome: &'static str) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        self.last_end += 1;
        self.barred.insert(task.to_owned(), running.run);
        if running.gang {
            self.gangs.leave(task, running.run, Some(outcome));
        }
        if outcome == "alone" {
            self.checker.record_alone(task, running.run);
        }
        self.checker
            .record_end(task, &self.life(), outcome == "done");
        self.ended.push(Ended {
            number: self.last_end,
            task: task.to_owned(),
            run: running.run,
            outcome,
        });
    }

    /// Extends the lease up to a time of the worker's clock, in ms, within the
    /// longest accepted lease.
    fn extend_lease(&mut self, expires_at_ms: Option<u64>) {
        let Some(expires_at_ms) = expires_at_ms else {
            return;
        };
        let ms = expires_at_ms
            .saturating_sub(self.clock_ms())
            .min(MAX_LEASE_MS);
        let expiry = Instant::now() + Duration::from_millis(ms);
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    fn accept(&self) -> Response {
        let time = json!({ "currentTimeMs": self.clock_ms() });
        http::json(StatusCode::OK, &time)
    }

    fn refuse(&self, reason: &str) -> Response {
        let body = json!({"currentTimeMs": self.clock_ms(), "reason": reason});
        http::json(StatusCode::CONFLICT, &body)
    }

    /// Starts a task unless the order is too late or too old, or there is no
    /// room; `late` if a fault delayed the order.
    fn start(&mut self, order: &Order, late: bool) -> Response {
        let is_same_run = |running: &Running| running.run == order.run;
        let expires_at_ms = order.expires_at_ms.unwrap_or(0);
        if expires_at_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(order.expires_at_ms);
        if self.running.get(&order.task).is_some_and(is_same_run) {
            return self.accept();
        }
        let barred = self.barred.get(&order.task).copied().unwrap_or(0);
        if order.run <= barred || self.running.contains_key(&order.task) {
            return self.refuse("old");
        }
        let mut numbers = order.spec.split(' ');
        let mut next = || numbers.next().and_then(|n| n.parse().ok());
        let ms: u64 = next().unwrap_or(100);
        let accelerators = next().unwrap_or(1) as i64;
        let widths: Vec<u64> = std::iter::from_fn(next).collect();
        let step = order.task.split('.').nth(2);
        let step = step.and_then(|step| step.parse::<usize>().ok());
        let width = step.and_then(|step| widths.get(step)).copied();
        let width = width.unwrap_or(0) as u32;
        let used: i64 = self.running.values().map(|r| r.accelerators).sum();
        if used + accelerators > ACCELERATORS {
            return self.refuse("room");
        }
        let (life, now) = (self.life(), Instant::now());
        self.checker
            .record_start(&order.task, order.run, &life, late);
        let running = Running {
            run: order.run,
            accelerators,
            work: Duration::from_millis(ms),
            started: now,
            gang: width > 0,
        };
        if running.gang {
            self.gangs.join(&order.task, order.run, width, now);
        }
        self.running.insert(order.task.clone(), running);
        self.accept()
    }

    /// Stops a task, and bars its runs up to that of the order.
    fn stop(&mut self, order: &Order) -> Response {
        let running = self.running.get(&order.task);
        if running.is_some_and(|running| running.run <= order.run) {
            self.end_task(&order.task, "stopped");
        }
        let barred = self.barred.entry(order.task.clone()).or_default();
        *barred = (*barred).max(order.run);
        self.accept()
    }

    /// Executes an order unless its fencing token is out of date.
    fn execute(&mut self, path: &str, order: &Order, late: bool) -> Response {
        if order.fencing_token < self.fencing_token {
            return self.refuse("fence");
        }
        self.fencing_token = order.fencing_token;
        match path {
            "/api/run-start" => self.start(order, late),
            "/api/run-stop" => self.stop(order),
            _ => http::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Applies the lease and the acknowledgments of a poll. Returns whether
    /// there are ends to report at once, or `None` if the fencing token is out
    /// of date.
    fn poll(&mut self, order: &Order) -> Option<bool> {
        if order.fencing_token < self.fencing_token {
            return None;
        }
        self.fencing_token = order.fencing_token;
        self.extend_lease(order.expires_at_ms);
        let (acknowledged, remaining) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= order.last_seen);
        self.ended = remaining;
        let acknowledged: Vec<Ended> = acknowledged;
        let counts = |end: &&Ended| {
            end.outcome == "done" && end.number > self.last_end_before_expiry
        };
        for end in acknowledged.iter().filter(counts) {
            self.checker.record_acknowledged_end(&end.task);
        }
        Some(!self.ended.is_empty())
    }

    /// Returns the response to a poll: the running tasks, and the ends that
    /// have not been acknowledged.
    fn snapshot(&self) -> Response {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, r)| {
                json!([task, r.run, "", self.progress(task, r), 1000])
            })
            .collect();
        let finished: Vec<Value> = self
            .ended
            .iter()
            .map(|e| json!([e.number, e.task, e.run, e.outcome, ""]))
            .collect();
        let body = json!({"currentTimeMs": self.clock_ms(), "born": self.birth_ms,
                          "running": running, "finished": finished});
        http::json(StatusCode::OK, &body)
    }
}

impl Handler for Worker {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let expected_name = request.headers().get("expected-instance");
        let expected_name = expected_name.and_then(|name| name.to_str().ok());
        let expected_name = expected_name.unwrap_or_default().to_owned();
        let body = http::read_body(request, MAX_BODY_BYTES).await;
        let order = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
        let Some(order): Option<Order> = order else {
            return http::text(StatusCode::BAD_REQUEST, "no order");
        };
        let (unreachable, late) = {
            let mut state = lock(&self.0);
            let share = state.mode.late_share;
            (state.mode.unreachable, state.random.f64() < share)
        };
        if unreachable {
            return std::future::pending().await;
        }
        if lock(&self.0).current_name() != expected_name {
            let status = StatusCode::MISDIRECTED_REQUEST;
            return http::text(status, "the worker has another name");
        }
        match &*path {
            "/api/hold" if late => self.poll_late(order).await,
            "/api/hold" => self.poll(&order).await,
            path if late => self.execute_late(path, order).await,
            path => lock(&self.0).execute(path, &order, false),
        }
    }
}

impl Worker {
    /// Responds to a poll as soon as there are ends to report, or once the
    /// poll's time is over.
    async fn poll(&self, order: &Order) -> Response {
        let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
        loop {
            {
                let mut state = lock(&self.0);
                match state.poll(order) {
                    None => return state.refuse("fence"),
                    Some(has_ends)
                        if has_ends || Instant::now() >= deadline =>
                    {
                        return state.snapshot();
                    }
                    Some(_) => {}
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Executes an order seconds later, and never responds.
    async fn execute_late(&self, path: &str, order: Order) -> Response {
        let path = path.to_owned();
        self.run_later(move |state| drop(state.execute(&path, &order, true)));
        std::future::pending().await
    }

    /// Runs an action seconds later, unless the worker has another name by
    /// then. A call names the worker and not its birth, so the action may
    /// reach a later life of the same name.
    fn run_later(&self, action: impl FnOnce(&mut State) + Send + 'static) {
        let worker = self.clone();
        let (ms, expected_name) = {
            let mut state = lock(&self.0);
            (state.random.u64(500..4000), state.current_name())
        };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            let mut state = lock(&worker.0);
            if state.current_name() == expected_name {
                action(&mut state);
            }
        });
    }

    /// Processes a poll seconds later, and never responds.
    async fn poll_late(&self, order: Order) -> Response {
        self.run_later(move |state| {
            // Nobody waits for the response.
            let _ = state.poll(&order);
        });
        std::future::pending().await
    }
}

//! An endpoint that runs tasks under leases, for as long as each is told.
//!
//! A task's parameters say how it goes: `run_ms` for how long it runs,
//! `fail` for whether it fails at its end, `output` for what it answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use landingvalve::endpoint::Start;
use landingvalve::endpoint::State;
use landingvalve::endpoint::Task;
use landingvalve::endpoint::TaskId;
use landingvalve::http;
use tokio::time::Instant;

/// How long a task runs that is not told.
const DEFAULT_RUN_MS: u64 = 200;
/// How long a task lasts on an endpoint that fails each of them.
const BAD_RUN: Duration = Duration::from_millis(100);
/// The largest request.
const MAX_REQUEST: usize = 1 << 20;

struct Run {
    start: Start,
    began: Instant,
    lease: Instant,
    ends: Instant,
    fails: bool,
    state: State,
    kept_ms: u64,
}

#[derive(Default)]
struct Data {
    tasks: BTreeMap<TaskId, Run>,
    starts: Vec<TaskId>,
    bad: bool,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
}

/// An endpoint that listens.
pub struct Endpoint {
    shared: Arc<Shared>,
    server: http::Server,
}

impl Endpoint {
    /// Starts an endpoint on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start() -> std::io::Result<Endpoint> {
        let shared = Arc::new(Shared::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, shared.clone()).await?;
        Ok(Endpoint { shared, server })
    }

    /// Returns where the endpoint listens.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Sets whether the endpoint fails each task from now on.
    pub fn set_failing(&self, bad: bool) {
        self.shared.lock().bad = bad;
    }

    /// Returns the names of all tasks ever started, in order.
    pub fn started_tasks(&self) -> Vec<TaskId> {
        self.shared.lock().starts.clone()
    }

    /// Returns the names of the tasks that run now.
    pub fn running_tasks(&self) -> Vec<TaskId> {
        let mut data = self.shared.lock();
        data.settle();
        data.tasks
            .iter()
            .filter(|(_, run)| run.state == State::Running)
            .map(|(task, _)| task.clone())
            .collect()
    }

    /// Stops at once with all tasks, as a VM that is lost.
    pub fn kill(self) {
        self.server.kill();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Data {
    /// Brings every task to where it is by now.
    fn settle(&mut self) {
        let now = Instant::now();
        let running = self
            .tasks
            .values_mut()
            .filter(|run| run.state == State::Running);
        for run in running {
            let lapsed = run.lease < run.ends && run.lease <= now;
            run.state = match run.ends <= now {
                _ if lapsed => State::Stopped,
                true if run.fails => State::Failed,
                true => State::Done,
                false => State::Running,
            };
        }
    }

    fn start(&mut self, start: Start) -> Task {
        let now = Instant::now();
        let bad = self.bad;
        let name = start.task.clone();
        if !self.tasks.contains_key(&name) {
            self.starts.push(name.clone());
            let run = run(start, now, bad);
            self.tasks.insert(name.clone(), run);
        }
        self.settle();
        report(&self.tasks[&name])
    }

    fn renew(&mut self, names: &[TaskId]) -> Vec<Task> {
        self.settle();
        let now = Instant::now();
        let mut known = Vec::new();
        for name in names {
            if let Some(run) = self.tasks.get_mut(name) {
                let seconds = run.start.lease_seconds;
                run.lease = now + Duration::from_secs(seconds);
                known.push(report(run));
            }
        }
        known
    }

    fn stop(&mut self, name: &str) -> Option<Task> {
        self.settle();
        let run = self.tasks.get_mut(name)?;
        if run.state == State::Running {
            run.state = State::Stopped;
            run.kept_ms = run.began.elapsed().as_millis() as u64;
        }
        Some(report(run))
    }
}

fn run(start: Start, now: Instant, bad: bool) -> Run {
    let number = |name: &str| start.parameters[name].as_u64();
    let run_ms = number("run_ms").unwrap_or(DEFAULT_RUN_MS);
    let done_ms: u64 = start
        .checkpoint
        .as_deref()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let left = Duration::from_millis(run_ms.saturating_sub(done_ms));
    let fails = start.parameters["fail"].as_bool().unwrap_or(false);
    Run {
        began: now,
        lease: now + Duration::from_secs(start.lease_seconds),
        ends: now + if bad { BAD_RUN.min(left) } else { left },
        fails: fails || bad,
        state: State::Running,
        kept_ms: 0,
        start,
    }
}

fn report(run: &Run) -> Task {
    let output = run.start.parameters["output"].as_str();
    let output = output.unwrap_or(&run.start.run).to_owned();
    let before: u64 = run
        .start
        .checkpoint
        .as_deref()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let stopped = run.state == State::Stopped;
    Task {
        task: run.start.task.clone(),
        state: run.state,
        accelerators: run.start.accelerators,
        output: (run.state == State::Done).then_some(output),
        checkpoint: stopped.then(|| (before + run.kept_ms).to_string()),
        kept_ms: run.kept_ms,
        note: run.start.note.clone(),
    }
}

impl http::Handler for Shared {
    async fn handle(&self, request: http::Request) -> http::Response {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let Ok(body) = http::read(request, MAX_REQUEST).await else {
            return http::text(StatusCode::PAYLOAD_TOO_LARGE, "too large");
        };
        let mut data = self.lock();
        let parts: Vec<&str> =
            path.split('/').filter(|part| !part.is_empty()).collect();
        match (method, &parts[..]) {
            (Method::GET, ["tasks"]) => {
                data.settle();
                let tasks: Vec<Task> =
                    data.tasks.values().map(report).collect();
                http::json(StatusCode::OK, &tasks)
            }
            (Method::POST, ["tasks"]) => match serde_json::from_slice(&body) {
                Ok(start) => http::json(StatusCode::OK, &data.start(start)),
                Err(error) => bad_request(&error),
            },
            (Method::POST, ["tasks", "renew"]) => {
                match serde_json::from_slice::<Vec<TaskId>>(&body) {
                    Ok(names) => {
                        http::json(StatusCode::OK, &data.renew(&names))
                    }
                    Err(error) => bad_request(&error),
                }
            }
            (Method::POST, ["tasks", name, "stop"]) => match data.stop(name) {
                Some(task) => http::json(StatusCode::OK, &task),
                None => not_found(),
            },
            (Method::DELETE, ["tasks", name]) => {
                match data.tasks.remove(*name) {
                    Some(_) => http::json(StatusCode::OK, &()),
                    None => not_found(),
                }
            }
            _ => not_found(),
        }
    }
}

fn bad_request(error: &serde_json::Error) -> http::Response {
    http::text(StatusCode::BAD_REQUEST, error.to_string())
}

fn not_found() -> http::Response {
    http::text(StatusCode::NOT_FOUND, "not found")
}

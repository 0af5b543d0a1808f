//! An endpoint that simulates tasks under leases.
//!
//! Parameters of a task control the simulation: `run_ms` is the run time,
//! `fail` makes the task fail at its end, `output` is the output.

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

/// The run time in ms of a task without the parameter `run_ms`.
const DEFAULT_RUN_MS: u64 = 200;
/// The longest run time of a task on an endpoint that fails every task.
const MAX_FAILING_RUN: Duration = Duration::from_millis(100);
/// The limit of a request body, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

struct Run {
    start: Start,
    started_at: Instant,
    /// When the lease expires. A task that would run longer stops there.
    lease_expiry: Instant,
    /// When the task ends unless it is stopped earlier.
    ends_at: Instant,
    fails: bool,
    state: State,
    /// How long the task had run when a request stopped it, in ms; otherwise
    /// 0.
    kept_ms: u64,
}

#[derive(Default)]
struct Tasks {
    runs: BTreeMap<TaskId, Run>,
    /// Every task ever started, in order of the starts.
    started: Vec<TaskId>,
    /// Whether tasks started from now on fail.
    failing: bool,
    /// The number of next requests for the list of tasks that are refused.
    lists_to_refuse: u32,
}

#[derive(Default)]
struct Service {
    tasks: Mutex<Tasks>,
}

/// A running endpoint.
pub struct Endpoint {
    service: Arc<Service>,
    server: http::Server,
}

impl Endpoint {
    /// Starts an endpoint on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port is available.
    pub async fn start() -> std::io::Result<Endpoint> {
        let service = Arc::new(Service::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, service.clone()).await?;
        Ok(Endpoint { service, server })
    }

    /// Returns the URL of the endpoint.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Sets whether tasks started from now on fail, after 100 ms at most.
    pub fn set_failing(&self, failing: bool) {
        self.service.lock().failing = failing;
    }

    /// Refuses the next requests for the list of tasks.
    pub fn refuse_lists(&self, requests: u32) {
        self.service.lock().lists_to_refuse = requests;
    }

    /// Returns the names of all tasks ever started, in order of the starts.
    pub fn started_tasks(&self) -> Vec<TaskId> {
        self.service.lock().started.clone()
    }

    /// Returns the names of the running tasks.
    pub fn running_tasks(&self) -> Vec<TaskId> {
        let mut tasks = self.service.lock();
        tasks.update();
        tasks
            .runs
            .iter()
            .filter(|(_, run)| run.state == State::Running)
            .map(|(task, _)| task.clone())
            .collect()
    }

    /// Stops the endpoint and all its tasks at once, which simulates the loss
    /// of its VM.
    pub fn kill(self) {
        self.server.kill();
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tasks {
    /// Updates the state of every running task to the present time.
    fn update(&mut self) {
        let now = Instant::now();
        let running = self
            .runs
            .values_mut()
            .filter(|run| run.state == State::Running);
        for run in running {
            let expired =
                run.lease_expiry < run.ends_at && run.lease_expiry <= now;
            run.state = match run.ends_at <= now {
                _ if expired => State::Stopped,
                true if run.fails => State::Failed,
                true => State::Done,
                false => State::Running,
            };
        }
    }

    /// Starts a task, unless a task of that name was started before.
    fn start(&mut self, start: Start) -> Task {
        let now = Instant::now();
        let failing = self.failing;
        let name = start.task.clone();
        if !self.runs.contains_key(&name) {
            self.started.push(name.clone());
            let run = new_run(start, now, failing);
            self.runs.insert(name.clone(), run);
        }
        self.update();
        report(&self.runs[&name])
    }

    /// Renews the leases of tasks; unknown names are left out of the reply.
    fn renew(&mut self, names: &[TaskId]) -> Vec<Task> {
        self.update();
        let now = Instant::now();
        let mut known = Vec::new();
        for name in names {
            if let Some(run) = self.runs.get_mut(name) {
                let seconds = run.start.lease_seconds;
                run.lease_expiry = now + Duration::from_secs(seconds);
                known.push(report(run));
            }
        }
        known
    }

    fn stop(&mut self, name: &str) -> Option<Task> {
        self.update();
        let run = self.runs.get_mut(name)?;
        if run.state == State::Running {
            run.state = State::Stopped;
            run.kept_ms = run.started_at.elapsed().as_millis() as u64;
        }
        Some(report(run))
    }
}

/// Returns the run of a new task. A checkpoint holds the ms that earlier runs
/// of the task completed; the new run lasts for the rest.
fn new_run(start: Start, now: Instant, failing: bool) -> Run {
    let number = |name: &str| start.parameters[name].as_u64();
    let run_ms = number("run_ms").unwrap_or(DEFAULT_RUN_MS);
    let done_ms: u64 = start
        .checkpoint
        .as_deref()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let remaining = Duration::from_millis(run_ms.saturating_sub(done_ms));
    let fails = start.parameters["fail"].as_bool().unwrap_or(false);
    Run {
        started_at: now,
        lease_expiry: now + Duration::from_secs(start.lease_seconds),
        ends_at: now
            + if failing {
                MAX_FAILING_RUN.min(remaining)
            } else {
                remaining
            },
        fails: fails || failing,
        state: State::Running,
        kept_ms: 0,
        start,
    }
}

fn report(run: &Run) -> Task {
    let output = run.start.parameters["output"].as_str();
    let output = output.unwrap_or(&run.start.run).to_owned();
    let done_ms: u64 = run
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
        checkpoint: stopped.then(|| (done_ms + run.kept_ms).to_string()),
        kept_ms: run.kept_ms,
        note: run.start.note.clone(),
    }
}

impl http::Handler for Service {
    async fn handle(&self, request: http::Request) -> http::Response {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let Ok(body) = http::read_body(request, MAX_REQUEST_BYTES).await
        else {
            return http::text(StatusCode::PAYLOAD_TOO_LARGE, "too large");
        };
        let mut tasks = self.lock();
        let parts: Vec<&str> =
            path.split('/').filter(|part| !part.is_empty()).collect();
        match (method, &parts[..]) {
            (Method::GET, ["tasks"]) if tasks.lists_to_refuse > 0 => {
                tasks.lists_to_refuse -= 1;
                http::text(StatusCode::SERVICE_UNAVAILABLE, "try again")
            }
            (Method::GET, ["tasks"]) => {
                tasks.update();
                let list: Vec<Task> =
                    tasks.runs.values().map(report).collect();
                http::json(StatusCode::OK, &list)
            }
            (Method::POST, ["tasks"]) => match serde_json::from_slice(&body) {
                Ok(start) => http::json(StatusCode::OK, &tasks.start(start)),
                Err(error) => bad_request(&error),
            },
            (Method::POST, ["tasks", "renew"]) => {
                match serde_json::from_slice::<Vec<TaskId>>(&body) {
                    Ok(names) => {
                        http::json(StatusCode::OK, &tasks.renew(&names))
                    }
                    Err(error) => bad_request(&error),
                }
            }
            (Method::POST, ["tasks", name, "stop"]) => {
                match tasks.stop(name) {
                    Some(task) => http::json(StatusCode::OK, &task),
                    None => not_found(),
                }
            }
            (Method::DELETE, ["tasks", name]) => {
                match tasks.runs.remove(*name) {
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

//! The task interface of an endpoint: plain JSON over HTTP.
//!
//! The users have published none yet, so this client is the one place that
//! knows its paths. A task is named by its starter, and starting it twice
//! starts it once. It runs under a lease and stops when the lease lapses.

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;

/// The name of a task.
pub type TaskId = String;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Its name.
    pub task: TaskId,
    /// What to run.
    pub run: String,
    /// The caller's parameters.
    pub parameters: serde_json::Value,
    /// The accelerators, one bit each.
    pub accelerators: u64,
    /// How many seconds the lease lasts without renewal.
    pub lease_seconds: u64,
    /// The checkpoint to go on from, if any.
    pub checkpoint: Option<String>,
    /// What the endpoint shows with the task, for its starter.
    pub note: String,
}

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// A task as the endpoint reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Its name.
    pub task: TaskId,
    /// Where it is in its life.
    pub state: State,
    /// The accelerators, one bit each.
    pub accelerators: u64,
    /// What it answered, once done.
    #[serde(default)]
    pub output: Option<String>,
    /// Its last checkpoint.
    #[serde(default)]
    pub checkpoint: Option<String>,
    /// How many milliseconds of its run the checkpoint keeps.
    #[serde(default)]
    pub kept_ms: u64,
    /// What its starter gave with it.
    #[serde(default)]
    pub note: String,
}

/// A client of one endpoint.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    url: String,
}

impl Client {
    /// Returns a client of the endpoint at `url`.
    pub fn new(http: http::Client, url: impl Into<String>) -> Client {
        Client {
            http,
            url: url.into(),
        }
    }

    /// Starts a task, unless it has been started.
    ///
    /// # Errors
    ///
    /// If the endpoint refuses or does not answer.
    pub async fn start(&self, start: &Start) -> Result<Task, http::Error> {
        let url = format!("{}/tasks", self.url);
        self.http
            .post(&url, start, Instant::now() + CALL_TIMEOUT)
            .await
    }

    /// Returns all tasks, those that have ended among them.
    ///
    /// # Errors
    ///
    /// If the endpoint does not answer.
    pub async fn list(&self) -> Result<Vec<Task>, http::Error> {
        let url = format!("{}/tasks", self.url);
        self.http.get(&url, Instant::now() + CALL_TIMEOUT).await
    }

    /// Renews the leases of tasks; returns those still known.
    ///
    /// # Errors
    ///
    /// If the endpoint does not answer.
    pub async fn renew(
        &self,
        tasks: &[TaskId],
    ) -> Result<Vec<Task>, http::Error> {
        let url = format!("{}/tasks/renew", self.url);
        self.http
            .post(&url, &tasks, Instant::now() + CALL_TIMEOUT)
            .await
    }

    /// Stops a task, after a checkpoint if it can make one.
    ///
    /// # Errors
    ///
    /// If the endpoint does not answer.
    pub async fn stop(&self, task: &TaskId) -> Result<Task, http::Error> {
        let url = format!("{}/tasks/{task}/stop", self.url);
        self.http
            .post(&url, &(), Instant::now() + CALL_TIMEOUT)
            .await
    }

    /// Lets the endpoint forget a task that has ended.
    ///
    /// # Errors
    ///
    /// If the endpoint does not answer.
    pub async fn forget(&self, task: &TaskId) -> Result<(), http::Error> {
        let url = format!("{}/tasks/{task}", self.url);
        let deadline = Instant::now() + CALL_TIMEOUT;
        let headers = HeaderMap::new();
        let reply = self
            .http
            .call(Method::DELETE, &url, headers, "", deadline)
            .await?;
        match reply.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Ok(()),
            status => Err(http::Error::Unexpected {
                url,
                status,
                body: String::new(),
            }),
        }
    }
}

//! A client of the task interface of an endpoint: JSON over HTTP.
//!
//! The users have not published this interface yet, so this client is the only
//! place that knows its paths. The caller that starts a task names it, which
//! makes starts idempotent. A task runs under a lease and stops when the lease
//! expires.

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;

/// The name of a task, chosen by the caller that starts it.
pub type TaskId = String;

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The name of the task.
    pub task: TaskId,
    /// The command to run.
    pub run: String,
    /// The parameters of the job, as its caller gave them.
    pub parameters: serde_json::Value,
    /// The accelerators of the task, one bit each.
    pub accelerators: u64,
    /// The duration of the lease without renewal, in seconds.
    pub lease_seconds: u64,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
    /// An opaque text that the endpoint returns with the task.
    pub note: String,
}

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The task runs.
    Running,
    /// The task ran to its end.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
}

/// A task as the endpoint reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The name of the task.
    pub task: TaskId,
    /// The state of the task.
    pub state: State,
    /// The accelerators of the task, one bit each.
    pub accelerators: u64,
    /// The output of the task, once it is done.
    #[serde(default)]
    pub output: Option<String>,
    /// The last checkpoint of the task, if any.
    #[serde(default)]
    pub checkpoint: Option<String>,
    /// The part of the run that the checkpoint preserves, in milliseconds.
    #[serde(default)]
    pub kept_ms: u64,
    /// The text given in [`Start::note`].
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

    /// Starts a task, unless a task of this name was started before.
    ///
    /// # Errors
    ///
    /// If the endpoint refuses the task or does not answer.
    pub async fn start(&self, start: &Start) -> Result<Task, http::Error> {
        let url = format!("{}/tasks", self.url);
        self.http
            .post(&url, start, Instant::now() + CALL_TIMEOUT)
            .await
    }

    /// Lists all tasks, including those that have ended.
    ///
    /// # Errors
    ///
    /// If the endpoint does not answer.
    pub async fn list(&self) -> Result<Vec<Task>, http::Error> {
        let url = format!("{}/tasks", self.url);
        self.http.get(&url, Instant::now() + CALL_TIMEOUT).await
    }

    /// Renews the leases of `tasks`. Returns those that the endpoint knows.
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

    /// Stops a task. A task that supports it writes a checkpoint first.
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

    /// Deletes the record of a task that has ended; succeeds if the endpoint
    /// does not know the task.
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

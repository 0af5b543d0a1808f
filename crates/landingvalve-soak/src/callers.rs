//! Callers: they submit, ask, cancel, and ask again where the answer was
//! none.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::HOST;
use hyper::Method;
use landingvalve::http;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::promise::JobId;
use crate::promise::Promise;
use crate::worker;

/// The host that callers name.
pub const CALLED: &str = "soak.example";
/// What the paths of jobs start with.
pub const PREFIX: &str = "/jobs/";
/// The key of the one client account.
pub const KEY: &str = "soak-key";
/// How long a caller waits.
const LIMIT: Duration = Duration::from_millis(3000);
/// How often a submission is made again.
const TRIES: u32 = 4;
/// How long is waited before it is.
const AGAIN: Duration = Duration::from_millis(300);

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its connections.
    pub http: http::Client,
    /// The entries.
    pub entries: Vec<SocketAddr>,
    /// What it sees is told here.
    pub promise: Promise,
}

#[derive(Deserialize)]
struct State {
    state: String,
}

impl Caller {
    async fn call(
        &self,
        method: Method,
        job: &str,
        body: String,
    ) -> Option<http::Reply> {
        let entry = self.entries[fastrand::usize(..self.entries.len())];
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(CALLED));
        headers.insert("credential", HeaderValue::from_static(KEY));
        headers.insert("deadline", HeaderValue::from_static("3000"));
        let url = format!("http://{entry}{PREFIX}{job}");
        let deadline = Instant::now() + LIMIT;
        let answer = self.http.call(method, &url, headers, body, deadline);
        answer.await.ok()
    }

    /// Submits a job of one or two steps, until it is answered.
    pub async fn submit(&self, random: &mut fastrand::Rng) -> JobId {
        let job = format!("{:016x}", random.u64(..));
        let steps: Vec<u32> = (0..random.usize(1..=2))
            .map(|_| random.u32(1..=3))
            .collect();
        let accelerators = [1, 2, 4][random.usize(..3)];
        let step = |(at, tasks): (usize, &u32)| {
            json!({"replicas": tasks, "cpu": 1000, "memMb": 1000,
                   "gpu": accelerators, "estimateMs": 300,
                   "dependsOn": (0..at).collect::<Vec<_>>()})
        };
        let body = json!({
            "spec": worker::spec(random.u64(50..900), accelerators),
            "steps": steps.iter().enumerate().map(step).collect::<Vec<_>>(),
        });
        self.promise.submits(&job, steps);
        for _ in 0..TRIES {
            let body = body.to_string();
            let reply = self.call(Method::POST, &job, body).await;
            let status = reply.map(|reply| reply.status.as_u16());
            self.promise.submitted(&job, status);
            if matches!(status, Some(200..=299)) {
                break;
            }
            tokio::time::sleep(AGAIN).await;
        }
        job
    }

    /// Asks how a job stands.
    pub async fn ask(&self, job: &str) {
        let before = self.promise.state(job);
        let reply = self.call(Method::GET, job, String::new()).await;
        let Some(reply) = reply else {
            return;
        };
        match reply.status.as_u16() {
            200 => {
                let state = serde_json::from_slice::<State>(&reply.body);
                let state = state.map_or(String::new(), |s| s.state);
                self.promise.told(job, Some(&state), &before);
            }
            410 => self.promise.told(job, None, &before),
            _ => {}
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) {
        self.promise.cancels(job);
        let reply = self.call(Method::DELETE, job, String::new()).await;
        if reply.is_some_and(|reply| reply.status.is_success()) {
            self.promise.cancelled(job);
        }
    }
}

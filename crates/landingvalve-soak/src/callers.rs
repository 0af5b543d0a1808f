//! Callers, which submit, query and cancel jobs, and repeat a submission
//! that was not accepted.

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

use crate::invariants::Checker;
use crate::invariants::JobId;
use crate::invariants::Step;
use crate::worker;

/// The value of the header `host` in all calls.
pub const HOST_NAME: &str = "soak.example";
/// The prefix of the paths of jobs.
pub const PREFIX: &str = "/jobs/";
/// The API key of the only client account.
pub const API_KEY: &str = "soak-key";
/// The timeout of a call; the header `deadline` holds the same time.
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// How often a submission is sent at most, until it is accepted.
const MAX_SUBMIT_ATTEMPTS: u32 = 4;
/// The pause between two attempts of a submission.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a task works, in ms.
const WORK_MS: std::ops::Range<u64> = 50..900;

/// A caller, who sends each call to a random entry.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The HTTP client of the calls.
    pub http: http::Client,
    /// The addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The checker, which gets every call and reply.
    pub checker: Checker,
}

#[derive(Deserialize)]
struct JobState {
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
        headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
        headers.insert("credential", HeaderValue::from_static(API_KEY));
        headers.insert("deadline", HeaderValue::from_static("3000"));
        let url = format!("http://{entry}{PREFIX}{job}");
        let deadline = Instant::now() + CALL_TIMEOUT;
        let reply = self.http.call(method, &url, headers, body, deadline);
        reply.await.ok()
    }

    /// Submits a job of one or two steps, up to four times until it is
    /// accepted; returns the job.
    pub async fn submit(&self, random: &mut fastrand::Rng) -> JobId {
        let job = format!("{:016x}", random.u64(..));
        let steps: Vec<Step> = (0..random.usize(1..=2))
            .map(|_| draw_step(random))
            .collect();
        let accelerators = [1, 2, 4][random.usize(..3)];
        let step = |(index, step): (usize, &Step)| {
            json!({"replicas": step.tasks, "cpu": 1000, "memMb": 1000,
                   "gpu": accelerators, "estimateMs": 300,
                   "gang": step.gang,
                   "dependsOn": (0..index).collect::<Vec<_>>()})
        };
        let ms = random.u64(WORK_MS);
        let body = json!({
            "spec": worker::spec(ms, accelerators, &steps),
            "steps": steps.iter().enumerate().map(step).collect::<Vec<_>>(),
        });
        self.checker.record_submission(&job, steps);
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let body = body.to_string();
            let reply = self.call(Method::POST, &job, body).await;
            let status = reply.map(|reply| reply.status.as_u16());
            self.checker.record_submission_reply(&job, status);
            if matches!(status, Some(200..=299)) {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        job
    }

    /// Queries the state of a job.
    pub async fn query(&self, job: &str) {
        let before = self.checker.last_state(job);
        let reply = self.call(Method::GET, job, String::new()).await;
        let Some(reply) = reply else {
            return;
        };
        match reply.status.as_u16() {
            200 => {
                let state = serde_json::from_slice::<JobState>(&reply.body);
                let state = state.map_or(String::new(), |s| s.state);
                self.checker.record_state(job, Some(&state), &before);
            }
            410 => self.checker.record_state(job, None, &before),
            _ => {}
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) {
        self.checker.record_cancel(job);
        let reply = self.call(Method::DELETE, job, String::new()).await;
        if reply.is_some_and(|reply| reply.status.is_success()) {
            self.checker.record_cancel_reply(job);
        }
    }
}

/// Draws a step: single tasks, or as often a gang.
fn draw_step(random: &mut fastrand::Rng) -> Step {
    match random.bool() {
        true => Step {
            tasks: random.u32(2..=4),
            gang: true,
        },
        false => Step {
            tasks: random.u32(1..=3),
            gang: false,
        },
    }
}

//! Answers to callers: what a job is, what a refusal is, and when to come
//! back.

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::StatusCode;
use opentelemetry::KeyValue;
use serde::Serialize;

use crate::config::Problem;
use crate::http;
use crate::record::Record;
use crate::telemetry::metrics;
use crate::wire::entry::Refusal;
use crate::wire::entry::Stage;
use crate::wire::entry::Status;

/// An answer that is not what the caller wanted.
#[derive(Debug, Serialize)]
pub struct Problems {
    /// What happened, in words.
    pub error: String,
    /// The fields that are not as they should be.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

/// Returns what there is to say of a job by its record alone.
pub fn status_of(record: &Record) -> Status {
    let end = record.end.clone();
    let stage = match end {
        Some(_) => Stage::Ended,
        None => Stage::Queued,
    };
    Status {
        job: record.spec.id.clone(),
        account: record.spec.account.clone(),
        template: record.spec.template.clone(),
        stage,
        attempt: end.as_ref().map_or(0, |end| end.attempt),
        workers: Vec::new(),
        log: Vec::new(),
        end,
    }
}

/// Returns a job's status, named in the headers too.
pub fn shown(code: StatusCode, status: &Status) -> http::Response {
    let mut response = http::json(code, status);
    name(&mut response, status);
    response
}

/// Names the job, the start, the length and the digest in the headers, so
/// that an answer can be told from another's.
pub fn name(response: &mut http::Response, status: &Status) {
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    };
    put("landingvalve-job", status.job.to_string());
    put("landingvalve-attempt", status.attempt.to_string());
    if let Some(end) = &status.end {
        put("landingvalve-length", end.length.to_string());
        put("landingvalve-digest", end.digest.clone());
    }
}

/// Returns a refusal in words.
pub fn refuse(status: StatusCode, error: impl Into<String>) -> http::Response {
    let error = error.into();
    let label = KeyValue::new("status", i64::from(status.as_u16()));
    metrics::get().refused.add(1, &[label]);
    let problems = Vec::new();
    http::json(status, &Problems { error, problems })
}

/// Returns a refusal that says when to come back.
pub fn later(
    status: StatusCode,
    error: impl Into<String>,
    wait: Duration,
) -> http::Response {
    let mut response = refuse(status, error);
    let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Returns a refusal that names fields.
pub fn invalid(problems: Vec<Problem>) -> http::Response {
    let error = problems
        .iter()
        .map(Problem::to_string)
        .collect::<Vec<_>>()
        .join("; ");
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    http::json(status, &Problems { error, problems })
}

/// Returns that the request id belongs to another request.
pub fn conflict() -> http::Response {
    refuse(StatusCode::CONFLICT, Refusal::Conflict.to_string())
}

/// Returns what a planner's refusal is to a caller.
pub fn refused(refusal: &Refusal) -> http::Response {
    let text = refusal.to_string();
    let soon = Duration::from_secs(2);
    match refusal {
        Refusal::Conflict => conflict(),
        Refusal::UnknownJob => refuse(StatusCode::NOT_FOUND, text),
        Refusal::QueueFull { .. } => {
            later(StatusCode::TOO_MANY_REQUESTS, text, soon)
        }
        Refusal::NotPlanner
        | Refusal::TakingOver
        | Refusal::StoreUnavailable => {
            later(StatusCode::SERVICE_UNAVAILABLE, text, soon)
        }
    }
}

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
pub struct ErrorBody {
    /// What happened, in words.
    pub error: String,
    /// The fields that are not as they should be.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

/// Returns what there is to say of a job by its record alone.
pub fn status_from_record(record: &Record) -> Status {
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
pub fn job_status(code: StatusCode, status: &Status) -> http::Response {
    let mut response = http::json(code, status);
    set_job_headers(&mut response, status);
    response
}

/// Names the job, the start, the length and the digest in the headers, so
/// that an answer can be told from another's.
pub fn set_job_headers(response: &mut http::Response, status: &Status) {
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
pub fn failure(
    status: StatusCode,
    error: impl Into<String>,
) -> http::Response {
    let error = error.into();
    let label = KeyValue::new("status", i64::from(status.as_u16()));
    metrics::get().refused.add(1, &[label]);
    let problems = Vec::new();
    http::json(status, &ErrorBody { error, problems })
}

/// Returns a refusal that says when to come back.
pub fn retry_later(
    status: StatusCode,
    error: impl Into<String>,
    wait: Duration,
) -> http::Response {
    let mut response = failure(status, error);
    let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Returns a refusal that names fields.
pub fn invalid_fields(problems: Vec<Problem>) -> http::Response {
    let error = problems
        .iter()
        .map(Problem::to_string)
        .collect::<Vec<_>>()
        .join("; ");
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    http::json(status, &ErrorBody { error, problems })
}

/// Returns that the request id belongs to another request.
pub fn conflict() -> http::Response {
    failure(StatusCode::CONFLICT, Refusal::Conflict.to_string())
}

/// Returns what a planner's refusal is to a caller.
pub fn from_refusal(refusal: &Refusal) -> http::Response {
    let text = refusal.to_string();
    let retry_after = Duration::from_secs(2);
    match refusal {
        Refusal::Conflict => conflict(),
        Refusal::UnknownJob => failure(StatusCode::NOT_FOUND, text),
        Refusal::QueueFull { .. } => {
            retry_later(StatusCode::TOO_MANY_REQUESTS, text, retry_after)
        }
        Refusal::NotPlanner
        | Refusal::TakingOver
        | Refusal::StoreUnavailable => {
            retry_later(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
        }
    }
}

//! HTTP responses of an entry: the status of a job, errors, and when to retry.

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

/// How long a caller should wait after its body was refused.
const BODY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// A description of the error.
    pub error: String,
    /// The invalid fields of the request; left out if there are none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

/// Returns the status of a job as far as its stored record shows it: a job
/// without an end is reported as queued.
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

/// Returns a response with a job's status as its body, and the job's headers.
pub fn job_status(code: StatusCode, status: &Status) -> http::Response {
    let mut response = http::json(code, status);
    set_job_headers(&mut response, status);
    response
}

/// Adds headers with the job, its last start, and the length and digest of
/// its output, so that a caller can verify which job an answer belongs to.
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

/// Returns an error response, and counts it.
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

/// Returns an error response that asks the caller to retry after `wait`.
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

/// Returns the response to a request whose body was not read completely.
pub fn body_failure(error: http::BodyError) -> http::Response {
    let text = error.to_string();
    match error.status() {
        StatusCode::SERVICE_UNAVAILABLE => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_later(status, text, BODY_RETRY_DELAY)
        }
        status => failure(status, text),
    }
}

/// Returns an error response that lists the invalid fields of a request.
pub fn invalid_fields(problems: Vec<Problem>) -> http::Response {
    let error = problems
        .iter()
        .map(Problem::to_string)
        .collect::<Vec<_>>()
        .join("; ");
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    http::json(status, &ErrorBody { error, problems })
}

/// Returns the response to a request whose id belongs to another request.
pub fn conflict() -> http::Response {
    failure(StatusCode::CONFLICT, Refusal::Conflict.to_string())
}

/// Returns the response to a request that the planner refused.
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
